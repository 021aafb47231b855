// The part of ClientSession that gives up a connection whose client stands still, for others.
#include <algorithm>

#include "http/client_session.h"
#include "http/receive.h"

namespace ochrehub::http {

namespace asio = boost::asio;

// Of the request in hand: the bytes of one that came along with the request before it are older than its
// turn.
ClientSession::Steady::time_point ClientSession::last_received() const {
    return std::max(heard_, since_);
}

std::size_t ClientSession::held_bytes() const {
    std::size_t bytes =
        MemoryAccount::kConnectionBytes + unread_.capacity() + texts_charge_.bytes() + outgoing_.held_bytes();
    if (parser_ && parser_->has_message()) bytes += parser_->message().held_bytes();
    return bytes;
}

// A request that comes too slowly, by its whole time or because nothing more has come, and a response that is
// taken too slowly. Who waits for its response does not stand still.
std::optional<Stall> ClientSession::stall() {
    Stall stall{{}, held_bytes(), false};
    bool receives_body = state_ == State::Waiting && upload_ && !upload_->blocked();
    if ((state_ == State::Reading && begun_) || receives_body) {
        Steady::time_point now = Steady::now();
        std::chrono::duration<double, std::milli> age = now - since_;
        bool is_slow = age >= kMinRequestTime && double(body_read_) < kMinBytesPerMs * age.count();
        bool is_still = now - last_received() >= kMinRequestTime;
        if (!is_slow && !is_still) return std::nullopt;
        stall.time = is_slow ? now - since_ : now - last_received();
        stall.holds_server = receives_body;
        return stall;
    }
    bool is_written = state_ == State::Reading || state_ == State::Lingering;
    int left = unacknowledged(socket_.native_handle());
    bool is_waited_for = (state_ == State::Writing && blocked_) || (is_written && left > 0);
    if (!is_waited_for) return std::nullopt;
    reading_rate_.look(outgoing_.written() - left);
    stall.time = reading_rate_.stalled();
    stall.holds_server = outgoing_.streams();
    return stall.time > Steady::duration{} ? std::optional(stall) : std::nullopt;
}

void ClientSession::close_stalled() {
    if (state_ == State::Waiting) {  // its server never gets the last byte
        call_off();
        close_after_ = true;
        return refuse(front_.admission().reject(front_.engine().now(), admission_request_));
    }
    if (state_ == State::Reading && begun_) return reject_half_sent();
    // Bytes that wait for it in the kernel would stay there for minutes; a reset says that they do not come.
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    end();
}

}  // namespace ochrehub::http
