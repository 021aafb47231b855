// The encoding of messages between servers of a consensus group.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <set>
#include <string>
#include <vector>

#include "fleet/raft/message.h"

namespace ochrehub::raft {
namespace {

std::uint64_t any_number() {
    return *rc::gen::inRange<std::uint64_t>(0, std::uint64_t(1) << 60);
}

std::string any_bytes() {
    return *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

Members any_members() {
    Members members;
    for (NodeId id : *rc::gen::container<std::set<NodeId>>(rc::gen::inRange<NodeId>(1, 100)))
        members.push_back({id, *rc::gen::arbitrary<bool>(), std::to_string(id)});
    return members;
}

AppendEntries any_append_entries() {
    AppendEntries request;
    request.term = any_number();
    request.prev_log_index = any_number();
    request.prev_log_term = any_number();
    request.leader_commit = any_number();
    request.round = any_number();
    request.completed_recovery_id = *rc::gen::arbitrary<std::uint64_t>();
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i)
        request.entries.push_back({any_number(), Entry::Kind::Data, any_bytes()});
    request.entries.push_back({any_number(), Entry::Kind::Configuration, encode(any_members())});
    return request;
}

InstallSnapshot any_install_snapshot() {
    constexpr std::uint64_t kBytesAfterChunk = 3;
    InstallSnapshot request;
    request.term = any_number();
    request.round = any_number();
    request.last_included_index = any_number();
    request.last_included_term = any_number();
    request.offset = *rc::gen::inRange<std::uint64_t>(0, 1000);
    request.members = any_members();
    request.data = any_bytes();
    request.total_size = request.offset + request.data.size() + kBytesAfterChunk;
    return request;
}

TEST(RaftCodec, MessagesRoundTrip) {
    EXPECT_TRUE(rc::check([] {
        bool flag = *rc::gen::arbitrary<bool>();
        bool other_flag = *rc::gen::arbitrary<bool>();
        auto recovery_id = *rc::gen::arbitrary<std::uint64_t>();
        std::vector<Message> messages{
            RequestVote{any_number(), any_number(), any_number(), flag, other_flag},
            RequestVoteResponse{any_number(), flag, other_flag},
            any_append_entries(),
            AppendEntriesResponse{any_number(), any_number(), flag, any_number(), recovery_id},
            any_install_snapshot(),
            InstallSnapshotResponse{any_number(), any_number(), any_number(), any_number(), 7},
            TimeoutNow{any_number()}};
        for (const Message& message : messages) {
            std::optional<Message> decoded = decode(encode(message));
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(*decoded == message);
        }
        Members members = any_members();
        RC_ASSERT(decode_members(encode(members)) == members);
    }));
}

TEST(RaftCodec, MalformedBytesAreRejected) {
    EXPECT_FALSE(decode(""));
    EXPECT_FALSE(decode("nonsense"));
    EXPECT_FALSE(
        decode(encode(Message{AppendEntries{1, 2, 3, 4, 5, {{1, Entry::Kind::Configuration, "\xff"}}}})));
    EXPECT_FALSE(decode(encode(Message{AppendEntries{std::uint64_t(1) << 60, 2, 3, 4, 5, {}}})));
    EXPECT_FALSE(decode(encode(Message{InstallSnapshot{1, 1, 1, 1, 5, 4, {}, ""}})));
    Members repeated{{2, true, ""}, {2, true, ""}};
    EXPECT_FALSE(decode(encode(Message{InstallSnapshot{1, 1, 1, 1, 0, 4, repeated, ""}})));
    EXPECT_FALSE(decode_members(encode(Members{{0, true, ""}})));
}

TEST(RaftCodec, TruncatedMessageIsRejectedOrReadAsAnotherWellFormedOne) {
    std::string whole = encode(Message{AppendEntries{1, 2, 3, 4, 5, {{1, Entry::Kind::Data, "abc"}}}});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        std::optional<Message> decoded = decode(whole.substr(0, length));
        if (decoded) {
            EXPECT_EQ(decode(encode(*decoded)), decoded);
        }
    }
}

}  // namespace
}  // namespace ochrehub::raft
