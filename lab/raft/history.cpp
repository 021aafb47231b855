#include "lab/raft/history.h"

#include <algorithm>
#include <map>
#include <unordered_set>
#include <utility>

namespace ochrehub::lab {

std::string apply_call(Call::Kind kind, const std::string& value, const std::string& expected,
                       std::string& stands) {
    switch (kind) {
        case Call::Kind::Read:
            return stands;
        case Call::Kind::Write:
            stands = value;
            return {};
        case Call::Kind::Cas:
            if (stands != expected) return "0";
            stands = value;
            return "1";
        case Call::Kind::Append:
            return stands += value;
    }
    return {};
}

Judged judge_register(const std::vector<Call>& calls, std::uint64_t steps) {
    struct Event {
        double at;
        bool ends;
        std::size_t call;
        std::size_t before, after;  // a list, so that what is taken can be put back
    };
    // An open read says nothing.
    std::vector<Event> events(1);  // the first is the list's head
    std::size_t to_answer = 0;
    for (std::size_t i = 0; i < calls.size(); ++i) {
        bool open = calls[i].ended == Call::kOpen;
        if (open && calls[i].kind == Call::Kind::Read) continue;
        events.push_back({calls[i].began, false, i, 0, 0});
        if (!open) events.push_back({calls[i].ended, true, i, 0, 0}), ++to_answer;
    }
    std::stable_sort(events.begin() + 1, events.end(), [](const Event& a, const Event& b) {
        return a.at != b.at ? a.at < b.at : a.ends < b.ends;  // at one instant they may overlap
    });
    std::vector<std::size_t> end_of(calls.size(), 0);
    for (std::size_t i = 0; i < events.size(); ++i) {
        events[i].before = i == 0 ? events.size() - 1 : i - 1;
        events[i].after = i + 1 == events.size() ? 0 : i + 1;
        if (i > 0 && events[i].ends) end_of[events[i].call] = i;
    }
    auto lift = [&](std::size_t i) {
        events[events[i].before].after = events[i].after;
        events[events[i].after].before = events[i].before;
    };
    auto put_back = [&](std::size_t i) {
        events[events[i].before].after = i;
        events[events[i].after].before = i;
    };
    struct Taken {
        std::size_t event;
        std::string stood;
    };
    std::vector<Taken> taken;
    std::string state, done(calls.size(), '0');
    std::unordered_set<std::string> tried;
    std::size_t at = events[0].after;
    while (to_answer > 0) {
        if (steps-- == 0) return Judged::Undecided;
        if (at != 0 && !events[at].ends) {
            const Call& call = calls[events[at].call];
            std::string next = state;
            std::string answer = apply_call(call.kind, call.value, call.expected, next);
            bool open = call.ended == Call::kOpen;
            if (open || answer == call.answer) {
                done[events[at].call] = '1';
                if (tried.insert(done + next).second) {
                    taken.push_back({at, std::exchange(state, std::move(next))});
                    lift(at);
                    if (!open) lift(end_of[events[at].call]), --to_answer;
                    at = events[0].after;
                    continue;
                }
                done[events[at].call] = '0';
            }
            at = events[at].after;
            continue;
        }
        // An answer came up whose call is not taken, or the end: back.
        if (taken.empty()) return Judged::NotLinearizable;
        Taken last = std::move(taken.back());
        taken.pop_back();
        std::size_t call = events[last.event].call;
        if (end_of[call] != 0) put_back(end_of[call]), ++to_answer;
        put_back(last.event);
        done[call] = '0';
        state = std::move(last.stood);
        at = events[last.event].after;
    }
    return Judged::Linearizable;
}

HistoryResult judge_history(const std::vector<Call>& calls) {
    std::map<std::string, std::vector<Call>> by_key;
    for (const Call& call : calls) by_key[call.key].push_back(call);
    HistoryResult result;
    result.calls = calls.size();
    result.keys = by_key.size();
    for (const auto& [key, of_key] : by_key) {
        Judged judged = judge_register(of_key);
        if (judged == Judged::Linearizable) continue;
        result.key = key;
        result.judged = judged;
        if (judged == Judged::NotLinearizable) break;
    }
    return result;
}

}  // namespace ochrehub::lab
