// The operators' own file: a line each, `name value`, `#` before a comment. One table says of each setting
// what it is called, what it may hold and what counts where it is not given; starting, SIGHUP and `check` all
// go by it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "audit/journal.h"
#include "figures/figures.h"
#include "rewrite/rewrites.h"

namespace ochrehub {

/// What each feature is told. Without a file all of them are off.
struct OperatorSettings {
    rewrite::Rewrites rewrites;
    audit::Told audit;
    figures::Told figures;
};

struct OperatorsFile {
    struct Value {
        std::string name, value;  ///< no value: there is no default either
        int line = 0;             ///< zero: it is the default
    };
    OperatorSettings settings;
    std::vector<std::string> faults;  ///< each names its line; while there are any, the settings mean nothing
    std::vector<Value> values;        ///< all that are in force, in the table's order

    /// Where a setting was given; zero: it was not.
    int line_of(std::string_view name) const;
};

/// Reads all of it and collects its faults. `classes`, those that GW_CONFIG gives, may be null: not known.
OperatorsFile read_operators_file(const std::string& path, const std::vector<std::string>* classes);

}  // namespace ochrehub
