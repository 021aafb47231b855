// The commands of migrations: they ask the keepers' machine, and show what it says.
#include <coordinator.pb.h>
#include <schema_migration.pb.h>

#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <optional>
#include <string>
#include <thread>

#include "app/ask_keepers.h"
#include "app/commands.h"
#include "app/node_config.h"
#include "fleet/coordinator/error.h"
#include "fleet/schema_migration/migration_state_machine.h"
#include "fleet/schema_migration/owner.h"

namespace ochrehub::app {
namespace {

namespace json = boost::json;
namespace wire = schema_migration::wire;
using schema_migration::Stage;

int say(coordinator::Error error, const std::string& about) {
    std::fprintf(stderr, "%s\n", fleet::sentence(coordinator::row(error), about).c_str());
    return 1;
}
int say(std::uint32_t error, const std::string& about) {
    std::fprintf(stderr, "%s\n",
                 fleet::sentence(schema_migration::row(schema_migration::from_wire(error)), about).c_str());
    return 1;
}

std::optional<coordinator::wire::Response> leader_says(const KeepersAt& at, coordinator::wire::Request ask) {
    auto answer = ask_leader(at, ask);
    if (!answer || answer->error() != 0) {
        say(answer ? coordinator::Error(answer->error()) : coordinator::Error::Unreachable, "migration");
        return std::nullopt;
    }
    return answer;
}
std::optional<wire::Machine> look(const KeepersAt& at) {
    coordinator::wire::Request ask;
    ask.mutable_query()->set_kind("migration");
    auto answer = leader_says(at, std::move(ask));
    wire::Machine machine;
    if (!answer) return std::nullopt;
    if (!machine.ParseFromString(answer->result()) || machine.levels_size() != int(schema::kKindCount)) {
        say(schema_migration::on_wire(schema_migration::Error::Malformed), "the keepers' answer");
        return std::nullopt;
    }
    return machine;
}
int command(const KeepersAt& at, const wire::Command& command, const std::string& about) {
    coordinator::wire::Request ask;
    ask.mutable_command()->set_kind("migration");
    ask.mutable_command()->set_body(command.SerializeAsString());
    auto asked = leader_says(at, std::move(ask));
    if (!asked) return 1;
    wire::Answer answer;
    if (!answer.ParseFromString(asked->result()))
        return say(schema_migration::on_wire(schema_migration::Error::Malformed), "the keepers' answer");
    if (answer.error()) return say(answer.error(), answer.about().empty() ? about : answer.about());
    std::printf("done: %s\n", about.c_str());
    return 0;
}

schema::Kind read_kind(const std::string& text) {
    schema::Kind kind{};
    if (!schema::parse_kind(text, kind))
        throw ConfigError("KIND: not sessions, rates, rules, fences or snapshots: '" + text + "'");
    return kind;
}
std::string kind_name(std::uint32_t kind) {
    return std::string(schema::name(schema::Kind(kind)));
}
std::uint32_t done(const wire::Status& now) {
    std::uint32_t count = 0;
    for (std::uint32_t i = 0; i < now.shards() && i / 8 < now.done().size(); ++i)
        count += std::uint8_t(now.done()[i / 8]) >> (i % 8) & 1;
    return count;
}

json::object as_json(const wire::Machine& machine) {
    json::object levels, all;
    for (std::size_t i = 0; i < schema::kKindCount; ++i)
        levels[schema::name(schema::Kind(i))] = machine.levels(int(i));
    json::array sessions;
    for (const wire::Session& one : machine.sessions()) {
        json::object reads;
        for (std::size_t i = 0; one.said() && i < schema::kKindCount && int(i) < one.ranges_size(); ++i)
            reads[schema::name(schema::Kind(i))] =
                json::array{one.ranges(int(i)).least(), one.ranges(int(i)).most()};
        json::object session{{"id", one.id()},
                             {"name", one.name()},
                             {"zone", one.zone()},
                             {"said", one.said()},
                             {"reads", std::move(reads)}};
        session["refused"] =
            one.refused() ? json::value(json::string(
                                schema_migration::row(schema_migration::from_wire(one.refused())).code))
                          : json::value();
        sessions.push_back(std::move(session));
    }
    all["levels"] = std::move(levels), all["sessions"] = std::move(sessions);
    const wire::Status& now = machine.migration();
    if (!now.id()) {
        all["migration"] = nullptr;
        return all;
    }
    const wire::Counts& counts = now.counts();
    all["migration"] = json::object{
        {"id", now.id()},
        {"kind", kind_name(now.kind())},
        {"from", now.from()},
        {"to", now.to()},
        {"stage", schema_migration::name(Stage(now.stage()))},
        {"shards", now.shards()},
        {"done", done(now)},
        {"owner", now.owner()},
        {"epoch", now.epoch()},
        {"paused", now.paused()},
        {"stopped", now.stopped()
                        ? json::value(json::string(
                              schema_migration::row(schema_migration::from_wire(now.stopped())).code))
                        : json::value()},
        {"about", now.about()},
        {"groups", counts.groups()},
        {"records_from", counts.records_from()},
        {"records_to", counts.records_to()},
        {"spent_from", counts.spent_from()},
        {"spent_to", counts.spent_to()},
        {"differ", counts.differ()},
        {"refusals", counts.refusals()}};
    return all;
}

void print(const wire::Machine& machine) {
    std::printf("%-10s %6s\n", "KIND", "LEVEL");
    for (std::size_t i = 0; i < schema::kKindCount; ++i)
        std::printf("%-10s %6u\n", kind_name(std::uint32_t(i)).c_str(), machine.levels(int(i)));
    const wire::Status& now = machine.migration();
    if (!now.id()) {
        std::printf("no migration was ever begun\n");
        return;
    }
    std::printf("\nmigration %llu: %s %u to %u: %s, %u of %u shards, owner %llu of epoch %llu%s\n",
                (unsigned long long)now.id(), kind_name(now.kind()).c_str(), now.from(), now.to(),
                std::string(schema_migration::name(Stage(now.stage()))).c_str(), done(now), now.shards(),
                (unsigned long long)now.owner(), (unsigned long long)now.epoch(),
                now.paused() ? ", paused" : "");
    if (now.counts().groups())
        std::printf(
            "  %llu groups; records %llu and %llu, spent %llu and %llu millionths; %llu differ\n",
            (unsigned long long)now.counts().groups(), (unsigned long long)now.counts().records_from(),
            (unsigned long long)now.counts().records_to(), (unsigned long long)now.counts().spent_from(),
            (unsigned long long)now.counts().spent_to(), (unsigned long long)now.counts().differ());
    if (now.stopped())
        std::printf(
            "  stopped: %s\n",
            fleet::sentence(schema_migration::row(schema_migration::from_wire(now.stopped())), now.about())
                .c_str());
    for (const wire::Session& one : machine.sessions())
        if (one.refused())
            std::printf("  refused: %s\n",
                        fleet::sentence(schema_migration::row(schema_migration::from_wire(one.refused())),
                                        one.about())
                            .c_str());
}

}  // namespace

int migrate_plan(const KeepersAt& at, const std::string& text, int to, double groups, bool as_json_text) {
    schema::Kind kind = read_kind(text);
    auto machine = look(at);
    if (!machine) return 1;
    schema::Version level = machine->levels(int(kind)), next = to ? schema::Version(to) : level + 1;
    bool possible = (next == level + 1 || next + 1 == level) && next <= schema::newest_version(kind) &&
                    schema_migration::ended(Stage(machine->migration().stage()));
    json::array can, cannot;
    for (const wire::Session& one : machine->sessions()) {
        schema::Range reads;
        if (int(kind) < one.ranges_size())
            reads = {one.ranges(int(kind)).least(), one.ranges(int(kind)).most()};
        bool fits = one.said() && reads.contains(next);
        if (one.refused()) continue;  // it neither reads nor writes: upgrade it first, or leave it
        (fits ? can : cannot).push_back(json::string(one.name()));
        possible = possible && fits;
    }
    // Converted, compared, dropped: three passes at the owner's pace.
    double seconds = groups * 3 / schema_migration::OwnerSettings().groups_per_second;
    if (as_json_text) {
        json::object plan{{"kind", text},         {"level", level},        {"to", next},
                          {"possible", possible}, {"can", std::move(can)}, {"cannot", std::move(cannot)}};
        if (groups > 0) plan["seconds"] = seconds;
        std::printf("%s\n", json::serialize(plan).c_str());
        return possible ? 0 : 1;
    }
    std::printf("%s: the fleet writes %u, would write %u\n%zu processes can, %zu cannot\n", text.c_str(),
                level, next, can.size(), cannot.size());
    for (const json::value& one : cannot)
        std::printf("  %s\n", fleet::sentence(schema_migration::row(schema_migration::Error::OldProcess),
                                              std::string(one.as_string()))
                                  .c_str());
    if (groups > 0)
        std::printf("%.0f groups take %.0f s at the pace of an idle fleet, longer under load\n", groups,
                    seconds);
    std::printf("%s\n", possible ? "it can begin" : "it cannot begin");
    return possible ? 0 : 1;
}

int migrate_start(const KeepersAt& at, const std::string& text, int to, int shards, int refusals,
                  bool narrows) {
    schema::Kind kind = read_kind(text);
    if (to == 0) {
        auto machine = look(at);
        if (!machine) return 1;
        to = int(machine->levels(int(kind))) + 1;
    }
    wire::Command start;
    wire::Start& begin = *start.mutable_start();
    begin.set_kind(std::uint32_t(kind)), begin.set_to(std::uint32_t(to)),
        begin.set_shards(std::uint32_t(shards));
    begin.set_refusals(std::uint64_t(refusals)), begin.set_narrows(narrows);
    return command(at, start, "migration of " + text + " to " + std::to_string(to) + " begins");
}

int migrate_steer(const KeepersAt& at, const std::string& way) {
    wire::Command steer;
    steer.set_steer(way == "pause"   ? wire::PAUSE
                    : way == "go-on" ? wire::GO_ON
                    : way == "back"  ? wire::BACK
                                     : wire::NARROW);
    return command(at, steer, way);
}

int migrate_status(const KeepersAt& at, bool as_json_text, bool watch) {
    while (true) {
        auto machine = look(at);
        if (!machine) return 1;
        if (as_json_text)
            std::printf("%s\n", json::serialize(as_json(*machine)).c_str());
        else
            print(*machine);
        std::fflush(stdout);
        const wire::Status& now = machine->migration();
        if (!watch || schema_migration::ended(Stage(now.stage())) || now.stopped()) return 0;
        std::this_thread::sleep_for(std::chrono::seconds(1));
    }
}

}  // namespace ochrehub::app
