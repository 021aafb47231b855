#include "lab/quota/baselines.h"

#include <cmath>
#include <cstring>
#include <map>

#include "lab/quota/fault_injection.h"

namespace ochrehub::lab {

using namespace quota;

std::string_view name(Baseline baseline) {
    constexpr std::string_view kNames[] = {"fixed parts", "one counter, closed", "one counter, open",
                                           "gossiped counters", "leases"};
    return kNames[std::size_t(baseline)];
}

namespace {

/// A token bucket by its owner's clock. May be overdrawn by what is heard of later.
struct Bucket {
    double rate = 0, burst = 0, level = 0;
    TimePoint at{};
    void grow(TimePoint now) {
        level = std::min(burst, level + rate * std::max(0.0, (now - at).count()) / 1000);
        at = std::max(at, now);
    }
    bool take(TimePoint now, double cost) {
        grow(now);
        if (level < cost) return false;
        level -= cost;
        return true;
    }
};

struct Message {
    enum class Kind : std::uint8_t { Query, Yes, No, Sums } kind{};
    std::uint64_t number = 0;
    std::size_t partner = 0;
    std::vector<double> sums{};  // by node and partner, ever
};

class BaselineSimulation {
public:
    BaselineSimulation(Baseline baseline, const QuotaSimulationSettings& settings)
        : baseline_(baseline),
          settings_(settings),
          net_({0, Duration{0.2}, Duration{2}, settings.loss, settings.doubled, false, settings.seed},
               {[this](std::size_t p, TimePoint own) { woken(p, own); },
                [this](std::size_t p, std::size_t from, TimePoint own, const Message& m) {
                    received(p, from, own, m);
                }}),
          random_(unsigned(settings.seed * 40503u + 7)) {
        // The same processes as with leases, so that the same faults hit the same ones.
        for (std::size_t group = 0; group <= settings.sites; ++group)
            for (std::size_t i = 0; i < 3 + (group > 0 ? settings.nodes : 0); ++i) {
                std::size_t p = net_.add();
                all_.push_back({group, group > 0 && i >= 3, {}, {}, {}});
                if (all_[p].node) nodes_.push_back(p);
            }
        for (std::size_t p = 0; p < all_.size(); ++p) {
            if (settings.clocks) net_.clock(p, 0.99 + 0.02 * uniform());
            for (std::size_t q = 0; q < all_.size(); ++q)
                if (all_[p].group != all_[q].group) net_.delay(p, q, settings.site_delay);
            begin(p);
            net_.wake_at(p, net_.own(p) + Duration{200 * uniform()});
        }
        for (std::size_t n = 0; n < settings_.nodes; ++n) {
            sum_ += 1 / std::pow(double(n + 1), settings_.skew);
            weights_.push_back(sum_);
        }
    }

    BaselineResult run() {
        for (const QuotaFault& f : settings_.faults)
            due_.emplace(TimePoint{} + f.at, [this, f] { inject_fault(f, settings_, net_, *this); });
        TimePoint next{}, end = TimePoint{} + settings_.length;
        while (true) {
            TimePoint at = std::min(next, due_.empty() ? TimePoint::max() : due_.begin()->first);
            if (at > end) break;
            net_.run_to(at);
            if (!due_.empty() && due_.begin()->first <= at) {
                auto what = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                what();
            } else {
                next = at + arrive();
            }
        }
        std::stable_sort(out_.admitted.begin(), out_.admitted.end(),
                         [](const AdmittedRequest& a, const AdmittedRequest& b) { return a.at < b.at; });
        return std::move(out_);
    }

    // for `inject_fault`
    std::size_t group_of(std::size_t p) const { return all_[p].group; }
    bool lends(std::size_t p) const { return !all_[p].node; }
    bool serves(std::size_t p) const { return all_[p].node; }
    void crash(std::size_t p, Duration back) {
        if (!net_.up(p)) return;
        net_.crash(p);
        if (all_[p].node) begin(p);
        after(back, [this, p] {
            if (net_.up(p)) return;
            net_.start(p);
            if (all_[p].node) begin(p);  // a counter that is asked has its state on a disk
            net_.wake_at(p, net_.own(p) + Duration{1});
        });
    }
    void stop(std::size_t p, Duration length) {
        if (!net_.up(p) || net_.stopped(p)) return;
        net_.stop(p);
        after(length, [this, p] {
            net_.go_on(p);
            for (std::size_t partner : std::exchange(all_[p].waiting, {})) request(p, partner);
        });
    }
    void after(Duration wait, std::function<void()> what) {
        due_.emplace(net_.now() + wait, std::move(what));
    }

private:
    struct Process {
        std::size_t group = 0;
        bool node = false;
        std::vector<Bucket> buckets;
        std::vector<double> sums;
        std::vector<std::size_t> waiting;
    };
    double uniform() { return double(random_()) * 0x1p-32; }

    void begin(std::size_t p) {
        Process& one = all_[p];
        double part = baseline_ == Baseline::Fixed ? 1 / double(settings_.sites * settings_.nodes) : 1;
        one.buckets.clear(), one.waiting.clear();
        for (const Budget& b : settings_.budgets)
            one.buckets.push_back({0.98 * double(b.rate) * part, double(b.burst) * part, 0, net_.own(p)});
        one.sums.assign(all_.size() * settings_.budgets.size(), 0);
    }
    Duration arrive() {
        Duration at = net_.now() - TimePoint{};
        std::vector<double> rates;
        double sum = 0;
        for (std::size_t b = 0; b < settings_.budgets.size(); ++b)
            for (std::size_t s = 0; s < settings_.sites; ++s)
                rates.push_back(settings_.demand(b, s, at)), sum += rates.back();
        Duration gap{sum > 0 ? -std::log(1 - uniform()) / sum * 1000 : 1e9};
        if (gap > Duration{20}) return Duration{20};
        double draw = uniform() * sum;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            if ((draw -= rates[i]) >= 0) continue;
            std::size_t n = std::size_t(
                std::upper_bound(weights_.begin(), weights_.end() - 1, uniform() * sum_) - weights_.begin());
            std::size_t p = nodes_[i % settings_.sites * settings_.nodes + n];
            ++out_.asked;
            if (!net_.up(p)) break;
            if (net_.stopped(p)) {
                if (all_[p].waiting.size() < 500) all_[p].waiting.push_back(i / settings_.sites);
            } else {
                request(p, i / settings_.sites);
            }
            break;
        }
        return gap;
    }
    void let(std::size_t p, std::size_t partner) {
        out_.admitted.push_back({net_.now(), partner, all_[p].group - 1, 0, kUnit, false});
    }
    void request(std::size_t p, std::size_t partner) {
        if (baseline_ == Baseline::Fixed || baseline_ == Baseline::Gossip) {
            if (!all_[p].buckets[partner].take(net_.own(p), double(kUnit))) return;
            all_[p].sums[p * settings_.budgets.size() + partner] += double(kUnit);
            return let(p, partner);
        }
        std::uint64_t number = ++numbers_;
        asked_[number] = {p, partner, net_.now()};
        ++out_.messages;
        net_.send(p, 1, {Message::Kind::Query, number, partner});
        after(Duration{1000}, [this, number] {
            auto found = asked_.find(number);
            if (found == asked_.end()) return;
            PendingQuery asked = found->second;
            asked_.erase(found);
            out_.waits.push_back(1000);
            if (baseline_ == Baseline::OneCounterOpen && net_.up(asked.node) && !net_.stopped(asked.node))
                let(asked.node, asked.partner);
        });
    }
    void woken(std::size_t p, TimePoint own) {
        net_.wake_at(p, own + Duration{200});
        if (baseline_ != Baseline::Gossip || !all_[p].node) return;
        for (int i = 0; i < 3; ++i) {
            ++out_.messages;
            net_.send(p, nodes_[std::size_t(uniform() * double(nodes_.size()))],
                      {Message::Kind::Sums, 0, 0, all_[p].sums});
        }
    }
    void received(std::size_t p, std::size_t from, TimePoint own, const Message& m) {
        if (m.kind == Message::Kind::Query) {
            bool yes = all_[p].buckets[m.partner].take(own, double(kUnit));
            ++out_.messages;
            net_.send(p, from, {yes ? Message::Kind::Yes : Message::Kind::No, m.number, m.partner});
        } else if (m.kind == Message::Kind::Sums) {
            for (std::size_t i = 0; i < m.sums.size(); ++i) {
                double more = m.sums[i] - all_[p].sums[i];
                if (more <= 0) continue;
                all_[p].sums[i] = m.sums[i];
                Bucket& bucket = all_[p].buckets[i % settings_.budgets.size()];
                bucket.grow(own);
                bucket.level -= more;
            }
        } else {
            auto found = asked_.find(m.number);
            if (found == asked_.end()) return;
            out_.waits.push_back((net_.now() - found->second.at).count());
            if (m.kind == Message::Kind::Yes) let(p, m.partner);
            asked_.erase(found);
        }
    }

    struct PendingQuery {
        std::size_t node = 0, partner = 0;
        TimePoint at;
    };
    Baseline baseline_;
    QuotaSimulationSettings settings_;
    Net<Message> net_;
    boost::random::taus88 random_;
    std::vector<Process> all_;
    std::vector<std::size_t> nodes_;
    std::vector<double> weights_;
    double sum_ = 0;
    std::multimap<TimePoint, std::function<void()>> due_;
    std::map<std::uint64_t, PendingQuery> asked_;
    std::uint64_t numbers_ = 0;
    BaselineResult out_;
};

}  // namespace

BaselineResult run(Baseline baseline, const QuotaSimulationSettings& settings) {
    if (baseline != Baseline::Leases) return BaselineSimulation(baseline, settings).run();
    QuotaSimulationResult result = run(settings);
    BaselineResult out;
    out.admitted = std::move(result.admitted), out.messages = result.messages, out.asked = result.asked;
    return out;
}

}  // namespace ochrehub::lab
