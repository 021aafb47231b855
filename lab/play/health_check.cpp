#include "lab/play/health_check.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Duration kStep{10}, kMost{500};

}  // namespace

std::shared_ptr<HealthCheck> HealthCheck::begin(Loop& loop, const Endpoint& at, std::function<void()> up) {
    std::shared_ptr<HealthCheck> made(new HealthCheck(loop, at, std::move(up)));
    made->ask();
    return made;
}

HealthCheck::HealthCheck(Loop& loop, const Endpoint& at, std::function<void()> up)
    : loop_(loop), at_(at), up_(std::move(up)), socket_(loop.io()) {}

void HealthCheck::stop() {
    up_ = nullptr;
    ++turn_;
    error_code ignored;
    socket_.close(ignored);
}

void HealthCheck::ask() {
    if (!up_) return;
    std::size_t turn = ++turn_;
    heard_.clear();
    socket_ = asio::ip::tcp::socket(loop_.io());
    socket_.async_connect(at_, [self = shared_from_this(), turn](error_code failed) {
        if (turn != self->turn_) return;
        if (failed) return self->again();
        static const std::string request = "GET /healthz HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
        asio::async_write(self->socket_, asio::buffer(request), [self, turn](error_code, std::size_t) {
            if (turn == self->turn_) self->read(turn);
        });
    });
    loop_.scheduler().call_at(loop_.now() + kMost, [self = shared_from_this(), turn] {
        if (turn == self->turn_) self->again();
    });
}

void HealthCheck::read(std::size_t turn) {
    asio::async_read_until(socket_, asio::dynamic_buffer(heard_, 4096), "\r\n",
                           [self = shared_from_this(), turn](error_code, std::size_t) {
                               if (turn != self->turn_) return;
                               if (self->heard_.rfind("HTTP/1.1 200", 0) != 0) return self->again();
                               auto up = std::move(self->up_);
                               self->stop();
                               up();
                           });
}

void HealthCheck::again() {
    error_code ignored;
    socket_.close(ignored);
    ++turn_;
    loop_.scheduler().call_at(loop_.now() + kStep, [self = shared_from_this()] { self->ask(); });
}

}  // namespace ochrehub::lab
