// The operators' own file: a line each, `name value`, `#` before a comment. It is read by tables of settings;
// a setting's name is its section's and its own joined by `_`, and the switch of a feature has the section's
// alone.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/table.h"

namespace ochrehub::config {

struct LineFile {
    struct Value {
        std::string name, value;  ///< no value: there is no default either
        int line = 0;             ///< zero: it is the default
    };
    std::vector<std::string> faults;  ///< each names its line; while there are any, nothing counts
    std::vector<Value> values;        ///< all that are in force, in the tables' order

    /// Where a setting was given; zero: it was not.
    int line_of(std::string_view name) const;
};

/// Reads all of it into what the sections are bound to, and collects its faults.
LineFile read_line_file(const std::string& path, const std::vector<Section>& sections);
/// What counts where there is no file.
void take_defaults(const std::vector<Section>& sections);

}  // namespace ochrehub::config
