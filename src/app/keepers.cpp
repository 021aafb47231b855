// The commands that ask keepers.
#include <coordinator.pb.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "app/ask_keepers.h"
#include "app/commands.h"
#include "app/keeper_config.h"
#include "app/node_config.h"
#include "base/address.h"
#include "fleet/coordinator/admin_client.h"
#include "fleet/coordinator/error.h"
#include "fleet/membership/settings.h"

namespace ochrehub::app {
namespace {

namespace json = boost::json;
namespace wire = coordinator::wire;

constexpr int kLooks = 150;  // a tenth of a second each
constexpr std::chrono::milliseconds kLook{100};

struct Asked {
    coordinator::AdminClientSettings settings;
    std::vector<std::string> addresses;
};

Asked whom(const KeepersAt& at) {
    Asked asked;
    if (at.config.empty() == at.ask.empty())
        throw ConfigError("--config FILE or --ask ADDR: one of them says whom to ask");
    if (!at.config.empty()) {
        coordinator::ServerSettings set =
            process_settings(read_keeper_file(at.config), coordinator::StartMode::Resume);
        asked.settings.cluster = set.cluster, asked.settings.keys = set.keys;
        for (const raft::Member& member : set.initial_members) asked.addresses.push_back(member.address);
        return asked;
    }
    auto address = parse_address(at.ask);
    if (!address || address->port() == 0)
        throw ConfigError("--ask: not an address a.b.c.d:port: '" + at.ask + "'");
    asked.addresses = {at.ask};
    asked.settings.cluster = at.cluster.empty() ? "ochrehub" : at.cluster;
    if (!at.key_file.empty()) {
        membership::KeyFile read = membership::read_keys(at.key_file);
        if (!read.fault.empty()) throw ConfigError("--key-file: " + at.key_file + ": " + read.fault);
        asked.settings.keys = std::move(read.keys);
    }
    return asked;
}

struct Told {
    std::string address;
    wire::StatusResponse status;
};
std::vector<Told> statuses(const Asked& asked) {
    wire::Request ask;
    ask.set_call(1);
    ask.mutable_status();
    std::vector<Told> all;
    auto answers = coordinator::send_to_each(asked.settings, asked.addresses, ask.SerializeAsString());
    for (const std::string& address : asked.addresses) {
        wire::Response answer;
        if (auto found = answers.find(address);
            found != answers.end() && answer.ParseFromString(found->second))
            all.push_back({address, answer.status()});
    }
    return all;
}

/// Of those that say they lead the one of the highest term: an older one has not heard of it yet.
const Told* leader(const std::vector<Told>& all) {
    const Told* found = nullptr;
    for (const Told& one : all)
        if (one.status.role() == "leader" && (!found || one.status.term() > found->status.term()))
            found = &one;
    return found;
}

json::object as_json(const Told& told) {
    const wire::StatusResponse& is = told.status;
    json::object one{{"number", is.self()},
                     {"address", told.address},
                     {"role", is.role()},
                     {"term", is.term()},
                     {"leader", is.leader()},
                     {"applied", is.applied_index()},
                     {"snapshot", is.snapshot_index()},
                     {"trusted", is.trusted()}};
    json::array members, sessions, kinds;
    for (const wire::Member& member : is.members())
        members.push_back(
            json::object{{"number", member.id()}, {"address", member.address()}, {"voter", member.voter()}});
    for (const wire::SessionRecord& session : is.sessions())
        sessions.push_back(json::object{{"id", session.id()},
                                        {"name", session.name()},
                                        {"zone", session.zone()},
                                        {"lease_ms", session.lease_ms()},
                                        {"release", session.release()},
                                        {"schema_least", session.min_schema()},
                                        {"schema_most", session.max_schema()}});
    for (const std::string& kind : is.state_machines()) kinds.push_back(json::string(kind));
    one["members"] = std::move(members), one["sessions"] = std::move(sessions),
    one["machines"] = std::move(kinds);
    return one;
}

/// Asks whoever leads, for as long as an election may take. Nothing: none that leads was found.
std::optional<wire::Response> ask_leader(Asked& asked, wire::Request ask) {
    ask.set_call(1);
    for (int i = 0; i < kLooks / 10; ++i) {
        std::vector<Told> all = statuses(asked);
        if (const Told* found = leader(all)) {
            auto answers =
                coordinator::send_to_each(asked.settings, {found->address}, ask.SerializeAsString());
            wire::Response answer;
            if (!answers.empty() && answer.ParseFromString(answers.begin()->second) &&
                coordinator::Error(answer.error()) != coordinator::Error::NotLeader)
                return answer;
        } else {
            // One that is asked by its address alone knows others.
            for (const Told& one : all)
                for (const wire::Member& member : one.status.members())
                    if (std::find(asked.addresses.begin(), asked.addresses.end(), member.address()) ==
                        asked.addresses.end())
                        asked.addresses.push_back(member.address());
        }
        std::this_thread::sleep_for(kLook * 3);
    }
    return std::nullopt;
}

int refused(coordinator::Error error, const std::string& about) {
    std::fprintf(stderr, "%s\n", fleet::sentence(coordinator::row(error), about).c_str());
    return 1;
}

/// Until the leader's status says that it is done.
template <class Done>
int change(const KeepersAt& at, const wire::Request& ask, const std::string& about, Done done) {
    Asked asked = whom(at);
    auto answer = ask_leader(asked, ask);
    if (!answer) return refused(coordinator::Error::Unreachable, about);
    if (answer->error() != 0) return refused(coordinator::Error(answer->error()), about);
    for (int i = 0; i < kLooks; ++i) {
        std::vector<Told> all = statuses(asked);
        if (const Told* found = leader(all); found && done(found->status)) {
            std::printf("done: %s\n", about.c_str());
            return 0;
        }
        std::this_thread::sleep_for(kLook);
    }
    return refused(coordinator::Error::Unreachable,
                   about + " has begun, and is not done yet: `ochrehub fleet keepers` shows when it is");
}

const wire::Member* member(const wire::StatusResponse& status, int number) {
    for (const wire::Member& one : status.members())
        if (int(one.id()) == number) return &one;
    return nullptr;
}

}  // namespace

std::optional<wire::Response> ask_leader(const KeepersAt& at, const wire::Request& ask) {
    Asked asked = whom(at);
    return ask_leader(asked, ask);
}

int fleet_keepers(const KeepersAt& at, bool as_json_text) {
    Asked asked = whom(at);
    std::vector<Told> all = statuses(asked);
    const Told* leads = leader(all);
    if (as_json_text) {
        json::array each;
        for (const Told& one : all) each.push_back(as_json(one));
        std::printf("%s\n", json::serialize(json::object{{"leader", leads ? leads->status.self() : 0},
                                                         {"keepers", std::move(each)}})
                                .c_str());
        return leads ? 0 : 1;
    }
    std::printf("%-7s %-21s %-13s %8s %7s %10s %10s  %s\n", "KEEPER", "ADDRESS", "ROLE", "TERM", "LEADER",
                "APPLIED", "SNAPSHOT", "");
    for (const std::string& address : asked.addresses) {
        const Told* one = nullptr;
        for (const Told& each : all)
            if (each.address == address) one = &each;
        if (!one) {
            std::printf("%-7s %-21s %s\n", "-", address.c_str(), "no answer");
            continue;
        }
        const wire::StatusResponse& is = one->status;
        std::printf("%-7u %-21s %-13s %8llu %7u %10llu %10llu  %s\n", is.self(), address.c_str(),
                    is.role().c_str(), static_cast<unsigned long long>(is.term()), is.leader(),
                    static_cast<unsigned long long>(is.applied_index()),
                    static_cast<unsigned long long>(is.snapshot_index()),
                    is.trusted() ? "" : "not trusted: it neither votes nor counts yet");
    }
    if (!leads) {
        std::printf("none leads, as far as can be seen from here\n");
        return 1;
    }
    std::printf("\n%-7s %-21s %s\n", "MEMBER", "ADDRESS", "");
    for (const wire::Member& one : leads->status.members())
        std::printf("%-7u %-21s %s\n", one.id(), one.address().c_str(), one.voter() ? "votes" : "learns");
    std::printf("\n%-8s %-20s %-11s %8s %8s %s\n", "SESSION", "NAME", "ZONE", "LEASE", "RELEASE", "SCHEMAS");
    for (const wire::SessionRecord& one : leads->status.sessions())
        std::printf("%-8llu %-20s %-11s %5.1f s %8u %u to %u\n", static_cast<unsigned long long>(one.id()),
                    one.name().c_str(), one.zone().c_str(), one.lease_ms() / 1000.0, one.release(),
                    one.min_schema(), one.max_schema());
    return 0;
}

int fleet_keeper_add(const KeepersAt& at, int number, const std::string& address) {
    if (auto parsed = parse_address(address); !parsed || parsed->port() == 0)
        throw ConfigError("--address: not an address a.b.c.d:port: '" + address + "'");
    wire::Request ask;
    ask.mutable_change()->set_member(std::uint32_t(number)), ask.mutable_change()->set_add(true),
        ask.mutable_change()->set_address(address);
    return change(at, ask, "keeper " + std::to_string(number) + " votes",
                  [&](const wire::StatusResponse& is) {
                      const wire::Member* one = member(is, number);
                      return one && one->voter();
                  });
}

int fleet_keeper_remove(const KeepersAt& at, int number) {
    // One that leads has another lead first: that is quicker than to be missed.
    std::vector<Told> all = statuses(whom(at));
    if (const Told* leads = leader(all); leads && int(leads->status.self()) == number)
        for (const wire::Member& other : leads->status.members())
            if (int(other.id()) != number && other.voter()) {
                fleet_keeper_lead(at, int(other.id()));
                break;
            }
    wire::Request ask;
    ask.mutable_change()->set_member(std::uint32_t(number)), ask.mutable_change()->set_add(false);
    return change(at, ask, "keeper " + std::to_string(number) + " is no member",
                  [&](const wire::StatusResponse& is) { return !member(is, number); });
}

int fleet_keeper_lead(const KeepersAt& at, int number) {
    wire::Request ask;
    ask.mutable_transfer()->set_to(std::uint32_t(number));
    return change(at, ask, "keeper " + std::to_string(number) + " leads",
                  [&](const wire::StatusResponse& is) { return int(is.self()) == number; });
}

}  // namespace ochrehub::app
