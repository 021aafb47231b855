// The part of Connection that writes requests: whole ones, and the pieces of those that still come.
#include <utility>

#include "http/connection.h"

namespace ochrehub::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

void Connection::begin() {
    std::optional<std::string> head = std::exchange(head_, nullptr)();
    if (!head) return finish(End::NotSent, true);
    bool chunked = request_ && request_->rest && !request_->length;
    outgoing_.set(std::move(*head), std::move(request_), chunked);
    asked_at_ = Steady::now();
    writing_ = true;
    write();
}

void Connection::write() {
    Outgoing::State state = outgoing_.write_to(socket_);
    if (state == Outgoing::State::Failed) {
        cut_ = true;
        return watched_ ? read() : finish(End::NotSent);
    }
    if (state == Outgoing::State::Whole) return next_piece();
    watch_early();
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this(), turn = turn_](error_code failed) {
        if (turn != self->turn_ || !self->writing_) return;
        failed ? self->finish(End::NotSent) : self->write_on();
    });
}

// A server may take its time to read, and a client to send: what may be written at the beginning may not at
// the end.
void Connection::write_on() {
    if (more_ && !more_()) return finish(End::NotSent);
    write();
}

void Connection::next_piece() {
    switch (outgoing_.next()) {
        case Outgoing::Next::Over:
            written_ = true;
            note_written();
            return;
        case Outgoing::Next::Piece:
            return write_on();
        case Outgoing::Next::Broken:
            return finish(End::NotSent);
        case Outgoing::Next::Wait:
            watch_early();
            return outgoing_.rest().wait_for_data([self = shared_from_this(), turn = turn_] {
                if (turn == self->turn_ && self->writing_) self->next_piece();
            });
    }
}

void Connection::note_written() {
    std::uint64_t turn = turn_;
    if (auto told = std::exchange(on_written_, nullptr)) told();
    if (turn == turn_ && !watched_) wait_for_answer();
}

// A server may answer a long body before it has all of it: it is full, say.
void Connection::watch_early() {
    if (!outgoing_.streams() || std::exchange(watched_, true)) return;
    wait_for_answer();
}

}  // namespace ochrehub::http
