// The real node: reads its configuration, wires the parts together, serves until SIGTERM.
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdio>
#include <exception>
#include <functional>

#include "config/node_config.h"
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

void serve(const NodeConfig& config) {
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

    // SIGHUP: the file is read and checked whole before any of it counts. Of what it says only the address of
    // discovery can change under way.
    asio::signal_set hup(io, SIGHUP);
    std::function<void()> reload_on_hup = [&] {
        hup.async_wait([&](boost::system::error_code error, int) {
            if (error) return;
            try {
                NodeConfig fresh = read_node_config(Occasion::Reload);
                watcher.move_to(fresh.discovery);
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

int main() {
    try {
        serve(read_node_config(Occasion::Start));
        return 0;
    } catch (const ConfigError& error) {
        std::fprintf(stderr, "%s\n", error.what());
        return 2;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "cannot serve: %s\n", error.what());
        return 1;
    }
}
