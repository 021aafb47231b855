#include "lab/raft/judge.h"

#include <algorithm>
#include <sstream>

#include "lab/raft/history.h"
#include "ochrehub/hash.h"

namespace ochrehub::lab {

using namespace raft;
using raft::Action, raft::Actions, raft::Event, raft::Settings, raft::TimerFired;  // and not the module's

// ---- Registers

std::string Registers::command(char kind, const std::string& key, const std::string& value,
                               const std::string& expected) {
    return std::string(1, kind) + ' ' + key + ' ' + value + ' ' + expected;
}

std::string Registers::apply(const std::string& command) {
    std::istringstream in(command);
    std::string kind, key, value, expected;
    in >> kind >> key >> value >> expected;
    Call::Kind k = kind == "w" ? Call::Kind::Write : kind == "c" ? Call::Kind::Cas : Call::Kind::Append;
    return apply_call(k, value, expected, values_[key]);
}

std::string Registers::read(const std::string& key) const {
    auto found = values_.find(key);
    return found == values_.end() ? std::string() : found->second;
}

std::string Registers::snapshot() const {
    std::string out;
    for (const auto& [key, value] : values_) out += key + ' ' + value + '\n';
    return out;
}

void Registers::restore(const std::string& snapshot) {
    values_.clear();
    std::istringstream in(snapshot);
    for (std::string line; std::getline(in, line);) {
        std::size_t blank = line.find(' ');
        values_[line.substr(0, blank)] = line.substr(blank + 1);
    }
}

// ---- Judge

namespace {

std::string who(NodeId id) {
    return "keeper " + std::to_string(id);
}
std::string at(std::uint64_t index) {
    return " at index " + std::to_string(index);
}

}  // namespace

void Judge::started(NodeId id) {
    committed_[id] = 0;
    applied_[id] = 0;
}

void Judge::after(const Side& side, const Actions& actions, const Disks& disks) {
    for (const Action& action : actions)
        if (const auto* write = std::get_if<Write>(&action)) appended(side, *write);
    if (side.core->role() == Role::Leader) led(side);
    for (const Action& action : actions)
        if (const auto* restore = std::get_if<RestoreSnapshot>(&action)) {
            const Snapshot& s = restore->snapshot;
            auto known = agreed_.find(s.last_included_index);
            if (known == agreed_.end() || known->second.term != s.last_included_term)
                fault(who(side.id) + " takes a snapshot of what was never agreed on" +
                      at(s.last_included_index));
            else if (s.members != members_at(s.last_included_index))
                fault(who(side.id) + " takes a snapshot with other members than were agreed on" +
                      at(s.last_included_index));
            else if (states_[s.last_included_index] != hashed(s.state))
                fault(who(side.id) + " takes a snapshot of another state" + at(s.last_included_index));
            if (s.last_included_index < applied_[side.id])
                fault(who(side.id) + " goes back to a snapshot" + at(s.last_included_index));
            committed_[side.id] = std::max(committed_[side.id], s.last_included_index);
            applied_[side.id] = s.last_included_index;
        }
    committed(side, disks);
    for (const Action& action : actions) {
        if (const auto* applied = std::get_if<ApplyEntry>(&action)) {
            std::uint64_t& last = applied_[side.id];
            if (applied->index <= last) fault(who(side.id) + " applies twice" + at(applied->index));
            for (std::uint64_t i = last + 1; i < applied->index; ++i)
                if (auto e = agreed_.find(i); e == agreed_.end() || e->second.kind == Entry::Kind::Data) {
                    fault(who(side.id) + " leaves out what was agreed on" + at(i));
                    break;
                }
            last = std::max(last, applied->index);
            auto e = agreed_.find(applied->index);
            if (e == agreed_.end() || e->second.data != applied->data || e->second.term != applied->term)
                fault(who(side.id) + " applies what was not agreed on" + at(applied->index));
            if (applied->id != 0) answered(applied->id, "applied");
        } else if (const auto* ready = std::get_if<ReadReady>(&action)) {
            auto asked = open_.find(ready->id);
            if (asked != open_.end() && ready->index < asked->second)
                fault(who(side.id) + " answers a read" + at(ready->index) + ", behind " +
                      std::to_string(asked->second) + " that had been agreed on");
            answered(ready->id, "read");
        } else if (const auto* rejected = std::get_if<Rejected>(&action)) {
            answered(rejected->id, "refused");
        } else if (const auto* send = std::get_if<SendMessage>(&action)) {
            sent(side, *send);
        }
    }
}

void Judge::answered(std::uint64_t id, const char* how) {
    if (id != 0 && open_.erase(id) == 0)
        fault("call " + std::to_string(id) + " is " + how + " that is not open");
}

void Judge::appended(const Side& side, const Write& write) {
    if (write.truncate_from) {
        auto known = agreed_.lower_bound(*write.truncate_from);
        for (; known != agreed_.end(); ++known)
            if (known->first > side.disk->covered() && side.disk->has(known->first, known->second.term)) {
                fault(who(side.id) + " cuts what was agreed on" + at(known->first));
                break;
            }
    }
    std::uint64_t index = side.core->last_index() - write.append.size();
    std::uint64_t previous = side.core->term_at(index);
    for (const Entry& entry : write.append) {
        ++index;
        auto [seen, first] =
            entries_.try_emplace({index, entry.term}, Seen{previous, entry.kind, entry.data});
        if (!first && (seen->second.previous_term != previous || seen->second.kind != entry.kind ||
                       seen->second.data != entry.data))
            fault("logs do not match" + at(index) + " of term " + std::to_string(entry.term) + ", at " +
                  who(side.id));
        previous = entry.term;
    }
}

void Judge::led(const Side& side) {
    const Raft& core = *side.core;
    auto [place, first] = leaders_.try_emplace(core.term());
    Leader& leader = place->second;
    if (!first) {
        if (leader.id != side.id)
            fault("two leaders in term " + std::to_string(core.term()) + ": " + who(leader.id) + " and " +
                  who(side.id));
        return;
    }
    leader.id = side.id;
    leader.first = core.first_index();
    for (std::uint64_t i = core.first_index(); i <= core.last_index(); ++i)
        leader.terms.push_back(core.term_at(i));
    for (const auto& [index, known] : agreed_)
        if (known.by_term < core.term() && !leader.has(index, known.term)) return lacks(core.term(), index);
}

void Judge::lacks(std::uint64_t term, std::uint64_t index) {
    fault(who(leaders_[term].id) + " leads term " + std::to_string(term) + " without what was agreed on" +
          at(index));
}

void Judge::committed(const Side& side, const Disks& disks) {
    const Raft& core = *side.core;
    for (std::uint64_t i = committed_[side.id] + 1; i <= core.commit_index(); ++i) {
        if (i < core.first_index()) continue;  // by a snapshot, which was looked at
        const Entry& entry = core.entry(i);
        auto known = agreed_.find(i);
        if (known != agreed_.end()) {
            if (known->second.term != entry.term || known->second.data != entry.data)
                fault(who(side.id) + " holds for agreed on what is not what was agreed on" + at(i));
            continue;
        }
        std::size_t voters = 0, have = 0;
        for (const Member& member : core.members()) {
            if (!member.voter) continue;
            ++voters;
            auto disk = disks.find(member.id);
            bool has =
                disk != disks.end() && disk->second->there().trusted && disk->second->has(i, entry.term);
            for (const VirtualDisk& before : lost_[member.id])
                has = has || (before.there().trusted && before.has(i, entry.term));
            have += has;
        }
        if (have * 2 <= voters)
            fault(who(side.id) + " holds for agreed on" + at(i) + " what " + std::to_string(have) + " of " +
                  std::to_string(voters) + " have on their disks");
        for (auto later = leaders_.upper_bound(core.term()); later != leaders_.end(); ++later)
            if (!later->second.has(i, entry.term)) lacks(later->first, i);
        agreed_[i] = {entry.term, core.term(), entry.kind, entry.data};
        if (entry.kind == Entry::Kind::Configuration)
            if (auto members = decode_members(entry.data)) members_[i] = *members;
        if (entry.kind == Entry::Kind::Data) state_.apply(entry.data);
        states_[i] = hashed(state_.snapshot());
    }
    committed_[side.id] = std::max(committed_[side.id], core.commit_index());
}

void Judge::sent(const Side& side, const SendMessage& send) {
    if (const auto* m = std::get_if<AppendEntriesResponse>(&send.message); m && m->success) {
        std::uint64_t term = side.core->term_at(m->index);
        if (m->index > 0 && (side.disk->last() < m->index || (term != 0 && !side.disk->has(m->index, term))))
            fault(who(side.id) + " says that it has what is not on its disk" + at(m->index));
    } else if (const auto* piece = std::get_if<InstallSnapshot>(&send.message)) {
        sizes_[piece->last_included_index] = piece->total_size;
    } else if (const auto* taken = std::get_if<InstallSnapshotResponse>(&send.message)) {
        auto size = sizes_.find(taken->last_included_index);
        if (size != sizes_.end() && taken->next_offset >= size->second && size->second > 0 &&
            side.disk->last() < taken->last_included_index)
            fault(who(side.id) + " says that it has a snapshot that is not on its disk" + at(taken->last_included_index));
    } else if (const auto* vote = std::get_if<RequestVoteResponse>(&send.message);
               vote && vote->vote_granted && !vote->pre_vote) {
        auto given = votes_.try_emplace({side.id, vote->term}, send.to).first;
        if (given->second != send.to)
            fault(who(side.id) + " votes twice in term " + std::to_string(vote->term));
        if (side.disk->there().hard_state != raft::HardState{vote->term, send.to})
            fault(who(side.id) + " gives a vote that is not on its disk");
        if (!side.disk->there().trusted) fault(who(side.id) + " votes with a disk that is not trusted");
    } else if (const auto* ask = std::get_if<RequestVote>(&send.message); ask && !ask->pre_vote) {
        auto given = votes_.try_emplace({side.id, ask->term}, side.id).first;
        if (given->second != side.id)
            fault(who(side.id) + " votes twice in term " + std::to_string(ask->term) + ", once for itself");
        if (!side.disk->there().trusted)
            fault(who(side.id) + " asks for votes with a disk that is not trusted");
    }
}

}  // namespace ochrehub::lab
