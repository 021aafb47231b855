#include <algorithm>
#include <utility>

#include "lab/leadership/lease_simulation_processes.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::leadership {

namespace core = ochrehub::leadership;
using fencing::Verdict;

namespace {

constexpr Duration kSendDelay{1};           ///< between the look at the lease and the send
constexpr Duration kResponseTimeout{100};   ///< after which an effect counts as not in flight
constexpr Duration kInterruptedAfter{400};  ///< an item in progress for so long was interrupted
constexpr Duration kZombieTime{2500};       ///< for which the mutant HandsOverAtWork goes on
constexpr Duration kCompletionRetry{500};
constexpr std::uint64_t kMutantStepStride = 1000;  ///< keeps a mutant's repeated steps apart
constexpr std::uint64_t kIsQuery = 1;              ///< Message::index of what is no effect

}  // namespace

void LeaseSimulation::LeaseHolderProcess::started(TimePoint own) {
    timers.clear();
    runs.clear();
    timer_at.reset();
    core::LeaseHolderSettings settings;
    settings.safety_margin = simulation.set_.real ? Duration{0} : simulation.set_.lease * 0.01 + Duration{50};
    if (simulation.set_.real) settings.retry_interval = Duration{0};
    holder = std::make_unique<core::LeaseHolder>(settings);
    open_session(own);
    for (const std::string& job : simulation.jobs_) handle(own, core::AddCandidacy{job, 1});
    const double number = double(self - simulation.set_.keepers);
    timers.at(own + Duration{1.0 + 331.0 * number + 300 * simulation.net_.uniform()},
              [this](TimePoint t) { session->begin(t); });
    timers.arm(simulation.net_, self);
}

void LeaseSimulation::LeaseHolderProcess::open_session(TimePoint /*own*/) {
    SessionSettings settings;
    settings.keepers = simulation.set_.keepers;
    settings.lease = simulation.set_.lease;
    settings.patience = simulation.set_.patience;
    settings.lease_from_response = mutant() == Mutant::LeaseFromAnswer;
    if (simulation.set_.real)
        session = std::make_unique<RaftSession>(settings, simulation.net_, timers, self,
                                                self * 1000 + ++starts, session_hooks());
    else
        session =
            std::make_unique<SimulatedSession>(settings, simulation.net_, timers, self, session_hooks());
}

SessionHooks LeaseSimulation::LeaseHolderProcess::session_hooks() {
    return {[this](TimePoint t, coordinator::SessionId id, TimePoint until) {
                handle(t, core::SessionRenewed{id, until});
            },
            [this](TimePoint t) { handle(t, core::SessionLost{}); },
            [this](TimePoint t, coordinator::SessionId id, const std::string&, const std::string& update) {
                handle(t, core::SessionUpdateReceived{id, update});
            },
            [this](TimePoint t, const std::string&, std::uint64_t number, const std::string& response) {
                handle(t, core::CommandCompleted{number, response});
            }};
}

void LeaseSimulation::LeaseHolderProcess::handle(TimePoint own, const core::LeaseHolderEvent& event) {
    core::LeaseHolderActions actions;
    holder->handle(own, event, actions);
    record_decision("lease_holder", own, event, actions);
    for (core::LeaseHolderAction& action : actions) {
        if (const auto* work = std::get_if<core::StartWork>(&action))
            start(own, work->role, work->epoch, false);
        else if (const auto* job = std::get_if<core::RetireJob>(&action))
            start(own, job->role, job->epoch, true);
        else if (const auto* revoked = std::get_if<core::StopWork>(&action))
            stop(own, *revoked);
        else if (const auto* send = std::get_if<core::SendCommand>(&action))
            session->submit(own, send->request_id, send->session, "duty", send->command);
        else if (const auto* timer = std::get_if<core::SetTimer>(&action))
            set_timer(timer->at);
    }
}

void LeaseSimulation::LeaseHolderProcess::set_timer(TimePoint at) {
    if (timer_at == at) return;
    timer_at = at;
    timers.at(at, [this, at](TimePoint t) {
        if (timer_at != at) return;
        timer_at.reset();
        handle(t, core::TimerFired{});
    });
}

void LeaseSimulation::LeaseHolderProcess::start(TimePoint own, const std::string& role, Epoch epoch,
                                                bool retiring) {
    Run& run = runs[role];
    if (!(retiring && run.epoch == epoch)) run = {};
    run.epoch = epoch;
    run.retiring = retiring;
    run.items.assign(simulation.set_.endless ? 0 : simulation.set_.items,
                     mutant() == Mutant::NextAsksNothing ? Item::Todo : Item::Unknown);
    timers.at(own, [this, role, epoch](TimePoint t) { tick(t, role, epoch); });
}

void LeaseSimulation::LeaseHolderProcess::stop(TimePoint own, const core::StopWork& stop) {
    auto it = runs.find(stop.role);
    const bool ignores_expiry =
        mutant() == Mutant::IgnoresLease && stop.reason == core::RevocationReason::LeaseExpiring;
    if (ignores_expiry && it != runs.end()) return;
    if (mutant() == Mutant::HandsOverAtWork && it != runs.end()) {
        it->second.is_zombie = true;
        it->second.zombie_until = own + kZombieTime;
        timers.at(own, [this, stop](TimePoint t) { handle(t, core::WorkStopped{stop.role, stop.epoch}); });
        return;
    }
    if (it != runs.end() && it->second.epoch == stop.epoch) it->second.stopping = true;
    timers.at(own, [this, stop](TimePoint t) { report_stopped(t, stop.role, stop.epoch); });
}

// What was authorized and not sent yet goes out first: no clock can close this gap.
void LeaseSimulation::LeaseHolderProcess::report_stopped(TimePoint own, const std::string& role,
                                                         Epoch epoch) {
    auto it = runs.find(role);
    const bool is_this = it != runs.end() && it->second.epoch == epoch;
    if (is_this && it->second.about_to_send) {
        timers.at(own + kSendDelay, [this, role, epoch](TimePoint t) { report_stopped(t, role, epoch); });
        return;
    }
    if (is_this) runs.erase(it);
    handle(own, core::WorkStopped{role, epoch});
}

std::optional<Epoch> LeaseSimulation::LeaseHolderProcess::current_epoch(TimePoint own,
                                                                        const std::string& role,
                                                                        const Run& run) const {
    if (mutant() == Mutant::IgnoresLease || run.is_zombie) return run.epoch;
    auto epoch = holder->current_epoch(own, role);
    return epoch == run.epoch ? epoch : std::nullopt;
}

std::size_t LeaseSimulation::LeaseHolderProcess::receiver_of(std::uint64_t item) const {
    return simulation.receiver(item % simulation.set_.receivers);
}

Message LeaseSimulation::LeaseHolderProcess::message(Message::Kind kind, const std::string& role,
                                                     const Run& run) const {
    Message m;
    m.kind = kind;
    m.what = role;
    m.call = run.epoch;
    m.epoch = mutant() == Mutant::EpochNotRaised ? 1 : run.epoch;
    return m;
}

void LeaseSimulation::LeaseHolderProcess::tick(TimePoint own, const std::string& role, Epoch epoch) {
    auto it = runs.find(role);
    if (it == runs.end() || it->second.epoch != epoch || it->second.stopping) return;
    if (it->second.is_zombie && own > it->second.zombie_until) {
        runs.erase(it);
        return;
    }
    std::optional<Duration> next = advance(own, role, it->second);
    if (next) timers.at(own + *next, [this, role, epoch](TimePoint t) { tick(t, role, epoch); });
}

std::optional<Duration> LeaseSimulation::LeaseHolderProcess::advance(TimePoint own, const std::string& role,
                                                                     Run& run) {
    const std::size_t receivers = simulation.set_.receivers;
    const bool has_unknown = std::find(run.items.begin(), run.items.end(), Item::Unknown) != run.items.end();
    if (run.retiring) {
        retire(role, run);
        if (run.acknowledged.size() == receivers) {
            handle(own, core::JobRetired{role, run.epoch});
            return std::nullopt;
        }
    } else if (has_unknown) {
        if (!current_epoch(own, role, run)) return simulation.set_.work_interval;
        for (std::size_t i = 0; i < run.items.size(); ++i)
            if (run.items[i] == Item::Unknown) query(role, run, i + 1);
    } else if (simulation.set_.endless && run.acknowledged.size() < receivers) {
        if (!current_epoch(own, role, run)) return simulation.set_.work_interval;
        for (std::size_t i = 0; i < receivers; ++i) query(role, run, i + receivers);
    } else if (!run.in_flight && !run.about_to_send) {
        return work(own, role, run);
    }
    return simulation.set_.work_interval;
}

void LeaseSimulation::LeaseHolderProcess::query(const std::string& role, const Run& run, std::uint64_t item) {
    Message m = message(Message::Kind::Look, role, run);
    m.step = m.item = item;
    m.index = kIsQuery;
    simulation.net_.send(self, receiver_of(item), m);
}

void LeaseSimulation::LeaseHolderProcess::retire(const std::string& role, const Run& run) {
    for (std::size_t i = 0; i < simulation.set_.receivers; ++i)
        if (!run.acknowledged.contains(i))
            simulation.net_.send(self, simulation.receiver(i), message(Message::Kind::Retire, role, run));
}

Duration LeaseSimulation::LeaseHolderProcess::work(TimePoint own, const std::string& role, Run& run) {
    std::uint64_t item = (run.epoch << 24) + run.done_count + 1;
    if (!simulation.set_.endless) {
        auto todo = std::find(run.items.begin(), run.items.end(), Item::Todo);
        if (todo == run.items.end()) return complete(own, role, run);
        item = std::uint64_t(todo - run.items.begin()) + 1;
    }
    std::uint64_t step = item;
    if (mutant() == Mutant::RepeatsWithoutAsking) step += kMutantStepStride * ++run.attempts;
    if (mutant() == Mutant::NextAsksNothing) step += kMutantStepStride * run.epoch;
    if (!current_epoch(own, role, run)) return simulation.set_.work_interval;
    run.about_to_send = true;
    timers.at(own + kSendDelay, [this, role, item, step, epoch = run.epoch](TimePoint t) {
        auto it = runs.find(role);
        if (it == runs.end() || it->second.epoch != epoch) return;
        Message m = message(Message::Kind::Effect, role, it->second);
        m.step = step;
        m.item = item;
        send_effect(t, role, epoch, m);
    });
    return simulation.set_.work_interval;
}

Duration LeaseSimulation::LeaseHolderProcess::complete(TimePoint own, const std::string& role, Run& run) {
    if (mutant() == Mutant::RetiresBeforeEnd && run.acknowledged.size() < simulation.set_.receivers) {
        retire(role, run);
        return simulation.set_.work_interval;
    }
    run.acknowledged.clear();
    handle(own, core::JobCompleted{role, run.epoch});
    return kCompletionRetry;
}

void LeaseSimulation::LeaseHolderProcess::send_effect(TimePoint own, const std::string& role, Epoch epoch,
                                                      Message m) {
    Run& run = runs.at(role);
    run.about_to_send = false;
    run.in_flight = true;
    const std::uint64_t number = ++run.last_send;
    simulation.sent_effects_.push_back({self, receiver_of(m.item), m});
    simulation.net_.send(self, receiver_of(m.item), std::move(m));
    timers.at(own + kResponseTimeout, [this, role, epoch, number](TimePoint) {
        auto it = runs.find(role);
        if (it != runs.end() && it->second.epoch == epoch && it->second.last_send == number)
            it->second.in_flight = false;
    });
}

void LeaseSimulation::LeaseHolderProcess::received(std::size_t from, TimePoint own, const Message& m) {
    if (session->received(from, own, m)) return;
    auto it = runs.find(m.what);
    if (it == runs.end() || it->second.epoch != m.call) return;
    Run& run = it->second;
    if (m.verdict == Verdict::Retired) {
        run.acknowledged.insert(from - simulation.receiver(0));
        return;
    }
    if (m.index != kIsQuery) run.in_flight = false;
    if (m.verdict == Verdict::StaleEpoch || m.verdict == Verdict::EpochForgotten) return;
    if (simulation.set_.endless)
        on_endless_verdict(from, m, run);
    else
        on_verdict(own, m, run);
}

void LeaseSimulation::LeaseHolderProcess::on_endless_verdict(std::size_t from, const Message& m,
                                                             Run& run) const {
    if (m.index == kIsQuery) {
        run.acknowledged.insert(from - simulation.receiver(0));
        return;
    }
    const std::uint64_t next = (run.epoch << 24) + run.done_count + 1;
    if (m.verdict == Verdict::Executed && m.item == next) ++run.done_count;
}

void LeaseSimulation::LeaseHolderProcess::on_verdict(TimePoint own, const Message& m, Run& run) {
    if (m.item == 0 || m.item > run.items.size()) return;
    Item& item = run.items[m.item - 1];
    if (m.verdict == Verdict::NotExecuted && item == Item::Unknown) item = Item::Todo;
    if (m.verdict == Verdict::Executed || m.verdict == Verdict::Settled) item = Item::Done;
    if (m.verdict != Verdict::PossiblyExecuted) return;
    // It ends soon, or was interrupted by a crash of the receiver: its outcome is unknown, and it is not
    // repeated.
    const TimePoint since = run.in_progress.try_emplace(m.item, own).first->second;
    item = own - since > kInterruptedAfter ? Item::Done : Item::Unknown;
}

bool LeaseSimulation::LeaseHolderProcess::is_about_to_send() const {
    return std::any_of(runs.begin(), runs.end(), [](const auto& run) { return run.second.about_to_send; });
}

}  // namespace ochrehub::lab::leadership
