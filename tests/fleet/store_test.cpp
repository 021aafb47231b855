// The store on a disk that loses, tears, fills up and fails, with every call of its files failing once.
#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <string>

#include "faulty_files.h"
#include "fleet/store/log.h"
#include "fleet/store/posix_files.h"
#include "store_workload.h"

namespace ochrehub::store {
namespace {

FaultyFiles files_with(const std::map<std::string, std::string>& contents) {
    FaultyFiles files;
    for (const auto& [name, bytes] : contents) files.put(name, bytes);
    return files;
}

TEST(Store, ReadsBackWhatWasSyncedOverSegmentsSnapshotsAndTruncations) {
    FaultyFiles files;
    Workload workload;
    {
        Log log(files, small_settings());
        EXPECT_EQ(log.recovery_result(), RecoveryResult::Empty);
        workload.run(log);
        EXPECT_EQ(log.first_index(), 17u);
    }
    Log reopened(files, small_settings());
    EXPECT_EQ(reopened.recovery_result(), RecoveryResult::Intact);
    EXPECT_TRUE(workload.allows(state_of(reopened)));
    EXPECT_EQ(reopened.hard_state(), (HardState{6, "k6"}));
    EXPECT_EQ(reopened.entry(reopened.last_index()).data, "instead");
    EXPECT_EQ(reopened.term_at(16), 6u);
}

enum class Fault { Crash, Failure };

void inject(FaultyFiles& files, Fault fault, int call) {
    (fault == Fault::Failure ? files.fail_at : files.crash_at) = call;
}

/// False: a fault interrupted it.
bool run_workload(FaultyFiles& files, Workload& workload) {
    try {
        Log log(files, small_settings());
        workload.run(log);
        return true;
    } catch (const SimulatedCrash&) {
        return false;
    } catch (const StoreError&) {
        return false;
    }
}

/// False: a fault interrupted it.
bool open_log(FaultyFiles& files) {
    try {
        Log log(files, small_settings());
        return true;
    } catch (const SimulatedCrash&) {
        return false;
    } catch (const StoreError&) {
        return false;
    }
}

class StoreCrashes : public ::testing::TestWithParam<FaultyFiles::Unsynced> {
protected:
    /// Opening is interrupted at each of its calls too.
    void expect_recovery_at_each_call(const FaultyFiles& crashed, const Workload& workload, Fault fault,
                                      int workload_call) {
        bool opened = false;
        for (int call = 1; !opened; ++call) {
            ASSERT_LT(call, 100);
            FaultyFiles files = crashed.copy();
            inject(files, fault, call);
            opened = open_log(files);
            files.crash(GetParam(), std::uint64_t(workload_call * 100 + call));
            Log log(files, small_settings());
            ASSERT_TRUE(workload.allows(state_of(log))) << "call " << workload_call << ", then " << call;
            ASSERT_NE(log.recovery_result(), RecoveryResult::DataLost)
                << "call " << workload_call << ", then " << call;
        }
    }

    static void expect_writable(FaultyFiles& files, int workload_call) {
        {
            Log log(files, small_settings());
            log.append({99, "more"});
            ASSERT_TRUE(log.sync());
        }
        Log reopened(files, small_settings());
        ASSERT_EQ(reopened.recovery_result(), RecoveryResult::Intact) << "call " << workload_call;
        ASSERT_EQ(reopened.entry(reopened.last_index()).data, "more");
    }
};

// Each call in turn crashes, or fails; then the log is opened again, with the same done to that.
TEST_P(StoreCrashes, NothingSyncedIsMissingAfterAFaultAtAnyCall) {
    for (Fault fault : {Fault::Crash, Fault::Failure}) {
        for (int call = 1;; ++call) {
            FaultyFiles files;
            Workload workload;
            inject(files, fault, call);
            if (run_workload(files, workload)) {
                ASSERT_GT(call, 60);
                break;
            }
            files.crash(GetParam(), std::uint64_t(call));
            ASSERT_NO_FATAL_FAILURE(expect_recovery_at_each_call(files, workload, fault, call));
            ASSERT_NO_FATAL_FAILURE(expect_writable(files, call));
        }
    }
}
INSTANTIATE_TEST_SUITE_P(All, StoreCrashes,
                         ::testing::Values(FaultyFiles::Unsynced::Lost, FaultyFiles::Unsynced::Kept,
                                           FaultyFiles::Unsynced::Torn));

TEST(Store, WritesNothingMoreAfterAFailedSync) {
    FaultyFiles files;
    Log log(files, small_settings());
    log.append({1, "a"});
    files.fail_at = files.calls + 2;  // append, then sync
    EXPECT_FALSE(log.sync());
    EXPECT_TRUE(log.failed());
    int before = files.calls;
    log.append({1, "b"});
    EXPECT_FALSE(log.sync());
    EXPECT_FALSE(log.save_snapshot({1, 1, "s"}));
    EXPECT_EQ(files.calls, before);
}

// Every byte of every file, once. What is read was written; what was synced is there, or known to be lost.
// The last batch alone may look torn: nothing after it shows that it had been synced.
TEST(Store, DetectsEachDamagedByte) {
    FaultyFiles files;
    Workload workload;
    LogState before_last_batch;
    {
        Log log(files, small_settings());
        workload.run(log);
        before_last_batch = state_of(log);
        log.append({7, "the last batch"});
        ASSERT_TRUE(log.sync());
    }
    const std::map<std::string, std::string> contents = files.contents();
    FaultyFiles undamaged = files_with(contents);
    const LogState whole = state_of(Log(undamaged, small_settings()));
    int lost = 0;
    int torn = 0;
    auto open_damaged = [&](const std::string& name, std::size_t at) {
        FaultyFiles damaged = files_with(contents);
        std::string bytes = contents.at(name);
        bytes[at] ^= 0x20;
        damaged.put(name, bytes);
        Log log(damaged, small_settings());
        LogState found = state_of(log);
        if (log.recovery_result() == RecoveryResult::DataLost) {
            ++lost;
            EXPECT_EQ(Log(damaged, small_settings()).recovery_result(), RecoveryResult::DataLost)
                << "it remains so over restarts";
        } else if (found != whole) {
            EXPECT_TRUE(found == before_last_batch) << name << " at " << at;
            ++torn;
        }
    };
    for (const auto& [name, bytes] : contents) {
        for (std::size_t at = 0; at < bytes.size(); ++at) {
            try {
                open_damaged(name, at);
            } catch (const StoreError&) {
                ++lost;
            }
        }
    }
    EXPECT_GT(lost, 300);
    EXPECT_LT(torn, 120);
}

TEST(Store, LostDataRemainsLostUntilMarkedRecovered) {
    FaultyFiles files;
    {
        Log log(files, small_settings());
        for (int i = 0; i < 4; ++i) {
            log.append({1, std::string(10, char('a' + i))});
            ASSERT_TRUE(log.sync());
        }
    }
    auto [name, bytes] = *files.contents().begin();
    bytes[bytes.find("bbbb")] = 'x';
    files.put(name, bytes);
    {
        Log log(files, small_settings());
        EXPECT_EQ(log.recovery_result(), RecoveryResult::DataLost);
        EXPECT_EQ(log.last_index(), 1u) << "nothing after the damage is used";
        log.append({2, "from the leader"});
        ASSERT_TRUE(log.sync());
    }
    {
        Log log(files, small_settings());
        EXPECT_EQ(log.recovery_result(), RecoveryResult::DataLost);
        EXPECT_EQ(log.last_index(), 2u);
        ASSERT_TRUE(log.mark_recovered());
    }
    EXPECT_EQ(Log(files, small_settings()).recovery_result(), RecoveryResult::Intact);
}

std::string verify_error(FaultyFiles& files, const Log::Settings& settings) {
    try {
        Log::verify(files, settings);
    } catch (const StoreError& error) {
        return error.what();
    }
    return "";
}

TEST(Store, RejectsFilesOfAnotherClusterOrVersion) {
    FaultyFiles files;
    {
        Log log(files, small_settings());
        log.append({1, "a"});
        ASSERT_TRUE(log.sync());
    }
    Log::Settings other = small_settings();
    other.cluster_fingerprint = 8;
    EXPECT_THROW(Log(files, other), StoreError);
    EXPECT_NE(verify_error(files, other).find("log-0000000000000001: is another cluster's"),
              std::string::npos);
    // Version 2 with a valid checksum of the header.
    auto [name, bytes] = *files.contents().begin();
    bytes[15] = '2';
    std::string header = bytes.substr(0, 34);
    char checksum[17];
    std::snprintf(checksum, sizeof checksum, "%016llx",
                  static_cast<unsigned long long>(XXH64(header.data(), header.size(), 0)));
    files.put(name, header + checksum + bytes.substr(50));
    EXPECT_NE(verify_error(files, small_settings()).find("of a version that this program does not read"),
              std::string::npos);
}

TEST(PosixFiles, LocksItsDirectoryAndKeepsWhatWasWritten) {
    std::string parent = (std::filesystem::temp_directory_path() / "store.XXXXXX").string();
    std::string path = std::string(mkdtemp(parent.data())) + "/k1";
    Workload workload;
    {
        PosixFiles files(path);
        Log log(files, small_settings());
        workload.run(log);
        PosixFiles second(path);
        EXPECT_THROW(Log(second, small_settings()), StoreError) << "the directory is locked";
        EXPECT_NE(Log::verify(second, small_settings()).text.find(": sound\n"), std::string::npos);
    }
    PosixFiles files(path);
    EXPECT_TRUE(workload.allows(state_of(Log(files, small_settings()))));
    std::filesystem::remove_all(parent);
}

}  // namespace
}  // namespace ochrehub::store
