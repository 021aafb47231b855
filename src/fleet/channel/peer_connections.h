// A process's connections to others of its fleet: a listener, and connections kept to addresses that may
// change while it runs. Between two processes one connection is used, whoever dialled it (`newer_stays` says
// which, where both did). Whoever connects is told of and can be answered, on any list or not. The shell of
// `Channel` and `Dialer`: sockets, timers, nonces; it decides nothing but how many it takes in.
//
// All of it on its io_context's one thread, the callbacks too. From inside of a callback all may be called
// but the destructor. Memory of a connection: about 2 KB, one frame that is not whole, and what waits to be
// written, in pieces of 64 KiB: a reader that stands still costs `max_queued_bytes` and little more. What was
// sent before `on_disconnected` may have arrived or not; what comes behind the next `on_connected` is in
// id, each message once.
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
    Settings channel;  ///< its nonce is random for each connection
    DialSettings dial;
    std::size_t max_accepted_peers =
        256;  ///< connections of others' that are up, at most; more are closed (Full)
    std::size_t max_unauthenticated =
        64;  ///< accepted ones that have not shown who they are; behind that the oldest goes (Full)
};

class PeerConnections {
public:
    using Endpoint = boost::asio::ip::tcp::endpoint;
    /// Bytes that are read of one connection before others have their turn.
    static constexpr std::size_t kMaxReadBytes = 64 * 1024;

    /// io_context and scheduler must outlive it; what they still run for it when it goes finds nothing to do.
    /// Listens from here on (port 0: any that is free); without an address it only dials. Throws
    /// boost::system::system_error where it cannot listen. `seed`: for the waits before it dials again.
    PeerConnections(boost::asio::io_context& io, Scheduler& scheduler, const std::optional<Endpoint>& listen,
                    PeerConnectionsSettings settings, std::uint64_t seed);
    ~PeerConnections();
    PeerConnections(const PeerConnections&) = delete;
    PeerConnections& operator=(const PeerConnections&) = delete;

    /// "192.0.2.7:4000" or "[2001:db8::7]:4000", no names; nothing where it is neither.
    static std::optional<Endpoint> parse_endpoint(std::string_view address);
    /// How many descriptors it uses, at most, with so many addresses to dial.
    static constexpr std::size_t max_descriptors(const PeerConnectionsSettings& settings,
                                                 std::size_t addresses) {
        return 2 + settings.max_accepted_peers + settings.max_unauthenticated +
               addresses;  // the listener, and one that is just accepted
    }

    Endpoint listen_address() const { return listen_address_; }

    /// Keeps a connection to this address from now on. False: it is no address.
    bool dial(const std::string& address);
    /// Not any more; what was dialled there is closed.
    void drop(const std::string& address);
    /// To the process of this instance. False: there is no connection to it, the message is too long, or too
    /// much waits already; nothing was sent. True: it will arrive, unless `on_disconnected` is told.
    bool send(std::uint64_t instance, MessageKind kind, std::string body);
    /// For connections that begin from now on.
    void set_keys(std::vector<std::string> keys) { settings_.channel.keys = std::move(keys); }
    /// Ends all at once; no callback comes any more.
    void close();

    std::function<void(const Peer&)> on_connected;
    std::function<void(const Peer&, Error)>
        on_disconnected;  ///< also before the `on_connected` of the one that replaces it
    std::function<void(const Peer&, MessageKind, std::string body)> on_message;
    std::function<void(const std::string& address, Error)>
        on_dial_failed;  ///< a dial that did not come up, and why

    /// Of the process that is connected and answers at this address, which is dialled; zero: none.
    std::uint64_t instance_at(const std::string& address) const { return dialer_.instance_at(address); }
    std::size_t peer_count() const { return peers_.size(); }
    std::size_t connection_count() const { return connections_.size(); }
    std::size_t unauthenticated_count() const { return unauthenticated_; }
    /// Bytes that wait to be written to this process.
    std::size_t queued_bytes(std::uint64_t instance) const;
    /// Connections that ended by it.
    std::uint64_t ended_count(Error error) const { return ended_counts_[std::size_t(error)]; }
    /// Messages that `send` did not take, by why: Closed, TooLong, Full.
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
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // in the id in which they began
    std::map<std::uint64_t, std::shared_ptr<Connection>> peers_;        // by instance: the one that is used
    std::map<std::string, std::weak_ptr<Connection>> dialed_;
    std::size_t unauthenticated_ = 0, accepted_peers_ = 0;
    std::vector<char> read_buffer_;  // what is read, one connection at a time
    std::array<std::uint64_t, kErrors> ended_counts_{}, rejected_counts_{};
    bool closed_ = false;
    std::shared_ptr<bool> alive_token_ = std::make_shared<bool>(true);  // until it goes
};

}  // namespace ochrehub::channel
