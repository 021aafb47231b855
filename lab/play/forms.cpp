#include "lab/play/forms.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace ochrehub::lab {
namespace {

constexpr std::string_view kPadding = "the-quick-brown-fox-jumps-over-the-lazy-dog.";

std::uint64_t mix(std::uint64_t x) {
    x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9;
    x = (x ^ x >> 27) * 0x94d049bb133111eb;
    return x ^ x >> 31;
}

// Mostly small, now and then larger than a socket takes at once.
std::size_t size_of(std::uint64_t number) {
    std::uint64_t drawn = mix(number);
    return drawn % 128 == 0 ? 24000 : 64 + drawn / 128 % 400;
}

std::string padded(std::string text, std::size_t size) {
    std::uint64_t from = mix(text.size() + size);
    while (text.size() < size) text += kPadding[from++ % kPadding.size()];
    return text;
}

std::optional<double> read_double(std::string_view text) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::string_view part(std::string_view props, std::string_view name) {
    while (!props.empty()) {
        std::string_view one = props.substr(0, props.find(','));
        props.remove_prefix(std::min(props.size(), one.size() + 1));
        if (one.substr(0, name.size()) == name && one.size() > name.size() && one[name.size()] == '=')
            return one.substr(name.size() + 1);
    }
    return {};
}

}  // namespace

std::string hex16(std::uint64_t number) {
    return fmt::format("{:016x}", number);
}

std::optional<std::uint64_t> read_hex16(std::string_view text) {
    std::uint64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

std::string target_of(const std::string& class_name, TryId id) {
    return fmt::format("/{}/{:016x}?n={}", class_name, id, mix(id) % 1000);
}

std::string request_body(TryId id) {
    return padded(fmt::format("for={:016x};", id), size_of(id));
}

std::string idempotency_key(std::uint64_t key) {
    return fmt::format("{:016x}{:016x}", mix(key), key);
}

std::string answer_body(AttemptNo attempt) {
    return padded(fmt::format("attempt={};", attempt), size_of(attempt));
}

AttemptNo read_answer(std::string_view body) {
    constexpr std::string_view kBegin = "attempt=";
    if (body.substr(0, kBegin.size()) != kBegin) return 0;
    AttemptNo attempt = 0;
    std::from_chars(body.data() + kBegin.size(), body.data() + body.size(), attempt);
    return body == answer_body(attempt) ? attempt : 0;
}

std::string request_text(const Day& day, const Ask& ask, Duration patience) {
    const ClassFigures& cls = day.classes[std::size_t(ask.cls)];
    bool free = cls.effect == Idempotency::Idempotent;
    std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: {:016x}\r\n",
                                   free ? "GET" : "POST", target_of(cls.name, ask.id), ask.id);
    if (ask.tenant >= 0) text += "X-Customer: " + day.tenants[std::size_t(ask.tenant)].name + "\r\n";
    text += fmt::format("X-Expires-In: {:.6f}\r\nX-Props: work={:.4f},wait={:.4f}",
                        std::max(0.0, patience.count()) / 1000, ask.work.count(), ask.wait.count());
    text += ask.key ? fmt::format(",key={}\r\n", *ask.key) : "\r\n";
    if (ask.marked) text += "X-Second-Try: 1\r\n";
    if (cls.effect == Idempotency::IdempotentWithKey && ask.key)
        text += "Idempotency-Key: " + idempotency_key(*ask.key) + "\r\n";
    if (free) return text + "\r\n";
    std::string body = request_body(ask.id);
    return text + fmt::format("Content-Length: {}\r\n\r\n", body.size()) + body;
}

RequestForm read_request(const Day& day, const http::HttpMessage& message) {
    RequestForm form;
    if (message.count("X-Trace-Id") == 1) form.id = read_hex16(message.header("X-Trace-Id")).value_or(0);
    std::string_view path = http::path_of(message.target);
    if (!path.empty()) path.remove_prefix(1);
    std::string_view name = path.substr(0, path.find('/'));
    auto found =
        std::find_if(day.classes.begin(), day.classes.end(), [&](const auto& c) { return c.name == name; });
    if (found != day.classes.end()) form.cls = int(found - day.classes.begin());
    std::string_view props = message.header("X-Props");
    if (auto work = read_double(part(props, "work"))) form.work = Duration{*work};
    if (auto wait = read_double(part(props, "wait"))) form.wait = Duration{*wait};
    if (auto expires = read_double(message.header("X-Expires-In")))
        form.expires_in = Duration{*expires * 1000};
    std::string_view key = message.header("Idempotency-Key");
    if (key.size() == 32) form.key = read_hex16(key.substr(16));
    if (form.cls == kNone) {
        form.as_sent = false;
        return form;
    }
    const ClassFigures& cls = *found;
    bool free = cls.effect == Idempotency::Idempotent;
    form.as_sent = message.method == (free ? "GET" : "POST") &&
                   message.target == target_of(cls.name, form.id) &&
                   message.body_view() == (free ? "" : request_body(form.id)) &&
                   (cls.effect == Idempotency::IdempotentWithKey) == !key.empty() &&
                   (key.empty() || (form.key && key == idempotency_key(*form.key)));
    return form;
}

std::string report_text(const ServerReport& report) {
    return fmt::format("queue={:g}, latency_ms={:.4g}, qps={:.4g}", report.queue, report.latency_ms,
                       report.qps);
}

std::string answer_text(int status, const std::string& headers, std::string_view body) {
    const char* reason = status == 200   ? "OK"
                         : status == 400 ? "Bad Request"
                         : status == 404 ? "Not Found"
                         : status == 500 ? "Internal Server Error"
                                         : "Service Unavailable";
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n{}Content-Length: {}\r\n\r\n", status, reason, headers, body.size());
    return text.append(body);
}

}  // namespace ochrehub::lab
