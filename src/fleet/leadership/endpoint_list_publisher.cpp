#include "fleet/leadership/endpoint_list_publisher.h"

#include <algorithm>
#include <utility>

namespace ochrehub::leadership::endpoint_list {

void Owner::handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions) {
    if (auto* began = std::get_if<Began>(&event)) {
        begin(now, began->epoch, actions);
    } else if (std::get_if<Halted>(&event)) {
        if (phase_ == Phase::Asking) actions.push_back(DropWatch{});
        phase_ = Phase::Idle;
        // A report on its way bears its epoch; nothing is said again.
        actions.push_back(AtRest{});
    } else if (auto* told = std::get_if<Told>(&event)) {
        if (phase_ != Phase::Asking || told->call != calls_) return;
        heard_ = now, failures_ = 0;
        index_ = told->listing.revision;
        actions.push_back(UseTold{told->listing});
        say(now, report(epoch_, version_, round_, told->listing), actions);
    } else if (auto* fails = std::get_if<Failed>(&event)) {
        if (phase_ == Phase::Asking && fails->call == calls_) failed(now, actions);
    } else if (auto* answer = std::get_if<Answered>(&event)) {
        answered(now, *answer, actions);
    } else if (phase_ != Phase::Idle && phase_ != Phase::GivenBack && now >= due_) {
        if (phase_ == Phase::Waiting) return ask(now, actions);
        if (phase_ == Phase::Asking) {
            actions.push_back(DropWatch{});
            return failed(now, actions);
        }
        if (set_.again <= Duration{0}) return;
        actions.push_back(Say{numbers_, said_});
        wait_until(now + set_.again, actions);
    }
}

void Owner::begin(TimePoint now, Epoch epoch, OwnerActions& actions) {
    epoch_ = epoch;
    index_.reset();
    failures_ = 0;
    heard_ = now;
    say(now, open(epoch), actions);
}

void Owner::wait_until(TimePoint at, OwnerActions& actions) {
    due_ = at;
    actions.push_back(OwnerWakeAt{at});
}

void Owner::say(TimePoint now, std::string command, OwnerActions& actions) {
    phase_ = Phase::Saying;
    said_ = std::move(command);
    actions.push_back(Say{++numbers_, said_});
    if (set_.again > Duration{0}) wait_until(now + set_.again, actions);
}

void Owner::ask(TimePoint now, OwnerActions& actions) {
    phase_ = Phase::Asking;
    actions.push_back(Watch{++calls_, index_, set_.wait});
    wait_until(now + (index_ ? set_.wait : Duration{0}) + set_.late, actions);
}

void Owner::failed(TimePoint now, OwnerActions& actions) {
    if (now - heard_ >= set_.patience) {
        phase_ = Phase::GivenBack;
        actions.push_back(GiveBack{});
        return;
    }
    phase_ = Phase::Waiting;
    Duration wait = set_.first;
    for (int i = 0; i < failures_ && wait < set_.most; ++i) wait *= 2;
    ++failures_;
    wait_until(now + std::min(wait, set_.most), actions);
}

void Owner::answered(TimePoint now, const Answered& event, OwnerActions& actions) {
    std::optional<Answer> answer = read_answer(event.answer);
    if (phase_ != Phase::Saying || event.number != numbers_ || !answer) return;
    if (answer->error == Error::Stale || answer->error == Error::Malformed ||
        answer->error == Error::TooMuch) {
        phase_ = Phase::GivenBack;
        actions.push_back(GiveBack{});
        return;
    }
    // A report whose first answer was lost comes back as of a closed round: what stands there now is asked
    // for from the start.
    if (answer->error) return begin(now, epoch_, actions);
    version_ = answer->version, round_ = answer->round;
    ask(now, actions);
}

}  // namespace ochrehub::leadership::endpoint_list
