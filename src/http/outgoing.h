// A message on its way out, and the pieces of a body that follow it. Written by hand, not by a composed
// operation: whether the last byte has left must be known at every moment, since it decides if a request may
// have run.
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

#include "http/body_stream.h"
#include "http/message.h"

namespace ochrehub::http {

class Outgoing {
public:
    enum class State { Whole, Blocked, Failed };

    explicit Outgoing(MemoryAccount& account) : charge_(account, MemoryAccount::Kind::Heads) {}

    /// A head and as much of the body as the message holds. `message` may be null: a head alone. `chunked`:
    /// what follows of a body goes in chunks, this part of it too.
    void set(std::string head, std::shared_ptr<const HttpMessage> message, bool chunked = false) {
        message_ = std::move(message);
        rest_ = message_ && message_->rest ? &message_->rest->stream() : nullptr;
        chunked_ = rest_ && chunked;
        piece_ = 0;
        frame(std::move(head), message_ ? message_->body_view() : std::string_view{});
    }
    void clear() {
        rest_ = nullptr;
        drop_written();
        message_.reset();
    }

    /// Writes what the socket, which must not block, takes. Blocked: to be called again once it takes more.
    /// Whole: so far; what follows is next()'s.
    State write_to(boost::asio::ip::tcp::socket& socket) {
        namespace asio = boost::asio;
        std::size_t all = head_.size() + body_.size() + tail_.size();
        while (sent_ < all) {
            std::size_t skip = sent_;
            auto left = [&skip](std::string_view part) {
                std::size_t gone = std::min(skip, part.size());
                skip -= gone;
                return asio::buffer(part.data() + gone, part.size() - gone);
            };
            std::array<asio::const_buffer, 3> rest{left(head_), left(body_), left(tail_)};
            boost::system::error_code error;
            std::size_t wrote = socket.write_some(rest, error);
            sent_ += wrote;
            written_ += wrote;
            if (error == asio::error::would_block) return State::Blocked;
            if (error) return State::Failed;
        }
        drop_written();
        return State::Whole;
    }
    /// Bytes of all messages so far.
    std::int64_t written() const { return written_; }

    enum class Next { Over, Piece, Wait, Broken };
    /// Behind a Whole. Over: that was all. Piece: there is more to write. Wait: more is still to come.
    /// Broken: it never will.
    Next next() {
        if (!rest_) return Next::Over;
        rest_->drop(std::exchange(piece_, 0));
        message_->release_spent_body();
        if (std::string_view more = rest_->view(); !more.empty()) {
            piece_ = more.size();
            frame({}, more);
            return Next::Piece;
        }
        if (rest_->broken()) return Next::Broken;
        if (!rest_->over()) return Next::Wait;
        rest_ = nullptr;
        if (!chunked_) return Next::Over;
        head_ = "0\r\n\r\n";
        return Next::Piece;
    }
    bool streams() const { return rest_ != nullptr; }
    /// By the message, and by the buffers through which the rest of it comes.
    std::size_t held_bytes() const {
        std::size_t in_streams = rest_ ? 2 * rest_->held_bytes() : 0;
        return charge_.bytes() + (message_ ? message_->held_bytes() : 0) + in_streams;
    }
    /// Where there is more to come.
    BodyStream& rest() { return *rest_; }

private:
    // A head may be long, and its exchange last.
    void drop_written() {
        std::string().swap(head_);
        charge_.set(0);
        body_ = {};
        tail_.clear();
        sent_ = 0;
    }
    void frame(std::string head, std::string_view body) {
        head_ = std::move(head);
        charge_.set(head_.capacity());
        body_ = body;
        tail_.clear();
        sent_ = 0;
        if (!chunked_ || body.empty()) return;
        std::array<char, 24> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
        head_ += size.data();
        tail_ = "\r\n";
    }

    MemoryCharge charge_;  // of head_
    std::string head_, tail_;
    std::string_view body_;
    std::shared_ptr<const HttpMessage> message_;
    BodyStream* rest_ = nullptr;
    std::size_t sent_ = 0, piece_ = 0;
    std::int64_t written_ = 0;
    bool chunked_ = false;
};

}  // namespace ochrehub::http
