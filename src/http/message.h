// HTTP/1.1 messages: what one holds, Beast's parser filling it, and the head written back out.
#pragma once

#include <algorithm>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/buffer_pool.h"
#include "engine/types.h"
#include "fields/fields.h"
#include "http/body_stream.h"

namespace ochrehub::http {

inline constexpr std::uint32_t kMaxHead = 8 * 1024;
inline constexpr std::uint64_t kMaxBody = BufferPool::kSize;
inline constexpr std::uint64_t kShortBody = 2 * 1024;

inline std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// A request or an answer, whole. What the engine carries unread between the client's side and a server's.
struct HttpMessage : Message {
    std::string method, target;  ///< of a request
    int status = 0;              ///< of an answer
    Headers headers;
    mutable Buffer body;
    /// A body of known length up to kShortBody, in place of a buffer: most are short, a request that waits
    /// keeps its own, and 64 KiB for each would use up the memory long before the descriptors.
    std::string short_body;
    /// What follows of a body that is longer than that; null: nothing does. Read once only.
    std::shared_ptr<BodyReader> rest;
    /// Of a body with a rest, where its head says so.
    std::optional<std::uint64_t> length;
    bool http_1_0 = false;
    /// Of the head and a short body; none: it was not parsed.
    std::optional<MemoryCharge> charge;

    /// To be called when one of them has changed.
    void update_charge() {
        if (charge)
            charge->set(sizeof *this + headers.bytes() + method.capacity() + target.capacity() +
                        short_body.capacity());
    }
    std::size_t held_bytes() const { return (charge ? charge->bytes() : 0) + body.capacity(); }
    /// Gives the buffer back where the message cannot be sent again anyway.
    void release_spent_body() const {
        if (!replayable()) body.release();
    }
    bool replayable() const override { return !rest || !rest->stream().spent(); }
    /// Empty where there is none.
    std::string_view header(std::string_view name) const {
        for (const auto& [key, value] : headers)
            if (same_name(key, name)) return value;
        return {};
    }
    std::size_t count(std::string_view name) const {
        auto is_named = [name](const Headers::Field& field) { return same_name(field.first, name); };
        return std::size_t(std::count_if(headers.begin(), headers.end(), is_named));
    }
    std::string_view body_view() const { return body ? body.view() : std::string_view(short_body); }
};

/// True where the head leaves no doubt where the message ends. Beast's parser takes a repeated or listed
/// length, and codings other than `chunked`, which others read differently: one message could hide another.
bool plain_framing(const HttpMessage& message);

/// Fills an HttpMessage from bytes as they come.
template <bool kRequest>
class MessageParser : public boost::beast::http::basic_parser<kRequest> {
public:
    /// `body_most`: bytes; zero: any.
    explicit MessageParser(BufferPool& pool, std::uint64_t body_most = 0)
        : pool_(pool), message_(std::make_shared<HttpMessage>()) {
        message_->charge.emplace(pool.account(), MemoryAccount::Kind::Heads);
        this->eager(true);
        this->header_limit(kMaxHead);
        this->body_limit(boost::none);  // one of any length passes through a bounded buffer
        if (body_most > 0) this->body_limit(body_most);
    }
    std::shared_ptr<HttpMessage> take() { return std::move(message_); }
    /// The body is held whole, however long `body_most` lets it be.
    void hold_whole() { held_whole_ = true; }
    /// The rest of the body goes into `stream` from now on, for whoever has the message.
    void pass_rest_to(std::shared_ptr<BodyStream> stream) {
        stream_ = std::move(stream);
        message_->rest = std::make_shared<BodyReader>(stream_);
        message_->length = length_;
    }
    /// Only a stream can take the body: it is longer than a buffer, or may be.
    bool long_body() const { return length_ ? *length_ > kMaxBody : full_; }
    /// The buffer holds no more of it.
    bool full() const { return full_; }
    /// Something of the body has come.
    bool body_begun() const { return body_bytes_ > 0; }
    /// ... and so much.
    std::uint64_t body_bytes() const { return body_bytes_; }
    bool length_known() const { return length_.has_value(); }
    /// Its connection ends behind it, by its own word.
    bool message_says_close() const { return says_close_; }
    HttpMessage& message() { return *message_; }
    const HttpMessage& message() const { return *message_; }
    /// It has not been taken.
    bool has_message() const { return message_ != nullptr; }

private:
    using Error = boost::system::error_code;
    using Text = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb, Text method, Text target, int version,
                         Error& error) override {
        check(version, error);
        message_->http_1_0 = version == 10;
        message_->method = view(method);
        message_->target = view(target);
    }
    void on_response_impl(int status, Text, int version, Error& error) override {
        check(version, error);
        message_->http_1_0 = version == 10;
        message_->status = status;
    }
    static void check(int version, Error& error) {
        if (version != 10 && version != 11) error = boost::beast::http::error::bad_version;
    }
    void on_field_impl(boost::beast::http::field, Text name, Text value, Error&) override {
        if (headed_) return;  // a trailer: nothing that counts may come behind a body
        message_->headers.add(view(name), view(value));
        message_->update_charge();
    }
    void on_header_impl(Error& error) override {
        headed_ = true;
        message_->headers.shrink_to_fit();
        message_->update_charge();
        says_close_ = message_->http_1_0 || same_name(message_->header("Connection"), "close");
        bool bodied = this->chunked() || this->content_length().value_or(0) > 0;
        if (!plain_framing(*message_) || (kRequest && message_->method == "GET" && bodied))
            error = boost::beast::http::error::bad_content_length;
        if (auto length = this->content_length()) length_ = *length;
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, Error&) override {
        if (length && *length <= kShortBody) {
            message_->short_body.reserve(std::size_t(*length));
            message_->update_charge();
        }
        is_short_ = held_whole_ || (length && *length <= kShortBody);
    }
    std::size_t on_body_impl(Text body, Error& error) override {
        std::size_t taken = take_body(body, error);
        body_bytes_ += taken;
        return taken;
    }
    std::size_t take_body(Text body, Error& error) {
        if (stream_) {
            std::size_t taken = stream_->put(view(body));
            if (taken < body.size()) error = boost::beast::http::error::need_buffer;
            return taken;
        }
        if (is_short_) {  // no more than its length or the limit comes
            message_->short_body.append(body.data(), body.size());
            message_->update_charge();
            return body.size();
        }
        if (!message_->body) message_->body = pool_.take();
        std::size_t taken = message_->body.append(view(body));
        if (taken < body.size()) {
            full_ = true;
            error = boost::beast::http::error::need_buffer;
        }
        return taken;
    }
    void on_chunk_header_impl(std::uint64_t, Text, Error&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, Text body, Error& error) override {
        return on_body_impl(body, error);
    }
    void on_finish_impl(Error&) override {}

    BufferPool& pool_;
    std::shared_ptr<HttpMessage> message_;
    std::shared_ptr<BodyStream> stream_;
    std::optional<std::uint64_t> length_;
    std::uint64_t body_bytes_ = 0;
    bool held_whole_ = false, is_short_ = false, headed_ = false, full_ = false, says_close_ = false;
};

/// The path of a request's target: without the host of a whole URL, and without the query.
std::string_view path_of(std::string_view target);

void put_header(std::string& head, std::string_view name, std::string_view value);

/// The request's head as a server gets it, with what is left of its time.
std::string request_head(const HttpMessage& request, Duration patience);

/// A whole answer's head; its body is `length` long, if it says so.
std::string answer_head(int status, std::optional<std::uint64_t> length, bool close);

/// The header line that advises a client when to retry; empty where `delay` is none.
std::string retry_after_header(Duration delay);

}  // namespace ochrehub::http
