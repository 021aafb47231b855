// The log as one keeper has it in memory, written or not yet: entries behind a snapshot, and who is a member
// by them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "fleet/raft/message.h"

namespace ochrehub::raft {

class Entries {
public:
    /// `first`: index of entries[0]. What does not join the snapshot is not taken.
    Entries(const Members& members, const std::optional<Snapshot>& snapshot, std::uint64_t first,
            const std::vector<Entry>& entries);

    std::uint64_t base() const { return base_; }  ///< the last that is no longer here
    std::uint64_t last() const { return base_ + entries_.size(); }
    std::uint64_t last_term() const { return *term(last()); }
    /// Nothing: it is not here, and not the last before those that are.
    std::optional<std::uint64_t> term(std::uint64_t index) const;
    const Entry& at(std::uint64_t index) const { return entries_[std::size_t(index - base_ - 1)]; }
    const std::shared_ptr<const Snapshot>& snapshot() const { return snapshot_; }

    void append(Entry entry);
    void cut(std::uint64_t from);
    /// The state as of this index is known; up to `kept` octets of the entries up to there stay.
    void compact(std::uint64_t index, std::string state, std::size_t kept);
    /// Takes the place of all up to its index; of everything, where the log has another entry there, or none.
    void reset(Snapshot snapshot);

    const Members& members() const { return members_.rbegin()->second; }
    std::uint64_t membership_index() const {
        return members_.rbegin()->first;
    }  ///< index of the entry that says so; or the base
    const Members& members_at(std::uint64_t index) const {
        return std::prev(members_.upper_bound(index))->second;
    }
    std::uint64_t changes() const { return changes_; }  ///< rises whenever members may be others

private:
    void drop_to(std::uint64_t index);

    std::uint64_t base_ = 0, base_term_ = 0, changes_ = 0;
    std::deque<Entry> entries_;
    std::shared_ptr<const Snapshot> snapshot_;
    std::map<std::uint64_t, Members> members_;
};

}  // namespace ochrehub::raft
