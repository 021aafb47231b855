#include "http/http_profile.h"

#include <algorithm>
#include <cstdint>

namespace ochrehub::http {

namespace {

constexpr double kHour = 3600000;  // ms

config::Setting<HttpProfile> time(config::Described described, std::chrono::milliseconds HttpProfile::*into,
                                  double least) {
    return config::number<HttpProfile, double>(
        described, least, kHour, config::kMilliseconds, [into](HttpProfile& profile, double ms) {
            profile.*into = std::chrono::milliseconds(std::chrono::milliseconds::rep(ms));
        });
}

}  // namespace

bool Route::fits(std::string_view whole_path) const {
    if (path == "/") return whole_path.starts_with('/');
    return whole_path.starts_with(path) &&
           (whole_path.size() == path.size() || whole_path[path.size()] == '/');
}

bool Route::lists(std::string_view method) const {
    return std::find(methods.begin(), methods.end(), method) != methods.end();
}

config::Table<HttpProfile> settings() {
    return {
        config::word({.name = "trace_id",
                      .fallback = "made",
                      .help = "a request without `X-Trace-Id`: one is `made`, or it is `required` (400)"},
                     &HttpProfile::makes_trace_ids, {{"made", true}, {"required", false}}),
        config::word(
            {.name = "pass",
             .fallback = "all",
             .help = "servers' answers that reach clients: `all`, those `below_500`, or `200` alone; "
                     "others are errors, for which another server is tried"},
            &HttpProfile::pass,
            {{"all", HttpProfile::Pass::All},
             {"below_500", HttpProfile::Pass::Below500},
             {"200", HttpProfile::Pass::Only200}}),
        config::number<HttpProfile, double>(
            {.name = "answer_ms",
             .fallback = "0",
             .help = "longest time without a further byte of an answer that has begun; 0: the request's own "
                     "time"},
            0, kHour, config::kMilliseconds,
            [](HttpProfile& profile, double ms) {
                profile.answer_most = std::chrono::milliseconds(std::chrono::milliseconds::rep(ms));
                profile.answer_by_request = false;
            }),
        config::number({.name = "body_mb", .fallback = "0", .help = "longest body either way; 0: any"},
                       &HttpProfile::body_mb, 0, 1000000),
        time({.name = "client_idle_ms",
              .fallback = "30000",
              .help = "a client's connection without a request is closed after this"},
             &HttpProfile::client_idle, 100),
        time({.name = "request_ms",
              .fallback = "10000",
              .help = "a request that is not whole this long after its first byte is answered 408"},
             &HttpProfile::request_most, 100)};
}

config::Table<Route> route_settings() {
    return {{{.name = "path", .fallback = "/", .help = "takes requests for this path and all below it"},
             [](Route& route, std::string_view value) -> std::string {
                 if (!value.starts_with('/') || value.find_first_of("?# ") != std::string_view::npos)
                     return "is not a path: /, or /a/b";
                 while (value.size() > 1 && value.ends_with('/')) value.remove_suffix(1);
                 route.path = value;
                 return {};
             }},
            {{.name = "methods",
              .kind = config::Kind::Texts,
              .help = "takes these; by default `free`: GET, HEAD and OPTIONS, `keyed`: POST, PUT, PATCH and "
                      "DELETE, `single_shot`: any"},
             [](Route& route, std::string_view value) -> std::string {
                 bool capitals = !value.empty() && std::all_of(value.begin(), value.end(),
                                                               [](char c) { return c >= 'A' && c <= 'Z'; });
                 // A tunnel, and a loop back of what proxies have added: neither is passed on.
                 if (!capitals || value == "CONNECT" || value == "TRACE")
                     return "is not a method that is passed on";
                 route.methods.emplace_back(value);
                 return {};
             }}};
}

config::Table<HttpProfile> probe_settings() {
    return {{{.name = "path",
              .fallback = "/",
              .help = "what a probe GETs of a server; any answer below 500 says that it is well"},
             [](HttpProfile& profile, std::string_view value) -> std::string {
                 if (!value.starts_with('/') || value.find_first_of("# ") != std::string_view::npos)
                     return "is not a path: /, or /a/b";
                 profile.probe_path = value;
                 profile.probes_by_status = true;
                 return {};
             }}};
}

}  // namespace ochrehub::http
