#include "lab/play/node_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>

#include "lab/play/forms.h"

namespace ochrehub::lab {

namespace json = boost::json;

namespace {

const char* word(Idempotency effect) {
    return effect == Idempotency::Idempotent          ? "free"
           : effect == Idempotency::IdempotentWithKey ? "guarded"
                                                      : "single_shot";
}
const char* word(DeduplicationScope scope) {
    return scope == DeduplicationScope::All ? "all" : scope == DeduplicationScope::Zone ? "zone" : "cell";
}

json::array names(const std::vector<std::string>& from) {
    json::array out;
    for (const std::string& name : from) out.emplace_back(name);
    return out;
}

json::object settings(const Day& day, NodeNo node) {
    const Limits& limits = day.limits;
    json::array services, accounts;
    for (const ClassFigures& c : day.classes)
        services.push_back(json::object{{"Name", c.name},
                                        {"Effect", word(c.effect)},
                                        {"DedupScope", word(c.scope)},
                                        {"Window", c.window.count()},
                                        {"OnTime", c.aim.count()},
                                        {"GiveUp", c.give_up.count()},
                                        {"Gain", c.worth},
                                        {"LateWorth", c.late_worth},
                                        {"Stream", false}});
    for (const TenantFigures& t : day.tenants)
        accounts.push_back(json::object{{"Name", t.name}, {"QuotaRps", t.quota_rps}, {"Share", t.share}});
    auto zone = std::size_t(day.nodes[std::size_t(node)].zone);
    const auto& zones = day.network.zones;
    json::object out{{"Balancers", day.nodes.size()},
                     {"Me", node},
                     {"Azs", names(zones)},
                     {"Locality", zone < zones.size() ? zones[zone] : ""},
                     {"Flavors", names(day.kinds)},
                     {"Family", "proxy"},
                     {"FamilyInfo", json::object{{"WarmKeys", false}}},
                     {"Discovery", limits.must_ask ? "ask" : "push"},
                     {"CountedBy", "request"},
                     {"Weights", "nominal"},
                     {"Granularity", 1.0},
                     {"Tier", 0},
                     {"Tiers", json::array{"lab"}},
                     {"OverShareWorth", limits.over_share_worth},
                     {"ClientHabits", json::object{{"MarksRetry", day.clients.marks_repeats}}},
                     {"LoadReport", json::object{{"How", "answers"},
                                                 {"Columns", json::array{"queue", "latency_ms", "qps"}}}},
                     {"Services", std::move(services)}};
    if (!accounts.empty()) out["Accounts"] = std::move(accounts);
    out["Limits"] = json::object{{"Cancel", limits.cancel},
                                 {"ConnIdle", limits.conn_idle.count()},
                                 {"ConnectTimeout", limits.connect_timeout.count()},
                                 {"CpuUsPerRequest", 0.0},
                                 {"CpuUsPerS", 400000},
                                 {"MaxAttempts", limits.max_attempts},
                                 {"MaxRetryAfter", limits.max_retry_after.count()},
                                 {"MostHeld", 20000},
                                 {"Peers", true},
                                 {"Probes", limits.probes},
                                 {"RetryAfter", limits.retry_after},
                                 {"SecondCopies", limits.second_copies},
                                 {"StreamsPerConn", 1}};
    out["Prices"] = json::object{{"Connection", 0.0},
                                 {"CrossZone", limits.price_cross_zone},
                                 {"Discovery", 0.0},
                                 {"Handshake", limits.price_handshake},
                                 {"LateFail", limits.price_late_fail},
                                 {"Probe", limits.price_probe},
                                 {"Waste", limits.price_waste}};
    out["Safety"] = json::object{{"AskWithin", limits.ask_within.count()},
                                 {"Cold", limits.cold_time.count()},
                                 {"ColdFrom", limits.cold_from},
                                 {"GraceToAnswer", limits.grace.count()},
                                 {"OverloadFactor", limits.overload_factor},
                                 {"StopSendingWithin", limits.stop_sending.count()},
                                 {"TipAfter", limits.tip_after.count()}};
    out["ScoringMix"] =
        json::object{{"Whole", 0.6}, {"WorstWindow", 0.1}, {"WorstClass", 0.05}, {"WorstTenant", 0.25}};
    return out;
}

}  // namespace

NodeFigures limits_of(const Day& day, NodeNo node) {
    NodeFigures figures = day.nodes[std::size_t(node)];
    for (const Fault& fault : day.faults) {
        bool hit = fault.nodes.empty() ||
                   std::find(fault.nodes.begin(), fault.nodes.end(), node) != fault.nodes.end();
        if (!hit || fault.size <= 0) continue;
        if (fault.kind == FaultKind::NodeMemory) figures.memory_mb = std::size_t(fault.size);
        if (fault.kind == FaultKind::NodeSockets) figures.sockets = std::size_t(fault.size);
    }
    return figures;
}

std::string node_name(NodeNo node) {
    return fmt::format("n{}", node);
}

std::string node_config(const Day& day, NodeNo node, const NodeAddresses& at, std::uint64_t seed,
                        const std::string& known) {
    NodeFigures limits = limits_of(day, node);
    json::object out{
        {"name", node_name(node)},
        {"listen", text_of(at.listen)},
        {"discovery", text_of(at.discovery)},
        {"seed", hex16(seed)},
        {"limits",
         json::object{{"cores", 1.0}, {"memory_mb", limits.memory_mb}, {"sockets", limits.sockets}}},
        {"peer_listen", at.peer_listen},
        {"peers", names(at.peers)},
        {"peers_all", at.peers_all},
        {"known", json::parse(known)},
        {"settings", settings(day, node)}};
    return json::serialize(out);
}

}  // namespace ochrehub::lab
