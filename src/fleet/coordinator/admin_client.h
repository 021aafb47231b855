// An ask to some keepers at once, from a command that waits for the answers.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

struct AdminClientSettings {
    std::string cluster;
    std::vector<std::string> keys;
    Duration timeout{3000};
};

/// The answers (wire::Response) of those that gave one in time, by address. Blocks for no longer than
/// `timeout`.
std::map<std::string, std::string> send_to_each(const AdminClientSettings& settings,
                                                const std::vector<std::string>& addresses,
                                                const std::string& ask);

}  // namespace ochrehub::coordinator
