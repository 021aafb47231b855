// The emulated clients and the front layer, against nodes that do as each test says. The host below checks
// what holds in every test: one try of a call out at a time, ids never twice, none after its time, each call
// over once.
#include "lab/model/clients.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "lab/model/alarms.h"

namespace ochrehub::lab {
namespace {

constexpr Duration kStart{1000};
TimePoint t(double ms) {
    return TimePoint{kStart + Duration{ms}};
}
double ms(TimePoint at) {
    return (at - TimePoint{kStart}).count();
}

Day make_day(Idempotency effect, const std::vector<double>& arrivals, int nodes = 1) {
    Day day;
    day.length = Duration{5000};
    ClassFigures cls;
    cls.effect = effect;
    cls.give_up = Duration{1000};
    cls.window = Duration{400};
    day.classes.push_back(cls);
    day.network.zones = {"a", "b"};
    day.nodes.resize(std::size_t(nodes));
    day.clients.try_share = 0.5;
    day.clients.honours = day.clients.impatient = 0;
    for (double at : arrivals) {
        Arrival arrival;
        arrival.at = Duration{at};
        arrival.key = day.arrivals.size() + 77;
        day.arrivals.push_back(arrival);
    }
    return day;
}

struct Host {
    struct Line {
        NodeNo node;
        bool hostile;
        int noise;
        TryId out = 0;
        int asked = 0;
    };
    struct Seen {
        TimePoint began, ended;
        bool over = false;
        TryId out = 0;
        Heard heard{};
        bool may_have_run = false;
    };
    struct Asked : Ask {
        TimePoint at{};
    };

    explicit Host(Day d, std::uint64_t seed = 1, int up = -1) : day(std::move(d)), core(day, t(0), seed) {
        for (NodeNo n = 0; n < (up < 0 ? int(day.nodes.size()) : up); ++n) give(NodeUp{n});
    }

    void give(const ClientEvent& event) {
        unread = 0;
        if (const auto* lost = std::get_if<ConnectionLost>(&event)) {
            if (auto it = lines.find(lost->connection); it != lines.end()) {
                if (it->second.out) {
                    Seen& call = calls[asks.at(tries.at(it->second.out)).call];
                    if (call.out == it->second.out) call.out = 0;
                    call.may_have_run |= !lost->before_any;
                    if (lost->before_any && it->second.asked > 1) unread = it->second.out;
                }
                lines.erase(it);
            }
        } else if (const auto* answer = std::get_if<Answered>(&event)) {
            if (auto it = tries.find(answer->id); it != tries.end()) {
                Asked& ask = asks[it->second];
                auto line = lines.find(ask.connection);
                if (line != lines.end() && line->second.out == ask.id) {
                    if (calls[ask.call].out == ask.id) calls[ask.call].out = 0;
                    line->second.out = 0;
                    calls[ask.call].may_have_run |= answer->heard == Heard::Failed;
                }
            }
        }
        ClientActions actions;
        core.handle(now, event, actions);
        for (const ClientAction& action : actions) std::visit([this](const auto& a) { take(a); }, action);
    }
    void later(double after, const ClientEvent& event) { events.emplace(now + Duration{after}, event); }
    void run(double until = 1e9) {
        while (true) {
            TimePoint next = events.empty() ? wake : std::min(wake, events.begin()->first);
            if (next == kNever || next > t(until)) break;
            now = std::max(now, next);
            if (wake <= now) {
                wake = kNever;
                give(ClientsWoken{});
            } else {
                ClientEvent event = events.begin()->second;
                events.erase(events.begin());
                give(event);
            }
        }
        if (until < 1e9) now = t(until);
    }
    void answer(const Ask& ask, Heard heard, double after = 1, std::optional<Duration> advice = {},
                bool closes = false) {
        later(after, Answered{ask.id, heard, heard == Heard::Served ? 200 : 503, advice, closes});
    }

    void take(const OpenConnection& open) {
        ASSERT_TRUE(lines.insert({open.connection, {open.node, open.hostile, open.noise}}).second);
        ASSERT_TRUE(names.insert(open.connection).second) << "a connection's number was given twice";
        log << ms(now) << " open " << open.connection << ' ' << open.node << '\n';
        if (opened) opened(open);
    }
    void take(const Ask& ask) {
        Line& line = lines.at(ask.connection);  // throws where it is not open
        Seen& call = calls.at(ask.call);
        EXPECT_EQ(line.out, 0u) << "a second request on a connection";
        EXPECT_FALSE(is_out(call)) << "two tries of a call are out";
        call.may_have_run |= call.out != 0;  // given up
        EXPECT_FALSE(call.over);
        EXPECT_FALSE(line.hostile);
        EXPECT_NE(ask.id, 0u);
        EXPECT_EQ(line.node, ask.node);
        EXPECT_EQ(tries.contains(ask.id), ask.resent) << "an id came twice";
        if (ask.resent) {
            EXPECT_EQ(ask.id, unread) << "only what crossed a close on a used connection";
            EXPECT_EQ(line.asked, 0) << "on a fresh one";
        }
        EXPECT_FALSE(call.may_have_run &&
                     day.classes[std::size_t(ask.cls)].effect == Idempotency::NonIdempotent);
        Duration most = day.classes[std::size_t(ask.cls)].give_up;
        EXPECT_LT(now, call.began + most);
        EXPECT_LE(ms(now + ask.patience), ms(call.began + most) + 1e-6);
        line.out = call.out = ask.id;
        ++line.asked;
        tries[ask.id] = asks.size();
        asks.push_back({ask, now});
        log << ms(now) << " ask " << ask.connection << ' ' << ask.id << ' ' << ask.patience.count() << '\n';
        if (asked) asked(ask);
    }
    void take(const CloseConnection& close) {
        auto it = lines.find(close.connection);
        ASSERT_NE(it, lines.end()) << "closes what is not open";
        TryId out = it->second.out;
        EXPECT_TRUE(out == 0 || gone.contains(out)) << "TryLeft is missing";
        lines.erase(it);
    }
    void take(const ClientsNote& note) {
        log << ms(now) << " note " << note.record.index() << '\n';
        if (const auto* began = std::get_if<CallBegan>(&note.record)) {
            EXPECT_TRUE(calls.insert({began->call, {began->at, {}}}).second);
        } else if (const auto* ended = std::get_if<CallEnded>(&note.record)) {
            Seen& call = calls.at(ended->call);
            EXPECT_FALSE(call.over) << "a call ended twice";
            EXPECT_FALSE(is_out(call));
            call.over = true;
            call.ended = ended->at;
            call.heard = ended->heard;
        } else if (const auto* left = std::get_if<TryLeft>(&note.record)) {
            Seen& call = calls.at(asks.at(tries.at(left->id)).call);
            if (call.out == left->id) call.out = 0;
            call.may_have_run = true;
            gone.insert(left->id);
            left_at.push_back(ms(left->at));
        } else if (const auto* lost = std::get_if<TryLost>(&note.record)) {
            losses.push_back(*lost);
        } else {
            FAIL() << "not the core's to note";
        }
    }
    void take(const WakeClientsAt& at) {
        EXPECT_LT(at.at, wake) << "a wake that is no earlier";
        wake = at.at;
        if (keeps_all_wakes) later((at.at - now).count(), ClientsWoken{});
    }

    /// A try that was given up is out no more, though its connection stays to hear what comes too late.
    bool is_out(const Seen& call) const {
        if (call.out == 0) return false;
        const Asked& ask = asks[tries.at(call.out)];
        return now < ask.at + ask.patience;
    }

    std::vector<double> ask_times() const {
        std::vector<double> times;
        for (const Asked& ask : asks) times.push_back(ms(ask.at));
        return times;
    }

    Day day;
    Clients core;
    TimePoint now = t(0), wake = kNever;
    bool keeps_all_wakes = false;
    TryId unread = 0;  ///< of the event in hand
    std::multimap<TimePoint, ClientEvent> events;
    std::function<void(const Ask&)> asked;
    std::function<void(const OpenConnection&)> opened;
    std::map<ClientConnection, Line> lines;
    std::set<ClientConnection> names;
    std::map<CallId, Seen> calls;
    std::map<TryId, std::size_t> tries;  ///< by id, its last place in asks
    std::vector<Asked> asks;
    std::vector<double> left_at;
    std::set<TryId> gone;
    std::vector<TryLost> losses;
    std::ostringstream log;
};

using Times = std::vector<double>;

TEST(Clients, AdviceIsHonouredByThoseWhoHeedItUpToTheirMostAndIgnoredByOthers) {
    struct Case {
        double honours, most, wait, advice;
        Times asks;
    };
    for (const Case& c :
         std::vector<Case>{{1, 300, 0, 200, {0, 201, 402, 603}},   // when it is told to
                           {1, 300, 0, 900, {0, 301, 602, 903}},   // no later than its most
                           {1, 5000, 0, 999, {0}},                 // beyond its time: over at once
                           {0, 300, 0, 200, {0, 1, 2, 3}},         // ignored, at once
                           {0, 300, 30, 200, {0, 31, 62, 93}}}) {  // ignored, after its own wait
        Day day = make_day(Idempotency::NonIdempotent, {0});
        day.clients.honours = c.honours;
        day.clients.most_honoured = Duration{c.most};
        day.clients.retry_after_wait = Duration{c.wait};
        Host host(day);
        host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Refused, 1, Duration{c.advice}); };
        host.run();
        EXPECT_EQ(host.ask_times(), c.asks);
        EXPECT_EQ(host.calls[0].heard, Heard::Refused);
        EXPECT_EQ(ms(host.calls[0].ended), c.asks.back() + 1);
        for (const auto& ask : host.asks)
            EXPECT_TRUE(ask.repeat == (ms(ask.at) > 0) && ask.marked == ask.repeat);
    }
}

TEST(Clients, APartOfThemHeedsAdvice) {
    Day day = make_day(Idempotency::Idempotent, Times(4000, 0));
    day.clients.honours = 0.3;
    day.clients.tries = 1;
    Host host(day);
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Refused, 1, Duration{200}); };
    host.run();
    int heeded = 0;
    for (const auto& ask : host.asks) heeded += ms(ask.at) > 100;
    EXPECT_NEAR(heeded, 1200, 120);
}

TEST(Clients, ATryThatIsNotAnsweredIsGivenUpAndRepeatedWithinTheCallsTime) {
    Host host(make_day(Idempotency::Idempotent, {0}));
    host.asked = [&](const Ask& ask) {
        if (!ask.repeat) host.answer(ask, Heard::Served, 500.5);  // crosses the close: it is too late
    };
    host.run();
    EXPECT_EQ(host.ask_times(), (Times{0, 500}));
    EXPECT_EQ(host.left_at, (Times{1070}));  // the first was answered late, the second never
    EXPECT_DOUBLE_EQ(host.asks[0].patience.count(), 500);
    EXPECT_NE(host.asks[0].id, host.asks[1].id);
    EXPECT_EQ(host.calls[0].heard, Heard::Failed);
    EXPECT_EQ(host.calls[0].ended, t(1000));
    EXPECT_TRUE(host.lines.empty()) << "what is given up is closed";
}

TEST(Clients, WhatMayHaveRunIsRepeatedOnlyAsItsClassAllows) {
    enum How { kFails, kTimesOut, kLost, kUnread, kRefuses, kUnreadTwice };
    struct Case {
        Idempotency effect;
        DeduplicationScope scope;
        double after;  ///< each try ends after this
        How how;
        std::size_t tries;
    };
    for (const Case& c :
         std::vector<Case>{{Idempotency::Idempotent, DeduplicationScope::All, 150, kFails, 4},
                           {Idempotency::Idempotent, DeduplicationScope::All, 150, kLost, 4},
                           {Idempotency::NonIdempotent, DeduplicationScope::All, 150, kFails, 1},
                           {Idempotency::NonIdempotent, DeduplicationScope::All, 150, kLost, 1},
                           {Idempotency::NonIdempotent, DeduplicationScope::All, 0, kTimesOut, 1},
                           {Idempotency::NonIdempotent, DeduplicationScope::All, 150, kUnread, 4},
                           {Idempotency::NonIdempotent, DeduplicationScope::All, 150, kRefuses, 4},
                           {Idempotency::IdempotentWithKey, DeduplicationScope::Cell, 150, kFails, 1},
                           {Idempotency::IdempotentWithKey, DeduplicationScope::Cell, 150, kRefuses, 4},
                           {Idempotency::IdempotentWithKey, DeduplicationScope::All, 150, kFails, 3},
                           {Idempotency::IdempotentWithKey, DeduplicationScope::All, 150, kUnread, 4},
                           {Idempotency::IdempotentWithKey, DeduplicationScope::All, 150, kUnreadTwice,
                            4},  // its window has not begun
                           {Idempotency::IdempotentWithKey, DeduplicationScope::All, 0, kTimesOut, 1}}) {
        Day day = make_day(c.effect, {0});  // a keyed class's window is 400 ms
        day.classes[0].scope = c.scope;
        Host host(day);
        host.asked = [&](const Ask& ask) {
            if (c.how == kFails) host.answer(ask, Heard::Failed, c.after);
            if (c.how == kRefuses) host.answer(ask, Heard::Refused, c.after);
            bool twice = c.how == kUnreadTwice && host.asks.size() <= 2;
            if (c.how == kUnreadTwice && !twice) host.answer(ask, Heard::Failed, c.after);
            if (c.how == kLost || c.how == kUnread || twice)
                host.later(c.after, ConnectionLost{ask.connection, c.how != kLost, false});
        };
        host.run();
        EXPECT_EQ(host.asks.size(), c.tries) << int(c.effect) << int(c.scope) << ' ' << c.how;
        for (const auto& ask : host.asks) {
            EXPECT_EQ(ask.key.has_value(), c.effect == Idempotency::IdempotentWithKey);
            EXPECT_EQ(ask.key.value_or(77), 77u);
        }
        EXPECT_EQ(host.losses.size(), c.how == kLost || c.how == kUnread ? c.tries
                                      : c.how == kUnreadTwice            ? 2
                                                                         : 0);
        for (const TryLost& lost : host.losses) EXPECT_EQ(lost.node_gone, c.how != kLost);
    }
}

TEST(Clients, TheImpatientLeaveForGoodEachAtAMomentOfItsOwn) {
    Day day = make_day(Idempotency::Idempotent, Times(4000, 0));
    day.clients.impatient = 0.06;
    Host host(day);
    host.run();
    std::set<double> moments;
    for (const auto& [id, call] : host.calls)
        if (call.ended < t(1000)) moments.insert(ms(call.ended));
    EXPECT_NEAR(double(moments.size()), 240, 60);
    auto early = std::distance(moments.begin(), moments.lower_bound(500));
    EXPECT_EQ(host.asks.size(), 8000u - std::size_t(early)) << "who has left does not try again";
    EXPECT_TRUE(host.core.done());
}

TEST(Clients, AWakeThatComesLateHidesNoWaiting) {
    Host host(make_day(Idempotency::Idempotent, {0, 500, 2000}));
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Served); };
    host.wake = kNever;  // the host is held up
    host.now = t(1100);
    host.give(ClientsWoken{});
    EXPECT_TRUE(host.calls[0].over && host.calls[0].began == t(0));
    EXPECT_EQ(host.calls[1].began, t(500));
    ASSERT_EQ(host.asks.size(), 1u) << "the time of the first is over";
    EXPECT_NEAR(host.asks[0].patience.count(), 400, 1e-9) << "of its time so much is left";
    host.run();
    EXPECT_EQ(host.calls[2].began, t(2000));
    EXPECT_TRUE(host.core.done());
}

TEST(FrontLayer, SpreadsEvenlyAndNoticesADeathLate) {
    Times arrivals;
    for (int i = 0; i < 400; ++i) arrivals.push_back(i * 10);
    Day day = make_day(Idempotency::Idempotent, arrivals, 3);
    day.nodes[2].zone = 1;  // all clients are in the first zone
    day.front_notice = Duration{500};
    Host host(day);
    bool dead = false;
    std::map<NodeNo, int> served;
    host.asked = [&](const Ask& ask) {
        EXPECT_NE(ask.node, 2);
        if (dead && ask.node == 1) return host.later(0.5, ConnectionLost{ask.connection, true, true});
        ++served[ask.node];
        host.answer(ask, Heard::Served);
    };
    host.run(1005);
    EXPECT_NEAR(served[0], 50, 10);
    dead = true;
    host.give(NodeDown{1});
    host.run(3005);
    int to_dead = 0, last = 0;
    for (const auto& ask : host.asks)
        if (ask.node == 1 && ms(ask.at) > 1005) ++to_dead, last = int(ms(ask.at));
    EXPECT_NEAR(to_dead, 35, 15) << "half of 50 calls, and some again";
    EXPECT_LT(last, 1506);
    EXPECT_GT(last, 1400);
    dead = false;
    host.give(NodeUp{1});
    host.give(NodeDown{1});
    host.give(NodeUp{1});  // back before its second death is noticed: it stays
    served.clear();
    host.run();
    EXPECT_NEAR(served[1], 50, 12);
    EXPECT_EQ(host.calls.size(), 400u);
    for (const auto& [id, call] : host.calls)  // who met the dead one four times at once was not served
        EXPECT_TRUE(call.heard == Heard::Served || (call.began > t(1005) && call.began < t(1505))) << id;
}

TEST(FrontLayer, UsesOtherZonesNodesAndFailsWhereThereIsNone) {
    Day day = make_day(Idempotency::NonIdempotent, {0, 100, 200}, 2);
    day.nodes[0].zone = day.nodes[1].zone = 1;
    day.front_notice = Duration{0};
    day.clients.retry_after_wait = Duration{20};
    Host host(day);
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Served); };
    host.run(50);
    EXPECT_EQ(host.asks.size(), 1u);
    host.give(NodeDown{0});
    host.give(NodeDown{1});
    host.run(130);
    EXPECT_EQ(host.asks.size(), 1u) << "nobody to ask";
    host.give(NodeUp{1});  // the second call comes back at 140 and finds it
    host.run(190);
    EXPECT_EQ(host.ask_times(), (Times{0, 140}));
    EXPECT_TRUE(host.asks[1].repeat);
    host.give(NodeDown{1});
    host.run();
    EXPECT_EQ(ms(host.calls[2].ended), 260) << "the first try and three more, 20 ms apart";
    EXPECT_EQ(host.calls[2].heard, Heard::Failed);
    EXPECT_TRUE(host.core.done());
}

TEST(Clients, ARequestThatCrossesACloseIsSentOnceMoreAndNeverTwice) {
    Day day = make_day(Idempotency::NonIdempotent, {0, 100});
    day.clients.tries = 0;
    Host host(day);
    host.asked = [&](const Ask& ask) {
        if (ask.call == 0) return host.answer(ask, Heard::Served);
        host.later(10, ConnectionLost{ask.connection, true, false});
    };
    host.run();
    ASSERT_EQ(host.asks.size(), 3u);
    EXPECT_EQ(host.asks[1].connection, host.asks[0].connection) << "a connection is used again";
    EXPECT_EQ(host.asks[2].id, host.asks[1].id);
    EXPECT_NE(host.asks[2].connection, host.asks[1].connection);
    EXPECT_DOUBLE_EQ(host.asks[2].patience.count(), 490) << "its time runs on";
    EXPECT_FALSE(host.asks[2].repeat);
    ASSERT_EQ(host.losses.size(), 1u);
    EXPECT_TRUE(host.losses[0].node_gone) << "not read: nobody owes an answer";
    EXPECT_EQ(ms(host.calls[1].ended), 120);
}

TEST(Clients, ConnectionsAreReusedLatestFirstAndKeptUpToTheirMost) {
    Day day = make_day(Idempotency::Idempotent, {0, 0, 0, 0, 100, 101});
    day.clients.connections_kept = 2;
    Host host(day);
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Served, 10 + double(ask.call)); };
    host.run(50);
    EXPECT_EQ(host.names.size(), 4u) << "all were busy";
    EXPECT_EQ(host.core.connections(), 2u);
    host.run(105);
    EXPECT_EQ(host.asks[4].connection, host.asks[3].connection);
    EXPECT_EQ(host.asks[5].connection, host.asks[2].connection);
    host.run();
    for (auto line : std::map(host.lines)) host.give(ConnectionLost{line.first, true, false});
    EXPECT_EQ(host.core.connections(), 0u);
    EXPECT_EQ(host.names.size(), 4u) << "an idle one that is closed is not renewed";
}

TEST(Clients, OneTimeConnectionsStayAndAreBounded) {
    Times arrivals;
    for (std::size_t i = 0; i < kMostKeptForGood + 50; ++i) arrivals.push_back(double(i) * 0.1);
    Day day = make_day(Idempotency::Idempotent, arrivals);
    day.clients.once = 1;
    Host host(day);
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Served, 0.05); };
    host.run();
    EXPECT_EQ(host.names.size(), arrivals.size()) << "none is used again";
    EXPECT_EQ(host.core.connections(), kMostKeptForGood);
}

TEST(Clients, WhoeverOfTheCrowdWasNotServedAsksSoonerThanHeThinksAndNoSoonerThanAdvised) {
    Day day = make_day(Idempotency::Idempotent, {}, 1);
    day.clients.population = 1;
    day.clients.tries = 0;
    day.clients.think = Duration{2000};
    day.clients.again = Duration{100};
    day.clients.honours = 1;
    day.clients.most_honoured = Duration{700};
    Host host(day);
    host.asked = [&](const Ask&) {
        switch (host.asks.size()) {
            case 1:
                return host.answer(host.asks.back(), Heard::Served, 10);
            case 2:
                return host.answer(host.asks.back(), Heard::Failed, 10);
            case 3:
                return host.answer(host.asks.back(), Heard::Refused, 10, Duration{300});
            case 4:
                return host.answer(host.asks.back(), Heard::Refused, 10, Duration{5000});
            default:
                return host.answer(host.asks.back(), Heard::Served, 10);
        }
    };
    host.run();
    Times gaps;
    for (std::size_t i = 1; i < host.asks.size(); ++i)
        gaps.push_back(std::round(ms(host.asks[i].at) - ms(host.asks[i - 1].at) - 10));
    ASSERT_GE(gaps.size(), 4u);
    gaps.resize(4);
    EXPECT_EQ(gaps, (Times{2000, 100, 300, 700}));
}

TEST(Clients, ACrowdThatThinksUnevenlyDoesNotStayInStep) {
    for (double spread : {0.0, 0.8}) {
        Day day = make_day(Idempotency::Idempotent, {}, 1);
        day.classes[0].give_up = Duration{4000};
        day.clients.population = 100;
        day.clients.think = Duration{1000};
        day.clients.think_spread = spread;
        Host host(day);
        std::map<int, int> asks;  // by steps of 100 ms of the day's last second
        host.asked = [&](const Ask& ask) {
            if (double now = ms(host.now); now >= 4000) ++asks[int(now / 100)];
            host.answer(ask, Heard::Served, ms(host.now) < 1000 ? 1500 - ms(host.now) : 1);
        };
        host.run();
        int most = 0;
        for (const auto& [step, count] : asks) most = std::max(most, count);
        if (spread > 0)
            EXPECT_LT(most, 40);
        else
            EXPECT_GE(most, 90) << "all were served at one moment";
    }
}

TEST(Clients, TheCrowdReconnectsAtOnceWhenItsNodeGoesAndStopsWithTheDay) {
    Day day = make_day(Idempotency::Idempotent, {0}, 2);
    day.clients.population = 50;
    day.front_notice = Duration{0};
    Host host(day);
    bool dead = false;
    host.asked = [&](const Ask& ask) {
        EXPECT_FALSE(dead && ask.node == 0);
        host.answer(ask, Heard::Served, 5);
    };
    host.run(1500);
    EXPECT_EQ(host.core.connections(), 51u) << "one each, and one of the open loop";
    std::size_t before = host.asks.size(), hit = 0;
    dead = true;
    host.give(NodeDown{0});
    for (auto [name, line] : std::map(host.lines))
        if (line.node == 0) host.give(ConnectionLost{name, line.out == 0, true}), ++hit;
    EXPECT_GT(hit, 20u);
    EXPECT_GE(host.asks.size() - before, hit - 2) << "they all ask at once";
    host.run();
    EXPECT_TRUE(host.core.done());
    EXPECT_GT(host.calls.size(), 200u);
    EXPECT_EQ(std::prev(host.calls.end())->first, host.calls.size() - 1)
        << "numbers go on behind the arrivals";
    EXPECT_LT(host.asks.back().at, t(5000));
}

TEST(Clients, AFloodIsRenewedAtABoundedRateAndEnds) {
    Day day = make_day(Idempotency::Idempotent, {4000});
    Fault& fault = day.faults.emplace_back();
    fault.kind = FaultKind::ConnectionFlood;
    fault.at = Duration{1000};
    fault.length = Duration{2000};
    fault.count = 300;
    Host host(day);
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Served); };
    host.run(1050);
    EXPECT_LE(host.names.size(), 120u) << "they do not come all at once";
    host.run(1500);
    EXPECT_EQ(host.names.size(), 300u);
    host.opened = [&](const OpenConnection& open) {
        if (open.hostile) host.later(0.1, ConnectionLost{open.connection, true, false});
    };
    for (auto line : std::map(host.lines)) host.give(ConnectionLost{line.first, true, false});
    host.run(2500);
    EXPECT_NEAR(double(host.names.size()) - 300, kFloodOpensPerSecond, 30) << "a node that refuses all";
    host.opened = nullptr;
    host.run(3001);
    EXPECT_EQ(host.core.connections(), 0u);
}

TEST(Clients, HostileOnesSendEveryKindOfNoiseAndLeaveInTime) {
    Day day = make_day(Idempotency::Idempotent, {}, 2);
    day.length = Duration{30000};
    Fault& fault = day.faults.emplace_back();
    fault.kind = FaultKind::Hostile;
    fault.at = Duration{1000};
    fault.length = Duration{10000};
    fault.nodes = {1};
    fault.size = 20;
    Host hit(day);
    std::set<int> kinds;
    std::size_t most = 0;
    hit.opened = [&](const OpenConnection& open) {
        EXPECT_TRUE(open.hostile && open.node == 1);
        kinds.insert(open.noise);
        most = std::max(most, hit.core.connections());
    };
    hit.run();
    EXPECT_EQ(kinds.size(), 200u);
    EXPECT_EQ(*kinds.rbegin(), 199);
    EXPECT_NEAR(double(most), 100, 2) << "open for five seconds at most";
    EXPECT_EQ(hit.core.connections(), 0u);
}

TEST(Clients, MemoryIsThatOfOpenCalls) {
    Times arrivals;
    for (int i = 0; i < 60000; ++i) arrivals.push_back(i * 0.02);
    Host host(make_day(Idempotency::Idempotent, arrivals, 2));
    host.asked = [&](const Ask& ask) { host.answer(ask, Heard::Served, 2); };
    host.run();
    EXPECT_TRUE(host.core.done());
    EXPECT_LT(host.core.places(), 250u);
}

/// Nodes that answer, lose, close and go at random; some wakes are kept by the host beside later ones.
std::string wild(std::uint64_t seed, bool keeps_all_wakes) {
    std::mt19937_64 random(seed);
    auto pick = [&](std::uint64_t n) { return random() % n; };
    Times arrivals;
    for (int i = 0; i < 400; ++i) arrivals.push_back(double(i * 5));
    Day day = make_day(Idempotency::Idempotent, arrivals, 4);
    day.length = Duration{2000};
    for (Idempotency effect : {Idempotency::IdempotentWithKey, Idempotency::NonIdempotent}) {
        day.classes.push_back(day.classes[0]);
        day.classes.back().effect = effect;
    }
    for (Arrival& arrival : day.arrivals) arrival.cls = int(pick(3)), arrival.zone = int(pick(2));
    day.nodes[3].zone = 1;
    day.clients.tries = int(pick(5));
    day.clients.retry_after_wait = Duration{double(pick(2) * 40)};
    day.clients.honours = 0.5;
    day.clients.impatient = day.clients.once = 0.1;
    day.clients.connections_kept = 4;
    day.clients.population = 10;
    day.clients.think = Duration{50};
    day.front_notice = Duration{100};
    Host host(day, seed, int(pick(5)));
    host.keeps_all_wakes = keeps_all_wakes;
    host.asked = [&](const Ask& ask) {
        double after = double(pick(600));
        std::uint64_t how = pick(8);
        if (how == 1) host.later(after / 4, ConnectionLost{ask.connection, true, pick(2) == 0});
        if (how == 2) host.later(after, ConnectionLost{ask.connection, false, pick(2) == 0});
        if (how == 3 || how == 4) host.answer(ask, Heard::Served, after / 2, {}, pick(2) == 0);
        if (how == 4) host.answer(ask, Heard::Served, after);  // twice
        if (how == 5) host.answer(ask, Heard::Failed, after);
        if (how == 6) host.answer(ask, Heard::Refused, after / 8, Duration{double(pick(2000))});
        if (how < 7) return;
        host.answer(ask, Heard::Served, after / 8);
        host.later(double(pick(1000)), ConnectionLost{ask.connection, true, false});
    };
    for (int i = 0; i < 60; ++i) {
        int node = int(pick(4));
        host.later(double(pick(2500)), NodeUp{node});
        host.later(double(pick(2500)), NodeDown{node});
        host.later(double(pick(2500)), Answered{random(), Heard::Served, 200, {}, false});
        host.later(double(pick(2500)), ConnectionLost{random() % 100, pick(2) == 0, false});
    }
    host.run();
    EXPECT_TRUE(host.core.done()) << seed;
    EXPECT_EQ(host.core.open_calls(), 0u);
    EXPECT_GE(host.calls.size(), 400u);
    for (const auto& [id, call] : host.calls) {
        EXPECT_TRUE(call.over) << id;
        EXPECT_LE(ms(call.ended - call.began.time_since_epoch() + kStart), 1000 + 1e-6) << id;
    }
    EXPECT_EQ(host.core.connections(), host.lines.size());
    return host.log.str();
}

TEST(Clients, WhateverNodesDoEachCallEndsOnceInTime) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) wild(seed, seed % 2 == 0);
}

TEST(Clients, TheSameSeedGivesTheSameActions) {
    std::string once = wild(5, false);
    EXPECT_EQ(once, wild(5, false));
    EXPECT_NE(once, wild(6, false));
}

}  // namespace
}  // namespace ochrehub::lab
