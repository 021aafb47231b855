#include "http/server_pool.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iterator>
#include <utility>

#include "base/address.h"
#include "base/log.h"
#include "engine/decode.h"

namespace ochrehub::http {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds kSweep{250};
/// So many of the connections are left for requests that come next.
constexpr std::size_t kReservePart = 8;

/// How long a connection may rest that servers close behind `conn_idle`: the way there and a loop that is
/// behind lie between the look and the request.
Duration idle_most(Duration conn_idle) {
    return std::max(0.5 * conn_idle, std::min(0.85 * conn_idle, conn_idle - std::chrono::milliseconds(150)));
}

Connection::Steady::duration span(Duration time) {
    return std::chrono::duration_cast<Connection::Steady::duration>(time);
}

/// When the time of a request that was given at `began` began to run; none: its body is still to come.
std::optional<Connection::Steady::time_point> time_of(const HttpMessage& request,
                                                      Connection::Steady::time_point began) {
    if (!request.rest) return began;
    auto ended = request.rest->stream().ended_at();
    return ended ? std::optional(std::max(began, *ended)) : std::nullopt;
}

ResponseTimeouts::Policy response_policy(const HttpProfile& profile, Duration patience, bool may_retry) {
    if (!profile.answer_by_request) return {profile.answer_most, profile.answer_most, false};
    // Giving an answer up helps only where another server may be asked.
    if (!may_retry) return {{}, {}, true};
    Connection::Steady::duration quarter = span(patience / 4);
    return {std::max<Connection::Steady::duration>(profile.answer_most, quarter),
            std::max<Connection::Steady::duration>(ResponseTimeouts::kMaxPause, quarter), true};
}

LoadReport report_of(const HttpMessage& answer) {
    std::string_view text = answer.header("Endpoint-Load-Metrics");
    if (text.empty()) return {};
    try {
        return parse_report(text, '=');
    } catch (const std::runtime_error& error) {  // a report that cannot be read spoils no answer
        log_line(LogLevel::Warn, "%s", error.what());
        return {};
    }
}

/// But for the platform, what a server answers counts as long as it does not say that the fault is its own.
Outcome outcome_of(const Connection::Result& result, HttpProfile::Pass pass) {
    using End = Connection::End;
    if (result.end == End::NotSent) return result.reusable ? Outcome::NotSent : Outcome::ConnectFailed;
    if (result.end == End::Broken) return Outcome::Reset;
    if (result.end != End::Answered) return Outcome::Error;
    int status = result.answer->status;
    if (status == 200) return Outcome::Ok;
    bool turned_away = (status == 503 || status == 504) && result.answer->header("X-Never-Ran") == "1";
    if (turned_away) return Outcome::Rejected;
    return pass != HttpProfile::Pass::Only200 && status >= 200 && status < 500 ? Outcome::Ok : Outcome::Error;
}

/// A probe asks how a server is, not for what it sends: that may be too large to pass on.
Outcome outcome_of_probe(const Connection::Result& result, bool by_status) {
    using End = Connection::End;
    if (!by_status || (result.end != End::Answered && result.end != End::TooLarge))
        return outcome_of(result, HttpProfile::Pass::Only200);
    return result.answer->status < 500 ? Outcome::Ok : Outcome::Error;
}

}  // namespace

ServerPool::ServerPool(asio::io_context& io, BufferPool& pool, UpstreamEvents& events,
                       const Settings& settings, std::size_t most_connections, const HttpProfile& profile,
                       Counters* counters, const Reuse& reuse)
    : io_(io),
      pool_(pool),
      events_(events),
      connect_timeout_(settings.connect_timeout),
      idle_most_(idle_most(settings.connection_idle_timeout)),
      removal_binds_(!settings.removal_not_binding),
      most_connections_(most_connections),
      profile_(profile),
      counters_(counters),
      reuse_(reuse),
      sweep_(io) {
    retire_idle();
}

void ServerPool::update_endpoints(const EndpointList& listing) {
    if (listing.update.kind == UpdateKind::Failed) return;
    if (listing.update.kind != UpdateKind::Delta && removal_binds_)
        for (auto& [id, server] : servers_) server.sendable = false;
    for (std::size_t i = 0; i < listing.update.entries.size(); ++i) {
        const EndpointEntry& entry = listing.update.entries[i];
        Server& server = servers_[entry.endpoint];
        auto address = parse_address(listing.addresses[i]);
        if (address != server.address) {  // it has moved
            close_idle_connections(entry.endpoint);
            server.answers = 0;
        }
        // Guards against connections of its earlier process: its machine may have vanished without a word.
        if (entry.last_start && entry.last_start != server.last_start)
            close_idle_before(server, *entry.last_start);
        server.last_start = entry.last_start;
        server.address = address;
        server.key = entry.key != 0 ? entry.key : entry.endpoint;
        server.sendable = entry.phase == Phase::Ready || (entry.phase == Phase::Removed && !removal_binds_);
    }
    if (listing.update.kind == UpdateKind::Delta) drop_displaced(listing);
    // Nothing new goes to the others, and what is out there needs no more than its connection.
    for (auto it = servers_.begin(); it != servers_.end();) {
        if (!it->second.sendable) close_idle_connections(it->first);
        it = it->second.sendable ? std::next(it) : servers_.erase(it);
    }
}

// Guards against a new process at the address of one that has gone: changes may name it before they tell of
// the other's end, whose work would go to it.
void ServerPool::drop_displaced(const EndpointList& changes) {
    std::unordered_set<EndpointId> named;
    for (const EndpointEntry& entry : changes.update.entries) named.insert(entry.endpoint);
    for (auto& [id, server] : servers_) {
        if (!server.sendable || named.contains(id)) continue;
        auto has_its_address = [&, holder = &server](EndpointId other) {
            const Server* newcomer = find(other);
            return newcomer && newcomer->sendable && newcomer->address == holder->address;
        };
        if (std::none_of(named.begin(), named.end(), has_its_address)) continue;
        log(LogLevel::Warn, "another server has the address of a listed one, which gets nothing more",
            {{"server", server.key}});
        server.sendable = false;
    }
}

ServerPool::ConnectionPtr ServerPool::connection_to(EndpointId id) {
    Server* known = find(id);
    if (!known) return nullptr;
    Server& server = *known;
    auto now = Connection::Steady::now();
    auto rested = [this, now](const ConnectionPtr& c) { return now - c->answered_at() >= reuse_.rest; };
    bool wary = now < wary_until_;
    spare_ = std::min(spare_ + reuse_.spare_part, reuse_.spare_most);
    while (!server.idle.empty()) {
        auto found = std::find_if(server.idle.rbegin(), server.idle.rend(), rested);
        bool doubted = found == server.idle.rend();
        if (doubted && wary) break;
        if (doubted && spare_ >= 1 && connections_ < most_connections_) {
            spare_ -= 1;
            break;
        }
        if (doubted) --found;  // the one that has rested longest
        ConnectionPtr idle = *found;
        server.idle.erase(std::prev(found.base()));
        bool old = now - idle->rested_at() >= idle_most_;
        if (!old && !idle->seen_closed()) {
            if (doubted) idle->doubt(soonest(server));
            return idle;
        }
        if (idle->spoke()) beware();
        idle->close();
        --connections_;
    }
    if (!server.address || (connections_ >= most_connections_ && !make_room())) return nullptr;
    ++connections_;
    return std::make_shared<Connection>(io_, pool_, *server.address, connect_timeout_, profile_.answer_most,
                                        profile_.pass != HttpProfile::Pass::Only200);
}

Duration ServerPool::soonest(const Server& server) const {
    Duration soonest = server.shortest * reuse_.soonest_part;
    return server.answers >= reuse_.soonest_of && soonest >= reuse_.soonest_least ? soonest : Duration{0};
}

void ServerPool::beware() {
    wary_until_ = Connection::Steady::now() + reuse_.wary;
}

/// What an exchange has shown of its server.
void ServerPool::learn(EndpointId id, const Connection::Result& result, bool doubted) {
    if (result.unasked) beware();
    Server* server = find(id);
    if (!server || doubted || result.end != Connection::End::Answered || result.answer->status != 200) return;
    server->shortest = server->answers++ == 0 ? result.took : std::min(server->shortest, result.took);
}

void ServerPool::note_stalled(const Connection::Endpoint& server, bool passed_on) {
    log(LogLevel::Warn, "a server fell silent amid an answer: given up",
        {{"server", server.address().to_string() + ":" + std::to_string(server.port())},
         {"passed_on", passed_on}});
    if (counters_) counters_->responses_given_up.add();
}

bool ServerPool::make_room() {
    Server* oldest = nullptr;
    for (auto& [id, server] : servers_) {
        if (server.idle.empty()) continue;
        if (!oldest || server.idle.front()->rested_at() < oldest->idle.front()->rested_at()) oldest = &server;
    }
    if (!oldest) return false;
    oldest->idle.front()->close();
    oldest->idle.erase(oldest->idle.begin());
    --connections_;
    return true;
}

void ServerPool::start_attempt(AttemptId id, EndpointId to, std::shared_ptr<const Message> message,
                               Duration patience) {
    auto request = std::static_pointer_cast<const HttpMessage>(std::move(message));
    // Guards against half a body that would look whole.
    ConnectionPtr connection = request->replayable() ? connection_to(to) : nullptr;
    attempts_[id] = connection;
    if (!connection) return end_later(id, Outcome::ConnectFailed);
    auto began = Connection::Steady::now();
    // Guards rule 3: a drain may be told while the connection is still coming up, its client leave, or its
    // time pass. The time of one whose body is still to come begins with its end.
    auto head = [this, id, to, at = connection->to(), request, began,
                 patience]() -> std::optional<std::string> {
        if (!may_send(to, at) || !events_.may_send(id)) return std::nullopt;
        auto from = time_of(*request, began);
        if (!from) return request_head(*request, patience);
        Duration left = patience - (Connection::Steady::now() - *from);
        return left.count() > 0 ? std::optional(request_head(*request, left)) : std::nullopt;
    };
    connection->let_stream(profile_.body_bytes());
    auto deadline_from = [patience](Connection::Steady::time_point from) { return from + span(patience); };
    auto from = time_of(*request, began);
    connection->limit_response(response_policy(profile_, patience, events_.may_retry(id)), span(patience),
                               from ? std::optional(deadline_from(*from)) : std::nullopt);
    // Guards rule 2: a repeat whose last byte would be written behind its window.
    connection->ask_before_more([this, id] { return events_.may_send(id); });
    bool doubted = connection->doubted();
    connection->exchange(
        std::move(head), request,
        [this, id, to, doubted](const ConnectionPtr& used, Connection::Result result) {
            attempt_done(id, to, used, std::move(result), doubted);
        },
        [this, request, began, deadline_from, used = connection.get()] {
            if (counters_) counters_->attempts_sent.add();
            used->set_deadline(deadline_from(time_of(*request, began).value_or(began)));
        });
}

void ServerPool::end_later(AttemptId id, Outcome outcome) {
    asio::post(io_, [this, id, outcome] {
        if (attempts_.erase(id) > 0) events_.attempt_ended(id, {outcome, {}, nullptr});
    });
}

void ServerPool::attempt_done(AttemptId id, EndpointId server, const ConnectionPtr& connection,
                              Connection::Result result, bool doubted) {
    attempts_.erase(id);
    learn(server, result, doubted);
    if (result.end == Connection::End::Stalled) note_stalled(connection->to(), false);
    if (result.streams)
        connection->when_streamed([this, server](const ConnectionPtr& used, bool reusable) {
            if (used->spoke()) beware();
            if (used->stalled()) note_stalled(used->to(), true);
            give_back(server, used, reusable);
        });
    else
        give_back(server, connection, result.reusable);
    AttemptResult told;
    told.outcome = outcome_of(result, profile_.pass);
    if (result.end == Connection::End::Answered) told.report = report_of(*result.answer);
    bool its_own_fault = told.outcome == Outcome::Error && profile_.pass == HttpProfile::Pass::All;
    if (told.outcome == Outcome::Ok || (its_own_fault && result.end == Connection::End::Answered))
        told.message = std::move(result.answer);
    events_.attempt_ended(id, std::move(told));
}

void ServerPool::give_back(EndpointId id, const ConnectionPtr& connection, bool reusable) {
    if (!reusable || connections_ > most_connections_ || !may_send(id, connection->to())) {
        connection->close();
        --connections_;
        return;
    }
    find(id)->idle.push_back(connection);
    connection->rest([this, id, lost = std::weak_ptr<Connection>(connection)] {
        Server* server = find(id);
        ConnectionPtr gone = lost.lock();
        if (gone && gone->spoke()) beware();
        if (server && std::erase(server->idle, gone) > 0) --connections_;
    });
}

bool ServerPool::cancel_attempt(AttemptId id) {
    auto it = attempts_.find(id);
    if (it == attempts_.end()) return false;
    ConnectionPtr connection = std::move(it->second);
    attempts_.erase(it);
    if (!connection) return false;
    --connections_;
    return connection->close();
}

void ServerPool::probe(EndpointId to, Duration limit) {
    auto began = Connection::Steady::now();
    auto took = [began] { return Duration{Connection::Steady::now() - began}; };
    ConnectionPtr connection = connection_to(to);
    if (!connection) {
        asio::post(io_, [this, to, took] { events_.probe_ended(to, took(), Outcome::ConnectFailed, {}); });
        return;
    }
    std::string host = std::to_string(to) + ".server";
    if (profile_.probes_by_status) {  // a server that is none of the platform's may look at it
        const Connection::Endpoint& at = *find(to)->address;
        host = at.address().to_string() + ":" + std::to_string(at.port());
    }
    auto timer = std::make_shared<asio::steady_timer>(
        io_, std::chrono::duration_cast<Connection::Steady::duration>(limit));
    timer->async_wait([this, to, connection, took](boost::system::error_code stopped) {
        if (stopped) return;
        bool written = connection->close();
        --connections_;
        events_.probe_ended(to, took(), written ? Outcome::Timeout : Outcome::ConnectFailed, {});
    });
    connection->limit_response({profile_.answer_most, profile_.answer_most, false}, span(limit),
                               std::nullopt);
    // Guards rule 3: as for an attempt, a drain may be told while the connection is still coming up.
    auto head = [this, to, at = connection->to(),
                 text = "GET " + profile_.probe_path + " HTTP/1.1\r\nHost: " + host +
                        "\r\n\r\n"]() -> std::optional<std::string> {
        return is_listed(to, at) ? std::optional(text) : std::nullopt;
    };
    connection->exchange(
        std::move(head), nullptr,
        [this, to, took, timer](const ConnectionPtr& used, const Connection::Result& result) {
            if (timer->cancel() == 0) return;  // its time ran out in this same moment
            if (result.unasked) beware();
            give_back(to, used, result.reusable);
            Outcome outcome = outcome_of_probe(result, profile_.probes_by_status);
            LoadReport report;
            if (result.answer && result.end == Connection::End::Answered) report = report_of(*result.answer);
            events_.probe_ended(to, took(), outcome, report);
        },
        nullptr);
}

void ServerPool::close_idle_connections(EndpointId id) {
    Server* server = find(id);
    if (!server) return;
    for (const ConnectionPtr& connection : server->idle) connection->close();
    connections_ -= server->idle.size();
    server->idle.clear();
}

void ServerPool::close_idle_before(Server& server, TimePoint start) {
    connections_ -= std::erase_if(server.idle, [start](const ConnectionPtr& connection) {
        bool earlier = connection->opened_at() < start;
        if (earlier) connection->close();
        return earlier;
    });
}

void ServerPool::set_admin_override(std::uint64_t key, bool out) {
    if (!out) return void(out_.erase(key));
    out_.insert(key);
    for (const auto& [id, server] : servers_)
        if (server.key == key) close_idle_connections(id);
}

std::size_t ServerPool::missing() const {
    std::size_t most_in_use = most_connections_ - most_connections_ / kReservePart;
    if (connections_ <= most_in_use) return 0;
    std::size_t idle = 0;
    for (const auto& [id, server] : servers_) idle += server.idle.size();
    return connections_ - std::min(connections_, idle + most_in_use);
}

void ServerPool::keep_to(std::size_t most_connections) {
    most_connections_ = most_connections;
    while (connections_ > most_connections_ && make_room()) {
    }
}

// Closes what servers are about to close: a request written after that would be lost.
void ServerPool::retire_idle() {
    auto now = Connection::Steady::now();
    for (auto& [id, server] : servers_) {
        auto old = [&](const ConnectionPtr& c) { return now - c->rested_at() >= idle_most_; };
        for (const ConnectionPtr& c : server.idle)
            if (old(c)) c->close();
        connections_ -= std::erase_if(server.idle, old);
    }
    sweep_.expires_after(kSweep);
    sweep_.async_wait([this](boost::system::error_code stopped) {
        if (!stopped) retire_idle();
    });
}

}  // namespace ochrehub::http
