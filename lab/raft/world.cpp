#include "lab/raft/world.h"

#include <algorithm>

namespace ochrehub::lab {

using namespace raft;
using raft::Action, raft::Actions, raft::SetTimer, raft::Event, raft::Settings,
    raft::TimerFired;  // and not the module's

namespace {

constexpr std::uint64_t kOperators = std::uint64_t(1) << 40;  ///< ids from here on are no call's

std::string numbered(std::string name, std::uint64_t number) {
    return name.append(std::to_string(number));
}

NetSettings net_settings(const RaftWorldSettings& set) {
    NetSettings net;
    net.processes = set.keepers + set.spares;
    net.delay_most = set.delay_most;
    net.loss = set.loss;
    net.doubled = set.doubled;
    net.in_order = set.in_order;
    net.seed = set.seed;
    return net;
}

}  // namespace

RaftWorld::RaftWorld(const RaftWorldSettings& settings)
    : set_(settings),
      random_(unsigned(settings.seed * 747796405u + 2891336453u)),
      nodes_(settings.keepers + settings.spares) {
    net_ = std::make_unique<Net<std::string>>(
        net_settings(settings),
        Net<std::string>::Hooks{
            [this](std::size_t process, TimePoint own) { happen(NodeId(process + 1), own, TimerFired{}); },
            [this](std::size_t to, std::size_t from, TimePoint own, const std::string& octets) {
                received(to, from, own, octets);
            },
            nullptr});
    Members first;
    for (NodeId id = 1; id <= set_.keepers; ++id) first.push_back({id, true, {}});
    judge_.members(first);
    for (NodeId id = 1; id <= nodes_.size(); ++id) {
        node(id).sync_most = set_.sync_most;
        net_->crash(id - 1);
        if (id <= set_.keepers) node(id).disk.there().initial_members = first;
    }
    for (NodeId id = 1; id <= set_.keepers; ++id) start(id);
    clients_.resize(set_.clients);
    for (Client& client : clients_) client.next = net_->now() + set_.think * uniform();
}

void RaftWorld::start(NodeId id) {
    if (up(id)) return;
    net_->start(id - 1);
    Node& n = node(id);
    PersistentState disk = n.disk.there();
    if (set_.sabotage.starts) set_.sabotage.starts(*this, id, disk);
    Settings set;
    set.self = id;
    set.retained_log_bytes = set_.kept;
    set.heartbeat_interval = set_.heartbeat;
    set.election_timeout = set_.election;
    set.max_append_bytes = set_.batch;
    set.snapshot_chunk_bytes = 300;
    set.max_inflight_appends = 4;
    set.max_pending_requests = 64;
    n.core = std::make_unique<Raft>(set, disk, (set_.seed << 20) + ++lives_);
    n.state = {};
    n.applied = n.since_snapshot = 0;
    n.synced = net_->now();
    judge_.started(id);
    ++counts["starts"];
    happen(id, net_->own(id - 1), TimerFired{});
}

void RaftWorld::crash(NodeId id, Keeps keeps) {
    if (!up(id)) return;
    net_->crash(id - 1);
    Node& n = node(id);
    n.disk.crash(keeps == Keeps::Nothing ? 0
                 : keeps == Keeps::All   ? n.disk.unsynced()
                                         : draw(n.disk.unsynced() + 1));
    n.asked.clear();
    ++counts["crashes"];
}

void RaftWorld::lose_disk(NodeId id, std::uint64_t from) {
    judge_.loses(id, node(id).disk);
    node(id).disk.lose(from);
    ++counts["disks lost"];
}

void RaftWorld::change(NodeId member, bool add) {
    NodeId to = leader();
    if (to == 0) return;
    std::uint64_t id = ++operators_;
    judge_.asked(id, false);
    happen(to, net_->own(to - 1), ChangeMembership{id, member, add, {}});
    ++counts[add ? "adds asked" : "removals asked"];
}

void RaftWorld::transfer(NodeId to) {
    NodeId from = leader();
    if (from == 0) return;
    happen(from, net_->own(from - 1), TransferLeadership{to});
    ++counts["transfers asked"];
}

NodeId RaftWorld::leader() const {
    NodeId found = 0;
    for (NodeId id = 1; id <= nodes_.size(); ++id)
        if (net_->up(id - 1) && !net_->stopped(id - 1) && core(id).role() == Role::Leader &&
            (found == 0 || core(id).term() > core(found).term()))
            found = id;
    return found;
}

// ---- What happens to a keeper

void RaftWorld::received(std::size_t to, std::size_t from, TimePoint own, const std::string& octets) {
    NodeId id = NodeId(to + 1), sender = NodeId(from + 1);
    if (to == from) {
        std::uint64_t number = std::stoull(octets.substr(1));
        if (octets[0] == 'c') return ask(id, number);
        node(id).disk.sync(number);
        return happen(id, own, WriteCompleted{number});
    }
    auto message = decode(octets);
    if (!message) return judge_.fault("a message is not read back");
    if (set_.sabotage.receives && !set_.sabotage.receives(*this, id, sender, *message)) return;
    happen(id, own, MessageReceived{sender, std::move(*message)});
}

void RaftWorld::happen(NodeId id, TimePoint own, const Event& event) {
    if (!net_->up(id - 1)) return;
    std::uint64_t number = ++events_;
    Node& n = node(id);
    Actions actions;
    n.core->handle(own, event, actions);
    if (set_.sabotage.acts) set_.sabotage.acts(*this, id, actions);
    Judge::Disks disks;
    for (NodeId other = 1; other <= nodes_.size(); ++other) disks[other] = &node(other).disk;
    judge_.after({id, n.core.get(), &n.disk}, actions, disks);
    carry_out(id, actions);
    if (set_.each) set_.each(*this, id, number);
}

void RaftWorld::carry_out(NodeId id, Actions& actions) {
    Node& n = node(id);
    std::optional<std::uint64_t> early;
    for (Action& action : actions) {
        if (auto* send = std::get_if<SendMessage>(&action)) {
            if (send->to == 0 || send->to > nodes_.size()) continue;
            if (set_.sabotage.sends && !set_.sabotage.sends(*this, id, send->to, send->message)) continue;
            net_->send(id - 1, send->to - 1, encode(send->message));
        } else if (auto* write = std::get_if<Write>(&action)) {
            if (set_.sabotage.writes) set_.sabotage.writes(*this, id, *write);
            n.disk.write(*write);
            n.synced = std::max(n.synced, net_->now() + n.sync_most * uniform());
            if (set_.sabotage.early) early = write->number;
            net_->later(id - 1, n.synced - net_->now(), numbered("w", write->number));
        } else if (auto* applied = std::get_if<ApplyEntry>(&action)) {
            std::string answer = n.state.apply(applied->data);
            n.applied = applied->index;
            ++n.since_snapshot;
            if (applied->id != 0) end_call(applied->id, answer, true);
        } else if (auto* restore = std::get_if<RestoreSnapshot>(&action)) {
            if (!set_.sabotage.deaf) n.state.restore(restore->snapshot.state);
            n.applied = restore->snapshot.last_included_index;
            ++counts["snapshots taken in"];
        } else if (auto* ready = std::get_if<ReadReady>(&action)) {
            if (ready->id < kOperators)
                end_call(ready->id, n.state.read(calls_[std::size_t(ready->id - 1)].key), true);
        } else if (auto* rejected = std::get_if<Rejected>(&action)) {
            if (rejected->id >= kOperators || rejected->id == 0) continue;
            ++counts["refused: " + std::string(row(rejected->error).code)];
            if (auto waiting = by_call_.find(rejected->id); waiting != by_call_.end() && rejected->leader_hint != 0)
                clients_[waiting->second].guess = rejected->leader_hint;
            end_call(rejected->id, std::nullopt, rejected->error == Error::LeadershipLost);
        } else if (auto* wake = std::get_if<SetTimer>(&action)) {
            net_->wake_at(id - 1, wake->at);
        }
    }
    if (early) happen(id, net_->own(id - 1), WriteCompleted{*early});
    if (set_.snapshot_each != 0 && n.since_snapshot >= set_.snapshot_each) {
        n.since_snapshot = 0;
        ++counts["snapshots made"];
        happen(id, net_->own(id - 1),
               SnapshotTaken{n.applied - (set_.sabotage.behind ? 1 : 0), n.state.snapshot()});
    }
}

// ---- Clients

void RaftWorld::ask(NodeId id, std::uint64_t number) {
    const Call& call = calls_[std::size_t(number - 1)];
    if (call.ended != Call::kOpen) return;
    bool read = call.kind == Call::Kind::Read;
    judge_.asked(number, read);
    TimePoint own = net_->own(id - 1);
    if (read) {
        if (set_.sabotage.local_reads && core(id).role() == Role::Leader) {
            Actions now{ReadReady{number, core(id).commit_index()}};
            judge_.after({id, &core(id), &disk(id)}, now, {});
            return carry_out(id, now);
        }
        return happen(id, own, ReadIndex{number});
    }
    char kind = call.kind == Call::Kind::Write ? 'w' : call.kind == Call::Kind::Cas ? 'c' : 'a';
    happen(id, own, Propose{number, Registers::command(kind, call.key, call.value, call.expected)});
    if (set_.sabotage.hasty && up(id) && core(id).role() == Role::Leader) {
        Registers now = node(id).state;
        end_call(number, now.apply(Registers::command(kind, call.key, call.value, call.expected)), true);
    }
}

void RaftWorld::end_call(std::uint64_t id, std::optional<std::string> answer, bool happened) {
    if (id == 0 || id > calls_.size()) return;
    Call& call = calls_[std::size_t(id - 1)];
    if (call.ended != Call::kOpen) return;
    if (answer) {
        call.ended = net_->now().time_since_epoch().count();
        call.answer = *answer;
        ++counts["calls answered"];
    } else if (!happened) {
        never_[std::size_t(id - 1)] = true;
    }
    auto waiting = by_call_.find(id);
    if (waiting == by_call_.end()) return;
    Client& client = clients_[waiting->second];
    client.call.reset();
    client.next = net_->now() + set_.think * (0.5 + uniform());
    by_call_.erase(waiting);
}

void RaftWorld::clients() {
    TimePoint now = net_->now();
    for (std::size_t c = 0; c < clients_.size(); ++c) {
        Client& client = clients_[c];
        if (client.call && now >= client.until) {  // it may happen yet, for nobody
            by_call_.erase(*client.call + 1);
            client.call.reset();
            client.guess = NodeId(1 + draw(nodes_.size()));
        }
        if (client.call || !clients_on_ || now < client.next) continue;
        if (!up(client.guess)) client.guess = NodeId(1 + draw(nodes_.size()));
        if (!up(client.guess)) {
            client.next = now + set_.think;
            continue;
        }
        Call call;
        // Keys go with time, so that what never ends does not weigh on the search for ever.
        call.key =
            numbered(numbered("e", std::uint64_t(now.time_since_epoch().count() / 2000)) + "k", draw(2));
        std::size_t kind = draw(10);
        call.kind = kind < 4   ? Call::Kind::Read
                    : kind < 6 ? Call::Kind::Write
                    : kind < 8 ? Call::Kind::Cas
                               : Call::Kind::Append;
        std::uint64_t number = calls_.size() + 1;
        call.value = call.kind == Call::Kind::Append ? numbered(".", number) : std::to_string(number);
        if (call.kind == Call::Kind::Cas)
            for (auto last = calls_.rbegin(); last != calls_.rend() && last - calls_.rbegin() < 50; ++last)
                if (last->key == call.key && last->ended != Call::kOpen && last->kind != Call::Kind::Cas) {
                    call.expected = last->kind == Call::Kind::Write ? last->value : last->answer;
                    break;
                }
        call.began = now.time_since_epoch().count();
        calls_.push_back(call);
        never_.push_back(false);
        client.call = number - 1;
        client.until = now + Duration(1500);
        by_call_[number] = c;
        net_->later(client.guess - 1, Duration(0.1 + uniform()), numbered("c", number));
    }
}

void RaftWorld::run(Duration time) {
    TimePoint end = net_->now() + time;
    while (net_->now() < end) {
        net_->run_to(std::min(end, net_->now() + Duration(2)));
        clients();
    }
}

bool RaftWorld::heals(Duration patience) {
    net_->heal();
    net_->loss(0);
    net_->doubled(0);
    for (NodeId id = 1; id <= nodes_.size(); ++id) {
        node(id).sync_most = set_.sync_most;
        net_->clock(id - 1, 1);
        net_->go_on(id - 1);
        if (node(id).core) start(id);
    }
    clients_on_ = false;
    TimePoint end = net_->now() + patience;
    std::uint64_t probe = 0;
    while (net_->now() < end) {
        run(Duration(50));
        NodeId to = leader();
        if (to == 0) continue;
        const Raft& lead = core(to);
        if (probe == 0 || lead.last_index() < probe) {
            std::uint64_t id = ++operators_;
            judge_.asked(id, false);
            happen(to, net_->own(to - 1), Propose{id, Registers::command('w', "probe", "1", "")});
            if (core(to).role() == Role::Leader) probe = core(to).last_index();
            continue;
        }
        bool all = lead.commit_index() >= probe;
        for (const Member& member : lead.members())
            all = all && up(member.id) && core(member.id).commit_index() >= probe &&
                  core(member.id).storage_trusted() && member.voter;
        if (all) return true;
    }
    std::string state;
    for (NodeId id = 1; id <= nodes_.size(); ++id) {
        if (!up(id)) continue;
        const Raft& c = core(id);
        state +=
            numbered("; ", id) + numbered(": role ", std::uint64_t(c.role())) + numbered(" term ", c.term());
        state += numbered(" entries ", c.first_index()) + numbered(" to ", c.last_index()) +
                 numbered(" agreed ", c.commit_index());
        state += c.storage_trusted() ? " members" : " not trusted, members";
        for (const Member& member : c.members()) state += numbered(member.voter ? " " : " ?", member.id);
    }
    judge_.fault("it does not heal" + state);
    return false;
}

void RaftWorld::finish() {
    std::vector<Call> all;
    for (std::size_t i = 0; i < calls_.size(); ++i)
        if (!never_[i]) all.push_back(calls_[i]);
    history = judge_history(all);
    if (history.judged == Judged::NotLinearizable)
        judge_.fault("the history of " + history.key + " is not linearizable");
    if (history.judged == Judged::Undecided)
        judge_.fault("the history of " + history.key + " was not decided");
}

}  // namespace ochrehub::lab
