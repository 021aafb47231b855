#include "fleet/coordinator/replica.h"

#include <coordinator.pb.h>

#include <algorithm>
#include <utility>

namespace ochrehub::coordinator {
namespace {

constexpr Duration kLate{250};   // woken so much behind its time, the process stood still: nobody could renew
constexpr Duration kAgain{100};  // after a proposal that found no room
constexpr int kSessionsTold = 1000;

template <class... F>
struct Overloaded : F... {
    using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

std::string_view name(raft::Role role) {
    switch (role) {
        case raft::Role::Follower:
            return "follower";
        case raft::Role::PreCandidate:
            return "pre-candidate";
        case raft::Role::Candidate:
            return "candidate";
        case raft::Role::Leader:
            return "leader";
        case raft::Role::Learner:
            return "learner";
    }
    return "";
}

template <class To>
void add_members(const raft::Members& members, To& to) {
    for (const raft::Member& member : members) {
        wire::Member* one = to.add_members();
        one->set_id(member.id), one->set_voter(member.voter), one->set_address(member.address);
    }
}

Error translated(raft::Error error) {
    switch (error) {
        case raft::Error::NotLeader:
            return Error::NotLeader;
        case raft::Error::Busy:
            return Error::Busy;
        case raft::Error::MembershipChanging:
            return Error::Changing;
        case raft::Error::LeadershipLost:
            return Error::Uncertain;
        case raft::Error::UnknownMember:
            return Error::UnknownMember;
        case raft::Error::LastVoter:
            return Error::LastVoter;
    }
    return Error::Uncertain;
}

}  // namespace

Replica::Replica(const ReplicaSettings& settings, MakeMachines machines, Agree agree,
                 const raft::PersistentState& disk)
    : set_(settings),
      agree_(std::move(agree)),
      state_(settings.bounds, std::move(machines)),
      trusted_(disk.trusted) {
    members_ = disk.snapshot ? disk.snapshot->members : disk.initial_members;
}

void Replica::handle(TimePoint now, const ReplicaEvent& event, ReplicaActions& actions) {
    now_ = now, out_ = &actions;
    if (stopped_) {
        actions.push_back(Stop{Error::Behind, "the snapshot"});
        return;
    }
    // Before anything else: while this one stood still nobody could renew.
    if (leads() && wake_ != TimePoint::max() && now - wake_ > kLate)
        sessions_.put_off(now - wake_), armed_.put_off(now - wake_);
    std::visit(Overloaded{[&](const Woken&) {
                              if (now_ >= raft_wake_) raft_wake_ = TimePoint::max();
                              raft(raft::TimerFired{});
                          },
                          [&](const FromKeeper& from) {
                              raft(raft::MessageReceived{from.from, from.message});
                          },
                          [&](const Written& written) { raft(raft::WriteCompleted{written.number}); },
                          [&](const Asked& ask) { asked(ask); }},
               event);
    work_off();
    if (!stopped_ && leads()) {
        if (look_due_ && now_ >= look_at_) look_at_armed();
        end_what_is_over();
    }
    if (!stopped_) snapshot_if_due();
    work_off();
    wake();
    out_ = nullptr;
}

/// Each event's actions whole before the next event: writes keep their order.
void Replica::work_off() {
    while (!pending_.empty() && !stopped_) {
        raft::Event event = std::move(pending_.front());
        pending_.pop_front();
        raft::Actions actions;
        agree_(now_, event, actions);
        for (raft::Action& action : actions) {
            if (stopped_) return;
            take(action);
        }
        // A change of members has no entry that comes back: what was not refused at once has begun.
        if (const auto* change = std::get_if<raft::ChangeMembership>(&event)) {
            auto found = waiting_.find(change->id);
            if (found == waiting_.end()) continue;
            wire::Answer begun;
            begun.set_call(found->second.call);
            add_members(members_, begun);
            answer(found->second.who, begun);
            waiting_.erase(found);
        }
    }
}

void Replica::take(raft::Action& action) {
    std::visit(Overloaded{[&](raft::SendMessage& send) { out_->push_back(std::move(send)); },
                          [&](raft::Write& write) {
                              trusted_ |= write.recovered;
                              out_->push_back(std::move(write));
                          },
                          [&](raft::ApplyEntry& entry) { applied(entry); },
                          [&](raft::RestoreSnapshot& restore) {
                              if (!state_.restore(restore.snapshot.state)) {
                                  stopped_ = true;
                                  out_->push_back(Stop{Error::Behind, "a snapshot"});
                                  return;
                              }
                              applied_ = snapshot_at_ = restore.snapshot.last_included_index;
                              snapshot_size_ = restore.snapshot.state.size(), octets_ = 0;
                          },
                          [&](raft::ReadReady& ready_at) {
                              auto found = waiting_.find(ready_at.id);
                              if (found == waiting_.end()) return;
                              Waiting waiting = std::move(found->second);
                              waiting_.erase(found);
                              // Behind the Applied of all up to its index, of which the last may be an entry
                              // of Raft's own.
                              ready(waiting);
                          },
                          [&](raft::Rejected& r) { rejected(r); },
                          [&](raft::RoleChanged& became) {
                              bool anew =
                                  became.role == raft::Role::Leader && (!leads() || became.term != term_);
                              bool down = leads() && became.role != raft::Role::Leader;
                              role_ = became.role, term_ = became.term, leader_ = became.leader;
                              if (anew) count_anew();
                              if (down) sessions_.clear(), armed_.clear(), look_due_ = false;
                              out_->push_back(became);
                          },
                          [&](raft::MembershipChanged& are) {
                              members_ = are.members;
                              out_->push_back(std::move(are));
                          },
                          [&](raft::SetTimer& at) { raft_wake_ = at.at; }},
               action);
}

void Replica::answer(std::uint64_t who, const wire::Answer& answer) {
    if (who != 0) out_->push_back(Answer{who, answer.SerializeAsString()});
}

void Replica::refuse(std::uint64_t who, std::uint64_t call, Error error, raft::NodeId hint) {
    wire::Answer no;
    no.set_call(call), no.set_error(std::uint32_t(error));
    if (error == Error::NotLeader) {
        no.set_leader(hint);
        for (const raft::Member& member : members_)
            if (member.id == hint) no.set_leader_address(member.address);
    }
    answer(who, no);
}

void Replica::propose(std::string entry, Waiting waiting) {
    std::uint64_t id = next_id_++;
    waiting_.emplace(id, std::move(waiting));
    raft(raft::Propose{id, std::move(entry)});
}

void Replica::read(Waiting waiting) {
    std::uint64_t id = next_id_++;
    waiting_.emplace(id, std::move(waiting));
    raft(raft::ReadIndex{id});
}

void Replica::asked(const Asked& ask) {
    using What = Waiting::What;
    wire::Ask what;
    if (!what.ParseFromString(ask.body)) return refuse(ask.who, 0, Error::Malformed);
    auto no = [&](Error error) { refuse(ask.who, what.call(), error, leader_); };
    if (what.what_case() == wire::Ask::kStatus) {
        wire::Answer told;
        told.set_call(what.call());
        wire::StatusIs& status = *told.mutable_status();
        status.set_self(set_.self), status.set_role(std::string(name(role_))), status.set_term(term_),
            status.set_leader(leader_);
        status.set_applied(applied_), status.set_trusted(trusted_), status.set_snapshot(snapshot_at_);
        add_members(members_, status);
        state_.each_session([&](const SessionInfo& info) {
            if (status.sessions_size() >= kSessionsTold) return;
            wire::Session& one = *status.add_sessions();
            one.set_id(info.id), one.set_name(info.name), one.set_zone(info.zone),
                one.set_instance(info.instance);
            one.set_lease_ms(info.lease_ms), one.set_release(info.release);
            one.set_schema_least(info.schema_least), one.set_schema_most(info.schema_most);
        });
        for (const auto& machine : state_.machines()) status.add_kinds(std::string(machine->kind()));
        return answer(ask.who, told);
    }
    if (!leads()) return no(Error::NotLeader);
    if (waiting_.size() >= set_.asked) return no(Error::Busy);
    Waiting waiting{
        .who = ask.who, .call = what.call(), .what = What::Open, .session = 0, .kind = {}, .body = {}};
    wire::Entry entry;
    switch (what.what_case()) {
        case wire::Ask::kOpen: {
            const wire::Open& open = what.open();
            Duration lease{double(open.lease_ms())};
            if (open.name().size() > set_.bounds.name || open.zone().size() > set_.bounds.name)
                return no(Error::TooLong);
            if (open.name().empty() || lease < set_.lease_least || lease > set_.lease_most)
                return no(Error::Malformed);
            *entry.mutable_open() = open;
            return propose(entry.SerializeAsString(), waiting);
        }
        case wire::Ask::kRenew:
            waiting.what = What::Renew, waiting.session = what.renew().session();
            return read(std::move(waiting));
        case wire::Ask::kClose:
            waiting.what = What::Close;
            *entry.mutable_close() = what.close();
            return propose(entry.SerializeAsString(), waiting);
        case wire::Ask::kDo: {
            waiting.what = What::Do;
            // What was decided stays so, whoever leads.
            if (auto before = state_.answered(what.do_().session(), what.do_().number()))
                return outcome(waiting, *before);
            Error wrong = what.do_().body().size() > set_.bounds.body ? Error::TooLong
                          : state_.machine(what.do_().kind())         ? Error::None
                                                                      : Error::UnknownKind;
            if (wrong != Error::None && what.do_().session() == 0) return no(wrong);
            *entry.mutable_do_() = what.do_();
            entry.mutable_do_()->set_refused(std::uint32_t(wrong));
            // Its number is taken all the same: an earlier leader, of another release, may have carried it
            // out.
            if (wrong != Error::None) entry.mutable_do_()->clear_kind(), entry.mutable_do_()->clear_body();
            return propose(entry.SerializeAsString(), waiting);
        }
        case wire::Ask::kLook:
            if (!state_.machine(what.look().kind())) return no(Error::UnknownKind);
            waiting.what = What::Look, waiting.kind = what.look().kind(), waiting.body = what.look().body();
            return read(std::move(waiting));
        case wire::Ask::kChange: {
            waiting.what = What::Change;
            std::uint64_t id = next_id_++;
            waiting_.emplace(id, std::move(waiting));
            return raft(raft::ChangeMembership{id, what.change().member(), what.change().add(),
                                               what.change().address()});
        }
        case wire::Ask::kTransfer: {
            raft(raft::TransferLeadership{what.transfer().to()});
            wire::Answer begun;
            begun.set_call(what.call());
            return answer(ask.who, begun);
        }
        case wire::Ask::kStatus:
        case wire::Ask::WHAT_NOT_SET:
            break;
    }
    no(Error::Malformed);
}

void Replica::applied(const raft::ApplyEntry& entry) {
    applied_ = entry.index;
    octets_ += entry.data.size() + 32;
    Outcome is = state_.apply(entry.data);
    if (is.fatal) {
        stopped_ = true;
        out_->push_back(Stop{is.error, "entry " + std::to_string(entry.index)});
        return;
    }
    if (leads() && !look_due_) look_due_ = true, look_at_ = std::max(now_, look_at_);
    if (is.session != 0 && leads() && !sessions_.find(is.session)) count_session(is.session);
    if (auto found = waiting_.find(entry.id); entry.id != 0 && found != waiting_.end()) {
        Waiting waiting = std::move(found->second);
        waiting_.erase(found);
        outcome(waiting, is);
    }
}

void Replica::outcome(const Waiting& waiting, const Outcome& is) {
    using What = Waiting::What;
    if (waiting.what == What::Over)
        return armed_.erase({std::size_t(waiting.session), waiting.key});  // still armed: it begins anew
    if (waiting.what == What::SessionOver) return sessions_.erase(waiting.session);
    if (is.error != Error::None) return refuse(waiting.who, waiting.call, is.error, leader_);
    wire::Answer done;
    done.set_call(waiting.call);
    if (waiting.what == What::Open) {
        // One that is about to be ended, and is opened again by an ask that came late, is ended all the same.
        const auto* count = sessions_.find(is.session);
        if (count && count->ending) return refuse(waiting.who, waiting.call, Error::NoSession);
        count_session(is.session);
        done.set_session(is.session);
        add_news(is.session, done);
    }
    if (waiting.what == What::Do) ++commands_, done.set_result(is.result);
    answer(waiting.who, done);
}

void Replica::ready(const Waiting& waiting) {
    wire::Answer done;
    done.set_call(waiting.call);
    if (waiting.what == Waiting::What::Renew) {
        const auto* count = sessions_.find(waiting.session);
        if (!state_.session(waiting.session) || (count && count->ending))
            return refuse(waiting.who, waiting.call, Error::NoSession);
        count_session(waiting.session);
        add_news(waiting.session, done);
    } else {
        const Machine* machine = state_.machine(waiting.kind);
        if (!machine) return refuse(waiting.who, waiting.call, Error::UnknownKind);
        done.set_result(machine->read(waiting.body));
    }
    answer(waiting.who, done);
}

void Replica::rejected(const raft::Rejected& no) {
    using What = Waiting::What;
    auto found = waiting_.find(no.id);
    if (found == waiting_.end()) return;
    Waiting waiting = std::move(found->second);
    waiting_.erase(found);
    // Its own: once more where there was no room. Where another leads that one counts by itself.
    if (waiting.what == What::SessionOver) {
        if (leads()) sessions_.set(waiting.session, now_ + kAgain);
    } else if (waiting.what == What::Over) {
        if (leads()) armed_.set({std::size_t(waiting.session), waiting.key}, now_ + kAgain, waiting.revision);
    } else {
        refuse(waiting.who, waiting.call, translated(no.error), no.leader_hint);
    }
}

void Replica::add_news(SessionId id, wire::Answer& to) const {
    to.set_session(id);
    add_members(members_, to);
    for (const auto& machine : state_.machines()) {
        std::string bytes = machine->news(id);
        if (bytes.empty()) continue;
        wire::News* one = to.add_news();
        one->set_kind(std::string(machine->kind())), one->set_bytes(std::move(bytes));
    }
}

void Replica::count_anew() {
    sessions_.clear(), armed_.clear();
    state_.each_session([this](const SessionInfo& info) { count_session(info.id); });
    look_at_armed();
}

void Replica::count_session(SessionId id) {
    if (const SessionInfo* info = state_.session(id); info && leads())
        sessions_.set(id, now_ + Duration{double(info->lease_ms)});
}

void Replica::look_at_armed() {
    look_due_ = false;
    look_at_ = now_ + set_.look;
    std::set<ArmedKey> there;
    std::vector<Armed> armed;
    for (std::size_t i = 0; i < state_.machines().size(); ++i) {
        armed.clear();
        state_.machines()[i]->armed(armed);
        for (const Armed& one : armed) {
            ArmedKey key{i, one.key};
            there.insert(key);
            const auto* known = armed_.find(key);
            if (!known || known->revision != one.revision) armed_.set(key, now_ + one.length, one.revision);
        }
    }
    armed_.erase_if([&](const ArmedKey& key) { return !there.contains(key); });
}

void Replica::end_what_is_over() {
    using What = Waiting::What;
    while (sessions_.next() <= now_) {
        SessionId id = sessions_.first();
        if (!state_.session(id)) {
            sessions_.erase(id);
            continue;
        }
        sessions_.ending(id);
        ++ended_;
        wire::Entry entry;
        entry.mutable_session_over()->set_session(id);
        Waiting waiting{};
        waiting.what = What::SessionOver, waiting.session = id;
        propose(entry.SerializeAsString(), std::move(waiting));
    }
    while (armed_.next() <= now_) {
        ArmedKey key = armed_.first();
        std::uint64_t revision = armed_.find(key)->revision;
        armed_.ending(key);
        wire::Entry entry;
        wire::Over& over = *entry.mutable_over();
        over.set_kind(std::string(state_.machines()[key.first]->kind())), over.set_key(key.second),
            over.set_revision(revision);
        Waiting waiting{};
        waiting.what = What::Over, waiting.session = key.first, waiting.key = key.second,
        waiting.revision = revision;
        propose(entry.SerializeAsString(), std::move(waiting));
    }
}

void Replica::snapshot_if_due() {
    if (applied_ - snapshot_at_ < set_.snapshot_entries &&
        octets_ < std::max(set_.snapshot_octets, snapshot_size_))
        return;
    std::string state = state_.snapshot();
    snapshot_size_ = state.size(), octets_ = 0, snapshot_at_ = applied_;
    ++snapshots_;
    raft(raft::SnapshotTaken{applied_, std::move(state)});
}

void Replica::wake() {
    TimePoint at = raft_wake_;
    if (leads()) {
        at = std::min({at, sessions_.next(), armed_.next()});
        if (look_due_) at = std::min(at, look_at_);
    }
    if (at == wake_ && now_ < wake_) return;
    wake_ = at;
    if (at != TimePoint::max()) out_->push_back(raft::SetTimer{at});
}

}  // namespace ochrehub::coordinator
