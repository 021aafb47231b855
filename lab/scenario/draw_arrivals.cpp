// Arrivals: a Poisson process at a rate that may swing, with each property of the calls from a stream of its
// own. The n-th arrival is the same call at any rate; a surge adds calls and leaves the usual ones as they
// are.
#include <fmt/format.h>

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <cmath>
#include <numbers>

#include "lab/scenario/drawer.h"

namespace ochrehub::lab::scenario {

namespace {

/// Times the class's mean. The tail beyond it is nobody's service: a single call would be a cold server's
/// whole budget.
constexpr double kWorkMost = 12;

// Days hold up to 20 million of them.
static_assert(sizeof(Arrival) <= 48);

/// Arrivals a second over the day; times in s.
struct Rate {
    double mean = 0, swing = 0, period = 1, phase = 0;

    double at(double t) const { return mean * (1 + swing * std::sin(turn() * t + phase)); }
    /// Expected arrivals from 0 to t.
    double until(double t) const {
        if (swing == 0) return mean * t;
        return mean * (t + swing / turn() * (std::cos(phase) - std::cos(turn() * t + phase)));
    }
    /// When so many are expected; not before `after`.
    double when(double target, double after) const {
        if (swing == 0) return target / mean;
        const double missing = target - until(after);
        double low = after, high = after + missing / (mean * (1 - swing)) + 1e-9,
               t = after + missing / at(after);
        // Newton's steps, kept within what the least and greatest rate allow.
        for (int i = 0; i < 50; ++i) {
            const double error = until(t) - target;
            if (std::abs(error) < 1e-9) break;
            (error > 0 ? high : low) = t;
            t -= error / at(t);
            if (!(t > low && t < high)) t = (low + high) / 2;
        }
        return t;
    }
    double turn() const { return 2 * std::numbers::pi / period; }
};

std::vector<double> summed(const std::vector<double>& parts) {
    std::vector<double> sums;
    sums.reserve(parts.size());
    double sum = 0;
    for (double each : parts) sums.push_back(sum += each);
    return sums;
}

int pick(const std::vector<double>& sums, Stream& stream) {
    const double lot = stream.unit() * sums.back();
    const auto found = std::upper_bound(sums.begin(), sums.end() - 1, lot);
    return static_cast<int>(found - sums.begin());
}

class ArrivalDraw {
public:
    ArrivalDraw(const Scenario::Content& content, std::uint64_t seed, Day& day)
        : load_(content.one("load")), drawer_(seed), day_(day) {
        for (const ClassFigures& each : day.classes) classes_.push_back(each.share);
        for (const TenantFigures& each : day.tenants) tenants_.push_back(each.share * each.usage);
        tenants_ = shares(tenants_);
        const std::vector<Block> zones = zones_of(content);
        zones_ = drawer_.skews(load_, zones.size());
        for (std::size_t i = 0; i < zones.size(); ++i) zones_[i] *= drawer_.number(zones[i], "traffic");
        zones_ = shares(zones_);
    }

    void all(const std::vector<Surge>& surges) {
        rate_.mean = load_["utilisation"].there ? drawer_.number(load_, "utilisation") * day_.capacity_rps
                                                : drawer_.number(load_, "rate");
        if (rate_.mean <= 0) return;
        if (drawer_.choice(load_, "shape") == "wave") {
            rate_.swing = drawer_.number(load_, "swing");
            rate_.period = drawer_.number(load_, "period_s");
            rate_.phase = drawer_.draws().stream("load", "phase").unit() * 2 * std::numbers::pi;
        }
        const double length = day_.length.count() / 1000, expected = rate_.until(length);
        day_.arrivals.reserve(static_cast<std::size_t>(expected + 6 * std::sqrt(expected) + 16));
        calls("", 1, 0, length, tenants_, zones_);
        surge(surges);
        keys();
        quotas();
    }

private:
    /// Appends those between two times, at `times` the usual rate.
    void calls(const std::string& entry, double times, double from, double to,
               const std::vector<double>& tenants, const std::vector<double>& zones) {
        const auto stream = [&](const char* key) { return drawer_.draws().stream("arrivals", key, entry); };
        Stream gaps = stream("gap"), classes = stream("class"), tenant = stream("tenant"),
               zone = stream("zone"), works = stream("work"), waits = stream("wait");
        boost::random::exponential_distribution<double> gap;
        boost::random::normal_distribution<double> work, wait;
        const std::vector<double> class_sums = summed(classes_), tenant_sums = summed(tenants),
                                  zone_sums = summed(zones);
        std::vector<double> sigmas;
        for (const ClassFigures& each : day_.classes)
            sigmas.push_back(std::sqrt(std::log1p(each.spread * each.spread)));
        double expected = rate_.until(from), t = from;
        for (;;) {
            expected += gap(gaps) / times;
            t = std::max(t, rate_.when(expected, t));
            if (t >= to) break;
            Arrival& arrival = day_.arrivals.emplace_back();
            arrival.at = Duration(t * 1000);
            arrival.cls = pick(class_sums, classes);
            arrival.tenant = pick(tenant_sums, tenant);
            arrival.zone = pick(zone_sums, zone);
            // Lognormal with mean 1.
            const double sigma = sigmas[static_cast<std::size_t>(arrival.cls)], shift = sigma * sigma / 2;
            arrival.work = static_cast<float>(std::min(kWorkMost, std::exp(sigma * work(works) - shift)));
            arrival.wait = static_cast<float>(std::min(kWorkMost, std::exp(sigma * wait(waits) - shift)));
        }
    }

    void surge(const std::vector<Surge>& surges) {
        for (const auto& [fault, entry] : surges) {
            if (fault.size <= 1) continue;
            // The part of all arrivals that it concerns, which it multiplies.
            std::vector<double> tenants = tenants_, zones = zones_;
            for (std::size_t i = 0; i < tenants.size(); ++i)
                if (fault.tenant != kNone && fault.tenant != static_cast<int>(i)) tenants[i] = 0;
            for (std::size_t i = 0; i < zones.size(); ++i)
                if (!hits(fault.zones, static_cast<int>(i))) zones[i] = 0;
            const double times = (fault.size - 1) * summed(tenants).back() * summed(zones).back();
            if (times <= 0) continue;
            const auto before = static_cast<long>(day_.arrivals.size());
            calls(entry, times, fault.at.count() / 1000, fault.end().count() / 1000, tenants, zones);
            std::inplace_merge(day_.arrivals.begin(), day_.arrivals.begin() + before, day_.arrivals.end(),
                               [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
        }
        for (const Surge& surge : surges) {
            const Fault& fault = surge.fault;
            if (fault.size >= 1) continue;
            Stream lots = drawer_.draws().stream("arrivals", "fewer", surge.entry);
            std::erase_if(day_.arrivals, [&](const Arrival& arrival) {
                return arrival.at >= fault.at && arrival.at < fault.end() &&
                       (fault.tenant == kNone || fault.tenant == arrival.tenant) &&
                       hits(fault.zones, arrival.zone) && lots.unit() >= fault.size;
            });
        }
    }

    static bool hits(const std::vector<int>& zones, int zone) {
        return zones.empty() || std::count(zones.begin(), zones.end(), zone) > 0;
    }

    /// A key for each keyed call, none twice: the engine's numbers repeat only after all 2^64.
    void keys() {
        const double repeated = drawer_.number(load_, "repeat_keys");
        Stream fresh = drawer_.draws().stream("arrivals", "key"),
               lots = drawer_.draws().stream("arrivals", "repeat");
        struct Latest {
            Duration at{};
            std::uint64_t key = 0;
        };
        std::vector<Latest> latest(day_.classes.size() * day_.tenants.size());
        for (Arrival& arrival : day_.arrivals) {
            const auto cls = static_cast<std::size_t>(arrival.cls);
            if (day_.classes[cls].effect != Idempotency::IdempotentWithKey) continue;
            Latest& last = latest[cls * day_.tenants.size() + static_cast<std::size_t>(arrival.tenant)];
            const bool again = repeated > 0 && lots.unit() < repeated && last.key != 0 &&
                               arrival.at - last.at < day_.classes[cls].window;
            if (!again) {
                do last = {arrival.at, fresh()};
                while (last.key == 0);
            }
            arrival.key = last.key;
        }
    }

    /// Over the whole tier, as each call begins: a token bucket for each tenant.
    void quotas() {
        const double burst = drawer_.number(load_, "quota_burst_s");
        struct Bucket {
            double tokens = 0;
            Duration at{};
        };
        std::vector<Bucket> buckets;
        for (const TenantFigures& each : day_.tenants)
            buckets.push_back({std::max(1.0, each.quota_rps * burst), Duration(0)});
        for (Arrival& arrival : day_.arrivals) {
            const auto tenant = static_cast<std::size_t>(arrival.tenant);
            const double quota = day_.tenants[tenant].quota_rps;
            Bucket& bucket = buckets[tenant];
            bucket.tokens = std::min(std::max(1.0, quota * burst),
                                     bucket.tokens + quota * (arrival.at - bucket.at).count() / 1000);
            bucket.at = arrival.at;
            arrival.over_share = bucket.tokens < 1;
            if (!arrival.over_share) bucket.tokens -= 1;
        }
    }

    const Block& load_;
    Drawer drawer_;
    Day& day_;
    Rate rate_;
    std::vector<double> classes_, tenants_, zones_;
};

}  // namespace

void draw_arrivals(const Scenario::Content& content, const std::vector<Surge>& surges, std::uint64_t seed,
                   Day& day) {
    ArrivalDraw(content, seed, day).all(surges);
}

}  // namespace ochrehub::lab::scenario
