// The file through which what operators said passes from one process of a node to the next, and between two
// that live at once.
#pragma once

#include <sys/types.h>
#include <time.h>

#include <string>

#include "takeover/manual_overrides.h"

namespace ochrehub::takeover {

class Store {
public:
    /// `folder` may be empty: then nothing is kept. A file whose process has been gone for long is not used.
    /// What is wrong with the file is logged once.
    Store(const std::string& folder, const std::string& prefix, std::string node, Duration cold_time);

    /// Reads what another process has written meanwhile; true where it differs from what was known.
    bool refresh();
    /// False: nothing has changed. On return it is in the file, or was logged as not kept.
    bool take_out(const std::string& id);
    bool put_back(const std::string& id);
    const ManualOverrides& overrides() const { return overrides_; }
    /// Says that this process lives: to be called every second or so.
    void beat() const;

private:
    template <class Change>
    bool change(Change change);
    void load(bool fresh_only);
    bool write() const;
    bool changed_on_disk();

    std::string path_, lock_path_, node_;
    Duration cold_time_;
    ManualOverrides overrides_;
    ino_t inode_ = 0;
    timespec stamp_{};
    bool complained_ = false;
};

}  // namespace ochrehub::takeover
