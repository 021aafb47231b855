// What one setting demands of another. Values already found faulty are left out: one mistake, one line.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "lab/scenario/drawer.h"

namespace ochrehub::lab::scenario {

namespace {

std::vector<std::string> names_of(const std::vector<Block>& blocks) {
    std::vector<std::string> names;
    names.reserve(blocks.size());
    for (const Block& block : blocks) names.push_back(block.entry);
    return names;
}

class Check {
public:
    Check(const Scenario::Content& content, Problems& problems)
        : content_(content),
          problems_(problems),
          length_(content.one("day")["length_s"]),
          fleet_(content.one("fleet")["servers"]),
          nodes_(content.one("nodes")["count"]),
          zones_(names_of(zones_of(content))),
          tenants_(names_of(content.all("tenant"))) {}

    void all() {
        day();
        lists();
        classes();
        cold();
        zones();
        const double drawn = random_faults();
        for (const Block& block : content_.all("fault")) fault(block);
        load(drawn);
        expectations();
    }

private:
    static bool sound(std::initializer_list<const Value*> values) {
        return std::all_of(values.begin(), values.end(), [](const Value* each) { return each->sound; });
    }
    void add(const Block& block, std::string_view key, std::string what) {
        const Value& value = block[key];
        problems_.add(value.given ? value.at : block.at, fmt::format("{}.{}", block.section->name, key),
                      std::move(what));
    }
    /// At whichever of the two the scenario says itself.
    void add_either(const Block& block, std::string_view key, std::string what, const Block& other,
                    std::string_view other_key, std::string other_what) {
        if (block[key].given)
            add(block, key, std::move(what));
        else
            add(other, other_key, std::move(other_what));
    }
    void no_such(Where at, std::string key, std::string_view what, const std::string& name,
                 const std::vector<std::string>& known) {
        const std::string near = nearest(name, known);
        problems_.add(at, std::move(key),
                      fmt::format("there is no {} \"{}\"{}", what, name,
                                  near.empty() ? "" : fmt::format("; did you mean \"{}\"?", near)));
    }

    void day() {
        const Block& day = content_.one("day");
        const Value& from = day["counted_from_s"];
        if (from.given && sound({&from, &length_}) && from.hi >= length_.lo)
            add(day, "counted_from_s",
                fmt::format("{} is no time before the day's end at {}", plain(from.hi), plain(length_.lo)));
    }

    void lists() {
        for (const auto& [section, key] : {std::pair{"kind", "share"},
                                           {"class", "share"},
                                           {"tenant", "share"},
                                           {"zone", "traffic"},
                                           {"zone", "servers"}}) {
            const std::vector<Block>& blocks = content_.all(section);
            // The least that may be drawn of all of them must leave something to divide by.
            const bool nothing = std::none_of(
                blocks.begin(), blocks.end(),
                [&, name = key](const Block& each) { return each[name].lo > 0 || !each[name].sound; });
            if (nothing)
                add(blocks.front(), key,
                    fmt::format("the {} of all [[{}]] may add up to nothing",
                                std::string_view(key) == "share" ? "shares" : "weights", section));
        }
        const std::vector<Block>& tenants = content_.all("tenant");
        const bool idle = std::none_of(tenants.begin(), tenants.end(), [](const Block& each) {
            return (each["usage"].lo > 0 && each["share"].lo > 0) || !sound({&each["usage"], &each["share"]});
        });
        const bool shared = std::any_of(tenants.begin(), tenants.end(),
                                        [](const Block& each) { return each["share"].lo > 0; });
        if (idle && shared) add(tenants.front(), "usage", "no [[tenant]] with a share asks for anything");
    }

    void classes() {
        for (const Block& block : content_.all("class")) {
            const Value &aim = block["aim_ms"], &give_up = block["give_up_ms"], &effect = block["effect"];
            if (sound({&aim, &give_up}) && aim.hi > give_up.lo)
                add_either(block, "aim_ms",
                           fmt::format("{} is after give_up_ms, {}", plain(aim.hi), plain(give_up.lo)), block,
                           "give_up_ms",
                           fmt::format("{} is before aim_ms, {}", plain(give_up.lo), plain(aim.hi)));
            if (effect.sound && effect.names.size() > 1)
                add(block, "effect", "wants a single one: what clients may count on is not drawn");
            if (block["scope"].sound && block["scope"].names.size() > 1)
                add(block, "scope", "wants a single one: what clients may count on is not drawn");
            if (effect.sound && effect.name() == "guarded" && block["window_ms"].sound &&
                block["window_ms"].lo <= 0)
                add(block, "window_ms", "wants more than 0 for a guarded class");
        }
    }

    /// Nodes are told the worst of it: no server may be worse.
    void cold() {
        const Block& limits = content_.one("limits");
        const Value &told_from = limits["cold_from"], &told_s = limits["cold_s"];
        for (const Block& kind : content_.all("kind")) {
            const Value &from = kind["cold_from"], &span = kind["cold_s"];
            if (sound({&from, &told_from}) && from.lo < told_from.hi)
                add_either(kind, "cold_from",
                           fmt::format("{} is less than nodes are told by limits.cold_from, {}",
                                       plain(from.lo), plain(told_from.hi)),
                           limits, "cold_from",
                           fmt::format("{} is more than a {} may start with, {}", plain(told_from.hi),
                                       kind.entry, plain(from.lo)));
            if (sound({&span, &told_s}) && span.hi > told_s.lo)
                add_either(kind, "cold_s",
                           fmt::format("{} is longer than nodes are told by limits.cold_s, {}",
                                       plain(span.hi), plain(told_s.lo)),
                           limits, "cold_s",
                           fmt::format("{} is less than a {} may need, {}", plain(told_s.lo), kind.entry,
                                       plain(span.hi)));
        }
    }

    void zones() {
        const std::vector<Block>& zones = content_.all("zone");
        if (!zones.front().given || !nodes_.sound) return;
        const auto with = std::count_if(zones.begin(), zones.end(),
                                        [](const Block& each) { return each["traffic"].hi > 0; });
        if (with > static_cast<long>(nodes_.lo)) {
            const std::string what =
                fmt::format("{} cannot stand in each of {} zones with traffic", plain(nodes_.lo), with);
            problems_.add(nodes_.given ? nodes_.at : zones.front().at, "nodes.count", what);
        }
    }

    /// Returns the most that drawn surges may add, as a number of seconds of the usual rate.
    double random_faults() {
        const Block& faults = content_.one("faults");
        const Value &random = faults["random"], &within = faults["within_s"], &count = faults["count"];
        if (!random.sound) return 0;
        if (random.names.empty()) {
            for (const char* key : {"count", "within_s"})
                if (faults[key].given && faults[key].sound)
                    add(faults, key, "does nothing without faults.random");
            return 0;
        }
        for (const std::string& name : random.names) {
            const FaultRule* rule = fault_rule(name);
            if (!rule->random)
                add(faults, "random", fmt::format("\"{}\" holds all day and is not drawn", name));
        }
        if (within.there && sound({&within, &length_}) && within.hi > length_.lo)
            add(faults, "within_s",
                fmt::format("ends at {} s, after the day's {} s", plain(within.hi), plain(length_.lo)));
        if (std::find(random.names.begin(), random.names.end(), "surge") == random.names.end() ||
            !count.sound)
            return 0;
        const Block& surge = defaults_of(*fault_rule("surge"));
        return count.hi * surge["for_s"].hi * (surge["size"].hi - 1);
    }

    void fault(const Block& block) {
        if (!block["kind"].sound) return;
        const FaultRule& rule = *fault_rule(block["kind"].name());
        std::string takes;
        for (const char* key : rule.takes) takes += fmt::format("{}{}", takes.empty() ? "" : ", ", key);
        for (std::size_t i = 0; i < block.values.size(); ++i) {
            const char* key = block.section->settings[i].name;
            if (block.values[i].given && std::string_view(key) != "kind" && !rule.may(key))
                add(block, key, fmt::format("means nothing to {}, which takes {}", rule.name, takes));
        }
        for (const char* key : rule.needs)
            if (!block[key].given) add(block, key, fmt::format("is needed by {}", rule.name));
        span(block, rule);
        targets(block, rule);

        const Value& size = block["size"];
        if (rule.may("size") && size.given && size.sound &&
            (size.lo < rule.size_least || size.hi > rule.size_most))
            add(block, "size",
                fmt::format("{} is outside {} to {}, {}",
                            plain(size.lo < rule.size_least ? size.lo : size.hi), plain(rule.size_least),
                            plain(rule.size_most), rule.size));
        const Value& tenant = block["tenant"];
        if (tenant.given && tenant.sound && rule.may("tenant") &&
            std::find(tenants_.begin(), tenants_.end(), tenant.name()) == tenants_.end())
            no_such(tenant.at, "fault.tenant", "tenant", tenant.name(), tenants_);
        if (rule.kind == FaultKind::Partition) sides(block);
    }

    void span(const Block& block, const FaultRule& rule) {
        const Value &at = block["at_s"], &length = block["for_s"];
        if (!rule.may("at_s") || !at.given || !sound({&at, &length_})) return;
        if (at.hi >= length_.lo) {
            add(block, "at_s",
                fmt::format("{} is not before the day's end at {} s", plain(at.hi), plain(length_.lo)));
        } else if (rule.may("for_s") && length.given && length.sound) {
            const bool stays = rule.kind == FaultKind::Crash || rule.kind == FaultKind::NodeKill;
            if (length.lo <= 0 && !stays)
                add(block, "for_s", "wants more than 0");
            else if (stays && length.lo <= 0 && length.hi > 0)
                add(block, "for_s", "wants 0 (for good) or a range above it");
            else if (at.hi + length.hi > length_.lo)
                add(block, "for_s",
                    fmt::format("ends at {} s, after the day's {} s", plain(at.hi + length.hi),
                                plain(length_.lo)));
        }
    }

    void places(const Block& block, const FaultRule& rule, const char* key, const Value& there) {
        const Value& value = block[key];
        if (!rule.may(key) || !value.given || !sound({&value, &there})) return;
        if (!value.is_list && value.lo > there.lo)
            add(block, key, fmt::format("wants {} of what may be only {}", plain(value.lo), plain(there.lo)));
        for (int each : value.list)
            if (each >= there.lo)
                add(block, key,
                    fmt::format("{} is not there for sure: they are 0 to {}", each, plain(there.lo - 1)));
        if (value.is_list && block["zones"].given && rule.may("zones"))
            add(block, "zones", fmt::format("stands beside a list of {}; give one", key));
    }

    void targets(const Block& block, const FaultRule& rule) {
        places(block, rule, "servers", fleet_);
        places(block, rule, "nodes", nodes_);
        if (block["servers"].given && block["part"].given && rule.may("part"))
            add(block, "part", "stands beside servers; give one");
        const Value& zones = block["zones"];
        if (!zones.given || !zones.sound || !rule.may("zones")) return;
        if (zones.names.empty()) add(block, "zones", "the list is empty");
        for (const std::string& name : zones.names)
            if (std::find(zones_.begin(), zones_.end(), name) == zones_.end())
                no_such(zones.at, "fault.zones", "zone", name, zones_);
    }

    void sides(const Block& block) {
        const std::vector<std::string> known = {"nodes", "servers", "discovery", "clients"};
        for (const char* key : {"between", "and"}) {
            const Value& side = block[key];
            if (!side.given || !side.sound) continue;
            const std::string path = fmt::format("fault.{}", key), &name = side.name();
            if (name.starts_with("zone:")) {
                if (std::find(zones_.begin(), zones_.end(), name.substr(5)) == zones_.end())
                    no_such(side.at, path, "zone", name.substr(5), zones_);
            } else if (std::find(known.begin(), known.end(), name) == known.end()) {
                no_such(side.at, path, "side", name, known);
            }
        }
        const Value &between = block["between"], &other = block["and"];
        if (!between.given || !other.given || !sound({&between, &other})) return;
        if (between.name() == other.name() && other.name() != "nodes")
            add(block, "and", fmt::format("both sides are \"{}\"", other.name()));
        for (const char* key : {"nodes", "servers"})
            if (block[key].given && between.name() != key && other.name() != key)
                add(block, key, fmt::format("narrows a side \"{}\", and none is named so", key));
    }

    /// The least mean CPU work that may be drawn: classes with little work often, the others seldom.
    double least_work() const {
        struct Class {
            double work, seldom, often;
        };
        std::vector<Class> classes;
        for (const Block& each : content_.all("class"))
            classes.push_back({each["work_ms"].lo, each["share"].lo, each["share"].hi});
        std::sort(classes.begin(), classes.end(),
                  [](const Class& a, const Class& b) { return a.work < b.work; });
        double least = classes.back().work;
        for (std::size_t often = 0; often <= classes.size(); ++often) {
            double work = 0, share = 0;
            for (std::size_t i = 0; i < classes.size(); ++i) {
                const double part = i < often ? classes[i].often : classes[i].seldom;
                share += part;
                work += part * classes[i].work;
            }
            if (share > 0) least = std::min(least, work / share);
        }
        return least;
    }

    /// Nothing is started that could outgrow the machine.
    void load(double drawn_surges) {
        const Block& load = content_.one("load");
        const Value &rate = load["rate"], &utilisation = load["utilisation"];
        if (rate.given && utilisation.given && sound({&rate, &utilisation})) {
            add(load, "utilisation", "stands beside rate; give one");
            return;
        }
        for (const char* section : {"load", "fleet", "kind", "class", "day", "fault"})
            for (const Block& block : content_.all(section))
                for (const Value& value : block.values)
                    if (!value.sound) return;
        double most = rate.hi;
        const char* key = "rate";
        if (utilisation.given) {
            double fastest = 0;
            for (const Block& kind : content_.all("kind"))
                fastest = std::max(fastest, kind["cores"].hi * kind["speed"].hi);
            most = utilisation.hi * fleet_.hi * fastest * 1000 / least_work();
            key = "utilisation";
        }
        const Block& day = content_.one("day");
        // At what the scenario says itself, in the order in which one would change it.
        const bool by_length = !load[key].given && length_.given;
        auto tell = [&](const std::string& what) {
            if (by_length)
                add(day, "length_s", what);
            else
                add(load, key, what);
        };
        if (most > kMostRate) {
            tell(fmt::format("may come to {} requests/s; at most {} are played", plain(std::ceil(most)),
                             plain(kMostRate)));
            return;
        }
        double seconds = length_.hi + drawn_surges;
        for (const Block& block : content_.all("fault"))
            if (block["kind"].name() == "surge")
                seconds += std::max(0.0, block["size"].hi - 1) * std::min(block["for_s"].hi, length_.hi);
        if (most * seconds > kMostArrivals)
            tell(fmt::format("may come to {} arrivals in all; at most {} are played",
                             plain(std::ceil(most * seconds)), plain(kMostArrivals)));
    }

    void expectations() {
        for (std::size_t i = 0; i < content_.expectations.size(); ++i) {
            const Expectation& each = content_.expectations[i];
            for (const auto& [prefix, section, what] :
                 {std::tuple{"classes.", "class", "class"}, {"tenants.", "tenant", "tenant"}}) {
                if (!each.figure.starts_with(prefix)) continue;
                const std::string rest = each.figure.substr(std::string_view(prefix).size());
                const std::string name = rest.substr(0, rest.find('.'));
                const std::vector<std::string> known = names_of(content_.all(section));
                if (std::find(known.begin(), known.end(), name) == known.end())
                    no_such(content_.expected_at[i],
                            fmt::format("expect.{}{}", each.each ? "each." : "", each.figure), what, name,
                            known);
            }
        }
    }

    const Scenario::Content& content_;
    Problems& problems_;
    const Value &length_, &fleet_, &nodes_;
    std::vector<std::string> zones_, tenants_;
};

}  // namespace

void check(const Scenario::Content& content, Problems& problems) {
    Check(content, problems).all();
}

}  // namespace ochrehub::lab::scenario
