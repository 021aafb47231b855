// The interface to one directory of files that a store writes through, so that tests can inject crashes and
// errors. Responsible for nothing but the calls; POSIX is behind it in a process (posix_files.h).
// Calls block as long as the disk does; not thread-safe unless an implementation says so.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ochrehub::store {

/// An errno; zero: success.
using Error = int;

/// Names are those of files in the directory, without a path.
class Files {
public:
    virtual ~Files() = default;

    /// Takes the directory for this object until its end. EWOULDBLOCK: another process holds it.
    virtual Error lock() = 0;
    virtual Error list(std::vector<std::string>& names) = 0;
    /// The whole file.
    virtual Error read(const std::string& name, std::string& bytes) = 0;
    /// Appends; creates the file where it is missing. On an error a part may have been written.
    virtual Error append(const std::string& name, std::string_view bytes) = 0;
    /// Makes what was appended durable. After an error, whatever was appended since the last success may or
    /// may not be durable.
    virtual Error sync(const std::string& name) = 0;
    virtual Error rename(const std::string& from, const std::string& to) = 0;
    virtual Error remove(const std::string& name) = 0;
    /// Makes the creation, renaming and removal of files durable.
    virtual Error sync_names() = 0;
};

}  // namespace ochrehub::store
