// The timeline: faults that the scenario spells out, then those drawn; releases as drains and new servers.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <set>

#include "lab/scenario/drawer.h"

namespace ochrehub::lab::scenario {

namespace {

class FaultDraw {
public:
    FaultDraw(const Scenario::Content& content, std::uint64_t seed, Day& day)
        : content_(content),
          seed_(seed),
          drawer_(seed),
          day_(day),
          fleet_(static_cast<int>(day.servers.size())) {}

    std::vector<Surge> all() {
        for (const Block& block : content_.all("fault")) spelt_out(block);
        random();
        for (Fault& fault : day_.faults) follow(fault);
        std::stable_sort(day_.faults.begin(), day_.faults.end(),
                         [](const Fault& a, const Fault& b) { return a.at < b.at; });
        return std::move(surges_);
    }

private:
    void spelt_out(const Block& block) {
        const FaultRule& rule = *fault_rule(block["kind"].name());
        if (!rule.may("at_s")) {  // holds all day
            one(block, rule, Duration(0), day_.length);
            return;
        }
        const Duration at = drawer_.time(block, "at_s");
        one(block, rule, at, std::min(length(block, rule), day_.length - at));
    }

    Duration length(const Block& block, const FaultRule& rule) const {
        if (rule.kind == FaultKind::Replace && !block["for_s"].given) return day_.length;
        return block["for_s"].there && rule.may("for_s") ? drawer_.time(block, "for_s") : Duration(0);
    }

    void random() {
        const Block& faults = content_.one("faults");
        const std::vector<std::string>& kinds = faults["random"].names;
        if (kinds.empty()) return;
        const int count = drawer_.whole(faults, "count");
        const Value& within = faults["within_s"];
        const double from = within.there ? within.lo * 1000 : 0.15 * day_.length.count(),
                     to = within.there ? within.hi * 1000 : 0.6 * day_.length.count();
        for (int i = 0; i < count; ++i) {
            const auto place = static_cast<std::uint64_t>(i);
            Stream stream = drawer_.draws().stream("faults", "random", "", place);
            const auto pick = static_cast<std::size_t>(stream.unit() * static_cast<double>(kinds.size()));
            const FaultRule& rule = *fault_rule(kinds[pick]);
            Block block = defaults_of(rule);
            block.entry = fmt::format("random#{}", i);
            const Duration at(from + stream.unit() * (to - from));
            if (rule.kind == FaultKind::Partition) draw_sides(block, stream);
            one(block, rule, at, std::min(length(block, rule), day_.length - at));
        }
    }

    /// Nodes and discovery, or two zones where there are two.
    void draw_sides(Block& block, Stream& stream) const {
        const std::vector<std::string>& zones = day_.network.zones;
        auto set = [&](const char* key, const std::string& side) {
            block[key].names = {side};
            block[key].there = true;
        };
        const auto at = [&](std::size_t count) {
            return static_cast<std::size_t>(stream.unit() * static_cast<double>(count));
        };
        if (zones.size() < 2 || stream.unit() < 0.5) {
            set("between", "nodes");
            set("and", "discovery");
        } else {
            const std::size_t a = at(zones.size()), b = (a + 1 + at(zones.size() - 1)) % zones.size();
            set("between", "zone:" + zones[a]);
            set("and", "zone:" + zones[b]);
        }
    }

    void one(const Block& block, const FaultRule& rule, Duration at, Duration length) {
        Fault fault;
        fault.kind = rule.kind;
        fault.at = at;
        fault.length = length;
        if (rule.may("size")) fault.size = drawer_.number(block, "size");
        if (rule.may("every_s")) fault.every = drawer_.time(block, "every_s");
        if (rule.may("count")) fault.count = drawer_.whole(block, "count");
        if (rule.may("doubled")) {
            fault.doubled = drawer_.number(block, "doubled");
            fault.reordered = drawer_.number(block, "reordered");
            fault.late = drawer_.time(block, "late_ms");
        }
        if (rule.kind == FaultKind::Partition) {
            fault.between = block["between"].name();
            fault.and_ = block["and"].name();
            fault.one_way = drawer_.coin(block, "one_way");
        }
        if (rule.kind == FaultKind::Surge) {
            fault.zones = zones(block);
            if (block["tenant"].there)
                for (std::size_t i = 0; i < day_.tenants.size(); ++i)
                    if (day_.tenants[i].name == block["tenant"].name()) fault.tenant = static_cast<int>(i);
        }
        if (rule.may("servers")) fault.servers = servers(block, rule);
        if (rule.may("nodes")) fault.nodes = nodes(block, rule);
        // Nobody of the named zones is there: an empty list would mean all.
        const bool named =
            block["zones"].given || rule.hits == Hits::SomeServers || rule.hits == Hits::SomeNodes;
        if (rule.kind != FaultKind::Surge && named && fault.servers.empty() && fault.nodes.empty()) return;

        if (rule.kind == FaultKind::Replace) {
            release(block, fault);
            return;
        }
        std::sort(fault.servers.begin(), fault.servers.end());
        std::sort(fault.nodes.begin(), fault.nodes.end());
        const auto limit = static_cast<std::size_t>(fault.size);
        for (std::size_t i = 0; i < day_.nodes.size(); ++i) {
            if (!fault.nodes.empty() &&
                std::count(fault.nodes.begin(), fault.nodes.end(), static_cast<int>(i)) == 0)
                continue;
            if (rule.kind == FaultKind::NodeMemory) day_.nodes[i].memory_mb = limit;
            if (rule.kind == FaultKind::NodeSockets) day_.nodes[i].sockets = limit;
        }
        if (rule.kind == FaultKind::Drain) {
            // A server drains once.
            std::erase_if(fault.servers, [&](int each) { return !leaving_.insert(each).second; });
            if (fault.servers.empty()) return;
        }
        if (rule.kind == FaultKind::Surge) surges_.push_back({fault, block.entry});
        day_.faults.push_back(std::move(fault));
    }

    std::vector<int> zones(const Block& block) const {
        std::vector<int> found;
        for (const std::string& name : block["zones"].names)
            for (std::size_t i = 0; i < day_.network.zones.size(); ++i)
                if (day_.network.zones[i] == name) found.push_back(static_cast<int>(i));
        std::sort(found.begin(), found.end());
        return found;
    }

    template <class Things>
    std::vector<int> in_zones(const Block& block, const Things& things, int count) const {
        const std::vector<int> wanted = zones(block);
        std::vector<int> found;
        for (int i = 0; i < count; ++i)
            if (wanted.empty() ||
                std::count(wanted.begin(), wanted.end(), things[static_cast<std::size_t>(i)].zone) > 0)
                found.push_back(i);
        return found;
    }

    /// By lots that belong to each one: those drawn stay the same when others come to the fleet, and a larger
    /// part holds the smaller one.
    std::vector<int> by_lot(const Block& block, const char* key, const std::vector<int>& among) const {
        std::vector<std::pair<double, int>> lots;
        lots.reserve(among.size());
        for (int each : among)
            lots.emplace_back(
                drawer_.draws().stream("fault", key, block.entry, static_cast<std::uint64_t>(each)).unit(),
                each);
        std::sort(lots.begin(), lots.end());
        std::vector<int> order;
        order.reserve(lots.size());
        for (const auto& [lot, each] : lots) order.push_back(each);
        return order;
    }

    /// In the order in which a release takes them; other faults don't care.
    std::vector<int> servers(const Block& block, const FaultRule& rule) const {
        const Value &servers = block["servers"], &part = block["part"];
        if (servers.given && servers.is_list) return servers.list;
        if (rule.hits == Hits::Nothing && !servers.given) return {};
        const std::vector<int> order = by_lot(block, "servers", in_zones(block, day_.servers, fleet_));
        const double among = static_cast<double>(order.size());
        double count = among;
        const bool usual =
            !servers.given && !part.given && !block["zones"].given;  // nothing named: by default
        if (part.given || (part.there && usual))
            count = std::max(1.0, std::floor(drawer_.number(block, "part") * among + 1e-9));
        else if (servers.given || (servers.there && usual))
            count = servers.lo;
        else if (usual && rule.kind != FaultKind::Replace)
            return {};  // all, later ones too
        return {order.begin(), order.begin() + static_cast<long>(std::min(count, among))};
    }

    std::vector<int> nodes(const Block& block, const FaultRule& rule) const {
        const Value& nodes = block["nodes"];
        if (nodes.given && nodes.is_list) return nodes.list;
        if (!nodes.there && !block["zones"].given) return {};
        if (rule.hits == Hits::Nothing && !nodes.given) return {};
        const std::vector<int> order =
            by_lot(block, "nodes", in_zones(block, day_.nodes, static_cast<int>(day_.nodes.size())));
        const std::size_t count =
            nodes.given || !block["zones"].given ? static_cast<std::size_t>(nodes.lo) : order.size();
        return {order.begin(), order.begin() + static_cast<long>(std::min(count, order.size()))};
    }

    /// A new process comes up some time after the old one has gone, so that an address is never held by both.
    void release(const Block& block, const Fault& fault) {
        const bool again = drawer_.coin(block, "again");
        const double reuse = drawer_.number(block, "reuse_addresses");
        std::deque<int> waiting(fault.servers.begin(), fault.servers.end());
        std::uint64_t replaced = 0;
        Duration at = fault.at;
        for (std::uint64_t step = 0; at <= fault.end() && !waiting.empty(); ++step, at += fault.every) {
            Stream stream = drawer_.draws().stream("fault", "release", block.entry, step);
            const Duration drain = drawn(block, "drain_s", stream), start = drawn(block, "start_s", stream);
            if (at + drain + start >= day_.length) break;
            Fault leave;
            leave.kind = FaultKind::Drain;
            leave.at = at;
            leave.length = drain;
            while (static_cast<int>(leave.servers.size()) < fault.count && !waiting.empty() &&
                   day_.servers.size() < static_cast<std::size_t>(kMostServers)) {
                const int old = waiting.front();
                // One that is not up yet waits for its turn, and all behind it are younger still.
                if (day_.servers[static_cast<std::size_t>(old)].exists_from >= at) break;
                waiting.pop_front();
                if (!leaving_.insert(old).second) continue;
                leave.servers.push_back(old);

                ServerFigures next = day_.servers[static_cast<std::size_t>(old)];
                const std::string entry = fmt::format("{}:{}", block.entry, replaced);
                const Block& kind = content_.all("kind")[static_cast<std::size_t>(next.kind)];
                next.speed = drawer_.number(kind, "speed") * speed_factor(drawer_, kind, entry);
                next.address_of = drawer_.draws().stream("fault", "reuse_addresses", entry).unit() < reuse
                                      ? next.id
                                      : std::string();
                next.id = fresh_id(seed_, day_.servers.size());
                next.exists_from = at + drain + start;
                next.starts_cold = true;
                if (again) waiting.push_back(static_cast<int>(day_.servers.size()));
                successor_[old] = static_cast<int>(day_.servers.size());
                day_.servers.push_back(std::move(next));
                ++replaced;
            }
            if (!leave.servers.empty()) {
                std::sort(leave.servers.begin(), leave.servers.end());
                day_.faults.push_back(std::move(leave));
            }
        }
    }

    /// Targets are drawn from the fleet at the start, whatever else is on the timeline; where a release has
    /// put others in their places by then, those are hit.
    void follow(Fault& fault) const {
        if (fault.kind == FaultKind::Drain) return;
        for (int& server : fault.servers)
            for (auto next = successor_.find(server);
                 next != successor_.end() &&
                 day_.servers[static_cast<std::size_t>(next->second)].exists_from <= fault.at;
                 next = successor_.find(server))
                server = next->second;
        std::sort(fault.servers.begin(), fault.servers.end());
    }

    static Duration drawn(const Block& block, const char* key, Stream& stream) {
        const Value& value = block[key];
        return Duration(1000 * (value.lo + stream.unit() * (value.hi - value.lo)));
    }

    const Scenario::Content& content_;
    std::uint64_t seed_;
    Drawer drawer_;
    Day& day_;
    const int fleet_;               ///< servers at the start: what targets are drawn from
    std::set<int> leaving_;         ///< drained by an earlier fault of the file
    std::map<int, int> successor_;  ///< what a release puts in a server's place
    std::vector<Surge> surges_;
};

}  // namespace

std::vector<Surge> draw_faults(const Scenario::Content& content, std::uint64_t seed, Day& day) {
    return FaultDraw(content, seed, day).all();
}

}  // namespace ochrehub::lab::scenario
