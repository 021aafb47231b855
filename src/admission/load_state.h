// What the weather is at a node, by what it can know by itself: what comes, how much of that is asked again,
// what is refused, how soon servers answer against what they took before, and which servers leave and come.
// No clock, no sockets; every call says what time it is. Nothing is decided by what it calls: an admission
// controller that tightened because a storm is called would make the refusals that call the next one.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub {

class LoadState {
public:
    enum class State : std::uint8_t { Calm, Busy, Brownout, Release, Storm };
    static constexpr std::size_t kStates = 5;

    /// Over the last kWindow, and what they are held against.
    struct OverloadSignals {
        double requests_per_s = 0;  ///< a second
        double retry_fraction =
            0;  ///< part of them: marked, or on a connection whose last request was refused
        double rejected_fraction =
            0;  ///< part of them: by admission control, the module or for want of a connection
        double late_fraction =
            0;  ///< part of what ended: after more than half of the time that its client waits
        double served_per_s = 0;       ///< a second
        double peak_served_per_s = 0;  ///< the most that were served a second, of late
        double slowdown = 1;           ///< a server's time over what it takes usually, class by class
        double connections_per_s = 0;  ///< connections a second
        double usual_first_attempts_per_s = 0,
               usual_connections_per_s = 0;  ///< a second, as learnt while it was calm or busy
        int draining_servers = 0,
            new_servers = 0;       ///< servers that were told to leave, and new ones, of late
        int tenant = kNone;        ///< the one whose requests grew the most against what it usually asks
        double tenant_growth = 1;  ///< ... so many times
    };
    struct Change {
        TimePoint at{};
        State from = State::Calm, to = State::Calm;
        OverloadSignals signals;
    };

    /// `give_up`: of each class, how long its clients wait.
    LoadState(std::vector<Duration> request_timeouts, std::size_t tenants);

    void connection_opened(TimePoint now);
    void request_arrived(TimePoint now, int tenant, bool is_retry);
    void request_rejected(TimePoint now);
    /// A request that had entered is over; `took` since then.
    void request_completed(TimePoint now, int class_index, bool served, Duration latency);
    /// A server's answer, `took` after it was sent there.
    void server_responded(TimePoint now, int class_index, Duration latency);
    void update_endpoints(TimePoint now, const EndpointUpdate& update);

    /// Whatever else happens, time passes: to be called now and then. The change since the last call, if any.
    std::optional<Change> poll_change(TimePoint now);

    State state() const { return state_; }
    /// What a server's answer takes usually, in ms; zero: not known.
    double usual_latency_ms(int class_index) const;
    TimePoint since() const { return since_; }
    const OverloadSignals& signals() const { return signals_; }
    /// But for an entry a class, a tenant and a listed server it is fixed.
    std::size_t memory_bytes() const;

    static const char* name(State state);

private:
    static constexpr Duration kStep{250};
    static constexpr std::size_t kSteps = 8;

    struct Step {
        std::uint32_t first_attempts = 0, retries = 0, rejected = 0, completed = 0, late = 0, served = 0,
                      connections = 0;
        std::uint32_t responses = 0;
        double log_slowdown = 0;  // sum of the logarithms of time over usual time
    };
    struct Class {
        Duration request_timeout{};
        double usual_log_ms = 0;  // logarithm of ms
        double log_ms_sum = 0;    // of this step
        std::uint32_t responses = 0, learned_steps = 0;
    };
    struct Tenant {
        double recent_per_s = 0, usual_per_s = 0;  // a second
        std::uint32_t arrived = 0;                 // in this step
    };
    Step& step(TimePoint now);
    void close_step();
    void update_signals();
    void learn();
    State classify() const;

    std::vector<Class> classes_;
    std::vector<Tenant> tenants_;
    std::array<Step, kSteps> steps_{};
    std::uint64_t current_step_ = 0;  // the step that is being filled
    std::uint64_t first_step_ = 0;
    std::uint32_t learned_steps_ = 0;
    OverloadSignals signals_;
    State state_ = State::Calm, candidate_ = State::Calm;
    int candidate_steps_ = 0;  // steps
    TimePoint since_{};
    std::optional<Change> change_;
    std::vector<EndpointId> ready_, draining_;  // as listed, sorted
    bool has_list_ = false;
    std::array<std::uint8_t, 40> newly_draining_{},
        newly_started_{};  // by step: servers that began to drain, and new ones
};

}  // namespace ochrehub
