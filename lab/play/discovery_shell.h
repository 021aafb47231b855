// Discovery on sockets, one address a node, round its core.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "lab/model/cuts.h"
#include "lab/model/discovery.h"
#include "lab/play/address.h"
#include "lab/play/link.h"
#include "lab/play/loop.h"

namespace ochrehub::lab {

class DiscoveryShell {
public:
    using AddressOf = std::function<std::string(ServerNo, NodeNo)>;
    /// Listens from here on.
    DiscoveryShell(Loop& loop, const Day& day, TimePoint start, std::uint64_t seed, AddressOf address_of);
    ~DiscoveryShell();

    // All below on the loop, or before it runs.

    Endpoint address(NodeNo node) const { return addresses_[std::size_t(node)]->at(); }
    /// What has become of a server.
    void hear(const ServerIs& what);
    /// The list as discovery knows it now, in the form of its answers; noted as told to the node.
    std::string tell_known(NodeNo node);
    void fault(int number, bool on);
    /// From now on it listens at new addresses too ...
    void move();
    /// ... and no more at those before them.
    void leave_old();
    void close();

private:
    class Connection;
    friend class Connection;
    struct Listener {
        std::unique_ptr<Held> held;
        std::optional<boost::asio::ip::tcp::acceptor> acceptor;
    };

    void open_listeners();
    void accept(std::size_t listener, NodeNo node);
    void event(const DiscoveryEvent& event);
    void carry_out(const DiscoveryAction& action);
    void told(const ListOut& list);
    std::string json(const ListOut& list, NodeNo node) const;
    Passage passage(NodeNo node) const;
    void down_or_stale();

    Loop& loop_;
    const Day& day_;
    AddressOf address_of_;
    Discovery core_;
    Cuts cuts_;
    std::vector<std::unique_ptr<Listener>> listeners_;  ///< a set for all nodes after the other
    std::vector<Held*> addresses_;                      ///< where each node finds it now
    std::map<ListCall, std::shared_ptr<Connection>> calls_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::set<TimePoint> wakes_;
    std::set<int> faults_;
    ListCall last_call_ = 0;
    bool closed_ = false;
};

}  // namespace ochrehub::lab
