// The store on a disk that loses, tears, fills up and fails, with every call of the seam failing once.
#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include "fleet/store/log.h"
#include "fleet/store/posix_files.h"

namespace ochrehub::store {
namespace {

struct Crash {};

/// A disk in memory: what was not synced is lost, kept or torn by a crash, and any one call can fail or
/// crash.
class Disk : public Files {
public:
    enum class After { Lost, Kept, Torn };

    Error lock() override { return 0; }
    Error list(std::vector<std::string>& names) override {
        if (Error why = call()) return why;
        names.clear();
        for (const auto& [name, file] : now_) names.push_back(name);
        return 0;
    }
    Error read(const std::string& name, std::string& bytes) override {
        if (Error why = call()) return why;
        auto it = now_.find(name);
        if (it == now_.end()) return ENOENT;
        bytes = it->second->bytes;
        return 0;
    }
    Error append(const std::string& name, std::string_view bytes) override {
        auto& file = now_[name];
        if (!file) file = std::make_shared<File>();
        Error why =
            call([&] { file->bytes += bytes.substr(0, bytes.size() / 2); });  // some of it, before it fails
        if (why) return why;
        file->bytes += bytes;
        return 0;
    }
    Error sync(const std::string& name) override {
        if (Error why = call()) return why;
        now_[name]->synced = now_[name]->bytes.size();
        return 0;
    }
    Error rename(const std::string& from, const std::string& to) override {
        if (Error why = call()) return why;
        now_[to] = now_[from];
        now_.erase(from);
        return 0;
    }
    Error remove(const std::string& name) override {
        if (Error why = call()) return why;
        return now_.erase(name) ? 0 : ENOENT;
    }
    Error sync_names() override {
        if (Error why = call()) return why;
        durable_ = now_;
        return 0;
    }

    void crash(After after, std::uint64_t seed) {
        std::mt19937_64 random(seed);
        // Names since the last sync: all of them, or none.
        if (after == After::Lost || (after == After::Torn && random() % 2 == 0)) now_ = durable_;
        for (auto& [name, file] : now_) {
            std::size_t unsynced = file->bytes.size() - file->synced;
            std::size_t kept = after == After::Kept   ? unsynced
                               : after == After::Lost ? 0
                                                      : random() % (unsynced + 1);
            file->bytes.resize(file->synced + kept);
            // Sectors reach a disk in no order.
            if (after == After::Torn && kept > 4 && random() % 2 == 0)
                file->bytes[file->synced + random() % kept] ^= 0x55;
            file->synced = file->bytes.size();
        }
        durable_ = now_;
        calls = 0;
        fails_at = crashes_at = 0;
    }
    Disk copy() const {
        Disk other;
        std::map<const File*, std::shared_ptr<File>> files;
        auto same = [&](const auto& names) {
            std::map<std::string, std::shared_ptr<File>> all;
            for (const auto& [name, file] : names) {
                auto& one = files[file.get()];
                if (!one) one = std::make_shared<File>(*file);
                all[name] = one;
            }
            return all;
        };
        other.now_ = same(now_);
        other.durable_ = same(durable_);
        return other;
    }
    std::map<std::string, std::string> contents() const {
        std::map<std::string, std::string> all;
        for (const auto& [name, file] : now_) all[name] = file->bytes;
        return all;
    }
    void put(const std::string& name, std::string bytes) {
        now_[name] = std::make_shared<File>();
        now_[name]->synced = bytes.size();
        now_[name]->bytes = std::move(bytes);
        durable_ = now_;
    }

    int calls = 0, fails_at = 0, crashes_at = 0;  ///< numbered from 1; 0: never

private:
    struct File {
        std::string bytes;
        std::size_t synced = 0;
    };
    Error call(const std::function<void()>& half = nullptr) {
        ++calls;
        if (calls == crashes_at) {
            if (half) half();
            throw Crash();
        }
        if (calls != fails_at) return 0;
        if (half) half();
        return calls % 2 ? EIO : ENOSPC;
    }
    std::map<std::string, std::shared_ptr<File>> now_, durable_;
};

struct State {
    std::uint64_t first = 1;
    std::vector<Entry> entries;
    Vote vote;
    std::optional<Snapshot> snapshot;
    friend bool operator==(const State&, const State&) = default;
};
State of(const Log& log) {
    State state{log.first(), {}, log.vote(), log.snapshot()};
    for (std::uint64_t i = log.first(); i <= log.last(); ++i) state.entries.push_back(log.entry(i));
    return state;
}
Log::Settings small() {
    return {7, 400, 1 << 16};
}

/// What a keeper may do, in an order that has every kind of thing in it. Each state that was promised, and
/// those since.
struct Story {
    std::vector<State> since{State{}};  ///< the first: as it was promised last

    void run(Log& log) {
        since = {of(log)};
        auto did = [&] { since.push_back(of(log)); };
        auto promised = [&](bool good) {
            if (!good) throw Crash();  // a keeper ends there
            since = {of(log)};
        };
        for (std::uint64_t round = 1; round <= 6; ++round) {
            log.vote({round, "k" + std::to_string(round)});
            did();
            promised(log.sync());
            for (int i = 0; i < 3; ++i) {
                log.append({round, "entry " + std::to_string(round * 10 + std::uint64_t(i)) +
                                       std::string(round * 20, 'x')});
                did();
            }
            promised(log.sync());
            if (round % 2 == 0) {
                log.cut(log.last());
                did();
                log.append({round, "instead"});
                did();
                promised(log.sync());
            }
            if (round % 3 == 0) {
                Snapshot snapshot{log.last() - 2, log.term(log.last() - 2),
                                  "state by " + std::to_string(log.last() - 2)};
                // It is there or it is not; either is as good until this is done.
                State with = of(log);
                with.entries.erase(with.entries.begin(), with.entries.end() - 2);
                with.first = snapshot.index + 1;
                with.snapshot = snapshot;
                since.push_back(with);
                promised(log.save(snapshot));
            }
        }
    }
    bool allows(const State& found) const {
        return std::find(since.begin(), since.end(), found) != since.end();
    }
};

TEST(Store, WhatWasWrittenIsReadAgainOverSegmentsSnapshotsAndCuts) {
    Disk disk;
    Story story;
    {
        Log log(disk, small());
        EXPECT_EQ(log.found(), Found::Empty);
        story.run(log);
        EXPECT_EQ(log.first(), 17u);
    }
    Log again(disk, small());
    EXPECT_EQ(again.found(), Found::Whole);
    EXPECT_TRUE(story.allows(of(again)));
    EXPECT_EQ(again.vote(), (Vote{6, "k6"}));
    EXPECT_EQ(again.entry(again.last()).data, "instead");
    EXPECT_EQ(again.term(16), 6u);
}

class StoreCrashes : public ::testing::TestWithParam<Disk::After> {};

// Each call in turn crashes, or fails; then what is on the disk is opened again, with the same done to that
// too.
TEST_P(StoreCrashes, AtEveryCallNothingThatWasPromisedIsForgotten) {
    for (bool fails : {false, true})
        for (int n = 1;; ++n) {
            Disk disk;
            Story story;
            bool reached = false;
            (fails ? disk.fails_at : disk.crashes_at) = n;
            try {
                Log log(disk, small());
                story.run(log);
            } catch (const Crash&) {
                reached = true;
            } catch (const StoreError&) {
                reached = true;
            }
            if (!reached) {
                ASSERT_GT(n, 60);
                break;
            }
            disk.crash(GetParam(), std::uint64_t(n));
            // Opening it crashes, or fails, at each of its calls too.
            bool opened = false;
            for (int m = 1; !opened; ++m) {
                ASSERT_LT(m, 100);
                Disk again = disk.copy();
                (fails ? again.fails_at : again.crashes_at) = m;
                try {
                    Log log(again, small());
                    opened = true;
                } catch (const Crash&) {
                } catch (const StoreError&) {
                }
                again.crash(GetParam(), std::uint64_t(n * 100 + m));
                Log log(again, small());
                ASSERT_TRUE(story.allows(of(log))) << "call " << n << ", then " << m;
                ASSERT_NE(log.found(), Found::Lost) << "call " << n << ", then " << m;
            }
            {
                Log log(disk, small());
                log.append({99, "more"});
                ASSERT_TRUE(log.sync());
            }
            Log last(disk, small());
            ASSERT_EQ(last.found(), Found::Whole) << "call " << n;
            ASSERT_EQ(last.entry(last.last()).data, "more");
        }
}
INSTANTIATE_TEST_SUITE_P(All, StoreCrashes,
                         ::testing::Values(Disk::After::Lost, Disk::After::Kept, Disk::After::Torn));

TEST(Store, ASyncThatFailedIsFatal) {
    Disk disk;
    Log log(disk, small());
    log.append({1, "a"});
    disk.fails_at = disk.calls + 2;  // append, then sync
    EXPECT_FALSE(log.sync());
    EXPECT_TRUE(log.broken());
    int before = disk.calls;
    log.append({1, "b"});
    EXPECT_FALSE(log.sync());
    EXPECT_FALSE(log.save({1, 1, "s"}));
    EXPECT_EQ(disk.calls, before);  // it does not even try
}

// Every octet of every file, once. What is believed was written; what was promised is there, or known to be
// lost. The last batch alone may look as though it had been torn: nothing behind it tells that it was
// promised.
TEST(Store, EachDamagedOctetIsSeen) {
    Disk disk;
    Story story;
    State before_last;
    {
        Log log(disk, small());
        story.run(log);
        before_last = of(log);
        log.append({7, "the last batch"});
        ASSERT_TRUE(log.sync());
    }
    State whole;
    {
        Disk copy;
        for (const auto& [name, bytes] : disk.contents()) copy.put(name, bytes);
        whole = of(Log(copy, small()));
    }
    int lost = 0, torn = 0, harmless = 0;
    auto files = disk.contents();
    for (const auto& [damaged, octets] : files)
        for (std::size_t at = 0; at < octets.size(); ++at) {
            Disk copy;
            for (const auto& [name, bytes] : files) copy.put(name, bytes);
            std::string other = octets;
            other[at] ^= 0x20;
            copy.put(damaged, other);
            try {
                Log log(copy, small());
                State found = of(log);
                if (log.found() == Found::Lost) {
                    ++lost;
                    // ... and stays so until somebody says otherwise.
                    EXPECT_EQ(Log(copy, small()).found(), Found::Lost);
                } else if (found == whole) {
                    ++harmless;
                } else {
                    EXPECT_TRUE(found == before_last) << damaged << " at " << at;
                    ++torn;
                }
            } catch (const StoreError&) {
                ++lost;
            }
        }
    EXPECT_GT(lost, 300);
    EXPECT_LT(torn, 120);
}

TEST(Store, WhatWasLostStaysLostUntilItHasCaughtUp) {
    Disk disk;
    {
        Log log(disk, small());
        for (int i = 0; i < 4; ++i) {
            log.append({1, std::string(10, char('a' + i))});
            ASSERT_TRUE(log.sync());
        }
    }
    auto files = disk.contents();
    std::string bytes = files.begin()->second;
    bytes[bytes.find("bbbb")] = 'x';
    disk.put(files.begin()->first, bytes);
    {
        Log log(disk, small());
        EXPECT_EQ(log.found(), Found::Lost);
        EXPECT_EQ(log.last(), 1u);  // never past the clean prefix
        log.append({2, "from the leader"});
        ASSERT_TRUE(log.sync());
    }
    {
        Log log(disk, small());
        EXPECT_EQ(log.found(), Found::Lost);
        EXPECT_EQ(log.last(), 2u);
        ASSERT_TRUE(log.caught_up());
    }
    EXPECT_EQ(Log(disk, small()).found(), Found::Whole);
}

TEST(Store, AnotherClustersFolderIsRefusedAndSoIsAnotherVersion) {
    Disk disk;
    {
        Log log(disk, small());
        log.append({1, "a"});
        ASSERT_TRUE(log.sync());
    }
    Log::Settings other = small();
    other.cluster = 8;
    EXPECT_THROW(Log(disk, other), StoreError);
    auto refused = [&](const Log::Settings& settings) -> std::string {
        try {
            Log::verify(disk, settings);
        } catch (const StoreError& error) {
            return error.what();
        }
        return "";
    };
    EXPECT_NE(refused(other).find("log-0000000000000001: is another cluster's"), std::string::npos);
    auto [name, bytes] = *disk.contents().begin();
    bytes[15] = '2';
    std::string text = bytes.substr(0, 34);
    char sum[17];
    std::snprintf(sum, sizeof sum, "%016llx",
                  static_cast<unsigned long long>(XXH64(text.data(), text.size(), 0)));
    disk.put(name, text + sum + bytes.substr(50));
    EXPECT_NE(refused(small()).find("of a version that this program does not read"), std::string::npos);
}

TEST(PosixFiles, HasAFolderToItselfAndKeepsWhatItWasGiven) {
    std::string made = (std::filesystem::temp_directory_path() / "store.XXXXXX").string();
    std::string folder = std::string(mkdtemp(made.data())) + "/k1";
    Story story;
    {
        PosixFiles files(folder);
        Log log(files, small());
        story.run(log);
        PosixFiles second(folder);
        EXPECT_THROW(Log(second, small()), StoreError);  // locked
        EXPECT_NE(Log::verify(second, small()).find(": sound\n"), std::string::npos);
    }
    PosixFiles files(folder);
    EXPECT_TRUE(story.allows(of(Log(files, small()))));
    std::filesystem::remove_all(made);
}

}  // namespace
}  // namespace ochrehub::store
