// `ochrehub check FILE`: all that is wrong with the operators' file and GW_CONFIG, then every value in force.
#pragma once

#include <string>

namespace ochrehub {

/// Prints to standard output. Opens no socket and no file but those two. Returns the exit status.
int check(const std::string& path);

}  // namespace ochrehub
