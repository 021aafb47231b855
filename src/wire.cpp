#include "wire.h"

#include <array>
#include <charconv>
#include <functional>
#include <optional>
#include <type_traits>
#include <utility>

namespace ochrehub {
namespace {

struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};

void split(std::string_view line, std::vector<std::string_view>& fields) {
    fields.clear();
    while (true) {
        std::size_t end = line.find(' ');
        fields.push_back(line.substr(0, end));
        if (end == std::string_view::npos) return;
        line.remove_prefix(end + 1);
    }
}

void put(std::string& out, double value) {
    std::array<char, 64> text;
    auto end = std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, 3).ptr;
    out.append(text.data(), end);
}

template <class T>
requires std::is_integral_v<T>
void put(std::string& out, T value) {
    std::array<char, 24> text;
    out.append(text.data(), std::to_chars(text.data(), text.data() + text.size(), value).ptr);
}

}  // namespace

struct Wire::Instance {
    // A request's name is kept until it is concluded and each of its attempts has ended.
    struct Live {
        std::string name;
        int open = 0;
        bool concluded = false;
    };

    std::uint32_t who = 0;
    Names names;
    std::optional<Balancer> balancer;
    bool failed = false;
    std::unordered_map<std::string, RequestId, TextHash, std::equal_to<>> ids;
    std::unordered_map<RequestId, Live> live;
    RequestId next_id = 0;

    std::optional<RequestId> find(std::string_view name) const {
        auto it = ids.find(name);
        return it == ids.end() ? std::nullopt : std::optional(it->second);
    }
    RequestId add(std::string_view name) {
        RequestId id = next_id++;
        ids.emplace(name, id);
        live.emplace(id, Live{std::string(name), 0, false});
        return id;
    }
    void drop_if_over(RequestId id) {
        auto it = live.find(id);
        if (it == live.end() || !it->second.concluded || it->second.open > 0) return;
        ids.erase(it->second.name);
        live.erase(it);
    }
    void conclude(RequestId id) {
        auto it = live.find(id);
        if (it != live.end()) it->second.concluded = true;
    }
};

Wire::Wire() = default;
Wire::~Wire() = default;

void Wire::bad(const std::string& what) const {
    throw WireError(line_, what);
}

template <class T>
T Wire::number(std::string_view text, const char* what) const {
    auto value = read_number<T>(text);
    if (!value) bad(std::string(what) + " is not a whole number in range: '" + std::string(text) + "'");
    return *value;
}

double Wire::real(std::string_view text, const char* what) const {
    auto value = read_number<double>(text);
    if (!value || !(*value > -1e300 && *value < 1e300))
        bad(std::string(what) + " is not a number: '" + std::string(text) + "'");
    return *value;
}

bool Wire::flag(std::string_view text, const char* what) const {
    if (text == "1") return true;
    if (text != "0" && text != "-") bad(std::string(what) + " is not 0 or 1: '" + std::string(text) + "'");
    return false;
}

LoadReport Wire::report(std::string_view text) const {
    if (text == "-") return {};
    try {
        return parse_report(text, ':');
    } catch (const std::runtime_error& error) {
        bad(error.what());
    }
}

Outcome Wire::outcome(std::string_view text) const {
    static constexpr std::array<std::pair<std::string_view, Outcome>, 8> kWords{{
        {"ok", Outcome::Ok},
        {"error", Outcome::Error},
        {"full", Outcome::Rejected},
        {"timeout", Outcome::Timeout},
        {"connect_failed", Outcome::ConnectFailed},
        {"reset", Outcome::Reset},
        {"cancelled", Outcome::Cancelled},
        {"moot", Outcome::NotSent},
    }};
    for (const auto& [word, meaning] : kWords)
        if (word == text) return meaning;
    bad("unknown outcome '" + std::string(text) + "'");
}

Wire::Instance& Wire::instance(std::string_view who) {
    auto it = instances_.find(number<std::uint32_t>(who, "instance"));
    if (it == instances_.end()) bad("instance " + std::string(who) + " has not started");
    return *it->second;
}

void Wire::need(std::size_t count) const {
    if (fields_.size() != count)
        bad(std::string(fields_[0]) + " takes " + std::to_string(count - 1) + " values, not " +
            std::to_string(fields_.size() - 1));
}

bool Wire::take_line(std::string_view line, std::string& out) {
    ++line_;
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    split(line, fields_);
    if (fields_[0] == "HOST") {
        if (hosts_due_ == 0) bad("HOST line that no REGISTRY announced");
        take_host(reply_);
        return false;
    }
    if (hosts_due_ > 0) bad(std::to_string(hosts_due_) + " more HOST lines were announced");
    if (fields_[0] == "TURN") {
        if (in_batch_) bad("TURN inside a batch");
        need(2);
        now_ = TimePoint{Duration{real(fields_[1], "clock")}};
        in_batch_ = true;
        reply_.clear();
        return false;
    }
    if (!in_batch_)
        bad(fields_[0].empty() ? "empty line" : "message before TURN: '" + std::string(fields_[0]) + "'");
    if (fields_[0] == "FLUSH") {
        need(1);
        in_batch_ = false;
        out += reply_;
        out += "FINISHED\n";
        return true;
    }
    take_event(reply_);
    return false;
}

void Wire::end_of_input() const {
    if (in_batch_) throw WireError(line_ + 1, "end of input inside a batch");
}

void Wire::take_event(std::string& out) {
    std::string_view name = fields_[0];
    if (name == "JOB_IN") return job_in(out);
    if (name == "ATTEMPT_END") return attempt_end(out);
    if (name == "PROBE_RESULT") {
        need(6);
        ProbeEnded e{number<EndpointId>(fields_[2], "host"), outcome(fields_[4]),
                     Duration{real(fields_[3], "elapsed")}, report(fields_[5])};
        return deliver(instance(fields_[1]), e, out);
    }
    if (name == "ALARM") {
        need(3);
        return deliver(instance(fields_[1]), TimerFired{}, out);
    }
    if (name == "REGISTRY") {
        need(5);
        list_for_ = &instance(fields_[1]);
        unsigned kind = number<unsigned>(fields_[2], "list kind");
        if (kind > 3) bad("unknown list kind '" + std::string(fields_[2]) + "'");
        list_.kind = UpdateKind(kind);
        list_.entries.clear();
        hosts_due_ = fields_[4] == "-" ? 0 : number<std::uint64_t>(fields_[4], "number of entries");
        if (hosts_due_ == 0) list_done(out);
        return;
    }
    if (name == "EXPIRED") {
        need(3);
        Instance& to = instance(fields_[1]);
        if (auto id = to.find(fields_[2])) {
            to.conclude(*id);
            deliver(to, ClientDisconnected{*id}, out);
            to.drop_if_over(*id);
        }
        return;
    }
    if (name == "STREAMING") {
        need(6);
        Instance& to = instance(fields_[1]);
        int attempt = number<int>(fields_[4], "attempt");
        if (auto id = to.find(fields_[2])) deliver(to, StreamStarted{*id, attempt}, out);
        return;
    }
    if (name == "NEIGHBOUR_SAYS") {  // the module neither sends nor heeds peer messages
        need(4);
        instance(fields_[1]);
        return;
    }
    if (name == "ENLIST") return enlist(out);
    if (name == "POWER_OFF") {
        need(2);
        instances_.erase(instance(fields_[1]).who);
        return;
    }
    bad("unknown message '" + std::string(name) + "'");
}

void Wire::take_host(std::string& out) {
    need(8);
    EndpointEntry e = make_entry(list_for_->names, fields_[2], fields_[3]);
    e.endpoint = number<EndpointId>(fields_[1], "host");
    e.cell = fields_[4] == "-" ? kNone : number<int>(fields_[4], "pod");
    unsigned phase = number<unsigned>(fields_[5], "phase");
    if (phase > 2) bad("unknown phase '" + std::string(fields_[5]) + "'");
    e.phase = Phase(phase);
    e.weight = fields_[6] == "-" ? 1 : real(fields_[6], "size");
    set_last_start(e, fields_[7] == "-" ? 0 : real(fields_[7], "last start"));
    list_.entries.push_back(e);
    if (--hosts_due_ == 0) list_done(out);
}

void Wire::list_done(std::string& out) {
    deliver(*list_for_, list_, out);
}

void Wire::enlist(std::string& out) {
    if (fields_.size() < 3) bad("ENLIST takes an instance, a seed and settings");
    std::uint32_t who = number<std::uint32_t>(fields_[1], "instance");
    std::uint64_t seed = number<std::uint64_t>(fields_[2], "seed");
    auto fresh = std::make_unique<Instance>();
    fresh->who = who;
    Settings settings;
    try {
        settings = parse_settings({fields_.begin() + 3, fields_.end()}, fresh->names);
    } catch (const std::runtime_error& error) {
        bad(error.what());
    }
    try {
        fresh->balancer.emplace(std::move(settings), seed);
    } catch (const std::exception& error) {
        fresh->failed = true;
        out += "FATAL " + std::to_string(who) + " " + error.what() + "\n";
    }
    instances_[who] = std::move(fresh);
}

void Wire::job_in(std::string& out) {
    need(10);
    Instance& to = instance(fields_[1]);
    RequestArrived e;
    e.class_index = index_of(to.names.classes, fields_[9]);
    if (e.class_index == kNone) bad("unknown class '" + std::string(fields_[9]) + "'");
    e.tenant = index_of(to.names.tenants, fields_[6]);
    flag(fields_[3], "write mark");
    if (fields_[4] != "-") e.key = number<std::uint64_t>(fields_[4], "key");
    e.deadline = TimePoint{Duration{real(fields_[5], "give-up time")}};
    e.is_client_retry = flag(fields_[7], "repeat mark");
    if (fields_[8] != "-") e.effort = Duration{real(fields_[8], "effort")};
    if (to.find(fields_[2])) bad("request '" + std::string(fields_[2]) + "' came twice");
    e.request = to.add(fields_[2]);
    deliver(to, e, out);
    to.drop_if_over(e.request);
}

void Wire::attempt_end(std::string& out) {
    need(9);
    Instance& to = instance(fields_[1]);
    AttemptEnded e;
    e.attempt = number<int>(fields_[3], "attempt");
    e.endpoint = number<EndpointId>(fields_[4], "host");
    e.outcome = outcome(fields_[5]);
    e.elapsed = Duration{real(fields_[6], "elapsed")};
    e.request_completed = flag(fields_[7], "end mark");
    e.report = report(fields_[8]);
    auto id = to.find(fields_[2]);
    if (!id) return;
    e.request = *id;
    Instance::Live& live = to.live.at(*id);
    --live.open;
    if (e.request_completed) live.concluded = true;
    deliver(to, e, out);
    to.drop_if_over(*id);
}

void Wire::deliver(Instance& to, const Event& event, std::string& out) {
    if (to.failed) return;
    actions_.clear();
    try {
        to.balancer->handle(now_, event, actions_);
    } catch (const std::exception& error) {
        to.failed = true;
        out += "FATAL " + std::to_string(to.who) + " " + error.what() + "\n";
        return;
    }
    for (const Action& action : actions_) write(to, action, out);
}

void Wire::write(Instance& from, const Action& action, std::string& out) {
    auto begin = [&](std::string_view word) {
        out += word;
        out += ' ';
        put(out, from.who);
    };
    auto request = [&](RequestId id) -> Instance::Live& {
        Instance::Live& live = from.live.at(id);
        out += ' ';
        out += live.name;
        return live;
    };
    auto number_after_space = [&](auto value) {
        out += ' ';
        put(out, value);
    };
    std::optional<RequestId> over;
    std::visit(
        [&](const auto& a) {
            using T = std::decay_t<decltype(a)>;
            if constexpr (std::is_same_v<T, Forward>) {
                begin("FORWARD");
                ++request(a.request).open;
                number_after_space(a.endpoint);
                number_after_space(a.timeout.count());
            } else if constexpr (std::is_same_v<T, Reject>) {
                begin("OVERLOAD_REPLY");
                request(a.request).concluded = true;
                number_after_space(a.retry_after.count());
                over = a.request;
            } else if constexpr (std::is_same_v<T, Fail>) {
                begin("LOSE");
                request(a.request).concluded = true;
                over = a.request;
            } else if constexpr (std::is_same_v<T, Cancel>) {
                begin("ABANDON");
                request(a.request);
                number_after_space(a.attempt);
            } else if constexpr (std::is_same_v<T, Probe>) {
                begin("HEALTH_CHECK");
                number_after_space(a.endpoint);
            } else if constexpr (std::is_same_v<T, CloseIdleConnections>) {
                begin("CLOSE");
                number_after_space(a.endpoint);
            } else if constexpr (std::is_same_v<T, WatchEndpoints>) {
                begin("TRACK");
                out += " 1";
            } else if constexpr (std::is_same_v<T, SetTimer>) {
                begin("NOTIFY_ME");
                out += " wake";
                number_after_space(a.at.time_since_epoch().count());
            } else {
                static_assert(std::is_same_v<T, Log>);
                begin("PRINT");
                out += ' ';
                out += a.text;
            }
        },
        action);
    out += '\n';
    if (over) from.drop_if_over(*over);
}

}  // namespace ochrehub
