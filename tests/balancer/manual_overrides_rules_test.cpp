// What the module makes of servers out by hand, of a body that is still coming, and of a second process.
#include <gtest/gtest.h>

#include <map>

#include "bench_side.h"

namespace ochrehub::testing {
namespace {

AdminOverride out(std::uint64_t key) {
    return {key, true, {}};
}

/// How many of `many` requests went to each server, one after the other from `ms` on.
std::map<EndpointId, int> sends(Gateway& g, double ms, int many) {
    static RequestId id = 0;
    std::map<EndpointId, int> counts;
    for (int i = 0; i < many; ++i, ++id) {
        double now = ms + 60 * i;
        g.run_to(now);
        auto to = sent_to(g.arrive(now, id));
        if (!to) continue;
        ++counts[*to];
        g.ok(now + 50, id, *to);
    }
    return counts;
}

// Told by how many its parts are divided, it does as one that was set so from the start.
TEST(FleetSizeChanged, CountAsTheSettingsNumbersWould) {
    Settings few = unprobed(), many = unprobed();
    for (Settings* set : {&few, &many}) set->tenants = {{40, 0.5}}, set->connection_cost = 2;
    many.node_count = 6, many.node_index = 2;
    auto play = [](Settings set, std::optional<FleetSizeChanged> told) {
        Gateway g(std::move(set));
        if (told) g.tell(0, *told);
        std::vector<EndpointEntry> list;
        for (EndpointId id = 1; id <= 40; ++id) list.push_back(entry(id));
        g.list(0, list);
        std::vector<std::optional<EndpointId>> all;
        for (RequestId id = 0; id < 200; ++id) {
            double now = 10 + 7 * double(id);
            g.run_to(now);
            all.push_back(sent_to(g.arrive(now, id)));
            if (all.back()) g.ok(now + 5, id, *all.back(), 5);
        }
        return all;
    };
    auto set = play(many, std::nullopt);
    EXPECT_EQ(play(few, FleetSizeChanged{6, 2}), set);
    EXPECT_NE(play(few, std::nullopt), set);
    EXPECT_EQ(play(many, FleetSizeChanged{1, kNone}), play(few, FleetSizeChanged{1, kNone}));
}

TEST(AdminOverride, OutWhateverTheListSaysUntilTheCallBack) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    g.tell(10, out(1));
    EXPECT_EQ(sends(g, 20, 6)[1], 0);
    g.list(500, {entry(2)});
    g.list(600, {entry(1), entry(2)});  // left and came back
    EXPECT_EQ(sends(g, 700, 6)[1], 0);
    EndpointEntry renumbered =
        entry(7);  // discovery's client forgot it meanwhile: another number, the same key
    renumbered.key = 1;
    renumbered.last_start = at(1100);
    g.list(1200, {renumbered, entry(2)});
    auto counts = sends(g, 1300, 6);
    EXPECT_EQ(counts[1] + counts[7], 0);
    g.tell(2000, out(1));  // twice out, once back
    g.tell(2100, AdminOverride{1, false, at(2100)});
    EXPECT_GT(sends(g, 2200, 20)[7], 0);
}

TEST(AdminOverride, TheReturnIsColdAndHasTrafficSoon) {
    auto sent_in_a_span = [](bool by_hand) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        if (by_hand) {
            g.tell(5, out(1));
            g.tell(10, AdminOverride{1, false, at(10)});
        }
        int to_it = 0;
        for (int i = 0; i < 1900; ++i) {  // more than a cold one stands, and none of it waits
            g.run_to(20 + i);
            auto to = sent_to(g.arrive(20 + i, RequestId(i)));
            if (!to) continue;
            to_it += *to == 1;
            g.ok(20.5 + i, RequestId(i), *to, 20);
        }
        return to_it;
    };
    int cold = sent_in_a_span(true), warm = sent_in_a_span(false);
    EXPECT_GT(cold, 0);
    EXPECT_LT(cold, warm / 2);
}

TEST(AdminOverride, AllOutMeansRefusedAtOnce) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    g.tell(10, out(1));
    g.tell(11, out(2));
    for (int cls : {0, 1, 4}) {
        Actions actions = g.arrive(20, RequestId(cls), cls);
        EXPECT_EQ(all_of<Reject>(actions).size(), 1u) << cls;
    }
    g.tell(30, AdminOverride{2, false, at(30)});
    EXPECT_TRUE(sent_to(g.arrive(40, 9)));
}

TEST(AdminOverride, TheyCountAsAvoidedWhileTheyAreListed) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2), entry(3)});
    EXPECT_EQ(g.avoided(), 0u);
    g.tell(10, out(1));
    EXPECT_EQ(g.avoided(), 1u);
    g.list(20, {entry(2), entry(3)});
    EXPECT_EQ(g.avoided(), 0u);
    auto leaving = entry(3);
    leaving.phase = Phase::Draining;
    g.list(30, {entry(1), entry(2), leaving});
    EXPECT_EQ(g.avoided(), 2u);
}

TEST(Uploads, ABodyThatIsLongInComingSaysNothingOfItsServer) {
    for (bool uploading : {true, false}) {
        Gateway g(unprobed());
        g.list(0, {entry(1)});
        RequestArrived e;
        e.request = 1, e.class_index = 1, e.deadline = at(1010), e.receiving_body = uploading;
        ASSERT_TRUE(sent_to(g.tell(10, e)));
        g.run_to(3000);  // long past its time
        if (!uploading) continue;
        g.tell(3000, RequestBodyReceived{1, at(4000)});
        g.run_to(3390);
        EXPECT_FALSE(all_of<Log>(g.run_to(3390)).size());
        g.ok(3395, 1, 1, 395);
        EXPECT_TRUE(sent_to(g.arrive(3400, 2)));  // not taken for one that answers nothing
    }
}

TEST(Uploads, WhatIsSpentIsNotSentAgain) {
    for (bool replayable : {true, false}) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        auto to = sent_to(g.arrive(10, 1, 1));
        ASSERT_TRUE(to);
        Actions actions =
            g.tell(20, AttemptEnded{1, 0, *to, Outcome::ConnectFailed, Duration{10}, false, {}, replayable});
        EXPECT_EQ(sent_to(actions).has_value(), replayable);
        EXPECT_EQ(all_of<Reject>(actions).size(),
                  replayable ? 0u : 1u);  // it never ran: the client may try again
    }
}

}  // namespace
}  // namespace ochrehub::testing
