// A process that holds shards and sends requests, for runs of several processes. It appends a line to its
// event log for each request and each response, so that requests that a kill interrupts are recorded too.
#include <fcntl.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "fleet/keys/keys.h"
#include "fleet/shards/shard_service.h"

namespace {

using namespace ochrehub;
namespace fleet_shards = ochrehub::shards;

std::atomic<bool> stopped{false};

/// The steady clock, which all processes of this machine share.
long long now_ns() {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

class EventLog {
public:
    explicit EventLog(const std::string& path)
        : fd_(open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600)) {}
    template <class... A>
    void line(const char* format, A... values) {
        char text[256];
        int size = std::snprintf(text, sizeof text, format, values...);
        if (write(fd_, text, std::size_t(size)) != size) std::abort();
    }

private:
    int fd_;
};

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("a process of the shards' runs");
    std::vector<std::string> coordinators;
    std::string name, zone, listen, advertise, event_log_path;
    std::uint64_t instance = 0;
    double lease = 1500;
    unsigned keys = 16, workers = 3, threads = 2;
    app.add_option("--keeper", coordinators)->required();
    app.add_option("--name", name)->required();
    app.add_option("--zone", zone)->required();
    app.add_option("--listen", listen)->required();
    app.add_option("--advertise", advertise);
    app.add_option("--diary", event_log_path)->required();
    app.add_option("--instance", instance)->required();
    app.add_option("--lease", lease);
    app.add_option("--keys", keys);
    app.add_option("--workers", workers);
    app.add_option("--threads", threads);
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGTERM, [](int) { stopped = true; });

    Clock clock;
    coordinator::SessionThreadSettings session;
    session.session.coordinators = coordinators, session.session.name = name, session.session.zone = zone;
    session.session.instance = instance, session.session.seed = instance + 1,
    session.session.lease = Duration(lease);
    session.cluster = "rig";
    fleet_shards::ShardServiceSettings set;
    set.worker_threads = threads;
    set.holder.address = advertise;
    set.holder.page_records = 8;
    set.peer_connections.channel.self.name = name, set.peer_connections.channel.self.zone = zone,
    set.peer_connections.channel.self.instance = instance;
    set.peer_connections.channel.cluster = fleet::fingerprint("rig");
    set.peer_connections.channel.idle_timeout = Duration(300),
    set.peer_connections.channel.dead_timeout = Duration(900);
    set.peer_connections.dial.initial_backoff = Duration(30),
    set.peer_connections.dial.max_backoff = Duration(300);
    set.listen = *channel::PeerConnections::parse_endpoint(listen);
    auto session_thread = std::make_unique<coordinator::SessionThread>(session, clock);
    fleet_shards::ShardService service(set, clock, *session_thread);
    service.start();
    session_thread->start();

    EventLog event_log(event_log_path);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::thread> all;
    for (unsigned t = 0; t < workers; ++t)
        all.emplace_back([&, t] {
            std::mt19937_64 random(instance * 31 + t);
            std::map<std::uint64_t, std::pair<std::uint64_t, std::uint64_t>> seen;  // key: version, value
            while (!stopped) {
                std::uint64_t id = ++next, key = random() % keys, kind = random() % 10,
                              value = instance * 1'000'000 + id;
                fleet_shards::Write write;
                write.record.kind = 9, write.record.key = "key" + std::to_string(key),
                write.record.partner = 1;
                write.record.lifetime = Duration(600'000), write.record.payload = std::to_string(value);
                bool writes = kind >= 5, swaps = kind >= 8;
                if (swaps) write.expected_version = seen[key].first;
                event_log.line("c %llu %llu %c %llu %llu %lld\n", static_cast<unsigned long long>(id),
                               static_cast<unsigned long long>(key),
                               !writes ? 'r'
                               : swaps ? 's'
                                       : 'w',
                               static_cast<unsigned long long>(value),
                               static_cast<unsigned long long>(seen[key].second), now_ns());
                auto answered = std::make_shared<std::promise<fleet_shards::ShardClient::Completed>>();
                auto future = answered->get_future();
                service.request(
                    writes, write, Duration(2500),
                    [answered](const fleet_shards::ShardClient::Completed& d) { answered->set_value(d); });
                if (future.wait_for(std::chrono::seconds(20)) != std::future_status::ready) break;
                fleet_shards::ShardClient::Completed done = future.get();
                std::uint64_t found = done.record ? std::stoull(done.record->payload) : 0;
                event_log.line("e %llu %d %llu %llu %llu %llu %lld\n", static_cast<unsigned long long>(id),
                               done.error ? int(*done.error) : 0, static_cast<unsigned long long>(found),
                               static_cast<unsigned long long>(
                                   fleet_shards::shard_of(9, write.record.key, set.table.shard_count)),
                               static_cast<unsigned long long>(done.view),
                               static_cast<unsigned long long>(done.holder), now_ns());
                if (!done.error || done.error == fleet_shards::Error::Changed)
                    seen[key] = writes && !done.error
                                    ? std::pair(done.version, value)
                                    : std::pair(done.record ? done.record->version : 0, found);
                std::this_thread::sleep_for(std::chrono::milliseconds(2 + random() % 10));
            }
        });
    for (std::thread& one : all) one.join();
    session_thread.reset();
}
