#include "fleet/store/posix_files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace ochrehub::store {
namespace {
constexpr const char* kLock = "LOCK";
constexpr int kOpen = O_CLOEXEC | O_NOFOLLOW;
}  // namespace

PosixFiles::PosixFiles(std::string folder) : folder_(std::move(folder)) {
    if (mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST)
        throw std::system_error(errno, std::generic_category(), folder_);
    names_ = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (names_ < 0) throw std::system_error(errno, std::generic_category(), folder_);
}

PosixFiles::~PosixFiles() {
    for (const auto& [name, descriptor] : open_) close(descriptor);
    if (lock_ >= 0) close(lock_);
    close(names_);
}

Error PosixFiles::lock() {
    if (lock_ >= 0) return 0;
    lock_ = openat(names_, kLock, O_RDWR | O_CREAT | kOpen, 0600);
    if (lock_ < 0) return errno;
    if (flock(lock_, LOCK_EX | LOCK_NB) == 0) return 0;
    Error why = errno;
    close(lock_);
    lock_ = -1;
    return why;
}

Error PosixFiles::list(std::vector<std::string>& names) {
    names.clear();
    int descriptor = openat(names_, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    DIR* all = descriptor < 0 ? nullptr : fdopendir(descriptor);
    if (!all) {
        Error why = errno;
        if (descriptor >= 0) close(descriptor);
        return why;
    }
    errno = 0;
    while (dirent* one = readdir(all)) {
        std::string name = one->d_name;
        if (name != "." && name != ".." && name != kLock) names.push_back(std::move(name));
    }
    Error why = errno;
    closedir(all);
    return why;
}

Error PosixFiles::read(const std::string& name, std::string& bytes) {
    bytes.clear();
    int descriptor = openat(names_, name.c_str(), O_RDONLY | kOpen);
    if (descriptor < 0) return errno;
    char piece[65536];
    ssize_t got = 0;
    while ((got = ::read(descriptor, piece, sizeof piece)) > 0 || (got < 0 && errno == EINTR))
        if (got > 0) bytes.append(piece, std::size_t(got));
    Error why = got < 0 ? errno : 0;
    close(descriptor);
    return why;
}

Error PosixFiles::open(const std::string& name, int& descriptor) {
    auto known = open_.find(name);
    if (known != open_.end()) return descriptor = known->second, 0;
    descriptor = openat(names_, name.c_str(), O_WRONLY | O_APPEND | O_CREAT | kOpen, 0600);
    if (descriptor < 0) return errno;
    open_.emplace(name, descriptor);
    return 0;
}

void PosixFiles::forget(const std::string& name) {
    auto known = open_.find(name);
    if (known == open_.end()) return;
    close(known->second);
    open_.erase(known);
}

Error PosixFiles::append(const std::string& name, std::string_view bytes) {
    int descriptor = -1;
    if (Error why = open(name, descriptor)) return why;
    while (!bytes.empty()) {
        ssize_t put = write(descriptor, bytes.data(), bytes.size());
        if (put < 0 && errno == EINTR) continue;
        if (put < 0) return errno;
        bytes.remove_prefix(std::size_t(put));
    }
    return 0;
}

Error PosixFiles::sync(const std::string& name) {
    int descriptor = -1;
    if (Error why = open(name, descriptor)) return why;
    return fdatasync(descriptor) == 0 ? 0 : errno;
}

Error PosixFiles::rename(const std::string& from, const std::string& to) {
    forget(from);
    forget(to);
    return renameat(names_, from.c_str(), names_, to.c_str()) == 0 ? 0 : errno;
}

Error PosixFiles::remove(const std::string& name) {
    forget(name);
    return unlinkat(names_, name.c_str(), 0) == 0 ? 0 : errno;
}

Error PosixFiles::sync_names() {
    return fsync(names_) == 0 ? 0 : errno;
}

}  // namespace ochrehub::store
