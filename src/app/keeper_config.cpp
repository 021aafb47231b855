#include "app/keeper_config.h"

#include <algorithm>
#include <sstream>

#include "app/node_config.h"
#include "app/toml_sections.h"
#include "fleet/membership/settings.h"

namespace ochrehub::app {
namespace {

using Keeper = KeeperTold::Keeper;
using Member = KeeperTold::Member;

constexpr double kBeats = 3;  // heartbeats in an election's patience, at least

config::Setting<Keeper> milliseconds(config::Described described, Duration Keeper::*into, double least,
                                     double most) {
    return config::number<Keeper, double>(described, least, most, config::kMilliseconds,
                                          [into](Keeper& told, double ms) { told.*into = Duration{ms}; });
}

config::Table<Keeper> keeper_settings() {
    return {
        config::number(
            {.name = "number", .help = "this keeper's, never given to another one", .needed = true},
            &Keeper::number, 1, 65535),
        config::address({.name = "listen",
                         .help = "where other keepers and processes reach it, `a.b.c.d:port`",
                         .needed = true},
                        &Keeper::listen),
        config::text(
            {.name = "folder", .help = "where it writes what it promises; nobody else's", .needed = true},
            &Keeper::folder),
        config::text({.name = "cluster",
                      .fallback = "ochrehub",
                      .help = "the name that all keepers and processes have in common"},
                     &Keeper::cluster),
        config::text({.name = "name", .help = "what it calls itself; else `keeper-` and its number"},
                     &Keeper::name),
        config::text({.name = "zone", .help = "where it stands"}, &Keeper::zone),
        config::text({.name = "key_file", .help = "a key a line, the first signs; as in a node's [fleet]"},
                     &Keeper::key_file),
        milliseconds({.name = "heartbeat_ms",
                      .fallback = "100",
                      .help = "between the leader's words to each other keeper, 10 to 5000"},
                     &Keeper::heartbeat, 10, 5000),
        milliseconds(
            {.name = "election_ms",
             .fallback = "500",
             .help = "without a leader's word for so long, or twice, one asks for votes, 50 to 60000"},
            &Keeper::election, 50, 60000),
        config::number<Keeper, std::uint64_t>(
            {.name = "snapshot_entries", .fallback = "20000", .help = "entries between two snapshots"},
            &Keeper::snapshot_entries, std::uint64_t(100), std::uint64_t(10'000'000)),
        config::number<Keeper, std::size_t>(
            {.name = "snapshot_mb", .fallback = "16", .help = "... or so much of entries"},
            &Keeper::snapshot_mb, std::size_t(1), std::size_t(1024)),
        config::number<Keeper, std::size_t>(
            {.name = "asking", .fallback = "4096", .help = "connections of processes, at most"},
            &Keeper::asking, std::size_t(4), std::size_t(100'000))};
}

config::Table<Member> member_settings() {
    return {
        config::number({.name = "number", .help = "of a keeper of the cluster", .needed = true},
                       &Member::number, 1, 65535),
        config::address({.name = "address", .help = "where it is reached, `a.b.c.d:port`", .needed = true},
                        &Member::address)};
}

std::vector<config::Section> sections(KeeperTold& into) {
    return {{"keeper", keeper_settings(), into.keeper},
            config::Section::list("member", member_settings(), into.members),
            {"log", log_settings(), into.log}};
}

std::string text(const boost::asio::ip::tcp::endpoint& at) {
    std::ostringstream out;
    out << at;
    return out.str();
}

std::string item(std::size_t i, const char* key) {
    return "member[" + std::to_string(i) + "]." + key;
}

/// What no table can say.
void fit(config::TomlFile& file, KeeperTold& told) {
    Keeper& keeper = told.keeper;
    if (keeper.cluster.empty())
        file.wrong("keeper.cluster", "is empty: give it the name that nodes have in [fleet]");
    if (keeper.folder.empty() && file.has("keeper.folder"))
        file.wrong("keeper.folder", "is empty: name a folder of its own, on a disk of its own if possible");
    if (keeper.listen.port() != 0 && keeper.listen.address().is_unspecified())
        file.wrong("keeper.listen", "is no place to be reached at: name one address");
    if (keeper.election < keeper.heartbeat * kBeats)
        file.wrong(file.has("keeper.election_ms") ? "keeper.election_ms" : "keeper.heartbeat_ms",
                   "leaves less than three heartbeats before an election: make election_ms longer");
    if (std::string fault = membership::fault_of_name(keeper.name, 64); !fault.empty())
        file.wrong("keeper.name", fault);
    if (std::string fault = membership::fault_of_name(keeper.zone, 64); !fault.empty())
        file.wrong("keeper.zone", fault);
    std::size_t many = told.members.size();
    if (many == 0)
        file.wrong("member",
                   "is missing: a [[member]] with number and address for each of three or five keepers, this "
                   "one too");
    else if (many % 2 == 0)
        file.wrong(
            "member",
            "stands there " + std::to_string(many) +
                " times, an even number, which survives no more losses than one less: take three or five");
    else if (many != 3 && many != 5)
        file.wrong("member", "stands there " + std::to_string(many) +
                                 " times: take three, or five to survive two losses");
    bool among = false;
    for (std::size_t i = 0; i < many; ++i) {
        const Member& member = told.members[i];
        among |= member.number == keeper.number;
        if (member.number == keeper.number && member.address.port() != 0 && keeper.listen.port() != 0 &&
            member.address != keeper.listen)
            file.wrong(item(i, "address"), "is not keeper.listen, " + text(keeper.listen) +
                                               ": others would look for this keeper elsewhere");
        for (std::size_t k = 0; k < i; ++k) {
            if (told.members[k].number == member.number && member.number != 0)
                file.wrong(item(i, "number"), "is that of member[" + std::to_string(k) +
                                                  "] too: each keeper has one of its own");
            if (told.members[k].address == member.address && member.address.port() != 0)
                file.wrong(item(i, "address"), "is that of member[" + std::to_string(k) +
                                                   "] too: each keeper has one of its own");
        }
    }
    if (many > 0 && !among && keeper.number != 0)
        file.wrong("keeper.number", "is no [[member]]'s: add one for this keeper");
    if (keeper.key_file.empty()) return;
    membership::KeyFile read = membership::read_keys(keeper.key_file);
    if (!read.fault.empty()) file.wrong("keeper.key_file", keeper.key_file + ": " + read.fault);
    keeper.keys = std::move(read.keys);
}

}  // namespace

bool is_keeper_file(const std::string& path) {
    config::TomlFile file(path);
    KeeperTold told;
    file.read(sections(told));
    return file.has("keeper");
}

KeeperTold read_keeper_file(config::TomlFile& file) {
    KeeperTold told;
    file.read(sections(told));
    if (file.readable()) fit(file, told);
    if (told.keeper.name.empty()) told.keeper.name = "keeper-" + std::to_string(told.keeper.number);
    return told;
}

KeeperTold read_keeper_file(const std::string& path) {
    config::TomlFile file(path);
    KeeperTold told = read_keeper_file(file);
    std::string all;
    for (const std::string& fault : file.faults()) all += (all.empty() ? "" : "\n") + fault;
    if (!all.empty()) throw ConfigError(all);
    return told;
}

coordinator::ServerSettings process_settings(const KeeperTold& told, coordinator::StartMode begin) {
    coordinator::ServerSettings set;
    const Keeper& from = told.keeper;
    set.raft.self = set.replica.self = raft::NodeId(from.number);
    set.raft.heartbeat_interval = from.heartbeat, set.raft.election_timeout = from.election;
    set.replica.snapshot_entries = from.snapshot_entries;
    set.replica.snapshot_bytes = from.snapshot_mb << 20;
    set.listen = from.listen;
    set.name = from.name, set.zone = from.zone, set.cluster = from.cluster, set.data_directory = from.folder,
    set.keys = from.keys;
    set.max_client_connections = from.asking;
    set.start_mode = begin;
    for (const Member& member : told.members) {
        set.initial_members.push_back({raft::NodeId(member.number), true, text(member.address)});
        set.dial_addresses[raft::NodeId(member.number)] = text(member.address);
    }
    std::sort(set.initial_members.begin(), set.initial_members.end(),
              [](const auto& a, const auto& b) { return a.id < b.id; });
    return set;
}

}  // namespace ochrehub::app
