#include <algorithm>
#include <utility>

#include "lab/coordinator/simulation_state.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {
namespace {

using coordinator::Error;

constexpr std::size_t kMaxPendingCalls = 12;
/// Of a lease or a hold: the margin by which a client stops early.
constexpr double kMarginRatio = 0.01;
constexpr Duration kMargin{50};

bool is_expected(Error error) {
    return error == Error::None || error == Error::PossiblyExecuted || error == Error::NoSession ||
           error == Error::Unreachable || error == Error::Busy;
}

}  // namespace

void CoordinatorSimulation::start_client(std::size_t index) {
    Client& client = clients_[index];
    client.instance = ++instances_;
    coordinator::SessionSettings settings;
    for (const raft::Member& member : members_) settings.coordinators.push_back(member.address);
    settings.name = process_name('p', index);
    settings.instance = client.instance;
    settings.lease = settings_.lease;
    settings.response_timeout = Duration{200};
    settings.resend_interval = Duration{600};
    settings.query_timeout = Duration{4000};
    settings.seed = settings_.seed * 77 + client.instance;
    client.session = std::make_unique<coordinator::Session>(settings);
    client.timer = TimePoint::max();
    client.session_id = 0;
    client.calls.clear();
    client.held_timeouts.clear();
    client.next_call_at = net_.own(process_of(index)) + Duration{20};
    handle(index, net_.own(process_of(index)), coordinator::SessionTimerFired{});
}

void CoordinatorSimulation::crash_client(std::size_t index) {
    checker_.process_crashed(process_of(index));
    net_.crash(process_of(index));
    clients_[index].session.reset();
}

void CoordinatorSimulation::handle(std::size_t index, TimePoint own, const coordinator::SessionEvent& event) {
    Client& client = clients_[index];
    coordinator::SessionActions actions;
    client.session->handle(own, event, actions);
    record_decision("session", own, event, actions);
    for (const coordinator::SessionAction& action : actions) {
        if (const auto* send = std::get_if<coordinator::SendRequest>(&action)) {
            const std::size_t to = std::stoul(send->to.substr(1)) - 1;
            net_.send(process_of(index), to, {Packet::Kind::Request, client.instance, send->body});
        } else if (const auto* renewed = std::get_if<coordinator::SessionRenewed>(&action)) {
            session_renewed(index, own, *renewed);
        } else if (const auto* lost = std::get_if<coordinator::SessionLost>(&action)) {
            session_lost(index, *lost);
        } else if (const auto* completed = std::get_if<coordinator::CallCompleted>(&action)) {
            call_completed(index, *completed);
        } else if (const auto* timer = std::get_if<coordinator::SetSessionTimer>(&action)) {
            client.timer = timer->at;
        }
    }
    set_timer(process_of(index), std::min(client.timer, client.next_call_at));
}

void CoordinatorSimulation::session_renewed(std::size_t index, TimePoint own,
                                            const coordinator::SessionRenewed& renewed) {
    Client& client = clients_[index];
    if (client.session_id != renewed.session) ++result_.sessions;
    client.session_id = renewed.session;
    TimePoint until = renewed.until;
    if (is(CoordinatorMutant::LeaseFromResponse))
        until = own + settings_.lease * (1 - kMarginRatio) - kMargin;
    if (is(CoordinatorMutant::NoMargin)) until += settings_.lease * kMarginRatio + kMargin;
    if (is(CoordinatorMutant::PauseUnnoticed)) until = TimePoint::max();
    checker_.session_held(renewed.session, process_of(index), until);
}

void CoordinatorSimulation::session_lost(std::size_t index, const coordinator::SessionLost& lost) {
    Client& client = clients_[index];
    checker_.session_given_up(lost.session);
    for (std::uint64_t revision : std::exchange(client.held_timeouts, {}))
        checker_.timeout_given_up(revision);
    client.session_id = 0;
}

void CoordinatorSimulation::call_completed(std::size_t index, const coordinator::CallCompleted& completed) {
    Client& client = clients_[index];
    auto found = client.calls.extract(completed.call);
    if (found.empty()) return checker_.violated("a call was completed twice");
    const Call& call = found.mapped();
    const Error error = completed.error;
    if (error == Error::PossiblyExecuted) ++result_.possibly_executed;
    if (!is_expected(error))
        checker_.violated("a call was completed with " + std::string(coordinator::row(error).code));
    if (error != Error::None) return;
    if (is_last_phase_) client.served_at_end = true;
    if (!call.operation) {
        const std::uint64_t revision = std::stoull(completed.result);
        if (revision == 0) return;
        client.held_timeouts.push_back(revision);
        const Duration held{call.hold_ms * (1 - kMarginRatio) - kMargin.count()};
        return checker_.timeout_held(revision, process_of(index), call.requested_at + held);
    }
    // The result of a query is "LENGTH LAST", that of a command "PLACE".
    const std::size_t space = completed.result.find(' ');
    const bool is_query = space != std::string::npos;
    ++(is_query ? result_.queries : result_.commands);
    checker_.completed(*call.operation, net_.now(), std::stoull(completed.result),
                       is_query ? completed.result.substr(space + 1) : "");
}

void CoordinatorSimulation::make_call(std::size_t index, TimePoint own) {
    Client& client = clients_[index];
    client.next_call_at = own + Duration{settings_.no_random_faults ? 40 : 20 + 150 * net_.uniform()};
    if (client.calls.size() > kMaxPendingCalls) return;
    const double choice = net_.uniform();
    const std::uint64_t call = client.next_call++;
    if (choice < 0.3) {
        client.calls[call] = {checker_.requested(net_.now(), false, ""), own, 0};
        handle(index, own, coordinator::QueryRequested{call, "list", ""});
    } else if (choice < 0.4) {
        const double hold_ms = 300 + 900 * net_.uniform();
        client.calls[call] = {std::nullopt, own, hold_ms};
        handle(index, own, coordinator::CommandRequested{call, "list", "hold " + std::to_string(hold_ms)});
    } else {
        const std::string tag = process_name('p', index) + "." + std::to_string(client.instance) + "." +
                                std::to_string(++client.tags);
        client.calls[call] = {checker_.requested(net_.now(), true, tag), own, 0};
        handle(index, own, coordinator::CommandRequested{call, "list", tag});
    }
}

void CoordinatorSimulation::client_timer(std::size_t index, TimePoint own) {
    if (!clients_[index].session) return;
    handle(index, own, coordinator::SessionTimerFired{});
    if (own >= clients_[index].next_call_at) make_call(index, own);
}

void CoordinatorSimulation::client_packet(std::size_t index, std::size_t from, TimePoint own,
                                          const Packet& packet) {
    if (!clients_[index].session) return;
    const std::string address = members_[from].address;
    if (packet.kind == Packet::Kind::Disconnect)
        handle(index, own, coordinator::Disconnected{address});
    else
        handle(index, own, coordinator::ResponseReceived{address, packet.body});
}

}  // namespace ochrehub::lab
