#include <utility>

#include "lab/leadership/lease_simulation_processes.h"

namespace ochrehub::lab::leadership {

using fencing::Verdict;

namespace {

constexpr Duration kEffectTime{0.5};  ///< from the fence's permission to the effect, and again to its end

}  // namespace

void LeaseSimulation::ReceiverProcess::write() {
    for (std::string& record : fence.take_records()) disk.push_back(std::move(record));
}

void LeaseSimulation::ReceiverProcess::started() {
    timers.clear();
    for (const auto& [key, message] : in_progress)
        if (!done.contains({key.first, message.item})) interrupted.insert({key.first, message.item});
    in_progress.clear();
    fence = fencing::FencingGuard({});
    for (const std::string& record : disk) fence.replay(record);
}

void LeaseSimulation::ReceiverProcess::respond(std::size_t to, Message m, Verdict verdict) {
    m.kind = Message::Kind::Verdict;
    m.verdict = verdict;
    simulation.net_.send(self, to, std::move(m));
}

void LeaseSimulation::ReceiverProcess::received(std::size_t from, TimePoint own, const Message& m) {
    if (m.kind == Message::Kind::Look)
        on_query(from, m);
    else if (m.kind == Message::Kind::Retire)
        on_retire(from, m);
    else
        on_effect(from, own, m);
}

void LeaseSimulation::ReceiverProcess::on_query(std::size_t from, const Message& m) {
    fencing::Response response = fence.query_step(m.what, m.epoch, m.step);
    record_epoch(m, response.verdict);
    write();
    respond(from, m, response.verdict);
}

void LeaseSimulation::ReceiverProcess::on_retire(std::size_t from, const Message& m) {
    fencing::Response response = fence.retire(m.what, m.epoch);
    if (simulation.set_.mutant == Mutant::ForgetsRetired) forget_retired(m.what);
    write();
    respond(from, m, response.verdict);
}

/// A mutant's: the fence keeps no trace of the role.
void LeaseSimulation::ReceiverProcess::forget_retired(const std::string& role) {
    constexpr std::size_t kNameSizeAt = 9;  // in a fence's record; the name follows
    std::vector<std::string> kept;
    for (std::string& record : fence.snapshot())
        if (record.substr(kNameSizeAt + 1, std::size_t(record[kNameSizeAt])) != role)
            kept.push_back(std::move(record));
    disk = kept;
    fence = fencing::FencingGuard({});
    for (const std::string& record : disk) fence.replay(record);
}

void LeaseSimulation::ReceiverProcess::on_effect(std::size_t from, TimePoint own, const Message& m) {
    fencing::Response response = fence.begin_step(m.what, m.epoch, m.step);
    record_epoch(m, response.verdict);
    auto newest = newest_epochs.find(m.what);
    if (newest != newest_epochs.end() && newest->second.epoch > m.epoch)
        simulation.effects_.rejected.push_back({simulation.net_.now(), self, from, m.what, m.epoch,
                                                simulation.net_.now() - newest->second.first_seen});
    if (simulation.set_.mutant != Mutant::EffectBeforeWritten) write();
    const bool unfenced =
        simulation.set_.mutant == Mutant::NoFence && response.verdict == Verdict::StaleEpoch;
    if (response.verdict != Verdict::Execute && !unfenced) return respond(from, m, response.verdict);
    in_progress[{m.what, m.step}] = m;
    timers.at(own + kEffectTime, [this, from, m](TimePoint t) { finish_effect(from, t, m); });
}

void LeaseSimulation::ReceiverProcess::finish_effect(std::size_t from, TimePoint own, const Message& m) {
    done.insert({m.what, m.item});
    simulation.effects_.effects.push_back({simulation.net_.now(), self, from, m.what, m.epoch, m.item});
    timers.at(own + kEffectTime, [this, from, m](TimePoint) {
        in_progress.erase({m.what, m.step});
        fence.complete_step(m.what, m.step, "");
        write();
        respond(from, m, Verdict::Executed);
    });
}

void LeaseSimulation::ReceiverProcess::record_epoch(const Message& m, Verdict verdict) {
    if (verdict == Verdict::StaleEpoch || verdict == Verdict::Malformed) return;
    NewestEpoch& newest = newest_epochs[m.what];
    if (m.epoch > newest.epoch) newest = {m.epoch, simulation.net_.now()};
}

}  // namespace ochrehub::lab::leadership
