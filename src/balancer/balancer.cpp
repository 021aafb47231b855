// ochrehub: every decision of the balancer. Its interface is include/ochrehub/balancer.h.
#include "ochrehub/balancer.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>
#include <utility>

#include "ochrehub/hash.h"
#include "ochrehub/subset.h"

namespace ochrehub {
namespace {

// ---- Constants
constexpr int kFailuresToEject = 3;         // straight failures that turn a server Unhealthy (the design's)
constexpr int kSuccessesToReturn = 2;       // straight successes that turn it Healthy again (the design's)
constexpr Duration kProbeInterval{2000};    // longest interval; the design's, below its bound of 5 s
constexpr Duration kProbeIntervalMin{100};  // shortest: many service times, so that probes stay a sample
constexpr Duration kProbeTimeout{300};      // the design's; each probe is timed out alone
constexpr Duration kProbeRest{250}, kProbeRestMost{4000};  // behind a bad answer to a probe; doubles
constexpr double kPanicShare = 0.5;      // more servers Unhealthy than this: one success is enough
constexpr double kProbeSpend = 0.002;    // share of the result spent on probes by interval
constexpr double kLookSpend = 0.016;     // ... and at most on looks for one request
constexpr std::size_t kLookWidth = 2;    // servers looked at together: the one in turn and the next
constexpr double kSubsetWorth = 0.05;    // what a second server in use gains, as a share of the result
constexpr std::size_t kSubsetLeast = 3;  // a look at two, and one to spare
constexpr double kBusyRoom = 2;          // servers for each request that one holds, whatever they cost
constexpr int kWidenings = 3;            // times that one request goes past a busy or lost subset
constexpr Duration kShutFirst{1000};  // a live server that takes no connection is left for this, then twice
constexpr Duration kFullRest{300};    // a server that turns work away unseen is left for about this
constexpr double kErrorGain = 0.3;    // weight of one outcome in a server's share of errors
constexpr double kErrorLeast = 0.2, kErrorMore = 1.5;  // blamed: more than one error, and times that of all
constexpr Duration kIdleFrom{300};                     // a connection without use for this has stood idle
constexpr double kIdleGain = 0.1;     // weight of one outcome in the share of lost sends; part still tried
constexpr double kIdleLoss = 0.3;     // more lost on idle connections than on others: they are dropped unseen
constexpr Duration kSubsetAge{1000};  // how long a subset stands while the list and health do not change
constexpr double kYieldMargin = 0.25;  // requests less that make the turn yield: reports are noisy
constexpr Duration kLookLeast{6};      // a report as good as a look; a later one: it stands still
// After a failed list call (in 6 s its news counts as told); discovery's time for one gateway's, for all.
constexpr Duration kRewatchMin{125}, kRewatchFirst{375}, kRewatchMax{1800}, kListEach{50}, kListMost{3250};
constexpr Duration kForgetAfter{60000};  // a server that the list lacks for this is forgotten
constexpr double kColdMargin = 0.75;     // part of a cold server's budget that is used: handshakes, chance
constexpr double kColdSenders = 1.3;     // room for lists that differ for a while, and with them the shares
constexpr double kColdReserve = 0.4, kColdConnect = 1.5;  // less roots of sends; sends of one that connects
constexpr double kColdDrawn = 8;                          // as many who drew a server leave none to nobody
constexpr Duration kRateOver{5000};                       // time over which rates are told
constexpr Duration kServedFade{60000};  // how long the most that this gateway got served is believed
constexpr double kPaceGain = 0.15, kFleetPaceGain = 0.06;  // weight of one answer: in one's, in all's
constexpr double kFloorMax = 0.4;       // a class's floor is believed up to this part of its aim
constexpr double kFloorOver = 1.4;      // ... or so many times the least that it was, if that is more
constexpr int kFloorKnown = 100;        // ... and there were so many answers
constexpr Duration kFloorRise{600000};  // ... which is forgotten over this time, upwards
constexpr Duration kPaceFade{3000};     // a server's pace is forgotten over this time without answers
constexpr double kPaceUsual = 1.4, kPaceMost = 6;  // where nothing is known; the most that one answer says
constexpr Duration kWeightAge{50};                 // how long a weight is kept: it takes exponentials
constexpr double kPaceHigh = 2.0, kPaceLow = 1.6;  // above, too much is held; below, it may grow
constexpr double kLimitStart = 3, kLimitStartMost = 3;  // in flight where nothing is known: of all; of one
constexpr double kLimitLeast = 6;       // ... and at a slow one: fewer leave its core idle while they wait
constexpr Duration kSpacingMost{2000};  // longest wait between two sends to a server not Unhealthy
constexpr Duration kForeignAge{600};    // a report on others' requests fades over this, into the mean of all
constexpr int kLiesToDoubt = 3;         // straight reports that own requests contradict
constexpr double kForeignGain = 0.05;   // weight of one report in that mean
constexpr double kRetryShare = 0.2, kBurst = 5;  // repeats per first try that may run twice; tokens at most
constexpr double kCrossCheap = 0.1, kCrossMost = 0.5;  // part of the worth to cross for; ... late, if well
constexpr Duration kCrossFade{10000};                  // how long bad crossings count: they are few
constexpr std::size_t kQueueTries = 6;  // waiting requests that are tried before the rest are left
constexpr Duration kQueueRest{3};       // ... and how long: less than a look is fresh
constexpr Duration kWire{2};            // reserve for the way back to the client
constexpr Duration kClockStep{0.002};   // clocks are told to the microsecond: closer than this is due
constexpr double kAnswerTimes = 1.4;    // times the usual time for an answer that is kept for one
constexpr double kWaitMost = 0.47;      // part of its time that a request waits for its first send
constexpr Duration kRestLeast{500};     // for who is refused, 3 times at most; 1/4 of its time where less
constexpr double kRepeatWorth = 0.3;    // a client's repeat has spent part of its time already

enum class Health { Unknown, Healthy, Unhealthy };
enum class Fate { Open, NeverRan, MayHaveRun };

Fate fate_of(Outcome o) {
    bool never = o == Outcome::Rejected || o == Outcome::ConnectFailed || o == Outcome::NotSent;
    return never ? Fate::NeverRan : Fate::MayHaveRun;
}

struct Server {
    EndpointId id = 0;
    EndpointEntry entry;
    bool listed = false, named = false;  // by this list; by the one before
    TimePoint listed_at{};               // when it was listed last
    int refs = 0;                        // attempts of requests that are still known
    bool free = false;                   // forgotten: its place may be taken by another
    bool seen_draining = false;
    std::optional<TimePoint> started;  // last known start, from the list or guessed after an outage
    Health health = Health::Unknown;
    int failures = 0, successes = 0;
    bool was_down = false;   // a failure showed that the process was away, so it comes back cold
    std::uint64_t rank = 0;  // this gateway's own order over the servers
    bool member = false;     // of the subset in use
    int users = 0;           // gateways that are given it, as this one is; 0: each draws; -1: others are
    TimePoint answered_at = TimePoint::min();  // last success of a probe or an attempt
    bool probing = false;
    Duration probe_rest{0};                         // behind a bad answer to a probe, or a bad end on trial
    TimePoint probed_at{};                          // when the last probe or look that was answered went out
    bool probe_open = false, probe_counts = false;  // one is out; by interval, else a look, which says little
    std::uint64_t probe_epoch = 0;
    double turn = 0;               // current weight of the smooth weighted rotation
    int own = 0;                   // own attempts in flight
    double foreign = 0;            // others', as of foreign_at
    int lies = 0;                  // straight reports that this gateway's own requests contradict
    double pace = kPaceUsual;      // answer time over the class's floor, smoothed
    double weight = 1, limit = 0;  // as of weight_at; of own requests in flight
    TimePoint probe_sent{}, foreign_at{}, pace_at{}, limit_cut{}, last_send{}, used_at{};
    TimePoint weight_at = TimePoint::min();
    Duration last_elapsed{}, cold_span{};     // ...; the length of that span
    TimePoint shut_until = TimePoint::min();  // takes no new connection
    double errors = 0, cold_draw = 0;  // share of its outcomes of late; this gateway's luck in that span
    int shuts = 0;                     // in a row
    bool connected = false;            // an answer has come since the last break
    int silent = 0;                    // own attempts past their time since the last real answer
    std::vector<std::pair<TimePoint, double>> cold_sends;  // of the last span, with their usual times
    TimePoint cold_until = TimePoint::min();               // end of the span that cold_draw holds for
};

struct Attempt {
    std::size_t server = 0;
    TimePoint sent{};
    Fate fate = Fate::Open;
    bool ended = false, overdue = false;
    bool idled = false;  // sent on a connection that had not been used for a while
    int held = 0;        // requests that stood there when it was sent, this gateway's and reported ones
};

struct Request {
    RequestId id = 0;
    int cls = 0, tenant = kNone;
    bool repeat = false, finished = false, queued = false, streaming = false, uploading = false;
    double worth = 1;
    TimePoint arrived{}, give_up_at{}, useful_until{}, repeat_by = TimePoint::max();
    std::vector<Attempt> attempts;
    int open = 0, looks = 0;             // attempts that are out; probes sent on its behalf
    std::optional<std::size_t> awaited;  // the server whose look it waits for
    bool looked = false;  // waits for no more of them: where they take long, there is time for one or none
};

struct Fading {  // a value that falls off by itself while nothing new is learned of it
    double value = 0;
    TimePoint at{};
    double left(TimePoint now, Duration over) const { return value * std::exp(-((now - at) / over)); }
};

struct ClassState {
    double floor_ms = 0, seen_ms = 0, warm_ms = 0;  // of answers that did not wait: believed, seen, when warm
    Fading least;                                   // the least of the latter; rises by itself
    int answers = 0;
};

enum class TimerKind { ProbeDue, ProbeLate, Rewatch, Start, Overdue, Look };
struct Timer {
    TimePoint at{};
    std::uint64_t order = 0;
    TimerKind kind{};
    std::uint64_t subject = 0, epoch = 0;
    bool operator>(const Timer& o) const { return at != o.at ? at > o.at : order > o.order; }
};

}  // namespace

class Balancer::Impl {
public:
    Impl(Settings settings, std::uint64_t seed) : set_(std::move(settings)), random_(seed) {
        double gain = 0;
        for (const ClassSettings& c : set_.classes) {
            class_state_.emplace_back().floor_ms =
                c.latency_objective.count() / 4;  // until the first answers
            gain += c.priority_weight;
        }
        mean_gain_ = set_.classes.empty() ? 1 : std::max(1e-9, gain / double(set_.classes.size()));
        tenants_.assign(set_.tenants.size(), {kBurst, TimePoint{}});
        if (!set_.probes) set_.probe_cost = 0;  // none is sent, whatever one would cost
        double looks = kLookSpend / std::max(set_.probe_cost, 1e-4);
        bool told = set_.probes && set_.probes_report_load;  // ... and no dearer than what looks gain
        looks_most_ = told && looks >= kLookWidth ? int(looks) : 0;
    }

    std::size_t avoided() const { return avoided_; }

    void handle(TimePoint now, const Event& event, Actions& actions) {
        now_ = now, begun_ = std::min(begun_, now), out_ = &actions;
        std::visit([this](const auto& e) { on(e); }, event);
        choose_members();
        serve_queue();
        for (RequestId id : done_)
            if (Request* r = find(id); r && r->finished && r->open == 0) {
                for (const Attempt& a : r->attempts) --servers_[a.server].refs;
                requests_.erase(id);
            }
        done_.clear();
        if (!timers_.empty() && (!wake_ || timers_.top().at < *wake_)) {
            wake_ = timers_.top().at;
            emit(SetTimer{*wake_});
        }
    }

private:
    // ---- Registry and drains
    void on(const EndpointUpdate& update) {
        if (!std::exchange(watching_, true) && set_.watches_discovery)
            start_timer(TimerKind::Rewatch, fleet_calls() * uniform(), 0, ++rewatch_epoch_);
        if (update.kind ==
            UpdateKind::Failed) {  // the old list stays; ask again, each gateway at its own time
            Duration first = std::max(kRewatchFirst, fleet_calls());
            double times = set_.polls_discovery ? std::exp2(rewatch_tries_++) : 1;
            Duration wait = uniform() * std::min(first * times, std::max(kRewatchMax, first));
            wait = std::max(kRewatchMin, wait);
            return set_.watches_discovery ? start_timer(TimerKind::Rewatch, wait, 0, ++rewatch_epoch_)
                                          : void();
        }
        if (update.kind != UpdateKind::Delta)  // a whole list: what it does not name has gone
            for (Server& s : servers_) s.listed = false, s.named = s.entry.phase != Phase::Removed;
        for (const EndpointEntry& entry : update.entries) apply(entry);
        if (update.kind != UpdateKind::Cached) rewatch_tries_ = 0, forget_gone();
        subset_stale_ = true;
    }

    // Guards against discovery, which knows nothing of servers out by hand: one that it lists, drops and
    // lists again stays out until the call back, and is cold then, since operators restart it meanwhile.
    void on(const AdminOverride& e) {
        subset_stale_ = true;
        std::erase_if(
            back_, [this](const auto& b) { return now_ - b.second.second > 2 * set_.slow_start_duration; });
        if (e.drained) return void(out_by_hand_.emplace(e.key, e.since));
        back_[e.key] = {out_by_hand_.contains(e.key) ? out_by_hand_[e.key] : e.since, e.since};
        out_by_hand_.erase(e.key);
        for (Server& s : servers_)
            if (!s.free && s.entry.key == e.key) start_anew(s);
    }

    void on(const HandoverPeerChanged& e) { part_ = e.peer_present ? 0.5 : 1; }
    void on(const FleetSizeChanged& e) {
        set_.node_count = e.node_count, set_.node_index = e.node_index, subset_stale_ = true;
    }

    // Guards against gateways that call one place together: a call that waits too long is work lost for all.
    Duration fleet_calls() const {
        return set_.polls_discovery * std::min(kListEach * set_.node_count, kListMost);
    }

    // Where servers are replaced by new ones for good, what is known of them must not grow for good.
    void forget_gone() {
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            Server& s = servers_[i];
            if (s.listed) s.listed_at = now_;
            bool stays = s.free || s.listed || set_.removal_not_binding || s.refs > 0 || s.probe_open;
            if (stays || now_ - s.listed_at < kForgetAfter) continue;
            index_.erase(s.id);
            std::erase(ranked_, i);
            // Timers of its probes mean nothing to the next.
            s.probe_epoch = std::exchange(s, Server{}).probe_epoch + 1, s.free = true;
        }
    }

    std::size_t place(EndpointId id) {
        auto found = std::ranges::find(servers_, true, &Server::free);
        if (found == servers_.end()) found = servers_.emplace(found);
        found->id = id, found->free = false, found->listed_at = now_, found->rank = random_();
        auto i = std::size_t(found - servers_.begin());
        auto rank = [this](std::size_t k) { return servers_[k].rank; };
        ranked_.insert(std::ranges::upper_bound(ranked_, found->rank, {}, rank), i);
        return i;
    }

    void apply(const EndpointEntry& entry) {
        auto [it, fresh] = index_.try_emplace(entry.endpoint, 0);
        if (fresh) it->second = place(entry.endpoint);
        Server& s = servers_[it->second];
        bool restarted = entry.last_start && (!s.entry.last_start || *entry.last_start > *s.entry.last_start);
        bool returned = !s.named && entry.phase != Phase::Removed && !set_.removal_not_binding;
        if (restarted && (!s.started || *entry.last_start > *s.started)) s.started = entry.last_start;
        s.listed = s.named = entry.phase != Phase::Removed;
        s.seen_draining =
            entry.phase == Phase::Draining || (s.seen_draining && entry.phase == Phase::Removed);
        s.entry = entry;
        if (s.entry.weight <= 0) s.entry.weight = 1;
        largest_ = std::max(largest_, s.entry.weight);
        if (s.entry.key == 0) s.entry.key = s.id;
        if (fresh || restarted || returned) start_anew(s);
    }

    void start_anew(Server& s) {  // Unknown, taking traffic
        s.health = Health::Unknown;
        s.failures = s.successes = s.silent = s.lies = 0;
        s.limit = 0;  // set once it is known how many share it
        s.pace = fleet_pace();
        s.was_down = s.connected = false;
        s.cold_until = TimePoint::min();
        s.turn = -uniform();  // gateways that start together do not all begin with the same server
        auto b = back_.find(s.entry.key);
        if (b == back_.end()) return;
        bool told = s.entry.last_start && *s.entry.last_start > b->second.first;  // of its restart meanwhile
        s.started = told ? s.entry.last_start : std::max(s.started, {b->second.second});
    }

    bool in_use(const Server& s) const {  // rule 3: nothing from the moment a drain or removal is known
        if (s.seen_draining || s.entry.phase == Phase::Draining) return false;
        if (out_by_hand_.contains(s.entry.key)) return false;
        return s.listed || set_.removal_not_binding;
    }

    bool all_out() const { return order_.empty() && !out_by_hand_.empty(); }  // nobody comes back soon

    // ---- Subset
    // Exception: where there are many gateways or few requests, each uses and probes a subset, as large as
    // one more server gains more than it costs. Guards against probes, connections and handshakes that grow
    // with gateways x servers, and answers too thin to learn from. What is Unhealthy or leaves is replaced.
    void choose_members() {
        if (!subset_stale_ && now_ - subset_at_ < kSubsetAge) return;
        subset_stale_ = false, subset_at_ = now_;
        order_.clear();
        here_ = 0, total_size_ = 0;
        for (int wanted = 0; wanted < 3; ++wanted) {
            for (std::size_t i : ranked_)
                if (in_use(servers_[i]) && tier(servers_[i]) == wanted) order_.push_back(i);
            if (wanted == 0) here_ = order_.size();
        }
        if (!zoned() || here_ == 0) here_ = order_.size();  // nobody here: there is no crossing to save
        for (std::size_t i : order_) total_size_ += set_.weights_track_load ? 1 : servers_[i].entry.weight;
        double busy = served_.left(now_, kRateOver) * total_size_ / 1000;  // held by servers, as of late
        width_ = std::max(width_at(arrivals_.value), std::min(order_.size(), std::size_t(kBusyRoom * busy)));
        for (Server& s : servers_) s.users = 0, s.member = false;
        share_out_servers();
        members_ = unhealthy_ = 0;
        avoided_ = std::size_t(std::ranges::count(servers_, true, &Server::listed));
        for (std::size_t i : order_) {
            Server& s = servers_[i];
            if (s.limit <= 0) {  // gateways that are told together do not send together
                s.limit = std::min(kLimitStartMost, kLimitStart / sharers());
                s.last_send = now_ - uniform() * floor_ms() / s.limit * Duration{1};
            }
            bool down = s.health == Health::Unhealthy;
            unhealthy_ += down, avoided_ -= s.listed && !down;
            if (!down && members_ >= width_) continue;
            s.member = !down, members_ += !down;
            // One that was away meanwhile is probed no more; nothing else brings it back where it is down.
            if (s.probing || !set_.probes) continue;
            s.probing = true;
            start_timer(TimerKind::ProbeDue, probe_interval() * uniform(), i, ++s.probe_epoch);
        }
    }

    std::size_t width_at(double first_tries) const {  // a second, of one gateway
        double n = std::max(1.0, double(order_.size()));
        double member = set_.connection_cost * set_.node_count / (100 * n) +
                        set_.probe_cost / (kProbeInterval.count() / 1000 * std::max(1.0, first_tries));
        double size = std::sqrt(kSubsetWorth / std::max(1e-9, member));
        return std::max(kSubsetLeast, std::size_t(std::min(size, double(order_.size()))));
    }

    // Guards against drawn subsets: two gateways at one server, thirteen at the next. All must come to the
    // same, so the width goes by the tenants' quotas, which all are told, and not by own arrivals.
    void share_out_servers() {
        double quotas = 0;
        for (const TenantSettings& tenant : set_.tenants) quotas += tenant.quota_rps;
        std::size_t shared = width_at(quotas / set_.node_count);
        if (quotas <= 0 || shared >= order_.size() || zoned() || set_.removal_not_binding) return;
        std::vector<std::uint64_t> keys;
        for (std::size_t i : order_) keys.push_back(mixed(servers_[i].entry.key));
        const Subset& shares = shares_.of(keys, set_.node_count, set_.node_index, shared);
        for (std::size_t k = 0; k < shares.users.size(); ++k)
            servers_[order_[k]].users = shares.mine[k] ? shares.users[k] : -1;
        std::stable_partition(order_.begin(), order_.end(), [&](auto i) { return servers_[i].users >= 0; });
    }

    double sharers() const {  // gateways that use a server, if all have subsets like this one's
        return std::max(1.0, set_.node_count * double(width_) / std::max(1.0, double(order_.size())));
    }

    // Two gateways hold no less at a server together than three do: part of each request's time is spent
    // waiting elsewhere, so one or two of them leave a server idle.
    double limit_min() const {
        return std::min(std::max(1.0, kLimitLeast / set_.node_count), kLimitLeast / sharers());
    }

    bool zoned() const { return set_.cross_zone_cost > kSubsetWorth; }

    int tier(const Server& s) const {  // own zone first where crossing costs; what nothing backs last
        if (!s.listed && now_ - s.answered_at > 3 * kProbeInterval) return 2;
        return zoned() && s.entry.zone != set_.zone ? 1 : 0;
    }

    // ---- Health
    // As often as a small fixed share of the result pays for, over all that are probed. Guards against a
    // loop: the fewer are Healthy, the more the others are probed.
    Duration probe_interval() const {
        double n = double(std::min(order_.size(), members_ + unhealthy_));
        double per_s = kProbeSpend / std::max(set_.probe_cost, 1e-4) * std::max(arrivals_.value, 1.0);
        return std::clamp(Duration{1000 * n / per_s}, kProbeIntervalMin, kProbeInterval);
    }

    void probe(std::size_t i) {
        Server& s = servers_[i];
        s.probing = in_use(s) && (s.member || s.health == Health::Unhealthy);
        if (!s.probing) return;
        Duration every = std::max(probe_interval(), s.probe_rest), rest = s.probed_at + every - now_;
        if (rest <= kClockStep) {
            ask(s, i, true);
            rest = every;
        }
        start_timer(TimerKind::ProbeDue, rest, i, s.probe_epoch);
    }

    void ask(Server& s, std::size_t i, bool counts) {
        s.probe_counts = counts;
        if (std::exchange(s.probe_open, true)) return;
        s.probe_sent = now_;
        emit(Probe{s.id, kProbeTimeout});
        start_timer(TimerKind::ProbeLate, kProbeTimeout, i, s.probe_epoch);
    }

    void on(const ProbeEnded& e) {
        auto it = index_.find(e.endpoint);  // one that is late was counted when its time ran out
        if (it == index_.end() || !servers_[it->second].probe_open || e.elapsed > kProbeTimeout) return;
        Server& s = servers_[it->second];
        s.probe_open = false;
        bool ok = e.outcome == Outcome::Ok;
        if (ok && e.report.inflight) {
            note_report(s, *e.report.inflight);
            look_took_ = std::max(kLookLeast / 3, look_took_ * (e.elapsed > look_took_ ? 1.04 : 0.96));
            if (e.report.queue) slots_ = std::max(slots_, std::round(*e.report.inflight - *e.report.queue));
        }
        if (ok) s.probed_at = s.probe_sent;  // a look that is answered stands for the probe by interval
        if (ok) return note_success(s);
        if (e.outcome == Outcome::Error)
            s.probe_rest = std::clamp(2 * s.probe_rest, kProbeRest, kProbeRestMost);
        if (s.probe_counts)  // a look that is not answered may only have met a pause
            note_failure(s, e.outcome == Outcome::ConnectFailed || e.outcome == Outcome::Reset);
    }

    // Guards against reports that are wrong (stuck, mixed up): own requests must be in them. A server that
    // keeps contradicting that (an answer under way does once), or turns work away while "idle", counts as
    // holding what the mean one does and is limited as without reports, until one agrees.
    void note_report(Server& s, double inflight) {
        int settled = s.own - (now_ - s.last_send <= look_time() ? 1 : 0);
        if (settled > 0) s.lies = inflight < settled - 0.5 ? s.lies + 1 : 0;
        s.foreign = std::max(0.0, inflight - s.own);
        s.foreign_at = now_;
        if (doubted(s))
            s.foreign = std::max(s.foreign, mean_foreign_);
        else
            mean_foreign_ += kForeignGain * (s.foreign - mean_foreign_);
    }

    bool doubted(const Server& s) const { return s.lies >= kLiesToDoubt; }

    void late_probe(Server& s) {
        if (!s.probe_open || now_ - s.probe_sent < kProbeTimeout - kClockStep) return;
        s.probe_open = false;
        if (s.probe_counts) note_failure(s, false);
    }

    // Exception: where most servers (of three or more) are Unhealthy, what made them so is shared or lies
    // here, and one success is enough. Guards against a fleet that is back and waits for its second probes.
    bool usable(const Server& s) const {
        if (s.health != Health::Unhealthy) return true;
        return s.successes > 0 && unhealthy_ > 2 && double(unhealthy_) > kPanicShare * double(order_.size());
    }

    // Without probes an Unhealthy one is tried by one request at a time, a rest behind its last bad end: by
    // one that may run twice, or by any where nobody is Healthy or no such has come for long.
    bool may_try(const Server& s, const Request& r) const {
        if (set_.probes || s.own > 0) return false;
        bool any = unhealthy_ == order_.size() || now_ - s.shut_until > kProbeRestMost;
        return any || cls(r).idempotency != Idempotency::NonIdempotent;
    }

    void note_success(Server& s) {
        s.failures = 0, s.probe_rest = Duration{0};
        s.answered_at = now_, ++s.successes;
        if (s.health == Health::Healthy) return;
        if (s.health == Health::Unhealthy && s.was_down && s.successes == 1)
            s.started = now_, s.cold_until = TimePoint::min();  // back from an outage: cold, list or not
        if (s.health == Health::Unhealthy && s.successes < kSuccessesToReturn) return;
        s.was_down = false, s.health = Health::Healthy, subset_stale_ = true;
    }

    void note_failure(Server& s, bool away) {
        s.successes = 0, s.was_down = s.was_down || away;
        if (away) s.connected = false;
        if (++s.failures >= kFailuresToEject && s.health != Health::Unhealthy) {
            s.health = Health::Unhealthy, subset_stale_ = true;
            emit(Log{"server " + std::to_string(s.id) + " unhealthy"});
        }
    }

    // ---- Capacity and cold start
    double share(const Server& s) const {  // lower bound of the part of its capacity that a server has by now
        if (!s.started || set_.slow_start_duration.count() <= 0) return 1;
        double age = (now_ - *s.started) / set_.slow_start_duration;
        return age >= 1 ? 1
                        : set_.slow_start_initial_capacity +
                              (1 - set_.slow_start_initial_capacity) * std::max(0.0, age);
    }

    double floor_ms() const {
        double sum = 0;
        for (const ClassState& c : class_state_) sum += c.floor_ms;
        return sum / double(class_state_.size());
    }

    // Rule 4, by each gateway alone: its even part of what a cold server stands, if all that use it send as
    // much. Under one send a span a draw says who sends; the first span ends at a drawn time: those told
    // together do not send together. A process leaves room for what one before it in its place may have sent.
    bool cold_room(Server& s, double usual) {
        // Drawn subsets cover all servers where many use each: then whoever widens its own sends no more.
        bool drawn = s.users == 0 && !s.member && s.health != Health::Unhealthy && sharers() > kColdDrawn;
        if (share(s) >= 1 || s.users < 0 || drawn) return share(s) >= 1;
        std::erase_if(s.cold_sends, [this](const auto& a) { return a.first <= now_ - set_.overload_after; });
        if (now_ >= s.cold_until) {
            s.cold_span = set_.overload_after;
            if (s.cold_until == TimePoint::min() && set_.node_count > 1) s.cold_span *= uniform();
            s.cold_until = now_ + s.cold_span, s.cold_draw = uniform();
        }
        double senders = s.users > 0 ? s.users : 1.5 * sharers(), sent = 0;
        Duration span = std::min(s.cold_span, std::max(now_, *s.started + set_.overload_after) - begun_);
        double budget = part_ * kColdMargin * set_.overload_factor * share(s) * carried(s);
        budget *= span.count() / 1000 / std::min(double(set_.node_count), kColdSenders * senders);
        for (const auto& [at, its] : s.cold_sends) sent += its;
        return sent + kColdReserve * std::sqrt(sent * usual) + (1 - s.cold_draw) * usual <= budget;
    }

    // With a first one's connection; by warm answers too, as a cold server may be as quick.
    double cold_cost(const Request& r, const Server& s) const {
        double most = kFloorMax * cls(r).latency_objective.count(),
               known = std::max(state(r).floor_ms, state(r).warm_ms);
        double usual = state(r).answers > 0 ? known : most;
        return usual * (s.connected || !s.cold_sends.empty() ? 1 : kColdConnect);
    }

    // Usual times a second that such a server is seen to carry: by its slots, or as the most that each got
    // served of late for its size (what is served now falls by its own fall). Less if it answers slowly.
    double carried(const Server& s) const {
        double size = set_.weights_track_load ? 1 : s.entry.weight;
        double slots = std::max(1.0, slots_) * 1000 / 1.5 * (set_.weights_track_load ? 1 : size / largest_);
        double served = most_served_.left(now_, kServedFade) * set_.node_count * size;
        return std::max(slots, served) * std::min(1.0, fleet_pace() / pace(s));
    }

    double weight(Server& s) {
        if (now_ - s.weight_at <= kWeightAge) return s.weight;
        s.weight_at = now_;
        return s.weight = s.entry.weight * share(s) * std::clamp(fleet_pace() / pace(s), 0.3, 1.5);
    }

    double held(const Server& s) const {  // own requests there, and others' as last reported
        double known = std::exp(-((now_ - s.foreign_at) / kForeignAge));
        return s.own + s.foreign * known + mean_foreign_ * (1 - known);
    }

    // Own requests in flight are bounded per server, so that queues stand in the gateway. Below one, where no
    // looks bound what stands there, sends are spaced out: many gateways with one request each are a crowd.
    bool has_room(const Server& s) const {
        bool on_trial = !s.connected || s.silent > 1;  // one request, and one handshake, at a time
        double limit = (on_trial ? std::min(1.0, s.limit) : s.limit) * share(s);
        if (limit >= 1 || (looks_most_ > 0 && !doubted(s))) return s.own < std::max(1.0, limit);
        Duration round = std::max(s.last_elapsed, Duration{floor_ms()});
        return s.own < 1 &&
               now_ - s.last_send >= std::min(kSpacingMost, round / std::max(limit, limit_min()));
    }

    double queueing(double there) const {  // times the service time, where reports tell how many stand there
        return slots_ > 0 ? std::max(1.0, (there + 1) / slots_) : 1;
    }

    // A server's pace fades into the fleet's, so that no verdict lasts by itself; the fleet's into the usual
    // one. Guards against all servers slowing at once, which one server's few answers do not show in time.
    double fleet_pace() const { return kPaceUsual + fleet_pace_.left(now_, kPaceFade); }

    double pace(const Server& s) const {
        double fleet = fleet_pace();
        return fleet + (s.pace - fleet) * std::exp(-((now_ - s.pace_at) / kPaceFade));
    }

    void learn_pace(Server& s, double ratio) {
        ratio = std::min(ratio, kPaceMost);
        s.pace = pace(s) + kPaceGain * (ratio - pace(s));
        s.pace_at = now_, s.weight_at = TimePoint::min();
        fleet_pace_ = {fleet_pace() + kFleetPaceGain * (ratio - fleet_pace()) - kPaceUsual, now_};
    }

    void note_answer(Server& s, const Request& r, const Attempt& a, Duration elapsed) {
        s.connected = true, s.used_at = now_, s.last_elapsed = elapsed;
        s.shuts = s.silent = 0;
        s.errors -= kErrorGain * s.errors, errors_ -= kFleetPaceGain * errors_;
        ClassState& c = class_state_[std::size_t(r.cls)];
        double ms = elapsed.count() * share(s);
        if (c.answers++ == 0) c.floor_ms = c.seen_ms = c.warm_ms = c.least.value = ms, c.least.at = now_;
        // Settles near the lower third of the answers: those that met no queue. Never above a set part of the
        // aim: a slow spell must not teach that nothing can be served. Exception: where answers take more at
        // their best, the least of late. Guards against limits that never grow.
        auto settle = [ms](double& at) { at += (ms < at ? 0.04 : 0.02) * (ms - at); };
        settle(c.floor_ms), settle(c.seen_ms), share(s) >= 1 ? settle(c.warm_ms) : void();
        c.least = {std::min(c.seen_ms, c.least.left(now_, -kFloorRise)), now_};
        double most = kFloorMax * cls(r).latency_objective.count();
        if (c.answers >= kFloorKnown && c.least.value > most) most = kFloorOver * c.least.value;
        c.floor_ms = std::min(c.floor_ms, most), c.warm_ms = std::min(c.warm_ms, most);
        double each = total_size_ > 0 ? 0.2 * c.floor_ms / total_size_ : 0;
        served_ = {served_.left(now_, kRateOver) + each, now_};
        most_served_ = {std::max(served_.value, most_served_.left(now_, kServedFade)), now_};
        double ratio = ms / std::max(1e-3, c.floor_ms) / queueing(a.held);
        learn_pace(s, ratio);
        if (s.pace > kPaceHigh && now_ - s.limit_cut > elapsed) {
            s.limit = std::max(limit_min(), s.limit * 0.85), s.limit_cut = now_;
        } else if (s.pace < kPaceLow && s.own + 1 >= s.limit * share(s)) {  // of a cold one a part is used
            s.limit += std::min(s.limit, 1.25 / (1 + s.limit));
        }
    }

    // ---- Pick
    // The one gate: rules 1 to 4 are kept here and nowhere else. Whatever picks, a send passes through it.
    bool may_send(Request& r, Server& s) {
        const ClassSettings& c = cls(r);
        if (r.finished || r.streaming || now_ >= r.give_up_at) return false;
        if (int(r.attempts.size()) >= set_.max_attempts) return false;
        if (r.open > 0 && !set_.allows_hedging) return false;
        if (!in_use(s) || !cold_room(s, cold_cost(r, s))) return false;
        for (const Attempt& a : r.attempts) {
            if (a.fate == Fate::NeverRan || c.idempotency == Idempotency::Idempotent) continue;
            if (c.idempotency == Idempotency::NonIdempotent) return false;
            const EndpointEntry& first = servers_[a.server].entry;
            r.repeat_by = std::min(r.repeat_by, a.sent + c.deduplication_window - 2 * set_.clock_granularity);
            if (now_ >= r.repeat_by) return false;
            if (c.deduplication_scope == DeduplicationScope::Zone && first.zone != s.entry.zone) return false;
            if (c.deduplication_scope == DeduplicationScope::Cell && first.cell != s.entry.cell) return false;
        }
        return true;
    }

    std::optional<std::size_t> pick(Request& r) {
        if (auto here = pick_among(r, 0, here_)) return here;
        if (here_ == order_.size()) return std::nullopt;
        // Exception: a request leaves its zone when that costs little of its worth, or part of its time is
        // gone and crossings of late were answered well enough: where all are busy they gain nothing.
        double crossing = set_.cross_zone_cost * mean_gain_ / std::max(1e-9, r.worth);
        bool late = now_ - r.arrived > 0.3 * (r.useful_until - r.arrived);
        if (crossing < kCrossCheap || (late && crossing < kCrossMost * crossed_well()))
            return pick_among(r, here_, order_.size());
        return std::nullopt;
    }

    double crossed_well() const { return 1 - missed_.left(now_, kCrossFade); }

    std::optional<std::size_t> pick_among(Request& r, std::size_t from, std::size_t to) {
        double total = 0;
        turn_order_.clear(), sorted_ = 0;
        for (int tries = 0; tries < kWidenings && turn_order_.empty() && from < to; ++tries) {
            group_.clear(), total = 0;
            std::size_t busy = 0;
            for (; from < to && group_.size() < width_; ++from) {
                std::size_t i = order_[from];
                Server& s = servers_[i];
                if (!(usable(s) || may_try(s, r)) || !in_use(s) || now_ < s.shut_until) continue;
                if (from >= here_ && r.worth <= mean_gain_ && !s.connected && width_ < order_.size())
                    continue;
                if (std::ranges::find(r.attempts, i, &Attempt::server) != r.attempts.end()) continue;
                bool fit = may_send(r, s);
                if (!fit && !r.attempts.empty()) continue;  // looks on for those that it may go to
                group_.push_back(i);
                total += weight(s);
                if (fit && has_room(s))
                    turn_order_.emplace_back(-s.turn - weight(s), i);
                else
                    busy += fit;
            }
            if (2 * busy > group_.size() && r.worth <= mean_gain_) break;  // busy, not lost: wait here
        }
        if (turn_order_.empty()) return std::nullopt;
        auto chosen = looks_most_ > 0 && !crowded_ ? look(r) : std::optional(yield_in_turn());
        if (!chosen) return std::nullopt;
        for (std::size_t i : group_)
            servers_[i].turn = std::clamp(servers_[i].turn + weight(servers_[i]), -2 * total, 2 * total);
        servers_[*chosen].turn -= total;
        return chosen;
    }

    // The rotation yields to the next in turn if that holds less. Exception: while the one chosen would make
    // the request wait, or lies in another zone and crossing costs, the turn moves on to the first that would
    // not, or to the least wait there is. Crossing counts as one request more: a crowded zone still spreads.
    std::size_t yield_in_turn() {
        std::size_t best = in_turn(0);
        for (std::size_t k = 1; k < turn_order_.size(); ++k) {
            if (k > 1 && idle(servers_[best]) && !crossing(servers_[best])) break;
            const Server &turn = servers_[best], &after = servers_[in_turn(k)];
            if ((held(after) + crossing(after) + kYieldMargin) / after.weight <
                (held(turn) + crossing(turn)) / turn.weight)
                best = in_turn(k);
        }
        return best;
    }

    // The server that is k-th in turn. Sorts no further than is asked for: mostly two of all are.
    std::size_t in_turn(std::size_t k) {
        if (k >= sorted_) {
            auto from = turn_order_.begin() + std::ptrdiff_t(sorted_);
            sorted_ = std::min(turn_order_.size(), 2 * k + 2);
            std::partial_sort(from, turn_order_.begin() + std::ptrdiff_t(sorted_), turn_order_.end());
        }
        return turn_order_[k].second;
    }

    bool crossing(const Server& s) const { return set_.cross_zone_cost > 0 && s.entry.zone != set_.zone; }

    bool idle(const Server& s) const { return held(s) < std::max(1.0, slots_); }

    // Two batches and the rest of one, and half as much again as answers to probes take in their median.
    // Guards against looks that are always late or stale, where batches are coarse or the way is long.
    Duration look_time() const {
        return std::max({kLookLeast, 2.5 * set_.clock_granularity, 1.5 * look_took_});
    }

    bool look_is_out(const Server& s) const {
        return s.probe_open && now_ - s.probe_sent < look_time() - kClockStep;
    }

    // Exception, where probes carry load: before a send, the one in turn and the next are asked what they
    // hold; it moves on along the turn while those asked are busy. One that does not answer stands still and
    // is passed over. Where the aim would be missed the request waits here: it can still be given up safely.
    std::optional<std::size_t> look(Request& r) {
        answered_.clear();
        std::size_t n = turn_order_.size();
        for (std::size_t from = 0; from < n; from += kLookWidth) {
            bool waiting = false, found = false;
            for (std::size_t k = from; k < std::min(n, from + kLookWidth); ++k) {
                std::size_t i = in_turn(k);
                Server& s = servers_[i];
                bool fresh = now_ - s.foreign_at <= look_time();
                if (!fresh && !s.probe_open && !r.looked && r.looks < looks_most_) {
                    ++r.looks;
                    ask(s, i, false);
                    start_timer(TimerKind::Look, look_time(), r.id, 0);
                }
                if (fresh) {
                    answered_.push_back(turn_order_[k]);
                    found = found || idle(s);
                } else if (look_is_out(s) && !r.looked) {
                    waiting = true;
                    r.awaited = i;
                }
            }
            if (waiting) return std::nullopt;
            if (found) break;
        }
        if (!answered_.empty()) turn_order_ = answered_;  // else nobody answers looks: what is known must do
        std::size_t best = yield_in_turn();  // an idle one is always worth a try: an estimate may be wrong
        const Server& s = servers_[best];
        double wait_ms = state(r).floor_ms * pace(s) * queueing(held(s)) / share(s);
        if (idle(s) || now_ + Duration{wait_ms} + kWire <= r.useful_until) return best;
        if (r.looks < looks_most_) start_timer(TimerKind::Look, Duration{state(r).floor_ms / 4}, r.id, 0);
        return std::nullopt;
    }

    // ---- Admission and queue
    void on(const RequestArrived& e) {
        const ClassSettings& c = set_.classes[std::size_t(e.class_index)];
        Request& r = requests_[e.request];
        r.id = e.request, r.cls = e.class_index, r.tenant = e.tenant, r.repeat = e.is_client_retry;
        r.arrived = now_, r.give_up_at = e.deadline, r.uploading = e.receiving_body;
        Duration aim =
            c.latency_objective + (e.effort ? c.latency_objective_per_effort * *e.effort : Duration{0});
        r.useful_until = c.late_response_weight > 0 ? r.give_up_at : std::min(now_ + aim, r.give_up_at);
        r.looked = look_time() > std::max(kLookLeast, (r.useful_until - now_) / 4);
        r.worth = c.priority_weight * (r.repeat ? kRepeatWorth : 1);
        if (e.tenant >= 0 && over_quota(e.tenant)) r.worth *= set_.over_quota_weight;
        arrivals_ = {arrivals_.left(now_, kRateOver) + (r.repeat ? 0 : 0.2), now_};
        if (!r.repeat) mean_gain_ += 0.02 * (c.priority_weight - mean_gain_);
        if (!r.repeat) retry_tokens_ = std::min(kBurst, retry_tokens_ + kRetryShare);
        enqueue(r);
    }

    bool over_quota(int tenant) {  // a token bucket of one second at this gateway's even part of the quota
        auto& [tokens, at] = tenants_[std::size_t(tenant)];
        double quota = set_.tenants[std::size_t(tenant)].quota_rps / set_.node_count;
        if (quota <= 0) return false;
        tokens = std::min(std::max(kBurst, quota), tokens + quota * (now_ - at).count() / 1000);
        at = now_;
        if (tokens < 1) return true;
        return tokens -= 1, false;
    }

    Duration start_by(const Request& r) const {  // latest useful start, from now
        double usual = std::min(state(r).floor_ms, kFloorMax * cls(r).latency_objective.count());
        TimePoint by = r.useful_until - Duration{kAnswerTimes * usual * fleet_pace()};
        by -= std::min(kWire, (r.useful_until - r.arrived) / 10);
        // What has not been sent by half of its time is better told to come back while there is time for it.
        if (r.attempts.empty()) by = std::min(by, r.arrived + kWaitMost * (r.give_up_at - r.arrived));
        return by - now_;
    }

    void enqueue(Request& r) {
        if (start_by(r).count() <= 0 || all_out()) return give_up(r);
        r.queued = true;
        // Highest worth for the work first, as work is known now; among equals the newest, which can still be
        // in time. Guards against newest last while all slow down and usual times rise.
        auto behind = [this, its = urgency(r)](const Request* q) { return urgency(*q) <= its; };
        queue_.insert(std::find_if(queue_.begin(), queue_.end(), behind), &r);
        start_timer(TimerKind::Start, start_by(r), r.id, r.attempts.size());
    }

    double urgency(const Request& r) const { return r.worth / std::max(1.0, state(r).floor_ms); }

    void serve_queue() {
        if (all_out())
            for (Request* r : queue_) give_up(*r);
        auto left = [](const Request* r) { return !r->queued; };
        std::erase_if(queue_, left);  // also where nothing is tried: what is over is about to be dropped
        if (queue_.empty() || now_ < resting_until_) return;
        std::size_t misses = 0;
        // Exception: a look serves one or two. Guards against many that wait for looks at servers with room.
        auto waits = [this](const Request* r) { return r->awaited && look_is_out(servers_[*r->awaited]); };
        crowded_ = queue_.size() > kQueueTries &&
                   (crowded_ || std::size_t(std::ranges::count_if(queue_, waits)) > kQueueTries);
        for (Request* r : queue_) {
            if (!crowded_ && waits(r)) continue;
            r->looked = r->looked || (r->awaited && look_time() > kLookLeast);
            r->awaited.reset();
            if (auto to = pick(*r))
                send(*r, *to);
            else if (++misses >= kQueueTries)
                break;  // nothing is free: the rest would not find a server either
        }
        std::erase_if(queue_, left);
        if (misses >= kQueueTries) resting_until_ = now_ + kQueueRest;
        if (queue_.empty() || queue_due_ > now_) return;
        queue_due_ = now_ + kQueueRest;  // room comes with time too, and a small gateway sees few events
        start_timer(TimerKind::Look, kQueueRest, 0, 0);
    }

    // ---- Attempts and retries
    void send(Request& r, std::size_t i) {
        Server& s = servers_[i];
        r.queued = false;
        bool idled = s.connected && s.own == 0 && now_ - s.used_at > kIdleFrom;
        if (idled && reaped() && uniform() >= kIdleGain) emit(CloseIdleConnections{s.id}), idled = false;
        s.used_at = now_;
        r.attempts.push_back({i, now_, Fate::Open, false, false, idled, int(held(s))});
        ++r.open, ++s.own, ++s.refs, s.last_send = now_;
        if (share(s) < 1) s.cold_sends.emplace_back(now_, cold_cost(r, s));
        bool timed = set_.cancel && !r.uploading;
        emit(Forward{r.id, s.id, timed ? r.useful_until - now_ : Duration{0}, r.repeat_by});
        if (!r.uploading) expect_answer(r, s);
    }

    void expect_answer(const Request& r, const Server& s) {
        Duration patience =
            std::max(Duration{3 * state(r).floor_ms / share(s)}, 0.8 * cls(r).latency_objective);
        start_timer(TimerKind::Overdue, patience, r.id, r.attempts.size() - 1);
    }

    void on(const RequestBodyReceived& e) {  // a body that is long in coming says nothing of the server
        Request* r = find(e.request);
        if (!r) return;
        r->uploading = false, r->useful_until += e.deadline - r->give_up_at, r->give_up_at = e.deadline;
        if (r->open > 0) expect_answer(*r, servers_[r->attempts.back().server]);
    }

    void on(const AttemptEnded& e) {
        Request* known = find(e.request);
        if (!known || e.attempt < 0 || e.attempt >= int(known->attempts.size())) return;
        Request& r = *known;
        Attempt& a = r.attempts[std::size_t(e.attempt)];
        if (std::exchange(a.ended, true)) return;
        a.fate = fate_of(e.outcome);
        --r.open;
        resting_until_ = now_;
        Server& s = servers_[a.server];
        --s.own;
        if (zoned() && s.entry.zone != set_.zone) {
            bool well = e.outcome == Outcome::Ok && e.elapsed.count() < kPaceLow * state(r).floor_ms;
            missed_ = {1 - crossed_well() - kPaceGain * (well - crossed_well()), now_};
        }
        bool lost = e.outcome == Outcome::Timeout || e.outcome == Outcome::Reset;
        (a.idled ? idle_loss_ : used_loss_) += kIdleGain * (lost - (a.idled ? idle_loss_ : used_loss_));
        judge(s, r, a, e);
        if (e.request_completed) conclude(r);
        if (!r.finished && r.open == 0 && !r.queued) retry(r, a.fate == Fate::MayHaveRun, e.replayable);
        if (r.finished) done_.push_back(r.id);
    }

    void judge(Server& s, const Request& r, Attempt& a, const AttemptEnded& e) {
        if (e.outcome == Outcome::Ok) note_answer(s, r, a, e.elapsed);
        bool tried = !set_.probes && a.sent >= s.shut_until;  // not one of before its rest
        if (e.outcome == Outcome::Ok && (usable(s) || tried)) note_success(s);
        if (e.outcome == Outcome::ConnectFailed) refused_connection(s);
        // A reset shows a broken connection, not that the server is away: of one that is, probes fail. Guards
        // against resets from all servers alike that eject sound ones. An idle connection's is its own fault.
        if (e.outcome == Outcome::Error || (e.outcome == Outcome::Reset && !a.idled)) blame(s);
        if (e.outcome == Outcome::Timeout && !a.overdue) overdue(s, a);
        if (tried && s.health == Health::Unhealthy && e.outcome != Outcome::Ok) {
            s.successes = 0, s.probe_rest = std::clamp(2 * s.probe_rest, kProbeRest, kProbeRestMost);
            s.shut_until = std::max(s.shut_until, now_ + s.probe_rest);
        }
        if (e.outcome != Outcome::Rejected) return;
        // One that drains, which the list tells late, turns all away at once and so is always the idlest:
        // else each request would go from one such to the next till its attempts are used up.
        auto open = [this](std::size_t i) { return usable(servers_[i]) && now_ >= servers_[i].shut_until; };
        if (e.elapsed.count() < state(r).floor_ms && std::ranges::count_if(order_, open) > 1)
            s.shut_until = std::max(s.shut_until, now_ + kFullRest * (0.5 + uniform()));
        s.limit = std::max(limit_min(), s.limit * 0.7);
        if (a.held < 2 * slots_) s.lies += 2;
    }

    // An error counts against a server only if it errs more than the others: what errs anywhere follows the
    // requests. Guards against worthless requests that eject sound servers. Could hurt where all err in turn.
    void blame(Server& s) {
        s.errors += kErrorGain * (1 - s.errors);
        errors_ += kFleetPaceGain * (1 - errors_);
        if (s.errors > kErrorLeast + kErrorMore * errors_) note_failure(s, false);
    }

    // A connection refused by a server that answers otherwise says that its table is full: each gateway
    // leaves it for a time of its own. Only a probe shows that it is away. Could hurt just after a crash.
    void refused_connection(Server& s) {
        s.connected = false;
        s.shut_until = now_ + kShutFirst * ((0.5 + uniform()) * (s.shuts++ > 0 ? 2 : 1));
        if (now_ - s.answered_at > 1.5 * kProbeInterval) note_failure(s, !set_.probes);
    }

    // A server that takes work and answers nothing passes its probes: attempts overdue count until an answer.
    void overdue(Server& s, Attempt& a) {
        a.overdue = true;
        if (a.idled && reaped()) return;  // the connection's fault
        ++s.silent;
        learn_pace(s, kPaceMost);
        s.limit = std::max(limit_min(), s.limit * 0.7);
    }

    // Exception: connections that stood idle are closed before a send while sends on such are lost far more
    // than others; a few are tried. Guards against unseen drops. Could hurt where slow ones are seldom used.
    bool reaped() const { return idle_loss_ > used_loss_ + kIdleLoss; }

    void retry(Request& r, bool may_have_run, bool replayable) {
        bool allowed = int(r.attempts.size()) < set_.max_attempts && replayable;
        if (may_have_run)
            allowed = allowed && cls(r).idempotency != Idempotency::NonIdempotent && retry_tokens_ >= 1;
        if (!allowed) return give_up(r);
        if (may_have_run) retry_tokens_ -= 1;
        enqueue(r);
    }

    bool may_refuse(const Request& r) const {
        const ClassSettings& c = cls(r);
        if (c.idempotency == Idempotency::Idempotent || (c.idempotency == Idempotency::IdempotentWithKey &&
                                                         c.deduplication_scope == DeduplicationScope::All))
            return true;
        return std::ranges::count(r.attempts, Fate::NeverRan, &Attempt::fate) == std::ssize(r.attempts);
    }

    void give_up(Request& r) {  // every final answer that is not a server's passes here
        if (r.finished) return;
        Duration after{0};
        Duration patience = cls(r).request_timeout, rest = patience < kRestLeast ? patience / 4 : kRestLeast;
        if (set_.retry_after) after = std::min(set_.max_retry_after, rest + 2 * rest * uniform());
        may_refuse(r) ? emit(Reject{r.id, after}) : emit(Fail{r.id});
        conclude(r);
    }

    void on(const StreamStarted& e) {
        if (Request* r = find(e.request)) r->streaming = true;
    }
    void on(const ClientDisconnected& e) { find(e.request) ? conclude(*find(e.request)) : void(); }

    void conclude(Request& r) {  // it is over, one way or another: call off what is still out
        r.finished = true, r.queued = false;
        if (set_.cancel && !r.streaming)
            for (std::size_t k = 0; k < r.attempts.size(); ++k)
                if (!r.attempts[k].ended) emit(Cancel{r.id, int(k)});
        done_.push_back(r.id);
    }

    Request* find(RequestId id) {
        auto it = requests_.find(id);
        return it == requests_.end() ? nullptr : &it->second;
    }

    const ClassSettings& cls(const Request& r) const { return set_.classes[std::size_t(r.cls)]; }
    const ClassState& state(const Request& r) const { return class_state_[std::size_t(r.cls)]; }

    // ---- Timers
    void start_timer(TimerKind kind, Duration in, std::uint64_t subject, std::uint64_t epoch) {
        timers_.push(Timer{now_ + std::max(in, Duration{0}), ++timer_order_, kind, subject, epoch});
    }

    void on(const TimerFired&) {
        if (wake_ && *wake_ <= now_ + kClockStep) wake_.reset();  // else one that was overtaken
        while (!timers_.empty() && timers_.top().at <= now_ + kClockStep) {
            Timer t = timers_.top();
            timers_.pop();
            fire(t);
        }
    }

    void fire(const Timer& t) {  // a look's timer does nothing: the queue is served after every event
        if (t.kind == TimerKind::ProbeDue && servers_[t.subject].probe_epoch == t.epoch) probe(t.subject);
        if (t.kind == TimerKind::ProbeLate) late_probe(servers_[t.subject]);
        if (t.kind == TimerKind::Rewatch && t.epoch == rewatch_epoch_) emit(WatchEndpoints{});
        if (t.kind != TimerKind::Start && t.kind != TimerKind::Overdue) return;
        Request* r = find(t.subject);
        if (r && t.kind == TimerKind::Start && r->queued && r->attempts.size() == t.epoch) {
            if (start_by(*r).count() <= 0.5) return give_up(*r);
            start_timer(TimerKind::Start, start_by(*r), t.subject, t.epoch);
        } else if (r && t.kind == TimerKind::Overdue && t.epoch < r->attempts.size()) {
            Attempt& a = r->attempts[t.epoch];
            if (!a.ended && !a.overdue) overdue(servers_[a.server], a);
        }
    }

    void emit(auto&& action) { out_->emplace_back(std::forward<decltype(action)>(action)); }

    double uniform() { return double(random_() >> 11) * 0x1p-53; }

    Settings set_;
    std::mt19937_64 random_;
    TimePoint now_{};
    Actions* out_ = nullptr;
    std::vector<Server> servers_;
    std::unordered_map<EndpointId, std::size_t> index_;  // looked up only; never walked
    std::unordered_map<RequestId, Request> requests_;    // looked up only; never walked
    std::vector<Request*> queue_;                        // waiting, most urgent first
    std::vector<RequestId> done_;
    Shares shares_;
    std::vector<std::size_t> ranked_, order_, group_;  // all; in use; one turn's
    std::size_t here_ = 0, width_ = kSubsetLeast;      // of order_: own zone where that counts
    std::size_t sorted_ = 0;                           // of turn_order_, from its begin
    std::size_t members_ = 0, unhealthy_ = 0;          // of order_
    bool subset_stale_ = true, watching_ = false, crowded_ = false;
    std::vector<std::pair<double, std::size_t>> turn_order_, answered_;  // by less of a turn, then by place
    int looks_most_ = 0;  // looks for one request; none where probes carry no load
    Duration look_took_ = kLookLeast / 3;
    std::vector<ClassState> class_state_;
    std::vector<std::pair<double, TimePoint>> tenants_;  // tokens, as of when
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
    std::optional<TimePoint> wake_;
    std::uint64_t timer_order_ = 0, rewatch_epoch_ = 0;
    Fading fleet_pace_, missed_;  // above the usual; the share of crossings that went badly
    Fading arrivals_, served_, most_served_;
    double mean_gain_ = 1, idle_loss_ = 0, used_loss_ = 0, errors_ = 0, mean_foreign_ = 0, slots_ = 0,
           total_size_ = 1, largest_ = 0, retry_tokens_ = kBurst;
    TimePoint begun_ = TimePoint::max(), resting_until_{}, queue_due_{}, subset_at_{};
    int rewatch_tries_ = 0;
    std::map<std::uint64_t, TimePoint> out_by_hand_;                 // keys, and since when
    std::map<std::uint64_t, std::pair<TimePoint, TimePoint>> back_;  // put back of late: out from, and till
    std::size_t avoided_ = 0;
    double part_ = 1;  // of this gateway's budgets: half while another process of it lives
};

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::handle(TimePoint now, const Event& event, Actions& actions) {
    impl_->handle(now, event, actions);
}

std::size_t Balancer::unavailable_endpoints() const {
    return impl_->avoided();
}

}  // namespace ochrehub
