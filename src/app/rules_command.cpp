// `ochrehub fleet rules`: what operators see of the documents that a fleet agrees on, and how they change
// them.
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <iterator>
#include <random>
#include <thread>

#include "app/ask_keepers.h"
#include "app/commands.h"
#include "app/node_config.h"
#include "audit/journal.h"
#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/coordinator/error.h"

namespace ochrehub::app {
namespace {

namespace json = boost::json;
using namespace config_distribution;

/// What could not be done, for people or as JSON.
struct Refused {
    const fleet::ErrorRow& row;
    std::string about;
};

config_distribution::ConfigResponse asked(const KeepersAt& at, const coordinator::wire::Request& ask) {
    auto answer = ask_leader(at, ask);
    if (!answer) throw Refused{coordinator::row(coordinator::Error::Unreachable), "keepers"};
    if (answer->error() != 0) throw Refused{coordinator::row(coordinator::Error(answer->error())), "rules"};
    auto read = decode_response(answer->result());
    if (!read)
        throw Refused{config_distribution::row(config_distribution::Error::Malformed), "the keepers' answer"};
    if (read->failure) throw Refused{config_distribution::row(read->failure->error), read->failure->about};
    return *read;
}
config_distribution::ConfigResponse look(const KeepersAt& at, const std::string& name) {
    coordinator::wire::Request ask;
    ask.mutable_query()->set_kind("rules"), ask.mutable_query()->set_body(status_query(name));
    return asked(at, ask);
}
config_distribution::ConfigResponse command(const KeepersAt& at, std::string body) {
    coordinator::wire::Request ask;
    ask.mutable_command()->set_kind("rules"), ask.mutable_command()->set_body(std::move(body));
    return asked(at, ask);
}

std::string when(std::uint64_t seconds) {
    std::time_t t = std::time_t(seconds);
    std::tm utc{};
    char text[32];
    gmtime_r(&t, &utc);
    std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
    return text;
}
const char* name_of(config_distribution::Phase phase) {
    constexpr const char* kNames[] = {"", "staging", "draining", "canary"};
    return kNames[std::size_t(phase)];
}

json::object as_json(const Document& d, bool content) {
    json::object out{{"version", d.version},
                     {"kind", std::string(config_distribution::name(kind(d.content)))},
                     {"mode", std::string(config_distribution::name(d.mode))},
                     {"without_permit", std::string(config_distribution::name(d.expiry_policy))},
                     {"proposer", d.proposer},
                     {"when", when(d.proposed_at_s)}};
    if (!content) out.erase("kind");
    if (content) out["text"] = to_text(d.content);
    if (d.rollback_of != 0) out["back_to"] = d.rollback_of;
    return out;
}
json::object as_json(const DocumentStatus& d, bool content) {
    json::array before, ended, nodes;
    for (const Document& b : d.history) before.push_back(as_json(b, content));
    for (const AbortedVersion& e : d.aborted)
        ended.push_back(json::object{{"version", e.version},
                                     {"code", std::string(config_distribution::row(e.failure.error).code)},
                                     {"about", e.failure.about},
                                     {"proposer", e.proposer}});
    for (const NodeStatus& n : d.nodes)
        nodes.push_back(json::object{{"name", n.name},
                                     {"zone", n.zone},
                                     {"version", n.version},
                                     {"said", n.ack == AckStatus::Ack    ? "yes"
                                              : n.ack == AckStatus::Nack ? "no"
                                                                         : ""},
                                     {"reason", n.reason},
                                     {"holds_up", n.blocks_drain}});
    json::object out{{"name", d.name},
                     {"phase", name_of(d.phase)},
                     {"before", std::move(before)},
                     {"ended", std::move(ended)},
                     {"nodes", std::move(nodes)}};
    if (d.in_force) out["in_force"] = as_json(*d.in_force, content);
    if (d.next) out["next"] = as_json(*d.next, content);
    return out;
}

void line(const char* what, const Document& d) {
    std::printf("%-9s %6llu  %-6s  %-7s  %s by %s%s\n", what, static_cast<unsigned long long>(d.version),
                std::string(config_distribution::name(d.mode)).c_str(),
                std::string(config_distribution::name(d.expiry_policy)).c_str(),
                when(d.proposed_at_s).c_str(), d.proposer.c_str(),
                d.rollback_of != 0 ? (", back to " + std::to_string(d.rollback_of)).c_str() : "");
}

const DocumentStatus& one(const config_distribution::ConfigResponse& answer, const std::string& name) {
    if (answer.documents.empty())
        throw Refused{config_distribution::row(config_distribution::Error::Unknown), name};
    return answer.documents.front();
}

/// Until it is in force, tried out or stopped.
int follow(const RulesAsk& ask, std::uint64_t version) {
    for (;;) {
        config_distribution::ConfigResponse answer = look(ask.at, ask.document);
        const DocumentStatus& d = one(answer, ask.document);
        auto tell = [&](const char* how) {
            if (ask.json)
                std::printf("%s\n",
                            json::serialize(
                                json::object{{"document", ask.document}, {"version", version}, {"is", how}})
                                .c_str());
            else
                std::printf("%s %llu: %s\n", ask.document.c_str(), static_cast<unsigned long long>(version),
                            how);
            return 0;
        };
        if (d.in_force && d.in_force->version >= version) return tell("in force");
        if (d.next && d.next->version == version && d.phase == config_distribution::Phase::Canary)
            return tell("tried out");
        for (const AbortedVersion& e : d.aborted)
            if (e.version == version)
                throw Refused{config_distribution::row(e.failure.error), e.failure.about};
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
}

Proposal begun(const RulesAsk& ask) {
    Proposal p;
    p.document.name = ask.document;
    p.document.proposer = audit::user();
    p.document.proposed_at_s = std::uint64_t(std::time(nullptr));
    p.document.mode = ask.mode == "quick" ? ConsistencyMode::Bounded : ConsistencyMode::Strict;
    p.document.expiry_policy = ask.choice == "keep"     ? ExpiryPolicy::KeepCurrent
                               : ask.choice == "refuse" ? ExpiryPolicy::DenyAll
                                                        : ExpiryPolicy::Conservative;
    p.any_nack_aborts = !ask.some_may_refuse;
    p.staging_timeout = Duration{ask.within_s * 1000};
    std::random_device device;
    p.token = std::uint64_t(device()) << 32 | device();
    if (!ask.zone.empty() || !ask.node.empty())
        p.document.canary_scope =
            config_distribution::CanaryScope{ask.zone, ask.node, Duration{ask.for_s * 1000}};
    return p;
}

Content read_content(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) throw ConfigError(path + ": cannot be read");
    std::string octets{std::istreambuf_iterator<char>(in), {}};
    auto read = parse_text(octets);
    if (const auto* bad = std::get_if<Failure>(&read))
        throw Refused{config_distribution::row(bad->error), path + ": " + bad->about};
    return std::get<Content>(std::move(read));
}

int carried_out(const RulesAsk& ask, const std::string& what) {
    if (what == "show") {
        config_distribution::ConfigResponse answer = look(ask.at, ask.document);
        if (ask.json) {
            json::array all;
            for (const DocumentStatus& d : answer.documents) all.push_back(as_json(d, !ask.document.empty()));
            std::printf("%s\n", json::serialize(all).c_str());
            return 0;
        }
        for (const DocumentStatus& d : answer.documents) {
            std::printf("%s\n", d.name.c_str());
            if (d.in_force) line("  in force", *d.in_force);
            if (d.next) line((std::string("  ") + name_of(d.phase)).c_str(), *d.next);
            for (const NodeStatus& n : d.nodes)
                std::printf("  node %s%s%s: has %llu%s%s%s\n", n.name.c_str(), n.zone.empty() ? "" : " in ",
                            n.zone.c_str(), static_cast<unsigned long long>(n.version),
                            n.ack == AckStatus::Ack    ? ", says yes"
                            : n.ack == AckStatus::Nack ? ", says no: "
                                                       : "",
                            n.ack == AckStatus::Nack ? n.reason.c_str() : "",
                            n.blocks_drain ? ", has older ones" : "");
            if (!ask.document.empty() && d.in_force) std::printf("%s", to_text(d.in_force->content).c_str());
        }
        return 0;
    }
    if (what == "propose") {
        Proposal p = begun(ask);
        p.document.content = read_content(ask.file);
        config_distribution::ConfigResponse seen = look(ask.at, "");
        for (const DocumentStatus& d : seen.documents)
            if (d.name == ask.document && d.in_force) {
                p.base_version = ask.base != 0 ? ask.base : d.in_force->version;
                if (ask.mode.empty()) p.document.mode = d.in_force->mode;
                if (ask.choice.empty()) p.document.expiry_policy = d.in_force->expiry_policy;
            }
        return follow(ask, command(ask.at, propose_command(p)).version);
    }
    config_distribution::ConfigResponse answer = look(ask.at, ask.document);
    const DocumentStatus& d = one(answer, ask.document);
    if (what == "history") {
        if (ask.json) return std::printf("%s\n", json::serialize(as_json(d, true)).c_str()), 0;
        if (d.next) line(name_of(d.phase), *d.next);
        if (d.in_force) line("in force", *d.in_force);
        for (const Document& b : d.history) line("before", b);
        for (const AbortedVersion& e : d.aborted)
            std::printf("%-9s %6llu  by %s: %s\n", "stopped", static_cast<unsigned long long>(e.version),
                        e.proposer.c_str(), fleet::sentence(e.failure).c_str());
        return 0;
    }
    if (what == "diff") {
        auto version = [&](std::uint64_t number) -> const Document& {
            if (d.in_force && d.in_force->version == number) return *d.in_force;
            if (d.next && d.next->version == number) return *d.next;
            for (const Document& b : d.history)
                if (b.version == number) return b;
            throw Refused{config_distribution::row(config_distribution::Error::NoVersion),
                          ask.document + " " + std::to_string(number)};
        };
        if (!d.in_force)
            throw Refused{config_distribution::row(config_distribution::Error::Unknown),
                          ask.document + ": nothing is in force"};
        Content b = !ask.file.empty()       ? read_content(ask.file)
                    : d.next && ask.to == 0 ? d.next->content
                                            : d.in_force->content;
        Content a = ask.to != 0                   ? version(ask.to).content
                    : !ask.file.empty() || d.next ? d.in_force->content
                    : d.history.empty()           ? b
                                                  : d.history.front().content;
        std::string lines = diff(a, b);
        if (ask.json)
            std::printf(
                "%s\n",
                json::serialize(json::object{{"diff", lines}, {"contradict", conflicts(a, b)}}).c_str());
        else
            std::printf("%s%s", lines.c_str(), conflicts(a, b) ? "they contradict each other\n" : "");
        return 0;
    }
    Proposal p = begun(ask);  // back
    p.base_version = d.in_force ? d.in_force->version : 0;
    std::uint64_t to = ask.to != 0 ? ask.to : d.history.empty() ? 0 : d.history.front().version;
    return follow(ask, command(ask.at, rollback_command(ask.document, to, p)).version);
}

}  // namespace

int fleet_rules(const std::string& what, const RulesAsk& ask) {
    try {
        return carried_out(ask, what);
    } catch (const Refused& refused) {
        if (ask.json)
            std::printf("%s\n",
                        json::serialize(json::object{{"code", std::string(refused.row.code)},
                                                     {"about", refused.about},
                                                     {"passes", refused.row.passes},
                                                     {"operators", std::string(refused.row.operators)}})
                            .c_str());
        std::fprintf(stderr, "%s\n", fleet::sentence(refused.row, refused.about).c_str());
        return 1;
    }
}

}  // namespace ochrehub::app
