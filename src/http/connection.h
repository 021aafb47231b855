// A connection that this node opened: to a server or to discovery. One exchange at a time.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/message.h"
#include "http/outgoing.h"
#include "http/response_timeouts.h"

namespace ochrehub::http {

class Connection : public std::enable_shared_from_this<Connection> {
public:
    using Steady = std::chrono::steady_clock;
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// How an exchange ended. Only NotSent says that the request was not written whole. Stalled: the response
    /// had begun, and nothing more of it came in time.
    enum class End { Answered, NotSent, Broken, Garbage, TooLarge, Stalled };
    struct Result {
        End end = End::Broken;
        std::shared_ptr<HttpMessage> answer;  ///< of an Answered; the head of one TooLarge
        bool reusable = false;
        bool unasked =
            false;        ///< the server has said what nobody asked for, ahead of the answer or behind it
        Duration took{};  ///< from the request's first byte to the answer's; of an Answered
        bool streams =
            false;  ///< of an Answered: its rest is still coming, and when_streamed() tells of the end
    };
    /// The rest of an answer has come whole, or will not.
    using Streamed = std::function<void(const std::shared_ptr<Connection>&, bool reusable)>;
    /// Is handed the connection too, so that it need not hold it: that would keep both alive for good.
    using Done = std::function<void(const std::shared_ptr<Connection>&, Result)>;

    /// `stall`: from an answer's first byte on, how long nothing more of it may come; zero: without a limit.
    /// `ends_whole`: an answer that says of its end that it is the connection's is whole then. It cannot be
    /// told from one that broke off.
    Connection(boost::asio::io_context& io, BufferPool& pool, const Endpoint& to, Duration connect_timeout,
               std::chrono::milliseconds stall = std::chrono::milliseconds(300), bool ends_whole = false);

    /// Asked for the request's head once the connection is up. Nothing: it is not to be sent any more.
    using Head = std::function<std::optional<std::string>()>;
    /// Connects if it has to, writes, reads the answer. `request` may be null: a head alone. `on_written`
    /// hears that the request was written whole. `done` is never called before this returns, and not after
    /// close().
    void exchange(Head head, std::shared_ptr<const HttpMessage> request, Done done,
                  std::function<void()> on_written);
    void exchange(std::string head, std::shared_ptr<const HttpMessage> request, Done done);
    /// Of the next exchange: a second copy of the answer before may still be on its way. What comes sooner
    /// than `soonest` behind the request's first byte, or ahead of its last, or brings more than an answer,
    /// is taken for none.
    void doubt(Duration soonest) {
        doubted_ = true;
        soonest_ = soonest;
    }
    /// Answers to the next exchange may be longer than a buffer, `body_most` bytes or, where that is zero,
    /// any: one that a buffer does not hold is told once it has begun. Else such a one is TooLarge.
    void let_stream(std::uint64_t body_most) {
        may_stream_ = true;
        body_most_ = body_most;
    }
    /// Of the next exchange's answer, in place of what the connection was made with. Its client waits for
    /// `patience`, and till `deadline` where it is known by now.
    void limit_response(const ResponseTimeouts::Policy& policy, Steady::duration patience,
                        std::optional<Steady::time_point> deadline) {
        timeouts_.reset(policy);
        patience_ = patience;
        if (deadline) timeouts_.set_deadline(*deadline);
    }
    /// Its request has become whole, and its client waits till then.
    void set_deadline(Steady::time_point deadline);
    /// All answers are held whole, up to `body_most` bytes: what is longer is Garbage.
    void hold_whole(std::uint64_t body_most) { whole_most_ = body_most; }
    void when_streamed(Streamed streamed) { streamed_ = std::move(streamed); }

    /// Ends it at once. True if a request had been written whole.
    bool close();

    /// Waits for the far side's close while idle; `lost` hears of it.
    void rest(std::function<void()> lost);
    /// Asked before each further write of the next exchange's request, once a first one has left something to
    /// write: false ends it there, its last byte unwritten.
    void ask_before_more(std::function<bool()> more) { more_ = std::move(more); }
    /// Looks whether the far side has closed it, or said what nobody asked for.
    bool seen_closed();

    /// When it was asked to come up, in Unix time.
    TimePoint opened_at() const { return opened_at_; }
    Steady::time_point rested_at() const { return rested_at_; }
    /// When its last answer was whole; long ago where it has had none.
    Steady::time_point answered_at() const { return answered_at_; }
    /// At rest, or when it was last looked at, the far side had said what nobody asked for.
    bool spoke() const { return spoke_; }
    bool doubted() const { return doubted_; }
    /// The last answer that was passed on in part ended because its server had fallen silent.
    bool stalled() const { return stalled_; }
    bool written() const { return written_; }
    const Endpoint& to() const { return to_; }

private:
    void connect();
    void arm(Steady::duration after, std::function<void()> then);
    void disarm();
    void begin();
    void write();
    void write_on();
    void next_piece();
    void note_written();
    void watch_early();
    void wait_for_answer();
    void read();
    bool parse(bool& over);
    ResponseLength response_length() const;
    std::optional<Steady::time_point> pass_on_at() const;
    bool begin_stream();
    void end_stream(bool whole, bool reusable);
    bool await_more();
    void on_response_timer();
    void resume_stream();
    void expect_answer();
    bool came_too_soon(Duration age);
    bool may_be_other();
    void finish(End end, bool reusable = false);
    void tell(Result result);

    boost::asio::io_context& io_;
    BufferPool& pool_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;  // of the connecting, then of the answer
    std::uint64_t armed_ = 0;          // a wait of an earlier arming does nothing
    Endpoint to_;
    Duration connect_timeout_;
    ResponseTimeouts timeouts_;
    Steady::duration patience_{};
    bool stalled_ = false;
    bool ends_whole_;
    bool head_only_ = false;  // what was asked for has no body
    ConnectionCharge charge_;
    Outgoing outgoing_;
    Head head_;
    std::shared_ptr<const HttpMessage> request_;  // till it is written
    std::function<void()> on_written_;
    std::function<bool()> more_;
    Done done_;
    Streamed streamed_;
    bool may_stream_ = false;
    std::uint64_t body_most_ = 0, whole_most_ = 0;
    std::shared_ptr<BodyStream> stream_;  // the rest of an answer that has been told
    TimePoint opened_at_{};
    Steady::time_point asked_at_{};        // just before the request's first byte was written
    Steady::time_point answered_at_ = {};  // long ago
    Duration soonest_{}, took_{};
    bool doubted_ = false, unasked_ = false, heard_ = false, early_ = false, spoke_ = false;
    bool writing_ = false;  // the request, or waiting for more of it
    bool cut_ = false;      // a write has failed
    bool watched_ = false;  // for an answer, while the request is still being written
    bool written_ = false;
    std::optional<MessageParser<false>> parser_;
    Buffer unread_;
    std::function<void()> lost_;
    bool starting_ = false;
    int interims_ = 0;
    std::uint64_t turn_ = 0;  // of exchanges and rests: a handler of an earlier one does nothing
    Steady::time_point rested_at_{};
};

}  // namespace ochrehub::http
