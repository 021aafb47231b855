#include "admission/load_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ochrehub {
namespace {

constexpr double kLearnOver = 20000;  // ms
constexpr double kCapacityFade = 60000;
constexpr std::uint32_t kLearnAtLeast = 12;  // steps, before anything is held against what is usual
constexpr double kLate = 0.5;                // of the time that a client waits
constexpr Duration kFresh{10000};            // a server that started since is new
constexpr double kTenantLeast = 0.07;        // of all that comes: what one must ask to be called
constexpr int kStormFor = 8;  // steps that it must be seen before it is called; a peak is shorter
constexpr int kOtherFor = 2;
constexpr int kOverFor = 8;  // ... and before it is over

bool sorted_has(const std::vector<EndpointId>& ids, EndpointId id) {
    return std::binary_search(ids.begin(), ids.end(), id);
}
void sorted_put(std::vector<EndpointId>& ids, EndpointId id) {
    auto at = std::lower_bound(ids.begin(), ids.end(), id);
    if (at == ids.end() || *at != id) ids.insert(at, id);
}
void sorted_drop(std::vector<EndpointId>& ids, EndpointId id) {
    auto at = std::lower_bound(ids.begin(), ids.end(), id);
    if (at != ids.end() && *at == id) ids.erase(at);
}

}  // namespace

LoadState::LoadState(std::vector<Duration> give_up, std::size_t tenants) : tenants_(tenants) {
    for (Duration each : give_up) classes_.push_back({each});
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
    if (began_ == 0) began_ = at_ = at;
    // Behind a long silence the window is empty, and all that was of late is over.
    if (at > at_ + joined_.size()) at_ = at - joined_.size();
    while (at_ < at) close_step();
    return steps_[at_ % kSteps];
}

void LoadState::connection_opened(TimePoint now) {
    ++step(now).opened;
}
void LoadState::request_arrived(TimePoint now, int tenant, bool repeat) {
    Step& s = step(now);
    ++(repeat ? s.repeats : s.first);
    if (tenant >= 0 && std::size_t(tenant) < tenants_.size()) ++tenants_[std::size_t(tenant)].came;
}
void LoadState::request_rejected(TimePoint now) {
    ++step(now).refused;
}

void LoadState::request_completed(TimePoint now, int cls, bool served, Duration took) {
    Step& s = step(now);
    ++s.ended;
    s.served += served;
    s.late += took > classes_[std::size_t(cls)].give_up * kLate;
}

void LoadState::server_responded(TimePoint now, int cls, Duration took) {
    Step& s = step(now);
    Class& c = classes_[std::size_t(cls)];
    double log = std::log(std::max(0.1, took.count()));
    c.sum += log;
    ++c.answers;
    if (c.steps < kLearnAtLeast) return;
    s.slow += log - c.usual;
    ++s.answers;
}

void LoadState::update_endpoints(TimePoint now, const EndpointUpdate& update) {
    if (update.kind == UpdateKind::Failed) return;
    step(now);
    std::size_t place = at_ % joined_.size();
    std::vector<EndpointId> before;
    if (update.kind != UpdateKind::Delta) {
        before = std::exchange(ready_, {});
        draining_.clear();
    }
    const std::vector<EndpointId>& known = update.kind != UpdateKind::Delta ? before : ready_;
    for (const EndpointEntry& entry : update.entries) {
        bool was = sorted_has(known, entry.endpoint);
        if (entry.phase == Phase::Ready) {
            bool young = entry.last_start && now - *entry.last_start < kFresh;
            if (listed_ && !was && young && joined_[place] < UINT8_MAX) ++joined_[place];
            sorted_put(ready_, entry.endpoint);
            sorted_drop(draining_, entry.endpoint);
            continue;
        }
        if (entry.phase == Phase::Draining) {
            if (was && !sorted_has(draining_, entry.endpoint) && left_[place] < UINT8_MAX) ++left_[place];
            sorted_put(draining_, entry.endpoint);
        } else {
            sorted_drop(draining_, entry.endpoint);
        }
        sorted_drop(ready_, entry.endpoint);
    }
    // What a node keeps from before its start says nothing of now.
    listed_ = update.kind != UpdateKind::Cached || listed_;
}

void LoadState::sum_up() {
    Step sum;
    for (const Step& s : steps_) {
        sum.first += s.first;
        sum.repeats += s.repeats;
        sum.refused += s.refused;
        sum.ended += s.ended;
        sum.late += s.late;
        sum.served += s.served;
        sum.opened += s.opened;
        sum.answers += s.answers;
        sum.slow += s.slow;
    }
    const double window = kStep.count() * double(kSteps) / 1000;
    auto part = [](double some, double all) { return all > 0 ? std::min(1.0, some / all) : 0; };
    double tries = sum.first + sum.repeats;
    signals_.requests_per_s = tries / window;
    signals_.retry_fraction = part(sum.repeats, tries);
    signals_.rejected_fraction = part(sum.refused, tries);
    signals_.late_fraction = part(sum.late, sum.ended);
    signals_.served_per_s = sum.served / window;
    signals_.slowdown = sum.answers > 0 ? std::exp(sum.slow / sum.answers) : 1;
    signals_.connections_per_s = sum.opened / window;
    signals_.peak_served_per_s = std::max(
        signals_.served_per_s, signals_.peak_served_per_s * std::exp(-kStep.count() / kCapacityFade));
    signals_.draining_servers = signals_.new_servers = 0;
    for (std::uint8_t left : left_) signals_.draining_servers += left;
    for (std::uint8_t joined : joined_) signals_.new_servers += joined;
    signals_.tenant = kNone;
    signals_.tenant_growth = 1;
    for (std::size_t i = 0; i < tenants_.size(); ++i) {
        Tenant& t = tenants_[i];
        const double fade = std::exp(-1 / double(kSteps));
        t.recent = t.recent * fade + t.came * (1 - fade) * 1000 / kStep.count();
        // One that asks little must not be called for a few more, nor one that asked nothing.
        double grew = t.recent / std::max(t.usual, kTenantLeast * signals_.usual_first_attempts_per_s);
        if (learnt_ < kLearnAtLeast || grew <= signals_.tenant_growth) continue;
        signals_.tenant = int(i);
        signals_.tenant_growth = grew;
    }
}

void LoadState::close_step() {
    sum_up();
    State seen = judge();
    // What is called is not what is usual, nor is what may be called in the next step.
    if (at_ - began_ >= kSteps && state_ <= State::Busy && seen <= State::Busy) learn();
    for (Class& c : classes_) c.sum = c.answers = 0;
    for (Tenant& t : tenants_) t.came = 0;

    wanted_for_ = seen == wanted_ ? wanted_for_ + 1 : 1;
    wanted_ = seen;
    int needed = seen < state_ ? kOverFor : seen == State::Storm ? kStormFor : kOtherFor;
    if (seen != state_ && wanted_for_ >= needed) {
        TimePoint at{kStep * double(at_ + 1)};
        change_ = Change{at, state_, seen, signals_};
        state_ = seen;
        since_ = at;
    }
    ++at_;
    steps_[at_ % kSteps] = {};
    left_[at_ % left_.size()] = joined_[at_ % joined_.size()] = 0;
}

void LoadState::learn() {
    learnt_ = std::min(learnt_ + 1, UINT32_MAX - 1);
    auto gain = [](std::uint32_t steps) {
        return std::max(1 - std::exp(-kStep.count() / kLearnOver), 1.0 / steps);
    };
    signals_.usual_first_attempts_per_s +=
        gain(learnt_) *
        (signals_.requests_per_s * (1 - signals_.retry_fraction) - signals_.usual_first_attempts_per_s);
    signals_.usual_connections_per_s +=
        gain(learnt_) * (signals_.connections_per_s - signals_.usual_connections_per_s);
    for (Tenant& t : tenants_) {
        // What grows all at once becomes usual slowly, or a storm would be usual before it is called.
        bool sudden = learnt_ >= kLearnAtLeast && t.recent > 2 * t.usual;
        t.usual += gain(learnt_) * (sudden ? 0.125 : 1) * (t.recent - t.usual);
    }
    for (Class& c : classes_) {
        if (c.answers == 0) continue;
        ++c.steps;
        c.usual += gain(c.steps) * (c.sum / c.answers - c.usual);
    }
}

double LoadState::usual_ms(int cls) const {
    const Class& c = classes_[std::size_t(cls)];
    return c.steps > 0 ? std::exp(c.usual) : 0;
}

LoadState::State LoadState::judge() const {
    const OverloadSignals& s = signals_;
    if (s.draining_servers >= 1 && s.draining_servers + s.new_servers >= 2) return State::Release;
    const bool known = learnt_ >= kLearnAtLeast;
    const bool storm = state_ == State::Storm, brownout = state_ == State::Brownout;
    const double first = s.requests_per_s * (1 - s.retry_fraction);
    // Fewer are answered than could be before, though no more come: the servers have less to give.
    const bool less =
        known && s.served_per_s < 0.8 * s.peak_served_per_s && s.served_per_s > 0.1 * s.peak_served_per_s;
    const bool no_more = first < (brownout ? 1.6 : 1.35) * s.usual_first_attempts_per_s;
    if (less && no_more && s.slowdown >= (brownout ? 1.15 : 1.35) &&
        s.rejected_fraction >= (brownout ? 0.1 : 0.25))
        return State::Brownout;
    // More comes than can be answered, and what was refused comes again.
    if (known && s.rejected_fraction >= (storm ? 0.15 : 0.35) && s.retry_fraction >= (storm ? 0.15 : 0.25))
        return State::Storm;
    if (known && s.tenant_growth >= (storm ? 2 : 3) && s.rejected_fraction >= (storm ? 0.02 : 0.05))
        return State::Storm;
    return s.rejected_fraction >= 0.02 || s.retry_fraction >= 0.1 ? State::Busy : State::Calm;
}

std::optional<LoadState::Change> LoadState::poll_change(TimePoint now) {
    step(now);
    return std::exchange(change_, std::nullopt);
}

}  // namespace ochrehub
