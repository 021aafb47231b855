// The four rules, judged from outside over long runs of random but legal events.
#include <gtest/gtest.h>

#include <random>

#include "bench_side.h"

namespace ochrehub::testing {
namespace {

struct Sent {
    EndpointId endpoint;
    double when;
    std::optional<Outcome> outcome;
};

struct SimulationParameters {
    std::uint64_t seed;
    bool second_copies;
    bool report_load;
};

class SafetyRules : public ::testing::TestWithParam<SimulationParameters> {};

// Plays the clients, the endpoints and the list, and checks each action as it is made.
class RandomEventSimulation {
public:
    explicit RandomEventSimulation(const SimulationParameters& c)
        : random_(c.seed), settings_(make_settings()), node_(tuned(settings_, c), c.seed) {}

    void run(double length) {
        push_list(UpdateKind::Cached);
        for (now_ = 1; now_ < length; now_ += 1 + double(random_() % 4)) {
            take(node_.run_to(now_));
            finish_due_attempts();
            answer_probes();
            if (random_() % 4 == 0) arrive();
            if (random_() % 400 == 0) change_list();
            check_overdue();
        }
        for (double end = now_ + 3000; now_ < end; now_ += 1) {
            take(node_.run_to(now_));
            finish_due_attempts();
            check_overdue();
        }
        for (const auto& [id, r] : requests_)
            EXPECT_TRUE(r.answered) << "request " << id << " got no final answer";
        EXPECT_GT(sends_, 200u);
        EXPECT_GT(answers_, 200u);
    }

private:
    struct Client {
        int cls;
        double deadline;
        bool answered = false;
        std::vector<Sent> attempts;
    };
    struct Due {
        RequestId id;
        int attempt;
        Outcome outcome;
        double sent;
    };

    static Settings tuned(Settings& set, const SimulationParameters& c) {
        set.allows_hedging = c.second_copies;
        set.probes_report_load = c.report_load;
        set.cancel = c.seed % 2 == 0;
        return set;
    }

    void push_list(UpdateKind kind) {
        std::vector<EndpointEntry> entries;
        for (EndpointId id = 1; id <= 8; ++id) {
            auto e = entry(id, int(id % 2), int(id % 4));
            e.phase = phase_[id];
            if (started_[id] > 0) e.last_start = at(started_[id]);
            if (e.phase == Phase::Removed && kind != UpdateKind::Delta) continue;
            entries.push_back(e);
        }
        take(node_.list(now_, entries, kind));
    }

    void change_list() {
        EndpointId id = 1 + EndpointId(random_() % 8);
        switch (random_() % 4) {
            case 0:
                phase_[id] = Phase::Draining;
                break;
            case 1:
                phase_[id] = Phase::Removed;
                break;
            case 2:
                phase_[id] = Phase::Ready;
                started_[id] = now_;
                break;
            default:
                phase_[id] = Phase::Ready;
                break;
        }
        push_list(random_() % 2 == 0 ? UpdateKind::Delta : UpdateKind::Full);
    }

    void arrive() {
        RequestId id = next_++;
        Client& r = requests_[id];
        r.cls = int(random_() % 5);
        double patience = 100 + double(random_() % 900);
        r.deadline = now_ + patience;
        take(node_.arrive(now_, id, r.cls, patience));
    }

    void answer_probes() {
        auto probes = std::move(probes_);
        probes_.clear();
        for (EndpointId s : probes) {
            unsigned dice = unsigned(random_() % 10);
            if (dice == 0) continue;
            take(node_.probe(now_, s, dice == 1 ? Outcome::ConnectFailed : Outcome::Ok, double(random_() % 4),
                             double(random_() % 3)));
        }
    }

    void finish_due_attempts() {
        std::vector<Due> due;
        while (!due_.empty() && due_.begin()->first <= now_) {
            due.push_back(due_.begin()->second);
            due_.erase(due_.begin());
        }
        for (const Due& d : due) {
            Client& r = requests_.at(d.id);
            Outcome outcome = d.outcome;
            r.attempts[std::size_t(d.attempt)].outcome = outcome;
            if (outcome == Outcome::Ok && !r.answered) {
                r.answered = true;
                ++answers_;
            }
            take(node_.end(now_, d.id, d.attempt, r.attempts[std::size_t(d.attempt)].endpoint, outcome,
                           now_ - d.sent, r.answered));
        }
    }

    void take(const Actions& actions) {
        for (const Action& action : actions) {
            if (const auto* f = std::get_if<Forward>(&action)) sent(*f);
            if (const auto* p = std::get_if<Probe>(&action)) probes_.push_back(p->endpoint);
            if (const auto* a = std::get_if<Reject>(&action)) refused(a->request);
            if (const auto* a = std::get_if<Fail>(&action)) conclude(a->request);
        }
    }

    static bool never_ran(const Sent& s) {
        return s.outcome == Outcome::Rejected || s.outcome == Outcome::ConnectFailed ||
               s.outcome == Outcome::NotSent;
    }

    void sent(const Forward& f) {
        Client& r = requests_.at(f.request);
        EXPECT_FALSE(r.answered) << "rule 1: sent after its end";
        EXPECT_LT(now_, r.deadline) << "rule 1: sent after the client gave up";
        EXPECT_LT(r.attempts.size(), 4u);
        EXPECT_EQ(phase_[f.endpoint], Phase::Ready) << "rule 3";
        for (const Sent& earlier : r.attempts) {
            if (!earlier.outcome) {
                EXPECT_TRUE(settings_.allows_hedging) << "rule 2: two attempts at once";
            }
            if (never_ran(earlier) || r.cls == 0) continue;
            EXPECT_NE(r.cls, 1) << "rule 2: an unsafe request sent again";
            EXPECT_LT(now_ - earlier.when, 1500) << "rule 2: past the window";
            if (r.cls == 3) {
                EXPECT_EQ(earlier.endpoint % 2, f.endpoint % 2) << "rule 2: another zone";
            }
            if (r.cls == 4) {
                EXPECT_EQ(earlier.endpoint % 4, f.endpoint % 4) << "rule 2: another cell";
            }
        }
        check_slow_start(f.endpoint);
        int attempt = int(r.attempts.size());
        r.attempts.push_back({f.endpoint, now_, std::nullopt});
        ++sends_;
        static constexpr Outcome kOutcomes[] = {Outcome::Ok,    Outcome::Ok,      Outcome::Ok,
                                                Outcome::Ok,    Outcome::Error,   Outcome::Rejected,
                                                Outcome::Reset, Outcome::Timeout, Outcome::ConnectFailed};
        Outcome outcome = kOutcomes[random_() % std::size(kOutcomes)];
        double when = outcome == Outcome::Timeout ? r.deadline : now_ + 5 + double(random_() % 200);
        if (when >= r.deadline) {
            outcome = Outcome::Timeout;
            when = r.deadline;
        }
        due_.emplace(when, Due{f.request, attempt, outcome, now_});
    }

    void check_slow_start(EndpointId endpoint) {
        auto& times = slow_start_sends_[endpoint];
        double age = now_ - started_[endpoint];
        if (started_[endpoint] == 0 || age > 8000) return;
        times.push_back(now_);
        auto in_span =
            std::count_if(times.begin(), times.end(), [this](double t) { return t > now_ - 2000; });
        // No endpoint here answers more than one request in 5 ms for each of its cores, however many there
        // are.
        double share = std::min(1.0, 0.3 + 0.7 * age / 8000);
        EXPECT_LE(double(in_span), std::max(2.0, 2.5 * share * 200 * 2)) << "rule 4";
    }

    void refused(RequestId id) {
        const Client& r = requests_.at(id);
        if (r.cls == 1 || r.cls >= 3) {
            for (const Sent& s : r.attempts)
                EXPECT_TRUE(never_ran(s)) << "rule 2: refused though it may have run";
        }
        conclude(id);
    }

    void conclude(RequestId id) {
        Client& r = requests_.at(id);
        EXPECT_FALSE(r.answered) << "rule 1: two final answers";
        EXPECT_LE(now_, r.deadline + 5) << "rule 1: a final answer that is late";
        r.answered = true;
        ++answers_;
    }

    void check_overdue() {
        for (auto it = requests_.lower_bound(checked_); it != requests_.end(); ++it) {
            if (it->second.answered) continue;
            ASSERT_LE(now_, it->second.deadline + 10) << "request " << it->first;
        }
        while (requests_.contains(checked_) && requests_.at(checked_).answered) ++checked_;
    }

    std::mt19937_64 random_;
    Settings settings_;
    Gateway node_;
    double now_ = 0;
    RequestId next_ = 1, checked_ = 1;
    std::map<RequestId, Client> requests_;
    std::multimap<double, Due> due_;
    std::vector<EndpointId> probes_;
    std::map<EndpointId, Phase> phase_{{1, Phase::Ready}, {2, Phase::Ready}, {3, Phase::Ready},
                                       {4, Phase::Ready}, {5, Phase::Ready}, {6, Phase::Ready},
                                       {7, Phase::Ready}, {8, Phase::Ready}};
    std::map<EndpointId, double> started_;
    std::map<EndpointId, std::vector<double>> slow_start_sends_;
    std::size_t sends_ = 0, answers_ = 0;
};

TEST_P(SafetyRules, HoldOverRandomEvents) {
    RandomEventSimulation(GetParam()).run(20000);
}

INSTANTIATE_TEST_SUITE_P(
    Seeds, SafetyRules,
    ::testing::Values(SimulationParameters{1, false, false}, SimulationParameters{2, true, false},
                      SimulationParameters{3, false, true}, SimulationParameters{4, true, true},
                      SimulationParameters{5, false, true}, SimulationParameters{6, true, false},
                      SimulationParameters{7, true, true}, SimulationParameters{8, false, false}));

}  // namespace
}  // namespace ochrehub::testing
