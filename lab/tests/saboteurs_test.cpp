// The referee must be right: each saboteur breaks one promise inside an otherwise sound node and is named by
// the rule it breaks, and the node as it ships breaks none on the same days.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "lab/sim/simulate.h"

namespace ochrehub::lab {
namespace {

// Classes: 0 free, 1 single-shot, 2 keyed within a cell. Two cells of three servers in one zone.
const char* const kFleet = R"(
summary = "small"
[day]
length_s = 9
counted_from_s = 0.5
[load]
rate = 60
zone_skew = 0
[fleet]
servers = 6
zone_skew = 0
cell_size = [3, 3]
cancel_running = false
drops_overdue = false
[[kind]]
name = "box"
speed = 1
speed_cv = 0
cold_from = 0.3
cold_s = 8
error_rate = 0
[[zone]]
name = "here"
[[class]]
name = "look"
share = 2
work_ms = 10
wait_ms = 20
effect = "free"
aim_ms = 150
give_up_ms = 600
[[class]]
name = "buy"
work_ms = 10
wait_ms = 20
effect = "single_shot"
aim_ms = 300
give_up_ms = 900
[[class]]
name = "change"
work_ms = 10
wait_ms = 20
effect = "guarded"
scope = "cell"
window_ms = 2000
aim_ms = 300
give_up_ms = 900
[[tenant]]
name = "acme"
[nodes]
count = 2
[clients]
impatient = 0
[discovery]
notice_s = 0.3
silent_notice_s = 0.8
add_s = 1
[limits]
cold_s = 8
cold_from = 0.3
)";

const char* const kCalm = "";
const char* const kHang = "[[fault]]\nkind = \"hang\"\nat_s = 2\nfor_s = 3\nservers = [0]\n";
const char* const kErrors =
    "[[fault]]\nkind = \"fast_errors\"\nat_s = 2\nfor_s = 4\nservers = [0, 1]\nsize = 0.7\n";
const char* const kCellErrors =
    "[[fault]]\nkind = \"fast_errors\"\nat_s = 2\nfor_s = 5\npart = 1\nsize = 0.9\n";
const char* const kDrain = "[[fault]]\nkind = \"drain\"\nat_s = 2\nfor_s = 6\nservers = [0]\n";
const char* const kSilent = "[[fault]]\nkind = \"silent\"\nat_s = 1\nfor_s = 4\nservers = [0]\n";
const char* const kCrash = "[[fault]]\nkind = \"crash\"\nat_s = 1\nfor_s = 1.5\nservers = [0]\n";
const char* const kRelease =
    "[[fault]]\nkind = \"replace\"\nreuse_addresses = 0\nat_s = 2\nfor_s = 2\nevery_s = 1\ncount = 1\n";

constexpr ServerNo kFirst = 6;  // servers at the start

bool may_have_run(Outcome outcome) {
    return outcome != Outcome::ConnectFailed && outcome != Outcome::Rejected && outcome != Outcome::NotSent;
}

class Saboteur : public Meddler {
public:
    using Hands = Meddler::Hands;
    std::function<void(Saboteur&, const Hands&, const SimMessage&, ServerNo)> on_started;
    std::function<void(Saboteur&, const Hands&, const SimMessage&, ServerNo, Outcome)> on_ended;
    std::function<bool(Saboteur&, const Hands&, ClientConnection, const SimMessage&, SimReply&)> on_replying;

    void started(const Hands& hands, const SimMessage& message, ServerNo server) override {
        if (on_started) on_started(*this, hands, message, server);
    }
    void ended(const Hands& hands, const SimMessage& message, ServerNo server, Outcome outcome) override {
        if (on_ended) on_ended(*this, hands, message, server, outcome);
    }
    bool replying(const Hands& hands, ClientConnection connection, const SimMessage& message,
                  SimReply& reply) override {
        return !on_replying || on_replying(*this, hands, connection, message, reply);
    }
    void told(const Hands& hands, ServerNo server, ToldPhase phase) override {
        if (phases_.contains(server) && phases_[server] == phase) return;
        phases_[server] = phase;
        told_at_[server] = hands.scheduler->now();
    }
    /// For so many ms a server has been told in this phase; negative: it is not.
    double since(const Hands& hands, ServerNo server, ToldPhase phase) const {
        auto it = phases_.find(server);
        if (it == phases_.end() || it->second != phase) return -1;
        return (hands.scheduler->now() - told_at_.at(server)).count();
    }
    bool knows(ServerNo server) const { return phases_.contains(server); }
    bool every(int n) { return ++turn_ % n == 0; }

    AttemptNo last_answer = 0;
    ConnectionNo kept = 0;

private:
    std::map<ServerNo, ToldPhase> phases_;
    std::map<ServerNo, TimePoint> told_at_;
    int turn_ = 0;
};
using Hands = Saboteur::Hands;

struct Case {
    const char* name;
    const char* faults;
    Rule rule;
    std::vector<Rule> beside;  ///< what the same deed also breaks
    std::function<void(Saboteur&)> plan;
};

/// Sends a copy of what a server has answered, so that no other attempt of it is out.
auto copies_of_served(std::function<ServerNo(Saboteur&, const Hands&)> where) {
    return [where](Saboteur& s) {
        s.on_ended = [where](Saboteur& me, const Hands& hands, const SimMessage& m, ServerNo,
                             Outcome outcome) {
            if (m.cls != 0 || outcome != Outcome::Ok) return;
            if (ServerNo to = where(me, hands); to != kNobody)
                hands.send(to, std::make_shared<SimMessage>(m));
        };
    };
}

auto resends(int cls, Outcome after, int step, Duration wait) {
    return [=](Saboteur& s) {
        s.on_ended = [=](Saboteur&, const Hands& hands, const SimMessage& m, ServerNo to, Outcome outcome) {
            bool it = m.cls == cls && (outcome == after || (cls == 1 && outcome != Outcome::Ok));
            if (!it || !may_have_run(outcome) || to == kNobody) return;
            hands.scheduler->call_at(hands.scheduler->now() + wait,
                                     [h = &hands, again = std::make_shared<SimMessage>(m),
                                      there = (to + step) % kFirst] { h->send(there, again); });
        };
    };
}

auto replies(
    std::function<bool(Saboteur&, const Hands&, ClientConnection, const SimMessage&, SimReply&)> how) {
    return [how](Saboteur& s) { s.on_replying = how; };
}

const std::vector<Case>& cases() {
    static const std::vector<Case> all{
        {"SecondCopyWhileOneIsOut",
         kCalm,
         Rule::CopyConcurrent,
         {},
         [](Saboteur& s) {
             s.on_started = [](Saboteur& me, const Hands& hands, const SimMessage& m, ServerNo to) {
                 if (m.cls == 0 && me.every(10))
                     hands.send((to + 1) % kFirst, std::make_shared<SimMessage>(m));
             };
         }},
        {"OrderResentAfterATimeOut",
         kHang,
         Rule::EffectTwice,
         {},
         resends(1, Outcome::Timeout, 1, Duration{0.5})},
        {"KeyedRepeatToAnotherRack",
         kErrors,
         Rule::RepeatElsewhere,
         {Rule::CopyConcurrent},
         resends(2, Outcome::Error, 3, Duration{0.5})},
        {"KeyedRepeatAfterItsWindow",
         kErrors,
         Rule::RepeatLate,
         {},
         resends(2, Outcome::Error, 0, Duration{2200})},
        {"AnswerDropped",
         kCalm,
         Rule::AnswerMissing,
         {},
         replies([](Saboteur& me, const Hands&, ClientConnection, const SimMessage&, SimReply&) {
             return !me.every(20);
         })},
        {"AnswerGivenTwice",
         kCalm,
         Rule::AnswerTwice,
         {},
         replies(
             [](Saboteur& me, const Hands& hands, ClientConnection c, const SimMessage& m, SimReply& reply) {
                 if (me.every(20)) hands.reply(c, m.id, reply);
                 return true;
             })},
        {"AnswerLate",
         kCalm,
         Rule::AnswerLate,
         {},
         replies([](Saboteur& me, const Hands& hands, ClientConnection c, const SimMessage& m,
                    SimReply& reply) {
             if (!me.every(20)) return true;
             hands.scheduler->call_at(m.give_up_at + Duration{15},
                                      [h = &hands, c, id = m.id, late = std::make_shared<SimReply>(reply)] {
                                          h->reply(c, id, *late);
                                      });
             return false;
         })},
        {"AnswerOfAnotherRequest",
         kCalm,
         Rule::AnswerInvented,
         {},
         replies([](Saboteur& me, const Hands&, ClientConnection, const SimMessage&, SimReply& reply) {
             AttemptNo own = reply.answer;
             if (reply.heard == Heard::Served && me.last_answer != 0 && me.every(20))
                 reply.answer = me.last_answer;
             me.last_answer = own;
             return true;
         })},
        {"AnswerInvented",
         kCalm,
         Rule::AnswerInvented,
         {},
         replies([](Saboteur& me, const Hands&, ClientConnection, const SimMessage&, SimReply& reply) {
             if (me.every(20)) reply.heard = Heard::Served, reply.status = 200, reply.answer = 0;
             return true;
         })},
        {"ServedThoughNoServerDid",
         kErrors,
         Rule::AnswerInvented,
         {},
         replies([](Saboteur&, const Hands&, ClientConnection, const SimMessage&, SimReply& reply) {
             if (reply.heard == Heard::Failed)
                 reply.heard = Heard::Served, reply.status = 200, reply.answer = 1;
             return true;
         })},
        {"SentAfterADrain",
         kDrain,
         Rule::SentDraining,
         {},
         [](Saboteur& s) {  // on a connection from before: one that drains takes no new ones
             s.on_ended = [](Saboteur& me, const Hands& hands, const SimMessage& m, ServerNo,
                             Outcome outcome) {
                 if (me.kept == 0) me.kept = hands.open(0);
                 if (m.cls != 0 || outcome != Outcome::Ok) return;
                 if (me.since(hands, 0, ToldPhase::Terminating) > 2100)
                     hands.send_on(me.kept, std::make_shared<SimMessage>(m));
             };
         }},
        {"SentToAServerGone",
         kSilent,
         Rule::SentGone,
         {},
         copies_of_served([](Saboteur& me, const Hands& hands) {
             return me.since(hands, 0, ToldPhase::Terminated) > 2100 ? 0 : kNobody;
         })},
        {"SentToAServerNeverListed",
         kRelease,
         Rule::SentUnlisted,
         {},
         copies_of_served([](Saboteur& me, const Hands&) { return me.knows(kFirst) ? kNobody : kFirst; })},
        {"ColdServerPushedOver",
         kCrash,
         Rule::ColdPushed,
         {},
         [](Saboteur& s) {
             s.on_ended = [](Saboteur& me, const Hands& hands, const SimMessage& m, ServerNo,
                             Outcome outcome) {
                 // Told again as in service, after it had been told as gone.
                 if (m.cls != 0 || outcome != Outcome::Ok ||
                     hands.scheduler->now() < World::kStart + Duration{3000})
                     return;
                 if (me.since(hands, 0, ToldPhase::InService) < 0) return;
                 for (int i = 0; i < 60; ++i) hands.send(0, std::make_shared<SimMessage>(m));
             };
         }},
        {"RefusedAfterItMayHaveRun",
         kErrors,
         Rule::RefusedAfterRun,
         {},
         replies([](Saboteur&, const Hands&, ClientConnection, const SimMessage& m, SimReply& reply) {
             if (m.cls == 1 && reply.heard == Heard::Failed) reply.heard = Heard::Refused, reply.status = 503;
             return true;
         })},
        {"KeyedRefusedAfterItMayHaveRun",
         kCellErrors,
         Rule::RefusedAfterRun,
         {},
         replies([](Saboteur&, const Hands&, ClientConnection, const SimMessage& m, SimReply& reply) {
             if (m.cls == 2 && reply.heard == Heard::Failed) reply.heard = Heard::Refused, reply.status = 503;
             return true;
         })},
        {"IdThatNoClientSent",
         kCalm,
         Rule::IdInvented,
         {},
         [](Saboteur& s) {
             s.on_ended = [](Saboteur& me, const Hands& hands, const SimMessage& m, ServerNo to,
                             Outcome outcome) {
                 if (outcome != Outcome::Ok || !me.every(20)) return;
                 auto made = std::make_shared<SimMessage>(m);
                 made->id = ~m.id;
                 hands.send(to, made);
             };
         }},
    };
    return all;
}

std::map<Rule, std::size_t> rules_of(const Result& result) {
    std::map<Rule, std::size_t> found;
    for (const BreachResult& breach : result.breaches)
        for (int r = 0; r < int(Rule::kRules); ++r)
            if (breach.rule == name_of(Rule(r))) ++found[Rule(r)];
    return found;
}

class Sabotage : public ::testing::TestWithParam<std::size_t> {};

TEST_P(Sabotage, IsNamedByItsRule) {
    const Case& it = cases()[GetParam()];
    Scenario scenario = Scenario::parse(std::string(kFleet) + it.faults, it.name);
    std::size_t named = 0;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Day day = scenario.draw(seed);
        Result sound = simulate(day).result;
        for (const BreachResult& breach : sound.breaches)
            ADD_FAILURE() << "the node as it ships: " << breach.rule << ": " << breach.proof;
        EXPECT_GT(sound.served, 200u);

        WorldOptions options;
        options.meddler = [&](NodeNo) {
            auto saboteur = std::make_unique<Saboteur>();
            it.plan(*saboteur);
            return saboteur;
        };
        std::map<Rule, std::size_t> found = rules_of(simulate(day, options).result);
        named += found[it.rule];
        found.erase(it.rule);
        for (Rule allowed : it.beside) found.erase(allowed);
        for (const auto& [rule, count] : found)
            ADD_FAILURE() << it.name << " taken for " << name_of(rule) << " " << count << " times, seed "
                          << seed;
    }
    EXPECT_GT(named, 0u) << it.name << " was not named " << name_of(it.rule);
}

INSTANTIATE_TEST_SUITE_P(Each, Sabotage, ::testing::Range(std::size_t{0}, cases().size()),
                         [](const auto& it) { return std::string(cases()[it.param].name); });

}  // namespace
}  // namespace ochrehub::lab
