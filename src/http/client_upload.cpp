// The part of ClientSession that forwards a long request body while it arrives.
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <string_view>
#include <utility>

#include "base/log.h"
#include "http/client_session.h"
#include "http/receive.h"

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

// A body that no buffer holds goes to a server as it comes. Its request is decided on now; its time runs from
// its last byte.
void ClientSession::begin_upload() {
    auto stream = std::make_shared<BodyStream>(front_.io(), front_.pool());
    parser_->pass_rest_to(stream);
    upload_ = std::make_unique<Upload>(std::move(stream));
    dispatch();
    if (state_ == State::Waiting) read_upload();
}

void ClientSession::read_upload() {
    if (state_ != State::Waiting || !upload_) return;
    for (int reads = 0; parse_upload() && reads < kMaxReadsPerTurn; ++reads) {
        if (!unread_) unread_ = front_.pool().take_for_stream();
        char* free_space = unread_.free_space();
        Received got = receive(socket_, free_space, unread_.free_bytes());
        if (got.error == asio::error::would_block) break;
        if (got.error) return end();
        heard_ = Steady::now();
        came_ = front_.engine().now() - got.age;
        body_read_ += got.bytes;
        upload_->received(heard_ - std::chrono::duration_cast<Steady::duration>(got.age), body_read_);
        unread_.add(got.bytes);
    }
    if (state_ != State::Waiting || !upload_ || upload_->blocked()) return;
    if (unread_.view().empty()) unread_.release();
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), watch = ++watch_](error_code error) {
                           if (watch != self->watch_ || self->state_ != State::Waiting) return;
                           error ? self->end() : self->read_upload();
                       });
}

/// False: it needs no more bytes now.
bool ClientSession::parse_upload() {
    while (!unread_.view().empty()) {
        error_code bad;
        std::size_t used = parser_->put(asio::buffer(unread_.view().data(), unread_.view().size()), bad);
        unread_.drop_front(used);
        if (bad == boost::beast::http::error::need_buffer) {
            block_upload();
            return false;
        }
        if (bad == boost::beast::http::error::need_more && (!unread_.is_full() || unread_.raise_max()))
            return true;
        if (bad) {
            call_off();
            close_after_ = true;
            reject(bad == boost::beast::http::error::body_limit ? 413 : 400);
            return false;
        }
        if (parser_->is_done()) {
            end_upload();
            return false;
        }
    }
    return true;
}

// What is unread then may be the rest of the body, and its client's time runs.
void ClientSession::block_upload() {
    upload_->block();
    chunked_end_.reset();
    upload_->stream().wait_for_room([self = shared_from_this(), upload = upload_.get()] {
        if (self->upload_.get() != upload) return;
        upload->unblock();
        self->heard_ = Steady::now();
        self->read_upload();
    });
    if (!upload_timer_set_) check_upload_at(upload_->first_check());
}

// Once for the client's patience at most, however often the upload is blocked meanwhile.
void ClientSession::check_upload_at(Steady::time_point at) {
    if (!upload_timer_) upload_timer_.emplace(front_.io());
    upload_timer_set_ = true;
    upload_timer_->expires_at(at);
    upload_timer_->async_wait([self = shared_from_this(), upload = upload_.get()](error_code stopped) {
        if (stopped || self->upload_.get() != upload) return;
        self->upload_timer_set_ = false;
        if (upload->blocked()) self->check_blocked_upload();
    });
}

// The engine ends the attempt, of which the server does not have the last byte, and has the request answered.
void ClientSession::check_blocked_upload() {
    UnreadBody unread = unread_body();
    if (auto again = upload_->next_check(unread, Steady::now())) return check_upload_at(*again);
    log(LogLevel::Warn, "a server does not take a request's body: given up",
        {{"class", front_.class_name(class_)}, {"read", body_read_}, {"unread", unread.bytes.value_or(0)}});
    front_.figures().upload_given_up();
    front_.engine().body_received(request_, front_.engine().now());
}

UnreadBody ClientSession::unread_body() {
    UnreadBody unread;
    error_code unknown;
    std::size_t in_socket = socket_.available(unknown);
    if (!unknown) {
        unread.bytes = unread_.view().size() + in_socket;
        if (auto remaining = parser_->content_length_remaining()) {
            unread.complete = *unread.bytes >= *remaining;
            unread.next_request_arrived = *unread.bytes > *remaining;
        } else {
            unread.complete = ends_like_chunked_body(in_socket);
        }
    }
    unread.age = since_last_arrival(socket_.native_handle());
    return unread;
}

// Each body in chunks ends in an empty line, also behind trailers, and so does a next request's head. Data
// that ends alike is taken for an end: its client's time may have begun.
std::optional<bool> ClientSession::ends_like_chunked_body(std::size_t in_socket) {
    constexpr std::string_view kEnd = "\r\n\r\n";
    if (chunked_end_ && chunked_end_->in_socket == in_socket) return chunked_end_->found;
    std::optional<std::string> tail = peek_tail(socket_.native_handle(), in_socket, kEnd.size());
    if (!tail) return {};
    std::string_view buffered = unread_.view();
    std::size_t missing = std::min(kEnd.size() - tail->size(), buffered.size());
    bool found = std::string(buffered.substr(buffered.size() - missing)) + *tail == kEnd;
    chunked_end_ = {in_socket, found};
    return found;
}

void ClientSession::end_upload() {
    upload_->stream().end();
    drop_upload();
    figured_ = front_.figures().came(class_, tenant_, heard_);
    if (unread_.view().empty()) unread_.release();
    front_.admission().body_received(admission_request_);
    front_.engine().body_received(request_, limit_by_stop(came_ + patience_));
    if (state_ == State::Waiting) watch_client();
}

void ClientSession::drop_upload() {
    upload_.reset();
    if (upload_timer_) upload_timer_->cancel();
    upload_timer_set_ = false;
}

void ClientSession::break_off_upload() {
    upload_->stream().break_off();
    drop_upload();
}

}  // namespace ochrehub::http
