#include "lab/channel/relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <deque>
#include <future>
#include <list>
#include <stdexcept>
#include <thread>
#include <utility>

namespace ochrehub::lab {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

namespace {

constexpr std::size_t kPiece = 16 * 1024;
constexpr std::size_t kAhead = 1 << 20;  // octets of a direction that are on their way, where it is late

void must_be_loopback(const Relay::Endpoint& at) {
    if (!at.address().is_loopback()) throw std::invalid_argument("not loopback: " + at.address().to_string());
}

}  // namespace

struct Relay::Core {
    struct Link {
        bool cut = false;
        Lost lost = Lost::Held;
        Duration late{0};
    };
    /// One connection: what is read on one side waits for its time and goes out on the other.
    struct Pair : std::enable_shared_from_this<Pair> {
        struct Piece {
            Steady::time_point due;
            std::string octets;  ///< empty: the close
        };
        struct Way {
            tcp::socket *from, *to;
            Direction direction;
            asio::steady_timer timer;
            std::array<char, kPiece> read{};
            std::deque<Piece> pieces{};
            std::size_t waits = 0;  ///< octets of them
            bool reading = false, writing = false, from_over = false, to_over = false;
        };
        Pair(Core& c, tcp::socket socket)
            : core(&c),
              near(std::move(socket)),
              far(c.io),
              ways{Way{&near, &far, Direction::Forth, asio::steady_timer(c.io)},
                   Way{&far, &near, Direction::Back, asio::steady_timer(c.io)}} {}

        void start() {
            far.async_connect(core->target, [self = shared_from_this()](error_code error) {
                if (self->over) return;
                if (error) return self->end(true);
                error_code ignored;
                self->near.set_option(tcp::no_delay(true), ignored);
                self->far.set_option(tcp::no_delay(true), ignored);
                self->connected = true;
                self->look_again();
            });
        }
        void look_again() {
            for (Way& way : ways) read(way), write(way);
        }
        void read(Way& way) {
            const Link& link = core->links[std::size_t(way.direction)];
            if (over || !connected || way.reading || way.from_over || way.waits > kAhead ||
                (link.cut && link.lost == Lost::Held))
                return;
            way.reading = true;
            way.from->async_read_some(
                asio::buffer(way.read), [self = shared_from_this(), &way](error_code error, std::size_t got) {
                    if (self->over) return;
                    way.reading = false;
                    if (error && error != asio::error::eof) return self->end(true);
                    const Link& now = self->core->links[std::size_t(way.direction)];
                    way.from_over = bool(error);
                    if (!(now.cut && now.lost == Lost::Dropped && !error)) {
                        auto late = std::chrono::duration_cast<Steady::duration>(now.late);
                        way.pieces.push_back({Steady::now() + late, std::string(way.read.data(), got)});
                        way.waits += got;
                    }
                    self->write(way);
                    self->read(way);
                });
        }
        void write(Way& way) {
            const Link& link = core->links[std::size_t(way.direction)];
            if (over || way.writing || way.pieces.empty() || (link.cut && link.lost == Lost::Held)) return;
            way.writing = true;
            way.timer.expires_at(way.pieces.front().due);
            way.timer.async_wait([self = shared_from_this(), &way](error_code stopped) {
                if (self->over || stopped) return;
                const Link& now = self->core->links[std::size_t(way.direction)];
                if (now.cut && now.lost == Lost::Held) {  // cut while it was under way
                    way.writing = false;
                    return;
                }
                if (way.pieces.front().octets.empty()) {
                    error_code ignored;
                    way.to->shutdown(tcp::socket::shutdown_send, ignored);
                    way.to_over = true;
                    way.pieces.pop_front();
                    if (self->ways[0].to_over && self->ways[1].to_over) self->end(false);
                    return;
                }
                asio::async_write(*way.to, asio::buffer(way.pieces.front().octets),
                                  [self, &way](error_code error, std::size_t) {
                                      if (self->over) return;
                                      if (error) return self->end(true);
                                      way.writing = false;
                                      way.waits -= way.pieces.front().octets.size();
                                      self->core->crossed[std::size_t(way.direction)] +=
                                          way.pieces.front().octets.size();
                                      way.pieces.pop_front();
                                      self->write(way);
                                      self->read(way);
                                  });
            });
        }
        void end(bool hard) {
            if (std::exchange(over, true)) return;
            for (tcp::socket* one : {&near, &far}) {
                error_code ignored;
                if (hard) one->set_option(asio::socket_base::linger(true, 0), ignored);
                one->close(ignored);
            }
            for (Way& way : ways) way.timer.cancel();
            core->pairs.remove_if([this](const auto& pair) { return pair.get() == this; });
        }

        Core* core;
        tcp::socket near, far;
        std::array<Way, 2> ways;
        bool connected = false, over = false;
    };

    Core(const Endpoint& listen, const Endpoint& to) : target(to), acceptor(io) {
        must_be_loopback(listen);
        must_be_loopback(to);
        begin(listen);
        at = acceptor.local_endpoint();
        thread = std::thread([this] { io.run(); });
    }
    ~Core() {
        work.reset();
        io.stop();
        thread.join();
        for (auto& pair : std::list(pairs)) pair->end(true);
    }
    void begin(const Endpoint& listen) {
        acceptor.open(listen.protocol());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind(listen);
        acceptor.listen();
        accept();
    }
    void accept() {
        acceptor.async_accept([this](error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) return;
            if (!error) {
                ++connections;
                auto pair = std::make_shared<Pair>(*this, std::move(socket));
                pairs.push_back(pair);
                pair->start();
            }
            accept();
        });
    }
    void look_again() {
        for (auto& pair : std::list(pairs)) pair->look_again();
    }
    /// Runs it on the relay's thread and waits for it.
    template <class F>
    auto call(F what) {
        std::packaged_task<decltype(what())()> task(std::move(what));
        auto out = task.get_future();
        asio::post(io, [&task] { task(); });
        return out.get();
    }

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    Endpoint target, at;
    tcp::acceptor acceptor;
    std::array<Link, 2> links{};
    std::list<std::shared_ptr<Pair>> pairs;
    std::uint64_t connections = 0;
    std::array<std::uint64_t, 2> crossed{};
    std::thread thread;
};

Relay::Relay(const Endpoint& listen, const Endpoint& target)
    : core_(std::make_shared<Core>(listen, target)) {}
Relay::~Relay() = default;

Relay::Endpoint Relay::at() const {
    return core_->at;
}
std::string Relay::address() const {
    return core_->at.address().to_string() + ":" + std::to_string(core_->at.port());
}
void Relay::target(const Endpoint& target) {
    must_be_loopback(target);
    core_->call([&] { core_->target = target; });
}
void Relay::cut(Direction direction, bool on, Lost lost) {
    core_->call([&] {
        core_->links[std::size_t(direction)].cut = on;
        core_->links[std::size_t(direction)].lost = lost;
        core_->look_again();
    });
}
void Relay::stall(bool on) {
    cut(Direction::Forth, on);
    cut(Direction::Back, on);
}
void Relay::delay(Direction direction, Duration late) {
    core_->call([&] { core_->links[std::size_t(direction)].late = late; });
}
void Relay::reset() {
    core_->call([&] {
        for (auto& pair : std::list(core_->pairs)) pair->end(true);
    });
}
void Relay::refuse(bool on) {
    core_->call([&] {
        if (on == !core_->acceptor.is_open()) return;
        if (on)
            core_->acceptor.close();
        else
            core_->begin(core_->at);
    });
}
std::size_t Relay::open() const {
    return core_->call([&] { return core_->pairs.size(); });
}
std::uint64_t Relay::connections() const {
    return core_->call([&] { return core_->connections; });
}
std::uint64_t Relay::crossed(Direction direction) const {
    return core_->call([&] { return core_->crossed[std::size_t(direction)]; });
}

}  // namespace ochrehub::lab
