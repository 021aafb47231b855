#include "discovery/static_list.h"

#include <utility>

#include "ochrehub/hash.h"

namespace ochrehub::discovery {
namespace {

/// A zone or kind that a later list names first is told apart from others all the same.
int index_or_new(std::vector<std::string>& names, const std::string& name) {
    if (name.empty()) return kNone;
    int known = index_of(names, name);
    if (known != kNone) return known;
    names.push_back(name);
    return int(names.size()) - 1;
}

}  // namespace

config::Table<StaticServer> static_settings() {
    return {{{.name = "address", .help = "where it listens, `a.b.c.d:port`; there is no DNS", .needed = true},
             [](StaticServer& server, std::string_view value) -> std::string {
                 auto found = parse_address(value);
                 if (!found || found->port() == 0) return "is not an address a.b.c.d:port";
                 server.address = value;
                 return {};
             }},
            config::text({.name = "name", .help = "what it stays known by when its address changes"},
                         &StaticServer::name),
            config::text({.name = "zone", .help = "where it stands"}, &StaticServer::zone),
            config::text({.name = "kind", .help = "its machine type"}, &StaticServer::kind),
            config::number({.name = "cell", .help = "servers of one cell drop repeats of each other's keys"},
                           &StaticServer::cell, 0, 1000000000),
            config::number({.name = "size", .fallback = "1", .help = "what it carries, beside the others"},
                           &StaticServer::size, 0.001, 1e6),
            config::flag({.name = "drain",
                          .fallback = "off",
                          .help = "it finishes what it has and gets nothing new, as one that is taken out"},
                         &StaticServer::drain)};
}

void StaticList::use(const std::vector<StaticServer>& servers) {
    listing_ = {};
    listing_.update.kind = UpdateKind::Full;
    std::unordered_map<std::string, EndpointId> before = std::exchange(ids_, {});
    for (const StaticServer& server : servers) {
        auto known = before.find(server.id());
        EndpointEntry& entry = listing_.update.entries.emplace_back();
        entry.endpoint = known == before.end() ? ++next_id_ : known->second;
        ids_.emplace(server.id(), entry.endpoint);
        entry.key = hashed(server.id());
        entry.zone = index_or_new(names_.zones, server.zone);
        entry.kind = index_or_new(names_.kinds, server.kind);
        entry.cell = server.cell;
        entry.weight = server.size;
        entry.phase = server.drain ? Phase::Draining : Phase::Ready;
        listing_.addresses.push_back(server.address);
        listing_.ids.push_back(server.id());
    }
    listed_(listing_);
}

}  // namespace ochrehub::discovery
