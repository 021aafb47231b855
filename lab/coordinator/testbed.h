// Three coordinators as processes of the program on loopback, with a relay in each link between two of them,
// and the faults that a test injects. Ends only processes that it has started.
#pragma once

#include <sys/types.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fleet/coordinator/session_thread.h"
#include "lab/channel/relay.h"

namespace ochrehub::lab {

class CoordinatorTestbed {
public:
    static constexpr std::size_t kCoordinators = 3;
    struct Settings {
        std::string program;
        std::string folder;  ///< created, and not removed
        int heartbeat_ms = 50;
        int election_ms = 300;
        bool has_relays = true;
    };
    explicit CoordinatorTestbed(const Settings& settings);
    ~CoordinatorTestbed();
    CoordinatorTestbed(const CoordinatorTestbed&) = delete;
    CoordinatorTestbed& operator=(const CoordinatorTestbed&) = delete;

    /// `start_option`: --new, --join, --lost or none.
    void start(std::size_t index, const std::string& start_option = {});
    void kill(std::size_t index);   ///< and waits for its end
    void pause(std::size_t index);  ///< by SIGSTOP
    void resume(std::size_t index);
    /// By SIGTERM; returns its exit status.
    int terminate(std::size_t index);
    /// Waits for the end of a process that exits by itself; returns its exit status.
    int wait_for_exit(std::size_t index);
    void remove_data(std::size_t index);
    /// Drops what it sends to the other coordinators, or no longer does.
    void cut_outgoing(std::size_t index, bool is_cut);
    bool is_running(std::size_t index) const { return pids_[index] > 0; }

    std::vector<std::string> addresses() const;
    std::string config(std::size_t index) const {
        return folder_ + "/k" + std::to_string(index + 1) + ".toml";
    }
    std::string folder(std::size_t index) const { return folder_ + "/f" + std::to_string(index + 1); }
    /// The coordinator that reports to lead, in the highest term.
    std::optional<std::size_t> leader() const;
    /// Waits some seconds for a leader other than `former`; kCoordinators: there is none.
    std::size_t await_leader(std::size_t former = kCoordinators) const;
    bool is_trusted(std::size_t index) const;

private:
    std::string config_text(std::size_t index);

    Settings settings_;
    std::string folder_;
    std::array<std::string, kCoordinators> listen_;
    std::array<pid_t, kCoordinators> pids_{};
    std::array<std::array<std::unique_ptr<Relay>, kCoordinators>, kCoordinators> relays_;  // [from][to]
};

}  // namespace ochrehub::lab
