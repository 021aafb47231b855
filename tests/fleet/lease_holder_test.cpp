// The lease holder's side, with the state machine itself at the other end.
#include "fleet/leadership/lease_holder.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "fleet/leadership/lease_state_machine.h"

namespace ochrehub::leadership {
namespace {

LeaseStateMachine with_sessions(SessionId count) {
    LeaseStateMachine machine;
    for (SessionId s = 1; s <= count; ++s) machine.session_opened(s, "p", "z");
    return machine;
}
void run(LeaseStateMachine& machine, SessionId session, const std::string& body) {
    ASSERT_TRUE(decode_command_response(machine.apply({session, body})));
}
TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

struct Process {
    LeaseHolder core;
    LeaseHolderActions out;
    std::vector<std::string> log;
    std::vector<SendCommand> sent;

    void handle(double now, const LeaseHolderEvent& event) {
        out.clear();
        log.clear();
        sent.clear();
        core.handle(at(now), event, out);
        for (const LeaseHolderAction& action : out) {
            if (auto* start = std::get_if<StartWork>(&action))
                log.push_back("start " + start->role + " " + std::to_string(start->epoch));
            if (auto* stop = std::get_if<StopWork>(&action))
                log.push_back("stop " + stop->role + " " + std::to_string(stop->epoch) + " " +
                              std::string(name(stop->reason)));
            if (auto* one = std::get_if<SendCommand>(&action)) sent.push_back(*one);
            if (auto* one = std::get_if<CandidacyRejected>(&action)) log.push_back("rejected " + one->role);
            if (auto* one = std::get_if<RetireJob>(&action))
                log.push_back("retire " + one->role + " " + std::to_string(one->epoch));
            if (std::get_if<LeaveCompleted>(&action)) log.push_back("left");
        }
    }
    /// Delivers all that it sent to `machine`, and the responses to it.
    void deliver(double now, LeaseStateMachine& machine) {
        std::vector<SendCommand> all = sent;
        for (const SendCommand& one : all)
            handle(now, CommandCompleted{one.request_id, machine.apply({one.session, one.command})});
    }
    using Log = std::vector<std::string>;
};
using Log = Process::Log;

TEST(LeaseHolder, StartsWorkOnAHeldLeaseAndStopsASafetyMarginBeforeItExpires) {
    LeaseStateMachine machine = with_sessions(1);
    Process p;
    p.handle(0, AddCandidacy{"list"});
    EXPECT_TRUE(p.sent.empty());  // no session yet
    p.handle(1, SessionRenewed{1, at(3000)});
    p.deliver(2, machine);
    EXPECT_FALSE(p.core.current_epoch(at(3), "list"));
    p.handle(3, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"start list 1"}));
    EXPECT_EQ(std::get<SetTimer>(p.out.back()).at, at(2920));
    EXPECT_EQ(p.core.current_epoch(at(2919), "list"), Epoch(1));
    EXPECT_FALSE(p.core.current_epoch(at(2920), "list"));  // whether or not the timer has fired
    p.handle(2920, TimerFired{});
    EXPECT_EQ(p.log, (Log{"stop list 1 lease expiring"}));
    // After a late renewal work starts again, once the old work has stopped and an update confirms it.
    p.handle(2930, SessionRenewed{1, at(5000)});
    p.handle(2931, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_TRUE(p.log.empty());
    p.handle(2940, WorkStopped{"list", 1});
    p.handle(2950, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"start list 1"}));
}

TEST(LeaseHolder, ChecksTheClockFirstAfterAPause) {
    LeaseStateMachine machine = with_sessions(1);
    Process p;
    p.handle(0, SessionRenewed{1, at(3000)});
    p.handle(0, AddCandidacy{"list"});
    p.deliver(1, machine);
    p.handle(2, SessionUpdateReceived{1, machine.session_update(1)});
    // The first event after 30 s is an update by which it holds another role too.
    p.handle(2, AddCandidacy{"other"});
    p.deliver(2, machine);
    p.handle(30'000, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"stop list 1 lease expiring"}));
    // A renewal that was answered long ago changes nothing.
    p.handle(30'001, SessionRenewed{1, at(4000)});
    p.handle(30'002, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_TRUE(p.log.empty());
    EXPECT_FALSE(p.core.current_epoch(at(30'002), "other"));
}

TEST(LeaseHolder, ReleasesALeaseOnlyAfterWorkHasStopped) {
    LeaseStateMachine machine = with_sessions(2);
    Process p, q;
    for (auto* one : {&p, &q}) {
        SessionId s = one == &p ? 1 : 2;
        one->handle(0, SessionRenewed{s, at(3000)});
        one->handle(0, AddCandidacy{"list"});
        one->deliver(1, machine);
        one->handle(2, SessionUpdateReceived{s, machine.session_update(s)});
    }
    run(machine, 0, transfer_lease_command("list"));
    p.handle(10, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"stop list 1 release requested"}));
    EXPECT_TRUE(p.sent.empty());
    q.handle(11, SessionUpdateReceived{2, machine.session_update(2)});
    EXPECT_TRUE(q.log.empty());
    p.handle(12, WorkStopped{"list", 1});
    p.deliver(13, machine);
    q.handle(14, SessionUpdateReceived{2, machine.session_update(2)});
    EXPECT_EQ(q.log, (Log{"start list 2"}));
    // An update from before the release does not start it again.
    LeaseStateMachine old = with_sessions(1);
    run(old, 1, add_candidacy_command("list"));
    p.handle(15, SessionUpdateReceived{1, old.session_update(1)});
    EXPECT_TRUE(p.log.empty());
    // It is still a candidate: when the other leaves, the lease returns.
    q.handle(20, Leave{});
    EXPECT_EQ(q.log, (Log{"stop list 2 withdrawn"}));
    q.handle(21, WorkStopped{"list", 2});
    q.deliver(22, machine);
    EXPECT_EQ(q.log, (Log{"left"}));
    p.handle(23, SessionUpdateReceived{1, machine.session_update(1)});
    EXPECT_EQ(p.log, (Log{"start list 3"}));
}

TEST(LeaseHolder, RetriesCommandsWithoutResponseAndIsACandidateInANewSession) {
    LeaseStateMachine machine = with_sessions(2);
    Process p;
    p.handle(0, SessionRenewed{1, at(3000)});
    p.handle(0, AddCandidacy{"list"});
    auto first = p.sent.at(0);
    p.handle(499, TimerFired{});
    EXPECT_TRUE(p.sent.empty());
    p.handle(500, TimerFired{});
    ASSERT_EQ(p.sent.size(), 1u);
    EXPECT_EQ(p.sent[0].request_id, first.request_id);
    p.deliver(501, machine);
    p.handle(502, SessionUpdateReceived{1, machine.session_update(1)});
    p.handle(600, SessionLost{});
    EXPECT_EQ(p.log, (Log{"stop list 1 session lost"}));
    p.handle(601, SessionRenewed{1, at(9000)});  // a late response of the old session
    EXPECT_EQ(p.core.session(), 0u);
    machine.session_ended(1);
    p.handle(700, SessionRenewed{2, at(4000)});
    ASSERT_EQ(p.sent.size(), 1u);
    p.deliver(701, machine);
    p.handle(702, SessionUpdateReceived{1, machine.session_update(2)});  // of another session
    EXPECT_TRUE(p.log.empty());
    p.handle(703, SessionUpdateReceived{2, machine.session_update(2)});
    EXPECT_TRUE(p.log.empty());  // the old work has not stopped yet
    p.handle(704, WorkStopped{"list", 1});
    p.handle(705, SessionUpdateReceived{2, machine.session_update(2)});
    EXPECT_EQ(p.log, (Log{"start list 2"}));
}

TEST(LeaseHolder, CompletesAJobAtTheCoordinatorsThenAtTheReceiversThenRemovesIt) {
    LeaseStateMachine machine = with_sessions(2);
    run(machine, 1, create_job_command("move", 1));
    Process p, q;
    for (auto* one : {&p, &q}) {
        SessionId s = one == &p ? 1 : 2;
        one->handle(0, SessionRenewed{s, at(3000)});
        one->handle(0, AddCandidacy{"move/1"});
        one->deliver(1, machine);
    }
    p.handle(2, SessionUpdateReceived{1, machine.session_update(1)});
    std::string old = machine.session_update(1);
    p.handle(2, JobRetired{"move/1", 1});  // before any RetireJob
    EXPECT_TRUE(p.sent.empty());
    p.handle(3, JobCompleted{"move/1", 1});
    EXPECT_FALSE(p.core.current_epoch(at(3), "move/1"));
    EXPECT_TRUE(p.log.empty());  // no receiver is notified before the completion is recorded
    p.handle(4, SessionUpdateReceived{1, old});
    EXPECT_TRUE(p.log.empty());
    p.handle(600, TimerFired{});
    machine.apply({1, p.sent.at(0).command});  // this response is lost
    p.deliver(601, machine);
    EXPECT_EQ(p.log, (Log{"retire move/1 1"}));
    // It dies before all receivers are notified: the next holder notifies them, and does no work.
    machine.session_ended(1);
    q.handle(700, SessionUpdateReceived{2, machine.session_update(2)});
    EXPECT_EQ(q.log, (Log{"retire move/1 2"}));
    EXPECT_FALSE(q.core.current_epoch(at(701), "move/1"));
    q.handle(702, JobRetired{"move/1", 2});
    q.deliver(703, machine);
    EXPECT_TRUE(machine.roles().empty());
    q.handle(704, AddCandidacy{"move/1"});
    q.deliver(705, machine);
    EXPECT_EQ(q.log, (Log{"rejected move/1"}));
}

TEST(LeaseHolder, RetiresAJobWhoseCompletionIsRecordedAfterWorkStartedAgain) {
    LeaseStateMachine machine = with_sessions(1);
    run(machine, 1, create_job_command("move", 1));
    Process p;
    p.handle(0, SessionRenewed{1, at(3000)});
    p.handle(0, AddCandidacy{"move/1"});
    p.deliver(1, machine);
    p.handle(2, SessionUpdateReceived{1, machine.session_update(1)});
    p.handle(3, JobCompleted{"move/1", 1});
    SendCommand end = p.sent.at(0);
    p.handle(2920, TimerFired{});
    p.handle(2921, WorkStopped{"move/1", 1});
    p.handle(2930, SessionRenewed{1, at(6000)});
    p.handle(2931,
             SessionUpdateReceived{1, machine.session_update(1)});  // the completion is not recorded yet
    EXPECT_EQ(p.log, (Log{"start move/1 1"}));
    p.handle(2940, CommandCompleted{end.request_id, machine.apply({1, end.command})});
    EXPECT_EQ(p.log, (Log{"retire move/1 1"}));
    EXPECT_FALSE(p.core.current_epoch(at(2941), "move/1"));
    p.handle(2950, JobRetired{"move/1", 1});
    p.deliver(2951, machine);
    EXPECT_TRUE(machine.roles().empty());
}

}  // namespace
}  // namespace ochrehub::leadership
