// A keeper's disk in virtual time: what was synced stays, of the rest a crash keeps any beginning.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/raft/raft.h"

namespace ochrehub::lab {

class VirtualDisk {
public:
    void write(const raft::Write& w) {
        if (w.hard_state) open_.push_back({w.number, *w.hard_state});
        if (w.truncate_from) open_.push_back({w.number, Cut{*w.truncate_from}});
        for (const raft::Entry& entry : w.append) open_.push_back({w.number, entry});
        if (w.snapshot) open_.push_back({w.number, *w.snapshot});
        if (w.recovered) open_.push_back({w.number, Trust{}});
    }
    void sync(std::uint64_t number) {
        while (!open_.empty() && open_.front().number <= number) keep_one();
    }
    std::size_t unsynced() const { return open_.size(); }
    /// Of what is not synced the first so many stay.
    void crash(std::size_t kept) {
        while (kept-- > 0 && !open_.empty()) keep_one();
        open_.clear();
    }
    /// What was promised is gone, and that is noticed at the start: entries from this index on, and the vote.
    void lose(std::uint64_t from) {
        open_.clear();
        there_.hard_state = {};
        if (there_.snapshot && from <= there_.snapshot->last_included_index)
            there_.snapshot.reset(), there_.entries.clear(), there_.first_index = 1;
        if (from < there_.first_index) from = there_.first_index;
        if (from - there_.first_index < there_.entries.size())
            there_.entries.resize(std::size_t(from - there_.first_index));
        there_.trusted = false;
    }

    raft::PersistentState& there() { return there_; }  ///< what is on it for certain
    const raft::PersistentState& there() const { return there_; }
    std::uint64_t last() const { return there_.first_index + there_.entries.size() - 1; }
    std::uint64_t covered() const { return there_.snapshot ? there_.snapshot->last_included_index : 0; }
    bool has(std::uint64_t index, std::uint64_t term) const {
        if (index <= covered()) return true;
        return index >= there_.first_index && index <= last() &&
               there_.entries[std::size_t(index - there_.first_index)].term == term;
    }

private:
    struct Cut {
        std::uint64_t from = 0;
    };
    struct Trust {};
    struct Op {
        std::uint64_t number = 0;
        std::variant<raft::HardState, Cut, raft::Entry, raft::Snapshot, Trust> what;
    };

    void keep_one() {
        std::visit([this](auto& what) { keep(what); }, open_.front().what);
        open_.pop_front();
    }
    void keep(const raft::HardState& vote) { there_.hard_state = vote; }
    void keep(const Cut& cut) {
        if (cut.from < there_.first_index)
            there_.entries.clear();
        else if (cut.from <= last())
            there_.entries.resize(std::size_t(cut.from - there_.first_index));
    }
    void keep(raft::Entry& entry) { there_.entries.push_back(std::move(entry)); }
    void keep(raft::Snapshot& snapshot) {
        std::uint64_t index = snapshot.last_included_index;
        if (index >= last())
            there_.entries.clear();
        else if (index >= there_.first_index)
            there_.entries.erase(there_.entries.begin(),
                                 there_.entries.begin() + std::ptrdiff_t(index - there_.first_index + 1));
        there_.first_index = index + 1;
        there_.snapshot = std::move(snapshot);
    }
    void keep(const Trust&) { there_.trusted = true; }

    raft::PersistentState there_;
    std::deque<Op> open_;
};

}  // namespace ochrehub::lab
