#include "lab/play/fleet.h"

namespace ochrehub::lab {
namespace {

std::vector<DatagramRelay::Udp::endpoint> same_place(const std::vector<Endpoint>& listen) {
    std::vector<DatagramRelay::Udp::endpoint> out;
    for (const Endpoint& at : listen) out.emplace_back(at.address(), at.port());
    return out;
}

}  // namespace

Fleet::Fleet(Loop& loop, const Day& day, std::uint64_t seed, const std::vector<Endpoint>& listen, bool strict)
    : day_(day),
      listen_(listen),
      discovery_(loop, day, loop.now(), seed ^ 1,
                 [this](ServerNo server, NodeNo node) { return text_of(servers_.address(server, node)); }),
      servers_(loop, day, seed ^ 2, [this](const ServerIs& what) { discovery_.hear(what); }, {strict}),
      datagrams_(loop, day, seed ^ 3, same_place(listen)) {
    servers_.begin();
}

std::string Fleet::config(NodeNo node, std::uint64_t seed) {
    NodeAddresses at;
    at.listen = listen_[std::size_t(node)];
    at.discovery = discovery_.address(node);
    at.peer_listen = text_of(at.listen);
    at.peers_all = datagrams_.all();
    for (std::size_t i = 0; i < listen_.size(); ++i) at.peers.push_back(datagrams_.peer(NodeNo(i)));
    return node_config(day_, node, at, seed, discovery_.tell_known(node));
}

void Fleet::fault(int number, bool on) {
    servers_.fault(number, on);
    discovery_.fault(number, on);
    datagrams_.fault(number, on);
}

void Fleet::add(ServerNo server) {
    servers_.start(server, !day_.servers[std::size_t(server)].starts_cold);
}

void Fleet::close() {
    servers_.close();
    discovery_.close();
}

}  // namespace ochrehub::lab
