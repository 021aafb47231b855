// What the emulated clients and the front layer cost a call: ns, best and median of some rounds, with actions
// and notes made and thrown away. Nodes answer in virtual time from a ring, which costs a few ns.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "lab/model/clients.h"
#include "lab/model/mixer.h"

using namespace ochrehub;
using namespace ochrehub::lab;

namespace {

constexpr TimePoint kNoWake{Duration{std::numeric_limits<double>::infinity()}};

Day make_day(std::size_t calls, double per_s, int nodes, int zones) {
    Day day;
    day.length = Duration{double(calls) / per_s * 1000 + 1};
    for (int i = 0; i < 4; ++i) {
        ClassFigures cls;
        cls.effect = i < 2    ? Idempotency::Idempotent
                     : i == 2 ? Idempotency::NonIdempotent
                              : Idempotency::IdempotentWithKey;
        cls.give_up = Duration{500.0 + 400 * i};
        day.classes.push_back(cls);
    }
    for (int i = 0; i < zones; ++i) day.network.zones.push_back(std::to_string(i));
    for (int i = 0; i < nodes; ++i) {
        NodeFigures node;
        node.zone = i % zones;
        day.nodes.push_back(node);
    }
    for (std::size_t i = 0; i < calls; ++i) {
        Arrival arrival;
        arrival.at = Duration{double(i) * 1000 / per_s};
        arrival.cls = int(mixed(i) % 4);
        arrival.zone = int(mixed(i + calls) % std::uint64_t(zones));
        arrival.key = i + 1;
        day.arrivals.push_back(arrival);
    }
    return day;
}

/// `refused`: part of tries that are refused, and so tried again.
double ns_a_call(const Day& day, double refused, Duration answer_after, bool first) {
    struct Due {
        TimePoint at;
        TryId id;
    };
    std::deque<Due> due;  // each is answered after the same time
    Clients clients(day, TimePoint{Duration{1000}}, 7);
    ClientActions actions;
    TimePoint wake = kNoWake, now{Duration{1000}};
    std::size_t tries = 0;
    auto began = std::chrono::steady_clock::now();
    auto take = [&] {
        for (const ClientAction& action : actions) {
            if (const auto* ask = std::get_if<Ask>(&action)) {
                due.push_back({now + answer_after, ask->id});
                ++tries;
            } else if (const auto* at = std::get_if<WakeClientsAt>(&action)) {
                wake = at->at;
            }
        }
        actions.clear();
    };
    for (NodeNo node = 0; node < int(day.nodes.size()); ++node) clients.handle(now, NodeUp{node}, actions);
    take();
    while (!clients.done()) {
        if (!due.empty() && due.front().at <= wake) {
            Due next = due.front();
            due.pop_front();
            now = next.at;
            bool no = part_of(mixed(next.id)) < refused;
            Answered answer{next.id, no ? Heard::Refused : Heard::Served, no ? 503 : 200, {}, false};
            clients.handle(now, answer, actions);
        } else {
            now = std::exchange(wake, kNoWake);
            clients.handle(now, ClientsWoken{}, actions);
        }
        take();
    }
    std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    if (first)
        std::printf("  %.2f tries a call, %zu places, %zu connections\n",
                    double(tries) / double(day.arrivals.size()), clients.places(), clients.connections());
    return took.count() / double(day.arrivals.size());
}

void rounds(const char* name, const Day& day, double refused, Duration answer_after) {
    std::printf("%s\n", name);
    std::vector<double> ns(5);
    for (double& round : ns) round = ns_a_call(day, refused, answer_after, &round == &ns.front());
    std::sort(ns.begin(), ns.end());
    std::printf("  best %.0f, median %.0f ns a call\n", ns.front(), ns[ns.size() / 2]);
}

}  // namespace

int main(int argc, char** argv) {
    std::size_t calls = argc > 1 ? std::size_t(std::strtoull(argv[1], nullptr, 10)) : 1'000'000;
    Day small = make_day(calls, 20'000, 3, 3);
    rounds("3 nodes, 20,000 calls a second, all served after 50 ms", small, 0, Duration{50});
    rounds("3 nodes, 20,000 calls a second, a fifth refused", small, 0.2, Duration{50});
    rounds("3 nodes, 20,000 calls a second, no answer before the try is given up", small, 0,
           Duration{100'000});
    Day big = make_day(calls, 100'000, 200, 10);
    rounds("200 nodes, 100,000 calls a second, all served after 50 ms", big, 0, Duration{50});
}
