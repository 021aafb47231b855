#include "lab/leadership/simulated_coordinators.h"

#include <utility>

namespace ochrehub::lab::leadership {

void SimulatedCoordinators::started(std::size_t self, TimePoint own) {
    each_[self] = {};
    each_[self].last_heartbeat = own;
    if (leader_ == self && std::exchange(begun_, true)) leader_ = ~std::size_t(0);  // its timers are lost
    net_->wake_at(self, own + Duration{1.0 + double(self)});
}

bool SimulatedCoordinators::majority(std::size_t self) const {
    std::size_t reached = 0;
    for (std::size_t i = 0; i < set_.keepers; ++i)
        reached += i == self ||
                   (net_->up(i) && !net_->stopped(i) && !net_->is_cut(self, i) && !net_->is_cut(i, self));
    return reached * 2 > set_.keepers;
}

void SimulatedCoordinators::take_over(std::size_t self, TimePoint own) {
    leader_ = self;
    Each& me = each_[self];
    me.term = ++term_;
    me.last_heartbeat = own;
    me.ends.clear();
    me.armed.clear();
    for (coordinator::SessionId session : sessions_)
        me.ends[session] = own + set_.lease * set_.new_leader_lease_factor;
}

void SimulatedCoordinators::count_armed(std::size_t self, TimePoint own) {
    Each& me = each_[self];
    std::vector<coordinator::Timeout> armed;
    for (auto& machine : machines_) {
        armed.clear();
        machine->timeouts(armed);
        std::set<std::uint64_t> there;
        for (const coordinator::Timeout& one : armed) {
            there.insert(one.key);
            auto [it, fresh] = me.armed.try_emplace({std::string(machine->kind()), one.key});
            if (fresh || it->second.revision != one.revision) it->second = {one.revision, own + one.length};
        }
        std::erase_if(me.armed, [&](const auto& one) {
            return one.first.first == machine->kind() && !there.contains(one.first.second);
        });
    }
    auto all = me.armed;
    for (const auto& [key, count] : all)
        if (count.end <= own) {
            coordinator::StateMachine& its = machine(key.first);
            its.apply({0, its.on_timeout(key.second, count.revision)});
            me.armed.erase(key);
        }
}

void SimulatedCoordinators::woken(std::size_t self, TimePoint own) {
    net_->wake_at(self, own + set_.beat / 2);
    Each& me = each_[self];
    if (std::exchange(me.term, term_) != term_)
        me.last_heartbeat = own;  // the new leader has time to send a heartbeat
    if (leader_ == self) {
        if (!majority(self)) return;
        for (std::size_t i = 0; i < set_.keepers; ++i) {
            Message beat;
            beat.kind = Message::Kind::Beat;
            if (i != self) net_->send(self, i, beat);
        }
        for (auto it = me.ends.begin(); it != me.ends.end();) {
            if (it->second > own) {
                ++it;
                continue;
            }
            if (sessions_.erase(it->first)) {
                ++ended_;
                for (auto& machine : machines_) machine->session_ended(it->first);
            }
            it = me.ends.erase(it);
        }
        count_armed(self, own);
    } else if (own - me.last_heartbeat > set_.election + double(self) * set_.apart && majority(self)) {
        take_over(self, own);
    }
}

void SimulatedCoordinators::received(std::size_t self, std::size_t from, TimePoint own,
                                     const Message& message) {
    Each& me = each_[self];
    if (message.kind == Message::Kind::Beat) {
        me.last_heartbeat = own;
        return;
    }
    Message answer;
    answer.call = message.call;
    answer.what = message.what;
    if (leader_ != self) {
        answer.kind = Message::Kind::NotLeader;
        answer.index = leader_;
        return net_->send(self, from, answer);
    }
    if (!majority(self)) return;
    if (message.kind == Message::Kind::Renew) {
        answer.kind = Message::Kind::Renewed;
        coordinator::SessionId session = message.session;
        auto end = me.ends.find(session);
        if (session == 0) {
            sessions_.insert(session = ++last_);
            for (auto& machine : machines_) machine->session_opened(session, "process", "");
        } else if (!sessions_.contains(session) || end == me.ends.end() || end->second <= own) {
            session = 0;  // a session that is about to end is not renewed
        }
        if (session != 0) {
            me.ends[session] = own + set_.lease * set_.lease_factor;
            add_news(session, answer);
        }
        answer.session = session;
    } else if (message.kind == Message::Kind::Ask) {
        answer.kind = Message::Kind::List;
        answer.body = machine(message.what).query(message.body);
    } else {
        answer.kind = Message::Kind::Did;
        if (sessions_.contains(message.session))
            answer.body = machine(message.what).apply({message.session, message.body});
        count_armed(self, own);
    }
    net_->send(self, from, answer);
}

void SimulatedCoordinators::add_news(coordinator::SessionId session, Message& answer) const {
    for (const auto& machine : machines_)
        answer.entries.push_back({std::string(machine->kind()), machine->session_update(session)});
}

coordinator::StateMachine& SimulatedCoordinators::machine(std::string_view kind) {
    for (auto& machine : machines_)
        if (machine->kind() == kind) return *machine;
    return *machines_.front();
}

const coordinator::StateMachine* SimulatedCoordinators::look(std::string_view kind) const {
    for (const auto& machine : machines_)
        if (machine->kind() == kind) return machine.get();
    return nullptr;
}

void SimulatedCoordinators::operate(std::string_view kind, std::string_view body) {
    answers_.push_back(machine(kind).apply({0, body}));
}

}  // namespace ochrehub::lab::leadership
