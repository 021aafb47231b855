#include <raft.pb.h>

#include <algorithm>

#include "fleet/raft/message.h"

namespace ochrehub::raft {
namespace {

constexpr std::uint32_t kVersion = 1;

/// Terms, indices, rounds: what is beyond was counted by nobody, and one more of it must still be a number.
constexpr std::uint64_t kMost = std::uint64_t(1) << 60;
template <class... Numbers>
bool sane(Numbers... numbers) {
    return ((numbers < kMost) && ...);
}

template <class List>
void put(const Members& members, List& out) {
    for (const Member& member : members) {
        wire::Member& m = *out.Add();
        m.set_id(member.id);
        m.set_learner(!member.voter);
        m.set_address(member.address);
    }
}
/// False: a number is zero, out of order or there twice.
template <class List>
bool take(const List& list, Members& out) {
    for (const wire::Member& m : list) {
        if (m.id() == 0 || (!out.empty() && m.id() <= out.back().id)) return false;
        out.push_back({m.id(), !m.learner(), m.address()});
    }
    return true;
}

struct Put {
    wire::Message& out;

    void operator()(const RequestVote& m) const {
        wire::RequestVote& w = *out.mutable_request_vote();
        w.set_term(m.term), w.set_last_index(m.last_index), w.set_last_term(m.last_term);
        w.set_pre(m.pre), w.set_transfer(m.transfer);
    }
    void operator()(const RequestVoteResponse& m) const {
        wire::RequestVoteResponse& w = *out.mutable_request_vote_response();
        w.set_term(m.term), w.set_pre(m.pre), w.set_granted(m.granted);
    }
    void operator()(const AppendEntries& m) const {
        wire::AppendEntries& w = *out.mutable_append_entries();
        w.set_term(m.term), w.set_previous_index(m.previous_index), w.set_previous_term(m.previous_term);
        w.set_committed(m.committed), w.set_round(m.round), w.set_trusts(m.trusts);
        for (const Entry& entry : m.entries) {
            wire::Entry& e = *w.add_entries();
            e.set_term(entry.term), e.set_kind(std::uint32_t(entry.kind)), e.set_data(entry.data);
        }
    }
    void operator()(const AppendEntriesResponse& m) const {
        wire::AppendEntriesResponse& w = *out.mutable_append_entries_response();
        w.set_term(m.term), w.set_round(m.round), w.set_matches(m.matches), w.set_index(m.index),
            w.set_doubt(m.doubt);
    }
    void operator()(const InstallSnapshot& m) const {
        wire::InstallSnapshot& w = *out.mutable_install_snapshot();
        w.set_term(m.term), w.set_round(m.round), w.set_index(m.index), w.set_index_term(m.index_term);
        w.set_offset(m.offset), w.set_size(m.size), w.set_octets(m.octets);
        put(m.members, *w.mutable_members());
    }
    void operator()(const InstallSnapshotResponse& m) const {
        wire::InstallSnapshotResponse& w = *out.mutable_install_snapshot_response();
        w.set_term(m.term), w.set_round(m.round), w.set_index(m.index), w.set_next(m.next),
            w.set_doubt(m.doubt);
    }
    void operator()(const TimeoutNow& m) const { out.mutable_timeout_now()->set_term(m.term); }
};

std::optional<Message> take(const wire::AppendEntries& w) {
    if (!sane(w.term(), w.previous_index(), w.previous_term(), w.committed(), w.round())) return std::nullopt;
    AppendEntries m{w.term(), w.previous_index(), w.previous_term(), w.committed(), w.round(),
                    {},       w.trusts()};
    m.entries.reserve(std::size_t(w.entries_size()));
    for (const wire::Entry& e : w.entries()) {
        if (!sane(e.term()) || e.kind() > std::uint32_t(Entry::Kind::Configuration)) return std::nullopt;
        m.entries.push_back({e.term(), Entry::Kind(e.kind()), e.data()});
        if (m.entries.back().kind == Entry::Kind::Configuration && !decode_members(e.data()))
            return std::nullopt;
    }
    return m;
}

}  // namespace

std::string encode(const Message& message) {
    wire::Message out;
    out.set_version(kVersion);
    std::visit(Put{out}, message);
    return out.SerializeAsString();
}

std::optional<Message> decode(std::string_view octets) {
    wire::Message in;
    if (octets.size() > std::size_t(INT32_MAX) || !in.ParseFromArray(octets.data(), int(octets.size())))
        return std::nullopt;
    if (in.version() != kVersion) return std::nullopt;
    switch (in.what_case()) {
        case wire::Message::kRequestVote: {
            const wire::RequestVote& w = in.request_vote();
            if (!sane(w.term(), w.last_index(), w.last_term())) break;
            return RequestVote{w.term(), w.last_index(), w.last_term(), w.pre(), w.transfer()};
        }
        case wire::Message::kRequestVoteResponse:
            if (!sane(in.request_vote_response().term())) break;
            return RequestVoteResponse{in.request_vote_response().term(), in.request_vote_response().pre(),
                                       in.request_vote_response().granted()};
        case wire::Message::kAppendEntries:
            return take(in.append_entries());
        case wire::Message::kAppendEntriesResponse: {
            const wire::AppendEntriesResponse& w = in.append_entries_response();
            if (!sane(w.term(), w.round(), w.index())) break;
            return AppendEntriesResponse{w.term(), w.round(), w.matches(), w.index(), w.doubt()};
        }
        case wire::Message::kInstallSnapshot: {
            const wire::InstallSnapshot& w = in.install_snapshot();
            if (!sane(w.term(), w.round(), w.index(), w.index_term(), w.offset(), w.size())) break;
            InstallSnapshot m{w.term(),   w.round(), w.index(), w.index_term(),
                              w.offset(), w.size(),  {},        w.octets()};
            if (!take(w.members(), m.members) || m.offset > m.size || m.octets.size() > m.size - m.offset)
                return std::nullopt;
            return m;
        }
        case wire::Message::kInstallSnapshotResponse: {
            const wire::InstallSnapshotResponse& w = in.install_snapshot_response();
            if (!sane(w.term(), w.round(), w.index(), w.next())) break;
            return InstallSnapshotResponse{w.term(), w.round(), w.index(), w.next(), w.doubt()};
        }
        case wire::Message::kTimeoutNow:
            if (!sane(in.timeout_now().term())) break;
            return TimeoutNow{in.timeout_now().term()};
        case wire::Message::WHAT_NOT_SET:
            break;
    }
    return std::nullopt;
}

std::string encode(const Members& members) {
    wire::Members out;
    put(members, *out.mutable_members());
    return out.SerializeAsString();
}

std::optional<Members> decode_members(std::string_view octets) {
    wire::Members in;
    Members out;
    if (octets.size() > std::size_t(INT32_MAX) || !in.ParseFromArray(octets.data(), int(octets.size())))
        return std::nullopt;
    if (!take(in.members(), out)) return std::nullopt;
    return out;
}

}  // namespace ochrehub::raft
