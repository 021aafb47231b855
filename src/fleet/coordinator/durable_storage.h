// A coordinator's data directory: a store::Log on a thread of its own, so that the event loop never waits for
// a disk. All writes that are queued when the disk is ready share one sync (group commit). Not responsible
// for what is written (Raft) or for the file format (store::Log).
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/raft/raft.h"
#include "fleet/store/log.h"

namespace ochrehub::coordinator {

/// How a coordinator starts. All but Resume need an empty data directory.
enum class StartMode {
    Resume,       ///< from its data directory, which must not be empty
    NewCluster,   ///< together with its cluster, under an id that never ran
    JoinCluster,  ///< as one more of a running cluster, under an id that never ran; a membership change adds
                  ///< it
    DataLost,  ///< under an id that ran before, whose data directory is gone: it doesn't vote until all other
               ///< voters have reported to the leader what they know
};

/// Fingerprint of the cluster's name in a data directory.
std::uint64_t storage_cluster_id(std::string_view cluster);

/// A data directory that must not be used. what() begins with the error's code.
struct DataDirectoryError : std::runtime_error {
    DataDirectoryError(Error why, const std::string& about)
        : std::runtime_error(fleet::sentence(row(why), about)), error(why) {}
    Error error;
};

class DurableStorage {
public:
    struct Settings {
        store::Log::Settings log;
        StartMode start_mode = StartMode::Resume;
        /// Of a new cluster; stored, so that a later change of the configuration has no effect.
        raft::Members members;
    };
    /// Locks and reads the directory, or initializes it as the start mode says. Throws DataDirectoryError,
    /// store::StoreError, std::system_error.
    DurableStorage(std::unique_ptr<store::Files> files, const Settings& settings);
    /// Waits for the batch that is being written; drops what is queued.
    ~DurableStorage();
    DurableStorage(const DurableStorage&) = delete;
    DurableStorage& operator=(const DurableStorage&) = delete;

    /// What was read, for Raft. Before `start`.
    raft::PersistentState disk() const;
    store::RecoveryResult found() const { return log_->recovery_result(); }
    /// Starts the thread. Both callbacks are called on it: `written` when all writes up to a number are
    /// durable, `failed` once, with an errno, after which nothing is written any more.
    void start(std::function<void(std::uint64_t number)> written, std::function<void(int error)> failed);
    /// From any thread.
    void write(raft::Write write);

    std::uint64_t writes() const { return writes_.load(std::memory_order_relaxed); }
    std::uint64_t syncs() const { return syncs_.load(std::memory_order_relaxed); }  ///< one per batch

private:
    void lock_directory();
    static void check_start_mode(StartMode mode, bool was_initialized, bool has_log);
    void initialize_directory(const Settings& settings);
    void open_log(const store::Log::Settings& settings, bool was_initialized, bool data_lost);
    void run();
    bool write_batch(std::vector<raft::Write>& batch);
    bool append_to_log(raft::Write& write);

    std::unique_ptr<store::Files> files_;
    std::unique_ptr<store::Log> log_;  // uses files_; the thread's once it has started
    raft::Members members_;            // of the cluster's start
    std::function<void(std::uint64_t)> written_;
    std::function<void(int)> failed_;
    std::mutex mutex_;  // guards queue_ and stopping_
    std::condition_variable wake_;
    std::vector<raft::Write> queue_;
    bool stopping_ = false;
    std::atomic<std::uint64_t> writes_{0};
    std::atomic<std::uint64_t> syncs_{0};
    std::thread thread_;
};

}  // namespace ochrehub::coordinator
