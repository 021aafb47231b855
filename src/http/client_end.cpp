// The part of ClientSession that ends its connection: lingering closes, time-outs, making way, a stop.
#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>

#include "http/client_session.h"
#include "http/receive.h"
#include "http/response_timeouts.h"

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::seconds kMaxLinger{1};
/// A long body goes on coming until its client has read the response.
constexpr std::chrono::seconds kMaxUploadLinger{10};
/// While the node stops: of a response that its client does not read.
constexpr std::chrono::milliseconds kMaxUnreadAtStop{500};
/// ... and of one whose server gives nothing more.
constexpr std::chrono::milliseconds kMaxSilenceAtStop = ResponseTimeouts::kMaxPause;
/// The request of a newer connection may still be on its way.
constexpr std::chrono::milliseconds kMinNewConnectionAge{100};
/// Of a body that is held whole, once its head is there.
constexpr double kMinBodyBytesPerMs = 32;

}  // namespace

// Closing with bytes unread would reset the connection, and the answer with it: waits for the client's close.
void ClientSession::linger() {
    if (state_ != State::Lingering) {
        enter(State::Lingering);
        stand(Standing::Leaving);
        unread_.release();
        parser_.reset();
        error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }
    socket_.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (self->state_ != State::Lingering) return;
        // Once a turn, not till nothing is left: a client that never stops would hold the loop.
        if (!error) error = self->drop_unread();
        !error || error == asio::error::would_block ? self->linger() : self->end();
    });
}

/// What one read takes.
error_code ClientSession::drop_unread() {
    static std::array<char, BufferPool::kSize> dropped;
    error_code error;
    socket_.read_some(asio::buffer(dropped), error);
    return error;
}

bool ClientSession::owes() {
    return unacknowledged(socket_.native_handle()) > 0;
}

bool ClientSession::end_unread() {
    if (state_ != State::Writing || !(blocked_ || owes()) || taken_.stood() < kMaxUnreadAtStop) return false;
    end_unfinished_response();
    return true;
}

bool ClientSession::end_silent() {
    if (state_ != State::Writing || !waits_for_server_ || stood() < kMaxSilenceAtStop) return false;
    end_unfinished_response();
    return true;
}

bool ClientSession::unread_in_socket() {
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return !error;
}

bool ClientSession::spare() {
    if (state_ == State::Lingering) return !owes();
    return state_ == State::Reading && (first_ || !begun_) && !unread_in_socket();
}

// At once, as its descriptor is needed. What it has sent on meanwhile is read, or the close would reset it.
void ClientSession::close() {
    if (state_ == State::Reading && begun_) reject_half_sent();
    if (state_ == State::Lingering) drop_unread();
    end();
}

void ClientSession::end() {
    if (state_ == State::Closed) return;
    bool owed = state_ == State::Waiting;
    enter(State::Closed);
    error_code ignored;
    socket_.close(ignored);
    unread_.release();
    if (upload_) break_off_upload();
    parser_.reset();
    outgoing_.clear();
    if (figured_) front_.figures().left(*figured_);
    figured_.reset();
    if (owed) call_off();
    front_.closed(place_, standing_);
}

void ClientSession::end_rest() {
    if (state_ != State::Reading || begun_ || (first_ && stood() < kMinNewConnectionAge) ||
        unread_in_socket())
        return;
    linger();
}

/// True if its request is still not whole when all that lies there has been read: the clock by which its time
/// ends runs on while the node stands still.
bool ClientSession::half_sent() {
    if (state_ != State::Reading || !begun_) return false;
    Steady::time_point since = since_;
    if (unread_ && parse()) return false;
    if (unread_in_socket()) {
        ++watch_;
        read();
    }
    return state_ == State::Reading && begun_ && since_ == since;
}

// A body that still comes has no time left, also where more of it is unread: what comes behind the node's end
// would never be answered.
void ClientSession::end_half_sent() {
    if (state_ == State::Waiting && upload_) {
        count_given_up_for_stop();
        call_off();
        close_after_ = true;
        return reject(408);
    }
    if (!half_sent()) return;
    close_after_ = true;
    reject_unread(408);
}

bool ClientSession::late() const {
    if (state_ == State::Waiting) return upload_ && upload_->client_too_slow();
    if (state_ == State::Writing) return taken_.too_slow();  // a silent server is its connection's matter
    auto most = [this]() -> Steady::duration {
        if (state_ == State::Lingering) return long_linger_ ? kMaxUploadLinger : kMaxLinger;
        if (!begun_) return front_.profile().client_idle;
        if (Steady::now() - last_received() > front_.profile().request_most) return {};
        // A body may be slow, but not as slow as it likes.
        Duration of_body{parser_->is_header_done() ? double(body_read_) / kMinBodyBytesPerMs : 0};
        return front_.profile().request_most + std::chrono::duration_cast<Steady::duration>(of_body);
    };
    return (state_ == State::Reading || state_ == State::Lingering) && stood() > most();
}

void ClientSession::time_out() {
    if (!late() || (state_ == State::Reading && !begun_ && unread_in_socket())) return;
    if (state_ == State::Reading && !begun_) return linger();
    if (state_ == State::Reading) {
        if (!half_sent() || !late()) return;
        close_after_ = true;
        return reject_unread(408);
    }
    if (state_ == State::Waiting) {
        if (unread_in_socket()) return;  // goes on
        call_off();
        close_after_ = true;
        return reject(408);
    }
    // A close resets a client that goes on sending, and what it has not got of its answer goes with it.
    bool cuts = state_ == State::Lingering && owes() && !taken_.too_slow();
    if (state_ == State::Writing) return end_unfinished_response();
    if (!cuts) close();
}

}  // namespace ochrehub::http
