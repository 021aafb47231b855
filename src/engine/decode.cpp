#include "engine/decode.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

namespace ochrehub {

Settings parse_settings(const std::vector<std::string_view>& pairs, Names& names, Report* report) {
    PairReader in(pairs, report, "settings.");
    Settings set;
    names.zones = in.list("Azs");
    names.kinds = in.list("Flavors");
    set.node_count = std::max(1, int(in.real("Balancers")));
    set.node_index = int(in.real_or("Me", kNone));
    set.zone = index_of(names.zones, in.text_or("Locality", ""));
    int classes = int(in.real("Services.count"));
    for (int i = 0; i < classes; ++i) {
        std::string at = "Services." + std::to_string(i) + ".";
        ClassSettings c;
        names.classes.emplace_back(in.text(at + "Name"));
        c.latency_objective = Duration{in.real(at + "OnTime")};
        c.request_timeout = Duration{in.real(at + "GiveUp")};
        c.priority_weight = in.real_or(at + "Gain", 1);
        c.late_response_weight = in.real_or(at + "LateWorth", 0);
        c.latency_objective_per_effort = in.real_or(at + "AimStretch", 0);
        c.stream = in.flag_or(at + "Stream", false);
        c.idempotency = in.word<Idempotency>(at + "Effect", {{"free", Idempotency::Idempotent},
                                                             {"guarded", Idempotency::IdempotentWithKey},
                                                             {"single_shot", Idempotency::NonIdempotent}});
        if (c.idempotency == Idempotency::IdempotentWithKey) {
            c.deduplication_scope =
                in.word<DeduplicationScope>(at + "DedupScope", {{"all", DeduplicationScope::All},
                                                                {"zone", DeduplicationScope::Zone},
                                                                {"cell", DeduplicationScope::Cell}});
            c.deduplication_window = Duration{in.real(at + "Window")};
        }
        set.classes.push_back(c);
    }
    int tenants = int(in.real_or("Accounts.count", 0));
    for (int i = 0; i < tenants; ++i) {
        std::string at = "Accounts." + std::to_string(i) + ".";
        names.tenants.emplace_back(in.text(at + "Name"));
        set.tenants.push_back({in.real_or(at + "QuotaRps", 0), in.real_or(at + "Share", 0)});
    }
    set.polls_discovery = set.watches_discovery =
        in.word<bool>("Discovery", {{"ask", true}, {"push", false}});
    set.probes = in.flag_or("Limits.Probes", false);
    set.cancel = in.flag_or("Limits.Cancel", false);
    set.allows_hedging = in.flag_or("Limits.SecondCopies", false);
    set.retry_after = in.flag_or("Limits.RetryAfter", false);
    set.max_attempts = int(in.real_or("Limits.MaxAttempts", 1));
    set.max_retry_after = Duration{in.real_or("Limits.MaxRetryAfter", 0)};
    // Guards against looks that learn nothing: what a look is for is how many requests a server holds.
    std::vector<std::string> columns = in.list("LoadReport.Columns");
    set.probes_report_load = in.text_or("LoadReport.How", "none") != "none" &&
                             std::find(columns.begin(), columns.end(), "inflight") != columns.end();
    set.removal_not_binding = in.flag_or("Safety.RemovalNotBinding", false);
    set.weights_track_load = in.find("Weights").value_or("") == "live";
    set.connect_timeout = Duration{in.real_or("Limits.ConnectTimeout", 1000)};
    set.connection_idle_timeout = Duration{in.real_or("Limits.ConnIdle", 10000)};
    set.response_grace = Duration{in.real_or("Safety.GraceToAnswer", 0)};
    set.clock_granularity = Duration{in.real_or("Granularity", 1)};
    set.slow_start_duration = Duration{in.real("Safety.Cold")};
    set.slow_start_initial_capacity = in.real("Safety.ColdFrom");
    set.overload_factor = in.real("Safety.OverloadFactor");
    set.overload_after = Duration{in.real("Safety.TipAfter")};
    set.over_quota_weight = in.real_or("OverShareWorth", 1);
    set.cross_zone_cost = in.real_or("Prices.CrossZone", 0);
    set.probe_cost = in.real_or("Prices.Probe", 0);
    set.connection_cost = in.real_or("Prices.Connection", 0);
    return set;
}

EndpointEntry make_entry(const Names& names, std::string_view zone, std::string_view kind) {
    EndpointEntry entry;
    entry.zone = index_of(names.zones, zone);
    entry.kind = index_of(names.kinds, kind);
    return entry;
}

void set_last_start(EndpointEntry& entry, double ms) {
    if (ms != 0) entry.last_start = TimePoint{Duration{ms}};
}

LoadReport parse_report(std::string_view text, char mark) {
    LoadReport load;
    while (!text.empty()) {
        std::string_view pair = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        if (pair.substr(0, 5) == "TEXT ") pair.remove_prefix(5);
        pair.remove_prefix(std::min(pair.size(), pair.find_first_not_of(' ')));
        std::size_t at = pair.find(mark);
        if (at == std::string_view::npos)
            throw std::runtime_error("load report without '" + std::string(1, mark) + "': '" +
                                     std::string(pair) + "'");
        std::string_view key = pair.substr(0, at), value = pair.substr(at + 1);
        std::optional<double>* slot = key == "inflight" ? &load.inflight
                                      : key == "queue"  ? &load.queue
                                      : key == "util"   ? &load.utilization
                                                        : nullptr;
        if (slot == nullptr || value == "-") continue;
        *slot = read_number<double>(value);
        if (!*slot || !(**slot > -1e300 && **slot < 1e300))
            throw std::runtime_error("load report value is not a number: '" + std::string(value) + "'");
    }
    return load;
}

}  // namespace ochrehub
