// One coordinator's core over a Raft of one member: leases, timeouts, rejections and snapshots.
#include "fleet/coordinator/replica.h"

#include <coordinator.pb.h>
#include <gtest/gtest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/coordinator/sum_state_machine.h"

namespace ochrehub::coordinator {
namespace {

/// Commits what is proposed at once.
struct SingleMemberRaft {
    std::uint64_t index = 0;
    bool holds_proposals = false;
    std::vector<raft::Propose> held_proposals;
    std::vector<raft::SnapshotTaken> snapshots;
    std::optional<raft::Error> change_error;  ///< to reject membership changes with

    void operator()(TimePoint, const raft::Event& event, raft::Actions& actions) {
        if (std::holds_alternative<raft::TimerFired>(event) && index == 0) {
            index = 1;
            actions.push_back(raft::RoleChanged{raft::Role::Leader, 1, 1});
            actions.push_back(raft::MembershipChanged{{{1, true, "k1"}}});
        } else if (const auto* propose = std::get_if<raft::Propose>(&event)) {
            if (holds_proposals)
                held_proposals.push_back(*propose);
            else
                actions.push_back(raft::ApplyEntry{++index, 1, propose->id, propose->data});
        } else if (const auto* read = std::get_if<raft::ReadIndex>(&event)) {
            actions.push_back(raft::ReadReady{read->id, index});
        } else if (const auto* snapshot = std::get_if<raft::SnapshotTaken>(&event)) {
            snapshots.push_back(*snapshot);
        } else if (const auto* change = std::get_if<raft::ChangeMembership>(&event); change && change_error) {
            actions.push_back(raft::Rejected{change->id, *change_error, 1});
        }
    }
};

wire::Request open_request(std::uint64_t instance = 9) {
    wire::Request request;
    request.mutable_open()->set_name("a");
    request.mutable_open()->set_instance(instance);
    request.mutable_open()->set_lease_ms(3000);
    return request;
}

wire::Request renew_request(SessionId id) {
    wire::Request request;
    request.mutable_renew()->set_session(id);
    return request;
}

/// The single response among the actions.
wire::Response response_of(const ReplicaActions& actions) {
    wire::Response response;
    for (const ReplicaAction& action : actions)
        if (const auto* send = std::get_if<SendResponse>(&action)) {
            EXPECT_TRUE(response.ParseFromString(send->body));
            return response;
        }
    return response;
}

struct Coordinator {
    SingleMemberRaft raft;
    Replica replica;

    explicit Coordinator(const ReplicaSettings& with = settings())
        : replica(with, make_sum_state_machine,
                  [this](TimePoint now, const raft::Event& event, raft::Actions& actions) {
                      raft(now, event, actions);
                  },
                  {}) {
        handle(at(0), TimerFired{});
    }
    static ReplicaSettings settings() {
        ReplicaSettings settings;
        settings.self = 1;
        return settings;
    }
    ReplicaActions handle(TimePoint now, const ReplicaEvent& event) {
        ReplicaActions actions;
        replica.handle(now, event, actions);
        return actions;
    }
    wire::Response request(TimePoint now, const wire::Request& request) {
        return response_of(handle(now, RequestReceived{5, request.SerializeAsString()}));
    }
    Error error_of(TimePoint now, const wire::Request& sent) { return Error(request(now, sent).error()); }
    SessionId open(TimePoint now) { return request(now, open_request()).session(); }
    Error renew(TimePoint now, SessionId id) { return error_of(now, renew_request(id)); }
    wire::Response command(TimePoint now, SessionId id, std::uint64_t sequence, const std::string& body,
                           const std::string& kind = "sum") {
        wire::Request sent;
        wire::Command& command = *sent.mutable_command();
        command.set_session(id);
        command.set_sequence(sequence);
        command.set_kind(kind);
        command.set_body(body);
        return request(now, sent);
    }
    const SumStateMachine& state_machine() const {
        return *static_cast<const SumStateMachine*>(replica.state().state_machine("sum"));
    }
};

TEST(Replica, ExpiresASessionOneLeaseAfterItsLastRenewal) {
    Coordinator coordinator;
    const SessionId id = coordinator.open(at(100));
    EXPECT_EQ(coordinator.renew(at(2000), id), Error::None);
    coordinator.handle(at(4900), TimerFired{});
    EXPECT_TRUE(coordinator.replica.state().session(id));
    coordinator.handle(at(5000), TimerFired{});
    EXPECT_FALSE(coordinator.replica.state().session(id));
    EXPECT_EQ(coordinator.renew(at(5001), id), Error::NoSession);
}

TEST(Replica, RejectsRenewalsOfASessionWhoseExpiryIsProposed) {
    Coordinator coordinator;
    const SessionId id = coordinator.open(at(0));
    coordinator.handle(at(30), TimerFired{});
    coordinator.raft.holds_proposals = true;
    coordinator.handle(at(3010), TimerFired{});
    ASSERT_EQ(coordinator.raft.held_proposals.size(), 1u);
    EXPECT_TRUE(coordinator.replica.state().session(id));
    EXPECT_EQ(coordinator.renew(at(3020), id), Error::NoSession);
    coordinator.raft.holds_proposals = false;
    EXPECT_EQ(coordinator.error_of(at(3030), open_request()), Error::NoSession);
}

TEST(Replica, PostponesAllDeadlinesAfterAPause) {
    Coordinator coordinator;
    const SessionId id = coordinator.open(at(0));
    coordinator.handle(at(9000), TimerFired{});  // 6 s late
    EXPECT_TRUE(coordinator.replica.state().session(id));
    EXPECT_EQ(coordinator.renew(at(9001), id), Error::None);
}

TEST(Replica, RestartsATimeoutWithEachRevision) {
    Coordinator coordinator;
    const SessionId id = coordinator.open(at(0));
    coordinator.command(at(10), id, 1, "timeout 500");
    coordinator.handle(at(30), TimerFired{});
    coordinator.command(at(400), id, 2, "timeout 500");
    coordinator.handle(at(420), TimerFired{});
    coordinator.handle(at(600), TimerFired{});
    EXPECT_EQ(coordinator.state_machine().timeout_ms, 500u);
    coordinator.handle(at(930), TimerFired{});
    EXPECT_EQ(coordinator.state_machine().timeout_ms, 0u);
}

TEST(Replica, RejectsInvalidCommandsAndRequests) {
    Coordinator coordinator;
    const SessionId id = coordinator.open(at(0));
    EXPECT_EQ(Error(coordinator.command(at(1), id, 1, "5", "nothing").error()), Error::UnknownKind);
    EXPECT_EQ(coordinator.command(at(1), id, 2, "5").result(), "5") << "sequence number 1 is consumed";
    const std::string too_long(1 << 20, 'x');
    EXPECT_EQ(Error(coordinator.command(at(1), id, 3, too_long).error()), Error::TooLong);
    EXPECT_EQ(Error(coordinator.command(at(1), 0, 0, "5", "nothing").error()), Error::UnknownKind);
    EXPECT_EQ(Error(coordinator.command(at(1), 99, 1, "5").error()), Error::NoSession);
    EXPECT_EQ(coordinator.error_of(at(1), {}), Error::Malformed);
    const wire::Response malformed = response_of(coordinator.handle(at(1), RequestReceived{1, "\xff"}));
    EXPECT_EQ(Error(malformed.error()), Error::Malformed);
}

TEST(Replica, ReportsRaftsErrorsOfMembershipChanges) {
    Coordinator coordinator;
    wire::Request change;
    change.mutable_change()->set_member(2);
    struct Expected {
        raft::Error from_raft;
        Error reported;
    };
    for (const Expected& expected : {Expected{raft::Error::UnknownMember, Error::UnknownMember},
                                     Expected{raft::Error::MembershipChanging, Error::MembershipChanging},
                                     Expected{raft::Error::LastVoter, Error::LastVoter},
                                     Expected{raft::Error::NotLeader, Error::NotLeader},
                                     Expected{raft::Error::LeadershipLost, Error::PossiblyExecuted},
                                     Expected{raft::Error::Busy, Error::Busy}}) {
        coordinator.raft.change_error = expected.from_raft;
        EXPECT_EQ(coordinator.error_of(at(1), change), expected.reported);
    }
    coordinator.raft.change_error.reset();
    EXPECT_EQ(coordinator.request(at(1), change).members_size(), 1);
}

TEST(Replica, IsBusyWithAsManyPendingRequestsAsItsLimit) {
    ReplicaSettings settings = Coordinator::settings();
    settings.max_pending_requests = 0;
    Coordinator coordinator(settings);
    EXPECT_EQ(Error(coordinator.command(at(1), 0, 0, "5").error()), Error::Busy);
}

TEST(Replica, RejectsRequestsWhileItDoesNotLead) {
    Replica follower(Coordinator::settings(), make_sum_state_machine,
                     [](TimePoint, const raft::Event&, raft::Actions&) {}, {});
    ReplicaActions actions;
    follower.handle(at(1), RequestReceived{1, renew_request(1).SerializeAsString()}, actions);
    wire::Response response;
    ASSERT_TRUE(response.ParseFromString(std::get<SendResponse>(actions.at(0)).body));
    EXPECT_EQ(Error(response.error()), Error::NotLeader);
}

TEST(Replica, NamesEachErrorByACodeOfItsModule) {
    const int last = int(Error::AlreadyInitialized);
    for (int error = 0; error <= last; ++error) EXPECT_TRUE(row(Error(error)).code.starts_with("keeper."));
}

TEST(Replica, TakesASnapshotAfterTheConfiguredNumberOfEntries) {
    ReplicaSettings settings = Coordinator::settings();
    settings.snapshot_entries = 5;
    Coordinator coordinator(settings);
    const SessionId id = coordinator.open(at(0));
    for (std::uint64_t sequence = 1; sequence <= 9; ++sequence) coordinator.command(at(1), id, sequence, "1");
    ASSERT_EQ(coordinator.raft.snapshots.size(), 2u);
    ReplicatedState state({}, make_sum_state_machine);
    ASSERT_TRUE(state.restore(coordinator.raft.snapshots[1].state));
    EXPECT_TRUE(state.session(id));
}

}  // namespace
}  // namespace ochrehub::coordinator
