#include "fleet/leadership/lease_holder.h"

#include <algorithm>
#include <utility>

namespace ochrehub::leadership {

namespace {

template <class... Ts>
struct overloaded : Ts... {
    using Ts::operator()...;
};
template <class... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

}  // namespace

std::string_view name(Why why) {
    constexpr std::string_view kNames[] = {"lease", "lost", "give back", "unwanted", "taken"};
    return kNames[std::size_t(why)];
}

void Owner::handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions) {
    look_at_clock(now, actions);
    std::visit(overloaded{
                   [&](const SessionHeld& e) { held(now, e, actions); },
                   [&](const SessionLost&) { lost(actions); },
                   [&](const Heard& e) { heard(now, e, actions); },
                   [&](const Answered& e) { answered(now, e, actions); },
                   [&](const WantDuty& e) {
                       if (leaving_) return;
                       Wish& mine = wishes_[e.name];
                       if (mine.weight != e.weight) mine = {e.weight, false};
                       wish(now, actions);
                   },
                   [&](const UnwantDuty& e) { unwant(now, e.name, actions); },
                   [&](const Stopped& e) { stopped(now, e, actions); },
                   [&](const JobDone& e) { job_done(now, e, actions); },
                   [&](const Told& e) { told(now, e, actions); },
                   [&](const HandBack& e) {
                       auto it = works_.find(e.name);
                       if (it == works_.end() || it->second.epoch != e.epoch || it->second.stopping) return;
                       it->second.give_up = true;
                       stop(it, Why::GiveBack, actions);
                   },
                   [&](const Leave&) {
                       leaving_ = true;
                       while (!wishes_.empty()) unwant(now, std::string(wishes_.begin()->first), actions);
                   },
                   [&](const Woken&) {
                       if (!lease(now) || set_.again <= Duration{0}) return;
                       for (auto& [number, waiting] : waiting_)
                           if (waiting.again <= now) {
                               waiting.again = now + set_.again;
                               actions.push_back(Say{number, session_, waiting.command});
                           }
                   },
               },
               event);
    see_whether_left(actions);
    if (!lease(now)) return;
    TimePoint at = until_ - set_.margin;
    if (set_.again > Duration{0})
        for (const auto& [number, waiting] : waiting_) at = std::min(at, waiting.again);
    if (!works_.empty() || !waiting_.empty()) actions.push_back(WakeAt{at});
}

std::optional<Epoch> Owner::may(TimePoint now, std::string_view duty) const {
    auto it = works_.find(duty);
    if (!lease(now) || it == works_.end() || it->second.stopping || it->second.ended) return std::nullopt;
    return it->second.epoch;
}

std::size_t Owner::running() const {
    return std::size_t(
        std::count_if(works_.begin(), works_.end(), [](const auto& work) { return !work.second.stopping; }));
}

void Owner::look_at_clock(TimePoint now, OwnerActions& actions) {
    if (session_ == 0 || lease(now)) return;
    for (auto it = works_.begin(); it != works_.end(); ++it) stop(it, Why::Lease, actions);
}

void Owner::stop(Works::iterator it, Why why, OwnerActions& actions) {
    if (std::exchange(it->second.stopping, true)) return;
    actions.push_back(Stop{it->first, it->second.epoch, why});
}

void Owner::held(TimePoint now, const SessionHeld& event, OwnerActions& actions) {
    if (event.session <= past_ || event.session < session_) return;
    if (event.session > session_) {
        lost(actions);
        session_ = event.session, until_ = event.until, revision_ = 0;
        given_up_.clear();
        for (auto& [duty, mine] : wishes_) mine.told = false;
    }
    until_ = std::max(until_, event.until);
    if (lease(now)) wish(now, actions);
}

void Owner::lost(OwnerActions& actions) {
    for (auto it = works_.begin(); it != works_.end(); ++it) {
        stop(it, Why::Lost, actions);
        it->second.give_up = false;  // the keepers take it by themselves
    }
    past_ = std::max(past_, session_);
    session_ = 0;
    waiting_.clear();
}

void Owner::heard(TimePoint now, const Heard& event, OwnerActions& actions) {
    if (event.session != session_ || !lease(now)) return;
    std::optional<SessionUpdate> news = decode_session_update(event.news);
    if (!news || news->revision < revision_) return;
    revision_ = news->revision;
    for (auto it = works_.begin(); it != works_.end(); ++it) {
        bool mine = std::any_of(news->owned.begin(), news->owned.end(), [&](const HeldLease& one) {
            return one.name == it->first && one.epoch == it->second.epoch;
        });
        if (!mine) stop(it, Why::Taken, actions);
    }
    for (const HeldLease& one : news->owned) {
        auto given = given_up_.find(one.name);
        if (given != given_up_.end() && given->second >= one.epoch) continue;
        auto it = works_.find(one.name);
        bool wished = wishes_.contains(one.name);
        if (it != works_.end()) {
            if (it->second.epoch != one.epoch || !one.give_back) continue;
            it->second.give_up = true;
            stop(it, Why::GiveBack, actions);
        } else if (wished && !one.give_back) {
            Work& work = works_[one.name];
            work.epoch = one.epoch, work.ended = one.ended;
            if (one.ended)
                actions.push_back(Retire{one.name, one.epoch});
            else
                actions.push_back(Begin{one.name, one.epoch});
        } else {  // nothing of it ever ran here, or it has come to rest
            given_up_[one.name] = one.epoch;
            say(now,
                {release_lease_command(one.name, one.epoch, wished),
                 one.name,
                 Waiting::Kind::GiveUp,
                 one.epoch,
                 {}},
                actions);
        }
    }
}

void Owner::stopped(TimePoint now, const Stopped& event, OwnerActions& actions) {
    auto it = works_.find(event.name);
    if (it == works_.end() || it->second.epoch != event.epoch || !it->second.stopping) return;
    Work work = it->second;
    works_.erase(it);
    bool wished = wishes_.contains(event.name);
    if (session_ == 0 || (!work.give_up && wished)) return;
    given_up_[event.name] = work.epoch;
    say(now,
        {release_lease_command(event.name, work.epoch, wished),
         event.name,
         Waiting::Kind::GiveUp,
         work.epoch,
         {}},
        actions);
}

// It is no work any more from here on: `may` says no, and news of it as it was a moment ago does not begin it
// again.
void Owner::job_done(TimePoint now, const JobDone& event, OwnerActions& actions) {
    auto it = works_.find(event.name);
    if (it == works_.end() || it->second.epoch != event.epoch || it->second.stopping || session_ == 0) return;
    if (std::exchange(it->second.ended, true)) return;
    say(now, {complete_job_command(event.name, event.epoch), event.name, Waiting::Kind::End, event.epoch, {}},
        actions);
}

void Owner::told(TimePoint now, const Told& event, OwnerActions& actions) {
    auto it = works_.find(event.name);
    if (it == works_.end() || it->second.epoch != event.epoch || it->second.stopping || !it->second.ended ||
        session_ == 0)
        return;
    works_.erase(it);
    given_up_[event.name] = event.epoch;
    say(now, {remove_job_command(event.name, event.epoch), event.name, Waiting::Kind::Over, event.epoch, {}},
        actions);
}

void Owner::unwant(TimePoint now, std::string_view duty, OwnerActions& actions) {
    auto mine = wishes_.find(duty);
    if (mine == wishes_.end()) return;
    std::string own(duty);
    wishes_.erase(mine);
    auto it = works_.find(own);
    if (it != works_.end()) {
        it->second.give_up = session_ != 0;
        stop(it, Why::Unwanted, actions);
    } else if (session_ != 0) {
        say(now, {leadership::withdraw_candidacy_command(own), own, Waiting::Kind::Unwant, 0, {}}, actions);
    }
}

void Owner::wish(TimePoint now, OwnerActions& actions) {
    if (!lease(now)) return;
    for (auto& [duty, mine] : wishes_)
        if (!std::exchange(mine.told, true))
            say(now, {leadership::add_candidacy_command(duty, mine.weight), duty, Waiting::Kind::Want, 0, {}},
                actions);
}

void Owner::say(TimePoint now, Waiting waiting, OwnerActions& actions) {
    waiting.again = now + set_.again;
    actions.push_back(Say{++numbers_, session_, waiting.command});
    waiting_.emplace(numbers_, std::move(waiting));
}

void Owner::answered(TimePoint now, const Answered& event, OwnerActions& actions) {
    auto asked = waiting_.find(event.number);
    std::optional<CommandResponse> answer = decode_command_response(event.answer);
    if (asked == waiting_.end() || !answer) return;
    Waiting waiting = std::move(asked->second);
    waiting_.erase(asked);
    if (waiting.kind == Waiting::Kind::End) {
        auto it = works_.find(waiting.name);
        if (answer->error || !lease(now) || it == works_.end() || it->second.epoch != waiting.epoch ||
            it->second.stopping)
            return;
        it->second.ended = true;  // it may have stopped and begun again since it was asked
        actions.push_back(Retire{waiting.name, waiting.epoch});
    } else if (waiting.kind == Waiting::Kind::Over) {
        wishes_.erase(waiting.name);  // Over said again, behind an answer that was lost, is over too
    } else if (waiting.kind == Waiting::Kind::Want && answer->error) {
        auto mine = wishes_.find(waiting.name);
        if (mine == wishes_.end()) return;
        actions.push_back(Refused{waiting.name, *answer->error});
        if (row(*answer->error).passes)
            mine->second.told = false;  // with the next renewal
        else
            wishes_.erase(mine);
    }
}

void Owner::see_whether_left(OwnerActions& actions) {
    if (!leaving_ || left_ || !works_.empty() || !waiting_.empty()) return;
    left_ = true;
    actions.push_back(Left{});
}

}  // namespace ochrehub::leadership
