// ochrehub_keeper_seeds FROM COUNT [KEEPERS [SABOTEUR [ANSWERS_LATE_MS]]]: seeds of lab/keeper on all cores
// but one, and what the judge found. ochrehub_keeper_seeds crash KEEPERS [STRIDE]: a crash of each keeper at
// event N, for each N.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "lab/coordinator/world.h"

using namespace ochrehub::lab;

int main(int count, char** texts) {
    if (count < 3) return 2;
    bool crash = std::string(texts[1]) == "crash";
    KeeperWorldSettings base;
    std::uint64_t from = 1, many = 0, stride = 1;
    if (crash) {
        base.keepers = std::strtoull(texts[2], nullptr, 10);
        base.quiet = true, base.lease = ochrehub::Duration{3000}, base.processes = 2,
        base.faults = ochrehub::Duration{2500}, base.settles = ochrehub::Duration{6000},
        base.snapshot_entries = 15;
        if (count > 3) stride = std::strtoull(texts[3], nullptr, 10);
        many = run(base).events * base.keepers;
    } else {
        from = std::strtoull(texts[1], nullptr, 10), many = std::strtoull(texts[2], nullptr, 10);
        if (count > 3) base.keepers = std::strtoull(texts[3], nullptr, 10);
        for (int s = 0; count > 4 && s < int(KeeperSaboteur::Count); ++s)
            if (std::string(name(KeeperSaboteur(s))) == texts[4]) base.saboteur = KeeperSaboteur(s);
        if (count > 5) base.answers_late = ochrehub::Duration{std::strtod(texts[5], nullptr)};
    }
    std::atomic<std::uint64_t> next{0};
    std::mutex mutex;
    std::uint64_t failed = 0, runs = 0;
    KeeperVerdict sum;
    auto work = [&] {
        while (true) {
            std::uint64_t i = next.fetch_add(stride);
            if (i >= many) return;
            KeeperWorldSettings set = base;
            if (crash)
                set.crash_at = i / base.keepers + 1, set.crash_who = (i / stride) % base.keepers;
            else
                set.seed = from + i;
            KeeperVerdict is = run(set);
            if (crash && is.ended > 0)
                is.wrong.push_back("a session was lost, though one crash is shorter than a lease");
            std::lock_guard lock(mutex);
            ++runs;
            sum.events += is.events, sum.commands += is.commands, sum.reads += is.reads,
                sum.uncertain += is.uncertain, sum.sessions += is.sessions;
            sum.ended += is.ended, sum.armed_over += is.armed_over, sum.leaders += is.leaders,
                sum.snapshots += is.snapshots, sum.again += is.again;
            if (is.wrong.empty()) continue;
            if (++failed <= 10)
                std::printf("seed %llu, crash of %zu at %llu: %s\n", (unsigned long long)set.seed,
                            set.crash_who + 1, (unsigned long long)set.crash_at, is.wrong[0].c_str());
        }
    };
    unsigned threads = std::max(1u, std::min(3u, std::thread::hardware_concurrency()));
    std::vector<std::thread> all;
    for (unsigned i = 0; i < threads; ++i) all.emplace_back(work);
    for (std::thread& one : all) one.join();
    std::printf(
        "%llu runs, %llu failed; %llu events, %llu commands, %llu reads, %llu uncertain, %llu recognised "
        "again, %llu sessions, %llu ended, %llu times over, %llu leaders, %llu snapshots\n",
        (unsigned long long)runs, (unsigned long long)failed, (unsigned long long)sum.events,
        (unsigned long long)sum.commands, (unsigned long long)sum.reads, (unsigned long long)sum.uncertain,
        (unsigned long long)sum.again, (unsigned long long)sum.sessions, (unsigned long long)sum.ended,
        (unsigned long long)sum.armed_over, (unsigned long long)sum.leaders,
        (unsigned long long)sum.snapshots);
    return failed > 0;
}
