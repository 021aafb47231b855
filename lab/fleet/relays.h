// What stands between processes: a socket at each place that members are told of another, and one for each
// member's way to each server. Whatever crosses is handed on, late, twice or not at all, as the faults of the
// day say.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fleet/membership/datagram.h"
#include "lab/fleet/links.h"
#include "lab/play/address.h"
#include "lab/play/loop.h"

namespace ochrehub::lab::fleet {

class DatagramRelays {
public:
    using Udp = boost::asio::ip::udp;

    /// `places`: where each member sends from and listens. On the loop from its start on.
    DatagramRelays(Loop& loop, Links& links, std::vector<Udp::endpoint> places);
    ~DatagramRelays();

    /// Where others reach this member.
    std::string shown(std::size_t member) const;
    /// Up to so many of the last datagrams are sent once more.
    void replay();
    void close();
    /// Each that comes from a member, before its fate.
    std::function<void(std::size_t from, std::string_view octets)> seen;
    /// For saboteurs: may change it, or (false) withhold it.
    std::function<bool(std::size_t from, std::string& octets)> meddles;
    std::uint64_t taken() const { return taken_; }
    std::uint64_t strangers() const { return strangers_; }

private:
    static constexpr std::size_t kRemembered = 300;
    struct Port;
    struct Crossed {
        std::size_t from, to;
        std::shared_ptr<const std::string> octets;
    };
    void receive(std::size_t to);
    void deliver(const Crossed& one);

    Loop& loop_;
    Links& links_;
    std::vector<Udp::endpoint> places_;
    std::vector<std::unique_ptr<Port>> ports_;
    std::deque<Crossed> remembered_;
    std::uint64_t taken_ = 0, strangers_ = 0;
    bool closed_ = false;
};

/// Connections of one process to one other, byte for byte, each direction by what its own link does now.
class ConnectionRelay {
public:
    ConnectionRelay(Loop& loop, const Links& links, int from, int to, Endpoint target,
                    const boost::asio::ip::address_v4& own);
    ~ConnectionRelay();

    Endpoint shown() const { return at_; }
    /// A fault has begun or ended: what stood still may go on.
    void look_again();
    void close();
    std::uint64_t resets() const { return resets_; }

private:
    class Pair;
    void accept();

    Loop& loop_;
    const Links& links_;
    int from_, to_;
    Endpoint target_, at_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<Pair>> pairs_;
    std::uint64_t resets_ = 0;
};

}  // namespace ochrehub::lab::fleet
