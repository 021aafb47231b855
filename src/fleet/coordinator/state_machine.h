// What a majority of keepers agrees on, one small machine a matter: duties, documents, views, budgets,
// levels. A machine is deterministic and knows no time: the same commands in the same order give the same
// state and the same answers at every keeper, of every release that speaks its schema. Time is the leader's
// alone: it counts what a machine has `armed`, on its monotonic clock and from after it became leader or saw
// it armed, and proposes what the machine makes of its end.
//
// Processes hold what they hold through a session: one lease, renewed by one call for all. A process counts
// it from before it asked and stops a margin early; the leader counts from after the renewal was applied. A
// new leader gives each session and each armed time its whole length again.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

using SessionId = std::uint64_t;  ///< rises for ever, over all restarts; never given twice. Zero: none
using Epoch = std::uint64_t;

struct Command {
    SessionId session = 0;  ///< who asks; zero: an operator's command, or the leader's own
    std::string_view body;  ///< the machine's own protobuf
};

/// A time that the leader counts. The same (key, revision) goes on being counted; another revision begins
/// anew.
struct Timeout {
    std::uint64_t key = 0, revision = 0;
    Duration length{};
};

class StateMachine {
public:
    virtual ~StateMachine() = default;

    virtual std::string_view kind() const = 0;  ///< its name in commands, snapshots and figures
    virtual std::uint32_t schema() const = 0;   ///< of its snapshots and commands

    /// Never throws for what a command says: a command that is wrong has an answer that says so.
    virtual std::string apply(const Command& command) = 0;
    /// Answers a question without changing anything. RequestReceived at the leader, with all in it that was
    /// answered before the question.
    virtual std::string query(std::string_view /*question*/) const { return {}; }
    virtual void session_opened(SessionId session, std::string_view name, std::string_view zone) = 0;
    /// Whoever had it holds nothing any more.
    virtual void session_ended(SessionId session) = 0;
    /// What the process of this session must know by now: rides on each renewal's answer. Empty: nothing.
    virtual std::string session_update(SessionId session) const = 0;

    /// Appends what is to be counted now.
    virtual void timeouts(std::vector<Timeout>& armed) const = 0;
    /// The command to propose when one is over. It must be harmless where the revision has changed meanwhile.
    virtual std::string on_timeout(std::uint64_t key, std::uint64_t revision) const = 0;

    virtual std::string snapshot() const = 0;
    /// False: not one of a schema that it reads; nothing was taken.
    virtual bool restore(std::uint32_t schema, std::string_view bytes) = 0;
};

}  // namespace ochrehub::coordinator
