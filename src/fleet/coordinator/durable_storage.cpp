#include "fleet/coordinator/durable_storage.h"

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

std::uint64_t storage_cluster_id(std::string_view cluster) {
    return std::uint64_t(fleet::fingerprint(cluster)) << 32 |
           fleet::fingerprint(std::string(cluster) + " keepers");
}

DurableStorage::DurableStorage(std::unique_ptr<store::Files> files, const Settings& settings)
    : files_(std::move(files)) {
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
        if (logs) throw DataDirectoryError(Error::Untrusted, "a part of the folder is missing");
        if (settings.start_mode == StartMode::Resume)
            throw DataDirectoryError(Error::Untrusted, "the folder");
        // One that has promised something must not take the place of one that has not: so this is written
        // down first.
        files_->remove(kFirstFresh);
        must(files_->append(
                 kFirstFresh,
                 stored(settings.start_mode == StartMode::JoinCluster ? raft::Members{} : settings.members,
                        settings.start_mode == StartMode::DataLost ? "lost" : "")),
             kFirst);
        must(files_->sync(kFirstFresh), kFirst);
        must(files_->rename(kFirstFresh, kFirst), kFirst);
        must(files_->sync_names(), kFirst);
    } else if (settings.start_mode != StartMode::Resume) {
        throw DataDirectoryError(Error::Begun, "the folder");
    }
    std::string bytes;
    must(files_->read(kFirst, bytes), kFirst);
    auto told = read_stored(bytes);
    if (!told) throw DataDirectoryError(Error::Untrusted, "the file `first` cannot be read");
    members_ = std::move(told->first);
    log_ = std::make_unique<store::Log>(*files_, settings.log);
    // Begun, and nothing is left of it; or its number's earlier folder is gone, and it has had nothing from
    // others yet.
    bool bare = log_->last() == 0 && !log_->snapshot();
    bool gone = (first && log_->found() == store::Found::Empty) || (bare && told->second == "lost");
    if (gone && !log_->lose()) throw store::StoreError(std::strerror(log_->why()));
    if (log_->snapshot() && !read_stored(log_->snapshot()->data))
        throw DataDirectoryError(Error::Behind, "the snapshot");
}

DurableStorage::~DurableStorage() {
    {
        std::lock_guard lock(mutex_);
        ends_ = true;
    }
    wakes_.notify_one();
    if (thread_.joinable()) thread_.join();
}

raft::Disk DurableStorage::disk() const {
    raft::Disk disk;
    const store::Log& log = *log_;
    disk.vote.term = log.vote().term;
    disk.vote.who = log.vote().who.empty() ? 0 : raft::KeeperId(std::stoul(log.vote().who));
    if (log.snapshot()) {
        auto [members, state] = *read_stored(log.snapshot()->data);
        disk.snapshot =
            raft::Snapshot{log.snapshot()->index, log.snapshot()->term, std::move(members), std::move(state)};
    }
    disk.first = log.first();
    for (std::uint64_t i = log.first(); i <= log.last(); ++i) {
        const store::Entry& entry = log.entry(i);
        raft::Entry one{entry.term, raft::Entry::Kind::Term, {}};
        if (!entry.data.empty()) one.kind = raft::Entry::Kind(entry.data[0]), one.data = entry.data.substr(1);
        disk.entries.push_back(std::move(one));
    }
    disk.members = members_;
    disk.trusted = log.found() != store::Found::Lost;
    return disk;
}

void DurableStorage::start(std::function<void(std::uint64_t)> written, std::function<void(int)> failed) {
    written_ = std::move(written), failed_ = std::move(failed);
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);  // signals are the loop's
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

void DurableStorage::write(raft::Write write) {
    {
        std::lock_guard lock(mutex_);
        waiting_.push_back(std::move(write));
    }
    wakes_.notify_one();
}

void DurableStorage::run() {
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
        if (!good || !log_->sync()) return failed_(log_->why());
        writes_.fetch_add(batch.size(), std::memory_order_relaxed);
        syncs_.fetch_add(1, std::memory_order_relaxed);
        written_(batch.back().number);
    }
}

bool DurableStorage::carry_out(raft::Write& write) {
    store::Log& log = *log_;
    if (write.vote) log.vote({write.vote->term, write.vote->who == 0 ? "" : std::to_string(write.vote->who)});
    if (write.cut) log.cut(*write.cut);
    for (raft::Entry& entry : write.append)
        log.append({entry.term, char(entry.kind) + std::move(entry.data)});
    if (write.snapshot && !log.save({write.snapshot->index, write.snapshot->term,
                                     stored(write.snapshot->members, write.snapshot->state)}))
        return false;
    return !write.caught_up || log.caught_up();
}

}  // namespace ochrehub::coordinator
