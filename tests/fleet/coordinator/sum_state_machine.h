// A small state machine for the tests of the coordinator.
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/coordinator/replicated_state.h"
#include "fleet/coordinator/state_machine.h"

namespace ochrehub::coordinator {

inline TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

/// A command is a number to add to the sum; `timeout N` sets a timeout of N ms under a new revision.
struct SumStateMachine : StateMachine {
    static constexpr std::uint32_t kSchema = 3;
    std::int64_t sum = 0;
    std::uint64_t revision = 0;
    std::uint64_t timeout_ms = 0;  ///< 0: none
    std::set<SessionId> sessions;

    std::string_view kind() const override { return "sum"; }
    std::uint32_t schema() const override { return kSchema; }
    std::string apply(const Command& command) override {
        const std::string body(command.body);
        if (body.starts_with("timeout ")) {
            ++revision;
            timeout_ms = std::stoull(body.substr(8));
        } else if (body.starts_with("expired ")) {
            if (body.substr(8) == std::to_string(revision)) timeout_ms = 0;
        } else {
            sum += std::stoll(body);
        }
        return std::to_string(sum);
    }
    std::string query(std::string_view) const override { return std::to_string(sum); }
    void session_opened(SessionId id, std::string_view, std::string_view) override { sessions.insert(id); }
    void session_ended(SessionId id) override { sessions.erase(id); }
    std::string session_update(SessionId id) const override {
        return sessions.contains(id) ? "sum " + std::to_string(sum) : "";
    }
    void timeouts(std::vector<Timeout>& timeouts) const override {
        if (timeout_ms > 0) timeouts.push_back({7, revision, Duration{double(timeout_ms)}});
    }
    std::string on_timeout(std::uint64_t, std::uint64_t expired) const override {
        return "expired " + std::to_string(expired);
    }
    std::string snapshot() const override { return std::to_string(sum); }
    bool restore(std::uint32_t schema, std::string_view bytes) override {
        if (schema != kSchema) return false;
        sum = std::stoll(std::string(bytes));
        return true;
    }
};

inline StateMachines make_sum_state_machine() {
    StateMachines machines;
    machines.push_back(std::make_unique<SumStateMachine>());
    return machines;
}

}  // namespace ochrehub::coordinator
