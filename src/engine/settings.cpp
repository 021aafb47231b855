#include "engine/settings.h"

namespace ochrehub {

using config::flag;
using config::kMilliseconds;
using config::number;
using config::Table;

namespace {

/// Upper bound of durations: a longer one is taken for a typing error.
constexpr double kMaxDurationMs = 86400000;

}  // namespace

Table<NamedClass> class_settings() {
    Table<ClassSettings> table{
        config::word(
            {.name = "effect",
             .fallback = "single_shot",
             .help = "whether a request may be executed more than once. `free`: yes. `keyed`: servers "
                     "discard repeats of its key. `single_shot`: never",
             .needs =
                 [](std::string_view value) {
                     return value == "keyed" ? std::vector<std::string_view>{"window_ms", "scope"}
                                             : std::vector<std::string_view>{};
                 }},
            &ClassSettings::idempotency,
            {{"free", Idempotency::Idempotent},
             {"keyed", Idempotency::IdempotentWithKey},
             {"single_shot", Idempotency::NonIdempotent}}),
        number({.name = "aim_ms",
                .fallback = "1000",
                .help = "latency objective: a response within this earns the full priority weight"},
               &ClassSettings::latency_objective, 1.0, kMaxDurationMs, kMilliseconds),
        number({.name = "give_up_ms",
                .fallback = "10000",
                .help = "request timeout of a client that does not send `X-Expires-In`"},
               &ClassSettings::request_timeout, 1.0, kMaxDurationMs, kMilliseconds),
        number({.name = "window_ms",
                .help = "keyed: how long servers discard repeats, from the first attempt that may have been "
                        "executed"},
               &ClassSettings::deduplication_window, 0.0, kMaxDurationMs, kMilliseconds),
        config::word({.name = "scope",
                      .help = "keyed: which servers discard repeats: `all`, or those in the `zone` or `cell` "
                              "of the first"},
                     &ClassSettings::deduplication_scope,
                     {{"all", DeduplicationScope::All},
                      {"zone", DeduplicationScope::Zone},
                      {"cell", DeduplicationScope::Cell}}),
        number({.name = "gain",
                .fallback = "1",
                .help = "priority weight of one request, relative to other classes"},
               &ClassSettings::priority_weight, 0.0, 1e6),
        number({.name = "late_worth",
                .fallback = "0.5",
                .help = "fraction of the weight that a response after `aim_ms` earns; 0: the request is "
                        "abandoned then"},
               &ClassSettings::late_response_weight, 0.0, 1.0)};
    Table<NamedClass> named{config::text<NamedClass>(
        {.name = "name", .help = "name in statistics and rules", .needed = true}, &NamedClass::name)};
    config::join(named, table, &NamedClass::settings);
    return named;
}

Table<NamedTenant> tenant_settings() {
    Table<TenantSettings> table{
        number({.name = "quota_rps",
                .fallback = "0",
                .help = "requests per second over all nodes that are within its quota; 0: unlimited"},
               &TenantSettings::quota_rps, 0.0, 1e9),
        number({.name = "share", .fallback = "0", .help = "fraction of the service"},
               &TenantSettings::fair_share, 0.0, 1.0)};
    Table<NamedTenant> named{config::text<NamedTenant>(
        {.name = "name", .help = "as clients send it in `X-Customer`", .needed = true}, &NamedTenant::name)};
    config::join(named, table, &NamedTenant::settings);
    return named;
}

Table<Settings> limit_settings() {
    return {
        number({.name = "max_attempts", .fallback = "2", .help = "attempts per request"},
               &Settings::max_attempts, 1, 8),
        number({.name = "connect_timeout_ms",
                .fallback = "1000",
                .help = "a connection to a server that is not established within this has failed"},
               &Settings::connect_timeout, 1.0, kMaxDurationMs, kMilliseconds),
        number({.name = "conn_idle_ms",
                .fallback = "4000",
                .help = "servers close a connection that is idle for this long; the node closes it earlier"},
               &Settings::connection_idle_timeout, 1.0, kMaxDurationMs, kMilliseconds),
        flag({.name = "cancel", .fallback = "on", .help = "attempts that are no longer needed are cancelled"},
             &Settings::cancel),
        flag({.name = "second_copies",
              .fallback = "off",
              .help = "two attempts of a request may be in flight at once"},
             &Settings::allows_hedging),
        flag({.name = "retry_after", .fallback = "on", .help = "rejections carry Retry-After"},
             &Settings::retry_after),
        number({.name = "max_retry_after_ms", .fallback = "1500", .help = "longest Retry-After"},
               &Settings::max_retry_after, 0.0, kMaxDurationMs, kMilliseconds)};
}

Table<Settings> safety_settings() {
    return {number({.name = "answer_grace_ms",
                    .fallback = "20",
                    .help = "how long after the client's deadline a final response still counts"},
                   &Settings::response_grace, 2.0, kMaxDurationMs, kMilliseconds),
            number({.name = "cold_ms",
                    .fallback = "5000",
                    .help = "duration of slow start after the start of a server"},
                   &Settings::slow_start_duration, 0.0, kMaxDurationMs, kMilliseconds),
            number({.name = "cold_from",
                    .fallback = "0.5",
                    .help = "fraction of its capacity that a server starts with"},
                   &Settings::slow_start_initial_capacity, 0.01, 1.0),
            number({.name = "overload_factor",
                    .fallback = "3",
                    .help = "a server in slow start fails when sent this multiple of its capacity"},
                   &Settings::overload_factor, 1.0, 1e6),
            number({.name = "tip_after_ms",
                    .fallback = "1500",
                    .help = "how long the overload must last before the server fails"},
                   &Settings::overload_after, 1.0, kMaxDurationMs, kMilliseconds),
            flag({.name = "removal_not_binding",
                  .fallback = "off",
                  .help = "requests may still be sent to a server that was removed from the list"},
                 &Settings::removal_not_binding)};
}

Table<Settings> price_settings() {
    return {
        number(
            {.name = "cross_zone",
             .fallback = "0.06",
             .help = "cost of an attempt in another zone, in requests; above 0.05 the own zone is preferred"},
            &Settings::cross_zone_cost, 0.0, 1e6),
        number({.name = "probe",
                .fallback = "0.2",
                .help = "cost of a probe, in requests; a higher cost means fewer probes"},
               &Settings::probe_cost, 0.0, 1e6),
        number({.name = "connection",
                .fallback = "0",
                .help = "cost of 100 connections to a server, in requests"},
               &Settings::connection_cost, 0.0, 1e6),
        number({.name = "over_share_worth",
                .fallback = "1",
                .help = "factor on the priority weight of requests over their tenant's quota"},
               &Settings::over_quota_weight, 0.0, 1.0)};
}

Table<Settings> health_settings() {
    return {flag({.name = "probes",
                  .fallback = "on",
                  .help = "servers are probed; if off, an unhealthy server gets single trial requests"},
                 &Settings::probes),
            flag({.name = "load_reports",
                  .fallback = "off",
                  .help = "responses to probes report the load, in `Endpoint-Load-Metrics: TEXT inflight=7`"},
                 &Settings::probes_report_load)};
}

}  // namespace ochrehub
