// Three keepers as processes of the program on loopback, each link between two of them through a relay; what
// a test does to them. Ends only what it has started.
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

class KeeperRig {
public:
    static constexpr std::size_t kKeepers = 3;
    struct Settings {
        std::string program, folder;  ///< the folder is made, and left to whoever has it
        int heartbeat_ms = 50, election_ms = 300;
        bool relays = true;
    };
    explicit KeeperRig(const Settings& settings);
    ~KeeperRig();

    /// `how`: --new, --join, --lost or nothing.
    void start(std::size_t keeper, const std::string& how = {});
    void kill(std::size_t keeper);  ///< and waits for its end
    void stop(std::size_t keeper);  ///< as SIGSTOP does
    void go_on(std::size_t keeper);
    /// SIGTERM; its exit status.
    int end(std::size_t keeper);
    /// Waits for the end of one that refuses to start; its exit status.
    int ended(std::size_t keeper);
    void empty_folder(std::size_t keeper);
    /// What it says to the other keepers does not arrive.
    void mute(std::size_t keeper, bool on);
    bool runs(std::size_t keeper) const { return pids_[keeper] > 0; }

    std::vector<std::string> addresses() const;
    std::string config(std::size_t keeper) const {
        return folder_ + "/k" + std::to_string(keeper + 1) + ".toml";
    }
    std::string folder(std::size_t keeper) const { return folder_ + "/f" + std::to_string(keeper + 1); }
    /// Who leads by its own word, the one of the highest term; nobody: none does.
    std::optional<std::size_t> leader() const;
    /// Waits for one that is not `other`, for so long; kKeepers: none came.
    std::size_t await_leader(std::size_t other = kKeepers) const;
    bool trusted(std::size_t keeper) const;

private:
    Settings set_;
    std::string folder_;
    std::array<std::string, kKeepers> listen_;
    std::array<pid_t, kKeepers> pids_{};
    std::array<std::array<std::unique_ptr<Relay>, kKeepers>, kKeepers> relays_;  // [who dials][whom]
};

}  // namespace ochrehub::lab
