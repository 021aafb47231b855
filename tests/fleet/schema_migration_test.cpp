// The parts of schema migrations one by one: the coordinators' state machine, a shard holder, an owner. Tests
// of them together are in lab/tests/schema_migration_test.cpp.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

#include "fleet/schema_migration/migration_state_machine.h"
#include "fleet/schema_migration/owner.h"
#include "fleet/schema_migration/receiver.h"
#include "lab/schema_migration/nodes.h"

namespace ochrehub::schema_migration {
namespace {

using schema::Kind;
namespace judge = lab::migration;

std::set<std::string>& caused() {
    static std::set<std::string> codes;
    return codes;
}
template <class M>
std::string error(const M& message) {
    if (!message.error()) return {};
    std::string code(row(from_wire(message.error())).code);
    caused().insert(code);
    return code.substr(code.find('.') + 1);
}

// The state machine

struct Fleet {
    MigrationStateMachine machine =
        MigrationStateMachine(MigrationStateMachine::WrittenVersions{3, 2, 2, 1, 1});

    wire::Answer say(coordinator::SessionId session, const wire::Command& command) {
        wire::Answer answer;
        std::string body = command.SerializeAsString();
        EXPECT_TRUE(answer.ParseFromString(machine.apply({session, body})));
        return answer;
    }
    wire::Answer says(coordinator::SessionId session, schema::Version least, schema::Version most) {
        wire::Command command;
        for (std::size_t i = 0; i < schema::kKindCount; ++i) {
            auto& range = *command.mutable_says()->add_ranges();
            range.set_least(i ? 1 : least), range.set_most(i ? 9 : most);
        }
        return say(session, command);
    }
    wire::Answer join(coordinator::SessionId session, schema::Version least, schema::Version most) {
        machine.session_opened(session, "node " + std::to_string(session), "z");
        return says(session, least, most);
    }
    wire::Answer start(schema::Version to, std::uint64_t refusals = 5, bool narrows = false) {
        wire::Command command;
        auto& start = *command.mutable_start();
        start.set_to(to), start.set_shards(2), start.set_refusals(refusals), start.set_narrows(narrows);
        return say(0, command);
    }
    wire::Answer want(coordinator::SessionId session) {
        wire::Command command;
        command.mutable_want();
        return say(session, command);
    }
    wire::Answer steer(wire::Steer way) {
        wire::Command command;
        command.set_steer(way);
        return say(0, command);
    }
    wire::Command did(std::uint32_t shard, const wire::Counts& counts = {}) {
        wire::Command command;
        auto& did = *command.mutable_did();
        const wire::Status& now = machine.migration();
        did.set_migration(now.id()), did.set_epoch(now.epoch()), did.set_revision(now.revision()),
            did.set_shard(shard);
        *did.mutable_counts() = counts;
        return command;
    }
    std::string pass(coordinator::SessionId owner) {  // one stage
        std::string first = error(say(owner, did(0)));
        return first.empty() ? error(say(owner, did(1))) : first;
    }
    wire::News news(coordinator::SessionId session) {
        wire::News news;
        EXPECT_TRUE(news.ParseFromString(machine.session_update(session)));
        return news;
    }
};

TEST(MigrationStateMachine, RunsItsStagesAndSwitchesTheWrittenVersion) {
    Fleet fleet;
    EXPECT_EQ(error(fleet.join(1, 3, 4)), "");
    EXPECT_EQ(error(fleet.join(2, 3, 4)), "");
    EXPECT_EQ(error(fleet.start(4)), "");
    EXPECT_TRUE(fleet.news(1).asked());
    EXPECT_EQ(error(fleet.want(1)), "");
    EXPECT_EQ(error(fleet.want(1)), "");
    EXPECT_EQ(error(fleet.want(2)), "owned");
    for (Stage stage : {Stage::Widen, Stage::Convert, Stage::Compare}) {
        EXPECT_EQ(fleet.machine.stage(), stage);
        EXPECT_EQ(fleet.machine.written_versions()[0], 3u);
        EXPECT_EQ(fleet.pass(1), "");
    }
    EXPECT_EQ(fleet.machine.stage(), Stage::Switch);
    EXPECT_EQ(fleet.news(2).levels(0), 4u);
    EXPECT_EQ(fleet.pass(1), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Hold);
    EXPECT_EQ(error(fleet.steer(wire::NARROW)), "");
    EXPECT_EQ(error(fleet.steer(wire::BACK)), "too-late");
    EXPECT_EQ(fleet.pass(1), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Done);
    EXPECT_EQ(error(fleet.steer(wire::BACK)), "nothing");
    EXPECT_EQ(error(fleet.start(3)), "");  // migrating down is a new migration
}

TEST(MigrationStateMachine, RefusesProcessesThatCannotReadTheWrittenVersion) {
    Fleet fleet;
    EXPECT_EQ(error(fleet.join(1, 3, 4)), "");
    EXPECT_EQ(error(fleet.join(2, 1, 2)), "old-release");
    EXPECT_EQ(error(fleet.join(3, 4, 5)),
              "new-release");  // two releases ahead of a fleet that still writes 3
    EXPECT_EQ(fleet.news(2).about(), "node 2: sessions: reads 1 to 2, the fleet writes 3");
    EXPECT_EQ(error(fleet.start(4)), "");  // refused processes don't block the start
    EXPECT_EQ(error(fleet.want(2)), "old-release");
    fleet.want(1);
    for (int i = 0; i < 3; ++i) fleet.pass(1);
    EXPECT_EQ(error(fleet.join(4, 2, 3)), "old-release");
    EXPECT_EQ(error(fleet.join(5, 4, 5)),
              "new-release");  // going back is still possible, and it doesn't read 3
    EXPECT_EQ(error(fleet.join(6, 3, 4)), "");
    EXPECT_EQ(error(fleet.steer(wire::BACK)), "");
    EXPECT_EQ(fleet.news(4).refused(), 0u);  // the fleet writes a version that they read again
    EXPECT_EQ(error(fleet.says(4, 2, 3)), "");
    fleet.pass(1), fleet.pass(1);
    EXPECT_EQ(fleet.machine.stage(), Stage::Undone);
    EXPECT_EQ(fleet.machine.written_versions()[0], 3u);
}

TEST(MigrationStateMachine, OldProcessPausesItBeforeTheSwitch) {
    Fleet fleet;
    fleet.join(1, 3, 4), fleet.join(2, 2, 3);
    EXPECT_EQ(error(fleet.start(4)), "old-process");
    fleet.machine.session_ended(2);
    fleet.machine.session_opened(3, "silent", "z");
    EXPECT_EQ(error(fleet.start(4)), "silent");
    EXPECT_EQ(error(fleet.says(3, 3, 4)), "");
    EXPECT_EQ(error(fleet.start(4)), "");
    EXPECT_EQ(error(fleet.start(4)), "running");
    fleet.want(1);
    fleet.pass(1);
    EXPECT_EQ(error(fleet.join(4, 2, 3)), "");  // it can serve with the current version
    EXPECT_TRUE(fleet.machine.migration().paused());
    EXPECT_EQ(from_wire(fleet.machine.migration().stopped()), Error::OldProcess);
    fleet.pass(1);
    EXPECT_EQ(fleet.machine.stage(), Stage::Convert);
    EXPECT_EQ(error(fleet.steer(wire::GO_ON)), "old-process");
    fleet.machine.session_ended(4);
    EXPECT_EQ(error(fleet.steer(wire::GO_ON)), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Convert);
    fleet.pass(1);
    // The switch waits for a process that hasn't reported its ranges.
    fleet.machine.session_opened(5, "silent", "z");
    fleet.pass(1);
    EXPECT_EQ(fleet.machine.stage(), Stage::Compare);
    EXPECT_EQ(error(fleet.want(5)), "silent");
    fleet.machine.session_ended(5);
    EXPECT_EQ(fleet.machine.stage(), Stage::Switch);
}

TEST(MigrationStateMachine, PausesWithAnError) {
    Fleet fleet;
    fleet.join(1, 3, 4);
    fleet.start(4), fleet.want(1), fleet.pass(1), fleet.pass(1);
    wire::Counts counts;
    counts.set_digest_from(1), counts.set_digest_to(2), counts.set_differ(1), counts.set_differs("c7");
    EXPECT_EQ(error(fleet.say(1, fleet.did(0, counts))), "");
    EXPECT_EQ(from_wire(fleet.machine.migration().stopped()), Error::Differs);
    EXPECT_EQ(fleet.machine.migration().about(), "shard 0, group c7");
    caused().insert(std::string(row(Error::Differs).code));
    EXPECT_EQ(error(fleet.steer(wire::GO_ON)), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Convert);  // groups are converted again
    counts.Clear(), counts.set_refusals(6);
    fleet.say(1, fleet.did(0, counts));
    EXPECT_EQ(from_wire(fleet.machine.migration().stopped()), Error::Refusals);
    caused().insert(std::string(row(Error::Refusals).code));
    wire::Command late = fleet.did(1);
    fleet.steer(wire::GO_ON);
    EXPECT_FALSE(fleet.machine.migration().paused());
    EXPECT_EQ(error(fleet.say(1, late)), "stale");  // the stage has restarted
    wire::Command trouble;
    trouble.mutable_trouble()->set_error(on_wire(Error::Full));
    EXPECT_EQ(error(fleet.say(1, trouble)), "stale");
    auto& t = *trouble.mutable_trouble();
    const wire::Status& now = fleet.machine.migration();
    t.set_migration(now.id()), t.set_epoch(now.epoch()), t.set_revision(now.revision()), t.set_about("c9");
    EXPECT_EQ(error(fleet.say(1, trouble)), "");
    EXPECT_EQ(from_wire(now.stopped()), Error::Full);
    EXPECT_EQ(now.about(), "shard 0, c9");
    EXPECT_EQ(error(fleet.steer(wire::BACK)), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Unwiden);
    EXPECT_FALSE(now.paused());
    // A lower spent amount, even with equal digests.
    Fleet other;
    other.join(1, 3, 4), other.start(4), other.want(1), other.pass(1), other.pass(1);
    counts.Clear(), counts.set_spent_from(5), counts.set_spent_to(4);
    other.say(1, other.did(0, counts));
    EXPECT_EQ(from_wire(other.machine.migration().stopped()), Error::Differs);
}

TEST(MigrationStateMachine, IgnoresOlderOwnersAndStaysPaused) {
    Fleet fleet;
    fleet.join(1, 3, 4), fleet.join(2, 3, 4);
    fleet.start(4), fleet.want(1);
    wire::Command late = fleet.did(0);
    fleet.machine.session_ended(1);
    EXPECT_TRUE(fleet.news(2).asked());
    EXPECT_EQ(error(fleet.want(2)), "");
    EXPECT_EQ(fleet.machine.migration().epoch(), 2u);
    EXPECT_EQ(error(fleet.say(1, late)), "stale");
    EXPECT_EQ(error(fleet.say(2, late)), "stale");
    EXPECT_EQ(error(fleet.steer(wire::PAUSE)), "");
    EXPECT_EQ(fleet.pass(2), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Widen);
    EXPECT_EQ(error(fleet.steer(wire::GO_ON)), "");
    EXPECT_EQ(fleet.machine.stage(), Stage::Convert);
    EXPECT_EQ(error(fleet.steer(wire::NARROW)), "not-yet");
    EXPECT_EQ(error(fleet.say(2, late)), "stale");  // of the previous stage
}

TEST(MigrationStateMachine, MalformedCommandsChangeNothing) {
    Fleet fleet;
    fleet.join(1, 3, 4);
    std::string before = fleet.machine.snapshot();
    wire::Answer answer;
    answer.ParseFromString(fleet.machine.apply({1, "\xff\xff"}));
    EXPECT_EQ(error(answer), "malformed");
    EXPECT_EQ(error(fleet.say(1, wire::Command())), "malformed");
    EXPECT_EQ(error(fleet.start(3)), "not-next-to");
    EXPECT_EQ(error(fleet.start(5)), "not-next-to");
    wire::Command start;
    start.mutable_start()->set_kind(77);
    EXPECT_EQ(error(fleet.say(0, start)), "unknown-kind");
    start.mutable_start()->set_kind(0), start.mutable_start()->set_to(4);
    EXPECT_EQ(error(fleet.say(0, start)), "malformed");  // no shards
    EXPECT_EQ(error(fleet.steer(wire::BACK)), "nothing");
    EXPECT_EQ(error(fleet.want(1)), "nothing");
    EXPECT_EQ(error(fleet.says(1, 4, 3)), "malformed");
    EXPECT_EQ(error(fleet.says(9, 3, 4)), "stale");
    EXPECT_EQ(fleet.machine.snapshot().size(), before.size());
    MigrationStateMachine other({1, 1, 1, 1, 1});
    EXPECT_FALSE(other.restore(2, before));
    EXPECT_FALSE(other.restore(1, before.substr(1)));
    EXPECT_FALSE(other.restore(1, ""));
    EXPECT_TRUE(other.restore(1, before));
    EXPECT_EQ(other.snapshot(), before);
}

TEST(MigrationStateMachine, InvariantsHoldUnderRandomCommands) {
    std::uint64_t state = 7;
    auto draw = [&](std::uint64_t below) {
        return ((state = state * 6364136223846793005u + 1442695040888963407u) >> 33) % below;
    };
    Fleet fleet;
    std::map<coordinator::SessionId, schema::Range> said;
    std::set<coordinator::SessionId> live;
    coordinator::SessionId next = 1;
    schema::Version level = 3;
    std::uint64_t revision = 0, epoch = 0;
    int switched = 0, done = 0, undone = 0, stopped = 0;
    for (int i = 0; i < 30'000; ++i) {
        coordinator::SessionId who = 1 + draw(next);
        Stage before = fleet.machine.stage();
        wire::Counts counts;
        if (draw(30) == 0) counts.set_differ(1), counts.set_differs(std::string(5000, 'x'));
        switch (draw(9)) {
            case 0:
                if (live.size() < 4)
                    fleet.machine.session_opened(next, "p" + std::to_string(next), "z"), live.insert(next),
                        ++next;
                break;
            case 1:
                if (draw(3) == 0 && live.contains(who))
                    fleet.machine.session_ended(who), live.erase(who), said.erase(who);
                break;
            case 2:
                for (coordinator::SessionId one : live) {
                    if (said.contains(one)) continue;
                    schema::Version least = schema::Version(draw(8) ? level : 1 + draw(4));
                    said[one] = {least, least + 1};
                    if (level == 4 && least == 4) said[one] = {3, 4};
                    fleet.says(one, said[one].min, said[one].max);
                }
                break;
            case 3:
                fleet.start(schema::Version(level + (draw(2) ? 1 : -1)), draw(3) * 100, draw(2));
                break;
            case 4:
                fleet.want(who);
                break;
            case 5:
                if (draw(40) == 0) fleet.steer(wire::Steer(draw(6)));
                if (draw(20) == 0) fleet.steer(wire::GO_ON);
                break;
            case 6: {
                wire::Command late = fleet.did(std::uint32_t(draw(3)), counts);
                if (draw(8) == 0) late.mutable_did()->set_revision(late.did().revision() - 1);
                fleet.say(draw(8) ? fleet.machine.migration().owner() : who, late);
                break;
            }
            case 7:
                fleet.say(fleet.machine.migration().owner(), fleet.did(std::uint32_t(draw(2))));
                break;
            default: {
                std::string body = fleet.did(0).SerializeAsString();
                if (!body.empty()) body[draw(body.size())] = char(draw(256));
                fleet.machine.apply({who, body});
            }
        }
        const wire::Status& now = fleet.machine.migration();
        Stage stage = fleet.machine.stage();
        ASSERT_GE(now.revision(), now.id() ? revision : 0);
        ASSERT_GE(std::max(now.epoch(), epoch), epoch);
        revision = std::max(revision, now.revision()), epoch = std::max(epoch, now.epoch());
        ASSERT_TRUE(now.owner() == 0 || live.contains(now.owner()));
        ASSERT_LE(now.about().size(), 256u);
        if (fleet.machine.written_versions()[0] != level) {
            ASSERT_TRUE(stage == Stage::Switch || stage == Stage::Unswitch) << name(stage);
            ASSERT_EQ(fleet.machine.written_versions()[0], stage == Stage::Switch ? now.to() : now.from());
            level = fleet.machine.written_versions()[0];
            ++switched;
            // Every accepted process reads the version.
            for (coordinator::SessionId one : live) {
                wire::News news = fleet.news(one);
                ASSERT_TRUE(news.refused() || said.at(one).contains(level));
            }
        }
        if (stage != before) done += stage == Stage::Done, undone += stage == Stage::Undone;
        stopped += now.stopped() != 0;
        if (i % 50 == 0) {
            MigrationStateMachine other({1, 1, 1, 1, 1});
            std::string snapshot = fleet.machine.snapshot();
            ASSERT_TRUE(other.restore(1, snapshot));
            ASSERT_EQ(other.snapshot(), snapshot);
        }
    }
    EXPECT_GT(switched, 10);
    EXPECT_GT(done, 3);
    EXPECT_GT(undone, 3);
    EXPECT_GT(stopped, 0);
}

// A shard holder

constexpr const char* kGroup = "c1";

struct Holding {
    MemoryRecords records;
    Receiver receiver;
    wire::Order last;

    explicit Holding(Receiver::Convert convert = schema::convert, Kind kind = Kind::Sessions,
                     schema::Version first = 3)
        : receiver({kind, first, 1000, std::move(convert), nullptr}, records) {
        last.set_migration(1), last.set_epoch(1), last.set_kind(std::uint32_t(kind)), last.set_from(first),
            last.set_to(first + 1);
        last.set_most(100);
    }
    wire::Reply order(Stage stage) {
        last.set_stage(std::uint32_t(stage));
        last.set_revision(last.revision() + 1);
        return receiver.handle(last);
    }
    wire::Given ask(schema::Version schema, const std::string& group = kGroup) {
        wire::Ask ask;
        ask.set_kind(last.kind()), ask.set_group(group), ask.set_schema(schema);
        return receiver.handle(ask);
    }
    wire::Given put(schema::Version schema, std::uint64_t id, const std::string& group = kGroup,
                    std::uint64_t version = ~0ull) {
        wire::Given was = ask(schema, group);
        if (was.error()) return was;
        schema::Group records_then;
        for (const auto& r : was.records()) records_then.push_back({r.key(), r.value()});
        judge::Write write;
        write.id = id, write.group = group, write.tenant = "dealers", write.moves = true;
        wire::Ask put;
        put.set_kind(last.kind()), put.set_group(group), put.set_schema(schema), put.set_writes(true);
        put.set_version(version == ~0ull ? was.version() : version);
        for (const auto& r : judge::applied(Kind(last.kind()), schema, records_then, write)) {
            auto& to = *put.add_records();
            to.set_key(r.key), to.set_value(r.value);
        }
        return receiver.handle(put);
    }
    std::string server(schema::Version schema) {
        wire::Given given = ask(schema);
        schema::Group group;
        for (const auto& r : given.records()) group.push_back({r.key(), r.value()});
        judge::Contents contents;
        return judge::parse_contents(Kind::Sessions, schema, group, contents)
                   ? contents.tenants["dealers"].server
                   : "?";
    }
    int forms() {
        wire::Stored stored;
        stored.ParseFromString(records.read(0, kGroup).bytes);
        return stored.forms_size();
    }
};

TEST(Holder, WritesBothVersionsAtomicallyAndRefusesOlderOnes) {
    Holding h;
    EXPECT_EQ(error(h.put(3, 1)), "");
    EXPECT_EQ(error(h.put(4, 2)), "new-level");
    EXPECT_TRUE(h.order(Stage::Widen).done());
    EXPECT_EQ(h.forms(), 1);
    EXPECT_EQ(h.server(4), "s1");  // converted from the old version
    EXPECT_EQ(error(h.put(3, 2, "c2")), "");
    EXPECT_TRUE(h.order(Stage::Convert).done());
    EXPECT_EQ(h.forms(), 2);
    EXPECT_EQ(error(h.put(3, 3)), "");
    EXPECT_EQ(h.server(4), "s3");
    EXPECT_EQ(error(h.put(4, 4)), "");
    EXPECT_EQ(h.server(3), "s4");
    wire::Reply compared = h.order(Stage::Compare);
    EXPECT_TRUE(compared.done());
    EXPECT_EQ(compared.counts().groups(), 2u);
    EXPECT_EQ(compared.counts().differ(), 0u);
    EXPECT_EQ(compared.counts().digest_from(), compared.counts().digest_to());
    EXPECT_TRUE(h.order(Stage::Switch).done());
    EXPECT_EQ(error(h.ask(3)), "old-level");
    EXPECT_EQ(error(h.put(4, 5)), "");
    EXPECT_TRUE(h.order(Stage::Unswitch).done());
    EXPECT_EQ(h.server(3), "s5");  // writes since the switch are kept
    EXPECT_TRUE(h.order(Stage::Switch).done());
    EXPECT_TRUE(h.order(Stage::Narrow).done());
    EXPECT_EQ(h.forms(), 1);
    EXPECT_EQ(h.receiver.form(0), ShardForm::Plain);
    EXPECT_EQ(h.server(4), "s5");
    EXPECT_EQ(error(h.put(3, 6)), "old-level");
    EXPECT_EQ(error(h.put(4, 6, kGroup, 1)), "changed");
    EXPECT_EQ(h.receiver.refusals(), 0u);  // counts refused writes only
}

TEST(Holder, RefusesStaleOrdersAndIsIdempotent) {
    Holding h;
    h.put(3, 1);
    h.order(Stage::Widen), h.order(Stage::Convert);
    wire::Order late = h.last;
    h.last.set_epoch(2), h.last.set_most(0);
    wire::Reply look = h.receiver.handle(h.last);
    EXPECT_TRUE(look.looked());
    EXPECT_TRUE(look.done());
    EXPECT_EQ(error(h.receiver.handle(late)), "stale");
    h.last.set_most(100);
    std::uint64_t version = h.records.read(0, kGroup).version;
    EXPECT_TRUE(h.receiver.handle(h.last).done());
    EXPECT_EQ(h.records.read(0, kGroup).version, version);
    late = h.last;
    h.order(Stage::Compare);
    EXPECT_EQ(error(h.receiver.handle(late)), "stale");
    late = h.last;
    late.set_migration(0), late.set_revision(99);
    EXPECT_EQ(error(h.receiver.handle(late)), "stale");
    EXPECT_EQ(error(h.order(Stage::Narrow)), "malformed");  // the shard has not switched
    h.last.set_kind(1);
    EXPECT_EQ(error(h.order(Stage::Convert)), "malformed");
}

TEST(Holder, AcceptsARestartedStage) {
    Holding h;
    h.put(3, 1);
    for (Stage stage :
         {Stage::Widen, Stage::Widen, Stage::Convert, Stage::Convert, Stage::Compare, Stage::Compare,
          Stage::Switch, Stage::Switch, Stage::Unswitch, Stage::Unswitch, Stage::Unwiden, Stage::Unwiden,
          Stage::Widen, Stage::Convert, Stage::Compare, Stage::Switch, Stage::Narrow, Stage::Narrow})
        EXPECT_TRUE(h.order(stage).done()) << name(stage);
    EXPECT_EQ(h.server(4), "s1");
    EXPECT_EQ(h.receiver.writes(0), 4u);
}

TEST(Holder, ContinuesAtItsCursorAfterARestart) {
    Holding h;
    for (int i = 0; i < 10; ++i) h.put(3, std::uint64_t(i + 1), "c" + std::to_string(i));
    h.order(Stage::Widen);
    h.last.set_most(3);
    EXPECT_FALSE(h.order(Stage::Convert).done());
    Receiver again({Kind::Sessions, 3, 1000, schema::convert, nullptr}, h.records);
    h.last.set_most(0);
    EXPECT_EQ(again.handle(h.last).counts().groups(), 3u);
    h.last.set_most(3);
    int steps = 0;
    while (!again.handle(h.last).done()) ASSERT_LT(++steps, 10);
    EXPECT_EQ(again.handle(h.last).counts().groups(), 10u);
}

TEST(Holder, FailedConversionStopsTheStageAndStillServes) {
    Holding h([](Kind kind, schema::Version from, schema::Version to, schema::Group group) -> schema::Result {
        for (const auto& r : group)
            if (from < to && r.key.find("c5") != std::string::npos) throw std::runtime_error("a bad day");
        return schema::convert(kind, from, to, std::move(group));
    });
    for (int i = 0; i < 10; ++i) h.put(3, std::uint64_t(i + 1), "c" + std::to_string(i));
    h.order(Stage::Widen);
    wire::Reply reply = h.order(Stage::Convert);
    EXPECT_EQ(error(reply), "conversion");
    EXPECT_EQ(reply.about(), "c5");
    EXPECT_EQ(error(h.put(3, 20, "c5")), "");  // a write to the group is accepted
    EXPECT_EQ(error(h.ask(4, "c5")), "conversion");
    EXPECT_EQ(error(h.order(Stage::Compare)), "");  // the comparison detects it
    EXPECT_EQ(h.receiver.handle(h.last).counts().differs(), "c5");
    EXPECT_TRUE(h.order(Stage::Unwiden).done());
    EXPECT_EQ(error(h.put(3, 21, "c5")), "");
    EXPECT_EQ(h.forms(), 1);
}

TEST(Holder, FullDiskDuringWidenChangesNothingAndCanGoBack) {
    Holding h;
    for (int i = 0; i < 10; ++i) h.put(3, std::uint64_t(i + 1), "c" + std::to_string(i));
    h.records.set_max_bytes(h.records.bytes(0) * 3 / 2);
    h.order(Stage::Widen);
    wire::Reply reply = h.order(Stage::Convert);
    EXPECT_EQ(error(reply), "full");
    EXPECT_EQ(error(h.receiver.handle(h.last)), "full");
    EXPECT_EQ(error(h.put(3, 30, "c9")), "full");  // stores both versions or none
    EXPECT_GT(h.receiver.refusals(), 0u);
    EXPECT_TRUE(h.order(Stage::Unwiden).done());
    EXPECT_EQ(error(h.put(3, 30, "c9")), "");
}

TEST(Holder, ReportsShardsThatItDoesNotHold) {
    MemoryRecords records;
    Receiver receiver(
        {Kind::Sessions, 3, 1000, schema::convert, [](std::uint32_t shard) { return shard != 7; }}, records);
    wire::Order order;
    order.set_shard(7), order.set_revision(1), order.set_stage(std::uint32_t(Stage::Widen));
    EXPECT_EQ(error(receiver.handle(order)), "elsewhere");
    wire::Ask ask;
    ask.set_shard(7), ask.set_group("c"), ask.set_schema(3);
    EXPECT_EQ(error(receiver.handle(ask)), "elsewhere");
    ask.set_shard(6);
    EXPECT_EQ(error(receiver.handle(ask)), "");
}

// An owner

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
struct Owning {
    Fleet fleet;
    Owner owner;
    OwnerActions actions;

    explicit Owning(const OwnerSettings& settings = {}) : owner(settings) {
        fleet.join(1, 3, 4), fleet.join(2, 3, 4);
        fleet.start(4);
    }
    void tell(double now, coordinator::SessionId session, double until = 10'000) {
        actions.clear();
        owner.handle(at(now), NewsReceived{fleet.news(session), at(until)}, actions);
    }
    std::vector<wire::Order> orders() {
        std::vector<wire::Order> all;
        for (const auto& action : actions)
            if (const auto* give = std::get_if<SendOrder>(&action)) all.push_back(give->order);
        return all;
    }
    std::vector<wire::Command> proposals() {
        std::vector<wire::Command> all;
        for (const auto& action : actions)
            if (const auto* propose = std::get_if<SubmitCommand>(&action)) all.push_back(propose->command);
        return all;
    }
    void reply(double now, const wire::Order& order, bool done, std::uint32_t wrong = 0,
               std::uint32_t load = 0, std::uint64_t groups = 0) {
        wire::Reply reply;
        reply.mutable_counts()->set_groups(groups);
        reply.set_migration(order.migration()), reply.set_epoch(order.epoch()),
            reply.set_revision(order.revision());
        reply.set_shard(order.shard()), reply.set_done(done), reply.set_error(wrong), reply.set_load(load);
        actions.clear();
        owner.handle(at(now), ReplyReceived{reply}, actions);
    }
};

TEST(Owner, ClaimsQueriesFirstAndReportsProgress) {
    Owning o;
    o.tell(0, 1);
    ASSERT_EQ(o.proposals().size(), 1u);
    EXPECT_TRUE(o.proposals()[0].has_want());
    o.fleet.want(1);
    o.tell(1, 1);
    ASSERT_EQ(o.orders().size(), 2u);
    wire::Order first = o.orders()[0];
    EXPECT_EQ(first.most(), 0u);
    o.reply(2, first, false);
    ASSERT_EQ(o.orders().size(), 1u);
    EXPECT_GT(o.orders()[0].most(), 0u);
    o.reply(3, o.orders()[0], true);
    ASSERT_EQ(o.proposals().size(), 1u);
    EXPECT_TRUE(o.proposals()[0].has_did());
    // Repeats the report until the news shows it, and sends no further orders to the shard.
    o.actions.clear();
    o.owner.handle(at(1500), TimerFired{}, o.actions);
    EXPECT_EQ(o.proposals().size(), 1u);
    o.fleet.say(1, o.proposals()[0]);
    o.tell(1501, 1);
    EXPECT_TRUE(o.proposals().empty());
}
TEST(Owner, StopsWhenItsSessionExpiresOrAnotherOwnsIt) {
    Owning o;
    o.fleet.want(1);
    o.tell(0, 1, 100);
    wire::Order order = o.orders()[0];
    EXPECT_TRUE(o.owner.is_owner());
    o.reply(101, order, false);  // after a pause the session has expired
    EXPECT_FALSE(o.owner.is_owner());
    EXPECT_TRUE(o.orders().empty());
    o.tell(102, 1, 200);
    EXPECT_TRUE(o.owner.is_owner());
    o.reply(103, o.orders().at(0), false, on_wire(Error::Stale));
    EXPECT_FALSE(o.owner.is_owner());
    EXPECT_TRUE(o.orders().empty());
}
TEST(Owner, SlowsDownUnderLoadAndRepeatsUnansweredOrders) {
    OwnerSettings settings;
    settings.groups_per_order = 100, settings.groups_per_second = 10'000, settings.max_concurrent_shards = 1;
    Owning o(settings);
    o.fleet.want(1);
    o.fleet.say(1, o.fleet.did(1));  // one shard is left
    o.tell(0, 1);
    o.reply(1, o.orders().at(0), false);
    wire::Order order = o.orders().at(0);  // 100 groups are 10 ms at its pace
    std::uint64_t groups = 0;
    double now = 2;
    auto waits = [&](std::uint32_t load) {
        double from = now;
        o.reply(now, order, false, 0, load, groups += 100);
        while (o.orders().empty() && now < from + 5000) {
            o.actions.clear();
            o.owner.handle(at(now += 1), TimerFired{}, o.actions);
        }
        return now - from;
    };
    EXPECT_NEAR(waits(0), 10, 1);
    EXPECT_NEAR(waits(70), 10, 1);
    EXPECT_NEAR(waits(99), 200, 1);  // a twentieth of the pace
    EXPECT_NEAR(waits(10), 10, 1);
    o.actions.clear();
    o.owner.handle(at(3000), TimerFired{}, o.actions);
    ASSERT_EQ(o.orders().size(), 1u);
    EXPECT_EQ(o.orders()[0].most(), 0u);  // queries the state before it repeats an order
}
TEST(Owner, ReportsAShardThatKeepsFailing) {
    OwnerSettings settings;
    settings.max_attempts = 3;
    Owning o(settings);
    o.fleet.want(1);
    o.tell(0, 1);
    wire::Order order = o.orders()[0];
    o.reply(1, order, false, on_wire(Error::Conversion));
    ASSERT_EQ(o.proposals().size(), 0u);
    o.actions.clear();
    o.owner.handle(at(500), TimerFired{}, o.actions);
    ASSERT_EQ(o.proposals().size(), 1u);
    EXPECT_EQ(o.proposals()[0].trouble().error(), on_wire(Error::Conversion));
    o.fleet.say(1, o.proposals()[0]);
    o.tell(501, 1);
    EXPECT_TRUE(o.orders().empty());
    EXPECT_TRUE(o.fleet.machine.migration().paused());
    o.fleet.steer(wire::GO_ON);
    o.tell(1600, 1);
    EXPECT_FALSE(o.orders().empty());
}

TEST(Errors, EachIsCausedAndHasARemedy) {
    for (std::size_t i = 0; i < kErrors; ++i) {
        const fleet::ErrorRow& r = row(Error(i));
        EXPECT_TRUE(caused().contains(std::string(r.code))) << r.code;
        EXPECT_FALSE(r.what.empty() || r.operators.empty()) << r.code;
    }
    EXPECT_EQ(sentence(Failure{Error::OldLevel, "shard 3"}),
              "migration.old-level: shard 3: the fleet no longer writes this schema version; nothing if the "
              "process "
              "reads the new version: it retries; otherwise upgrade it");
}

}  // namespace
}  // namespace ochrehub::schema_migration
