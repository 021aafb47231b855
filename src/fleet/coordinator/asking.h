// An ask to some keepers at once, from a command that waits for the answers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

struct AskSettings {
    std::string cluster;
    std::vector<std::string> keys;
    Duration patience{3000};
};

/// The answers (wire::Answer) of those that gave one in time, by address. Blocks for no longer than
/// `patience`.
std::map<std::string, std::string> ask_each(const AskSettings& settings,
                                            const std::vector<std::string>& addresses,
                                            const std::string& ask);

}  // namespace ochrehub::coordinator
