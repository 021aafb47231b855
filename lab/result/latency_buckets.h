// Which bucket of Latencies a time falls into, by comparisons with a table of edges: no logarithm at the hot
// path, and the same bucket on every machine, since the edges come from multiplications alone.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "lab/result/result.h"

namespace ochrehub::lab {

/// The last bucket, from 287 s on, takes whatever is longer.
inline constexpr std::size_t kBuckets = 320;

/// Lower bound of a bucket.
double bucket_begins_ms(std::size_t bucket);
/// Times that are no numbers count as the lowest, as negative ones do.
std::size_t bucket_of(double ms);

/// Counts while a day runs: as Latencies, at its full length from the start.
class BucketCounts {
public:
    void add(std::size_t bucket, double ms) {
        if (counts_.empty()) counts_.resize(kBuckets);
        ++counts_[bucket];
        sum_ms_ += ms;
        if (ms > max_ms_) max_ms_ = ms;
    }
    /// Without the empty end.
    Latencies latencies() const;

private:
    std::vector<std::uint32_t> counts_;
    double sum_ms_ = 0, max_ms_ = 0;
};

/// Adds what `more` counted: of several seeds, or of all classes.
void merge(Latencies& into, const Latencies& more);

}  // namespace ochrehub::lab
