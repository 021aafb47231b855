#include "lab/fleet/day.h"

#include <algorithm>
#include <cstdio>

namespace ochrehub::lab::fleet {
namespace {

constexpr double kSlowPeriod_s = 0.1, kSlowRuns_s = 0.01;
constexpr const char* kNames[] = {"cut",   "loss",   "late",  "doubled", "reorder", "pause", "slow", "kill",
                                  "leave", "replay", "clock", "stall",   "reset",   "crawl", "rekey"};

bool holds(const std::vector<int>& list, int one) {
    return std::find(list.begin(), list.end(), one) != list.end();
}
std::string listed(const std::vector<int>& list) {
    std::string out;
    for (std::size_t i = 0; i < list.size(); ++i) {
        std::size_t last = i;  // of a run of them
        while (last + 1 < list.size() && list[last + 1] == list[last] + 1) ++last;
        out.append(i == 0 ? "" : ",").append(std::to_string(list[i]));
        if (last > i) out.append("-").append(std::to_string(list[last]));
        i = last;
    }
    return out;
}

}  // namespace

const char* name(FaultKind kind) {
    return kNames[std::size_t(kind)];
}

bool Fault::touches(int from, int other) const {
    return (holds(who, from) && holds(to, other)) || (both && holds(who, other) && holds(to, from));
}

std::string Fault::text() const {
    char line[160];
    std::snprintf(line, sizeof line, "%s at %.2f s", name(kind), at_s);
    std::string out = line;
    if (for_s > 0) std::snprintf(line, sizeof line, " for %.2f s", for_s), out += line;
    if (!who.empty()) out += ", " + listed(who);
    if (!to.empty()) out += (both ? " and " : " to ") + listed(to);
    if (part < 1) std::snprintf(line, sizeof line, ", %.2f of them", part), out += line;
    if (ms != 0) std::snprintf(line, sizeof line, ", %.0f ms", ms), out += line;
    if (!keys.empty()) out += ", keys " + keys;
    if (kind == FaultKind::Clock) std::snprintf(line, sizeof line, ", at %.3f", rate), out += line;
    if (back_s >= 0)
        std::snprintf(line, sizeof line, ", back after %.2f s%s", back_s, empty ? ", empty" : ""),
            out += line;
    return out;
}

double Day::calm_from_s() const {
    double last = 0;
    for (const Fault& fault : faults)
        last = std::max(last, fault.at_s + std::max({0.0, fault.for_s, fault.back_s}));
    return last;
}

std::vector<Step> steps(const Day& day) {
    using Do = Step::Do;
    std::vector<Step> all;
    for (std::size_t i = 0; i < day.faults.size(); ++i) {
        const Fault& fault = day.faults[i];
        const int number = int(i);
        const double end = fault.at_s + fault.for_s;
        all.push_back({fault.at_s, Do::FaultOn, number, -1});
        // A link's fault without a length stays; all others are over when what they do is.
        double over = fault.kind == FaultKind::Kill ? fault.at_s + std::max(0.0, fault.back_s) : end;
        if (!fault.of_links() || fault.for_s > 0) all.push_back({over, Do::FaultOff, number, -1});
        if (fault.kind == FaultKind::Replay) all.push_back({fault.at_s, Do::Replay, number, -1});
        for (int who : fault.who) {
            switch (fault.kind) {
                case FaultKind::Pause:
                    all.push_back({fault.at_s, Do::Stop, number, who});
                    all.push_back({end, Do::GoOn, number, who});
                    break;
                case FaultKind::Slow:
                    for (double at = fault.at_s; at < end; at += kSlowPeriod_s) {
                        all.push_back({at, Do::Stop, number, who});
                        all.push_back({at + kSlowPeriod_s - kSlowRuns_s, Do::GoOn, number, who});
                    }
                    break;
                case FaultKind::Kill:
                    all.push_back({fault.at_s, Do::Kill, number, who});
                    if (fault.back_s >= 0) all.push_back({fault.at_s + fault.back_s, Do::Start, number, who});
                    break;
                case FaultKind::Leave:
                    all.push_back({fault.at_s, Do::Leave, number, who});
                    break;
                case FaultKind::Rekey:
                    all.push_back({fault.at_s, Do::Rekey, number, who});
                    break;
                case FaultKind::Clock:
                    all.push_back({fault.at_s, Do::ClockOn, number, who});
                    if (fault.for_s > 0) all.push_back({end, Do::ClockOff, number, who});
                    break;
                default:
                    break;
            }
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const Step& a, const Step& b) { return a.at_s < b.at_s; });
    return all;
}

}  // namespace ochrehub::lab::fleet
