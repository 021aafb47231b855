// Slow start: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(SlowStart, SendsInAnyWindowStayWithinThisNodesShare) {
    Settings set = unprobed();
    set.node_count = 3;
    Gateway g(set);
    auto starting = entry(1);
    starting.last_start = at(0);
    g.list(1, {starting});
    std::vector<double> sends;
    for (RequestId i = 0; i < 400; ++i) {
        double t = 2 + 10 * double(i);
        auto to = sent_to(g.arrive(t, i));
        if (!to) continue;
        sends.push_back(t);
        g.ok(t + 5, i, *to, 5);
    }
    ASSERT_FALSE(sends.empty());
    for (std::size_t i = 0; i < sends.size(); ++i) {
        std::size_t in_span = 0;
        for (std::size_t k = i; k < sends.size() && sends[k] < sends[i] + 2000; ++k) ++in_span;
        double share = std::min(1.0, 0.3 + 0.7 * (sends[i] + 2000) / 8000);
        // Its own answers, 1 every 10 ms at most, are all that it knows of an endpoint's capacity.
        EXPECT_LE(double(in_span), std::max(2.0, 2.5 * share * 100 * 2 / 3));
    }
}

// In a release the budget must not follow recent throughput, which the budget itself limits.
TEST(SlowStart, BudgetFollowsCapacityNotThroughput) {
    Settings set = unprobed();
    set.classes.resize(1);
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 6; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    RequestId id = 0;
    std::multimap<double, std::pair<RequestId, EndpointId>> in_flight;
    int sends = 0;
    double took = 60;
    auto play = [&](double from, double to) {  // 100 a second
        sends = 0;
        for (double t = from; t < to; t += 10) {
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !in_flight.empty() && in_flight.begin()->first <= t; in_flight.erase(in_flight.begin()))
                add(g.ok(t, in_flight.begin()->second.first, in_flight.begin()->second.second, took));
            add(g.arrive(t, ++id, 0, 300));
            for (const Forward& f : all_of<Forward>(all)) {
                in_flight.emplace(t + took, std::pair(f.request, f.endpoint));
                ++sends;
            }
        }
    };
    play(1, 10000);
    EXPECT_GT(sends, 800);
    for (EndpointEntry& e : fleet) e.phase = Phase::Removed;
    g.list(10000, fleet, UpdateKind::Delta);
    play(10001, 19000);
    g.run_to(19999);
    for (EndpointEntry& e : fleet) {
        e = entry(e.endpoint + 6);
        e.last_start = at(20000);
    }
    g.list(20000, fleet, UpdateKind::Delta);
    took = 180;
    play(20001, 22000);
    EXPECT_GE(sends, 106);
    EXPECT_LE(sends, 2.5 * 0.48 * 200);
}

// A send counts by its cost, so that the costliest class cannot overload a starting endpoint.
TEST(SlowStart, CountsRequestsByTheirCost) {
    auto sends_of = [](int cls) {
        Settings set = unprobed();
        set.classes[1].idempotency = Idempotency::Idempotent;
        Gateway g(set);
        std::vector<EndpointEntry> fleet = {entry(1), entry(2)};
        g.list(0, fleet);
        RequestId id = 0;
        auto taking = [](int of) { return of == 0 ? 10.0 : 100.0; };
        for (double t = 1; t < 20000; t += 110) {  // the cost of each class becomes known
            int of = int(++id % 2);
            if (auto to = sent_to(g.arrive(t, id, of))) g.ok(t + taking(of), id, *to, taking(of));
        }
        for (EndpointEntry& e : fleet) e.phase = Phase::Draining;
        fleet.push_back(entry(3));
        fleet[2].last_start = at(20002);
        g.list(20002, fleet, UpdateKind::Delta);
        int sends = 0;
        std::multimap<double, RequestId> in_flight;
        for (double t = 20003; t < 21900; t += 5) {
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !in_flight.empty() && in_flight.begin()->first <= t; in_flight.erase(in_flight.begin()))
                add(g.ok(t, in_flight.begin()->second, 3, taking(cls)));
            add(g.arrive(t, ++id, cls, 400));
            for (const Forward& f : all_of<Forward>(all)) {
                EXPECT_EQ(f.endpoint, 3u);
                in_flight.emplace(t + taking(cls), f.request);
                ++sends;
            }
        }
        return sends;
    };
    int light = sends_of(0), heavy = sends_of(1);
    EXPECT_GE(heavy, 1);
    EXPECT_GE(light, 3 * heavy);
}

// The budget must not follow the slots of the largest endpoint.
TEST(SlowStart, DoesNotAssumeLargestCapacityForASmallEndpoint) {
    auto sends_to = [](double size) {
        Settings set = unprobed();
        set.classes.resize(1);
        Gateway g(set);
        auto large = entry(1), starting = entry(2);
        large.weight = 4, starting.weight = size, starting.last_start = at(10'002);
        g.list(0, {large});
        RequestId id = 0;
        for (double t = 10; t < 10'000;
             t += 100) {  // far less than a slot's work, but the cost of a request becomes known
            if (auto to = sent_to(g.arrive(t, ++id))) g.ok(t + 10, id, *to, 10);
        }
        large.phase = Phase::Draining;
        g.list(10'002, {large, starting});
        int sends = 0;
        for (double t = 10'003; t < 12'000; t += 5) {
            auto sent = all_of<Forward>(g.arrive(t, ++id, 0, 100));
            for (std::size_t n = 0; n < sent.size(); ++n) {
                auto more = all_of<Forward>(g.ok(t + 1, sent[n].request, sent[n].endpoint, 10));
                sent.insert(sent.end(), more.begin(), more.end());
            }
            sends += int(sent.size());
        }
        return sends;
    };
    int large = sends_to(4), small = sends_to(1);
    EXPECT_GE(small, 5);
    EXPECT_LE(small, 0.4 * large);
}

// Where each of many nodes sends once, connections cost nearly as much as requests.
TEST(SlowStart, CountsConnectionSetupCost) {
    Settings set = unprobed();
    set.classes.resize(1);
    set.node_count = 60;
    double usual = set.classes[0].latency_objective.count() /
                   4;  // what a request takes; nothing answered says otherwise
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 600; ++seed) {
        Gateway g(set, seed);
        g.list(0, {entry(1)});
        auto starting = entry(1);
        starting.last_start = at(3000);
        g.list(3001, {starting});
        for (RequestId i = 1; i < 200; ++i) {
            auto to = sent_to(g.arrive(3001 + 10 * double(i), i));
            sent += to.has_value();
            if (to) g.end(3002 + 10 * double(i), i, 0, *to, Outcome::Rejected, usual);
        }
    }
    double budget = 0.75 * 2.5 * 0.475 * 2 * 1000 / 1.5 / usual / 60;  // of each, at the span's end
    EXPECT_GT(sent, 0.2 * 600 * budget);
    EXPECT_LE(sent, 0.75 * 600 * budget);
}

TEST(SlowStart, AppliesAfterAnOutageBeforeTheListReportsAStart) {
    Settings set = make_settings();
    Gateway g(set);
    g.list(0, {entry(1)});
    g.run_probed(4000, [](EndpointId) { return Outcome::Ok; });
    g.run_probed(14000, [](EndpointId) { return Outcome::ConnectFailed; });
    g.run_probed(20000, [](EndpointId) { return Outcome::Ok; });
    int sends = 0;
    for (RequestId i = 0; i < 100; ++i) {
        auto to = sent_to(g.arrive(20001 + double(i), i));
        sends += to.has_value();
        if (to) g.ok(20001.5 + double(i), i, *to, 50);
    }
    EXPECT_LE(sends, 60);  // it stands 74 in a span; a warm endpoint would have been sent all hundred
}

// Guards against slow start of a whole warm fleet behind a network outage, in which connections do not come
// up.
TEST(SlowStart, DoesNotApplyAfterAnOutageInWhichNoConnectionCameUp) {
    Settings set = make_settings();
    set.connect_timeout = Duration{75};
    Gateway g(set);
    g.list(0, {entry(1)});
    g.run_probed(4000, [](EndpointId) { return Outcome::Ok; });
    g.run_probed(
        14000, [](EndpointId) { return Outcome::ConnectFailed; }, 75);
    g.run_probed(20000, [](EndpointId) { return Outcome::Ok; });
    int sends = 0;
    for (RequestId i = 0; i < 100; ++i) {
        auto to = sent_to(g.arrive(20001 + double(i), i));
        sends += to.has_value();
        if (to) g.ok(20001.5 + double(i), i, *to, 50);
    }
    EXPECT_EQ(sends, 100);
}

// The same where attempts alone show how an endpoint is: one that refuses connections is slow-started.
TEST(SlowStart, DoesNotApplyWithoutProbesAfterAnOutageInWhichNoConnectionCameUp) {
    auto share_after_outage = [](double connect_failed_after_ms) {
        Settings set = make_settings();
        set.probes = false;
        set.connect_timeout = Duration{75};
        Gateway g(set);
        g.list(0, {entry(1)});
        auto serve = [&](EndpointId, double now) {
            bool down = now > 4000 && now < 14000;
            return down ? std::pair{Outcome::ConnectFailed, connect_failed_after_ms}
                        : std::pair{Outcome::Ok, 10.0};
        };
        return send_steady_load(g, 19000, 21000, 200, serve).share();
    };
    EXPECT_LT(share_after_outage(1), 0.9);
    EXPECT_GE(share_after_outage(75), 0.99);
}

}  // namespace
}  // namespace ochrehub::testing
