// Files of a directory on a real disk.
// Responsible for descriptors and the directory's lock. Not thread-safe; blocks as long as the disk does.
#pragma once

#include <map>
#include <string>

#include "fleet/store/files.h"

namespace ochrehub::store {

/// An open file descriptor, or none; closes it at its end.
class FileDescriptor {
public:
    explicit FileDescriptor(int descriptor = -1) : descriptor_(descriptor) {}
    ~FileDescriptor() { reset(); }
    FileDescriptor(FileDescriptor&& other) noexcept : descriptor_(other.release()) {}
    FileDescriptor& operator=(FileDescriptor&& other) noexcept;
    FileDescriptor(const FileDescriptor&) = delete;
    FileDescriptor& operator=(const FileDescriptor&) = delete;

    bool valid() const { return descriptor_ >= 0; }
    int get() const { return descriptor_; }
    int release();
    void reset();

private:
    int descriptor_;  ///< negative: none
};

class PosixFiles : public Files {
public:
    /// Creates the directory where it is missing. Throws std::system_error with its path where it cannot.
    explicit PosixFiles(const std::string& path);

    Error lock() override;
    Error list(std::vector<std::string>& names) override;
    Error read(const std::string& name, std::string& bytes) override;
    Error append(const std::string& name, std::string_view bytes) override;
    Error sync(const std::string& name) override;
    Error rename(const std::string& from, const std::string& to) override;
    Error remove(const std::string& name) override;
    Error sync_names() override;

private:
    Error open_for_append(const std::string& name, int& descriptor);

    FileDescriptor directory_;
    FileDescriptor lock_;                         ///< valid while the lock is held
    std::map<std::string, FileDescriptor> open_;  ///< files that are being appended to
};

}  // namespace ochrehub::store
