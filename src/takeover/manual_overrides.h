// What operators have said of servers by hand, and its form in a file: whole, or not to be used.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "ochrehub/balancer.h"

namespace ochrehub::takeover {

struct ManualOverrides {
    struct Interval {
        TimePoint from{}, till{};
        bool operator==(const Interval&) const = default;
    };
    std::map<std::string, TimePoint> out;  ///< ids of servers that are out, and since when
    std::map<std::string, Interval> back;  ///< from when till when those were out that are no more

    /// False: nothing changes.
    bool take_out(const std::string& id, TimePoint now);
    bool put_back(const std::string& id, TimePoint now);
    /// Drops returns that are older than `age`: those servers are warm.
    void forget(TimePoint now, Duration age);
    bool operator==(const ManualOverrides&) const = default;
};

/// `node`: its name, which must be that of whoever reads it.
std::string written(const ManualOverrides& overrides, std::string_view node);
/// Nothing where `text` is cut, changed, of another version or another node's; `why` says which.
std::optional<ManualOverrides> read(std::string_view text, std::string_view node, std::string& why);

}  // namespace ochrehub::takeover
