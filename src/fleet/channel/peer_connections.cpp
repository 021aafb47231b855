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
constexpr Duration kAcceptAgain{100};  // where the system would not give a descriptor
constexpr std::size_t kChunk =
    64 * 1024;                      // octets that wait stand in pieces of this, and leave memory with them
constexpr std::size_t kChunks = 8;  // are written before other connections have their turn
}  // namespace

class PeerConnections::Link : public std::enable_shared_from_this<Link> {
public:
    Link(PeerConnections& peer_connections, tcp::socket socket, std::string address, std::uint64_t order,
         const Settings& settings)
        : peer_connections_(&peer_connections),
          socket_(std::move(socket)),
          address_(std::move(address)),
          order_(order),
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
        hand(Opened{});
        wait_to_read();
    }
    /// Nothing of it is heard any more.
    void close() {
        peer_connections_->scheduler_.cancel(std::exchange(timer_, 0));
        peer_connections_ = nullptr;
        error_code ignored;
        socket_.close(ignored);
        out_.clear();
    }
    /// Why it was not taken.
    std::optional<Error> say(MessageKind kind, std::string body) {
        Actions actions;
        channel_.handle(peer_connections_->scheduler_.now(), SendMessage{kind, std::move(body)}, actions);
        for (const Action& action : actions)
            if (const auto* refused = std::get_if<SendRejected>(&action)) return refused->error;
        carry_out(actions);
        return std::nullopt;
    }

    bool dialled() const { return !address_.empty(); }
    const std::string& address() const { return address_; }
    std::uint64_t order() const { return order_; }
    const Channel& channel() const { return channel_; }
    bool used = false;      ///< the one between the two processes
    bool stranger = false;  ///< accepted, and not up yet
    bool counted = false;   ///< accepted, and up

private:
    void hand(const Event& event) {
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
                if (used && peer_connections_->on_message)
                    peer_connections_->on_message(channel_.peer(), message->kind, std::move(message->body));
            } else if (const auto* wake = std::get_if<SetTimer>(&action)) {
                wake_at(wake->at);
            } else if (std::holds_alternative<Connected>(action)) {
                peer_connections_->came_up(shared_from_this());
            } else if (const auto* over = std::get_if<CloseConnection>(&action)) {
                peer_connections_->end(shared_from_this(), over->error);
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
        std::size_t got = socket_.read_some(asio::buffer(peer_connections_->octets_), error);
        if (error == asio::error::would_block) return wait_to_read();
        if (error) return hand(Closed{});
        hand(BytesReceived{{peer_connections_->octets_.data(), got}});
        if (peer_connections_) wait_to_read();
    }

    /// What is put within one turn of the loop leaves in one piece.
    void write(std::string octets) {
        std::size_t size = out_.empty() ? kChunk : out_.back().size() + octets.size();
        if (!out_.empty() && size <= kChunk) {
            std::string& last = out_.back();
            std::size_t room = kChunk / 16;  // by steps that end at a chunk: doubling would take up to two
            while (room < size) room *= 4;
            if (size > last.capacity()) last.reserve(room);
            last += octets;
        } else {
            out_.push_back(std::move(octets));
        }
        if (!std::exchange(writing_, true))
            asio::post(peer_connections_->io_, [self = shared_from_this()] { self->flush(); });
    }
    void flush() {
        if (!peer_connections_) return;
        std::array<asio::const_buffer, kChunks> some;
        std::size_t chunks = 0;
        for (; chunks < std::min(kChunks, out_.size()); ++chunks) some[chunks] = asio::buffer(out_[chunks]);
        some[0] += out_at_;
        error_code error;
        std::size_t left = socket_.write_some(std::span(some).first(chunks), error);
        if (error && error != asio::error::would_block) return hand(Closed{});
        auto whole = out_.begin();
        for (out_at_ += left; whole != out_.end() && out_at_ >= whole->size(); ++whole)
            out_at_ -= whole->size();
        out_.erase(out_.begin(), whole);
        writing_ = !out_.empty();
        if (writing_)
            socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
                if (!failed) self->flush();
            });
        if (left > 0) hand(BytesWritten{left});
    }
    void wake_at(TimePoint at) {
        peer_connections_->scheduler_.cancel(std::exchange(timer_, 0));
        timer_ = peer_connections_->scheduler_.call_at(at, [self = shared_from_this()] {
            if (!self->peer_connections_) return;
            self->timer_ = 0;
            self->hand(TimerFired{});
        });
    }

    PeerConnections* peer_connections_;  // none once it is closed
    tcp::socket socket_;
    std::string address_;  // where it was dialled; empty: it was accepted
    std::uint64_t order_;
    Channel channel_;
    std::vector<std::string> out_;
    std::size_t out_at_ = 0;  // written of its first
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
      octets_(kMaxReadBytes) {
    if (!listen) return;
    acceptor_.open(listen->protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(*listen);
    acceptor_.listen();
    at_ = acceptor_.local_endpoint();
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
    acceptor_.async_accept([this, here = std::weak_ptr<bool>(here_)](error_code error, tcp::socket socket) {
        if (here.expired() || closed_) return;
        if (error) {  // no descriptor, say; those who wait stay in the kernel's queue
            accept_timer_ =
                scheduler_.call_at(scheduler_.now() + kAcceptAgain, [this] { accept_timer_ = 0, accept(); });
            return;
        }
        if (strangers_ >= settings_.max_unauthenticated)
            for (const auto& [order, one] : links_)
                if (one->stranger) {
                    end(std::shared_ptr<Link>(one), Error::Full);
                    break;
                }
        if (closed_) return;
        auto fresh = link(std::move(socket), "");
        fresh->stranger = true;
        ++strangers_;
        fresh->open();
        if (!closed_) accept();
    });
}

std::shared_ptr<PeerConnections::Link> PeerConnections::link(tcp::socket socket, const std::string& address) {
    Settings settings = settings_.channel;
    settings.nonce = nonce();
    auto fresh = std::make_shared<Link>(*this, std::move(socket), address, ++order_, settings);
    links_.emplace(fresh->order(), fresh);
    return fresh;
}

std::string PeerConnections::nonce() {
    std::random_device device;
    std::string octets;
    while (octets.size() < kNonceBytes) {
        auto drawn = device();
        for (int shift = 24; shift >= 0; shift -= 8) octets += char(drawn >> shift & 0xff);
    }
    return octets;
}

bool PeerConnections::dial(const std::string& address) {
    if (!parse_endpoint(address)) return false;
    tell_dialer(Dialer::AddressAdded{address});
    return true;
}

void PeerConnections::drop(const std::string& address) {
    tell_dialer(Dialer::AddressRemoved{address});
}

// One event after the other, also where carrying out one leads to the next: of two SetTimer the later one
// must count.
void PeerConnections::tell_dialer(const Dialer::Event& event) {
    if (closed_) return;
    told_.push_back(event);
    if (told_.size() > 1) return;
    while (!closed_ && !told_.empty()) {
        Dialer::Actions actions;
        dialer_.handle(scheduler_.now(), told_.front(), actions);
        for (const Dialer::Action& action : actions)
            if (!closed_) carry_out(action);
        told_.pop_front();
    }
}

void PeerConnections::carry_out(const Dialer::Action& action) {
    if (const auto* dial = std::get_if<Dialer::Dial>(&action)) {
        connect(dial->address);
    } else if (const auto* abandon = std::get_if<Dialer::CloseDialed>(&action)) {
        auto found = dialled_.find(abandon->address);
        if (found == dialled_.end()) return;
        auto one = found->second.lock();
        dialled_.erase(found);  // so that its end is not told
        if (one) end(one, abandon->timed_out ? Error::Unreachable : Error::Closed);
    } else {
        scheduler_.cancel(std::exchange(dial_timer_, 0));
        dial_timer_ = scheduler_.call_at(std::get<SetTimer>(action).at, [this] {
            dial_timer_ = 0;
            tell_dialer(TimerFired{});
        });
    }
}

void PeerConnections::connect(const std::string& address) {
    auto fresh = link(tcp::socket(io_), address);
    dialled_[address] = fresh;
    fresh->connect(*parse_endpoint(address));
}

void PeerConnections::came_up(const std::shared_ptr<Link>& link) {
    std::uint64_t instance = link->channel().peer().instance;
    if (std::exchange(link->stranger, false)) {
        --strangers_;
        if (accepted_ >= settings_.max_accepted_peers) return end(link, Error::Full);
        ++accepted_;
        link->counted = true;
    }
    if (link->dialled()) tell_dialer(Dialer::DialSucceeded{link->address(), instance});
    if (closed_) return;
    auto found = peers_.find(instance);
    if (found != peers_.end()) {
        std::shared_ptr<Link> older = found->second;
        bool stays =
            newer_stays(older->dialled(), link->dialled(), settings_.channel.self.instance, instance);
        if (!stays) return end(link, Error::Replaced);
        found->second = link;  // first, so that nobody dials for want of one
        link->used = true;
        end(older, Error::Replaced);
        if (closed_ || !link->used) return;
    } else {
        peers_.emplace(instance, link);
        link->used = true;
        tell_dialer(Dialer::PeerConnected{instance});
    }
    if (on_connected) on_connected(link->channel().peer());
}

void PeerConnections::end(const std::shared_ptr<Link>& link, Error error) {
    if (links_.erase(link->order()) == 0) return;
    ++ended_[std::size_t(error)];
    const Peer peer = link->channel().peer();
    bool used = std::exchange(link->used, false);
    strangers_ -= link->stranger;
    accepted_ -= link->counted;
    link->close();
    auto found = peers_.find(peer.instance);
    bool absent = used && found != peers_.end() && found->second == link;
    if (absent) {
        peers_.erase(found);
        tell_dialer(Dialer::PeerDisconnected{peer.instance});
    }
    if (link->dialled()) {
        auto at = dialled_.find(link->address());
        if (at != dialled_.end() && at->second.lock() == link) {
            dialled_.erase(at);
            // Its channel ends by Replaced, knowing nobody, only where it leads back here.
            if (error == Error::Replaced && peer.instance == 0)
                tell_dialer(Dialer::SelfReached{link->address()});
            else
                tell_dialer(Dialer::ConnectionEnded{link->address()});
        }
        if (!closed_ && !used && error != Error::Replaced && on_dial_failed)
            on_dial_failed(link->address(), error);
    }
    if (!closed_ && used && on_disconnected) on_disconnected(peer, error);
}

bool PeerConnections::send(std::uint64_t instance, MessageKind kind, std::string body) {
    auto found = peers_.find(instance);
    std::optional<Error> why = Error::Closed;
    if (found != peers_.end()) why = found->second->say(kind, std::move(body));
    if (why) ++refused_[std::size_t(*why)];
    return !why;
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
    for (auto& [order, one] : links_) one->close();
    links_.clear();
    peers_.clear();
    dialled_.clear();
}

}  // namespace ochrehub::channel
