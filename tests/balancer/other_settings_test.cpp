// The module with settings of other customers: what is served there, by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>

#include "bench_side.h"

namespace ochrehub::testing {
namespace {

struct Served {
    int asked = 0, served = 0;
    double share() const { return double(served) / std::max(1, asked); }
};

/// Requests of class `cls` at even distances, `per_s` a second, answered as `serve(server, now)` says:
/// {outcome, after how many ms}. Counts those that came from `from_ms` on.
template <class Serve>
Served steady(Gateway& g, double from_ms, double to_ms, double per_s, Serve serve, int cls = 0,
              double patience = 1000) {
    Served all;
    RequestId id = RequestId(g.now * 1000) + 1;
    auto answer = [&](EndpointId s) {
        auto [outcome, took] = serve(s, g.now);
        all.served += outcome == Outcome::Ok && g.now >= from_ms;
        return std::pair{outcome, took};
    };
    for (double t = g.now + 1; t < to_ms; t += 1000 / per_s) {
        all.asked += t >= from_ms;
        g.play(
            t, g.arrive(t, ++id, cls, patience), answer, [](EndpointId) { return 0.0; }, [](EndpointId) {});
        g.play(
            t + 1000 / per_s * 0.99, {}, answer, [](EndpointId) { return 0.0; }, [](EndpointId) {});
    }
    return all;
}

// What is usual was believed to 0.4 of the aim: each answer seemed slow, and limits never grew.
TEST(Usual, AnAimCloseToWhatAnswersTakeLetsLimitsGrow) {
    for (double aim : {170.0, 150.0, 130.0})
        for (bool late : {false, true}) {
            Settings set = unprobed();
            for (ClassSettings& c : set.classes)
                c.latency_objective = Duration{aim}, c.late_response_weight = late ? 0.5 : 0;
            Gateway g(set);
            g.list(0, {entry(1), entry(2), entry(3), entry(4)});
            std::mt19937 random(7);
            std::lognormal_distribution<double> took(std::log(100), 0.1);
            auto serve = [&](EndpointId, double) { return std::pair{Outcome::Ok, took(random)}; };
            EXPECT_GT(steady(g, 10'000, 25'000, 400, serve).share(), 0.98) << aim << (late ? ", late" : "");
        }
}

// What was kept back for the way to the client was 2 ms of any deadline: with 0.78 of the aim for the answer,
// all of 5.
TEST(Queue, ADeadlineOfAFewMillisecondsIsNotRefusedAsItComes) {
    for (double deadline : {5.0, 8.0, 20.0}) {
        Settings set = unprobed();
        for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{deadline};
        Gateway g(set);
        g.list(0, {entry(1)});
        auto serve = [&](EndpointId, double) { return std::pair{Outcome::Ok, 0.42 * deadline}; };
        EXPECT_GT(steady(g, 1000, 10'000, 40, serve, 0, deadline).share(), 0.98) << deadline;
    }
}

// ... and yet a long slow spell teaches nothing: limits stay where they are at slow servers.
TEST(Usual, ASlowSpellIsNotTakenForTheUsualWhereAimsAreWide) {
    Settings set = unprobed();
    for (ClassSettings& c : set.classes) c.latency_objective = Duration{150}, c.late_response_weight = 0.5;
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    auto soon = [](EndpointId, double) { return std::pair{Outcome::Ok, 20.0}; };
    auto slow = [](EndpointId, double) { return std::pair{Outcome::Ok, 200.0}; };
    steady(g, 0, 5000, 100, soon);
    steady(g, 5000, 35'000, 200, slow);
    int held = 0;
    for (RequestId id = 1; id <= 40; ++id) held += sent_to(g.arrive(g.now + 250 * (id == 1), id)).has_value();
    EXPECT_LE(held, 12) << "six at each";
}

/// Server 1 of four errs from 1 s to `till_ms`; sends to it by when they were made.
std::vector<double> tried_at_one_that_errs(Gateway& g, double till_ms, double end_ms, int cls) {
    g.list(0, {entry(1), entry(2), entry(3), entry(4)});
    std::vector<double> tried;
    auto serve = [&](EndpointId s, double now) {
        if (s == 1) tried.push_back(now);
        return std::pair{s == 1 && now > 1000 && now < till_ms ? Outcome::Error : Outcome::Ok, 20.0};
    };
    steady(g, 0, end_ms, 50, serve, cls);
    return tried;
}

// Nothing but a new start brought it back.
TEST(Health, WithoutProbesAnUnhealthyServerIsOnTrialAndComesBack) {
    for (int cls : {0, 1, 2}) {
        Gateway g(unprobed());
        std::vector<double> tried = tried_at_one_that_errs(g, 21'000, 40'000, cls);
        auto between = [&](double from, double to) {
            return std::count_if(tried.begin(), tried.end(), [&](double t) { return t >= from && t < to; });
        };
        EXPECT_GT(between(0, 1000), 8) << cls;
        // Rests of 250 ms that double to 4 s: two in the first second, then four to eight, and never two at
        // once.
        EXPECT_LE(between(4000, 21'000), 9) << cls;
        EXPECT_GE(between(4000, 21'000), cls == 1 ? 1 : 3) << cls;
        for (std::size_t i = 1; i < tried.size(); ++i)
            if (tried[i - 1] > 4000 && tried[i] < 21'000) {
                EXPECT_GT(tried[i] - tried[i - 1], 250) << cls;
            }
        EXPECT_GT(between(32'000, 40'000), 60) << cls << ": a fourth of 400";
    }
}

// An outage of all: what asks meanwhile is the trial, one at each at a time.
TEST(Health, WithoutProbesAFleetComesBackFromAnOutage) {
    for (Outcome down : {Outcome::ConnectFailed, Outcome::Error, Outcome::Timeout}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2), entry(3)});
        auto serve = [&](EndpointId, double now) {
            return std::pair{now > 5000 && now < 25'000 ? down : Outcome::Ok, 20.0};
        };
        EXPECT_GT(steady(g, 35'000, 45'000, 50, serve, 1).share(), 0.98) << int(down);
    }
}

struct Looked {
    int asked = 0, served = 0, probes = 0;
    double waited_ms = 0;
};

/// As a platform hands events over: in batches `granularity` apart, timers before answers. Probes are
/// answered `way_ms` after they were sent; requests have 150 ms.
Looked in_batches(double granularity, double way_ms, bool looks, double per_s = 200, EndpointId servers = 4,
                  double took = 20) {
    Settings set = make_settings();
    set.probes_report_load = looks;
    set.clock_granularity = Duration{granularity};
    for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{150};
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= servers; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    Looked all;
    std::multimap<double, Event> answers;
    std::map<RequestId, double> came;
    std::map<EndpointId, double> held;
    RequestId id = 0;
    auto take = [&](const Actions& actions) {
        for (const Action& action : actions) {
            if (const auto* f = std::get_if<Forward>(&action)) {
                all.waited_ms += g.now - came[f->request];
                ++held[f->endpoint];
                answers.emplace(
                    g.now + took,
                    AttemptEnded{f->request, 0, f->endpoint, Outcome::Ok, Duration{took}, true, {}});
            } else if (const auto* p = std::get_if<Probe>(&action)) {
                ++all.probes;
                double n = held[p->endpoint];
                LoadReport report{n, std::max(0.0, n - 16), {}};
                answers.emplace(g.now + way_ms,
                                ProbeEnded{p->endpoint, Outcome::Ok, Duration{way_ms}, report});
            }
        }
    };
    for (double t = granularity; t < 10'000; t += granularity) {
        g.now = t;
        take(g.run_to(t));
        while (!answers.empty() && answers.begin()->first <= t) {
            Event event = answers.begin()->second;
            answers.erase(answers.begin());
            if (const auto* end = std::get_if<AttemptEnded>(&event)) {
                all.served += t - came[end->request] <= 150;
                --held[end->endpoint];
            }
            take(g.tell(t, event));
        }
        for (; double(id) * 1000 / per_s < t && t < 9500; ++id) {
            came[id] = t;
            ++all.asked;
            take(g.arrive(t, id, 0, 150));
        }
    }
    return all;
}

// The look that was waited for was late or stale when its answer was there, and the next pair was asked, and
// so on. Where looks take long only the newest was sent by each, and the others waited for the next.
TEST(Look, IsInTimeWhereBatchesAreCoarse) {
    for (double granularity : {1.0, 2.0, 5.0, 10.0, 20.0, 40.0}) {
        Looked seen = in_batches(granularity, 1, true);
        EXPECT_GT(seen.served, 0.97 * seen.asked) << granularity;
        EXPECT_LT(seen.probes, 2.5 * seen.asked) << granularity;
    }
}

TEST(Look, IsInTimeWhereTheWayIsLong) {
    for (double way_ms : {1.0, 4.0, 7.0, 15.0, 40.0}) {
        Looked seen = in_batches(1, way_ms, true);
        EXPECT_GT(seen.served, 0.97 * seen.asked) << way_ms;
        EXPECT_LT(seen.probes, 2.5 * seen.asked) << way_ms;
        EXPECT_LT(seen.waited_ms, (way_ms + 2) * seen.asked) << way_ms;
    }
}

// Looks let one or two of those that waited go at a time, whatever the servers bore.
TEST(Look, DoesNotHoldUpAGatewayWithManyRequests) {
    Looked seen = in_batches(1, 0.5, true, 1000, 13, 30);
    EXPECT_GT(seen.served, 0.98 * seen.asked);
}

// A subset was kept small for the price of probes that nobody sends.
TEST(Subset, WithoutProbesTheirPriceKeepsNoServerIdle) {
    Settings set = unprobed();
    set.probe_cost = 0.03;
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 12; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    std::set<EndpointId> used;
    auto serve = [&](EndpointId s, double) {
        used.insert(s);
        return std::pair{Outcome::Ok, 20.0};
    };
    steady(g, 0, 20'000, 20, serve);
    EXPECT_EQ(used.size(), 12u);
}

// One that turned work away was left for 150 to 450 ms, also where nobody else could take it.
TEST(Attempts, TheLastServerThatIsLeftIsNotLeftForTurningWorkAway) {
    for (EndpointId servers : {1u, 2u}) {
        Settings set = unprobed();
        for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{100};
        Gateway g(set);
        std::vector<EndpointEntry> fleet;
        for (EndpointId s = 1; s <= servers; ++s) fleet.push_back(entry(s));
        g.list(0, fleet);
        int n = 0;
        auto serve = [&](EndpointId, double) {
            return ++n % 25 == 0 ? std::pair{Outcome::Rejected, 1.0} : std::pair{Outcome::Ok, 10.0};
        };
        EXPECT_GT(steady(g, 1000, 20'000, 100, serve, 0, 100).share(), 0.94) << servers;
    }
}

// Told to come back when they had given up.
TEST(Queue, TheAdviceOfARefusalIsWithinItsClientsTime) {
    for (double deadline : {100.0, 200.0, 400.0, 600.0, 2000.0}) {
        Settings set = unprobed();
        set.retry_after = true;
        set.max_retry_after = Duration{1200};
        for (ClassSettings& c : set.classes) c.latency_objective = c.request_timeout = Duration{deadline};
        Gateway g(set);
        g.list(0, {});
        double least = 1e9, most = 0;
        for (RequestId id = 0; id < 200; ++id) {
            g.arrive(g.now + 10, id, 0, deadline);
            for (const Reject& r : all_of<Reject>(g.run_to(g.now + deadline))) {
                least = std::min(least, r.retry_after.count());
                most = std::max(most, r.retry_after.count());
            }
        }
        bool sooner = deadline < 500;
        EXPECT_NEAR(least, sooner ? deadline / 4 : 500, 15) << deadline;
        EXPECT_NEAR(most, sooner ? 0.75 * deadline : 1200, 15) << deadline;
    }
}

}  // namespace
}  // namespace ochrehub::testing
