// A connection that a node has made to somebody of the lab's: requests in, bytes out, and what the network
// between them does to both.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "lab/play/forms.h"
#include "lab/play/loop.h"

namespace ochrehub::lab {

/// What reaches whom on a link now.
struct Passage {
    bool in = true;       ///< from the node
    bool out = true;      ///< to the node
    bool silent = false;  ///< the machine is not there: what comes is lost, not only late
};

class Link : public std::enable_shared_from_this<Link> {
public:
    Link(Loop& loop, boost::asio::ip::tcp::socket socket);
    virtual ~Link() = default;

    void start();
    void pass(const Passage& passage);
    const Passage& passage() const { return passage_; }
    /// Written at once, or when the way is free again. `before` runs just ahead of the first byte.
    void send(std::string bytes, bool close_behind = false, std::function<void()> before = nullptr);
    /// From this side: with a reset, or in order behind what is being written. Nothing is heard of it any
    /// more.
    void end(bool hard);
    bool open() const { return socket_.is_open(); }
    /// Where the node reached it.
    const boost::asio::ip::tcp::endpoint& local() const { return local_; }
    /// Reads what has come up to now, so that a close shows before anything that came later elsewhere.
    void look();

protected:
    using Message = std::shared_ptr<http::HttpMessage>;
    /// A request may be taken now.
    virtual bool ready() const = 0;
    virtual void request(Message message, TimePoint first_byte_at, TimePoint whole_at) = 0;
    virtual void unreadable() = 0;
    /// The node closed the connection, ended its sending on it, or it broke.
    virtual void gone() = 0;

    /// Takes what has come, if it may.
    void proceed();
    Loop& loop() { return loop_; }

private:
    struct Piece {
        std::string bytes;
        std::function<void()> before;
        bool close_behind = false;
    };
    void wait_to_read();
    void read();
    void write();
    void lost();

    Loop& loop_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::ip::tcp::endpoint local_;
    Messages<true> messages_;
    Passage passage_;
    std::deque<Piece> out_;
    std::size_t written_ = 0;  ///< of the first piece
    TimePoint first_byte_at_{}, read_at_{};
    bool waiting_to_write_ = false, proceeding_ = false;
};

}  // namespace ochrehub::lab
