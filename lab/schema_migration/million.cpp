#include "lab/schema_migration/million.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <utility>
#include <vector>

#include "fleet/schema_migration/receiver.h"
#include "lab/schema_migration/nodes.h"

namespace ochrehub::lab::migration {
namespace {

namespace m = ochrehub::schema_migration;
using m::Stage;

double wall_ms() {
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}
double cpu_ms() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return double(t.tv_sec) * 1e3 + double(t.tv_nsec) / 1e6;
}
double resident_mb() {
    std::ifstream in("/proc/self/statm");
    long all = 0, resident = 0;
    in >> all >> resident;
    return double(resident) * 4096 / 1e6;
}

}  // namespace

bool run_large_migration(Kind kind, Version from, Version to, std::size_t records, std::uint32_t batch) {
    constexpr std::uint32_t kShards = 256;
    m::MemoryRecords disk;
    m::Receiver receiver({kind, from, batch, schema::convert, nullptr}, disk);
    const std::size_t clients = records / 2;  // with two tenants each
    for (std::size_t i = 0; i < clients; ++i) {
        std::string name = "client-" + std::to_string(i);
        schema::Group group = initial_group(kind, schema::newest_version(kind), name, i % 1000);
        group.pop_back();
        group = std::get<schema::Group>(schema::convert(kind, schema::newest_version(kind), from, group));
        m::wire::Ask put;
        put.set_kind(std::uint32_t(kind)), put.set_shard(std::uint32_t(i % kShards)), put.set_group(name),
            put.set_schema(from), put.set_writes(true);
        for (const auto& r : group) {
            auto& rec = *put.add_records();
            rec.set_key(r.key), rec.set_value(r.value);
        }
        if (receiver.handle(put).error()) return false;
    }
    auto record_megabytes = [&] {
        std::size_t sum = 0;
        for (std::uint32_t s = 0; s < kShards; ++s) sum += disk.bytes(s);
        return double(sum) / 1e6;
    };
    std::printf(
        "%s %u to %u: %zu records in %zu groups, %u shards, %u groups a step; %.0f MB of records, %.0f MB "
        "resident\n",
        std::string(schema::name(kind)).c_str(), from, to, clients * 2, clients, kShards, batch,
        record_megabytes(), resident_mb());
    std::printf("%-8s %9s %9s %9s %9s %9s %9s %9s\n", "stage", "steps", "s", "groups/s", "p50 ms", "p99.9 ms",
                "max ms", "MB");
    std::uint64_t revision = 0;
    std::uint64_t differ = 0, spent_from = 0, spent_to = 0;
    for (Stage stage : {Stage::Widen, Stage::Convert, Stage::Compare, Stage::Switch, Stage::Narrow}) {
        std::vector<double> steps;
        double begun = wall_ms();
        m::wire::Order order;
        order.set_migration(1), order.set_epoch(1), order.set_revision(++revision),
            order.set_kind(std::uint32_t(kind));
        order.set_from(from), order.set_to(to), order.set_stage(std::uint32_t(stage)), order.set_most(batch);
        std::uint64_t groups = 0;
        for (std::uint32_t s = 0; s < kShards; ++s) {
            order.set_shard(s);
            for (bool done = false; !done;) {
                double cpu =
                    cpu_ms();  // the time a loop would be blocked, independent of other load on the machine
                m::wire::Reply reply = receiver.handle(order);
                steps.push_back(cpu_ms() - cpu);
                if (reply.error()) return false;
                done = reply.done();
                if (!done) continue;
                groups += reply.counts().groups(), differ += reply.counts().differ();
                spent_from += reply.counts().spent_from(), spent_to += reply.counts().spent_to();
            }
        }
        double took = wall_ms() - begun;
        std::sort(steps.begin(), steps.end());
        std::printf("%-8s %9zu %9.2f %9.0f %9.3f %9.3f %9.3f %9.0f\n", std::string(m::name(stage)).c_str(),
                    steps.size(), took / 1e3, double(groups) / (took / 1e3), steps[steps.size() / 2],
                    steps[steps.size() * 999 / 1000], steps.back(), record_megabytes());
    }
    std::printf("%llu groups differ, spent %llu and %llu, %.0f MB resident at the end\n",
                (unsigned long long)differ, (unsigned long long)spent_from, (unsigned long long)spent_to,
                resident_mb());
    return differ == 0 && spent_to >= spent_from;
}

}  // namespace ochrehub::lab::migration
