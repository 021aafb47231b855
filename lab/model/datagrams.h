// What becomes of datagrams between nodes: lost, late, doubled, out of order. Decided from a seed alone.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <vector>

#include "lab/model/day.h"

namespace ochrehub::lab {

/// How the network treats datagrams now: its own figures, and a fault's on top while one holds.
struct DatagramTrouble {
    double lost = 0, doubled = 0, reordered = 0;
    Duration late{};  ///< on top of the way's own delay, for each of them
};

class Datagrams {
public:
    explicit Datagrams(std::uint64_t seed) : random_(seed) {}

    void trouble(const DatagramTrouble& now) { trouble_ = now; }
    /// After which time each copy of a datagram arrives whose way takes `base` (and up to `jitter` of that
    /// more, in the mean). None: it is lost. A reordered one is held back behind those sent up to three ways
    /// later.
    std::vector<Duration> fate(Duration base, double jitter) {
        std::vector<Duration> arrivals;
        if (draw() < trouble_.lost) return arrivals;
        int copies = draw() < trouble_.doubled ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            Duration takes = base + trouble_.late;
            takes += base * jitter * -std::log1p(-draw());
            if (draw() < trouble_.reordered) takes += std::max(base, Duration{1}) * (1 + 2 * draw());
            arrivals.push_back(takes);
        }
        return arrivals;
    }

private:
    double draw() { return double(random_() >> 11) * 0x1p-53; }

    std::mt19937_64 random_;
    DatagramTrouble trouble_;
};

}  // namespace ochrehub::lab
