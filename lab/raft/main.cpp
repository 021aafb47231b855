// Long runs on agreement, beside the short ones in CI:
//   ochrehub_raft_lab seeds FROM COUNT [JOBS]
//   ochrehub_raft_lab bench [PROPOSALS] [OCTETS] [AT ONCE]
//   ochrehub_raft_lab saboteurs [SEEDS]
//   ochrehub_raft_lab crashes [JOBS]
//   ochrehub_raft_lab explore [DEPTH] [CRASHES] [WAKES] [DOUBLED]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "lab/raft/crashes.h"
#include "lab/raft/explore.h"
#include "lab/raft/saboteurs.h"
#include "lab/raft/world.h"
#include "lab/record/parallel.h"

using namespace ochrehub::lab;

namespace {

int seeds(std::uint64_t from, std::uint64_t count, int jobs) {
    std::mutex guard;
    std::map<std::string, std::uint64_t> counts;
    std::uint64_t wrong = 0, agreed = 0, terms = 0, calls = 0, events = 0;
    in_parallel(std::size_t(count), jobs, [&](std::size_t i) {
        ChaosSettings set;
        set.seed = from + i;
        ChaosResult r = chaos(set);
        std::lock_guard lock(guard);
        for (const auto& [name, n] : r.counts) counts[name] += n;
        agreed += r.agreed, terms += r.terms, calls += r.calls, events += r.events;
        if (r.broken.empty()) return;
        ++wrong;
        for (const std::string& what : r.broken)
            std::printf("seed %llu: %s\n", (unsigned long long)(from + i), what.c_str());
    });
    std::printf(
        "%llu seeds, %llu wrong; %llu events, %llu entries agreed on, %llu terms with a leader, %llu calls "
        "judged\n",
        (unsigned long long)count, (unsigned long long)wrong, (unsigned long long)events,
        (unsigned long long)agreed, (unsigned long long)terms, (unsigned long long)calls);
    for (const auto& [name, n] : counts) std::printf("  %s: %llu\n", name.c_str(), (unsigned long long)n);
    return wrong == 0 ? 0 : 1;
}

/// Three cores that hand each other encoded messages and whose writes are done at once.
int bench(std::uint64_t proposals, std::size_t octets, std::size_t at_once) {
    using namespace ochrehub;
    std::vector<raft::Raft> cores;
    std::deque<std::tuple<raft::NodeId, raft::NodeId, std::string>> links;
    std::uint64_t agreed = 0, bytes = 0, messages = 0;
    double now = 0;
    std::function<void(raft::NodeId, const raft::Event&)> tell = [&](raft::NodeId id,
                                                                     const raft::Event& event) {
        raft::Actions out;
        cores[id - 1].handle(TimePoint{Duration{now}}, event, out);
        std::uint64_t written = 0;
        for (raft::Action& action : out) {
            if (auto* send = std::get_if<raft::SendMessage>(&action)) {
                links.emplace_back(id, send->to, raft::encode(send->message));
                bytes += std::get<2>(links.back()).size(), ++messages;
            }
            if (auto* write = std::get_if<raft::Write>(&action)) written = write->number;
            if (auto* applied = std::get_if<raft::ApplyEntry>(&action)) agreed += applied->id != 0;
        }
        if (written != 0) tell(id, raft::WriteCompleted{written});
    };
    auto settle = [&] {
        while (!links.empty()) {
            auto [from, to, text] = std::move(links.front());
            links.pop_front();
            tell(to, raft::MessageReceived{from, *raft::decode(text)});
        }
    };
    raft::PersistentState disk;
    for (raft::NodeId id = 1; id <= 3; ++id) disk.initial_members.push_back({id, true, {}});
    for (raft::NodeId id = 1; id <= 3; ++id) {
        raft::Settings set;
        set.self = id;
        cores.emplace_back(set, disk, id);
    }
    for (raft::NodeId id = 1; id <= 3; ++id) tell(id, raft::TimerFired{});
    now = 2500;
    tell(1, raft::TimerFired{});
    settle();
    auto began = std::chrono::steady_clock::now();
    std::string data(octets, 'x');
    for (std::uint64_t i = 0; i < proposals; i += at_once) {
        for (std::uint64_t k = 0; k < at_once; ++k) tell(1, raft::Propose{i + k + 1, data});
        settle();
        now += 0.01;
        if (i % 100'000 < at_once) {
            now += 100;
            for (raft::NodeId id = 1; id <= 3; ++id)
                tell(id, raft::SnapshotTaken{cores[id - 1].commit_index(), "state"});
            tell(1, raft::TimerFired{}), settle();
        }
    }
    double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    std::printf(
        "%llu proposals of %zu octets, %zu at once: %.0f a second, %.2f messages and %.0f octets each\n",
        (unsigned long long)agreed, octets, at_once, double(agreed) / seconds,
        double(messages) / double(agreed), double(bytes) / double(agreed));
    return agreed == 0;
}

int saboteurs(std::uint64_t most) {
    int missed = 0;
    for (const Saboteur& saboteur : raft_saboteurs()) {
        Caught caught = catch_saboteur(saboteur, most);
        missed += caught.what.empty();
        std::string where = caught.seed == 0 ? "in its scene" : "seed " + std::to_string(caught.seed);
        std::printf("%s: %s: %s\n", saboteur.name.c_str(), where.c_str(),
                    caught.what.empty() ? "NOT FOUND" : caught.what.c_str());
    }
    return missed == 0 ? 0 : 1;
}

int explore(int depth, int crashes, int wakes, int doubled) {
    using From = RaftExploration::From;
    bool wrong = false;
    for (From from : {From::Start, From::Candidates, From::Leader, From::OldLeader, From::Removal}) {
        RaftExploration e;
        e.from = from;
        e.depth = depth;
        e.crashes = crashes;
        e.wakes = wakes;
        e.doubled = doubled;
        e.reads = from == From::OldLeader ? 1 : 0;
        auto began = std::chrono::steady_clock::now();
        RaftExplored r = explore_raft(e);
        double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        std::printf("%s, depth %d: %llu states by %llu steps, %zu broken, %.1f s\n", name(from).c_str(),
                    depth, (unsigned long long)r.states, (unsigned long long)r.steps, r.broken.size(),
                    seconds);
        for (const std::string& what : r.broken) std::printf("  %s\n", what.c_str());
        std::fflush(stdout);
        wrong = wrong || !r.broken.empty();
    }
    return wrong ? 1 : 0;
}

int crashes(int jobs) {
    std::mutex guard;
    std::uint64_t runs = 0, wrong = 0;
    bool more = true;
    for (std::uint64_t from = 1; more; from += 300) {
        more = false;
        in_parallel(900, jobs, [&](std::size_t i) {
            CrashDay day = crash_day(from + i / 3, Keeps(i % 3));
            std::lock_guard lock(guard);
            if (!day.reached) return;
            more = more || i / 3 == 299;
            ++runs;
            if (day.broken.empty()) return;
            ++wrong;
            std::printf("event %llu, %zu: %s\n", (unsigned long long)(from + i / 3), i % 3,
                        day.broken[0].c_str());
        });
    }
    std::printf("%llu crashes, %llu wrong\n", (unsigned long long)runs, (unsigned long long)wrong);
    return wrong == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    std::string what = argc > 1 ? argv[1] : "";
    auto number = [&](int i, std::uint64_t otherwise) {
        return argc > i ? std::strtoull(argv[i], nullptr, 10) : otherwise;
    };
    if (what == "seeds") return seeds(number(2, 1), number(3, 100), int(number(4, 2)));
    if (what == "saboteurs") return saboteurs(number(2, 200));
    if (what == "explore")
        return explore(int(number(2, 6)), int(number(3, 1)), int(number(4, 2)), int(number(5, 1)));
    if (what == "crashes") return crashes(int(number(2, 2)));
    if (what == "bench")
        return bench(number(2, 300'000), std::size_t(number(3, 100)), std::size_t(number(4, 1)));
    std::fprintf(stderr,
                 "usage: ochrehub_raft_lab seeds FROM COUNT [JOBS] | bench [PROPOSALS] [OCTETS] [AT ONCE] | "
                 "saboteurs [SEEDS] | crashes [JOBS] | explore [DEPTH] [CRASHES] [WAKES] [DOUBLED]\n");
    return 2;
}
