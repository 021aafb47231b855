// What a node lets in, and when those sent away should come back. Stands between a front and the engine: no
// clock, no sockets, no threads; every call says what time it is. Which server, whether again and whether at
// all stays with the decision module; here only what the module cannot see counts: connections, and the crowd
// that its refusals make.
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

/// When clients that are refused should come back. Each is given the emptiest of a few moments, drawn in a
/// window that is as long as those who are already to come need at the rate the tier takes, so that they come
/// spread out, and no two crowds are told one moment. Memory: a fixed ring, whatever comes.
class RetryAfterSchedule {
public:
    static constexpr Duration kSlot{25};
    static constexpr std::size_t kSlots = 2048;  // 51.2 s; longer advice is cut to that

    RetryAfterSchedule(Duration max_delay, std::uint64_t seed) : max_delay_(max_delay), random_(seed) {}

    /// `rate`: returns a second that the tier can take; it may be zero. `patience`: how long the client waits
    /// over all its tries; zero: not known.
    Duration reserve(TimePoint now, double returns_per_s, Duration client_timeout = {});
    /// A repeat comes. True: it has a seat, which is taken; else it comes out of turn.
    bool claim(TimePoint now);
    std::size_t reserved(TimePoint now);

private:
    std::uint64_t slot_of(TimePoint at) const { return std::uint64_t(at.time_since_epoch() / kSlot); }
    void advance(TimePoint now);
    double uniform() { return double(random_() >> 11) * 0x1p-53; }

    Duration max_delay_;
    std::mt19937_64 random_;
    std::array<std::uint16_t, kSlots> reservations_{};  // by slot: who is to come in it
    std::uint64_t oldest_slot_ = 0;                     // the earliest slot that is still kept
    std::size_t reserved_ = 0;                          // in all of them
};

/// Who was told when to come back, and how often they came before that all the same. It keys on the client's
/// connection and tenant: an address is that of whatever stands before the clients. Memory: fixed, one place
/// by hash, so that what is remembered of one may be forgotten for another; what is over for long counts no
/// more.
class RetryAfterCompliance {
public:
    enum class Arrival { Unknown, Early, OnTime };

    void record_retry_after(TimePoint now, std::uint64_t client, Duration retry_after);
    /// One that was told comes. Early: a strike, which a later one that is on time takes off by half.
    Arrival record_arrival(TimePoint now, std::uint64_t client);
    int early_retries(TimePoint now, std::uint64_t client) const;

private:
    static constexpr std::size_t kEntries = 4096;
    struct Entry {
        std::uint32_t due = 0;  // ms of the clock, which may wrap
        std::uint16_t tag = 0;
        std::uint8_t early_retries = 0;
    };
    static std::uint64_t hash_of(std::uint64_t client);

    std::array<Entry, kEntries> entries_{};
};

/// What may be open in a node at once. Requests that wait hold their clients' connections: if they may have
/// them all, newcomers can only be told by admission control that there is no room, which closes their
/// connection, and clients that open another ask again on it. So what is open ends below what clients may
/// hold, and the rest is refused on its connection, which stays: repeats out of turn first, then first tries
/// of the classes that are worth the least for their time. Nor is more open than can be answered within a
/// part of a second: what waits longer only makes all others wait. A tenant may use what others leave, but
/// the last part of the room is for those that have less open than their share.
class AdmissionController {
public:
    struct Settings {
        std::vector<double> priority_weights;    ///< of each class
        std::vector<Duration> request_timeouts;  ///< ... how long its clients wait; empty: a second
        std::vector<double> tenant_shares;       ///< of each tenant, in any unit
        std::size_t max_connections = 0;         ///< connections of clients that may be kept
        Duration max_retry_after{0};             ///< the longest that clients compliance; zero: none is given
        std::uint64_t seed = 0;
        bool limits_open_requests = true;  ///< false: everything enters
    };
    explicit AdmissionController(const Settings& settings);
    /// `room`: as in Settings; the rest is as the module is told.
    static AdmissionController from_settings(const ochrehub::Settings& settings, std::size_t max_connections,
                                             std::uint64_t seed, bool limits_open_requests = true);

    struct AdmissionRequest {
        int class_index = 0, tenant = kNone;
        bool is_retry = false;        ///< as the client marks it
        std::uint64_t client_id = 0;  ///< its connection, by a number that no other has; zero: not known
    };
    /// A request has come. None: it may enter, and must complete(); else it is refused, and told this.
    std::optional<Duration> admit(TimePoint now, const AdmissionRequest& request);
    /// One that entered is over; `took`: since it entered, and the server since it was sent there.
    void complete(TimePoint now, const AdmissionRequest& request, bool served, Duration latency,
                  Duration server_latency = {});
    /// For one that entered and is refused by others: when to come back.
    Duration reject(TimePoint now, const AdmissionRequest& request);
    /// For one whose connection there is no room for.
    Duration reject_connection(TimePoint now, const AdmissionRequest& request);

    /// Of a client's.
    void connection_opened(TimePoint now) { load_state_.connection_opened(now); }
    void update_endpoints(TimePoint now, const EndpointUpdate& update) {
        load_state_.update_endpoints(now, update);
    }
    /// To be called now and then: how the weather has changed since.
    std::optional<LoadState::Change> poll_state_change(TimePoint now) { return load_state_.poll_change(now); }
    const LoadState& load_state() const { return load_state_; }
    std::size_t memory_bytes() const;

    std::size_t open_requests() const { return open_requests_; }

private:
    struct Class {
        double priority_weight = 1, latency_ms = 0;  // of those served
        Duration request_timeout{};
    };
    Duration schedule_retry(TimePoint now, const AdmissionRequest& request, Duration client_timeout);
    double capacity_fraction(const Class& request_class) const;
    struct Tenant {
        double share = 1;
        std::uint32_t open_requests = 0;
    };
    bool exceeds_fair_share(const Tenant& tenant, double capacity) const;
    Tenant& tenant_of(const AdmissionRequest& request);
    std::uint64_t compliance_key(const AdmissionRequest& request) const;
    bool record_arrival_and_check_capacity(TimePoint now, const AdmissionRequest& request);

    std::vector<Class> classes_;
    std::vector<Tenant> tenants_;  // the last: those that are none
    double max_connections_;
    std::size_t open_requests_ = 0;
    bool limits_open_requests_, sends_retry_after_;
    RetryAfterSchedule retry_after_;
    RetryAfterCompliance compliance_;
    LoadState load_state_;
    double served_per_s_ = 0;       // a second, smoothed over kServedOver
    double peak_served_per_s_ = 0;  // ... at most, of late
    double usual_latency_ms_ = 0;   // of a server's answer, over what is served
    TimePoint served_at_{}, peak_served_at_{};
    std::optional<TimePoint> first_request_at_;  // the first request came
};

}  // namespace ochrehub
