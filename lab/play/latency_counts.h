// Latencies as they come, at a cost that does not show: a table of counts, made ahead.
#pragma once

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>

#include "lab/result/result.h"

namespace ochrehub::lab {

class LatencyCounts {
public:
    void add(double ms) {
        double place = ms > Latencies::kLowestMs ? std::log(ms / Latencies::kLowestMs) * kPerLog : 0;
        ++counts_[std::min(std::size_t(place), kBuckets - 1)];
        ++total_;
        sum_ms_ += ms;
        max_ms_ = std::max(max_ms_, ms);
    }
    /// Adds what it has counted.
    void add_to(Latencies& all) const {
        std::size_t used = kBuckets;
        while (used > 0 && counts_[used - 1] == 0) --used;
        if (all.counts.size() < used) all.counts.resize(used);
        for (std::size_t i = 0; i < used; ++i) all.counts[i] += counts_[i];
        all.total += total_;
        all.sum_ms += sum_ms_;
        all.max_ms = std::max(all.max_ms, max_ms_);
    }

private:
    static constexpr std::size_t kBuckets = 400;  // to four hours
    const double kPerLog = 1 / std::log(Latencies::kGrowth);

    std::array<std::uint64_t, kBuckets> counts_{};
    std::uint64_t total_ = 0;
    double sum_ms_ = 0, max_ms_ = 0;
};

}  // namespace ochrehub::lab
