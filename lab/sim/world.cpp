#include "lab/sim/world.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "lab/sim/node_host.h"

namespace ochrehub::lab {
namespace {

constexpr Duration kBefore{1000};   // nodes start so much before the day: clients come once they are ready
constexpr Duration kNodeStart{40};  // from the start of a process until it serves
constexpr Duration kDrainLeast{700};
constexpr Duration kDrainLook{20};
constexpr Duration kSynAgain{1000};
constexpr Duration kFrontNews{300};  // clients still come for a while after SIGTERM

template <class T>
std::vector<T> take_spare(std::vector<std::vector<T>>& spares) {
    if (spares.empty()) return {};
    std::vector<T> spare = std::move(spares.back());
    spares.pop_back();
    return spare;
}

}  // namespace

World::World(const Day& day, Witness& witness, WorldOptions options)
    : day_(day),
      witness_(witness),
      options_(std::move(options)),
      scheduler_(kStart - kBefore),
      network_(day, mix(day.seed, 0x6e6574)) {
    std::vector<std::shared_ptr<Server::KeyMemory>> memories;
    auto memory_of = [&](const ServerFigures& figures) {
        auto cell = std::size_t(std::max(0, figures.cell));
        if (cell >= memories.size()) memories.resize(cell + 1);
        if (!memories[cell]) memories[cell] = Server::make_memory();
        return memories[cell];
    };
    hosts_.resize(day.servers.size());
    for (std::size_t i = 0; i < day.servers.size(); ++i)
        for (std::size_t j = 0; j < i && !day.servers[i].address_of.empty(); ++j)
            if (day.servers[j].id == day.servers[i].address_of) hosts_[j].successor = ServerNo(i);
    down_by_.assign(day.servers.size(), 0);
    for (std::size_t i = 0; i < day.servers.size(); ++i) {
        const ServerFigures& figures = day.servers[i];
        hosts_[i].place = {Place::What::Server, int(i), figures.zone};
        hosts_[i].server = std::make_unique<Server>(figures, day.classes, day.limits, memory_of(figures),
                                                    mix(mix(day.seed, 0x737276), i));
    }
    begin_ = scheduler_.now();
    if (options_.fleet) {
        auto cut = [this](std::size_t from, std::size_t to) {
            return network_.any_cut() && network_.cut_off(nodes_[from]->place(), nodes_[to]->place());
        };
        auto told = [this](std::size_t node, int gateways, int me) {
            nodes_[node]->enter(
                [host = nodes_[node].get(), gateways, me] { host->node()->sharers(gateways, me); });
        };
        tier_ = std::make_unique<Tier>(day.nodes.size(), mix(day.seed, 0x74696572), cut, told);
    }
    discovery_ = std::make_unique<Discovery>(day, kStart, mix(day.seed, 0x646973));
    clients_ = std::make_unique<Clients>(day, kStart, mix(day.seed, 0x636c69));
    for (std::size_t i = 0; i < day.nodes.size(); ++i)
        nodes_.push_back(std::make_unique<NodeHost>(*this, NodeNo(i)));
}

World::~World() {
    for (auto& node : nodes_)
        if (node->running()) node->end();
}

void World::run() {
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const ServerFigures& figures = day_.servers[i];
        if (figures.exists_from.count() <= 0) {
            if (!figures.starts_cold) start_server(ServerNo(i), true);
            // One that starts with the day is cold from its first moment on.
            else
                scheduler_.call_at(kStart, [this, i] { start_server(ServerNo(i), false); });
        } else {
            scheduler_.call_at(kStart + figures.exists_from,
                               [this, i, warm = !figures.starts_cold] { start_server(ServerNo(i), warm); });
        }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) start_node(NodeNo(i));
    if (tier_) look_at_tier();
    for (std::size_t i = 0; i < day_.faults.size(); ++i) {
        const Fault& it = day_.faults[i];
        scheduler_.call_at(kStart + it.at, [this, i] { fault(int(i), true); });
        if (it.length.count() > 0) scheduler_.call_at(kStart + it.end(), [this, i] { fault(int(i), false); });
    }
    scheduler_.call_at(kStart, [this] { tell_clients(ClientsWoken{}); });
    Duration longest{0};
    for (const ClassFigures& c : day_.classes) longest = std::max(longest, c.give_up);
    TimePoint over = kStart + day_.length, last = over + longest + Duration{5000};
    // Arrivals stop with the day; it ends when all is answered, or when nothing more can come in time.
    while (!scheduler_.idle() && scheduler_.next() <= last) {
        scheduler_.step();
        if (scheduler_.now() > over && clients_->done()) break;
    }
}

// ---- Servers

void World::tell_server(ServerNo server, const ServerEvent& event) {
    ServerActions actions = take_spare(spare_server_actions_);
    hosts_[std::size_t(server)].server->handle(scheduler_.now(), event, actions);
    // The wake first: what the others bring in turn may ask for an earlier one, which must not be lost to
    // this.
    for (const ServerAction& action : actions)
        if (std::holds_alternative<WakeServerAt>(action)) carry_out(server, action);
    for (const ServerAction& action : actions)
        if (!std::holds_alternative<WakeServerAt>(action)) carry_out(server, action);
    actions.clear();
    spare_server_actions_.push_back(std::move(actions));
}

void World::carry_out(ServerNo server, const ServerAction& action) {
    Host& host = hosts_[std::size_t(server)];
    if (const auto* wake = std::get_if<WakeServerAt>(&action)) {
        scheduler_.cancel(host.wake);
        host.wake = scheduler_.call_at(wake->at, [this, server] {
            hosts_[std::size_t(server)].wake = 0;
            tell_server(server, ServerWoken{});
        });
    } else if (const auto* answer = std::get_if<AnswerOut>(&action)) {
        if (answer->attempt != 0)
            note(AttemptEnded{scheduler_.now(), answer->attempt, answer->how, answer->ran});
        Link* link = find_link(answer->connection);
        if (!link) return;
        link->attempt = 0;
        if (answer->how == Ended::Dropped || !link->node_open) return;
        LinkAnswer out;
        out.connection = answer->connection;
        out.attempt = answer->attempt;
        out.how = answer->how;
        out.spoilt = std::uint8_t(answer->spoilt);
        out.healthy = answer->healthy;
        if (answer->report) out.queue = float(answer->report->queue);
        to_node(answer->connection, *link, [out](SimNode& node) { node.link_answer(out); });
    } else if (const auto* worked = std::get_if<Worked>(&action)) {
        note(WorkArrived{scheduler_.now(), server, worked->node, worked->work, worked->kind});
    } else if (const auto* connected = std::get_if<Connected>(&action)) {
        if (Link* link = find_link(connected->connection)) {
            link->ready = true;
            if (link->held || link->held_probe) deliver_request(connected->connection);
        }
    } else if (const auto* refused = std::get_if<ConnectionRefused>(&action)) {
        if (Link* link = find_link(refused->connection)) {
            link->server_open = false;
            std::erase(host.links, refused->connection);
            to_node(refused->connection, *link,
                    [c = refused->connection](SimNode& node) { node.link_refused(c); });
        }
    } else if (const auto* broken = std::get_if<ConnectionBroken>(&action)) {
        break_link(broken->connection);
    } else if (const auto* became = std::get_if<Became>(&action)) {
        note(ServerChanged{scheduler_.now(), server, became->state, became->window});
        if (became->state == ServerState::FellOver) {
            host.running = false;
            tell_discovery(ServerIs{server, ServerState::Gone, {}, true});
        }
    }
}

/// By the server: reset, or closed idle.
void World::break_link(ConnectionNo number) {
    Link* link = find_link(number);
    if (!link || !link->server_open) return;
    link->server_open = false;
    link->attempt = 0;
    link->held.reset();
    std::erase(hosts_[std::size_t(link->server)].links, number);
    if (!link->node_open) return release_link(number);
    to_node(number, *link, [number](SimNode& node) { node.link_broken(number); });
}

void World::start_server(ServerNo server, bool warm) {
    Host& host = hosts_[std::size_t(server)];
    host.running = true;
    note(ServerChanged{scheduler_.now(), server, ServerState::Ready, {}});
    tell_server(server, Start{warm});
    bool at_first = scheduler_.now() < kStart;
    if (!at_first) tell_discovery(ServerIs{server, ServerState::Ready, scheduler_.now(), false});
}

void World::stop_server(ServerNo server, ServerState state, bool silent) {
    Host& host = hosts_[std::size_t(server)];
    host.running = false;
    note(ServerChanged{scheduler_.now(), server, state, {}});
    Trouble crash;
    crash.kind = FaultKind::Crash;
    tell_server(server, crash);
    // Connections that came up and were never told to the process go with its machine's answer, too.
    for (ConnectionNo number : std::vector<ConnectionNo>(host.links)) break_link(number);
    tell_discovery(ServerIs{server, state, {}, silent});
}

// ---- Links

ConnectionNo World::open_link(NodeNo node, ServerNo server) {
    std::uint32_t slot = 0;
    if (free_links_.empty()) {
        slot = std::uint32_t(links_.size());
        links_.emplace_back().life = 1;
    } else {
        slot = free_links_.back();
        free_links_.pop_back();
    }
    Link& link = links_[slot];
    link.node_open = true;
    link.node = node;
    link.node_life = nodes_[std::size_t(node)]->life();
    link.server = server;
    ConnectionNo number = std::uint64_t{link.life} << 32 | slot;
    nodes_[std::size_t(node)]->links().push_back(number);
    syn(number);
    return number;
}

void World::syn(ConnectionNo number) {
    Link* link = find_link(number);
    if (!link || !link->node_open) return;
    const Place &from = nodes_[std::size_t(link->node)]->place(),
                &to = hosts_[std::size_t(link->server)].place;
    if (network_.any_cut() && (network_.cut_off(from, to) || network_.cut_off(to, from))) {
        scheduler_.call_at(scheduler_.now() + kSynAgain, [this, number] { syn(number); });
        return;
    }
    link->to_server = carry(from, to, link->to_server, [this, number] {
        Link* there = find_link(number);
        if (!there || !there->node_open) return;
        // Another process may have taken the address of the one that was meant.
        while (!hosts_[std::size_t(there->server)].running &&
               hosts_[std::size_t(there->server)].successor != kNobody)
            there->server = hosts_[std::size_t(there->server)].successor;
        Host& host = hosts_[std::size_t(there->server)];
        if (!host.running)
            return to_node(number, *there, [number](SimNode& node) { node.link_refused(number); });
        there->server_open = true;
        there->server_knows = true;
        host.links.push_back(number);
        NodeNo node = there->node;
        tell_server(there->server, Connecting{number, node});
        there = find_link(number);  // the server may have refused it
        if (there && there->server_open)
            to_node(number, *there, [number](SimNode& up) { up.link_up(number); });
    });
}

template <class F>
void World::to_node(ConnectionNo number, Link& link, F then) {
    const Place &from = hosts_[std::size_t(link.server)].place, &to = nodes_[std::size_t(link.node)]->place();
    link.to_node = carry(from, to, link.to_node, [this, number, then] {
        Link* here = find_link(number);
        if (!here || !here->node_open) return;
        NodeHost& host = *nodes_[std::size_t(here->node)];
        if (host.life() != here->node_life) return;
        host.enter([&host, then] { then(*host.node()); });
    });
}

void World::send(ConnectionNo number, std::shared_ptr<const SimMessage> message, Duration patience,
                 bool probe) {
    Link* link = find_link(number);
    if (!link) return;
    const Place &from = nodes_[std::size_t(link->node)]->place(),
                &to = hosts_[std::size_t(link->server)].place;
    link->to_server =
        carry(from, to, link->to_server,
              [this, number, patience, probe, sent = scheduler_.now(), message = std::move(message)] {
                  Link* there = find_link(number);
                  if (!there || !there->server_open) return;  // its reset is on its way
                  there->held = message;
                  there->held_sent = sent;
                  there->held_patience = patience;
                  there->held_probe = probe;
                  if (there->ready) deliver_request(number);
              });
}

/// The handshake is done and a request, or a probe, is there.
void World::deliver_request(ConnectionNo number) {
    Link& link = *find_link(number);
    ServerNo server = link.server;
    NodeNo node = link.node;
    if (std::exchange(link.held_probe, false)) return tell_server(server, ProbeIn{number, node, false});
    std::shared_ptr<const SimMessage> message = std::move(link.held);
    RequestIn in;
    in.connection = number;
    in.node = node;
    in.attempt = ++attempts_;
    in.cls = message->cls;
    in.work = message->work;
    in.wait = message->wait;
    in.key = message->key;
    in.expires_in = link.held_patience;
    link.attempt = in.attempt;
    TimePoint now = scheduler_.now();
    note(AttemptArrived{now, link.held_sent, in.attempt, message->id, server, node, in.expires_in});
    if (!link.node_open) note(AttemptAbandoned{now, in.attempt});
    tell_server(server, in);
}

/// By the node.
void World::close_link(ConnectionNo number) {
    Link* link = find_link(number);
    if (!link || !link->node_open) return;
    link->node_open = false;
    NodeHost& host = *nodes_[std::size_t(link->node)];
    std::erase(host.links(), number);
    if (link->attempt != 0) note(AttemptAbandoned{scheduler_.now(), link->attempt});
    if (!link->server_open && !link->server_knows) {
        // Its SYN may still be under way; whatever comes finds the link closed.
        scheduler_.call_at(std::max(link->to_server, scheduler_.now()),
                           [this, number] { release_link(number); });
        return;
    }
    const Place &from = host.place(), &to = hosts_[std::size_t(link->server)].place;
    carry(from, to, link->to_server, [this, number] {
        Link* there = find_link(number);
        if (!there) return;
        if (there->server_open) {
            there->server_open = false;
            ServerNo server = there->server;
            std::erase(hosts_[std::size_t(server)].links, number);
            tell_server(server, ConnectionClosed{number});
        }
        release_link(number);
    });
}

void World::release_link(ConnectionNo number) {
    Link* link = find_link(number);
    if (!link) return;
    auto slot = std::uint32_t(number);
    std::uint32_t life = link->life + 1;
    *link = Link{};
    link->life = life;
    free_links_.push_back(slot);
}

// ---- Clients

void World::tell_clients(const ClientEvent& event) {
    ClientActions actions = take_spare(spare_client_actions_);
    clients_->handle(scheduler_.now(), event, actions);
    for (const ClientAction& action : actions) carry_out(action);
    actions.clear();
    spare_client_actions_.push_back(std::move(actions));
}

void World::carry_out(const ClientAction& action) {
    if (const auto* made = std::get_if<ClientsNote>(&action)) {
        note(made->record);
    } else if (const auto* wake = std::get_if<WakeClientsAt>(&action)) {
        scheduler_.cancel(clients_wake_);
        clients_wake_ = scheduler_.call_at(wake->at, [this] {
            clients_wake_ = 0;
            tell_clients(ClientsWoken{});
        });
    } else if (const auto* ask = std::get_if<Ask>(&action)) {
        auto it = client_links_.find(ask->connection);
        if (it == client_links_.end()) return;
        if (it->second.up)
            send_ask(it->second, *ask);
        else
            it->second.queued = *ask;
    } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
        ClientLink& link = client_links_[open->connection];
        link.node = open->node;
        link.hostile = open->hostile;
        link.noise = open->noise;
        note(ClientConnected{scheduler_.now(), open->node, open->hostile});
        NodeHost& host = *nodes_[std::size_t(open->node)];
        link.to_node = carry(client_, host.place(), {}, [this, c = open->connection] {
            auto found = client_links_.find(c);
            if (found == client_links_.end()) return;
            ClientLink& there = found->second;
            NodeHost& node = *nodes_[std::size_t(there.node)];
            if (!node.running()) return client_lost(c, true, {});
            there.node_life = node.life();
            there.to_client = carry(node.place(), client_, there.to_client, [this, c] { client_up(c); });
            node.opens(c);
        });
    } else if (const auto* close = std::get_if<CloseConnection>(&action)) {
        auto it = client_links_.find(close->connection);
        if (it == client_links_.end()) return;
        ClientLink link = it->second;
        client_links_.erase(it);
        NodeHost& host = *nodes_[std::size_t(link.node)];
        carry(client_, host.place(), link.to_node,
              [this, c = close->connection, n = link.node, life = link.node_life] {
                  NodeHost& there = *nodes_[std::size_t(n)];
                  if (life == 0 || there.life() != life) return;
                  there.closes(c);
              });
    }
}

void World::client_up(ClientConnection connection) {
    auto it = client_links_.find(connection);
    if (it == client_links_.end()) return;
    ClientLink& link = it->second;
    link.up = true;
    if (link.noise >= 0) {
        NodeHost& host = *nodes_[std::size_t(link.node)];
        link.to_node = carry(
            client_, host.place(), link.to_node, [this, connection, n = link.node, life = link.node_life] {
                NodeHost& there = *nodes_[std::size_t(n)];
                if (there.life() == life)
                    there.enter([&there, connection] { there.node()->client_noise(connection); });
            });
    }
    if (link.queued) {
        Ask ask = *link.queued;
        link.queued.reset();
        send_ask(link, ask);
    }
}

void World::send_ask(ClientLink& link, const Ask& ask) {
    TimePoint now = scheduler_.now();
    link.out = ask.id;
    note(TrySent{now, ask.id, ask.call, ask.node, ask.cls, ask.tenant, ask.key, now + ask.patience,
                 ask.repeat, ask.marked});
    NodeHost& host = *nodes_[std::size_t(link.node)];
    auto held = std::make_shared<const Ask>(ask);
    link.read = false;
    link.to_node =
        carry(client_, host.place(), link.to_node, [this, n = link.node, life = link.node_life, held] {
            NodeHost& there = *nodes_[std::size_t(n)];
            if (there.life() == life) there.request_arrived(held);
        });
}

void World::request_read(ClientConnection connection) {
    auto it = client_links_.find(connection);
    if (it != client_links_.end()) it->second.read = !it->second.node_closed;
}

/// The node's end of a connection is gone: the client hears of it.
void World::client_lost(ClientConnection connection, bool node_gone, TimePoint at) {
    auto it = client_links_.find(connection);
    if (it == client_links_.end()) return;
    ClientLink& link = it->second;
    NodeHost& host = *nodes_[std::size_t(link.node)];
    link.to_client =
        carry(host.place(), client_, std::max(link.to_client, at), [this, connection, node_gone] {
            auto found = client_links_.find(connection);
            if (found == client_links_.end()) return;
            const ClientLink& lost = found->second;
            // A node may close a connection between requests, not one whose first request it has yet to
            // answer.
            bool between_requests = lost.out == 0 || (lost.answered && !lost.read);
            bool before_any = !lost.up || between_requests;
            client_links_.erase(found);
            tell_clients(ConnectionLost{connection, before_any, node_gone});
        });
}

void World::reply(NodeNo node, std::uint32_t life, ClientConnection connection, TryId id,
                  const SimReply& reply) {
    auto it = client_links_.find(connection);
    if (it == client_links_.end() || it->second.node_life != life) return;
    ClientLink& link = it->second;
    const Place& from = nodes_[std::size_t(node)]->place();
    link.to_client = carry(from, client_, link.to_client, [this, connection, id, came = reply] {
        auto found = client_links_.find(connection);
        if (found == client_links_.end()) return;
        if (id != 0) {
            std::optional<Duration> advice;
            if (came.advice.count() > 0) advice = came.advice;
            note(TryAnswered{scheduler_.now(), id, came.heard, came.status, came.answer, advice});
            found->second.answered = true;
            if (found->second.out == id) found->second.out = 0;
            tell_clients(Answered{id, came.heard, came.status, advice, came.closes});
        }
        if (!came.closes) return;
        // The node ended its sending: the client closes, if its core has not done so by itself.
        found = client_links_.find(connection);
        if (found == client_links_.end()) return;
        ClientLink link_now = found->second;
        client_links_.erase(found);
        if (id == 0) tell_clients(ConnectionLost{connection, false, false});
        NodeHost& host = *nodes_[std::size_t(link_now.node)];
        carry(client_, host.place(), link_now.to_node,
              [this, connection, n = link_now.node, node_life = link_now.node_life] {
                  NodeHost& there = *nodes_[std::size_t(n)];
                  if (there.life() == node_life) there.closes(connection);
              });
    });
}

void World::close_client(ClientConnection connection) {
    if (auto it = client_links_.find(connection); it != client_links_.end()) it->second.node_closed = true;
    client_lost(connection, false, {});
}

// ---- Discovery

void World::tell_discovery(const DiscoveryEvent& event) {
    DiscoveryActions actions;
    discovery_->handle(scheduler_.now(), event, actions);
    for (DiscoveryAction& action : actions) {
        if (const auto* wake = std::get_if<WakeDiscoveryAt>(&action)) {
            scheduler_.cancel(discovery_wake_);
            discovery_wake_ = scheduler_.call_at(wake->at, [this] {
                discovery_wake_ = 0;
                tell_discovery(DiscoveryWoken{});
            });
        } else if (auto* list = std::get_if<ListOut>(&action)) {
            auto it = list_calls_.find(list->call);
            if (it == list_calls_.end()) continue;
            TimePoint now = scheduler_.now();
            bool first = list->complete;
            for (const Listed& member : list->members)
                note(Told{now, list->node, member.server, member.phase, member.started,
                          std::exchange(first, false)});
            note(Asked{now, list->node, Asked::What::Answered});
            NodeHost& host = *nodes_[std::size_t(list->node)];
            auto held = std::make_shared<const ListOut>(std::move(*list));
            carry(discovery_place_, host.place(), {}, [this, held] {
                auto found = list_calls_.find(held->call);
                if (found == list_calls_.end()) return;
                ListWait wait = found->second;
                list_calls_.erase(found);
                NodeHost& there = *nodes_[std::size_t(wait.node)];
                if (there.life() == wait.life)
                    there.enter([&there, held] { there.node()->listed(held->call, *held); });
            });
        } else if (const auto* failed = std::get_if<ListFailed>(&action)) {
            note(Asked{scheduler_.now(), failed->node, Asked::What::Failed});
            NodeHost& host = *nodes_[std::size_t(failed->node)];
            carry(discovery_place_, host.place(), {}, [this, call = failed->call] {
                auto found = list_calls_.find(call);
                if (found == list_calls_.end()) return;
                ListWait wait = found->second;
                list_calls_.erase(found);
                NodeHost& there = *nodes_[std::size_t(wait.node)];
                if (there.life() == wait.life)
                    there.enter([&there, call] { there.node()->list_failed(call); });
            });
        }
    }
}

ListCall World::ask_list(NodeNo node, std::optional<std::uint64_t> index, Duration wait) {
    ListCall call = ++list_call_;
    NodeHost& host = *nodes_[std::size_t(node)];
    list_calls_[call] = {node, host.life()};
    carry(host.place(), discovery_place_, {}, [this, call, node, index, wait] {
        note(Asked{scheduler_.now(), node, Asked::What::Called});
        tell_discovery(ListAsked{call, node, index, wait});
    });
    return call;
}

// ---- Nodes and the timeline

void World::start_node(NodeNo number) {
    NodeHost& host = *nodes_[std::size_t(number)];
    if (host.running()) return;
    TimePoint now = scheduler_.now();
    note(NodeChanged{now, number, NodeState::Started});
    bool first = true;
    for (const Listed& member : discovery_->known().members)
        note(Told{now, number, member.server, member.phase, member.started, std::exchange(first, false)});
    host.stopping = host.ready = false;
    host.start(options_.meddler ? options_.meddler(number) : nullptr);
    if (tier_) tier_->start(since_begin(), std::size_t(number));
    scheduler_.call_at(now + kNodeStart, [this, number, life = host.life()] {
        NodeHost& started = *nodes_[std::size_t(number)];
        if (started.life() != life) return;
        started.ready = true;
        note(NodeChanged{scheduler_.now(), number, NodeState::Ready});
        tell_clients(NodeUp{number});
    });
}

void World::kill_node(NodeNo number, NodeState state) {
    NodeHost& host = *nodes_[std::size_t(number)];
    if (!host.running()) return;
    std::uint32_t life = host.life();
    note(NodeChanged{scheduler_.now(), number, state});
    for (ConnectionNo link : std::vector<ConnectionNo>(host.links())) close_link(link);
    std::vector<ClientConnection> open;
    for (const auto& [connection, link] : client_links_)
        if (link.node == number && link.node_life == life) open.push_back(connection);
    std::sort(open.begin(), open.end());
    host.end();
    if (tier_) tier_->kill(since_begin(), std::size_t(number));
    std::vector<ListCall> calls;
    for (const auto& [call, wait] : list_calls_)
        if (wait.node == number) calls.push_back(call);
    std::sort(calls.begin(), calls.end());
    for (ListCall call : calls) host.drop_list_call(call);
    for (ClientConnection connection : open) client_lost(connection, true, {});
    tell_clients(NodeDown{number, false});
}

void World::look_at_tier() {
    tier_->look(since_begin());
    scheduler_.call_at(scheduler_.now() + Tier::kLook, [this] { look_at_tier(); });
}

void World::stop_node(NodeNo number) {
    NodeHost& host = *nodes_[std::size_t(number)];
    if (!host.running() || host.stopping) return;
    TimePoint now = scheduler_.now();
    host.stopping = true;
    note(NodeChanged{now, number, NodeState::Stopping});
    host.enter([&host] { host.node()->drain(); });
    if (tier_) tier_->leave(since_begin(), std::size_t(number));
    scheduler_.call_at(now + kFrontNews, [this, number] { tell_clients(NodeDown{number, true}); });
    Duration longest{3000};
    for (const ClassFigures& c : day_.classes) longest = std::max(longest, c.give_up);
    end_when_quiet(number, host.life(), now + kDrainLeast, now + longest + kDrainLeast);
}

void World::end_when_quiet(NodeNo number, std::uint32_t life, TimePoint least, TimePoint most) {
    NodeHost& host = *nodes_[std::size_t(number)];
    if (host.life() != life) return;
    TimePoint now = scheduler_.now();
    bool quiet = now >= least && host.node()->quiet();
    if (quiet || now >= most) {
        kill_node(number, quiet ? NodeState::Ended : NodeState::Killed);  // else by SIGKILL
        scheduler_.call_at(now + kNodeStart, [this, number] { start_node(number); });
        return;
    }
    scheduler_.call_at(now + kDrainLook,
                       [this, number, life, least, most] { end_when_quiet(number, life, least, most); });
}

void World::fault(int number, bool begins) {
    const Fault& it = day_.faults[std::size_t(number)];
    note(FaultMark{scheduler_.now(), number, begins});
    auto all_servers = [&](auto f) {
        if (!it.servers.empty()) {
            for (int server : it.servers) f(ServerNo(server));
            return;
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i)
            if (hosts_[i].running || !begins) f(ServerNo(i));
    };
    auto all_nodes = [&](auto f) {
        if (!it.nodes.empty()) {
            for (int node : it.nodes) f(NodeNo(node));
            return;
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) f(NodeNo(i));
    };
    switch (it.kind) {
        case FaultKind::Hang:
        case FaultKind::FastErrors:
        case FaultKind::Pauses:
        case FaultKind::Slow:
        case FaultKind::Resets:
        case FaultKind::Spoilt:
            all_servers([&](ServerNo server) {
                tell_server(server, Trouble{it.kind, begins, it.size, it.every});
            });
            break;
        case FaultKind::Crash:
            all_servers([&](ServerNo server) {
                int& down = down_by_[std::size_t(server)];
                if (begins && down++ == 0) stop_server(server, ServerState::Gone, false);
                if (!begins && --down == 0) start_server(server, false);
            });
            break;
        case FaultKind::Silent:
            if (begins)
                network_.cut(number);
            else
                network_.heal(number), healed();
            for (int server : it.servers) {
                if (begins)
                    tell_discovery(ServerIs{server, ServerState::Gone, {}, true});
                else if (hosts_[std::size_t(server)].running)
                    tell_discovery(ServerIs{server, ServerState::Ready, {}, false});
            }
            break;
        case FaultKind::Drain:
            all_servers([&](ServerNo server) {
                if (begins) {
                    note(ServerChanged{scheduler_.now(), server, ServerState::Draining, {}});
                    tell_server(server, Trouble{it.kind, true, 0, {}});
                    tell_discovery(ServerIs{server, ServerState::Draining, {}, false});
                } else if (hosts_[std::size_t(server)].running) {
                    ++down_by_[std::size_t(server)];
                    stop_server(server, ServerState::Gone, false);
                }
            });
            break;
        case FaultKind::Partition:
            if (begins)
                network_.cut(number);
            else
                network_.heal(number), healed();
            break;
        case FaultKind::DiscoveryDown:
            tell_discovery(DiscoveryIs{begins, false});
            break;
        case FaultKind::DiscoveryStale:
            tell_discovery(DiscoveryIs{false, begins});
            break;
        case FaultKind::DiscoveryEmpty:
            tell_discovery(DiscoveryIs{false, false, begins});
            break;
        case FaultKind::DiscoveryMoves:
        case FaultKind::NodeReload:
            if (!begins) break;
            all_nodes([&](NodeNo node) {
                NodeHost& host = *nodes_[std::size_t(node)];
                note(NodeChanged{scheduler_.now(), node, NodeState::Reloaded});
                bool moved = it.kind == FaultKind::DiscoveryMoves;
                if (host.running()) host.enter([&host, moved] { host.node()->reload(moved); });
            });
            break;
        case FaultKind::NodeKill:
            all_nodes([&](NodeNo node) { begins ? kill_node(node, NodeState::Killed) : start_node(node); });
            break;
        case FaultKind::NodeStall:
            all_nodes([&](NodeNo node) {
                NodeHost& host = *nodes_[std::size_t(node)];
                if (!host.running()) return;
                note(NodeChanged{scheduler_.now(), node, begins ? NodeState::Stalled : NodeState::Resumed});
                begins ? host.scheduler().stop() : host.scheduler().resume();
                if (tier_) tier_->stall(since_begin(), std::size_t(node), begins);
            });
            break;
        case FaultKind::NodeRestart:
            if (begins) all_nodes([&](NodeNo node) { stop_node(node); });
            break;
        case FaultKind::Replace:      // spelt out as drains and servers that come later
        case FaultKind::Datagrams:    // nodes send none yet
        case FaultKind::NodeMemory:   // an emulated node holds none of its own
        case FaultKind::NodeSockets:  // in force from the beginning of the day
        case FaultKind::Surge:        // in the arrivals
        case FaultKind::ConnectionFlood:
        case FaultKind::Hostile:
            break;  // the clients' own
    }
}

template <class F>
TimePoint World::carry(const Place& from, const Place& to, TimePoint not_before, F then) {
    if (network_.any_cut() && network_.cut_off(from, to)) {
        held_.push_back({from, to, Task(std::move(then))});
        return scheduler_.now();
    }
    TimePoint at = std::max(not_before, scheduler_.now() + network_.delay(from, to));
    scheduler_.call_at(at, std::move(then));
    return at;
}

/// What was held up goes on its way, in the order it was sent.
void World::healed() {
    std::vector<Held> waiting = std::exchange(held_, {});
    TimePoint last{};
    for (Held& one : waiting) {
        if (network_.any_cut() && network_.cut_off(one.from, one.to)) {
            held_.push_back(std::move(one));
            continue;
        }
        last = std::max(last, scheduler_.now() + network_.delay(one.from, one.to));
        scheduler_.call_at(last, std::move(one.then));
    }
}

}  // namespace ochrehub::lab
