#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ochrehub {
namespace {

/// A rejected client must pause: no Retry-After is shorter, unless its timeout is short.
constexpr Duration kMinRetryDelay{250};
/// The window that retries are spread over is at least this long: a few simultaneous clients are no crowd.
constexpr Duration kMinReturnWindow{800};
/// Replaces kMinRetryDelay for clients that wait for less than twice as long, as a fraction of their timeout.
constexpr double kMinRetryDelayFraction = 0.25;
/// Replaces kMinReturnWindow for the same clients, as a fraction of their timeout.
constexpr double kMinReturnWindowFraction = 0.5;
/// Moments that are sampled to find the least reserved slot.
constexpr int kSampledSlots = 4;
/// Slots by which a scheduled retry may arrive early, for variations in network latency.
constexpr std::uint64_t kEarlyToleranceSlots = 2;
/// Slots by which a scheduled retry may arrive late.
constexpr std::uint64_t kLateToleranceSlots = 4;
/// Fraction of the served rate that retries are scheduled at; the rest is for first attempts.
constexpr double kReturnRateFraction = 0.5;
/// Time constant of the smoothed rate of served requests.
constexpr Duration kServedRateTimeConstant{2000};
/// Gain of the smoothed latencies, per served request.
constexpr double kLatencyGain = 0.05;
/// Fraction of the connections that open requests may hold, for the class with the most priority weight for
/// its latency.
constexpr double kMaxCapacityFraction = 0.9;
/// The same for the class with the least priority weight for its latency.
constexpr double kMinCapacityFraction = 0.7;
/// The same for unscheduled retries.
constexpr double kUnscheduledRetryFraction = 0.5;
/// The same for unscheduled retries of clients that ignore Retry-After.
constexpr double kNoncompliantRetryFraction = 0.3;
/// From this many early retries on a client counts as ignoring Retry-After.
constexpr int kNoncompliantEarlyRetries = 2;
/// Fraction of its class's capacity up to which a tenant may use what others leave free, for the class with
/// the least priority weight for its latency; it rises to 1 for the class with the most.
constexpr double kBorrowableFraction = 0.8;
/// A tenant at its share exceeds it at times by chance; up to this many standard deviations are tolerated.
constexpr double kShareSlackDeviations = 3;
/// No more requests are open than are served within this time, at the recent peak rate.
constexpr Duration kMaxOpenTime{400};
/// The same in multiples of the servers' usual latency, where that is longer than kMaxOpenTime.
constexpr double kMaxOpenTimeLatencies = 2;
/// This many requests may be open even at a node that serves few.
constexpr double kMinOpenLimit = 24;
/// Time constant by which the recent peak of the served rate decays.
constexpr Duration kPeakRateTimeConstant{30000};
/// A retry this much before or after its time is on time.
constexpr Duration kOnTimeTolerance{100};
/// How long after a client's retry was due its early retries are remembered.
constexpr Duration kComplianceMemory{10000};

}  // namespace

void RetryAfterSchedule::advance(TimePoint now) {
    std::uint64_t slot = slot_of(now),
                  first_kept = slot > kLateToleranceSlots ? slot - kLateToleranceSlots : 0;
    std::uint64_t expired =
        std::min<std::uint64_t>(first_kept > oldest_slot_ ? first_kept - oldest_slot_ : 0, kSlots);
    for (; expired > 0; --expired) {
        std::uint16_t& reservations = reservations_[(first_kept - expired) % kSlots];
        reserved_ -= reservations;
        reservations = 0;
    }
    oldest_slot_ = std::max(oldest_slot_, first_kept);
}

Duration RetryAfterSchedule::reserve(TimePoint now, double returns_per_s, Duration client_timeout) {
    if (max_delay_.count() <= 0) return Duration{0};
    advance(now);
    bool short_timeout = client_timeout.count() > 0 && client_timeout < 2 * kMinRetryDelay;
    Duration preferred_min_delay = short_timeout ? kMinRetryDelayFraction * client_timeout : kMinRetryDelay,
             min_window = short_timeout ? kMinReturnWindowFraction * client_timeout : kMinReturnWindow;
    Duration max_delay = std::min(max_delay_, kSlot * double(kSlots - 2 * kLateToleranceSlots));
    Duration min_delay = std::min(preferred_min_delay, max_delay / 2);
    Duration needed = returns_per_s > 0 ? Duration{1000 * double(reserved_) / returns_per_s} : max_delay;
    Duration window = std::min(max_delay - min_delay, std::max(min_window, needed));
    Duration best{0};
    std::uint16_t fewest = 0;
    for (int sample = 0; sample < kSampledSlots; ++sample) {
        Duration delay = min_delay + window * uniform();
        std::uint16_t reservations = reservations_[slot_of(now + delay) % kSlots];
        if (sample > 0 && reservations >= fewest) continue;
        best = delay;
        fewest = reservations;
    }
    std::uint16_t& reservations = reservations_[slot_of(now + best) % kSlots];
    if (reservations < UINT16_MAX) {
        ++reservations;
        ++reserved_;
    }
    return best;
}

bool RetryAfterSchedule::claim(TimePoint now) {
    advance(now);
    // Oldest slot first: retries reserved in later slots may still arrive on time.
    for (std::uint64_t slot = oldest_slot_; slot <= slot_of(now) + kEarlyToleranceSlots; ++slot) {
        std::uint16_t& reservations = reservations_[slot % kSlots];
        if (reservations == 0) continue;
        --reservations;
        --reserved_;
        return true;
    }
    return false;
}

std::size_t RetryAfterSchedule::reserved(TimePoint now) {
    advance(now);
    return reserved_;
}

// The finalizer of MurmurHash3.
std::uint64_t RetryAfterCompliance::hash_of(std::uint64_t client) {
    client = (client ^ client >> 33) * 0xff51afd7ed558ccd;
    client = (client ^ client >> 33) * 0xc4ceb9fe1a85ec53;
    return client ^ client >> 33;
}

void RetryAfterCompliance::record_retry_after(TimePoint now, std::uint64_t client, Duration retry_after) {
    std::uint64_t hash = hash_of(client);
    Entry& entry = entries_[hash % kEntries];
    auto tag = std::uint16_t(hash >> 48);
    if (entry.tag != tag || early_retries(now, client) == 0) entry = {0, tag, 0};
    entry.due = std::uint32_t(std::uint64_t((now + retry_after).time_since_epoch().count()));
}

RetryAfterCompliance::Arrival RetryAfterCompliance::record_arrival(TimePoint now, std::uint64_t client) {
    std::uint64_t hash = hash_of(client);
    Entry& entry = entries_[hash % kEntries];
    if (entry.tag != std::uint16_t(hash >> 48) || entry.due == 0) return Arrival::Unknown;
    auto remaining = std::int32_t(entry.due - std::uint32_t(std::uint64_t(now.time_since_epoch().count())));
    if (remaining < -kComplianceMemory.count()) return Arrival::Unknown;
    if (remaining > kOnTimeTolerance.count()) {
        if (entry.early_retries < UINT8_MAX) ++entry.early_retries;
        return Arrival::Early;
    }
    if (remaining < -kOnTimeTolerance.count()) return Arrival::Unknown;
    entry.early_retries /= 2;
    return Arrival::OnTime;
}

int RetryAfterCompliance::early_retries(TimePoint now, std::uint64_t client) const {
    std::uint64_t hash = hash_of(client);
    const Entry& entry = entries_[hash % kEntries];
    if (entry.tag != std::uint16_t(hash >> 48)) return 0;
    auto remaining = std::int32_t(entry.due - std::uint32_t(std::uint64_t(now.time_since_epoch().count())));
    return remaining < -kComplianceMemory.count() ? 0 : entry.early_retries;
}

AdmissionController::AdmissionController(const Settings& settings)
    : max_connections_(double(std::max<std::size_t>(settings.max_connections, 1))),
      limits_open_requests_(settings.limits_open_requests),
      sends_retry_after_(settings.max_retry_after.count() > 0),
      retry_after_(settings.max_retry_after, settings.seed),
      load_state_(
          [&] {
              std::vector<Duration> request_timeouts = settings.request_timeouts;
              request_timeouts.resize(settings.priority_weights.size(), Duration{1000});
              return request_timeouts;
          }(),
          settings.tenant_shares.size()) {
    for (double weight : settings.priority_weights) classes_.push_back({weight, 0, {}});
    for (std::size_t i = 0; i < std::min(classes_.size(), settings.request_timeouts.size()); ++i)
        classes_[i].request_timeout = settings.request_timeouts[i];
    double sum = 0;
    for (double share : settings.tenant_shares) sum += share;
    for (double share : settings.tenant_shares)
        tenants_.push_back({sum > 0 ? std::max(share, 1e-3 * sum) : 1, 0});
    tenants_.push_back({sum > 0 ? sum / double(settings.tenant_shares.size()) : 1, 0});
}

AdmissionController AdmissionController::from_settings(const ochrehub::Settings& settings,
                                                       std::size_t max_connections, std::uint64_t seed,
                                                       bool limits_open_requests) {
    Settings own{{},
                 {},
                 {},
                 max_connections,
                 settings.retry_after ? settings.max_retry_after : Duration{0},
                 seed,
                 limits_open_requests};
    for (const ClassSettings& c : settings.classes) {
        own.priority_weights.push_back(c.priority_weight);
        own.request_timeouts.push_back(c.request_timeout);
    }
    for (const TenantSettings& t : settings.tenants) own.tenant_shares.push_back(t.fair_share);
    return AdmissionController(own);
}

std::size_t AdmissionController::memory_bytes() const {
    return sizeof(*this) - sizeof(load_state_) + load_state_.memory_bytes() +
           classes_.capacity() * sizeof(Class) + tenants_.capacity() * sizeof(Tenant);
}

// Between the minimum and the maximum, by how many other classes have less priority weight for their latency.
double AdmissionController::capacity_fraction(const Class& request_class) const {
    auto density = [](const Class& c) { return c.priority_weight / std::max(1.0, c.latency_ms); };
    double below = 0;
    for (const Class& other : classes_) below += density(other) < density(request_class);
    double rank = classes_.size() > 1 ? below / double(classes_.size() - 1) : 1;
    return kMinCapacityFraction + (kMaxCapacityFraction - kMinCapacityFraction) * rank;
}

// Max-min fairness: if every tenant were filled up to this tenant's level, in proportion to their shares,
// would all together use up the capacity? A tenant that is above its share for a moment by chance does not
// exceed it.
bool AdmissionController::exceeds_fair_share(const Tenant& tenant, double capacity) const {
    double shares = 0, sum = 0;
    for (const Tenant& other : tenants_) shares += other.share;
    double fair = capacity * tenant.share / shares;
    double slack = kShareSlackDeviations * std::sqrt(fair);
    if (tenant.open_requests + 1 <= fair + slack) return false;
    double level = (tenant.open_requests + 1 - slack) / tenant.share;
    for (const Tenant& other : tenants_) sum += std::min(double(other.open_requests), other.share * level);
    return sum >= capacity;
}

AdmissionController::Tenant& AdmissionController::tenant_of(const AdmissionRequest& request) {
    return tenants_[request.tenant == kNone ? tenants_.size() - 1 : std::size_t(request.tenant)];
}

std::uint64_t AdmissionController::compliance_key(const AdmissionRequest& request) const {
    return request.client_id == 0 ? 0
                                  : request.client_id * tenants_.size() + std::uint64_t(request.tenant + 1);
}

bool AdmissionController::record_arrival_and_check_capacity(TimePoint now, const AdmissionRequest& request) {
    std::uint64_t client = compliance_key(request);
    RetryAfterCompliance::Arrival arrival =
        client != 0 ? compliance_.record_arrival(now, client) : RetryAfterCompliance::Arrival::Unknown;
    load_state_.request_arrived(now, request.tenant, request.is_retry);
    // A retry that is known to be early does not claim another client's reservation.
    bool scheduled = !request.is_retry;
    if (request.is_retry && arrival != RetryAfterCompliance::Arrival::Early)
        scheduled = retry_after_.claim(now) || arrival == RetryAfterCompliance::Arrival::OnTime;
    double class_fraction = capacity_fraction(classes_[std::size_t(request.class_index)]),
           fraction = class_fraction;
    if (!scheduled)
        fraction = client != 0 && compliance_.early_retries(now, client) >= kNoncompliantEarlyRetries
                       ? kNoncompliantRetryFraction
                       : kUnscheduledRetryFraction;
    // The recent peak, not the current rate: a limit that followed the current rate would lower the rate
    // further when it falls, and would never rise above what is admitted.
    double peak_per_s = peak_served_per_s_ * std::exp(-((now - peak_served_at_) / kPeakRateTimeConstant));
    double capacity = max_connections_;
    if (!first_request_at_) first_request_at_ = now;
    // After a start the rate is unknown, and a burst is no storm. As many requests as the servers' usual
    // latency accounts for are open at any time; a limit as low as that would reject requests without need
    // and so lower the rate.
    Duration max_open_time = std::max(kMaxOpenTime, Duration{kMaxOpenTimeLatencies * usual_latency_ms_});
    if (now - *first_request_at_ >= std::max(kServedRateTimeConstant, 2 * max_open_time))
        capacity = std::min(capacity, std::max(kMinOpenLimit, peak_per_s * max_open_time.count() / 1000));
    capacity *= fraction;
    if (!limits_open_requests_) return true;
    if (double(open_requests_) >= std::max(1.0, capacity)) return false;
    // Classes with the least priority weight for their latency give way first here too. A scheduled retry is
    // admitted even if its tenant exceeds its share.
    double rank = (class_fraction - kMinCapacityFraction) / (kMaxCapacityFraction - kMinCapacityFraction);
    double borrowable = capacity * (kBorrowableFraction + (1 - kBorrowableFraction) * rank);
    return (request.is_retry && scheduled) || double(open_requests_) < borrowable ||
           !exceeds_fair_share(tenant_of(request), borrowable);
}

std::optional<Duration> AdmissionController::admit(TimePoint now, const AdmissionRequest& request) {
    if (!record_arrival_and_check_capacity(now, request)) return reject(now, request);
    if (!request.receiving_body) count_open(request, 1);
    return std::nullopt;
}

void AdmissionController::body_received(AdmissionRequest& request) {
    if (std::exchange(request.receiving_body, false)) count_open(request, 1);
}

void AdmissionController::count_open(const AdmissionRequest& request, int change) {
    open_requests_ += std::size_t(change);
    tenant_of(request).open_requests += std::uint32_t(change);
}

void AdmissionController::complete(TimePoint now, const AdmissionRequest& request, bool served,
                                   Duration latency, Duration server_latency) {
    if (!request.receiving_body) count_open(request, -1);
    load_state_.request_completed(now, request.class_index, served, latency);
    if (!served) return;
    if (server_latency.count() > 0) load_state_.server_responded(now, request.class_index, server_latency);
    served_per_s_ = served_per_s_ * std::exp(-((now - served_at_) / kServedRateTimeConstant)) +
                    1000 / kServedRateTimeConstant.count();
    served_at_ = now;
    peak_served_per_s_ = std::max(
        served_per_s_, peak_served_per_s_ * std::exp(-((now - peak_served_at_) / kPeakRateTimeConstant)));
    peak_served_at_ = now;
    usual_latency_ms_ += (usual_latency_ms_ > 0 ? kLatencyGain : 1) *
                         (load_state_.usual_latency_ms(request.class_index) - usual_latency_ms_);
    Class& c = classes_[std::size_t(request.class_index)];
    c.latency_ms += (c.latency_ms > 0 ? kLatencyGain : 1) * (latency.count() - c.latency_ms);
}

Duration AdmissionController::reject(TimePoint now, const AdmissionRequest& request) {
    return schedule_retry(now, request, classes_[std::size_t(request.class_index)].request_timeout);
}

Duration AdmissionController::schedule_retry(TimePoint now, const AdmissionRequest& request,
                                             Duration client_timeout) {
    load_state_.request_rejected(now);
    if (!sends_retry_after_) return Duration{0};
    double rate = served_per_s_ * std::exp(-((now - served_at_) / kServedRateTimeConstant));
    Duration retry_after = retry_after_.reserve(now, kReturnRateFraction * rate, client_timeout);
    if (std::uint64_t client = compliance_key(request))
        compliance_.record_retry_after(now, client, retry_after);
    return retry_after;
}

Duration AdmissionController::reject_connection(TimePoint now, const AdmissionRequest& request) {
    load_state_.request_arrived(now, request.tenant, request.is_retry);
    return schedule_retry(now, request, {});  // the request is unread, so its class is unknown
}

}  // namespace ochrehub
