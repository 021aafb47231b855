// What classes, tenants, zones and kinds are called. The module knows their numbers alone.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub {

/// The names an instance's settings give, in the order that makes them indices.
struct Names {
    std::vector<std::string> classes, tenants, zones, kinds;
};

/// The place of `name` in `names`, or kNone.
inline int index_of(const std::vector<std::string>& names, std::string_view name) {
    auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? kNone : int(it - names.begin());
}

}  // namespace ochrehub
