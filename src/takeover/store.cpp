#include "takeover/store.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <ctime>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/log.h"

namespace ochrehub::takeover {
namespace {

constexpr std::time_t kGoneFor = 60;  // seconds without a beat: the process that wrote it is long gone

TimePoint wall() {
    return TimePoint{Duration{std::chrono::system_clock::now().time_since_epoch()}};
}

/// Two processes that change the file at once do so one after the other.
class Lock {
public:
    explicit Lock(const std::string& path) : file_(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600)) {
        if (file_ >= 0) (void)flock(file_, LOCK_EX);
    }
    ~Lock() {
        if (file_ >= 0) close(file_);
    }
    Lock(const Lock&) = delete;
    Lock& operator=(const Lock&) = delete;

private:
    int file_;
};

}  // namespace

Store::Store(const std::string& folder, const std::string& prefix, std::string node, Duration cold_time)
    : path_(folder.empty() ? "" : folder + "/" + prefix + ".hands"),
      lock_path_(path_ + ".lock"),
      node_(std::move(node)),
      cold_time_(cold_time) {
    if (path_.empty()) return;
    Lock lock(lock_path_);
    load(true);
}

bool Store::changed_on_disk() {
    struct stat now {};
    if (stat(path_.c_str(), &now) != 0) return false;
    return now.st_ino != inode_ || now.st_mtim.tv_sec != stamp_.tv_sec ||
           now.st_mtim.tv_nsec != stamp_.tv_nsec;
}

void Store::load(bool fresh_only) {
    struct stat now {};
    if (stat(path_.c_str(), &now) != 0) return;  // nobody has said anything
    inode_ = now.st_ino;
    stamp_ = now.st_mtim;
    std::string why = "is of a process long gone";
    std::optional<ManualOverrides> found;
    if (!fresh_only || std::time(nullptr) - now.st_mtime <= kGoneFor) {
        std::ifstream in(path_, std::ios::binary);
        found = read(std::string{std::istreambuf_iterator<char>(in), {}}, node_, why);
    }
    if (found)
        overrides_ = std::move(*found);
    else if (!std::exchange(complained_, true))
        log_line(LogLevel::Warn, "%s %s: not used", path_.c_str(), why.c_str());
}

bool Store::refresh() {
    if (path_.empty() || !changed_on_disk()) return false;
    ManualOverrides before = overrides_;
    load(false);
    return overrides_ != before;
}

template <class Change>
bool Store::change(Change change) {
    if (path_.empty()) return change();
    Lock lock(lock_path_);
    refresh();
    if (!change()) return false;
    overrides_.forget(wall(), cold_time_);
    if (!write())
        log_line(LogLevel::Error, "%s: %s: servers out by hand will not outlast this process", path_.c_str(),
                 std::strerror(errno));
    return true;
}

bool Store::take_out(const std::string& id) {
    return change([&] { return overrides_.take_out(id, wall()); });
}

bool Store::put_back(const std::string& id) {
    return change([&] { return overrides_.put_back(id, wall()); });
}

// To a new file that takes the old one's place: whoever reads it finds one or the other, whole.
bool Store::write() const {
    std::string text = written(overrides_, node_), fresh = path_ + "." + std::to_string(getpid());
    int file = open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return false;
    bool whole = ::write(file, text.data(), text.size()) == ssize_t(text.size());
    int error = whole ? 0 : errno ? errno : ENOSPC;
    close(file);
    if (whole && rename(fresh.c_str(), path_.c_str()) == 0) return true;
    if (!whole) errno = error;
    error = errno;
    unlink(fresh.c_str());
    errno = error;
    return false;
}

void Store::beat() const {
    if (!path_.empty()) (void)utimensat(AT_FDCWD, path_.c_str(), nullptr, 0);
}

}  // namespace ochrehub::takeover
