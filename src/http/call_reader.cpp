#include "http/call_reader.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <tuple>

namespace ochrehub::http {
namespace {

constexpr double kPatienceMost = 3600;  // seconds

std::string_view first_part(std::string_view target) {
    std::string_view path = path_of(target);
    if (!path.empty() && path.front() == '/') path.remove_prefix(1);
    return path.substr(0, path.find('/'));
}

}  // namespace

CallReader::CallReader(const Settings& settings, const Names& names, const HttpProfile& profile)
    : classes_(settings.classes),
      names_(names),
      routes_(profile.routes),
      needs_trace_id_(!profile.makes_trace_ids),
      random_(profile.trace_seed) {}

void CallReader::find_class(const HttpMessage& request, Reading& reading) const {
    int& found = reading.call.request.class_index;
    if (routes_.empty()) {
        found = index_of(names_.classes, first_part(request.target));
        if (found == kNone) {
            reading.status = 404;
        } else if (bool is_free = classes_[std::size_t(found)].idempotency == Idempotency::Idempotent;
                   request.method != (is_free ? "GET" : "POST")) {
            reading.status = 405;
            reading.allow = request.method == "GET" ? "POST" : "GET";
        }
        return;
    }
    // A target in the form of an authority or a `*` has no path that any class takes.
    std::string_view path = path_of(request.target);
    std::tuple<std::size_t, bool> best{0, false};
    found = kNone;
    reading.status = 404;
    for (std::size_t i = 0; i < routes_.size(); ++i) {
        const Route& route = routes_[i];
        if (!route.fits(path)) continue;
        if (reading.status == 404) reading.status = 405;
        bool any = route.methods.empty() && request.method != "CONNECT" && request.method != "TRACE";
        if (!any && !route.lists(request.method)) {
            for (const std::string& method : route.methods)
                if (reading.allow.find(method) == std::string::npos)
                    reading.allow.append(reading.allow.empty() ? "" : ", ").append(method);
            continue;
        }
        reading.status = 200;
        std::tuple<std::size_t, bool> rank{route.path.size(), !any};
        if (found != kNone && rank <= best) continue;
        best = rank;
        found = int(i);
    }
}

CallReader::Reading CallReader::read(const HttpMessage& request, TimePoint came) const {
    Reading reading;
    RequestArrived& call = reading.call.request;
    find_class(request, reading);
    call.tenant = index_of(names_.tenants, request.header("X-Customer"));
    if (reading.status != 200) return reading;
    auto wrong = [&reading](int status) {
        reading.status = status;
        return reading;
    };
    const ClassSettings& c = classes_[std::size_t(call.class_index)];
    // What is passed on must say who asks and until when, each once: a server may read the other one.
    for (const char* name : {"X-Trace-Id", "X-Customer", "X-Expires-In", "Idempotency-Key", "X-Object"})
        if (request.count(name) > 1) return wrong(400);
    if (needs_trace_id_ && request.header("X-Trace-Id").empty()) return wrong(400);
    if (c.idempotency == Idempotency::IdempotentWithKey && request.header("Idempotency-Key").empty())
        return wrong(400);
    call.is_client_retry = request.header("X-Second-Try") == "1";
    Duration patience = c.request_timeout;
    if (std::string_view text = request.header("X-Expires-In"); !text.empty()) {
        auto seconds = read_number<double>(text);
        if (!seconds || !std::isfinite(*seconds) || *seconds < 0) return wrong(400);
        patience = Duration{1000 * std::min(*seconds, kPatienceMost)};
    }
    reading.patience = patience;
    call.deadline = came + patience;
    if (std::string_view key = request.header("X-Object"); !key.empty())
        call.key = read_number<std::uint64_t>(key);
    return reading;
}

std::string CallReader::make_trace_id() {
    std::array<char, 20> text;
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(random_()));
    return text.data();
}

}  // namespace ochrehub::http
