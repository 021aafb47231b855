#include "fleet/coordinator/storing.h"

#include <coordinator.pb.h>
#include <pthread.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <utility>

#include "fleet/keys/keys.h"

namespace ochrehub::coordinator {
namespace {

const std::string kFirst = "first", kFirstFresh = "first.fresh";

std::string stored(const raft::Members& members, const std::string& state) {
    wire::StoredSnapshot out;
    for (const raft::Member& member : members) {
        wire::Member* one = out.add_members();
        one->set_id(member.id), one->set_voter(member.voter), one->set_address(member.address);
    }
    out.set_state(state);
    return out.SerializeAsString();
}

std::optional<std::pair<raft::Members, std::string>> read_stored(const std::string& bytes) {
    wire::StoredSnapshot from;
    if (!from.ParseFromString(bytes)) return std::nullopt;
    std::pair<raft::Members, std::string> out;
    for (const wire::Member& one : from.members())
        out.first.push_back({one.id(), one.voter(), one.address()});
    out.second = std::move(*from.mutable_state());
    return out;
}

void must(store::Error error, const std::string& what) {
    if (error != 0) throw store::StoreError(what + ": " + std::strerror(error));
}

}  // namespace

std::uint64_t folder_cluster(std::string_view cluster) {
    return std::uint64_t(fleet::fingerprint(cluster)) << 32 |
           fleet::fingerprint(std::string(cluster) + " keepers");
}

Storing::Storing(std::unique_ptr<store::Files> files, const Settings& settings) : files_(std::move(files)) {
    if (store::Error why = files_->lock())
        throw store::StoreError(why == EWOULDBLOCK ? "the folder is another process's: it holds the lock"
                                                   : std::string("the lock: ") + std::strerror(why));
    std::vector<std::string> names;
    must(files_->list(names), "the folder");
    bool first = std::find(names.begin(), names.end(), kFirst) != names.end();
    bool logs = std::any_of(names.begin(), names.end(), [](const std::string& name) {
        return name.starts_with("log-") || name.starts_with("snapshot-");
    });
    if (!first) {
        if (logs) throw FolderError(Error::Untrusted, "a part of the folder is missing");
        if (settings.begin == Begin::Again) throw FolderError(Error::Untrusted, "the folder");
        // One that has promised something must not take the place of one that has not: so this is written
        // down first.
        files_->remove(kFirstFresh);
        must(files_->append(kFirstFresh,
                            stored(settings.begin == Begin::Join ? raft::Members{} : settings.members,
                                   settings.begin == Begin::Lost ? "lost" : "")),
             kFirst);
        must(files_->sync(kFirstFresh), kFirst);
        must(files_->rename(kFirstFresh, kFirst), kFirst);
        must(files_->sync_names(), kFirst);
    } else if (settings.begin != Begin::Again) {
        throw FolderError(Error::Begun, "the folder");
    }
    std::string bytes;
    must(files_->read(kFirst, bytes), kFirst);
    auto told = read_stored(bytes);
    if (!told) throw FolderError(Error::Untrusted, "the file `first` cannot be read");
    members_ = std::move(told->first);
    log_ = std::make_unique<store::Log>(*files_, settings.log);
    // Begun, and nothing is left of it; or its number's earlier folder is gone, and it has had nothing from
    // others yet.
    bool bare = log_->last_index() == 0 && !log_->snapshot();
    bool gone = (first && log_->recovery_result() == store::RecoveryResult::Empty) ||
                (bare && told->second == "lost");
    if (gone && !log_->mark_data_lost()) throw store::StoreError(std::strerror(log_->failure()));
    if (log_->snapshot() && !read_stored(log_->snapshot()->data))
        throw FolderError(Error::Behind, "the snapshot");
}

Storing::~Storing() {
    {
        std::lock_guard lock(mutex_);
        ends_ = true;
    }
    wakes_.notify_one();
    if (thread_.joinable()) thread_.join();
}

raft::PersistentState Storing::disk() const {
    raft::PersistentState disk;
    const store::Log& log = *log_;
    disk.hard_state.term = log.hard_state().term;
    disk.hard_state.voted_for =
        log.hard_state().voted_for.empty() ? 0 : raft::NodeId(std::stoul(log.hard_state().voted_for));
    if (log.snapshot()) {
        auto [members, state] = *read_stored(log.snapshot()->data);
        disk.snapshot =
            raft::Snapshot{log.snapshot()->last_included_index, log.snapshot()->last_included_term,
                           std::move(members), std::move(state)};
    }
    disk.first_index = log.first_index();
    for (std::uint64_t i = log.first_index(); i <= log.last_index(); ++i) {
        const store::Entry& entry = log.entry(i);
        raft::Entry one{entry.term, raft::Entry::Kind::NoOp, {}};
        if (!entry.data.empty()) one.kind = raft::Entry::Kind(entry.data[0]), one.data = entry.data.substr(1);
        disk.entries.push_back(std::move(one));
    }
    disk.initial_members = members_;
    disk.trusted = log.recovery_result() != store::RecoveryResult::DataLost;
    return disk;
}

void Storing::start(std::function<void(std::uint64_t)> written, std::function<void(int)> failed) {
    written_ = std::move(written), failed_ = std::move(failed);
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);  // signals are the loop's
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void Storing::write(raft::Write write) {
    {
        std::lock_guard lock(mutex_);
        waiting_.push_back(std::move(write));
    }
    wakes_.notify_one();
}

void Storing::run() {
    while (true) {
        std::vector<raft::Write> batch;
        {
            std::unique_lock lock(mutex_);
            wakes_.wait(lock, [this] { return ends_ || !waiting_.empty(); });
            if (ends_) return;
            batch.swap(waiting_);
        }
        bool good = true;
        for (raft::Write& write : batch) good = good && carry_out(write);
        if (!good || !log_->sync()) return failed_(log_->failure());
        writes_.fetch_add(batch.size(), std::memory_order_relaxed);
        syncs_.fetch_add(1, std::memory_order_relaxed);
        written_(batch.back().number);
    }
}

bool Storing::carry_out(raft::Write& write) {
    store::Log& log = *log_;
    if (write.hard_state)
        log.set_hard_state({write.hard_state->term, write.hard_state->voted_for == 0
                                                        ? ""
                                                        : std::to_string(write.hard_state->voted_for)});
    if (write.truncate_from) log.truncate(*write.truncate_from);
    for (raft::Entry& entry : write.append)
        log.append({entry.term, char(entry.kind) + std::move(entry.data)});
    if (write.snapshot &&
        !log.save_snapshot({write.snapshot->last_included_index, write.snapshot->last_included_term,
                            stored(write.snapshot->members, write.snapshot->state)}))
        return false;
    return !write.recovered || log.mark_recovered();
}

}  // namespace ochrehub::coordinator
