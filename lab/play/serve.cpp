#include "lab/play/serve.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <stdexcept>
#include <thread>
#include <vector>

#include "lab/play/fleet.h"
#include "lab/play/plain_server.h"
#include "lab/play/temporary_folder.h"

namespace ochrehub::lab {
namespace {

constexpr std::chrono::milliseconds kTick{50};
constexpr double kSecondsMost = 24 * 3600;

void wait(double seconds, const std::atomic<bool>* stop) {
    auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    while (std::chrono::steady_clock::now() < until && !(stop && *stop)) std::this_thread::sleep_for(kTick);
}

void serve_plainly(const Day& day, const ServeOptions& options, double seconds) {
    PlainServer server(options.plain_threads);
    boost::asio::io_context io;
    Held listen(io, machine(1));
    options.print(fmt::format("a server that answers at once: {}", text_of(server.address())));
    options.print("as TOML, for a node of its own:\n" +
                  toml_sample(day, text_of(listen.at()), {text_of(server.address())}));
    wait(seconds, options.stop);
    server.stop();
    options.print(fmt::format("{} answered, {:.2f} s of CPU", server.answered(), server.cpu_s()));
}

}  // namespace

std::string toml_sample(const Day& day, const std::string& listen, const std::vector<std::string>& servers) {
    std::string text = fmt::format("listen = \"{}\"\n", listen);
    for (const ClassFigures& c : day.classes) {
        text += fmt::format("[[class]]\nname = \"{}\"\npath = \"/{}\"\naim_ms = {:g}\ngive_up_ms = {:g}\n",
                            c.name, c.name, c.aim.count(), c.give_up.count());
        // Without discovery nobody knows of cells: a repeat is safe among all servers, or it is not told of.
        if (c.effect == Idempotency::Idempotent) text += "effect = \"free\"\n";
        if (c.effect == Idempotency::IdempotentWithKey && c.scope == DeduplicationScope::All)
            text += fmt::format("effect = \"keyed\"\nscope = \"all\"\nwindow_ms = {:g}\n", c.window.count());
    }
    for (const std::string& server : servers) text += fmt::format("[[server]]\naddress = \"{}\"\n", server);
    return text;
}

void serve(const Day& day, const ServeOptions& options) {
    double seconds = options.seconds > 0 ? options.seconds : day.length.count() / 1000;
    if (seconds > kSecondsMost)
        throw std::invalid_argument("a day at most: " + std::to_string(seconds) + " s");
    if (day.nodes.empty()) throw std::invalid_argument("a day without nodes: nobody is there to be served");
    raise_descriptor_limit();
    if (options.plain_threads > 0) return serve_plainly(day, options, seconds);
    TemporaryFolder folder(options.directory);
    Loop loop{Clock()};
    std::vector<std::unique_ptr<Held>> held;
    std::vector<Endpoint> listen;
    for (std::size_t i = 0; i < day.nodes.size(); ++i) {
        held.push_back(std::make_unique<Held>(loop.io(), machine(unsigned(1 + i % 8))));
        listen.push_back(held.back()->at());
    }
    Fleet fleet(loop, day, day.seed, listen, false);
    for (std::size_t i = 0; i < day.nodes.size(); ++i) {
        auto path = folder.path() / (node_name(NodeNo(i)) + ".json");
        std::ofstream(path) << fleet.config(NodeNo(i), day.seed + i);
        options.print(fmt::format("GW_CONFIG={}  # listens at {}, discovery at {}", path.string(),
                                  text_of(listen[i]), text_of(fleet.discovery().address(NodeNo(i)))));
    }
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < day.servers.size(); ++i) {
        addresses.push_back(text_of(fleet.servers().address(ServerNo(i), 0)));
        options.print(fmt::format("server {} for the first node: {}", day.servers[i].id, addresses.back()));
    }
    options.print("as TOML, for a node without discovery:\n" +
                  toml_sample(day, text_of(listen.front()), addresses));
    TimePoint start = loop.now();
    schedule_faults(loop, day, start, [&](int number, bool on) {
        if (day.faults[std::size_t(number)].kind == FaultKind::DiscoveryMoves)
            return;  // nobody would be told
        fleet.fault(number, on);
    });
    for (std::size_t i = 0; i < day.servers.size(); ++i)
        if (day.servers[i].exists_from > Duration{0})
            loop.scheduler().call_at(start + day.servers[i].exists_from,
                                     [&fleet, i] { fleet.add(ServerNo(i)); });
    // Nobody judges: records would only grow.
    std::function<void()> forget = [&] {
        loop.records().clear();
        loop.scheduler().call_at(loop.now() + Duration{1000}, [&forget] { forget(); });
    };
    forget();
    loop.start();
    wait(seconds, options.stop);
    loop.call([&fleet] { fleet.close(); });
    loop.finish();
}

}  // namespace ochrehub::lab
