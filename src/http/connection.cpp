#include "http/connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <utility>

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kInterimMost = 16;

}  // namespace

Connection::Connection(asio::io_context& io, BufferPool& pool, const Endpoint& to, Duration connect_timeout,
                       std::chrono::milliseconds answer_most, bool ends_whole)
    : io_(io),
      pool_(pool),
      socket_(io),
      timer_(io),
      to_(to),
      connect_timeout_(connect_timeout),
      answer_most_(answer_most),
      ends_whole_(ends_whole) {}

void Connection::expect_answer() {
    parser_.emplace(pool_);
    if (head_only_) parser_->skip(true);
}

void Connection::exchange(std::string head, std::shared_ptr<const HttpMessage> request, Done done,
                          std::function<bool()> may_send, std::function<void()> on_written) {
    ++turn_;
    lost_ = nullptr;
    head_only_ = request && request->method == "HEAD";
    outgoing_.set(std::move(head), std::move(request));
    done_ = std::move(done);
    may_send_ = std::move(may_send);
    on_written_ = std::move(on_written);
    written_ = false;
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
    error_code error;
    socket_.open(to_.protocol(), error);
    if (!error) socket_.non_blocking(true, error);
    if (!error) socket_.set_option(asio::ip::tcp::no_delay(true), error);
    if (error) return finish(End::NotSent);  // no descriptor, say
    timer_.expires_after(std::chrono::duration_cast<Steady::duration>(connect_timeout_));
    timer_.async_wait([self = shared_from_this(), turn = turn_](error_code stopped) {
        if (!stopped && turn == self->turn_) self->finish(End::NotSent);
    });
    socket_.async_connect(to_, [self = shared_from_this(), turn = turn_](error_code failed) {
        if (turn != self->turn_) return;
        self->timer_.cancel();
        if (failed) return self->finish(End::NotSent);
        self->begin();
    });
}

void Connection::begin() {
    if (may_send_ && !may_send_()) return finish(End::NotSent, true);
    write();
}

void Connection::write() {
    Outgoing::State state = outgoing_.write_to(socket_);
    if (state == Outgoing::State::Failed) return finish(End::NotSent);
    if (state == Outgoing::State::Whole) {
        written_ = true;
        if (on_written_) on_written_();
        return wait_for_answer();
    }
    socket_.async_wait(asio::ip::tcp::socket::wait_write,
                       [self = shared_from_this(), turn = turn_](error_code failed) {
                           if (turn != self->turn_) return;
                           failed ? self->finish(End::NotSent) : self->write();
                       });
}

void Connection::wait_for_answer() {
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), turn = turn_](error_code failed) {
                           if (turn != self->turn_) return;
                           failed ? self->finish(End::Broken) : self->read();
                       });
}

void Connection::read() {
    if (!unread_) unread_ = pool_.take();
    // One buffer a turn: a server that never stops must not hold the loop.
    for (std::size_t read = 0; read < BufferPool::kSize;) {
        error_code error;
        std::size_t got = 0;
        if (unread_.room() == 0) return finish(End::Garbage);
        got = socket_.read_some(asio::buffer(unread_.free_space(), unread_.room()), error);
        if (error == asio::error::would_block) break;
        if (error == asio::error::eof && ends_whole_ && parser_->is_header_done() && parser_->need_eof()) {
            error_code cut;
            parser_->put_eof(cut);
            return finish(cut ? End::Broken : End::Answered);
        }
        if (error) return finish(End::Broken);
        read += got;
        unread_.grow(got);
        if (!parser_->got_some()) limit_answer();
        while (true) {
            error_code bad;
            std::string_view bytes = unread_.view();
            std::size_t used = parser_->put(asio::buffer(bytes.data(), bytes.size()), bad);
            unread_.drop_front(used);
            if (bad == boost::beast::http::error::need_more) break;
            if (bad == boost::beast::http::error::body_limit) return finish(End::TooLarge);
            if (bad) return finish(End::Garbage);
            // An answer that ends where the connection does cannot be told from one that broke off. What is no
            // 200 says all in its head.
            if (parser_->is_header_done() && parser_->need_eof() && !ends_whole_)
                return finish(parser_->message().status == 200 ? End::Garbage : End::Answered);
            if (!parser_->is_done()) {
                if (unread_.view().empty()) break;
                if (used == 0) break;
                continue;
            }
            int status = parser_->message().status;
            if (status >= 100 && status < 200) {  // an interim answer: the real one follows
                // Nobody asked for another protocol, nor for interim answers without end.
                if (status == 101 || ++interims_ > kInterimMost) return finish(End::Garbage);
                timer_.cancel();
                expect_answer();
                if (!unread_.view().empty()) limit_answer();
                if (unread_.view().empty()) break;
                continue;
            }
            return finish(End::Answered, parser_->keep_alive() && unread_.view().empty());
        }
    }
    if (unread_.view().empty()) unread_.release();
    wait_for_answer();
}

void Connection::limit_answer() {
    if (answer_most_.count() == 0) return;
    timer_.expires_after(answer_most_);
    timer_.async_wait([self = shared_from_this(), turn = turn_](error_code stopped) {
        if (!stopped && turn == self->turn_) self->finish(End::Garbage);
    });
}

void Connection::finish(End end, bool reusable) {
    ++turn_;
    unread_.release();
    timer_.cancel();
    if (!reusable) {
        error_code ignored;
        socket_.close(ignored);
    }
    Result result;
    result.end = end;
    result.reusable = reusable;
    if (end == End::Answered || end == End::TooLarge) result.answer = parser_->take();
    parser_.reset();
    outgoing_.clear();
    may_send_ = nullptr;
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
    timer_.cancel();
    socket_.close(ignored);
    done_ = nullptr;
    may_send_ = nullptr;
    lost_ = nullptr;
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
                           std::function<void()> tell = std::move(self->lost_);
                           self->close();
                           if (tell) tell();
                       });
}

bool Connection::seen_closed() {
    char byte = 0;
    error_code error;
    socket_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

}  // namespace ochrehub::http
