#include "fleet/raft/write_queue.h"

#include <algorithm>
#include <utility>

namespace ochrehub::raft {

bool WriteQueue::has_collected() const {
    return collecting_.hard_state || collecting_.truncate_from || !collecting_.append.empty() ||
           collecting_.snapshot || collecting_.recovered;
}

Write WriteQueue::issue(std::uint64_t last_index) {
    collecting_.number = ++issued_;
    pending_.push_back({issued_, last_index});
    return std::exchange(collecting_, {});
}

void WriteQueue::limit_durable_index(std::uint64_t index) {
    durable_index_ = std::min(durable_index_, index);
    for (PendingWrite& write : pending_) write.last_index = std::min(write.last_index, index);
}

bool WriteQueue::complete(std::uint64_t number, Actions& actions) {
    if (number <= completed_ || number > issued_) return false;
    completed_ = number;
    while (!pending_.empty() && pending_.front().number <= completed_) {
        durable_index_ = pending_.front().last_index;
        pending_.pop_front();
    }
    while (!held_.empty() && held_.front().write <= completed_) {
        actions.emplace_back(SendMessage{held_.front().to, std::move(held_.front().message)});
        held_.pop_front();
    }
    return true;
}

void WriteQueue::send_after_writes(NodeId to, Message message, Actions& actions) {
    if (last_number() <= completed_) {
        actions.emplace_back(SendMessage{to, std::move(message)});
        return;
    }
    const auto* response = std::get_if<AppendEntriesResponse>(&message);
    if (response && merge_into_held(to, *response)) return;
    held_.push_back({last_number(), to, std::move(message)});
}

/// A response of the same kind replaces the one that is held, so that a slow disk builds up no queue.
bool WriteQueue::merge_into_held(NodeId to, const AppendEntriesResponse& response) {
    for (HeldMessage& held : held_) {
        if (held.write != last_number() || held.to != to) continue;
        auto* earlier = std::get_if<AppendEntriesResponse>(&held.message);
        if (!earlier || earlier->success != response.success) continue;
        if (earlier->success && response.index < earlier->index)
            earlier->round = std::max(earlier->round, response.round);
        else
            *earlier = response;
        return true;
    }
    return false;
}

}  // namespace ochrehub::raft
