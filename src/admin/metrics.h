// The counters in Prometheus' text format.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "engine/counters.h"

namespace ochrehub::admin {

/// `classes`: their names, in the order of the counters.
std::string metrics(const Counters& counters, const std::vector<std::string>& classes);

/// A label's value between its quotes.
std::string escaped(std::string_view text);

}  // namespace ochrehub::admin
