// The load state of a node: each state is provoked, and so are situations that resemble it.
#include "admission/load_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

namespace ochrehub {
namespace {

using State = LoadState::State;

TimePoint at(double ms) {
    return TimePoint{Duration{1e6 + ms}};
}

/// The events of one node, evenly spread at given rates per second.
struct SimulatedNode {
    LoadState load_state{{Duration{600}, Duration{1500}}, 3};
    std::vector<LoadState::Change> changes;
    double now = 0;

    struct Rates {
        double first_attempts = 200, retries = 0, rejected = 0, served = 200, server_ms = 30, connections = 5;
        int tenant = -1;  // sends tenant_first_attempts; otherwise all tenants send alike
        double tenant_first_attempts = 0;
    };
    void advance(double ms, const Rates& rates) {
        double first_attempts = 0, retries = 0, rejected = 0, served = 0, connections = 0,
               tenant_requests = 0;
        int sequence = 0;
        for (double end = now + ms; now < end; now += 5) {
            auto per_event = [](double& sum, double rate, auto event) {
                for (sum += rate * 0.005; sum >= 1; --sum) event();
            };
            per_event(first_attempts, rates.first_attempts - rates.tenant_first_attempts,
                      [&] { load_state.request_arrived(at(now), sequence++ % 3, false); });
            per_event(tenant_requests, rates.tenant_first_attempts,
                      [&] { load_state.request_arrived(at(now), rates.tenant, false); });
            per_event(retries, rates.retries,
                      [&] { load_state.request_arrived(at(now), sequence++ % 3, true); });
            per_event(rejected, rates.rejected, [&] { load_state.request_rejected(at(now)); });
            per_event(connections, rates.connections, [&] { load_state.connection_opened(at(now)); });
            per_event(served, rates.served, [&] {
                int class_index = sequence++ % 2;
                double latency_ms = rates.server_ms * (class_index + 1) * (0.7 + 0.1 * (sequence % 7));
                load_state.request_completed(at(now), class_index, true, Duration{latency_ms + 5});
                load_state.server_responded(at(now), class_index, Duration{latency_ms});
            });
            if (auto change = load_state.poll_change(at(now))) changes.push_back(*change);
        }
    }
    int count(State state) const {
        int changes_to_state = 0;
        for (const auto& change : changes) changes_to_state += change.to == state;
        return changes_to_state;
    }
    /// The delay from `from` to the change to this state, in ms; negative: there was none.
    double delay_until(State state, double from) const {
        for (const auto& change : changes)
            if (change.to == state) return (change.at - at(from)).count();
        return -1;
    }
    void update_list(UpdateKind kind, const std::vector<EndpointEntry>& entries) {
        EndpointUpdate update;
        update.kind = kind;
        update.entries = entries;
        load_state.update_endpoints(at(now), update);
    }
};

EndpointEntry entry(EndpointId server, Phase phase = Phase::Ready, std::optional<TimePoint> started = {}) {
    EndpointEntry e;
    e.endpoint = server;
    e.phase = phase;
    e.last_start = started;
    return e;
}

TEST(LoadState, StaysBelowStormAtPeaksOfNormalLoad) {
    SimulatedNode node;
    // Waves up to the capacity of the servers and a little beyond: some requests are rejected at each peak
    // and retried.
    for (int wave = 0; wave < 20; ++wave) {
        node.advance(4000, {.first_attempts = 140, .served = 140});
        node.advance(2000,
                     {.first_attempts = 210, .retries = 30, .rejected = 40, .served = 200, .server_ms = 40});
        node.advance(
            1000, {.first_attempts = 230, .retries = 100, .rejected = 130, .served = 200, .server_ms = 45});
    }
    EXPECT_EQ(node.count(State::Storm), 0);
    EXPECT_EQ(node.count(State::Brownout), 0);
    EXPECT_GT(node.count(State::Busy), 0);
}

TEST(LoadState, ReportsStormWhenRejectedClientsRetry) {
    SimulatedNode node;
    node.advance(10000, {});
    node.advance(6000,
                 {.first_attempts = 320, .retries = 180, .rejected = 290, .served = 210, .server_ms = 45});
    EXPECT_EQ(node.load_state.state(), State::Storm);
    EXPECT_GT(node.delay_until(State::Storm, 10000), 1000);
    EXPECT_LT(node.delay_until(State::Storm, 10000), 4000);
    EXPECT_EQ(node.count(State::Brownout), 0);
    // Load during a storm is not learned as usual.
    EXPECT_NEAR(node.load_state.signals().usual_first_attempts_per_s, 200, 30);
    node.advance(8000, {});
    EXPECT_EQ(node.load_state.state(), State::Calm);
}

TEST(LoadState, ReportsBrownoutWhenLessIsServedAtUsualLoad) {
    SimulatedNode node;
    node.advance(10000, {});
    node.advance(5000,
                 {.first_attempts = 200, .retries = 90, .rejected = 190, .served = 100, .server_ms = 70});
    EXPECT_EQ(node.load_state.state(), State::Brownout);
    EXPECT_LT(node.delay_until(State::Brownout, 10000), 3000);
    EXPECT_EQ(node.count(State::Storm), 0);
    EXPECT_GT(node.changes.back().signals.slowdown, 1.35);
    node.advance(8000, {});
    EXPECT_EQ(node.load_state.state(), State::Calm);
}

TEST(LoadState, ReportsStormWhenNothingIsServedAndClientsRetry) {
    SimulatedNode node;
    node.advance(10000, {});
    node.advance(6000, {.first_attempts = 200, .retries = 400, .rejected = 600, .served = 0});
    EXPECT_EQ(node.load_state.state(), State::Storm);
}

TEST(LoadState, NamesTenantThatCausesStorm) {
    SimulatedNode node;
    node.advance(10000, {});
    node.advance(
        5000,
        {.first_attempts = 400, .rejected = 60, .served = 340, .tenant = 1, .tenant_first_attempts = 270});
    EXPECT_EQ(node.load_state.state(), State::Storm);
    ASSERT_FALSE(node.changes.empty());
    EXPECT_EQ(node.changes.back().signals.tenant, 1);
    EXPECT_GT(node.changes.back().signals.tenant_growth, 3);
}

TEST(LoadState, ReportsReleaseWhenServersDrainAndStart) {
    SimulatedNode node;
    node.update_list(UpdateKind::Full, {entry(1), entry(2), entry(3), entry(4)});
    node.advance(5000, {});
    EXPECT_EQ(node.load_state.state(), State::Calm);
    node.update_list(UpdateKind::Delta, {entry(1, Phase::Draining), entry(2, Phase::Draining)});
    node.advance(1000, {});
    EXPECT_EQ(node.load_state.state(), State::Release);
    node.update_list(UpdateKind::Delta,
                     {entry(1, Phase::Removed), entry(5, Phase::Ready, at(node.now - 500))});
    node.advance(9000, {});
    EXPECT_EQ(node.load_state.state(), State::Release) << "the new server is still warming up";
    node.advance(9000, {});
    EXPECT_EQ(node.load_state.state(), State::Calm);
    EXPECT_EQ(node.changes.size(), 2u);
}

TEST(LoadState, ReportsNoReleaseForUnchangedLists) {
    SimulatedNode node;
    node.update_list(UpdateKind::Cached, {entry(8), entry(9)});
    node.update_list(UpdateKind::Full, {entry(1), entry(2), entry(3, Phase::Draining)});
    node.advance(3000, {});
    node.update_list(UpdateKind::Full, {});
    node.update_list(UpdateKind::Failed, {});
    node.update_list(UpdateKind::Full, {entry(1), entry(2), entry(3, Phase::Draining)});
    node.update_list(UpdateKind::Delta, {entry(2, Phase::Removed)});  // crashed without draining
    node.advance(3000, {});
    node.update_list(UpdateKind::Delta, {entry(2, Phase::Ready, at(-60000))});
    node.advance(3000, {});
    EXPECT_TRUE(node.changes.empty());
}

TEST(LoadState, ReportsNoStormForBurstAfterStart) {
    SimulatedNode node;
    node.advance(2000, {.first_attempts = 600, .retries = 400, .rejected = 800, .served = 200});
    node.advance(5000, {});
    EXPECT_EQ(node.count(State::Storm), 0);
    EXPECT_EQ(node.count(State::Brownout), 0);
}

TEST(LoadState, ReturnsToCalmAfterSilence) {
    SimulatedNode node;
    node.advance(10000, {});
    node.advance(6000, {.first_attempts = 320, .retries = 180, .rejected = 290, .served = 210});
    ASSERT_EQ(node.load_state.state(), State::Storm);
    // Also a process that was suspended: time advances in one step.
    node.now += 3.6e6;
    node.advance(4000, {});
    EXPECT_EQ(node.load_state.state(), State::Calm);
}

// For any events: each change is reported once, in order of time, and starts from the state reported before.
TEST(LoadState, ReportsEachChangeOnceForRandomEvents) {
    EXPECT_TRUE(rc::check([](const std::vector<std::uint32_t>& events) {
        LoadState load_state({Duration{600}, Duration{1500}}, 3);
        double now = 0;
        State reported = State::Calm;
        TimePoint last_change = at(0);
        for (std::uint32_t event : events) {
            now += event % 11 == 0 ? event >> 8 & 0xffff : event >> 8 & 0x3f;
            int repetitions = 1 + int(event >> 24) % 40;
            for (int i = 0; i < repetitions; ++i) switch (event % 5) {
                    case 0:
                        load_state.request_arrived(at(now), int(event >> 5) % 4 - 1, event & 0x20);
                        break;
                    case 1:
                        load_state.request_rejected(at(now));
                        break;
                    case 2:
                        load_state.request_completed(at(now), int(event >> 5) % 2, event & 0x40,
                                                     Duration{double(event >> 20)});
                        break;
                    case 3:
                        load_state.server_responded(at(now), int(event >> 5) % 2,
                                                    Duration{double(event >> 20)});
                        break;
                    default:
                        load_state.connection_opened(at(now));
                }
            State previous = load_state.state();
            auto change = load_state.poll_change(at(now));
            if (change) {
                RC_ASSERT(change->to == load_state.state());
                RC_ASSERT(change->at >= last_change);
                last_change = change->at;
                reported = change->to;
            } else {
                RC_ASSERT(load_state.state() == previous);
            }
            RC_ASSERT(reported == load_state.state());
            const LoadState::OverloadSignals& s = load_state.signals();
            RC_ASSERT(std::isfinite(s.slowdown) && s.retry_fraction <= 1 && s.rejected_fraction <= 1 &&
                      s.late_fraction <= 1);
        }
    }));
}

}  // namespace
}  // namespace ochrehub
