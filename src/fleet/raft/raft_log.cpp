#include "fleet/raft/raft_log.h"

#include <utility>

#include "fleet/raft/message.h"

namespace ochrehub::raft {

RaftLog::RaftLog(const Members& initial_members, const std::optional<Snapshot>& snapshot,
                 std::uint64_t first_index, const std::vector<Entry>& entries) {
    configurations_[0] = initial_members;
    if (snapshot) install(*snapshot);
    if (first_index == 0 || first_index > base_index_ + 1) return;
    for (std::size_t i = std::size_t(base_index_ + 1 - first_index); i < entries.size(); ++i)
        append(entries[i]);
}

std::optional<std::uint64_t> RaftLog::term_at(std::uint64_t index) const {
    if (index == base_index_) return base_term_;
    if (index < base_index_ || index > last_index()) return std::nullopt;
    return entry(index).term;
}

void RaftLog::append(Entry entry) {
    if (entry.kind == Entry::Kind::Configuration) {
        if (std::optional<Members> members = decode_members(entry.data)) {
            configurations_[last_index() + 1] = std::move(*members);
            ++membership_version_;
        }
    }
    entries_.push_back(std::move(entry));
}

void RaftLog::truncate(std::uint64_t from) {
    if (from > last_index()) return;
    entries_.erase(entries_.begin() + std::ptrdiff_t(from - base_index_ - 1), entries_.end());
    auto first_dropped = configurations_.lower_bound(from);
    if (first_dropped == configurations_.end()) return;
    configurations_.erase(first_dropped, configurations_.end());
    ++membership_version_;
}

void RaftLog::drop_up_to(std::uint64_t index) {
    Members members = members_at(index);
    base_term_ = *term_at(index);
    entries_.erase(entries_.begin(), entries_.begin() + std::ptrdiff_t(index - base_index_));
    base_index_ = index;
    configurations_.erase(configurations_.begin(), configurations_.upper_bound(index));
    configurations_[index] = std::move(members);
}

void RaftLog::compact(std::uint64_t index, std::string state, std::size_t retained_bytes) {
    Snapshot snapshot{index, *term_at(index), members_at(index), std::move(state)};
    snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
    std::uint64_t drop_to = index;
    std::size_t bytes = 0;
    for (; drop_to > base_index_; --drop_to) {
        bytes += entry(drop_to).data.size() + sizeof(Entry);
        if (bytes > retained_bytes) break;
    }
    drop_up_to(drop_to);
}

void RaftLog::install(Snapshot snapshot) {
    std::uint64_t index = snapshot.last_included_index;
    if (index > base_index_ && term_at(index) == snapshot.last_included_term) {
        drop_up_to(index);
    } else {
        entries_.clear();
        configurations_.clear();
        base_index_ = index;
        base_term_ = snapshot.last_included_term;
    }
    configurations_[base_index_] = snapshot.members;
    ++membership_version_;
    snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
}

}  // namespace ochrehub::raft
