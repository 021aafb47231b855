// The real node: reads its configuration, wires the parts together, serves until SIGTERM.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/node_config.h"
#include "config/operators_file.h"
#include "discovery/watcher.h"
#include "engine/engine.h"
#include "http/front.h"
#include "http/server_pool.h"
#include "net/descriptor_budget.h"
#include "net/log.h"

namespace {

using namespace ochrehub;
namespace asio = boost::asio;

constexpr std::chrono::milliseconds kDrainLeast{700};  // clients still come for a while
constexpr std::chrono::milliseconds kDrainLook{20};

/// What the operators' file says; without one all is off. Throws ConfigError with the first fault.
OperatorSettings read_operators(const std::optional<std::string>& path, const Names& names) {
    if (!path) return {};
    OperatorsFile file = read_operators_file(*path, &names.classes);
    if (!file.faults.empty()) throw ConfigError(*path + ": " + file.faults.front());
    return file.settings;
}

void serve(const NodeConfig& config, const std::optional<std::string>& operators_path) {
    OperatorSettings operators = read_operators(operators_path, config.names);
    BufferPool pool(config.memory_mb);  // before the loop, whose pending handlers still hold buffers when it goes
    asio::io_context io{1};
    DescriptorBudget budget = DescriptorBudget::of(config.sockets);
    Engine engine(io, config.settings, config.seed);
    http::ServerPool servers(io, pool, engine, config.settings, budget.servers);
    discovery::Watcher watcher(io, pool, config.names, config.settings.removal_not_binding, config.discovery,
                               [&engine](const Listing& listing) { engine.listed(listing); });
    engine.connect(servers, watcher);
    http::Front front(io, pool, engine, config.settings, config.names, config.listen, budget);
    watcher.cached(config.known);
    auto apply = [&](const OperatorSettings& told) {
        front.rewrite_by(told.rewrites.on ? std::make_shared<const rewrite::Rewrites>(told.rewrites)
                                          : nullptr);
    };
    apply(operators);

    // SIGHUP: both files are read and checked whole before any of them counts. Of what GW_CONFIG says only
    // the address of discovery can change under way: the classes that rules may name are those of the start.
    asio::signal_set hup(io, SIGHUP);
    std::function<void()> reload_on_hup = [&] {
        hup.async_wait([&](boost::system::error_code error, int) {
            if (error) return;
            try {
                NodeConfig fresh = read_node_config(Occasion::Reload);
                OperatorSettings told = read_operators(operators_path, config.names);
                watcher.move_to(fresh.discovery);
                apply(told);
                log_line("configuration read again");
            } catch (const std::exception& bad) {
                log_line("configuration kept: %s", bad.what());
            }
            reload_on_hup();
        });
    };
    reload_on_hup();

    asio::signal_set stop(io, SIGTERM, SIGINT);
    asio::steady_timer look(io);
    std::chrono::steady_clock::time_point stopped_at;
    std::function<void()> end_when_quiet = [&] {
        bool waited = std::chrono::steady_clock::now() - stopped_at >= kDrainLeast;
        if (waited && engine.open_requests() == 0 && front.quiet()) return io.stop();
        look.expires_after(kDrainLook);
        look.async_wait([&](boost::system::error_code) { end_when_quiet(); });
    };
    stop.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        log_line("stopping: %zu requests to answer", engine.open_requests());
        front.drain();
        stopped_at = std::chrono::steady_clock::now();
        end_when_quiet();
    });
    log_line("%s serves", config.name.c_str());
    io.run();
}

}  // namespace

int main(int count, char** texts) {
    std::vector<std::string_view> arguments(texts + 1, texts + count);
    auto are = [&](std::size_t many, std::string_view first) {
        return arguments.size() == many && arguments.front() == first;
    };
    try {
        if (arguments.empty() || are(2, "-f")) {
            std::optional<std::string> operators;
            if (!arguments.empty()) operators = arguments[1];
            serve(read_node_config(Occasion::Start), operators);
            return 0;
        }
        std::fputs("usage: ochrehub [-f FILE]\n", stderr);
        return 2;
    } catch (const ConfigError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cannot serve: %s\n", error.what());
        return 1;
    }
}
