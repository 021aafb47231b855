// A day on real processes of the program, each in a folder of its own, every link between two of them through
// relays. All of them are gone when it returns, however it ends, and also where this process is killed.
#pragma once

#include <atomic>
#include <filesystem>
#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

#include "fleet/membership/membership.h"
#include "lab/fleet/day.h"
#include "lab/fleet/watch.h"

namespace ochrehub::lab::fleet {

struct ProcessOptions {
    std::filesystem::path program;            ///< empty: ochrehub beside this one
    std::filesystem::path logs;               ///< keeps folders, logs and pids there; empty: they go
    const std::atomic<bool>* stop = nullptr;  ///< ends it early, by Interrupted
    std::function<void(const std::string&)> progress;
    /// A saboteur between them, who has the fleet's key: as in VirtualOptions, but that `to` is not said.
    std::function<bool(std::size_t from, membership::SendDatagram&)> meddles;
};

struct Interrupted : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Throws std::invalid_argument for a day with faults that processes cannot have (clocks), std::system_error
/// where something cannot be started.
std::vector<Event> run_processes(const Day& day, const ProcessOptions& options = {});

}  // namespace ochrehub::lab::fleet
