// Balancer: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include <vector>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

TEST(Balancer, SameEventsAndSeedGiveTheSameActions) {
    auto trace = [] {
        Gateway g(settings_with_load_reports(), 42);
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

TEST(Balancer, ToleratesStrayEventsAndAnEmptyList) {
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

// A fleet size received at run time has the same effect as the same size in the settings.
TEST(Balancer, FleetSizeChangeActsLikeTheSameSettings) {
    Settings few = unprobed(), many = unprobed();
    for (Settings* set : {&few, &many}) set->tenants = {{40, 0.5}}, set->connection_cost = 2;
    many.node_count = 6, many.node_index = 2;
    auto play = [](Settings set, std::optional<FleetSizeChanged> fleet_size) {
        Gateway g(std::move(set));
        if (fleet_size) g.tell(0, *fleet_size);
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

}  // namespace
}  // namespace ochrehub::testing
