#include "lab/coordinator/world.h"

#include <coordinator.pb.h>

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "fleet/coordinator/replica.h"
#include "fleet/coordinator/session.h"
#include "lab/coordinator/judge.h"
#include "lab/swarm/net.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {
namespace {

using namespace coordinator;
namespace wire = coordinator::wire;
using Saboteur = KeeperSaboteur;

constexpr Duration kElection{400}, kHeartbeat{60};
constexpr std::uint64_t kProcesses = 64;      // at most, keepers included
constexpr std::uint64_t kEvents = 3'000'000;  // no run has so many

std::string numbered(char letter, std::size_t number) {
    std::string text(1, letter);
    text += std::to_string(number);
    return text;
}

std::string marked(char mark, const std::string& body) {
    std::string text(1, mark);
    text += body;
    return text;
}

struct Disk {
    raft::PersistentState durable;
    struct Pending {
        TimePoint done;
        raft::Write write;
    };
    std::deque<Pending> pending;

    void apply(const raft::Write& write) {
        raft::PersistentState& d = durable;
        if (write.hard_state) d.hard_state = *write.hard_state;
        if (write.truncate_from)
            d.entries.resize(
                *write.truncate_from <= d.first_index
                    ? 0
                    : std::min<std::size_t>(d.entries.size(), *write.truncate_from - d.first_index));
        d.entries.insert(d.entries.end(), write.append.begin(), write.append.end());
        if (write.snapshot) {
            std::uint64_t index = write.snapshot->last_included_index,
                          last = d.first_index + d.entries.size() - 1;
            bool other = index >= d.first_index && index <= last &&
                         d.entries[index - d.first_index].term != write.snapshot->last_included_term;
            std::size_t gone = index < d.first_index
                                   ? 0
                                   : std::min<std::size_t>(d.entries.size(), index - d.first_index + 1);
            d.entries.erase(d.entries.begin(),
                            other ? d.entries.end() : d.entries.begin() + std::ptrdiff_t(gone));
            d.first_index = index + 1;
            d.snapshot = write.snapshot;
        }
        if (write.recovered) d.trusted = true;
    }
};

class World {
public:
    explicit World(const KeeperWorldSettings& set)
        : set_(set),
          net_({set.keepers + set.processes, Duration{0.2}, Duration{2}, 0, 0, true, set.seed},
               {[this](std::size_t at, TimePoint own) { woken(at, own); },
                [this](std::size_t to, std::size_t from, TimePoint own, const std::string& m) {
                    received(to, from, own, m);
                }}),
          keepers_(set.keepers),
          processes_(set.processes) {
        judge_.world = this;
        judge_.own = [](const void* world, std::size_t at) {
            return static_cast<const World*>(world)->net_.own(at);
        };
        for (std::size_t i = 0; i < set.keepers; ++i)
            members_.push_back({raft::NodeId(i + 1), true, numbered('k', i + 1)});
        for (std::size_t i = 0; i < net_.size(); ++i)
            net_.clock(i, set.quiet ? 1 : 0.995 + 0.01 * std::size_t(net_.uniform() * 3) / 2);
    }

    KeeperVerdict go() {
        for (std::size_t i = 0; i < keepers_.size(); ++i)
            keepers_[i].disk.durable.initial_members = members_, begin_keeper(i);
        for (std::size_t i = 0; i < processes_.size(); ++i) begin_process(i);
        heal();
        TimePoint over = net_.now() + set_.faults;
        TimePoint next_fault = net_.now() + Duration{1500};
        while (net_.now() < over && verdict_.events < kEvents && judge_.found().empty()) {
            if (set_.crash_at != 0 && !crashed_ && net_.happened() >= set_.crash_at) {
                crashed_ = true;
                crash_keeper(set_.crash_who, false);
                restart_at_ = net_.now() + Duration{1000};
            }
            if (crashed_ && restart_at_ && net_.now() >= *restart_at_)
                restart_at_.reset(), restart_keeper(set_.crash_who);
            if (!set_.quiet && net_.now() >= next_fault) {
                fault();
                next_fault = net_.now() + Duration{100 + 900 * net_.uniform()};
            }
            if (!set_.quiet) mend();
            if (!net_.step()) break;
        }
        settle();
        return verdict();
    }

private:
    struct Keeper {
        Disk disk;
        std::unique_ptr<raft::Raft> raft;
        std::unique_ptr<Replica> replica;
        TimePoint wake = TimePoint::max();
        TimePoint start_at = TimePoint::max(), go_on_at = TimePoint::max();  // the world's time
        bool lied = false;
        std::uint64_t lives = 0;
    };
    struct Call {
        std::optional<std::size_t> op;
        TimePoint asked{};
        double length = 0;
    };
    struct Process {
        std::unique_ptr<Session> session;
        TimePoint wake = TimePoint::max(), act{};
        TimePoint start_at = TimePoint::max(), go_on_at = TimePoint::max();
        std::uint64_t instance = 0, next_call = 1, tags = 0;
        std::map<std::uint64_t, Call> calls;
        std::vector<std::uint64_t> times;
        SessionId held = 0;
        bool last_asked = false, last_answered = false;
    };

    std::size_t net_of(std::size_t process) const { return keepers_.size() + process; }
    bool is(Saboteur s) const { return set_.saboteur == s; }

    // ---- Keepers
    void begin_keeper(std::size_t at) {
        Keeper& k = keepers_[at];
        raft::Settings raft_set;
        raft_set.self = raft::NodeId(at + 1), raft_set.heartbeat_interval = kHeartbeat,
        raft_set.election_timeout = kElection;
        raft_set.snapshot_chunk_bytes = 300;  // so that snapshots come in several
        ReplicaSettings set;
        set.self = raft_set.self, set.snapshot_entries = set_.snapshot_entries;
        k.raft =
            std::make_unique<raft::Raft>(raft_set, k.disk.durable, set_.seed * 1000 + at * 100 + ++k.lives);
        k.lied = false;
        k.replica = std::make_unique<Replica>(
            set,
            [this, at] {
                StateMachines all;
                all.push_back(std::make_unique<ListMachine>(&judge_, at));
                return all;
            },
            [this, at](TimePoint now, const raft::Event& event, raft::Actions& actions) {
                agree(at, now, event, actions);
            },
            k.disk.durable);
        to_keeper(at, net_.own(at), coordinator::TimerFired{});
    }

    /// Raft, and whoever errs on purpose between it and the replica.
    void agree(std::size_t at, TimePoint now, const raft::Event& event, raft::Actions& actions) {
        Keeper& k = keepers_[at];
        if (const auto* read = std::get_if<raft::ReadIndex>(&event); read && is(Saboteur::ReadUnconfirmed)) {
            actions.push_back(raft::ReadReady{read->id, 0});
            return;
        }
        if (const auto* propose = std::get_if<raft::Propose>(&event); propose && is(Saboteur::TwiceApplied)) {
            wire::LogEntry entry;
            entry.ParseFromString(propose->data);
            if (entry.has_command()) entry.mutable_command()->set_session(0);
            return k.raft->handle(now, raft::Propose{propose->id, entry.SerializeAsString()}, actions);
        }
        if (const auto* taken = std::get_if<raft::SnapshotTaken>(&event)) {
            ++verdict_.snapshots;
            wire::ReplicatedState state;
            state.ParseFromString(taken->state);
            if (is(Saboteur::ForgetsSessions)) state.clear_sessions();
            if (is(Saboteur::ForgetsNumbers))
                for (auto& session : *state.mutable_sessions())
                    session.set_last_sequence(0), session.clear_cached_responses();
            if (is(Saboteur::ForgetsMachines)) state.mutable_state_machines(0)->set_bytes("0 0 0");
            return k.raft->handle(now, raft::SnapshotTaken{taken->index, state.SerializeAsString()}, actions);
        }
        if (!is(Saboteur::OldDeadlines)) return k.raft->handle(now, event, actions);
        // As though it had counted all along.
        if (!std::exchange(k.lied, true)) actions.push_back(raft::RoleChanged{raft::Role::Leader, 1, 0});
        raft::Actions real;
        k.raft->handle(now, event, real);
        for (raft::Action& action : real)
            if (!std::holds_alternative<raft::RoleChanged>(action)) actions.push_back(std::move(action));
    }

    void to_keeper(std::size_t at, TimePoint own, const ReplicaEvent& event) {
        Keeper& k = keepers_[at];
        std::uint64_t before = k.replica->applied(), life = k.lives;
        ReplicaActions actions;
        double rate = is(Saboteur::FastLeader) ? 2 : 1;
        k.replica->handle(TimePoint{own.time_since_epoch() * rate}, event, actions);
        record_decision("replica", own, event, actions);
        std::optional<std::uint64_t> too_soon;
        for (ReplicaAction& action : actions) {
            if (auto* send = std::get_if<raft::SendMessage>(&action)) {
                net_.send(at, send->to - 1, marked('R', raft::encode(send->message)));
            } else if (auto* write = std::get_if<raft::Write>(&action)) {
                Duration takes{0.1 + 3 * net_.uniform()};
                if (is(Saboteur::WrittenTooSoon)) takes += Duration{250}, too_soon = write->number;
                TimePoint done =
                    std::max(own + takes, k.disk.pending.empty() ? own : k.disk.pending.back().done);
                k.disk.pending.push_back({done, std::move(*write)});
            } else if (auto* answer = std::get_if<SendResponse>(&action)) {
                // A connection ends with its process: the next one is not answered what another asked.
                std::size_t to = std::size_t(answer->connection % kProcesses);
                if (processes_[to - keepers_.size()].instance == answer->connection / kProcesses)
                    net_.send(at, to, marked('N', answer->body));
            } else if (const auto* wake = std::get_if<raft::SetTimer>(&action)) {
                k.wake = TimePoint{wake->at.time_since_epoch() / rate};
            } else if (const auto* became = std::get_if<raft::RoleChanged>(&action)) {
                verdict_.leaders += became->role == raft::Role::Leader;
            } else if (const auto* stop = std::get_if<Stop>(&action)) {
                judge_.wrong("keeper " + std::to_string(at + 1) + " stopped at " + stop->about);
            }
        }
        if (k.replica->applied() != before)
            judge_.state(at, k.replica->applied(), std::hash<std::string>()(k.replica->state().snapshot()));
        if (too_soon && k.lives == life) to_keeper(at, own, WriteCompleted{*too_soon});
        wake_keeper(at);
    }

    void wake_keeper(std::size_t at) {
        Keeper& k = keepers_[at];
        TimePoint next = k.disk.pending.empty() ? k.wake : std::min(k.wake, k.disk.pending.front().done);
        if (next != TimePoint::max()) wake_at(at, next);
    }
    /// Never at this very moment: two clocks' rounding might have it come before its time again and again.
    void wake_at(std::size_t at, TimePoint own) {
        net_.wake_at(at, std::max(own, net_.own(at) + Duration{1e-6}));
    }

    void crash_keeper(std::size_t at, bool disk_too) {
        Keeper& k = keepers_[at];
        for (std::size_t p = 0; p < processes_.size(); ++p)
            if (net_.uniform() < 0.5) net_.send(at, net_of(p), "X");
        net_.crash(at);
        // Any part of what was not written may be there.
        std::size_t there = std::size_t(net_.uniform() * double(k.disk.pending.size() + 1));
        for (std::size_t i = 0; i < there && i < k.disk.pending.size(); ++i)
            k.disk.apply(k.disk.pending[i].write);
        k.disk.pending.clear();
        k.replica.reset(), k.raft.reset();
        k.wake = TimePoint::max();
        if (!disk_too) return;
        k.disk.durable = {};
        k.disk.durable.initial_members = members_, k.disk.durable.trusted = false;
    }
    void restart_keeper(std::size_t at) {
        net_.start(at);
        keepers_[at].start_at = TimePoint::max();
        begin_keeper(at);
    }

    // ---- Processes
    void begin_process(std::size_t p) {
        Process& one = processes_[p];
        SessionSettings set;
        for (const raft::Member& member : members_) set.coordinators.push_back(member.address);
        set.name = numbered('p', p), set.instance = ++instances_, set.lease = set_.lease;
        set.response_timeout = Duration{200}, set.resend_interval = Duration{600},
        set.query_timeout = Duration{4000};
        set.seed = set_.seed * 77 + instances_;
        one.session = std::make_unique<Session>(set);
        one.wake = TimePoint::max(), one.held = 0, one.calls.clear(), one.times.clear();
        one.act = net_.own(net_of(p)) + Duration{20};
        one.instance = set.instance;
        to_process(p, net_.own(net_of(p)), SessionTimerFired{});
    }

    void to_process(std::size_t p, TimePoint own, const SessionEvent& event) {
        Process& one = processes_[p];
        SessionActions actions;
        one.session->handle(own, event, actions);
        record_decision("session", own, event, actions);
        for (SessionAction& action : actions) {
            if (auto* say = std::get_if<SendRequest>(&action)) {
                net_.send(net_of(p), std::stoul(say->to.substr(1)) - 1,
                          marked('A', std::to_string(one.instance) + " " + say->body));
            } else if (const auto* held = std::get_if<SessionRenewed>(&action)) {
                verdict_.sessions += one.held != held->session;
                one.held = held->session;
                TimePoint until = held->until;
                if (is(Saboteur::LeaseFromAnswer)) until = own + set_.lease * 0.99 - Duration{50};
                if (is(Saboteur::NoMargin)) until += set_.lease * 0.01 + Duration{50};
                if (is(Saboteur::PauseUnseen)) until = TimePoint::max();
                judge_.held(held->session, net_of(p), until);
            } else if (const auto* lost = std::get_if<SessionLost>(&action)) {
                // Who does not look at his clock hears of it with what made him look; that it is said first
                // is another's test.
                judge_.gave_up(lost->session);
                for (std::uint64_t time : std::exchange(one.times, {})) judge_.gave_up_time(time);
                one.held = 0;
            } else if (const auto* answered = std::get_if<CallCompleted>(&action)) {
                hear(p, *answered);
            } else if (const auto* wake = std::get_if<SetSessionTimer>(&action)) {
                one.wake = wake->at;
            }
        }
        wake_at(net_of(p), std::min(one.wake, one.act));
    }

    void hear(std::size_t p, const CallCompleted& answered) {
        Process& one = processes_[p];
        auto found = one.calls.find(answered.call);
        if (found == one.calls.end()) return judge_.wrong("a call was answered twice");
        Call call = found->second;
        one.calls.erase(found);
        verdict_.uncertain += answered.error == Error::PossiblyExecuted;
        bool expected = answered.error == Error::None || answered.error == Error::PossiblyExecuted ||
                        answered.error == Error::NoSession || answered.error == Error::Unreachable ||
                        answered.error == Error::Busy;
        if (!expected) judge_.wrong("a command was answered " + std::string(row(answered.error).code));
        if (answered.error != Error::None) return;
        if (last_phase_) one.last_answered = true;
        if (!call.op) {
            std::uint64_t revision = std::stoull(answered.result);
            if (revision == 0) return;
            one.times.push_back(revision);
            return judge_.held_time(revision, net_of(p), call.asked + Duration{call.length * 0.99 - 50});
        }
        std::size_t space = answered.result.find(' ');
        ++(space == std::string::npos ? verdict_.commands : verdict_.reads);
        judge_.answer(*call.op, net_.now(), std::stoull(answered.result),
                      space == std::string::npos ? "" : answered.result.substr(space + 1));
    }

    void act(std::size_t p, TimePoint own) {
        Process& one = processes_[p];
        one.act = own + Duration{set_.quiet ? 40 : 20 + 150 * net_.uniform()};
        if (one.calls.size() > 12) return;
        double what = net_.uniform();
        std::uint64_t call = one.next_call++;
        if (what < 0.3) {
            one.calls[call] = {judge_.ask(net_.now(), false, ""), own, 0};
            to_process(p, own, QueryRequested{call, "list", ""});
        } else if (what < 0.4) {
            double length = 300 + 900 * net_.uniform();
            one.calls[call] = {std::nullopt, own, length};
            to_process(p, own, CommandRequested{call, "list", "hold " + std::to_string(length)});
        } else {
            std::string tag =
                numbered('p', p) + "." + std::to_string(one.instance) + "." + std::to_string(++one.tags);
            one.calls[call] = {judge_.ask(net_.now(), true, tag), own, 0};
            to_process(p, own, CommandRequested{call, "list", tag});
        }
    }

    void crash_process(std::size_t p) {
        judge_.crashed(net_of(p));
        net_.crash(net_of(p));
        processes_[p].session.reset();
    }

    // ---- The network
    void woken(std::size_t at, TimePoint own) {
        if (at >= keepers_.size()) {
            std::size_t p = at - keepers_.size();
            if (!processes_[p].session) return;
            to_process(p, own, SessionTimerFired{});
            if (own >= processes_[p].act) act(p, own);
            return;
        }
        Keeper& k = keepers_[at];
        if (!k.replica) return;
        // One sync for all that is due.
        std::optional<std::uint64_t> written;
        while (!k.disk.pending.empty() && k.disk.pending.front().done <= own) {
            k.disk.apply(k.disk.pending.front().write);
            written = k.disk.pending.front().write.number;
            k.disk.pending.pop_front();
        }
        if (written && !is(Saboteur::WrittenTooSoon)) to_keeper(at, own, WriteCompleted{*written});
        if (k.replica && own >= k.wake)
            k.wake = TimePoint::max(), to_keeper(at, own, coordinator::TimerFired{});
        if (k.replica) wake_keeper(at);
    }

    void received(std::size_t to, std::size_t from, TimePoint own, const std::string& m) {
        ++verdict_.events;
        if (to >= keepers_.size()) {
            std::size_t p = to - keepers_.size();
            if (!processes_[p].session) return;
            std::string address = numbered('k', from + 1);
            if (m[0] == 'X') return to_process(p, own, Disconnected{address});
            return to_process(p, own, ResponseReceived{address, m.substr(1)});
        }
        if (!keepers_[to].replica) return;
        if (m[0] == 'R') {
            auto message = raft::decode(std::string_view(m).substr(1));
            if (!message) return judge_.wrong("a message that cannot be read");
            return to_keeper(to, own, RaftMessageReceived{raft::NodeId(from + 1), std::move(*message)});
        }
        std::size_t space = m.find(' ');
        std::uint64_t who = std::stoull(m.substr(1, space - 1)) * kProcesses + from;
        wire::Request ask;
        if (ask.ParseFromString(m.substr(space + 1)) && ask.has_command())
            verdict_.again += keepers_[to]
                                  .replica->state()
                                  .cached_outcome(ask.command().session(), ask.command().sequence())
                                  .has_value();
        to_keeper(to, own, RequestReceived{who, m.substr(space + 1)});
    }

    // ---- Faults
    std::size_t any(std::size_t many) {
        return std::min(many - 1, std::size_t(net_.uniform() * double(many)));
    }
    std::size_t leader() {
        for (std::size_t i = 0; i < keepers_.size(); ++i)
            if (keepers_[i].raft && keepers_[i].raft->role() == raft::Role::Leader) return i;
        return any(keepers_.size());
    }
    Duration some(double least, double most) { return Duration{least + (most - least) * net_.uniform()}; }

    void fault() {
        double what = net_.uniform();
        if (what >= 0.5 && heal_at_ == TimePoint::max()) heal_at_ = net_.now() + some(200, 3000);
        std::size_t k = net_.uniform() < 0.5 ? leader() : any(keepers_.size());
        std::size_t p = any(processes_.size());
        if (what < 0.16) {
            if (!net_.up(k)) return;
            bool all_trusted = std::all_of(keepers_.begin(), keepers_.end(),
                                           [](const Keeper& one) { return one.disk.durable.trusted; });
            crash_keeper(k, all_trusted && net_.uniform() < 0.12);
            keepers_[k].start_at = net_.now() + (net_.uniform() < 0.3 ? some(2, 60) : some(60, 2500));
        } else if (what < 0.32) {
            if (!net_.up(k) || net_.stopped(k)) return;
            net_.stop(k);
            keepers_[k].go_on_at = net_.now() + some(100, 5000);
        } else if (what < 0.44) {
            if (!net_.up(net_of(p)) || net_.stopped(net_of(p))) return;
            net_.stop(net_of(p));
            processes_[p].go_on_at = net_.now() + some(100, 6000);
        } else if (what < 0.5) {
            if (!net_.up(net_of(p))) return;
            crash_process(p);
            processes_[p].start_at = net_.now() + some(10, 1500);
        } else if (what < 0.7) {  // what one keeper says, or hears, is lost
            bool says = net_.uniform() < 0.5, processes_too = net_.uniform() < 0.5;
            for (std::size_t i = 0; i < (processes_too ? net_.size() : keepers_.size()); ++i)
                if (i != k) says ? net_.cut(k, i) : net_.cut(i, k);
        } else if (what < 0.78) {  // one link, both ways
            std::size_t i = any(net_.size());
            if (i != k) net_.cut(k, i), net_.cut(i, k);
        } else if (what < 0.84) {
            net_.loss(0.3 * net_.uniform()), net_.doubled(0.2 * net_.uniform());
        } else if (what < 0.9) {
            bool little = net_.uniform() < 0.6;  // less than makes a process look for another keeper
            for (std::size_t i = 0; i < net_.size(); ++i)
                if (i != k) net_.delay(k, i, little ? some(100, 300) : some(0, 1200));
            if (little && net_.up(net_of(p)) && !net_.stopped(net_of(p)) && net_.uniform() < 0.5)
                stop_at_ = net_.now() + some(500, 2000);
        } else {
            heal(), net_.loss(0), net_.doubled(0);
        }
    }
    void heal() {
        net_.heal();
        if (set_.answers_late > Duration{0})
            for (std::size_t k = 0; k < keepers_.size(); ++k)
                for (std::size_t p = 0; p < processes_.size(); ++p)
                    net_.delay(k, net_of(p), set_.answers_late);
    }
    void mend() {
        if (net_.now() >= heal_at_) heal_at_ = TimePoint::max(), heal();
        if (net_.now() >= stop_at_) {
            stop_at_ = TimePoint::max();
            std::size_t p = any(processes_.size());
            if (net_.up(net_of(p)) && !net_.stopped(net_of(p)))
                net_.stop(net_of(p)), processes_[p].go_on_at = net_.now() + some(2500, 5000);
        }
        for (std::size_t i = 0; i < keepers_.size(); ++i) {
            if (keepers_[i].start_at <= net_.now()) restart_keeper(i);
            if (keepers_[i].go_on_at <= net_.now()) keepers_[i].go_on_at = TimePoint::max(), net_.go_on(i);
        }
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            Process& one = processes_[i];
            if (one.start_at <= net_.now())
                one.start_at = TimePoint::max(), net_.start(net_of(i)), begin_process(i);
            if (one.go_on_at <= net_.now()) one.go_on_at = TimePoint::max(), net_.go_on(net_of(i));
        }
    }

    void settle() {
        if (!judge_.found().empty()) return;
        net_.heal(), net_.loss(0), net_.doubled(0);
        for (std::size_t i = 0; i < keepers_.size(); ++i) {
            if (!net_.up(i)) restart_keeper(i);
            net_.go_on(i);
        }
        for (std::size_t i = 0; i < processes_.size(); ++i) {
            if (!net_.up(net_of(i))) net_.start(net_of(i)), begin_process(i);
            net_.go_on(net_of(i));
        }
        net_.run_to(net_.now() + set_.settles * 0.7);
        last_phase_ = true;
        net_.run_to(net_.now() + set_.settles * 0.3);
        for (std::size_t p = 0; p < processes_.size(); ++p) {
            if (processes_[p].held == 0)
                judge_.wrong("process " + std::to_string(p) + " has no session, though all is healed");
            if (!processes_[p].last_answered)
                judge_.wrong("process " + std::to_string(p) + " has no answer, though all is healed");
        }
        for (std::size_t i = 0; i < keepers_.size(); ++i)
            if (!keepers_[i].disk.durable.trusted)
                judge_.wrong("keeper " + std::to_string(i + 1) + " is not trusted, though all is healed");
    }

    KeeperVerdict verdict() {
        if (judge_.found().empty()) judge_.finish();
        verdict_.wrong = judge_.found();
        verdict_.ended = judge_.ended, verdict_.armed_over = judge_.armed_over;
        verdict_.events = net_.happened();
        return verdict_;
    }

    KeeperWorldSettings set_;
    KeeperJudge judge_;
    KeeperVerdict verdict_;
    Net<std::string> net_;
    raft::Members members_;
    std::vector<Keeper> keepers_;
    std::vector<Process> processes_;
    std::uint64_t instances_ = 0;
    bool last_phase_ = false, crashed_ = false;
    std::optional<TimePoint> restart_at_;
    TimePoint stop_at_ = TimePoint::max(), heal_at_ = TimePoint::max();
};

}  // namespace

const char* name(KeeperSaboteur saboteur) {
    static constexpr std::array<const char*, std::size_t(KeeperSaboteur::Count)> names{"none",
                                                                                       "lease-from-answer",
                                                                                       "pause-unseen",
                                                                                       "no-margin",
                                                                                       "old-deadlines",
                                                                                       "fast-leader",
                                                                                       "twice-applied",
                                                                                       "read-unconfirmed",
                                                                                       "forgets-sessions",
                                                                                       "forgets-numbers",
                                                                                       "forgets-machines",
                                                                                       "written-too-soon"};
    return names[std::size_t(saboteur)];
}

KeeperVerdict run(const KeeperWorldSettings& settings) {
    return World(settings).go();
}

}  // namespace ochrehub::lab
