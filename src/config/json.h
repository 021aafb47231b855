// JSON as the simulator's "path=value" pairs, so that one reader serves both.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace ochrehub {

/// Nested names are joined by dots, lists of objects get a ".count", lists of plain values are joined by
/// commas (WIRE section 14). Throws std::runtime_error on what is no JSON object.
std::vector<std::string> flatten_json(std::string_view text);

/// The pairs below `prefix`, without it.
std::vector<std::string_view> pairs_below(const std::vector<std::string>& pairs, std::string_view prefix);

}  // namespace ochrehub
