// The design's path and each exception, by hand-built events.
#include <gtest/gtest.h>
#include <malloc.h>

#include <cmath>

#include "bench_side.h"

namespace ochrehub::testing {
namespace {

/// Opens a connection to each of the servers, so that a limit above one holds there.
void warm_up(Gateway& g, const std::vector<EndpointId>& servers, double ms = 1) {
    RequestId id = 1'000'000;
    for (std::size_t i = 0; i < servers.size(); ++i) {
        auto to = sent_to(g.arrive(ms + 2 * double(i), id + i));
        ASSERT_TRUE(to);
        g.ok(ms + 2 * double(i) + 1, id + i, *to);
    }
}

TEST(Rotation, ServesEqualServersInTurn) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2), entry(3)});
    std::map<EndpointId, int> sends;
    for (int i = 0; i < 9; ++i) {
        auto to = sent_to(g.arrive(10 + 100 * i, RequestId(i)));
        ASSERT_TRUE(to);
        ++sends[*to];
        g.ok(60 + 100 * i, RequestId(i), *to);
    }
    EXPECT_EQ(sends, (std::map<EndpointId, int>{{1, 3}, {2, 3}, {3, 3}}));
}

TEST(Rotation, FollowsListWeightsSmoothly) {
    Gateway g(unprobed());
    auto heavy = entry(1);
    heavy.weight = 3;
    g.list(0, {heavy, entry(2)});
    std::map<EndpointId, int> sends;
    int longest = 0, run = 0;
    warm_up(g, {1, 2});
    for (int i = 0; i < 40; ++i) {
        auto to = sent_to(g.arrive(10 + 100 * i, RequestId(i)));
        ASSERT_TRUE(to);
        ++sends[*to];
        run = *to == 1 ? run + 1 : 0;
        longest = std::max(longest, run);
        g.ok(60 + 100 * i, RequestId(i), *to);
    }
    EXPECT_NEAR(sends[1], 30, 2);
    EXPECT_LE(longest, 4);  // smooth: the light server's turns are spread between the heavy one's
}

TEST(Rotation, YieldsToTheNextInTurnThatHoldsLess) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    warm_up(g, {1, 2});
    auto first = sent_to(g.arrive(100, 1));
    auto second = sent_to(g.arrive(101, 2));
    ASSERT_TRUE(first && second);
    ASSERT_NE(*first, *second);
    g.ok(150, 2, *second);
    // In turn is the first again, but it still holds a request and the other does not.
    EXPECT_EQ(sent_to(g.arrive(151, 3)), second);
}

TEST(Health, ThreeFailuresEjectTwoSuccessesReturn) {
    Settings set = make_settings();
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    auto failing = [](EndpointId s) { return s == 1 ? Outcome::Timeout : Outcome::Ok; };
    int failures = 0;
    double ejected_at = 0;
    for (double t = 0; t < 20000 && ejected_at == 0; t += 10) {
        for (const Action& a : g.run_to(t))
            if (const auto* p = std::get_if<Probe>(&a)) {
                failures += p->endpoint == 1;
                if (!all_of<Log>(g.probe(t, p->endpoint, failing(p->endpoint))).empty()) ejected_at = t;
            }
    }
    EXPECT_EQ(failures, 3);
    EXPECT_LT(ejected_at, 10000);
    for (RequestId i = 0; i < 6; ++i) {
        auto to = sent_to(g.arrive(ejected_at + 1 + double(i), i));
        ASSERT_TRUE(to);
        EXPECT_EQ(*to, 2u);
        g.ok(ejected_at + 1.5 + double(i), i, *to, 0.5);
    }
    int successes = 0;
    bool back = false;
    for (double t = ejected_at + 10; t < ejected_at + 20000 && !back; t += 10) {
        for (const Action& a : g.run_to(t))
            if (const auto* p = std::get_if<Probe>(&a)) {
                successes += p->endpoint == 1;
                g.probe(t, p->endpoint, Outcome::Ok);
            }
        RequestId id = RequestId(t * 10);
        for (RequestId k = 0; k < 2; ++k) {
            auto to = sent_to(g.arrive(t, id + k));
            ASSERT_TRUE(to);
            back = back || *to == 1;
            g.ok(t, id + k, *to, 0.5);
        }
    }
    EXPECT_TRUE(back);
    EXPECT_EQ(successes, 2);
}

TEST(Health, FlappingProbesKeepTheStatus) {
    Gateway g;
    g.list(0, {entry(1)});
    int n = 0;
    auto flapping = [&n](EndpointId) {
        return ++n % 3 == 0 ? Outcome::Ok : Outcome::Timeout;
    };  // never three in a row
    EXPECT_TRUE(all_of<Log>(g.run_probed(30000, flapping)).empty());
    EXPECT_GT(n, 10);
}

TEST(Health, UnansweredProbesFailByTheirOwnTimer) {
    Gateway g;
    g.list(0, {entry(1)});
    auto actions = g.run_to(10000);  // no result ever comes
    EXPECT_EQ(all_of<Log>(actions).size(), 1u);
}

TEST(Health, ProbeIntervalStaysBelowFiveSeconds) {
    Gateway g;
    g.list(0, {entry(1), entry(2), entry(3)});
    std::map<EndpointId, double> last;
    for (double t = 0; t < 30000; t += 5)
        for (const Action& a : g.run_to(t))
            if (const auto* p = std::get_if<Probe>(&a)) {
                EXPECT_LE(t - last[p->endpoint], 2010);
                last[p->endpoint] = t;
                g.probe(t, p->endpoint, Outcome::Ok);
            }
    EXPECT_EQ(last.size(), 3u);
}

TEST(Health, AllUnhealthyMeansWaitingThenAnEndInTime) {
    Gateway g;
    g.list(0, {entry(1), entry(2)});
    g.run_probed(10000, [](EndpointId) { return Outcome::ConnectFailed; });
    auto arrived = g.arrive(10001, 1, 1);
    EXPECT_FALSE(sent_to(arrived));
    EXPECT_TRUE(all_of<Reject>(arrived).empty());  // it waits for recovery
    auto later = g.run_to(10401);
    EXPECT_EQ(all_of<Reject>(later).size(), 1u);  // and is refused before its aim has passed
}

// Servers answer few probes a second well. Those left Healthy paid for all probes, so that the fewer they
// were the more were sent to the others, and none of them passed two in a row: after an outage that was over
// the fleet stayed Unhealthy for as long as clients asked.
TEST(Health, AFleetThatAnswersTwoProbesASecondComesBackUnderAStorm) {
    Settings set = make_settings();
    set.probe_cost = 0.03;
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 10; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    std::map<EndpointId, std::vector<double>> probes;
    std::map<RequestId, int> attempts;
    RequestId id = 0;
    int served = 0;
    double most = 0;
    for (double t = 0; t < 25000; t += 5) {
        bool down = t > 2000 && t < 10000;
        std::vector<Action> actions = g.run_to(t);
        // 1,000 first tries a second, as clients send that are refused and ask again.
        for (int k = 0; k < 5; ++k)
            for (const Action& a : g.arrive(t, ++id)) actions.push_back(a);
        for (std::size_t i = 0; i < actions.size(); ++i) {
            if (const auto* p = std::get_if<Probe>(&actions[i])) {
                auto& last = probes[p->endpoint];
                // Another gateway's probes count too: of this one's, one in 500 ms is answered well.
                bool well = last.empty() || t - last.back() >= 500;
                if (well) last.push_back(t);
                Outcome up = well ? Outcome::Ok : Outcome::Error;
                auto more = g.probe(t, p->endpoint, down ? Outcome::ConnectFailed : up);
                actions.insert(actions.end(), more.begin(), more.end());
            } else if (const auto* f = std::get_if<Forward>(&actions[i])) {
                Outcome came = down ? Outcome::ConnectFailed : Outcome::Ok;
                auto more = g.end(t, f->request, attempts[f->request]++, f->endpoint, came, 2, !down);
                actions.insert(actions.end(), more.begin(), more.end());
                if (!down && t > 13000) ++served;
            }
        }
        most = t;
    }
    EXPECT_GT(served, 0.5 * (most - 13000)) << "of 1,000 a second";
}

TEST(Registry, RemovedDrainingAndGoneHostsGetNothing) {
    for (Phase phase : {Phase::Draining, Phase::Removed}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        auto leaving = entry(1);
        leaving.phase = phase;
        g.list(10, {leaving}, UpdateKind::Delta);
        for (RequestId i = 0; i < 6; ++i) {
            auto to = sent_to(g.arrive(20 + 100 * double(i), i));
            ASSERT_TRUE(to);
            EXPECT_EQ(*to, 2u);
            g.ok(60 + 100 * double(i), i, *to);
        }
    }
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    g.list(10, {entry(2)}, UpdateKind::Full);  // missing from a full list: removed
    for (RequestId i = 0; i < 4; ++i) {
        auto to = sent_to(g.arrive(20 + 100 * double(i), i));
        ASSERT_TRUE(to);
        EXPECT_EQ(*to, 2u);
        g.ok(60 + 100 * double(i), i, *to);
    }
}

TEST(Registry, WhereRemovalDoesNotBindGoneHostsStayInUse) {
    Settings set = unprobed();
    set.removal_not_binding = true;
    Gateway g(set);
    g.list(0, {entry(1)});
    auto gone = entry(1);
    gone.phase = Phase::Removed;
    g.list(10, {gone}, UpdateKind::Delta);
    EXPECT_EQ(sent_to(g.arrive(20, 1)), EndpointId{1});
    g.ok(60, 1, 1);
    auto draining = entry(1);
    draining.phase = Phase::Draining;
    g.list(70, {draining}, UpdateKind::Delta);
    g.list(80, {gone}, UpdateKind::Delta);
    EXPECT_FALSE(sent_to(g.arrive(90, 2)));
}

TEST(Registry, SubscribesAndAsksAgainAfterAFailure) {
    Settings set = unprobed();
    set.polls_discovery = set.watches_discovery = true;
    Gateway g(set);
    g.list(0, {entry(1)}, UpdateKind::Cached);
    EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(50)).size(), 1u);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(all_of<WatchEndpoints>(g.list(g.now + 10, {}, UpdateKind::Failed)).empty());
        auto again = g.run_to(g.now + 7000);
        EXPECT_EQ(all_of<WatchEndpoints>(again).size(), 1u);
    }
    EXPECT_TRUE(sent_to(g.arrive(g.now + 1, 1)));  // the old list stays in force
}

// Where the list is pushed, what the agent has counts as told at once: 2 s later nothing may go to a server
// that drains.
TEST(Registry, AnAgentIsWatchedFromTheFirstMomentAndAgainWithinASecondHoweverLargeTheFleet) {
    Settings set = unprobed();
    set.watches_discovery = true;
    set.node_count = 300;
    Gateway g(set);
    g.list(0, {entry(1)}, UpdateKind::Cached);
    EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(1)).size(), 1u);
    for (int i = 0; i < 8; ++i) {
        g.list(g.now + 10, {}, UpdateKind::Failed);
        EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(g.now + 800)).size(), 1u);
    }
}

TEST(Attempts, OutcomesThatProveItNeverRanAreTriedElsewhereForEveryClass) {
    for (int cls = 0; cls < 3; ++cls)
        for (Outcome outcome : {Outcome::Rejected, Outcome::ConnectFailed}) {
            Gateway g(unprobed());
            g.list(0, {entry(1), entry(2)});
            auto first = sent_to(g.arrive(10, 1, cls));
            ASSERT_TRUE(first);
            auto second = sent_to(g.end(15, 1, 0, *first, outcome, 5));
            ASSERT_TRUE(second);
            EXPECT_NE(*first, *second);
        }
}

TEST(Attempts, AnUnsafeRequestThatMayHaveRunIsFailedAtOnce) {
    for (Outcome outcome : {Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        auto to = sent_to(g.arrive(10, 1, 1));
        ASSERT_TRUE(to);
        auto after = g.end(15, 1, 0, *to, outcome, 5);
        EXPECT_FALSE(sent_to(after));
        EXPECT_EQ(all_of<Fail>(after).size(), 1u);
        EXPECT_TRUE(all_of<Reject>(after).empty());
    }
}

TEST(Attempts, ATimeoutAtTheDeadlineIsAnsweredAtOnce) {
    Gateway g(unprobed());
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(10, 1, 1)));
    auto after = g.end(1010, 1, 0, 1, Outcome::Timeout, 1000);
    EXPECT_EQ(all_of<Fail>(after).size(), 1u);
}

// Work whose aim had passed filled the servers' queues and made the next in line late as well.
TEST(Attempts, TimeOutAtTheAimWhereCancellingIsAllowed) {
    for (bool cancel : {false, true}) {
        Settings set = unprobed();
        set.cancel = cancel;
        Gateway g(set);
        g.list(0, {entry(1)});
        auto sends = all_of<Forward>(g.arrive(10, 1));
        ASSERT_EQ(sends.size(), 1u);
        EXPECT_DOUBLE_EQ(sends[0].timeout.count(), cancel ? 400 : 0);
        auto after = g.end(410, 1, 0, 1, Outcome::Timeout, 400);
        EXPECT_EQ(all_of<Reject>(after).size(), 1u);
    }
}

TEST(Attempts, RetryBudgetEndsARunOfErrors) {
    Gateway g(unprobed());
    std::vector<EndpointEntry> servers;
    for (EndpointId id = 1; id <= 20; ++id) servers.push_back(entry(id));
    g.list(0, servers);
    int retried = 0;
    for (RequestId i = 0; i < 60; ++i) {
        double t = 10 + 30 * double(i);
        auto to = sent_to(g.arrive(t, i));
        if (!to) continue;
        auto again = sent_to(g.end(t + 5, i, 0, *to, Outcome::Error, 5));
        retried += again.has_value();
        if (again) g.end(t + 10, i, 1, *again, Outcome::Ok, 5, true);
    }
    EXPECT_GT(retried, 3);
    EXPECT_LT(retried, 25);  // a fifth of the first tries and a small burst
}

TEST(Queue, WhatCannotMeetItsAimIsRefusedAtOnceWithAdvice) {
    Settings set = unprobed();
    set.retry_after = true;
    set.max_retry_after = Duration{2000};
    Gateway g(set);
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(10, 1)));      // one at a time until a connection stands
    EXPECT_FALSE(sent_to(g.arrive(11, 2, 1)));  // waits here
    auto later = g.run_to(411);
    auto refused = all_of<Reject>(later);
    ASSERT_EQ(refused.size(), 1u);
    EXPECT_EQ(refused[0].request, 2u);
    EXPECT_GT(refused[0].retry_after.count(), 0);
    EXPECT_LE(refused[0].retry_after.count(), 2000);
}

TEST(Queue, TheMostWorthGoesFirst) {
    Settings set = unprobed();
    set.classes[1].priority_weight = 10;
    Gateway g(set);
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(10, 1)));
    g.arrive(11, 2, 0);
    g.arrive(12, 3, 1);
    auto sends = all_of<Forward>(g.ok(60, 1, 1));
    ASSERT_FALSE(sends.empty());
    EXPECT_EQ(sends[0].request, 3u);
}

// A slow spell once taught the gateway a service time so long that it refused everything at arrival ever
// after.
TEST(Queue, ASlowSpellDoesNotTurnIntoRefusingForEver) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    int served = 0;
    for (RequestId i = 0; i < 400; ++i) {  // forty seconds, the first twenty of them slow
        double t = 10 + 100 * double(i);
        auto serve = [&](EndpointId) { return std::pair{Outcome::Ok, i < 200 ? 440.0 : 50.0}; };
        auto count = [&](EndpointId) { served += i >= 300; };
        g.play(
            t + 99, g.arrive(t, i), serve, [](EndpointId) { return 0.0; }, count);
    }
    EXPECT_GE(served, 90);  // of the last hundred
}

// A single request of each of two gateways leaves a server idle while it waits elsewhere.
TEST(Queue, ASlowSpellLeavesTwoGatewaysThreeRequestsAServer) {
    Settings set = unprobed();
    set.node_count = 2;
    set.classes[0].late_response_weight = 0.5;
    Gateway g(set);
    g.list(0, {entry(1), entry(2), entry(3)});
    for (RequestId id = 1; id <= 100; ++id) {
        double t = 200.0 * double(id), took = id < 88 ? 20 : 199;
        if (auto to = sent_to(g.arrive(t, id))) g.ok(t + took, id, *to, took);
    }
    int sent = 0;
    for (RequestId id = 101; id <= 110; ++id) sent += sent_to(g.arrive(20'300, id)).has_value();
    EXPECT_EQ(sent, 9);  // a limit of 2.5 at each of three
}

// Told to come back while there is time for that: behind the half it is too late to be of use to anybody.
TEST(Queue, WhatNoServerTakesIsGivenUpBeforeHalfOfItsTime) {
    Settings set = unprobed();
    for (ClassSettings& c : set.classes) c.late_response_weight = 0.5;
    for (int cls : {0, 1, 2}) {
        Gateway g(set);
        g.list(0, {});
        EXPECT_TRUE(all_of<Reject>(g.arrive(10, 1, cls, 800)).empty());
        EXPECT_TRUE(all_of<Reject>(g.run_to(10 + 0.46 * 800)).empty());
        EXPECT_EQ(all_of<Reject>(g.run_to(10 + 0.48 * 800)).size(), 1u);
    }
}

// An answer that would most likely come too late is not worth a server's time while all are slow.
TEST(Queue, NothingIsStartedThatCouldNotBeAnsweredInMoreThanTheUsualTime) {
    Settings set = unprobed();
    set.classes[0].late_response_weight = 0.5;
    Gateway g(set);
    g.list(0, {entry(1)});
    for (RequestId id = 1; id <= 60; ++id)
        if (auto to = sent_to(g.arrive(300.0 * double(id), id))) g.ok(300.0 * double(id) + 150, id, *to, 150);
    EXPECT_FALSE(sent_to(g.arrive(20'000, 100, 0, 215)).has_value());
    EXPECT_TRUE(sent_to(g.arrive(20'100, 101, 0, 400)).has_value());
}

TEST(ColdStart, SendsInAnySpanStayInsideThisGatewaysShare) {
    Settings set = unprobed();
    set.node_count = 3;
    Gateway g(set);
    auto cold = entry(1);
    cold.last_start = at(0);
    g.list(1, {cold});
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
        // Its own answers, 1 every 10 ms at most, are all that it knows of a host's capacity.
        EXPECT_LE(double(in_span), std::max(2.0, 2.5 * share * 100 * 2 / 3));
    }
}

// What a cold server may be sent followed what was served of late: in a release, where that is what cold
// servers are sent, both went down together and stayed down till all were warm.
TEST(ColdStart, ItsBudgetComesOfWhatCouldBeServedAndNotOfWhatIs) {
    Settings set = unprobed();
    set.classes.resize(1);
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 6; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    RequestId id = 0;
    std::multimap<double, std::pair<RequestId, EndpointId>> under_way;
    int sends = 0;
    double took = 60;
    auto play = [&](double from, double to) {  // 100 a second
        sends = 0;
        for (double t = from; t < to; t += 10) {
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !under_way.empty() && under_way.begin()->first <= t; under_way.erase(under_way.begin()))
                add(g.ok(t, under_way.begin()->second.first, under_way.begin()->second.second, took));
            add(g.arrive(t, ++id, 0, 300));
            for (const Forward& f : all_of<Forward>(all)) {
                under_way.emplace(t + took, std::pair(f.request, f.endpoint));
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

// A send counted as one whatever it costs: a cold server that got its budget of the heaviest class was pushed
// over.
TEST(ColdStart, AHeavySendCountsForAsManyLightOnesAsItTakes) {
    auto sends_of = [](int cls) {
        Settings set = unprobed();
        set.classes[1].idempotency = Idempotency::Idempotent;
        Gateway g(set);
        std::vector<EndpointEntry> fleet = {entry(1), entry(2)};
        g.list(0, fleet);
        RequestId id = 0;
        auto taking = [](int of) { return of == 0 ? 10.0 : 100.0; };
        for (double t = 1; t < 20000; t += 110) {  // what each class takes is learnt
            int of = int(++id % 2);
            if (auto to = sent_to(g.arrive(t, id, of))) g.ok(t + taking(of), id, *to, taking(of));
        }
        for (EndpointEntry& e : fleet) e.phase = Phase::Draining;
        fleet.push_back(entry(3));
        fleet[2].last_start = at(20002);
        g.list(20002, fleet, UpdateKind::Delta);
        int sends = 0;
        std::multimap<double, RequestId> under_way;
        for (double t = 20003; t < 21900; t += 5) {
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !under_way.empty() && under_way.begin()->first <= t; under_way.erase(under_way.begin()))
                add(g.ok(t, under_way.begin()->second, 3, taking(cls)));
            add(g.arrive(t, ++id, cls, 400));
            for (const Forward& f : all_of<Forward>(all)) {
                EXPECT_EQ(f.endpoint, 3u);
                under_way.emplace(t + taking(cls), f.request);
                ++sends;
            }
        }
        return sends;
    };
    int light = sends_of(0), heavy = sends_of(1);
    EXPECT_GE(heavy, 1);
    EXPECT_GE(light, 3 * heavy);
}

// What the slots of the largest server carry was taken for what any cold one does.
TEST(ColdStart, ASmallHostIsNotTakenForOneAsLargeAsAny) {
    auto sends_to = [](double size) {
        Settings set = unprobed();
        set.classes.resize(1);
        Gateway g(set);
        auto large = entry(1), cold = entry(2);
        large.weight = 4, cold.weight = size, cold.last_start = at(10'002);
        g.list(0, {large});
        RequestId id = 0;
        for (double t = 10; t < 10'000;
             t += 100) {  // far less than a slot's work, but what a request takes is learnt
            if (auto to = sent_to(g.arrive(t, ++id))) g.ok(t + 10, id, *to, 10);
        }
        large.phase = Phase::Draining;
        g.list(10'002, {large, cold});
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

// A process that had just begun took the whole of a cold server's budget, whatever one before it in its place
// had sent.
TEST(ColdStart, ProcessesThatFollowEachOtherStayInsideOnesBudget) {
    Settings set = unprobed();
    set.classes.resize(1);
    auto cold = entry(1);
    cold.last_start = at(1000);
    double most = 0,
           usual = set.classes[0].latency_objective.count() /
                   4;  // what a request takes; nothing answered says otherwise
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        std::vector<double> sends;
        for (int life = 0; life < 12; ++life) {
            Gateway g(set, seed * 100 + std::uint64_t(life));
            double begins = 3000 + 400.0 * life;
            g.list(begins, {cold});
            for (RequestId i = 1; i < 200; ++i) {
                double t = begins + 2 * double(i);
                auto to = sent_to(g.arrive(t, i));
                if (!to) continue;
                sends.push_back(t);
                g.end(t + 1, i, 0, *to, Outcome::Rejected, usual);
            }
        }
        for (std::size_t i = 0; i < sends.size(); ++i) {
            double in_span = 0, share = std::min(1.0, 0.3 + 0.7 * (sends[i] - 1000) / 8000);
            for (std::size_t k = i; k < sends.size() && sends[k] < sends[i] + 2000; ++k) ++in_span;
            double budget = 2.5 * share * 2 * 1000 / 1.5 / usual;  // of one slot, at the span's begin
            most = std::max(most, (in_span - budget) / (2 * std::sqrt(budget) + 2));
        }
        EXPECT_GT(sends.size(), 5u) << seed;
    }
    EXPECT_LE(most, 1);
}

// Where each of many sends once, nearly as much arrives for their connections as for what they send.
TEST(ColdStart, ASendThatOpensAConnectionCountsForMore) {
    Settings set = unprobed();
    set.classes.resize(1);
    set.node_count = 60;
    double usual = set.classes[0].latency_objective.count() /
                   4;  // what a request takes; nothing answered says otherwise
    int sent = 0;
    for (std::uint64_t seed = 1; seed <= 600; ++seed) {
        Gateway g(set, seed);
        g.list(0, {entry(1)});
        auto cold = entry(1);
        cold.last_start = at(3000);
        g.list(3001, {cold});
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

TEST(ColdStart, AHostBackFromAnOutageIsColdBeforeTheListSaysSo) {
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
    EXPECT_LE(sends, 60);  // it stands 74 in a span; a warm host would have been sent all hundred
}

// Many gateways, each told of the same start, with more requests than the host can carry: what they send
// together in any span stays under its budget, and it is not left idle either.
class ColdHost : public ::testing::TestWithParam<int> {};

TEST_P(ColdHost, IsNotPushedOverByTheSumOfAllGateways) {
    int gateways = GetParam();
    Settings set = unprobed();
    set.node_count = gateways;
    set.slow_start_duration = Duration{8000};
    std::vector<double> sends;
    for (int k = 0; k < gateways; ++k) {
        Gateway g(set, std::uint64_t(k) * 7919 + 1);
        auto cold = entry(1);
        cold.last_start = at(1000);
        g.list(1, {entry(1)});
        g.list(1001 + 50.0 * k / gateways, {cold}, UpdateKind::Delta);
        double gap = std::max(20.0, gateways / 0.5);  // up to 500 requests a second in all
        for (RequestId i = 0;; ++i) {
            double t = 1100 + gap * (double(i) + double(k) / gateways);
            if (t >= 9000) break;
            // One core: 20 a second when warm, and as much slower as it is cold.
            double share = std::min(1.0, 0.3 + 0.7 * (t - 1000) / 8000);
            auto sent = all_of<Forward>(g.arrive(t, i));
            for (std::size_t n = 0; n < sent.size(); ++n) {
                sends.push_back(t);
                auto more = all_of<Forward>(g.ok(t + 5, sent[n].request, sent[n].endpoint, 50 / share));
                sent.insert(sent.end(), more.begin(), more.end());
            }
        }
    }
    std::sort(sends.begin(), sends.end());
    ASSERT_GT(sends.size(), 10u);
    for (std::size_t i = 0; i < sends.size(); ++i) {
        std::size_t in_span = 0;
        for (std::size_t k = i; k < sends.size() && sends[k] < sends[i] + 2000; ++k) ++in_span;
        double share = std::min(1.0, 0.3 + 0.7 * (sends[i] - 1000) / 8000);
        EXPECT_LE(double(in_span), 2.5 * share * 20 * 2) << "from " << sends[i];
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets, ColdHost, ::testing::Values(1, 3, 1000));

// In a large fleet few gateways use a server. A hundredth of a cold host's budget for each of a hundred left
// it almost idle until it counted as warm, while the others queued.
TEST(ColdStart, IsNotLeftIdleWhereFewOfManyGatewaysUseIt) {
    Settings set = make_settings();
    set.node_count = 100;
    set.probe_cost = 0.08;
    set.slow_start_duration = Duration{8000};
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 60; ++id) fleet.push_back(entry(id));
    std::vector<double> sends;  // to the first twenty, which start together
    for (int k = 0; k < 100; ++k) {
        set.node_index = k;
        Gateway g(set, std::uint64_t(k) * 7919 + 1);
        g.list(0, fleet);
        RequestId id = 0;
        for (double t = 10.0 + k / 2.0; t < 9000; t += 60) {
            if (t > 1010 && t < 1071) {
                std::vector<EndpointEntry> fresh(fleet.begin(), fleet.begin() + 20);
                for (EndpointEntry& one : fresh) one.last_start = at(1000);
                g.list(t - 1, fresh, UpdateKind::Delta);
            }
            g.run_probed(t, [](EndpointId) { return Outcome::Ok; });
            auto to = sent_to(g.arrive(t, ++id));
            if (!to) continue;
            double share = *to > 20 || t < 1071 ? 1 : 0.3 + 0.7 * (t - 1000) / 8000;
            if (*to <= 20 && t >= 1071) sends.push_back(t);
            g.ok(t + 5, id, *to, 50 / share);
        }
    }
    std::sort(sends.begin(), sends.end());
    // Twenty hosts, each of 50 ms a send: 20 a second when warm. A third of what they could carry at the
    // least, twice at the most.
    for (double from = 2500; from + 1500 <= 8500; from += 1500) {
        auto in_span =
            std::count_if(sends.begin(), sends.end(), [&](double t) { return t >= from && t < from + 1500; });
        double could = 20 * 1.5 * 20 * (0.3 + 0.7 * (from - 1000) / 8000);
        EXPECT_GE(double(in_span), could / 3) << "from " << from;
        EXPECT_LE(double(in_span), could * 2) << "from " << from;
    }
}

// Sizes that fall with what servers hold made an idle cold one the largest of all, and its budget with it.
TEST(ColdStart, ALiveSizeSaysNothingOfWhatAColdServerBears) {
    auto sends_at = [](bool live, double warm_size) {
        Settings set = unprobed();
        set.classes.resize(1);
        set.weights_track_load = live;
        Gateway g(set);
        std::vector<EndpointEntry> fleet = {entry(1), entry(2), entry(3)};
        for (EndpointEntry& e : fleet) e.weight = warm_size;
        g.list(0, fleet);
        std::multimap<double, std::pair<RequestId, EndpointId>> under_way;
        RequestId id = 0;
        int sends = 0;
        for (double t = 1; t < 22'000; t += 10) {
            if (id == 2000) {
                fleet.push_back(entry(4));
                fleet.back().last_start = at(t);
                g.list(t, fleet);
            }
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !under_way.empty() && under_way.begin()->first <= t; under_way.erase(under_way.begin()))
                add(g.ok(t, under_way.begin()->second.first, under_way.begin()->second.second, 50));
            add(g.arrive(t, ++id, 0, 400));
            for (const Forward& f : all_of<Forward>(all)) {
                under_way.emplace(t + 50, std::pair(f.request, f.endpoint));
                sends += f.endpoint == 4;
            }
        }
        return sends;
    };
    // Three servers carry 100 a second: in the 2 s behind its start a cold one stands 2.5 times 0.39 of 33 a
    // second.
    EXPECT_LE(sends_at(false, 1), 64);
    EXPECT_LE(sends_at(true, 0.1), 64);
    EXPECT_GE(sends_at(true, 0.1), 20);
}

// What warm ones take was believed as it came: a process whose first answer was slow sent a cold server next
// to nothing.
TEST(ColdStart, ASlowFirstAnswerDoesNotKeepWorkFromAColdServer) {
    auto sends = [](double first_ms) {
        Settings set = unprobed();
        set.classes.resize(1);
        Gateway g(set);
        std::vector<EndpointEntry> fleet = {entry(1), entry(2), entry(3)};
        g.list(0, fleet);
        std::multimap<double, std::pair<RequestId, EndpointId>> under_way;
        RequestId id = 0;
        int sent = 0;
        for (double t = 1; t < 1500; t += 10) {
            if (id == 12) {
                fleet.push_back(entry(4));
                fleet.back().last_start = at(t);
                g.list(t, fleet);
            }
            Actions all = g.run_to(t);
            auto add = [&](const Actions& more) { all.insert(all.end(), more.begin(), more.end()); };
            for (; !under_way.empty() && under_way.begin()->first <= t; under_way.erase(under_way.begin())) {
                auto [request, server] = under_way.begin()->second;
                add(g.ok(t, request, server, request <= 3 ? first_ms : 50));
            }
            add(g.arrive(t, ++id, 0, 4000));
            for (const Forward& f : all_of<Forward>(all)) {
                under_way.emplace(t + 50, std::pair(f.request, f.endpoint));
                sent += f.endpoint == 4;
            }
        }
        return sent;
    };
    EXPECT_GE(sends(2000), sends(50) / 2);
    EXPECT_GE(sends(50), 10);
}

// Without quotas each gateway was given three servers, as for one request a second, and a cold one that fell
// to nobody got nothing till it was warm.
TEST(Subset, WhereNoQuotaIsToldNobodyIsGivenServers) {
    Settings set = make_settings();
    set.node_count = 3;
    set.node_index = 0;
    set.probe_cost = 0.08;
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 12; ++id) {
        fleet.push_back(entry(id));
        fleet.back().last_start = at(1);
    }
    g.list(1, fleet);
    std::set<EndpointId> used;
    RequestId id = 0;
    for (double t = 10; t < 7000; t += 10) {
        g.run_probed(t, [](EndpointId) { return Outcome::Ok; });
        if (auto to = sent_to(g.arrive(t, ++id))) {
            used.insert(*to);
            g.ok(t + 5, id, *to, 5);
        }
    }
    EXPECT_GE(used.size(), 6u) << "of as many as its requests are worth; it was two";
}

// Gateways that work out who uses what must come to the same, however much each has to do: one that is busy
// uses further servers beside those it is given, and no others in their place.
TEST(Subset, WhatAGatewayIsGivenDoesNotFollowItsLoad) {
    Settings set = make_settings();
    set.node_count = 100;
    set.probe_cost = 0.08;
    set.tenants = {{1600, 1}};  // 16 a second for each gateway, which is worth four servers
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 60; ++id) fleet.push_back(entry(id));
    auto probed = [&](int me, double gap) {
        set.node_index = me;
        Gateway g(set, std::uint64_t(me) * 7919 + 1);
        g.list(1, fleet);
        std::set<EndpointId> servers;
        RequestId id = 0;
        for (double t = 10; t < 20000; t += gap) {
            for (const Probe& p : all_of<Probe>(g.run_probed(t, [](EndpointId) { return Outcome::Ok; })))
                if (t > 15000) servers.insert(p.endpoint);
            if (auto to = sent_to(g.arrive(t, ++id))) g.ok(t + 5, id, *to, 5);
        }
        return servers;
    };
    for (int me = 0; me < 100; me += 5) {
        std::set<EndpointId> quiet = probed(me, 300), usual = probed(me, 60), busy = probed(me, 25);
        EXPECT_EQ(quiet.size(), 3u) << me;
        EXPECT_GE(usual.size(), 4u) << me;
        EXPECT_GE(busy.size(), 6u) << me;
        EXPECT_TRUE(std::includes(usual.begin(), usual.end(), quiet.begin(), quiet.end())) << me;
        EXPECT_TRUE(std::includes(busy.begin(), busy.end(), usual.begin(), usual.end())) << me;
    }
}

TEST(ColdStart, ARestartCountsAtOnceThoughTheHostWasJustWeighed) {
    Settings set = unprobed();
    set.node_count = 1000;
    int sends = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Gateway g(set, seed);
        g.list(0, {entry(1)});
        g.arrive(1000, 1);
        g.ok(1010, 1, 1, 10);
        auto cold = entry(1);
        cold.last_start = at(1015);
        g.list(1020, {cold}, UpdateKind::Delta);
        sends += sent_to(g.arrive(1030, 2)).has_value();
    }
    EXPECT_LE(sends, 20);  // a warm host would be sent all two hundred
}

TEST(Subset, ProbesOfManyGatewaysStayFewAndWhatFailsIsMadeUpFor) {
    Settings set = make_settings();
    set.node_count = 1000;
    set.connection_cost = 0.03;
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 200; ++id) fleet.push_back(entry(id));
    g.list(0, fleet);
    std::set<EndpointId> probed, later;
    auto all = g.run_probed(5000, [](EndpointId) { return Outcome::Ok; });
    for (const Probe& p : all_of<Probe>(all)) probed.insert(p.endpoint);
    EXPECT_GE(probed.size(), 3u);
    EXPECT_LE(probed.size(), 20u);
    auto lost = g.run_probed(
        15000, [&](EndpointId id) { return probed.count(id) ? Outcome::ConnectFailed : Outcome::Ok; });
    for (const Probe& p : all_of<Probe>(lost))
        if (!probed.count(p.endpoint)) later.insert(p.endpoint);
    EXPECT_GE(later.size(), probed.size());
    auto to = sent_to(g.arrive(15001, 1));
    ASSERT_TRUE(to);
    EXPECT_TRUE(later.count(*to));
}

TEST(Subset, AFewGatewaysWithManyRequestsUseEveryServer) {
    Settings set = unprobed();
    Gateway g(set);
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 12; ++id) fleet.push_back(entry(id));
    g.list(0, fleet);
    std::set<EndpointId> used;
    for (RequestId i = 0; i < 200; ++i) {
        auto to = sent_to(g.arrive(1000 + 10.0 * double(i), i));
        ASSERT_TRUE(to);
        used.insert(*to);
        g.ok(1005 + 10.0 * double(i), i, *to, 5);
    }
    EXPECT_GE(used.size(), 6u) << "of as many as its requests are worth; it was two";
}

Settings looking() {
    Settings set = make_settings();
    set.probes_report_load = true;
    return set;
}

TEST(Look, AsksTheOneInTurnAndTheNextAndSendsToTheIdleOne) {
    Gateway g(looking());
    g.list(0, {entry(1), entry(2)});
    auto arrived = g.arrive(3000, 1);
    auto asked = all_of<Probe>(arrived);
    ASSERT_EQ(asked.size(), 2u);
    EXPECT_FALSE(sent_to(arrived));
    EXPECT_FALSE(sent_to(g.probe(3001, 1, Outcome::Ok, 3, 2)));
    EXPECT_EQ(sent_to(g.probe(3001, 2, Outcome::Ok, 0, 0)), EndpointId{2});
}

TEST(Look, AServerThatDoesNotAnswerIsPassedOver) {
    Gateway g(looking());
    g.list(0, {entry(1), entry(2)});
    ASSERT_EQ(all_of<Probe>(g.arrive(3000, 1)).size(), 2u);
    EXPECT_FALSE(sent_to(g.probe(3001, 2, Outcome::Ok, 1, 0)));
    EXPECT_EQ(sent_to(g.run_to(3010)), EndpointId{2});
}

TEST(Look, ARequestWaitsHereWhileEveryServerIsTooFull) {
    Gateway g(looking());
    g.list(0, {entry(1), entry(2)});
    auto arrived = g.arrive(3000, 1);
    g.probe(3001, 1, Outcome::Ok, 9, 8);
    EXPECT_FALSE(sent_to(g.probe(3001, 2, Outcome::Ok, 9, 8)));
}

// Reports that said "idle" of servers with full queues drew everyone's requests there.
TEST(Look, ReportsThatOwnRequestsContradictAreNotBelieved) {
    Gateway g(looking());
    g.list(0, {entry(1), entry(2)});
    std::map<EndpointId, int> sends;
    for (RequestId i = 0; i < 100; ++i) {
        double t = 3000 + 20 * double(i);
        // 1 always says that it is idle, and turns away what it gets; 2 holds one of another gateway's.
        auto serve = [](EndpointId s) {
            return s == 1 ? std::pair{Outcome::Rejected, 1.0} : std::pair{Outcome::Ok, 13.0};
        };
        auto report = [](EndpointId s) { return s == 1 ? 0.0 : 1.0; };
        g.play(t + 19, g.arrive(t, i), serve, report, [&](EndpointId s) { sends[s] += i >= 20; });
    }
    EXPECT_GT(sends[2], 2 * sends[1]);
}

// A request could always cost four looks, whatever one cost: on a site with dear probes they took a quarter
// of the result.
TEST(Look, IsNotMadeWhereTwoCostMoreThanTheyGain) {
    Settings set = looking();
    set.probe_cost = 0.05;
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    std::size_t looks = 0;
    int served = 0;
    for (RequestId i = 0; i < 100; ++i) {
        double t = 3000 + 20 * double(i);
        Actions actions = g.arrive(t, i);
        for (const Probe& p : all_of<Probe>(actions)) {
            ++looks;
            for (const Action& a : g.probe(t + 1, p.endpoint, Outcome::Ok, 0, 0)) actions.push_back(a);
        }
        auto to = sent_to(actions);
        if (!to) continue;
        ++served;
        g.ok(t + 10, i, *to, 10);
    }
    EXPECT_LE(looks, 2u);
    EXPECT_GE(served, 95);
}

// The window was looked at when the repeat was decided on alone: on a connection that came up late it arrived
// behind it.
TEST(Attempts, ARepeatOfWhatMayHaveRunSaysByWhenItMustBeWritten) {
    Settings set = unprobed();
    set.classes[2].deduplication_window = Duration{300};
    set.clock_granularity = Duration{2};
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    auto first = all_of<Forward>(g.arrive(100, 1, 2));
    ASSERT_EQ(first.size(), 1u);
    EXPECT_EQ(first[0].send_deadline, TimePoint::max()) << "no repeat";
    auto again = all_of<Forward>(g.end(150, 1, 0, first[0].endpoint, Outcome::Reset));
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].send_deadline, at(100 + 300 - 4));
    g.end(155, 1, 1, again[0].endpoint, Outcome::Ok, 5, true);
    auto free = all_of<Forward>(g.arrive(160, 2, 0));
    ASSERT_EQ(free.size(), 1u);
    auto more = all_of<Forward>(g.end(170, 2, 0, free[0].endpoint, Outcome::Reset));
    ASSERT_EQ(more.size(), 1u);
    EXPECT_EQ(more[0].send_deadline, TimePoint::max()) << "may be repeated at any time";
}

// Nothing was sent but what was worth more than the mean, and what had waited, if its turn came.
TEST(Zones, WhereTheOwnZoneHasNobodyTheOthersAreAskedAtOnce) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.2;
    Gateway g(set);
    g.list(0, {entry(1, 1), entry(2, 2)});
    int served = 0;
    for (RequestId i = 0; i < 50; ++i) {
        auto to = sent_to(g.arrive(100 + 100.0 * double(i), i));
        if (!to) continue;
        ++served;
        g.ok(130 + 100.0 * double(i), i, *to, 30);
    }
    EXPECT_EQ(served, 50);
}

TEST(Zones, ADearCrossingIsMadeOnlyWhenTimeRunsShort) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.2;
    Gateway g(set);
    g.list(0, {entry(1, 0), entry(2, 1)});
    EXPECT_EQ(sent_to(g.arrive(10, 1)), EndpointId{1});
    EXPECT_FALSE(sent_to(g.arrive(11, 2)));  // the local one takes one at a time until it has answered
    EXPECT_EQ(sent_to(g.arrive(200, 3)), EndpointId{2});  // the second has waited long enough by now
}

// Where crossing is cheap all zones are one rotation, and half of the requests of a quiet node crossed for
// nothing.
TEST(Zones, ACheapCrossingCountsAsOneRequestMoreHeldThere) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.01;
    Gateway g(set);
    g.list(0, {entry(1, 0), entry(2, 1)});
    warm_up(g, {1, 2});
    for (RequestId i = 1; i <= 20; ++i) {
        double t = 100 * double(i);
        EXPECT_EQ(sent_to(g.arrive(t, i)), EndpointId{1});
        g.ok(t + 50, i, 1);
    }
    // A zone with more callers than servers still spreads.
    std::map<EndpointId, int> sends;
    for (RequestId i = 100; i < 104; ++i)
        for (const Forward& f : all_of<Forward>(g.arrive(3000 + double(i), i))) ++sends[f.endpoint];
    EXPECT_GE(sends[2], 1);
}

// Overloaded zones sent each other what neither could serve, at a high price.
TEST(Zones, WhereCrossingsFailADearOneIsNotMade) {
    Settings set = unprobed();
    set.cross_zone_cost = 0.2;
    Gateway g(set);
    g.list(0, {entry(1, 0), entry(2, 1)});
    g.arrive(10, 1);  // keeps the local one busy
    int crossed = 0;
    for (RequestId i = 2; i < 42; ++i) {
        double t = 20 + 10 * double(i);
        auto sent = all_of<Forward>(g.arrive(t, i, 1));
        for (const Forward& f : sent) g.end(t + 5, f.request, 0, f.endpoint, Outcome::Rejected, 5);
        crossed += int(sent.size());
    }
    EXPECT_LE(crossed, 8);
}

TEST(Probes, AnAnsweredLookStandsForTheOneByInterval) {
    auto probes_in_ten_seconds = [](bool asked) {
        Gateway g(looking());
        g.list(0, {entry(1)});
        g.run_probed(2999, [](EndpointId) { return Outcome::Ok; });
        std::size_t by_interval = 0;
        for (double t = 3000; t < 13000; t += 100) {
            auto some = g.run_probed(t, [](EndpointId) { return Outcome::Ok; });
            by_interval += all_of<Probe>(some).size();
            if (!asked) continue;
            g.arrive(t, RequestId(t));
            auto sent = all_of<Forward>(g.probe(t + 1, 1, Outcome::Ok, 0, 0));
            for (const Forward& f : sent) g.ok(t + 5, f.request, 1, 4);
        }
        return by_interval;
    };
    EXPECT_GE(probes_in_ten_seconds(false), 4u);
    EXPECT_LE(probes_in_ten_seconds(true), 1u);
}

// Tables that were full turned live servers Unhealthy, and their return looked like a cold start.
TEST(Connections, ARefusedOneAtALiveServerShutsItForAWhileAndEjectsNobody) {
    Settings set = make_settings();
    Gateway g(set);
    g.list(0, {entry(1), entry(2)});
    g.run_probed(3000, [](EndpointId) { return Outcome::Ok; });
    std::map<EndpointId, int> sends;
    for (RequestId i = 0; i < 40; ++i) {
        g.run_probed(3000 + 20 * double(i), [](EndpointId) { return Outcome::Ok; });
        auto sent = all_of<Forward>(g.arrive(3000 + 20 * double(i), i));
        for (std::size_t n = 0; n < sent.size(); ++n) {
            ++sends[sent[n].endpoint];
            auto more = all_of<Forward>(
                sent[n].endpoint == 1
                    ? g.end(g.now + 1, sent[n].request, 0, 1, Outcome::ConnectFailed, 1)
                    : g.end(g.now + 1, sent[n].request, n > 0 ? 1 : 0, 2, Outcome::Ok, 5, true));
            sent.insert(sent.end(), more.begin(), more.end());
        }
    }
    EXPECT_LE(sends[1], 3);
    EXPECT_GE(sends[2], 35);
    auto quiet = g.run_probed(9000, [](EndpointId) { return Outcome::Ok; });
    EXPECT_TRUE(all_of<Log>(quiet).empty());
}

// In a release each request went to several draining servers in turn, 3.5 attempts a call, and was refused
// when its attempts were used up.
TEST(Attempts, AServerThatTurnsWorkAwayIsLeftForAMoment) {
    Gateway g(unprobed());
    std::vector<EndpointEntry> fleet;
    for (EndpointId s = 1; s <= 6; ++s) fleet.push_back(entry(s));
    g.list(0, fleet);
    int turned_away = 0, served = 0, refused = 0;
    for (RequestId i = 0; i < 400; ++i) {
        Actions actions = g.arrive(10 + 5 * double(i), i);
        for (int attempt = 0; !actions.empty();) {
            auto to = sent_to(actions);
            refused += int(all_of<Reject>(actions).size());
            if (!to) break;
            bool drains = *to <= 4;
            (drains ? turned_away : served) += 1;
            actions = g.end(g.now + 0.5, i, attempt++, *to, drains ? Outcome::Rejected : Outcome::Ok,
                            drains ? 0.5 : 20, !drains);
        }
    }
    EXPECT_GT(served, 380);
    EXPECT_LT(turned_away, 60);
    EXPECT_EQ(refused, 0);
}

// Worthless requests that err at any server ejected the whole fleet.
TEST(Errors, ThatFollowTheRequestsEjectNobodyThoseOfOneServerDo) {
    for (int kind = 0; kind < 4; ++kind) {
        bool everywhere = kind < 2;
        Outcome outcome = kind % 2 ? Outcome::Reset : Outcome::Error;
        Settings set = make_settings();
        Gateway g(set);
        g.list(0, {entry(1), entry(2), entry(3)});
        g.run_probed(3000, [](EndpointId) { return Outcome::Ok; });
        std::size_t ejected = 0;
        for (RequestId i = 0; i < 300; ++i) {
            double t = 3000 + 5 * double(i);
            bool some =
                kind == 1 ? i / 3 % 6 < 3 : (i * 7919 + i / 3) % 5 < 2;  // resets: three straight, too
            auto sent = all_of<Forward>(g.arrive(t, i, 1));
            for (const Forward& f : sent) {
                bool bad = everywhere ? some : f.endpoint == 1;
                auto after = bad ? g.end(t + 2, f.request, 0, f.endpoint, outcome, 2)
                                 : g.ok(t + 2, f.request, f.endpoint, 2);
                ejected += all_of<Log>(after).size();
            }
        }
        if (everywhere)
            EXPECT_EQ(ejected, 0u);
        else
            EXPECT_GE(ejected, 1u);
    }
}

// Connections dropped unseen after a while without use lost a third of all requests, at servers that were
// sound.
TEST(Connections, IdleOnesAreClosedBeforeASendWhileSendsOnThemAreLost) {
    for (bool dropped : {true, false}) {
        Settings set = unprobed();
        set.cancel = true;
        Gateway g(set);
        g.list(0, {entry(1), entry(2)});
        std::set<EndpointId> open;
        std::size_t lost = 0, closed = 0;
        for (RequestId i = 0; i < 200; ++i) {
            double t = 1000 + 1000 * double(i);
            g.run_to(t);
            auto sent = g.arrive(t, i, 1);
            for (const CloseIdleConnections& c : all_of<CloseIdleConnections>(sent)) {
                open.erase(c.endpoint);
                closed += 1;
            }
            auto to = sent_to(sent);
            if (!to) continue;
            bool silent = dropped && !open.insert(*to).second;
            lost += silent && i >= 100;
            if (silent) open.erase(*to);
            g.run_to(t + 399);
            if (silent)
                g.end(t + 400, i, 0, *to, Outcome::Timeout, 400);
            else
                g.ok(t + 399, i, *to, 50);
        }
        if (dropped)
            EXPECT_LE(lost, 40u);
        else
            EXPECT_EQ(closed, 0u);
    }
}

// With a thousand gateways a quota's part is under one request a second: every request counted as surplus.
TEST(Tenants, ARequestWithinASmallPartOfAQuotaIsNoSurplus) {
    Settings set = unprobed();
    set.tenants = {{0.05, 0.5}};
    set.over_quota_weight = 0.1;
    Gateway g(set);
    g.list(0, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(5000, 1)));
    RequestArrived repeat;
    repeat.request = 2;
    repeat.deadline = at(12000);
    repeat.is_client_retry = true;
    g.tell(5010, repeat);
    RequestArrived first = repeat;
    first.request = 3;
    first.tenant = 0;
    first.is_client_retry = false;
    g.tell(5020, first);
    auto sent = all_of<Forward>(g.ok(5050, 1, 1, 50));
    ASSERT_FALSE(sent.empty());
    EXPECT_EQ(sent.front().request, 3u);
}

// A gateway with few events left requests waiting for the next arrival though room had come.
TEST(Queue, AWaitingRequestIsLookedAtAgainWithoutAnotherEvent) {
    Settings set = unprobed();
    set.node_count = 4;  // limits below one: sends to one server are spaced
    Gateway g(set);
    g.list(0, {entry(1)});
    g.arrive(5000, 1);
    g.ok(5050, 1, 1, 50);
    auto first = g.arrive(5060, 2);
    ASSERT_FALSE(sent_to(first));
    EXPECT_TRUE(sent_to(g.run_to(5380)));
}

TEST(Determinism, TheSameEventsAndSeedGiveTheSameActions) {
    auto trace = [] {
        Gateway g(looking(), 42);
        std::vector<std::pair<std::size_t, EndpointId>> all;
        auto note = [&](const Actions& actions) {
            for (const Action& a : actions) {
                EndpointId to = 0;
                if (const auto* f = std::get_if<Forward>(&a)) to = f->endpoint;
                if (const auto* p = std::get_if<Probe>(&a)) to = p->endpoint;
                all.emplace_back(a.index(), to);
            }
        };
        note(g.list(0, {entry(5), entry(3), entry(9), entry(1)}));
        for (RequestId i = 0; i < 300; ++i) {
            double t = 10 + 7 * double(i);
            Actions arrived = g.arrive(t, i, int(i % 5));
            note(arrived);
            for (const Probe& p : all_of<Probe>(arrived))
                note(g.probe(t + 1, p.endpoint, Outcome::Ok, i % 3, 0));
            note(g.run_to(t + 6));
        }
        return all;
    };
    auto first = trace();
    EXPECT_GT(first.size(), 300u);
    EXPECT_EQ(first, trace());
}

// Discovery is one queue for all: 20 calls a second, and one that has waited 2 s fails but was its work all
// the same. A hundred gateways that start, and all lose their watch later in one instant, must not ask faster
// than it answers.
TEST(Registry, AHundredGatewaysShareDiscoverysQueue) {
    Settings set = unprobed();
    set.polls_discovery = set.watches_discovery = true;
    set.node_count = 100;
    std::vector<Gateway> gateways;
    for (std::uint64_t n = 0; n < 100; ++n) gateways.emplace_back(set, n + 1);
    constexpr double kWork = 50, kPatience = 2000;
    for (double from : {0.0, 60'000.0}) {
        double free_at = from;
        int failed = 0;
        std::vector<bool> watches(100, false);
        std::multimap<double, std::pair<std::size_t, bool>>
            ends;  // of calls: whose, and whether it was served
        for (auto& g : gateways)
            g.list(from, {entry(1)}, from == 0 ? UpdateKind::Cached : UpdateKind::Failed);
        for (double now = from; now < from + 30'000; now += 1) {
            for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
                auto [who, served] = ends.begin()->second;
                watches[who] = served;
                failed += !served;
                gateways[who].list(now, {}, served ? UpdateKind::Delta : UpdateKind::Failed);
            }
            for (std::size_t n = 0; n < gateways.size(); ++n)
                if (!all_of<WatchEndpoints>(gateways[n].run_to(now)).empty()) {
                    free_at = std::max(now, free_at) + kWork;
                    bool served = free_at <= now + kPatience;
                    ends.emplace(std::min(free_at, now + kPatience), std::pair{n, served});
                }
            if (now == from + 12'000) {
                EXPECT_GE(std::count(watches.begin(), watches.end(), true), 95) << "from " << from;
            }
        }
        EXPECT_EQ(std::count(watches.begin(), watches.end(), true), 100) << "from " << from;
        EXPECT_LT(failed, 50) << "from " << from;
    }
}

// However many gateways there are, each asks before a list that it does not have is held against it.
TEST(Registry, AsksWithinSecondsInAnyFleet) {
    for (int gateways : {0, 1, 3, 100, 10'000, 1'000'000}) {
        Settings set = unprobed();
        set.polls_discovery = set.watches_discovery = true;
        set.node_count = std::max(1, gateways);
        set.node_index = set.node_count - 1;
        Gateway g(set);
        g.list(0, {entry(1)}, UpdateKind::Cached);
        EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(10'000)).size(), 1u) << gateways;
        for (double failed : {10'001.0, 50'001.0, 100'001.0}) {
            g.list(failed, {}, UpdateKind::Failed);
            EXPECT_EQ(all_of<WatchEndpoints>(g.run_to(failed + 30'000)).size(), 1u) << gateways;
        }
    }
}

// Where servers are replaced for good, what is known of them does not grow for good.
// In a release a list is old within a second: a gateway whose calls fail for a while must not sit out the
// rest of it.
TEST(Registry, AsksAgainSoonHoweverOftenItsCallsFailed) {
    Settings set = unprobed();
    set.polls_discovery = set.watches_discovery = true;
    Gateway g(set);
    g.list(0, {entry(1)}, UpdateKind::Cached);
    double asked = 0, longest = 0;
    for (int failures = 0; failures < 12; ++failures) {
        g.tell(asked + 170, EndpointUpdate{UpdateKind::Failed, {}});
        double from = asked + 170, now = from;
        while (now < from + 10'000 && all_of<WatchEndpoints>(g.run_to(now)).empty()) now += 5;
        ASSERT_LT(now, from + 10'000);
        asked = now;
        longest = std::max(longest, asked - from);
        if (failures == 0) {
            EXPECT_LT(asked - from, 400);
        }
    }
    EXPECT_LT(longest, 1'850);
    EXPECT_GT(longest, 600) << "many gateways must not ask all the time";
}

TEST(Registry, WhatHasLongGoneIsForgotten) {
    Gateway g(unprobed());
    auto replace = [&](EndpointId from, EndpointId to) {
        for (EndpointId id = from; id < to; ++id) g.list(1000.0 * id, {entry(id), entry(id + 1)});
    };
    replace(1, 200);
    std::size_t before = mallinfo2().uordblks;  // zero under the sanitizers, which have memory of their own
    replace(200, 4000);
    EXPECT_LT(mallinfo2().uordblks, before + 200'000);
    g.arrive(4'000'000, 1);
    auto to = sent_to(g.arrive(4'000'001, 2));
    ASSERT_TRUE(to);
    EXPECT_GE(*to, 3999u);
}

TEST(Calm, StrayEventsAndAnEmptyListDoNoHarm) {
    Gateway g;
    g.tell(0, TimerFired{});
    g.end(1, 77, 0, 5, Outcome::Ok);
    g.probe(2, 5, Outcome::Ok);
    g.tell(3, ClientDisconnected{77});
    g.tell(3, StreamStarted{77, 0});
    g.list(4, {});
    EXPECT_FALSE(sent_to(g.arrive(5, 1)));
    auto ended = g.run_to(1005);
    EXPECT_EQ(all_of<Reject>(ended).size(), 1u);
    g.list(1100, {entry(1)});
    ASSERT_TRUE(sent_to(g.arrive(1200, 2)));
    g.end(1210, 2, 9, 1, Outcome::Ok);  // an attempt that was never made
    g.tell(1220, ClientDisconnected{2});
    EXPECT_FALSE(sent_to(g.end(1230, 2, 0, 1, Outcome::Rejected, 30)));  // it is over: nothing more goes out
}

}  // namespace
}  // namespace ochrehub::testing
