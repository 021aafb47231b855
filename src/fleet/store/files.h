// The seam for files: what a store asks of a disk. POSIX behind it in a process; in tests a disk that tears,
// loses, fills up and fails at call N. Calls block; whoever owns a store gives it a thread of its own.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ochrehub::store {

/// Zero, or an errno. Names are of one folder, without a path.
using Error = int;

class Files {
public:
    virtual ~Files() = default;

    /// Nobody else has the folder from now on, until this is gone. EWOULDBLOCK: somebody has.
    virtual Error lock() = 0;
    virtual Error list(std::vector<std::string>& names) = 0;
    /// All of it.
    virtual Error read(const std::string& name, std::string& bytes) = 0;
    /// At its end; made where it is missing. Some of it may be there though it failed.
    virtual Error append(const std::string& name, std::string_view bytes) = 0;
    /// What was appended outlives a crash from here on. Once that failed, nothing is known of what was
    /// appended since the last.
    virtual Error sync(const std::string& name) = 0;
    virtual Error rename(const std::string& from, const std::string& to) = 0;
    virtual Error remove(const std::string& name) = 0;
    /// Names that were made, changed and removed outlive a crash from here on.
    virtual Error sync_names() = 0;
};

}  // namespace ochrehub::store
