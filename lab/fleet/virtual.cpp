#include "lab/fleet/virtual.h"

#include <algorithm>
#include <stdexcept>

#include "fleet/membership/fleet_size_divisor.h"
#include "lab/fleet/links.h"
#include "lab/swarm/swarm.h"

namespace ochrehub::lab::fleet {
namespace {

using What = Event::What;
using membership::MemberState;

class World {
public:
    World(const Day& day, const VirtualOptions& options)
        : day_(day), links_(day), watch_(std::size_t(day.members)), swarm_(settings(day, options)) {
        swarm_.way = [this](std::size_t from, std::size_t to) { return links_.fate(int(from), int(to)); };
        swarm_.meddles = options.meddles;
        swarm_.seen = [this](std::size_t from, const membership::Datagram& datagram) {
            for (const membership::Update& update : datagram.updates)
                if (auto about = swarm_.index(update.address); about && update.state == MemberState::Dead)
                    watch_.claim(now_s(), from, *about, update.incarnation);
        };
        const int least = (day.members + 1) / 2;
        shares_.assign(std::size_t(day.members),
                       membership::FleetSizeDivisor({day.members, least, Duration{5000}, Duration{1000}}));
        shared_anew_ = shares_;
    }

    std::vector<Event> run() {
        for (std::size_t i = 0; i < swarm_.size(); ++i) start(i);
        double bound = day_.settle_s;
        begin_s_ = 0;
        while (!watch_.now().settled() && now_s() < bound) look();
        if (!watch_.now().settled()) return over();
        double settled_s = now_s();
        watch_.begin(settled_s);
        begin_s_ = settled_s;
        std::vector<Step> all = steps(day_);
        const double calm = day_.calm_from_s();
        std::size_t next = 0;
        while (now_s() < day_.length_s) {
            while (next < all.size() && all[next].at_s <= now_s() + kLookEvery_s) {
                run_to(all[next].at_s);
                take(all[next++]);
            }
            look();
            if (next == all.size() && now_s() > calm && watch_.now().settled() && enough()) break;
        }
        return over();
    }

private:
    static Swarm::Settings settings(const Day& day, const VirtualOptions& options) {
        Swarm::Settings set;
        set.members = std::size_t(day.members);
        set.seeds = std::size_t(day.seeds);
        set.seed = day.seed;
        set.delay_least = Duration{0.1};
        set.delay_most = Duration{1};
        set.start_all = false;
        set.octets = true;
        set.each.probe_interval = Duration{day.interval_ms};
        set.each.probe_timeout = 0.3 * set.each.probe_interval;
        set.each.isolated_after = Duration{day.isolated_ms};
        if (options.settings) options.settings(set.each);
        return set;
    }
    double now_s() const { return swarm_.now().count() / 1000 - begin_s_; }
    void run_to(double at_s) { swarm_.run_to(std::max(swarm_.now(), Duration{1000 * (at_s + begin_s_)})); }
    std::vector<Event> over() {
        watch_.note({now_s(), What::Over, -1, -1, 0});
        return watch_.taken();
    }
    /// What is asked of parts takes its time behind all else.
    bool enough() const {
        if (day_.expect.whole_s < 0) return true;
        return now_s() > day_.calm_from_s() + day_.expect.whole_s;
    }

    void start(std::size_t who) {
        swarm_.start(who);
        shares_[who] = shared_anew_[who];
        watch_.note({now_s(), What::Up, int(who), -1, 0});
    }
    void take(const Step& step) {
        using Do = Step::Do;
        const auto who = std::size_t(step.who);
        const Fault& fault = day_.faults[std::size_t(step.fault)];
        switch (step.what) {
            case Do::FaultOn:
            case Do::FaultOff:
                links_.set(step.fault, step.what == Do::FaultOn);
                watch_.note(
                    {now_s(), step.what == Do::FaultOn ? What::FaultOn : What::FaultOff, -1, -1, step.fault});
                break;
            case Do::Stop:
                if (!swarm_.up(who)) break;
                swarm_.stop(who);
                watch_.note({now_s(), What::Stopped, step.who, -1, 0});
                break;
            case Do::GoOn:
                if (!swarm_.up(who) || !watch_.now().stopped[who]) break;
                watch_.note({now_s(), What::GoesOn, step.who, -1, 0});
                swarm_.go_on(who);
                break;
            case Do::Kill:
                if (!swarm_.up(who)) break;
                swarm_.crash(who);
                watch_.note({now_s(), What::Down, step.who, -1, 0});
                break;
            case Do::Start:
                if (!swarm_.up(who)) start(who);
                break;
            case Do::Leave:
                if (!swarm_.up(who)) break;
                watch_.note({now_s(), What::Leaves, step.who, -1, 0});
                swarm_.leave(who);
                break;
            case Do::Replay:
                swarm_.replay();
                break;
            case Do::ClockOn:
                swarm_.clock(who, fault.rate, Duration{fault.ms});
                break;
            case Do::Rekey:  // refused by run_virtual
                break;
            case Do::ClockOff:
                swarm_.clock(who, 1, Duration{0});
                break;
        }
    }
    void look() {
        run_to(now_s() + kLookEvery_s);
        for (std::size_t of = 0; of < swarm_.size(); ++of) {
            if (!swarm_.up(of)) {
                if (watch_.now().up[of]) watch_.note({now_s(), What::Down, int(of), -1, 0});  // it has left
                continue;
            }
            if (watch_.now().stopped[of]) continue;
            Watch::Look look;
            int here = 1;
            for (std::size_t about = 0; about < swarm_.size(); ++about) {
                auto belief = about == of ? std::optional(MemberState::Alive) : swarm_.belief(of, about);
                look.of.push_back(belief ? Seen(*belief) : Seen::Unknown);
                here += about != of && look.of.back() <= Seen::Suspect;
            }
            look.said = swarm_.core(of).self().self_report;
            look.shares = shares_[of].update(TimePoint{} + swarm_.now(), here);
            watch_.look(now_s(), of, look);
        }
    }

    const Day& day_;
    Links links_;
    Watch watch_;
    Swarm swarm_;
    std::vector<membership::FleetSizeDivisor> shares_, shared_anew_;
    double begin_s_ = 0;
};

}  // namespace

std::vector<Event> run_virtual(const Day& day, const VirtualOptions& options) {
    for (const Fault& fault : day.faults)
        if (fault.kind == FaultKind::Rekey)
            throw std::invalid_argument(
                "keys are files of processes: a fault of them is not for --world virtual");
    return World(day, options).run();
}

}  // namespace ochrehub::lab::fleet
