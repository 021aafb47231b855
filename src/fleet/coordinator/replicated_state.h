// What all keepers hold alike: sessions and machines. Deterministic and without time; changed by entries
// alone, in their order.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/coordinator/state_machine.h"

namespace ochrehub::coordinator {

using StateMachines =
    std::vector<std::unique_ptr<StateMachine>>;  ///< each kind once, in the same order at every keeper
/// All of them, empty. A machine that is in no snapshot, as one of a newer release is, begins with the
/// sessions that there are.
using StateMachineFactory = std::function<StateMachines()>;

struct Limits {
    std::size_t max_sessions = 10'000;
    std::size_t max_name_bytes = 128;           ///< octets of a session's name and zone
    std::size_t max_command_bytes = 768 << 10;  ///< octets of a command
    std::size_t max_cached_responses = 64;      ///< answers of one session that are kept
};

struct SessionInfo {
    SessionId id = 0;
    std::string name, zone;
    std::uint64_t instance = 0, attempt = 0;
    std::uint32_t lease_ms = 0, release = 0, min_schema = 0, max_schema = 0;
    friend bool operator==(const SessionInfo&, const SessionInfo&) = default;
};

/// What became of an entry.
struct Outcome {
    Error error = Error::None;
    SessionId session = 0;  ///< of an Open: the one that is open now
    std::string result{};   ///< of a Do
    bool fatal = false;     ///< this keeper can't go on without parting from the others: Error::Behind
    bool again = false;     ///< a command that had been carried out before
};

class ReplicatedState {
public:
    ReplicatedState(const Limits& limits, StateMachineFactory make);

    Outcome apply(std::string_view entry);
    std::string snapshot() const;
    /// False: not of a form, or with a machine or schema, that this release reads; nothing is to be done with
    /// it any more.
    bool restore(std::string_view bytes);

    const SessionInfo* session(SessionId id) const;
    /// In the order of their numbers.
    template <class F>
    void each_session(F&& f) const {
        for (const auto& [id, one] : sessions_) f(one.info);
    }
    std::size_t sessions() const { return sessions_.size(); }
    /// The answer that was given to this command, where it is kept.
    std::optional<Outcome> answered(SessionId session, std::uint64_t number) const;
    const StateMachine* machine(std::string_view kind) const;
    const StateMachines& machines() const { return machines_; }

private:
    struct Kept {
        Error error = Error::None;
        std::string result;
    };
    struct One {
        SessionInfo info;
        std::uint64_t last = 0;
        std::map<std::uint64_t, Kept> kept;
    };
    StateMachine* find(std::string_view kind) const;
    void end(SessionId id);
    Outcome carry_out(SessionId session, std::string_view kind, std::string_view body);

    Limits limits_;
    StateMachineFactory make_;
    StateMachines machines_;
    SessionId next_ = 1;
    std::map<SessionId, One> sessions_;
};

}  // namespace ochrehub::coordinator
