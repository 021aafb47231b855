// Subset selector: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

// Without quotas no small subset is assigned: a starting endpoint in no subset would get no requests.
TEST(SubsetSelector, AssignsNoSubsetWithoutQuotas) {
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
    EXPECT_GE(used.size(), 6u) << "endpoints as the load needs, not two";
}

// All nodes must compute the same assignment whatever their load: a busy node adds endpoints to its subset
// and replaces none.
TEST(SubsetSelector, AssignedSubsetDoesNotDependOnLoad) {
    Settings set = make_settings();
    set.node_count = 100;
    set.probe_cost = 0.08;
    set.tenants = {{1600, 1}};  // 16 a second for each node, enough for four endpoints
    std::vector<EndpointEntry> fleet;
    for (EndpointId id = 1; id <= 60; ++id) fleet.push_back(entry(id));
    auto probed = [&](int me, double gap) {
        set.node_index = me;
        Gateway g(set, std::uint64_t(me) * 7919 + 1);
        g.list(1, fleet);
        std::set<EndpointId> endpoints;
        RequestId id = 0;
        for (double t = 10; t < 20000; t += gap) {
            for (const Probe& p : all_of<Probe>(g.run_probed(t, [](EndpointId) { return Outcome::Ok; })))
                if (t > 15000) endpoints.insert(p.endpoint);
            if (auto to = sent_to(g.arrive(t, ++id))) g.ok(t + 5, id, *to, 5);
        }
        return endpoints;
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

TEST(SubsetSelector, LimitsProbesOfManyNodesAndReplacesFailedEndpoints) {
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

TEST(SubsetSelector, FewBusyNodesUseEveryEndpoint) {
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
    EXPECT_GE(used.size(), 6u) << "endpoints as the load needs, not two";
}

// Probes that are not sent must not keep a subset small.
TEST(SubsetSelector, ProbeCostIsIgnoredWithoutProbes) {
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
    send_steady_load(g, 0, 20'000, 20, serve);
    EXPECT_EQ(used.size(), 12u);
}

}  // namespace
}  // namespace ochrehub::testing
