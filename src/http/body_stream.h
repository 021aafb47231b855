// What is still to come of a body: filled by whoever reads it, emptied by whoever passes it on, one buffer
// between them at most. Who is faster waits for the other.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "base/buffer_pool.h"

namespace ochrehub::http {

class BodyStream : public std::enable_shared_from_this<BodyStream> {
public:
    /// What is waited for is told from the loop, never from inside a call, and once for each time it is asked
    /// for.
    using Wake = std::function<void()>;

    BodyStream(boost::asio::io_context& io, BufferPool& pool) : io_(io), pool_(pool) {}

    // For whoever fills it.
    /// Takes what there is room for and says how much that was.
    std::size_t put(std::string_view bytes);
    void end() {
        if (state_ == State::Open) ended_at_ = std::chrono::steady_clock::now();
        close(State::Ended);
    }
    void break_off() { close(State::Broken); }
    void wait_for_room(Wake wake) { on_room_ = std::move(wake); }
    /// Hears that nobody wants the rest.
    void when_abandoned(Wake wake) { on_abandoned_ = std::move(wake); }

    // For whoever empties it.
    std::string_view view() const { return buffer_.view(); }
    std::size_t held_bytes() const { return buffer_.capacity(); }
    void drop(std::size_t bytes);
    /// All has been taken.
    bool over() const { return state_ == State::Ended && view().empty(); }
    /// When its last byte came; none: it has not.
    std::optional<std::chrono::steady_clock::time_point> ended_at() const { return ended_at_; }
    /// What follows will never come.
    bool broken() const { return state_ == State::Broken && view().empty(); }
    /// Something of it has been taken, so that it can't be read from its beginning any more.
    bool spent() const { return spent_; }
    void wait_for_data(Wake wake) { on_data_ = std::move(wake); }
    void abandon();

private:
    enum class State { Open, Ended, Broken, Abandoned };

    void close(State how);
    void tell(Wake& wake);

    boost::asio::io_context& io_;
    BufferPool& pool_;
    Buffer buffer_;
    State state_ = State::Open;
    bool spent_ = false;
    std::optional<std::chrono::steady_clock::time_point> ended_at_;
    Wake on_room_, on_data_, on_abandoned_;
};

/// The emptying side's hold on a stream: once nobody has it, the rest is abandoned.
class BodyReader {
public:
    explicit BodyReader(std::shared_ptr<BodyStream> stream) : stream_(std::move(stream)) {}
    ~BodyReader() { stream_->abandon(); }
    BodyReader(const BodyReader&) = delete;
    BodyReader& operator=(const BodyReader&) = delete;

    BodyStream& stream() const { return *stream_; }

private:
    std::shared_ptr<BodyStream> stream_;
};

}  // namespace ochrehub::http
