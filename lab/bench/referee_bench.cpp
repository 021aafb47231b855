// What the referee costs: nanoseconds a record, at a small and a large fleet.
#include <fmt/format.h>

#include <chrono>
#include <random>

#include "lab/referee/referee.h"

using namespace ochrehub;
using namespace ochrehub::lab;

namespace {

TimePoint at(double ms) {
    return TimePoint(Duration(ms));
}

void run(int nodes, int servers, double rate, double seconds) {
    Day day;
    day.network.zones = {"a"};
    day.network.ms = {{0.3}};
    day.classes.resize(3);
    day.classes[1].effect = Idempotency::NonIdempotent;
    day.classes[2].effect = Idempotency::IdempotentWithKey;
    day.classes[2].scope = DeduplicationScope::Cell;
    day.nodes.resize(std::size_t(nodes));
    day.servers.resize(std::size_t(servers));
    Referee referee(day, at(0), Duration{0});
    for (NodeNo n = 0; n < nodes; ++n)
        for (ServerNo s = 0; s < servers; ++s)
            referee.note(Told{at(0), n, s, ToldPhase::InService, {}, s == 0});

    // Requests overlap: what is due next is taken from a ring of those under way.
    std::mt19937_64 random(1);
    const auto tries = std::size_t(rate * seconds);
    std::vector<Record> records;
    records.reserve(tries * 8);
    const std::size_t under_way = std::max<std::size_t>(8, std::size_t(rate * 0.08));
    for (std::size_t i = 0; i < tries + under_way; ++i) {
        const double now = double(i) * 1000 / rate;
        const auto node = NodeNo(i % std::size_t(nodes));
        if (i < tries) {
            const TryId id = 0x9e3779b97f4a7c15 * (i + 1);
            const auto server = ServerNo(random() % std::size_t(servers));
            records.push_back(CallBegan{at(now), i});
            records.push_back(TrySent{at(now), id, i, node, int(i % 3), kNobody, {}, at(now + 600)});
            records.push_back(WorkArrived{at(now), server, node, Duration{15}});
            records.push_back(AttemptArrived{at(now), at(now), i + 1, id, server, node});
        }
        if (i >= under_way) {
            const std::size_t j = i - under_way;
            records.push_back(lab::AttemptEnded{at(now), j + 1});
            records.push_back(
                TryAnswered{at(now), 0x9e3779b97f4a7c15 * (j + 1), Heard::Served, 200, j + 1, {}});
            records.push_back(CallEnded{at(now), j, Heard::Served});
        }
    }
    const auto began = std::chrono::steady_clock::now();
    for (const Record& record : records) referee.note(record);
    const std::chrono::duration<double, std::nano> took = std::chrono::steady_clock::now() - began;
    fmt::print(
        "{} nodes, {} servers, {:.0f} requests/s: {:.1f} ns a record, {:.0f} ns a request, {} held, {} "
        "breaches\n",
        nodes, servers, rate, took.count() / double(records.size()), took.count() / double(tries),
        referee.held(), referee.total());
}

}  // namespace

int main() {
    run(3, 13, 320, 200);
    run(3, 13, 20'000, 20);
    run(200, 5'000, 100'000, 10);
}
