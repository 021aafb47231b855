// The way of datagrams between nodes: each is taken at the address of the node that it is for, and handed on
// from its sender's, when and as often as the network lets it.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lab/model/cuts.h"
#include "lab/model/datagrams.h"
#include "lab/play/loop.h"

namespace ochrehub::lab {

class DatagramRelay {
public:
    using Udp = boost::asio::ip::udp;
    static constexpr std::size_t kLongest = 256;

    /// `listen`: where each node gets its datagrams (and sends them from). Throws AddressError for what is
    /// not loopback. Relays from the loop's start on.
    DatagramRelay(Loop& loop, const Day& day, std::uint64_t seed, std::vector<Udp::endpoint> listen);
    ~DatagramRelay();

    /// Where others reach this node.
    std::string peer(NodeNo node) const;
    /// Reaches all but the sender.
    std::string all() const;
    void fault(int number, bool on);
    /// Taken from nodes up to now, whatever became of them.
    std::uint64_t taken() const { return taken_; }
    /// Longer than is allowed, by node: dropped, and a broken rule.
    const std::vector<std::uint64_t>& too_long() const { return too_long_; }

private:
    struct Port;

    void receive(std::size_t port);
    void relay(NodeNo from, NodeNo to, const std::string& bytes);
    std::string bound(std::size_t port) const;

    Loop& loop_;
    const Day& day_;
    Datagrams core_;
    Cuts cuts_;
    std::vector<Udp::endpoint> listen_;
    std::vector<std::unique_ptr<Port>> ports_;  ///< one a node, and one for all of them
    std::set<int> faults_;
    std::vector<std::uint64_t> too_long_;
    std::uint64_t taken_ = 0;
};

}  // namespace ochrehub::lab
