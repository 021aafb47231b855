#include "fleet/coordinator/durable_storage.h"

#include <coordinator.pb.h>
#include <pthread.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <optional>
#include <utility>

#include "fleet/coordinator/wire_codec.h"
#include "fleet/keys/keys.h"

namespace ochrehub::coordinator {
namespace {

/// Written before anything else: its presence means that the directory has been initialized.
const std::string kIdentityFile = "first";
const std::string kIdentityFileNew = "first.fresh";
/// In the identity file of StartMode::DataLost.
const std::string kDataLostMark = "lost";

/// What a snapshot's data and the identity file hold.
struct StoredSnapshot {
    raft::Members members;
    std::string state;
};

std::string encode(const raft::Members& members, const std::string& state) {
    wire::StoredSnapshot message;
    add_members(members, message);
    message.set_state(state);
    return message.SerializeAsString();
}

std::optional<StoredSnapshot> decode(const std::string& bytes) {
    wire::StoredSnapshot message;
    if (!message.ParseFromString(bytes)) return std::nullopt;
    StoredSnapshot snapshot;
    for (const wire::Member& member : message.members())
        snapshot.members.push_back({member.id(), member.voter(), member.address()});
    snapshot.state = std::move(*message.mutable_state());
    return snapshot;
}

/// The kind of a Raft entry is the first byte of its data in the log; an entry of a new term has no data.
std::string encode(raft::Entry& entry) {
    return char(entry.kind) + std::move(entry.data);
}

raft::Entry decode(const store::Entry& stored) {
    raft::Entry entry{stored.term, raft::Entry::Kind::NoOp, {}};
    if (stored.data.empty()) return entry;
    entry.kind = raft::Entry::Kind(stored.data[0]);
    entry.data = stored.data.substr(1);
    return entry;
}

void throw_on_error(store::Error error, const std::string& what) {
    if (error != 0) throw store::StoreError(what + ": " + std::strerror(error));
}

bool contains_log(const std::vector<std::string>& names) {
    return std::any_of(names.begin(), names.end(), [](const std::string& name) {
        return name.starts_with("log-") || name.starts_with("snapshot-");
    });
}

}  // namespace

std::uint64_t storage_cluster_id(std::string_view cluster) {
    const std::uint64_t high = fleet::fingerprint(cluster);
    return high << 32 | fleet::fingerprint(std::string(cluster) + " keepers");
}

DurableStorage::DurableStorage(std::unique_ptr<store::Files> files, const Settings& settings)
    : files_(std::move(files)) {
    lock_directory();
    std::vector<std::string> names;
    throw_on_error(files_->list(names), "the folder");
    const bool was_initialized = std::find(names.begin(), names.end(), kIdentityFile) != names.end();
    check_start_mode(settings.start_mode, was_initialized, contains_log(names));
    if (!was_initialized) initialize_directory(settings);
    std::string bytes;
    throw_on_error(files_->read(kIdentityFile, bytes), kIdentityFile);
    auto identity = decode(bytes);
    if (!identity) throw DataDirectoryError(Error::Untrusted, "the file `first` cannot be read");
    members_ = std::move(identity->members);
    open_log(settings.log, was_initialized, identity->state == kDataLostMark);
}

void DurableStorage::lock_directory() {
    const store::Error error = files_->lock();
    if (error == EWOULDBLOCK) throw store::StoreError("the folder is locked by another process");
    throw_on_error(error, "the lock");
}

void DurableStorage::check_start_mode(StartMode mode, bool was_initialized, bool has_log) {
    if (was_initialized) {
        if (mode != StartMode::Resume) throw DataDirectoryError(Error::AlreadyInitialized, "the folder");
        return;
    }
    if (has_log) throw DataDirectoryError(Error::Untrusted, "a part of the folder is missing");
    if (mode == StartMode::Resume) throw DataDirectoryError(Error::Untrusted, "the folder");
}

void DurableStorage::initialize_directory(const Settings& settings) {
    const bool joins = settings.start_mode == StartMode::JoinCluster;
    const bool data_lost = settings.start_mode == StartMode::DataLost;
    const std::string identity =
        encode(joins ? raft::Members{} : settings.members, data_lost ? kDataLostMark : "");
    files_->remove(kIdentityFileNew);
    throw_on_error(files_->append(kIdentityFileNew, identity), kIdentityFile);
    throw_on_error(files_->sync(kIdentityFileNew), kIdentityFile);
    throw_on_error(files_->rename(kIdentityFileNew, kIdentityFile), kIdentityFile);
    throw_on_error(files_->sync_names(), kIdentityFile);
}

void DurableStorage::open_log(const store::Log::Settings& settings, bool was_initialized, bool data_lost) {
    log_ = std::make_unique<store::Log>(*files_, settings);
    // Votes and acknowledged entries are gone if the directory was initialized and its log is, or if it was
    // initialized for lost data and nothing has been received from the others yet.
    const bool is_empty = log_->last_index() == 0 && !log_->snapshot();
    const bool log_is_gone = was_initialized && log_->recovery_result() == store::RecoveryResult::Empty;
    if ((log_is_gone || (is_empty && data_lost)) && !log_->mark_data_lost())
        throw store::StoreError(std::strerror(log_->failure()));
    if (log_->snapshot() && !decode(log_->snapshot()->data))
        throw DataDirectoryError(Error::UnknownEntry, "the snapshot");
}

DurableStorage::~DurableStorage() {
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    if (thread_.joinable()) thread_.join();
}

raft::PersistentState DurableStorage::disk() const {
    raft::PersistentState disk;
    const store::HardState& stored_state = log_->hard_state();
    disk.hard_state.term = stored_state.term;
    if (!stored_state.voted_for.empty())
        disk.hard_state.voted_for = raft::NodeId(std::stoul(stored_state.voted_for));
    if (const auto& stored = log_->snapshot()) {
        StoredSnapshot snapshot = *decode(stored->data);
        disk.snapshot = raft::Snapshot{stored->last_included_index, stored->last_included_term,
                                       std::move(snapshot.members), std::move(snapshot.state)};
    }
    disk.first_index = log_->first_index();
    for (std::uint64_t i = log_->first_index(); i <= log_->last_index(); ++i)
        disk.entries.push_back(decode(log_->entry(i)));
    disk.initial_members = members_;
    disk.trusted = log_->recovery_result() != store::RecoveryResult::DataLost;
    return disk;
}

void DurableStorage::start(std::function<void(std::uint64_t)> written, std::function<void(int)> failed) {
    written_ = std::move(written);
    failed_ = std::move(failed);
    // The new thread inherits a mask that blocks all signals: they are the event loop's.
    sigset_t all;
    sigset_t previous;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &previous);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
}

void DurableStorage::write(raft::Write write) {
    {
        std::lock_guard lock(mutex_);
        queue_.push_back(std::move(write));
    }
    wake_.notify_one();
}

void DurableStorage::run() {
    while (true) {
        std::vector<raft::Write> batch;
        {
            std::unique_lock lock(mutex_);
            wake_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
            if (stopping_) return;
            batch.swap(queue_);
        }
        if (!write_batch(batch)) return failed_(log_->failure());
        written_(batch.back().number);
    }
}

bool DurableStorage::write_batch(std::vector<raft::Write>& batch) {
    for (raft::Write& write : batch)
        if (!append_to_log(write)) return false;
    if (!log_->sync()) return false;
    writes_.fetch_add(batch.size(), std::memory_order_relaxed);
    syncs_.fetch_add(1, std::memory_order_relaxed);
    return true;
}

bool DurableStorage::append_to_log(raft::Write& write) {
    store::Log& log = *log_;
    if (write.hard_state) {
        const raft::NodeId voted_for = write.hard_state->voted_for;
        log.set_hard_state({write.hard_state->term, voted_for == 0 ? "" : std::to_string(voted_for)});
    }
    if (write.truncate_from) log.truncate(*write.truncate_from);
    for (raft::Entry& entry : write.append) log.append({entry.term, encode(entry)});
    if (write.snapshot) {
        const raft::Snapshot& snapshot = *write.snapshot;
        if (!log.save_snapshot({snapshot.last_included_index, snapshot.last_included_term,
                                encode(snapshot.members, snapshot.state)}))
            return false;
    }
    return !write.recovered || log.mark_recovered();
}

}  // namespace ochrehub::coordinator
