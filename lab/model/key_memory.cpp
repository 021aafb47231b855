#include "lab/model/key_memory.h"

#include <algorithm>

#include "lab/model/slots.h"

namespace ochrehub::lab {

Server::KeyMemory::Seen Server::KeyMemory::look(int cls, std::uint64_t key, double arrived) const {
    const auto entry = entries_.find(Id{key, cls});
    if (entry == entries_.end() || arrived >= entry->second.until || entry->second.run == 0) return Seen::New;
    return entry->second.running ? Seen::Running : Seen::Done;
}

Server::KeyMemory::Run Server::KeyMemory::begin(int cls, std::uint64_t key, double arrived, double window,
                                                double now) {
    forget(now);
    const Id id{key, cls};
    Entry& entry = entries_[id];  // past its window: runs again, and is counted on
    entry.run = ++runs_;
    entry.until = arrived + window;
    entry.running = true;
    push_growing(forgetting_, Forget{id, entry.run, entry.until + kLinger});
    return entry.run;
}

void Server::KeyMemory::finish(int cls, std::uint64_t key, Run run) {
    const auto entry = entries_.find(Id{key, cls});
    if (entry == entries_.end()) return;
    // A run that outlasted its window has its effect too, though the key may stand for a later run by now.
    most_ = std::max(most_, ++entry->second.executions);
    if (entry->second.run == run) entry->second.running = false;
}

void Server::KeyMemory::stop(int cls, std::uint64_t key, Run run) {
    const auto entry = entries_.find(Id{key, cls});
    if (entry == entries_.end() || entry->second.run != run) return;
    entry->second.run = 0;
    entry->second.running = false;
}

int Server::KeyMemory::executions(int cls, std::uint64_t key) const {
    const auto entry = entries_.find(Id{key, cls});
    return entry == entries_.end() ? 0 : entry->second.executions;
}

// Two for each that comes, so that it neither grows nor ever does much at once. A key that still runs waits
// for its next turn: a server that hangs must not make the others' keys stay.
void Server::KeyMemory::forget(double now) {
    for (int i = 0; i < 2 && !forgetting_.empty() && forgetting_.front().at <= now; ++i) {
        const Forget oldest = forgetting_.front();
        forgetting_.pop_front();
        const auto entry = entries_.find(oldest.id);
        if (entry == entries_.end()) continue;
        if (entry->second.running && entry->second.run == oldest.run) {
            push_growing(forgetting_, oldest);
        } else if (entry->second.run == oldest.run || entry->second.run == 0) {
            entries_.erase(entry);
        }
    }
}

}  // namespace ochrehub::lab
