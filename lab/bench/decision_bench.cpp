// What one decision costs a node of a tier of 100: prints, for 13, 60 and 1,000 servers, ns of this machine
// for a request from its arrival to its answer (two calls of the module, and the timers that fall due), and
// for a list that changes.
//
//     lab_decision_bench [REQUESTS]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <variant>

#include "ochrehub/balancer.h"

namespace {

using namespace ochrehub;
using Clock = std::chrono::steady_clock;

Settings settings(int gateways) {
    Settings set;
    set.node_count = gateways;
    set.node_index = 0;
    set.cancel = true;
    set.retry_after = true;
    set.max_attempts = 5;
    set.max_retry_after = Duration{1200};
    set.slow_start_duration = Duration{8200};
    set.slow_start_initial_capacity = 0.3;
    set.overload_factor = 3;
    set.overload_after = Duration{1500};
    set.probe_cost = gateways > 3 ? 0.08 : 0.03;
    set.cross_zone_cost = 0.02;
    for (double aim : {150.0, 190.0, 570.0, 570.0}) {
        ClassSettings c;
        c.latency_objective = Duration{aim};
        c.request_timeout = Duration{4 * aim};
        c.late_response_weight = 0.5;
        c.idempotency = Idempotency::Idempotent;
        set.classes.push_back(c);
    }
    set.tenants.push_back({16.0 * gateways, 1});
    return set;
}

struct Node {
    Balancer balancer;
    Actions actions;
    std::set<TimePoint> wakes;
    std::uint64_t calls = 0;

    void tell(TimePoint now, const Event& event) {
        actions.clear();
        balancer.handle(now, event, actions);
        ++calls;
        for (const Action& action : actions)
            if (const auto* wake = std::get_if<SetTimer>(&action)) wakes.insert(wake->at);
    }
    std::vector<EndpointId> probed() const {
        std::vector<EndpointId> servers;
        for (const Action& action : actions)
            if (const auto* probe = std::get_if<Probe>(&action)) servers.push_back(probe->endpoint);
        return servers;
    }
};

double ns_each(Clock::duration spent, std::uint64_t count) {
    return double(std::chrono::duration_cast<std::chrono::nanoseconds>(spent).count()) / double(count);
}

}  // namespace

int main(int argc, char** argv) {
    const std::uint64_t requests = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 200'000;
    std::printf("nodes servers  ns a request  module calls a request  us a list change\n");
    struct Size {
        int gateways;
        EndpointId servers;
    };
    for (auto [gateways, servers] : {Size{3, 13}, Size{100, 60}, Size{100, 1000}}) {
        Node node{Balancer(settings(gateways), 7), {}, {}};
        TimePoint now{Duration{1000}};
        std::vector<EndpointEntry> fleet(servers);
        for (EndpointId i = 0; i < servers; ++i) {
            fleet[i].endpoint = i + 1;
            fleet[i].zone = int(i % 3);
            fleet[i].cell = int(i / 4);
        }
        node.tell(now, EndpointUpdate{UpdateKind::Full, fleet});
        Clock::duration spent{}, spent_on_lists{};
        std::uint64_t lists = 0, sent = 0;
        const double gap = gateways > 3 ? 60 : 9;
        for (RequestId id = 1; id <= requests; ++id) {
            now += Duration{gap};
            const auto from = Clock::now();
            while (!node.wakes.empty() && *node.wakes.begin() <= now) {
                const TimePoint due = *node.wakes.begin();
                node.wakes.erase(node.wakes.begin());
                node.tell(due, TimerFired{});
                for (EndpointId server : node.probed())
                    node.tell(due, ProbeEnded{server, Outcome::Ok, Duration{1}, {}});
            }
            RequestArrived came;
            came.request = id;
            came.class_index = int(id % 4);
            came.tenant = 0;
            came.deadline = now + Duration{600};
            node.tell(now, came);
            for (const Action& action : Actions(node.actions))
                if (const auto* to = std::get_if<Forward>(&action)) {
                    ++sent;
                    node.tell(now + Duration{5},
                              AttemptEnded{id, 0, to->endpoint, Outcome::Ok, Duration{5}, true, {}});
                }
            spent += Clock::now() - from;
            if (id % 100 != 0) continue;  // one server drains or comes back
            EndpointEntry& one = fleet[(id - 100) / 200 % servers];
            one.phase = one.phase == Phase::Ready ? Phase::Draining : Phase::Ready;
            const auto list_from = Clock::now();
            node.tell(now + Duration{6}, EndpointUpdate{UpdateKind::Delta, {one}});
            spent_on_lists += Clock::now() - list_from;
            ++lists;
        }
        if (sent < requests / 2)
            return std::printf("only %llu sent\n", static_cast<unsigned long long>(sent)), 1;
        std::printf("%5d %7u %13.0f %23.2f %17.1f\n", gateways, servers, ns_each(spent, requests),
                    double(node.calls) / double(requests), ns_each(spent_on_lists, lists) / 1000);
    }
}
