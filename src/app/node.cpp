// The real node: wires the parts together by a plan, serves until SIGTERM.
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "admin/side.h"
#include "app/commands.h"
#include "app/handover.h"
#include "app/plan.h"
#include "audit/journal.h"
#include "base/asio_scheduler.h"
#include "base/descriptor_budget.h"
#include "base/log.h"
#include "base/process_memory.h"
#include "discovery/static_list.h"
#include "discovery/watcher.h"
#include "engine/engine.h"
#include "figures/figures.h"
#include "fleet/membership/membership_service.h"
#include "http/front.h"
#include "http/server_pool.h"
#include "takeover/request_id_table.h"

namespace ochrehub::app {
namespace {

namespace asio = boost::asio;

constexpr std::chrono::milliseconds kDrainLeast{700};  // clients still come for a while
constexpr std::chrono::milliseconds kDrainLook{20};
// From then on connections that rest are ended: clients open new ones, and find another node, for up to 0.4 s
// longer. Before, they would come back here; later, they would send on what stays open till this process is
// killed.
constexpr std::chrono::milliseconds kRestEnds{450};
// The platform kills what is left after the longest deadline and 0.7 s. Until then a node may be held up for
// 0.15 s, and clients that still send have to read their answers.
constexpr std::chrono::milliseconds kStopLate{500};
constexpr std::chrono::milliseconds kStopLinger{600};
constexpr Duration kDeadlineMost{3000};
constexpr std::chrono::milliseconds kBeat{250};

std::unique_ptr<audit::Journal> open_journal(const Plan& plan) {
    if (!plan.operators.audit.on) return nullptr;
    try {
        return std::make_unique<audit::Journal>(plan.operators.audit);
    } catch (const std::runtime_error& error) {
        throw ConfigError(plan.audit_file_at + error.what());
    }
}

/// Settings of a TOML file that differ, but for those that a reload changes.
std::vector<std::string> changed_for_later(const Plan& was, const Plan& is) {
    auto at_once = [](std::string_view name) {
        std::string_view section = name.substr(0, name.find_first_of(".["));
        return section == "server" || section == "discovery" || section == "rewrites" ||
               section == "figures" || section == "audit" || name == "fleet.key_file" ||
               name == "keepers.key_file";
    };
    std::map<std::string, std::string> before, after;
    for (const auto& value : was.values) before[value.name] += value.value + ";";
    for (const auto& value : is.values) after[value.name] += value.value + ";";
    std::vector<std::string> names;
    for (const auto& [name, value] : after)
        if (auto known = before.find(name);
            !at_once(name) && (known == before.end() || known->second != value))
            names.push_back(name);
    for (const auto& [name, value] : before)
        if (!at_once(name) && !after.contains(name)) names.push_back(name);
    return names;
}

/// How long a client may wait for the answer to what was taken last.
Duration longest(const Settings& settings) {
    Duration most{0};
    for (const ClassSettings& c : settings.classes) most = std::max(most, c.request_timeout);
    return std::min(most, kDeadlineMost);
}

/// Tells the fleet's side that the node's loop turns.
class Beats {
public:
    Beats(asio::io_context& io, membership::MembershipService& service) : timer_(io), service_(service) {
        beat();
    }

private:
    void beat() {
        service_.heartbeat();
        timer_.expires_after(kBeat);
        timer_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) beat();
        });
    }

    asio::steady_timer timer_;
    membership::MembershipService& service_;
};

/// Where the list of servers comes from.
class Servers {
public:
    Servers(asio::io_context& io, Scheduler& scheduler, BufferPool& pool, const Plan& plan,
            std::function<void(const EndpointList&)> listed) {
        const NodeConfig& node = plan.node;
        if (plan.servers)
            fixed_.emplace(node.names, listed);
        else
            watcher_.emplace(io, scheduler, pool, node.names, node.settings.removal_not_binding,
                             node.discovery, node.seed, listed);
    }
    DiscoverySource& registry() {
        if (fixed_) return *fixed_;
        return *watcher_;
    }
    void begin(const Plan& plan) {
        if (fixed_)
            fixed_->use(*plan.servers);
        else
            watcher_->cached(plan.node.known);
    }
    void reload(const Plan& was, const Plan& is) {
        if (watcher_ && !is.servers) watcher_->move_to(is.node.discovery);
        if (fixed_ && is.servers && is.servers != was.servers) fixed_->use(*is.servers);
        if (fixed_.has_value() != is.servers.has_value())
            log(LogLevel::Warn,
                "discovery in place of [[server]], or the other way round, counts from the next start");
    }

private:
    std::optional<discovery::StaticList> fixed_;
    std::optional<discovery::Watcher> watcher_;
};

void open_fleet(std::optional<membership::MembershipService>& fleet, const Plan& plan,
                membership::MembershipService::DivisorCallback shares) {
    if (!plan.fleet.on) return;
    try {
        fleet.emplace(plan.fleet, plan.node.name, plan.node.settings.node_count, std::move(shares));
    } catch (const boost::system::system_error& error) {
        const auto& at = plan.fleet.listen;
        throw ConfigError(plan.fleet_listen_at + "\"" + at.address().to_string() + ":" +
                          std::to_string(at.port()) + "\": " + error.code().message());
    }
    if (plan.fleet.keys.empty())
        log(LogLevel::Warn, "the fleet has no key_file: whoever reaches its address is believed");
}

void serve(const ReadPlan& read) {
    bound_kept_memory();
    Plan plan = read(Occasion::Start, nullptr);
    log_by(plan.log);
    const NodeConfig config = plan.node;
    std::unique_ptr<audit::Journal> journal = open_journal(plan);
    auto record = [&](const char* event, const std::string& by, const std::string& detail) {
        if (journal) journal->record(event, by, detail);
    };
    unsigned long revision = 1;  // of the operators' settings, as accepted
    auto rev = [&] { return "file rev " + std::to_string(revision); };
    BufferPool pool(config.memory_mb);  // before the loop: pending handlers still hold buffers when it goes
    asio::io_context io{1};
    // Before anything listens: without a handler a signal ends the process. One that comes before the wait
    // for it is kept until then.
    asio::signal_set stop(io, SIGTERM, SIGINT), hup(io, SIGHUP);
    const std::size_t reserved =
        (config.control ? admin::AdminServer::kDescriptors : 0) +
        (plan.fleet.on ? membership::MembershipService::kDescriptors : 0) +
        (plan.keepers.on ? config_distribution::ConfigSubscriberThread::kDescriptors : 0);
    DescriptorBudget budget = DescriptorBudget::of(config.sockets, reserved);
    Clock clock;
    AsioScheduler scheduler(io, clock);
    Engine engine(scheduler, config.settings, config.seed);
    Counters counters(config.names.classes.size());
    engine.set_counters(&counters);
    http::ServerPool connections(io, pool, engine, config.settings, budget.servers, plan.profile, &counters);
    std::optional<membership::MembershipService> fleet;  // before whatever shows it
    open_fleet(fleet, plan, [&](int gateways, int me) {
        asio::post(io, [&engine, gateways, me] { engine.set_fleet_size(gateways, me); });
    });
    auto by_hand = [&engine](std::uint64_t key, bool out, TimePoint since) {
        engine.set_admin_override(key, out, since);
    };
    std::optional<Rules> rules;
    if (plan.keepers.on) {
        rules.emplace(
            io, clock, plan.keepers, config.name, plan.zone,
            Rules::Node{by_hand, [&](const std::string& detail) { record("rules", "keepers", detail); }});
        engine.set_pre_submit_hook([&rules] { rules->look(); });
        if (plan.keepers.keys.empty())
            log(LogLevel::Warn, "[keepers] has no key_file: whoever answers there is believed");
    }
    const std::string& folder = config.scratch;
    std::string files =
        "ochrehub-" + config.listen.address().to_string() + "-" + std::to_string(config.listen.port());
    bool shares_ids = config.inherited && !folder.empty();
    takeover::RequestIdTable executed_ids(shares_ids ? folder + "/" + files + ".ids" : "");
    std::optional<http::Front> front;  // no list comes before there is one
    std::optional<admin::Side> side;
    Opening opening(io, config.inherited.has_value());
    auto show = [&] {
        if (side) side->serves(front->serves());
    };
    Servers servers(io, scheduler, pool, plan, [&](const EndpointList& listing) {
        front->listed(listing);
        if (side) side->listed(listing);
        if (rules) rules->listed(listing);
        engine.update_endpoints(listing);
        opening.listed(listing);
        show();
    });
    engine.connect(connections, servers.registry());
    figures::Figures figures(io, config.names, &counters);
    front.emplace(io, pool, engine, figures, config.settings, config.names, config.listen, config.inherited,
                  budget, ~config.seed, executed_ids, plan.profile, &counters);
    front->watch_server_connections([&connections] { return connections.missing(); });
    admin::Side::Fleet shown;
    if (fleet) shown.members = [&] { return fleet->members_json(); };
    if (fleet || rules)
        shown.figures = [&] {
            return (fleet ? fleet->metrics_text() : std::string()) +
                   (rules ? rules->figures() : std::string());
        };
    if (config.control)
        side.emplace(
            *config.control, counters, config.names.classes,
            takeover::Store(folder, files, config.name, config.settings.slow_start_duration),
            [&](std::uint64_t key, bool out, TimePoint since) {
                asio::post(io, [&, key, out, since] {
                    if (rules)
                        rules->by_desk(key, out, since);
                    else
                        by_hand(key, out, since);
                });
            },
            shown);
    auto halve = [&](bool twin) {
        DescriptorBudget part = DescriptorBudget::of(config.sockets, reserved, twin);
        front->keep_to(part);
        connections.keep_to(part.servers);
        pool.set_limit(twin ? config.memory_mb / 2 : config.memory_mb);
        engine.set_handover_peer_present(twin);
    };
    // From its first connection on: before that it needs next to nothing, and the other process serves alone.
    std::optional<HandoverPeerWatch> handover_peer;
    opening.when_due([&] {
        front->open();
        show();
        if (config.inherited && !folder.empty()) handover_peer.emplace(io, folder, files, halve);
    });
    servers.begin(plan);
    if (side) side->start();
    auto apply = [&] {
        const rewrite::Rewrites& rewrites = plan.operators.rewrites;
        if (rules) {
            rules->own_rewrites(rewrites);
            rules->use(plan.keepers.keys);
            front->rewrite_by(rules->rewrites());
        } else
            front->rewrite_by(rewrites.on ? std::make_shared<const rewrite::Rewrites>(rewrites) : nullptr);
        figures.use(plan.operators.figures);
        if (fleet) fleet->set_keys(plan.fleet.keys);
    };
    apply();
    std::optional<Beats> beats;
    if (fleet) {
        beats.emplace(io, *fleet);
        fleet->start();
    }
    if (rules) rules->start();

    // SIGHUP: all files are read and checked whole before any of them counts. Only where servers are found
    // and what operators switch on can change under way: the classes that rules may name are those of the
    // start.
    std::function<void()> reload_on_hup = [&] {
        hup.async_wait([&](boost::system::error_code error, int) {
            if (error) return;
            try {
                Plan fresh = read(Occasion::Reload, &config.names);
                servers.reload(plan, fresh);
                if (fresh.servers.has_value() != plan.servers.has_value()) fresh.servers = plan.servers;
                for (const std::string& name : changed_for_later(plan, fresh))
                    log(LogLevel::Warn, "counts from the next start:", {{"setting", name}});
                fresh.values = std::move(plan.values);  // those of the start
                auto [was, is] = std::tie(plan.operators, fresh.operators);
                bool rewrites_were_on = was.rewrites.on, figures_were_on = was.figures.on;
                // From the start only: a chain stays in one place.
                if (is.audit != was.audit) log_line("audit and audit_file count from the next start");
                is.audit = was.audit;
                plan = std::move(fresh);
                apply();
                ++revision;
                log_line("configuration read again");
                record("reload", "SIGHUP", rev());
                auto switched = [&](bool before, bool now, const std::string& feature) {
                    if (before != now) record("switch", "SIGHUP", feature + (now ? " on" : " off"));
                };
                switched(rewrites_were_on, plan.operators.rewrites.on, "rewrites");
                switched(figures_were_on, plan.operators.figures.on, "figures");
            } catch (const std::exception& bad) {
                std::string_view all = bad.what(), first = all.substr(0, all.find('\n'));
                for (std::string_view rest = all; !rest.empty();) {
                    std::string_view line = rest.substr(0, rest.find('\n'));
                    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
                    log_line(LogLevel::Error, "configuration kept: %.*s", int(line.size()), line.data());
                }
                record("reload", "SIGHUP", "refused: " + std::string(first));
            }
            reload_on_hup();
        });
    };
    reload_on_hup();

    asio::steady_timer look(io);
    std::chrono::steady_clock::time_point stopped_at;
    const auto longest_deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(longest(config.settings));
    std::function<void()> end_when_quiet = [&] {
        auto since = std::chrono::steady_clock::now() - stopped_at;
        bool waited = since >= kDrainLeast, answered = engine.open_requests() == 0;
        bool late = since >= longest_deadline + kStopLate;
        bool lingered = since >= longest_deadline + kStopLinger;
        if (since >= kRestEnds) front->end_resting();
        if (late) front->end_half_sent();
        if (std::size_t unread = late ? front->end_unread() : 0)
            log(LogLevel::Warn, "stopping: answers that their clients did not read end unfinished",
                {{"answers", unread}});
        if (std::size_t silent = late ? front->end_silent() : 0)
            log(LogLevel::Warn, "stopping: answers whose servers fell silent end unfinished",
                {{"answers", silent}});
        // Where the listener was handed down, whoever took over has it, and this process is over with its
        // last client. Clients that have yet to close are waited for as long as there is time; an answer that
        // is owed, for longer.
        bool over =
            (waited || config.inherited) && answered && (lingered || front->empty()) && front->quiet();
        if (over) return io.stop();
        look.expires_after(kDrainLook);
        look.async_wait([&](boost::system::error_code) { end_when_quiet(); });
    };
    stop.async_wait([&](boost::system::error_code error, int signal) {
        if (error) return;
        front->drain(engine.now() + longest_deadline + kStopLate);
        if (fleet) fleet->leave();
        show();
        log_line("stopping: %zu requests to answer", engine.open_requests());  // what it says is seen by then
        record("stop", signal == SIGINT ? "SIGINT" : "SIGTERM",
               std::to_string(engine.open_requests()) + " requests to answer");
        stopped_at = std::chrono::steady_clock::now();
        end_when_quiet();
    });
    log_line("%s serves", config.name.c_str());
    record("start", audit::user(), rev() + ", pid " + std::to_string(getpid()));
    io.run();
    figures.flush();
}

}  // namespace

int serve_platform(const std::string& operators_path) {
    serve([&](Occasion occasion, const Names* start) {
        return read_platform_plan(operators_path, occasion, start);
    });
    return 0;
}

int serve_file(const std::string& path) {
    serve([&](Occasion, const Names*) { return read_toml_plan(path); });
    return 0;
}

}  // namespace ochrehub::app
