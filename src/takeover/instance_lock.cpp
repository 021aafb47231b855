#include "takeover/instance_lock.h"

#include <fcntl.h>
#include <unistd.h>

namespace ochrehub::takeover {
namespace {

struct flock whole_file(short type) {
    struct flock lock {};
    lock.l_type = type;
    lock.l_whence = SEEK_SET;
    return lock;
}

}  // namespace

// Locks of open file descriptions: asking whether one is held takes none, so two that ask do not meet each
// other.
InstanceLock::InstanceLock(const std::string& folder, const std::string& prefix) {
    for (int i = 0; i < 2; ++i) {
        std::string path = folder + "/" + prefix + (i == 0 ? ".a" : ".b");
        files_[i] = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        struct flock lock = whole_file(F_WRLCK);
        if (mine_ < 0 && files_[i] >= 0 && fcntl(files_[i], F_OFD_SETLK, &lock) == 0) mine_ = i;
    }
}

InstanceLock::~InstanceLock() {
    for (int file : files_)
        if (file >= 0) close(file);
}

bool InstanceLock::twin() const {
    for (int i = 0; i < 2; ++i) {
        if (i == mine_ || files_[i] < 0) continue;
        struct flock lock = whole_file(F_WRLCK);
        if (fcntl(files_[i], F_OFD_GETLK, &lock) == 0 && lock.l_type != F_UNLCK) return true;
    }
    return false;
}

}  // namespace ochrehub::takeover
