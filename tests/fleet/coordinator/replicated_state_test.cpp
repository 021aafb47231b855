// Sessions, duplicate detection, limits and snapshots of the state that all coordinators hold alike.
#include "fleet/coordinator/replicated_state.h"

#include <coordinator.pb.h>
#include <gtest/gtest.h>

#include <string>

#include "fleet/coordinator/sum_state_machine.h"

namespace ochrehub::coordinator {
namespace {

std::string open_entry(std::uint64_t instance, std::uint64_t attempt) {
    wire::LogEntry entry;
    wire::OpenSession& open = *entry.mutable_open();
    open.set_name("a");
    open.set_instance(instance);
    open.set_attempt(attempt);
    open.set_lease_ms(3000);
    return entry.SerializeAsString();
}

std::string command_entry(SessionId session, std::uint64_t sequence, const std::string& body,
                          std::uint64_t acknowledged = 0, const std::string& kind = "sum") {
    wire::LogEntry entry;
    wire::Command& command = *entry.mutable_command();
    command.set_session(session);
    command.set_sequence(sequence);
    command.set_acknowledged(acknowledged);
    command.set_kind(kind);
    command.set_body(body);
    return entry.SerializeAsString();
}

TEST(ReplicatedState, AppliesEachCommandOnceAndRepeatsItsFirstResponse) {
    ReplicatedState state({}, make_sum_state_machine);
    const SessionId id = state.apply(open_entry(9, 1)).session;
    ASSERT_EQ(id, 1u);
    EXPECT_EQ(state.apply(command_entry(id, 1, "5")).result, "5");
    EXPECT_EQ(state.apply(command_entry(id, 2, "5")).result, "10");
    const Outcome repeated = state.apply(command_entry(id, 1, "5"));
    EXPECT_EQ(repeated.result, "5");
    EXPECT_TRUE(repeated.is_duplicate);
    EXPECT_EQ(state.apply(command_entry(id, 4, "5")).error, Error::OutOfOrder);
    EXPECT_EQ(state.apply(command_entry(id, 3, "1", 2)).result, "11");
    EXPECT_EQ(state.apply(command_entry(id, 1, "5")).error, Error::ResponseDiscarded);
    EXPECT_EQ(state.apply(command_entry(77, 1, "5")).error, Error::NoSession);
    EXPECT_EQ(state.state_machine("sum")->query(""), "11");
}

TEST(ReplicatedState, OpensEachAttemptOnceAndEndsThePreviousSessionOfTheProcess) {
    ReplicatedState state({}, make_sum_state_machine);
    const SessionId first = state.apply(open_entry(9, 1)).session;
    EXPECT_EQ(state.apply(open_entry(9, 1)).session, first);
    const SessionId second = state.apply(open_entry(9, 2)).session;
    EXPECT_GT(second, first);
    EXPECT_EQ(state.session_count(), 1u);
    EXPECT_EQ(state.apply(open_entry(9, 1)).error, Error::ResponseDiscarded)
        << "a delayed request ends no session";
    EXPECT_TRUE(state.session(second));
    const SessionId other = state.apply(open_entry(10, 1)).session;  // the same name, another process
    EXPECT_TRUE(state.session(second));
    wire::LogEntry expired;
    expired.mutable_session_expired()->set_session(other);
    state.apply(expired.SerializeAsString());
    EXPECT_FALSE(state.session(other));
    EXPECT_GT(state.apply(open_entry(10, 2)).session, other) << "ids are not reused";
}

TEST(ReplicatedState, RejectsSessionsAndCommandsAboveItsLimits) {
    Limits limits;
    limits.max_sessions = 2;
    limits.max_cached_responses = 2;
    ReplicatedState state(limits, make_sum_state_machine);
    const SessionId id = state.apply(open_entry(1, 1)).session;
    state.apply(open_entry(2, 1));
    EXPECT_EQ(state.apply(open_entry(3, 1)).error, Error::TooManySessions);
    state.apply(command_entry(id, 1, "1"));
    state.apply(command_entry(id, 2, "1"));
    EXPECT_EQ(state.apply(command_entry(id, 3, "1")).error, Error::Busy);
    EXPECT_EQ(state.apply(command_entry(id, 3, "1", 1)).result, "3");
}

TEST(ReplicatedState, RestoresItsOwnSnapshotsAndRejectsOthers) {
    ReplicatedState state({}, make_sum_state_machine);
    const SessionId id = state.apply(open_entry(9, 1)).session;
    state.apply(command_entry(id, 1, "5"));
    ReplicatedState other({}, make_sum_state_machine);
    ASSERT_TRUE(other.restore(state.snapshot()));
    EXPECT_EQ(other.snapshot(), state.snapshot());
    EXPECT_EQ(other.apply(command_entry(id, 1, "5")).result, "5");
    EXPECT_EQ(other.apply(command_entry(id, 2, "5")).result, "10");
    wire::ReplicatedState newer_schema;
    ASSERT_TRUE(newer_schema.ParseFromString(state.snapshot()));
    newer_schema.mutable_state_machines(0)->set_schema(SumStateMachine::kSchema + 1);
    EXPECT_FALSE(other.restore(newer_schema.SerializeAsString()));
    EXPECT_FALSE(other.restore("no snapshot"));
}

TEST(ReplicatedState, StopsAtAnEntryOfANewerRelease) {
    ReplicatedState state({}, make_sum_state_machine);
    const SessionId id = state.apply(open_entry(9, 1)).session;
    EXPECT_TRUE(state.apply(command_entry(id, 1, "5", 0, "shards")).is_fatal);
    EXPECT_TRUE(state.apply("\xff\xff").is_fatal);
    EXPECT_EQ(state.apply("\xff\xff").error, Error::UnknownEntry);
}

}  // namespace
}  // namespace ochrehub::coordinator
