#include <endpoint_list.pb.h>

#include <algorithm>
#include <utility>

#include "lab/leadership/endpoint_list_simulation_processes.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::leadership {

namespace core = ochrehub::leadership;
namespace list = ochrehub::leadership::endpoint_list;

namespace {

constexpr Duration kRequestInterval{100};  ///< between a node's requests to all servers
constexpr Duration kJitterPerNode{50};
constexpr Duration kMaxJitter{5000};
constexpr Duration kResponseGrace{2500};     ///< of a node's own watch
constexpr Duration kRetryAfterFailure{250};  ///< and up to a second of jitter

}  // namespace

void EndpointListSimulation::Node::started(TimePoint now) {
    timers.clear();
    create_cores(now);
    epoch.reset();
    watches_discovery = false;
    hung = false;
    own_revision = 0;
    if (!restarted) view = simulation.discovery_->servers;
    open_session();
    start_timers(now);
}

void EndpointListSimulation::Node::create_cores(TimePoint now) {
    core::LeaseHolderSettings lease;
    list::PublisherSettings publish;
    if (simulation.set_.real) {
        lease.safety_margin = Duration{0};
        lease.retry_interval = Duration{0};
        publish.retry_interval = Duration{0};
    }
    publish.watch_timeout = simulation.set_.publisher_watch;
    lease_holder = core::LeaseHolder(lease);
    publisher = list::Publisher(publish);
    list::FollowerSettings follow;
    follow.max_age =
        mutant() == EndpointListMutant::NeverAsksItself ? Duration{1e9} : simulation.set_.max_age;
    follow.max_jitter = mutant() == EndpointListMutant::AsksAtOnce
                            ? Duration{0}
                            : std::min(kMaxJitter, kJitterPerNode * double(simulation.set_.nodes));
    follow.jitter_fraction = simulation.net_.uniform();
    follower.emplace(follow, now);
}

SessionHooks EndpointListSimulation::Node::session_hooks() {
    return {
        [this](TimePoint t, coordinator::SessionId id, TimePoint until) {
            handle_lease(t, core::SessionRenewed{id, until});
        },
        [this](TimePoint t) { handle_lease(t, core::SessionLost{}); },
        [this](TimePoint t, coordinator::SessionId id, const std::string& kind, const std::string& update) {
            if (kind == "duty") handle_lease(t, core::SessionUpdateReceived{id, update});
            if (kind != "list") return;
            const bool forges = mutant() == EndpointListMutant::CountsFromNews;
            handle_follower(t, list::SessionUpdateReceived{session->renewal_sent_at(),
                                                           forges ? forged_update(update) : update});
        },
        [this](TimePoint t, const std::string& kind, std::uint64_t id, const std::string& response) {
            if (kind == "duty") handle_lease(t, core::CommandCompleted{id, response});
            if (kind == "list") handle_publisher(t, list::CommandCompleted{id, response});
        }};
}

void EndpointListSimulation::Node::open_session() {
    SessionSettings settings;
    settings.keepers = simulation.set_.keepers;
    if (!simulation.set_.real) {
        session =
            std::make_unique<SimulatedSession>(settings, simulation.net_, timers, self, session_hooks());
        return;
    }
    auto over_raft = std::make_unique<RaftSession>(settings, simulation.net_, timers, self,
                                                   self * 1000 + ++starts, session_hooks());
    over_raft->on_full_list = [this](TimePoint t, const std::string& full_list) {
        handle_follower(t, list::FullListReceived{full_list});
    };
    session = std::move(over_raft);
}

void EndpointListSimulation::Node::start_timers(TimePoint now) {
    if (simulation.set_.replicated) {
        handle_lease(now, core::AddCandidacy{std::string(list::kRole), 1});
        timers.at(now + Duration{1 + 1000 * simulation.net_.uniform()},
                  [this](TimePoint t) { session->begin(t); });
        timers.at(now, [this](TimePoint t) { handle_follower(t, list::FollowerTimerFired{}); });
    } else {
        watches_discovery = true;
        timers.at(now + kJitterPerNode * double(simulation.set_.nodes) * simulation.net_.uniform(),
                  [this](TimePoint t) { watch_discovery(t); });
    }
    timers.at(now + kRequestInterval * simulation.net_.uniform(), [this](TimePoint t) { send_requests(t); });
    timers.arm(simulation.net_, self);
}

/// A mutant's: each update claims that the round it shows as open is confirmed.
std::string EndpointListSimulation::Node::forged_update(const std::string& update) {
    ochrehub::endpoint_list::wire::SessionUpdate in;
    in.ParseFromString(update);
    forgeries += 2;
    in.set_confirmed_round((1 << 20) + forgeries);
    in.set_open_round((1 << 20) + forgeries + 1);
    return in.SerializeAsString();
}

/// One to each server that is ready in its view.
void EndpointListSimulation::Node::send_requests(TimePoint now) {
    for (const auto& [id, phase] : view)
        if (phase == "ready" && simulation.discovery_->drained.contains(id))
            last_requests[id] = simulation.net_.now();
    timers.at(now + kRequestInterval, [this](TimePoint t) { send_requests(t); });
}

void EndpointListSimulation::Node::handle_lease(TimePoint now, const core::LeaseHolderEvent& event) {
    core::LeaseHolderActions actions;
    lease_holder.handle(now, event, actions);
    record_decision("lease_holder", now, event, actions);
    for (core::LeaseHolderAction& action : actions) {
        if (const auto* send = std::get_if<core::SendCommand>(&action)) {
            session->submit(now, send->request_id, send->session, "duty", send->command);
        } else if (const auto* work = std::get_if<core::StartWork>(&action)) {
            epoch = work->epoch;
            handle_publisher(now, list::LeaseAcquired{work->epoch});
        } else if (const auto* stop = std::get_if<core::StopWork>(&action)) {
            handle_publisher(now, list::LeaseRevoked{});
            epoch.reset();
            timers.at(now, [this, stop = *stop](TimePoint t) {
                handle_lease(t, core::WorkStopped{stop.role, stop.epoch});
            });
        } else if (const auto* timer = std::get_if<core::SetTimer>(&action)) {
            timers.at(timer->at, [this](TimePoint t) { on_lease_timer(t); });
        }
    }
}

void EndpointListSimulation::Node::on_lease_timer(TimePoint now) {
    if (now <= last_lease_timer) return;  // several timers were set for this moment
    last_lease_timer = now;
    handle_lease(now, core::TimerFired{});
}

bool EndpointListSimulation::Node::publishes(TimePoint now) const {
    return epoch && lease_holder.current_epoch(now, list::kRole);
}

void EndpointListSimulation::Node::handle_publisher(TimePoint now, const list::PublisherEvent& event) {
    const bool is_publishing = epoch || std::holds_alternative<list::LeaseAcquired>(event);
    if (!is_publishing || hung) return;
    list::PublisherActions actions;
    publisher.handle(now, event, actions);
    record_decision("list_publisher", now, event, actions);
    for (list::PublisherAction& action : actions) {
        if (const auto* watch = std::get_if<list::StartWatch>(&action)) {
            start_watch(now, *watch);
        } else if (const auto* result = std::get_if<list::UseDiscoveryResult>(&action)) {
            if (mutant() == EndpointListMutant::OwnerIgnoresTold) continue;
            use(result->result);
            handle_follower(now, list::DiscoveryResultUsed{});
        } else if (const auto* send = std::get_if<list::SendCommand>(&action)) {
            session->submit(now, send->request_id, lease_holder.session(), "list", send->command);
        } else if (std::holds_alternative<list::ReleaseLease>(action) && epoch) {
            timers.at(now, [this, released = *epoch](TimePoint t) {
                handle_lease(t, core::ReleaseLease{std::string(list::kRole), released});
            });
        } else if (const auto* timer = std::get_if<list::PublisherSetTimer>(&action)) {
            timers.at(timer->at, [this](TimePoint t) { handle_publisher(t, list::PublisherTimerFired{}); });
        }
    }
}

void EndpointListSimulation::Node::start_watch(TimePoint now, const list::StartWatch& watch) {
    if (mutant() != EndpointListMutant::ReportsUnasked || !watch.since_revision) {
        call_discovery(watch.watch_id, watch.since_revision.value_or(0), watch.timeout);
        return;
    }
    timers.at(now + watch.timeout,
              [this, id = watch.watch_id, revision = *watch.since_revision](TimePoint t) {
                  handle_publisher(t, list::DiscoveryCompleted{id, {revision, false, {}, {}}});
              });
}

void EndpointListSimulation::Node::handle_follower(TimePoint now, const list::FollowerEvent& event) {
    list::FollowerActions actions;
    follower->handle(now, event, actions);
    record_decision("list_follower", now, event, actions);
    for (list::FollowerAction& action : actions) {
        if (const auto* all = std::get_if<list::ReplaceEndpoints>(&action)) {
            view = {all->endpoints.begin(), all->endpoints.end()};
        } else if (const auto* change = std::get_if<list::ApplyChange>(&action)) {
            for (const auto& [id, body] : change->upserted) view[id] = body;
            for (const std::string& id : change->removed) view.erase(id);
        } else if (std::holds_alternative<list::FetchFullList>(action)) {
            session->read(now, "list");
        } else if (std::holds_alternative<list::StartDiscoveryWatch>(action)) {
            watches_discovery = true;
            own_revision = 0;
            watch_discovery(now);
        } else if (std::holds_alternative<list::StopDiscoveryWatch>(action)) {
            watches_discovery = false;
        } else if (const auto* timer = std::get_if<list::FollowerSetTimer>(&action)) {
            set_follower_timer(timer->at);
        }
    }
}

void EndpointListSimulation::Node::set_follower_timer(TimePoint at) {
    if (follower_timer == at) return;
    follower_timer = at;
    timers.at(at, [this, at](TimePoint t) {
        if (follower_timer == at) handle_follower(t, list::FollowerTimerFired{});
    });
}

void EndpointListSimulation::Node::use(const list::DiscoveryResult& result) {
    if (result.is_full) view.clear();
    for (const auto& [id, phase] : result.upserted) view[id] = phase;
    for (const std::string& id : result.removed) view.erase(id);
}

void EndpointListSimulation::Node::call_discovery(std::uint64_t id, std::uint64_t since_revision,
                                                  Duration timeout) {
    Message m;
    m.kind = Message::Kind::Ask;
    m.call = id;
    m.index = since_revision;
    m.wait = timeout.count();
    simulation.net_.send(self, simulation.discovery(), m);
}

void EndpointListSimulation::Node::watch_discovery(TimePoint now) {
    if (!watches_discovery) return;
    const std::uint64_t call = ++own_call;
    call_discovery(kOwnCalls + call, own_revision, simulation.set_.own_watch);
    const Duration wait = own_revision != 0 ? simulation.set_.own_watch : Duration{0};
    timers.at(now + wait + kResponseGrace, [this, call](TimePoint t) {
        if (watches_discovery && own_call == call) watch_discovery(t);
    });
}

void EndpointListSimulation::Node::received(std::size_t from, TimePoint now, const Message& m) {
    if (from == simulation.discovery()) {
        if (m.kind == Message::Kind::Failed)
            on_call_failed(now, m);
        else
            on_call_completed(now, m);
    } else if (m.kind == Message::Kind::List) {
        handle_follower(now, list::FullListReceived{m.body});
    } else {
        session->received(from, now, m);
    }
}

void EndpointListSimulation::Node::on_call_failed(TimePoint now, const Message& m) {
    if (m.call <= kOwnCalls) return handle_publisher(now, list::DiscoveryFailed{m.call});
    if (!watches_discovery || m.call != kOwnCalls + own_call) return;
    timers.at(now + kRetryAfterFailure + Duration{1000 * simulation.net_.uniform()},
              [this](TimePoint t) { watch_discovery(t); });
}

void EndpointListSimulation::Node::on_call_completed(TimePoint now, const Message& m) {
    list::DiscoveryResult result{m.index, m.is_full, {}, {}};
    for (const Message::Entry& entry : m.entries) {
        if (entry.value.empty())
            result.removed.push_back(entry.key);
        else
            result.upserted[entry.key] = entry.value;
    }
    if (m.call <= kOwnCalls) return handle_publisher(now, list::DiscoveryCompleted{m.call, result});
    if (m.call != kOwnCalls + own_call) return;
    use(result);
    own_revision = result.revision;
    if (simulation.set_.replicated) handle_follower(now, list::DiscoveryResultUsed{});
    watch_discovery(now);
}

}  // namespace ochrehub::lab::leadership
