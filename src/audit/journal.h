// The record of who started, stopped or reloaded this process: writes the lines of one chain.
#pragma once

#include <string>
#include <string_view>

#include "audit/chain.h"
#include "config/table.h"

namespace ochrehub::audit {

struct Told {
    bool on = false;
    std::string file;  ///< empty: standard error
    bool operator==(const Told&) const = default;
};

config::Table<Told> settings();

class Journal {
public:
    /// Opens the file, if one is told. Throws std::runtime_error saying why not, worded to follow its name.
    explicit Journal(const Told& told);
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;
    ~Journal();

    /// Appends a line in one write. Not under the log's rate limit: a line left out would break the chain.
    void record(std::string_view event, std::string_view by, std::string_view detail);

private:
    void write(std::string_view text);

    int file_ = -1;
    bool torn_ = false;  // a line could only be written in part
    Chain chain_;
};

/// Who runs this process, by name where it has one.
std::string user();

}  // namespace ochrehub::audit
