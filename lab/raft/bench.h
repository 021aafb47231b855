// How many proposals three consensus cores commit in a second: one thread, messages encoded and decoded,
// writes completed at once, no disk and no network. Time of the cores is virtual; the result is wall-clock
// time.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ochrehub::lab {

struct RaftBenchSettings {
    std::uint64_t proposals = 300'000;
    std::size_t proposal_bytes = 100;
    std::size_t at_once = 1;  ///< proposals before messages are delivered
};
struct RaftBenchResult {
    std::uint64_t committed = 0;  ///< proposals
    std::uint64_t messages = 0;
    std::uint64_t message_bytes = 0;
    double seconds = 0;
};
RaftBenchResult run_raft_bench(const RaftBenchSettings& settings);

}  // namespace ochrehub::lab
