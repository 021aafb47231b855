// The connections of a process to other processes of its fleet: a listener, and connections to a list of
// addresses that may change at run time. Between two processes one connection is used, whichever side dialed
// it (`newer_stays` decides if both did). Peers that connect here are reported and can be sent messages,
// whether their address is in the list or not. Runs `Channel` and `Dialer` with sockets, timers and nonces;
// its only own decision is how many connections it accepts.
//
// Everything runs on the thread of its io_context, callbacks included. A callback may call any function but
// the destructor. Memory of a connection: about 2 KB, one incomplete frame, and the unwritten bytes in chunks
// of 64 KiB, so that a stalled reader costs little more than `max_queued_bytes`. Messages sent before
// `on_disconnected` may or may not have arrived; those after the next `on_connected` arrive in order, each
// once.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/scheduler.h"
#include "fleet/channel/channel.h"
#include "fleet/channel/dialer.h"

namespace ochrehub::channel {

struct PeerConnectionsSettings {
    Settings channel;  ///< its nonce is replaced by a random one for each connection
    DialSettings dial;
    /// Established connections that peers dialed; further ones are closed as Full.
    std::size_t max_accepted_peers = 256;
    /// Accepted connections before their handshake; if there are more, the oldest is closed as Full.
    std::size_t max_unauthenticated = 64;
};

class PeerConnections {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    /// Read from one connection before other connections get their turn.
    static constexpr std::size_t kMaxReadBytes = 64 * 1024;

    /// `io` and `scheduler` must outlive it; handlers that they run after its destruction do nothing. Listens
    /// from construction on (port 0: any free port); without an address it only dials. Throws
    /// boost::system::system_error if it can't listen. `seed` is for the random part of the dial backoff.
    PeerConnections(boost::asio::io_context& io, Scheduler& scheduler, const std::optional<Endpoint>& listen,
                    PeerConnectionsSettings settings, std::uint64_t seed);
    ~PeerConnections();
    PeerConnections(const PeerConnections&) = delete;
    PeerConnections& operator=(const PeerConnections&) = delete;

    /// "192.0.2.7:4000" or "[2001:db8::7]:4000", no host names; nullopt for anything else.
    static std::optional<Endpoint> parse_endpoint(std::string_view address);
    /// The maximum number of file descriptors with this number of addresses to dial.
    static constexpr std::size_t max_descriptors(const PeerConnectionsSettings& settings,
                                                 std::size_t addresses) {
        return 2 + settings.max_accepted_peers + settings.max_unauthenticated +
               addresses;  // 2: the listener, and the connection being accepted
    }

    Endpoint listen_address() const { return listen_address_; }

    /// Adds an address to keep a connection to. False: the address is invalid.
    bool dial(const std::string& address);
    /// Removes the address and closes the connection dialed to it.
    void drop(const std::string& address);
    /// Sends to the process with this instance. False: there is no connection to it, the message is too long,
    /// or the queue is full; nothing was sent. True: the message arrives unless `on_disconnected` is called.
    bool send(std::uint64_t instance, MessageKind kind, std::string body);
    /// For connections opened after the call.
    void set_keys(std::vector<std::string> keys) { settings_.channel.keys = std::move(keys); }
    /// Closes all connections at once. No callback is called any more.
    void close();

    std::function<void(const Peer&)> on_connected;
    /// Also called before the `on_connected` of a connection that replaces this one.
    std::function<void(const Peer&, Error)> on_disconnected;
    std::function<void(const Peer&, MessageKind, std::string body)> on_message;
    std::function<void(const std::string& address, Error)> on_dial_failed;

    /// The instance of the connected process at this address of the list. Zero: none is connected.
    std::uint64_t instance_at(const std::string& address) const { return dialer_.instance_at(address); }
    std::size_t peer_count() const { return peers_.size(); }
    std::size_t connection_count() const { return connections_.size(); }
    std::size_t unauthenticated_count() const { return unauthenticated_; }
    /// Bytes for this process that are not yet written to its socket.
    std::size_t queued_bytes(std::uint64_t instance) const;
    /// Connections that were closed with this error.
    std::uint64_t ended_count(Error error) const { return ended_counts_[std::size_t(error)]; }
    /// Messages that `send` rejected with this error: Closed, TooLong or Full.
    std::uint64_t rejected_count(Error error) const { return rejected_counts_[std::size_t(error)]; }

private:
    class Connection;
    static constexpr std::size_t kErrors = std::size_t(Error::Unreachable) + 1;

    void accept();
    void notify_dialer(const Dialer::Event& event);
    void carry_out(const Dialer::Action& action);
    void connect(const std::string& address);
    std::shared_ptr<Connection> make_connection(boost::asio::ip::tcp::socket socket,
                                                const std::string& address);
    void handle_connected(const std::shared_ptr<Connection>& connection);
    void end(const std::shared_ptr<Connection>& connection, Error error);
    std::string nonce();

    boost::asio::io_context& io_;
    Scheduler& scheduler_;
    PeerConnectionsSettings settings_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Endpoint listen_address_;
    Dialer dialer_;
    std::deque<Dialer::Event> dialer_events_;
    TimerId dial_timer_ = 0, accept_timer_ = 0;
    std::uint64_t next_id_ = 0;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // by id, oldest first
    std::map<std::uint64_t, std::shared_ptr<Connection>> peers_;        // the connection in use, by instance
    std::map<std::string, std::weak_ptr<Connection>> dialed_;
    std::size_t unauthenticated_ = 0, accepted_peers_ = 0;
    std::vector<char> read_buffer_;  // shared: one connection reads at a time
    std::array<std::uint64_t, kErrors> ended_counts_{}, rejected_counts_{};
    bool closed_ = false;
    std::shared_ptr<bool> alive_token_ = std::make_shared<bool>(true);  // expires with this object
};

}  // namespace ochrehub::channel
