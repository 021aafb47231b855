// The table: agreement with a plain map, limits, expiry, scans during changes, and the locking order.
#include <gtest/gtest.h>

#include <boost/random/taus88.hpp>
#include <map>
#include <set>

#include "fleet/shards/ordered_mutex.h"
#include "fleet/shards/table.h"

namespace ochrehub::shards {
namespace {

constexpr TimePoint at(double ms) {
    return TimePoint(Duration(ms));
}

Write put(std::string key, std::string payload, double life = 1000, std::uint64_t who = 1) {
    Write w;
    w.record.kind = 1, w.record.schema = 3, w.record.partner = who, w.record.lifetime = Duration(life);
    w.record.key = std::move(key), w.record.payload = std::move(payload);
    return w;
}
TableSettings small() {
    TableSettings set;
    set.shard_count = 4, set.max_bytes = 4 * 2000, set.max_partner_bytes = 4 * 800,
    set.max_payload_bytes = 600, set.max_lifetime = Duration(5000);
    return set;
}

TEST(ShardsTable, RecordIsReadAsWrittenUntilItExpires) {
    Table table(TableSettings{});
    Outcome first = table.write(put("basket", "rack 7"), at(0));
    ASSERT_FALSE(first.error);
    Record found;
    ASSERT_TRUE(table.find(1, "basket", at(999), found));
    EXPECT_EQ(found.payload, "rack 7");
    EXPECT_EQ(found.schema, 3u);
    EXPECT_EQ(found.version, first.version);
    EXPECT_DOUBLE_EQ(found.lifetime.count(), 1);
    EXPECT_FALSE(table.find(2, "basket", at(0), found));  // the kind is a part of the record's identity
    EXPECT_FALSE(table.find(1, "basket", at(1000), found));
}

TEST(ShardsTable, WriteWithOlderExpectedVersionIsRejected) {
    Table table(TableSettings{});
    Write w = put("k", "a");
    w.expected_version = 0;
    Outcome made = table.write(w, at(0));
    EXPECT_FALSE(made.error);
    Outcome again = table.write(w, at(0));
    EXPECT_EQ(again.error, Error::Changed);
    ASSERT_TRUE(again.current);
    EXPECT_EQ(again.current->payload, "a");
    w.expected_version = made.version, w.erase = true;
    Outcome erased = table.write(w, at(0));
    EXPECT_FALSE(erased.error);
    // A later record with the same key doesn't match the version that was read.
    Outcome later = table.write(put("k", "b"), at(0));
    EXPECT_GT(later.version, made.version);
    EXPECT_EQ(table.write(w, at(0)).error, Error::Changed);
}

TEST(ShardsTable, WritesOverALimitAreRejectedAndNothingIsEvicted) {
    TableSettings set = small();
    Table table(set);
    std::map<std::string, std::size_t> kept;
    std::set<Error> refusals;
    for (int i = 0; i < 200; ++i) {
        std::string key = "key" + std::to_string(i);
        Outcome o = table.write(put(key, std::string(100, 'x'), 1000, std::uint64_t(1 + i % 5)), at(0));
        if (o.error)
            refusals.insert(*o.error);
        else
            kept[key] = 1;
    }
    EXPECT_EQ(refusals, (std::set{Error::PartnerFull, Error::Full}));
    Record found;
    for (const auto& [key, one] : kept) EXPECT_TRUE(table.find(1, key, at(999), found)) << key;
    for (std::size_t n = 0; n < 4; ++n) {
        EXPECT_LE(table.bytes(n), set.max_bytes / 4);
        for (std::uint64_t who = 1; who <= 5; ++who)
            EXPECT_LE(table.bytes_of_partner(n, who), set.max_partner_bytes / 4);
    }
    // Expired records free their memory.
    EXPECT_FALSE(table.write(put("late", std::string(100, 'x'), 1000, 2), at(1001)).error);
    EXPECT_EQ(table.write(put(std::string(257, 'k'), ""), at(0)).error, Error::TooLong);
    EXPECT_EQ(table.write(put("", ""), at(0)).error, Error::TooLong);
    EXPECT_EQ(table.write(put("k", std::string(601, 'k')), at(0)).error, Error::TooLong);
    EXPECT_EQ(table.write(put("k", "", 5001), at(0)).error, Error::TooLong);
    EXPECT_EQ(table.write(put("k", "", 0), at(0)).error, Error::TooLong);
}

TEST(ShardsTable, PreparedWriteReservesItsMemory) {
    TableSettings set = small();
    set.shard_count = 1, set.max_bytes = 700, set.max_partner_bytes = 700;
    Table table(set);
    Prepared a, b;
    EXPECT_FALSE(table.prepare(put("a", std::string(300, 'x')), at(0), a).error);
    EXPECT_EQ(table.prepare(put("b", std::string(300, 'x')), at(0), b).error, Error::PartnerFull);
    Record found;
    EXPECT_FALSE(table.find(1, "a", at(0), found));
    table.abandon(a);
    EXPECT_EQ(table.bytes(0), 0u);
    EXPECT_FALSE(table.prepare(put("b", std::string(300, 'x')), at(0), b).error);
    table.commit(std::move(b), at(0));
    EXPECT_TRUE(table.find(1, "b", at(0), found));
    EXPECT_EQ(table.bytes(0), kRecordOverheadBytes + 301);
}

TEST(ShardsTable, WriteTwoWritesBothOrNeither) {
    Table table(TableSettings{});
    Write a = put("client", "old"), b = put("tenant/client", "new");
    ASSERT_FALSE(table.write(a, at(0)).error);
    a.expected_version = 0;
    EXPECT_EQ(table.write_two(b, a, at(0)), Error::Changed);
    Record found;
    EXPECT_FALSE(table.find(1, "tenant/client", at(0), found));
    a.expected_version.reset(), a.erase = true;
    EXPECT_FALSE(table.write_two(a, b, at(0)));
    EXPECT_FALSE(table.find(1, "client", at(0), found));
    EXPECT_TRUE(table.find(1, "tenant/client", at(0), found));
    EXPECT_EQ(OrderedMutex::held(), 0);
}

TEST(ShardsTable, CopiesKeepTheNewestVersionAndLiveLonger) {
    Table table(TableSettings{});
    Record r = put("k", "five").record;
    r.version = 5;
    table.copy(r, at(0));
    r.version = 4, r.payload = "four";
    table.copy(r, at(0));
    table.erase_copy(1, "k", 5);
    Record found;
    ASSERT_TRUE(table.find(1, "k", at(1010), found));
    EXPECT_EQ(found.payload, "five");
    table.erase_copy(1, "k", 9);
    EXPECT_FALSE(table.find(1, "k", at(0), found));
    EXPECT_EQ(table.write(put("k", "ten"), at(0)).version, 10u);
    EXPECT_EQ(table.bytes(table.shard_of(1, "k")), kRecordOverheadBytes + 4);
}

// Random operations, each compared with a plain map.
TEST(ShardsTable, AgreesWithAPlainMap) {
    struct Kept {
        std::string payload;
        std::uint64_t version;
        TimePoint ends;
    };
    for (unsigned seed = 1; seed <= 20; ++seed) {
        boost::random::taus88 random(seed);
        TableSettings set;
        set.shard_count = 2;
        Table table(set);
        std::map<std::string, Kept> map;
        std::size_t bytes = 0;
        for (int step = 0; step < 3000; ++step) {
            TimePoint now = at(step);
            std::string key = std::to_string(random() % 300);
            auto it = map.find(key);
            bool there = it != map.end() && it->second.ends > now;
            switch (random() % 6) {
                case 0:
                case 1: {
                    Write w = put(key, std::string(random() % 40, 'p'), 1 + random() % 900, 1 + random() % 3);
                    Outcome o = table.write(w, now);
                    ASSERT_FALSE(o.error);
                    map[key] = {w.record.payload, o.version, now + w.record.lifetime};
                    break;
                }
                case 2: {
                    Write w = put(key, "swapped", 500);
                    w.expected_version = there && random() % 2 ? it->second.version : 0;
                    Outcome o = table.write(w, now);
                    bool fits = *w.expected_version == (there ? it->second.version : 0);
                    ASSERT_EQ(!o.error, fits);
                    if (fits) map[key] = {"swapped", o.version, now + Duration(500)};
                    break;
                }
                case 3: {
                    Write w = put(key, "");
                    w.erase = true;
                    ASSERT_FALSE(table.write(w, now).error);
                    map.erase(key);
                    break;
                }
                case 4:
                    table.expire(random() % 2, now, 5);
                    break;
                default: {
                    Record found;
                    ASSERT_EQ(table.find(1, key, now, found), there);
                    if (there) {
                        ASSERT_EQ(found.payload, it->second.payload);
                        ASSERT_EQ(found.version, it->second.version);
                    }
                }
            }
        }
        // Scans of any width return each record once, and no memory is counted for removed records.
        std::size_t live = 0;
        for (const auto& [key, kept] : map)
            if (kept.ends > at(3000))
                ++live, bytes += kRecordOverheadBytes + key.size() + kept.payload.size();
        std::set<std::string> seen;
        for (std::size_t n = 0; n < 2; ++n) {
            std::vector<Record> records;
            for (std::optional<std::size_t> from = 0; from;)
                from = table.scan(n, 1 + random() % 7, *from, at(3000), records);
            for (const Record& r : records) ASSERT_TRUE(seen.insert(r.key).second);
            table.expire(n, at(3000), 10'000);
        }
        EXPECT_EQ(seen.size(), live);
        EXPECT_EQ(table.records(0) + table.records(1), live);
        EXPECT_EQ(table.bytes(0) + table.bytes(1), bytes);
        table.clear(0), table.clear(1);
        EXPECT_EQ(table.bytes(0) + table.bytes(1) + table.bytes_of_partner(0, 1), 0u);
    }
}

TEST(ShardsTable, ScanReturnsLastingRecordsOnceDuringChanges) {
    TableSettings set;
    set.shard_count = 1;
    Table table(set);
    for (int i = 0; i < 500; ++i) table.write(put("stays" + std::to_string(i), ""), at(0));
    std::vector<Record> records;
    int round = 0;
    for (std::optional<std::size_t> from = 0; from; ++round) {
        from = table.scan(0, 10, *from, at(1), records);
        table.write(put("comes" + std::to_string(round), ""), at(1));
        Write gone = put("comes" + std::to_string(round / 2), "");
        gone.erase = true;
        table.write(gone, at(1));
    }
    std::multiset<std::string> seen;
    for (const Record& r : records) seen.insert(r.key);
    for (int i = 0; i < 500; ++i) EXPECT_EQ(seen.count("stays" + std::to_string(i)), 1u);
    EXPECT_GE(round, 50);
}

TEST(ShardsOrderDeathTest, WrongOrderAbortsWithoutContention) {
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    OrderedMutex locks[3];
    for (std::uint32_t n = 0; n < 3; ++n) locks[n].number(n);
    locks[0].lock(), locks[2].lock();
    EXPECT_EQ(OrderedMutex::held(), 2);
    EXPECT_DEATH(locks[1].lock(), "wrong order");  // a third lock, too
    locks[0].unlock();
    EXPECT_DEATH(locks[1].lock(), "lock 1 is taken while 2 is held: wrong order");
    EXPECT_DEATH(locks[2].lock(), "wrong order");  // the same lock twice
    locks[2].unlock();
    EXPECT_DEATH(locks[2].unlock(), "wrong order");
    locks[1].lock(), locks[2].lock();
    locks[1].unlock(), locks[2].unlock();
    EXPECT_EQ(OrderedMutex::held(), 0);
}

TEST(ShardsErrors, EveryErrorHasARow) {
    std::set<std::string_view> codes;
    for (int i = 1; i <= kErrors; ++i) {
        const fleet::ErrorRow& r = row(Error(i));
        EXPECT_EQ(r.code.substr(0, 7), "shards.");
        EXPECT_FALSE(r.what.empty() || r.operators.empty());
        codes.insert(r.code);
    }
    EXPECT_EQ(codes.size(), std::size_t(kErrors));
}

}  // namespace
}  // namespace ochrehub::shards
