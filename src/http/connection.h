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

namespace ochrehub::http {

class Connection : public std::enable_shared_from_this<Connection> {
public:
    using Steady = std::chrono::steady_clock;
    using Endpoint = boost::asio::ip::tcp::endpoint;

    /// How an exchange ended. Only NotSent says that the request was not written whole.
    enum class End { Answered, NotSent, Broken, Garbage, TooLarge };
    struct Result {
        End end = End::Broken;
        std::shared_ptr<HttpMessage> answer;  ///< of an Answered; the head of one TooLarge
        bool reusable = false;
    };
    /// Is handed the connection too, so that it need not hold it: that would keep both alive for good.
    using Done = std::function<void(const std::shared_ptr<Connection>&, Result)>;

    /// `answer_most`: from an answer's first byte to its last; zero: without a limit. `ends_whole`: an answer
    /// that says of its end that it is the connection's is whole then. It cannot be told from one that broke
    /// off.
    Connection(boost::asio::io_context& io, BufferPool& pool, const Endpoint& to, Duration connect_timeout,
               std::chrono::milliseconds answer_most = std::chrono::milliseconds(300),
               bool ends_whole = false);

    /// Connects if it has to, writes, reads the answer. `request` may be null: a head alone. `may_send`, if
    /// given, is asked once the connection is up; `written` hears that the request was written whole. `done` is never
    /// called before this returns, and not after close().
    void exchange(std::string head, std::shared_ptr<const HttpMessage> request, Done done,
                  std::function<bool()> may_send = nullptr, std::function<void()> on_written = nullptr);

    /// Ends it at once. True if a request had been written whole.
    bool close();

    /// Waits for the far side's close while idle; `lost` hears of it.
    void rest(std::function<void()> lost);
    /// Looks whether the far side has closed it, or said what nobody asked for.
    bool seen_closed();

    Steady::time_point rested_at() const { return rested_at_; }
    bool written() const { return written_; }

private:
    void connect();
    void begin();
    void write();
    void wait_for_answer();
    void read();
    void limit_answer();
    void expect_answer();
    void finish(End end, bool reusable = false);
    void tell(Result result);

    boost::asio::io_context& io_;
    BufferPool& pool_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;  // of the connecting, then of the answer
    Endpoint to_;
    Duration connect_timeout_;
    std::chrono::milliseconds answer_most_;
    bool ends_whole_;
    bool head_only_ = false;  // what was asked for has no body
    Outgoing outgoing_;
    std::function<bool()> may_send_;
    std::function<void()> on_written_;
    Done done_;
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
