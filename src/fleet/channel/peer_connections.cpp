#include "fleet/channel/peer_connections.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <charconv>
#include <random>
#include <span>
#include <utility>

namespace ochrehub::channel {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
/// After accept failed, for instance because no file descriptor was free.
constexpr Duration kAcceptRetryDelay{100};
/// Unwritten bytes are stored in chunks of this size, so that their memory is freed as they are written.
constexpr std::size_t kMaxChunkBytes = 64 * 1024;
/// Written to one connection before other connections get their turn.
constexpr std::size_t kMaxChunksPerWrite = 8;
}  // namespace

class PeerConnections::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(PeerConnections& peer_connections, tcp::socket socket, std::string address, std::uint64_t id,
               const Settings& settings)
        : peer_connections_(&peer_connections),
          socket_(std::move(socket)),
          address_(std::move(address)),
          id_(id),
          channel_(settings) {}

    void connect(const Endpoint& to) {
        socket_.async_connect(to, [self = shared_from_this()](error_code error) {
            if (!self->peer_connections_) return;
            if (error) return self->peer_connections_->end(self, Error::Unreachable);
            self->open();
        });
    }
    void open() {
        error_code error;
        socket_.set_option(tcp::no_delay(true), error);
        socket_.non_blocking(true, error);
        if (error) return peer_connections_->end(shared_from_this(), Error::Closed);
        handle(Opened{});
        wait_to_read();
    }
    /// No callback follows.
    void close() {
        peer_connections_->scheduler_.cancel(std::exchange(timer_, 0));
        peer_connections_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        chunks_.clear();
    }
    /// The error if the message was rejected.
    std::optional<Error> send(MessageKind kind, std::string body) {
        Actions actions;
        channel_.handle(peer_connections_->scheduler_.now(), SendMessage{kind, std::move(body)}, actions);
        for (const Action& action : actions)
            if (const auto* refused = std::get_if<SendRejected>(&action)) return refused->error;
        carry_out(actions);
        return std::nullopt;
    }

    bool is_dialed() const { return !address_.empty(); }
    const std::string& address() const { return address_; }
    std::uint64_t id() const { return id_; }
    const Channel& channel() const { return channel_; }
    bool is_active = false;           ///< the one in use between the two processes
    bool is_unauthenticated = false;  ///< accepted, and its handshake is not complete
    bool is_counted = false;          ///< in accepted_peers_

private:
    void handle(const Event& event) {
        Actions actions;
        channel_.handle(peer_connections_->scheduler_.now(), event, actions);
        carry_out(actions);
    }
    void carry_out(Actions& actions) {
        for (Action& action : actions) {
            if (!peer_connections_) return;
            if (auto* put = std::get_if<WriteBytes>(&action)) {
                write(std::move(put->bytes));
            } else if (auto* message = std::get_if<DeliverMessage>(&action)) {
                if (is_active && peer_connections_->on_message)
                    peer_connections_->on_message(channel_.peer(), message->kind, std::move(message->body));
            } else if (const auto* wake = std::get_if<SetTimer>(&action)) {
                set_timer(wake->at);
            } else if (std::holds_alternative<Connected>(action)) {
                peer_connections_->handle_connected(shared_from_this());
            } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
                peer_connections_->end(shared_from_this(), close->error);
            }
        }
    }

    void wait_to_read() {
        socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (self->peer_connections_ && !error) self->read();
        });
    }
    void read() {
        error_code error;
        std::size_t got = socket_.read_some(asio::buffer(peer_connections_->read_buffer_), error);
        if (error == asio::error::would_block) return wait_to_read();
        if (error) return handle(Closed{});
        handle(BytesReceived{{peer_connections_->read_buffer_.data(), got}});
        if (peer_connections_) wait_to_read();
    }

    /// Bytes of one iteration of the event loop are written together.
    void write(std::string bytes) {
        std::size_t size = chunks_.empty() ? kMaxChunkBytes : chunks_.back().size() + bytes.size();
        if (!chunks_.empty() && size <= kMaxChunkBytes) {
            std::string& last = chunks_.back();
            std::size_t capacity =
                kMaxChunkBytes /
                16;  // grows by steps that end at a chunk, as doubling could take up to two chunks
            while (capacity < size) capacity *= 4;
            if (size > last.capacity()) last.reserve(capacity);
            last += bytes;
        } else {
            chunks_.push_back(std::move(bytes));
        }
        if (!std::exchange(writing_, true))
            asio::post(peer_connections_->io_, [self = shared_from_this()] { self->flush(); });
    }
    void flush() {
        if (!peer_connections_) return;
        std::array<asio::const_buffer, kMaxChunksPerWrite> buffers;
        std::size_t chunks = 0;
        for (; chunks < std::min(kMaxChunksPerWrite, chunks_.size()); ++chunks)
            buffers[chunks] = asio::buffer(chunks_[chunks]);
        buffers[0] += written_of_first_chunk_;
        error_code error;
        std::size_t left = socket_.write_some(std::span(buffers).first(chunks), error);
        if (error && error != asio::error::would_block) return handle(Closed{});
        auto whole = chunks_.begin();
        for (written_of_first_chunk_ += left;
             whole != chunks_.end() && written_of_first_chunk_ >= whole->size(); ++whole)
            written_of_first_chunk_ -= whole->size();
        chunks_.erase(chunks_.begin(), whole);
        writing_ = !chunks_.empty();
        if (writing_)
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
                if (!failed) self->flush();
            });
        if (left > 0) handle(BytesWritten{left});
    }
    void set_timer(TimePoint at) {
        peer_connections_->scheduler_.cancel(std::exchange(timer_, 0));
        timer_ = peer_connections_->scheduler_.call_at(at, [self = shared_from_this()] {
            if (!self->peer_connections_) return;
            self->timer_ = 0;
            self->handle(TimerFired{});
        });
    }

    PeerConnections* peer_connections_;  // null after close()
    tcp::socket socket_;
    std::string address_;  // the dialed address; empty: accepted
    std::uint64_t id_;
    Channel channel_;
    std::vector<std::string> chunks_;
    std::size_t written_of_first_chunk_ = 0;  // bytes
    bool writing_ = false;
    TimerId timer_ = 0;
};

PeerConnections::PeerConnections(asio::io_context& io, Scheduler& scheduler,
                                 const std::optional<Endpoint>& listen, PeerConnectionsSettings settings,
                                 std::uint64_t seed)
    : io_(io),
      scheduler_(scheduler),
      settings_(std::move(settings)),
      acceptor_(io),
      dialer_(settings_.dial, seed),
      read_buffer_(kMaxReadBytes) {
    if (!listen) return;
    acceptor_.open(listen->protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(*listen);
    acceptor_.listen();
    listen_address_ = acceptor_.local_endpoint();
    accept();
}

PeerConnections::~PeerConnections() {
    close();
}

std::optional<PeerConnections::Endpoint> PeerConnections::parse_endpoint(std::string_view address) {
    std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    std::string_view host = address.substr(0, colon), port = address.substr(colon + 1);
    bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) host = host.substr(1, host.size() - 2);
    std::uint16_t number = 0;
    auto [end, fault] = std::from_chars(port.data(), port.data() + port.size(), number);
    if (fault != std::errc() || end != port.data() + port.size() || number == 0) return std::nullopt;
    error_code error;
    auto parsed = asio::ip::make_address(std::string(host), error);
    if (error || parsed.is_v6() != bracketed) return std::nullopt;
    return Endpoint(parsed, number);
}

void PeerConnections::accept() {
    acceptor_.async_accept(
        [this, alive = std::weak_ptr<bool>(alive_token_)](error_code error, tcp::socket socket) {
            if (alive.expired() || closed_) return;
            if (error) {  // no file descriptor, for instance; pending connections stay in the kernel's queue
                accept_timer_ = scheduler_.call_at(scheduler_.now() + kAcceptRetryDelay,
                                                   [this] { accept_timer_ = 0, accept(); });
                return;
            }
            if (unauthenticated_ >= settings_.max_unauthenticated)
                for (const auto& [id, one] : connections_)
                    if (one->is_unauthenticated) {
                        end(std::shared_ptr<Connection>(one), Error::Full);
                        break;
                    }
            if (closed_) return;
            auto connection = make_connection(std::move(socket), "");
            connection->is_unauthenticated = true;
            ++unauthenticated_;
            connection->open();
            if (!closed_) accept();
        });
}

std::shared_ptr<PeerConnections::Connection> PeerConnections::make_connection(tcp::socket socket,
                                                                              const std::string& address) {
    Settings settings = settings_.channel;
    settings.nonce = nonce();
    auto connection = std::make_shared<Connection>(*this, std::move(socket), address, ++next_id_, settings);
    connections_.emplace(connection->id(), connection);
    return connection;
}

std::string PeerConnections::nonce() {
    std::random_device device;
    std::string bytes;
    while (bytes.size() < kNonceBytes) {
        auto random = device();
        for (int shift = 24; shift >= 0; shift -= 8) bytes += char(random >> shift & 0xff);
    }
    return bytes;
}

bool PeerConnections::dial(const std::string& address) {
    if (!parse_endpoint(address)) return false;
    notify_dialer(Dialer::AddressAdded{address});
    return true;
}

void PeerConnections::drop(const std::string& address) {
    notify_dialer(Dialer::AddressRemoved{address});
}

// Handles one event at a time, also if carrying out its actions leads to another event: of two SetTimer
// actions the later one must take effect.
void PeerConnections::notify_dialer(const Dialer::Event& event) {
    if (closed_) return;
    dialer_events_.push_back(event);
    if (dialer_events_.size() > 1) return;
    while (!closed_ && !dialer_events_.empty()) {
        Dialer::Actions actions;
        dialer_.handle(scheduler_.now(), dialer_events_.front(), actions);
        for (const Dialer::Action& action : actions)
            if (!closed_) carry_out(action);
        dialer_events_.pop_front();
    }
}

void PeerConnections::carry_out(const Dialer::Action& action) {
    if (const auto* dial = std::get_if<Dialer::Dial>(&action)) {
        connect(dial->address);
    } else if (const auto* close = std::get_if<Dialer::CloseDialed>(&action)) {
        auto found = dialed_.find(close->address);
        if (found == dialed_.end()) return;
        auto one = found->second.lock();
        dialed_.erase(found);  // so that the dialer gets no ConnectionEnded
        if (one) end(one, close->timed_out ? Error::Unreachable : Error::Closed);
    } else {
        scheduler_.cancel(std::exchange(dial_timer_, 0));
        dial_timer_ = scheduler_.call_at(std::get<SetTimer>(action).at, [this] {
            dial_timer_ = 0;
            notify_dialer(TimerFired{});
        });
    }
}

void PeerConnections::connect(const std::string& address) {
    auto connection = make_connection(tcp::socket(io_), address);
    dialed_[address] = connection;
    connection->connect(*parse_endpoint(address));
}

void PeerConnections::handle_connected(const std::shared_ptr<Connection>& connection) {
    std::uint64_t instance = connection->channel().peer().instance;
    if (std::exchange(connection->is_unauthenticated, false)) {
        --unauthenticated_;
        if (accepted_peers_ >= settings_.max_accepted_peers) return end(connection, Error::Full);
        ++accepted_peers_;
        connection->is_counted = true;
    }
    if (connection->is_dialed()) notify_dialer(Dialer::DialSucceeded{connection->address(), instance});
    if (closed_) return;
    auto found = peers_.find(instance);
    if (found != peers_.end()) {
        std::shared_ptr<Connection> older = found->second;
        bool stays = newer_stays(older->is_dialed(), connection->is_dialed(), settings_.channel.self.instance,
                                 instance);
        if (!stays) return end(connection, Error::Replaced);
        found->second = connection;  // before the close, so that the dialer never sees the peer disconnected
        connection->is_active = true;
        end(older, Error::Replaced);
        if (closed_ || !connection->is_active) return;
    } else {
        peers_.emplace(instance, connection);
        connection->is_active = true;
        notify_dialer(Dialer::PeerConnected{instance});
    }
    if (on_connected) on_connected(connection->channel().peer());
}

void PeerConnections::end(const std::shared_ptr<Connection>& connection, Error error) {
    if (connections_.erase(connection->id()) == 0) return;
    ++ended_counts_[std::size_t(error)];
    const Peer peer = connection->channel().peer();
    bool is_active = std::exchange(connection->is_active, false);
    unauthenticated_ -= connection->is_unauthenticated;
    accepted_peers_ -= connection->is_counted;
    connection->close();
    auto found = peers_.find(peer.instance);
    bool absent = is_active && found != peers_.end() && found->second == connection;
    if (absent) {
        peers_.erase(found);
        notify_dialer(Dialer::PeerDisconnected{peer.instance});
    }
    if (connection->is_dialed()) {
        auto at = dialed_.find(connection->address());
        if (at != dialed_.end() && at->second.lock() == connection) {
            dialed_.erase(at);
            // A channel closes as Replaced without a known peer only if it leads to this process.
            if (error == Error::Replaced && peer.instance == 0)
                notify_dialer(Dialer::SelfReached{connection->address()});
            else
                notify_dialer(Dialer::ConnectionEnded{connection->address()});
        }
        if (!closed_ && !is_active && error != Error::Replaced && on_dial_failed)
            on_dial_failed(connection->address(), error);
    }
    if (!closed_ && is_active && on_disconnected) on_disconnected(peer, error);
}

bool PeerConnections::send(std::uint64_t instance, MessageKind kind, std::string body) {
    auto found = peers_.find(instance);
    std::optional<Error> error = Error::Closed;
    if (found != peers_.end()) error = found->second->send(kind, std::move(body));
    if (error) ++rejected_counts_[std::size_t(*error)];
    return !error;
}

std::size_t PeerConnections::queued_bytes(std::uint64_t instance) const {
    auto found = peers_.find(instance);
    return found == peers_.end() ? 0 : found->second->channel().queued_bytes();
}

void PeerConnections::close() {
    if (std::exchange(closed_, true)) return;
    scheduler_.cancel(std::exchange(dial_timer_, 0));
    scheduler_.cancel(std::exchange(accept_timer_, 0));
    error_code ignored;
    acceptor_.close(ignored);
    for (auto& [id, one] : connections_) one->close();
    connections_.clear();
    peers_.clear();
    dialed_.clear();
}

}  // namespace ochrehub::channel
