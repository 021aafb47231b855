// Results as one HTML page that needs nothing else: no network, no script.
#pragma once

#include <string>
#include <vector>

#include "lab/result/result.h"

namespace ochrehub::lab {

/// The page for runs side by side. A run of several seeds is shown by its means, with the least and the
/// greatest about them. Throws std::runtime_error where there is nothing to show, or not a name for each run.
std::string report_html(const std::vector<std::vector<Result>>& runs, const std::vector<std::string>& names);

/// Writes it as index.html into the folder, which is made where it is missing. Throws std::runtime_error.
void write_report(const std::vector<std::vector<Result>>& runs, const std::vector<std::string>& names,
                  const std::string& folder);

}  // namespace ochrehub::lab
