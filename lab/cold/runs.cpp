// The ramp of cold servers at many seeds: ochrehub_lab_cold_runs [seeds for each row, 10] [part of a row's name].
#include <atomic>
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <thread>

#include "lab/cold/world.h"

int main(int count, char** words) {
    using namespace ochrehub::lab;
    const std::uint64_t seeds = count > 1 ? std::strtoull(words[1], nullptr, 10) : 10;
    const char* only = count > 2 ? words[2] : "";
    const char* sabotage = count > 3 ? words[3] : "";
    struct Row {
        ColdDay day;
        std::vector<ColdOutcome> outcomes;
    };
    std::vector<Row> rows;
    for (int processes : {1, 3, 20, 30, 300})
        for (const ColdDay& day : cold_days(processes))
            if (day.name.find(only) != std::string::npos) {
                rows.push_back({day, std::vector<ColdOutcome>(seeds)});
                rows.back().day.each_alone = std::string(sabotage) == "alone";
                rows.back().day.forgetful = std::string(sabotage) == "forgetful";
            }
    std::atomic<std::size_t> next{0};
    std::vector<std::jthread> threads;
    for (int t = 0; t < 6; ++t)
        threads.emplace_back([&] {
            for (std::size_t n; (n = next++) < rows.size() * seeds;) {
                Row& row = rows[n / seeds];
                row.outcomes[n % seeds] = run(row.day, n % seeds + 1);
            }
        });
    threads.clear();
    std::printf("%-22s %9s %7s %5s %8s %8s %6s %6s\n", "condition", "processes", "worst", "over", "sent", "N", "used",
                "served");
    std::size_t over = 0, all = 0;
    for (const Row& row : rows) {
        ColdOutcome worst;
        std::size_t bad = 0;
        double used = 0, served = 0;
        for (const ColdOutcome& o : row.outcomes) {
            if (o.worst > worst.worst) worst = o;
            bad += o.worst > 1;
            used += o.used / double(seeds), served += o.served / double(seeds);
        }
        over += bad, all += seeds;
        std::printf("%-22s %9d %7.2f %5zu %8.1f %8.1f %6.2f %6.2f\n", row.day.name.c_str(), row.day.processes,
                    worst.worst, bad, worst.sent, worst.budget, used, served);
    }
    std::printf("%zu of %zu runs sent too much\n", over, all);
    return over > 0;
}
