// Which processes of one node there are now: each holds a lock on one of two files, and sees whether the
// other is held. The kernel lets go of it however a process ends.
#pragma once

#include <string>

namespace ochrehub::takeover {

class InstanceLock {
public:
    /// In `folder`, under names that begin with `prefix`. Where nothing can be locked there the process is
    /// alone.
    InstanceLock(const std::string& folder, const std::string& prefix);
    ~InstanceLock();
    InstanceLock(const InstanceLock&) = delete;
    InstanceLock& operator=(const InstanceLock&) = delete;

    /// Another process of this node lives. One that cannot be seen does not count.
    bool twin() const;
    /// This process holds a place; else there are two already, or the folder takes no files.
    bool placed() const { return mine_ >= 0; }

private:
    int files_[2] = {-1, -1};
    int mine_ = -1;
};

}  // namespace ochrehub::takeover
