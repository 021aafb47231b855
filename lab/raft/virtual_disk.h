// The disk of a server in virtual time: what was synced survives a crash, of the rest any prefix may.
// Responsible for that model alone; the real log is fleet/store. Copyable value; not thread-safe; no clock.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <variant>

#include "fleet/raft/events.h"

namespace ochrehub::lab {

class VirtualDisk {
public:
    void write(const raft::Write& write) {
        auto add = [&](auto content) { unsynced_.push_back({write.number, std::move(content)}); };
        if (write.hard_state) add(*write.hard_state);
        if (write.truncate_from) add(Truncation{*write.truncate_from});
        for (const raft::Entry& entry : write.append) add(entry);
        if (write.snapshot) add(*write.snapshot);
        if (write.recovered) add(Recovered{});
    }
    /// Makes all writes up to this number durable.
    void sync(std::uint64_t number) {
        while (!unsynced_.empty() && unsynced_.front().number <= number) persist_next();
    }
    std::size_t unsynced() const { return unsynced_.size(); }
    /// Of what is not synced, the first `surviving` pieces survive.
    void crash(std::size_t surviving) {
        while (surviving > 0 && !unsynced_.empty()) {
            persist_next();
            --surviving;
        }
        unsynced_.clear();
    }
    /// Loses acknowledged data, which the next start notices: entries from `from` on, and the vote.
    void lose_data(std::uint64_t from) {
        unsynced_.clear();
        durable_.hard_state = {};
        if (durable_.snapshot && from <= durable_.snapshot->last_included_index) {
            durable_.snapshot.reset();
            durable_.entries.clear();
            durable_.first_index = 1;
        }
        truncate(std::max(from, durable_.first_index));
        durable_.trusted = false;
    }

    raft::PersistentState& durable() { return durable_; }
    const raft::PersistentState& durable() const { return durable_; }
    std::uint64_t last_index() const { return durable_.first_index + durable_.entries.size() - 1; }
    std::uint64_t snapshot_index() const {
        return durable_.snapshot ? durable_.snapshot->last_included_index : 0;
    }
    /// An entry that a snapshot covers counts as held.
    bool holds(std::uint64_t index, std::uint64_t term) const {
        if (index <= snapshot_index()) return true;
        if (index < durable_.first_index || index > last_index()) return false;
        return durable_.entries[std::size_t(index - durable_.first_index)].term == term;
    }

private:
    struct Truncation {
        std::uint64_t from = 0;
    };
    struct Recovered {};
    struct UnsyncedWrite {
        std::uint64_t number = 0;
        std::variant<raft::HardState, Truncation, raft::Entry, raft::Snapshot, Recovered> content;
    };

    void persist_next() {
        std::visit([this](auto& content) { persist(content); }, unsynced_.front().content);
        unsynced_.pop_front();
    }
    void persist(const raft::HardState& hard_state) { durable_.hard_state = hard_state; }
    void persist(const Truncation& truncation) { truncate(truncation.from); }
    void persist(raft::Entry& entry) { durable_.entries.push_back(std::move(entry)); }
    void persist(raft::Snapshot& snapshot) {
        std::uint64_t index = snapshot.last_included_index;
        if (index >= last_index()) {
            durable_.entries.clear();
        } else if (index >= durable_.first_index) {
            auto replaced = std::ptrdiff_t(index - durable_.first_index + 1);
            durable_.entries.erase(durable_.entries.begin(), durable_.entries.begin() + replaced);
        }
        durable_.first_index = index + 1;
        durable_.snapshot = std::move(snapshot);
    }
    void persist(const Recovered&) { durable_.trusted = true; }

    void truncate(std::uint64_t from) {
        if (from < durable_.first_index)
            durable_.entries.clear();
        else if (from <= last_index())
            durable_.entries.resize(std::size_t(from - durable_.first_index));
    }

    raft::PersistentState durable_;
    std::deque<UnsyncedWrite> unsynced_;  ///< ascending by number, in order of writing
};

}  // namespace ochrehub::lab
