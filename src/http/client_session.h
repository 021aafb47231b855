// One client's connection: reads a request, hands it to the engine, writes the answer, and again.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "http/front.h"
#include "http/message.h"
#include "http/minimum_rate.h"
#include "http/outgoing.h"
#include "http/stall.h"
#include "http/upload.h"

namespace ochrehub::http {

class ClientSession : public ResponseSink, public std::enable_shared_from_this<ClientSession> {
public:
    using Steady = std::chrono::steady_clock;

    /// `overloaded`: there is no room for this connection; its one request is told so. `number`: no other has
    /// it.
    ClientSession(boost::asio::ip::tcp::socket socket, Front& front, bool overloaded, std::uint64_t number);

    void start(Front::Table::Place place);
    void respond(FinalResponse reply) override;
    /// Also where its end lies behind bytes that nobody has read. It closes then, once its caller is through.
    bool is_client_disconnected() override;

    /// Nothing is lost if it is closed now: nothing is unread, and it stands between requests, its first
    /// request is not yet whole, or it only waits for the client's close.
    bool spare();
    /// Makes way. Half a request is answered that there is no room.
    void close();
    /// Ends it gracefully if it stands between requests with nothing unread.
    void end_rest();
    /// Answers a request that is not whole yet.
    void end_half_sent();
    Steady::duration stood() const { return Steady::now() - since_; }
    /// Its request is decided on, and nothing tells of its client's close: looks for it.
    void look_after();
    /// Closes it where its client does not read its answer. True if it did.
    bool end_unread();
    /// ... or where the server gives no more of it.
    bool end_silent();
    /// Its client stands still, and what it holds; none: it does not, or waits for its response.
    std::optional<Stall> stall();
    /// Closes it for others; where its request is not whole, with a 503.
    void close_stalled();
    /// It has stood for longer than it may.
    bool late() const;
    void time_out();
    /// Reads what lies there. True if a request entered, which costs many times what sending one away does.
    bool read_now();

private:
    /// Then others have their turn: a client that never stops must not hold the loop.
    static constexpr int kMaxReadsPerTurn = 4;

    enum class State { Reading, Waiting, Writing, Lingering, Closed };

    void enter(State state);
    void stand(Standing standing);
    bool unread_in_socket();
    void wait_to_read();
    void read();
    bool still_there(Duration age);
    bool half_sent();
    bool parse();
    void dispatch();
    TimePoint limit_by_stop(TimePoint deadline);
    void count_given_up_for_stop();
    void begin_upload();
    void read_upload();
    bool parse_upload();
    void end_upload();
    void block_upload();
    void check_upload_at(Steady::time_point at);
    void check_blocked_upload();
    UnreadBody unread_body();
    std::optional<bool> ends_like_chunked_body(std::size_t in_socket);
    void drop_upload();
    void break_off_upload();
    bool claim_execution();
    void release_execution();
    void rewrite(HttpMessage& request, int class_index);
    void watch_client();
    bool reads_ahead() const;
    void reject_half_sent();
    Steady::time_point last_received() const;
    void charge_texts();
    std::size_t held_bytes() const;
    void call_off();
    bool last() const;
    void refuse(Duration back);
    void reject(int status, const std::string& extra = {});
    void reject_unread(int status, const std::string& extra = {});
    void respond(int status, std::string head, std::shared_ptr<const HttpMessage> body, bool chunked);
    void watch_reader();
    void pass_on(std::shared_ptr<const HttpMessage> message);
    void write();
    bool write_rest();
    void end_unfinished_response();
    void next();
    void linger();
    boost::system::error_code drop_unread();
    bool owes();
    void end();

    boost::asio::ip::tcp::socket socket_;
    Front& front_;
    ConnectionCharge connection_charge_;
    MemoryCharge texts_charge_;  // of the request's id, class and path
    Front::Table::Place place_{};
    Standing standing_ = Standing::Silent;
    bool overloaded_;
    State state_ = State::Reading;
    Steady::time_point since_ = Steady::now();
    std::optional<MessageParser<true>> parser_;
    Buffer unread_;
    bool begun_ = false;  // some of a request has come
    bool first_ = true;   // ... and it is this connection's first
    bool again_ = false;  // it has asked more than once
    bool told_to_continue_ = false;
    bool close_after_ = false;
    RequestId request_ = 0;
    std::string trace_;           // its id, held while it is open; empty: ids need not differ
    bool executes_once_ = false;  // that id is taken for its request's execution
    bool head_only_ = false;      // it asked for a head alone
    bool http_1_0_ = false;
    bool long_linger_ = false;        // the body of the request is still coming, and means nothing any more
    std::unique_ptr<Upload> upload_;  // of a body that is forwarded as it arrives, until all of it was read
    std::optional<boost::asio::steady_timer> upload_timer_;  // of a blocked upload; made with the first
    bool upload_timer_set_ = false;
    /// What was last seen of a blocked body in chunks: nothing has changed while as much lies in the socket.
    struct ChunkedEnd {
        std::size_t in_socket;
        bool found;
    };
    std::optional<ChunkedEnd> chunked_end_;
    std::uint64_t body_read_ = 0;  // bytes since a request began
    Duration patience_{};
    bool limited_by_stop_ = false;  // its own deadline is later than the node's stop allows
    int class_ = kNone, tenant_ = kNone;
    std::uint64_t number_;
    AdmissionController::AdmissionRequest admission_request_;  // of the request that admission let in
    TimePoint entered_{};
    // The rules that this request came under count for its answer too, with its class and path.
    std::shared_ptr<const rewrite::Rewrites> rewrites_;
    std::string class_name_, path_;
    std::optional<figures::Figures::Request> figured_;  // till its answer is written whole; none for /healthz
    int status_ = 0;
    Steady::time_point heard_{};  // when bytes were last read
    TimePoint came_{};            // ... and when they had come
    Outgoing outgoing_;
    MinimumRate taken_;              // by its client, of its answers
    RecentRate reading_rate_;        // of its client, of the answer in hand
    bool blocked_ = false;           // an answer, by what lies unacknowledged before it
    bool waits_for_server_ = false;  // all that has come of an answer was written
    std::uint64_t watch_ = 0;        // a wait of an earlier watch does nothing
};

}  // namespace ochrehub::http
