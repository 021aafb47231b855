#include "fleet/coordinator/session.h"

#include <coordinator.pb.h>

#include <algorithm>
#include <utility>

namespace ochrehub::coordinator {
namespace {

constexpr double kMarginPart =
    0.01;  // of the lease: clocks of two machines may be so far apart in their rate
constexpr Duration kMargin{50};
constexpr int kHops = 3;           // hints followed without a pause
constexpr Duration kSilent{1500};  // so long nobody is sent back to one that did not answer

}  // namespace

Session::Session(const SessionSettings& settings)
    : set_(settings), random_(settings.seed), keepers_(settings.coordinators) {
    if (!keepers_.empty()) target_ = keepers_[std::size_t(uniform() * double(keepers_.size()))];
}

void Session::handle(TimePoint now, const SessionEvent& event, SessionActions& actions) {
    now_ = now, out_ = &actions;
    // The clock before anything: a process that stood still holds nothing, whatever has arrived since.
    if (session_ != 0 && now_ >= until_) lose();
    if (const auto* one = std::get_if<ResponseReceived>(&event)) {
        heard(*one);
    } else if (const auto* cut = std::get_if<Disconnected>(&event)) {
        if (cut->from == target_) not_there(true, {});
    } else if (const auto* submit = std::get_if<CommandRequested>(&event)) {
        if (session_ == 0)
            out_->push_back(CallCompleted{submit->call, Error::NoSession, {}});
        else if (waiting() >= set_.max_pending_calls || submit->body.size() > set_.max_command_bytes)
            out_->push_back(CallCompleted{
                submit->call, waiting() >= set_.max_pending_calls ? Error::Busy : Error::TooLong, {}});
        else
            commands_.push_back({submit->call,
                                 next_call_++,
                                 next_number_++,
                                 submit->kind,
                                 submit->body,
                                 false,
                                 false,
                                 {},
                                 {}});
    } else if (const auto* question = std::get_if<QueryRequested>(&event)) {
        if (closed_ || waiting() >= set_.max_pending_calls)
            out_->push_back(CallCompleted{question->call, closed_ ? Error::NoSession : Error::Busy, {}});
        else
            questions_.push_back({question->call,
                                  next_call_++,
                                  0,
                                  question->kind,
                                  question->body,
                                  false,
                                  false,
                                  {},
                                  now_ + set_.query_timeout});
    } else if (std::holds_alternative<CloseRequested>(event) && !closed_) {
        closed_ = true;
        if (session_ != 0) {
            wire::Request ask;
            ask.set_call(next_call_++);
            ask.mutable_close()->set_session(session_);
            if (found_) say(ask);
            lose();
        }
        probe_.out = false;
    }
    if (probe_.out && now_ >= probe_.asked + set_.response_timeout) not_there(true, {});
    end_questions();
    if (!closed_ && !probe_.out && now_ >= try_at_ && !keepers_.empty()) probe();
    if (!closed_ && found_) send_waiting();
    wake();
    out_ = nullptr;
}

void Session::say(const wire::Request& ask) {
    out_->push_back(SendRequest{target_, ask.SerializeAsString()});
}

Duration Session::backoff() {
    double most =
        std::min(set_.max_backoff.count(), set_.min_backoff.count() * double(1 << std::min(failures_, 10)));
    ++failures_;
    return Duration{most * (0.5 + 0.5 * uniform())};
}

/// The one that was asked leads no more, or does not answer: what was sent goes to another.
void Session::not_there(bool silent, const std::string& hint) {
    if (silent) silent_ = target_, silent_at_ = now_;
    found_ = false, probe_.out = false;
    for (Sending& one : commands_) one.sent = false;
    for (Sending& one : questions_) one.sent = false;
    bool believed = !hint.empty() && hint != target_ && !(hint == silent_ && now_ - silent_at_ < kSilent);
    if (believed && hops_ < kHops) {
        ++hops_;
        target_ = hint, try_at_ = now_;
        return;
    }
    hops_ = 0;
    try_at_ = now_ + backoff();
    if (keepers_.empty()) return;
    auto at = std::find(keepers_.begin(), keepers_.end(), target_);
    std::size_t next = at == keepers_.end() ? 0 : std::size_t(at - keepers_.begin()) + 1;
    target_ = keepers_[next % keepers_.size()];
}

void Session::probe() {
    wire::Request ask;
    probe_ = {next_call_++, now_, true, session_ == 0};
    ask.set_call(probe_.call);
    if (session_ == 0) {
        wire::OpenSession& open = *ask.mutable_open();
        open.set_name(set_.name), open.set_zone(set_.zone), open.set_instance(set_.instance),
            open.set_attempt(attempt_);
        open.set_lease_ms(std::uint32_t(set_.lease.count())), open.set_release(set_.release);
        open.set_min_schema(set_.min_schema), open.set_max_schema(set_.max_schema);
    } else {
        ask.mutable_renew()->set_session(session_);
    }
    say(ask);
}

void Session::lose() {
    SessionId was = std::exchange(session_, 0);
    ++lost_;
    ++attempt_;
    next_number_ = 1;
    probe_.out = false, try_at_ = now_;
    out_->push_back(SessionLost{was});
    for (Sending& one : std::exchange(commands_, {}))
        out_->push_back(CallCompleted{one.call, one.ever ? Error::Uncertain : Error::NoSession, {}});
}

void Session::learn(const wire::Response& answer) {
    std::vector<std::string> now;
    for (const wire::Member& member : answer.members())
        if (!member.address().empty()) now.push_back(member.address());
    if (now.empty()) return;
    for (const std::string& told : set_.coordinators)
        if (std::find(now.begin(), now.end(), told) == now.end()) now.push_back(told);
    keepers_ = std::move(now);
}

void Session::heard(const ResponseReceived& heard) {
    wire::Response answer;
    if (!answer.ParseFromString(heard.body)) return;
    if (probe_.out && answer.call() == probe_.call) return answered_probe(heard.from, answer);
    auto is = [&](const Sending& one) { return one.ours == answer.call(); };
    if (std::any_of(commands_.begin(), commands_.end(), is)) return answered_command(heard.from, answer);
    if (std::any_of(questions_.begin(), questions_.end(), is)) answered_question(heard.from, answer);
}

void Session::answered_probe(const std::string& from, const wire::Response& answer) {
    auto error = Error(answer.error());
    if (error == Error::NoSession && !probe_.open) return lose();
    if (error == Error::NotLeader) return not_there(false, answer.leader_address());
    probe_.out = false;
    if (error != Error::None) {
        // Busy, too many, too long: it leads, and another would say the same.
        if (probe_.open) ++attempt_;
        try_at_ = now_ + backoff();
        return;
    }
    TimePoint until = probe_.asked + set_.lease * (1 - kMarginPart) - kMargin;
    if (until <= now_) {
        // Too late to be of use. A session that was opened so is asked for again under the same attempt, and
        // counts from then.
        try_at_ = now_;
        return;
    }
    found_ = true, target_ = from, hops_ = failures_ = 0;
    if (probe_.open) session_ = answer.session(), until_ = until;
    until_ = std::max(until_, until);
    ++renewals_;
    try_at_ = probe_.asked + set_.lease / 3;
    learn(answer);
    out_->push_back(SessionRenewed{session_, until_});
    for (const wire::SessionUpdate& news : answer.updates())
        out_->push_back(SessionUpdate{news.kind(), news.bytes()});
}

void Session::not_accepted(const std::string& from, const wire::Response& answer) {
    if (from != target_) return;  // of one that was left meanwhile
    if (Error(answer.error()) == Error::NotLeader) {
        if (found_) not_there(false, answer.leader_address());
        return;
    }
    resend_at_ = std::max(resend_at_, now_ + backoff());
}

void Session::answered_command(const std::string& from, const wire::Response& answer) {
    auto at = std::find_if(commands_.begin(), commands_.end(),
                           [&](const Sending& one) { return one.ours == answer.call(); });
    switch (auto error = Error(answer.error())) {
        case Error::NoSession:
            return lose();
        case Error::NotLeader:
        case Error::Busy:
        case Error::Uncertain:
        case Error::OutOfOrder:
            for (; at != commands_.end(); ++at) at->sent = false;  // in order, so those behind it too
            return not_accepted(from, answer);
        default:
            failures_ = 0;
            out_->push_back(CallCompleted{at->call, error, answer.result()});
            // Answers may overtake each other; what is settled goes up to the first that has none.
            commands_.erase(at);
    }
}

void Session::answered_question(const std::string& from, const wire::Response& answer) {
    auto at = std::find_if(questions_.begin(), questions_.end(),
                           [&](const Sending& one) { return one.ours == answer.call(); });
    auto error = Error(answer.error());
    if (error == Error::NotLeader || error == Error::Busy || error == Error::Uncertain) {
        at->sent = false;
        return not_accepted(from, answer);
    }
    out_->push_back(CallCompleted{at->call, error, answer.result()});
    questions_.erase(at);
}

void Session::end_questions() {
    for (auto at = questions_.begin(); at != questions_.end();) {
        if (now_ < at->ends) {
            ++at;
            continue;
        }
        out_->push_back(CallCompleted{at->call, Error::Unreachable, {}});
        at = questions_.erase(at);
    }
}

void Session::send_waiting() {
    if (now_ < resend_at_) return;
    if (session_ != 0 && !commands_.empty()) {
        // A first one without an answer for long: all behind it go again too.
        if (commands_.front().sent && now_ - commands_.front().at >= set_.resend_interval)
            for (Sending& one : commands_) one.sent = false;
        std::uint64_t settled = commands_.front().number - 1;
        for (Sending& one : commands_) {
            if (one.number > settled + set_.max_inflight_commands) break;
            if (one.sent) continue;
            one.sent = one.ever = true, one.at = now_;
            wire::Request ask;
            ask.set_call(one.ours);
            wire::Command& what = *ask.mutable_command();
            what.set_session(session_), what.set_sequence(one.number), what.set_acknowledged(settled);
            what.set_kind(one.kind), what.set_body(one.body);
            say(ask);
        }
    }
    for (Sending& one : questions_) {
        if (one.sent && now_ - one.at < set_.resend_interval) continue;
        one.sent = true, one.at = now_;
        wire::Request ask;
        ask.set_call(one.ours);
        ask.mutable_query()->set_kind(one.kind), ask.mutable_query()->set_body(one.body);
        say(ask);
    }
}

void Session::wake() {
    TimePoint at = TimePoint::max();
    auto sooner = [&](TimePoint t) { at = std::min(at, t); };
    if (session_ != 0) sooner(until_);
    if (!closed_ && !keepers_.empty()) sooner(probe_.out ? probe_.asked + set_.response_timeout : try_at_);
    bool unsent = false;
    auto waits = [&](const Sending& one) {
        if (one.sent) return sooner(std::max(one.at + set_.resend_interval, resend_at_));
        unsent = true;
    };
    if (found_ && !commands_.empty()) waits(commands_.front());
    for (const Sending& one : questions_) {
        sooner(one.ends);
        if (found_) waits(one);
    }
    for (const Sending& one : commands_)
        unsent |= !one.sent && one.number < commands_.front().number + set_.max_inflight_commands;
    if (found_ && unsent && resend_at_ > now_) sooner(resend_at_);
    if (at == wake_ && now_ < wake_) return;
    wake_ = at;
    if (at != TimePoint::max()) out_->push_back(SetSessionTimer{at});
}

}  // namespace ochrehub::coordinator
