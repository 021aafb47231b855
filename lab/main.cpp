// ochrehub_lab: emulated fleets, load, experiments and their reports. All traffic stays on loopback, and
// every run ends by itself.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/log.h"
#include "lab/fleet/flood.h"
#include "lab/fleet/heartbeats.h"
#include "lab/fleet/outcome.h"
#include "lab/fleet/processes.h"
#include "lab/fleet/scenario.h"
#include "lab/fleet/shrink.h"
#include "lab/fleet/virtual.h"
#include "lab/play/load.h"
#include "lab/play/play.h"
#include "lab/play/serve.h"
#include "lab/record/parallel.h"
#include "lab/record/trace.h"
#include "lab/result/compare.h"
#include "lab/result/report.h"
#include "lab/result/result.h"
#include "lab/scenario/scenario.h"
#include "lab/sim/simulate.h"
#include "lab/swarm/explore.h"
#include "lab/swarm/trial.h"

namespace {

using namespace ochrehub::lab;

constexpr int kDone = 0, kBroken = 1, kUsage = 2;
constexpr std::uint64_t kSeedsMost = 100000;

/// What ends a command with status 2.
struct Usage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Seeds {
    std::uint64_t first = 1, last = 1;
};

struct Common {
    std::string scenario, seeds, json, trace;
    std::uint64_t seed = 1;
    bool quiet = false;
};

Seeds seeds_of(const Common& common) {
    if (common.seeds.empty()) return {common.seed, common.seed};
    Seeds seeds;
    std::size_t dots = common.seeds.find("..");
    auto read = [&](std::size_t from, std::size_t to, std::uint64_t& into) {
        const char *begin = common.seeds.data() + from, *end = common.seeds.data() + to;
        auto [at, error] = std::from_chars(begin, end, into);
        return error == std::errc{} && at == end && begin != end;
    };
    bool read_both = dots != std::string::npos && read(0, dots, seeds.first) &&
                     read(dots + 2, common.seeds.size(), seeds.last);
    if (!read_both || seeds.last < seeds.first)
        throw Usage("--seeds: not FIRST..LAST: '" + common.seeds + "'");
    if (seeds.last - seeds.first >= kSeedsMost)
        throw Usage("--seeds: more than " + std::to_string(kSeedsMost) + " at once");
    return seeds;
}

void write_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::binary);
    out << text;
    out.close();
    if (!out) throw Usage("--json: cannot write " + path);
}

/// What each class and tenant got, as the standing test's gate counts it: worth served of the worth asked
/// for.
void tell_groups(const Result& r) {
    auto tell_each = [](const char* what, const std::vector<GroupResult>& groups) {
        for (const GroupResult& g : groups)
            std::printf(
                "%s %-16s served %.4f of its worth, %llu calls: %llu served (%llu late), %llu refused, %llu "
                "failed\n",
                what, g.name.c_str(), g.worth.share(), static_cast<unsigned long long>(g.calls),
                static_cast<unsigned long long>(g.served), static_cast<unsigned long long>(g.served_late),
                static_cast<unsigned long long>(g.refused), static_cast<unsigned long long>(g.failed));
    };
    tell_each("class ", r.classes);
    tell_each("tenant", r.tenants);
}

/// The least share of worth over all seeds, for each part of a day that must not be starved: worst first.
void tell_floors(const std::vector<Result>& results) {
    std::vector<std::pair<double, std::string>> least;
    for (const Result& r : results)
        for (const Floor& floor : floors(r)) {
            const std::string name = floor.of + " " + floor.name;
            auto known =
                std::find_if(least.begin(), least.end(), [&](const auto& f) { return f.second == name; });
            if (known == least.end()) known = least.insert(least.end(), {1, name});
            known->first = std::min(known->first, floor.worth.share());
        }
    std::stable_sort(least.begin(), least.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    std::printf("floors:");
    for (const auto& [share, name] : least)
        std::printf(" %s %.4f%s", name.c_str(), share, &name == &least.back().second ? "" : ",");
    std::printf("\n");
}

/// One line a seed, or of a single one its classes and tenants too, then what broke and what was missed. The
/// status that the command ends with.
int tell(const Scenario& scenario, const std::vector<Result>& results, bool quiet) {
    if (!quiet) {
        std::printf("%-8s %7s %7s %7s %7s %8s %8s %7s %7s %8s\n", "seed", "worth", "10 s", "tenant", "score",
                    "calls", "tries/c", "p50 ms", "p99 ms", "breaches");
        for (const Result& r : results)
            std::printf("%-8llu %7.4f %7.4f %7.4f %7.4f %8llu %8.3f %7.1f %7.1f %8llu\n",
                        static_cast<unsigned long long>(r.seed), r.worth.share(), r.worst_10s, r.worst_tenant,
                        r.score, static_cast<unsigned long long>(r.calls), r.tries_per_call,
                        r.latency.quantile_ms(0.5), r.latency.quantile_ms(0.99),
                        static_cast<unsigned long long>(r.breach_count));
        if (results.size() == 1) tell_groups(results.front());
        tell_floors(results);
    }
    bool broken = false;
    for (const Result& r : results)
        for (const BreachResult& breach : r.breaches) {
            broken = true;
            std::printf("seed %llu: rule %d, %s at %.3f s: %s\n", static_cast<unsigned long long>(r.seed),
                        breach.number, breach.rule.c_str(), breach.at_s, breach.proof.c_str());
        }
    for (const Missed& missed : judge(scenario.expectations(), results)) {
        broken = true;
        std::string which = missed.seed ? " of seed " + std::to_string(*missed.seed) : "";
        std::printf("expected %s%s %s %g: it is %g\n", missed.expectation.figure.c_str(), which.c_str(),
                    missed.expectation.how == Expectation::How::AtLeast ? ">=" : "<=",
                    missed.expectation.bound, missed.value);
    }
    return broken ? kBroken : kDone;
}

int run_simulate(const Common& common, int jobs, const WorldOptions& world) {
    Seeds seeds = seeds_of(common);
    Scenario scenario = Scenario::read(common.scenario);
    if (!common.trace.empty() && seeds.first != seeds.last) throw Usage("--trace: of one seed only");
    std::vector<Simulated> done;
    if (common.trace.empty())
        done = simulate(scenario, seeds.first, seeds.last, jobs, world);
    else
        done.push_back(simulate(scenario.draw(seeds.first), world, common.trace));
    std::vector<Result> results;
    double cpu = 0, calls = 0;
    std::uint64_t steps = 0;
    for (Simulated& one : done) {
        cpu += one.cpu_s;
        steps += one.steps;
        calls += double(one.result.calls);
        results.push_back(std::move(one.result));
    }
    if (!common.json.empty()) write_file(common.json, to_json(results));
    int status = tell(scenario, results, common.quiet);
    if (!common.quiet)
        std::printf("%.0f calls and %llu events in %.2f s of CPU: %.0f calls a second of one core\n", calls,
                    static_cast<unsigned long long>(steps), cpu, cpu > 0 ? calls / cpu : 0);
    return status;
}

int run_play(const Common& common, PlayOptions options) {
    Seeds seeds = seeds_of(common);
    Scenario scenario = Scenario::read(common.scenario);
    if (!common.trace.empty() && seeds.first != seeds.last) throw Usage("--trace: of one seed only");
    if (!common.trace.empty())
        options.witness = [&](const std::vector<Record>& records, ochrehub::TimePoint start) {
            Trace trace(common.trace, start, nullptr);
            for (const Record& record : records) trace.note(record);
        };
    if (!common.quiet)
        options.progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
    std::vector<Result> results;
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
        results.push_back(play(scenario.draw(seed), options));
    if (!common.json.empty()) write_file(common.json, to_json(results));
    return tell(scenario, results, common.quiet);
}

int run_serve(const Common& common, ServeOptions options) {
    Day day = Scenario::read(common.scenario).draw(common.seed);
    options.print = [](const std::string& line) {
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
    };
    serve(day, options);
    return kDone;
}

int run_load(const Common& common, const std::string& to, LoadOptions options) {
    Day day = Scenario::read(common.scenario).draw(common.seed);
    options.seed = common.seed;
    if (!common.quiet)
        options.progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
    std::printf("%s", summary(load(day, to, options)).c_str());
    return kDone;
}

int run_compare(const std::string& a, const std::string& b) {
    std::vector<Result> of_a = read_results(a), of_b = read_results(b);
    std::cout << compare_text(compare(of_a, of_b), a, b);
    return kDone;
}

/// A line a file: how many of its seeds recovered from their troubles, how soon, and what that took.
int run_recovery(const std::vector<std::string>& files, bool head) {
    if (head)
        std::printf("%-15s %5s %5s %5s %6s  %6s %6s %6s %6s %6s  %6s %6s %6s %6s %8s %8s\n", "scenario",
                    "seeds", "in 5s", "in 30s", "p90 s", "worth", "least", "before", "during", "after",
                    "tries", "refuse", "peak", "score", "connects", "breaches");
    for (const std::string& file : files) {
        std::vector<Result> results = read_results(file);
        if (results.empty()) continue;
        std::vector<double> back;
        double in5 = 0, in30 = 0, peaks = 0, breaches = 0, least = 1;
        for (const Result& r : results) {
            const double s = r.recovery.recovered_s;
            in5 += s >= 0 && s <= 5;
            in30 += s >= 0 && s <= 30;
            back.push_back(s < 0 ? std::numeric_limits<double>::infinity() : s);
            peaks += r.recovery.return_peak > 0;
            breaches += double(r.breach_count);
            least = std::min(least, r.worth.share());
        }
        std::sort(back.begin(), back.end());
        auto mean = [&](auto of, double over) {
            double sum = 0;
            for (const Result& r : results) sum += of(r);
            return over > 0 ? sum / over : 0;
        };
        const double n = double(results.size());
        std::printf(
            "%-15s %5.0f %5.0f %5.0f %6.1f  %6.3f %6.3f %6.3f %6.3f %6.3f  %6.2f %6.3f %6.2f %6.3f %8.0f "
            "%8.0f\n",
            results.front().scenario.c_str(), n, in5, in30, back[std::size_t(0.9 * (n - 1))],
            mean([](const Result& r) { return r.worth.share(); }, n), least,
            mean([](const Result& r) { return r.recovery.before; }, n),
            mean([](const Result& r) { return r.recovery.during; }, n),
            mean([](const Result& r) { return r.recovery.after; }, n),
            mean([](const Result& r) { return r.recovery.tries_per_call; }, n),
            mean([](const Result& r) { return r.recovery.refused_after; }, n),
            mean([](const Result& r) { return r.recovery.return_peak; }, peaks),
            mean([](const Result& r) { return r.score; }, n),
            mean([](const Result& r) { return double(r.client_connections); }, n), breaches);
    }
    return kDone;
}

int run_report(const std::vector<std::string>& files, const std::string& folder) {
    if (fleet::is_outcomes(files.front())) {
        std::vector<fleet::Outcome> all;
        for (const std::string& file : files)
            for (fleet::Outcome& one : fleet::read_outcomes(file)) all.push_back(std::move(one));
        fleet::write_page(all, folder);
        std::printf("%s", fleet::summary(all).c_str());
        std::printf("%s\n", (std::filesystem::path(folder) / "index.html").c_str());
        return kDone;
    }
    std::vector<std::vector<Result>> runs;
    std::vector<std::string> names;
    for (const std::string& file : files) {
        runs.push_back(read_results(file));
        names.push_back(std::filesystem::path(file).stem().string());
    }
    write_report(runs, names, folder);
    std::printf("%s\n", (std::filesystem::path(folder) / "index.html").c_str());
    return kDone;
}

/// Its mean over the seeds of all files, a number alone: for scripts.
int run_figure(const std::string& path, const std::vector<std::string>& files) {
    double sum = 0;
    std::size_t many = 0;
    for (const std::string& file : files)
        for (const Result& result : read_results(file)) {
            std::optional<double> value = figure(result, path);
            if (!value) throw Usage("no figure '" + path + "' in " + file);
            sum += *value;
            ++many;
        }
    std::printf("%.6g\n", many > 0 ? sum / double(many) : 0);
    return kDone;
}

/// What nodes call: in how many seeds, how soon behind the first fault's begin (the day's, where there is
/// none), and for how long over all nodes.
int run_weather(const Common& common, int jobs, bool changes) {
    using State = ochrehub::LoadState::State;
    constexpr std::size_t kStates = ochrehub::LoadState::kStates;
    Seeds seeds = seeds_of(common);
    Scenario scenario = Scenario::read(common.scenario);
    struct OfSeed {
        std::array<double, kStates> first{}, held{};  // ms: since the cause, over all nodes
        std::size_t nodes = 0;
        std::string lines;
    };
    std::vector<OfSeed> all(std::size_t(seeds.last - seeds.first + 1));
    auto play = [&](OfSeed& into, std::uint64_t seed) {
        const Day day = scenario.draw(seed);
        double cause = 0;
        for (const Fault& fault : day.faults)
            if (cause == 0 || fault.at.count() < cause) cause = fault.at.count();
        into.first.fill(-1);
        into.nodes = day.nodes.size();
        std::vector<std::pair<State, double>> now(into.nodes, {State::Calm, 0});
        auto move = [&](ochrehub::lab::NodeNo node, State to, double at) {
            auto& [state, since] = now[std::size_t(node)];
            into.held[std::size_t(state)] += at - since;
            state = to;
            since = at;
        };
        WorldOptions options;
        options.load_state = [&](ochrehub::lab::NodeNo node, const ochrehub::LoadState::Change& change) {
            const double at = (change.at - World::kStart).count();
            move(node, change.to, at);
            double& first = into.first[std::size_t(change.to)];
            if (first < 0) first = std::max(0.0, at - cause);
            if (!changes) return;
            const ochrehub::LoadState::OverloadSignals& signals = change.signals;
            char line[400];
            std::snprintf(
                line, sizeof line,
                "seed %llu node %d %.2f s (%+.2f): %s, was %s; tries %.0f (usual %.0f) repeats %.2f refused "
                "%.2f late %.2f served %.0f of %.0f slow %.2f opened %.0f (usual %.0f) leaving %d new %d "
                "tenant %d grew %.1f\n",
                static_cast<unsigned long long>(seed), node, at / 1000, (at - cause) / 1000,
                ochrehub::LoadState::name(change.to), ochrehub::LoadState::name(change.from),
                signals.requests_per_s, signals.usual_first_attempts_per_s, signals.retry_fraction,
                signals.rejected_fraction, signals.late_fraction, signals.served_per_s,
                signals.peak_served_per_s, signals.slowdown, signals.connections_per_s,
                signals.usual_connections_per_s, signals.draining_servers, signals.new_servers,
                signals.tenant, signals.tenant_growth);
            into.lines += line;
        };
        simulate(day, options);
        for (std::size_t n = 0; n < into.nodes; ++n)
            move(ochrehub::lab::NodeNo(n), State::Calm, std::max(now[n].second, day.length.count()));
    };
    in_parallel(all.size(), jobs, [&](std::size_t i) { play(all[i], seeds.first + i); });
    for (const OfSeed& one : all) std::printf("%s", one.lines.c_str());
    std::printf("%-15s", std::filesystem::path(common.scenario).stem().c_str());
    for (std::size_t state = 1; state < kStates; ++state) {
        std::vector<double> soon;
        double held = 0, nodes = 0;
        for (const OfSeed& one : all) {
            if (one.first[state] >= 0) soon.push_back(one.first[state] / 1000);
            held += one.held[state] / 1000;
            nodes += double(one.nodes);
        }
        std::sort(soon.begin(), soon.end());
        std::printf("  %s %zu", ochrehub::LoadState::name(State(state)), soon.size());
        if (!soon.empty())
            std::printf(" (%.1f, %.1f s; %.1f s a node)", soon[soon.size() / 2],
                        soon[std::size_t(0.9 * double(soon.size() - 1))], held / nodes);
    }
    std::printf("\n");
    return kDone;
}

/// Done: no death unknown, and nobody dead who is not.
int run_members(const Common& common, const SwarmTrial& trial, int jobs) {
    Seeds seeds = seeds_of(common);
    std::vector<SwarmOutcome> outcomes = run(trial, seeds.first, seeds.last, jobs);
    std::printf("%s", summary(trial, outcomes).c_str());
    auto broken = [](const SwarmOutcome& outcome) {
        return outcome.settled_ms < 0 || outcome.known_ms < 0 || outcome.wrong_at_end > 0;
    };
    return std::any_of(outcomes.begin(), outcomes.end(), broken) ? kBroken : kDone;
}

std::atomic<bool> interrupted{false};

struct FleetOptions {
    std::string world = "processes", program, logs;
    bool shrink = false;
};

int run_fleet(const Common& common, const FleetOptions& options, int jobs) {
    Seeds seeds = seeds_of(common);
    fleet::Scenario scenario = fleet::Scenario::read(common.scenario);
    std::vector<fleet::Outcome> outcomes(std::size_t(seeds.last - seeds.first + 1));
    auto run = [&](std::size_t i, auto&& world) {
        fleet::Outcome& one = outcomes[i];
        one.day = scenario.draw(seeds.first + i);
        one.world = options.world;
        one.events = world(one.day);
        one.verdict = fleet::judge(one.day, one.events);
    };
    if (options.world != "processes") {
        in_parallel(outcomes.size(), jobs, [&](std::size_t i) {
            run(i, [&](const fleet::Day& day) {
                if (options.world == "virtual") return fleet::run_virtual(day);
                return fleet::run_heartbeats(
                    day, options.world == "phi" ? fleet::Detector::Phi : fleet::Detector::Timeout);
            });
        });
    } else {
        // Processes end with this one however it ends; asked to, it takes their folders along.
        for (int number : {SIGINT, SIGTERM, SIGHUP}) std::signal(number, [](int) { interrupted = true; });
        fleet::ProcessOptions how;
        how.program = options.program;
        how.stop = &interrupted;
        if (!common.quiet)
            how.progress = [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); };
        for (std::size_t i = 0; i < outcomes.size(); ++i) {
            if (!options.logs.empty())
                how.logs = std::filesystem::path(options.logs) / std::to_string(seeds.first + i);
            run(i, [&](const fleet::Day& day) { return fleet::run_processes(day, how); });
            if (!common.quiet)
                std::fprintf(stderr, "seed %llu: %zu promises broken\n",
                             static_cast<unsigned long long>(outcomes[i].day.seed),
                             outcomes[i].verdict.broken.size());
        }
    }
    if (!common.json.empty()) write_file(common.json, fleet::to_json(outcomes));
    std::printf("%s", fleet::summary(outcomes).c_str());
    auto broken = std::find_if(outcomes.begin(), outcomes.end(),
                               [](const fleet::Outcome& one) { return !one.verdict.broken.empty(); });
    if (broken == outcomes.end()) return kDone;
    if (options.shrink) {
        // Another promise that a smaller day breaks is another story.
        std::string promise = broken->verdict.broken.front().promise;
        promise = promise.substr(
            0, std::min({promise.find(" ("), promise.find(" within"), promise.find(':'), promise.size()}));
        auto breaks = [&](const fleet::Day& day) {
            for (const fleet::Broken& one : fleet::judge(day, fleet::run_virtual(day)).broken)
                if (one.promise.starts_with(promise)) return true;
            return false;
        };
        if (!breaks(broken->day)) {
            std::printf("seed %llu breaks nothing in virtual time: nothing to shrink\n",
                        static_cast<unsigned long long>(broken->day.seed));
        } else {
            fleet::Shrunk smallest = fleet::shrink(broken->day, breaks);
            std::printf("seed %llu, shrunk from %zu faults in %d runs:\n",
                        static_cast<unsigned long long>(broken->day.seed), broken->day.faults.size(),
                        smallest.runs);
            for (const fleet::Fault& fault : smallest.day.faults)
                std::printf("    %s\n", fault.text().c_str());
        }
    }
    return kBroken;
}

int run_explore(int depth, int cuts, int pauses) {
    using From = Exploration::From;
    const std::array<std::pair<From, const char*>, 5> begins{{{From::Start, "all start"},
                                                              {From::Settled, "all know all"},
                                                              {From::Suspicion, "a cut that has just ended"},
                                                              {From::Death, "one has died"},
                                                              {From::Cut, "a cut that made all dead"}}};
    bool broken = false;
    for (const auto& [from, name] : begins) {
        Exploration all;
        all.from = from;
        all.depth = depth;
        all.cuts = cuts;
        all.pauses = pauses;
        Explored found = explore(all);
        std::printf("%-26s %llu states, %llu ends, right again after %.1f s at most, %llu promises broken\n",
                    name, static_cast<unsigned long long>(found.states),
                    static_cast<unsigned long long>(found.ends), found.slowest_ms / 1000,
                    static_cast<unsigned long long>(found.broken_count));
        for (const std::string& one : found.broken) std::printf("  %s\n", one.c_str());
        broken = broken || found.broken_count > 0;
    }
    return broken ? kBroken : kDone;
}

int run_scenarios() {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(shipped_scenarios()))
        if (entry.path().extension() == ".toml") files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    for (const auto& file : files)
        std::printf("%-18s %s\n", file.stem().c_str(), Scenario::read(file.string()).summary().c_str());
    return kDone;
}

}  // namespace

int main(int count, char** texts) {
    CLI::App app{"Emulated fleets, load, faults, a referee and reports for ochrehub."};
    app.require_subcommand(1);
    Common common;
    WorldOptions world;
    bool in_order = false;
    int jobs = std::max(1, int(std::thread::hardware_concurrency()));
    std::vector<std::string> files;
    std::string folder = "report", a, b;

    auto scenario_of = [&](CLI::App* command) {
        command->add_option("scenario", common.scenario, "a shipped scenario's name, or a TOML file")
            ->required();
    };
    auto seeded = [&](CLI::App* command) {
        auto* one = command->add_option("--seed", common.seed, "the day's seed")->capture_default_str();
        command->add_option("--seeds", common.seeds, "FIRST..LAST: a day for each")->excludes(one);
        command->add_option("--json", common.json, "write the results there");
        command->add_option("--trace", common.trace, "write every record there, a line each");
        command->add_flag("--quiet", common.quiet, "only what broke");
    };
    CLI::App* simulate_command = app.add_subcommand("simulate", "play days in virtual time, in one process");
    scenario_of(simulate_command);
    seeded(simulate_command);
    simulate_command->add_flag("--in-order", in_order,
                               "nodes read all in its order, however old: for comparing");
    simulate_command->add_flag("--fleet", world.fleet,
                               "nodes know each other, as by [fleet], and divide by those that are here");
    simulate_command->add_option("--jobs", jobs, "days at a time")
        ->check(CLI::Range(1, 256))
        ->capture_default_str();
    PlayOptions play_options;
    bool changes = false;
    CLI::App* weather_command =
        app.add_subcommand("weather", "what nodes call storm, brownout and release, in virtual time");
    scenario_of(weather_command);
    weather_command->add_option("--seeds", common.seeds, "FIRST..LAST: a day for each");
    weather_command->add_option("--jobs", jobs, "days at a time")
        ->check(CLI::Range(1, 256))
        ->capture_default_str();
    weather_command->add_flag("--changes", changes, "each change of each node, with its reasons");
    CLI::App* play_command = app.add_subcommand("play", "play days on sockets: real nodes, a process each");
    scenario_of(play_command);
    seeded(play_command);
    play_command
        ->add_option("--node", play_options.node, "a node's program; default: ochrehub beside this one")
        ->check(CLI::ExistingFile);
    play_command->add_option("--logs", play_options.log_dir, "keep the nodes' logs and configurations there");
    ServeOptions serve_options;
    CLI::App* serve_command = app.add_subcommand("serve", "the stand-in servers and discovery alone");
    scenario_of(serve_command);
    serve_command->add_option("--seed", common.seed, "the day's seed")->capture_default_str();
    serve_command->add_option("--for", serve_options.seconds, "seconds; default: the day's")
        ->check(CLI::Range(0.1, 3600.0));
    serve_command
        ->add_option("--plain", serve_options.plain_threads, "no model: answer at once, on so many threads")
        ->check(CLI::Range(1, 64));
    LoadOptions load_options;
    double load_seconds = 0, give_up_ms = 0, storm_seconds = 0;
    std::string to;
    CLI::App* load_command =
        app.add_subcommand("load", "the clients alone, against anything that speaks the protocol");
    scenario_of(load_command);
    load_command->add_option("--to", to, "127.b.c.d:port")->required();
    load_command->add_option("--seed", common.seed, "the day's seed")->capture_default_str();
    load_command
        ->add_option("--rate", load_options.rate,
                     "requests a second; default: the day's clients, retries and all")
        ->check(CLI::Range(0.0, 1e6));
    load_command->add_option("--for", load_seconds, "seconds; default: the day's")
        ->check(CLI::Range(0.1, 3600.0));
    load_command->add_option("--loops", load_options.loops, "threads, with a rate")
        ->check(CLI::Range(1, 64))
        ->capture_default_str();
    load_command->add_option("--connections", load_options.connections, "of each thread at most, with a rate")
        ->check(CLI::Range(1, 20000))
        ->capture_default_str();
    load_command->add_option("--give-up-ms", give_up_ms, "with a rate: clients wait so long and then close")
        ->check(CLI::Range(0.0, 1e5));
    load_command
        ->add_option("--storm-rate", load_options.storm_rate, "with a rate: of the first --storm-for seconds")
        ->check(CLI::Range(0.0, 1e6));
    load_command->add_option("--storm-for", storm_seconds, "seconds")->check(CLI::Range(0.0, 3600.0));
    load_command->add_flag("--quiet", common.quiet, "only the result");
    CLI::App* report_command =
        app.add_subcommand("report", "a page with plots: one run, or runs side by side");
    report_command->add_option("results", files, "results in JSON")->required()->check(CLI::ExistingFile);
    report_command->add_option("-o", folder, "the folder it goes to")->capture_default_str();
    CLI::App* compare_command = app.add_subcommand("compare", "figures of two runs, paired over their seeds");
    compare_command->add_option("a", a, "results in JSON")->required()->check(CLI::ExistingFile);
    compare_command->add_option("b", b, "results in JSON")->required()->check(CLI::ExistingFile);
    CLI::App* figure_command = app.add_subcommand("figure", "one figure's mean over results, a number alone");
    figure_command->add_option("name", a, "such as worth.whole or latency.p99_ms")->required();
    figure_command->add_option("results", files, "results in JSON")->required()->check(CLI::ExistingFile);
    bool head = false;
    CLI::App* recovery_command =
        app.add_subcommand("recovery", "a line a file: seeds back after their troubles, and how");
    recovery_command->add_option("results", files, "results in JSON")->check(CLI::ExistingFile);
    recovery_command->add_flag("--head", head, "the names of the columns first");
    SwarmTrial trial;
    double calm_seconds = trial.calm.count() / 1000;
    CLI::App* members_command = app.add_subcommand(
        "members", "a tier's membership by gossip, in virtual time: what it costs and sees");
    members_command->add_option("--members", trial.swarm.members, "how many")
        ->check(CLI::Range(2, 4000))
        ->capture_default_str();
    members_command->add_option("--loss", trial.swarm.loss, "part of the datagrams that is lost")
        ->check(CLI::Range(0.0, 0.9))
        ->capture_default_str();
    members_command->add_option("--for", calm_seconds, "seconds of calm, before one of them dies")
        ->check(CLI::Range(1.0, 1e6))
        ->capture_default_str();
    members_command->add_option("--seeds", common.seeds, "FIRST..LAST: a tier for each");
    members_command->add_option("--jobs", jobs, "tiers at a time")
        ->check(CLI::Range(1, 256))
        ->capture_default_str();
    bool plain = false;
    members_command
        ->add_option("--pauses", trial.pauses, "of each member an hour, up to 3 s each, in that time")
        ->check(CLI::Range(0.0, 1e4));
    members_command
        ->add_option("--one-sided", trial.one_sided,
                     "so many of a hundred are not heard by one other, in that time")
        ->check(CLI::Range(0, 100));
    members_command->add_flag("--plain", plain, "without Lifeguard's parts and the last call");
    FleetOptions fleet_options;
    CLI::App* fleet_command =
        app.add_subcommand("fleet", "processes of the program with faults between them, judged from outside");
    fleet_command->add_option("scenario", common.scenario, "a shipped scenario's name, or a TOML file")
        ->required();
    auto* fleet_seed = fleet_command->add_option("--seed", common.seed, "what is drawn is drawn from it")
                           ->capture_default_str();
    fleet_command->add_option("--seeds", common.seeds, "FIRST..LAST: a run for each")->excludes(fleet_seed);
    fleet_command
        ->add_option("--world", fleet_options.world,
                     "processes; virtual: the same cores in virtual time; all-to-all, phi: simpler "
                     "detectors, to compare")
        ->check(CLI::IsMember({"processes", "virtual", "all-to-all", "phi"}))
        ->capture_default_str();
    fleet_command->add_option("--json", common.json, "write the results there, for report");
    fleet_command->add_option("--logs", fleet_options.logs,
                              "keep folders and logs there, a folder for each seed");
    fleet_command
        ->add_option("--node", fleet_options.program, "the program; default: ochrehub beside this one")
        ->check(CLI::ExistingFile);
    fleet_command->add_option("--jobs", jobs, "runs at a time, in virtual time")
        ->check(CLI::Range(1, 256))
        ->capture_default_str();
    fleet_command->add_flag("--shrink", fleet_options.shrink,
                            "the first broken seed's faults, cut down in virtual time");
    fleet_command->add_flag("--quiet", common.quiet, "only the result");
    double flood_rate = 50000, flood_seconds = 10;
    CLI::App* flood_command = app.add_subcommand("flood", "datagrams without a key at one member's place");
    flood_command->add_option("--to", to, "127.b.c.d:port")->required();
    flood_command->add_option("--rate", flood_rate, "a second")
        ->check(CLI::Range(1.0, 1e6))
        ->capture_default_str();
    flood_command->add_option("--for", flood_seconds, "seconds")
        ->check(CLI::Range(0.1, 3600.0))
        ->capture_default_str();
    int depth = 6, cuts = 0, pauses = 0;
    CLI::App* explore_command = app.add_subcommand(
        "explore", "all that can happen to three members, from five beginnings, to a depth");
    explore_command->add_option("--depth", depth, "things that happen, one after the other")
        ->check(CLI::Range(1, 14))
        ->capture_default_str();
    explore_command->add_option("--cuts", cuts, "of one way between two, among them")
        ->check(CLI::Range(0, 14))
        ->capture_default_str();
    explore_command->add_option("--pauses", pauses, "of one member, among them")
        ->check(CLI::Range(0, 14))
        ->capture_default_str();
    CLI::App* scenarios_command = app.add_subcommand("scenarios", "those that ship, a line each");

    try {
        app.parse(count, texts);
    } catch (const CLI::ParseError& error) {
        int status = app.exit(error);
        return status == 0 ? kDone : kUsage;
    }
    // What emulated nodes log is thousands of processes' talk on one rate.
    ochrehub::log_by({ochrehub::LogFormat::Text, ochrehub::LogLevel::Error});
    try {
        world.sheds = !in_order;
        if (*simulate_command) return run_simulate(common, jobs, world);
        if (*weather_command) return run_weather(common, jobs, changes);
        if (*play_command) return run_play(common, play_options);
        if (*serve_command) return run_serve(common, serve_options);
        load_options.length = ochrehub::Duration{1000 * load_seconds};
        load_options.give_up = ochrehub::Duration{give_up_ms};
        load_options.storm = ochrehub::Duration{1000 * storm_seconds};
        if (*load_command) return run_load(common, to, load_options);
        if (*report_command) return run_report(files, folder);
        if (*compare_command) return run_compare(a, b);
        if (*figure_command) return run_figure(a, files);
        if (*recovery_command) return run_recovery(files, head);
        if (*scenarios_command) return run_scenarios();
        if (*explore_command) return run_explore(depth, cuts, pauses);
        if (*flood_command) {
            for (int number : {SIGINT, SIGTERM}) std::signal(number, [](int) { interrupted = true; });
            fleet::Flooded done = fleet::flood(to, flood_rate, flood_seconds, interrupted);
            std::printf("%llu datagrams in %.1f s, %llu found no room\n",
                        static_cast<unsigned long long>(done.sent), done.seconds,
                        static_cast<unsigned long long>(done.refused));
            return kDone;
        }
        if (*fleet_command) return run_fleet(common, fleet_options, jobs);
        trial.calm = ochrehub::Duration{1000 * calm_seconds};
        trial.swarm.each.lifeguard = trial.swarm.each.confirm_before_dead = !plain;
        if (*members_command) return run_members(common, trial, jobs);
        return kUsage;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return kUsage;
    }
}
