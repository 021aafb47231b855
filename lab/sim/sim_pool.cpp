#include "lab/sim/sim_pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace ochrehub::lab {
namespace {

constexpr double kIdlePart = 0.85;  // of the time after which servers close an idle connection
constexpr Duration kSweep{250};
constexpr Duration kSettle{1};
constexpr Duration kAnswerMost{300};  // from an answer's first byte to its last

Outcome outcome_of(Ended how) {
    switch (how) {
        case Ended::Served:
            return Outcome::Ok;
        case Ended::NeverRan:
            return Outcome::Rejected;
        case Ended::Reset:
            return Outcome::Reset;
        default:
            return Outcome::Error;
    }
}

}  // namespace

SimPool::SimPool(Scheduler& scheduler, NodeWorld& world, UpstreamEvents& events, const Settings& settings,
                 std::size_t most_connections, Meddler* meddler)
    : scheduler_(scheduler),
      world_(world),
      events_(events),
      connect_timeout_(settings.connect_timeout),
      idle_most_(settings.connection_idle_timeout * kIdlePart),
      removal_binds_(!settings.removal_not_binding),
      most_connections_(most_connections),
      meddler_(meddler) {
    hands_.scheduler = &scheduler;
    hands_.open = [this](ServerNo to) {
        ConnectionNo number = world_.connect(to);
        links_[number].own = false;
        return number;
    };
    hands_.send_on = [this](ConnectionNo number, std::shared_ptr<const SimMessage> message) {
        auto it = links_.find(number);
        if (it == links_.end()) return;
        it->second.message = std::move(message);
        it->second.patience = Duration{1000};
        it->second.began = scheduler_.now();
        if (it->second.state == State::Idle) begin(number, it->second);
    };
    hands_.send = [this](ServerNo to, std::shared_ptr<const SimMessage> message) {
        hands_.send_on(hands_.open(to), std::move(message));
    };
    retire_idle();
}

void SimPool::update_endpoints(const EndpointList& listing) {
    if (listing.update.kind == UpdateKind::Failed) return;
    if (listing.update.kind != UpdateKind::Delta && removal_binds_)
        for (EndpointId id : sendable_) servers_[id].sendable = false;
    for (std::size_t i = 0; i < listing.update.entries.size(); ++i) {
        const EndpointEntry& entry = listing.update.entries[i];
        if (entry.endpoint >= servers_.size()) servers_.resize(entry.endpoint + 1);
        Server& server = servers_[entry.endpoint];
        if (server.number == kNobody) sendable_.push_back(entry.endpoint);
        const std::string& address = listing.addresses[i];
        std::from_chars(address.data(), address.data() + address.size(), server.number);
        server.sendable = entry.phase == Phase::Ready || (entry.phase == Phase::Removed && !removal_binds_);
        if (meddler_) {
            ToldPhase phase = entry.phase == Phase::Ready      ? ToldPhase::InService
                              : entry.phase == Phase::Draining ? ToldPhase::Terminating
                                                               : ToldPhase::Terminated;
            meddler_->told(hands_, server.number, phase);
        }
    }
    std::erase_if(sendable_, [this](EndpointId id) {
        if (servers_[id].sendable) return false;
        close_idle_connections(id);
        servers_[id].number = kNobody;
        return true;
    });
}

/// Zero: there is no room for a further connection.
ConnectionNo SimPool::take(EndpointId id, Server& server) {
    TimePoint now = scheduler_.now();
    while (!server.idle.empty()) {
        auto settled = [&](ConnectionNo c) { return now - links_.at(c).rested_at >= kSettle; };
        auto found = std::find_if(server.idle.rbegin(), server.idle.rend(), settled);
        if (found == server.idle.rend()) found = server.idle.rbegin();
        ConnectionNo number = *found;
        server.idle.erase(std::prev(found.base()));
        Link& link = links_.at(number);
        if (now - link.rested_at < idle_most_) {
            link.state = State::Busy;
            link.began = now;
            return number;
        }
        forget(number, true);
    }
    if (links_.size() >= most_connections_ && !make_room()) return 0;
    ConnectionNo number = world_.connect(server.number);
    Link& link = links_[number];
    link.server = id;
    link.began = now;
    link.timer = scheduler_.call_at(now + connect_timeout_, [this, c = number] {
        links_.at(c).timer = 0;
        finish(c, Outcome::ConnectFailed, nullptr, false);
    });
    return number;
}

bool SimPool::make_room() {
    while (!rested_.empty())
        if (close_oldest()) return true;
    return false;
}

/// False where the oldest entry says nothing any more: its connection has been used since.
bool SimPool::close_oldest() {
    auto [at, number] = rested_.front();
    rested_.pop_front();
    auto it = links_.find(number);
    if (it == links_.end() || it->second.state != State::Idle || it->second.rested_at != at) return false;
    unlist_idle(it->second, number);
    forget(number, true);
    return true;
}

void SimPool::start_attempt(AttemptId id, EndpointId to, std::shared_ptr<const Message> message,
                            Duration patience) {
    Server* server = find(to);
    ConnectionNo number = server ? take(to, *server) : 0;
    attempts_[id] = number;
    if (number == 0) {
        scheduler_.post([this, id] {
            if (attempts_.erase(id) > 0) events_.attempt_ended(id, {Outcome::ConnectFailed, {}, nullptr});
        });
        return;
    }
    Link* link = &links_.at(number);
    link->attempt = id;
    link->probe = false;
    link->own = true;
    link->message = std::static_pointer_cast<const SimMessage>(std::move(message));
    link->patience = patience;
    if (meddler_) {
        std::shared_ptr<const SimMessage> held = link->message;
        ServerNo where = server->number;
        meddler_->started(hands_, *held, where);
        link = &links_.at(number);
    }
    if (link->state == State::Busy) begin(number, *link);
}

void SimPool::begin(ConnectionNo number, Link& link) {
    link.state = State::Busy;
    if (link.probe)
        world_.send_probe(number);
    else
        world_.send(number, link.message, link.patience - (scheduler_.now() - link.began));
}

void SimPool::link_up(ConnectionNo number) {
    auto it = links_.find(number);
    if (it == links_.end()) return;
    Link& link = it->second;
    if (!link.own) {
        link.state = State::Idle;
        if (link.message) begin(number, link);
        return;
    }
    if (!link.probe) {
        scheduler_.cancel(std::exchange(link.timer, 0));
        // Guards rule 3: a drain may be told while the connection is still coming up.
        Server* server = find(link.server);
        if (!server || !server->sendable) return finish(number, Outcome::NotSent, nullptr, false);
    }
    begin(number, link);
}

void SimPool::link_refused(ConnectionNo number) {
    if (links_.contains(number)) finish(number, Outcome::ConnectFailed, nullptr, false);
}

void SimPool::link_answer(const LinkAnswer& answer) {
    auto it = links_.find(answer.connection);
    if (it == links_.end() || it->second.state != State::Busy) return;
    if (answer.how != Ended::Spoilt) {
        bool reusable =
            answer.how == Ended::Served || answer.how == Ended::NeverRan || answer.how == Ended::Error;
        return finish(answer.connection, outcome_of(answer.how), &answer, reusable);
    }
    // What cannot be read ends at once; what never ends is cut off; the rest breaks in the middle.
    if (answer.spoilt % 3 == 1) {
        it->second.timer = scheduler_.call_at(scheduler_.now() + kAnswerMost, [this, c = answer.connection] {
            links_.at(c).timer = 0;
            finish(c, Outcome::Error, nullptr, false);
        });
        return;
    }
    finish(answer.connection, answer.spoilt % 3 == 0 ? Outcome::Error : Outcome::Reset, nullptr, false);
}

void SimPool::link_broken(ConnectionNo number) {
    auto it = links_.find(number);
    if (it == links_.end()) return;
    if (it->second.state == State::Idle) {
        unlist_idle(it->second, number);
        forget(number, true);
        return;
    }
    bool written = it->second.state == State::Busy;
    finish(number, written ? Outcome::Reset : Outcome::ConnectFailed, nullptr, false);
}

void SimPool::finish(ConnectionNo number, Outcome outcome, const LinkAnswer* answer, bool reusable) {
    Link& link = links_.at(number);
    scheduler_.cancel(std::exchange(link.timer, 0));
    EndpointId to = link.server;
    AttemptId id = link.attempt;
    bool probe = link.probe, own = link.own;
    Duration took = scheduler_.now() - link.began;
    std::shared_ptr<const SimMessage> message = std::move(link.message);
    Server* server = own ? find(to) : nullptr;
    ServerNo where = server ? server->number : kNobody;
    if (reusable && server && server->sendable) {
        link.state = State::Idle;
        link.rested_at = scheduler_.now();
        rested_.emplace_back(link.rested_at, number);
        server->idle.push_back(number);
    } else {
        forget(number, true);
    }
    if (!own) return;
    LoadReport report;
    if (answer && answer->queue >= 0) report.queue = double(answer->queue);
    if (probe) {
        if (outcome == Outcome::Ok && answer && !answer->healthy) outcome = Outcome::Error;
        return events_.probe_ended(to, took, outcome, report);
    }
    attempts_.erase(id);
    if (meddler_) meddler_->ended(hands_, *message, where, outcome);
    AttemptResult result;
    result.outcome = outcome;
    result.report = report;
    if (outcome == Outcome::Ok) {
        auto body = std::make_shared<SimAnswer>();
        body->attempt = answer->attempt;
        result.message = std::move(body);
    }
    events_.attempt_ended(id, std::move(result));
}

bool SimPool::cancel_attempt(AttemptId id) {
    auto it = attempts_.find(id);
    if (it == attempts_.end()) return false;
    ConnectionNo number = it->second;
    attempts_.erase(it);
    if (number == 0) return false;
    Link& link = links_.at(number);
    bool written = link.state == State::Busy;
    std::shared_ptr<const SimMessage> message = link.message;
    Server* server = find(link.server);
    ServerNo where = server ? server->number : kNobody;
    forget(number, true);
    if (meddler_)
        meddler_->ended(hands_, *message, where, written ? Outcome::Timeout : Outcome::ConnectFailed);
    return written;
}

void SimPool::probe(EndpointId to, Duration limit) {
    Server* server = find(to);
    ConnectionNo number = server ? take(to, *server) : 0;
    if (number == 0) {
        scheduler_.post([this, to] { events_.probe_ended(to, Duration{0}, Outcome::ConnectFailed, {}); });
        return;
    }
    Link& link = links_.at(number);
    link.probe = true;
    link.own = true;
    scheduler_.cancel(link.timer);
    link.timer = scheduler_.call_at(scheduler_.now() + limit, [this, c = number] {
        Link& late = links_.at(c);
        late.timer = 0;
        finish(c, late.state == State::Busy ? Outcome::Timeout : Outcome::ConnectFailed, nullptr, false);
    });
    if (link.state == State::Busy) begin(number, link);
}

void SimPool::close_idle_connections(EndpointId id) {
    Server* server = find(id);
    if (!server) return;
    for (ConnectionNo number : std::exchange(server->idle, {})) forget(number, true);
}

void SimPool::unlist_idle(const Link& link, ConnectionNo number) {
    if (link.server < servers_.size()) std::erase(servers_[link.server].idle, number);
}

void SimPool::forget(ConnectionNo number, bool close) {
    auto it = links_.find(number);
    scheduler_.cancel(it->second.timer);
    links_.erase(it);
    if (close) world_.close(number);
}

// Closes what servers are about to close: a request written after that would be lost.
void SimPool::retire_idle() {
    TimePoint now = scheduler_.now();
    while (!rested_.empty() && now - rested_.front().first >= idle_most_) close_oldest();
    // Of a connection that is used again and again only the last entry counts.
    if (rested_.size() > 64 && rested_.size() > 8 * links_.size())
        std::erase_if(rested_, [this](const auto& entry) {
            auto it = links_.find(entry.second);
            return it == links_.end() || it->second.state != State::Idle ||
                   it->second.rested_at != entry.first;
        });
    scheduler_.call_at(now + kSweep, [this] { retire_idle(); });
}

}  // namespace ochrehub::lab
