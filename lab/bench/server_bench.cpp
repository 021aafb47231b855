// What one emulated server costs: prints ns of this machine for each request, its wakes included, at 70%
// load. Arrivals are drawn before the clock is started; servers take turns of 10 ms, as a world with many
// would run them.
//
//     lab_server_bench [SERVERS [REQUESTS]]

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <limits>
#include <new>
#include <random>
#include <utility>
#include <vector>

#include "lab/model/server.h"

namespace {

using namespace ochrehub;
using namespace ochrehub::lab;

constexpr double kNever = std::numeric_limits<double>::infinity();

struct Host {
    Server server;
    std::vector<RequestIn> requests;
    std::vector<double> times;
    std::size_t next = 0;
    double wake = kNever;
    std::vector<ConnectionNo> idle;
    ServerActions actions;
};

std::uint64_t events = 0, answers = 0, turned_away = 0, allocations = 0;

void tell(Host& host, double at, const ServerEvent& event) {
    ++events;
    host.actions.clear();
    host.server.handle(TimePoint(Duration(at)), event, host.actions);
    for (const ServerAction& action : host.actions) {
        if (const auto* wake = std::get_if<WakeServerAt>(&action))
            host.wake = wake->at.time_since_epoch().count();
        if (const auto* answer = std::get_if<AnswerOut>(&action)) {
            host.idle.push_back(answer->connection);
            ++answers;
            if (answer->how == Ended::NeverRan) ++turned_away;
        }
        if (const auto* up = std::get_if<Connected>(&action)) host.idle.push_back(up->connection);
    }
}

void play(Host& host, double until) {
    for (;;) {
        const double arrival = host.next < host.times.size() ? host.times[host.next] : kNever;
        if (std::min(arrival, host.wake) > until) return;
        if (host.wake <= arrival) {
            const double at = std::exchange(host.wake, kNever);
            tell(host, at, ServerWoken{});
            continue;
        }
        RequestIn& request = host.requests[host.next++];
        if (host.idle.empty()) {
            std::fprintf(stderr, "no connection left\n");
            std::exit(1);
        }
        request.connection = host.idle.back();
        host.idle.pop_back();
        tell(host, arrival, request);
    }
}

}  // namespace

// Counts what is allocated: a request must need nothing once its servers have seen their busiest time.
void* operator new(std::size_t size) {
    ++allocations;
    if (void* place = std::malloc(size)) return place;
    throw std::bad_alloc();
}
void operator delete(void* place) noexcept {
    std::free(place);
}
void operator delete(void* place, std::size_t) noexcept {
    std::free(place);
}

int main(int argc, char** argv) {
    const std::size_t servers = argc > 1 ? std::strtoul(argv[1], nullptr, 10) : 13;
    const std::size_t requests = argc > 2 ? std::strtoul(argv[2], nullptr, 10) : 2'000'000;
    const std::size_t each = requests / servers;
    std::vector<ClassFigures> classes(4);
    classes[3].effect = Idempotency::IdempotentWithKey;
    classes[3].window = Duration(6000);
    const Limits limits;
    std::mt19937_64 random(1);
    const auto unit = [&] { return static_cast<double>(random() >> 11) * 0x1p-53; };

    std::vector<Host> hosts;
    AttemptNo attempt = 0;
    double last = 0;
    for (std::size_t s = 0; s < servers; ++s) {
        ServerFigures figures;
        figures.cores = 2;
        figures.idle_most = Duration(1e12);
        Host host{Server(figures, classes, limits, Server::make_memory(), s), {}, {}, 0, kNever, {}, {}};
        tell(host, 0, Start{true});
        for (ConnectionNo c = 1; c <= 400; ++c) tell(host, 0, Connecting{c, 0});
        play(host, 10'000);
        double at = 10'000;
        for (std::size_t i = 0; i < each; ++i) {
            at += -20 / (2 * 0.7) * std::log(1 - unit());
            RequestIn request;
            request.attempt = ++attempt;
            request.cls = static_cast<int>(random() % 4);
            request.work = Duration(10 + 20 * unit());
            request.wait = Duration(20 + 40 * unit());
            if (request.cls == 3) request.key = attempt;
            request.expires_in = Duration(600);
            host.times.push_back(at);
            host.requests.push_back(request);
        }
        last = std::max(last, at);
        hosts.push_back(std::move(host));
    }
    events = answers = turned_away = allocations = 0;
    const auto began = std::chrono::steady_clock::now();
    const int turns = static_cast<int>((last - 5'000) / 10);
    for (int turn = 0; turn < turns; ++turn) {
        for (Host& host : hosts) play(host, 10'000 + turn * 10.0);
    }
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    const auto n = static_cast<double>(answers);
    std::printf(
        "%zu servers, %.0f requests answered (%llu turned away): %.2f events, %.5f allocations, %.0f ns a "
        "request\n",
        servers, n, static_cast<unsigned long long>(turned_away), static_cast<double>(events) / n,
        static_cast<double>(allocations) / n, took.count() / n);
}
