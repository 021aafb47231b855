// What a leader knows of one other server: how much of the log it has, which messages are in flight, whether
// it recovers lost data or catches up as a learner. Responsible for the state alone; the rules are in
// leader.cpp, replication.cpp and membership.cpp. Plain data of the leader's core; times on its clock.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>

#include "fleet/raft/types.h"
#include "ochrehub/balancer.h"

namespace ochrehub::raft {

struct Progress {
    std::uint64_t next_index = 1;          ///< the next entry to send
    std::uint64_t match_index = 0;         ///< its durable log matches the leader's up to here
    std::uint64_t acknowledged_round = 0;  ///< highest round of a response while it was not recovering
    std::uint64_t responded_round = 0;     ///< highest round of any response
    TimePoint last_contact{};              ///< last response while it was not recovering

    std::deque<std::uint64_t> inflight_rounds;   ///< AppendEntries that bound the window, without a response
    bool probing = false;                        ///< next_index is a guess: one message at a time, no entries
    std::uint64_t ignore_rejections_before = 0;  ///< failures of earlier rounds are about an older next_index

    std::shared_ptr<const Snapshot> snapshot;  ///< being sent instead of entries; null: none
    std::uint64_t snapshot_offset = 0;         ///< of the chunk that is in flight, bytes
    std::uint64_t snapshot_round = 0;          ///< of the last chunk

    std::uint64_t recovery_id = 0;               ///< non-zero: it lost data and counts for no majority
    std::uint64_t recovery_start_round = 0;      ///< first round after the leader received recovery_id
    std::uint64_t recovery_target_index = 0;     ///< to reach before the recovery may complete
    std::uint64_t recovery_completed_round = 0;  ///< first round that completes it; zero: not yet

    std::uint64_t catch_up_index = 0;  ///< of a learner: end of the current round of catching up; zero: none
    TimePoint catch_up_started{};      ///< of that round
};

}  // namespace ochrehub::raft
