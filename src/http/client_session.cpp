#include "http/client_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "base/log.h"
#include "http/receive.h"
#include "http/response_timeouts.h"

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// An id stays taken for so long behind the deadline of a request that may have been executed.
constexpr std::chrono::seconds kExecutedIdMemory{60};

}  // namespace

ClientSession::ClientSession(asio::ip::tcp::socket socket, Front& front, bool overloaded,
                             std::uint64_t number)
    : socket_(std::move(socket)),
      front_(front),
      connection_charge_(front.pool().account(), socket_),
      texts_charge_(front.pool().account(), MemoryAccount::Kind::Heads),
      overloaded_(overloaded),
      number_(number),
      outgoing_(front.pool().account()) {}

void ClientSession::start(Front::Table::Place place) {
    place_ = place;
    error_code error;
    socket_.non_blocking(true, error);
    parser_.emplace(front_.pool(), front_.profile().body_bytes());
    enter(State::Reading);
    // A loop that is behind most likely finds its request there.
    front_.behind() ? front_.read_later(shared_from_this()) : wait_to_read();
}

void ClientSession::enter(State state) {
    state_ = state;
    since_ = Steady::now();
}

void ClientSession::stand(Standing standing) {
    front_.stands(place_, standing_, standing);
    standing_ = standing;
}

void ClientSession::wait_to_read() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), watch = ++watch_](error_code error) {
                           if (self->state_ != State::Reading || watch != self->watch_) return;
                           if (error) return self->end();
                           if (self->front_.behind()) return self->front_.read_later(self);
                           self->read();
                       });
}

bool ClientSession::read_now() {
    if (state_ != State::Reading) return false;
    read();
    return state_ == State::Waiting;
}

// A client that has given up has closed, with its request unread before its close. To carry that out and find
// the close behind it would cost as much as one that somebody waits for, and at such times there are many.
bool ClientSession::still_there(Duration age) {
    Look seen;
    if (age >= LagMeter::kOld) seen = look(socket_, age);
    TimePoint now = front_.engine().now();
    came_ = now - seen.age;
    front_.lag().read(now, seen.age);
    return !seen.gone;
}

void ClientSession::read() {
    for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
        bool has_memory = front_.has_memory(!begun_);
        if (state_ != State::Reading) return;  // it stood still itself
        if (!has_memory) {
            front_.figures().refused_for_memory();
            return reject_half_sent();
        }
        if (!unread_) unread_ = front_.pool().take();
        char* free_space = unread_.free_space();
        Received got = receive(socket_, free_space, unread_.free_bytes());
        if (got.error == asio::error::would_block) break;
        if (got.error || !still_there(got.age)) return end();
        if (!begun_) {
            begun_ = true;
            // Only the first byte sets the time, and of the first request not even that: whoever sends byte
            // by byte, or says nothing for long, must not hold a connection for as long as it likes.
            if (!first_) since_ = Steady::now();
            stand(first_ ? Standing::Starting : Standing::Busy);
        }
        heard_ = Steady::now();
        body_read_ += got.bytes;
        unread_.add(got.bytes);
        if (parse()) return;
    }
    if (unread_.view().empty()) unread_.release();
    wait_to_read();
}

// There is no room for the rest of it.
void ClientSession::reject_half_sent() {
    close_after_ = true;
    if (!begun_) heard_ = Steady::now();  // nothing of it has been read: the figures time it from here
    reject_unread(503, retry_after_header(front_.admission().reject_connection(front_.engine().now(), {})));
}

/// True if the request is whole or wrong, and so needs no more bytes.
bool ClientSession::parse() {
    namespace beast = boost::beast::http;
    while (!unread_.view().empty()) {
        error_code bad;
        std::size_t used = parser_->put(asio::buffer(unread_.view().data(), unread_.view().size()), bad);
        unread_.drop_front(used);
        if (bad == beast::error::need_more) break;
        if (bad && bad != beast::error::need_buffer) {
            close_after_ = true;
            int status = bad == beast::error::header_limit ? 431
                         : bad == beast::error::body_limit ? 413
                                                           : 400;
            reject_unread(status);
            return true;
        }
        if (!parser_->is_done() && parser_->is_header_done() && parser_->long_body()) break;
        if (parser_->is_done()) {
            dispatch();
            return true;
        }
        if (used == 0) break;
    }
    if (parser_->is_header_done() && !told_to_continue_ && !parser_->message().http_1_0 &&
        same_name(parser_->message().header("Expect"), "100-continue")) {
        told_to_continue_ = true;
        error_code ignored;
        socket_.write_some(asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), ignored);
    }
    if (parser_->is_header_done() && parser_->long_body()) {
        begin_upload();
        return true;
    }
    return false;
}

// A process that is told to stop is killed some time behind the longest deadline: what comes meanwhile has
// less time than its client gives it, or its client would see the connection break.
TimePoint ClientSession::limit_by_stop(TimePoint deadline) {
    limited_by_stop_ = deadline > front_.respond_by();
    return std::min(deadline, front_.respond_by());
}

void ClientSession::count_given_up_for_stop() {
    log(LogLevel::Warn, "stopping: a request ends before its own deadline",
        {{"class", class_ == kNone ? "-" : front_.class_name(class_)}});
    front_.figures().given_up_for_stop();
}

void ClientSession::dispatch() {
    again_ = !std::exchange(first_, false);
    front_.was_read();
    stand(Standing::Busy);
    close_after_ = !parser_->keep_alive() || overloaded_;
    std::shared_ptr<HttpMessage> request = parser_->take();
    http_1_0_ = request->http_1_0;
    if (unread_.view().empty()) unread_.release();
    if (request->target == "/healthz") {
        if (request->method != "GET") return reject(405, "Allow: GET\r\n");
        return reject(front_.serves() ? 200 : 503);
    }
    CallReader::Reading reading = front_.calls().read(*request, came_);
    class_ = reading.call.request.class_index, tenant_ = reading.call.request.tenant;
    patience_ = reading.patience;
    if (upload_) upload_->set_patience(patience_);
    reading.call.request.receiving_body = bool(upload_);
    if (!upload_) figured_ = front_.figures().came(class_, tenant_, heard_);
    entered_ = front_.engine().now();
    admission_request_ = {reading.call.request.class_index, reading.call.request.tenant,
                          reading.call.request.is_client_retry, number_, bool(upload_)};
    if (overloaded_) return refuse(front_.admission().reject_connection(entered_, admission_request_));
    if (reading.status != 200) {
        close_after_ = true;
        return reject(reading.status, reading.status == 405 ? "Allow: " + reading.allow + "\r\n" : "");
    }
    TimePoint& deadline = reading.call.request.deadline;
    deadline = limit_by_stop(deadline);
    if (limited_by_stop_ && entered_ >= deadline) {
        count_given_up_for_stop();
        return refuse(front_.admission().reject_connection(entered_, admission_request_));
    }
    if (entered_ - came_ >= front_.lag().most(reading.patience) && reading.patience.count() > 0)
        return refuse(front_.admission().reject_connection(entered_, admission_request_));
    if (!front_.profile().makes_trace_ids) {
        trace_ = request->header("X-Trace-Id");
        charge_texts();
        if (!front_.claim(trace_)) {
            close_after_ = true;
            return reject(409);
        }
        if (!claim_execution()) {
            front_.release(trace_);
            close_after_ = true;
            return reject(409);
        }
    } else if (request->header("X-Trace-Id").empty()) {
        request->headers.erase_if(
            [](const Headers::Field& field) { return same_name(field.first, "X-Trace-Id"); });
        request->headers.add("X-Trace-Id", front_.calls().make_trace_id());
    }
    head_only_ = request->method == "HEAD";
    if (auto back = front_.admission().admit(entered_, admission_request_)) {
        if (!trace_.empty()) front_.release(trace_);
        release_execution();
        return refuse(*back);
    }
    rewrites_ = front_.rewrites();
    if (rewrites_) rewrite(*request, reading.call.request.class_index);
    reading.call.message = std::move(request);
    enter(State::Waiting);
    request_ = front_.engine().submit(std::move(reading.call), shared_from_this());
    if (!upload_) watch_client();
}

// Guards against an order that is executed twice: its client has left before it had its answer, and sends it
// again under the same id, to this process or to the other one of an upgrade.
bool ClientSession::claim_execution() {
    if (!front_.executes_once(class_)) return true;
    executes_once_ = front_.executed_ids().claim(trace_, entered_, patience_ + kExecutedIdMemory);
    if (!executes_once_)
        log(LogLevel::Warn, "a request came again that may have been executed: not sent",
            {{"class", front_.class_name(class_)}});
    return executes_once_;
}

void ClientSession::release_execution() {
    if (std::exchange(executes_once_, false)) front_.executed_ids().release(trace_, front_.engine().now());
}

bool ClientSession::is_client_disconnected() {
    if (state_ == State::Closed) return true;
    if (state_ != State::Waiting || !http::gone(socket_.native_handle())) return false;
    // Later: whoever asks is in the midst of what a close would call off.
    asio::post(front_.io(), [self = shared_from_this(), request = request_] {
        if (self->state_ == State::Waiting && self->request_ == request) self->end();
    });
    return true;
}

// A full buffer is not read on, and so no end shows behind it. And what has been written may lie in this
// side's system: megabytes, of which a client that reads slowly takes some for longer than it may stand
// still.
void ClientSession::look_after() {
    if (state_ == State::Writing || state_ == State::Lingering) {
        int left = unacknowledged(socket_.native_handle());
        if (left == 0 && !blocked_) taken_.reset();
        taken_.moved(outgoing_.written() - left);
        // Only who is waited for can be too slow.
        if (blocked_ || state_ == State::Lingering)
            reading_rate_.look(outgoing_.written() - left);
        else
            reading_rate_.reset(outgoing_.written() - left);
    }
    bool unwatched = upload_ ? upload_->blocked() : !reads_ahead();
    if (state_ == State::Waiting && unwatched) (void)is_client_disconnected();
}

void ClientSession::charge_texts() {
    texts_charge_.set(trace_.capacity() + path_.capacity() + class_name_.capacity());
}

// Here and not where attempts start: each of them sends the same.
void ClientSession::rewrite(HttpMessage& request, int class_index) {
    class_name_ = front_.class_name(class_index);
    path_ = path_of(request.target);
    charge_texts();
    error_code unknown;
    asio::ip::address address = socket_.remote_endpoint(unknown).address();
    if (address.is_v6() && address.to_v6().is_v4_mapped())
        address = asio::ip::make_address_v4(asio::ip::v4_mapped, address.to_v6());
    rewrites_->request(request.headers, class_name_, path_, unknown ? "unknown" : address.to_string());
}

// A client that closes its connection has gone away. What it sends on before that is kept, so that its close
// shows behind it; one that fills the buffer is read no further till it is answered, and only looked after.
void ClientSession::watch_client() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), watch = ++watch_](error_code error) {
                           if (self->state_ != State::Waiting || watch != self->watch_) return;
                           if (!self->reads_ahead()) return;
                           Buffer& unread = self->unread_;
                           if (!unread) unread = self->front_.pool().take();
                           Received got;
                           char* free_space = unread.free_space();
                           if (!error) got = receive(self->socket_, free_space, unread.free_bytes());
                           if (!error) error = got.error;
                           unread.add(got.bytes);
                           self->heard_ = Steady::now();
                           if (got.bytes > 0) self->came_ = self->front_.engine().now() - got.age;
                           if (error && error != asio::error::would_block) return self->end();
                           if (unread.view().empty()) unread.release();
                           self->watch_client();
                       });
}

bool ClientSession::reads_ahead() const {
    if (front_.pool().account().is_tight()) return unread_ && unread_.free_bytes() > 0;
    return !unread_ || !unread_.is_full();
}

/// The request goes on for nobody, its client's connection or not.
void ClientSession::call_off() {
    if (!trace_.empty()) front_.release(trace_);
    if (!front_.engine().may_have_been_executed(request_)) release_execution();
    executes_once_ = false;
    front_.engine().client_disconnected(request_);
    TimePoint now = front_.engine().now();
    front_.admission().complete(now, admission_request_, false, now - entered_);
}

/// The answer in hand ends the connection. A node that stops ends each behind its answer; what it has read of
/// a next request would be lost with it, so that has its turn first, as long as there is time.
bool ClientSession::last() const {
    return close_after_ || (front_.draining() && (front_.ending() || unread_.view().empty()));
}

}  // namespace ochrehub::http
