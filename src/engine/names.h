// The names of classes, tenants, zones and kinds. The decision core knows them by index only.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub {

/// The names in the settings of a node, in the order of their indices.
struct Names {
    std::vector<std::string> classes, tenants, zones, kinds;
};

/// The index of `name` in `names`, or kNone.
inline int index_of(const std::vector<std::string>& names, std::string_view name) {
    auto it = std::find(names.begin(), names.end(), name);
    return it == names.end() ? kNone : int(it - names.begin());
}

}  // namespace ochrehub
