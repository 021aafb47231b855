#include "lab/raft/invariant_checker.h"

#include <algorithm>
#include <iterator>

#include "ochrehub/hash.h"

namespace ochrehub::lab {
namespace {

std::string server_name(raft::NodeId id) {
    return "server " + std::to_string(id);
}
std::string at_index(std::uint64_t index) {
    return " at index " + std::to_string(index);
}

}  // namespace

bool RaftInvariantChecker::LeaderLog::holds(std::uint64_t index, std::uint64_t term) const {
    if (index < first_index) return true;
    return index - first_index < terms.size() && terms[std::size_t(index - first_index)] == term;
}

const raft::Members& RaftInvariantChecker::members_at(std::uint64_t index) const {
    return std::prev(configurations_.upper_bound(index))->second;
}

void RaftInvariantChecker::report(const std::string& violation) {
    constexpr std::size_t kMaxViolations = 8;
    if (violations_.size() < kMaxViolations) violations_.push_back(violation);
}

void RaftInvariantChecker::on_start(raft::NodeId id) {
    commit_index_[id] = 0;
    last_applied_[id] = 0;
}

void RaftInvariantChecker::on_event(const ServerView& server, const raft::Actions& actions,
                                    const Disks& disks) {
    for (const raft::Action& action : actions)
        if (const auto* write = std::get_if<raft::Write>(&action)) check_write(server, *write);
    if (server.core->role() == raft::Role::Leader) check_leader(server);
    for (const raft::Action& action : actions)
        if (const auto* restore = std::get_if<raft::RestoreSnapshot>(&action))
            check_restore(server, restore->snapshot);
    check_commits(server, disks);
    for (const raft::Action& action : actions) {
        if (const auto* apply = std::get_if<raft::ApplyEntry>(&action))
            check_apply(server, *apply);
        else if (const auto* ready = std::get_if<raft::ReadReady>(&action))
            check_read(server, *ready);
        else if (const auto* rejected = std::get_if<raft::Rejected>(&action))
            close_request(rejected->id, "rejected");
        else if (const auto* send = std::get_if<raft::SendMessage>(&action))
            check_message(server, *send);
    }
}

void RaftInvariantChecker::close_request(std::uint64_t id, const char* how) {
    if (id != 0 && open_requests_.erase(id) == 0)
        report("request " + std::to_string(id) + " is " + how + " and is not open");
}

// ---- Logs and leaders

/// Leaders append only, and entries of one index and term are the same everywhere with the same predecessor.
void RaftInvariantChecker::check_write(const ServerView& server, const raft::Write& write) {
    if (write.truncate_from) {
        for (auto entry = committed_.lower_bound(*write.truncate_from); entry != committed_.end(); ++entry) {
            const auto& [index, known] = *entry;
            bool deleted = index > server.disk->snapshot_index() && server.disk->holds(index, known.term);
            if (!deleted) continue;
            report(server_name(server.id) + " deletes the committed entry" + at_index(index));
            break;
        }
    }
    std::uint64_t index = server.core->last_index() - write.append.size();
    std::uint64_t previous_term = server.core->term_at(index);
    for (const raft::Entry& entry : write.append) {
        ++index;
        SeenEntry seen{previous_term, entry.kind, entry.data};
        auto [known, first] = entries_.try_emplace({index, entry.term}, seen);
        if (!first && known->second != seen)
            report("logs do not match" + at_index(index) + " of term " + std::to_string(entry.term) +
                   ", on " + server_name(server.id));
        previous_term = entry.term;
    }
}

/// One leader a term, and it holds all that was committed in earlier terms.
void RaftInvariantChecker::check_leader(const ServerView& server) {
    const raft::Raft& core = *server.core;
    auto [place, first] = leaders_.try_emplace(core.term());
    LeaderLog& leader = place->second;
    if (!first) {
        if (leader.id != server.id)
            report("two leaders in term " + std::to_string(core.term()) + ": " + server_name(leader.id) +
                   " and " + server_name(server.id));
        return;
    }
    leader.id = server.id;
    leader.first_index = core.first_index();
    for (std::uint64_t i = core.first_index(); i <= core.last_index(); ++i)
        leader.terms.push_back(core.term_at(i));
    for (const auto& [index, entry] : committed_)
        if (entry.committed_in_term < core.term() && !leader.holds(index, entry.term))
            return report_incomplete_leader(core.term(), index);
}

void RaftInvariantChecker::report_incomplete_leader(std::uint64_t term, std::uint64_t index) {
    report(server_name(leaders_[term].id) + " leads term " + std::to_string(term) +
           " without the committed entry" + at_index(index));
}

// ---- Commitment and the state machine

/// A snapshot has the state and the members that were committed at its index, and no server goes back to one.
void RaftInvariantChecker::check_restore(const ServerView& server, const raft::Snapshot& snapshot) {
    std::uint64_t index = snapshot.last_included_index;
    std::string name = server_name(server.id);
    auto known = committed_.find(index);
    if (known == committed_.end() || known->second.term != snapshot.last_included_term)
        report(name + " restores a snapshot that was never committed" + at_index(index));
    else if (snapshot.members != members_at(index))
        report(name + " restores a snapshot with other members than were committed" + at_index(index));
    else if (state_hashes_[index] != hashed(snapshot.state))
        report(name + " restores a snapshot of another state" + at_index(index));
    if (index < last_applied_[server.id]) report(name + " goes back to a snapshot" + at_index(index));
    commit_index_[server.id] = std::max(commit_index_[server.id], index);
    last_applied_[server.id] = index;
}

void RaftInvariantChecker::check_commits(const ServerView& server, const Disks& disks) {
    const raft::Raft& core = *server.core;
    for (std::uint64_t i = commit_index_[server.id] + 1; i <= core.commit_index(); ++i) {
        if (i < core.first_index()) continue;  // by a snapshot: see check_restore
        const raft::Entry& entry = core.entry(i);
        auto known = committed_.find(i);
        if (known == committed_.end()) {
            commit(server, i, disks);
            continue;
        }
        if (known->second.term != entry.term || known->second.data != entry.data)
            report(server_name(server.id) + " commits another entry than was committed" + at_index(i));
    }
    commit_index_[server.id] = std::max(commit_index_[server.id], core.commit_index());
}

/// The first server to commit an entry: a majority of its voters holds it on disk, and so do later leaders.
void RaftInvariantChecker::commit(const ServerView& server, std::uint64_t index, const Disks& disks) {
    const raft::Raft& core = *server.core;
    const raft::Entry& entry = core.entry(index);
    std::size_t voters = 0;
    std::size_t durable = 0;
    for (const raft::Member& member : core.members()) {
        if (!member.voter) continue;
        ++voters;
        durable += is_durable(member, {index, entry.term}, disks);
    }
    if (durable * 2 <= voters)
        report(server_name(server.id) + " commits" + at_index(index) + " what only " +
               std::to_string(durable) + " of " + std::to_string(voters) + " voters hold on disk");
    for (auto later = leaders_.upper_bound(core.term()); later != leaders_.end(); ++later)
        if (!later->second.holds(index, entry.term)) report_incomplete_leader(later->first, index);
    committed_[index] = {entry.term, core.term(), entry.kind, entry.data};
    if (entry.kind == raft::Entry::Kind::Configuration)
        if (auto members = raft::decode_members(entry.data)) configurations_[index] = *members;
    if (entry.kind == raft::Entry::Kind::Data) state_.apply(entry.data);
    state_hashes_[index] = hashed(state_.snapshot());
}

bool RaftInvariantChecker::is_durable(const raft::Member& member, EntryId entry, const Disks& disks) {
    auto holds = [&](const VirtualDisk& disk) {
        return disk.durable().trusted && disk.holds(entry.index, entry.term);
    };
    auto disk = disks.find(member.id);
    if (disk != disks.end() && holds(*disk->second)) return true;
    const std::vector<VirtualDisk>& lost = lost_disks_[member.id];
    return std::any_of(lost.begin(), lost.end(), holds);
}

/// Each server applies all committed commands, once and in order.
void RaftInvariantChecker::check_apply(const ServerView& server, const raft::ApplyEntry& apply) {
    std::string name = server_name(server.id);
    std::uint64_t& last = last_applied_[server.id];
    if (apply.index <= last) report(name + " applies twice" + at_index(apply.index));
    for (std::uint64_t i = last + 1; i < apply.index; ++i) {
        auto skipped = committed_.find(i);
        if (skipped != committed_.end() && skipped->second.kind != raft::Entry::Kind::Data) continue;
        report(name + " skips a committed command" + at_index(i));
        break;
    }
    last = std::max(last, apply.index);
    auto known = committed_.find(apply.index);
    bool is_committed =
        known != committed_.end() && known->second.data == apply.data && known->second.term == apply.term;
    if (!is_committed) report(name + " applies what was not committed" + at_index(apply.index));
    if (apply.id != 0) close_request(apply.id, "applied");
}

void RaftInvariantChecker::check_read(const ServerView& server, const raft::ReadReady& ready) {
    auto request = open_requests_.find(ready.id);
    if (request != open_requests_.end() && ready.index < request->second)
        report(server_name(server.id) + " serves a read" + at_index(ready.index) + ", behind " +
               std::to_string(request->second) + " that was committed before the request");
    close_request(ready.id, "served");
}

// ---- Messages: nothing is acknowledged that is not on disk

void RaftInvariantChecker::check_message(const ServerView& server, const raft::SendMessage& send) {
    if (const auto* append = std::get_if<raft::AppendEntriesResponse>(&send.message)) {
        check_append_response(server, *append);
    } else if (const auto* chunk = std::get_if<raft::InstallSnapshot>(&send.message)) {
        snapshot_sizes_[chunk->last_included_index] = chunk->total_size;
    } else if (const auto* snapshot = std::get_if<raft::InstallSnapshotResponse>(&send.message)) {
        check_snapshot_response(server, *snapshot);
    } else if (const auto* vote = std::get_if<raft::RequestVoteResponse>(&send.message)) {
        if (vote->vote_granted && !vote->pre_vote) check_vote(server, send.to, vote->term);
    } else if (const auto* request = std::get_if<raft::RequestVote>(&send.message)) {
        if (!request->pre_vote) check_candidacy(server, request->term);
    }
}

void RaftInvariantChecker::check_append_response(const ServerView& server,
                                                 const raft::AppendEntriesResponse& response) {
    if (!response.success || response.index == 0) return;
    std::uint64_t term = server.core->term_at(response.index);
    bool missing = server.disk->last_index() < response.index ||
                   (term != 0 && !server.disk->holds(response.index, term));
    if (missing)
        report(server_name(server.id) + " acknowledges an entry that is not on its disk" +
               at_index(response.index));
}

void RaftInvariantChecker::check_snapshot_response(const ServerView& server,
                                                   const raft::InstallSnapshotResponse& response) {
    auto size = snapshot_sizes_.find(response.last_included_index);
    if (size == snapshot_sizes_.end() || size->second == 0) return;
    bool acknowledged = response.next_offset >= size->second;
    if (acknowledged && server.disk->last_index() < response.last_included_index)
        report(server_name(server.id) + " acknowledges a snapshot that is not on its disk" +
               at_index(response.last_included_index));
}

void RaftInvariantChecker::check_vote(const ServerView& server, raft::NodeId candidate, std::uint64_t term) {
    std::string name = server_name(server.id);
    auto vote = votes_.try_emplace({server.id, term}, candidate).first;
    if (vote->second != candidate) report(name + " votes twice in term " + std::to_string(term));
    if (server.disk->durable().hard_state != raft::HardState{term, candidate})
        report(name + " sends a vote that is not on its disk");
    if (!server.disk->durable().trusted) report(name + " votes with a disk that is not trusted");
}

void RaftInvariantChecker::check_candidacy(const ServerView& server, std::uint64_t term) {
    std::string name = server_name(server.id);
    auto vote = votes_.try_emplace({server.id, term}, server.id).first;
    if (vote->second != server.id)
        report(name + " votes twice in term " + std::to_string(term) + ", once for itself");
    if (!server.disk->durable().trusted) report(name + " requests votes with a disk that is not trusted");
}

}  // namespace ochrehub::lab
