// The ramp of cold servers at many seeds, on two threads:
// ochrehub_lab_cold_runs [seeds for each row, 10] [part of rows' names] [saboteur] [seconds at most, 150]
// [processes]. Saboteurs: alone, no_budget, retries, whole, forgetful.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <thread>

#include "lab/cold/world.h"

int main(int count, char** words) {
    using namespace ochrehub::lab;
    const std::uint64_t seeds = count > 1 ? std::strtoull(words[1], nullptr, 10) : 10;
    const std::string only = count > 2 ? words[2] : "", saboteur = count > 3 ? words[3] : "";
    const double most = count > 4 ? std::atof(words[4]) : 150;
    const int fleet = count > 5 ? std::atoi(words[5]) : 0;
    struct Row {
        ColdDay day;
        std::vector<ColdOutcome> outcomes;
    };
    std::vector<Row> rows;
    for (int processes : {1, 3, 20, 30, 300}) {
        if (fleet > 0 && processes != fleet) continue;
        for (const ColdDay& day : cold_days(processes)) {
            if (day.name.find(only) == std::string::npos) continue;
            rows.push_back({day, std::vector<ColdOutcome>(seeds)});
            rows.back().day.each_alone = saboteur == "alone";
            if (saboteur == "no_budget") rows.back().day.twin = Twin::NoBudget;
            if (saboteur == "retries") rows.back().day.twin = Twin::RetriesNotCounted;
            if (saboteur == "whole") rows.back().day.twin = Twin::FirstSpanWhole;
            if (saboteur == "forgetful") rows.back().day.twin = Twin::ForgetsSends;
        }
    }
    const auto began = std::chrono::steady_clock::now();
    std::atomic<std::size_t> next{0};
    {
        std::vector<std::jthread> threads;
        for (int t = 0; t < 2; ++t)
            threads.emplace_back([&] {
                for (std::size_t n; (n = next++) < rows.size() * seeds;) {
                    if (std::chrono::steady_clock::now() - began > std::chrono::duration<double>(most))
                        return;
                    Row& row = rows[n % rows.size()];
                    row.outcomes[n / rows.size()] = run(row.day, n / rows.size() + 1);
                }
            });
    }
    std::printf("%-24s %9s %5s %7s %5s %8s %8s %6s %6s %6s\n", "condition", "processes", "seeds", "worst",
                "over", "sent", "N", "part", "used", "served");
    std::size_t over = 0, all = 0;
    for (const Row& row : rows) {
        ColdOutcome worst;
        std::size_t bad = 0, played = 0;
        double part = 0, used = 0, served = 0;
        for (const ColdOutcome& o : row.outcomes) {
            if (o.events == 0) continue;
            if (o.worst > worst.worst) worst = o;
            ++played, bad += o.worst > 1;
            part += o.part, used += o.used, served += o.served;
        }
        over += bad, all += played;
        std::printf("%-24s %9d %5zu %7.2f %5zu %8.1f %8.1f %6.2f %6.2f %6.2f\n", row.day.name.c_str(),
                    row.day.processes, played, worst.worst, bad, worst.sent, worst.budget,
                    part / double(played), used / double(played), served / double(played));
    }
    std::printf("%zu of %zu runs sent too much\n", over, all);
    return over > 0;
}
