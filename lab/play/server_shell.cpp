#include "lab/play/server_shell.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "lab/play/spoilt.h"

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr Duration kAcceptAgain{20};  // after a failed accept
constexpr Duration kTrickleStep{5};   // of answers that never end
constexpr int kTrickleMost = 120;
constexpr Duration kSpentMost{2000};   // a connection behind an answer that cannot be used
constexpr Duration kRefusedMost{200};  // a connection that is one too many

bool concerns(const Fault& fault, ServerNo server) {
    return fault.servers.empty() ||
           std::find(fault.servers.begin(), fault.servers.end(), server) != fault.servers.end();
}

bool of_core(FaultKind kind) {
    return kind == FaultKind::Hang || kind == FaultKind::FastErrors || kind == FaultKind::Pauses ||
           kind == FaultKind::Slow || kind == FaultKind::Resets || kind == FaultKind::Spoilt;
}

}  // namespace

struct ServerShell::Machine {
    Machine(const Day& day, const ServerFigures& figures, std::shared_ptr<Server::KeyMemory> memory,
            std::uint64_t seed)
        : core(figures, day.classes, day.limits, std::move(memory), seed) {}

    Server core;
    bool running = false, silent = false, fallen = false;
    TimePoint started{};
    std::set<TimePoint> wakes;
    std::vector<std::optional<asio::ip::tcp::acceptor>> listeners;  ///< by node
    std::map<ConnectionNo, std::shared_ptr<Connection>> connections;
    std::vector<ConnectionNo> unheard;  ///< closed by nodes while that could not reach the machine
};

/// One connection of a node to a server.
class ServerShell::Connection : public Link {
public:
    Connection(ServerShell& shell, ServerNo server, NodeNo node, ConnectionNo number,
               asio::ip::tcp::socket socket)
        : Link(shell.loop_, std::move(socket)),
          shell_(shell),
          server_(server),
          node_(node),
          number_(number) {}

    NodeNo node() const { return node_; }
    void come_up(bool refused) {
        refused_ = refused;
        up_ = true;
        proceed();
        // One that no request comes on is told by its end.
        if (refused)
            shell_.loop_.scheduler().call_at(shell_.loop_.now() + kRefusedMost, [self = self_of()] {
                if (self->open() && !self->busy_) self->break_off();
            });
    }
    /// The core's answer, which leaves the machine now and is with the node one way later.
    void answer(const AnswerOut& out) {
        if (!busy_ || out.attempt != attempt_) return;
        std::string report =
            out.report ? "Endpoint-Load-Metrics: TEXT " + report_text(*out.report) + "\r\n" : "";
        if (out.attempt == 0) {
            std::string body = load_probe_ && out.report ? report_text(*out.report) : "";
            return deliver(answer_text(out.healthy ? 200 : 503, load_probe_ ? "" : report, body), false);
        }
        Ended how = out.how;
        switch (out.how) {
            case Ended::Served:
                deliver(answer_text(200, report, answer_body(attempt_)), false);
                break;
            case Ended::Error:
                deliver(answer_text(500, report, "no"), false);
                break;
            case Ended::NeverRan:
                deliver(answer_text(503, "X-Never-Ran: 1\r\n" + report, ""), false);
                break;
            case Ended::Spoilt: {
                SpoiltAnswer spoilt = spoilt_answer(out.spoilt, attempt_, report);
                if (spoilt.good) how = Ended::Served;
                spoil(std::move(spoilt));
                break;
            }
            case Ended::Reset:
                ended(how, out.ran);
                return break_off();
            case Ended::Dropped:
                break;
        }
        ended(how, out.ran);
    }
    /// The server breaks it: what is out on it breaks off, an idle one is closed. A request that comes while
    /// an idle one is being closed ends by that too.
    void break_off() {
        if (attempt_ != 0) ended(Ended::Reset, true);
        later([self = self_of()] {
            self->shell_.of(self->server_).connections.erase(self->number_);
            if (!self->open()) return;
            if (self->attempt_ != 0) self->ended(Ended::Reset, false);
            self->forget_try();
            self->end(self->busy_);
        });
    }
    void process_died() { end(true); }

private:
    std::shared_ptr<Connection> self_of() { return std::static_pointer_cast<Connection>(shared_from_this()); }
    template <class F>
    void later(F what) {
        shell_.loop_.scheduler().call_at(shell_.loop_.now() + shell_.one_way(server_, node_),
                                         std::move(what));
    }

    bool ready() const override { return up_ && !busy_ && !spent_; }

    void request(Message message, TimePoint first_byte_at, TimePoint whole_at) override {
        const Day& day = shell_.day_;
        bool probe = message->count("X-Trace-Id") == 0 && message->method == "GET" &&
                     (message->target == "/healthz" || message->target == "/load");
        if (probe && day.limits.probes) {
            busy_ = true;
            attempt_ = 0;
            load_probe_ = message->target == "/load";
            ProbeIn in{number_, node_, load_probe_};
            later([self = self_of(), in] { self->reach(in); });
            return;
        }
        if (message->count("X-Trace-Id") == 0) return send(answer_text(404, "", ""));
        RequestForm form = read_request(day, *message);
        if (hostile_id(form.id)) return send(answer_text(400, "", ""));
        if (shell_.options_.strict && !form.as_sent) form.id = 0;
        busy_ = true;
        ended_ = false;
        attempt_ = ++shell_.attempts_;
        try_ = form.id;
        // A node that closes one connection and sends on another has done so in this order, in whichever
        // order the loop hears of it.
        std::weak_ptr<Connection>& latest = shell_.latest_[try_];
        if (auto before = latest.lock(); before && before.get() != this) before->look();
        latest = self_of();
        shell_.loop_.note(
            AttemptArrived{whole_at, first_byte_at, attempt_, form.id, server_, node_, form.expires_in});
        if (form.id == 0 || form.cls == kNone) {
            deliver(answer_text(400, "", ""), false);
            return ended(Ended::Error, false);
        }
        if (refused_) {  // one too many: the machine has said yes to it, so that only this proves that it
                         // never ran
            deliver(answer_text(503, "X-Never-Ran: 1\r\n", ""), true);
            return ended(Ended::NeverRan, false);
        }
        const ClassFigures& cls = day.classes[std::size_t(form.cls)];
        RequestIn in;
        in.connection = number_;
        in.node = node_;
        in.attempt = attempt_;
        in.cls = form.cls;
        in.work = form.work.value_or(cls.work);
        in.wait = form.wait.value_or(cls.wait);
        if (cls.effect == Idempotency::IdempotentWithKey) in.key = form.key;
        in.expires_in = form.expires_in;
        auto held = std::make_shared<RequestIn>(in);
        later([self = self_of(), held] { self->reach(*held); });
    }
    void unreadable() override { send(answer_text(400, "Connection: close\r\n", ""), true); }

    void gone() override {
        if (attempt_ != 0 && !ended_) shell_.loop_.note(AttemptAbandoned{shell_.loop_.now(), attempt_});
        forget_try();
        Machine& machine = shell_.of(server_);
        machine.connections.erase(number_);
        if (refused_) return;
        if (!passage().in || passage().silent) {
            machine.unheard.push_back(number_);
            return;
        }
        later([self = self_of()] { self->shell_.event(self->server_, ConnectionClosed{self->number_}); });
    }

    void reach(const ServerEvent& event) {
        if (!shell_.of(server_).running) return;
        if (open()) return shell_.event(server_, event);
        if (attempt_ != 0) ended(Ended::Dropped, false);  // given up while it was on its way
    }
    void ended(Ended how, bool ran) {
        if (ended_) return;
        ended_ = true;
        shell_.loop_.note(AttemptEnded{shell_.loop_.now(), attempt_, how, ran});
    }
    void forget_try() {
        auto it = shell_.latest_.find(try_);
        if (it != shell_.latest_.end() && it->second.lock().get() == this) shell_.latest_.erase(it);
    }
    void deliver(std::string bytes, bool close_behind) {
        auto held = std::make_shared<std::string>(std::move(bytes));
        later([self = self_of(), held, close_behind] {
            if (!self->open()) return;
            self->send(std::move(*held), close_behind);
            self->forget_try();
            self->busy_ = false;
            self->attempt_ = 0;
            if (self->open()) self->proceed();
        });
    }
    void spoil(SpoiltAnswer spoilt) {
        if (spoilt.good) return deliver(std::move(spoilt.bytes), false);
        spent_ = true;
        auto held = std::make_shared<SpoiltAnswer>(std::move(spoilt));
        later([self = self_of(), held] {
            if (!self->open()) return;
            self->send(held->bytes, held->closes);
            self->forget_try();
            if (!held->trickle.empty()) self->trickle(held, kTrickleMost);
        });
        // Guards against nodes that never close what cannot be used.
        shell_.loop_.scheduler().call_at(shell_.loop_.now() + kSpentMost, [self = self_of()] {
            if (!self->open()) return;
            self->end(true);
            self->shell_.of(self->server_).connections.erase(self->number_);
            self->shell_.event(self->server_, ConnectionClosed{self->number_});
        });
    }
    void trickle(const std::shared_ptr<SpoiltAnswer>& what, int left) {
        if (left == 0) return;
        shell_.loop_.scheduler().call_at(shell_.loop_.now() + kTrickleStep, [self = self_of(), what, left] {
            if (!self->open()) return;
            self->send(what->trickle);
            self->trickle(what, left - 1);
        });
    }

    ServerShell& shell_;
    const ServerNo server_;
    const NodeNo node_;
    const ConnectionNo number_;
    AttemptNo attempt_ = 0;
    TryId try_ = 0;
    bool up_ = false, refused_ = false;
    bool busy_ = false;   ///< a request or probe is in hand
    bool ended_ = false;  ///< ... and its end is noted
    bool spent_ = false, load_probe_ = false;
};

ServerShell::ServerShell(Loop& loop, const Day& day, std::uint64_t seed,
                         std::function<void(const ServerIs&)> tell, Options options)
    : loop_(loop), day_(day), tell_(std::move(tell)), options_(options), cuts_(day), random_(seed) {
    // Who drops a repeat of what: as the first keyed class says.
    auto keyed = std::find_if(day.classes.begin(), day.classes.end(), [](const ClassFigures& c) {
        return c.effect == Idempotency::IdempotentWithKey;
    });
    DeduplicationScope scope = keyed == day.classes.end() ? DeduplicationScope::All : keyed->scope;
    std::map<int, std::shared_ptr<Server::KeyMemory>> memories;
    std::map<std::string, std::size_t> places;
    for (std::size_t i = 0; i < day.servers.size(); ++i) {
        const ServerFigures& figures = day.servers[i];
        int group = scope == DeduplicationScope::All    ? 0
                    : scope == DeduplicationScope::Zone ? figures.zone
                                                        : figures.cell;
        auto& memory = memories[group];
        if (!memory) memory = Server::make_memory();
        machines_.push_back(std::make_unique<Machine>(day, figures, memory, random_()));
        machines_.back()->listeners.resize(day.nodes.size());
        places[figures.id] = i;
        auto& own = held_.emplace_back();
        if (!figures.address_of.empty() && places.count(figures.address_of)) continue;
        for (std::size_t node = 0; node < day.nodes.size(); ++node)
            own.push_back(std::make_unique<Held>(loop.io(), machine(unsigned(20 + i))));
    }
}

ServerShell::~ServerShell() = default;

const Endpoint& ServerShell::address(ServerNo server, NodeNo node) const {
    auto at = std::size_t(server);
    for (std::size_t hops = 0; held_[at].empty() && hops < held_.size(); ++hops)
        at = std::size_t(
            std::find_if(day_.servers.begin(), day_.servers.end(),
                         [&](const ServerFigures& s) { return s.id == day_.servers[at].address_of; }) -
            day_.servers.begin());
    return held_[at][std::size_t(node)]->at();
}

void ServerShell::note(ServerNo server, ServerState state, Duration window) {
    if (!closed_) loop_.note(ServerChanged{loop_.now(), server, state, window});
}

void ServerShell::begin() {
    beginning_ = true;  // discovery knows of these
    for (std::size_t i = 0; i < day_.servers.size(); ++i)
        if (day_.servers[i].exists_from <= Duration{0}) start(ServerNo(i), !day_.servers[i].starts_cold);
    beginning_ = false;
}

void ServerShell::start(ServerNo server, bool warm) {
    Machine& machine = of(server);
    if (machine.running || machine.fallen || closed_) return;
    machine.running = true;
    machine.started = loop_.now();
    note(server, ServerState::Ready);
    event(server, Start{warm});
    listen(server);
    if (!beginning_) tell_(ServerIs{server, ServerState::Ready, machine.started, false});
    for (FaultKind kind : {FaultKind::Hang, FaultKind::FastErrors, FaultKind::Pauses, FaultKind::Slow,
                           FaultKind::Resets, FaultKind::Spoilt})
        trouble(server, kind);
    passages_changed();
}

void ServerShell::listen(ServerNo server) {
    for (std::size_t node = 0; node < day_.nodes.size(); ++node) {
        of(server).listeners[node].emplace(listen_at(loop_.io(), address(server, NodeNo(node))));
        accept(server, NodeNo(node));
    }
}

void ServerShell::accept(ServerNo server, NodeNo node) {
    auto& listener = of(server).listeners[std::size_t(node)];
    if (!listener) return;
    listener->async_accept([this, server, node](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted || closed_) return;
        if (error) {  // out of descriptors, say
            loop_.scheduler().call_at(loop_.now() + kAcceptAgain,
                                      [this, server, node] { accept(server, node); });
            return;
        }
        ConnectionNo number = ++connections_;
        auto made = std::make_shared<Connection>(*this, server, node, number, std::move(socket));
        of(server).connections.emplace(number, made);
        made->start();
        made->pass(passage(server, node));
        loop_.scheduler().call_at(loop_.now() + one_way(server, node), [this, server, node, made, number] {
            if (made->open() && of(server).running) event(server, Connecting{number, node});
        });
        accept(server, node);
    });
}

void ServerShell::event(ServerNo server, const ServerEvent& event) {
    if (closed_) return;
    ServerActions actions;
    of(server).core.handle(loop_.now(), event, actions);
    for (const ServerAction& action : actions) carry_out(server, action);
}

void ServerShell::carry_out(ServerNo server, const ServerAction& action) {
    Machine& machine = of(server);
    auto connection = [&](ConnectionNo number) {
        auto it = machine.connections.find(number);
        return it == machine.connections.end() ? nullptr : it->second;
    };
    if (auto* up = std::get_if<Connected>(&action)) {
        if (auto at = connection(up->connection)) at->come_up(false);
    } else if (auto* refused = std::get_if<ConnectionRefused>(&action)) {
        if (auto at = connection(refused->connection)) at->come_up(true);
    } else if (auto* answer = std::get_if<AnswerOut>(&action)) {
        if (auto at = connection(answer->connection))
            at->answer(*answer);
        else if (answer->attempt != 0 && answer->how == Ended::Dropped)
            loop_.note(AttemptEnded{loop_.now(), answer->attempt, answer->how, answer->ran});
    } else if (auto* broken = std::get_if<ConnectionBroken>(&action)) {
        if (auto at = connection(broken->connection)) at->break_off();
    } else if (auto* worked = std::get_if<Worked>(&action)) {
        loop_.note(WorkArrived{loop_.now(), server, worked->node, worked->work, worked->kind});
    } else if (auto* became = std::get_if<Became>(&action)) {
        note(server, became->state, became->window);
        if (became->state == ServerState::FellOver) {
            machine.fallen = true;
            die(server, false);
        }
    } else if (auto* wake_at = std::get_if<WakeServerAt>(&action)) {
        wake(server, wake_at->at);
    }
}

void ServerShell::wake(ServerNo server, TimePoint at) {
    if (!of(server).wakes.insert(at).second) return;
    loop_.scheduler().call_at(at, [this, server, at] {
        of(server).wakes.erase(at);
        event(server, ServerWoken{});
    });
}

void ServerShell::die(ServerNo server, bool crashed) {
    Machine& machine = of(server);
    if (!machine.running) return;
    machine.running = false;
    for (auto& listener : machine.listeners) {
        error_code ignored;
        if (listener) listener->close(ignored);
        listener.reset();
    }
    auto connections = std::move(machine.connections);
    machine.connections.clear();
    machine.unheard.clear();
    note(server, ServerState::Gone);
    for (auto& [number, connection] : connections) connection->process_died();
    if (crashed) event(server, Trouble{FaultKind::Crash, true, 0, {}});
    tell_(ServerIs{server, ServerState::Gone, machine.started, machine.silent});
}

void ServerShell::silence(ServerNo server, bool on) {
    Machine& machine = of(server);
    if (machine.silent == on) return;
    machine.silent = on;
    if (!machine.running) return;
    tell_(ServerIs{server, on ? ServerState::Gone : ServerState::Ready, machine.started, on});
    if (!on) {
        // What came meanwhile is lost, so that no connection of before can go on.
        auto connections = std::move(machine.connections);
        machine.connections.clear();
        for (auto& [number, connection] : connections) {
            connection->process_died();
            machine.unheard.push_back(number);
        }
    }
    passages_changed();
}

void ServerShell::drain(ServerNo server) {
    if (!of(server).running) return;
    note(server, ServerState::Draining);
    event(server, Trouble{FaultKind::Drain, true, 0, {}});
    tell_(ServerIs{server, ServerState::Draining, of(server).started, false});
}

// The latest fault of a kind holds; the one before holds again when it ends.
void ServerShell::trouble(ServerNo server, FaultKind kind) {
    const Fault* found = nullptr;
    for (int number : faults_) {
        const Fault& fault = day_.faults[std::size_t(number)];
        if (fault.kind == kind && concerns(fault, server)) found = &fault;
    }
    if (!of(server).running) return;
    event(server, found ? Trouble{kind, true, found->size, found->every} : Trouble{kind, false, 0, {}});
}

void ServerShell::fault(int number, bool on) {
    const Fault& fault = day_.faults[std::size_t(number)];
    if (on)
        faults_.insert(number);
    else
        faults_.erase(number);
    if (fault.kind == FaultKind::Partition) {
        cuts_.set(number, on);
        return passages_changed();
    }
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        auto server = ServerNo(i);
        if (!concerns(fault, server)) continue;
        if (of_core(fault.kind))
            trouble(server, fault.kind);
        else if (fault.kind == FaultKind::Crash && on)
            die(server, true);
        else if (fault.kind == FaultKind::Crash && fault.length > Duration{0})
            start(server, false);
        else if (fault.kind == FaultKind::Silent && (on || fault.length > Duration{0}))
            silence(server, on);
        else if (fault.kind == FaultKind::Drain && on)
            drain(server);
        else if (fault.kind == FaultKind::Drain)
            die(server, true);
    }
}

Passage ServerShell::passage(ServerNo server, NodeNo node) const {
    Place there{Place::Of::Server, server, day_.servers[std::size_t(server)].zone};
    Place here{Place::Of::Node, node, day_.nodes[std::size_t(node)].zone};
    return {!cuts_.cut(here, there), !cuts_.cut(there, here), machines_[std::size_t(server)]->silent};
}

void ServerShell::passages_changed() {
    for (std::size_t i = 0; i < machines_.size(); ++i) {
        auto server = ServerNo(i);
        Machine& machine = *machines_[i];
        if (!machine.running) continue;
        for (std::size_t node = 0; node < machine.listeners.size(); ++node) {
            Passage now = passage(server, NodeNo(node));
            if (machine.listeners[node])
                deafen(machine.listeners[node]->native_handle(), now.silent || !now.in || !now.out);
        }
        auto connections = machine.connections;  // one may go as it hears of it
        for (auto& [number, connection] : connections) connection->pass(passage(server, connection->node()));
        if (machine.silent || cuts_.any()) continue;
        for (ConnectionNo number : std::exchange(machine.unheard, {}))
            event(server, ConnectionClosed{number});
    }
}

Duration ServerShell::one_way(ServerNo server, NodeNo node) {
    auto from = std::size_t(std::max(0, day_.nodes[std::size_t(node)].zone));
    auto to = std::size_t(std::max(0, day_.servers[std::size_t(server)].zone));
    const auto& ms = day_.network.ms;
    if (from >= ms.size() || to >= ms[from].size()) return {};
    double drawn = double(random_() >> 11) * 0x1p-53;
    return Duration{ms[from][to]} * (1 + day_.network.jitter * -std::log1p(-drawn));
}

void ServerShell::close() {
    closed_ = true;
    for (auto& machine : machines_) {
        for (auto& listener : machine->listeners) listener.reset();
        auto connections = std::move(machine->connections);
        machine->connections.clear();
        for (auto& [number, connection] : connections) connection->end(true);
    }
}

}  // namespace ochrehub::lab
