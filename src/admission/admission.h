// Admission control of a node: which requests enter, and when the clients of rejected requests should retry.
//
// It sits between a front and the engine. It reads no clock, opens no sockets and starts no threads; every
// call passes the current time. Choosing an endpoint and deciding on retries is the decision core's.
// Admission control covers only what the core cannot see: client connections, and the retries that its
// rejections cause.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "admission/load_state.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

/// Schedules the retries of rejected clients so that they arrive spread out: each client is assigned the
/// least reserved of a few sampled moments. The window that they are sampled from is as long as the retries
/// already scheduled need at the rate the tier serves, so two crowds are not sent to one moment. Memory: a
/// fixed ring.
class RetryAfterSchedule {
public:
    static constexpr Duration kSlot{25};
    /// 51.2 s; longer delays are cut to that.
    static constexpr std::size_t kSlots = 2048;

    RetryAfterSchedule(Duration max_delay, std::uint64_t seed) : max_delay_(max_delay), random_(seed) {}

    /// Reserves a slot and returns the delay until it; zero if no advice is given. `returns_per_s`: retries
    /// that the tier can serve, may be zero. `client_timeout`: how long the client waits over all its
    /// attempts; zero: unknown.
    Duration reserve(TimePoint now, double returns_per_s, Duration client_timeout = {});
    /// A retry has arrived. Takes the oldest reservation; false if none is due, so the retry is unscheduled.
    bool claim(TimePoint now);
    std::size_t reserved(TimePoint now);

private:
    std::uint64_t slot_of(TimePoint at) const { return std::uint64_t(at.time_since_epoch() / kSlot); }
    void advance(TimePoint now);
    double uniform() { return double(random_() >> 11) * 0x1p-53; }

    Duration max_delay_;
    std::mt19937_64 random_;
    std::array<std::uint16_t, kSlots> reservations_{};  // by slot: retries scheduled for it
    std::uint64_t oldest_slot_ = 0;                     // earlier slots have expired
    std::size_t reserved_ = 0;                          // sum over all slots
};

/// Remembers when each client was asked to retry and how often it retried earlier. Clients are identified by
/// connection and tenant, because an address may be that of a proxy in front of many clients. Memory: fixed,
/// one entry per hash value; a client's entry may be overwritten by another's, and old entries expire.
class RetryAfterCompliance {
public:
    enum class Arrival { Unknown, Early, OnTime };

    void record_retry_after(TimePoint now, std::uint64_t client, Duration retry_after);
    /// A retry of this client has arrived. An early one adds to early_retries(), one on time halves it.
    Arrival record_arrival(TimePoint now, std::uint64_t client);
    int early_retries(TimePoint now, std::uint64_t client) const;

private:
    static constexpr std::size_t kEntries = 4096;
    struct Entry {
        std::uint32_t due = 0;  // ms of the clock, which may wrap
        std::uint16_t tag = 0;  // further bits of the client's hash
        std::uint8_t early_retries = 0;
    };
    static std::uint64_t hash_of(std::uint64_t client);

    std::array<Entry, kEntries> entries_{};
};

/// Limits the requests that are open in a node at once.
///
/// Open requests hold their clients' connections. If they may hold all of them, a new client's connection can
/// only be closed, and clients that open another connection repeat their requests on it. The limit on open
/// requests is therefore below the connection limit, and the rest is rejected on connections that stay open:
/// first unscheduled retries, then first attempts of the classes with the least priority weight for their
/// latency. Nor are more requests open than can be served within a fraction of a second: a request that waits
/// longer only delays all others. A tenant may use what others leave free, but the last part of the capacity
/// is reserved for tenants with fewer open requests than their share.
class AdmissionController {
public:
    struct Settings {
        std::vector<double> priority_weights;    ///< per class
        std::vector<Duration> request_timeouts;  ///< per class: how long its clients wait; empty: 1 s
        std::vector<double> tenant_shares;       ///< per tenant, in any unit
        std::size_t max_connections = 0;         ///< client connections that may be open
        Duration max_retry_after{0};             ///< the longest that clients honor; zero: none is given
        std::uint64_t seed = 0;
        bool limits_open_requests = true;  ///< false: all requests are admitted
    };
    explicit AdmissionController(const Settings& settings);
    /// `max_connections`: as in Settings; the rest is taken from the decision core's settings.
    static AdmissionController from_settings(const ochrehub::Settings& settings, std::size_t max_connections,
                                             std::uint64_t seed, bool limits_open_requests = true);

    struct AdmissionRequest {
        int class_index = 0, tenant = kNone;
        bool is_retry = false;        ///< as the client marks it
        std::uint64_t client_id = 0;  ///< unique number of its connection; zero: unknown
        bool receiving_body = false;  ///< not open yet: a client that sends slowly keeps nobody out
    };
    /// A request has arrived. Empty: it is admitted, and complete() must follow. Otherwise it is rejected,
    /// with this Retry-After (zero: none).
    std::optional<Duration> admit(TimePoint now, const AdmissionRequest& request);
    /// An admitted request with receiving_body is whole, and open from now on.
    void body_received(AdmissionRequest& request);
    /// An admitted request has ended. `latency`: since its admission; `server_latency`: since it was sent to
    /// the server; zero: unknown.
    void complete(TimePoint now, const AdmissionRequest& request, bool served, Duration latency,
                  Duration server_latency = {});
    /// The Retry-After of a request that was admitted and then rejected elsewhere.
    Duration reject(TimePoint now, const AdmissionRequest& request);
    /// The Retry-After of a request whose connection the node cannot serve; the request itself may be unread.
    Duration reject_connection(TimePoint now, const AdmissionRequest& request);

    /// A client has opened a connection.
    void connection_opened(TimePoint now) { load_state_.connection_opened(now); }
    void update_endpoints(TimePoint now, const EndpointUpdate& update) {
        load_state_.update_endpoints(now, update);
    }
    /// To be called periodically. Returns the change of the load state since the last call, if any.
    std::optional<LoadState::Change> poll_state_change(TimePoint now) { return load_state_.poll_change(now); }
    const LoadState& load_state() const { return load_state_; }
    std::size_t memory_bytes() const;

    std::size_t open_requests() const { return open_requests_; }

private:
    struct Class {
        double priority_weight = 1, latency_ms = 0;  // of served requests, smoothed
        Duration request_timeout{};
    };
    Duration schedule_retry(TimePoint now, const AdmissionRequest& request, Duration client_timeout);
    double capacity_fraction(const Class& request_class) const;
    struct Tenant {
        double share = 1;
        std::uint32_t open_requests = 0;
    };
    bool exceeds_fair_share(const Tenant& tenant, double capacity) const;
    void count_open(const AdmissionRequest& request, int change);
    Tenant& tenant_of(const AdmissionRequest& request);
    std::uint64_t compliance_key(const AdmissionRequest& request) const;
    bool record_arrival_and_check_capacity(TimePoint now, const AdmissionRequest& request);

    std::vector<Class> classes_;
    std::vector<Tenant> tenants_;  // the last: requests without a tenant
    double max_connections_;
    std::size_t open_requests_ = 0;
    bool limits_open_requests_, sends_retry_after_;
    RetryAfterSchedule retry_after_;
    RetryAfterCompliance compliance_;
    LoadState load_state_;
    double served_per_s_ = 0;       // smoothed over kServedRateTimeConstant
    double peak_served_per_s_ = 0;  // recent maximum of served_per_s_; decays
    double usual_latency_ms_ = 0;   // of servers, averaged over served requests
    TimePoint served_at_{}, peak_served_at_{};
    std::optional<TimePoint> first_request_at_;
};

}  // namespace ochrehub
