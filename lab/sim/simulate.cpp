#include "lab/sim/simulate.h"

#include <algorithm>
#include <optional>

#include "lab/record/cpu_time.h"
#include "lab/record/parallel.h"
#include "lab/record/trace.h"
#include "lab/referee/referee.h"

namespace ochrehub::lab {
namespace {

class Both : public Witness {
public:
    Both(Witness& a, Witness& b) : a_(a), b_(b) {}
    void note(const Record& record) override {
        a_.note(record);
        b_.note(record);
    }

private:
    Witness &a_, &b_;
};

}  // namespace

Simulated simulate(const Day& day, const WorldOptions& options, const std::string& trace) {
    double began = thread_cpu_s();
    Referee referee(day, World::kStart, Duration{0});
    Tally tally(day, World::kStart);
    Both both(referee, tally);
    std::optional<Trace> traced;
    if (!trace.empty()) traced.emplace(trace, World::kStart, &both);
    Witness& witness = traced ? static_cast<Witness&>(*traced) : both;
    Simulated done;
    {
        World world(day, witness, options);
        world.run();
        referee.finish(world.now());
        done.steps = world.steps();
    }
    done.result = tally.result(referee, "simulate");
    done.cpu_s = thread_cpu_s() - began;
    return done;
}

std::vector<Simulated> simulate(const Scenario& scenario, std::uint64_t first, std::uint64_t last, int jobs,
                                const WorldOptions& options) {
    std::vector<Simulated> all(std::size_t(last - first + 1));
    in_parallel(all.size(), jobs,
                [&](std::size_t i) { all[i] = simulate(scenario.draw(first + i), options); });
    return all;
}

}  // namespace ochrehub::lab
