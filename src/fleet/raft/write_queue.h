// Keeps the rule that nothing is acknowledged before it is durable: collects what one event has to store into
// a Write, numbers it, and holds messages that depend on it until it has completed. Not responsible for
// storing. Not thread-safe; no clock.
#pragma once

#include <cstdint>
#include <deque>

#include "fleet/raft/events.h"

namespace ochrehub::raft {

class WriteQueue {
public:
    /// `durable_index`: the last log index that is stored at the start.
    explicit WriteQueue(std::uint64_t durable_index) : durable_index_(durable_index) {}

    /// The write that the current event collects. issue() numbers it and begins another.
    Write& collecting() { return collecting_; }
    bool has_collected() const;
    /// `last_index`: of the log with what this write appends.
    Write issue(std::uint64_t last_index);

    /// Number of the write that holds all that was collected so far.
    std::uint64_t last_number() const { return issued_ + (has_collected() ? 1 : 0); }
    /// All writes up to this number are durable.
    std::uint64_t completed() const { return completed_; }
    /// The last log index that is durable with this log's content.
    std::uint64_t durable_index() const { return durable_index_; }
    /// What is stored after `index` is no longer this log's content.
    void limit_durable_index(std::uint64_t index);

    /// Records a completion and adds the messages that it releases. False: the number is none that is
    /// pending.
    bool complete(std::uint64_t number, Actions& actions);
    /// Adds the message now if nothing is pending; otherwise holds it until last_number() has completed.
    void send_after_writes(NodeId to, Message message, Actions& actions);
    /// Drops held messages: what they acknowledge may be overwritten by what is now to be stored.
    void drop_held() { held_.clear(); }

private:
    struct HeldMessage {
        std::uint64_t write = 0;  ///< released when this write has completed
        NodeId to = 0;
        Message message;
    };
    struct PendingWrite {
        std::uint64_t number = 0;
        std::uint64_t last_index = 0;  ///< durable_index once it has completed
    };

    bool merge_into_held(NodeId to, const AppendEntriesResponse& response);

    Write collecting_;                  ///< of the current event
    std::uint64_t issued_ = 0;          ///< number of the last write that was issued
    std::uint64_t completed_ = 0;       ///< see completed()
    std::uint64_t durable_index_;       ///< see durable_index()
    std::deque<PendingWrite> pending_;  ///< issued and not completed, ascending
    std::deque<HeldMessage> held_;      ///< ascending by write
};

}  // namespace ochrehub::raft
