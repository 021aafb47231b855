// The state machine of the simulation: a list that commands append to. It reports to the invariant checker
// what it applies.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "lab/coordinator/invariant_checker.h"

namespace ochrehub::lab {

/// A command is a tag to append; its response is the tag's place. `hold MS` sets a timeout for the session;
/// its response is the revision. A query returns the length and the last tag.
class ListStateMachine : public coordinator::StateMachine {
public:
    /// `coordinator`: whose this one is, for the checker.
    ListStateMachine(CoordinatorInvariantChecker& checker, std::size_t coordinator)
        : checker_(checker), coordinator_(coordinator) {}
    std::string_view kind() const override { return "list"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    std::string query(std::string_view request) const override;
    void session_opened(coordinator::SessionId, std::string_view, std::string_view) override {}
    void session_ended(coordinator::SessionId session) override;
    std::string session_update(coordinator::SessionId) const override { return {}; }
    void timeouts(std::vector<coordinator::Timeout>& timeouts) const override;
    std::string on_timeout(std::uint64_t key, std::uint64_t revision) const override;
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

private:
    struct Hold {
        std::uint64_t revision = 0;
        double length_ms = 0;
    };
    std::string set_hold(coordinator::SessionId session, double length_ms);
    void expire_hold(const std::string& key_and_revision);

    CoordinatorInvariantChecker& checker_;
    std::size_t coordinator_;
    std::vector<std::string> list_;
    std::map<coordinator::SessionId, Hold> holds_;
    std::uint64_t revision_ = 0;  // the last one given
};

}  // namespace ochrehub::lab
