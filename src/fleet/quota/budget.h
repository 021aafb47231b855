// Partners' budgets as operators configure them, and the checks that a budget can be enforced. All amounts
// are integers in millionths of a request, so that sums are exact at every gateway. A request of a class
// without a configured cost costs 1'000'000.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/error/error.h"
#include "ochrehub/balancer.h"

namespace ochrehub::quota {

using Amount = std::int64_t;  ///< millionths of a request
/// One request of the default cost.
inline constexpr Amount kUnit = 1'000'000;
/// Limit of a rate (per second), a burst or a bound. Sums over all sites still fit an Amount.
inline constexpr Amount kMaxAmount = 1'000'000 * kUnit;

/// The part of a budget that a site mints by itself, even while it is partitioned. The federation lends the
/// rest of the budget.
struct Floor {
    std::string site;
    Amount rate = 0;   ///< per second
    Amount burst = 0;  ///< limit of what is unspent at any time
    friend bool operator==(const Floor&, const Floor&) = default;
};
struct Cost {
    std::string class_name;
    Amount cost = kUnit;  ///< of one request of the class
    friend bool operator==(const Cost&, const Cost&) = default;
};
struct Weight {
    std::string site;
    std::uint32_t weight = 1;
    friend bool operator==(const Weight&, const Weight&) = default;
};

/// In any window, all gateways together admit at most rate * window + burst + bound.
struct Budget {
    std::string partner;
    Amount rate = 0;  ///< per second
    Amount burst = 0;
    /// How far the burst may be exceeded so that leases are never too small. Zero: a hard budget.
    Amount bound = 0;
    std::vector<Cost> costs;
    std::vector<Floor> floors;
    std::vector<Weight> weights;  ///< a site without an entry has weight 1
    /// The cost of a request of this class; kUnit where none is configured.
    Amount cost_of(std::string_view class_name) const;
    /// The highest cost of a request, at least kUnit.
    Amount max_cost() const;
    friend bool operator==(const Budget&, const Budget&) = default;
};

/// How leases are timed. The same at every level.
struct Timing {
    /// Between two requests of a borrower; it sends one earlier when a budget is about to be exhausted.
    Duration request_interval{100};
    /// Of a lease, by the lender's clock, counted from the lender's response.
    Duration lease_duration{3000};
    /// A borrower stops spending this long before the lease expires, in addition to the share of the lease
    /// that clock drift may take.
    Duration safety_margin{20};
    /// The largest difference between the rates of two clocks, in thousandths. Each clock is off true time
    /// by half of it at most.
    int max_clock_drift_permille = 20;
    /// A charge is reported as spent only after this many further requests. Until then it can be refunded.
    int refund_window_requests = 1;
    /// A node borrows for this much time of its demand, including what is spent and not yet reported; a site
    /// for twice this time.
    Duration holding_time{300};
    /// This long after a partner's last request, its node still holds the cost of one request for it.
    Duration idle_timeout{10000};
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
    /// The budget is hard, and its burst is smaller than what is in flight between the levels: part of the
    /// rate could never be used.
    BurstTooSmall,
    /// The change gives a floor what the federation may still have lent.
    FloorRaisedTooEarly,
    UnknownPartner,
    NotOwner,
    Stale,
    Malformed,
    Exhausted,
    Frozen,
};
const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

/// Returns every fault, in the order of the budgets. Empty: the budgets can be enforced.
/// `sites`: the federation's; empty: any name is valid.
std::vector<Failure> validate(const std::vector<Budget>& budgets, const std::vector<std::string>& sites,
                              const Timing& timing, std::size_t max_partners = 10'000);
/// Returns the partners whose budget must not go from `current` to `next` in a single version: at no time may
/// the federation's part and the floors together exceed the larger of the two budgets.
std::vector<Failure> validate_change(const std::vector<Budget>& current, const std::vector<Budget>& next);
/// The unspent or unreported amount that is in flight between the levels at this rate.
Amount amount_in_flight(Amount rate, const Timing& timing);

/// `rate` over this many microseconds, rounded down. `carry` keeps the fraction for the next call.
Amount accrued(Amount rate, std::int64_t microseconds, Amount& carry);

}  // namespace ochrehub::quota
