// Compares what was admitted with what a partner's budget allows, by the gateways' records in the
// simulation's time alone.
#pragma once

#include <algorithm>
#include <vector>

#include "fleet/quota/budget.h"

namespace ochrehub::lab {

struct AdmittedRequest {
    TimePoint at;  ///< in the simulation's time
    std::size_t partner = 0, site = 0, node = 0;
    quota::Amount cost = 0;
    bool refunded = false;  ///< the request never ran, and does not count
};

struct ExcessWindow {
    double amount = 0;  ///< millionths above rate * window + burst in the worst window; zero or less: none
    TimePoint from, to;
};

/// The worst of all windows, exactly: the worst window that ends with a request is either the worst one that
/// ends with the request before it, less what the budget allows in the time between, or one that begins with
/// the request. `records`: ordered by time.
inline ExcessWindow worst_window(const std::vector<AdmittedRequest>& records, std::size_t partner,
                                 quota::Amount rate, quota::Amount burst, TimePoint from = TimePoint{},
                                 TimePoint to = TimePoint::max()) {
    ExcessWindow worst;
    worst.amount = -double(burst);
    long double excess = 0;
    TimePoint window_start{}, previous{};
    for (const AdmittedRequest& r : records) {
        if (r.partner != partner || r.refunded || r.at < from || r.at > to) continue;
        excess -= (long double)rate * (long double)(r.at - previous).count() / 1000;
        if (excess <= 0) excess = 0, window_start = r.at;
        excess += (long double)r.cost;
        previous = r.at;
        if (double(excess) - double(burst) > worst.amount)
            worst = {double(excess) - double(burst), window_start, r.at};
    }
    return worst;
}

inline quota::Amount admitted(const std::vector<AdmittedRequest>& records, std::size_t partner,
                              TimePoint from, TimePoint to, int site = -1) {
    quota::Amount sum = 0;
    for (const AdmittedRequest& r : records)
        if (r.partner == partner && !r.refunded && r.at >= from && r.at < to &&
            (site < 0 || r.site == std::size_t(site)))
            sum += r.cost;
    return sum;
}

}  // namespace ochrehub::lab
