// Figures by their paths, and what a scenario expects of them.
#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <string_view>

#include "lab/result/result.h"

namespace ochrehub::lab {
namespace {

constexpr double kNoNumber = std::numeric_limits<double>::quiet_NaN();

template <class Of>
struct Named {
    const char* name;
    double (*value)(const Of&);
};

double share(std::uint64_t part, std::uint64_t whole) {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}
double count(std::uint64_t n) {
    return static_cast<double>(n);
}
// -1 would satisfy any upper bound.
double or_never(double seconds) {
    return seconds < 0 ? std::numeric_limits<double>::infinity() : seconds;
}

constexpr Named<Latencies> kLatency[] = {
    {"p50_ms", [](const Latencies& l) { return l.quantile_ms(0.5); }},
    {"p90_ms", [](const Latencies& l) { return l.quantile_ms(0.9); }},
    {"p99_ms", [](const Latencies& l) { return l.quantile_ms(0.99); }},
    {"p999_ms", [](const Latencies& l) { return l.quantile_ms(0.999); }},
    {"max_ms", [](const Latencies& l) { return l.max_ms; }},
    {"mean_ms", [](const Latencies& l) { return l.total == 0 ? 0 : l.sum_ms / count(l.total); }},
};

constexpr Named<Result> kMain[] = {
    {"score", [](const Result& r) { return r.score; }},
    {"service", [](const Result& r) { return r.service; }},
    {"worth.whole", [](const Result& r) { return r.worth.share(); }},
    {"worth.heeding", [](const Result& r) { return r.heeding.share(); }},
    {"worth.deaf", [](const Result& r) { return r.deaf.share(); }},
    {"worth.worst_10s", [](const Result& r) { return r.worst_10s; }},
    {"worth.worst_class", [](const Result& r) { return r.worst_class; }},
    {"worth.worst_tenant", [](const Result& r) { return r.worst_tenant; }},
    {"worth.least_floor",
     [](const Result& r) {
         double least = 1;
         for (const Floor& floor : floors(r)) least = std::min(least, floor.worth.share());
         return least;
     }},
    {"worth.asked", [](const Result& r) { return r.worth.asked; }},
    {"worth.got", [](const Result& r) { return r.worth.got; }},
    {"prices", [](const Result& r) { return r.prices; }},
    {"prices.waste", [](const Result& r) { return r.deductions.waste; }},
    {"prices.late_fail", [](const Result& r) { return r.deductions.late_fail; }},
    {"prices.probes", [](const Result& r) { return r.deductions.probes; }},
    {"prices.handshakes", [](const Result& r) { return r.deductions.handshakes; }},
    {"prices.cross_zone", [](const Result& r) { return r.deductions.cross_zone; }},
    {"breaches", [](const Result& r) { return count(r.breach_count); }},
    {"calls", [](const Result& r) { return count(r.calls); }},
    {"served", [](const Result& r) { return count(r.served); }},
    {"in_time", [](const Result& r) { return count(r.in_time); }},
    {"refused", [](const Result& r) { return count(r.refused); }},
    {"failed", [](const Result& r) { return count(r.failed); }},
    {"left", [](const Result& r) { return count(r.left); }},
    {"open", [](const Result& r) { return count(r.open); }},
    {"served_share", [](const Result& r) { return share(r.served, r.calls); }},
    {"in_time_share", [](const Result& r) { return share(r.in_time, r.calls); }},
    {"refused_share", [](const Result& r) { return share(r.refused, r.calls); }},
    {"failed_share", [](const Result& r) { return share(r.failed, r.calls); }},
    {"left_share", [](const Result& r) { return share(r.left, r.calls); }},
    {"tries", [](const Result& r) { return count(r.tries); }},
    {"attempts", [](const Result& r) { return count(r.attempts); }},
    {"tries_per_call", [](const Result& r) { return r.tries_per_call; }},
    {"attempts_per_call", [](const Result& r) { return r.attempts_per_call; }},
    {"probes", [](const Result& r) { return count(r.probes); }},
    {"connections", [](const Result& r) { return count(r.connections); }},
    {"client_connections", [](const Result& r) { return count(r.client_connections); }},
    {"fleet.peak_load",
     [](const Result& r) {
         double peak = 0;
         for (const auto& server : r.fleet) peak = std::max(peak, server.load_peak);
         return peak;
     }},
    {"fleet.most_load",
     [](const Result& r) {
         double most = 0;
         for (const auto& server : r.fleet) most = std::max(most, server.load);
         return most;
     }},
    {"fleet.mean_load",
     [](const Result& r) {
         double sum = 0;
         for (const auto& server : r.fleet) sum += server.load;
         return r.fleet.empty() ? 0 : sum / count(r.fleet.size());
     }},
    {"node.cpu_s",
     [](const Result& r) {
         double sum = 0;
         for (const auto& node : r.node) sum += node.cpu_s;
         return sum;
     }},
    {"node.memory_peak_mb",
     [](const Result& r) {
         double most = 0;
         for (const auto& node : r.node) most = std::max(most, node.memory_peak_mb);
         return most;
     }},
    {"node.descriptors_peak",
     [](const Result& r) {
         double most = 0;
         for (const auto& node : r.node) most = std::max(most, node.descriptors_peak);
         return most;
     }},
    {"node.starts",
     [](const Result& r) {
         std::uint64_t sum = 0;
         for (const auto& node : r.node) sum += node.starts;
         return count(sum);
     }},
};

constexpr Named<GroupResult> kGroup[] = {
    {"worth", [](const GroupResult& g) { return g.worth.share(); }},
    {"calls", [](const GroupResult& g) { return count(g.calls); }},
    {"served", [](const GroupResult& g) { return count(g.served); }},
    {"served_share", [](const GroupResult& g) { return share(g.served, g.calls); }},
    {"in_time_share", [](const GroupResult& g) { return share(g.served - g.served_late, g.calls); }},
    {"refused_share", [](const GroupResult& g) { return share(g.refused, g.calls); }},
    {"failed_share", [](const GroupResult& g) { return share(g.failed, g.calls); }},
    {"left_share", [](const GroupResult& g) { return share(g.left, g.calls); }},
};

constexpr Named<SumResult> kSum[] = {
    {"worth", [](const SumResult& s) { return s.worth.share(); }},
};

constexpr Named<ServerResult> kServer[] = {
    {"load", [](const ServerResult& s) { return s.load; }},
    {"load_peak", [](const ServerResult& s) { return s.load_peak; }},
    {"attempts", [](const ServerResult& s) { return count(s.attempts); }},
    {"served", [](const ServerResult& s) { return count(s.served); }},
    {"errors", [](const ServerResult& s) { return count(s.errors); }},
    {"never_ran", [](const ServerResult& s) { return count(s.never_ran); }},
    {"dropped", [](const ServerResult& s) { return count(s.dropped); }},
    {"resets", [](const ServerResult& s) { return count(s.resets); }},
    {"spoilt", [](const ServerResult& s) { return count(s.spoilt); }},
};

constexpr Named<SecondResult> kSecond[] = {
    {"calls", [](const SecondResult& s) { return count(s.calls); }},
    {"tries", [](const SecondResult& s) { return count(s.tries); }},
    {"attempts", [](const SecondResult& s) { return count(s.attempts); }},
    {"served", [](const SecondResult& s) { return count(s.served); }},
    {"in_time", [](const SecondResult& s) { return count(s.in_time); }},
    {"refused", [](const SecondResult& s) { return count(s.refused); }},
    {"failed", [](const SecondResult& s) { return count(s.failed); }},
    {"left", [](const SecondResult& s) { return count(s.left); }},
    {"connects", [](const SecondResult& s) { return count(s.connects); }},
    {"worth",
     [](const SecondResult& s) {
         return Worth{s.worth_asked, s.worth_got}.share();
     }},
    {"p50_ms", [](const SecondResult& s) { return s.p50_ms; }},
    {"p99_ms", [](const SecondResult& s) { return s.p99_ms; }},
};

constexpr Named<FaultResult> kFault[] = {
    {"detect_s", [](const FaultResult& f) { return or_never(f.detect_s); }},
    {"return_s", [](const FaultResult& f) { return or_never(f.return_s); }},
};

constexpr Named<RecoveryResult> kRecovery[] = {
    {"recovered_s", [](const RecoveryResult& r) { return or_never(r.recovered_s); }},
    {"before", [](const RecoveryResult& r) { return r.before; }},
    {"during", [](const RecoveryResult& r) { return r.during; }},
    {"after", [](const RecoveryResult& r) { return r.after; }},
    {"tries_per_call", [](const RecoveryResult& r) { return r.tries_per_call; }},
    {"refused_after", [](const RecoveryResult& r) { return r.refused_after; }},
    {"return_peak", [](const RecoveryResult& r) { return r.return_peak; }},
    {"arrival_peak", [](const RecoveryResult& r) { return r.arrival_peak; }},
};

constexpr Named<NodeResult> kNode[] = {
    {"cpu_s", [](const NodeResult& n) { return n.cpu_s; }},
    {"memory_peak_mb", [](const NodeResult& n) { return n.memory_peak_mb; }},
    {"descriptors_peak", [](const NodeResult& n) { return n.descriptors_peak; }},
    {"tries", [](const NodeResult& n) { return count(n.tries); }},
    {"starts", [](const NodeResult& n) { return count(n.starts); }},
};

template <class Of, std::size_t N>
std::optional<double> look_up(const Named<Of> (&table)[N], const Of& of, std::string_view name) {
    for (const auto& entry : table)
        if (entry.name == name) return entry.value(of);
    return std::nullopt;
}
template <class Of, std::size_t N>
void list_names(const Named<Of> (&table)[N], const std::string& prefix, std::vector<std::string>& into) {
    for (const auto& entry : table) into.push_back(prefix + entry.name);
}

/// What follows "PREFIX." in a path.
std::optional<std::string_view> after(std::string_view path, std::string_view prefix) {
    if (path.size() <= prefix.size() || !path.starts_with(prefix) || path[prefix.size()] != '.')
        return std::nullopt;
    return path.substr(prefix.size() + 1);
}

// Names may hold dots, and one may be another's beginning: whatever fits to the end counts.
template <class List, class Look>
std::optional<double> among_named(std::string_view rest, const List& list, Look look) {
    for (const auto& entry : list) {
        std::string_view name;
        if constexpr (requires { entry.name; })
            name = entry.name;
        else
            name = entry.id;
        if (const auto tail = after(rest, name))
            if (const auto value = look(entry, *tail)) return value;
    }
    return std::nullopt;
}
template <class Of, std::size_t N>
std::optional<double> among_numbered(std::string_view rest, const std::vector<Of>& list,
                                     const Named<Of> (&table)[N]) {
    std::size_t index = 0;
    const auto read = std::from_chars(rest.data(), rest.data() + rest.size(), index);
    if (read.ec != std::errc() || read.ptr == rest.data() + rest.size() || *read.ptr != '.')
        return std::nullopt;
    if (index >= list.size()) return std::nullopt;
    return look_up(table, list[index], std::string_view(read.ptr + 1, rest.data() + rest.size()));
}

std::optional<double> of_group(const GroupResult& group, std::string_view name) {
    if (const auto value = look_up(kGroup, group, name)) return value;
    return look_up(kLatency, group.latency, name);
}
std::optional<double> of_sum(const SumResult& sum, std::string_view name) {
    return look_up(kSum, sum, name);
}
std::optional<double> of_server(const ServerResult& server, std::string_view name) {
    if (const auto value = look_up(kServer, server, name)) return value;
    return look_up(kLatency, server.latency, name);
}

bool holds(const Expectation& expectation, double value) {
    return expectation.how == Expectation::How::AtLeast ? value >= expectation.bound
                                                        : value <= expectation.bound;
}

}  // namespace

std::optional<double> figure(const Result& result, const std::string& path) {
    if (const auto value = look_up(kMain, result, path)) return value;
    if (const auto rest = after(path, "latency")) return look_up(kLatency, result.latency, *rest);
    if (const auto rest = after(path, "classes")) return among_named(*rest, result.classes, of_group);
    if (const auto rest = after(path, "tenants")) return among_named(*rest, result.tenants, of_group);
    if (const auto rest = after(path, "effects")) return among_named(*rest, result.effects, of_sum);
    if (const auto rest = after(path, "thirds")) return among_named(*rest, result.thirds, of_sum);
    if (const auto rest = after(path, "fleet")) return among_named(*rest, result.fleet, of_server);
    if (const auto rest = after(path, "seconds")) return among_numbered(*rest, result.seconds, kSecond);
    if (const auto rest = after(path, "faults")) return among_numbered(*rest, result.faults, kFault);
    if (const auto rest = after(path, "recovery"); rest && !result.faults.empty())
        return look_up(kRecovery, result.recovery, *rest);
    if (const auto rest = after(path, "node")) return among_numbered(*rest, result.node, kNode);
    return std::nullopt;
}

std::vector<std::string> figure_names(const Result& result) {
    std::vector<std::string> names;
    list_names(kMain, "", names);
    list_names(kLatency, "latency.", names);
    for (const auto& group : result.classes) {
        list_names(kGroup, "classes." + group.name + ".", names);
        list_names(kLatency, "classes." + group.name + ".", names);
    }
    for (const auto& group : result.tenants) {
        list_names(kGroup, "tenants." + group.name + ".", names);
        list_names(kLatency, "tenants." + group.name + ".", names);
    }
    for (const auto& sum : result.effects) list_names(kSum, "effects." + sum.name + ".", names);
    for (const auto& sum : result.thirds) list_names(kSum, "thirds." + sum.name + ".", names);
    for (std::size_t i = 0; i < result.faults.size(); ++i)
        list_names(kFault, "faults." + std::to_string(i) + ".", names);
    if (!result.faults.empty()) list_names(kRecovery, "recovery.", names);
    for (std::size_t i = 0; i < result.node.size(); ++i)
        list_names(kNode, "node." + std::to_string(i) + ".", names);
    for (const auto& server : result.fleet) {
        list_names(kServer, "fleet." + server.id + ".", names);
        list_names(kLatency, "fleet." + server.id + ".", names);
    }
    for (std::size_t i = 0; i < result.seconds.size(); ++i)
        list_names(kSecond, "seconds." + std::to_string(i) + ".", names);
    return names;
}

std::vector<Floor> floors(const Result& result) {
    constexpr double kLeastOfShares = 0.05;
    std::vector<Floor> all;
    auto add = [&all](const char* of, const auto& list, double least) {
        for (const auto& one : list)
            if (one.worth.asked > 0 && one.worth.asked >= least) all.push_back({of, one.name, one.worth});
    };
    double inside = 0;
    for (const GroupResult& tenant : result.tenants) inside += tenant.worth.asked;
    add("class", result.classes, 0);
    add("effect", result.effects, 0);
    add("tenant", result.tenants, kLeastOfShares * inside);
    add("third", result.thirds, 0);
    return all;
}

std::vector<Missed> judge(const std::vector<Expectation>& expectations, const std::vector<Result>& results) {
    std::vector<Missed> missed;
    for (const Expectation& expectation : expectations) {
        double sum = 0;
        for (const Result& result : results) {
            const double value = figure(result, expectation.figure).value_or(kNoNumber);
            sum += value;
            if (expectation.each && !holds(expectation, value))
                missed.push_back({expectation, value, result.seed});
        }
        const double mean = results.empty() ? kNoNumber : sum / count(results.size());
        if ((!expectation.each || results.empty()) && !holds(expectation, mean))
            missed.push_back({expectation, mean, std::nullopt});
    }
    return missed;
}

}  // namespace ochrehub::lab
