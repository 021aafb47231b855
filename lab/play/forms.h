// What requests and answers of a play look like as bytes. Each says whose it is throughout, so that one that
// is changed, cut short or given to somebody else shows.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"
#include "lab/model/clients.h"
#include "lab/model/day.h"
#include "lab/model/server.h"

namespace ochrehub::lab {

/// Ids of hostile clients' requests: whoever passes one on is told 400, and no client's request is among
/// them.
inline constexpr TryId kHostileIds = 0xbadbadba00000000;
inline bool hostile_id(TryId id) {
    return id >> 32 == kHostileIds >> 32;
}

std::string hex16(std::uint64_t number);
/// Sixteen hexadecimal digits, no more and no less.
std::optional<std::uint64_t> read_hex16(std::string_view text);

std::string target_of(const std::string& class_name, TryId id);
/// Of a request that has a body.
std::string request_body(TryId id);
std::string idempotency_key(std::uint64_t key);
std::string answer_body(AttemptNo attempt);
/// The attempt that a body names, if it is that attempt's body to the last byte; else zero.
AttemptNo read_answer(std::string_view body);

/// A client's request, `patience` being what is left of it now.
std::string request_text(const Day& day, const Ask& ask, Duration patience);

/// What a request that a server has received says of itself.
struct RequestForm {
    TryId id = 0;  ///< zero: none that can be read
    int cls = kNone;
    std::optional<Duration> work, wait;
    std::optional<std::uint64_t> key;
    Duration expires_in{-1};
    bool as_sent = true;  ///< method, path, body and key are what the client with this id sends
};
RequestForm read_request(const Day& day, const http::HttpMessage& message);

std::string report_text(const ServerReport& report);
std::string answer_text(int status, const std::string& headers, std::string_view body);

/// Takes messages out of a stream of bytes, one after the other.
template <bool kRequest>
class Messages {
public:
    enum class State { NeedMore, Whole, Bad };
    explicit Messages(BufferPool& pool) : pool_(pool) { parser_.emplace(pool_); }

    void add(std::string_view bytes) { unread_.append(bytes); }
    /// Bytes of a message that has begun, or of the next.
    bool begun() const { return got_some_ || !unread_.empty(); }
    std::size_t unread() const { return unread_.size(); }

    State next() {
        while (!unread_.empty()) {
            boost::system::error_code bad;
            std::size_t used = parser_->put(boost::asio::buffer(unread_), bad);
            got_some_ = got_some_ || used > 0;
            unread_.erase(0, used);
            if (bad == boost::beast::http::error::need_more) return State::NeedMore;
            if (bad) return State::Bad;
            if (parser_->is_done()) return State::Whole;
            if (used == 0) return State::NeedMore;
        }
        return parser_->is_done() ? State::Whole : State::NeedMore;
    }
    /// The far side has ended its sending: true where that ends an answer that states no length.
    bool end() {
        if (!got_some_ || !parser_->is_header_done() || !parser_->need_eof()) return false;
        boost::system::error_code bad;
        parser_->put_eof(bad);
        return !bad && parser_->is_done();
    }
    bool keep_alive() const { return parser_->keep_alive(); }
    /// The message that is whole; the next one begins.
    std::shared_ptr<http::HttpMessage> take() {
        auto message = parser_->take();
        parser_.emplace(pool_);
        got_some_ = false;
        return message;
    }

private:
    BufferPool& pool_;
    std::optional<http::MessageParser<kRequest>> parser_;
    std::string unread_;
    bool got_some_ = false;
};

}  // namespace ochrehub::lab
