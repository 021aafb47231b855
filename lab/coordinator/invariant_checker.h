// Checks the coordinators' guarantees from outside: compares what state machines apply with what clients
// believe by their own clocks, and with the responses that they received. It asks no core for its opinion.
//
// The invariants:
//   - no session and no timeout expires at a coordinator while its client holds it by its own clock;
//   - each command is applied once;
//   - responses to commands and queries are linearizable;
//   - coordinators that have applied the same entries hold the same state.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab {

class CoordinatorInvariantChecker {
public:
    /// The present time by a process's own clock.
    using OwnClock = std::function<TimePoint(std::size_t process)>;
    explicit CoordinatorInvariantChecker(OwnClock own_clock) : own_clock_(std::move(own_clock)) {}

    /// Records a violation; the first ones are kept.
    void violated(const std::string& what);
    const std::vector<std::string>& violations() const { return violations_; }

    // What clients believe; times are by their own clocks
    void session_held(coordinator::SessionId session, std::size_t process, TimePoint until);
    void session_given_up(coordinator::SessionId session) { sessions_[session].is_given_up = true; }
    void timeout_held(std::uint64_t revision, std::size_t process, TimePoint until);
    void timeout_given_up(std::uint64_t revision) { timeouts_[revision].is_given_up = true; }
    void process_crashed(std::size_t process);

    // What state machines apply
    void session_ended(coordinator::SessionId session);
    void timeout_expired(std::uint64_t revision);
    void appended(std::size_t coordinator, std::uint64_t place, const std::string& tag);
    /// The hash of a coordinator's state after it applied the entry at `index`.
    void state_hash(std::size_t coordinator, std::uint64_t index, std::uint64_t hash);

    // What clients request and receive; times are the simulation's
    /// Returns the id of an append, or of a query.
    std::size_t requested(TimePoint now, bool is_append, const std::string& tag);
    /// `place`: of the appended tag; for a query the length of the list, whose last tag is `last`.
    void completed(std::size_t operation, TimePoint now, std::uint64_t place, const std::string& last);

    /// Checks the history, at the end of a run.
    void check_history();

    std::uint64_t sessions_ended() const { return sessions_ended_; }
    std::uint64_t timeouts_expired() const { return timeouts_expired_; }

private:
    struct Belief {
        TimePoint until{};
        std::size_t process = 0;
        bool is_given_up = false;
    };
    struct Operation {
        TimePoint requested_at{};
        TimePoint completed_at = TimePoint::max();
        bool is_append = true;
        bool is_completed = false;
        std::string tag;          // of an append
        std::uint64_t place = 0;  // of an append; of a query: the length
        std::string last;         // of a query
    };
    /// The list had at least this length at that time.
    struct MinLength {
        TimePoint at;
        std::uint64_t length = 0;
    };

    void check_expired(const std::string& what, const Belief& belief);
    std::map<std::string, std::uint64_t> check_places();
    void check_response(Operation& operation, const std::map<std::string, std::uint64_t>& places);
    std::vector<MinLength> min_lengths() const;
    void check_order(const std::map<std::string, std::uint64_t>& places);

    OwnClock own_clock_;
    std::vector<std::string> violations_;
    std::map<coordinator::SessionId, Belief> sessions_;
    std::map<std::uint64_t, Belief> timeouts_;             // by revision
    std::vector<std::string> list_;                        // the longest that any coordinator has
    std::map<std::uint64_t, std::uint64_t> state_hashes_;  // by index
    std::vector<Operation> operations_;
    std::uint64_t sessions_ended_ = 0;
    std::uint64_t timeouts_expired_ = 0;
};

}  // namespace ochrehub::lab
