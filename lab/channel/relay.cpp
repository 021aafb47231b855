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

constexpr std::size_t kReadBytes = 16 * 1024;
/// Of one direction while its bytes are delayed.
constexpr std::size_t kMaxBufferedBytes = 1 << 20;

void must_be_loopback(const Relay::Endpoint& at) {
    if (!at.address().is_loopback()) throw std::invalid_argument("not loopback: " + at.address().to_string());
}

}  // namespace

struct Relay::Core {
    struct LinkState {
        bool is_cut = false;
        LossMode loss_mode = LossMode::Held;
        Duration delay{0};
    };
    /// One relayed connection: bytes read from one socket wait for their delay and are written to the other.
    struct Connection : std::enable_shared_from_this<Connection> {
        struct Chunk {
            Steady::time_point due;
            std::string bytes;  ///< empty: the end of the stream
        };
        struct Stream {
            tcp::socket *from, *to;
            Direction direction;
            asio::steady_timer timer;
            std::array<char, kReadBytes> read{};
            std::deque<Chunk> chunks{};
            std::size_t buffered_bytes = 0;  ///< of `chunks`
            bool is_reading = false, is_writing = false, is_from_closed = false, is_to_closed = false;
        };
        Connection(Core& c, tcp::socket socket)
            : core(&c),
              client_socket(std::move(socket)),
              target_socket(c.io),
              streams{Stream{&client_socket, &target_socket, Direction::Forward, asio::steady_timer(c.io)},
                      Stream{&target_socket, &client_socket, Direction::Backward, asio::steady_timer(c.io)}} {
        }

        void start() {
            target_socket.async_connect(core->target, [self = shared_from_this()](error_code error) {
                if (self->is_closed) return;
                if (error) return self->end(true);
                error_code ignored;
                self->client_socket.set_option(tcp::no_delay(true), ignored);
                self->target_socket.set_option(tcp::no_delay(true), ignored);
                self->is_connected = true;
                self->resume();
            });
        }
        void resume() {
            for (Stream& stream : streams) read(stream), write(stream);
        }
        void read(Stream& stream) {
            const LinkState& link = core->links[std::size_t(stream.direction)];
            if (is_closed || !is_connected || stream.is_reading || stream.is_from_closed ||
                stream.buffered_bytes > kMaxBufferedBytes ||
                (link.is_cut && link.loss_mode == LossMode::Held))
                return;
            stream.is_reading = true;
            stream.from->async_read_some(asio::buffer(stream.read), [self = shared_from_this(), &stream](
                                                                        error_code error, std::size_t got) {
                if (self->is_closed) return;
                stream.is_reading = false;
                if (error && error != asio::error::eof) return self->end(true);
                const LinkState& now = self->core->links[std::size_t(stream.direction)];
                stream.is_from_closed = bool(error);
                if (!(now.is_cut && now.loss_mode == LossMode::Dropped && !error)) {
                    auto delay = std::chrono::duration_cast<Steady::duration>(now.delay);
                    stream.chunks.push_back({Steady::now() + delay, std::string(stream.read.data(), got)});
                    stream.buffered_bytes += got;
                }
                self->write(stream);
                self->read(stream);
            });
        }
        void write(Stream& stream) {
            const LinkState& link = core->links[std::size_t(stream.direction)];
            if (is_closed || stream.is_writing || stream.chunks.empty() ||
                (link.is_cut && link.loss_mode == LossMode::Held))
                return;
            stream.is_writing = true;
            stream.timer.expires_at(stream.chunks.front().due);
            stream.timer.async_wait([self = shared_from_this(), &stream](error_code stopped) {
                if (self->is_closed || stopped) return;
                const LinkState& now = self->core->links[std::size_t(stream.direction)];
                if (now.is_cut && now.loss_mode == LossMode::Held) {  // cut during the delay
                    stream.is_writing = false;
                    return;
                }
                if (stream.chunks.front().bytes.empty()) {
                    error_code ignored;
                    stream.to->shutdown(tcp::socket::shutdown_send, ignored);
                    stream.is_to_closed = true;
                    stream.chunks.pop_front();
                    if (self->streams[0].is_to_closed && self->streams[1].is_to_closed) self->end(false);
                    return;
                }
                asio::async_write(*stream.to, asio::buffer(stream.chunks.front().bytes),
                                  [self, &stream](error_code error, std::size_t) {
                                      if (self->is_closed) return;
                                      if (error) return self->end(true);
                                      stream.is_writing = false;
                                      stream.buffered_bytes -= stream.chunks.front().bytes.size();
                                      self->core->forwarded_bytes[std::size_t(stream.direction)] +=
                                          stream.chunks.front().bytes.size();
                                      stream.chunks.pop_front();
                                      self->write(stream);
                                      self->read(stream);
                                  });
            });
        }
        void end(bool reset) {
            if (std::exchange(is_closed, true)) return;
            for (tcp::socket* one : {&client_socket, &target_socket}) {
                error_code ignored;
                if (reset) one->set_option(asio::socket_base::linger(true, 0), ignored);
                one->close(ignored);
            }
            for (Stream& stream : streams) stream.timer.cancel();
            core->open_connections.remove_if(
                [this](const auto& connection) { return connection.get() == this; });
        }

        Core* core;
        tcp::socket client_socket, target_socket;
        std::array<Stream, 2> streams;
        bool is_connected = false, is_closed = false;
    };

    Core(const Endpoint& listen, const Endpoint& to) : target(to), acceptor(io) {
        must_be_loopback(listen);
        must_be_loopback(to);
        start_listening(listen);
        at = acceptor.local_endpoint();
        thread = std::thread([this] { io.run(); });
    }
    ~Core() {
        work.reset();
        io.stop();
        thread.join();
        for (auto& connection : std::list(open_connections)) connection->end(true);
    }
    void start_listening(const Endpoint& listen) {
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
                ++accepted_connections;
                auto connection = std::make_shared<Connection>(*this, std::move(socket));
                open_connections.push_back(connection);
                connection->start();
            }
            accept();
        });
    }
    void resume() {
        for (auto& connection : std::list(open_connections)) connection->resume();
    }
    /// Runs a function on the relay's thread and returns its result.
    template <class F>
    auto call(F task_function) {
        std::packaged_task<decltype(task_function())()> task(std::move(task_function));
        auto out = task.get_future();
        asio::post(io, [&task] { task(); });
        return out.get();
    }

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    Endpoint target, at;
    tcp::acceptor acceptor;
    std::array<LinkState, 2> links{};
    std::list<std::shared_ptr<Connection>> open_connections;
    std::uint64_t accepted_connections = 0;
    std::array<std::uint64_t, 2> forwarded_bytes{};
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
void Relay::cut(Direction direction, bool on, LossMode loss_mode) {
    core_->call([&] {
        core_->links[std::size_t(direction)].is_cut = on;
        core_->links[std::size_t(direction)].loss_mode = loss_mode;
        core_->resume();
    });
}
void Relay::stall(bool on) {
    cut(Direction::Forward, on);
    cut(Direction::Backward, on);
}
void Relay::delay(Direction direction, Duration delay) {
    core_->call([&] { core_->links[std::size_t(direction)].delay = delay; });
}
void Relay::reset() {
    core_->call([&] {
        for (auto& connection : std::list(core_->open_connections)) connection->end(true);
    });
}
void Relay::refuse(bool on) {
    core_->call([&] {
        if (on == !core_->acceptor.is_open()) return;
        if (on)
            core_->acceptor.close();
        else
            core_->start_listening(core_->at);
    });
}
std::size_t Relay::open() const {
    return core_->call([&] { return core_->open_connections.size(); });
}
std::uint64_t Relay::connections() const {
    return core_->call([&] { return core_->accepted_connections; });
}
std::uint64_t Relay::forwarded_bytes(Direction direction) const {
    return core_->call([&] { return core_->forwarded_bytes[std::size_t(direction)]; });
}

}  // namespace ochrehub::lab
