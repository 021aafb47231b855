#include "lab/play/datagram_relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>

#include "lab/play/address.h"

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr unsigned kMachine = 12;

}  // namespace

struct DatagramRelay::Port {
    explicit Port(asio::io_context& io) : socket(io) {}
    Udp::socket socket;
    Udp::endpoint from;
    std::array<char, 2048> bytes{};
};

DatagramRelay::DatagramRelay(Loop& loop, const Day& day, std::uint64_t seed,
                             std::vector<Udp::endpoint> listen)
    : loop_(loop), day_(day), core_(seed), cuts_(day), listen_(std::move(listen)), too_long_(listen_.size()) {
    for (const Udp::endpoint& node : listen_) must_be_loopback(node.address());
    core_.trouble({day.network.datagram_loss, 0, 0, {}});
    for (std::size_t i = 0; i <= listen_.size(); ++i) {
        Port& port = *ports_.emplace_back(std::make_unique<Port>(loop.io()));
        port.socket.open(Udp::v4());
        port.socket.bind({machine(kMachine), 0});
        port.socket.non_blocking(true);
        receive(i);
    }
}

DatagramRelay::~DatagramRelay() = default;

std::string DatagramRelay::bound(std::size_t port) const {
    Udp::endpoint at = ports_[port]->socket.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
}

std::string DatagramRelay::peer(NodeNo node) const {
    return bound(std::size_t(node));
}
std::string DatagramRelay::all() const {
    return bound(listen_.size());
}

void DatagramRelay::receive(std::size_t number) {
    Port& port = *ports_[number];
    port.socket.async_receive_from(asio::buffer(port.bytes), port.from,
                                   [this, number](error_code error, std::size_t got) {
                                       if (error == asio::error::operation_aborted) return;
                                       Port& at = *ports_[number];
                                       auto sender = std::find(listen_.begin(), listen_.end(), at.from);
                                       if (!error && sender != listen_.end()) {
                                           auto from = NodeNo(sender - listen_.begin());
                                           std::string bytes(at.bytes.data(), got);
                                           ++taken_;
                                           if (got > kLongest)
                                               ++too_long_[std::size_t(from)];
                                           else if (number < listen_.size())
                                               relay(from, NodeNo(number), bytes);
                                           else
                                               for (std::size_t to = 0; to < listen_.size(); ++to)
                                                   if (NodeNo(to) != from) relay(from, NodeNo(to), bytes);
                                       }
                                       receive(number);
                                   });
}

void DatagramRelay::relay(NodeNo from, NodeNo to, const std::string& bytes) {
    auto zone = [this](NodeNo node) { return std::size_t(std::max(0, day_.nodes[std::size_t(node)].zone)); };
    Place here{Place::Of::Node, from, int(zone(from))}, there{Place::Of::Node, to, int(zone(to))};
    if (cuts_.cut(here, there)) return;
    const auto& ms = day_.network.ms;
    Duration base{};
    if (zone(from) < ms.size() && zone(to) < ms[zone(from)].size()) base = Duration{ms[zone(from)][zone(to)]};
    for (Duration takes : core_.fate(base, day_.network.jitter)) {
        auto held = std::make_shared<std::string>(bytes);
        loop_.scheduler().call_at(loop_.now() + takes, [this, from, to, held] {
            error_code ignored;  // nobody listens there, say
            ports_[std::size_t(from)]->socket.send_to(asio::buffer(*held), listen_[std::size_t(to)], 0,
                                                      ignored);
        });
    }
}

void DatagramRelay::fault(int number, bool on) {
    const Fault& fault = day_.faults[std::size_t(number)];
    if (fault.kind == FaultKind::Partition) cuts_.set(number, on);
    if (fault.kind != FaultKind::Datagrams) return;
    if (on)
        faults_.insert(number);
    else
        faults_.erase(number);
    DatagramTrouble now{day_.network.datagram_loss, 0, 0, {}};
    for (int each : faults_) {
        const Fault& f = day_.faults[std::size_t(each)];
        now.lost = 1 - (1 - now.lost) * (1 - f.size);
        now.doubled = std::max(now.doubled, f.doubled);
        now.reordered = std::max(now.reordered, f.reordered);
        now.late = std::max(now.late, f.late);
    }
    core_.trouble(now);
}

}  // namespace ochrehub::lab
