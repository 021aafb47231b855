// A coordinator's data directory: start modes, restarts, lost data, and a disk that fails.
#include "fleet/coordinator/durable_storage.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <future>
#include <string>

#include "fleet/store/posix_files.h"

namespace ochrehub::coordinator {
namespace {

struct DataDirectory {
    std::string path =
        (std::filesystem::temp_directory_path() / ("ochrehub_coordinator_test_" + std::to_string(getpid())))
            .string();

    DataDirectory() = default;
    ~DataDirectory() { std::filesystem::remove_all(path); }
    DataDirectory(const DataDirectory&) = delete;
    DataDirectory& operator=(const DataDirectory&) = delete;

    std::unique_ptr<DurableStorage> open(StartMode mode) const {
        return std::make_unique<DurableStorage>(
            std::make_unique<store::PosixFiles>(path),
            DurableStorage::Settings{{storage_cluster_id("test")}, mode, {{1, true, "k1"}, {2, true, "k2"}}});
    }
    raft::PersistentState disk(StartMode mode) const { return open(mode)->disk(); }
    Error open_error(StartMode mode) const {
        try {
            open(mode);
        } catch (const DataDirectoryError& error) {
            EXPECT_TRUE(std::string_view(error.what()).starts_with(row(error.error).code));
            return error.error;
        }
        return Error::None;
    }
};

TEST(DurableStorage, RequiresAStartModeThatFitsTheDirectory) {
    DataDirectory directory;
    EXPECT_EQ(directory.open_error(StartMode::Resume), Error::Untrusted);
    EXPECT_EQ(directory.open_error(StartMode::NewCluster), Error::None);
    EXPECT_EQ(directory.open_error(StartMode::NewCluster), Error::AlreadyInitialized);
    EXPECT_EQ(directory.disk(StartMode::Resume).initial_members.size(), 2u);
    std::filesystem::remove(directory.path + "/first");
    EXPECT_EQ(directory.open_error(StartMode::Resume), Error::Untrusted) << "a part of it is missing";
    EXPECT_EQ(directory.open_error(StartMode::NewCluster), Error::Untrusted);
}

TEST(DurableStorage, StaysUntrustedOverRestartsAfterDataLoss) {
    DataDirectory lost;
    EXPECT_FALSE(lost.disk(StartMode::DataLost).trusted);
    EXPECT_FALSE(lost.disk(StartMode::Resume).trusted);
    DataDirectory joined;
    std::filesystem::remove_all(joined.path);
    EXPECT_TRUE(joined.disk(StartMode::JoinCluster).initial_members.empty());
    EXPECT_TRUE(joined.disk(StartMode::Resume).initial_members.empty())
        << "its configuration does not matter any more";
    for (const auto& entry : std::filesystem::directory_iterator(joined.path))
        if (entry.path().filename().string().starts_with("log-")) std::filesystem::remove(entry.path());
    EXPECT_FALSE(joined.disk(StartMode::Resume).trusted) << "it was initialized, and its log is gone";
}

TEST(DurableStorage, ReadsBackWhatItReportedAsWritten) {
    DataDirectory directory;
    raft::Write first;
    first.number = 1;
    first.hard_state = raft::HardState{3, 2};
    first.append = {{3, raft::Entry::Kind::NoOp, ""},
                    {3, raft::Entry::Kind::Data, "a"},
                    {3, raft::Entry::Kind::Data, "b"}};
    raft::Write second;
    second.number = 2;
    second.truncate_from = 3;
    second.append = {{4, raft::Entry::Kind::Configuration, "c"}};
    second.snapshot = raft::Snapshot{2, 3, {{1, true, "k1"}, {4, false, "k4"}}, "state"};
    {
        auto storage = directory.open(StartMode::NewCluster);
        std::promise<void> written;
        storage->start(
            [&](std::uint64_t number) {
                if (number == 2) written.set_value();
            },
            [](int) { ADD_FAILURE(); });
        storage->write(first);
        storage->write(second);
        written.get_future().wait();
    }
    const raft::PersistentState disk = directory.disk(StartMode::Resume);
    EXPECT_EQ(disk.hard_state, (raft::HardState{3, 2}));
    EXPECT_EQ(disk.snapshot, second.snapshot);
    EXPECT_EQ(disk.first_index, 3u);
    ASSERT_EQ(disk.entries.size(), 1u);
    EXPECT_EQ(disk.entries[0], second.append[0]);
    EXPECT_TRUE(disk.trusted);
}

TEST(DurableStorage, ReportsAFailedDiskOnceAndWritesNothingMore) {
    struct FullDisk : store::PosixFiles {
        using PosixFiles::PosixFiles;
        bool is_full = false;
        store::Error append(const std::string& name, std::string_view bytes) override {
            return is_full ? ENOSPC : PosixFiles::append(name, bytes);
        }
    };
    DataDirectory directory;
    auto files = std::make_unique<FullDisk>(directory.path);
    FullDisk* disk = files.get();
    DurableStorage storage(std::move(files), {{1}, StartMode::NewCluster, {}});
    disk->is_full = true;
    std::promise<int> failure;
    storage.start([](std::uint64_t) { ADD_FAILURE(); }, [&](int error) { failure.set_value(error); });
    raft::Write write;
    write.number = 1;
    write.hard_state = raft::HardState{1, 1};
    storage.write(write);
    EXPECT_EQ(failure.get_future().get(), ENOSPC);  // CoordinatorServer stops with Error::StorageFailed
    storage.write(write);
}

}  // namespace
}  // namespace ochrehub::coordinator
