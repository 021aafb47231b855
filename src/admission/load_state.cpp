#include "admission/load_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ochrehub {
namespace {

/// Time constant by which usual values are learned, in ms.
constexpr double kLearningTimeConstantMs = 20000;
/// Time constant by which the peak of the served rate decays, in ms.
constexpr double kPeakServedTimeConstantMs = 60000;
/// Nothing is compared with its usual value before it was learned in this many steps.
constexpr std::uint32_t kMinLearnedSteps = 12;
/// A request is late after this fraction of its client's timeout.
constexpr double kLateTimeoutFraction = 0.5;
/// A server that started within this time is new.
constexpr Duration kNewServerAge{10000};
/// A tenant's growth is measured against at least this fraction of all usual first attempts.
constexpr double kMinTenantFraction = 0.07;
/// Steps that a storm must be observed for before it is reported; peaks of normal load are shorter.
constexpr int kStormEntrySteps = 8;
/// Steps that the other states must be observed for before they are reported.
constexpr int kEntrySteps = 2;
/// Steps that a lower state must be observed for before it replaces a higher one.
constexpr int kExitSteps = 8;

bool contains_sorted(const std::vector<EndpointId>& ids, EndpointId id) {
    return std::binary_search(ids.begin(), ids.end(), id);
}
void insert_sorted(std::vector<EndpointId>& ids, EndpointId id) {
    auto at = std::lower_bound(ids.begin(), ids.end(), id);
    if (at == ids.end() || *at != id) ids.insert(at, id);
}
void erase_sorted(std::vector<EndpointId>& ids, EndpointId id) {
    auto at = std::lower_bound(ids.begin(), ids.end(), id);
    if (at != ids.end() && *at == id) ids.erase(at);
}

}  // namespace

LoadState::LoadState(std::vector<Duration> request_timeouts, std::size_t tenants) : tenants_(tenants) {
    for (Duration timeout : request_timeouts) classes_.push_back({timeout});
}

const char* LoadState::name(State state) {
    static constexpr const char* kNames[kStates] = {"calm", "busy", "brownout", "release", "storm"};
    return kNames[std::size_t(state)];
}

std::size_t LoadState::memory_bytes() const {
    return sizeof(*this) + classes_.capacity() * sizeof(Class) + tenants_.capacity() * sizeof(Tenant) +
           (ready_.capacity() + draining_.capacity()) * sizeof(EndpointId);
}

LoadState::Step& LoadState::step(TimePoint now) {
    auto at = std::uint64_t(std::max(0.0, now.time_since_epoch() / kStep));
    if (first_step_ == 0) first_step_ = current_step_ = at;
    // After a long silence the window is empty and all recent counts have expired.
    if (at > current_step_ + newly_started_.size()) current_step_ = at - newly_started_.size();
    while (current_step_ < at) close_step();
    return steps_[current_step_ % kSteps];
}

void LoadState::connection_opened(TimePoint now) {
    ++step(now).connections;
}
void LoadState::request_arrived(TimePoint now, int tenant, bool is_retry) {
    Step& s = step(now);
    ++(is_retry ? s.retries : s.first_attempts);
    if (tenant >= 0 && std::size_t(tenant) < tenants_.size()) ++tenants_[std::size_t(tenant)].arrived;
}
void LoadState::request_rejected(TimePoint now) {
    ++step(now).rejected;
}

void LoadState::request_completed(TimePoint now, int class_index, bool served, Duration latency) {
    Step& s = step(now);
    ++s.completed;
    s.served += served;
    s.late += latency > classes_[std::size_t(class_index)].request_timeout * kLateTimeoutFraction;
}

void LoadState::server_responded(TimePoint now, int class_index, Duration latency) {
    Step& s = step(now);
    Class& c = classes_[std::size_t(class_index)];
    double log_ms = std::log(std::max(0.1, latency.count()));
    c.log_ms_sum += log_ms;
    ++c.responses;
    if (c.learned_steps < kMinLearnedSteps) return;
    s.log_slowdown += log_ms - c.usual_log_ms;
    ++s.responses;
}

void LoadState::update_endpoints(TimePoint now, const EndpointUpdate& update) {
    if (update.kind == UpdateKind::Failed) return;
    step(now);
    std::size_t index = current_step_ % newly_started_.size();
    std::vector<EndpointId> previous;
    if (update.kind != UpdateKind::Delta) {
        previous = std::exchange(ready_, {});
        draining_.clear();
    }
    const std::vector<EndpointId>& known = update.kind != UpdateKind::Delta ? previous : ready_;
    for (const EndpointEntry& entry : update.entries) {
        bool was_known = contains_sorted(known, entry.endpoint);
        if (entry.phase == Phase::Ready) {
            bool is_new = entry.last_start && now - *entry.last_start < kNewServerAge;
            if (has_list_ && !was_known && is_new && newly_started_[index] < UINT8_MAX)
                ++newly_started_[index];
            insert_sorted(ready_, entry.endpoint);
            erase_sorted(draining_, entry.endpoint);
            continue;
        }
        if (entry.phase == Phase::Draining) {
            if (was_known && !contains_sorted(draining_, entry.endpoint) &&
                newly_draining_[index] < UINT8_MAX)
                ++newly_draining_[index];
            insert_sorted(draining_, entry.endpoint);
        } else {
            erase_sorted(draining_, entry.endpoint);
        }
        erase_sorted(ready_, entry.endpoint);
    }
    // A list cached before the start of this node says nothing about current changes.
    has_list_ = update.kind != UpdateKind::Cached || has_list_;
}

void LoadState::update_signals() {
    Step sum;
    for (const Step& s : steps_) {
        sum.first_attempts += s.first_attempts;
        sum.retries += s.retries;
        sum.rejected += s.rejected;
        sum.completed += s.completed;
        sum.late += s.late;
        sum.served += s.served;
        sum.connections += s.connections;
        sum.responses += s.responses;
        sum.log_slowdown += s.log_slowdown;
    }
    const double window = kStep.count() * double(kSteps) / 1000;
    auto fraction = [](double part, double whole) { return whole > 0 ? std::min(1.0, part / whole) : 0; };
    double requests = sum.first_attempts + sum.retries;
    signals_.requests_per_s = requests / window;
    signals_.retry_fraction = fraction(sum.retries, requests);
    signals_.rejected_fraction = fraction(sum.rejected, requests);
    signals_.late_fraction = fraction(sum.late, sum.completed);
    signals_.served_per_s = sum.served / window;
    signals_.slowdown = sum.responses > 0 ? std::exp(sum.log_slowdown / sum.responses) : 1;
    signals_.connections_per_s = sum.connections / window;
    signals_.peak_served_per_s =
        std::max(signals_.served_per_s,
                 signals_.peak_served_per_s * std::exp(-kStep.count() / kPeakServedTimeConstantMs));
    signals_.draining_servers = signals_.new_servers = 0;
    for (std::uint8_t count : newly_draining_) signals_.draining_servers += count;
    for (std::uint8_t count : newly_started_) signals_.new_servers += count;
    signals_.tenant = kNone;
    signals_.tenant_growth = 1;
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
        Tenant& t = tenants_[i];
        const double fade = std::exp(-1 / double(kSteps));
        t.recent_per_s = t.recent_per_s * fade + t.arrived * (1 - fade) * 1000 / kStep.count();
        // A tenant with few or no usual requests must not be reported for a few more.
        double growth = t.recent_per_s /
                        std::max(t.usual_per_s, kMinTenantFraction * signals_.usual_first_attempts_per_s);
        if (learned_steps_ < kMinLearnedSteps || growth <= signals_.tenant_growth) continue;
        signals_.tenant = int(i);
        signals_.tenant_growth = growth;
    }
}

void LoadState::close_step() {
    update_signals();
    State observed = classify();
    // Steps in a higher state are not usual, nor are steps that may lead to one.
    if (current_step_ - first_step_ >= kSteps && state_ <= State::Busy && observed <= State::Busy) learn();
    for (Class& c : classes_) c.log_ms_sum = c.responses = 0;
    for (Tenant& t : tenants_) t.arrived = 0;

    candidate_steps_ = observed == candidate_ ? candidate_steps_ + 1 : 1;
    candidate_ = observed;
    int needed = observed < state_ ? kExitSteps : observed == State::Storm ? kStormEntrySteps : kEntrySteps;
    if (observed != state_ && candidate_steps_ >= needed) {
        TimePoint at{kStep * double(current_step_ + 1)};
        change_ = Change{at, state_, observed, signals_};
        state_ = observed;
        since_ = at;
    }
    ++current_step_;
    steps_[current_step_ % kSteps] = {};
    newly_draining_[current_step_ % newly_draining_.size()] =
        newly_started_[current_step_ % newly_started_.size()] = 0;
}

void LoadState::learn() {
    learned_steps_ = std::min(learned_steps_ + 1, UINT32_MAX - 1);
    auto gain = [](std::uint32_t steps) {
        return std::max(1 - std::exp(-kStep.count() / kLearningTimeConstantMs), 1.0 / steps);
    };
    signals_.usual_first_attempts_per_s +=
        gain(learned_steps_) *
        (signals_.requests_per_s * (1 - signals_.retry_fraction) - signals_.usual_first_attempts_per_s);
    signals_.usual_connections_per_s +=
        gain(learned_steps_) * (signals_.connections_per_s - signals_.usual_connections_per_s);
    for (Tenant& t : tenants_) {
        // A sudden increase is learned slowly; a storm would otherwise become usual before it is reported.
        bool is_sudden = learned_steps_ >= kMinLearnedSteps && t.recent_per_s > 2 * t.usual_per_s;
        t.usual_per_s += gain(learned_steps_) * (is_sudden ? 0.125 : 1) * (t.recent_per_s - t.usual_per_s);
    }
    for (Class& c : classes_) {
        if (c.responses == 0) continue;
        ++c.learned_steps;
        c.usual_log_ms += gain(c.learned_steps) * (c.log_ms_sum / c.responses - c.usual_log_ms);
    }
}

double LoadState::usual_latency_ms(int class_index) const {
    const Class& c = classes_[std::size_t(class_index)];
    return c.learned_steps > 0 ? std::exp(c.usual_log_ms) : 0;
}

LoadState::State LoadState::classify() const {
    const OverloadSignals& s = signals_;
    if (s.draining_servers >= 1 && s.draining_servers + s.new_servers >= 2) return State::Release;
    const bool has_usual = learned_steps_ >= kMinLearnedSteps;
    const bool storm = state_ == State::Storm, brownout = state_ == State::Brownout;
    const double first_attempts = s.requests_per_s * (1 - s.retry_fraction);
    // Fewer requests are served than before although no more arrive: the servers' capacity has fallen.
    const bool serves_less =
        has_usual && s.served_per_s < 0.8 * s.peak_served_per_s && s.served_per_s > 0.1 * s.peak_served_per_s;
    const bool no_more_requests = first_attempts < (brownout ? 1.6 : 1.35) * s.usual_first_attempts_per_s;
    if (serves_less && no_more_requests && s.slowdown >= (brownout ? 1.15 : 1.35) &&
        s.rejected_fraction >= (brownout ? 0.1 : 0.25))
        return State::Brownout;
    // More requests arrive than can be served, and rejected clients retry.
    if (has_usual && s.rejected_fraction >= (storm ? 0.15 : 0.35) &&
        s.retry_fraction >= (storm ? 0.15 : 0.25))
        return State::Storm;
    if (has_usual && s.tenant_growth >= (storm ? 2 : 3) && s.rejected_fraction >= (storm ? 0.02 : 0.05))
        return State::Storm;
    return s.rejected_fraction >= 0.02 || s.retry_fraction >= 0.1 ? State::Busy : State::Calm;
}

std::optional<LoadState::Change> LoadState::poll_change(TimePoint now) {
    step(now);
    return std::exchange(change_, std::nullopt);
}

}  // namespace ochrehub
