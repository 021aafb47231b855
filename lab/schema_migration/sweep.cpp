#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

#include "lab/schema_migration/simulation.h"

namespace ochrehub::lab::migration {

FaultSweepResult sweep(const FaultSweep& all) {
    FaultSweepResult swept;
    std::mutex lock;
    using What = Fault::What;
    constexpr What kAll[] = {What::CrashBefore, What::CrashBehind, What::Stop};
    auto simulation = [&](Fault one, Fault two) {
        Settings settings = all.settings;
        settings.faults = {one};
        if (two.at) settings.faults.push_back(two);
        Outcome outcome = run(settings);
        std::lock_guard guard(lock);
        ++swept.runs;
        swept.over += m::ended(outcome.stage);
        swept.messages += outcome.messages;
        swept.longest = std::max(swept.longest, outcome.messages);
        bool bad = !outcome.broken.empty() || !m::ended(outcome.stage) || outcome.stopped;
        swept.broken += bad;
        if (bad && swept.first_broken.size() < 10) {
            std::string why = outcome.broken.empty()
                                  ? "ended in " + std::string(m::name(outcome.stage)) + ", stopped " +
                                        std::to_string(outcome.stopped) + " " + outcome.about
                                  : outcome.broken.front();
            swept.first_broken.push_back("fault " + std::to_string(int(one.what)) + " at " +
                                         std::to_string(one.at) + ", then " + std::to_string(int(two.what)) +
                                         " at " + std::to_string(two.at) + ": " + why);
        }
        return outcome.messages;
    };
    Settings calm = all.settings;
    calm.faults.clear();
    std::uint64_t length = run(calm).messages;
    std::atomic<std::uint64_t> next{all.first};
    auto work = [&] {
        for (std::uint64_t n; (n = next.fetch_add(all.step)) <= length;) {
            // Alternates between long enough for another owner to take over, and too short for it.
            auto gone = [&](std::uint64_t k) { return all.settings.lease * (k % 2 ? 0.3 : 1.5); };
            std::uint64_t messages = 0;
            for (What what : kAll)
                messages =
                    std::max(messages, simulation({n, what, what == What::Stop ? gone(0) : gone(n)}, {}));
            for (std::uint64_t k = n + 1 + n % std::max<std::uint64_t>(1, all.second_step);
                 all.second_step && k <= messages; k += all.second_step)
                simulation({n, kAll[(n + k) % 3], gone(n)}, {k, kAll[(n + k) / 3 % 3], gone(n + k)});
        }
    };
    std::vector<std::thread> threads;
    for (int i = 1; i < all.jobs; ++i) threads.emplace_back(work);
    work();
    for (std::thread& thread : threads) thread.join();
    return swept;
}

}  // namespace ochrehub::lab::migration
