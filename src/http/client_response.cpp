// The part of ClientSession that writes responses: the engine's, the node's own, and what follows them.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "http/client_session.h"

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

void ClientSession::respond(FinalResponse reply) {
    if (state_ != State::Waiting) return;
    error_code ignored;
    socket_.cancel(ignored);  // the watch
    if (!trace_.empty()) front_.release(trace_);
    if (reply.status == FinalStatus::Rejected) release_execution();
    TimePoint now = front_.engine().now();
    front_.admission().complete(now, admission_request_, reply.status == FinalStatus::Served, now - entered_,
                                reply.server_took);
    if (limited_by_stop_ && reply.status != FinalStatus::Served && now >= front_.respond_by())
        count_given_up_for_stop();
    if (reply.status == FinalStatus::Rejected)
        return refuse(front_.admission().reject(now, admission_request_));
    if (reply.status == FinalStatus::Failed) return reject(reply.timed_out ? 504 : 502);
    pass_on(std::static_pointer_cast<const HttpMessage>(std::move(reply.message)));
}

/// An answer of a server's.
void ClientSession::pass_on(std::shared_ptr<const HttpMessage> message) {
    int status = message->status;
    bool until_close = message->rest && !message->length && http_1_0_;
    if (until_close || upload_) close_after_ = true;
    close_after_ = last();
    std::optional<std::uint64_t> length = message->body_view().size();
    if (message->rest) length = message->length;
    if (status == 204 || status == 304)
        length.reset();
    else if (head_only_)  // how long the body would have been, where the server says so
        length = read_number<std::uint64_t>(message->header("Content-Length"));
    std::string head = answer_head(status, length, close_after_);
    bool chunked = message->rest && !length && !until_close;
    if (chunked) put_header(head, "Transfer-Encoding", "chunked");
    if (http_1_0_ && !close_after_) put_header(head, "Connection", "keep-alive");
    Headers headers = message->headers;
    headers.erase_if(
        [](const Headers::Field& field) { return same_name(field.first, "Endpoint-Load-Metrics"); });
    if (rewrites_) rewrites_->answer(headers, class_name_, path_);
    for (const auto& [name, value] : headers)
        if (!hop_by_hop(name)) put_header(head, name, value);
    respond(status, head + "\r\n", std::move(message), chunked);
}

void ClientSession::refuse(Duration back) {
    reject(503, retry_after_header(back));
}

/// An answer of the node's own, without a body.
void ClientSession::reject(int status, const std::string& extra) {
    close_after_ = last() || bool(upload_);
    std::string head = answer_head(status, 0, close_after_);
    if (http_1_0_ && !close_after_) put_header(head, "Connection", "keep-alive");
    respond(status, head + extra + "\r\n", nullptr, false);
}

/// The same to a request that is not whole or cannot be read, of what is known of it so far.
void ClientSession::reject_unread(int status, const std::string& extra) {
    const RequestArrived known = front_.calls().read(parser_->message(), came_).call.request;
    figured_ = front_.figures().came(known.class_index, known.tenant, heard_, false);
    reject(status, extra);
}

void ClientSession::respond(int status, std::string head, std::shared_ptr<const HttpMessage> body,
                            bool chunked) {
    status_ = status;
    if (upload_) {  // answered before all of it was there: what still comes is read and means nothing
        figured_ = front_.figures().came(class_, tenant_, heard_);
        break_off_upload();
        long_linger_ = true;
    }
    outgoing_.set(std::move(head), std::move(body), chunked);
    taken_.reset();
    reading_rate_.reset(outgoing_.written());
    waits_for_server_ = false;
    enter(State::Writing);
    write();
}

void ClientSession::write() {
    Outgoing::State state = outgoing_.write_to(socket_);
    blocked_ = state == Outgoing::State::Blocked;
    if (!blocked_) since_ = Steady::now();
    if (state == Outgoing::State::Failed) return end();
    if (state == Outgoing::State::Whole) return write_rest() ? next() : void();
    socket_.async_wait(asio::ip::tcp::socket::wait_write, [self = shared_from_this()](error_code failed) {
        if (self->state_ != State::Writing) return;
        failed ? self->end() : self->write();
    });
}

/// True once all of the answer has been written; else it goes on by itself.
bool ClientSession::write_rest() {
    switch (outgoing_.next()) {
        case Outgoing::Next::Over:
            return true;
        case Outgoing::Next::Piece:
            write();
            return false;
        case Outgoing::Next::Broken:
            end_unfinished_response();
            return false;
        case Outgoing::Next::Wait:
            waits_for_server_ = true;
            watch_reader();
            outgoing_.rest().wait_for_data([self = shared_from_this(), watch = watch_] {
                if (self->state_ != State::Writing || watch != self->watch_) return;
                error_code ignored;
                self->socket_.cancel(ignored);
                ++self->watch_;
                self->waits_for_server_ = false;
                self->since_ = Steady::now();
                if (self->write_rest()) self->next();
            });
            return false;
    }
    return true;
}

// A client that cannot see from a length that more was to come must see it from a reset.
void ClientSession::end_unfinished_response() {
    error_code ignored;
    if (http_1_0_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    end();
}

// While nothing is there to write, only this shows that the client has gone. What it sends on is left for
// later.
void ClientSession::watch_reader() {
    socket_.async_wait(asio::ip::tcp::socket::wait_error,
                       [self = shared_from_this(), watch = ++watch_](error_code error) {
                           if (watch == self->watch_ && self->state_ == State::Writing && !error) self->end();
                       });
}

void ClientSession::next() {
    outgoing_.clear();
    release_execution();  // its client has its answer
    if (figured_) front_.figures().answered(*figured_, status_);
    figured_.reset();
    class_ = tenant_ = kNone;
    // A connection that stands idle keeps neither rules that have been replaced nor long texts.
    rewrites_.reset();
    std::string().swap(trace_);
    std::string().swap(path_);
    charge_texts();
    if (close_after_) return linger();
    parser_.emplace(front_.pool(), front_.profile().body_bytes());
    begun_ = told_to_continue_ = long_linger_ = false;
    body_read_ = unread_.view().size();
    enter(State::Reading);
    if (!unread_) {
        stand(again_ ? Standing::Idle : Standing::Once);
        return wait_to_read();
    }
    // The next request came along with the last. Read later: a buffer full of small ones, each answered from
    // inside the one before, would use up the stack.
    begun_ = true;
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->state_ == State::Reading && !self->parse()) self->wait_to_read();
    });
}

}  // namespace ochrehub::http
