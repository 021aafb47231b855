#include "http/front.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

#include "base/log.h"
#include "http/client_session.h"
#include "http/receive.h"
#include "http/socket_buffers.h"

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kAcceptAgain{20};  // after a failed accept
constexpr std::chrono::milliseconds kSweep{100};
constexpr int kGoneAtOnce = 256;  // ... those included that are closed at once
// While the queue stands: those that have a connection cost half as much as a new one, and most new ones are
// dead by then. So they have a fifth of the loop, by what was read of the others since, or closing what has
// gone would be all that it does.
constexpr int kReadsAnAccept = 32, kReadsAGone = 4;
// ... and no more may wait in the kernel than are accepted before they are old. To turn a connection away
// there costs the loop nothing.
constexpr int kBacklogBehind = 16;

}  // namespace

Front::Front(asio::io_context& io, BufferPool& pool, Engine& engine, figures::Figures& figures,
             const Settings& settings, Names names, const asio::ip::tcp::endpoint& listen,
             std::optional<int> inherited, DescriptorBudget budget, std::uint64_t seed,
             takeover::RequestIdTable& executed_ids, const HttpProfile& profile, Counters* counters)
    : io_(io),
      pool_(pool),
      engine_(engine),
      figures_(figures),
      names_(std::move(names)),
      profile_(profile),
      calls_(settings, names_, profile),
      protocol_(listen.protocol()),
      acceptor_(io),
      retry_(io),
      sweep_(io),
      admission_(AdmissionController::from_settings(settings, budget.asked, seed)),
      guard_(pool, counters),
      sessions_(budget),
      executed_ids_(executed_ids),
      shared_(inherited.has_value()) {
    for (const ClassSettings& c : settings.classes)
        executes_once_.push_back(c.idempotency != Idempotency::Idempotent);
    if (shared_) {
        acceptor_.assign(protocol_, *inherited);
    } else {
        acceptor_.open(protocol_);
        acceptor_.set_option(asio::socket_base::reuse_address(true));
        acceptor_.bind(listen);
    }
    hand_down(acceptor_);
    acceptor_.listen(asio::socket_base::max_listen_connections);
    sweep();
}

void Front::open() {
    open_ = true;
    accept();
}

void Front::drain(TimePoint respond_by) {
    draining_ = true;
    respond_by_ = respond_by;
    if (!shared_) return;
    error_code ignored;
    if (std::exchange(stood_, false))
        listen(acceptor_.native_handle(), asio::socket_base::max_listen_connections);
    acceptor_.close(ignored);  // never shut down: it is the other process's too
}

void Front::end_resting() {
    ending_ = true;
    std::vector<std::shared_ptr<ClientSession>> resting;  // each that ends moves
    for (Standing standing : {Standing::Silent, Standing::Once, Standing::Idle})
        for (const auto& session : sessions_.standing(standing)) resting.push_back(session);
    for (const auto& session : resting) session->end_rest();
}

void Front::end_half_sent() {
    std::vector<std::shared_ptr<ClientSession>> all;
    sessions_.each([&](const auto& session) { all.push_back(session); });
    for (const auto& session : all) session->end_half_sent();
}

std::size_t Front::end_busy(bool (ClientSession::*ends)()) {
    std::vector<std::shared_ptr<ClientSession>> busy(sessions_.standing(Standing::Busy).begin(),
                                                     sessions_.standing(Standing::Busy).end());
    return std::size_t(std::count_if(busy.begin(), busy.end(),
                                     [ends](const auto& session) { return ((*session).*ends)(); }));
}

std::size_t Front::end_unread() {
    return end_busy(&ClientSession::end_unread);
}

std::size_t Front::end_silent() {
    return end_busy(&ClientSession::end_silent);
}

void Front::keep_to(DescriptorBudget budget) {
    sessions_.keep_to(budget);
    accept();
}

void Front::accept() {
    if (accepting_ || !open_ || !acceptor_.is_open()) return;
    full_ = !sessions_.may_accept();
    if (full_) return;
    accepting_ = true;
    acceptor_.async_wait(asio::socket_base::wait_read, [this](error_code error) {
        accepting_ = false;
        if (!acceptor_.is_open()) return;
        if (!error) error = accept_some();
        if (!error) return accept();
        // Out of descriptors, say. The connection still waits in the kernel and may hold a request.
        log_line(LogLevel::Warn, "accept: %s", error.message().c_str());
        sessions_.make_room();
        retry_.expires_after(kAcceptAgain);
        retry_.async_wait([this](error_code stopped) {
            if (!stopped) accept();
        });
    });
}

// Not its close alone makes room: each that comes to rest, or grows old, may make way.
void Front::accept_if_full() {
    if (full_) accept();
}

// The kernel hands connections out in their order only. Behind a stall those come first whose clients have
// given up and are to ask again: nothing is spent on them but their close, or those behind them would grow
// old as well.
error_code Front::accept_some() {
    bool stands = lag_.stands();
    if (stands != std::exchange(stood_, stands))
        listen(acceptor_.native_handle(),
               stands ? kBacklogBehind : asio::socket_base::max_listen_connections);
    int read = std::exchange(read_, 0);
    int live_most = stands ? std::min(kAcceptsAtOnce, 1 + read / kReadsAnAccept) : kAcceptsAtOnce;
    int all_most = stands ? std::min(kGoneAtOnce, 1 + read / kReadsAGone) : kGoneAtOnce;
    for (int live = 0, all = 0; live < live_most && all < all_most && sessions_.may_accept(); ++all) {
        error_code error;
        int accepted = accept_one(acceptor_, error);
        if (error == asio::error::would_block) break;
        if (error) return error;
        if (behind() && gone(accepted)) {
            close(accepted);
            continue;
        }
        ++live;
        asio::ip::tcp::socket socket(io_);
        socket.assign(protocol_, accepted, error);
        if (error) {
            close(accepted);
            return error;
        }
        take(std::move(socket));
    }
    return {};
}

void Front::take(asio::ip::tcp::socket socket) {
    bool over = !has_client_connection();
    admission_.connection_opened(engine_.now());
    error_code ignored;  // one that came before this process had the listener has nothing of it
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    bound_socket_buffers(socket.native_handle(), pool_.memory_mb());
    auto session = std::make_shared<ClientSession>(std::move(socket), *this, over, ++connections_);
    session->start(sessions_.enter(session));
}

void Front::stands(Table::Place place, Standing from, Standing to) {
    sessions_.stands(place, from, to);
    if (full_ && to != Standing::Busy) asio::post(io_, [this] { accept_if_full(); });
}

void Front::closed(Table::Place place, Standing standing) {
    // The session may be running just now: it goes later, its descriptor is free already.
    asio::post(io_, [this, gone = sessions_.leave(place, standing)] { accept(); });
}

void Front::sweep() {
    std::vector<std::shared_ptr<ClientSession>> late;
    sessions_.each([&](const auto& session) {
        session->look_after();
        if (session->late()) late.push_back(session);
    });
    for (const auto& session : late) session->time_out();
    relieve();
    accept_if_full();
    if (auto change = admission_.poll_state_change(engine_.now())) tell(*change);
    sweep_.expires_after(kSweep);
    sweep_.async_wait([this](error_code stopped) {
        if (!stopped) sweep();
    });
}

void Front::read_later(std::shared_ptr<ClientSession> session) {
    if (to_read_.empty()) asio::post(io_, [this] { read_some(); });
    to_read_.push_back(std::move(session));
}

void Front::read_some() {
    for (bool over = false; !over && !to_read_.empty();) {
        std::shared_ptr<ClientSession> next = std::move(to_read_.front());
        to_read_.pop_front();
        over = turn_.took(next->read_now());
    }
    if (to_read_.empty()) return turn_.reset();
    asio::post(io_, [this] { read_some(); });
}

void Front::tell(const LoadState::Change& change) {
    const LoadState::OverloadSignals& signals = change.signals;
    auto percent = [](double part) { return std::lround(100 * part); };
    LogLevel level = change.to > LoadState::State::Busy     ? LogLevel::Warn
                     : change.from > LoadState::State::Busy ? LogLevel::Info
                                                            : LogLevel::Debug;  // busy is no news
    log(level, std::string("weather: ") + LoadState::name(change.to),
        {{"from", LoadState::name(change.from)},
         {"tries_per_s", std::lround(signals.requests_per_s)},
         {"usual_first_per_s", std::lround(signals.usual_first_attempts_per_s)},
         {"repeats_percent", percent(signals.retry_fraction)},
         {"refused_percent", percent(signals.rejected_fraction)},
         {"late_percent", percent(signals.late_fraction)},
         {"served_per_s", std::lround(signals.served_per_s)},
         {"most_served_per_s", std::lround(signals.peak_served_per_s)},
         {"server_time_percent", percent(signals.slowdown)},
         {"opened_per_s", std::lround(signals.connections_per_s)},
         {"servers_leaving", signals.draining_servers},
         {"servers_new", signals.new_servers},
         {"tenant", signals.tenant >= 0 ? names_.tenants[std::size_t(signals.tenant)] : std::string("-")},
         {"tenant_percent", percent(signals.tenant_growth)}});
}

bool Front::awaited() {
    if (!open_ || !acceptor_.is_open()) return false;
    pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
    return poll(&waiting, 1, 0) == 1;
}

bool Front::quiet() {
    auto spare = [](const auto& session) { return session->spare(); };
    auto all_spare = [&](Standing standing) {
        const auto& some = sessions_.standing(standing);
        return std::all_of(some.begin(), some.end(), spare);
    };
    return !awaited() && sessions_.standing(Standing::Starting).empty() &&
           sessions_.standing(Standing::Busy).empty() && all_spare(Standing::Silent) &&
           all_spare(Standing::Once) && all_spare(Standing::Idle);
}

}  // namespace ochrehub::http
