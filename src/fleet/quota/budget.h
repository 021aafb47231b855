// What operators say of a partner's budget, and whether that can be held to. All amounts are whole
// millionths, so that sums are exact at every gateway: a request of a class that nothing is said of costs
// 1'000'000.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/error/error.h"
#include "ochrehub/balancer.h"

namespace ochrehub::quota {

using Amount = std::int64_t;  ///< millionths
inline constexpr Amount kUnit = 1'000'000;
inline constexpr Amount kMaxAmount =
    1'000'000 * kUnit;  ///< of a rate (a second), a burst, a bound: sums of all sites still fit

/// What a site mints by itself, whoever it reaches; the rest of the budget is the federation's to lend.
struct Floor {
    std::string site;
    Amount rate = 0;   ///< a second
    Amount burst = 0;  ///< of it, unspent at any time
    friend bool operator==(const Floor&, const Floor&) = default;
};
struct Cost {
    std::string class_name;  ///< the class's name
    Amount cost = kUnit;
    friend bool operator==(const Cost&, const Cost&) = default;
};
struct Weight {
    std::string site;
    std::uint32_t weight = 1;
    friend bool operator==(const Weight&, const Weight&) = default;
};

/// In any window, all gateways together let in at most rate * window + burst + bound.
struct Budget {
    std::string partner;
    Amount rate = 0;  ///< a second
    Amount burst = 0;
    Amount bound = 0;  ///< how far the burst may be passed so that leases are never short; zero: hard
    std::vector<Cost> costs;
    std::vector<Floor> floors;
    std::vector<Weight> weights;  ///< 1 where nothing is said
    Amount cost_of(std::string_view class_name) const;
    Amount max_cost() const;
    friend bool operator==(const Budget&, const Budget&) = default;
};

/// How leases run. The same at every level; whoever borrows holds on to what it needs for `cover` times its
/// own level.
struct Timing {
    Duration request_interval{100};     ///< one asks this often, and earlier where it runs dry
    Duration lease_duration{3000};      ///< of what is lent, by the lender's clock, from its answer on
    Duration safety_margin{20};         ///< a borrower stops so long before, and `drift` of the lease
    int max_clock_drift_permille = 20;  ///< thousandths: how far two clocks are apart at most, with each at
                                        ///< most half of it from true time
    int refund_window_requests =
        1;  ///< asks that a charge waits before it is told as spent: so long it can be given back
    Duration holding_time{300};  ///< what a node holds for, spent and untold included; a site twice as much
    Duration idle_timeout{
        10000};  ///< so long behind its last request a partner finds one request's worth at a node
};

enum class Error {
    NoName,
    NameTooLong,
    DuplicatePartner,
    TooManyPartners,
    NoRate,
    NoBurst,
    TooLarge,
    InvalidCost,
    CostOverBurst,
    DuplicateCost,
    UnknownSite,
    DuplicateSite,
    InvalidFloor,
    FloorsOverRate,
    FloorsOverBurst,
    BurstTooSmall,  ///< hard, and less than what is under way between levels: part of the rate could never be
                    ///< used
    FloorRaisedTooEarly,  ///< a change that gives a floor what the federation may still have lent
    UnknownPartner,       ///< no such partner
    NotOwner,
    Stale,
    Malformed,
    Exhausted,
    Frozen,
};
const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

/// Everything that is wrong, in the order of the budgets. Empty: they can be held to. `sites`: the
/// federation's; none: any name is one.
std::vector<Failure> validate(const std::vector<Budget>& budgets, const std::vector<std::string>& sites,
                              const Timing& timing, std::size_t max_partners = 10'000);
/// What is wrong with going from one to the other in a single version: at no time may the federation's part
/// and the floors be more than the larger budget.
std::vector<Failure> validate_change(const std::vector<Budget>& current, const std::vector<Budget>& next);
/// Unspent or untold amounts that a rate needs under way with these times.
Amount amount_in_flight(Amount rate, const Timing& timing);

/// `rate` over so many microseconds, rounded down; `carry` keeps what was rounded off, for the next.
Amount accrued(Amount rate, std::int64_t microseconds, Amount& carry);

}  // namespace ochrehub::quota
