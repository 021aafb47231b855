#include "lab/coordinator/simulated_disk.h"

#include <algorithm>
#include <cstddef>

namespace ochrehub::lab {

void SimulatedDisk::apply(const raft::Write& write) {
    auto& entries = durable.entries;
    if (write.hard_state) durable.hard_state = *write.hard_state;
    if (write.truncate_from) {
        const std::size_t kept =
            *write.truncate_from <= durable.first_index
                ? 0
                : std::min<std::size_t>(entries.size(), *write.truncate_from - durable.first_index);
        entries.resize(kept);
    }
    entries.insert(entries.end(), write.append.begin(), write.append.end());
    if (write.snapshot) apply_snapshot(*write.snapshot);
    if (write.recovered) durable.trusted = true;
}

/// Drops the entries that the snapshot includes, and all of them if the log disagrees with it.
void SimulatedDisk::apply_snapshot(const raft::Snapshot& snapshot) {
    auto& entries = durable.entries;
    const std::uint64_t first = durable.first_index;
    const std::uint64_t last = first + entries.size() - 1;
    const std::uint64_t index = snapshot.last_included_index;
    const bool disagrees =
        index >= first && index <= last && entries[index - first].term != snapshot.last_included_term;
    const std::size_t included = index < first ? 0 : std::min<std::size_t>(entries.size(), index - first + 1);
    entries.erase(entries.begin(), disagrees ? entries.end() : entries.begin() + std::ptrdiff_t(included));
    durable.first_index = index + 1;
    durable.snapshot = snapshot;
}

}  // namespace ochrehub::lab
