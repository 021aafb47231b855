#include "fleet/store/posix_files.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <system_error>
#include <utility>

namespace ochrehub::store {
namespace {

constexpr const char* kLockName = "LOCK";
constexpr int kOpenFlags = O_CLOEXEC | O_NOFOLLOW;
constexpr mode_t kDirectoryMode = 0700;
constexpr mode_t kFileMode = 0600;

struct CloseDirectory {
    void operator()(DIR* stream) const { closedir(stream); }
};
using DirectoryStream = std::unique_ptr<DIR, CloseDirectory>;

[[noreturn]] void throw_errno(const std::string& path) {
    throw std::system_error(errno, std::generic_category(), path);
}

}  // namespace

// ---- FileDescriptor

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
    if (this == &other) return *this;
    reset();
    descriptor_ = other.release();
    return *this;
}

int FileDescriptor::release() {
    return std::exchange(descriptor_, -1);
}

void FileDescriptor::reset() {
    if (valid()) close(release());
}

// ---- PosixFiles

PosixFiles::PosixFiles(const std::string& path) {
    if (mkdir(path.c_str(), kDirectoryMode) != 0 && errno != EEXIST) throw_errno(path);
    directory_ = FileDescriptor(open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!directory_.valid()) throw_errno(path);
}

Error PosixFiles::lock() {
    if (lock_.valid()) return 0;
    FileDescriptor file(openat(directory_.get(), kLockName, O_RDWR | O_CREAT | kOpenFlags, kFileMode));
    if (!file.valid()) return errno;
    if (flock(file.get(), LOCK_EX | LOCK_NB) != 0) return errno;
    lock_ = std::move(file);
    return 0;
}

Error PosixFiles::list(std::vector<std::string>& names) {
    names.clear();
    FileDescriptor descriptor(openat(directory_.get(), ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (!descriptor.valid()) return errno;
    DirectoryStream stream(fdopendir(descriptor.get()));
    if (!stream) return errno;
    descriptor.release();  // the stream owns it from here on
    errno = 0;
    while (const dirent* file = readdir(stream.get())) {
        std::string name = file->d_name;
        if (name != "." && name != ".." && name != kLockName) names.push_back(std::move(name));
    }
    return errno;
}

Error PosixFiles::read(const std::string& name, std::string& bytes) {
    constexpr std::size_t kChunkBytes = 65536;
    bytes.clear();
    FileDescriptor file(openat(directory_.get(), name.c_str(), O_RDONLY | kOpenFlags));
    if (!file.valid()) return errno;
    std::array<char, kChunkBytes> chunk;
    for (;;) {
        ssize_t count = ::read(file.get(), chunk.data(), chunk.size());
        if (count == 0) return 0;
        if (count > 0)
            bytes.append(chunk.data(), std::size_t(count));
        else if (errno != EINTR)
            return errno;
    }
}

Error PosixFiles::open_for_append(const std::string& name, int& descriptor) {
    auto known = open_.find(name);
    if (known == open_.end()) {
        int flags = O_WRONLY | O_APPEND | O_CREAT | kOpenFlags;
        FileDescriptor file(openat(directory_.get(), name.c_str(), flags, kFileMode));
        if (!file.valid()) return errno;
        known = open_.emplace(name, std::move(file)).first;
    }
    descriptor = known->second.get();
    return 0;
}

Error PosixFiles::append(const std::string& name, std::string_view bytes) {
    int descriptor = -1;
    if (Error error = open_for_append(name, descriptor)) return error;
    while (!bytes.empty()) {
        ssize_t written = write(descriptor, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) continue;
        if (written < 0) return errno;
        bytes.remove_prefix(std::size_t(written));
    }
    return 0;
}

Error PosixFiles::sync(const std::string& name) {
    int descriptor = -1;
    if (Error error = open_for_append(name, descriptor)) return error;
    return fdatasync(descriptor) == 0 ? 0 : errno;
}

Error PosixFiles::rename(const std::string& from, const std::string& to) {
    open_.erase(from);
    open_.erase(to);
    return renameat(directory_.get(), from.c_str(), directory_.get(), to.c_str()) == 0 ? 0 : errno;
}

Error PosixFiles::remove(const std::string& name) {
    open_.erase(name);
    return unlinkat(directory_.get(), name.c_str(), 0) == 0 ? 0 : errno;
}

Error PosixFiles::sync_names() {
    return fsync(directory_.get()) == 0 ? 0 : errno;
}

}  // namespace ochrehub::store
