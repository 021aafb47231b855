#include "lab/play/link.h"

#include <array>
#include <boost/asio/buffer.hpp>

#include "lab/play/address.h"

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadAtOnce = std::size_t{64} * 1024;  // then others have their turn
constexpr std::size_t kUnreadMost = std::size_t{1} << 20;    // of a node that sends on without being answered

}  // namespace

Link::Link(Loop& loop, asio::ip::tcp::socket socket)
    : loop_(loop), socket_(std::move(socket)), messages_(loop.pool()) {
    error_code unknown;
    local_ = socket_.local_endpoint(unknown);
}

void Link::start() {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    wait_to_read();
}

void Link::wait_to_read() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (!self->open()) return;
        error ? self->lost() : self->read();
    });
}

void Link::read() {
    look();
    if (!open()) return;
    wait_to_read();
    proceed();
}

// Reads while the far side's words are not to be heard, too: its close must show, and when its first byte
// came.
void Link::look() {
    std::array<char, 16384> bytes;
    for (std::size_t read = 0; open() && read < kReadAtOnce;) {
        error_code error;
        std::size_t got = socket_.read_some(asio::buffer(bytes), error);
        if (error == asio::error::would_block) return;
        if (error) return lost();
        read += got;
        read_at_ = loop_.now();
        if (passage_.silent) continue;
        if (!messages_.begun()) first_byte_at_ = read_at_;
        messages_.add({bytes.data(), got});
        if (messages_.unread() > kUnreadMost) return lost();
    }
}

void Link::proceed() {
    if (proceeding_) return;
    proceeding_ = true;
    auto self = shared_from_this();
    while (open() && passage_.in && !passage_.silent && ready()) {
        auto state = messages_.next();
        if (state == Messages<true>::State::NeedMore) break;
        if (state == Messages<true>::State::Bad) {
            unreadable();
            break;
        }
        TimePoint first = first_byte_at_;
        first_byte_at_ = read_at_;
        request(messages_.take(), first, read_at_);
    }
    proceeding_ = false;
}

void Link::pass(const Passage& passage) {
    passage_ = passage;
    if (!open()) return;
    if (passage_.out && !passage_.silent) write();
    proceed();
}

void Link::send(std::string bytes, bool close_behind, std::function<void()> before) {
    if (!open()) return;
    out_.push_back({std::move(bytes), std::move(before), close_behind});
    write();
}

void Link::write() {
    while (open() && !out_.empty() && passage_.out && !passage_.silent) {
        Piece& piece = out_.front();
        if (piece.before) std::exchange(piece.before, nullptr)();
        error_code error;
        if (written_ < piece.bytes.size())
            written_ += socket_.write_some(asio::buffer(piece.bytes) + written_, error);
        if (error == asio::error::would_block) {
            if (waiting_to_write_) return;
            waiting_to_write_ = true;
            socket_.async_wait(asio::ip::tcp::socket::wait_write,
                               [self = shared_from_this()](error_code failed) {
                                   self->waiting_to_write_ = false;
                                   if (!failed && self->open()) self->write();
                               });
            return;
        }
        if (error) return;  // the read hears of it too, and tells
        if (written_ < piece.bytes.size()) continue;
        bool closes = piece.close_behind;
        written_ = 0;
        out_.pop_front();
        if (closes) return end(false);
    }
}

void Link::end(bool hard) {
    if (!open()) return;
    if (hard) return reset(socket_);
    // Closing with bytes unread would reset the connection, and the answer before it.
    error_code ignored;
    std::array<char, 16384> dropped;
    while (socket_.read_some(asio::buffer(dropped), ignored) > 0) {
    }
    socket_.close(ignored);
}

void Link::lost() {
    error_code ignored;
    socket_.close(ignored);
    gone();
}

}  // namespace ochrehub::lab
