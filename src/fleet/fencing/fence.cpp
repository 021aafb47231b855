#include "fleet/fencing/fence.h"

#include <algorithm>

namespace ochrehub::fencing {

std::string_view name(Verdict verdict) {
    constexpr std::string_view kNames[] = {"do",   "done",    "doing",     "never",  "stale",  "settled",
                                           "full", "not yet", "malformed", "behind", "retired"};
    return kNames[std::size_t(verdict)];
}

Fence::Duty* Fence::enter(std::string_view duty, std::uint64_t epoch, std::uint64_t step, Answer& why) {
    auto refuse = [&](Verdict verdict) -> Duty* {
        why.verdict = verdict;
        ++refused_;
        return nullptr;
    };
    if (epoch == 0 || step == 0 || duty.empty() || duty.size() > set_.name) return refuse(Verdict::Malformed);
    if (!ready_) return refuse(Verdict::NotYet);
    auto it = duties_.find(duty);
    why.stands = it == duties_.end() ? 0 : it->second.epoch;
    if (epoch < why.stands) return refuse(Verdict::Stale);
    if (it == duties_.end()) {
        auto over = retired_.find(duty);
        if (over != retired_.end()) {
            why.stands = over->second;
            if (epoch <= why.stands) return refuse(Verdict::Stale);
        } else if (epoch <= bound_) {
            why.stands = bound_;
            return refuse(Verdict::Behind);
        }
    }
    if (it == duties_.end() && duties_.size() >= set_.duties) return refuse(Verdict::Full);
    if (epoch > why.stands) change(Kind::Epoch, duty, epoch);
    why.stands = epoch;
    return &duties_.find(duty)->second;
}

Answer Fence::begin(std::string_view name, std::uint64_t epoch, std::uint64_t step) {
    Answer answer;
    Duty* duty = enter(name, epoch, step, answer);
    if (!duty) return answer;
    auto found = duty->steps.find(step);
    if (step <= duty->settled) {
        answer.verdict = Verdict::Settled;
    } else if (found != duty->steps.end()) {
        answer.verdict = found->second.done ? Verdict::Done : Verdict::Doing;
        answer.outcome = found->second.outcome;
    } else if (steps_ >= set_.steps) {
        answer.verdict = Verdict::Full;
        ++refused_;
    } else {
        change(Kind::Begun, name, step);
        answer.verdict = Verdict::Do;
    }
    return answer;
}

bool Fence::done(std::string_view name, std::uint64_t step, std::string_view outcome) {
    auto duty = duties_.find(name);
    if (duty == duties_.end() || outcome.size() > set_.outcome) return false;
    auto found = duty->second.steps.find(step);
    if (found == duty->second.steps.end() || found->second.done) return false;
    change(Kind::Done, name, step, outcome);
    return true;
}

Answer Fence::look(std::string_view name, std::uint64_t epoch, std::uint64_t step) {
    Answer answer;
    Duty* duty = enter(name, epoch, step, answer);
    if (!duty) return answer;
    auto found = duty->steps.find(step);
    answer.verdict = step <= duty->settled        ? Verdict::Settled
                     : found == duty->steps.end() ? Verdict::Never
                     : found->second.done         ? Verdict::Done
                                                  : Verdict::Doing;
    if (found != duty->steps.end()) answer.outcome = found->second.outcome;
    return answer;
}

Answer Fence::settle(std::string_view name, std::uint64_t epoch, std::uint64_t step) {
    Answer answer;
    Duty* duty = enter(name, epoch, step, answer);
    if (!duty) return answer;
    if (step > duty->settled) change(Kind::Settled, name, step);
    answer.verdict = Verdict::Settled;
    return answer;
}

Answer Fence::retire(std::string_view name, std::uint64_t epoch) {
    Answer answer;
    answer.stands = stands(name);
    if (epoch == 0 || name.empty() || name.size() > set_.name) {
        answer.verdict = Verdict::Malformed;
    } else if (!ready_) {
        answer.verdict = Verdict::NotYet;
    } else if (epoch < answer.stands) {
        answer.verdict = Verdict::Stale;
    } else {
        // One that was never heard of here too: what is late of it would be taken for new.
        if (!retired_.contains(name) || epoch > answer.stands) change(Kind::Retired, name, epoch);
        answer.verdict = Verdict::Retired;
        answer.stands = epoch;
        return answer;
    }
    ++refused_;
    return answer;
}

void Fence::learnt(std::string_view name, std::uint64_t epoch) {
    auto it = duties_.find(name);
    if (epoch == 0 || name.empty() || name.size() > set_.name || stands(name) >= epoch) return;
    if (it == duties_.end() && duties_.size() >= set_.duties) return;
    change(Kind::Epoch, name, epoch);
}

std::uint64_t Fence::stands(std::string_view name) const {
    auto it = duties_.find(name);
    if (it != duties_.end()) return it->second.epoch;
    auto over = retired_.find(name);
    return over == retired_.end() ? 0 : over->second;
}

// ---- What lasts

void Fence::change(Kind kind, std::string_view duty, std::uint64_t number, std::string_view outcome) {
    changes_.push_back(record(kind, duty, number, outcome));
    take(kind, duty, number, outcome);
}

void Fence::forget_retired(std::string_view duty) {
    auto it = retired_.find(duty);
    if (it == retired_.end()) return;
    oldest_.erase({it->second, it->first});
    retired_.erase(it);
}

void Fence::take_retired(std::string_view name, std::uint64_t epoch) {
    auto it = duties_.find(name);
    if (it != duties_.end()) {
        steps_ -= it->second.steps.size();
        duties_.erase(it);
    }
    forget_retired(name);
    retired_.emplace(std::string(name), epoch);
    oldest_.emplace(epoch, std::string(name));
    while (oldest_.size() > set_.retired) {
        bound_ = std::max(bound_, oldest_.begin()->first);
        retired_.erase(oldest_.begin()->second);
        oldest_.erase(oldest_.begin());
    }
}

void Fence::take(Kind kind, std::string_view name, std::uint64_t number, std::string_view outcome) {
    if (kind == Kind::Retired) return take_retired(name, number);
    if (kind == Kind::Bound) return void(bound_ = std::max(bound_, number));
    forget_retired(name);  // it is there again, under a higher epoch
    Duty& duty = duties_.try_emplace(std::string(name)).first->second;
    switch (kind) {
        case Kind::Epoch:
            duty.epoch = std::max(duty.epoch, number);
            break;
        case Kind::Begun:
            steps_ += duty.steps.try_emplace(number).second;
            break;
        case Kind::Done:
            steps_ += duty.steps.try_emplace(number).second;
            duty.steps[number] = {true, std::string(outcome)};
            break;
        case Kind::Settled:
            duty.settled = std::max(duty.settled, number);
            for (auto it = duty.steps.begin(); it != duty.steps.end() && it->first <= number;) {
                it = duty.steps.erase(it);
                --steps_;
            }
            break;
        case Kind::Retired:
        case Kind::Bound:
            break;
    }
}

// kind 1, number 8, length of the name 1, name, outcome
std::string Fence::record(Kind kind, std::string_view duty, std::uint64_t number, std::string_view outcome) {
    std::string out(1, char(kind));
    for (int shift = 56; shift >= 0; shift -= 8) out += char(number >> shift);
    out += char(duty.size());
    out += duty;
    return out += outcome;
}

bool Fence::replay(std::string_view record) {
    if (record.size() < 11) return false;
    Kind kind = Kind(record[0]);
    if (kind != Kind::Epoch && kind != Kind::Begun && kind != Kind::Done && kind != Kind::Settled &&
        kind != Kind::Retired && kind != Kind::Bound)
        return false;
    std::uint64_t number = 0;
    for (std::size_t i = 1; i < 9; ++i) number = number << 8 | static_cast<unsigned char>(record[i]);
    std::size_t length = static_cast<unsigned char>(record[9]);
    if (length == 0 || length > record.size() - 10 || number == 0) return false;
    if (kind != Kind::Done && record.size() != 10 + length) return false;
    take(kind, record.substr(10, length), number, record.substr(10 + length));
    return true;
}

std::vector<std::string> Fence::snapshot() const {
    std::vector<std::string> all;
    if (bound_ > 0) all.push_back(record(Kind::Bound, "-", bound_, {}));
    for (const auto& [epoch, name] : oldest_) all.push_back(record(Kind::Retired, name, epoch, {}));
    for (const auto& [name, duty] : duties_) {
        if (duty.epoch > 0) all.push_back(record(Kind::Epoch, name, duty.epoch, {}));
        if (duty.settled > 0) all.push_back(record(Kind::Settled, name, duty.settled, {}));
        for (const auto& [number, step] : duty.steps)
            all.push_back(record(step.done ? Kind::Done : Kind::Begun, name, number, step.outcome));
    }
    return all;
}

}  // namespace ochrehub::fencing
