#include "fleet/coordinator/admin_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/asio_scheduler.h"
#include "fleet/channel/peer_connections.h"
#include "fleet/coordinator/random_id.h"

namespace ochrehub::coordinator {
namespace {

/// Connection attempts that fail before a coordinator counts as unreachable.
constexpr int kMaxFailedAttempts = 2;

channel::PeerConnectionsSettings peer_connections_settings(const AdminClientSettings& settings) {
    channel::PeerConnectionsSettings peer_connections;
    peer_connections.channel.self.name = "command";
    peer_connections.channel.self.instance = random_id();
    peer_connections.channel.cluster = fleet::fingerprint(settings.cluster);
    peer_connections.channel.keys = settings.keys;
    return peer_connections;
}

/// The request, until each address has responded or is unreachable.
class Broadcast {
public:
    Broadcast(const AdminClientSettings& settings, const std::vector<std::string>& addresses,
              const std::string& request)
        : addresses_(addresses),
          request_(request),
          scheduler_(io_),
          peer_connections_(io_, scheduler_, std::nullopt, peer_connections_settings(settings), random_id()) {
        peer_connections_.on_connected = [this](const channel::Peer& peer) {
            peer_connections_.send(peer.instance, channel::MessageKind::Request, request_);
        };
        peer_connections_.on_message = [this](const channel::Peer& peer, channel::MessageKind kind,
                                              std::string body) {
            if (kind == channel::MessageKind::Response) receive(peer.instance, std::move(body));
        };
        peer_connections_.on_dial_failed = [this](const std::string& address, channel::Error) {
            ++failed_attempts_[address];
            stop_if_complete();
        };
        scheduler_.call_at(scheduler_.now() + settings.timeout, [this] { io_.stop(); });
    }

    std::map<std::string, std::string> run() {
        for (const std::string& address : addresses_) peer_connections_.dial(address);
        io_.run();
        peer_connections_.close();
        io_.restart();
        io_.poll();
        return std::move(responses_);
    }

private:
    void receive(std::uint64_t instance, std::string body) {
        auto from = std::find_if(addresses_.begin(), addresses_.end(), [&](const std::string& address) {
            return peer_connections_.instance_at(address) == instance;
        });
        if (from == addresses_.end()) return;
        responses_[*from] = std::move(body);
        stop_if_complete();
    }

    void stop_if_complete() {
        std::size_t completed = responses_.size();
        for (const auto& [address, attempts] : failed_attempts_)
            if (attempts >= kMaxFailedAttempts && !responses_.contains(address)) ++completed;
        if (completed >= addresses_.size()) io_.stop();
    }

    const std::vector<std::string>& addresses_;
    const std::string& request_;
    boost::asio::io_context io_{1};
    AsioScheduler scheduler_;
    channel::PeerConnections peer_connections_;
    std::map<std::string, std::string> responses_;  // by address
    std::map<std::string, int> failed_attempts_;    // by address
};

}  // namespace

std::map<std::string, std::string> send_to_each(const AdminClientSettings& settings,
                                                const std::vector<std::string>& addresses,
                                                const std::string& request) {
    return Broadcast(settings, addresses, request).run();
}

}  // namespace ochrehub::coordinator
