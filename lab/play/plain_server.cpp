#include "lab/play/plain_server.h"

#include <fmt/format.h>
#include <pthread.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cstring>
#include <ctime>
#include <mutex>
#include <string_view>
#include <thread>
#include <unordered_set>

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kBuffer = 16 * 1024;
constexpr std::string_view kHeadEnd = "\r\n\r\n", kLength = "Content-Length: ";

}  // namespace

class PlainServer::Worker {
public:
    Worker(const Endpoint& at, std::size_t body_size) : acceptor_(io_) {
        std::string body = "attempt=0000000000000000;";
        body.resize(std::max(body.size(), body_size), '.');
        answer_ = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
        number_at_ = answer_.find("0000000000000000");
        acceptor_.open(at.protocol());
        int on = 1;
        // Both: the address is held by a socket that does not listen, and shared by all workers.
        setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        setsockopt(acceptor_.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
        acceptor_.bind(at);
        acceptor_.listen(4096);
        accept();
        thread_ = std::thread([this] { io_.run(); });
    }
    ~Worker() { stop(); }

    void stand_still(Duration length) {
        asio::post(io_, [length] { std::this_thread::sleep_for(length); });
    }
    std::uint64_t answered() const { return answered_.load(std::memory_order_relaxed); }
    double cpu_s() {
        std::lock_guard lock(ending_);
        if (!thread_.joinable()) return cpu_s_;
        clockid_t clock{};
        timespec spent{};
        if (pthread_getcpuclockid(thread_.native_handle(), &clock) != 0 || clock_gettime(clock, &spent) != 0)
            return 0;
        return double(spent.tv_sec) + double(spent.tv_nsec) / 1e9;
    }
    void stop() {
        cpu_s_ = cpu_s();
        io_.stop();
        std::lock_guard lock(ending_);
        if (thread_.joinable()) thread_.join();
    }

private:
    struct Connection : std::enable_shared_from_this<Connection> {
        Connection(Worker& w, asio::ip::tcp::socket s) : worker(w), socket(std::move(s)) {}

        void read() {
            socket.async_read_some(asio::buffer(in.data() + held, in.size() - held),
                                   [self = shared_from_this()](error_code error, std::size_t got) {
                                       if (error) return;
                                       self->held += got;
                                       if (self->serve()) self->read();
                                   });
        }
        /// Answers all that is whole; false where the connection is of no use any more.
        bool serve() {
            std::size_t at = 0;
            out.clear();
            while (at < held) {
                if (skip > 0) {  // of a body
                    std::size_t some = std::min(skip, held - at);
                    at += some;
                    skip -= some;
                    if (skip > 0) break;
                    worker.answer(out);
                    continue;
                }
                std::string_view rest(in.data() + at, held - at);
                std::size_t end = rest.find(kHeadEnd);
                if (end == std::string_view::npos) break;
                std::string_view head = rest.substr(0, end);
                std::size_t length = head.find(kLength);
                if (length != std::string_view::npos)
                    skip = std::strtoul(head.data() + length + kLength.size(), nullptr, 10);
                at += end + kHeadEnd.size();
                if (skip == 0) worker.answer(out);
            }
            std::memmove(in.data(), in.data() + at, held - at);
            held -= at;
            if (held == in.size()) return false;  // a head that never ends
            for (std::size_t written = 0; written < out.size();) {
                error_code error;
                written += socket.write_some(asio::buffer(out) + written, error);
                if (error == asio::error::would_block) {  // who does not read what it asks for
                    socket.wait(asio::ip::tcp::socket::wait_write, error);
                    continue;
                }
                if (error) return false;
            }
            return true;
        }

        Worker& worker;
        asio::ip::tcp::socket socket;
        std::array<char, kBuffer> in;
        std::size_t held = 0, skip = 0;
        std::string out;
    };

    void accept() {
        acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
            if (error == asio::error::operation_aborted) return;
            if (!error) {
                error_code ignored;
                socket.non_blocking(true, ignored);
                socket.set_option(asio::ip::tcp::no_delay(true), ignored);
                std::make_shared<Connection>(*this, std::move(socket))->read();
            }
            accept();
        });
    }
    void answer(std::string& out) {
        std::uint64_t number = answered_.load(std::memory_order_relaxed) + 1;
        answered_.store(number, std::memory_order_relaxed);
        std::size_t from = out.size() + number_at_;
        out += answer_;
        for (std::size_t i = 16; i > 0 && number > 0; --i, number /= 10)
            out[from + i - 1] = char('0' + number % 10);
    }

    asio::io_context io_{1};
    asio::ip::tcp::acceptor acceptor_;
    std::string answer_;
    std::size_t number_at_ = 0;
    std::atomic<std::uint64_t> answered_ = 0;
    std::mutex ending_;
    std::thread thread_;
    double cpu_s_ = 0;
};

PlainServer::PlainServer(int threads, std::size_t body_size) : holder_(std::make_unique<asio::io_context>()) {
    held_ = std::make_unique<Held>(*holder_, machine(250));
    for (int i = 0; i < std::max(1, threads); ++i)
        workers_.push_back(std::make_unique<Worker>(held_->at(), body_size));
}

PlainServer::~PlainServer() = default;

const Endpoint& PlainServer::address() const {
    return held_->at();
}

void PlainServer::stand_still(Duration length) {
    for (auto& worker : workers_) worker->stand_still(length);
}

std::uint64_t PlainServer::answered() const {
    std::uint64_t sum = 0;
    for (const auto& worker : workers_) sum += worker->answered();
    return sum;
}

double PlainServer::cpu_s() const {
    double sum = 0;
    for (const auto& worker : workers_) sum += worker->cpu_s();
    return sum;
}

void PlainServer::stop() {
    for (auto& worker : workers_) worker->stop();
}

}  // namespace ochrehub::lab
