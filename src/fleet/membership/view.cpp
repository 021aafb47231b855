#include "fleet/membership/view.h"

#include <array>
#include <cstdio>
#include <map>

#include "base/log.h"

namespace ochrehub::membership {
namespace {

constexpr Duration kDoubledShown{60'000};

std::string seconds(Duration ago) {
    std::array<char, 32> text;
    return {text.data(), std::size_t(std::snprintf(text.data(), text.size(), "%.3f", ago.count() / 1000))};
}

template <class Text>
std::string as_string(const Text& text) {
    return {text.begin(), text.end()};
}

void put(std::string& out, std::string_view key, std::string_view value, bool first = false) {
    out.append(first ? "\"" : ",\"").append(key).append("\":");
    append_json(out, value);
}
void put(std::string& out, std::string_view key, std::uint64_t value) {
    out.append(",\"").append(key).append("\":").append(std::to_string(value));
}
void put(std::string& out, std::string_view key, bool value) {
    out.append(",\"").append(key).append(value ? "\":true" : "\":false");
}
void put_seconds(std::string& out, std::string_view key, Duration ago) {
    out.append(",\"").append(key).append("\":").append(seconds(ago));
}

}  // namespace

std::string_view name(MemberState state) {
    constexpr std::array<std::string_view, 4> kNames{"alive", "suspect", "dead", "left"};
    return kNames[std::size_t(state)];
}

std::string self_report_text(std::uint8_t report) {
    std::string out;
    auto add = [&](std::uint8_t bit, const char* word) {
        if ((report & bit) == 0) return;
        out.append(out.empty() ? "" : ",").append(word);
    };
    add(kReportsDeaf, "deaf");
    add(kReportsUnheard, "unheard");
    add(kReportsStalled, "stalled");
    return out;
}

std::string to_string(const MemberAddress& address) {
    std::string out;
    for (int shift = 24; shift >= 0; shift -= 8) {
        out += std::to_string(address.host >> shift & 255);
        out += shift > 0 ? '.' : ':';
    }
    return out += std::to_string(address.port);
}

MembershipView make_view(const Membership& core, TimePoint now) {
    MembershipView view;
    view.self = core.self();
    view.name = as_string(core.settings().name);
    view.zone = as_string(core.settings().zone_name);
    view.instance = core.settings().instance;
    view.isolated_since = core.isolated_since();
    view.local_health_score = std::size_t(core.local_health_score());
    view.counts = core.counts();
    std::map<std::string, int> names;
    ++names[view.name];
    core.for_each_member([&](const Membership::Member& member) {
        MembershipView::Member one;
        one.update = member.update;
        one.name = as_string(member.name);
        one.zone = as_string(member.zone_name);
        one.instance = member.instance;
        one.restarts = member.restarts;
        one.met = member.met;
        one.doubled =
            member.duplicate_seen_at != TimePoint{} && now - member.duplicate_seen_at < kDoubledShown;
        one.since = member.state_since;
        bool here = member.update.state <= MemberState::Suspect;
        view.here += here && (member.update.self_report & kReportsStalled) == 0;
        if (here && member.met) ++names[one.name];
        view.members.push_back(std::move(one));
    });
    for (MembershipView::Member& one : view.members)
        one.same_name = one.met && one.update.state <= MemberState::Suspect && names[one.name] > 1;
    return view;
}

std::string to_json(const MembershipView& view, TimePoint now) {
    std::string out = "{";
    put(out, "cluster", view.cluster, true);
    out += ",\"self\":{";
    put(out, "name", view.name, true);
    put(out, "place", to_string(view.self.address));
    put(out, "zone", view.zone);
    put(out, "incarnation", std::uint64_t(view.self.incarnation));
    put(out, "instance", std::uint64_t(view.instance));
    put(out, "says", self_report_text(view.self.self_report));
    bool isolated = (view.self.self_report & kReportsIsolated) != 0;
    put(out, "isolated", isolated);
    if (isolated) put_seconds(out, "isolated_for_s", now - view.isolated_since);
    put(out, "doubt", std::uint64_t(view.local_health_score));
    out += "}";
    put(out, "here", std::uint64_t(view.here));
    put(out, "sharing", std::uint64_t(view.sharing));
    out += ",\"members\":[";
    for (std::size_t i = 0; i < view.members.size(); ++i) {
        const MembershipView::Member& one = view.members[i];
        out += i > 0 ? ",\n{" : "\n{";
        put(out, "name", one.name, true);
        put(out, "place", to_string(one.update.address));
        put(out, "zone", one.zone);
        put(out, "state", name(one.update.state));
        put_seconds(out, "for_s", now - one.since);
        put(out, "incarnation", std::uint64_t(one.update.incarnation));
        put(out, "instance", std::uint64_t(one.instance));
        put(out, "restarts", std::uint64_t(one.restarts));
        put(out, "says", self_report_text(one.update.self_report));
        put(out, "met", one.met);
        put(out, "doubled", one.doubled);
        put(out, "same_name", one.same_name);
        out += "}";
    }
    return out += "]}\n";
}

std::string metrics(const MembershipView& view) {
    std::string out;
    auto describe = [&](std::string_view name, std::string_view type, std::string_view help) {
        out.append("# HELP ").append(name).append(" ").append(help).append("\n");
        out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
    };
    auto value = [&](std::string_view name, std::uint64_t number) {
        out.append(name).append(" ").append(std::to_string(number)).append("\n");
    };
    std::array<std::uint64_t, 4> states{};
    std::uint64_t stalled = 0, doubled = 0;
    for (const MembershipView::Member& one : view.members) {
        ++states[std::size_t(one.update.state)];
        stalled +=
            one.update.state <= MemberState::Suspect && (one.update.self_report & kReportsStalled) != 0;
        doubled += one.doubled || one.same_name;
    }
    describe("fleet_members", "gauge", "Other members by state.");
    for (std::size_t i = 0; i < states.size(); ++i)
        value("fleet_members{state=\"" + std::string(name(MemberState(i))) + "\"}", states[i]);
    describe("fleet_stalled", "gauge", "Other members here that say that their loop stands still.");
    value("fleet_stalled", stalled);
    describe("fleet_doubled", "gauge", "Other members that share a place or a name.");
    value("fleet_doubled", doubled);
    describe("fleet_isolated", "gauge", "1: this node is not heard by others, or hears nobody.");
    value("fleet_isolated", (view.self.self_report & kReportsIsolated) != 0);
    describe("fleet_sharing", "gauge", "By how many nodes this one divides limits and budgets.");
    value("fleet_sharing", std::uint64_t(view.sharing));
    describe("fleet_datagrams_total", "counter", "Datagrams by what became of them.");
    value("fleet_datagrams_total{what=\"sent\"}", view.counts.sent);
    value("fleet_datagrams_total{what=\"unsent\"}", view.unsent);
    value("fleet_reading_held_total", view.held);
    value("fleet_datagrams_total{what=\"received\"}", view.counts.received);
    for (std::size_t i = 1; i < kDecodeErrors; ++i)
        value("fleet_datagrams_total{what=\"" + std::string(name(DecodeError(i))) + "\"}", view.refused[i]);
    describe("fleet_refuted_total", "counter", "Times that it refuted what was said of it.");
    value("fleet_refuted_total", view.counts.refutations);
    describe("fleet_late_total", "counter", "Times that this process stood still.");
    value("fleet_late_total", view.counts.late_timers);
    return out;
}

}  // namespace ochrehub::membership
