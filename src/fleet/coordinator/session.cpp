#include "fleet/coordinator/session.h"

#include <coordinator.pb.h>

#include <algorithm>
#include <utility>

namespace ochrehub::coordinator {
namespace {

/// The margin by which a client's lease ends early: a part of the lease, for the difference between the rates
/// of two machines' clocks, and a constant.
constexpr double kLeaseMarginRatio = 0.01;
constexpr Duration kLeaseMargin{50};
/// Hints in a row that are followed without a pause.
constexpr int kMaxHintsFollowed = 3;
/// How long a hint to a coordinator that did not respond is ignored.
constexpr Duration kUnresponsivePenalty{1500};
/// Of the lease, from one renewal to the next.
constexpr int kRenewalsPerLease = 3;
constexpr int kMaxBackoffDoublings = 10;

}  // namespace

Session::Session(const SessionSettings& settings)
    : settings_(settings), random_(settings.seed), coordinators_(settings.coordinators) {
    if (!coordinators_.empty())
        target_ = coordinators_[std::size_t(uniform() * double(coordinators_.size()))];
}

void Session::handle(TimePoint now, const SessionEvent& event, SessionActions& actions) {
    now_ = now;
    actions_ = &actions;
    // First of all: after a pause the session is lost, whatever has been received meanwhile.
    if (session_ != 0 && now_ >= until_) lose_session();
    std::visit([this](const auto& each) { handle_event(each); }, event);
    run_due_work();
    actions_ = nullptr;
}

void Session::run_due_work() {
    if (lease_request_.is_pending && now_ >= lease_request_.sent_at + settings_.response_timeout)
        leave_target(LeaveReason::NoResponse, {});
    expire_queries();
    const bool lease_request_due = !lease_request_.is_pending && now_ >= next_lease_request_at_;
    if (!is_closed_ && lease_request_due && !coordinators_.empty()) send_lease_request();
    if (!is_closed_ && target_leads_) send_pending_calls();
    set_timer();
}

void Session::handle_event(const ResponseReceived& event) {
    wire::Response response;
    if (!response.ParseFromString(event.body)) return;
    if (lease_request_.is_pending && response.call() == lease_request_.wire_id)
        return handle_lease_response(event.from, response);
    const auto is_answered = [&](const PendingCall& call) { return call.wire_id == response.call(); };
    if (std::any_of(commands_.begin(), commands_.end(), is_answered))
        return handle_command_response(event.from, response);
    if (std::any_of(queries_.begin(), queries_.end(), is_answered))
        handle_query_response(event.from, response);
}

void Session::handle_event(const Disconnected& event) {
    if (event.from == target_) leave_target(LeaveReason::NoResponse, {});
}

void Session::handle_event(const CloseRequested&) {
    if (is_closed_) return;
    is_closed_ = true;
    if (session_ != 0) {
        wire::Request request;
        request.set_call(next_wire_id_++);
        request.mutable_close()->set_session(session_);
        if (target_leads_) send(request);
        lose_session();
    }
    lease_request_.is_pending = false;
}

void Session::send(const wire::Request& request) {
    actions_->push_back(SendRequest{target_, request.SerializeAsString()});
}

void Session::complete(std::uint64_t call, Error error, std::string result) {
    actions_->push_back(CallCompleted{call, error, std::move(result)});
}

Duration Session::next_backoff() {
    const double doublings = double(1 << std::min(failures_, kMaxBackoffDoublings));
    const double max_ms = std::min(settings_.max_backoff.count(), settings_.min_backoff.count() * doublings);
    ++failures_;
    return Duration{max_ms * (0.5 + 0.5 * uniform())};
}

/// The target does not lead or does not respond: everything without a response goes to another coordinator.
void Session::leave_target(LeaveReason reason, const std::string& leader_hint) {
    if (reason == LeaveReason::NoResponse) {
        unresponsive_ = target_;
        unresponsive_since_ = now_;
    }
    target_leads_ = false;
    lease_request_.is_pending = false;
    for (PendingCall& command : commands_) command.is_sent = false;
    for (PendingCall& query : queries_) query.is_sent = false;
    if (is_usable(leader_hint) && hints_followed_ < kMaxHintsFollowed) {
        ++hints_followed_;
        target_ = leader_hint;
        next_lease_request_at_ = now_;
        return;
    }
    hints_followed_ = 0;
    next_lease_request_at_ = now_ + next_backoff();
    try_next_target();
}

bool Session::is_usable(const std::string& leader_hint) const {
    if (leader_hint.empty() || leader_hint == target_) return false;
    return leader_hint != unresponsive_ || now_ - unresponsive_since_ >= kUnresponsivePenalty;
}

void Session::try_next_target() {
    if (coordinators_.empty()) return;
    auto current = std::find(coordinators_.begin(), coordinators_.end(), target_);
    const std::size_t next =
        current == coordinators_.end() ? 0 : std::size_t(current - coordinators_.begin()) + 1;
    target_ = coordinators_[next % coordinators_.size()];
}

void Session::send_lease_request() {
    lease_request_ = {next_wire_id_++, now_, true, session_ == 0};
    wire::Request request;
    request.set_call(lease_request_.wire_id);
    if (lease_request_.opens) {
        wire::OpenSession& open = *request.mutable_open();
        open.set_name(settings_.name);
        open.set_zone(settings_.zone);
        open.set_instance(settings_.instance);
        open.set_attempt(attempt_);
        open.set_lease_ms(std::uint32_t(settings_.lease.count()));
        open.set_release(settings_.release);
        open.set_min_schema(settings_.min_schema);
        open.set_max_schema(settings_.max_schema);
    } else {
        request.mutable_renew()->set_session(session_);
    }
    send(request);
}

void Session::handle_lease_response(const std::string& from, const wire::Response& response) {
    const auto error = Error(response.error());
    if (error == Error::NoSession && !lease_request_.opens) return lose_session();
    if (error == Error::NotLeader) return leave_target(LeaveReason::NotLeader, response.leader_address());
    lease_request_.is_pending = false;
    if (error != Error::None) {
        // It leads, and another coordinator would give the same response. An open that was rejected needs a
        // new attempt.
        if (lease_request_.opens) ++attempt_;
        next_lease_request_at_ = now_ + next_backoff();
        return;
    }
    const TimePoint until = lease_request_.sent_at + settings_.lease * (1 - kLeaseMarginRatio) - kLeaseMargin;
    if (until <= now_) {
        // The response is too late to be of use. An open is repeated under the same attempt, which returns
        // the same session with a lease from then on.
        next_lease_request_at_ = now_;
        return;
    }
    accept_lease(from, response, until);
}

void Session::accept_lease(const std::string& from, const wire::Response& response, TimePoint until) {
    target_leads_ = true;
    target_ = from;
    hints_followed_ = 0;
    failures_ = 0;
    if (lease_request_.opens) {
        session_ = response.session();
        until_ = until;
    }
    until_ = std::max(until_, until);
    ++renewals_;
    next_lease_request_at_ = lease_request_.sent_at + settings_.lease / kRenewalsPerLease;
    update_coordinators(response);
    actions_->push_back(SessionRenewed{session_, until_});
    for (const wire::SessionUpdate& update : response.updates())
        actions_->push_back(SessionUpdate{update.kind(), update.bytes()});
}

void Session::lose_session() {
    const SessionId lost = std::exchange(session_, 0);
    ++sessions_lost_;
    ++attempt_;
    next_sequence_ = 1;
    lease_request_.is_pending = false;
    next_lease_request_at_ = now_;
    actions_->push_back(SessionLost{lost});
    for (const PendingCall& command : std::exchange(commands_, {}))
        complete(command.caller_id, command.was_sent ? Error::PossiblyExecuted : Error::NoSession);
}

/// The current members, and the configured addresses behind them.
void Session::update_coordinators(const wire::Response& response) {
    std::vector<std::string> addresses;
    for (const wire::Member& member : response.members())
        if (!member.address().empty()) addresses.push_back(member.address());
    if (addresses.empty()) return;
    for (const std::string& configured : settings_.coordinators)
        if (std::find(addresses.begin(), addresses.end(), configured) == addresses.end())
            addresses.push_back(configured);
    coordinators_ = std::move(addresses);
}

void Session::set_timer() {
    TimePoint at = TimePoint::max();
    if (session_ != 0) at = std::min(at, until_);
    if (!is_closed_ && !coordinators_.empty())
        at = std::min(at, lease_request_.is_pending ? lease_request_.sent_at + settings_.response_timeout
                                                    : next_lease_request_at_);
    at = std::min(at, next_call_deadline());
    if (at == timer_ && now_ < timer_) return;
    timer_ = at;
    if (at != TimePoint::max()) actions_->push_back(SetSessionTimer{at});
}

}  // namespace ochrehub::coordinator
