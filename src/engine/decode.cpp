#include "engine/decode.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

namespace ochrehub {

Settings parse_settings(const std::vector<std::string_view>& pairs, Names& names, Report* report) {
    PairReader in(pairs, report, "settings.");
    Settings settings;
    names.zones = in.list("Azs");
    names.kinds = in.list("Flavors");
    settings.node_count = std::max(1, int(in.real("Balancers")));
    settings.node_index = int(in.real_or("Me", kNone));
    settings.zone = index_of(names.zones, in.text_or("Locality", ""));
    int class_count = int(in.real("Services.count"));
    for (int i = 0; i < class_count; ++i) {
        std::string prefix = "Services." + std::to_string(i) + ".";
        ClassSettings c;
        names.classes.emplace_back(in.text(prefix + "Name"));
        c.latency_objective = Duration{in.real(prefix + "OnTime")};
        c.request_timeout = Duration{in.real(prefix + "GiveUp")};
        c.priority_weight = in.real_or(prefix + "Gain", 1);
        c.late_response_weight = in.real_or(prefix + "LateWorth", 0);
        c.latency_objective_per_effort = in.real_or(prefix + "AimStretch", 0);
        c.stream = in.flag_or(prefix + "Stream", false);
        c.idempotency =
            in.word<Idempotency>(prefix + "Effect", {{"free", Idempotency::Idempotent},
                                                     {"guarded", Idempotency::IdempotentWithKey},
                                                     {"single_shot", Idempotency::NonIdempotent}});
        if (c.idempotency == Idempotency::IdempotentWithKey) {
            c.deduplication_scope =
                in.word<DeduplicationScope>(prefix + "DedupScope", {{"all", DeduplicationScope::All},
                                                                    {"zone", DeduplicationScope::Zone},
                                                                    {"cell", DeduplicationScope::Cell}});
            c.deduplication_window = Duration{in.real(prefix + "Window")};
        }
        settings.classes.push_back(c);
    }
    int tenant_count = int(in.real_or("Accounts.count", 0));
    for (int i = 0; i < tenant_count; ++i) {
        std::string prefix = "Accounts." + std::to_string(i) + ".";
        names.tenants.emplace_back(in.text(prefix + "Name"));
        settings.tenants.push_back({in.real_or(prefix + "QuotaRps", 0), in.real_or(prefix + "Share", 0)});
    }
    settings.polls_discovery = settings.watches_discovery =
        in.word<bool>("Discovery", {{"ask", true}, {"push", false}});
    settings.probes = in.flag_or("Limits.Probes", false);
    settings.cancel = in.flag_or("Limits.Cancel", false);
    settings.allows_hedging = in.flag_or("Limits.SecondCopies", false);
    settings.retry_after = in.flag_or("Limits.RetryAfter", false);
    settings.max_attempts = int(in.real_or("Limits.MaxAttempts", 1));
    settings.max_retry_after = Duration{in.real_or("Limits.MaxRetryAfter", 0)};
    // Load probes are useful only if they report the number of requests that a server holds.
    std::vector<std::string> columns = in.list("LoadReport.Columns");
    settings.probes_report_load = in.text_or("LoadReport.How", "none") != "none" &&
                                  std::find(columns.begin(), columns.end(), "inflight") != columns.end();
    settings.removal_not_binding = in.flag_or("Safety.RemovalNotBinding", false);
    settings.weights_track_load = in.find("Weights").value_or("") == "live";
    settings.connect_timeout = Duration{in.real_or("Limits.ConnectTimeout", 1000)};
    settings.connection_idle_timeout = Duration{in.real_or("Limits.ConnIdle", 10000)};
    settings.response_grace = Duration{in.real_or("Safety.GraceToAnswer", 0)};
    settings.clock_granularity = Duration{in.real_or("Granularity", 1)};
    settings.slow_start_duration = Duration{in.real("Safety.Cold")};
    settings.slow_start_initial_capacity = in.real("Safety.ColdFrom");
    settings.overload_factor = in.real("Safety.OverloadFactor");
    settings.overload_after = Duration{in.real("Safety.TipAfter")};
    settings.over_quota_weight = in.real_or("OverShareWorth", 1);
    settings.cross_zone_cost = in.real_or("Prices.CrossZone", 0);
    settings.probe_cost = in.real_or("Prices.Probe", 0);
    settings.connection_cost = in.real_or("Prices.Connection", 0);
    return settings;
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

LoadReport parse_report(std::string_view text, char separator) {
    LoadReport load;
    while (!text.empty()) {
        std::string_view pair = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
        if (pair.substr(0, 5) == "TEXT ") pair.remove_prefix(5);
        pair.remove_prefix(std::min(pair.size(), pair.find_first_not_of(' ')));
        std::size_t position = pair.find(separator);
        if (position == std::string_view::npos)
            throw std::runtime_error("load report without '" + std::string(1, separator) + "': '" +
                                     std::string(pair) + "'");
        std::string_view key = pair.substr(0, position), value = pair.substr(position + 1);
        std::optional<double>* target = key == "inflight" ? &load.inflight
                                        : key == "queue"  ? &load.queue
                                        : key == "util"   ? &load.utilization
                                                          : nullptr;
        if (target == nullptr || value == "-") continue;
        *target = read_number<double>(value);
        if (!*target || !(**target > -1e300 && **target < 1e300))
            throw std::runtime_error("load report value is not a number: '" + std::string(value) + "'");
    }
    return load;
}

}  // namespace ochrehub
