// Shared helpers of the balancer's tests: settings, established connections, steady load.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "bench_side.h"

namespace ochrehub::testing {

/// Opens a connection to each of the endpoints, so that a limit above one holds there.
inline void open_connections(Gateway& g, const std::vector<EndpointId>& endpoints, double ms = 1) {
    RequestId id = 1'000'000;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        auto to = sent_to(g.arrive(ms + 2 * double(i), id + i));
        ASSERT_TRUE(to);
        g.ok(ms + 2 * double(i) + 1, id + i, *to);
    }
}

/// How many requests came, and how many of them were answered.
struct SteadyLoadResult {
    int offered = 0, served = 0;
    double share() const { return double(served) / std::max(1, offered); }
};

/// Requests of class `cls` at even distances, `per_s` a second, answered as `serve(endpoint, now)` says:
/// {outcome, after how many ms}. Counts those that came from `from_ms` on.
template <class Serve>
SteadyLoadResult send_steady_load(Gateway& g, double from_ms, double to_ms, double per_s, Serve serve,
                                  int cls = 0, double patience = 1000) {
    SteadyLoadResult all;
    RequestId id = RequestId(g.now * 1000) + 1;
    auto answer = [&](EndpointId s) {
        auto [outcome, took] = serve(s, g.now);
        all.served += outcome == Outcome::Ok && g.now >= from_ms;
        return std::pair{outcome, took};
    };
    for (double t = g.now + 1; t < to_ms; t += 1000 / per_s) {
        all.offered += t >= from_ms;
        g.play(
            t, g.arrive(t, ++id, cls, patience), answer, [](EndpointId) { return 0.0; }, [](EndpointId) {});
        g.play(
            t + 1000 / per_s * 0.99, {}, answer, [](EndpointId) { return 0.0; }, [](EndpointId) {});
    }
    return all;
}

/// Settings with which probes report load.
inline Settings settings_with_load_reports() {
    Settings set = make_settings();
    set.probes_report_load = true;
    return set;
}

}  // namespace ochrehub::testing
