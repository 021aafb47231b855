#include "lab/fleet/heartbeats.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <numeric>
#include <random>
#include <tuple>

#include "lab/fleet/links.h"
#include "lab/fleet/virtual.h"

namespace ochrehub::lab::fleet {
namespace {

constexpr double kBefore_s = 20;  // in which spreads become known
constexpr double kStep_s = 0.02;
constexpr std::size_t kWindow = 100;
constexpr double kSpreadLeast_s = 0.1;

class Heard {
public:
    void word(double at) {
        if (last_ > -std::numeric_limits<double>::infinity()) {
            gaps_.push_back(at - last_);
            if (gaps_.size() > kWindow) gaps_.pop_front();
        }
        last_ = at;
    }
    /// It stood still itself: that says nothing of the other.
    void excuse(double now) { last_ = std::max(last_, now); }
    bool dead(double now, Detector detector) const {
        double silent = now - last_;
        if (detector == Detector::Timeout) return silent > kTimeout_s;
        if (gaps_.size() < 10) return false;
        double mean = std::accumulate(gaps_.begin(), gaps_.end(), 0.0) / double(gaps_.size()), sum = 0;
        for (double gap : gaps_) sum += (gap - mean) * (gap - mean);
        double spread = std::max(kSpreadLeast_s, std::sqrt(sum / double(gaps_.size())));
        double later = 0.5 * std::erfc((silent - mean) / spread / std::sqrt(2.0));
        return later <= 0 || -std::log10(later) > kPhi;
    }

private:
    double last_ = -std::numeric_limits<double>::infinity();
    std::deque<double> gaps_;
};

class World {
public:
    World(const Day& day, Detector detector)
        : day_(day),
          detector_(detector),
          links_(day),
          watch_(std::size_t(day.members)),
          random_(day.seed),
          n_(std::size_t(day.members)) {}

    std::vector<Event> run() {
        std::vector<double> next(n_);
        for (std::size_t i = 0; i < n_; ++i) {
            watch_.note({-kBefore_s, Event::What::Up, int(i), -1, 0});
            next[i] = -kBefore_s + double(random_() >> 11) * 0x1p-53 * 0.5;
        }
        heard_.assign(n_, std::vector<Heard>(n_));
        std::vector<Step> all = steps(day_);
        std::size_t step = 0;
        bool begun = false;
        for (double now = -kBefore_s; now < day_.length_s; now += kStep_s) {
            if (now >= 0 && !begun) begun = true, watch_.note({now, Event::What::Begins, -1, -1, 0});
            while (begun && step < all.size() && all[step].at_s <= now) take(now, all[step++]);
            for (std::size_t i = 0; i < n_; ++i) {
                if (now < next[i]) continue;
                next[i] += 0.5;
                if (!watch_.now().up[i] || watch_.now().stopped[i]) continue;
                for (std::size_t to = 0; to < n_; ++to)
                    if (to != i)
                        for (Duration late : links_.fate(int(i), int(to)))
                            flying_.push_back({now + late.count() / 1000, i, to});
            }
            std::erase_if(flying_, [&](const auto& one) {
                auto [at, from, to] = one;
                if (at > now || watch_.now().stopped[to]) return false;
                if (watch_.now().up[to]) heard_[to][from].word(now);
                return true;
            });
            if (now >= -10) look(now);
        }
        watch_.note({day_.length_s, Event::What::Over, -1, -1, 0});
        return watch_.taken();
    }

private:
    void take(double now, const Step& step) {
        using Do = Step::Do;
        const auto who = std::size_t(std::max(0, step.who));
        auto note = [&](Event::What what) { watch_.note({now, what, step.who, -1, step.fault}); };
        if (step.what == Do::FaultOn || step.what == Do::FaultOff) {
            links_.set(step.fault, step.what == Do::FaultOn);
            note(step.what == Do::FaultOn ? Event::What::FaultOn : Event::What::FaultOff);
        } else if (step.what == Do::Stop && watch_.now().up[who]) {
            note(Event::What::Stopped);
        } else if (step.what == Do::GoOn && watch_.now().stopped[who]) {
            note(Event::What::GoesOn);
            for (Heard& one : heard_[who]) one.excuse(now);
        } else if (step.what == Do::Kill && watch_.now().up[who]) {
            note(Event::What::Down);
        } else if (step.what == Do::Start && !watch_.now().up[who]) {
            note(Event::What::Up);
            heard_[who].assign(n_, Heard());
        }
    }
    void look(double now) {
        for (std::size_t of = 0; of < n_; ++of) {
            Watch::Look look;
            look.shares = int(n_);
            for (std::size_t about = 0; about < n_; ++about)
                look.of.push_back(about != of && heard_[of][about].dead(now, detector_) ? Seen::Dead
                                                                                        : Seen::Alive);
            watch_.look(now, of, look);
        }
    }

    const Day& day_;
    Detector detector_;
    Links links_;
    Watch watch_;
    std::mt19937_64 random_;
    std::size_t n_;
    std::vector<std::vector<Heard>> heard_;
    std::vector<std::tuple<double, std::size_t, std::size_t>> flying_;
};

}  // namespace

std::vector<Event> run_heartbeats(const Day& day, Detector detector) {
    return World(day, detector).run();
}

}  // namespace ochrehub::lab::fleet
