#include "engine/settings.h"

namespace ochrehub {

using config::flag;
using config::kMilliseconds;
using config::number;
using config::Table;

namespace {

constexpr double kMaxDurationMs = 86400000;  // ms: longer is a slip of the pen

}  // namespace

Table<NamedClass> class_settings() {
    Table<ClassSettings> table{
        config::word({.name = "effect",
                      .fallback = "single_shot",
                      .help = "may it run again? `free`: yes. `keyed`: servers drop a repeat of its key. "
                              "`single_shot`: never",
                      .needs =
                          [](std::string_view value) {
                              return value == "keyed" ? std::vector<std::string_view>{"window_ms", "scope"}
                                                      : std::vector<std::string_view>{};
                          }},
                     &ClassSettings::idempotency,
                     {{"free", Idempotency::Idempotent},
                      {"keyed", Idempotency::IdempotentWithKey},
                      {"single_shot", Idempotency::NonIdempotent}}),
        number({.name = "aim_ms", .fallback = "1000", .help = "an answer within this earns the full worth"},
               &ClassSettings::latency_objective, 1.0, kMaxDurationMs, kMilliseconds),
        number({.name = "give_up_ms",
                .fallback = "10000",
                .help = "how long a client waits that does not say so in `X-Expires-In`"},
               &ClassSettings::request_timeout, 1.0, kMaxDurationMs, kMilliseconds),
        number({.name = "window_ms",
                .help = "keyed: how long servers drop repeats, from the first attempt that may have run"},
               &ClassSettings::deduplication_window, 0.0, kMaxDurationMs, kMilliseconds),
        config::word(
            {.name = "scope", .help = "keyed: which servers drop them: `all`, those of its `zone` or `cell`"},
            &ClassSettings::deduplication_scope,
            {{"all", DeduplicationScope::All},
             {"zone", DeduplicationScope::Zone},
             {"cell", DeduplicationScope::Cell}}),
        number(
            {.name = "gain", .fallback = "1", .help = "worth of one request, beside that of other classes"},
            &ClassSettings::priority_weight, 0.0, 1e6),
        number({.name = "late_worth",
                .fallback = "0.5",
                .help = "part of it that an answer behind the aim has; 0: it is given up there"},
               &ClassSettings::late_response_weight, 0.0, 1.0)};
    Table<NamedClass> named{config::text<NamedClass>(
        {.name = "name", .help = "what figures and rules call it", .needed = true}, &NamedClass::name)};
    config::join(named, table, &NamedClass::settings);
    return named;
}

Table<NamedTenant> tenant_settings() {
    Table<TenantSettings> table{
        number({.name = "quota_rps",
                .fallback = "0",
                .help = "requests a second, for all nodes together, that are within its share; 0: all"},
               &TenantSettings::quota_rps, 0.0, 1e9),
        number({.name = "share", .fallback = "0", .help = "its part of the service"},
               &TenantSettings::fair_share, 0.0, 1.0)};
    Table<NamedTenant> named{config::text<NamedTenant>(
        {.name = "name", .help = "as clients have it in `X-Customer`", .needed = true}, &NamedTenant::name)};
    config::join(named, table, &NamedTenant::settings);
    return named;
}

Table<Settings> limit_settings() {
    return {
        number({.name = "max_attempts", .fallback = "2", .help = "at servers, for one request"},
               &Settings::max_attempts, 1, 8),
        number({.name = "connect_timeout_ms",
                .fallback = "1000",
                .help = "a connection to a server that is not up within this has failed"},
               &Settings::connect_timeout, 1.0, kMaxDurationMs, kMilliseconds),
        number({.name = "conn_idle_ms",
                .fallback = "4000",
                .help = "servers close a connection that stood idle for this: it is closed before"},
               &Settings::connection_idle_timeout, 1.0, kMaxDurationMs, kMilliseconds),
        flag({.name = "cancel", .fallback = "on", .help = "attempts that are no use any more are called off"},
             &Settings::cancel),
        flag({.name = "second_copies",
              .fallback = "off",
              .help = "two attempts of a request may be out at once"},
             &Settings::allows_hedging),
        flag({.name = "retry_after", .fallback = "on", .help = "refusals say when to come back"},
             &Settings::retry_after),
        number({.name = "max_retry_after_ms", .fallback = "1500", .help = "... and no later than this"},
               &Settings::max_retry_after, 0.0, kMaxDurationMs, kMilliseconds)};
}

Table<Settings> safety_settings() {
    return {
        number({.name = "answer_grace_ms",
                .fallback = "20",
                .help = "how late behind a client's deadline a final answer still counts"},
               &Settings::response_grace, 2.0, kMaxDurationMs, kMilliseconds),
        number({.name = "cold_ms", .fallback = "5000", .help = "how long a server that has started is cold"},
               &Settings::slow_start_duration, 0.0, kMaxDurationMs, kMilliseconds),
        number({.name = "cold_from", .fallback = "0.5", .help = "part of its capacity that it starts with"},
               &Settings::slow_start_initial_capacity, 0.01, 1.0),
        number({.name = "overload_factor",
                .fallback = "3",
                .help = "a cold server falls over when sent this many times what it can do"},
               &Settings::overload_factor, 1.0, 1e6),
        number({.name = "tip_after_ms", .fallback = "1500", .help = "... for this long"},
               &Settings::overload_after, 1.0, kMaxDurationMs, kMilliseconds),
        flag({.name = "removal_not_binding",
              .fallback = "off",
              .help = "a server that leaves the list may still be sent to"},
             &Settings::removal_not_binding)};
}

Table<Settings> price_settings() {
    return {number({.name = "cross_zone",
                    .fallback = "0.06",
                    .help = "of an attempt in another zone, in requests; over 0.05 the own zone goes first"},
                   &Settings::cross_zone_cost, 0.0, 1e6),
            number({.name = "probe", .fallback = "0.2", .help = "of a probe; the dearer, the fewer"},
                   &Settings::probe_cost, 0.0, 1e6),
            number({.name = "connection", .fallback = "0", .help = "of 100 connections to a server"},
                   &Settings::connection_cost, 0.0, 1e6),
            number({.name = "over_share_worth",
                    .fallback = "1",
                    .help = "worth of a request over its tenant's quota, as a part"},
                   &Settings::over_quota_weight, 0.0, 1.0)};
}

Table<Settings> health_settings() {
    return {
        flag({.name = "probes",
              .fallback = "on",
              .help = "servers are probed; without, one found unhealthy gets a request at a time on trial"},
             &Settings::probes),
        flag({.name = "load_reports",
              .fallback = "off",
              .help = "answers to probes say what is held, in `Endpoint-Load-Metrics: TEXT inflight=7`"},
             &Settings::probes_report_load)};
}

}  // namespace ochrehub
