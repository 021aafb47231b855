#include "lab/leadership/experiments.h"

#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace ochrehub::lab::leadership {

namespace {

constexpr Duration kRunLimit{60'000};
constexpr Duration kFaultDuration{4500};  // longer than a lease

std::string number(std::uint64_t n) {
    return std::to_string(n);
}

}  // namespace

void ExperimentResult::add(const LeaseSimulation& simulation, const CheckerSettings& settings,
                           const std::string& run) {
    ++runs;
    events += simulation.events();
    effects += simulation.effects().effects.size();
    rejected += simulation.effects().rejected.size();
    std::map<std::string, std::uint64_t> last;
    for (const Effect& e : simulation.effects().effects)
        if (std::exchange(last[e.role], e.epoch) != e.epoch) ++holders;
    std::vector<std::string> found = check_invariants(simulation.effects(), settings);
    if (found.empty()) return;
    if (violations++ == 0) first_violation = run + ": " + found.front();
}

LeaseSimulationSettings scripted(std::uint64_t items, std::uint64_t seed) {
    LeaseSimulationSettings settings;
    settings.items = items;
    settings.work_interval = Duration{items > 10 ? 100.0 : 50.0};
    settings.transfer_at = Duration{1500};
    settings.seed = seed;
    return settings;
}

ExperimentResult fault_at_each_event(const LeaseSimulationSettings& settings, Fault fault,
                                     const EventRange& range, bool twice) {
    ExperimentResult result;
    CheckerSettings checker;
    checker.max_late_effects = fault == Fault::Stop ? 1 : 0;
    LeaseSimulation without_fault(settings);
    without_fault.run(kRunLimit);
    const std::uint64_t events = without_fault.events();
    auto run = [&](const std::vector<std::uint64_t>& at, const std::string& name) {
        LeaseSimulation simulation(settings);
        for (std::uint64_t event : at) simulation.inject_at(event, fault, kFaultDuration);
        simulation.run(kRunLimit);
        result.add(simulation, checker, name);
    };
    for (std::uint64_t first = range.first; first <= events; first += range.stride) {
        if (!twice) {
            run({first}, "fault at event " + number(first));
            continue;
        }
        // Within the time in which the job could have been done once more.
        for (std::uint64_t second = first + 1; second <= first + events; second += range.stride)
            run({first, second}, "faults at events " + number(first) + " and " + number(second));
    }
    return result;
}

namespace {

class RandomFaultRun {
public:
    RandomFaultRun(std::uint64_t seed, bool real)
        : random_(seed * 7919 + 11),
          pauses_(seed % 2 == 0),
          settings_(draw_settings(seed, real)),
          simulation_(settings_) {}

    void run() {
        for (double ms = 500 + 1000 * uniform(); ms < 20'000; ms += 300 + 2500 * uniform()) {
            simulation_.run_to(simulation_.started_at() + Duration{ms});
            inject_fault();
        }
        simulation_.run(Duration{120'000});
    }
    const LeaseSimulation& simulation() const { return simulation_; }
    CheckerSettings checker_settings() const {
        CheckerSettings settings;
        settings.max_late_effects = pauses_ ? 1'000'000 : 0;
        settings.max_transit = settings_.delay_most * 3 + Duration{10};
        return settings;
    }

private:
    double uniform() { return double(random_() >> 11) * 0x1p-53; }

    LeaseSimulationSettings draw_settings(std::uint64_t seed, bool real) {
        LeaseSimulationSettings settings;
        settings.jobs = 3;
        settings.items = 60;
        settings.work_interval = Duration{150};
        settings.seed = seed;
        settings.loss = uniform() < 0.5 ? 0 : 0.05 * uniform();
        settings.doubled = uniform() < 0.5 ? 0 : 0.1 * uniform();
        settings.delay_most = Duration{uniform() < 0.5 ? 2.0 : 30.0};
        settings.real = real;
        if (uniform() < 0.5) settings.transfer_at = Duration{3000 + 8000 * uniform()};
        return settings;
    }

    std::size_t any_process() { return std::size_t(uniform() * double(simulation_.net().size())); }

    void inject_fault() {
        const bool at_holder = uniform() < 0.4 && simulation_.working_holder();
        const std::size_t process = at_holder ? *simulation_.working_holder() : any_process();
        const double kind = uniform();
        Duration duration{100 + 6000 * uniform()};
        // With coordinators down for longer there is seldom a majority.
        if (process < settings_.keepers && kind < 0.4) duration = Duration{100 + 3000 * uniform()};
        const Fault fault = kind < 0.4              ? Fault::Kill
                            : kind < 0.7 && pauses_ ? Fault::Stop
                                                    : Fault::CutToKeepers;
        if (fault == Fault::Stop) run_until_about_to_send(process);
        simulation_.inject(process, fault, duration);
        if (uniform() < 0.2) simulation_.inject(any_process(), fault, duration);
    }

    /// Between the look at the lease and the send: the gap that no clock can close.
    void run_until_about_to_send(std::size_t process) {
        for (int i = 0; i < 1000; ++i) {
            if (simulation_.working_holder() != process || simulation_.is_about_to_send(process)) return;
            simulation_.run_to(simulation_.net().now() + Duration{0.3});
        }
    }

    std::mt19937_64 random_;
    bool pauses_;
    LeaseSimulationSettings settings_;
    LeaseSimulation simulation_;
};

}  // namespace

ExperimentResult random_faults(std::uint64_t from, std::uint64_t to, bool real) {
    ExperimentResult result;
    for (std::uint64_t seed = from; seed < to; ++seed) {
        RandomFaultRun run(seed, real);
        run.run();
        result.add(run.simulation(), run.checker_settings(), "seed " + number(seed));
    }
    return result;
}

namespace {

void hand_over(LeaseSimulation& simulation, std::size_t holder, Handover handover) {
    switch (handover) {
        case Handover::Kill:
            return simulation.inject(holder, Fault::Kill, Duration{60'000});
        case Handover::Stop:
            return simulation.inject(holder, Fault::Stop, Duration{60'000});
        case Handover::CutToKeepers:
            return simulation.inject(holder, Fault::CutToKeepers, Duration{60'000});
        case Handover::Move:
            simulation.coordinators().operate("duty", ochrehub::leadership::transfer_lease_command("duty0"));
    }
}

/// From the last effect of the holder before `first` to the first effect of the next; none: there is no next.
std::optional<Duration> gap_after(const std::vector<Effect>& effects, std::size_t first) {
    const std::uint64_t epoch = effects[first - 1].epoch;
    for (std::size_t i = first; i < effects.size(); ++i)
        if (effects[i].epoch != epoch) return effects[i].at - effects[i - 1].at;
    return std::nullopt;
}

}  // namespace

Gaps time_without_holder(Handover handover, std::uint64_t seeds, Duration lease, bool real) {
    Gaps gaps;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed * 104'729);
        LeaseSimulationSettings settings;
        settings.endless = true;
        settings.real = real;
        settings.work_interval = Duration{20};
        settings.lease = lease;
        settings.seed = seed;
        LeaseSimulation simulation(settings);
        simulation.run_to(simulation.started_at() +
                          Duration{6000 + 1000 * (double(random() >> 11) * 0x1p-53)});
        auto holder = simulation.working_holder();
        if (!holder) continue;
        hand_over(simulation, *holder, handover);
        const std::size_t effects_before = simulation.effects().effects.size();
        simulation.run_to(simulation.net().now() + lease * 5);
        auto gap = gap_after(simulation.effects().effects, effects_before);
        if (gap) gaps.each.push_back(*gap);
    }
    std::sort(gaps.each.begin(), gaps.each.end());
    return gaps;
}

}  // namespace ochrehub::lab::leadership
