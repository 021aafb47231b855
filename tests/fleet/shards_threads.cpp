// The table with many threads, in plain asserts. Built with the thread sanitizer too, and once with a mutex
// that locks nothing (tests/fleet/unlocked), which that sanitizer must detect.
#undef NDEBUG
#include <atomic>
#include <cassert>
#include <cstdio>
#include <thread>
#include <vector>

#include "fleet/shards/table.h"

namespace ochrehub::shards {
namespace {

Write put(std::string key, std::string payload, double life = 1e6) {
    Write w;
    w.record.kind = 1, w.record.partner = 7, w.record.lifetime = Duration(life);
    w.record.key = std::move(key), w.record.payload = std::move(payload);
    return w;
}
template <class F>
void threads(int count, F&& each) {
    std::vector<std::thread> all;
    for (int t = 0; t < count; ++t) all.emplace_back([&each, t] { each(t); });
    for (std::thread& one : all) one.join();
}

/// Threads increment a few records by compare and swap; no increment is lost.
void nothing_is_lost(int workers, int rounds) {
    TableSettings set;
    set.shard_count = 4;
    Table table(set);
    constexpr int kKeys = 8;
    threads(workers, [&](int t) {
        Record found;
        for (int i = 0; i < rounds; ++i) {
            std::string key = "sum" + std::to_string((t + i) % kKeys);
            for (;;) {
                bool there = table.find(1, key, TimePoint{}, found);
                Write w = put(key, std::to_string((there ? std::stoi(found.payload) : 0) + 1));
                w.expected_version = there ? found.version : 0;
                if (!table.write(w, TimePoint{}).error) break;
            }
        }
    });
    long sum = 0;
    Record found;
    for (int k = 0; k < kKeys; ++k)
        if (table.find(1, "sum" + std::to_string(k), TimePoint{}, found)) sum += std::stol(found.payload);
    assert(sum == long(workers) * rounds);
}

/// Writes of two records in both locking orders, during scans and expiry, don't deadlock.
void nothing_hangs(int workers, int rounds) {
    TableSettings set;
    set.shard_count = 8;
    Table table(set);
    std::atomic<bool> done{false};
    std::thread reader([&] {
        std::vector<Record> records;
        while (!done)
            for (std::size_t n = 0; n < table.shards(); ++n) {
                records.clear();
                for (std::optional<std::size_t> from = 0; from;)
                    from = table.scan(n, 16, *from, TimePoint{}, records);
                table.expire(n, TimePoint(Duration(20)), 16);
                assert(table.bytes(n) <= table.settings().max_bytes);
            }
    });
    threads(workers, [&](int t) {
        for (int i = 0; i < rounds; ++i) {
            std::string a = "a" + std::to_string(i % 16), b = "b" + std::to_string((i + t) % 16);
            Write wa = put(a, "x", i % 3 ? 1e6 : 10), wb = put(b, "y");
            wb.erase = i % 4 == 0;
            auto error = t % 2 ? table.write_two(wa, wb, TimePoint{}) : table.write_two(wb, wa, TimePoint{});
            assert(!error);
            Prepared prepared;
            if (!table
                     .prepare(put("p" + std::to_string(t), std::string(std::size_t(i % 50), 'p')),
                              TimePoint{}, prepared)
                     .error)
                table.commit(std::move(prepared), TimePoint{});
        }
    });
    done = true;
    reader.join();
    for (std::size_t n = 0; n < table.shards(); ++n) table.expire(n, TimePoint(Duration(1e9)), 100'000);
    for (std::size_t n = 0; n < table.shards(); ++n) assert(table.records(n) == 0 && table.bytes(n) == 0);
}

}  // namespace
}  // namespace ochrehub::shards

int main() {
    ochrehub::shards::nothing_is_lost(4, 2000);
    ochrehub::shards::nothing_hangs(4, 2000);
    std::puts("ok");
}
