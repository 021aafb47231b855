#include "lab/fleet/judge.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <optional>
#include <stdexcept>

#include "fleet/membership/member.h"

namespace ochrehub::lab::fleet {
namespace {

using What = Event::What;
constexpr std::size_t kProofMost = 12;  // events that a promise's proof shows, the last ones
constexpr double kNearly = 1e-6;

class Judge {
public:
    Judge(const Day& day, const std::vector<Event>& events) : day_(day), events_(events) {
        if (!std::is_sorted(events.begin(), events.end(),
                            [](const Event& a, const Event& b) { return a.at_s < b.at_s; }))
            throw std::logic_error("events that are not in the order of time");
    }

    Verdict run() {
        lives();
        deaths();
        sums();
        for (const Fault& fault : day_.faults) {
            if (fault.kind == FaultKind::Kill) killed(fault);
            if (fault.kind == FaultKind::Pause || fault.kind == FaultKind::Slow) paused(fault);
            if (fault.kind == FaultKind::Cut) cut(fault);
            if (fault.kind == FaultKind::Leave) left(fault);
        }
        healed();
        served();
        return std::move(verdict_);
    }

private:
    using Now = std::function<bool(const Picture&)>;
    static bool gone(Seen seen) { return seen >= Seen::Dead; }
    bool may_die(std::size_t one) const { return day_.may_die[one]; }

    /// When that was really done, which is never quite when it was to be.
    double done(What what, int who, int value, double not_before) const {
        for (const Event& event : events_)
            if (event.what == what && event.who == who && (value < 0 || event.value == value) &&
                event.at_s >= not_before - kNearly)
                return event.at_s;
        return not_before;
    }
    int number(const Fault& fault) const { return int(&fault - day_.faults.data()); }
    /// When it first holds, from `from` on (which may be before an event of that very time).
    std::optional<double> first(double from, const Now& holds) const {
        Picture now(std::size_t(day_.members));
        std::size_t i = 0;
        for (; i < events_.size() && events_[i].at_s <= from; ++i) now.take(events_[i]);
        if (holds(now)) return from;
        for (; i < events_.size(); ++i) {
            now.take(events_[i]);
            if (holds(now)) return events_[i].at_s;
        }
        return std::nullopt;
    }
    void measure(const std::string& what, double from, std::optional<double> at, double bound,
                 const std::string& promise) {
        double took = at ? *at - from : -1;
        verdict_.figures[what].push_back(took);
        if (bound < 0 || (at && took <= bound + kNearly)) return;
        char line[200];
        std::snprintf(line, sizeof line,
                      at ? "%s within %.1f s: it took %.2f s" : "%s within %.1f s: it never was",
                      promise.c_str(), bound, took);
        broken(line, from + bound);
    }
    /// The faults that had begun, and the last events up to then.
    void broken(const std::string& promise, double at_s, std::size_t upto = ~std::size_t{0}) {
        Broken one{promise, at_s, {}};
        for (const Fault& fault : day_.faults)
            if (fault.at_s <= at_s) one.proof.push_back("fault: " + fault.text());
        std::size_t end = 0;
        while (end < events_.size() && end <= upto && events_[end].at_s <= at_s) ++end;
        for (std::size_t i = end - std::min(end, kProofMost); i < end; ++i)
            one.proof.push_back(events_[i].text());
        verdict_.broken.push_back(std::move(one));
    }

    void lives() {
        for (std::size_t i = 0; i < events_.size(); ++i)
            if (events_[i].what == What::Ended) broken("no process ends by itself", events_[i].at_s, i);
        if (!std::any_of(events_.begin(), events_.end(),
                         [](const Event& event) { return event.what == What::Begins; }))
            broken("all know all before anything goes wrong", day_.settle_s);
    }
    void deaths() {
        Picture now(std::size_t(day_.members));
        double count = 0;
        std::optional<std::size_t> at;
        for (std::size_t i = 0; i < events_.size(); ++i) {
            const Event& event = events_[i];
            now.take(event);
            bool dead =
                event.what == What::Claims || (event.what == What::Sees && Seen(event.value) == Seen::Dead);
            if (!dead || may_die(std::size_t(event.who)) || may_die(std::size_t(event.about)) ||
                !now.up[std::size_t(event.about)])
                continue;
            ++count;
            if (!at) at = i;
        }
        verdict_.figures["deaths"].push_back(count);
        if (day_.expect.deaths >= 0 && count > day_.expect.deaths && at) {
            char line[120];
            std::snprintf(line, sizeof line, "nobody who lives is taken for dead: %.0f times, the first",
                          count);
            broken(line, events_[*at].at_s, *at);
        }
    }
    /// Whatever each believes: parts add up to twice the whole at most.
    void sums() {
        Picture now(std::size_t(day_.members));
        double most = 0;
        for (std::size_t i = 0; i < events_.size(); ++i) {
            now.take(events_[i]);
            if (events_[i].what != What::Shares) continue;
            double parts = sum(now);
            most = std::max(most, parts);
            if (parts <= 2 + kNearly) continue;
            char line[120];
            std::snprintf(line, sizeof line, "parts add up to twice the whole at most: they are %.3f", parts);
            return broken(line, events_[i].at_s, i);
        }
        verdict_.figures["parts"].push_back(most);
    }
    static double sum(const Picture& now) {
        double parts = 0;
        for (std::size_t i = 0; i < now.size(); ++i)
            if (now.up[i] && now.shares[i] > 0) parts += 1.0 / now.shares[i];
        return parts;
    }
    /// Two faults of one day may overlap on one member: only what nothing else stops is asked for.
    bool other_stops(const Fault& but, int who, double from, double to) const {
        return std::any_of(day_.faults.begin(), day_.faults.end(), [&](const Fault& fault) {
            bool stops = fault.kind == FaultKind::Kill || fault.kind == FaultKind::Leave ||
                         fault.kind == FaultKind::Pause || fault.kind == FaultKind::Slow ||
                         fault.kind == FaultKind::Cut;
            double end = fault.kind == FaultKind::Kill ? fault.at_s + std::max(0.0, fault.back_s)
                                                       : fault.at_s + fault.for_s;
            bool touched = std::find(fault.who.begin(), fault.who.end(), who) != fault.who.end() ||
                           std::find(fault.to.begin(), fault.to.end(), who) != fault.to.end();
            return &fault != &but && stops && touched && fault.at_s <= to && end >= from;
        });
    }

    void killed(const Fault& fault) {
        double within = std::max(day_.expect.known_s, 0.0);
        if (fault.back_s >= 0 && fault.back_s < within) return;  // it is back before it need be known
        double last = fault.at_s;
        for (int who : fault.who) {
            double from = done(What::Down, who, -1, fault.at_s);
            last = std::max(last, from);
            if (other_stops(fault, who, fault.at_s, fault.at_s + within)) continue;
            auto at = first(from, [&](const Picture& now) { return known(now, who, gone); });
            measure("known", from, at, day_.expect.known_s,
                    "a killed one (" + std::to_string(who) + ") is dead to all others");
        }
        if (day_.expect.whole_s < 0 || fault.back_s >= 0) return;
        auto at = first(last, [&](const Picture& now) { return sum(now) >= 1 - kNearly; });
        measure("whole", last, at, day_.expect.whole_s, "parts of those that are left add up to the whole");
    }
    /// All that run, and are not touched themselves, show it so.
    bool known(const Picture& now, int who, bool (*so)(Seen)) const {
        for (std::size_t of = 0; of < now.size(); ++of)
            if (int(of) != who && now.runs(of) && !so(now.seen[of][std::size_t(who)])) return false;
        return true;
    }
    void paused(const Fault& fault) {
        for (int who : fault.who) {
            double end = done(What::GoesOn, who, -1, fault.at_s + fault.for_s);
            if (other_stops(fault, who, end, end + std::max(day_.expect.undone_s, 0.0))) continue;
            auto here = [](Seen seen) { return seen <= Seen::Suspect; };
            auto at = first(
                end, [&](const Picture& now) { return now.runs(std::size_t(who)) && known(now, who, here); });
            measure("undone", end, at, day_.expect.undone_s,
                    "behind a pause all have it (" + std::to_string(who) + ") back");
        }
    }
    void cut(const Fault& fault) {
        std::size_t others = std::size_t(day_.members) - 1;
        bool from_it = fault.who.size() == 1 && fault.to.size() >= others;
        bool to_it = fault.to.size() == 1 && fault.who.size() >= others;
        if (!(from_it || to_it) || fault.part < 1 ||
            (fault.for_s > 0 && fault.for_s < day_.expect.isolated_s))
            return;
        int who = from_it ? fault.who[0] : fault.to[0];
        std::string one = "one that is cut off (" + std::to_string(who) + ")";
        auto knows = [&](const Picture& now) {
            return (now.said[std::size_t(who)] & membership::kReportsIsolated) != 0;
        };
        double from = done(What::FaultOn, -1, number(fault), fault.at_s);
        measure("isolated", from, first(from, knows), day_.expect.isolated_s, one + " says so");
        auto at = first(from, [&](const Picture& now) { return known(now, who, gone); });
        measure("lost", from, at, day_.expect.isolated_s, one + " is dead to all others");
    }
    void left(const Fault& fault) {
        for (int who : fault.who) {
            double from = done(What::Leaves, who, -1, fault.at_s);
            auto at = first(from, [&](const Picture& now) {
                return known(now, who, [](Seen seen) { return seen == Seen::Left; });
            });
            measure("left", from, at, day_.expect.left_s,
                    "one that leaves (" + std::to_string(who) + ") has left to all others");
            for (std::size_t i = 0; i < events_.size(); ++i)
                if (events_[i].at_s >= fault.at_s && events_[i].about == who &&
                    (events_[i].what == What::Claims ||
                     (events_[i].what == What::Sees && Seen(events_[i].value) == Seen::Dead)))
                    return broken("one that leaves is not taken for dead", events_[i].at_s, i);
        }
    }
    void healed() {
        double calm = 0;
        for (const Event& event : events_)
            if (event.what <= What::FaultOff && event.what != What::Ended && event.at_s > 0 && !leaves(event))
                calm = event.at_s;
        for (const Fault& fault : day_.faults)
            if (fault.kind == FaultKind::Cut && fault.for_s <= 0) return;  // nothing heals
        auto at = first(calm, [](const Picture& now) { return now.settled(); });
        measure("healed", calm, at, day_.expect.healed_s, "behind the last fault all is right");
    }
    /// The end of one that was told to leave is its own doing.
    bool leaves(const Event& event) const {
        return event.what == What::Down &&
               std::any_of(day_.faults.begin(), day_.faults.end(), [&](const Fault& fault) {
                   return fault.kind == FaultKind::Leave &&
                          std::find(fault.who.begin(), fault.who.end(), event.who) != fault.who.end();
               });
    }
    void served() {
        double yes = 0, no = 0;
        for (const Event& event : events_) {
            if (event.what == What::Served) yes += event.value;
            if (event.what == What::Unserved) no += event.value;
        }
        if (yes + no == 0) {
            bool sent = std::any_of(events_.begin(), events_.end(), [](const Event& event) {
                return event.what == What::Begins && event.value == 1;
            });
            if (day_.expect.served >= 0 && sent) broken("requests are sent", day_.length_s);
            return;
        }
        double share = yes / (yes + no);
        verdict_.figures["served"].push_back(share);
        if (day_.expect.served < 0 || share >= day_.expect.served) return;
        char line[120];
        std::snprintf(line, sizeof line, "of the requests %.4f are served: %.4f were, %.0f were not",
                      day_.expect.served, share, no);
        broken(line, day_.length_s);
    }

    const Day& day_;
    const std::vector<Event>& events_;
    Verdict verdict_;
};

}  // namespace

Verdict judge(const Day& day, const std::vector<Event>& events) {
    return Judge(day, events).run();
}

}  // namespace ochrehub::lab::fleet
