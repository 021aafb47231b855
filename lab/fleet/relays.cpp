#include "lab/fleet/relays.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace ochrehub::lab::fleet {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr unsigned kRelaysMachine = 200;
constexpr std::size_t kPiece = 16 * 1024;
constexpr Duration kLookAgain{20};  // at a link that stands still
}  // namespace

struct DatagramRelays::Port {
    explicit Port(asio::io_context& io) : socket(io) {}
    Udp::socket socket;
    Udp::endpoint from;
    std::array<char, 2048> bytes{};
};

DatagramRelays::DatagramRelays(Loop& loop, Links& links, std::vector<Udp::endpoint> places)
    : loop_(loop), links_(links), places_(std::move(places)) {
    for (std::size_t i = 0; i < places_.size(); ++i) {
        must_be_loopback(places_[i].address());
        Port& port = *ports_.emplace_back(std::make_unique<Port>(loop.io()));
        port.socket.open(Udp::v4());
        port.socket.bind({machine(kRelaysMachine), 0});
        port.socket.non_blocking(true);
        receive(i);
    }
}

DatagramRelays::~DatagramRelays() = default;

std::string DatagramRelays::shown(std::size_t member) const {
    Udp::endpoint at = ports_[member]->socket.local_endpoint();
    return at.address().to_string() + ":" + std::to_string(at.port());
}

void DatagramRelays::receive(std::size_t to) {
    Port& port = *ports_[to];
    port.socket.async_receive_from(
        asio::buffer(port.bytes), port.from, [this, to](error_code error, std::size_t got) {
            if (closed_) return;
            Port& at = *ports_[to];
            // Whose it is shows by where it comes from, not by what it says.
            auto sender = std::find(places_.begin(), places_.end(), at.from);
            if (!error && sender == places_.end()) ++strangers_;
            if (!error && sender != places_.end()) {
                ++taken_;
                std::string octets(at.bytes.data(), got);
                if (meddles && !meddles(std::size_t(sender - places_.begin()), octets)) return receive(to);
                Crossed one{std::size_t(sender - places_.begin()), to,
                            std::make_shared<const std::string>(std::move(octets))};
                if (seen) seen(one.from, *one.octets);
                remembered_.push_back(one);
                if (remembered_.size() > kRemembered) remembered_.pop_front();
                for (Duration late : links_.fate(int(one.from), int(to))) {
                    if (late.count() <= 0)
                        deliver(one);
                    else
                        loop_.scheduler().call_at(loop_.now() + late, [this, one] { deliver(one); });
                }
            }
            receive(to);
        });
}

void DatagramRelays::deliver(const Crossed& one) {
    if (closed_) return;
    error_code ignored;  // nobody listens there, say
    ports_[one.to]->socket.send_to(asio::buffer(*one.octets), places_[one.to], 0, ignored);
}

void DatagramRelays::replay() {
    for (const Crossed& one : remembered_) deliver(one);
}

void DatagramRelays::close() {
    closed_ = true;
    error_code ignored;
    for (auto& port : ports_) port->socket.close(ignored);
}

// ---- Connections

class ConnectionRelay::Pair : public std::enable_shared_from_this<Pair> {
public:
    Pair(ConnectionRelay& relay, tcp::socket near)
        : relay_(&relay), loop_(relay.loop_), near_(std::move(near)), far_(loop_.io()) {}

    void start() {
        far_.async_connect(relay_->target_, [self = shared_from_this()](error_code error) {
            if (error || !self->relay_) return self->end(error == asio::error::connection_refused);
            for (Way* way : {&self->out_, &self->back_}) self->pump(*way);
        });
    }
    void look_again() {
        for (Way* way : {&out_, &back_})
            if (std::exchange(way->waits, false)) pump(*way);
    }
    void gone() { relay_ = nullptr, end(false); }

private:
    struct Way {
        tcp::socket *from, *to;
        bool forth;  ///< from the process that connects
        std::array<char, kPiece> bytes{};
        bool waits = false;
    };
    Links::Connection now(const Way& way) const {
        return way.forth ? relay_->links_.connection(relay_->from_, relay_->to_)
                         : relay_->links_.connection(relay_->to_, relay_->from_);
    }
    void pump(Way& way) {
        if (!relay_ || over_) return;
        Links::Connection link = now(way);
        if (link.stands) {
            way.waits = true;
            return later(way, kLookAgain);
        }
        std::size_t some =
            link.bytes_s > 0 ? std::clamp(std::size_t(link.bytes_s / 20), std::size_t{1}, kPiece) : kPiece;
        way.from->async_read_some(asio::buffer(way.bytes.data(), some),
                                  [self = shared_from_this(), &way](error_code error, std::size_t got) {
                                      if (!self->relay_ || self->over_) return;
                                      if (error) return self->end(error == asio::error::connection_reset);
                                      self->pass(way, got);
                                  });
    }
    void pass(Way& way, std::size_t got) {
        Links::Connection link = now(way);
        if (link.stands) {  // came up while it waited for bytes: they stay where they are
            loop_.scheduler().call_at(loop_.now() + kLookAgain, [self = shared_from_this(), &way, got] {
                if (self->relay_ && !self->over_) self->pass(way, got);
            });
            return;
        }
        bool cut_short = link.reset;
        if (cut_short) got = (got + 1) / 2;
        asio::async_write(*way.to, asio::buffer(way.bytes.data(), got),
                          [self = shared_from_this(), &way, cut_short, link](error_code error, std::size_t) {
                              if (!self->relay_ || self->over_) return;
                              if (error || cut_short) {
                                  self->relay_->resets_ += cut_short;
                                  return self->end(true);
                              }
                              if (link.bytes_s <= 0) return self->pump(way);
                              way.waits = true;
                              self->later(way, Duration{50});
                          });
    }
    void later(Way& way, Duration behind) {
        loop_.scheduler().call_at(loop_.now() + behind, [self = shared_from_this(), &way] {
            if (std::exchange(way.waits, false)) self->pump(way);
        });
    }
    void end(bool hard) {
        if (std::exchange(over_, true)) return;
        for (tcp::socket* one : {&near_, &far_}) {
            error_code ignored;
            if (hard) one->set_option(asio::socket_base::linger(true, 0), ignored);
            one->close(ignored);
        }
    }

    ConnectionRelay* relay_;
    Loop& loop_;
    tcp::socket near_, far_;
    Way out_{&near_, &far_, true}, back_{&far_, &near_, false};
    bool over_ = false;
};

ConnectionRelay::ConnectionRelay(Loop& loop, const Links& links, int from, int to, Endpoint target,
                                 const asio::ip::address_v4& own)
    : loop_(loop),
      links_(links),
      from_(from),
      to_(to),
      target_(target),
      acceptor_(listen_at(loop.io(), {own, 0})) {
    at_ = acceptor_.local_endpoint();
    accept();
}

ConnectionRelay::~ConnectionRelay() = default;

void ConnectionRelay::accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
            std::erase_if(pairs_, [](const auto& pair) { return pair.expired(); });
            auto pair = std::make_shared<Pair>(*this, std::move(socket));
            pairs_.push_back(pair);
            pair->start();
        }
        accept();
    });
}

void ConnectionRelay::look_again() {
    for (const auto& weak : pairs_)
        if (auto pair = weak.lock()) pair->look_again();
}

void ConnectionRelay::close() {
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& weak : pairs_)
        if (auto pair = weak.lock()) pair->gone();
}

}  // namespace ochrehub::lab::fleet
