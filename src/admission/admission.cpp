#include "admission/admission.h"

#include <algorithm>
#include <cmath>

namespace ochrehub {
namespace {

constexpr Duration kSoonest{250};   // no sooner: a refusal must be a rest
constexpr Duration kShortest{800};  // of a window: few who come together are no crowd
constexpr double kSoonestPart = 0.25,
                 kShortestPart = 0.5;  // ... of the time of clients who wait for less than twice kSoonest
constexpr int kLooks = 4;              // slots that are looked at for the emptiest
constexpr std::uint64_t kEarly = 2;    // slots by which one may be early, for the way
constexpr std::uint64_t kLate = 4;     // ... or late
constexpr double kReturnsShare = 0.5;  // of what is served: the rest is first tries
constexpr Duration kServedOver{2000};
constexpr double kTookGain = 0.05;
constexpr double kRoomMost = 0.9;     // of the connections, for requests that are open
constexpr double kRoomLeast = 0.7;    // ... the class that is worth the least for its time
constexpr double kRoomRepeats = 0.5;  // ... and repeats out of turn
constexpr double kRoomDeaf = 0.3;     // ... of those who come out of turn again and again
constexpr int kDeaf = 2;              // strikes
constexpr double kRoomShared = 0.8;   // ... of its part, till where a tenant may use what others leave
constexpr double kShareSlack =
    3;  // how far chance carries one that is at its share, in its standard deviations
constexpr Duration kRoomTime{400};  // ... and never more than are served in this time, by the most of late
constexpr double kRoomTimes = 2;    // ... or in so many times what answers take usually, if that is more
constexpr double kRoomAlways = 24;  // ... but so many, of a node that serves few
constexpr Duration kMostFade{30000};
constexpr Duration kOnTime{100};  // by which one may be early or late
constexpr Duration kRemembered{10000};

}  // namespace

void RetryAfterSchedule::advance(TimePoint now) {
    std::uint64_t slot = slot_of(now), keep = slot > kLate ? slot - kLate : 0;
    std::uint64_t left = std::min<std::uint64_t>(keep > from_ ? keep - from_ : 0, kSlots);
    for (; left > 0; --left) {
        std::uint16_t& seats = seats_[(keep - left) % kSlots];
        booked_ -= seats;
        seats = 0;
    }
    from_ = std::max(from_, keep);
}

Duration RetryAfterSchedule::give(TimePoint now, double rate, Duration patience) {
    if (most_.count() <= 0) return Duration{0};
    advance(now);
    bool brief = patience.count() > 0 && patience < 2 * kSoonest;
    Duration soonest = brief ? kSoonestPart * patience : kSoonest,
             shortest = brief ? kShortestPart * patience : kShortest;
    Duration last = std::min(most_, kSlot * double(kSlots - 2 * kLate));
    Duration first = std::min(soonest, last / 2);
    Duration needed = rate > 0 ? Duration{1000 * double(booked_) / rate} : last;
    Duration window = std::min(last - first, std::max(shortest, needed));
    Duration best{0};
    std::uint16_t least = 0;
    for (int look = 0; look < kLooks; ++look) {
        Duration at = first + window * uniform();
        std::uint16_t seats = seats_[slot_of(now + at) % kSlots];
        if (look > 0 && seats >= least) continue;
        best = at;
        least = seats;
    }
    std::uint16_t& seats = seats_[slot_of(now + best) % kSlots];
    if (seats < UINT16_MAX) {
        ++seats;
        ++booked_;
    }
    return best;
}

bool RetryAfterSchedule::keep(TimePoint now) {
    advance(now);
    // Oldest first: those behind may still be on time.
    for (std::uint64_t slot = from_; slot <= slot_of(now) + kEarly; ++slot) {
        std::uint16_t& seats = seats_[slot % kSlots];
        if (seats == 0) continue;
        --seats;
        --booked_;
        return true;
    }
    return false;
}

std::size_t RetryAfterSchedule::booked(TimePoint now) {
    advance(now);
    return booked_;
}

std::uint64_t RetryAfterCompliance::mixed(std::uint64_t who) {
    who = (who ^ who >> 33) * 0xff51afd7ed558ccd;
    who = (who ^ who >> 33) * 0xc4ceb9fe1a85ec53;
    return who ^ who >> 33;
}

void RetryAfterCompliance::told(TimePoint now, std::uint64_t who, Duration back) {
    std::uint64_t mix = mixed(who);
    Entry& entry = entries_[mix % kPlaces];
    auto tag = std::uint16_t(mix >> 48);
    if (entry.tag != tag || strikes(now, who) == 0) entry = {0, tag, 0};
    entry.due = std::uint32_t(std::uint64_t((now + back).time_since_epoch().count()));
}

RetryAfterCompliance::Comes RetryAfterCompliance::comes(TimePoint now, std::uint64_t who) {
    std::uint64_t mix = mixed(who);
    Entry& entry = entries_[mix % kPlaces];
    if (entry.tag != std::uint16_t(mix >> 48) || entry.due == 0) return Comes::Unknown;
    auto left = std::int32_t(entry.due - std::uint32_t(std::uint64_t(now.time_since_epoch().count())));
    if (left < -kRemembered.count()) return Comes::Unknown;
    if (left > kOnTime.count()) {
        if (entry.strikes < UINT8_MAX) ++entry.strikes;
        return Comes::Early;
    }
    if (left < -kOnTime.count()) return Comes::Unknown;
    entry.strikes /= 2;
    return Comes::OnTime;
}

int RetryAfterCompliance::strikes(TimePoint now, std::uint64_t who) const {
    std::uint64_t mix = mixed(who);
    const Entry& entry = entries_[mix % kPlaces];
    if (entry.tag != std::uint16_t(mix >> 48)) return 0;
    auto left = std::int32_t(entry.due - std::uint32_t(std::uint64_t(now.time_since_epoch().count())));
    return left < -kRemembered.count() ? 0 : entry.strikes;
}

AdmissionController::AdmissionController(const Settings& settings)
    : room_(double(std::max<std::size_t>(settings.max_connections, 1))),
      bounded_(settings.limits_open_requests),
      advises_(settings.max_retry_after.count() > 0),
      retry_after_(settings.max_retry_after, settings.seed),
      load_state_(
          [&] {
              std::vector<Duration> give_up = settings.request_timeouts;
              give_up.resize(settings.priority_weights.size(), Duration{1000});
              return give_up;
          }(),
          settings.tenant_shares.size()) {
    for (double worth : settings.priority_weights) classes_.push_back({worth, 0, {}});
    for (std::size_t i = 0; i < std::min(classes_.size(), settings.request_timeouts.size()); ++i)
        classes_[i].give_up = settings.request_timeouts[i];
    double sum = 0;
    for (double share : settings.tenant_shares) sum += share;
    for (double share : settings.tenant_shares)
        tenants_.push_back({sum > 0 ? std::max(share, 1e-3 * sum) : 1, 0});
    tenants_.push_back({sum > 0 ? sum / double(settings.tenant_shares.size()) : 1, 0});
}

AdmissionController AdmissionController::from_settings(const ochrehub::Settings& settings, std::size_t room,
                                                       std::uint64_t seed, bool bounded) {
    Settings own{{},   {},     {}, room, settings.retry_after ? settings.max_retry_after : Duration{0},
                 seed, bounded};
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

// Between the least and the most by how many other classes are worth less for their time.
double AdmissionController::part(const Class& cls) const {
    auto density = [](const Class& c) { return c.worth / std::max(1.0, c.took_ms); };
    double below = 0;
    for (const Class& other : classes_) below += density(other) < density(cls);
    double rank = classes_.size() > 1 ? below / double(classes_.size() - 1) : 1;
    return kRoomLeast + (kRoomMost - kRoomLeast) * rank;
}

// Max-min fair: filled up to this tenant's level, by their shares, do all together use the room up? A tenant
// that has more for a moment than its share, as chance has it, is not beyond it.
bool AdmissionController::beyond_share(const Tenant& own, double room) const {
    double shares = 0, sum = 0;
    for (const Tenant& each : tenants_) shares += each.share;
    double fair = room * own.share / shares;
    double slack = kShareSlack * std::sqrt(fair);
    if (own.open + 1 <= fair + slack) return false;
    double level = (own.open + 1 - slack) / own.share;
    for (const Tenant& each : tenants_) sum += std::min(double(each.open), each.share * level);
    return sum >= room;
}

AdmissionController::Tenant& AdmissionController::tenant(const AdmissionRequest& request) {
    return tenants_[request.tenant == kNone ? tenants_.size() - 1 : std::size_t(request.tenant)];
}

std::uint64_t AdmissionController::known_as(const AdmissionRequest& request) const {
    return request.client_id == 0 ? 0
                                  : request.client_id * tenants_.size() + std::uint64_t(request.tenant + 1);
}

bool AdmissionController::may_enter(TimePoint now, const AdmissionRequest& request) {
    std::uint64_t who = known_as(request);
    RetryAfterCompliance::Comes comes =
        who != 0 ? compliance_.comes(now, who) : RetryAfterCompliance::Comes::Unknown;
    load_state_.request_arrived(now, request.tenant, request.is_retry);
    // One that is known to come too early takes nobody's seat.
    bool in_turn = !request.is_retry;
    if (request.is_retry && comes != RetryAfterCompliance::Comes::Early)
        in_turn = retry_after_.keep(now) || comes == RetryAfterCompliance::Comes::OnTime;
    double own = part(classes_[std::size_t(request.class_index)]), part = own;
    if (!in_turn) part = who != 0 && compliance_.strikes(now, who) >= kDeaf ? kRoomDeaf : kRoomRepeats;
    // Of the most and not of what is served now: that would fall for its own fall, and never rise above what
    // is let in.
    double rate = most_ * std::exp(-((now - most_at_) / kMostFade));
    double room = room_;
    if (!began_) began_ = now;
    // Behind a start nothing is known of the rate yet, and a burst is no storm. What answers take when
    // nothing is wrong stands there by itself: as little room as that would be refused for no need, and the
    // rate fall with it.
    Duration time = std::max(kRoomTime, Duration{kRoomTimes * usual_ms_});
    if (now - *began_ >= std::max(kServedOver, 2 * time))
        room = std::min(room, std::max(kRoomAlways, rate * time.count() / 1000));
    room *= part;
    if (!bounded_) return true;
    if (double(open_) >= std::max(1.0, room)) return false;
    // What is worth the least for its time makes way first here too. Who comes as it was told keeps its turn.
    double rank = (own - kRoomLeast) / (kRoomMost - kRoomLeast);
    double shared = room * (kRoomShared + (1 - kRoomShared) * rank);
    return (request.is_retry && in_turn) || double(open_) < shared || !beyond_share(tenant(request), shared);
}

std::optional<Duration> AdmissionController::admit(TimePoint now, const AdmissionRequest& request) {
    if (!may_enter(now, request)) return reject(now, request);
    ++open_;
    ++tenant(request).open;
    return std::nullopt;
}

void AdmissionController::complete(TimePoint now, const AdmissionRequest& request, bool served, Duration took,
                                   Duration server_took) {
    --open_;
    --tenant(request).open;
    load_state_.request_completed(now, request.class_index, served, took);
    if (!served) return;
    if (server_took.count() > 0) load_state_.server_responded(now, request.class_index, server_took);
    served_ = served_ * std::exp(-((now - served_at_) / kServedOver)) + 1000 / kServedOver.count();
    served_at_ = now;
    most_ = std::max(served_, most_ * std::exp(-((now - most_at_) / kMostFade)));
    most_at_ = now;
    usual_ms_ += (usual_ms_ > 0 ? kTookGain : 1) * (load_state_.usual_ms(request.class_index) - usual_ms_);
    Class& c = classes_[std::size_t(request.class_index)];
    c.took_ms += (c.took_ms > 0 ? kTookGain : 1) * (took.count() - c.took_ms);
}

Duration AdmissionController::reject(TimePoint now, const AdmissionRequest& request) {
    return advise(now, request, classes_[std::size_t(request.class_index)].give_up);
}

Duration AdmissionController::advise(TimePoint now, const AdmissionRequest& request, Duration patience) {
    load_state_.request_rejected(now);
    if (!advises_) return Duration{0};
    double rate = served_ * std::exp(-((now - served_at_) / kServedOver));
    Duration back = retry_after_.give(now, kReturnsShare * rate, patience);
    if (std::uint64_t who = known_as(request)) compliance_.told(now, who, back);
    return back;
}

Duration AdmissionController::reject_connection(TimePoint now, const AdmissionRequest& request) {
    load_state_.request_arrived(now, request.tenant, request.is_retry);
    return advise(now, request, {});  // nobody has read what it asks for
}

}  // namespace ochrehub
