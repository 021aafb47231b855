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

/// A token bucket by its process's clock. Gossiped counts may overdraw it.
struct Bucket {
    double rate = 0, burst = 0, level = 0;
    TimePoint at{};
    void refill(TimePoint now) {
        level = std::min(burst, level + rate * std::max(0.0, (now - at).count()) / 1000);
        at = std::max(at, now);
    }
    bool take(TimePoint now, double cost) {
        refill(now);
        if (level < cost) return false;
        level -= cost;
        return true;
    }
};

struct Message {
    enum class Kind : std::uint8_t { Query, Admit, Reject, AdmittedSums } kind{};
    std::uint64_t number = 0;
    std::size_t partner = 0;
    std::vector<double> admitted_sums{};  // by node and partner, since the start
};

class BaselineSimulation {
public:
    BaselineSimulation(Baseline baseline, const QuotaSimulationSettings& settings)
        : baseline_(baseline),
          settings_(settings),
          net_({0, Duration{0.2}, Duration{2}, settings.loss, settings.duplication, false, settings.seed},
               {[this](std::size_t p, TimePoint own) { on_timer(p, own); },
                [this](std::size_t p, std::size_t from, TimePoint own, const Message& m) {
                    received(p, from, own, m);
                }}),
          random_(unsigned(settings.seed * 40503u + 7)) {
        // The same processes as in the simulation of leases, so that a fault hits the same process in both.
        for (std::size_t group = 0; group <= settings.sites; ++group)
            for (std::size_t i = 0; i < 3 + (group > 0 ? settings.nodes : 0); ++i) {
                std::size_t p = net_.add();
                processes_.push_back({group, group > 0 && i >= 3, {}, {}, {}});
                if (processes_[p].node) nodes_.push_back(p);
            }
        for (std::size_t p = 0; p < processes_.size(); ++p) {
            if (settings.clock_rates_vary) net_.clock(p, 0.99 + 0.02 * uniform());
            for (std::size_t q = 0; q < processes_.size(); ++q)
                if (processes_[p].group != processes_[q].group) net_.delay(p, q, settings.site_delay);
            begin(p);
            net_.wake_at(p, net_.own(p) + Duration{200 * uniform()});
        }
        for (std::size_t n = 0; n < settings_.nodes; ++n) {
            total_weight_ += 1 / std::pow(double(n + 1), settings_.node_skew);
            weights_.push_back(total_weight_);
        }
    }

    BaselineResult run() {
        for (const QuotaFault& f : settings_.faults)
            scheduled_.emplace(TimePoint{} + f.at, [this, f] { inject_fault(f, settings_, net_, *this); });
        TimePoint next{}, end = TimePoint{} + settings_.length;
        while (true) {
            TimePoint at = std::min(next, scheduled_.empty() ? TimePoint::max() : scheduled_.begin()->first);
            if (at > end) break;
            net_.run_to(at);
            if (!scheduled_.empty() && scheduled_.begin()->first <= at) {
                auto action = std::move(scheduled_.begin()->second);
                scheduled_.erase(scheduled_.begin());
                action();
            } else {
                next = at + generate_arrival();
            }
        }
        std::stable_sort(result_.admitted.begin(), result_.admitted.end(),
                         [](const AdmittedRequest& a, const AdmittedRequest& b) { return a.at < b.at; });
        return std::move(result_);
    }

    // Host of inject_fault.
    std::size_t group_of(std::size_t p) const { return processes_[p].group; }
    bool is_allocator(std::size_t p) const { return !processes_[p].node; }
    bool is_node(std::size_t p) const { return processes_[p].node; }
    void crash(std::size_t p, Duration restart_after) {
        if (!net_.up(p)) return;
        net_.crash(p);
        if (processes_[p].node) begin(p);
        after(restart_after, [this, p] {
            if (net_.up(p)) return;
            net_.start(p);
            if (processes_[p].node) begin(p);  // a counter's state is durable
            net_.wake_at(p, net_.own(p) + Duration{1});
        });
    }
    void stop(std::size_t p, Duration length) {
        if (!net_.up(p) || net_.stopped(p)) return;
        net_.stop(p);
        after(length, [this, p] {
            net_.go_on(p);
            for (std::size_t partner : std::exchange(processes_[p].waiting, {})) request(p, partner);
        });
    }
    void after(Duration wait, std::function<void()> action) {
        scheduled_.emplace(net_.now() + wait, std::move(action));
    }

private:
    struct Process {
        std::size_t group = 0;
        bool node = false;
        std::vector<Bucket> buckets;
        std::vector<double> admitted_sums;
        std::vector<std::size_t> waiting;
    };
    double uniform() { return double(random_()) * 0x1p-32; }

    void begin(std::size_t p) {
        Process& process = processes_[p];
        double part = baseline_ == Baseline::StaticShares ? 1 / double(settings_.sites * settings_.nodes) : 1;
        process.buckets.clear(), process.waiting.clear();
        for (const Budget& b : settings_.budgets)
            process.buckets.push_back({0.98 * double(b.rate) * part, double(b.burst) * part, 0, net_.own(p)});
        process.admitted_sums.assign(processes_.size() * settings_.budgets.size(), 0);
    }
    Duration generate_arrival() {
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
                std::upper_bound(weights_.begin(), weights_.end() - 1, uniform() * total_weight_) -
                weights_.begin());
            std::size_t p = nodes_[i % settings_.sites * settings_.nodes + n];
            ++result_.requests;
            if (!net_.up(p)) break;
            if (net_.stopped(p)) {
                if (processes_[p].waiting.size() < 500) processes_[p].waiting.push_back(i / settings_.sites);
            } else {
                request(p, i / settings_.sites);
            }
            break;
        }
        return gap;
    }
    void admit(std::size_t p, std::size_t partner) {
        result_.admitted.push_back({net_.now(), partner, processes_[p].group - 1, 0, kUnit, false});
    }
    void request(std::size_t p, std::size_t partner) {
        if (baseline_ == Baseline::StaticShares || baseline_ == Baseline::GossipedCounters) {
            if (!processes_[p].buckets[partner].take(net_.own(p), double(kUnit))) return;
            processes_[p].admitted_sums[p * settings_.budgets.size() + partner] += double(kUnit);
            return admit(p, partner);
        }
        std::uint64_t number = ++last_query_;
        pending_queries_[number] = {p, partner, net_.now()};
        ++result_.messages;
        net_.send(p, 1, {Message::Kind::Query, number, partner});
        after(Duration{1000}, [this, number] {
            auto found = pending_queries_.find(number);
            if (found == pending_queries_.end()) return;
            PendingQuery query = found->second;
            pending_queries_.erase(found);
            result_.waits.push_back(1000);
            if (baseline_ == Baseline::SingleCounterFailOpen && net_.up(query.node) &&
                !net_.stopped(query.node))
                admit(query.node, query.partner);
        });
    }
    void on_timer(std::size_t p, TimePoint own) {
        net_.wake_at(p, own + Duration{200});
        if (baseline_ != Baseline::GossipedCounters || !processes_[p].node) return;
        for (int i = 0; i < 3; ++i) {
            ++result_.messages;
            net_.send(p, nodes_[std::size_t(uniform() * double(nodes_.size()))],
                      {Message::Kind::AdmittedSums, 0, 0, processes_[p].admitted_sums});
        }
    }
    void received(std::size_t p, std::size_t from, TimePoint own, const Message& m) {
        if (m.kind == Message::Kind::Query) {
            bool admits = processes_[p].buckets[m.partner].take(own, double(kUnit));
            ++result_.messages;
            net_.send(p, from, {admits ? Message::Kind::Admit : Message::Kind::Reject, m.number, m.partner});
        } else if (m.kind == Message::Kind::AdmittedSums) {
            for (std::size_t i = 0; i < m.admitted_sums.size(); ++i) {
                double increase = m.admitted_sums[i] - processes_[p].admitted_sums[i];
                if (increase <= 0) continue;
                processes_[p].admitted_sums[i] = m.admitted_sums[i];
                Bucket& bucket = processes_[p].buckets[i % settings_.budgets.size()];
                bucket.refill(own);
                bucket.level -= increase;
            }
        } else {
            auto found = pending_queries_.find(m.number);
            if (found == pending_queries_.end()) return;
            result_.waits.push_back((net_.now() - found->second.at).count());
            if (m.kind == Message::Kind::Admit) admit(p, m.partner);
            pending_queries_.erase(found);
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
    std::vector<Process> processes_;
    std::vector<std::size_t> nodes_;
    std::vector<double> weights_;
    double total_weight_ = 0;
    std::multimap<TimePoint, std::function<void()>> scheduled_;
    std::map<std::uint64_t, PendingQuery> pending_queries_;
    std::uint64_t last_query_ = 0;
    BaselineResult result_;
};

}  // namespace

BaselineResult run(Baseline baseline, const QuotaSimulationSettings& settings) {
    if (baseline != Baseline::Leases) return BaselineSimulation(baseline, settings).run();
    QuotaSimulationResult result = run(settings);
    BaselineResult baseline_result;
    baseline_result.admitted = std::move(result.admitted), baseline_result.messages = result.messages,
    baseline_result.requests = result.requests;
    return baseline_result;
}

}  // namespace ochrehub::lab
