#include "lab/result/fault_times.h"

#include <algorithm>
#include <cmath>

namespace ochrehub::lab {
namespace {

constexpr std::size_t kBefore = 100;       // 5 s
constexpr std::size_t kDetectWindow = 10;  // 500 ms
constexpr std::size_t kHold = 20;          // 1 s
constexpr std::size_t kReturnWindow = 20;  // 1 s
constexpr double kDetectPart = 0.1, kReturnPart = 0.95;
// A server that gets few attempts has silent spells by chance: it must stay away for as long as this many
// would take.
constexpr double kExpected = 10;
// Sockets: marks come a little after the time that the day names.
constexpr double kMarkSlack = 5000;

std::string count_of(std::size_t count, const char* what) {
    return std::to_string(count) + " " + what + (count == 1 ? "" : "s");
}

std::string whom(const Fault& fault, const Day& day) {
    std::string text;
    const auto add = [&](const std::string& part) { text += (text.empty() ? "" : ", ") + part; };
    if (!fault.servers.empty()) add(count_of(fault.servers.size(), "server"));
    if (!fault.nodes.empty()) add(count_of(fault.nodes.size(), "node"));
    if (!fault.zones.empty()) add(count_of(fault.zones.size(), "zone"));
    if (fault.tenant >= 0 && static_cast<std::size_t>(fault.tenant) < day.tenants.size())
        add(day.tenants[static_cast<std::size_t>(fault.tenant)].name);
    if (!fault.between.empty())
        add(fault.between + (fault.one_way ? " to " : " and ") + (fault.and_.empty() ? "all" : fault.and_));
    return text.empty() ? "all" : text;
}

const char* kind_name(FaultKind kind) {
    switch (kind) {
        case FaultKind::Hang:
            return "hang";
        case FaultKind::FastErrors:
            return "fast-errors";
        case FaultKind::Pauses:
            return "pauses";
        case FaultKind::Slow:
            return "slow";
        case FaultKind::Crash:
            return "crash";
        case FaultKind::Silent:
            return "silent";
        case FaultKind::Resets:
            return "resets";
        case FaultKind::Spoilt:
            return "spoilt";
        case FaultKind::Drain:
            return "drain";
        case FaultKind::Replace:
            return "replace";
        case FaultKind::Partition:
            return "partition";
        case FaultKind::Datagrams:
            return "datagrams";
        case FaultKind::DiscoveryDown:
            return "discovery-down";
        case FaultKind::DiscoveryMoves:
            return "discovery-moves";
        case FaultKind::DiscoveryStale:
            return "discovery-stale";
        case FaultKind::DiscoveryEmpty:
            return "discovery-empty";
        case FaultKind::NodeKill:
            return "node-kill";
        case FaultKind::NodeStall:
            return "node-stall";
        case FaultKind::NodeRestart:
            return "node-restart";
        case FaultKind::NodeReload:
            return "node-reload";
        case FaultKind::NodeMemory:
            return "node-memory";
        case FaultKind::NodeSockets:
            return "node-sockets";
        case FaultKind::Surge:
            return "surge";
        case FaultKind::ConnectionFlood:
            return "connection-flood";
        case FaultKind::Hostile:
            return "hostile";
    }
    return "unknown";
}

// Until when servers that were hit are better left alone.
double away_until(const Fault& fault, double day_ends) {
    const bool for_good = fault.kind == FaultKind::Drain || fault.kind == FaultKind::Replace ||
                          (fault.kind == FaultKind::Crash && fault.length.count() <= 0);
    return for_good ? day_ends : std::min(day_ends, fault.end().count());
}

}  // namespace

FaultTimes::FaultTimes(const Day& day) : day_(day) {
    for (std::size_t i = 0; i < day.faults.size(); ++i) {
        const Fault& fault = day.faults[i];
        Watched watched;
        watched.began = fault.at.count();
        watched.ended = fault.end().count();
        watched.until = away_until(fault, day.length.count());
        watched.first = step_of(std::max(0.0, watched.began - kBefore * kStep));
        watched.last = step_of(watched.until + kMarkSlack);
        faults_.push_back(std::move(watched));
        for (const int server : fault.servers) {
            if (server < 0 || static_cast<std::size_t>(server) >= day.servers.size()) continue;
            if (of_server_.empty()) of_server_.resize(day.servers.size());
            of_server_[static_cast<std::size_t>(server)].push_back(static_cast<int>(i));
        }
    }
}

void FaultTimes::mark(int index, double now, bool began) {
    Watched& fault = faults_[static_cast<std::size_t>(index)];
    if (began) {
        // A fault without a length lasts no time, whenever it comes.
        if (fault.ended <= fault.began) fault.ended = now;
        fault.began = now;
    } else {
        if (fault.until == fault.ended) fault.until = now;
        fault.ended = now;
    }
}

void FaultTimes::hit(double now, ServerNo server) {
    const std::size_t step = step_of(now);
    auto& named = of_server_[static_cast<std::size_t>(server)];
    bool past = false;
    for (const int index : named) {
        Watched& fault = faults_[static_cast<std::size_t>(index)];
        past |= step > fault.last;
        if (step < fault.first || step > fault.last) continue;
        if (step - fault.first >= fault.hits.size()) fault.hits.resize(step - fault.first + 1);
        ++fault.hits[step - fault.first];
    }
    if (past)
        std::erase_if(named, [&](int index) { return step > faults_[static_cast<std::size_t>(index)].last; });
}

std::size_t FaultTimes::first_step_from(double ms) {
    const std::size_t step = step_of(ms);
    return static_cast<double>(step) * kStep < ms ? step + 1 : step;
}

double FaultTimes::detect_s(const Watched& fault) const {
    const auto hits_at = [&](std::size_t step) -> double {
        return step >= fault.first && step - fault.first < fault.hits.size() ? fault.hits[step - fault.first]
                                                                             : 0;
    };
    const auto all_at = [&](std::size_t step) -> double {
        return step < attempts_.size() ? attempts_[step] : 0;
    };

    const std::size_t begin = step_of(fault.began);
    const std::size_t before = begin - std::min(begin, kBefore);
    double usual_hits = 0, usual_all = 0;
    for (std::size_t step = before; step < begin; ++step) {
        usual_hits += hits_at(step);
        usual_all += all_at(step);
    }
    if (begin - before < kDetectWindow || usual_hits <= 0) return -1;
    const double most = kDetectPart * usual_hits / usual_all;
    const double steps_of_expected = kExpected * static_cast<double>(begin - before) / usual_hits;
    const std::size_t hold = std::max(kHold, static_cast<std::size_t>(std::ceil(steps_of_expected)));

    // Windows that begin within `hold` from a step on must all be quiet, and over before the fault is.
    const std::size_t end = step_of(fault.until);
    std::size_t quiet = 0;
    for (std::size_t step = first_step_from(fault.began); step + kDetectWindow <= end; ++step) {
        double hits = 0, all = 0;
        for (std::size_t i = step; i < step + kDetectWindow; ++i) {
            hits += hits_at(i);
            all += all_at(i);
        }
        quiet = hits <= most * all ? quiet + 1 : 0;
        if (quiet > hold) {
            const double at = static_cast<double>(step - hold) * kStep;
            return std::max(0.0, at - fault.began) / 1000;
        }
    }
    return -1;
}

double FaultTimes::return_s(const Watched& fault) const {
    const auto share_of = [&](std::size_t from, std::size_t to) -> std::optional<double> {
        Worth sum;
        for (std::size_t step = from; step < std::min(to, worth_.size()); ++step) {
            sum.asked += worth_[step].asked;
            sum.got += worth_[step].got;
        }
        if (sum.asked <= 0) return std::nullopt;
        return sum.share();
    };
    const std::size_t begin = step_of(fault.began);
    const auto before = share_of(begin - std::min(begin, kBefore), begin);
    if (!before) return -1;
    const std::size_t end = step_of(day_.length.count());
    for (std::size_t step = first_step_from(fault.ended); step + kReturnWindow <= end; ++step) {
        const auto share = share_of(step, step + kReturnWindow);
        if (share && *share >= kReturnPart * *before)
            return std::max(0.0, static_cast<double>(step) * kStep - fault.ended) / 1000;
    }
    return -1;
}

std::vector<FaultResult> FaultTimes::results() const {
    std::vector<FaultResult> all;
    for (std::size_t i = 0; i < faults_.size(); ++i) {
        const Fault& fault = day_.faults[i];
        FaultResult one;
        one.kind = kind_name(fault.kind);
        one.what = whom(fault, day_);
        one.began_s = faults_[i].began / 1000;
        one.ended_s = faults_[i].ended / 1000;
        one.detect_s = fault.servers.empty() ? -1 : detect_s(faults_[i]);
        one.return_s = return_s(faults_[i]);
        all.push_back(std::move(one));
    }
    return all;
}

}  // namespace ochrehub::lab
