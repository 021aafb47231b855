// The core by hand: elections, agreement, refusals, members, snapshots, reads, over a network that a test
// turns by itself.
#include "fleet/raft/raft.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>

namespace ochrehub::raft {
namespace {

struct Group {
    struct Keeper {
        std::unique_ptr<Raft> core;
        std::vector<Action> all;
        std::vector<ApplyEntry> applied;
        std::deque<std::uint64_t> writes;
        TimePoint wake{};
        bool slow_disk = false;
    };
    struct Flying {
        NodeId from, to;
        Message message;
    };
    std::map<NodeId, Keeper> keepers;
    std::deque<Flying> flying;
    std::set<NodeId> off;
    Duration now{0};
    std::function<Settings(Settings)> adjust = [](Settings s) { return s; };

    static Members members(NodeId count) {
        Members all;
        for (NodeId id = 1; id <= count; ++id) all.push_back({id, true, ""});
        return all;
    }
    void start(NodeId id, PersistentState disk) {
        Settings set;
        set.self = id;
        keepers[id].core = std::make_unique<Raft>(adjust(set), disk, id);
        keepers[id].writes.clear();
        happen(id, TimerFired{});
    }
    explicit Group(NodeId count, std::function<Settings(Settings)> a = nullptr) {
        if (a) adjust = a;
        for (NodeId id = 1; id <= count; ++id) {
            PersistentState disk;
            disk.initial_members = members(count);
            start(id, disk);
        }
    }
    Raft& at(NodeId id) { return *keepers.at(id).core; }
    std::vector<Action> happen(NodeId id, const Event& event) {
        Keeper& k = keepers.at(id);
        Actions actions;
        k.core->handle(TimePoint{now}, event, actions);
        std::vector<Action> all = actions;
        for (Action& action : actions) {
            if (auto* send = std::get_if<SendMessage>(&action)) {
                auto message = decode(encode(send->message));  // as it will be over a link
                EXPECT_TRUE(message);
                if (message) flying.push_back({id, send->to, *message});
            }
            if (auto* write = std::get_if<Write>(&action)) k.writes.push_back(write->number);
            if (auto* wake = std::get_if<SetTimer>(&action)) k.wake = wake->at;
            if (auto* applied = std::get_if<ApplyEntry>(&action)) k.applied.push_back(*applied);
            k.all.push_back(action);
        }
        return all;
    }
    /// Until nothing is under way.
    void settle() {
        for (bool any = true; any;) {
            any = false;
            for (auto& [id, k] : keepers)
                if (!k.slow_disk && !k.writes.empty() && !off.contains(id)) {
                    std::uint64_t number = k.writes.back();
                    k.writes.clear();
                    happen(id, WriteCompleted{number});
                    any = true;
                }
            if (flying.empty()) continue;
            any = true;
            Flying f = std::move(flying.front());
            flying.pop_front();
            if (!off.contains(f.from) && !off.contains(f.to) && keepers.contains(f.to))
                happen(f.to, MessageReceived{f.from, std::move(f.message)});
        }
    }
    void pass(Duration time) {
        TimePoint end{now + time};
        for (;;) {
            settle();
            NodeId next = 0;
            for (auto& [id, k] : keepers)
                if (!off.contains(id) && (next == 0 || k.wake < keepers[next].wake)) next = id;
            if (next == 0 || keepers[next].wake > end) break;
            now = std::max(now, keepers[next].wake.time_since_epoch());
            happen(next, TimerFired{});
        }
        now = std::max(now, end.time_since_epoch());
    }
    NodeId leader() {
        NodeId found = 0;
        for (auto& [id, k] : keepers)
            if (!off.contains(id) && k.core->role() == Role::Leader) found = id;
        return found;
    }
    void propose(NodeId to, std::uint64_t id, std::string data) { happen(to, Propose{id, std::move(data)}); }
};

template <class T>
const T* find(const std::vector<Action>& actions) {
    for (const Action& action : actions)
        if (auto* found = std::get_if<T>(&action)) return found;
    return nullptr;
}
bool refused(const std::vector<Action>& actions, Error error) {
    const Rejected* r = find<Rejected>(actions);
    return r && r->error == error;
}

TEST(Raft, OneOfThreeLeadsAndAllApplyTheSame) {
    Group g(3);
    g.pass(Duration(5000));
    NodeId l = g.leader();
    ASSERT_NE(l, 0u);
    for (int i = 1; i <= 100; ++i) g.propose(l, std::uint64_t(i), "x" + std::to_string(i));
    g.pass(Duration(300));
    for (auto& [id, k] : g.keepers) {
        ASSERT_EQ(k.applied.size(), 100u) << id;
        for (std::size_t i = 0; i < 100; ++i) {
            EXPECT_EQ(k.applied[i].data, "x" + std::to_string(i + 1));
            EXPECT_EQ(k.applied[i].id, id == l ? i + 1 : 0);
        }
    }
}

TEST(Raft, OneAloneLeads) {
    Group g(1);
    g.pass(Duration(2500));
    ASSERT_EQ(g.leader(), 1u);
    g.propose(1, 7, "a");
    g.settle();
    EXPECT_EQ(g.keepers[1].applied.size(), 1u);
    EXPECT_NE(find<ReadReady>(g.happen(1, ReadIndex{8})), nullptr);
}

TEST(Raft, NothingIsAppliedBeforeAMajorityHasWritten) {
    Group g(3);
    g.pass(Duration(5000));
    NodeId l = g.leader();
    for (auto& [id, k] : g.keepers) k.slow_disk = id != l;
    g.propose(l, 1, "a");
    g.settle();
    EXPECT_TRUE(g.keepers[l].applied.empty());
    for (auto& [id, k] : g.keepers) k.slow_disk = id == l;  // the others' suffice, the leader's own is late
    g.settle();
    EXPECT_EQ(g.keepers[l].applied.size(), 1u);
}

TEST(Raft, EachRefusalHasItsCause) {
    Group g(3, [](Settings s) { return s.max_pending_requests = 2, s; });
    EXPECT_TRUE(refused(g.happen(1, Propose{1, "a"}), Error::NotLeader));
    EXPECT_TRUE(refused(g.happen(1, ReadIndex{1}), Error::NotLeader));
    g.pass(Duration(5000));
    NodeId l = g.leader(), other = l == 1 ? 2 : 1;
    EXPECT_TRUE(refused(g.happen(l, ChangeMembership{1, other, true, ""}), Error::UnknownMember));
    EXPECT_TRUE(refused(g.happen(l, ChangeMembership{1, 9, false, ""}), Error::UnknownMember));
    auto known = g.happen(other, Propose{1, "a"});
    ASSERT_NE(find<Rejected>(known), nullptr);
    EXPECT_EQ(find<Rejected>(known)->leader_hint, l);
    g.happen(l, Propose{1, "a"});
    g.happen(l, Propose{2, "b"});
    EXPECT_TRUE(refused(g.happen(l, Propose{3, "c"}), Error::Busy));
    g.settle();
    g.happen(l, ChangeMembership{4, 4, true, ""});
    EXPECT_TRUE(refused(g.happen(l, ChangeMembership{5, 5, true, ""}), Error::MembershipChanging));
    g.settle();
    EXPECT_TRUE(
        refused(g.happen(l, ChangeMembership{6, 5, true, ""}), Error::MembershipChanging));  // 4 still learns
    g.happen(l, Propose{7, "d"});
    for (NodeId id = 1; id <= 3; ++id)
        if (id != l) g.off.insert(id);
    auto& all = g.keepers[l].all;
    all.clear();
    g.pass(Duration(3000));
    EXPECT_TRUE(refused(all, Error::LeadershipLost));
    EXPECT_NE(g.at(l).role(), Role::Leader);

    Group alone(1);
    alone.pass(Duration(2500));
    EXPECT_TRUE(refused(alone.happen(1, ChangeMembership{1, 1, false, ""}), Error::LastVoter));
    std::set<std::string_view> codes;
    for (Error e : {Error::NotLeader, Error::Busy, Error::MembershipChanging, Error::LeadershipLost,
                    Error::UnknownMember, Error::LastVoter})
        codes.insert(row(e).code);
    EXPECT_EQ(codes.size(), 6u);
}

TEST(Raft, ANewMemberLearnsFirstThenVotesAndOneIsTakenOut) {
    Group g(3, [](Settings s) { return s.retained_log_bytes = 0, s.snapshot_chunk_bytes = 7, s; });
    g.pass(Duration(5000));
    NodeId l = g.leader();
    for (int i = 1; i <= 10; ++i) g.propose(l, std::uint64_t(i), "x");
    g.settle();
    g.happen(l, SnapshotTaken{g.at(l).commit_index(), "a state of forty octets or a few more than that"});
    g.settle();
    g.happen(l, ChangeMembership{99, 4, true, "there"});
    EXPECT_FALSE(g.at(l).members().back().voter);
    g.start(4, PersistentState{});
    EXPECT_EQ(g.at(4).role(), Role::Learner);
    g.pass(Duration(1000));
    EXPECT_TRUE(g.at(l).members().back().voter);
    EXPECT_EQ(g.at(4).role(), Role::Follower);
    const RestoreSnapshot* restored = find<RestoreSnapshot>(g.keepers[4].all);
    ASSERT_NE(restored, nullptr);
    EXPECT_EQ(restored->snapshot.state, "a state of forty octets or a few more than that");
    EXPECT_EQ(g.at(4).members(), g.at(l).members());
    g.happen(l, ChangeMembership{100, l, false, ""});  // itself
    g.pass(Duration(5000));
    EXPECT_NE(g.leader(), l);
    EXPECT_NE(g.leader(), 0u);
    EXPECT_EQ(g.at(g.leader()).members().size(), 3u);
    EXPECT_EQ(g.at(l).role(), Role::Learner);
}

TEST(Raft, LeadershipIsHandedOver) {
    Group g(3);
    g.pass(Duration(5000));
    NodeId l = g.leader(), to = l % 3 + 1;
    std::uint64_t term = g.at(l).term();
    g.propose(l, 1, "a");
    g.happen(l, TransferLeadership{to});
    EXPECT_TRUE(refused(g.happen(l, Propose{2, "b"}), Error::Busy));
    g.settle();
    EXPECT_EQ(g.leader(), to);
    EXPECT_EQ(g.at(to).term(), term + 1);
}

TEST(Raft, ALeaderThatStoodStillAnswersNothingFromBefore) {
    Group g(3);
    g.pass(Duration(5000));
    NodeId l = g.leader();
    std::vector<Group::Flying> kept;
    g.happen(l, ReadIndex{5});
    while (!g.flying.empty()) {  // the others answer, and the answers lie in its socket
        Group::Flying f = g.flying.front();
        g.flying.pop_front();
        if (f.to == l)
            kept.push_back(f);
        else
            g.happen(f.to, MessageReceived{f.from, f.message});
    }
    ASSERT_FALSE(kept.empty());
    g.now += Duration(30'000);
    auto actions = g.happen(l, MessageReceived{kept[0].from, kept[0].message});
    EXPECT_EQ(find<ReadReady>(actions), nullptr);
    EXPECT_TRUE(refused(actions, Error::LeadershipLost));
    EXPECT_NE(g.at(l).role(), Role::Leader);
}

TEST(Raft, ADiskThatIsNotTrustedCountsOnlyOnceAllOthersHaveAnswered) {
    Group g(3);
    g.pass(Duration(5000));
    NodeId l = g.leader(), a = l % 3 + 1, b = a % 3 + 1;
    g.propose(l, 1, "a");
    g.settle();
    g.off.insert(b);
    PersistentState lost;
    lost.initial_members = Group::members(3);
    lost.trusted = false;
    g.start(a, lost);
    g.propose(l, 2, "b");
    g.pass(Duration(600));
    EXPECT_EQ(g.at(a).last_index(), g.at(l).last_index());
    EXPECT_FALSE(g.at(a).storage_trusted());
    EXPECT_EQ(g.keepers[l].applied.size(), 1u);  // it has it, and does not count
    g.flying.clear();
    auto asked = g.happen(a, MessageReceived{b, RequestVote{g.at(a).term() + 1, 100, 100, false, true}});
    ASSERT_NE(find<SendMessage>(asked), nullptr);
    EXPECT_FALSE(std::get<RequestVoteResponse>(find<SendMessage>(asked)->message).vote_granted);
    g.off.clear();
    g.pass(Duration(5000));
    EXPECT_TRUE(g.at(a).storage_trusted());
    bool told = false;
    for (const Action& action : g.keepers[a].all)
        if (auto* write = std::get_if<Write>(&action)) told = told || write->recovered;
    EXPECT_TRUE(told);
}

TEST(Raft, AFollowerOneEntryShortNamesItsEnd) {
    Group g(3);
    g.happen(1,
             MessageReceived{
                 2, AppendEntries{1, 0, 0, 0, 1, {{1, Entry::Kind::NoOp, ""}, {1, Entry::Kind::Data, "a"}}}});
    g.settle();
    g.keepers[1].all.clear();
    g.happen(1, MessageReceived{2, AppendEntries{1, 3, 1, 0, 2, {}}});
    const SendMessage* send = find<SendMessage>(g.keepers[1].all);
    ASSERT_NE(send, nullptr);
    EXPECT_FALSE(std::get<AppendEntriesResponse>(send->message).success);
    EXPECT_EQ(std::get<AppendEntriesResponse>(send->message).index, 3u);
}

TEST(Raft, OneThatHasTakenItselfOutStillLeadsUntilThatIsAgreedOn) {
    Group g(3);
    g.pass(Duration(5000));
    NodeId l = g.leader();
    g.happen(l, ChangeMembership{1, l, false, ""});
    g.flying.clear();  // nobody hears of it
    PersistentState disk;
    disk.hard_state = {g.at(l).term(), l};
    disk.initial_members = Group::members(3);
    for (std::uint64_t i = 1; i <= g.at(l).last_index(); ++i) disk.entries.push_back(g.at(l).entry(i));
    g.start(l, disk);
    g.pass(Duration(10'000));
    ASSERT_NE(g.leader(), 0u);
    EXPECT_NE(g.leader(), l);
    EXPECT_EQ(g.at(g.leader()).members().size(), 2u);
    EXPECT_LE(g.at(g.leader()).membership_index(), g.at(g.leader()).commit_index());
}

TEST(Raft, MessagesAreReadBackAsTheyWereSaid) {
    auto number = [] { return *rc::gen::inRange<std::uint64_t>(0, std::uint64_t(1) << 60); };
    auto octets = [] { return *rc::gen::container<std::string>(rc::gen::arbitrary<char>()); };
    auto members = [&] {
        Members all;
        for (NodeId id : *rc::gen::container<std::set<NodeId>>(rc::gen::inRange<NodeId>(1, 100)))
            all.push_back({id, *rc::gen::arbitrary<bool>(), std::to_string(id)});
        return all;
    };
    EXPECT_TRUE(rc::check([&] {
        bool a = *rc::gen::arbitrary<bool>(), b = *rc::gen::arbitrary<bool>();
        AppendEntries append{
            number(), number(), number(), number(), number(), {}, *rc::gen::arbitrary<std::uint64_t>()};
        for (int i = *rc::gen::inRange(0, 5); i > 0; --i)
            append.entries.push_back({number(), Entry::Kind::Data, octets()});
        append.entries.push_back({number(), Entry::Kind::Configuration, encode(members())});
        std::string part = octets();
        std::uint64_t offset = *rc::gen::inRange<std::uint64_t>(0, 1000);
        std::vector<Message> all{
            RequestVote{number(), number(), number(), a, b},
            RequestVoteResponse{number(), a, b},
            append,
            AppendEntriesResponse{number(), number(), a, number(), *rc::gen::arbitrary<std::uint64_t>()},
            InstallSnapshot{number(), number(), number(), number(), offset, offset + part.size() + 3,
                            members(), part},
            InstallSnapshotResponse{number(), number(), number(), number(), 7},
            TimeoutNow{number()}};
        for (const Message& m : all) {
            auto back = decode(encode(m));
            RC_ASSERT(back.has_value());
            RC_ASSERT(*back == m);
        }
        Members who = members();
        RC_ASSERT(decode_members(encode(who)) == who);
    }));
}

TEST(Raft, WhatIsNoMessageIsNotRead) {
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("nonsense"));
    std::string sound = encode(Message{AppendEntries{1, 2, 3, 4, 5, {{1, Entry::Kind::Data, "abc"}}}});
    for (std::size_t length = 0; length < sound.size(); ++length) {
        auto cut = decode(sound.substr(0, length));
        if (cut) {
            EXPECT_EQ(decode(encode(*cut)), cut);
        }
    }
    EXPECT_FALSE(
        decode(encode(Message{AppendEntries{1, 2, 3, 4, 5, {{1, Entry::Kind::Configuration, "\xff"}}}})));
    EXPECT_FALSE(decode(encode(Message{AppendEntries{std::uint64_t(1) << 60, 2, 3, 4, 5, {}}})));
    EXPECT_FALSE(decode(encode(Message{InstallSnapshot{1, 1, 1, 1, 5, 4, {}, ""}})));
    EXPECT_FALSE(
        decode(encode(Message{InstallSnapshot{1, 1, 1, 1, 0, 4, {{2, true, ""}, {2, true, ""}}, ""}})));
    EXPECT_FALSE(decode_members(encode(Members{{0, true, ""}})));
}

}  // namespace
}  // namespace ochrehub::raft
