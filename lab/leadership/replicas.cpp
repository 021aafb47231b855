#include "lab/leadership/replicas.h"
#include "lab/record/decision_recorder.h"

#include <coordinator.pb.h>

#include <algorithm>

#include "fleet/raft/message.h"

namespace ochrehub::lab::leadership {

namespace {

constexpr std::uint64_t kOperator = ~std::uint64_t(0);  // who asks, beside the processes

}  // namespace

void Replicas::started(std::size_t self, TimePoint own) {
    Each& me = each_[self];
    if (me.lives == 0)
        for (std::size_t i = 0; i < each_.size(); ++i)
            me.disk.initial_members.push_back(
                {raft::NodeId(i + 1), true, std::to_string(i + 1).insert(0, 1, 'k')});
    raft::Settings settings;
    settings.self = raft::NodeId(self + 1);
    coordinator::ReplicaSettings replica;
    replica.self = settings.self;
    replica.snapshot_entries = 60;
    me.raft = std::make_unique<raft::Raft>(settings, me.disk, seed_ * 1000 + self * 100 + ++me.lives);
    me.replica = std::make_unique<coordinator::Replica>(
        replica, machines_,
        [this, self](TimePoint now, const raft::Event& event, raft::Actions& actions) {
            each_[self].raft->handle(now, event, actions);
        },
        me.disk);
    me.wake = TimePoint::max();
    handle(self, own, coordinator::TimerFired{});
}

void Replicas::take(raft::PersistentState& d, const raft::Write& write) {
    if (write.hard_state) d.hard_state = *write.hard_state;
    if (write.truncate_from)
        d.entries.resize(*write.truncate_from <= d.first_index
                             ? 0
                             : std::min<std::size_t>(d.entries.size(), *write.truncate_from - d.first_index));
    d.entries.insert(d.entries.end(), write.append.begin(), write.append.end());
    if (write.snapshot) {
        std::uint64_t index = write.snapshot->last_included_index,
                      last = d.first_index + d.entries.size() - 1;
        bool other = index >= d.first_index && index <= last &&
                     d.entries[index - d.first_index].term != write.snapshot->last_included_term;
        std::size_t gone =
            index < d.first_index ? 0 : std::min<std::size_t>(d.entries.size(), index - d.first_index + 1);
        d.entries.erase(d.entries.begin(),
                        other ? d.entries.end() : d.entries.begin() + std::ptrdiff_t(gone));
        d.first_index = index + 1;
        d.snapshot = write.snapshot;
    }
    if (write.recovered) d.trusted = true;
}

void Replicas::crashed(std::size_t self) {
    Each& me = each_[self];
    std::size_t there = std::size_t(net_->uniform() * double(me.pending.size() + 1));
    for (std::size_t i = 0; i < there && i < me.pending.size(); ++i) take(me.disk, me.pending[i].write);
    me.pending.clear();
    me.replica.reset(), me.raft.reset();
}

void Replicas::handle(std::size_t self, TimePoint own, const coordinator::ReplicaEvent& event) {
    Each& me = each_[self];
    coordinator::ReplicaActions actions;
    me.replica->handle(own, event, actions);
    record_decision("replica", own, event, actions);
    for (coordinator::ReplicaAction& action : actions) {
        if (auto* send = std::get_if<raft::SendMessage>(&action)) {
            Message m;
            m.kind = Message::Kind::Raft;
            m.body = raft::encode(send->message);
            net_->send(self, send->to - 1, m);
        } else if (auto* write = std::get_if<raft::Write>(&action)) {
            TimePoint done = own + Duration{0.1 + 2 * net_->uniform()};
            if (!me.pending.empty()) done = std::max(done, me.pending.back().done);
            me.pending.push_back({done, std::move(*write)});
        } else if (auto* answer = std::get_if<coordinator::SendResponse>(&action)) {
            if (answer->connection == kOperator) {
                coordinator::wire::Response said;
                if (said.ParseFromString(answer->body) && said.error() == 0)
                    answers_.push_back(said.result());
                continue;
            }
            Message m;
            m.kind = Message::Kind::Answered;
            m.body = answer->body;
            net_->send(self, std::size_t(answer->connection - 1), m);
        } else if (const auto* wake = std::get_if<raft::SetTimer>(&action)) {
            me.wake = wake->at;
        }
    }
    arm(self);
}

void Replicas::arm(std::size_t self) {
    Each& me = each_[self];
    TimePoint next = me.pending.empty() ? me.wake : std::min(me.wake, me.pending.front().done);
    // Never at this very moment: clocks are computed, and a hair off.
    if (next != TimePoint::max()) net_->wake_at(self, std::max(next, net_->own(self) + Duration{1e-6}));
}

void Replicas::woken(std::size_t self, TimePoint own) {
    Each& me = each_[self];
    std::optional<std::uint64_t> written;
    while (!me.pending.empty() && me.pending.front().done <= own) {
        take(me.disk, me.pending.front().write);
        written = me.pending.front().write.number;
        me.pending.pop_front();
    }
    if (written) handle(self, own, coordinator::WriteCompleted{*written});
    if (own >= me.wake) {
        me.wake = TimePoint::max();
        handle(self, own, coordinator::TimerFired{});
    }
    arm(self);
}

void Replicas::received(std::size_t self, std::size_t from, TimePoint own, const Message& message) {
    if (message.kind == Message::Kind::Raft) {
        auto read = raft::decode(message.body);
        if (read)
            handle(self, own, coordinator::RaftMessageReceived{raft::NodeId(from + 1), std::move(*read)});
    } else {
        handle(self, own, coordinator::RequestReceived{from + 1, message.body});
    }
}

std::optional<std::size_t> Replicas::leads() const {
    for (std::size_t i = 0; i < each_.size(); ++i)
        if (each_[i].raft && each_[i].raft->role() == raft::Role::Leader && !net_->stopped(i)) return i;
    return std::nullopt;
}

const coordinator::StateMachine* Replicas::look(std::string_view kind) const {
    const coordinator::Replica* furthest = nullptr;
    for (const Each& one : each_)
        if (one.replica && (!furthest || one.replica->applied() > furthest->applied()))
            furthest = one.replica.get();
    return furthest ? furthest->state().state_machine(kind) : nullptr;
}

void Replicas::operate(std::string_view kind, std::string_view body) {
    auto leader = leads();
    if (!leader) return;  // operators ask again; here it is let be
    coordinator::wire::Request ask;
    ask.set_call(++calls_);
    ask.mutable_command()->set_kind(std::string(kind));
    ask.mutable_command()->set_body(std::string(body));
    handle(*leader, net_->own(*leader), coordinator::RequestReceived{kOperator, ask.SerializeAsString()});
}

}  // namespace ochrehub::lab::leadership
