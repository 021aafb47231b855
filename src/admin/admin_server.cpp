#include "admin/admin_server.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <iterator>
#include <string>
#include <utility>

#include "base/log.h"

namespace ochrehub::admin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kVisitsMost = 16;  // of the descriptors; the listener and the loop have the rest
constexpr std::chrono::milliseconds kVisitMost{5000};  // from its first byte to its last
constexpr std::chrono::milliseconds kAcceptAgain{20};
constexpr std::uint32_t kHeadMost = 8 * 1024;
constexpr std::uint64_t kBodyMost = 4 * 1024;  // no call has a body; a short one is read and means nothing

}  // namespace

/// One connection: a call, its answer, and the wait for the caller's close.
class Visit : public std::enable_shared_from_this<Visit> {
public:
    Visit(asio::ip::tcp::socket socket, AdminServer& server, asio::io_context& io)
        : socket_(std::move(socket)), timer_(io), server_(server) {}

    void start(AdminServer::Visits::iterator place) {
        place_ = place;
        parser_.header_limit(kHeadMost);
        parser_.body_limit(kBodyMost);
        timer_.expires_after(kVisitMost);
        timer_.async_wait([self = shared_from_this()](error_code stopped) {
            if (!stopped) self->close();
        });
        http::async_read(socket_, buffer_, parser_,
                         [self = shared_from_this()](error_code error, std::size_t) {
                             if (self->closed_) return;
                             self->heard(error);
                         });
    }
    bool heard_whole() const { return heard_; }
    void close() {
        if (std::exchange(closed_, true)) return;
        error_code ignored;
        socket_.close(ignored);
        timer_.cancel();
        server_.visits_.erase(place_);  // the handler that runs now holds it
    }

private:
    void heard(error_code error) {
        Answer answer;
        heard_ = true;
        if (error == http::error::header_limit)
            answer = {431, "the head is too large\n", {}, false};
        else if (error == http::error::body_limit)
            answer = {413, "no call has a body\n", {}, false};
        else if (error == http::error::end_of_stream || (error && error.category() != http_category()))
            return close();
        else if (error)
            answer = {400, "this is no call\n", {}, false};
        else
            answer = admin::answer(server_.node(), text(parser_.get().method_string()),
                                   text(parser_.get().target()));
        response_.version(11);
        response_.result(unsigned(answer.status));
        response_.set(http::field::content_type, answer.metrics ? "text/plain; version=0.0.4; charset=utf-8"
                                                 : answer.json  ? "application/json"
                                                                : "text/plain; charset=utf-8");
        if (!answer.allow.empty()) response_.set(http::field::allow, answer.allow);
        response_.keep_alive(false);
        response_.body() = std::move(answer.body);
        response_.prepare_payload();
        http::async_write(socket_, response_, [self = shared_from_this()](error_code failed, std::size_t) {
            if (self->closed_) return;
            if (failed) return self->close();
            error_code ignored;
            self->socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            self->linger();
        });
    }
    // Closing with bytes unread would reset the connection, and the answer with it.
    void linger() {
        socket_.async_read_some(asio::buffer(dropped_),
                                [self = shared_from_this()](error_code error, std::size_t) {
                                    if (self->closed_) return;
                                    error ? self->close() : self->linger();
                                });
    }

    static const boost::system::error_category& http_category() {
        static const error_code any = http::make_error_code(http::error::bad_method);
        return any.category();
    }
    static std::string_view text(boost::beast::string_view t) { return {t.data(), t.size()}; }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    AdminServer& server_;
    AdminServer::Visits::iterator place_{};
    boost::beast::flat_buffer buffer_{kHeadMost + kBodyMost};
    http::request_parser<http::string_body> parser_;
    http::response<http::string_body> response_;
    std::array<char, 512> dropped_{};
    bool closed_ = false, heard_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const asio::ip::tcp::endpoint& control, Node node)
    : io_(io), node_(std::move(node)), acceptor_(io), retry_(io) {
    acceptor_.open(control.protocol());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(control);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    accept();
}

void AdminServer::accept() {
    acceptor_.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (!error) {
            error_code ignored;
            socket.set_option(asio::ip::tcp::no_delay(true), ignored);
            make_room();
            visits_.push_back(std::make_shared<Visit>(std::move(socket), *this, io_));
            std::shared_ptr<Visit> visit = visits_.back();
            visit->start(std::prev(visits_.end()));
            return accept();
        }
        log_line(LogLevel::Warn, "control: accept: %s", error.message().c_str());
        if (!visits_.empty()) std::shared_ptr<Visit>(visits_.front())->close();
        retry_.expires_after(kAcceptAgain);
        retry_.async_wait([this](error_code stopped) {
            if (!stopped) accept();
        });
    });
}

// Guards against callers that hold all connections and say nothing: whoever came first without a whole call
// goes, then whoever has been answered.
void AdminServer::make_room() {
    if (visits_.size() < kVisitsMost) return;
    std::shared_ptr<Visit> going = visits_.front();
    for (const auto& visit : visits_)
        if (!visit->heard_whole()) {
            going = visit;
            break;
        }
    going->close();
}

}  // namespace ochrehub::admin
