// The servers of a day, discovery and the ways between nodes, on one loop: all that nodes talk to but
// clients.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "lab/play/datagram_relay.h"
#include "lab/play/discovery_shell.h"
#include "lab/play/node_config.h"
#include "lab/play/server_shell.h"

namespace ochrehub::lab {

class Fleet {
public:
    /// Before the loop runs. `listen`: where each node is to listen; its datagrams come to the same place.
    Fleet(Loop& loop, const Day& day, std::uint64_t seed, const std::vector<Endpoint>& listen, bool strict);

    ServerShell& servers() { return servers_; }
    DiscoveryShell& discovery() { return discovery_; }
    DatagramRelay& datagrams() { return datagrams_; }

    // All below on the loop, or before it runs.

    /// What a node is started with now. What that says of servers is noted as told to it.
    std::string config(NodeNo node, std::uint64_t seed);
    void fault(int number, bool on);
    /// A server that comes into being during the day.
    void add(ServerNo server);
    void close();

private:
    const Day& day_;
    std::vector<Endpoint> listen_;
    DiscoveryShell discovery_;
    ServerShell servers_;
    DatagramRelay datagrams_;
};

/// Calls `turn(number, on)` on the loop for each fault of the day as it begins and ends. One without an end,
/// or of no length, is never turned off.
template <class Turn>
void schedule_faults(Loop& loop, const Day& day, TimePoint start, Turn turn) {
    for (std::size_t i = 0; i < day.faults.size(); ++i) {
        const Fault& fault = day.faults[i];
        int number = int(i);
        loop.scheduler().call_at(start + fault.at, [turn, number] { turn(number, true); });
        if (fault.length > Duration{0})
            loop.scheduler().call_at(start + fault.end(), [turn, number] { turn(number, false); });
    }
}

}  // namespace ochrehub::lab
