#include "lab/equivalence/runner.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string_view>
#include <thread>

#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::equivalence {
namespace {

struct Played {
    std::uint64_t events = 0;
    std::uint64_t hash = 0;
};

Played play(const Scenario& scenario, std::uint64_t seed, std::FILE* trace) {
    DecisionRecorder recorder(trace);
    scenario.play(seed);
    return {recorder.events(), recorder.hash()};
}

int print_hashes(const std::vector<Scenario>& scenarios, std::size_t seeds, std::size_t jobs) {
    std::vector<Played> played(scenarios.size() * seeds);
    std::atomic<std::size_t> next{0};
    auto work = [&] {
        for (std::size_t i; (i = next++) < played.size();)
            played[i] = play(scenarios[i / seeds], i % seeds + 1, nullptr);
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < jobs; ++i) threads.emplace_back(work);
    for (std::thread& thread : threads) thread.join();
    for (std::size_t i = 0; i < played.size(); ++i)
        std::printf("%s %zu %llu %016llx\n", scenarios[i / seeds].name.c_str(), i % seeds + 1,
                    static_cast<unsigned long long>(played[i].events),
                    static_cast<unsigned long long>(played[i].hash));
    return 0;
}

int print_trace(const std::vector<Scenario>& scenarios, std::string_view name, std::uint64_t seed,
                const char* path) {
    for (const Scenario& scenario : scenarios) {
        if (scenario.name != name) continue;
        std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path, "w"), &std::fclose);
        if (!file) return 2;
        play(scenario, seed, file.get());
        return 0;
    }
    return 2;
}

}  // namespace

int run(int count, char** words, const std::vector<Scenario>& scenarios) {
    std::string_view command = count > 1 ? words[1] : "";
    if (command == "hash" && count == 4)
        return print_hashes(scenarios, std::strtoull(words[2], nullptr, 10),
                            std::strtoull(words[3], nullptr, 10));
    if (command == "trace" && count == 5)
        return print_trace(scenarios, words[2], std::strtoull(words[3], nullptr, 10), words[4]);
    std::fprintf(stderr, "usage: %s hash SEEDS JOBS | trace SCENARIO SEED FILE\n", words[0]);
    return 2;
}

}  // namespace ochrehub::lab::equivalence
