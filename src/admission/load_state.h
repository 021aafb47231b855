// The load state of a node, derived from what the node itself observes: arriving requests, the fraction of
// them that are retries, rejections, the servers' latency relative to their usual latency, and servers that
// drain or start. It reads no clock and opens no sockets; every call passes the current time. The state is
// for operators and logs only: an admission controller that became stricter in a storm would cause the
// rejections that keep the storm state going.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub {

/// Counts events in steps of 250 ms, classifies the last 2 s at the end of each step and reports changes.
class LoadState {
public:
    enum class State : std::uint8_t {
        Calm,
        Busy,      ///< some requests are rejected or retried
        Brownout,  ///< servers have become slower and serve less, with no more requests than usual
        Release,   ///< servers drain while others drain or start
        Storm      ///< more requests than can be served, and rejected clients retry
    };
    static constexpr std::size_t kStates = 5;

    /// Sums over the last 2 s, and the usual values that they are compared with.
    struct OverloadSignals {
        double requests_per_s = 0;
        /// Of requests: marked as retries, or on a connection whose last request was rejected.
        double retry_fraction = 0;
        /// Of requests: rejected by admission control or the decision core, or for want of a connection.
        double rejected_fraction = 0;
        /// Of completed requests: completed after more than half of their client's timeout.
        double late_fraction = 0;
        double served_per_s = 0;
        double peak_served_per_s = 0;  ///< recent maximum of served_per_s; decays
        double slowdown = 1;           ///< server latency over the usual latency of its class
        double connections_per_s = 0;  ///< opened by clients
        /// Learned in steps that are Calm or Busy.
        double usual_first_attempts_per_s = 0, usual_connections_per_s = 0;
        int draining_servers = 0, new_servers = 0;  ///< that began to drain, or started, in the last 10 s
        int tenant = kNone;                         ///< whose requests grew most over their usual rate
        double tenant_growth = 1;                   ///< the factor by which they grew
    };
    struct Change {
        TimePoint at{};
        State from = State::Calm, to = State::Calm;
        OverloadSignals signals;
    };

    /// `request_timeouts`: per class, how long its clients wait.
    LoadState(std::vector<Duration> request_timeouts, std::size_t tenants);

    void connection_opened(TimePoint now);
    void request_arrived(TimePoint now, int tenant, bool is_retry);
    void request_rejected(TimePoint now);
    /// An admitted request has ended, `latency` after its admission.
    void request_completed(TimePoint now, int class_index, bool served, Duration latency);
    /// A server has responded, `latency` after the request was sent to it.
    void server_responded(TimePoint now, int class_index, Duration latency);
    void update_endpoints(TimePoint now, const EndpointUpdate& update);

    /// To be called periodically, since the state also changes when no event arrives. Returns the last change
    /// since the previous call, if any.
    std::optional<Change> poll_change(TimePoint now);

    State state() const { return state_; }
    /// The servers' usual latency for this class; zero: unknown.
    double usual_latency_ms(int class_index) const;
    /// When the current state began.
    TimePoint since() const { return since_; }
    const OverloadSignals& signals() const { return signals_; }
    /// Fixed, except for one entry per class, tenant and listed server.
    std::size_t memory_bytes() const;

    static const char* name(State state);

private:
    static constexpr Duration kStep{250};
    static constexpr std::size_t kSteps = 8;

    struct Step {
        std::uint32_t first_attempts = 0, retries = 0, rejected = 0, completed = 0, late = 0, served = 0,
                      connections = 0;
        std::uint32_t responses = 0;
        double log_slowdown = 0;  // sum of the logarithms of latency over usual latency
    };
    struct Class {
        Duration request_timeout{};
        double usual_log_ms = 0;  // logarithm of the usual latency
        double log_ms_sum = 0;    // of the current step
        std::uint32_t responses = 0, learned_steps = 0;
    };
    struct Tenant {
        double recent_per_s = 0, usual_per_s = 0;
        std::uint32_t arrived = 0;  // in the current step
    };
    Step& step(TimePoint now);
    void close_step();
    void update_signals();
    void learn();
    State classify() const;

    std::vector<Class> classes_;
    std::vector<Tenant> tenants_;
    std::array<Step, kSteps> steps_{};
    std::uint64_t current_step_ = 0;
    std::uint64_t first_step_ = 0;
    std::uint32_t learned_steps_ = 0;
    OverloadSignals signals_;
    State state_ = State::Calm, candidate_ = State::Calm;
    int candidate_steps_ = 0;  // consecutive steps that were classified as candidate_
    TimePoint since_{};
    std::optional<Change> change_;
    std::vector<EndpointId> ready_, draining_;  // as listed, sorted
    bool has_list_ = false;
    // Servers that began to drain, and servers that started, by step over 10 s.
    std::array<std::uint8_t, 40> newly_draining_{}, newly_started_{};
};

}  // namespace ochrehub
