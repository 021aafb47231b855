// Attempt tracker: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

// A full connection table at a live endpoint must neither mark it Unhealthy nor start a slow start on its
// return.
TEST(AttemptTracker, RefusedConnectionPausesALiveEndpointWithoutEjection) {
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

// A middlebox that silently drops idle connections must not cost requests to healthy endpoints.
TEST(AttemptTracker, ClosesIdleConnectionsWhileSendsOnThemAreLost) {
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

TEST(AttemptTracker, SlowRequestBodyIsNotHeldAgainstTheEndpoint) {
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

}  // namespace
}  // namespace ochrehub::testing
