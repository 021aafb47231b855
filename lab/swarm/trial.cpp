#include "lab/swarm/trial.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <random>
#include <set>
#include <utility>

#include "lab/record/cpu_time.h"
#include "lab/record/parallel.h"

namespace ochrehub::lab {
namespace {

using membership::MemberState;

bool taken_for_dead(std::optional<MemberState> state) {
    return state == MemberState::Dead;
}

/// The counted time, with what is to trouble it.
void count(const SwarmTrial& trial, Swarm& swarm, SwarmOutcome& outcome) {
    const double seconds = trial.calm.count() / 1000, from = swarm.now().count() / 1000;
    std::mt19937_64 random(trial.swarm.seed * 0x9E3779B97F4A7C15ull + 3);
    auto uniform = [&random] { return double(random() >> 11) * 0x1p-53; };
    std::set<std::pair<std::size_t, std::uint32_t>> ended;
    swarm.heard = [&](std::size_t, const membership::MemberChanged& changed) {
        auto about = swarm.index(changed.update.address);
        if (changed.update.state == MemberState::Dead && about && swarm.up(*about))
            ended.insert({*about, changed.update.incarnation});
    };
    std::size_t cut = std::size_t(std::ceil(trial.one_sided * double(swarm.size()) / 100));
    std::vector<std::pair<std::size_t, std::size_t>> ways;
    for (std::size_t i = 0; i < cut; ++i) {
        std::size_t a = random() % swarm.size(), b = random() % swarm.size();
        ways.emplace_back(a, b);
        swarm.cut_way(a, b, true);
    }
    struct Move {
        double at_s;
        std::size_t who;
        bool stop;
    };
    std::vector<Move> moves;
    if (trial.pauses > 0)
        for (std::size_t i = 0; i < swarm.size(); ++i)
            for (double at = 0; (at += -std::log1p(-uniform()) * 3600 / trial.pauses) < seconds;) {
                double longest = std::min(trial.longest.count() / 1000, seconds - at),
                       length = uniform() * longest;
                moves.push_back({from + at, i, true});
                moves.push_back({from + at + length, i, false});
                at += length;
            }
    std::sort(moves.begin(), moves.end(), [](const Move& a, const Move& b) { return a.at_s < b.at_s; });
    for (const Move& move : moves) {
        swarm.run_to(Duration{1000 * move.at_s});
        if (move.stop)
            swarm.stop(move.who);
        else
            swarm.go_on(move.who);
    }
    swarm.run_to(Duration{1000 * (from + seconds)});
    for (auto [a, b] : ways) swarm.cut_way(a, b, false);
    swarm.heard = nullptr;
    outcome.falsely = ended.size();
    outcome.hours = double(swarm.size()) * seconds / 3600;
}

}  // namespace

SwarmOutcome run(const SwarmTrial& trial) {
    double from = thread_cpu_s();
    SwarmOutcome outcome;
    Swarm swarm(trial.swarm);
    // To look at all beliefs costs their square.
    swarm.look_every = Duration{trial.swarm.members > 300 ? 500.0 : 20.0};
    if (auto at = swarm.run_until(trial.settles_within, [&] { return swarm.all_known(); }))
        outcome.settled_ms = at->count();
    swarm.run_to(trial.settles_within);
    std::vector<std::uint64_t> before;
    for (std::size_t i = 0; i < swarm.size(); ++i) before.push_back(swarm.core(i).counts().sent);
    count(trial, swarm, outcome);
    double sum = 0;
    for (std::size_t i = 0; i < swarm.size(); ++i) {
        double sent = double(swarm.core(i).counts().sent - before[i]) / (trial.calm.count() / 1000);
        sum += sent;
        outcome.most_a_second = std::max(outcome.most_a_second, sent);
    }
    outcome.sent_a_second = sum / double(swarm.size());
    if (trial.crash) {
        std::size_t victim = swarm.size() / 2;
        Duration began = swarm.now();
        swarm.crash(victim);
        swarm.look_every = Duration{20};
        auto known = swarm.run_until(began + trial.known_within,
                                     [&] { return swarm.all_believe(victim, taken_for_dead); });
        if (known) outcome.known_ms = (*known - began).count();
    }
    swarm.run_to(swarm.now() + Duration{60'000});
    outcome.called_dead = swarm.called_dead();
    for (std::size_t of = 0; of < swarm.size(); ++of)
        for (std::size_t about = 0; about < swarm.size(); ++about) {
            if (of == about || !swarm.up(of) || !swarm.up(about)) continue;
            auto belief = swarm.belief(of, about);
            outcome.wrong_at_end += !belief || *belief >= MemberState::Dead;
        }
    outcome.cpu_s = thread_cpu_s() - from;
    return outcome;
}

std::vector<SwarmOutcome> run(const SwarmTrial& trial, std::uint64_t first, std::uint64_t last, int jobs) {
    std::vector<SwarmOutcome> all(std::size_t(last - first + 1));
    in_parallel(all.size(), jobs, [&](std::size_t i) {
        SwarmTrial one = trial;
        one.swarm.seed = first + i;
        all[i] = run(one);
    });
    return all;
}

std::string summary(const SwarmTrial& trial, const std::vector<SwarmOutcome>& outcomes) {
    auto of = [&](auto field) {
        std::vector<double> values;
        for (const SwarmOutcome& outcome : outcomes) values.push_back(double(outcome.*field));
        std::sort(values.begin(), values.end());
        return values;
    };
    auto settled = of(&SwarmOutcome::settled_ms), known = of(&SwarmOutcome::known_ms);
    auto sent = of(&SwarmOutcome::sent_a_second), most = of(&SwarmOutcome::most_a_second);
    auto missed = [](const std::vector<double>& values) {
        return std::count_if(values.begin(), values.end(), [](double v) { return v < 0; });
    };
    double dead = 0, wrong = 0, cpu = 0, falsely = 0, hours = 0;
    for (const SwarmOutcome& outcome : outcomes) {
        falsely += double(outcome.falsely);
        hours += outcome.hours;
        dead += double(outcome.called_dead);
        wrong += double(outcome.wrong_at_end);
        cpu += outcome.cpu_s;
    }
    char text[700];
    std::snprintf(
        text, sizeof text,
        "%zu members, loss %.2f, %zu seeds: all know all after %.1f s (worst %.1f, not at all %ld); a member "
        "sends %.2f a second (the busiest %.2f); a death is known to all after %.1f s (worst %.1f, not at "
        "all "
        "%ld); false deaths a member and hour %.4f (%.0f in %.0f hours); live ones called dead %.0f times, "
        "wrong a minute "
        "later %.0f; %.1f s of CPU\n",
        trial.swarm.members, trial.swarm.loss, outcomes.size(), settled[settled.size() / 2] / 1000,
        settled.back() / 1000, long(missed(settled)), sent[sent.size() / 2], most.back(),
        known[known.size() / 2] / 1000, known.back() / 1000, trial.crash ? long(missed(known)) : 0,
        hours > 0 ? falsely / hours : 0, falsely, hours, dead, wrong, cpu);
    return text;
}

}  // namespace ochrehub::lab
