#include "lab/fleet/scenario.h"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <numeric>
#include <optional>
#include <random>

#include "config/toml_file.h"
#include "lab/scenario/scenario.h"

namespace ochrehub::lab::fleet {
namespace {

using config::Described;
using config::Table;
constexpr int kMembersMost = 256, kServersMost = 16;

/// Some of `all`: "3", "0-7,9", "any 2" (drawn), "half" (drawn), "all", "others" (but `but`), "s0" (a
/// server).
class Chooser {
public:
    Chooser(int members, int servers) : members_(members), servers_(servers) {}

    /// Why it names nobody, worded to follow it; empty: it names some.
    std::string fault(const std::string& text) const {
        std::mt19937_64 random(1);
        std::vector<int> some;
        return choose(text, {}, random, some);
    }
    std::vector<int> of(const std::string& text, const std::vector<int>& but, std::mt19937_64& random) const {
        std::vector<int> some;
        choose(text, but, random, some);
        return some;
    }

private:
    std::string choose(const std::string& text, const std::vector<int>& but, std::mt19937_64& random,
                       std::vector<int>& some) const {
        std::vector<int> all(static_cast<std::size_t>(members_));
        std::iota(all.begin(), all.end(), 0);
        if (text == "all" || text == "others") {
            for (int one : all)
                if (text == "all" || std::find(but.begin(), but.end(), one) == but.end()) some.push_back(one);
            return "";
        }
        if (text == "servers") {
            for (int i = 0; i < servers_; ++i) some.push_back(members_ + i);
            return servers_ > 0 ? "" : "names servers, and there are none";
        }
        if (text == "half" || text.starts_with("any ")) {
            int many = members_ / 2;
            if (text != "half" && !number(text.substr(4), 1, members_, many))
                return "is not any so many of the members";
            std::erase_if(all, [&](int one) { return std::find(but.begin(), but.end(), one) != but.end(); });
            for (std::size_t i = all.size(); i > 1; --i) std::swap(all[i - 1], all[random() % i]);
            all.resize(std::min(all.size(), std::size_t(many)));
            std::sort(all.begin(), all.end());
            some = all;
            return "";
        }
        for (std::size_t from = 0; from <= text.size();) {
            std::size_t end = std::min(text.find(',', from), text.size());
            std::string part = text.substr(from, end - from);
            from = end + 1;
            int first = 0, last = 0;
            std::size_t dash = part.find('-');
            if (part.starts_with("s") && number(part.substr(1), 0, servers_ - 1, first)) {
                some.push_back(members_ + first);
                continue;
            }
            bool sound = number(part.substr(0, dash), 0, members_ - 1, first);
            last = first;
            if (dash != std::string::npos)
                sound = sound && number(part.substr(dash + 1), first, members_ - 1, last);
            if (!sound) return "names no members: all, others, half, any N, servers, or as in 0-3,5,s0";
            for (int one = first; one <= last; ++one) some.push_back(one);
        }
        return "";
    }
    static bool number(const std::string& text, int least, int most, int& into) {
        auto [at, error] = std::from_chars(text.data(), text.data() + text.size(), into);
        return error == std::errc() && at == text.data() + text.size() && !text.empty() && into >= least &&
               into <= most;
    }

    int members_, servers_;
};

std::optional<FaultKind> kind_of(std::string_view word) {
    for (int i = 0; i <= int(FaultKind::Rekey); ++i)
        if (word == name(FaultKind(i))) return FaultKind(i);
    return std::nullopt;
}
std::string fault_of_kind() {
    std::vector<std::string_view> all;
    for (int i = 0; i <= int(FaultKind::Rekey); ++i) all.push_back(name(FaultKind(i)));
    return config::fault_of_words(all);
}

}  // namespace

struct Tables {
    using Run = Scenario::Run;
    using Told = Scenario::Told;
    using Drawn = Scenario::Drawn;

    static Table<Run> run() {
        return {
            config::text({.name = "summary", .help = "one line"}, &Run::summary),
            config::number({.name = "members", .fallback = "5", .help = "processes of the fleet"},
                           &Run::members, 2, kMembersMost),
            config::number(
                {.name = "servers", .fallback = "0", .help = "stand-ins, that the members are given"},
                &Run::servers, 0, kServersMost),
            config::number({.name = "seeds", .fallback = "3", .help = "the first ones, which each joins by"},
                           &Run::seeds, 1, kMembersMost),
            config::number({.name = "interval_ms", .fallback = "500", .help = "of [fleet]"},
                           &Run::interval_ms, 100.0, 10000.0),
            config::number({.name = "isolated_ms", .fallback = "5000", .help = "of [fleet]"},
                           &Run::isolated_ms, 1000.0, 60000.0),
            config::number(
                {.name = "settle_s", .fallback = "30", .help = "in which all know all, before anything else"},
                &Run::settle_s, 1.0, 600.0),
            config::number(
                {.name = "length_s", .fallback = "60", .help = "the longest that it goes on behind that"},
                &Run::length_s, 0.0, 3600.0),
            config::text({.name = "settings", .help = "further lines of each member's TOML file"},
                         &Run::settings),
            config::text(
                {.name = "may_die",
                 .fallback = "none",
                 .help = "none, touched (by a fault that stops or cuts off), or members as in `who`"},
                &Run::may_die)};
    }
    static Table<Told> faults() {
        auto seconds = [](std::string_view key, std::string_view fallback, double Told::*into,
                          std::string_view help) {
            return config::number({.name = key, .fallback = fallback, .help = help}, into, -1.0, 3600.0);
        };
        return {
            {{.name = "kind", .kind = config::Kind::Text, .help = "what goes wrong", .needed = true},
             [](Told& told, std::string_view value) {
                 auto found = kind_of(value);
                 if (found) told.kind = *found;
                 return found ? std::string() : fault_of_kind();
             }},
            config::number({.name = "at_s", .fallback = "0", .help = "its begin"}, &Told::at_s, 0.0, 3600.0),
            config::number({.name = "for_s", .fallback = "0", .help = "its length"}, &Told::for_s, 0.0,
                           3600.0),
            config::text({.name = "who", .fallback = "any 1", .help = "whom, or from whom"}, &Told::who),
            config::text({.name = "to", .fallback = "others", .help = "on links: to whom"}, &Told::to),
            config::flag({.name = "both", .fallback = "off", .help = "on links: both ways"}, &Told::both),
            config::number({.name = "part", .fallback = "1", .help = "share of what is sent"}, &Told::part,
                           0.0, 1.0),
            config::number({.name = "ms", .fallback = "0", .help = "late by up to; a clock's jump"},
                           &Told::ms, -600000.0, 600000.0),
            config::number({.name = "rate", .fallback = "1", .help = "a clock's"}, &Told::rate, 0.5, 2.0),
            config::number({.name = "bytes_s", .fallback = "1000", .help = "of a connection that crawls"},
                           &Told::bytes_s, 1.0, 1e9),
            config::text(
                {.name = "keys", .help = "new keys: a letter a key, the first signs; all begin with a"},
                &Told::keys),
            seconds("back_s", "-1", &Told::back_s, "killed: started again behind so long; -1: never"),
            config::flag({.name = "empty", .fallback = "off", .help = "... with an empty folder"},
                         &Told::empty),
            config::number(
                {.name = "times", .fallback = "1", .help = "so often, with draws of its own each time"},
                &Told::times, 1, 1000),
            seconds("every_s", "0", &Told::every_s, "... and so long behind each other"),
            seconds("jitter_s", "0", &Told::jitter_s, "its begin is drawn up to so much later")};
    }
    static Table<Drawn> drawn() {
        return {config::number({.name = "faults", .fallback = "0", .help = "so many more, drawn"},
                               &Drawn::faults, 0, 1000),
                config::number({.name = "within_s", .fallback = "30", .help = "their begins"},
                               &Drawn::within_s, 0.0, 3600.0),
                config::number({.name = "longest_s", .fallback = "5", .help = "their lengths"},
                               &Drawn::longest_s, 0.0, 600.0),
                {{.name = "kinds", .kind = config::Kind::Texts, .help = "of these kinds"},
                 [](Drawn& drawn, std::string_view value) {
                     auto found = kind_of(value);
                     if (found) drawn.kinds.push_back(*found);
                     return found ? std::string() : fault_of_kind();
                 }}};
    }
    static Table<Expect> expect() {
        auto bound = [](std::string_view key, double Expect::*into, std::string_view help) {
            return config::number({.name = key, .fallback = "-1", .help = help}, into, -1.0, 1e6);
        };
        return {config::number(
                    {.name = "deaths", .fallback = "0", .help = "of live ones, at most; -1: not asked"},
                    &Expect::deaths, -1.0, 1e6),
                bound("known_s", &Expect::known_s, "a killed one is dead to all others"),
                bound("undone_s", &Expect::undone_s, "behind a pause all have it back"),
                bound("isolated_s", &Expect::isolated_s, "one that is cut off says so and is dead to all"),
                bound("left_s", &Expect::left_s, "one that leaves has left to all"),
                bound("healed_s", &Expect::healed_s, "behind the last fault all is right"),
                bound("whole_s", &Expect::whole_s, "behind a kill the others' parts add up to the whole"),
                bound("served", &Expect::served, "share of the requests to those that run")};
    }
};

std::string shipped_folder() {
    return (std::filesystem::path(shipped_scenarios()) / "fleet").string();
}

Scenario Scenario::read(const std::string& name) {
    std::string path = name;
    if (!std::filesystem::exists(path))
        path = (std::filesystem::path(shipped_folder()) / (name + ".toml")).string();
    if (!std::filesystem::exists(path))
        throw ScenarioError("no scenario of a fleet is called '" + name + "', and no file is");
    Scenario all;
    all.name_ = std::filesystem::path(path).stem().string();
    config::TomlFile file(path);
    file.read({config::Section("", Tables::run(), all.run_),
               config::Section::list("fault", Tables::faults(), all.faults_),
               config::Section("draw", Tables::drawn(), all.drawn_),
               config::Section("expect", Tables::expect(), all.expect_)});
    if (file.readable()) {
        Chooser chooser(all.run_.members, all.run_.servers);
        for (std::size_t i = 0; i < all.faults_.size(); ++i) {
            std::string key = "fault[" + std::to_string(i) + "].";
            auto look = [&](const char* what, const std::string& text) {
                if (std::string why = chooser.fault(text); !why.empty()) file.wrong(key + what, why);
            };
            look("who", all.faults_[i].who);
            look("to", all.faults_[i].to);
            FaultKind kind = all.faults_[i].kind;
            const std::string& keys = all.faults_[i].keys;
            bool letters = !keys.empty() && keys.size() <= 4 &&
                           std::all_of(keys.begin(), keys.end(), [](char c) { return c >= 'a' && c <= 'd'; });
            if (kind == FaultKind::Rekey && !letters)
                file.wrong(key + "keys", "is not one to four of the letters a to d");
            if ((kind == FaultKind::Pause || kind == FaultKind::Slow) && all.faults_[i].for_s <= 0)
                file.wrong(key + "for_s", "is missing: how long it is stopped");
        }
        const std::string& may = all.run_.may_die;
        if (may != "none" && may != "touched" && !chooser.fault(may).empty())
            file.wrong("may_die", "is neither none nor touched, and " + chooser.fault(may));
        if (all.drawn_.faults > 0 && all.drawn_.kinds.empty())
            file.wrong("draw.kinds", "is missing: of which kinds they are");
    }
    std::string faults;
    for (const std::string& fault : file.faults()) faults += (faults.empty() ? "" : "\n") + fault;
    if (!faults.empty()) throw ScenarioError(faults);
    return all;
}

Day Scenario::draw(std::uint64_t seed) const {
    std::mt19937_64 random(seed * 0x9E3779B97F4A7C15ull + 1);
    auto uniform = [&random] { return double(random() >> 11) * 0x1p-53; };
    Day day;
    day.name = name_;
    day.seed = seed;
    day.members = run_.members;
    day.servers = run_.servers;
    day.seeds = std::min(run_.seeds, run_.members);
    day.interval_ms = run_.interval_ms;
    day.isolated_ms = run_.isolated_ms;
    day.settle_s = run_.settle_s;
    day.length_s = run_.length_s;
    day.settings = run_.settings;
    day.expect = expect_;
    Chooser chooser(run_.members, run_.servers);
    auto add = [&](const Told& told, double at_s) {
        Fault fault;
        fault.kind = told.kind;
        fault.at_s = at_s;
        fault.for_s = told.for_s;
        fault.who = chooser.of(told.who, {}, random);
        if (fault.of_links()) fault.to = chooser.of(told.to, fault.who, random);
        fault.both = told.both;
        fault.part = told.part;
        fault.ms = told.ms;
        fault.rate = told.rate;
        fault.bytes_s = told.bytes_s;
        if (told.kind == FaultKind::Kill) fault.back_s = told.back_s;
        fault.empty = told.empty;
        if (told.kind == FaultKind::Rekey) fault.keys = told.keys;
        day.faults.push_back(std::move(fault));
    };
    for (const Told& told : faults_)
        for (int i = 0; i < told.times; ++i)
            add(told, told.at_s + i * std::max(0.0, told.every_s) + uniform() * std::max(0.0, told.jitter_s));
    for (int i = 0; i < drawn_.faults; ++i) {
        Told told;
        told.kind = drawn_.kinds[random() % drawn_.kinds.size()];
        told.for_s = 0.1 + uniform() * drawn_.longest_s;
        told.back_s = uniform() * drawn_.longest_s;
        told.part = 0.05 + 0.4 * uniform();
        if (told.kind == FaultKind::Cut && uniform() < 0.5) told.to = "any 1";
        if (told.kind == FaultKind::Late || told.kind == FaultKind::Reorder) told.ms = 10 + 200 * uniform();
        if (told.kind == FaultKind::Clock) told.rate = 0.99 + 0.02 * uniform();
        told.both = uniform() < 0.3;
        add(told, uniform() * drawn_.within_s);
    }
    std::stable_sort(day.faults.begin(), day.faults.end(),
                     [](const Fault& a, const Fault& b) { return a.at_s < b.at_s; });
    day.may_die.assign(std::size_t(day.members), false);
    if (run_.may_die != "none" && run_.may_die != "touched")
        for (int one : chooser.of(run_.may_die, {}, random))
            if (one < day.members) day.may_die[std::size_t(one)] = true;
    for (const Fault& fault : day.faults) {
        bool ends = fault.kind == FaultKind::Kill ||
                    fault.kind == FaultKind::Leave;  // whoever they hit is gone for a while
        bool stops =
            fault.kind == FaultKind::Cut || fault.kind == FaultKind::Pause || fault.kind == FaultKind::Slow;
        if (ends || (stops && run_.may_die == "touched"))
            for (int one : fault.who) day.may_die[std::size_t(one)] = true;
    }
    return day;
}

}  // namespace ochrehub::lab::fleet
