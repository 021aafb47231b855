#include "lab/schema_migration/simulation.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

#include "lab/record/decision_recorder.h"
#include "lab/schema_migration/nodes.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab::migration {
namespace {

using m::Error;
using m::Stage;
namespace wire = m::wire;

struct Message {
    enum class Type : std::uint8_t { None, Open, Opened, Renew, Renewed, Do, Done, Order, Reply, Ask, Given };
    Type type = Type::None;
    std::uint64_t session = 0, number = 0;
    std::string body;
};
using Type = Message::Type;

constexpr Duration kOperationTimeout{120};
constexpr std::size_t kCoordinators = 0;

}  // namespace

class Simulation {
public:
    explicit Simulation(const Settings& settings);
    Outcome run();

    m::MigrationStateMachine& machine() { return *machine_; }
    void steer(wire::Steer way) {
        wire::Command command;
        command.set_steer(way);
        apply(0, command);
    }
    void resume_old_process() { net_.go_on(old_); }
    void bound(std::size_t max_bytes) {
        for (auto& holder : holders_) holder.disk.set_max_bytes(max_bytes);
    }
    Duration since_start() const { return net_.now() - started_; }

private:
    struct Session {
        std::size_t process = 0;
        TimePoint until{};  // by the coordinators' clock
        std::uint64_t number = 0;
        std::string result;
    };
    struct Holder {
        m::MemoryRecords disk;
        std::unique_ptr<m::Records> records;
        std::unique_ptr<m::Receiver> receiver;
    };
    /// The memory of a process.
    struct Process {
        std::string name;
        schema::Ranges ranges;
        bool is_old = false;
        std::uint64_t session = 0, tried = 0;  // tried: number of Open messages sent
        TimePoint asked{}, until{}, probe{};
        bool probing = false, said = false;
        std::uint32_t refused = 0;
        std::deque<std::string> commands;
        std::uint64_t number = 0;
        TimePoint resend{};
        wire::News news;
        std::optional<m::Owner> owner;
        TimePoint owner_wake = TimePoint::max();
        // The current operation of a node.
        bool is_node = false, writing = false, busy = false;
        TimePoint op{}, op_ends{};
        std::uint64_t ask = 0;
        Write write;
        Version level = 0, asked_in = 0;  // the version that it knows, and that of its pending request
        std::set<std::uint64_t> acked_before;
        bool retries = false;
        std::vector<std::pair<Write, bool>> open;  // its open orders, and whether they are closed
    };

    void send(std::size_t from, std::size_t to, Message message) {
        if (!drops_messages_) net_.send(from, to, std::move(message));
    }
    void received(std::size_t to, std::size_t from, TimePoint own, const Message& message);
    void take(std::size_t to, std::size_t from, TimePoint own, const Message& message);
    void handle_timer(std::size_t process, TimePoint own);
    bool hit(std::size_t to, const Message& message, Fault::What& what, Duration& length);

    void handle_at_coordinators(std::size_t from, TimePoint own, const Message& message);
    void expire_sessions(TimePoint own);
    void change_leader();
    std::string apply(std::uint64_t session, wire::Command command);

    void holder(std::size_t to, std::size_t from, const Message& message);
    void start_process(std::size_t process, bool is_first);
    void process(std::size_t to, TimePoint own, const Message& message);
    void tick(std::size_t process, TimePoint own);
    void told(std::size_t process, TimePoint own, const std::string& news);
    void command(std::size_t process, const wire::Command& command);
    void give(std::size_t process, TimePoint own, const m::OwnerEvent& event);
    void start_operation(std::size_t process, TimePoint own);
    void ask(std::size_t process);
    void given(std::size_t process, TimePoint own, const wire::Given& given);
    std::size_t holder_of(std::uint32_t shard) const { return 1 + shard % set_.holders; }
    std::uint32_t shard_of(const std::string& group) const {
        return std::uint32_t(std::stoul(group.substr(1)) * 7 % set_.shards);
    }
    void fill();
    void start();
    void run_operators();
    void check_invariants(Outcome& outcome);

    Settings set_;
    Net<Message> net_;
    std::unique_ptr<m::MigrationStateMachine> machine_;
    std::map<std::uint64_t, Session> sessions_;
    std::uint64_t next_session_ = 1, next_write_ = 1, next_ask_ = 1;
    std::vector<Process> processes_;
    std::vector<Holder> holders_;
    std::size_t old_ = 0;
    WriteHistory history_;
    bool drops_messages_ = false, started_migration_ = false, restarted_ = false;
    TimePoint started_{};
    std::vector<std::pair<TimePoint, std::function<void()>>> plans_;
    std::set<Stage> steered_;
    std::uint64_t messages_ = 0, refused_ = 0, old_refused_ = 0;
    std::map<std::uint64_t, bool> first_began_;
};

Simulation::Simulation(const Settings& settings)
    : set_(settings),
      net_({1 + settings.holders + settings.owners + settings.nodes + 1, Duration{0.2}, Duration{2},
            settings.loss, settings.doubled, false, settings.seed},
           {[this](std::size_t p, TimePoint own) { handle_timer(p, own); },
            [this](std::size_t to, std::size_t from, TimePoint own, const Message& message) {
                received(to, from, own, message);
            },
            nullptr}),
      processes_(net_.size()),
      holders_(settings.holders),
      old_(net_.size() - 1),
      history_(settings.kind) {
    m::MigrationStateMachine::WrittenVersions levels;
    for (std::size_t i = 0; i < schema::kKindCount; ++i) levels[i] = schema::newest_version(Kind(i));
    levels[std::size_t(set_.kind)] = set_.from;
    machine_ = std::make_unique<m::MigrationStateMachine>(levels);
    for (std::size_t i = 1; i < net_.size(); ++i) {
        Process& p = processes_[i];
        p.is_old = i == old_;
        p.is_node = i > set_.holders + set_.owners;
        p.name = p.is_old            ? "old"
                 : i <= set_.holders ? "holder " + std::to_string(i)
                 : p.is_node         ? "node " + std::to_string(i)
                                     : "owner " + std::to_string(i);
        net_.clock(i, 0.99 + 0.02 * net_.uniform());
        if (p.is_old && !set_.old_node)
            net_.crash(i);
        else
            start_process(i, true);
    }
    fill();
}

void Simulation::fill() {
    for (std::size_t i = 0; i < set_.holders; ++i) holders_[i].disk.set_max_bytes(set_.max_shard_bytes);
    for (std::size_t i = 0; i < set_.groups; ++i) {
        std::string name = "c" + std::to_string(i);
        Version newest = schema::newest_version(set_.kind);
        Group group = initial_group(set_.kind, set_.from, name, i);
        Contents contents;
        parse_contents(set_.kind, newest, initial_group(set_.kind, newest, name, i), contents);
        history_.set_initial(name, contents);
        wire::Ask put;
        put.set_kind(std::uint32_t(set_.kind)), put.set_shard(shard_of(name)), put.set_group(name);
        put.set_schema(set_.from), put.set_writes(true);
        for (const auto& r : group) {
            auto& to = *put.add_records();
            to.set_key(r.key), to.set_value(r.value);
        }
        Holder& holder = holders_[holder_of(put.shard()) - 1];
        wire::Given given =
            m::Receiver({set_.kind, set_.from, 1000, schema::convert, nullptr}, holder.disk).handle(put);
        if (given.error()) history_.violation("the initial records could not be written");
    }
}

void Simulation::start_process(std::size_t i, bool is_first) {
    Process fresh;
    Process& p = processes_[i];
    fresh.name = p.name, fresh.is_old = p.is_old, fresh.is_node = p.is_node, fresh.tried = p.tried,
    fresh.open = p.open;
    p = std::move(fresh);
    for (std::size_t k = 0; k < schema::kKindCount; ++k)
        p.ranges[k] = {std::max<Version>(schema::newest_version(Kind(k)), 2) - 1,
                       schema::newest_version(Kind(k))};
    Version low = std::min(set_.from, set_.to), high = std::max(set_.from, set_.to);
    p.ranges[std::size_t(set_.kind)] = {low, high};
    if (p.is_old)
        p.ranges[std::size_t(set_.kind)] =
            set_.from == low ? schema::Range{low > 1 ? low - 1 : 1, low} : schema::Range{high, high};
    if (i >= 1 && i <= set_.holders) {
        Holder& holder = holders_[i - 1];
        holder.records = set_.records ? set_.records(holder.disk) : nullptr;
        m::Records& records = holder.records ? *holder.records : holder.disk;
        holder.receiver = std::make_unique<m::Receiver>(
            m::Receiver::Settings{set_.kind, set_.from, 1000, set_.convert, nullptr}, records);
    } else if (!p.is_node) {
        m::OwnerSettings owner = set_.owner;
        owner.response_timeout = Duration{40}, owner.initial_retry_delay = Duration{20},
        owner.max_retry_delay = Duration{200};
        p.owner.emplace(owner);
    }
    net_.start(i);
    (void)is_first;
    net_.wake_at(i, net_.own(i) + Duration{1 + 20 * net_.uniform()});
}

// Faults and delivery

bool Simulation::hit(std::size_t, const Message& message, Fault::What& what, Duration& length) {
    bool ours = message.type == Type::Order || message.type == Type::Reply || message.type == Type::Do ||
                message.type == Type::Done;
    if (!started_migration_ || !ours) return false;
    ++messages_;
    for (const Fault& fault : set_.faults)
        if (fault.at == messages_) {
            what = fault.what, length = fault.length;
            return true;
        }
    return false;
}

void Simulation::received(std::size_t to, std::size_t from, TimePoint own, const Message& message) {
    Fault::What what{};
    Duration length{};
    if (!hit(to, message, what, length)) return take(to, from, own, message);
    if (what == Fault::What::Stop) {
        take(to, from, own, message);
        net_.stop(to);
        plans_.emplace_back(net_.now() + length, [this, to] { net_.go_on(to); });
        return;
    }
    if (what == Fault::What::CrashBehind) {
        drops_messages_ = true;
        take(to, from, own, message);
        drops_messages_ = false;
    }
    if (to == kCoordinators) return change_leader();
    net_.crash(to);
    plans_.emplace_back(net_.now() + length, [this, to] { start_process(to, false); });
}

void Simulation::take(std::size_t to, std::size_t from, TimePoint own, const Message& message) {
    if (to == kCoordinators)
        handle_at_coordinators(from, own, message);
    else if (to <= set_.holders && (message.type == Type::Order || message.type == Type::Ask))
        holder(to, from, message);
    else
        process(to, own, message);
}

void Simulation::handle_timer(std::size_t p, TimePoint own) {
    if (p == kCoordinators)
        expire_sessions(own);
    else
        tick(p, own);
}

// Coordinators

std::string Simulation::apply(std::uint64_t session, wire::Command command) {
    std::string body = command.SerializeAsString();
    return machine_->apply({session, body});
}

void Simulation::expire_sessions(TimePoint own) {
    for (auto it = sessions_.begin(); it != sessions_.end();) {
        if (it->second.until > own) {
            ++it;
            continue;
        }
        machine_->session_ended(it->first);
        it = sessions_.erase(it);
    }
    net_.wake_at(kCoordinators, own + Duration{25});
}

/// The new leader restores the state from a snapshot and restarts the leases of all sessions.
void Simulation::change_leader() {
    net_.crash(kCoordinators), net_.start(kCoordinators);
    std::string state = machine_->snapshot();
    auto next = std::make_unique<m::MigrationStateMachine>(m::MigrationStateMachine::WrittenVersions{});
    if (!next->restore(1, state) || next->snapshot() != state)
        history_.violation("the state machine's snapshot changed in a restore");
    machine_ = std::move(next);
    for (auto& [id, session] : sessions_) session.until = net_.own(kCoordinators) + set_.lease;
    net_.wake_at(kCoordinators, net_.own(kCoordinators) + Duration{25});
}

void Simulation::handle_at_coordinators(std::size_t from, TimePoint own, const Message& message) {
    Message answer;
    answer.number = message.number;
    if (message.type == Type::Open) {
        std::uint64_t id = 0;
        for (auto& [known, session] : sessions_)
            if (session.process == from && session.number == 0 &&
                session.result == "try " + std::to_string(message.number))
                id = known;
        if (!id) {  // a restarted process: its previous session ends
            for (auto it = sessions_.begin(); it != sessions_.end();)
                if (it->second.process == from)
                    machine_->session_ended(it->first), it = sessions_.erase(it);
                else
                    ++it;
            id = next_session_++;
            sessions_[id] = {from, {}, 0, "try " + std::to_string(message.number)};
            machine_->session_opened(id, processes_[from].name, "zone");
        }
        sessions_[id].until = own + set_.lease;
        answer.type = Type::Opened, answer.session = id, answer.body = machine_->session_update(id);
    } else {
        auto found = sessions_.find(message.session);
        answer.type = message.type == Type::Renew ? Type::Renewed : Type::Done;
        if (found != sessions_.end()) {
            Session& session = found->second;
            answer.session = message.session;
            if (message.type == Type::Renew) {
                session.until = own + set_.lease;
                answer.body = machine_->session_update(message.session);
            } else {
                if (message.number == session.number + 1) {
                    wire::Command command;
                    command.ParseFromString(message.body);
                    session.result = set_.command && !set_.command(command)
                                         ? std::string()
                                         : apply(message.session, std::move(command));
                    session.number = message.number;
                }
                if (message.number != session.number) return;
                answer.body = session.result;
            }
        }
    }
    send(kCoordinators, from, std::move(answer));
}

// Holders

void Simulation::holder(std::size_t to, std::size_t from, const Message& message) {
    Holder& holder = holders_[to - 1];
    Message answer;
    if (message.type == Type::Order) {
        wire::Order order;
        if (!order.ParseFromString(message.body) || (set_.order && !set_.order(order, *holder.receiver)))
            return;
        answer.type = Type::Reply;
        answer.body = holder.receiver->handle(order).SerializeAsString();
        record_decision("migration_receiver", TimePoint{}, message.body, answer.body);
    } else {
        wire::Ask ask;
        if (!ask.ParseFromString(message.body)) return;
        m::Records& records = holder.records ? *holder.records : holder.disk;
        std::optional<wire::Given> wrong = set_.ask ? set_.ask(ask, *holder.receiver, records) : std::nullopt;
        wire::Given given = wrong ? *wrong : holder.receiver->handle(ask);
        given.set_id(ask.id());
        answer.type = Type::Given;
        answer.body = given.SerializeAsString();
    }
    send(to, from, std::move(answer));
}

// Processes with a session

void Simulation::command(std::size_t i, const wire::Command& command) {
    Process& p = processes_[i];
    p.commands.push_back(command.SerializeAsString());
    if (p.commands.size() == 1) p.resend = TimePoint{};
}

void Simulation::tick(std::size_t i, TimePoint own) {
    Process& p = processes_[i];
    if (p.session && own >= p.until) {  // checks its lease first
        p.session = 0, p.said = false, p.probing = false, p.commands.clear();
        if (p.owner) p.owner.emplace(set_.owner), p.owner_wake = TimePoint::max();
    }
    if (!p.session) {
        if (!p.probing || own >= p.probe) {
            if (!p.probing) ++p.tried;
            p.probing = true, p.asked = own, p.probe = own + kOperationTimeout;
            send(i, kCoordinators, {Type::Open, 0, p.tried, {}});
        }
    } else if (own >= p.probe) {
        p.probing = true, p.asked = own, p.probe = own + kOperationTimeout;
        send(i, kCoordinators, {Type::Renew, p.session, p.number, {}});
    }
    if (p.session && !p.commands.empty() && own >= p.resend) {
        p.resend = own + kOperationTimeout;
        send(i, kCoordinators, {Type::Do, p.session, p.number + 1, p.commands.front()});
    }
    if (p.owner && own >= p.owner_wake) give(i, own, m::TimerFired{});
    if (p.is_node && own >= p.op) {
        if (p.busy && own >= p.op_ends) {
            bool again = set_.charges_again && p.writing && net_.up(i);
            p.busy = false;
            if (again) {  // a mutant: the outcome of the first write is unknown
                p.busy = true, p.writing = false, p.op_ends = own + kOperationTimeout;
                ask(i);
            }
        }
        bool may = p.session && p.said && !p.refused;
        if (!p.busy && (may || (p.is_old && set_.old_careless && p.level))) start_operation(i, own);
        p.op = own + (p.busy ? Duration{5} : set_.op);
    }
    TimePoint next = p.probe;
    if (p.session) next = std::min(next, p.until);
    if (!p.commands.empty()) next = std::min(next, p.resend);
    if (p.owner) next = std::min(next, p.owner_wake);
    if (p.is_node) next = std::min(next, p.op);
    net_.wake_at(i, std::max(next, own + Duration{0.05}));
}

void Simulation::told(std::size_t i, TimePoint own, const std::string& bytes) {
    Process& p = processes_[i];
    wire::News news;
    if (!news.ParseFromString(bytes) || news.levels_size() != int(schema::kKindCount)) return;
    const auto &was = p.news.migration(), &is = news.migration();
    bool older = is.id() < was.id() || (is.id() == was.id() && is.revision() < was.revision());
    if (!older) p.news = news;
    p.refused = news.refused();
    p.said = p.said || (news.refused() != m::on_wire(Error::Silent));
    if (!older && !p.refused) p.level = news.levels(int(set_.kind));
    if (p.owner) give(i, own, m::NewsReceived{news, p.until});
}

void Simulation::process(std::size_t i, TimePoint own, const Message& message) {
    Process& p = processes_[i];
    switch (message.type) {
        case Type::Opened: {
            if (p.session || message.number != p.tried) break;
            p.session = message.session, p.probing = false;
            p.until = p.asked + set_.lease * 0.98 - Duration{10};
            p.probe = own + set_.lease / 3;
            p.number = 0, p.commands.clear();
            wire::Command says;
            for (const schema::Range& range : p.ranges) {
                auto& to = *says.mutable_says()->add_ranges();
                to.set_least(range.min), to.set_most(range.max);
            }
            command(i, says);
            told(i, own, message.body);
            break;
        }
        case Type::Renewed:
            if (!p.session || !p.probing) break;
            if (message.session != p.session) {
                p.until = own;  // the coordinators have ended the session
                break;
            }
            p.probing = false, p.probe = own + set_.lease / 3;
            p.until = std::max(p.until, p.asked + set_.lease * 0.98 - Duration{10});
            told(i, own, message.body);
            break;
        case Type::Done: {
            if (!p.session || message.session != p.session || p.commands.empty() ||
                message.number != p.number + 1)
                break;
            ++p.number;
            p.commands.pop_front();
            p.resend = TimePoint{};
            wire::Answer answer;
            if (answer.ParseFromString(message.body)) told(i, own, answer.news().SerializeAsString());
            break;
        }
        case Type::Reply: {
            wire::Reply reply;
            if (p.owner && reply.ParseFromString(message.body))
                give(i, own, m::ReplyReceived{std::move(reply)});
            break;
        }
        case Type::Given: {
            wire::Given answer;
            if (answer.ParseFromString(message.body)) given(i, own, answer);
            break;
        }
        default:
            break;
    }
    tick(i, own);
}

void Simulation::give(std::size_t i, TimePoint own, const m::OwnerEvent& event) {
    Process& p = processes_[i];
    m::OwnerActions actions;
    p.owner_wake = TimePoint::max();
    p.owner->handle(own, event, actions);
    record_decision("migration", own, event, actions);
    for (m::OwnerAction& action : actions) {
        if (auto* order = std::get_if<m::SendOrder>(&action))
            send(i, holder_of(order->order.shard()), {Type::Order, 0, 0, order->order.SerializeAsString()});
        if (auto* propose = std::get_if<m::SubmitCommand>(&action))
            if (p.commands.size() < 64) command(i, propose->command);
        if (auto* wake = std::get_if<m::SetTimer>(&action))
            p.owner_wake = std::max(wake->at, own + Duration{0.1});
    }
}

// Nodes

void Simulation::start_operation(std::size_t i, TimePoint own) {
    Process& p = processes_[i];
    p.write = {};
    p.write.id = next_write_++;
    p.write.group = "c" + std::to_string(std::size_t(net_.uniform() * double(set_.groups)));
    p.write.tenant = kTenants[std::size_t(net_.uniform() * 3)];
    p.write.moves = net_.uniform() < 0.4;
    if (set_.kind == Kind::Sessions && net_.uniform() < 0.4)
        for (auto& [write, over] : p.open)
            if (!over) {  // closes one of its own orders
                over = true;
                p.write.group = write.group, p.write.tenant = write.tenant, p.write.closes = write.id;
                break;
            }
    p.busy = true, p.writing = false, p.retries = true;
    p.op_ends = own + kOperationTimeout;
    p.acked_before = history_.acked_of(p.write.group);
    ask(i);
}

void Simulation::ask(std::size_t i) {
    Process& p = processes_[i];
    wire::Ask ask;
    ask.set_id(p.ask = next_ask_++);
    ask.set_kind(std::uint32_t(set_.kind)), ask.set_shard(shard_of(p.write.group)),
        ask.set_group(p.write.group);
    ask.set_schema(p.asked_in = p.level);
    send(i, holder_of(ask.shard()), {Type::Ask, 0, 0, ask.SerializeAsString()});
}

void Simulation::given(std::size_t i, TimePoint own, const wire::Given& given) {
    Process& p = processes_[i];
    if (!p.busy || given.id() != p.ask) return;
    if (given.error()) {
        Error error = m::from_wire(given.error());
        if (p.is_old && error == Error::OldLevel) ++old_refused_;
        if (error != Error::Changed) ++refused_;
        // Retries if that can succeed and it reads the version of the holder. With duplicated messages a
        // refused write may be the duplicate of one that was accepted, so it is not retried.
        bool certain = !p.writing || set_.doubled == 0;
        p.writing = false;
        const schema::Range& reads = p.ranges[std::size_t(set_.kind)];
        bool level = error == Error::OldLevel || error == Error::NewLevel;
        if (level && !p.is_old && reads.contains(given.schema())) p.level = given.schema();
        if (certain && own < p.op_ends && (error == Error::Changed || (level && !p.is_old))) return ask(i);
        p.busy = false;
        return;
    }
    if (p.writing) {
        history_.acked(p.write, given.version(), p.asked_in);
        if (set_.kind == Kind::Sessions) p.open.emplace_back(p.write, false);
        p.busy = p.writing = false;
        return;
    }
    Group group;
    for (const auto& r : given.records()) group.push_back({r.key(), r.value()});
    const schema::Range& reads = p.ranges[std::size_t(set_.kind)];
    Contents contents;
    if (!reads.contains(p.asked_in))
        history_.violation(p.name + " received schema version " + std::to_string(p.asked_in) +
                           ", which it doesn't read");
    if (!parse_contents(set_.kind, p.asked_in, group, contents)) {
        history_.violation(p.name + " received a record of " + p.write.group +
                           " that is invalid in schema version " + std::to_string(p.asked_in));
        p.busy = false;
        return;
    }
    history_.read(p.write.group, p.asked_in, contents, p.acked_before);
    wire::Ask put;
    put.set_id(p.ask = next_ask_++);
    put.set_kind(std::uint32_t(set_.kind)), put.set_shard(shard_of(p.write.group)),
        put.set_group(p.write.group);
    put.set_schema(p.asked_in), put.set_writes(true), put.set_version(given.version());
    for (const auto& r : applied(set_.kind, p.asked_in, group, p.write)) {
        auto& to = *put.add_records();
        to.set_key(r.key), to.set_value(r.value);
    }
    history_.attempted(p.write);
    p.writing = true;
    send(i, holder_of(put.shard()), {Type::Ask, 0, 0, put.SerializeAsString()});
}

// The run

void Simulation::start() {
    wire::Command command;
    auto& begin = *command.mutable_start();
    begin.set_kind(std::uint32_t(set_.kind)), begin.set_to(set_.to), begin.set_shards(set_.shards);
    begin.set_refusals(set_.refusals), begin.set_narrows(set_.narrows);
    apply(0, command);
    if (!m::ended(machine_->stage())) {
        started_migration_ = true;
        started_ = net_.now();
    }
}

void Simulation::run_operators() {
    Stage stage = machine_->stage();
    for (const auto& [at, way] : set_.steers)
        if (at == stage && steered_.insert(at).second) steer(way);
    if (set_.on_poll) set_.on_poll(*this);
    if (set_.again && stage == Stage::Undone && !std::exchange(restarted_, true)) start();
}

Outcome Simulation::run() {
    net_.wake_at(kCoordinators, net_.own(kCoordinators) + Duration{25});
    net_.run_to(TimePoint{Duration{150}});
    if (set_.old_node && set_.old_stops >= Duration{0}) {
        plans_.emplace_back(net_.now() + set_.old_stops, [this] { net_.stop(old_); });
        if (set_.old_returns >= Duration{0})
            plans_.emplace_back(net_.now() + set_.old_returns, [this] { net_.go_on(old_); });
    }
    TimePoint most = net_.now() + set_.most, quiet = most;
    while (net_.now() < most) {
        TimePoint next = net_.now() + Duration{20};
        for (const auto& [at, what] : plans_) next = std::min(next, std::max(at, net_.now()));
        net_.run_to(next);
        for (std::size_t k = 0; k < plans_.size();) {
            if (plans_[k].first > net_.now()) {
                ++k;
                continue;
            }
            auto what = std::move(plans_[k].second);
            plans_.erase(plans_.begin() + std::ptrdiff_t(k));
            what();
        }
        if (!started_migration_) start();
        run_operators();
        bool over = started_migration_ && m::ended(machine_->stage()) && plans_.empty() &&
                    (!set_.again || restarted_);
        if (over && quiet == most) quiet = net_.now() + Duration{200};
        if (!over) quiet = most;
        if (net_.now() >= quiet) break;
    }
    Outcome outcome;
    check_invariants(outcome);
    return outcome;
}

void Simulation::check_invariants(Outcome& outcome) {
    const wire::Status& status = machine_->migration();
    outcome.stage = machine_->stage(), outcome.stopped = status.stopped(), outcome.about = status.about();
    outcome.level = machine_->written_versions()[std::size_t(set_.kind)];
    outcome.messages = messages_, outcome.events = net_.happened(), outcome.epochs = status.epoch();
    outcome.took_ms = (net_.now() - started_).count();
    outcome.refused = refused_, outcome.old_refused = old_refused_,
    outcome.old_told = processes_[old_].refused;
    bool over = m::ended(outcome.stage);
    std::map<std::string, Contents> groups;
    for (std::uint32_t shard = 0; shard < set_.shards; ++shard) {
        Holder& holder = holders_[holder_of(shard) - 1];
        m::Records::Page page;
        holder.disk.scan(shard, {}, ~std::size_t(0), page);
        for (const auto& [name, held] : page) {
            wire::Stored stored;
            if (!stored.ParseFromString(held.bytes)) history_.violation("end: " + name + " cannot be read");
            if (over && stored.forms_size() != 1)
                history_.violation("end: " + name + " is stored in " + std::to_string(stored.forms_size()) +
                                   " versions");
            if (groups.contains(name)) history_.violation("end: " + name + " is stored twice");
            // During the migration the version that the holder accepts counts.
            Version counts = over ? outcome.level : holder.receiver->writes(shard);
            bool found = false;
            for (const wire::Form& form : stored.forms()) {
                if (form.schema() != counts) continue;
                Group group;
                for (const auto& r : form.records()) group.push_back({r.key(), r.value()});
                found = parse_contents(set_.kind, counts, group, groups[name]);
            }
            if (!found)
                history_.violation("end: " + name + " is missing in schema version " +
                                   std::to_string(counts));
        }
    }
    history_.end(groups, outcome.level, outcome.level == schema::newest_version(Kind::Sessions) && over);
    outcome.broken = history_.faults();
    outcome.acked = history_.acks();
}

Outcome run(const Settings& settings) {
    return Simulation(settings).run();
}
m::MigrationStateMachine& machine(Simulation& simulation) {
    return simulation.machine();
}
void steer(Simulation& simulation, m::wire::Steer way) {
    simulation.steer(way);
}
void resume_old_process(Simulation& simulation) {
    simulation.resume_old_process();
}
void bound(Simulation& simulation, std::size_t max_bytes) {
    simulation.bound(max_bytes);
}
Duration since_start(const Simulation& simulation) {
    return simulation.since_start();
}

}  // namespace ochrehub::lab::migration
