// Decoding of settings, list entries and load reports, common to the simulator and the real node.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/pairs.h"
#include "engine/names.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

/// Reads ProfileData pairs ("path=value") and fills in `names`. Missing and invalid settings are added to
/// `report`; without one, the first throws std::runtime_error with its name.
Settings parse_settings(const std::vector<std::string_view>& pairs, Names& names, Report* report = nullptr);

/// Returns a list entry with this zone and kind; the caller fills in the other fields.
EndpointEntry make_entry(const Names& names, std::string_view zone, std::string_view kind);

/// `ms`: start of the endpoint's process on the node's clock; zero: it started long ago.
void set_last_start(EndpointEntry& entry, double ms);

/// Reads "name:value,..." with `separator` between name and value. Skips unknown names and a "TEXT " before a
/// name. Throws std::runtime_error on a pair without separator or a value that is not a number.
LoadReport parse_report(std::string_view text, char separator);

}  // namespace ochrehub
