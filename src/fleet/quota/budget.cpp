#include "fleet/quota/budget.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>

namespace ochrehub::quota {

const fleet::ErrorRow& row(Error error) {
    static const fleet::ErrorRow kRows[] = {
        {"quota.no-name", "a partner has no name", false, "use the name that requests carry"},
        {"quota.name-too-long", "a partner's name is longer than 64 bytes", false, "shorten it"},
        {"quota.twice-named", "two budgets are for the same partner", false, "remove one of them"},
        {"quota.too-many", "there are more partners than a gateway holds", false,
         "configure fewer partners, or raise the limit"},
        {"quota.no-rate", "its rate is not greater than zero", false,
         "set a rate, or freeze the partner to reject all its requests"},
        {"quota.no-burst", "its burst is not greater than zero", false,
         "set a burst of at least one request of its most expensive class"},
        {"quota.too-large", "an amount is above the limit", false, "use at most 1000000 requests per second"},
        {"quota.cost-wrong", "a class costs less than a millionth of a request", false,
         "set a cost above zero, or remove the entry"},
        {"quota.cost-over-burst",
         "a request of a class costs more than the burst: none could ever be admitted", false,
         "raise the burst or lower the cost"},
        {"quota.kind-twice", "a class has two costs", false, "remove one of them"},
        {"quota.site-unknown", "it names a site that is not part of the federation", false,
         "use a name from the list of sites"},
        {"quota.site-twice", "a site is named twice", false, "remove one of them"},
        {"quota.floor-wrong", "a floor needs a rate and a burst, both greater than zero", false,
         "set both, or remove the floor"},
        {"quota.floors-over-rate", "the sum of its floors' rates is above its rate", false,
         "lower floors or raise the rate"},
        {"quota.floors-over-burst", "the sum of its floors' bursts is above its burst", false,
         "lower floors or raise the burst"},
        {"quota.burst-too-small",
         "it has no bound, and its burst is less than the amount in flight between levels: part of its rate "
         "can never be used",
         false, "raise the burst, set a bound, or shorten the request interval"},
        {"quota.floor-raised-at-once",
         "a floor is raised before the part that the federation lends has shrunk", false,
         "set the reduced budget first, wait until it is in force, then raise the floor"},
        {"quota.unknown", "the partner has no budget", false,
         "list the partners with `ochrehub fleet quota show`"},
        {"quota.not-owner", "the sender does not own the allocator", true, "nothing: the owner retries"},
        {"quota.stale", "a newer owner has taken over", true, "nothing: the previous owner stops by itself"},
        {"quota.malformed", "it cannot be parsed, or holds an impossible value", false,
         "check the sender and its release"},
        {"quota.dry", "the partner's budget is exhausted at this node", true, "nothing, or raise the budget"},
        {"quota.frozen", "an operator has frozen the partner", false,
         "unfreeze it with `ochrehub fleet quota freeze --off`"},
    };
    static_assert(std::size(kRows) == std::size_t(Error::Frozen) + 1);
    return kRows[std::size_t(error)];
}

Amount Budget::cost_of(std::string_view class_name) const {
    auto found =
        std::find_if(costs.begin(), costs.end(), [&](const Cost& c) { return c.class_name == class_name; });
    return found == costs.end() ? kUnit : found->cost;
}
Amount Budget::max_cost() const {
    Amount highest = costs.empty() ? kUnit : 0;
    for (const Cost& c : costs) highest = std::max(highest, c.cost);
    return std::max(highest, kUnit);
}

Amount accrued(Amount rate, std::int64_t microseconds, Amount& carry) {
    Amount seconds = microseconds / 1'000'000, fraction = rate * (microseconds % 1'000'000) / 1'000'000;
    carry += rate * (microseconds % 1'000'000) % 1'000'000;
    Amount carried = carry / 1'000'000;
    carry %= 1'000'000;
    return rate * seconds + fraction + carried;
}

Amount amount_in_flight(Amount rate, const Timing& timing) {
    // A node holds amounts and reports them late, its site does the same once more; on average half of either
    // is in flight.
    Amount carry = 0;
    return accrued(
        rate, std::int64_t(1000 * (timing.request_interval.count() * (2 + timing.refund_window_requests))),
        carry);
}

std::vector<Failure> validate(const std::vector<Budget>& budgets, const std::vector<std::string>& sites,
                              const Timing& timing, std::size_t max_partners) {
    std::vector<Failure> failures;
    std::set<std::string, std::less<>> partners, known_sites;
    for (const std::string& site : sites)
        if (!known_sites.insert(site).second) failures.push_back({Error::DuplicateSite, site});
    if (budgets.size() > max_partners)
        failures.push_back({Error::TooManyPartners, std::to_string(budgets.size())});
    for (const Budget& b : budgets) {
        auto report = [&](Error error, std::string_view detail = {}) {
            failures.push_back({error, detail.empty() ? b.partner : b.partner + ", " + std::string(detail)});
        };
        if (b.partner.empty()) report(Error::NoName);
        if (b.partner.size() > 64) report(Error::NameTooLong);
        if (!partners.insert(b.partner).second) report(Error::DuplicatePartner);
        if (b.rate <= 0) report(Error::NoRate);
        if (b.burst <= 0) report(Error::NoBurst);
        if (b.rate > kMaxAmount || b.burst > kMaxAmount || b.bound > kMaxAmount || b.bound < 0)
            report(Error::TooLarge);
        std::set<std::string_view> classes, floors, weights;
        for (const Cost& c : b.costs) {
            if (!classes.insert(c.class_name).second) report(Error::DuplicateCost, c.class_name);
            if (c.cost <= 0) report(Error::InvalidCost, c.class_name);
            if (c.cost > b.burst) report(Error::CostOverBurst, c.class_name);
        }
        if (b.costs.empty() && b.burst > 0 && kUnit > b.burst) report(Error::CostOverBurst);
        Amount rate = 0, burst = 0;
        for (const Floor& f : b.floors) {
            if (!sites.empty() && !known_sites.contains(f.site)) report(Error::UnknownSite, f.site);
            if (!floors.insert(f.site).second) report(Error::DuplicateSite, f.site);
            if (f.rate <= 0 || f.burst <= 0) report(Error::InvalidFloor, f.site);
            // Each term is clamped, so that a sum of many does not overflow.
            rate = std::min(rate, kMaxAmount) + std::clamp<Amount>(f.rate, 0, kMaxAmount);
            burst = std::min(burst, kMaxAmount) + std::clamp<Amount>(f.burst, 0, kMaxAmount);
        }
        for (const Weight& w : b.weights) {
            if (!sites.empty() && !known_sites.contains(w.site)) report(Error::UnknownSite, w.site);
            if (!weights.insert(w.site).second) report(Error::DuplicateSite, w.site);
            if (w.weight == 0 || w.weight > 1000) report(Error::TooLarge, w.site);
        }
        if (rate > b.rate) report(Error::FloorsOverRate);
        if (burst > b.burst) report(Error::FloorsOverBurst);
        if (b.bound == 0 && b.rate > 0 && b.rate <= kMaxAmount && b.burst < amount_in_flight(b.rate, timing))
            report(Error::BurstTooSmall);
    }
    return failures;
}

std::vector<Failure> validate_change(const std::vector<Budget>& current, const std::vector<Budget>& next) {
    std::vector<Failure> failures;
    for (const Budget& b : next) {
        auto previous = std::find_if(current.begin(), current.end(),
                                     [&](const Budget& o) { return o.partner == b.partner; });
        if (previous == current.end()) continue;
        // Each site, and the federation, may use either version for a while: the worst combination is
        // checked.
        std::map<std::string_view, std::pair<Amount, Amount>> floors;
        Amount lent_rate[2] = {previous->rate, b.rate},
               lent_burst[2] = {previous->burst + previous->bound, b.burst + b.bound};
        for (const Floor& f : previous->floors)
            floors[f.site] = {f.rate, f.burst}, lent_rate[0] -= f.rate, lent_burst[0] -= f.burst;
        for (const Floor& f : b.floors) {
            auto& max_floor = floors[f.site];
            max_floor = {std::max(max_floor.first, f.rate), std::max(max_floor.second, f.burst)};
            lent_rate[1] -= f.rate, lent_burst[1] -= f.burst;
        }
        Amount rate = std::max(lent_rate[0], lent_rate[1]),
               total_burst = std::max(lent_burst[0], lent_burst[1]);
        for (const auto& [site, max_floor] : floors) rate += max_floor.first, total_burst += max_floor.second;
        if (rate > std::max(previous->rate, b.rate) ||
            total_burst > std::max(previous->burst + previous->bound, b.burst + b.bound))
            failures.push_back({Error::FloorRaisedTooEarly, b.partner});
    }
    return failures;
}

}  // namespace ochrehub::quota
