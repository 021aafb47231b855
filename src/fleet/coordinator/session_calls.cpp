// Commands and queries of a session: order, retries and their deadlines.
#include <coordinator.pb.h>

#include <algorithm>
#include <utility>

#include "fleet/coordinator/session.h"

namespace ochrehub::coordinator {

void Session::handle_event(const CommandRequested& event) {
    if (session_ == 0) return complete(event.call, Error::NoSession);
    if (pending_calls() >= settings_.max_pending_calls) return complete(event.call, Error::Busy);
    if (event.body.size() > settings_.max_command_bytes) return complete(event.call, Error::TooLong);
    PendingCall command;
    command.caller_id = event.call;
    command.wire_id = next_wire_id_++;
    command.sequence = next_sequence_++;
    command.kind = event.kind;
    command.body = event.body;
    commands_.push_back(std::move(command));
}

void Session::handle_event(const QueryRequested& event) {
    if (is_closed_) return complete(event.call, Error::NoSession);
    if (pending_calls() >= settings_.max_pending_calls) return complete(event.call, Error::Busy);
    PendingCall query;
    query.caller_id = event.call;
    query.wire_id = next_wire_id_++;
    query.kind = event.kind;
    query.body = event.body;
    query.deadline = now_ + settings_.query_timeout;
    queries_.push_back(std::move(query));
}

void Session::handle_command_response(const std::string& from, const wire::Response& response) {
    auto command = std::find_if(commands_.begin(), commands_.end(),
                                [&](const PendingCall& call) { return call.wire_id == response.call(); });
    const auto error = Error(response.error());
    switch (error) {
        case Error::NoSession:
            return lose_session();
        case Error::NotLeader:
        case Error::Busy:
        case Error::PossiblyExecuted:
        case Error::OutOfOrder:
            // Commands go in order: those behind it are sent again too.
            for (; command != commands_.end(); ++command) command->is_sent = false;
            return handle_rejection(from, response);
        default:
            failures_ = 0;
            complete(command->caller_id, error, response.result());
            commands_.erase(command);
    }
}

void Session::handle_query_response(const std::string& from, const wire::Response& response) {
    auto query = std::find_if(queries_.begin(), queries_.end(),
                              [&](const PendingCall& call) { return call.wire_id == response.call(); });
    const auto error = Error(response.error());
    if (error == Error::NotLeader || error == Error::Busy || error == Error::PossiblyExecuted) {
        query->is_sent = false;
        return handle_rejection(from, response);
    }
    complete(query->caller_id, error, response.result());
    queries_.erase(query);
}

void Session::handle_rejection(const std::string& from, const wire::Response& response) {
    // A former target's rejection says nothing about the present one.
    if (from != target_) return;
    if (Error(response.error()) == Error::NotLeader) {
        if (target_leads_) leave_target(LeaveReason::NotLeader, response.leader_address());
        return;
    }
    resend_not_before_ = std::max(resend_not_before_, now_ + next_backoff());
}

void Session::expire_queries() {
    for (auto query = queries_.begin(); query != queries_.end();) {
        if (now_ < query->deadline) {
            ++query;
            continue;
        }
        complete(query->caller_id, Error::Unreachable);
        query = queries_.erase(query);
    }
}

void Session::send_pending_calls() {
    if (now_ < resend_not_before_) return;
    if (session_ != 0 && !commands_.empty()) send_commands();
    send_queries();
}

/// There must be a command.
void Session::send_commands() {
    const PendingCall& first = commands_.front();
    // Without a response to the first one all behind it are sent again too.
    if (first.is_sent && now_ >= resend_at(first))
        for (PendingCall& command : commands_) command.is_sent = false;
    // Responses may arrive out of order: acknowledged are those before the first command without one.
    const std::uint64_t acknowledged = first.sequence - 1;
    for (PendingCall& command : commands_) {
        if (command.sequence > acknowledged + settings_.max_inflight_commands) break;
        if (command.is_sent) continue;
        command.is_sent = true;
        command.was_sent = true;
        command.sent_at = now_;
        wire::Request request;
        request.set_call(command.wire_id);
        wire::Command& message = *request.mutable_command();
        message.set_session(session_);
        message.set_sequence(command.sequence);
        message.set_acknowledged(acknowledged);
        message.set_kind(command.kind);
        message.set_body(command.body);
        send(request);
    }
}

void Session::send_queries() {
    for (PendingCall& query : queries_) {
        if (query.is_sent && now_ < resend_at(query)) continue;
        query.is_sent = true;
        query.sent_at = now_;
        wire::Request request;
        request.set_call(query.wire_id);
        request.mutable_query()->set_kind(query.kind);
        request.mutable_query()->set_body(query.body);
        send(request);
    }
}

// The same sum decides when the timer fires and whether it is time: the difference to now may round
// otherwise.
TimePoint Session::resend_at(const PendingCall& call) const {
    return call.sent_at + settings_.resend_interval;
}

/// The next time at which a command must be sent, or a query sent or expired.
TimePoint Session::next_call_deadline() const {
    TimePoint next = TimePoint::max();
    bool any_unsent = false;
    const bool sends_calls = target_leads_ && !is_closed_;
    const auto add_resend = [&](const PendingCall& call) {
        if (call.is_sent)
            next = std::min(next, std::max(resend_at(call), resend_not_before_));
        else
            any_unsent = true;
    };
    if (sends_calls && !commands_.empty()) add_resend(commands_.front());
    for (const PendingCall& query : queries_) {
        next = std::min(next, query.deadline);
        if (sends_calls) add_resend(query);
    }
    for (const PendingCall& command : commands_) {
        const bool fits = command.sequence < commands_.front().sequence + settings_.max_inflight_commands;
        any_unsent |= !command.is_sent && fits;
    }
    if (sends_calls && any_unsent && resend_not_before_ > now_) next = std::min(next, resend_not_before_);
    return next;
}

}  // namespace ochrehub::coordinator
