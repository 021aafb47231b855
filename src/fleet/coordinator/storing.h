// A keeper's folder: a store::Log on a thread of its own, so that the loop waits for no disk. Whatever waits
// when the disk is ready goes out under one sync (group commit).
#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fleet/coordinator/error.h"
#include "fleet/raft/raft.h"
#include "fleet/store/log.h"

namespace ochrehub::coordinator {

/// How a keeper begins.
enum class Begin {
    Again,  ///< from its folder, which must not be empty
    New,    ///< with its cluster: its number has never run, and its folder is empty
    Join,   ///< one more in a cluster that runs, under a number that never ran: a member once the others have
            ///< added it
    Lost,  ///< its number ran, and its folder is gone: it neither votes nor counts until all others have told
           ///< what they know
};

/// What a folder bears of its cluster's name.
std::uint64_t folder_cluster(std::string_view cluster);

/// A folder that is not to be used: what() begins with its error's code.
struct FolderError : std::runtime_error {
    FolderError(Error why, const std::string& about)
        : std::runtime_error(fleet::sentence(row(why), about)), error(why) {}
    Error error;
};

/// Opens the folder, or begins it as it is told to. `members`: those of the cluster's beginning, kept in the
/// folder from then on, so that a file of settings that has changed since means nothing. Throws FolderError,
/// store::StoreError, std::system_error.
class Storing {
public:
    struct Settings {
        store::Log::Settings log;
        Begin begin = Begin::Again;
        raft::Members members;
    };
    Storing(std::unique_ptr<store::Files> files, const Settings& settings);
    /// Ends behind the batch that is being written; what still waits is not.
    ~Storing();

    /// Before `start`.
    raft::PersistentState disk() const;
    store::RecoveryResult found() const { return log_->recovery_result(); }
    /// `written` and `failed` (once, with an errno) on the storing thread.
    void start(std::function<void(std::uint64_t number)> written, std::function<void(int)> failed);
    /// From any thread.
    void write(raft::Write write);

    std::uint64_t writes() const { return writes_.load(std::memory_order_relaxed); }
    std::uint64_t syncs() const { return syncs_.load(std::memory_order_relaxed); }  ///< of batches

private:
    void run();
    bool carry_out(raft::Write& write);

    std::unique_ptr<store::Files> files_;
    std::unique_ptr<store::Log> log_;
    raft::Members members_;
    std::function<void(std::uint64_t)> written_;
    std::function<void(int)> failed_;
    std::mutex mutex_;
    std::condition_variable wakes_;
    std::vector<raft::Write> waiting_;
    bool ends_ = false;
    std::atomic<std::uint64_t> writes_{0}, syncs_{0};
    std::thread thread_;
};

}  // namespace ochrehub::coordinator
