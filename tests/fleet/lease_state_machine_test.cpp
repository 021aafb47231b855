// The replicated state machine of leadership leases: by hand-made and by random commands.
#include "fleet/leadership/lease_state_machine.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ochrehub::leadership {
namespace {

CommandResponse run(LeaseStateMachine& machine, SessionId session, const std::string& body) {
    return decode_command_response(machine.apply({session, body})).value();
}
std::vector<HeldLease> held_by(const LeaseStateMachine& machine, SessionId session) {
    return decode_session_update(machine.session_update(session))->leases;
}
SessionId holder_of(const LeaseStateMachine& machine, std::string_view name) {
    auto it = machine.roles().find(name);
    return it == machine.roles().end() ? 0 : it->second.holder;
}
LeaseStateMachine with_sessions(SessionId count, const Limits& limits = {}) {
    LeaseStateMachine machine(limits);
    for (SessionId s = 1; s <= count; ++s) machine.session_opened(s, "p", "z");
    return machine;
}

TEST(LeaseStateMachine, HasOneHolderAtATimeUnderEpochsThatNeverGoBack) {
    LeaseStateMachine machine = with_sessions(3);
    EXPECT_EQ(run(machine, 2, add_candidacy_command("list")).epoch, 1u);
    run(machine, 3, add_candidacy_command("list"));
    EXPECT_EQ(holder_of(machine, "list"), 2u);
    EXPECT_EQ(run(machine, 3, release_lease_command("list", 1)).error, Error::NotHolder);
    EXPECT_FALSE(run(machine, 2, release_lease_command("list", 1)).error);
    EXPECT_EQ(held_by(machine, 3), (std::vector<HeldLease>{{"list", 2, false}}));
    EXPECT_EQ(run(machine, 2, release_lease_command("list", 1)).error, Error::NotHolder);  // duplicate
    machine.session_ended(3);
    EXPECT_TRUE(machine.roles().empty());
    // The role was dropped in between: epochs go on all the same, after a restart too.
    LeaseStateMachine again;
    ASSERT_TRUE(again.restore(kSchema, machine.snapshot()));
    run(again, 2, add_candidacy_command("list"));
    EXPECT_EQ(held_by(again, 2), (std::vector<HeldLease>{{"list", 3, false}}));
}

TEST(LeaseStateMachine, SpreadsRolesByWeightAndRequestsReleasesForALaterCandidate) {
    LeaseStateMachine machine = with_sessions(4);
    for (int i = 0; i < 6; ++i)
        for (SessionId s : {1, 2, 3}) run(machine, s, add_candidacy_command("d" + std::to_string(i)));
    auto settle = [&] {  // each holder releases what is requested
        for (int round = 0; round < 50; ++round)
            for (SessionId s = 1; s <= 4; ++s)
                for (const HeldLease& one : held_by(machine, s))
                    if (one.release_requested)
                        run(machine, s, release_lease_command(one.role, one.epoch, true));
    };
    settle();
    for (SessionId s : {1, 2, 3}) EXPECT_EQ(held_by(machine, s).size(), 2u);
    for (int i = 0; i < 6; ++i) run(machine, 4, add_candidacy_command("d" + std::to_string(i), 3));
    settle();
    EXPECT_EQ(held_by(machine, 4).size(), 3u);  // weight 3 of 6
    for (SessionId s : {1, 2, 3}) EXPECT_EQ(held_by(machine, s).size(), 1u);
    std::uint64_t revision = machine.revision();
    settle();
    EXPECT_EQ(machine.revision(), revision);  // and then nothing moves
}

TEST(LeaseStateMachine, SpreadsManyRolesOfOneHolderInAFewRenewalsAndThenRests) {
    LeaseStateMachine machine = with_sessions(5);
    for (SessionId s = 1; s <= 5; ++s)
        for (int i = 0; i < 500; ++i) run(machine, s, add_candidacy_command("d" + std::to_string(i)));
    EXPECT_EQ(held_by(machine, 1).size(), 500u);
    int rounds = 0;
    for (std::uint64_t before = 0; before != machine.revision() && rounds < 100; ++rounds) {
        before = machine.revision();
        for (SessionId s = 1; s <= 5; ++s)
            for (const HeldLease& one : held_by(machine, s))
                if (one.release_requested) run(machine, s, release_lease_command(one.role, one.epoch, true));
    }
    EXPECT_LT(rounds, 40);
    for (SessionId s = 1; s <= 5; ++s) EXPECT_EQ(held_by(machine, s).size(), 100u);
}

TEST(LeaseStateMachine, NeverGrantsARemovedJobAndNeverReusesItsName) {
    LeaseStateMachine machine = with_sessions(2);
    CommandResponse job = run(machine, 1, create_job_command("move", 7));
    EXPECT_EQ(job.name, "move/1");
    EXPECT_EQ(run(machine, 1, create_job_command("move", 7)).name, "move/1");  // the response was lost
    EXPECT_EQ(run(machine, 1, create_job_command("move", 8)).name, "move/2");
    run(machine, 2, add_candidacy_command("move/1"));
    EXPECT_EQ(run(machine, 1, remove_job_command("move/1", 1)).error, Error::NotHolder);
    EXPECT_EQ(run(machine, 0, remove_job_command("move/1", 0)).error,
              Error::NotHolder);  // an operator, while the job is held
    EXPECT_EQ(run(machine, 2, remove_job_command("move/1", 1)).error, Error::JobNotCompleted);
    EXPECT_EQ(run(machine, 1, complete_job_command("move/1", 1)).error, Error::NotHolder);
    EXPECT_FALSE(run(machine, 2, complete_job_command("move/1", 1)).error);
    // Its holder dies before all receivers know: the next one learns that no work is left.
    run(machine, 1, add_candidacy_command("move/1"));
    machine.session_ended(2);
    EXPECT_EQ(held_by(machine, 1), (std::vector<HeldLease>{{"move/1", 2, false, true}}));
    EXPECT_FALSE(run(machine, 1, remove_job_command("move/1", 2)).error);
    EXPECT_EQ(run(machine, 1, add_candidacy_command("move/1")).error, Error::JobNotFound);
    EXPECT_EQ(run(machine, 1, remove_job_command("move/1", 2)).error, Error::JobNotFound);
    EXPECT_FALSE(run(machine, 0, remove_job_command("move/2", 0)).error);
    EXPECT_EQ(run(machine, 1, create_job_command("move", 9)).name, "move/3");
    run(machine, 1, add_candidacy_command("list"));
    EXPECT_EQ(run(machine, 1, complete_job_command("list", 3)).error,
              Error::InvalidName);  // a standing role never completes
}

TEST(LeaseStateMachine, RejectsInvalidCommandsByTypeAndChangesNothing) {
    Limits few;
    few.max_roles = 2;
    few.max_candidates_per_role = 1;
    LeaseStateMachine machine = with_sessions(2, few);
    run(machine, 1, add_candidacy_command("a"));
    auto before = machine.snapshot();
    std::set<Error> seen;
    auto rejects = [&](SessionId session, const std::string& body, Error error) {
        EXPECT_EQ(run(machine, session, body).error, error) << row(error).code;
        seen.insert(error);
    };
    rejects(1, "\xff\xff", Error::Malformed);
    rejects(1, "", Error::Malformed);
    rejects(1, add_candidacy_command(std::string(5000, 'a')), Error::Malformed);
    rejects(1, add_candidacy_command("A"), Error::InvalidName);
    rejects(1, add_candidacy_command(""), Error::InvalidName);
    rejects(1, add_candidacy_command(std::string(65, 'a')), Error::InvalidName);
    rejects(1, create_job_command("a/b", 1), Error::InvalidName);
    rejects(1, add_candidacy_command("b", 0), Error::InvalidWeight);
    rejects(1, add_candidacy_command("b", 101), Error::InvalidWeight);
    rejects(9, add_candidacy_command("b"), Error::NoSession);
    rejects(0, add_candidacy_command("b"), Error::NoSession);
    rejects(2, add_candidacy_command("a"), Error::TooManyCandidates);
    rejects(1, withdraw_candidacy_command("b"), Error::UnknownRole);
    rejects(1, withdraw_candidacy_command("b/1"), Error::JobNotFound);
    rejects(2, release_lease_command("a", 1), Error::NotHolder);
    rejects(1, release_lease_command("a", 2), Error::NotHolder);
    EXPECT_EQ(machine.snapshot(), before);
    std::string job = run(machine, 1, create_job_command("j", 1)).name;
    run(machine, 1, add_candidacy_command(job));
    rejects(1, remove_job_command(job, 2), Error::JobNotCompleted);
    run(machine, 1, complete_job_command(job, 2));
    run(machine, 1, remove_job_command(job, 2));
    Limits together;
    together.max_candidates = 1;
    LeaseStateMachine small = with_sessions(1, together);
    run(small, 1, add_candidacy_command("a"));
    EXPECT_EQ(run(small, 1, add_candidacy_command("b")).error, Error::TooManyCandidates);
    run(small, 1, release_lease_command("a", 1));
    EXPECT_FALSE(run(small, 1, add_candidacy_command("b")).error);
    run(machine, 1, add_candidacy_command("b"));
    rejects(1, add_candidacy_command("c"), Error::TooManyRoles);
    rejects(1, create_job_command("c", 2), Error::TooManyRoles);
    EXPECT_EQ(seen.size(), kErrors);
    std::set<std::string_view> codes;
    for (std::size_t i = 0; i < kErrors; ++i) codes.insert(row(Error(i)).code);
    EXPECT_EQ(codes.size(), kErrors);
    EXPECT_EQ(sentence(fleet::Failure<Error>{Error::JobNotFound, "move/1"}),
              "duty.over: move/1: the job was removed, or never existed; nothing: it must not run again");
    EXPECT_FALSE(decode_command_response("\xff"));
    EXPECT_FALSE(decode_session_update("\xff"));
}

TEST(LeaseStateMachine, RejectsASnapshotOfAnotherSchemaOrWithBytesMissing) {
    LeaseStateMachine machine = with_sessions(2);
    run(machine, 1, add_candidacy_command("a"));
    std::string good = machine.snapshot();
    EXPECT_FALSE(machine.restore(kSchema + 1, good));
    for (std::size_t cut = 1; cut < good.size(); ++cut) {
        LeaseStateMachine other;
        if (!other.restore(kSchema, good.substr(0, cut))) {
            EXPECT_TRUE(other.roles().empty());
        }
    }
    EXPECT_EQ(machine.snapshot(), good);
}

TEST(LeaseStateMachine, RandomCommandsKeepOneHolderAndRisingEpochsAndSnapshotsAreExact) {
    bool passed = rc::check([] {
        LeaseStateMachine machine;
        std::map<std::string, Epoch> highest;
        std::set<std::string> removed;
        Epoch last_epoch = 0;
        SessionId last_session = 0;
        for (int i = 0; i < 120; ++i) {
            int action = *rc::gen::inRange(0, 10);
            SessionId session = last_session == 0 ? 0 : 1 + *rc::gen::inRange<SessionId>(0, last_session);
            std::string name = *rc::gen::element<std::string>("a", "b", "c", "j/1", "j/2", "j/3");
            auto it = machine.roles().find(name);
            Epoch epoch = it == machine.roles().end() ? 1 : it->second.epoch;
            if (it != machine.roles().end() && it->second.holder && action >= 6) session = it->second.holder;
            if (action == 0) machine.session_opened(++last_session, "p", "z");
            if (action == 1 && i % 3 == 0) machine.session_ended(session);
            if (action >= 2 && action <= 5)
                machine.apply({session, add_candidacy_command(name, std::uint32_t(1 + i % 3))});
            if (action == 6) machine.apply({session, release_lease_command(name, epoch, i % 2 == 0)});
            if (action == 7) machine.apply({session, withdraw_candidacy_command(name)});
            if (action == 8 && i % 2) machine.apply({session, complete_job_command(name, epoch)});
            if (action == 8 && !run(machine, session, remove_job_command(name, epoch)).error)
                removed.insert(name);
            if (action == 9)
                machine.apply({session, i % 2 ? create_job_command("j", std::uint64_t(i))
                                              : transfer_lease_command(name)});
            RC_ASSERT(machine.last_epoch() >= last_epoch);
            last_epoch = machine.last_epoch();
            std::map<std::string, int> holders;
            for (SessionId s = 1; s <= last_session; ++s)
                for (const HeldLease& one : held_by(machine, s)) RC_ASSERT(++holders[one.role] == 1);
            for (const auto& [role, state] : machine.roles()) {
                RC_ASSERT(!removed.contains(role));
                RC_ASSERT(state.epoch >= highest[role]);
                highest[role] = state.epoch;
                RC_ASSERT((state.holder != 0) == (holders[role] == 1));
                RC_ASSERT(state.holder != 0 || state.candidates.empty());  // a candidate holds it
            }
            LeaseStateMachine again;
            RC_ASSERT(again.restore(kSchema, machine.snapshot()));
            RC_ASSERT(again.snapshot() == machine.snapshot());
            if (i % 10 == 0) machine = std::move(again);
        }
    });
    EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace ochrehub::leadership
