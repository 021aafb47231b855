// A sequence of changes of a store's log that has every kind of change in it, and the states that may be
// found after an interruption. Single-threaded.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "faulty_files.h"
#include "fleet/store/log.h"

namespace ochrehub::store {

/// What a log holds.
struct LogState {
    std::uint64_t first_index = 1;
    std::vector<Entry> entries;
    HardState hard_state;
    std::optional<Snapshot> snapshot;
    friend bool operator==(const LogState&, const LogState&) = default;
};

inline LogState state_of(const Log& log) {
    LogState state{log.first_index(), {}, log.hard_state(), log.snapshot()};
    for (std::uint64_t i = log.first_index(); i <= log.last_index(); ++i)
        state.entries.push_back(log.entry(i));
    return state;
}

/// Small segments, so that the workload goes over several.
inline Log::Settings small_settings() {
    Log::Settings settings;
    settings.cluster_fingerprint = 7;
    settings.segment_bytes = 400;
    settings.max_record_bytes = 1 << 16;
    return settings;
}

class Workload {
public:
    /// Throws SimulatedCrash where the log fails: a server ends there.
    void run(Log& log) {
        allowed_ = {state_of(log)};
        for (std::uint64_t round = 1; round <= 6; ++round) {
            log.set_hard_state({round, "k" + std::to_string(round)});
            changed(log);
            synced(log, log.sync());
            append_entries(log, round);
            if (round % 2 == 0) replace_last_entry(log, round);
            if (round % 3 == 0) take_snapshot(log);
        }
    }
    /// The state is the last one that was synced, or one since.
    bool allows(const LogState& found) const {
        return std::find(allowed_.begin(), allowed_.end(), found) != allowed_.end();
    }

private:
    void changed(const Log& log) { allowed_.push_back(state_of(log)); }
    void synced(const Log& log, bool success) {
        if (!success) throw SimulatedCrash();
        allowed_ = {state_of(log)};
    }

    void append_entries(Log& log, std::uint64_t round) {
        for (std::uint64_t i = 0; i < 3; ++i) {
            log.append({round, "entry " + std::to_string(round * 10 + i) + std::string(round * 20, 'x')});
            changed(log);
        }
        synced(log, log.sync());
    }

    void replace_last_entry(Log& log, std::uint64_t round) {
        log.truncate(log.last_index());
        changed(log);
        log.append({round, "instead"});
        changed(log);
        synced(log, log.sync());
    }

    void take_snapshot(Log& log) {
        std::uint64_t index = log.last_index() - 2;
        Snapshot snapshot{index, log.term_at(index), "state as of " + std::to_string(index)};
        // Until it is saved both states are allowed.
        LogState after = state_of(log);
        after.entries.erase(after.entries.begin(), after.entries.end() - 2);
        after.first_index = index + 1;
        after.snapshot = snapshot;
        allowed_.push_back(after);
        synced(log, log.save_snapshot(snapshot));
    }

    std::vector<LogState> allowed_{LogState{}};  ///< the first is the last one that was synced
};

}  // namespace ochrehub::store
