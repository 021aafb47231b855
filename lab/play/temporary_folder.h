// A folder for the files of one run.
#pragma once

#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <system_error>

namespace ochrehub::lab {

class TemporaryFolder {
public:
    /// The named one, which stays; one of its own, which goes, where `name` is empty.
    explicit TemporaryFolder(const std::string& name) : own_(name.empty()) {
        if (!own_) {
            path_ = name;
            std::filesystem::create_directories(path_);
            return;
        }
        std::string made = (std::filesystem::temp_directory_path() / "ochrehub_lab.XXXXXX").string();
        if (!mkdtemp(made.data())) throw std::system_error(errno, std::generic_category(), made);
        path_ = made;
    }
    ~TemporaryFolder() {
        std::error_code ignored;
        if (own_) std::filesystem::remove_all(path_, ignored);
    }
    TemporaryFolder(const TemporaryFolder&) = delete;
    TemporaryFolder& operator=(const TemporaryFolder&) = delete;

    const std::filesystem::path& path() const { return path_; }

private:
    bool own_;
    std::filesystem::path path_;
};

}  // namespace ochrehub::lab
