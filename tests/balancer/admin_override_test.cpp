// Admin override: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <map>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

AdminOverride take_out_of_service(std::uint64_t key) {
    return {key, true, {}};
}

/// How many of `many` requests went to each endpoint, one after the other from `ms` on.
std::map<EndpointId, int> count_sends(Gateway& g, double ms, int many) {
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

TEST(AdminOverride, KeepsEndpointOutOfServiceUntilReturned) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    g.tell(10, take_out_of_service(1));
    EXPECT_EQ(count_sends(g, 20, 6)[1], 0);
    g.list(500, {entry(2)});
    g.list(600, {entry(1), entry(2)});  // left and came back
    EXPECT_EQ(count_sends(g, 700, 6)[1], 0);
    EndpointEntry renumbered =
        entry(7);  // discovery's client forgot it meanwhile: another number, the same key
    renumbered.key = 1;
    renumbered.last_start = at(1100);
    g.list(1200, {renumbered, entry(2)});
    auto counts = count_sends(g, 1300, 6);
    EXPECT_EQ(counts[1] + counts[7], 0);
    g.tell(2000, take_out_of_service(1));  // twice out, once back
    g.tell(2100, AdminOverride{1, false, at(2100)});
    EXPECT_GT(count_sends(g, 2200, 20)[7], 0);
}

TEST(AdminOverride, ReturnedEndpointStartsSlowlyAndGetsTraffic) {
    auto count_sends_to_first = [](bool overridden) {
        Gateway g(unprobed());
        g.list(0, {entry(1), entry(2)});
        if (overridden) {
            g.tell(5, take_out_of_service(1));
            g.tell(10, AdminOverride{1, false, at(10)});
        }
        int sent = 0;
        for (int i = 0; i < 1900; ++i) {  // more than the slow start budget, and none of it waits
            g.run_to(20 + i);
            auto to = sent_to(g.arrive(20 + i, RequestId(i)));
            if (!to) continue;
            sent += *to == 1;
            g.ok(20.5 + i, RequestId(i), *to, 20);
        }
        return sent;
    };
    int starting = count_sends_to_first(true), warm = count_sends_to_first(false);
    EXPECT_GT(starting, 0);
    EXPECT_LT(starting, warm / 2);
}

TEST(AdminOverride, RejectsAtOnceWhenAllEndpointsAreOut) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2)});
    g.tell(10, take_out_of_service(1));
    g.tell(11, take_out_of_service(2));
    for (int cls : {0, 1, 4}) {
        Actions actions = g.arrive(20, RequestId(cls), cls);
        EXPECT_EQ(all_of<Reject>(actions).size(), 1u) << cls;
    }
    g.tell(30, AdminOverride{2, false, at(30)});
    EXPECT_TRUE(sent_to(g.arrive(40, 9)));
}

TEST(AdminOverride, CountsListedEndpointsAsAvoided) {
    Gateway g(unprobed());
    g.list(0, {entry(1), entry(2), entry(3)});
    EXPECT_EQ(g.avoided(), 0u);
    g.tell(10, take_out_of_service(1));
    EXPECT_EQ(g.avoided(), 1u);
    g.list(20, {entry(2), entry(3)});
    EXPECT_EQ(g.avoided(), 0u);
    auto leaving = entry(3);
    leaving.phase = Phase::Draining;
    g.list(30, {entry(1), entry(2), leaving});
    EXPECT_EQ(g.avoided(), 2u);
}

}  // namespace
}  // namespace ochrehub::testing
