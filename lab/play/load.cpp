#include "lab/play/load.h"

#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <map>
#include <memory>
#include <stdexcept>
#include <thread>
#include <vector>

#include "lab/play/client_shell.h"
#include "lab/play/latency_counts.h"
#include "lab/play/open_loop.h"

namespace ochrehub::lab {
namespace {

constexpr double kRateMost = 5e6;
constexpr int kLoopsMost = 64, kConnectionsMost = 10000;
constexpr Duration kTick{20}, kProgress{1000}, kAfterLast{100}, kOverMost{1000};

Duration longest_wait(const Day& day) {
    Duration longest{};
    for (const ClassFigures& c : day.classes) longest = std::max(longest, c.give_up);
    return longest;
}

LoadResult by_rate(const Day& day, const Endpoint& to, const LoadOptions& options, Duration length) {
    std::vector<std::unique_ptr<OpenLoop>> loops;
    for (int i = 0; i < options.loops; ++i) {
        OpenLoop::Share share;
        share.rate = options.rate / options.loops;
        share.length = length;
        share.patience = longest_wait(day);
        share.connections = options.connections;
        share.give_up = options.give_up;
        share.storm_rate = options.storm_rate / options.loops;
        share.storm = options.storm;
        share.seed = options.seed * 1000003 + std::uint64_t(i);
        loops.push_back(std::make_unique<OpenLoop>(day, to, share));
    }
    for (auto& loop : loops) loop->start();
    std::uint64_t before = 0;
    for (Duration passed{}; options.progress && passed + kProgress <= length; passed += kProgress) {
        std::this_thread::sleep_for(kProgress);
        std::uint64_t now = 0;
        for (auto& loop : loops) now += loop->answered();
        options.progress(fmt::format("{} answered in the last second", now - before));
        before = now;
    }
    LoadResult result;
    for (auto& loop : loops) loop->finish(result);
    result.asked_rate = options.rate;
    return result;
}

/// What the day's clients did and heard, from their own records.
LoadResult of_records(const std::vector<Record>& records) {
    LoadResult result;
    LatencyCounts latency, from_send;
    std::map<CallId, TimePoint> calls;
    std::map<TryId, std::pair<CallId, TimePoint>> tries;
    TimePoint last{};
    for (const Record& record : records) {
        std::visit([&](const auto& r) { last = std::max(last, r.at); }, record);
        if (auto* began = std::get_if<CallBegan>(&record)) {
            ++result.due;
            calls[began->call] = began->at;
        } else if (auto* sent = std::get_if<TrySent>(&record)) {
            ++result.sent;
            tries[sent->id] = {sent->call, sent->at};
        } else if (auto* answered = std::get_if<TryAnswered>(&record)) {
            auto it = tries.find(answered->id);
            if (it == tries.end()) continue;
            from_send.add((answered->at - it->second.second).count());
            tries.erase(it);
        } else if (auto* ended = std::get_if<CallEnded>(&record)) {
            auto it = calls.find(ended->call);
            if (it == calls.end()) continue;
            latency.add((ended->at - it->second).count());
            calls.erase(it);
            ++(ended->heard == Heard::Served    ? result.served
               : ended->heard == Heard::Refused ? result.refused
                                                : result.failed);
        } else if (std::get_if<TryLost>(&record)) {
            ++result.lost;
        } else if (std::get_if<TryLeft>(&record)) {
            ++result.left;
        } else if (std::get_if<ClientConnected>(&record)) {
            ++result.connections;
        }
    }
    for (const auto& [call, began] : calls) {
        ++result.unanswered;
        latency.add((last - began).count());
    }
    latency.add_to(result.latency);
    from_send.add_to(result.from_send);
    return result;
}

LoadResult by_clients(Day day, const Endpoint& to, const LoadOptions& options, Duration length) {
    day.nodes = {NodeFigures{}};
    day.faults.erase(std::remove_if(day.faults.begin(), day.faults.end(),
                                    [](const Fault& f) { return f.kind == FaultKind::Partition; }),
                     day.faults.end());
    std::erase_if(day.arrivals, [length](const Arrival& a) { return a.at >= length; });
    day.length = length;
    Loop loop{Clock()};
    TimePoint start = loop.now() + kTick;
    const NodeLives lives(1);  // whose end is nobody's doing here
    ClientShell clients(loop, day, start, options.seed, {to}, lives);
    TimePoint last = start + length + longest_wait(day) + kOverMost, busy = start, say = start + kProgress;
    std::function<void()> tick = [&] {
        TimePoint now = loop.now();
        if (!clients.done() || now < start + length) busy = now;
        if (now >= last || now - busy >= kAfterLast) return loop.stop();
        if (now >= say && options.progress) {
            say += kProgress;
            options.progress(
                fmt::format("{} connections, {} records", clients.connections(), loop.records().size()));
        }
        loop.scheduler().call_at(now + kTick, [&tick] { tick(); });
    };
    clients.begin();
    clients.handle(NodeUp{0});
    tick();
    timespec before{}, after{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &before);
    loop.run();
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &after);
    clients.close();
    loop.finish();
    LoadResult result = of_records(loop.records());
    result.cpu_s = double(after.tv_sec - before.tv_sec) + double(after.tv_nsec - before.tv_nsec) / 1e9;
    result.asked_rate = double(result.due) / (length.count() / 1000);
    return result;
}

}  // namespace

LoadResult load(const Day& day, const std::string& address, const LoadOptions& options) {
    Endpoint to = loopback(address);
    Duration length = options.length > Duration{0} ? options.length : day.length;
    if (!(options.rate >= 0) || options.rate > kRateMost)
        throw std::invalid_argument("rate: not from 0 to 5 million");
    if (!(options.storm_rate >= 0) || options.storm_rate > kRateMost || options.give_up.count() < 0)
        throw std::invalid_argument("storm rate or give-up time: out of range");
    if (options.loops < 1 || options.loops > kLoopsMost)
        throw std::invalid_argument("loops: not from 1 to 64");
    if (options.connections < 1 || options.connections > kConnectionsMost)
        throw std::invalid_argument("connections: not from 1 to 10000");
    raise_descriptor_limit();
    LoadResult result =
        options.rate > 0 ? by_rate(day, to, options, length) : by_clients(day, to, options, length);
    result.length_s = length.count() / 1000;
    result.rate = double(result.served + result.refused + result.failed) / result.length_s;
    return result;
}

std::string summary(const LoadResult& r) {
    std::string text = fmt::format(
        "{:.0f} requests a second asked for, {:.0f} answered, over {:.1f} s\n"
        "{} due, {} sent, {} served, {} refused, {} failed ({} lost), {} without an answer\n"
        "{} connections, {:.2f} s of CPU\n",
        r.asked_rate, r.rate, r.length_s, r.due, r.sent, r.served, r.refused, r.failed, r.lost, r.unanswered,
        r.connections, r.cpu_s);
    auto line = [&](const char* name, const Latencies& l) {
        text += fmt::format(
            "{}: p50 {:.3f} ms, p90 {:.3f}, p99 {:.3f}, p99.9 {:.3f}, p99.99 {:.3f}, most {:.3f}\n", name,
            l.quantile_ms(0.5), l.quantile_ms(0.9), l.quantile_ms(0.99), l.quantile_ms(0.999),
            l.quantile_ms(0.9999), l.max_ms);
    };
    line("from when due ", r.latency);
    line("from its sending", r.from_send);
    if (!r.slices.empty()) text += fmt::format("{} left by clients\n", r.left);
    for (std::size_t i = 0; i < r.slices.size(); ++i) {
        const LoadResult::Slice& slice = r.slices[i];
        text += fmt::format("slice {:.2f} s: {} due, {} served, p50 {:.1f} ms, p99 {:.1f}\n",
                            double(i) * LoadResult::kSlice.count() / 1000, slice.due, slice.served,
                            slice.latency.quantile_ms(0.5), slice.latency.quantile_ms(0.99));
    }
    return text;
}

}  // namespace ochrehub::lab
