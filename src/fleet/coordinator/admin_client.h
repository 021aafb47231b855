// One request to several coordinators at once, for a command that waits for the responses. Runs its own event
// loop on the calling thread.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

struct AdminClientSettings {
    std::string cluster;            ///< the cluster's name
    std::vector<std::string> keys;  ///< of the fleet; empty: connections aren't signed
    Duration timeout{3000};
};

/// Sends a wire::Request to each address and returns the responses (wire::Response) by address. Blocks until
/// every coordinator has responded or refused twice, at most for the timeout; those without a response are
/// missing.
std::map<std::string, std::string> send_to_each(const AdminClientSettings& settings,
                                                const std::vector<std::string>& addresses,
                                                const std::string& request);

}  // namespace ochrehub::coordinator
