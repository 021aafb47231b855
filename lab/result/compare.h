// Two sets of results over the same seeds, figure by figure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/result/result.h"

namespace ochrehub::lab {

struct CompareRow {
    std::string figure;
    double a = 0, b = 0;       ///< means over the pairs
    double difference = 0;     ///< mean of b - a
    double low = 0, high = 0;  ///< its 95% interval; with fewer than kFewestPairs, the least and the greatest
    std::size_t pairs = 0;
    bool clear = false;  ///< the interval leaves out zero, and there were pairs enough to have one
};

/// Below this a bootstrap has too few different resamples for a 95% interval.
inline constexpr std::size_t kFewestPairs = 5;

struct CompareOptions {
    std::size_t resamples = 10000;
    std::uint64_t seed = 1;  ///< of the resampling: the same intervals every time
};

/// Pairs results of the same scenario and seed. Throws std::runtime_error where no pair is found, or a seed
/// is there twice on a side. A pair of which one side has no finite value (a fault never made up for) is left
/// out of that row.
std::vector<CompareRow> compare(const std::vector<Result>& a, const std::vector<Result>& b,
                                const CompareOptions& options = {});

/// The interval of a mean alone: what compare() uses for each row's differences. `clear` as in CompareRow.
struct Interval {
    double low = 0, high = 0;
    bool clear = false;
};
Interval interval_of_mean(const std::vector<double>& values, const CompareOptions& options = {});

/// The table as it is printed; clear rows end in '*'.
std::string compare_text(const std::vector<CompareRow>& rows, const std::string& name_a,
                         const std::string& name_b);

}  // namespace ochrehub::lab
