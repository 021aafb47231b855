// The replicated log as one server has it in memory, durable or not: the entries after a snapshot, and the
// members that its configuration entries name. Not responsible for durability (write_queue.h) nor for what
// is committed. Not thread-safe; no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "fleet/raft/types.h"

namespace ochrehub::raft {

class RaftLog {
public:
    /// `first_index`: index of entries[0]. Entries that do not adjoin the snapshot are dropped.
    RaftLog(const Members& initial_members, const std::optional<Snapshot>& snapshot,
            std::uint64_t first_index, const std::vector<Entry>& entries);

    /// The last index that was compacted; entries after it are in memory.
    std::uint64_t base_index() const { return base_index_; }
    /// Equals base_index() where there are no entries.
    std::uint64_t last_index() const { return base_index_ + entries_.size(); }
    std::uint64_t last_term() const { return *term_at(last_index()); }
    /// From base_index() to last_index(); nothing elsewhere.
    std::optional<std::uint64_t> term_at(std::uint64_t index) const;
    /// `index`: above base_index(), up to last_index().
    const Entry& entry(std::uint64_t index) const { return entries_[std::size_t(index - base_index_ - 1)]; }
    /// The latest snapshot, taken or installed; null: none. It may reach beyond base_index().
    const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

    void append(Entry entry);
    /// Drops the entries from `from` on; above base_index().
    void truncate(std::uint64_t from);
    /// Records a snapshot of the state as of `index` and drops entries up to there, but for the last
    /// `retained_bytes` of them.
    void compact(std::uint64_t index, std::string state, std::size_t retained_bytes);
    /// Replaces the log up to the snapshot's index; all of it where it has no entry of that term there.
    void install(Snapshot snapshot);

    /// The members as of the last entry.
    const Members& members() const { return configurations_.rbegin()->second; }
    /// Index of the configuration entry that members() comes from; of the snapshot or zero where there is
    /// none.
    std::uint64_t membership_index() const { return configurations_.rbegin()->first; }
    /// The members as of `index`, which is not below base_index().
    const Members& members_at(std::uint64_t index) const {
        return std::prev(configurations_.upper_bound(index))->second;
    }
    /// Rises whenever members() may have changed.
    std::uint64_t membership_version() const { return membership_version_; }

private:
    void drop_up_to(std::uint64_t index);

    std::uint64_t base_index_ = 0;
    std::uint64_t base_term_ = 0;           ///< term of the entry at base_index_
    std::uint64_t membership_version_ = 0;  ///< see membership_version()
    std::deque<Entry> entries_;             ///< entries_[0] is at base_index_ + 1
    std::shared_ptr<const Snapshot> snapshot_;
    std::map<std::uint64_t, Members> configurations_;  ///< by index; never empty, none after last_index()
};

}  // namespace ochrehub::raft
