#include <algorithm>
#include <utility>

#include "lab/leadership/endpoint_list_simulation_processes.h"

namespace ochrehub::lab::leadership {

namespace {

constexpr Duration kFirstDrain{6000};
constexpr Duration kDrainTime{3000};    ///< from draining to removal
constexpr Duration kCallTimeout{1000};  ///< in the queue, after which a call fails

std::string server_id(int number) {
    std::string id("s");
    id += std::to_string(number);
    return id;
}

}  // namespace

void EndpointListSimulation::Discovery::start(TimePoint own) {
    for (std::size_t i = 0; i < simulation.set_.servers; ++i) servers[server_id(next_server++)] = "ready";
    timers.at(own + kFirstDrain, [this](TimePoint t) { drain(t); });
}

/// The oldest and the newest in turn: some servers live for seconds.
std::optional<std::string> EndpointListSimulation::Discovery::next_to_drain() {
    ++drain_count;
    for (int i = 0; i < next_server; ++i) {
        std::string id = server_id(drain_count % 2 ? i : next_server - 1 - i);
        auto server = servers.find(id);
        if (server != servers.end() && server->second == "ready") return id;
    }
    return std::nullopt;
}

void EndpointListSimulation::Discovery::drain(TimePoint own) {
    if (std::optional<std::string> id = next_to_drain()) {
        change(*id, "drain");
        drained[*id] = simulation.net_.now();
        timers.at(own + kDrainTime, [this, id = *id](TimePoint) {
            change(id, "");
            change(server_id(next_server++), "ready");
        });
    }
    timers.at(own + simulation.set_.drain_interval, [this](TimePoint t) { drain(t); });
}

void EndpointListSimulation::Discovery::change(const std::string& server, const std::string& phase) {
    ++revision;
    changes.push_back({revision, server});
    if (phase.empty())
        servers.erase(server);
    else
        servers[server] = phase;
    for (const Call& call : std::exchange(watches, {})) respond(call);
}

void EndpointListSimulation::Discovery::on_call(TimePoint own, std::size_t from, const Message& m) {
    ++simulation.outcome_.calls;
    queue.push_back({from, m, own});
    work(own);
}

void EndpointListSimulation::Discovery::work(TimePoint own) {
    if (busy || queue.empty()) return;
    busy = true;
    timers.at(own + Duration{1000 / simulation.set_.calls_per_s}, [this](TimePoint t) {
        busy = false;
        Call call = std::move(queue.front());
        queue.pop_front();
        handle(t, call);
        work(t);
    });
}

void EndpointListSimulation::Discovery::handle(TimePoint own, const Call& call) {
    if (own - call.received_at > kCallTimeout)
        fail(call);
    else if (call.message.index != 0 && call.message.index == revision)
        wait_for_change(call);
    else
        respond(call);
}

void EndpointListSimulation::Discovery::wait_for_change(const Call& call) {
    watches.push_back(call);
    timers.at(call.received_at + Duration{call.message.wait},
              [this, from = call.from, id = call.message.call](TimePoint) {
                  auto watch = std::find_if(watches.begin(), watches.end(), [&](const Call& one) {
                      return one.from == from && one.message.call == id;
                  });
                  if (watch == watches.end()) return;
                  const Call expired = *watch;
                  watches.erase(watch);
                  respond(expired);
              });
}

void EndpointListSimulation::Discovery::fail(const Call& call) {
    ++simulation.outcome_.failed;
    Message m = call.message;
    m.kind = Message::Kind::Failed;
    simulation.net_.send(simulation.discovery(), call.from, m);
}

void EndpointListSimulation::Discovery::respond(const Call& call) {
    Message m;
    m.kind = Message::Kind::List;
    m.call = call.message.call;
    m.index = revision;
    m.is_full = call.message.index == 0;
    if (m.is_full) {
        for (const auto& [id, phase] : servers) m.entries.push_back({id, phase});
    } else {
        for (const ServerChange& one : changes)
            if (one.revision > call.message.index)
                m.entries.push_back({one.server, servers.contains(one.server) ? servers[one.server] : ""});
    }
    record_drains_sent(call);
    simulation.net_.send(simulation.discovery(), call.from, m);
}

void EndpointListSimulation::Discovery::record_drains_sent(const Call& call) {
    if (simulation.net_.is_cut(simulation.discovery(), call.from)) return;
    // A publisher that hangs reads no response.
    if (simulation.node(call.from).hung && call.message.call <= Node::kOwnCalls) return;
    for (const auto& [id, at] : drained)
        if (!servers.contains(id) || servers[id] == "drain")
            drains_sent.try_emplace({call.from, id}, simulation.net_.now());
}

}  // namespace ochrehub::lab::leadership
