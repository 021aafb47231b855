// A day on real sockets: emulated servers, discovery and clients around nodes that run as processes.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"
#include "lab/result/result.h"

namespace ochrehub::lab {

struct PlayOptions {
    std::string node;            ///< the program of one node; empty: `ochrehub` beside this program
    int threads = 2;             ///< 1: clients and servers share a loop
    std::string log_dir;         ///< the nodes' logs and configurations; empty: a folder that goes at the end
    bool enforce_memory = true;  ///< a node over its memory limit is killed, and has crashed
    std::function<void(const std::string&)> progress;  ///< a line now and then
    /// All records, in the order they were judged, and when the day began.
    std::function<void(const std::vector<Record>&, TimePoint)> witness;
};

/// Plays the day and judges it. Ends by itself: at the latest the largest give-up time and 5 s after the
/// day's length, not counting up to 30 s that nodes may take to be ready. A node that ends by itself, or
/// never gets ready, stands among the breaches as "node-crashed". Throws std::system_error where the machine
/// gives too little, and std::invalid_argument for a day that cannot be played.
Result play(const Day& day, const PlayOptions& options);

/// The program of a node that is used where none is named.
std::string default_node();

}  // namespace ochrehub::lab
