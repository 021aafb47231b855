#include "http/connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "http/receive.h"
#include "http/socket_buffers.h"

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kInterimMost = 16;
/// While memory is exhausted, a stream is tried again after this time.
constexpr std::chrono::milliseconds kExhaustedRetry{20};

/// A kernel that cannot stamp leaves open when bytes came: then they came when they are read.
void stamp(asio::ip::tcp::socket& socket) {
    int on = 1;
    (void)setsockopt(socket.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
}

}  // namespace

Connection::Connection(asio::io_context& io, BufferPool& pool, const Endpoint& to, Duration connect_timeout,
                       std::chrono::milliseconds stall, bool ends_whole)
    : io_(io),
      pool_(pool),
      socket_(io),
      timer_(io),
      to_(to),
      connect_timeout_(connect_timeout),
      ends_whole_(ends_whole),
      charge_(pool.account(), socket_),
      outgoing_(pool.account()) {
    timeouts_.reset({stall, stall, false});
}

void Connection::expect_answer() {
    parser_.emplace(pool_, whole_most_ > 0 ? whole_most_ : body_most_);
    if (whole_most_ > 0) parser_->hold_whole();
    if (head_only_) parser_->skip(true);
}

void Connection::exchange(std::string head, std::shared_ptr<const HttpMessage> request, Done done) {
    exchange([head = std::move(head)] { return std::optional(head); }, std::move(request), std::move(done),
             nullptr);
}

void Connection::exchange(Head head, std::shared_ptr<const HttpMessage> request, Done done,
                          std::function<void()> on_written) {
    ++turn_;
    lost_ = nullptr;
    head_only_ = request && request->method == "HEAD";
    head_ = std::move(head);
    request_ = std::move(request);
    watched_ = writing_ = cut_ = false;
    done_ = std::move(done);
    on_written_ = std::move(on_written);
    written_ = false;
    unasked_ = heard_ = early_ = spoke_ = false;
    asked_at_ = {};
    expect_answer();
    interims_ = 0;
    starting_ = true;
    if (socket_.is_open()) {
        error_code ignored;
        socket_.cancel(ignored);  // the rest's wait
        begin();
    } else {
        connect();
    }
    starting_ = false;
}

void Connection::connect() {
    opened_at_ = TimePoint{Duration(std::chrono::system_clock::now().time_since_epoch())};
    error_code error;
    socket_.open(to_.protocol(), error);
    if (!error) socket_.non_blocking(true, error);
    if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
    if (!error) stamp(socket_);
    if (!error) bound_socket_buffers(socket_.native_handle(), pool_.memory_mb());
    if (error) return finish(End::NotSent);  // no descriptor, say
    arm(std::chrono::duration_cast<Steady::duration>(connect_timeout_), [this] { finish(End::NotSent); });
    socket_.async_connect(to_, [self = shared_from_this(), turn = turn_](error_code failed) {
        if (turn != self->turn_) return;
        self->disarm();
        if (failed) return self->finish(End::NotSent);
        // It may have come up long ago, and been given up since.
        if (self->seen_closed()) {
            self->unasked_ = self->spoke_;
            return self->finish(End::NotSent);
        }
        self->begin();
    });
}

// Guards against a time-out that is told in the same turn as what it waited for: it is queued already.
void Connection::arm(Steady::duration after, std::function<void()> then) {
    timer_.expires_after(after);
    timer_.async_wait([self = shared_from_this(), turn = turn_, armed = ++armed_,
                       then = std::move(then)](error_code stopped) {
        if (!stopped && turn == self->turn_ && armed == self->armed_) then();
    });
}

void Connection::disarm() {
    ++armed_;
    timer_.cancel();
}

void Connection::wait_for_answer() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), turn = turn_](error_code failed) {
                           if (turn != self->turn_) return;
                           failed ? self->finish(self->written_ ? End::Broken : End::NotSent) : self->read();
                       });
}

void Connection::read() {
    if (stream_ && !unread_ && pool_.account().is_exhausted() && readable(socket_.native_handle())) {
        timeouts_.resumed(Steady::now());  // others hold all memory there is: their clients are slow
        return arm(kExhaustedRetry, [this] { read(); });
    }
    if (!unread_) unread_ = stream_ ? pool_.take_for_stream() : pool_.take();
    // One buffer a turn: a server that never stops must not hold the loop.
    for (std::size_t read = 0; read < BufferPool::kSize;) {
        error_code error;
        if (unread_.is_full() && !unread_.raise_max()) return finish(End::Garbage);
        char* free_space = unread_.free_space();
        Received received = receive(socket_, free_space, unread_.free_bytes());
        error = received.error;
        std::size_t got = received.bytes;
        if (error == asio::error::would_block) break;
        if (!error && !heard_ && came_too_soon(received.age)) return finish(End::Garbage);
        bool ends_it = ends_whole_ || (parser_->is_header_done() && parser_->message_says_close());
        // A reset that a write has been told of is read as an end: it is none.
        if (error == asio::error::eof && ends_it && !cut_ && parser_->is_header_done() &&
            parser_->need_eof()) {
            error_code cut;
            parser_->put_eof(cut);
            if (stream_) return end_stream(!cut, false);
            return finish(cut ? End::Broken : End::Answered);
        }
        if (error) return finish(written_ ? End::Broken : End::NotSent);
        read += got;
        if (!parser_->got_some()) timeouts_.begun(Steady::now());
        unread_.add(got);
        std::uint64_t turn = turn_;
        bool over = false;
        if (!parse(over) || turn != turn_ || over) return;
        if (parser_->got_some()) timeouts_.received(Steady::now(), parser_->body_bytes());
    }
    if (unread_.view().empty()) unread_.release();
    if (parser_->got_some() && !await_more()) return;
    wait_for_answer();
}

/// Goes through what has come. False: there is no room for more yet. `over`: the exchange has ended.
bool Connection::parse(bool& over) {
    auto ends = [&](End end, bool reusable = false) {
        over = true;
        finish(end, reusable);
        return true;
    };
    while (true) {
        error_code bad;
        std::string_view bytes = unread_.view();
        std::size_t used = parser_->put(asio::buffer(bytes.data(), bytes.size()), bad);
        unread_.drop_front(used);
        bool full = bad == boost::beast::http::error::need_buffer;
        if (full && stream_) {
            disarm();  // whoever takes it is slow, not the server
            stream_->wait_for_room([self = shared_from_this(), turn = turn_] {
                if (turn == self->turn_) self->resume_stream();
            });
            return false;
        }
        if (bad == boost::beast::http::error::need_more) return true;
        if (full && !may_stream_) return ends(End::TooLarge);
        if (bad && !full) return ends(End::Garbage);
        // An answer that ends where the connection does cannot be told from one that broke off, unless its
        // head says that it will. What is no 200 says all in its head.
        if (parser_->is_header_done() && parser_->need_eof() && !ends_whole_ && !stream_ &&
            !parser_->message_says_close())
            return ends(parser_->message().status == 200 ? End::Garbage : End::Answered);
        if (parser_->is_done()) {
            bool interim = !stream_ && parser_->message().status >= 100 && parser_->message().status < 200;
            unasked_ = unasked_ || (!interim && !unread_.view().empty());
            bool reusable = parser_->keep_alive() && unread_.view().empty() && written_;
            if (stream_) {
                over = true;
                end_stream(true, reusable);
                return true;
            }
            int status = parser_->message().status;
            if (status < 100 || status >= 200) return ends(End::Answered, reusable);
            // An interim answer: the real one follows. Nobody asked for another protocol, nor for interim
            // answers without end.
            if (status == 101 || ++interims_ > kInterimMost) return ends(End::Garbage);
            disarm();
            early_ = !written_;
            expect_answer();
            if (unread_.view().empty()) return true;
            timeouts_.begun(Steady::now());
            continue;
        }
        if (full) {
            over = !begin_stream();
            if (over) return true;
            continue;
        }
        if (unread_.view().empty() || used == 0) return true;
    }
}

/// What was there before the request cannot be its answer: by the kernel's stamp, however late it is read.
bool Connection::came_too_soon(Duration age) {
    heard_ = true;
    early_ = !written_;
    took_ = Duration{Steady::now() - asked_at_} - age;
    unasked_ = took_ < (doubted_ ? soonest_ : Duration{0});
    return unasked_;
}

/// A whole answer on a connection whose last one may have a second copy. One that never ran by its word,
/// ahead of the request's last byte, is true whichever it is: the rest is not written any more.
bool Connection::may_be_other() {
    if (!doubted_) return false;
    return unasked_ || (early_ && (written_ || parser_->message().status < 500));
}

ResponseLength Connection::response_length() const {
    if (!may_stream_) return ResponseLength::Short;
    if (parser_->long_body() || parser_->body_bytes() > kMaxBody) return ResponseLength::Long;
    return parser_->length_known() ? ResponseLength::Short : ResponseLength::Unknown;
}

std::optional<Connection::Steady::time_point> Connection::pass_on_at() const {
    if (stream_ || !parser_->is_header_done()) return {};
    return timeouts_.pass_on_at(response_length(), parser_->body_begun());
}

/// Passes on what has come of a response, and what follows. False: the exchange has ended.
bool Connection::begin_stream() {
    if (may_be_other()) {
        finish(End::Garbage);
        return false;
    }
    writing_ = false;  // nothing more of the request, if it is not whole: nobody reads its rest
    stalled_ = false;
    timeouts_.passed_on(Steady::now(), patience_);
    stream_ = std::make_shared<BodyStream>(io_, pool_);
    parser_->pass_rest_to(stream_);
    stream_->when_abandoned([self = shared_from_this(), turn = turn_] {
        if (turn == self->turn_) self->end_stream(false, false);
    });
    Result result;
    result.end = End::Answered;
    result.answer = parser_->take();
    result.streams = true;
    result.unasked = unasked_;
    result.took = took_;
    outgoing_.clear();
    on_written_ = nullptr;
    more_ = nullptr;
    std::uint64_t turn = turn_;
    tell(std::move(result));
    return turn == turn_;  // else nobody wants it
}

void Connection::resume_stream() {
    timeouts_.resumed(Steady::now());
    bool over = false;
    std::uint64_t turn = turn_;
    if (parse(over) && turn == turn_ && !over) read();
}

void Connection::end_stream(bool whole, bool reusable) {
    ++turn_;
    whole ? stream_->end() : stream_->break_off();
    stream_.reset();
    unread_.release();
    disarm();
    parser_.reset();
    answered_at_ = Steady::now();
    spoke_ = unasked_;
    may_stream_ = watched_ = doubted_ = false;
    if (!reusable) {
        error_code ignored;
        socket_.close(ignored);
    }
    if (Streamed streamed = std::exchange(streamed_, nullptr)) streamed(shared_from_this(), reusable);
}

/// More of a response that has begun is waited for; what is there is passed on if that is due. False: the
/// exchange has ended.
bool Connection::await_more() {
    Steady::time_point now = Steady::now();
    auto pass_on = pass_on_at();
    if (pass_on && *pass_on <= now) {
        if (!begin_stream()) return false;
        pass_on.reset();
    }
    auto stalled = timeouts_.stalled_at(response_length());
    if (stalled && *stalled <= now) {
        finish(End::Stalled);
        return false;
    }
    disarm();
    if (pass_on && (!stalled || *pass_on < *stalled)) stalled = pass_on;
    if (stalled) arm(*stalled - now, [this] { on_response_timer(); });
    return true;
}

void Connection::set_deadline(Steady::time_point deadline) {
    timeouts_.set_deadline(deadline);
    bool answered_early = parser_ && parser_->got_some();
    if (answered_early) (void)await_more();
}

// Guards against a loop that was behind: what has arrived meanwhile is read first, and its wait has ended.
void Connection::on_response_timer() {
    if (!readable(socket_.native_handle())) (void)await_more();
}

void Connection::finish(End end, bool reusable) {
    if (stream_) {
        stalled_ = end == End::Stalled;
        return end_stream(false, false);
    }
    if ((end == End::Answered || end == End::TooLarge) && may_be_other()) {
        end = End::Garbage;
        reusable = false;
    }
    ++turn_;
    unread_.release();
    disarm();
    if (!reusable) {
        error_code ignored;
        socket_.close(ignored);
    }
    Result result;
    result.end = end;
    result.reusable = reusable;
    result.unasked = unasked_;
    result.took = took_;
    if (end == End::Answered) answered_at_ = Steady::now();
    if (end == End::Answered || end == End::TooLarge) result.answer = parser_->take();
    parser_.reset();
    outgoing_.clear();
    request_.reset();
    head_ = nullptr;
    on_written_ = nullptr;
    more_ = nullptr;
    may_stream_ = watched_ = doubted_ = false;
    if (!starting_) return tell(std::move(result));
    // Later: whoever started the exchange must not be called back from inside the call.
    asio::post(io_, [self = shared_from_this(), turn = turn_, result = std::move(result)]() mutable {
        if (turn == self->turn_) self->tell(std::move(result));
    });
}

void Connection::tell(Result result) {
    Done done = std::exchange(done_, nullptr);
    if (done)
        done(shared_from_this(),
             std::move(result));  // may start the next exchange: nothing is touched behind it
}

bool Connection::close() {
    ++turn_;
    error_code ignored;
    disarm();
    socket_.close(ignored);
    done_ = nullptr;
    head_ = nullptr;
    request_.reset();
    lost_ = nullptr;
    on_written_ = nullptr;
    more_ = nullptr;
    streamed_ = nullptr;
    if (stream_) stream_->break_off();
    stream_.reset();
    parser_.reset();
    unread_.release();
    outgoing_.clear();
    return written_;
}

void Connection::rest(std::function<void()> lost) {
    ++turn_;
    rested_at_ = Steady::now();
    lost_ = std::move(lost);
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), turn = turn_](error_code) {
                           if (turn != self->turn_) return;
                           self->seen_closed();
                           std::function<void()> tell = std::move(self->lost_);
                           self->close();
                           if (tell) tell();
                       });
}

bool Connection::seen_closed() {
    char byte = 0;
    error_code error;
    spoke_ = socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error) > 0;
    return error != asio::error::would_block;
}

}  // namespace ochrehub::http
