// The consensus core: elections, commitment, rejections, membership, snapshots, reads and recovery, on a
// network that each test controls.
#include "fleet/raft/raft.h"

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "raft_cluster.h"

namespace ochrehub::raft {
namespace {

TEST(Raft, AllServersApplyTheSameEntriesInOrder) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    ASSERT_NE(leader, 0u);
    for (std::uint64_t i = 1; i <= 100; ++i) cluster.propose(leader, i, "x" + std::to_string(i));
    cluster.advance(Duration(300));
    for (auto& [id, server] : cluster.servers) {
        ASSERT_EQ(server.applied.size(), 100u) << id;
        for (std::size_t i = 0; i < 100; ++i) {
            EXPECT_EQ(server.applied[i].data, "x" + std::to_string(i + 1));
            EXPECT_EQ(server.applied[i].id, id == leader ? i + 1 : 0);
        }
    }
}

TEST(Raft, SingleServerLeadsAndCommitsAlone) {
    TestCluster cluster(1);
    cluster.advance(Duration(2500));
    ASSERT_EQ(cluster.leader(), 1u);
    cluster.propose(1, 7, "a");
    cluster.settle();
    EXPECT_EQ(cluster.servers[1].applied.size(), 1u);
    EXPECT_NE(find_action<ReadReady>(cluster.handle(1, ReadIndex{8})), nullptr);
}

TEST(Raft, EntryIsAppliedOnlyOnceItIsDurableOnAMajority) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    for (auto& [id, server] : cluster.servers) server.slow_disk = id != leader;
    cluster.propose(leader, 1, "a");
    cluster.settle();
    EXPECT_TRUE(cluster.servers[leader].applied.empty());
    // The followers' disks suffice; the leader's own is late.
    for (auto& [id, server] : cluster.servers) server.slow_disk = id == leader;
    cluster.settle();
    EXPECT_EQ(cluster.servers[leader].applied.size(), 1u);
}

TEST(Raft, FollowerRejectsRequestsWithTheLeaderAsHint) {
    TestCluster cluster(3);
    EXPECT_TRUE(rejected_with(cluster.propose(1, 1, "a"), Error::NotLeader));
    EXPECT_TRUE(rejected_with(cluster.handle(1, ReadIndex{1}), Error::NotLeader));
    NodeId leader = cluster.elect();
    NodeId follower = leader == 1 ? 2 : 1;
    std::vector<Action> actions = cluster.propose(follower, 1, "a");
    ASSERT_NE(find_action<Rejected>(actions), nullptr);
    EXPECT_EQ(find_action<Rejected>(actions)->leader_hint, leader);
}

TEST(Raft, LeaderRejectsRequestsThatItCannotTake) {
    TestCluster cluster(3, [](Settings& settings) { settings.max_pending_requests = 2; });
    NodeId leader = cluster.elect();
    NodeId follower = leader == 1 ? 2 : 1;
    auto change = [&](std::uint64_t id, NodeId member, bool add) {
        return cluster.handle(leader, ChangeMembership{id, member, add, ""});
    };
    EXPECT_TRUE(rejected_with(change(1, follower, true), Error::UnknownMember));
    EXPECT_TRUE(rejected_with(change(1, 9, false), Error::UnknownMember));
    cluster.propose(leader, 1, "a");
    cluster.propose(leader, 2, "b");
    EXPECT_TRUE(rejected_with(cluster.propose(leader, 3, "c"), Error::Busy));
    cluster.settle();
    change(4, 4, true);
    EXPECT_TRUE(rejected_with(change(5, 5, true), Error::MembershipChanging));
    cluster.settle();
    EXPECT_TRUE(rejected_with(change(6, 5, true), Error::MembershipChanging)) << "4 is still a learner";
}

TEST(Raft, PendingProposalIsRejectedWhenTheLeaderLosesItsQuorum) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    cluster.propose(leader, 7, "d");
    for (NodeId id = 1; id <= 3; ++id)
        if (id != leader) cluster.unreachable.insert(id);
    std::vector<Action>& actions = cluster.servers[leader].actions;
    actions.clear();
    cluster.advance(Duration(3000));
    EXPECT_TRUE(rejected_with(actions, Error::LeadershipLost));
    EXPECT_NE(cluster.core(leader).role(), Role::Leader);
}

TEST(Raft, LastVoterCannotBeRemoved) {
    TestCluster cluster(1);
    cluster.advance(Duration(2500));
    EXPECT_TRUE(rejected_with(cluster.handle(1, ChangeMembership{1, 1, false, ""}), Error::LastVoter));
}

TEST(Raft, ErrorsHaveDistinctCodes) {
    std::set<std::string_view> codes;
    for (Error error : {Error::NotLeader, Error::Busy, Error::MembershipChanging, Error::LeadershipLost,
                        Error::UnknownMember, Error::LastVoter})
        codes.insert(row(error).code);
    EXPECT_EQ(codes.size(), 6u);
}

constexpr const char* kSnapshotState = "a state that takes several chunks of seven bytes";

/// Three servers with a snapshot that replaces their log, small chunks, and server 4 about to join.
TestCluster cluster_with_snapshot() {
    TestCluster cluster(3, [](Settings& settings) {
        settings.retained_log_bytes = 0;
        settings.snapshot_chunk_bytes = 7;
    });
    NodeId leader = cluster.elect();
    for (std::uint64_t i = 1; i <= 10; ++i) cluster.propose(leader, i, "x");
    cluster.settle();
    cluster.handle(leader, SnapshotTaken{cluster.core(leader).commit_index(), kSnapshotState});
    cluster.settle();
    cluster.handle(leader, ChangeMembership{99, 4, true, "there"});
    return cluster;
}

TEST(Raft, NewMemberIsALearnerUntilItHasCaughtUp) {
    TestCluster cluster = cluster_with_snapshot();
    NodeId leader = cluster.leader();
    EXPECT_FALSE(cluster.core(leader).members().back().voter);
    cluster.start(4, PersistentState{});
    EXPECT_EQ(cluster.core(4).role(), Role::Learner);
    cluster.advance(Duration(1000));
    EXPECT_TRUE(cluster.core(leader).members().back().voter);
    EXPECT_EQ(cluster.core(4).role(), Role::Follower);
    const auto* restored = find_action<RestoreSnapshot>(cluster.servers[4].actions);
    ASSERT_NE(restored, nullptr);
    EXPECT_EQ(restored->snapshot.state, kSnapshotState);
    EXPECT_EQ(cluster.core(4).members(), cluster.core(leader).members());
}

TEST(Raft, LeaderThatRemovesItselfIsReplaced) {
    TestCluster cluster = cluster_with_snapshot();
    NodeId leader = cluster.leader();
    cluster.start(4, PersistentState{});
    cluster.advance(Duration(1000));
    cluster.handle(leader, ChangeMembership{100, leader, false, ""});
    cluster.advance(Duration(5000));
    EXPECT_NE(cluster.leader(), leader);
    EXPECT_NE(cluster.leader(), 0u);
    EXPECT_EQ(cluster.core(cluster.leader()).members().size(), 3u);
    EXPECT_EQ(cluster.core(leader).role(), Role::Learner);
}

TEST(Raft, TransferMakesTheTargetLeaderOfTheNextTerm) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    NodeId target = leader % 3 + 1;
    std::uint64_t term = cluster.core(leader).term();
    cluster.propose(leader, 1, "a");
    cluster.handle(leader, TransferLeadership{target});
    EXPECT_TRUE(rejected_with(cluster.propose(leader, 2, "b"), Error::Busy));
    cluster.settle();
    EXPECT_EQ(cluster.leader(), target);
    EXPECT_EQ(cluster.core(target).term(), term + 1);
}

TEST(Raft, LeaderStepsDownBeforeItServesReadsAfterAPause) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    std::vector<TestCluster::InFlight> queued_responses;
    cluster.handle(leader, ReadIndex{5});
    while (!cluster.in_flight.empty()) {
        TestCluster::InFlight next = cluster.in_flight.front();
        cluster.in_flight.pop_front();
        if (next.to == leader)
            queued_responses.push_back(next);
        else
            cluster.handle(next.to, MessageReceived{next.from, next.message});
    }
    ASSERT_FALSE(queued_responses.empty());
    cluster.now += Duration(30'000);
    const TestCluster::InFlight& first = queued_responses[0];
    std::vector<Action> actions = cluster.handle(leader, MessageReceived{first.from, first.message});
    EXPECT_EQ(find_action<ReadReady>(actions), nullptr);
    EXPECT_TRUE(rejected_with(actions, Error::LeadershipLost));
    EXPECT_NE(cluster.core(leader).role(), Role::Leader);
}

TEST(Raft, ServerThatLostDataCountsOnlyOnceAllOthersHaveAcknowledged) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    NodeId recovering = leader % 3 + 1;
    NodeId other = recovering % 3 + 1;
    cluster.propose(leader, 1, "a");
    cluster.settle();
    cluster.unreachable.insert(other);
    PersistentState lost;
    lost.initial_members = TestCluster::voters(3);
    lost.trusted = false;
    cluster.start(recovering, lost);
    cluster.propose(leader, 2, "b");
    cluster.advance(Duration(600));
    EXPECT_EQ(cluster.core(recovering).last_index(), cluster.core(leader).last_index());
    EXPECT_FALSE(cluster.core(recovering).storage_trusted());
    EXPECT_EQ(cluster.servers[leader].applied.size(), 1u) << "it holds the entry and must not count";
    cluster.in_flight.clear();
    RequestVote request{cluster.core(recovering).term() + 1, 100, 100, false, true};
    std::vector<Action> actions = cluster.handle(recovering, MessageReceived{other, request});
    ASSERT_NE(find_action<SendMessage>(actions), nullptr);
    EXPECT_FALSE(std::get<RequestVoteResponse>(find_action<SendMessage>(actions)->message).vote_granted);
    cluster.unreachable.clear();
    cluster.advance(Duration(5000));
    EXPECT_TRUE(cluster.core(recovering).storage_trusted());
    bool stored = false;
    for (const Action& action : cluster.servers[recovering].actions)
        if (const auto* write = std::get_if<Write>(&action)) stored = stored || write->recovered;
    EXPECT_TRUE(stored);
}

TEST(Raft, FollowerWithAShortLogReportsItsEnd) {
    TestCluster cluster(3);
    std::vector<Entry> entries{{1, Entry::Kind::NoOp, ""}, {1, Entry::Kind::Data, "a"}};
    cluster.handle(1, MessageReceived{2, AppendEntries{1, 0, 0, 0, 1, entries}});
    cluster.settle();
    cluster.servers[1].actions.clear();
    cluster.handle(1, MessageReceived{2, AppendEntries{1, 3, 1, 0, 2, {}}});
    const auto* send = find_action<SendMessage>(cluster.servers[1].actions);
    ASSERT_NE(send, nullptr);
    EXPECT_FALSE(std::get<AppendEntriesResponse>(send->message).success);
    EXPECT_EQ(std::get<AppendEntriesResponse>(send->message).index, 3u);
}

TEST(Raft, ServerWhoseRemovalIsNotCommittedStillStartsElections) {
    TestCluster cluster(3);
    NodeId leader = cluster.elect();
    cluster.handle(leader, ChangeMembership{1, leader, false, ""});
    cluster.in_flight.clear();  // the removal reaches no other server
    PersistentState stored;
    stored.hard_state = {cluster.core(leader).term(), leader};
    stored.initial_members = TestCluster::voters(3);
    for (std::uint64_t i = 1; i <= cluster.core(leader).last_index(); ++i)
        stored.entries.push_back(cluster.core(leader).entry(i));
    cluster.start(leader, stored);
    cluster.advance(Duration(10'000));
    ASSERT_NE(cluster.leader(), 0u);
    EXPECT_NE(cluster.leader(), leader);
    Raft& successor = cluster.core(cluster.leader());
    EXPECT_EQ(successor.members().size(), 2u);
    EXPECT_LE(successor.membership_index(), successor.commit_index());
}

}  // namespace
}  // namespace ochrehub::raft
