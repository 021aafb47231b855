#include "fleet/leadership/endpoint_list_publisher.h"

#include <algorithm>
#include <utility>

namespace ochrehub::leadership::endpoint_list {

namespace {

/// Errors that opening the epoch again cannot mend.
bool is_permanent(Error error) {
    return error == Error::StaleEpoch || error == Error::Malformed || error == Error::LimitExceeded;
}

}  // namespace

void Publisher::handle(TimePoint now, const PublisherEvent& event, PublisherActions& actions) {
    std::visit([&](const auto& alternative) { on(now, alternative, actions); }, event);
}

void Publisher::on(TimePoint now, const LeaseAcquired& event, PublisherActions& actions) {
    epoch_ = event.epoch;
    open_epoch(now, actions);
}

void Publisher::on(TimePoint /*now*/, const LeaseRevoked& /*event*/, PublisherActions& actions) {
    if (phase_ == Phase::Watching) actions.push_back(CancelWatch{});
    phase_ = Phase::Idle;
    // A command in flight bears its epoch, and is not sent again.
    actions.push_back(PublisherStopped{});
}

void Publisher::on(TimePoint now, const DiscoveryCompleted& event, PublisherActions& actions) {
    if (phase_ != Phase::Watching || event.watch_id != last_watch_id_) return;
    last_discovery_response_ = now;
    failures_ = 0;
    revision_ = event.result.revision;
    actions.push_back(UseDiscoveryResult{event.result});
    send(now, report_command({epoch_, version_, open_round_}, event.result), actions);
}

void Publisher::on(TimePoint now, const DiscoveryFailed& event, PublisherActions& actions) {
    if (phase_ == Phase::Watching && event.watch_id == last_watch_id_) on_watch_failed(now, actions);
}

void Publisher::on(TimePoint now, const CommandCompleted& event, PublisherActions& actions) {
    std::optional<CommandResponse> response = decode_command_response(event.response);
    if (phase_ != Phase::Reporting || event.request_id != last_request_id_ || !response) return;
    if (response->error && is_permanent(*response->error)) return release(actions);
    // A report whose first response was lost is rejected as of a closed round. The list may have changed by
    // it: discovery is polled for the full list.
    if (response->error) return open_epoch(now, actions);
    version_ = response->version;
    open_round_ = response->open_round;
    watch(now, actions);
}

void Publisher::on(TimePoint now, const PublisherTimerFired& /*event*/, PublisherActions& actions) {
    if (phase_ == Phase::Idle || phase_ == Phase::Released || now < timer_at_) return;
    if (phase_ == Phase::BackingOff) {
        watch(now, actions);
    } else if (phase_ == Phase::Watching) {
        actions.push_back(CancelWatch{});
        on_watch_failed(now, actions);
    } else if (settings_.retry_interval > Duration{0}) {
        actions.push_back(SendCommand{last_request_id_, last_command_});
        set_timer(now + settings_.retry_interval, actions);
    }
}

void Publisher::open_epoch(TimePoint now, PublisherActions& actions) {
    revision_.reset();
    failures_ = 0;
    last_discovery_response_ = now;
    send(now, open_epoch_command(epoch_), actions);
}

void Publisher::send(TimePoint now, std::string command, PublisherActions& actions) {
    phase_ = Phase::Reporting;
    last_command_ = std::move(command);
    ++last_request_id_;
    actions.push_back(SendCommand{last_request_id_, last_command_});
    if (settings_.retry_interval > Duration{0}) set_timer(now + settings_.retry_interval, actions);
}

void Publisher::watch(TimePoint now, PublisherActions& actions) {
    phase_ = Phase::Watching;
    ++last_watch_id_;
    actions.push_back(StartWatch{last_watch_id_, revision_, settings_.watch_timeout});
    // The full list is returned at once: only changes are waited for.
    const Duration wait = revision_ ? settings_.watch_timeout : Duration{0};
    set_timer(now + wait + settings_.response_grace, actions);
}

void Publisher::on_watch_failed(TimePoint now, PublisherActions& actions) {
    if (now - last_discovery_response_ >= settings_.discovery_timeout) return release(actions);
    phase_ = Phase::BackingOff;
    Duration backoff = settings_.initial_backoff;
    for (int i = 0; i < failures_ && backoff < settings_.max_backoff; ++i) backoff *= 2;
    ++failures_;
    set_timer(now + std::min(backoff, settings_.max_backoff), actions);
}

void Publisher::release(PublisherActions& actions) {
    phase_ = Phase::Released;
    actions.push_back(ReleaseLease{});
}

void Publisher::set_timer(TimePoint at, PublisherActions& actions) {
    timer_at_ = at;
    actions.push_back(PublisherSetTimer{at});
}

}  // namespace ochrehub::leadership::endpoint_list
