#include "lab/model/discovery.h"

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>
#include <utility>

#include "base/slots.h"
#include "lab/model/alarms.h"
#include "lab/model/mixer.h"

namespace ochrehub::lab {
namespace {

struct Entry {
    ToldPhase phase = ToldPhase::Terminated;
    TimePoint started{};
    std::uint64_t revision = 0;  ///< of its last change
    std::uint64_t noticed = 0;   ///< which of its truths it stands for
    bool listed = false;         ///< it has been in the list: only then its end is a change
};

/// Something true that is not noticed yet.
struct Truth {
    TimePoint at;
    std::uint64_t order;
    ServerNo server;
    ServerState state;
    TimePoint started;
    bool operator<(const Truth& o) const { return at != o.at ? at < o.at : order < o.order; }
};

struct Call {
    ListCall call = 0;
    NodeNo node = 0;
    std::optional<std::uint64_t> index;
    TimePoint asked_at{};
    TimePoint ends_at{};  ///< of its wait
};

}  // namespace

class Discovery::State {
public:
    State(const Day& day, TimePoint start, std::uint64_t seed) : figures_(day.discovery) {
        revision_ = 1 + drawn(seed, 1, 0) % 1000;
        entries_.resize(day.servers.size());
        for (std::size_t i = 0; i < day.servers.size(); ++i) {
            if (day.servers[i].exists_from > Duration{}) continue;
            Entry& entry = entries_[i];
            entry.phase = ToldPhase::InService;
            entry.listed = true;
            entry.revision = revision_;
            // A day that begins at zero is not long ago.
            if (day.servers[i].starts_cold) entry.started = std::max(start, TimePoint{Duration{1}});
        }
        oldest_ = revision_;
        service_ = Duration{1000 / std::max(figures_.calls_per_s, 0.001)};
    }

    void handle(TimePoint now, const DiscoveryEvent& event, DiscoveryActions& actions) {
        now_ = now;
        out_ = &actions;
        if (const auto* gone = std::get_if<ListCallGone>(&event)) leave(gone->call);
        advance();
        std::visit([this](const auto& e) { on(e); }, event);
        TimePoint due = next_due();
        if (due < armed_) {
            armed_ = due;
            out_->emplace_back(WakeDiscoveryAt{due});
        }
        out_ = nullptr;
    }

    ListOut known() const { return {0, kNobody, revision_, true, stale_ ? list_now() : whole()}; }
    std::size_t waiting() const { return turns_.size() + (busy_with_ ? 1 : 0) + watches_.size(); }

private:
    // ---- events

    void on(const ServerIs& e) {
        if (e.server < 0) return;
        Duration late = figures_.notice;
        switch (e.state) {
            case ServerState::Ready:
                late = figures_.add;
                break;
            case ServerState::Draining:
                break;
            case ServerState::Gone:
                if (e.silent) late = figures_.silent_notice;
                break;
            default:
                return;
        }
        truths_.insert({now_ + late, ++order_, e.server, e.state, e.started});
        notice();
    }

    void on(const ListAsked& e) {
        if (down_) {
            out_->emplace_back(ListFailed{e.call, e.node, true});
            return;
        }
        Duration wait = std::clamp(e.wait, Duration{}, std::max(Duration{}, figures_.watch_most));
        turns_.push_back({e.call, e.node, e.index, now_, now_ + wait});
        take_turns();
    }

    void on(const ListCallGone&) {}
    void on(const DiscoveryWoken&) {
        if (now_ >= armed_) armed_ = kNever;
    }

    void on(const DiscoveryIs& e) {
        if (e.down && !down_) break_all();
        down_ = e.down;
        if (e.stale && !stale_) {
            stale_list_ = whole();
            stale_revision_ = revision_;
        }
        bool recovers = stale_ && !e.stale;
        stale_ = e.stale;
        if (recovers) {
            stale_list_.clear();
            wake_watches();
        }
        if (e.empty == empty_) return;
        empty_ = e.empty;
        // Whoever asks from any revision before this one gets the whole, and so do those that wait.
        oldest_ = ++revision_;
        changes_.clear();
        whole_is_old_ = true;
        if (!stale_) wake_watches();
    }

    // ---- time

    void advance() {
        notice();
        take_turns();
        while (watch_ends_.due() <= now_) answer_watch(watch_ends_.first());
    }

    TimePoint next_due() const {
        TimePoint due = truths_.empty() ? kNever : truths_.begin()->at;
        if (busy_with_) {
            due = std::min(due, busy_until_);
            if (!turns_.empty()) due = std::min(due, turns_.front().asked_at + figures_.call_most);
        }
        return std::min(due, watch_ends_.due());
    }

    // ---- what is known

    void notice() {
        bool changed = false;
        while (!truths_.empty() && truths_.begin()->at <= now_) {
            Truth truth = *truths_.begin();
            truths_.erase(truths_.begin());
            changed |= take_in(truth);
        }
        if (changed && !stale_) wake_watches();
    }

    bool take_in(const Truth& truth) {
        if (std::size_t(truth.server) >= entries_.size()) entries_.resize(std::size_t(truth.server) + 1);
        Entry& entry = entries_[std::size_t(truth.server)];
        if (truth.order < entry.noticed) return false;
        entry.noticed = truth.order;
        ToldPhase phase = ToldPhase::InService;
        TimePoint started = truth.started;
        if (truth.state != ServerState::Ready) {
            if (!entry.listed || entry.phase == ToldPhase::Terminated) return false;
            phase = truth.state == ServerState::Gone ? ToldPhase::Terminated : ToldPhase::Terminating;
            started = entry.started;
        }
        if (entry.listed && entry.phase == phase && entry.started == started) return false;
        entry.listed = true;
        entry.phase = phase;
        entry.started = started;
        entry.revision = ++revision_;
        changes_.push_back(truth.server);
        if (changes_.size() > kChangesKept) {
            changes_.pop_front();
            ++oldest_;
        }
        whole_is_old_ = true;
        return true;
    }

    std::vector<Listed> list_now() const {
        std::vector<Listed> list;
        if (empty_) return list;
        for (std::size_t i = 0; i < entries_.size(); ++i)
            if (entries_[i].listed && entries_[i].phase != ToldPhase::Terminated)
                list.push_back({ServerNo(i), entries_[i].phase, entries_[i].started});
        return list;
    }
    /// Built once a revision: all nodes ask for it after an outage.
    const std::vector<Listed>& whole() const {
        if (whole_is_old_) whole_ = list_now();
        whole_is_old_ = false;
        return whole_;
    }

    // ---- calls

    void take_turns() {
        while (true) {
            TimePoint free_at = busy_with_ ? busy_until_ : free_since_;
            // Those whose turn does not come in time fail when that time is over, not when the turn comes.
            while (!turns_.empty()) {
                TimePoint most = turns_.front().asked_at + figures_.call_most;
                if (most >= free_at || most > now_) break;
                out_->emplace_back(ListFailed{turns_.front().call, turns_.front().node, false});
                turns_.pop_front();
            }
            if (busy_with_) {
                if (busy_until_ > now_) return;
                Call done = *std::exchange(busy_with_, std::nullopt);
                free_since_ = busy_until_;
                if (!std::exchange(dropped_, false)) deal_with(done);
                continue;
            }
            if (turns_.empty()) return;
            // A late wake costs no capacity: the next turn began when the last one ended.
            busy_until_ = std::max(free_since_, turns_.front().asked_at) + service_;
            busy_with_ = turns_.front();
            turns_.pop_front();
        }
    }

    void deal_with(const Call& call) {
        std::uint64_t current = stale_ ? stale_revision_ : revision_;
        if (call.index == current) {
            std::uint32_t place = take_slot(places_, free_watches_);
            places_[place] = call;
            watches_.emplace(call.call, place);
            watch_ends_.set(place, call.ends_at);
            return;
        }
        answer(call);
    }

    void answer(const Call& call) {
        ListOut out{call.call, call.node, stale_ ? stale_revision_ : revision_, false, {}};
        if (stale_) {
            out.complete = call.index != stale_revision_;
            if (out.complete) out.members = stale_list_;
        } else if (empty_ || !call.index || *call.index < oldest_ || *call.index > revision_) {
            out.complete = true;
            out.members = whole();
        } else {
            // The last change of each server alone: an entry that changed again stands in its later place.
            for (std::uint64_t revision = *call.index + 1; revision <= revision_; ++revision) {
                ServerNo server = changes_[std::size_t(revision - oldest_ - 1)];
                const Entry& entry = entries_[std::size_t(server)];
                if (entry.revision == revision) out.members.push_back({server, entry.phase, entry.started});
            }
        }
        out_->emplace_back(std::move(out));
    }

    void answer_watch(std::uint32_t place) {
        Call call = places_[place];
        drop_watch(place);
        answer(call);
    }
    void drop_watch(std::uint32_t place) {
        watch_ends_.clear(place);
        watches_.erase(places_[place].call);
        free_watches_.push_back(place);
    }

    /// All that wait for something newer than what they have, in the order they were taken.
    void wake_watches() {
        for (std::uint32_t place : watches_in_order())
            if (places_[place].index != revision_) answer_watch(place);
    }

    std::vector<std::uint32_t> watches_in_order() const {
        std::vector<std::uint32_t> order;
        for (const auto& [call, place] : watches_) order.push_back(place);
        std::sort(order.begin(), order.end(), [&](std::uint32_t a, std::uint32_t b) {
            const Call &l = places_[a], &r = places_[b];
            return l.asked_at != r.asked_at ? l.asked_at < r.asked_at : l.call < r.call;
        });
        return order;
    }

    void leave(ListCall call) {
        if (auto watch = watches_.find(call); watch != watches_.end()) return drop_watch(watch->second);
        if (busy_with_ && busy_with_->call == call) {
            dropped_ = true;  // its turn is spent all the same
            return;
        }
        std::erase_if(turns_, [&](const Call& waiting) { return waiting.call == call; });
    }

    void break_all() {
        if (busy_with_ && !dropped_) fail(*busy_with_);
        busy_with_.reset();
        dropped_ = false;
        free_since_ = now_;
        for (const Call& call : turns_) fail(call);
        turns_.clear();
        for (std::uint32_t place : watches_in_order()) {
            fail(places_[place]);
            drop_watch(place);
        }
    }
    void fail(const Call& call) { out_->emplace_back(ListFailed{call.call, call.node, true}); }

    DiscoveryFigures figures_;
    TimePoint now_{}, armed_ = kNever;
    DiscoveryActions* out_ = nullptr;

    std::set<Truth> truths_;
    std::uint64_t order_ = 0;
    std::vector<Entry> entries_;
    std::uint64_t revision_ = 0, oldest_ = 0;  ///< changes_ holds those from oldest_ + 1 to revision_
    std::deque<ServerNo> changes_;
    mutable std::vector<Listed> whole_;
    mutable bool whole_is_old_ = true;

    bool down_ = false, stale_ = false, empty_ = false;
    std::vector<Listed> stale_list_;
    std::uint64_t stale_revision_ = 0;

    Duration service_{};
    std::deque<Call> turns_;  ///< calls that wait for their turn, in the order they came
    std::optional<Call> busy_with_;
    bool dropped_ = false;  ///< its node has gone
    TimePoint busy_until_{}, free_since_{};

    std::vector<Call> places_;  ///< of watches
    std::vector<std::uint32_t> free_watches_;
    std::unordered_map<ListCall, std::uint32_t> watches_;
    Alarms watch_ends_;
};

Discovery::Discovery(const Day& day, TimePoint start, std::uint64_t seed)
    : state_(std::make_unique<State>(day, start, seed)) {}
Discovery::~Discovery() = default;
void Discovery::handle(TimePoint now, const DiscoveryEvent& event, DiscoveryActions& actions) {
    state_->handle(now, event, actions);
}
ListOut Discovery::known() const {
    return state_->known();
}
std::size_t Discovery::waiting() const {
    return state_->waiting();
}

}  // namespace ochrehub::lab
