#include <raft.pb.h>

#include <algorithm>
#include <limits>

#include "fleet/raft/message.h"

namespace ochrehub::raft {
namespace {

constexpr std::uint32_t kProtocolVersion = 1;

/// Terms, indices, rounds and offsets stay below this, so that adding to one cannot overflow.
constexpr std::uint64_t kNumberLimit = std::uint64_t(1) << 60;

template <class... Numbers>
bool within_limit(Numbers... numbers) {
    return ((numbers < kNumberLimit) && ...);
}

template <class WireMessage>
bool parse(std::string_view bytes, WireMessage& out) {
    constexpr std::size_t kMaxParseBytes = std::numeric_limits<std::int32_t>::max();
    return bytes.size() <= kMaxParseBytes && out.ParseFromArray(bytes.data(), int(bytes.size()));
}

template <class List>
void encode_members_into(const Members& members, List& out) {
    for (const Member& member : members) {
        wire::Member& encoded = *out.Add();
        encoded.set_id(member.id);
        encoded.set_learner(!member.voter);
        encoded.set_address(member.address);
    }
}

template <class List>
std::optional<Members> decode_members_from(const List& list) {
    Members members;
    for (const wire::Member& encoded : list) {
        bool ascending = members.empty() || encoded.id() > members.back().id;
        if (encoded.id() == 0 || !ascending) return std::nullopt;
        members.push_back({encoded.id(), !encoded.learner(), encoded.address()});
    }
    return members;
}

// ---- Encoding

struct Encoder {
    wire::Message& out;

    void operator()(const RequestVote& request) const {
        wire::RequestVote& encoded = *out.mutable_request_vote();
        encoded.set_term(request.term);
        encoded.set_last_log_index(request.last_log_index);
        encoded.set_last_log_term(request.last_log_term);
        encoded.set_pre_vote(request.pre_vote);
        encoded.set_leadership_transfer(request.leadership_transfer);
    }
    void operator()(const RequestVoteResponse& response) const {
        wire::RequestVoteResponse& encoded = *out.mutable_request_vote_response();
        encoded.set_term(response.term);
        encoded.set_pre_vote(response.pre_vote);
        encoded.set_vote_granted(response.vote_granted);
    }
    void operator()(const AppendEntries& request) const {
        wire::AppendEntries& encoded = *out.mutable_append_entries();
        encoded.set_term(request.term);
        encoded.set_prev_log_index(request.prev_log_index);
        encoded.set_prev_log_term(request.prev_log_term);
        encoded.set_leader_commit(request.leader_commit);
        encoded.set_round(request.round);
        encoded.set_completed_recovery_id(request.completed_recovery_id);
        for (const Entry& entry : request.entries) {
            wire::Entry& encoded_entry = *encoded.add_entries();
            encoded_entry.set_term(entry.term);
            encoded_entry.set_kind(std::uint32_t(entry.kind));
            encoded_entry.set_data(entry.data);
        }
    }
    void operator()(const AppendEntriesResponse& response) const {
        wire::AppendEntriesResponse& encoded = *out.mutable_append_entries_response();
        encoded.set_term(response.term);
        encoded.set_round(response.round);
        encoded.set_success(response.success);
        encoded.set_index(response.index);
        encoded.set_recovery_id(response.recovery_id);
    }
    void operator()(const InstallSnapshot& request) const {
        wire::InstallSnapshot& encoded = *out.mutable_install_snapshot();
        encoded.set_term(request.term);
        encoded.set_round(request.round);
        encoded.set_last_included_index(request.last_included_index);
        encoded.set_last_included_term(request.last_included_term);
        encoded.set_offset(request.offset);
        encoded.set_total_size(request.total_size);
        encoded.set_data(request.data);
        encode_members_into(request.members, *encoded.mutable_members());
    }
    void operator()(const InstallSnapshotResponse& response) const {
        wire::InstallSnapshotResponse& encoded = *out.mutable_install_snapshot_response();
        encoded.set_term(response.term);
        encoded.set_round(response.round);
        encoded.set_last_included_index(response.last_included_index);
        encoded.set_next_offset(response.next_offset);
        encoded.set_recovery_id(response.recovery_id);
    }
    void operator()(const TimeoutNow& request) const { out.mutable_timeout_now()->set_term(request.term); }
};

// ---- Decoding: nothing where a field is out of range

std::optional<Message> decode_body(const wire::RequestVote& in) {
    if (!within_limit(in.term(), in.last_log_index(), in.last_log_term())) return std::nullopt;
    return RequestVote{in.term(), in.last_log_index(), in.last_log_term(), in.pre_vote(),
                       in.leadership_transfer()};
}

std::optional<Message> decode_body(const wire::RequestVoteResponse& in) {
    if (!within_limit(in.term())) return std::nullopt;
    return RequestVoteResponse{in.term(), in.pre_vote(), in.vote_granted()};
}

std::optional<Entry> decode_entry(const wire::Entry& in) {
    if (!within_limit(in.term()) || in.kind() > std::uint32_t(Entry::Kind::Configuration))
        return std::nullopt;
    Entry entry{in.term(), Entry::Kind(in.kind()), in.data()};
    if (entry.kind == Entry::Kind::Configuration && !decode_members(entry.data)) return std::nullopt;
    return entry;
}

std::optional<Message> decode_body(const wire::AppendEntries& in) {
    if (!within_limit(in.term(), in.prev_log_index(), in.prev_log_term(), in.leader_commit(), in.round()))
        return std::nullopt;
    AppendEntries request;
    request.term = in.term();
    request.prev_log_index = in.prev_log_index();
    request.prev_log_term = in.prev_log_term();
    request.leader_commit = in.leader_commit();
    request.round = in.round();
    request.completed_recovery_id = in.completed_recovery_id();
    request.entries.reserve(std::size_t(in.entries_size()));
    for (const wire::Entry& encoded : in.entries()) {
        std::optional<Entry> entry = decode_entry(encoded);
        if (!entry) return std::nullopt;
        request.entries.push_back(std::move(*entry));
    }
    return request;
}

std::optional<Message> decode_body(const wire::AppendEntriesResponse& in) {
    if (!within_limit(in.term(), in.round(), in.index())) return std::nullopt;
    return AppendEntriesResponse{in.term(), in.round(), in.success(), in.index(), in.recovery_id()};
}

std::optional<Message> decode_body(const wire::InstallSnapshot& in) {
    if (!within_limit(in.term(), in.round(), in.last_included_index(), in.last_included_term(), in.offset(),
                      in.total_size()))
        return std::nullopt;
    if (in.offset() > in.total_size() || in.data().size() > in.total_size() - in.offset())
        return std::nullopt;
    std::optional<Members> members = decode_members_from(in.members());
    if (!members) return std::nullopt;
    InstallSnapshot request;
    request.term = in.term();
    request.round = in.round();
    request.last_included_index = in.last_included_index();
    request.last_included_term = in.last_included_term();
    request.offset = in.offset();
    request.total_size = in.total_size();
    request.members = std::move(*members);
    request.data = in.data();
    return request;
}

std::optional<Message> decode_body(const wire::InstallSnapshotResponse& in) {
    if (!within_limit(in.term(), in.round(), in.last_included_index(), in.next_offset())) return std::nullopt;
    return InstallSnapshotResponse{in.term(), in.round(), in.last_included_index(), in.next_offset(),
                                   in.recovery_id()};
}

std::optional<Message> decode_body(const wire::TimeoutNow& in) {
    if (!within_limit(in.term())) return std::nullopt;
    return TimeoutNow{in.term()};
}

}  // namespace

std::string encode(const Message& message) {
    wire::Message out;
    out.set_version(kProtocolVersion);
    std::visit(Encoder{out}, message);
    return out.SerializeAsString();
}

std::optional<Message> decode(std::string_view bytes) {
    wire::Message in;
    if (!parse(bytes, in) || in.version() != kProtocolVersion) return std::nullopt;
    switch (in.body_case()) {
        case wire::Message::kRequestVote:
            return decode_body(in.request_vote());
        case wire::Message::kRequestVoteResponse:
            return decode_body(in.request_vote_response());
        case wire::Message::kAppendEntries:
            return decode_body(in.append_entries());
        case wire::Message::kAppendEntriesResponse:
            return decode_body(in.append_entries_response());
        case wire::Message::kInstallSnapshot:
            return decode_body(in.install_snapshot());
        case wire::Message::kInstallSnapshotResponse:
            return decode_body(in.install_snapshot_response());
        case wire::Message::kTimeoutNow:
            return decode_body(in.timeout_now());
        case wire::Message::BODY_NOT_SET:
            break;
    }
    return std::nullopt;
}

std::string encode(const Members& members) {
    wire::Members out;
    encode_members_into(members, *out.mutable_members());
    return out.SerializeAsString();
}

std::optional<Members> decode_members(std::string_view bytes) {
    wire::Members in;
    if (!parse(bytes, in)) return std::nullopt;
    return decode_members_from(in.members());
}

}  // namespace ochrehub::raft
