// The clocks of the server list, in virtual time: when a change that discovery has made is there at nodes
// whose watch was silent, cut off, refused, spoilt or moved, beside the moment by which the rules count it as
// told. `Watch` and the discovery of the lab.
#include <gtest/gtest.h>

#include <cstdio>
#include <functional>
#include <map>
#include <set>

#include "discovery/watch.h"
#include "lab/model/discovery.h"

namespace ochrehub::lab {
namespace {

using discovery::Watch;
constexpr Duration kTold{
    6000};  // behind the moment in which discovery has it and can be reached; no settings give more

struct Nodes {
    struct Node {
        std::optional<Watch> watch;
        TimePoint asked{}, wake = TimePoint::max();
        std::uint64_t revision = 0, failed = 0;
        TimePoint heard_at{};
        std::set<ListCall> open;
        int spoilt = 0;
        bool silent = false;  // what is out now will never be answered
        std::optional<Balancer> module;
        TimePoint module_wake = TimePoint::max();
        std::set<ListCall> dead;
    };

    explicit Nodes(std::size_t count, double calls_per_s = 1000, Duration call_most = Duration{1000}) {
        day.servers.resize(2);
        day.discovery.notice = Duration{0};
        day.discovery.calls_per_s = calls_per_s;
        day.discovery.call_most = call_most;
        source.emplace(day, TimePoint{}, 5);
        nodes.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            nodes[i].watch.emplace(discovery::WatchSettings{}, i * 77 + 3);
            hand(i, discovery::Known{source->known().revision});
            hand(i, discovery::Asked{});
        }
    }
    void hand(std::size_t i, const discovery::WatchEvent& event, std::uint64_t revision = 0) {
        discovery::WatchActions actions;
        nodes[i].watch->handle(now, event, actions);
        for (const auto& action : actions) {
            if (const auto* call = std::get_if<discovery::MakeCall>(&action)) make(i, *call);
            if (const auto* drop = std::get_if<discovery::DropCall>(&action)) {
                ListCall number = ListCall(i) << 32 | drop->call;
                if (nodes[i].open.erase(number)) serve(ListCallGone{number});
            }
            if (const auto* wake = std::get_if<discovery::WatchWakeAt>(&action)) nodes[i].wake = wake->at;
            if (std::holds_alternative<discovery::TakeList>(action) && revision > nodes[i].revision)
                nodes[i].revision = revision, nodes[i].heard_at = now;
            if (std::holds_alternative<discovery::TellFailed>(action)) {
                ++nodes[i].failed;
                if (nodes[i].module) tell(i, EndpointUpdate{UpdateKind::Failed, {}});
            }
            if (std::holds_alternative<discovery::TakeList>(action) && nodes[i].module)
                tell(i, EndpointUpdate{UpdateKind::Delta, {}});
        }
    }
    /// From now on each node has its module, which says when to ask again.
    void drive() {
        Settings set;
        set.polls_discovery = set.watches_discovery = true;
        set.probes = false;
        set.node_count = int(nodes.size());
        set.classes.resize(1);
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            set.node_index = int(i);
            nodes[i].module.emplace(set, i * 31 + 7);
            tell(i, EndpointUpdate{UpdateKind::Cached, {}});
        }
    }
    void tell(std::size_t i, const Event& event) {
        Actions actions;
        nodes[i].module->handle(now, event, actions);
        for (const Action& action : actions) {
            if (const auto* wake = std::get_if<SetTimer>(&action)) nodes[i].module_wake = wake->at;
            if (std::holds_alternative<WatchEndpoints>(action))
                later[now].push_back(
                    [this, i] { hand(i, discovery::Asked{}); });  // never from inside the call
        }
    }
    void reset(std::size_t i) {
        for (ListCall call : std::set<ListCall>(nodes[i].open)) {
            nodes[i].open.erase(call);
            serve(ListCallGone{call});
            hand(i, discovery::Ended{call & 0xffffffff, discovery::End::Refused});
        }
    }
    void make(std::size_t i, const discovery::MakeCall& call) {
        nodes[i].asked = now;
        ++calls;
        ListCall number = ListCall(i) << 32 | call.call;
        if (now < cut_until) {  // the connection does not come up
            later[now + Duration{1000}].push_back([this, i, call] {
                hand(i, discovery::Ended{call.call, discovery::End::Unheard});
            });
            return;
        }
        if (now < refused_until) {
            later[now + Duration{1}].push_back([this, i, call] {
                hand(i, discovery::Ended{call.call, discovery::End::Refused});
            });
            return;
        }
        if (now < unanswered_until) {
            later[now + Duration{2000}].push_back([this, i, call] {
                hand(i, discovery::Ended{call.call, discovery::End::Refused});
            });
            return;
        }
        nodes[i].open.insert(number);
        serve(ListAsked{number, NodeNo(i), call.index, call.wait});
    }
    void serve(const DiscoveryEvent& event) {
        DiscoveryActions actions;
        source->handle(now, event, actions);
        for (const auto& action : actions) {
            if (const auto* wake = std::get_if<WakeDiscoveryAt>(&action)) source_wake = wake->at;
            if (const auto* list = std::get_if<ListOut>(&action)) answer(list->call, list->revision, true);
            if (const auto* failed = std::get_if<ListFailed>(&action)) answer(failed->call, 0, false);
        }
    }
    void answer(ListCall call, std::uint64_t revision, bool well) {
        std::size_t i = std::size_t(call >> 32);
        Node& node = nodes[i];
        if (node.dead.contains(call) || !node.open.erase(call)) return;
        later[now + Duration{1}].push_back([this, i, call, revision, well] {
            discovery::CallNo number = call & 0xffffffff;
            if (!well) return hand(i, discovery::Ended{number, discovery::End::Refused});
            if (nodes[i].spoilt > 0) {
                --nodes[i].spoilt;
                return hand(i, discovery::Ended{number, discovery::End::Spoilt});
            }
            hand(i, discovery::Answered{number, revision}, revision);
        });
    }
    void run_to(TimePoint end) {
        while (true) {
            TimePoint next = std::min(source_wake, later.empty() ? TimePoint::max() : later.begin()->first);
            for (const Node& node : nodes) next = std::min({next, node.wake, node.module_wake});
            if (next > end) break;
            now = std::max(now, next);
            if (!later.empty() && later.begin()->first <= now) {
                auto due = std::move(later.begin()->second);
                later.erase(later.begin());
                for (auto& what : due) what();
            }
            if (source_wake <= now) source_wake = TimePoint::max(), serve(DiscoveryWoken{});
            for (std::size_t i = 0; i < nodes.size(); ++i)
                if (nodes[i].wake <= now) nodes[i].wake = TimePoint::max(), hand(i, discovery::WatchWoken{});
            for (std::size_t i = 0; i < nodes.size(); ++i)
                if (nodes[i].module_wake <= now)
                    nodes[i].module_wake = TimePoint::max(), tell(i, TimerFired{});
        }
        now = end;
    }
    void silence(std::size_t i) { nodes[i].dead.insert(nodes[i].open.begin(), nodes[i].open.end()); }
    void drain() {
        serve(ServerIs{0, ServerState::Draining, TimePoint{}, false}), changed = source->known().revision;
    }
    /// The longest, in ms, that a node knew of the drain behind `told(asked)`; negative: before it.
    double worst(const std::function<TimePoint(const Node&, TimePoint asked)>& told,
                 const std::vector<TimePoint>& asked) {
        double most = -1e9;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            EXPECT_GE(nodes[i].revision, changed) << "node " << i << " never heard";
            most = std::max(most, (nodes[i].heard_at - told(nodes[i], asked[i])).count());
        }
        return most;
    }

    Day day;
    std::optional<Discovery> source;
    std::vector<Node> nodes;
    TimePoint now{}, source_wake = TimePoint::max(), cut_until{}, refused_until{}, unanswered_until{};
    std::map<TimePoint, std::vector<std::function<void()>>> later;
    std::uint64_t changed = 0, calls = 0;
};

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

struct Clock {
    const char* line;
    std::size_t nodes;
    double calls_per_s, call_most, silent_after;  // the last: into a wait of 3.6 s
    double refused_for, cut_for;  // ... from when the silence is noticed at the earliest; from the silence on
    int spoilt;
};

class Silence : public ::testing::TestWithParam<Clock> {};

TEST_P(Silence, IsOverBeforeTheRulesCountItsNewsAsTold) {
    const Clock& c = GetParam();
    Nodes fleet(c.nodes, c.calls_per_s, Duration{c.call_most});
    TimePoint first{};  // when the first of them had asked, once all have asked anew
    while (first < at(20'000)) {
        fleet.run_to(fleet.now + Duration{1});
        first = TimePoint::max();
        for (const auto& node : fleet.nodes) first = std::min(first, node.asked);
    }
    TimePoint silent = std::max(fleet.now, first + Duration{c.silent_after});
    fleet.run_to(silent);
    std::vector<TimePoint> asked(c.nodes);
    for (std::size_t i = 0; i < c.nodes; ++i)
        asked[i] = fleet.nodes[i].asked, fleet.silence(i), fleet.nodes[i].spoilt = c.spoilt;
    if (c.cut_for > 0) fleet.cut_until = silent + Duration{c.cut_for};
    if (c.refused_for > 0) fleet.refused_until = first + Duration{4000 + c.refused_for};
    std::uint64_t calls = fleet.calls;
    fleet.drain();
    fleet.run_to(silent + Duration{16'000});
    double reached =
        std::max({0.0, c.cut_for, c.refused_for > 0 ? (fleet.refused_until - silent).count() : 0.0});
    double worst =
        fleet.worst([&](const Nodes::Node&, TimePoint) { return silent + Duration{reached}; }, asked);
    EXPECT_LT(worst, kTold.count());
    EXPECT_LT(fleet.calls - calls, c.nodes * 9);  // 16 s, of which each may cost discovery a few calls
    std::printf("%-52s %6.0f ms of 6000\n", c.line, worst);
}

INSTANTIATE_TEST_SUITE_P(
    Clocks, Silence,
    ::testing::Values(Clock{"asked: silent as soon as it was asked", 1, 1000, 1000, 1, 0, 0, 0},
                      Clock{"asked: silent in the middle of its wait", 1, 1000, 1000, 2500, 0, 0, 0},
                      Clock{"asked: silent at the wait's end", 1, 1000, 1000, 3590, 0, 0, 0},
                      Clock{"asked: 300 nodes at once", 300, 1000, 1000, 1, 0, 0, 0},
                      Clock{"asked: 300 nodes at once, discovery slow", 300, 200, 2000, 1, 0, 0, 0},
                      Clock{"asked: 300 nodes, refused for 1.5 s as they return", 300, 1000, 1000, 1, 1500, 0,
                            0},
                      Clock{"asked: the first two answers spoilt", 3, 1000, 1000, 1, 0, 0, 2},
                      Clock{"cut off for 6 s, asked just before", 100, 1000, 1000, 1, 0, 6000, 0},
                      Clock{"cut off for 6 s, asked 3 s before", 100, 1000, 1000, 3000, 0, 6000, 0}));

// The module under the watch, as in the node: what a failed, refused or given-up call would have told is
// there within 6 s of the moment in which discovery has it and can be reached, whatever comes first and
// however many nodes there are.
struct Outage {
    const char* line;
    std::size_t nodes;
    double calls_per_s;
    double refused_for;     // each call is refused at once
    double unanswered_for;  // each call is let wait for 2 s and refused then, also one that was made just
                            // before the return
    double cut_for;         // no connection comes up
    bool reset, silent;     // what was out when it began: broken off, or never answered
    double change_at;       // behind the return; negative: before it
};

class News : public ::testing::TestWithParam<Outage> {};

TEST_P(News, IsThereWithinSixSecondsOfDiscoverysReturn) {
    const Outage& c = GetParam();
    double worst = 0;
    std::uint64_t most_calls = 0;
    for (int day = 0; day < 10; ++day) {
        Nodes fleet(c.nodes, c.calls_per_s, Duration{2000});
        fleet.drive();
        fleet.run_to(at(10'000 + 211 * day));
        TimePoint began = fleet.now,
                  back = began + Duration{std::max({c.refused_for, c.unanswered_for, c.cut_for})};
        fleet.refused_until = began + Duration{c.refused_for};
        fleet.unanswered_until = began + Duration{c.unanswered_for};
        fleet.cut_until = began + Duration{c.cut_for};
        for (std::size_t i = 0; i < c.nodes; ++i)
            if (c.reset)
                fleet.reset(i);
            else if (c.silent)
                fleet.silence(i);
        TimePoint change = std::max(began, back + Duration{c.change_at});
        std::uint64_t calls = fleet.calls;
        fleet.run_to(change);
        fleet.drain();
        fleet.run_to(std::max(change, back) + Duration{12'000});
        std::vector<TimePoint> asked(c.nodes);
        worst = std::max(
            worst, fleet.worst([&](const Nodes::Node&, TimePoint) { return std::max(change, back); }, asked));
        most_calls = std::max(most_calls, fleet.calls - calls);
    }
    EXPECT_LT(worst, kTold.count());
    std::printf("%-72s %3zu nodes %6.0f ms of 6000, %.1f calls a node\n", c.line, c.nodes, worst,
                double(most_calls) / double(c.nodes));
}

std::vector<Outage> outages() {
    std::vector<Outage> all;
    for (std::size_t nodes : {std::size_t{1}, std::size_t{3}, std::size_t{30}, std::size_t{300}}) {
        double rate = std::max(20.0, double(nodes));
        all.push_back({"watches reset, news at once", nodes, rate, 0, 0, 0, true, false, 0});
        all.push_back({"watches silent, news at once", nodes, rate, 0, 0, 0, false, true, 0});
        all.push_back({"refused for 8 s, news meanwhile", nodes, rate, 8000, 0, 0, true, false, -4000});
        all.push_back({"refused for 8 s, news at the return", nodes, rate, 8000, 0, 0, true, false, 0});
        all.push_back(
            {"refused for 60 s, news 1 s behind the return", nodes, rate, 60'000, 0, 0, true, false, 1000});
        all.push_back({"calls wait 2 s and fail, for 8 s, news meanwhile", nodes, rate, 0, 8000, 0, true,
                       false, -4000});
        all.push_back({"calls wait 2 s and fail, for 31 s, news at the return", nodes, rate, 0, 31'000, 0,
                       true, false, 0});
        all.push_back({"cut off for 3 s, news meanwhile", nodes, rate, 0, 0, 3000, false, true, -1000});
        all.push_back({"cut off for 30 s, news at the return", nodes, rate, 0, 0, 30'000, false, true, 0});
    }
    return all;
}

INSTANTIATE_TEST_SUITE_P(Clocks, News, ::testing::ValuesIn(outages()));

TEST(Watching, AnAnswerThatIsMerelyLateIsNoSilenceAndCostsOneCall) {
    Nodes fleet(1);
    fleet.run_to(at(100));
    fleet.hand(0, discovery::WatchWoken{});  // early: nothing is due
    std::uint64_t before = fleet.calls;
    fleet.run_to(at(60'000));
    EXPECT_EQ(fleet.nodes[0].watch->silences(), 0u);
    EXPECT_EQ(fleet.calls - before, 16u);  // one for each wait of 3.6 s
}

// A discovery that ends watches at once, with nothing new, costs calls that bring nothing; the watch goes on
// all the same.
TEST(Watching, AnswersWithNothingNewAreNotAskedForAtOnceForEver) {
    for (std::uint64_t revision : {41, 41, 40}) {
        Watch watch({}, 1);
        TimePoint now = at(1000), wake = TimePoint::max(), answered{};
        discovery::CallNo out = 0;
        int calls = 0;
        auto hand = [&](const discovery::WatchEvent& event) {
            discovery::WatchActions actions;
            watch.handle(now, event, actions);
            for (const auto& action : actions) {
                if (const auto* due = std::get_if<discovery::WatchWakeAt>(&action)) wake = due->at;
                EXPECT_FALSE(std::holds_alternative<discovery::TellFailed>(action));
                const auto* call = std::get_if<discovery::MakeCall>(&action);
                if (call == nullptr) continue;
                if (calls++ > 0) {
                    EXPECT_LE(now - answered, Duration{150})
                        << "a call 200 ms later is no longer the same watch";
                }
                out = call->call;
            }
        };
        hand(discovery::Known{41});
        hand(discovery::Asked{});
        while (now < at(2000)) {
            if (out != 0) {
                now += Duration{1}, answered = now;
                hand(discovery::Answered{std::exchange(out, 0), revision, revision < 41 && calls % 2 == 0});
            } else {
                now = std::max(now, wake);
                hand(discovery::WatchWoken{});
            }
            ASSERT_LT(calls, 30) << "in " << (now - at(1000)).count() << " ms";
        }
        EXPECT_GE(calls, 5);
    }
}

TEST(Watching, AfterAMoveTheOldAddressCountsUntilTheNewOneHasAnswered) {
    Nodes fleet(1);
    fleet.run_to(at(1000));
    fleet.refused_until = at(3000);
    fleet.hand(0, discovery::Moved{});
    fleet.run_to(at(1500));
    EXPECT_EQ(fleet.nodes[0].failed, 1u);  // the module asks again
    fleet.drain();
    fleet.run_to(at(1600));
    EXPECT_EQ(fleet.nodes[0].revision, fleet.changed)
        << "what the old address said while the new one refused is lost";
    fleet.run_to(at(3100));
    fleet.hand(0, discovery::Asked{});
    fleet.run_to(at(3200));
    EXPECT_EQ(fleet.nodes[0].failed, 1u);
}

TEST(Watching, AfterTwoMovesTheFirstAddressCountsUntilTheLastOneHasAnswered) {
    Nodes fleet(1);
    fleet.run_to(at(1000));
    fleet.unanswered_until = at(3000);
    fleet.hand(0, discovery::Moved{});
    fleet.run_to(at(1200));
    fleet.hand(0, discovery::Moved{});  // the second address has not answered yet, and nor has the third
    fleet.drain();
    fleet.run_to(at(1300));
    EXPECT_EQ(fleet.nodes[0].revision, fleet.changed) << "what the first address said is lost";
    fleet.run_to(at(3300));
    fleet.hand(0, discovery::Asked{});
    fleet.run_to(at(3400));
    EXPECT_EQ(fleet.nodes[0].failed, 1u);
}

TEST(Watching, WhatIsRefusedWithoutASilenceIsTheModulesToRepeat) {
    Nodes fleet(1);
    fleet.run_to(at(1000));
    fleet.refused_until = at(60'000);
    fleet.serve(DiscoveryIs{.down = true});
    fleet.run_to(at(40'000));
    EXPECT_EQ(fleet.nodes[0].failed, 1u);
    EXPECT_EQ(fleet.calls, 1u);
}

TEST(Watching, AfterALongCutTheModuleHearsOfIt) {
    Nodes fleet(1);
    fleet.run_to(at(1000));
    fleet.cut_until = at(600'000);
    fleet.silence(0);
    fleet.run_to(at(40'000));
    EXPECT_EQ(fleet.nodes[0].failed, 1u);
    EXPECT_LT(fleet.calls, 12u);
}

}  // namespace
}  // namespace ochrehub::lab
