#include "lab/result/latency_buckets.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace ochrehub::lab {
namespace {

// Doubles are cut by their exponent and the first bits of their fraction: each cut is narrower than a bucket,
// so that from the bucket of a cut's lower bound it is at most one step to the right one.
constexpr int kFractionBits = 5;
constexpr int kShift = 52 - kFractionBits;

struct Tables {
    std::array<double, kBuckets + 1> edges{};
    std::uint64_t first_cut = 0;
    std::vector<std::uint16_t> bucket_at_cut;

    Tables() {
        edges[0] = Latencies::kLowestMs;
        for (std::size_t i = 1; i <= kBuckets; ++i) edges[i] = edges[i - 1] * Latencies::kGrowth;
        first_cut = std::bit_cast<std::uint64_t>(edges[0]) >> kShift;
        const std::uint64_t last_cut = std::bit_cast<std::uint64_t>(edges[kBuckets]) >> kShift;
        std::size_t bucket = 0;
        for (std::uint64_t cut = first_cut; cut <= last_cut; ++cut) {
            const double lower = std::bit_cast<double>(cut << kShift);
            while (bucket + 1 < kBuckets && edges[bucket + 1] <= lower) ++bucket;
            bucket_at_cut.push_back(static_cast<std::uint16_t>(bucket));
        }
    }
};

const Tables& tables() {
    static const Tables all;
    return all;
}

}  // namespace

double bucket_begins_ms(std::size_t bucket) {
    return tables().edges[std::min(bucket, kBuckets)];
}

std::size_t bucket_of(double ms) {
    const Tables& table = tables();
    if (!(ms >= table.edges[0])) return 0;
    if (ms >= table.edges[kBuckets - 1]) return kBuckets - 1;
    std::size_t bucket = table.bucket_at_cut[(std::bit_cast<std::uint64_t>(ms) >> kShift) - table.first_cut];
    while (ms >= table.edges[bucket + 1]) ++bucket;
    return bucket;
}

Latencies BucketCounts::latencies() const {
    Latencies all;
    std::size_t used = counts_.size();
    while (used > 0 && counts_[used - 1] == 0) --used;
    all.counts.assign(counts_.begin(), counts_.begin() + static_cast<std::ptrdiff_t>(used));
    for (const auto count : all.counts) all.total += count;
    all.sum_ms = sum_ms_;
    all.max_ms = max_ms_;
    return all;
}

void merge(Latencies& into, const Latencies& more) {
    if (into.counts.size() < more.counts.size()) into.counts.resize(more.counts.size());
    for (std::size_t i = 0; i < more.counts.size(); ++i) into.counts[i] += more.counts[i];
    into.total += more.total;
    into.sum_ms += more.sum_ms;
    into.max_ms = std::max(into.max_ms, more.max_ms);
}

double Latencies::quantile_ms(double q) const {
    if (total == 0) return 0;
    // The q-th of n is the ceil(q n)-th. Products such as 0.99 * 100 come out a hair above their integer.
    const double rank = std::ceil(std::clamp(q, 0.0, 1.0) * static_cast<double>(total) - 1e-9);
    const auto wanted = static_cast<std::uint64_t>(std::max(rank, 1.0));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        seen += counts[i];
        if (seen >= wanted) return bucket_begins_ms(i + 1);
    }
    return bucket_begins_ms(counts.size());
}

}  // namespace ochrehub::lab
