// What the simulator's wire and the real node read alike: settings, list entries and load reports.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/pairs.h"
#include "engine/names.h"
#include "ochrehub/balancer.h"

namespace ochrehub {

/// Reads ProfileData pairs ("path=value"). Throws std::runtime_error naming a missing or bad setting, or
/// reports all of them.
Settings parse_settings(const std::vector<std::string_view>& pairs, Names& names, Report* report = nullptr);

/// A list entry in this zone and of this kind; the caller fills in the rest.
EndpointEntry make_entry(const Names& names, std::string_view zone, std::string_view kind);

/// Zero means that it started long ago.
void set_last_start(EndpointEntry& entry, double ms);

/// Reads "name:value,..." with `mark` between name and value; skips what it does not know, also a "TEXT " in
/// front. Throws std::runtime_error on what is neither.
LoadReport parse_report(std::string_view text, char separator);

}  // namespace ochrehub
