// For each rule a trace that breaks it, and its near miss at the border; the hard cases; random traces.
#include "lab/referee/referee.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "lab/referee/seen_ids.h"

namespace ochrehub::lab {

void PrintTo(Rule rule, std::ostream* out) {
    *out << name_of(rule);
}

namespace {

using Ended_ = lab::AttemptEnded;  // the module's event has the same name
using Rules = std::vector<Rule>;

enum Class { kFree, kOnce, kByCell, kByAll, kByZone };

// Servers 0 and 1 share a cell, 2 their zone, 3 and 4 are in the other; nothing jitters, so that borders are
// exact.
Day a_day() {
    Day day;
    day.network = {{"a", "b"}, {{1, 3}, {3, 1}}, 1, 0, 0};
    for (auto [effect, scope] : {std::pair{Idempotency::Idempotent, DeduplicationScope::All},
                                 {Idempotency::NonIdempotent, DeduplicationScope::All},
                                 {Idempotency::IdempotentWithKey, DeduplicationScope::Cell},
                                 {Idempotency::IdempotentWithKey, DeduplicationScope::All},
                                 {Idempotency::IdempotentWithKey, DeduplicationScope::Zone}}) {
        ClassFigures cls;
        cls.effect = effect;
        cls.scope = scope;
        cls.name = std::array{"free", "once", "by-cell", "by-all", "by-zone"}[day.classes.size()];
        cls.window = Duration{300};
        day.classes.push_back(cls);
    }
    for (auto [zone, cell] : {std::pair{0, 0}, {0, 0}, {0, 1}, {1, 2}, {1, 2}, {0, 0}}) {
        ServerFigures server;
        server.zone = zone;
        server.cell = cell;
        day.servers.push_back(server);
    }
    day.nodes = {{0}, {1}, {0}};
    return day;
}
constexpr ServerNo kUnlisted = 5;

TimePoint at(double ms) {
    return TimePoint(Duration(ms));
}

class Trace {
public:
    Trace() : Trace(a_day()) {}
    explicit Trace(Day d) : day(std::move(d)) {
        for (NodeNo n = 0; n < NodeNo(day.nodes.size()); ++n) {
            add(NodeChanged{at(0), n, NodeState::Started});
            for (ServerNo s = 0; s < kUnlisted; ++s) told(0, n, s, ToldPhase::InService, 0, s == 0);
            add(Asked{at(0), n, Asked::What::Called});
        }
    }
    Trace& add(Record record) {
        records.push_back(std::move(record));
        return *this;
    }
    Trace& sent(double t, TryId id, int cls, NodeNo node = 0, double patience = 500) {
        return add(TrySent{at(t), id, id, node, cls, kNobody, id, at(t + patience)});
    }
    Trace& arrived(double t, AttemptNo no, TryId id, ServerNo server, NodeNo node = 0) {
        return add(AttemptArrived{at(t), at(t), no, id, server, node});
    }
    Trace& ended(double t, AttemptNo no, Ended how) {
        return add(Ended_{at(t), no, how, how != Ended::NeverRan});
    }
    Trace& abandoned(double t, AttemptNo no) { return add(AttemptAbandoned{at(t), no}); }
    Trace& served(double t, TryId id, AttemptNo no) {
        return add(TryAnswered{at(t), id, Heard::Served, 200, no, {}});
    }
    Trace& refused(double t, TryId id) { return add(TryAnswered{at(t), id, Heard::Refused, 503, 0, {}}); }
    Trace& failed(double t, TryId id) { return add(TryAnswered{at(t), id, Heard::Failed, 502, 0, {}}); }
    Trace& left(double t, TryId id) { return add(TryLeft{at(t), id}); }
    Trace& told(double t, NodeNo n, ServerNo s, ToldPhase phase, double started = 0, bool whole = false) {
        return add(Told{at(t), n, s, phase, at(started), whole});
    }
    Trace& server(double t, ServerNo s, ServerState state, double window = 0) {
        return add(ServerChanged{at(t), s, state, Duration(window)});
    }
    Trace& node(double t, NodeNo n, NodeState state) { return add(NodeChanged{at(t), n, state}); }
    /// A whole request, from its last byte to its answer 60 ms later.
    Trace& one(double t, TryId id, int cls, ServerNo s, NodeNo n = 0) {
        return sent(t, id, cls, n)
            .arrived(t + 5, id * 10, id, s, n)
            .ended(t + 50, id * 10, Ended::Served)
            .served(t + 60, id, id * 10);
    }

    std::unique_ptr<Referee> judge(double end = 30'000, double slack = 0) {
        auto referee = std::make_unique<Referee>(day, at(0), Duration{slack});
        referee->count_executions();
        std::stable_sort(records.begin(), records.end(), [](const Record& a, const Record& b) {
            auto when = [](const auto& r) { return r.at; };
            return std::visit(when, a) < std::visit(when, b);
        });
        for (const Record& record : records) referee->note(record);
        referee->finish(at(end));
        return referee;
    }
    Rules rules(double end = 30'000, double slack = 0) {
        Rules found;
        auto referee = judge(end, slack);
        for (const Breach& breach : referee->breaches()) found.push_back(breach.rule);
        return found;
    }

    Day day;
    std::vector<Record> records;
};

const Rules kNone_;

// Behind a stall of a node with little CPU a response may come up to half a second after its client's
// deadline: until 5 s after the stall, and at such nodes alone. A connection that the node ends is lost all
// the same.
TEST(Rule1, ResponsesBehindAStallMayBeHalfASecondLate) {
    auto stalled = [](double event_cpu_ms) {
        Trace trace;
        for (auto& node : trace.day.nodes) node.event_cpu = Duration{event_cpu_ms};
        return trace.node(1000, 0, NodeState::Stalled).node(1500, 0, NodeState::Resumed);
    };
    const Rules late{Rule::AnswerLate}, missing{Rule::AnswerMissing};
    for (double sent : {990., 1490., 1510., 6400.}) {
        EXPECT_EQ(stalled(0.05).sent(sent, 1, kFree, 0, 200).refused(sent + 700, 1).rules(), kNone_) << sent;
        EXPECT_EQ(stalled(0.05).sent(sent, 1, kFree, 0, 200).left(sent + 270, 1).rules(), kNone_) << sent;
        EXPECT_EQ(stalled(0.05).sent(sent, 1, kFree, 0, 200).rules(), missing) << sent;
        EXPECT_EQ(stalled(0.05).sent(sent, 1, kFree, 0, 200).add(TryLost{at(sent + 100), 1, false}).rules(),
                  missing)
            << sent;
    }
    EXPECT_EQ(stalled(0.05).sent(1510, 1, kFree, 0, 200).refused(1510 + 700.1, 1).rules(), late);
    EXPECT_EQ(stalled(0.05).sent(6510, 1, kFree, 0, 200).refused(6510 + 210, 1).rules(), late);
    EXPECT_EQ(stalled(0.05).sent(1510, 1, kFree, 1, 200).refused(1510 + 210, 1).rules(), late)
        << "another node";
    EXPECT_EQ(stalled(0).sent(1510, 1, kFree, 0, 200).refused(1510 + 210, 1).rules(), late) << "CPU enough";
    EXPECT_EQ(stalled(0).sent(1510, 1, kFree, 0, 200).left(1510 + 270, 1).rules(), missing) << "CPU enough";
}

TEST(Rule1, AnswerMissing) {
    // The client stays beyond all limits, or leaves after them: lost. At the deadline: failed, and counted.
    EXPECT_EQ(Trace().sent(100, 1, kFree).rules(), Rules{Rule::AnswerMissing});
    EXPECT_EQ(Trace().sent(100, 1, kFree).left(608.1, 1).rules(), Rules{Rule::AnswerMissing});
    auto border = Trace().sent(100, 1, kFree).left(608, 1).judge();
    EXPECT_EQ(border->total(), 0u);
    EXPECT_EQ(border->unanswered(), 1u);
    EXPECT_EQ(Trace().sent(100, 1, kFree).add(TryLost{at(300), 1, false}).rules(),
              Rules{Rule::AnswerMissing});
    EXPECT_EQ(Trace().sent(100, 1, kFree).add(TryLost{at(300), 1, true}).rules(), kNone_);
    // its time was up
    EXPECT_EQ(Trace().sent(100, 1, kFree).add(TryLost{at(600), 1, false}).rules(), kNone_);
    EXPECT_EQ(Trace().sent(100, 1, kFree).left(598, 1).judge()->unanswered(), 0u);  // left by itself
}

TEST(Rule1, AnswerThatTheNodeHadAndDidNotHandOn) {
    // From a server of the other zone: 3 ms back, 1 ms to the client, 20 ms for the node.
    auto trace = [](double served) {
        return Trace().sent(100, 1, kFree).arrived(110, 7, 1, 3).ended(served, 7, Ended::Served).left(600, 1);
    };
    EXPECT_EQ(trace(576).rules(), Rules{Rule::AnswerMissing});
    EXPECT_EQ(trace(576.1).rules(), kNone_);
    EXPECT_EQ(trace(400).abandoned(401, 7).rules(), kNone_);      // given up while the answer was on its way
    EXPECT_EQ(trace(400).arrived(410, 8, 1, 1).rules(), kNone_);  // sent again: it had given up the first
    EXPECT_EQ(trace(400).node(450, 0, NodeState::Stalled).rules(), kNone_);
    EXPECT_EQ(trace(400).failed(608, 1).rules(), kNone_);  // crossed the client's close
    EXPECT_EQ(trace(400).failed(608.1, 1).rules(), Rules{Rule::AnswerLate});
}

TEST(Rule1, AnswerTwiceAndLate) {
    EXPECT_EQ(Trace().one(100, 1, kFree, 0).failed(161, 1).rules(), Rules{Rule::AnswerTwice});
    // long forgotten
    EXPECT_EQ(Trace().one(100, 1, kFree, 0).failed(9000, 1).rules(), Rules{Rule::AnswerTwice});
    EXPECT_EQ(Trace().sent(100, 1, kFree).failed(608, 1).rules(), kNone_);
    EXPECT_EQ(Trace().sent(100, 1, kFree).failed(608.1, 1).rules(), Rules{Rule::AnswerLate});
    EXPECT_EQ(Trace().sent(100, 1, kFree).failed(658, 1).rules(30'000, 50), kNone_);
    EXPECT_EQ(Trace().sent(100, 1, kFree).failed(658.1, 1).rules(30'000, 50), Rules{Rule::AnswerLate});
    // Answered before its last byte was written: it was refused unread.
    EXPECT_EQ(Trace().refused(100, 1).rules(), kNone_);
    EXPECT_EQ(Trace().served(100, 1, 7).rules(), Rules{Rule::AnswerInvented});
}

TEST(Rule1, AnswerInvented) {
    auto trace = [](AttemptNo named, Ended how) {
        return Trace()
            .one(100, 1, kFree, 0)
            .sent(100, 2, kFree)
            .arrived(105, 7, 2, 1)
            .ended(140, 7, how)
            .served(150, 2, named)
            .rules();
    };
    EXPECT_EQ(trace(7, Ended::Served), kNone_);
    EXPECT_EQ(trace(0, Ended::Served), Rules{Rule::AnswerInvented});
    EXPECT_EQ(trace(99, Ended::Served), Rules{Rule::AnswerInvented});
    EXPECT_EQ(trace(10, Ended::Served), Rules{Rule::AnswerInvented});  // of the other request
    EXPECT_EQ(trace(7, Ended::Error), Rules{Rule::AnswerInvented});
    EXPECT_EQ(trace(7, Ended::Spoilt), Rules{Rule::AnswerInvented});
    // Not ended at all; noted behind the answer of the same instant; after it.
    auto late = [] { return Trace().sent(100, 1, kFree).arrived(105, 7, 1, 0).served(150, 1, 7); };
    EXPECT_EQ(late().rules(), Rules{Rule::AnswerInvented});
    EXPECT_EQ(late().ended(150, 7, Ended::Served).rules(), kNone_);
    EXPECT_EQ(late().ended(150.1, 7, Ended::Served).rules(), Rules{Rule::AnswerInvented});
}

TEST(Rule1, NodesThatDieOweNothingAndNodesThatEndDo) {
    auto open = [] { return Trace().sent(100, 1, kFree); };
    EXPECT_EQ(open().node(200, 0, NodeState::Killed).rules(), kNone_);
    EXPECT_EQ(open().node(200, 1, NodeState::Killed).rules(), Rules{Rule::AnswerMissing});  // another one
    EXPECT_EQ(open().node(200, 0, NodeState::Ended).rules(), Rules{Rule::AnswerMissing});   // crashed
    // Stopped: whoever notes first that the connection broke, the request is lost; but not one that crossed
    // the end.
    auto stopped = [] { return Trace().node(50, 0, NodeState::Stopping).sent(100, 1, kFree); };
    EXPECT_EQ(stopped().node(200, 0, NodeState::Ended).add(TryLost{at(201), 1, true}).rules(),
              Rules{Rule::AnswerMissing});
    EXPECT_EQ(stopped().add(TryLost{at(200), 1, true}).node(200, 0, NodeState::Ended).rules(),
              Rules{Rule::AnswerMissing});
    EXPECT_EQ(stopped().node(200, 0, NodeState::Ended).failed(201, 1).add(TryLost{at(201), 1, true}).rules(),
              kNone_);  // its answer was on its way when it ended
    EXPECT_EQ(stopped().node(200, 0, NodeState::Ended).left(300, 1).rules(), kNone_);
    EXPECT_EQ(stopped().node(101, 0, NodeState::Ended).add(TryLost{at(102), 1, true}).rules(), kNone_);
    EXPECT_EQ(stopped().node(101.1, 0, NodeState::Ended).rules(), Rules{Rule::AnswerMissing});
    // Killed at last: lost is what came when its connection should have been closed.
    auto killed = [](double came) {
        return Trace()
            .node(50, 0, NodeState::Stopping)
            .sent(came, 1, kFree)
            .node(1000, 0, NodeState::Killed)
            .rules();
    };
    EXPECT_EQ(killed(750), kNone_);
    EXPECT_EQ(killed(750.1), Rules{Rule::AnswerMissing});
    EXPECT_EQ(killed(999), kNone_);
}

// On sockets a process goes on for a moment behind Killed, and Ended is noted when nothing is left of it.
TEST(Rule1, WhatIsGivenToADyingProcessDiesWithIt) {
    auto dying = [](double given) {
        return Trace()
            .node(200, 0, NodeState::Killed)
            .node(300, 0, NodeState::Ended)
            .told(310, 0, 0, ToldPhase::InService, 0, true)
            .node(320, 0, NodeState::Started)
            .sent(given, 1, kFree);
    };
    for (double given : {200.0, 200.1, 228.7, 300.0}) {
        // The client hears of the end late, once with and once without knowing why; or waits to its deadline.
        EXPECT_EQ(dying(given).add(TryLost{at(485), 1, false}).rules(), kNone_) << given;
        EXPECT_EQ(dying(given).add(TryLost{at(485), 1, true}).rules(), kNone_) << given;
        EXPECT_EQ(dying(given).left(given + 500, 1).rules(), kNone_) << given;
        EXPECT_EQ(dying(given).left(given + 510, 1).rules(), kNone_) << given;
        EXPECT_EQ(dying(given).rules(), kNone_) << given;
        EXPECT_EQ(dying(given)
                      .arrived(given + 20, 7, 1, 3)
                      .ended(given + 30, 7, Ended::Served)
                      .left(given + 500, 1)
                      .rules(),
                  kNone_)
            << given;
    }
    // The next process owes what it is given.
    for (double given : {300.1, 320.0, 330.0}) {
        EXPECT_EQ(dying(given).add(TryLost{at(485), 1, false}).rules(), Rules{Rule::AnswerMissing}) << given;
        EXPECT_EQ(dying(given).left(given + 510, 1).rules(), Rules{Rule::AnswerMissing}) << given;
        EXPECT_EQ(dying(given).rules(), Rules{Rule::AnswerMissing}) << given;
    }
    // Where nobody noted the end, it was over by the next start.
    auto unnoted = [](double given) {
        return Trace()
            .node(200, 0, NodeState::Killed)
            .told(320, 0, 0, ToldPhase::InService, 0, true)
            .node(320, 0, NodeState::Started)
            .sent(given, 1, kFree)
            .add(TryLost{at(485), 1, false})
            .rules();
    };
    EXPECT_EQ(unnoted(320), kNone_);
    EXPECT_EQ(unnoted(320.1), Rules{Rule::AnswerMissing});
    // A process that ends by itself owes all the same.
    EXPECT_EQ(
        Trace().sent(228.7, 1, kFree).node(300, 0, NodeState::Ended).add(TryLost{at(301), 1, false}).rules(),
        Rules{Rule::AnswerMissing});
}

TEST(Rule1, StallsAndPartitionsPutDeadlinesOff) {
    auto stalled = [](double answered) {
        return Trace()
            .sent(100, 1, kFree)
            .node(50, 0, NodeState::Stalled)
            .node(300, 0, NodeState::Resumed)
            .failed(answered, 1)
            .rules();
    };
    EXPECT_EQ(stalled(808), kNone_);
    EXPECT_EQ(stalled(808.1), Rules{Rule::AnswerLate});
    Day day = a_day();
    Fault cut;
    cut.kind = FaultKind::Partition;
    cut.between = "clients";
    cut.and_ = "zone:a";
    day.faults = {cut};
    auto parted = [&](NodeNo node) {
        Trace trace(day);
        trace.add(FaultMark{at(90), 0, true}).add(FaultMark{at(2000), 0, false});
        return trace.sent(100, 1, kFree, node).rules(4000);
    };
    EXPECT_EQ(parted(0), Rules{Rule::AnswerMissing});
    EXPECT_EQ(parted(1), Rules{Rule::AnswerMissing});
    auto healed = [&](NodeNo node, double answered) {
        Trace trace(day);
        trace.add(FaultMark{at(90), 0, true}).add(FaultMark{at(2000), 0, false});
        return trace.sent(100, 1, kFree, node).failed(answered, 1).rules();
    };
    EXPECT_EQ(healed(0, 3508), kNone_);  // 1.9 s cut, and a second for the kernel to send again
    EXPECT_EQ(healed(0, 3508.1), Rules{Rule::AnswerLate});
    EXPECT_EQ(healed(1, 608.1), Rules{Rule::AnswerLate});  // its clients were not cut off
}

TEST(Rule1, RunThatEndsWithRequestsOpen) {
    auto open = Trace().sent(100, 1, kFree).judge(607);
    EXPECT_EQ(open->total(), 0u);
    EXPECT_EQ(open->open_at_end(), 1u);
    EXPECT_EQ(Trace().sent(100, 1, kFree).rules(608), Rules{Rule::AnswerMissing});
}

TEST(Rule1, TryThatIsSentOnceMoreCountsFromThen) {
    auto trace = [](double answered) {
        return Trace().sent(100, 1, kFree).sent(140, 1, kFree, 2).failed(answered, 1).rules();
    };
    EXPECT_EQ(trace(648), kNone_);
    EXPECT_EQ(trace(648.1), Rules{Rule::AnswerLate});
    // ... and on the node that has it then.
    EXPECT_EQ(Trace()
                  .sent(100, 1, kFree)
                  .node(150, 0, NodeState::Ended)
                  .sent(160, 1, kFree, 2)
                  .node(200, 2, NodeState::Killed)
                  .rules(),
              kNone_);
}

TEST(Rule2, CopyConcurrent) {
    auto copies = [](Day day) {
        Trace trace(std::move(day));
        return trace.sent(100, 1, kFree).arrived(105, 7, 1, 3).arrived(150, 8, 1, 1);
    };
    auto rest = [](Trace trace) { return trace.ended(200, 8, Ended::Served).served(210, 1, 8).rules(); };
    EXPECT_EQ(rest(copies(a_day())), Rules{Rule::CopyConcurrent});
    // The close needs up to 3 ms to a server of the other zone.
    EXPECT_EQ(rest(copies(a_day()).abandoned(153, 7)), kNone_);
    EXPECT_EQ(rest(copies(a_day()).abandoned(153.1, 7)), Rules{Rule::CopyConcurrent});
    EXPECT_EQ(rest(copies(a_day()).ended(149, 7, Ended::Reset)), kNone_);
    Day allowed = a_day();
    allowed.limits.second_copies = true;
    EXPECT_EQ(rest(copies(allowed)), kNone_);
    // A server that dies has nothing out any more; on a silent machine it stays out until the node lets go.
    EXPECT_EQ(rest(copies(a_day()).server(140, 3, ServerState::Gone)), kNone_);
    Day silent = a_day();
    Fault fault;
    fault.kind = FaultKind::Silent;
    fault.servers = {3};
    silent.faults = {fault};
    for (bool mark_first : {true, false}) {
        Trace trace = copies(silent);
        if (mark_first)
            trace.add(FaultMark{at(140), 0, true}).server(140, 3, ServerState::Gone);
        else
            trace.server(140, 3, ServerState::Gone).add(FaultMark{at(140), 0, true});
        EXPECT_EQ(rest(trace), Rules{Rule::CopyConcurrent});
    }
}

TEST(Rule2, EffectTwice) {
    auto again = [](Ended how) {
        return Trace()
            .sent(100, 1, kOnce)
            .arrived(105, 7, 1, 0)
            .ended(120, 7, how)
            .arrived(130, 8, 1, 1)
            .ended(150, 8, Ended::Served)
            .served(160, 1, 8)
            .rules();
    };
    EXPECT_EQ(again(Ended::NeverRan), kNone_);
    for (Ended how : {Ended::Error, Ended::Reset, Ended::Dropped, Ended::Spoilt, Ended::Served})
        EXPECT_EQ(again(how), Rules{Rule::EffectTwice});
    // A server that died with it has proved nothing.
    EXPECT_EQ(Trace()
                  .sent(100, 1, kOnce)
                  .arrived(105, 7, 1, 0)
                  .server(110, 0, ServerState::Gone)
                  .arrived(130, 8, 1, 1)
                  .failed(160, 1)
                  .rules(),
              Rules{Rule::EffectTwice});
    // Cancelled, and its server answers anyway: no second one may follow, and the first may not be refused.
    auto cancelled = [] {
        return Trace()
            .sent(100, 1, kOnce)
            .arrived(105, 7, 1, 0)
            .abandoned(120, 7)
            .ended(140, 7, Ended::Served);
    };
    EXPECT_EQ(cancelled().arrived(130, 8, 1, 1).failed(160, 1).rules(), Rules{Rule::EffectTwice});
    EXPECT_EQ(cancelled().failed(160, 1).rules(), kNone_);
    EXPECT_EQ(cancelled().refused(160, 1).rules(), Rules{Rule::RefusedAfterRun});
}

TEST(Rule2, KeyedRepeatsInAndOutOfGroupAndWindow) {
    auto again = [](int cls, ServerNo to, double when, Ended how = Ended::Error, NodeNo node = 0) {
        return Trace()
            .sent(100, 1, cls, node)
            .arrived(105, 7, 1, 0, node)
            .ended(120, 7, how)
            .arrived(when, 8, 1, to, node)
            .ended(when + 5, 8, Ended::Served)
            .served(when + 10, 1, 8)
            .rules();
    };
    EXPECT_EQ(again(kByCell, 1, 130), kNone_);
    EXPECT_EQ(again(kByCell, 2, 130), Rules{Rule::RepeatElsewhere});
    EXPECT_EQ(again(kByCell, 2, 130, Ended::NeverRan), kNone_);
    EXPECT_EQ(again(kByZone, 2, 130), kNone_);
    EXPECT_EQ(again(kByZone, 3, 130), Rules{Rule::RepeatElsewhere});
    EXPECT_EQ(again(kByAll, 3, 130), kNone_);
    EXPECT_EQ(again(kByCell, 1, 406), kNone_);  // window 300 ms, 1 ms of way
    EXPECT_EQ(again(kByCell, 1, 406.1), Rules{Rule::RepeatLate});
    EXPECT_EQ(again(kByCell, 1, 406.1, Ended::NeverRan), kNone_);
    EXPECT_EQ(again(kByAll, 1, 406.1), Rules{Rule::RepeatLate});
    EXPECT_EQ(again(kFree, 3, 500), kNone_);
}

TEST(Rule2, RefusedAfterRun) {
    auto refused = [](int cls, Ended how) {
        return Trace().sent(100, 1, cls).arrived(105, 7, 1, 0).ended(120, 7, how).refused(130, 1).rules();
    };
    EXPECT_EQ(refused(kOnce, Ended::NeverRan), kNone_);
    EXPECT_EQ(refused(kFree, Ended::Error), kNone_);
    EXPECT_EQ(refused(kByAll, Ended::Error), kNone_);
    for (int cls : {kOnce, kByCell, kByZone})
        EXPECT_EQ(refused(cls, Ended::Error), Rules{Rule::RefusedAfterRun});
    // Whoever worded it: a server's 503 without proof, passed on, refuses too.
    EXPECT_EQ(Trace()
                  .sent(100, 1, kOnce)
                  .arrived(105, 7, 1, 0)
                  .ended(120, 7, Ended::Error)
                  .add(TryAnswered{at(130), 1, Heard::Failed, 503, 0, {}})
                  .rules(),
              Rules{Rule::RefusedAfterRun});
    // Let go while it was under way, refused, and then it arrives; noted before or after its arrival.
    auto crossing = [] { return Trace().sent(100, 1, kOnce).refused(130, 1).arrived(131, 7, 1, 0); };
    EXPECT_EQ(crossing().abandoned(120, 7).rules(), Rules{Rule::RefusedAfterRun});
    EXPECT_EQ(crossing().abandoned(131, 7).rules(), Rules{Rule::RefusedAfterRun});
}

TEST(Rule2, ClientThatLeavesWhileItsAttemptIsOut) {
    EXPECT_EQ(Trace()
                  .sent(100, 1, kOnce)
                  .arrived(105, 7, 1, 0)
                  .left(150, 1)
                  .abandoned(152, 7)
                  .ended(160, 7, Ended::Dropped)
                  .sent(200, 2, kOnce)
                  .arrived(205, 8, 2, 1)
                  .ended(220, 8, Ended::Served)
                  .served(230, 2, 8)
                  .rules(),
              kNone_);  // its next try is another request
}

TEST(Rule3, SentDrainingGoneAndUnlisted) {
    auto sent = [](ToldPhase phase, double first_byte) {
        Trace trace;
        trace.told(1000, 0, 1, phase).sent(2900, 1, kFree);
        // A connection may take its time to come up: the first byte counts, not the last.
        trace.add(AttemptArrived{at(first_byte + 50), at(first_byte), 7, 1, 1, 0});
        return trace.ended(3150, 7, Ended::Served).served(3160, 1, 7);
    };
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000).rules(), kNone_);
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1).rules(), Rules{Rule::SentDraining});
    EXPECT_EQ(sent(ToldPhase::Terminating, 3050).rules(30'000, 50), kNone_);
    EXPECT_EQ(sent(ToldPhase::Terminating, 3050.1).rules(30'000, 50), Rules{Rule::SentDraining});
    EXPECT_EQ(sent(ToldPhase::Terminated, 3000.1).rules(), Rules{Rule::SentGone});
    // Told again, or as gone after it drained: the first counts. Told in service since, if only by an old
    // list: reset.
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1).told(2000, 0, 1, ToldPhase::Terminating).rules(),
              Rules{Rule::SentDraining});
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1).told(2000, 0, 1, ToldPhase::Terminated).rules(),
              Rules{Rule::SentGone});
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1).told(2000, 0, 1, ToldPhase::InService).rules(), kNone_);
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1).told(2000, 2, 1, ToldPhase::InService).rules(),
              Rules{Rule::SentDraining});  // another node was
    // Omitted by a whole list: gone from then on.
    EXPECT_EQ(Trace()
                  .told(1000, 0, 0, ToldPhase::InService, 0, true)
                  .told(1000, 0, 2, ToldPhase::InService)
                  .one(2995, 1, kFree, 1)
                  .one(2995, 2, kFree, 2)
                  .rules(),
              kNone_);
    EXPECT_EQ(Trace()
                  .told(1000, 0, 0, ToldPhase::InService, 0, true)
                  .told(1000, 0, 2, ToldPhase::InService)
                  .one(2995.1, 1, kFree, 1)
                  .one(2995.1, 2, kFree, 2)
                  .rules(),
              Rules{Rule::SentGone});
    // A node that stands still cannot read what it is told.
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1)
                  .node(900, 0, NodeState::Stalled)
                  .node(1001, 0, NodeState::Resumed)
                  .rules(),
              kNone_);
    EXPECT_EQ(sent(ToldPhase::Terminating, 3000.1)
                  .node(900, 0, NodeState::Stalled)
                  .node(1000, 0, NodeState::Resumed)
                  .rules(),
              Rules{Rule::SentDraining});
    EXPECT_EQ(Trace().one(100, 1, kFree, kUnlisted).rules(), Rules{Rule::SentUnlisted});
    EXPECT_EQ(Trace().told(90, 0, kUnlisted, ToldPhase::InService).one(100, 1, kFree, kUnlisted).rules(),
              kNone_);
}

TEST(Rule3, NewProcessKnowsOnlyItsOwnLists) {
    auto restarted = [] {
        return Trace()
            .told(90, 0, kUnlisted, ToldPhase::InService)
            .node(200, 0, NodeState::Killed)
            .told(300, 0, 0, ToldPhase::InService, 0, true)
            .node(300, 0, NodeState::Started);
    };
    EXPECT_EQ(restarted().one(400, 1, kFree, 0).rules(), kNone_);
    EXPECT_EQ(restarted().one(400, 1, kFree, kUnlisted).rules(), Rules{Rule::SentUnlisted});
    EXPECT_EQ(Trace()
                  .told(90, 0, kUnlisted, ToldPhase::InService)
                  .node(300, 0, NodeState::Started)
                  .one(400, 1, kFree, kUnlisted)
                  .rules(),
              Rules{Rule::SentUnlisted});  // whose end nobody noted
    // Sent by the process that died, and under way at its death.
    EXPECT_EQ(restarted().sent(190, 1, kFree).arrived(201, 7, 1, kUnlisted).rules(), kNone_);
}

TEST(Rule3, ADyingProcessKnowsWhatItKnew) {
    auto dying = [](double given, double arrives, ServerNo server) {
        return Trace()
            .node(200, 0, NodeState::Killed)
            .node(300, 0, NodeState::Ended)
            .told(310, 0, 0, ToldPhase::InService, 0, true)
            .node(320, 0, NodeState::Started)
            .sent(given, 1, kFree)
            .arrived(arrives, 7, 1, server)
            .ended(arrives + 5, 7, Ended::Served)
            .served(arrives + 6, 1, 7)
            .rules();
    };
    EXPECT_EQ(dying(228.7, 249.3, 1), kNone_);  // at a server that the next process is never told of
    EXPECT_EQ(dying(299, 330, 1), kNone_);      // ... read when that one was there
    EXPECT_EQ(dying(330, 335, 1), Rules{Rule::SentUnlisted});
    EXPECT_EQ(dying(330, 335, 0), kNone_);
}

TEST(Rule3, NodeThatDoesNotAskCountsAsTold) {
    // Drains at 1 s, listed by 3.5 s; the node's last call is answered at 0.2 s.
    auto silent = [](Asked::What what) {
        return Trace().add(Asked{at(200), 0, what}).server(1000, 1, ServerState::Draining);
    };
    EXPECT_EQ(silent(Asked::What::Answered).one(15'495, 1, kFree, 1).rules(), kNone_);
    EXPECT_EQ(silent(Asked::What::Answered).one(15'495.1, 1, kFree, 1).rules(), Rules{Rule::SentDraining});
    EXPECT_EQ(silent(Asked::What::Failed).one(15'496, 1, kFree, 1).rules(), kNone_);  // four times as long
    EXPECT_EQ(silent(Asked::What::Failed).one(45'496, 1, kFree, 1).rules(60'000), Rules{Rule::SentDraining});
    // it watches
    EXPECT_EQ(Trace().server(1000, 1, ServerState::Draining).one(15'496, 1, kFree, 1).rules(), kNone_);
    // Another node was told at 2 s already: the list said so by then.
    EXPECT_EQ(silent(Asked::What::Answered)
                  .told(2000, 2, 1, ToldPhase::Terminating)
                  .one(13'996, 1, kFree, 1)
                  .rules(),
              Rules{Rule::SentDraining});
    EXPECT_EQ(silent(Asked::What::Answered)
                  .add(Asked{at(9000), 0, Asked::What::Called})
                  .add(Asked{at(9001), 0, Asked::What::Answered})
                  .one(15'496, 1, kFree, 1)
                  .rules(),
              kNone_);
    // A call of the process before it, read when that was gone, is none of its own.
    auto restarted = [](double sent) {
        Trace trace;
        trace.node(100, 0, NodeState::Killed)
            .node(101, 0, NodeState::Ended)
            .add(Asked{at(102), 0, Asked::What::Called});
        for (ServerNo s = 0; s < kUnlisted; ++s) trace.told(110, 0, s, ToldPhase::InService, 0, s == 0);
        return trace.node(110, 0, NodeState::Started)
            .add(Asked{at(190), 0, Asked::What::Called})
            .add(Asked{at(200), 0, Asked::What::Answered})
            .server(1000, 1, ServerState::Draining)
            .one(sent, 1, kFree, 1)
            .rules();
    };
    EXPECT_EQ(restarted(15'495), kNone_);
    EXPECT_EQ(restarted(15'495.1), Rules{Rule::SentDraining});
}

TEST(Rule3, ToldThroughACutCountsLater) {
    Day day = a_day();
    Fault cut;
    cut.kind = FaultKind::Partition;
    cut.between = "discovery";
    cut.and_ = "nodes";
    cut.nodes = {0};
    day.faults = {cut};
    auto sent = [&](NodeNo node, double when) {
        Trace trace(day);
        trace.add(FaultMark{at(500), 0, true}).told(1000, node, 1, ToldPhase::Terminating);
        return trace.one(when - 5, 1, kFree, 1, node).rules();
    };
    EXPECT_EQ(sent(0, 9000), kNone_);
    EXPECT_EQ(sent(0, 9000.1), Rules{Rule::SentDraining});
    EXPECT_EQ(sent(2, 3000.1), Rules{Rule::SentDraining});
}

// A day on which one fault holds from 900 ms until `until`.
Trace through(Fault fault, double until) {
    Day day = a_day();
    day.faults = {std::move(fault)};
    Trace trace(day);
    return trace.add(FaultMark{at(900), 0, true}).add(FaultMark{at(until), 0, false});
}
Fault cut_between(const char* a, const char* b, std::vector<int> servers = {}) {
    Fault fault;
    fault.kind = FaultKind::Partition;
    fault.between = a;
    fault.and_ = b;
    fault.servers = std::move(servers);
    return fault;
}

TEST(Cuts, SentBeforeAndArrivedAfter) {
    // Beyond window and grace, both; what was held back comes up to a second after the healing.
    auto sent = [](double healed) {
        Trace trace = through(cut_between("nodes", "servers", {1}), healed);
        trace.told(1000, 0, 1, ToldPhase::Terminating).sent(950, 1, kByCell, 0, 5000);
        trace.arrived(960, 6, 1, 0).ended(970, 6, Ended::Error);
        return trace.arrived(4000, 7, 1, 1).failed(4100, 1).rules();
    };
    EXPECT_EQ(sent(3000), kNone_);
    EXPECT_EQ(sent(1990), (Rules{Rule::SentDraining}));  // it may have been held up in its window
    // By a process that has died since, for a try that is forgotten.
    auto restarted = [](double healed) {
        Trace trace = through(cut_between("nodes", "servers"), healed);
        trace.told(800, 0, kUnlisted, ToldPhase::InService)
            .sent(950, 1, kFree)
            .node(1000, 0, NodeState::Killed);
        trace.told(1100, 0, 0, ToldPhase::InService, 0, true).node(1100, 0, NodeState::Started);
        return trace.arrived(6000, 7, 1, kUnlisted).rules();
    };
    EXPECT_EQ(restarted(5990), kNone_);
    EXPECT_EQ(restarted(4990), Rules{Rule::SentUnlisted});
    // Given up on its way, it arrives while the one that was sent instead is out, and is gone as soon.
    auto crossed = [](double closed) {
        return Trace()
            .sent(100, 1, kFree)
            .arrived(110, 8, 1, 1)
            .arrived(120, 7, 1, 3)
            .abandoned(closed, 7)
            .ended(150, 8, Ended::Served)
            .served(160, 1, 8)
            .rules();
    };
    EXPECT_EQ(crossed(121), kNone_);
    EXPECT_EQ(crossed(121.1), Rules{Rule::CopyConcurrent});
    // What a dying process sent last is out no more when another node's copy comes, whenever the server reads
    // it.
    auto dying = [](double given, double arrives) {
        return Trace()
            .node(200, 0, NodeState::Killed)
            .node(300, 0, NodeState::Ended)
            .told(305, 0, 3, ToldPhase::InService, 0, true)
            .node(305, 0, NodeState::Started)
            .sent(given, 1, kFree)
            .arrived(arrives, 7, 1, 3)
            .sent(arrives + 5, 1, kFree, 2)
            .arrived(arrives + 10, 8, 1, 1, 2)
            .ended(arrives + 50, 8, Ended::Served)
            .served(arrives + 60, 1, 8)
            .rules();
    };
    EXPECT_EQ(dying(150, 190), kNone_);
    EXPECT_EQ(dying(210, 220), kNone_);
    EXPECT_EQ(dying(310, 320), Rules{Rule::CopyConcurrent});
}

TEST(Cuts, AnswersThatCannotPass) {
    auto unheard = [](Fault fault) {
        return through(std::move(fault), 1100)
            .sent(950, 1, kFree)
            .arrived(960, 7, 1, 3)
            .ended(990, 7, Ended::Served)
            .left(1450, 1)
            .rules();
    };
    Fault silent;
    silent.kind = FaultKind::Silent;
    silent.servers = {3};
    EXPECT_EQ(unheard(silent), kNone_);
    EXPECT_EQ(unheard(cut_between("servers", "zone:a", {3})), kNone_);
    EXPECT_EQ(unheard(cut_between("servers", "zone:a", {2})), Rules{Rule::AnswerMissing});
    auto lost = [](const char* zone, const Record& record) {
        return through(cut_between("clients", zone), 1100).sent(950, 1, kFree).add(record).rules();
    };
    for (const Record& record :
         {Record(TryLost{at(1000), 1, false}), Record(NodeChanged{at(1000), 0, NodeState::Ended})}) {
        EXPECT_EQ(lost("zone:a", record), kNone_);
        EXPECT_EQ(lost("zone:b", record), Rules{Rule::AnswerMissing});
    }
}

TEST(Cuts, NodesThatCannotAsk) {
    auto sent = [](Fault fault) {
        Trace trace = through(std::move(fault), 2000);
        trace.add(Asked{at(200), 0, Asked::What::Answered}).server(1000, 1, ServerState::Draining);
        return trace.one(16'000, 1, kFree, 1).rules();
    };
    Fault down;
    down.kind = FaultKind::DiscoveryDown;
    EXPECT_EQ(sent(down), kNone_);  // its calls may have failed: four times as long
    EXPECT_EQ(sent(cut_between("nodes", "discovery")), kNone_);
    EXPECT_EQ(sent(cut_between("nodes", "clients")), Rules{Rule::SentDraining});
    // What is written into a cut teaches nobody of a start.
    auto pushed = [](const char* who) {
        Trace trace = through(cut_between("discovery", who), 8000);
        trace.server(5000, 1, ServerState::Cold).told(5100, 0, 1, ToldPhase::InService, 5000);
        trace.add(WorkArrived{at(6000), 1, 0, Duration{100}});
        return trace.server(6100, 1, ServerState::FellOver, 1500).rules();
    };
    EXPECT_EQ(pushed("nodes"), kNone_);
    EXPECT_EQ(pushed("clients"), Rules{Rule::ColdPushed});
}

TEST(Rule4, ColdPushed) {
    // Two nodes warm one cold server; one was told of its start. Two thirds of the work decide.
    auto fall = [](double by_told, double by_other, double told_start = 5000, double told_at = 5100) {
        Trace trace;
        trace.server(5000, 1, ServerState::Ready).server(5000, 1, ServerState::Cold);
        trace.told(told_at, 0, 1, ToldPhase::InService, told_start);
        trace.add(WorkArrived{at(5999.9), 1, 2, Duration{10'000}});  // before the window
        trace.add(WorkArrived{at(6000), 1, 0, Duration{by_told}})
            .add(WorkArrived{at(7000), 1, 2, Duration{by_other}});
        return trace.server(7500, 1, ServerState::FellOver, 1500).judge();
    };
    auto told = fall(200, 100);
    ASSERT_EQ(told->total(), 1u);
    EXPECT_EQ(told->breaches()[0].rule, Rule::ColdPushed);
    EXPECT_EQ(told->breaches()[0].node, 0);
    EXPECT_EQ(told->breaches()[0].server, 1);
    EXPECT_EQ(fall(199.9, 100)->total(), 0u);
    EXPECT_EQ(fall(200, 100, 4900)->total(), 0u);        // told of an earlier start
    EXPECT_EQ(fall(200, 100, 5000, 6001)->total(), 0u);  // told after it had sent
    EXPECT_EQ(fall(200, 100, 4999)->total(), 1u);        // listed in whole ms
}

TEST(Rule4, NodeThatCountsAsToldOfAStart) {
    auto fall = [](double work_at) {
        Trace trace;
        trace.add(Asked{at(200), 0, Asked::What::Answered}).server(5000, 1, ServerState::Ready);
        trace.server(5000, 1, ServerState::Cold).add(WorkArrived{at(work_at), 1, 0, Duration{100}});
        return trace.server(work_at + 1, 1, ServerState::FellOver, 1500).rules();
    };
    EXPECT_EQ(fall(16'199), kNone_);  // listed 1.2 s after its start, ten seconds without a call
    EXPECT_EQ(fall(16'200), Rules{Rule::ColdPushed});
}

TEST(Rule4, ServerThatRestartsIsColdAnew) {
    Trace trace;
    trace.server(5000, 1, ServerState::Cold).told(5100, 0, 1, ToldPhase::InService, 5000);
    trace.add(WorkArrived{at(6000), 1, 0, Duration{500}}).server(6100, 1, ServerState::Gone);
    trace.server(6500, 1, ServerState::Cold).add(WorkArrived{at(6600), 1, 0, Duration{100}});
    // not told of the second start
    EXPECT_EQ(trace.server(6700, 1, ServerState::FellOver, 1500).rules(), kNone_);
}

TEST(Others, IdInvented) {
    EXPECT_EQ(Trace().arrived(100, 7, 0, 0).rules(), Rules{Rule::IdInvented});
    EXPECT_EQ(Trace().arrived(100, 7, 1234, 0).rules(), Rules{Rule::IdInvented});
    EXPECT_EQ(Trace().one(100, 1, kFree, 0).arrived(20'000, 7, 1, 0).rules(), kNone_);  // old, but a client's
    referee::SeenIds seen;
    for (TryId id = 1; id <= 200'000; ++id) seen.add(id * 7919);
    std::size_t missed = 0, taken = 0;
    for (TryId id = 1; id <= 200'000; ++id) {
        missed += !seen.contains(id * 7919);
        taken += seen.contains(id * 7919 + 1);
    }
    EXPECT_EQ(missed, 0u);
    EXPECT_LT(taken, 2000u);
    EXPECT_LE(seen.bytes(), 200'000u * 10);
}

TEST(Others, BreachesNameWhatProvesThemAndAreBounded) {
    Trace trace;
    trace.sent(100, 1, kOnce)
        .arrived(105, 7, 1, 0)
        .ended(120, 7, Ended::Error)
        .arrived(130, 8, 1, 3)
        .failed(140, 1);
    auto referee = trace.judge();
    ASSERT_EQ(referee->total(), 1u);
    const Breach& breach = referee->breaches()[0];
    EXPECT_EQ(breach.at, at(130));
    EXPECT_EQ(breach.id, 1u);
    EXPECT_EQ(breach.server, 3);
    EXPECT_EQ(breach.proof,
              "attempt 8 arrived 0.1300 s, though attempt 7 may have run; once sent 0.1000 s to node 0; "
              "attempt 7 at server 0 from 0.1050 s, whole 0.1050 s, error 0.1200 s; "
              "attempt 8 at server 3 from 0.1300 s, whole 0.1300 s");
    Trace many;
    for (TryId id = 1; id <= 1500; ++id) many.one(double(id), id, kFree, 0).failed(double(id) + 70, id);
    auto bounded = many.judge();
    EXPECT_EQ(bounded->count(Rule::AnswerTwice), 1500u);
    EXPECT_EQ(bounded->breaches().size(), 1000u);
    for (int r = 0; r < int(Rule::kRules); ++r) EXPECT_STRNE(name_of(Rule(r)), "none");
    EXPECT_EQ(number_of(Rule::ColdPushed), 4);
}

TEST(Others, MemoryIsBoundedByWhatIsOpen) {
    for (int cls : {kFree, kByCell}) {
        Trace trace;
        for (TryId id = 1; id <= 20'000; ++id) trace.one(double(id) * 2, id, cls, 0);
        Referee referee(trace.day, at(0), Duration{0});
        std::size_t most = 0;
        double remembered_s = cls == kFree ? 1.5 : 6.5;  // of an effect 5 s more
        auto when = [](const auto& r) { return r.at; };
        std::stable_sort(trace.records.begin(), trace.records.end(),
                         [&](auto& a, auto& b) { return std::visit(when, a) < std::visit(when, b); });
        for (const Record& record : trace.records) {
            referee.note(record);
            most = std::max(most, referee.held());
        }
        EXPECT_LT(double(most),
                  2 * 500 * remembered_s);  // 500 a second, a try and an attempt each
        referee.finish(at(60'000));
        EXPECT_EQ(referee.held(), 0u);
        EXPECT_EQ(referee.total(), 0u);
    }
}

TEST(Others, ExecutionsOfAKeyAreCountedOverItsTries) {
    Trace trace;
    for (TryId id : {1, 2}) {
        trace.add(
            TrySent{at(100.0 * double(id)), id, 1, 0, kByCell, kNobody, 77, at(100.0 * double(id) + 500)});
        trace.arrived(100.0 * double(id) + 5, id, id, 0).ended(100.0 * double(id) + 20, id, Ended::Served);
        trace.served(100.0 * double(id) + 30, id, id);
    }
    auto referee = trace.judge();
    EXPECT_EQ(referee->executions_of(77), 2u);
    EXPECT_EQ(referee->executions_of(78), 0u);
    EXPECT_EQ(referee->total(), 0u);
}

// ---- random traces of a small model that keeps all rules; then one event of each is changed

struct Known {  // a try of a random trace, as its changes need it
    TryId id = 0;
    int cls = 0;
    NodeNo node = 0;
    double sent = 0, answered = 0;
    AttemptNo last = 0;
    ServerNo server = 0;
    double arrived = 0, over = 0, window_from = 0;
    bool may_have_run = false, served = false, refused = false;
};

class Model {
public:
    explicit Model(unsigned seed) : random_(seed) {
        // Server 4 drains early; the nodes hear of it at different times.
        for (NodeNo n = 0; n < 3; ++n) trace.told(500 + 100 * n, n, 4, ToldPhase::Terminating);
        for (TryId id = 1; id <= 60; ++id) play(id);
    }
    double draw(double least, double most) {
        return least + (most - least) * double(random_() >> 11) * 0x1p-53;
    }
    bool chance(double p) { return draw(0, 1) < p; }

    Trace trace;
    std::vector<Known> tries;

private:
    void play(TryId id) {
        Known k;
        k.id = id;
        k.cls = int(draw(0, 5));
        k.node = NodeNo(draw(0, 3));
        k.sent = draw(10, 5000);
        trace.sent(k.sent, id, k.cls, k.node, 2000);
        double now = k.sent + draw(2, 10), window_from = 0;
        ServerNo group = kNobody;
        for (int i = 0; i < 3; ++i) {
            const double drained = 2500 + 100 * k.node;  // the grace included
            auto server = ServerNo(draw(0, now > drained ? 4 : 5));
            if (group != kNobody && (k.cls == kByCell || k.cls == kByZone)) {
                if (now > window_from + 300) break;
                server = group == 0 || group == 1 ? ServerNo(draw(0, 2)) : group;
            }
            if (server == 4 && now > drained) break;
            if (group != kNobody && (k.cls == kOnce || (k.cls == kByAll && now > window_from + 300))) break;
            k.last = id * 10 + AttemptNo(i);
            k.server = server;
            k.arrived = now;
            k.over = now + draw(20, 100);
            trace.arrived(now, k.last, id, server, k.node);
            auto how = std::array{Ended::Served,   Ended::Served, Ended::Error,
                                  Ended::NeverRan, Ended::Reset,  Ended::Dropped}[std::size_t(draw(0, 6))];
            if (how == Ended::Dropped) trace.abandoned(k.over, k.last);
            trace.ended(k.over, k.last, how);
            if (how != Ended::NeverRan) {
                if (group == kNobody) {
                    group = server;
                    k.window_from = window_from = now;
                }
                k.may_have_run = true;
            }
            now = k.over + draw(5, 50);
            if ((k.served = how == Ended::Served)) break;
        }
        k.answered = now;
        const bool may_refuse = !k.may_have_run || k.cls == kFree || k.cls == kByAll;
        if (k.served)
            trace.served(now, id, k.last);
        else if ((k.refused = may_refuse && chance(0.5)))
            trace.refused(now, id);
        else if (chance(0.3))
            trace.left(k.answered = k.sent + (chance(0.5) ? 2000 : draw(200, 1900)), id);
        else
            trace.failed(now, id);
        tries.push_back(k);
    }
    std::mt19937_64 random_;
};

template <class R>
R* find(Trace& trace, TryId id) {
    for (Record& record : trace.records)
        if (auto* r = std::get_if<R>(&record); r && r->id == id) return r;
    return nullptr;
}

// Changes one thing so that `rule` is broken. False: this trace offers no place for it.
bool spoil(Model& m, Rule rule, double where) {
    std::vector<Known> fit;
    std::copy_if(m.tries.begin(), m.tries.end(), std::back_inserter(fit), [&](const Known& k) {
        const auto* answer = find<TryAnswered>(m.trace, k.id);
        switch (rule) {
            case Rule::AnswerMissing:
            case Rule::AnswerTwice:
                return answer != nullptr;
            case Rule::AnswerLate:
            case Rule::AnswerInvented:
                return k.served;
            case Rule::CopyConcurrent:
                return k.served && k.cls == kFree;
            case Rule::EffectTwice:
                return k.cls == kOnce && k.may_have_run;
            case Rule::RepeatElsewhere:
                return k.cls == kByCell && k.may_have_run && k.over < k.window_from + 290;
            case Rule::RepeatLate:
                return k.cls == kByCell && k.may_have_run && k.served;
            case Rule::RefusedAfterRun:
                return answer && k.may_have_run && (k.cls == kOnce || k.cls == kByCell || k.cls == kByZone);
            default:
                return k.served && k.cls == kFree && k.sent > 2800;
        }
    });
    if (fit.empty()) return false;
    const Known k = fit[std::size_t(where * double(fit.size()))];
    Trace& t = m.trace;
    auto* answer = find<TryAnswered>(t, k.id);
    const double again = k.over + 5;
    const ServerNo same = k.server == 4 ? 3 : k.server;  // the one of its cell that does not drain
    switch (rule) {
        case Rule::AnswerMissing:
            std::erase_if(t.records, [&](const Record& r) {
                auto* a = std::get_if<TryAnswered>(&r);
                return a && a->id == k.id;
            });
            if (k.served && where < 0.5)
                t.left(k.sent + 2000, k.id);
            else
                t.add(TryLost{at(k.answered), k.id, false});
            break;
        case Rule::AnswerTwice:
            t.failed(k.answered + 1, k.id);
            break;
        case Rule::AnswerLate:
            answer->at = at(k.sent + 2008.1);
            break;
        case Rule::AnswerInvented:
            answer->answer = where < 0.5 ? 0 : k.id % 60 * 10 + 10;
            break;
        case Rule::CopyConcurrent:
            t.arrived(k.arrived + 1, 9999, k.id, (k.server + 1) % 4, k.node)
                .ended(k.over + 1, 9999, Ended::Dropped);
            break;
        case Rule::EffectTwice:
            t.arrived(again, 9999, k.id, same, k.node);
            break;
        case Rule::RepeatElsewhere:
            t.arrived(again, 9999, k.id, k.server == 2 ? 3 : 2, k.node);
            break;
        case Rule::RepeatLate:
            t.arrived(k.arrived + 500, 9999, k.id, same, k.node);
            break;
        case Rule::RefusedAfterRun:
            answer->heard = Heard::Refused;
            answer->status = 503;
            break;
        case Rule::SentDraining:
            t.arrived(again, 9999, k.id, 4, k.node);
            break;
        case Rule::SentGone:
            t.told(2000, k.node, 4, ToldPhase::Terminated);
            t.arrived(again, 9999, k.id, 4, k.node);
            break;
        case Rule::SentUnlisted:
            t.arrived(again, 9999, k.id, kUnlisted, k.node);
            break;
        case Rule::ColdPushed:
            t.server(6000, 0, ServerState::Cold).told(6100, k.node, 0, ToldPhase::InService, 6000);
            t.add(WorkArrived{at(6200), 0, k.node, Duration{100}})
                .server(6300, 0, ServerState::FellOver, 1500);
            break;
        case Rule::IdInvented:
            t.arrived(again, 9999, 0xdead, 0, k.node);
            break;
        case Rule::kRules:
            return false;
    }
    return true;
}

TEST(Property, LegalTracesPassAndOneChangedEventIsNamed) {
    std::array<int, std::size_t(Rule::kRules)> tried{};
    for (unsigned seed = 1; seed <= 150; ++seed) {
        Model legal(seed);
        auto referee = legal.trace.judge();
        ASSERT_EQ(referee->total(), 0u) << "seed " << seed << ": " << name_of(referee->breaches()[0].rule)
                                        << " " << referee->breaches()[0].proof;
        for (int r = 0; r < int(Rule::kRules); ++r) {
            Model spoilt(seed);
            if (!spoil(spoilt, Rule(r), spoilt.draw(0, 1))) continue;
            ++tried[std::size_t(r)];
            auto found = spoilt.trace.judge();
            ASSERT_EQ(found->total(), 1u) << "seed " << seed << " " << name_of(Rule(r)) << ": "
                                          << (found->total() ? found->breaches()[0].proof : "");
            ASSERT_EQ(found->breaches()[0].rule, Rule(r))
                << "seed " << seed << ": " << found->breaches()[0].proof;
        }
    }
    for (int r = 0; r < int(Rule::kRules); ++r) EXPECT_GT(tried[std::size_t(r)], 100) << name_of(Rule(r));
}

}  // namespace
}  // namespace ochrehub::lab
