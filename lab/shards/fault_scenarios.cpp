#include "lab/shards/fault_scenarios.h"

#include <map>

namespace ochrehub::lab::shards {
namespace {

constexpr TimePoint at(double ms) {
    return TimePoint(Duration(ms));
}
constexpr std::size_t kNoHolder = ~std::size_t{0};

/// Heals all faults. The shards must then settle and serve, and both holders of each shard end with the same
/// records.
Simulation::Result end(Simulation& simulation) {
    simulation.heal();
    simulation.stop_message_loss();
    for (std::size_t h = 0; h < simulation.holders(); ++h) simulation.resume(h), simulation.start(h);
    TimePoint from = simulation.now(), until = from + Duration(60'000);
    while (simulation.now() < until && (!simulation.settled() || simulation.now() < from + Duration(8000)))
        simulation.run_to(simulation.now() + Duration(250));
    bool settled = simulation.settled();
    TimePoint then = simulation.now();
    simulation.run_to(then + Duration(1500));
    simulation.stop_clients();
    simulation.run_to(simulation.now() + Duration(4000));
    Simulation::Result result = simulation.check();
    if (!settled) result.violations.push_back("the shards did not settle within a minute");
    if (result.last_answer < then) result.violations.push_back("no request completed after the last fault");
    if (!simulation.copies_equal())
        result.violations.push_back("primary and backup of a shard have different records");
    return result;
}
std::size_t primary_of(const Simulation& simulation, std::uint32_t shard) {
    return simulation.holder_of(simulation.map().entries[shard].primary);
}
std::size_t backup_of(const Simulation& simulation, std::uint32_t shard) {
    return simulation.holder_of(simulation.map().entries[shard].backup);
}

Simulation::Result run_with(const SimulationSettings& settings,
                            const std::function<void(Simulation&)>& inject_faults) {
    Simulation simulation(settings);
    simulation.run_to(at(6000));
    inject_faults(simulation);
    return end(simulation);
}
void run_for(Simulation& simulation, double ms) {
    simulation.run_to(simulation.now() + Duration(ms));
}

}  // namespace

Simulation::Result run_random_faults(const SimulationSettings& given) {
    SimulationSettings settings = given;
    boost::random::taus88 random(unsigned(settings.seed * 40503u) | 64u);
    auto uniform = [&] { return double(random()) * 0x1p-32; };
    auto between = [&](double least, double most) { return Duration(least + (most - least) * uniform()); };
    if (random() % 3 == 0) settings.loss = 0.02;
    Simulation simulation(settings);
    std::multimap<TimePoint, std::function<void()>> later;
    TimePoint next = at(2000) + between(0, 4000), stop = next + Duration(25'000);
    auto pick = [&] { return std::size_t(random() % simulation.holders()); };
    // Half of the faults hit the holders of shard 0, so that one shard is hit repeatedly.
    auto holder = [&] {
        const fleet::ShardAssignment& e = simulation.map().entries[0];
        std::size_t h = simulation.holder_of(random() % 2 ? e.primary : e.backup);
        return random() % 2 == 0 || h == kNoHolder ? pick() : h;
    };
    while (next < stop) {
        while (!later.empty() && later.begin()->first <= next) {
            simulation.run_to(later.begin()->first);
            auto what = std::move(later.begin()->second);
            later.erase(later.begin());
            what();
        }
        simulation.run_to(next);
        std::size_t a = holder(), b = holder(), node = random() % settings.nodes;
        Duration span = random() % 4 ? between(50, 3000) : between(2500, 9000);
        switch (random() % 12) {
            case 0:
            case 1:
                simulation.kill(a);
                later.emplace(next + span, [&simulation, a] { simulation.start(a); });
                break;
            case 2:
            case 3:
                simulation.pause(a);
                later.emplace(next + span, [&simulation, a] { simulation.resume(a); });
                break;
            case 4:
                simulation.cut(a, b);
                break;
            case 5:
            case 6: {
                unsigned which = random() % 3;
                simulation.cut_from_coordinators(a, which != 0, which != 1);
                later.emplace(next + span, [&simulation] { simulation.heal(); });
                break;
            }
            case 7:
                simulation.cut_node(node, a, random() % 2, random() % 2);
                later.emplace(next + span, [&simulation] { simulation.heal(); });
                break;
            case 8:
                simulation.delay(a, b, between(10, 800));
                break;
            case 9:
                simulation.delay_from_coordinators(a, between(100, 3500));
                break;
            case 10:
                simulation.move_leader();
                break;
            default:
                if (random() % 3 == 0 && simulation.holders() < 8)
                    simulation.add_holder();
                else if (random() % 3 == 0)
                    simulation.leave(a);
                else
                    simulation.heal();
        }
        next += between(100, 1500);
    }
    return end(simulation);
}

const std::vector<Scenario>& scenarios() {
    static const std::vector<Scenario> kScripts = {
        {"primary cut from its backup, then killed",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0);
                 for (std::size_t h = 0; h < simulation.holders(); ++h) simulation.cut(f, h);
                 run_for(simulation, 300);
                 simulation.kill(f);
                 run_for(simulation, 6000);
             });
         }},
        {"primary killed",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 simulation.kill(primary_of(simulation, 0));
                 run_for(simulation, 6000);
             });
         }},
        {"primary cut from the coordinators, not from nodes",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 simulation.cut_from_coordinators(primary_of(simulation, 0), true, true);
                 run_for(simulation, 8000);
             });
         }},
        {"coordinators' responses delayed, then cut",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0);
                 simulation.delay_from_coordinators(f, Duration(2800));
                 run_for(simulation, 7000);
                 simulation.cut_from_coordinators(f, true, false);
                 run_for(simulation, 8000);
             });
         }},
        {"primary paused past its session's expiry",
         [](SimulationSettings s) {
             return run_with(s, [&](Simulation& simulation) {
                 for (double pause : {3300, 3700, 4100}) {
                     std::size_t f = primary_of(simulation, 0);
                     if (f == kNoHolder) continue;
                     simulation.pause(f);
                     run_for(simulation, pause);
                     simulation.resume(f);
                     run_for(simulation, 6000);
                 }
             });
         }},
        {"primary paused for 30 s, resumed two views later",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0);
                 simulation.pause(f);
                 run_for(simulation, 12'000);
                 std::size_t g = primary_of(simulation, 0);
                 simulation.kill(g);
                 run_for(simulation, 18'000);
                 simulation.resume(f);
                 run_for(simulation, 3000);
             });
         }},
        {"primary killed while a third holder catches up",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0), second = backup_of(simulation, 0);
                 for (std::size_t h = 0; h < simulation.holders(); ++h)
                     if (h != second) simulation.delay(f, h, Duration(1500));
                 simulation.kill(second);
                 run_for(simulation, 4300);
                 simulation.kill(f);
                 run_for(simulation, 6000);
             });
         }},
        {"view changes twice during a catch-up",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0), second = backup_of(simulation, 0);
                 for (std::size_t h = 0; h < simulation.holders(); ++h) simulation.delay(f, h, Duration(700));
                 simulation.kill(second);
                 run_for(simulation, 3800);
                 simulation.start(second);
                 std::size_t filling = simulation.holder_of(simulation.map().entries[0].catching_up);
                 if (filling != kNoHolder) simulation.kill(filling);
                 run_for(simulation, 3300);
                 simulation.move_leader();
                 run_for(simulation, 6000);
             });
         }},
        {"one holder joins, one leaves",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 simulation.add_holder();
                 run_for(simulation, 6000);
                 simulation.leave(primary_of(simulation, 0));
                 run_for(simulation, 15'000);
             });
         }},
        {"primary restarted before its session's expiry",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0);
                 simulation.kill(f);
                 run_for(simulation, 300);
                 simulation.start(f);
                 run_for(simulation, 6000);
             });
         }},
        {"coordinators' leader changes",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 for (int i = 0; i < 6; ++i) {
                     simulation.move_leader();
                     run_for(simulation, 1500);
                 }
             });
         }},
        {"both holders killed",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 std::size_t f = primary_of(simulation, 0), second = backup_of(simulation, 0);
                 simulation.kill(f);
                 simulation.kill(second);
                 run_for(simulation, 8000);
             });
         }},
        {"responses to a node are lost",
         [](SimulationSettings s) {
             return run_with(s, [](Simulation& simulation) {
                 for (std::size_t h = 0; h < simulation.holders(); ++h)
                     simulation.cut_node(0, h, false, true);
                 run_for(simulation, 6000);
             });
         }},
    };
    return kScripts;
}

namespace {

SimulationSettings event_fault_settings(std::uint64_t seed) {
    SimulationSettings s;
    s.seed = seed;
    s.holders = 3, s.nodes = 2, s.workers = 2, s.shards = 1, s.keys = 6, s.zones = 3, s.page = 2;
    s.think = Duration(60);
    return s;
}
constexpr Duration kRunLength{7000};  // settled, then one holder joins and one leaves

}  // namespace

FaultRun run_with_fault_at(std::uint64_t number, Simulation::AtEvent what, std::uint64_t seed,
                           std::size_t joins) {
    Simulation simulation(event_fault_settings(seed));
    FaultRun result;
    simulation.at_event(number, what);
    simulation.run_to(at(3000));
    for (std::size_t i = 0; i < joins; ++i) simulation.add_holder();
    simulation.run_to(at(5000));
    if (std::size_t f = primary_of(simulation, 0); f != kNoHolder) simulation.leave(f);
    simulation.run_to(TimePoint(kRunLength));
    result.was_injected = simulation.faulted_holder().has_value();
    if (!result.was_injected) return result;
    if (what == Simulation::AtEvent::PauseAfter) {
        // Resumed two views later.
        std::uint64_t view = simulation.map().entries[0].view;
        for (int i = 0; i < 40 && simulation.map().entries[0].view < view + 2; ++i) run_for(simulation, 200);
        simulation.resume(*simulation.faulted_holder());
    }
    run_for(simulation, 5000);
    result.result = end(simulation);
    return result;
}

std::uint64_t count_events(std::uint64_t seed) {
    Simulation simulation(event_fault_settings(seed));
    simulation.run_to(at(3000));
    simulation.add_holder();
    simulation.run_to(at(5000));
    if (std::size_t f = primary_of(simulation, 0); f != kNoHolder) simulation.leave(f);
    simulation.run_to(TimePoint(kRunLength));
    return simulation.events();
}

}  // namespace ochrehub::lab::shards
