#include "fleet/quota/quota_limiter.h"

#include <cmath>
#include <cstddef>

namespace ochrehub::quota {
namespace {

std::int64_t to_microseconds(Duration length) {
    return std::int64_t(std::floor(length.count() * 1000));
}
Amount accrued_over(Amount rate, Duration length) {
    Amount carry = 0;
    return accrued(rate, to_microseconds(length), carry);
}
/// The measured demand follows a rise of the offered load within this time.
constexpr Duration kDemandRiseTime{150};
/// The measured demand follows a fall of the offered load within this time.
constexpr Duration kDemandFallTime{600};
/// The lowest demand that is not zero.
constexpr Amount kMinDemand = kUnit / 1000;

}  // namespace

QuotaLimiter::QuotaLimiter(const QuotaLimiterSettings& settings)
    : settings_(settings), stripes_(new LockStripe[kLockStripes]) {
    settings_.timing.refund_window_requests =
        std::clamp(settings_.timing.refund_window_requests, 0, int(kReportRounds) - 1);
}

void QuotaLimiter::configure(const std::vector<Budget>& budgets) {
    for (PartnerEntry& entry : entries_) entry.removed = true;
    for (const Budget& b : budgets) {
        auto [at, is_new] = partner_indexes_.try_emplace(b.partner, std::uint32_t(entries_.size()));
        if (is_new) entries_.emplace_back();
        PartnerEntry& entry = entries_[at->second];
        entry.partner = b.partner, entry.removed = false, entry.max_cost = b.max_cost();
        entry.has_floors = !b.floors.empty();
        entry.costs.clear();
        for (const std::string& class_name : settings_.class_names)
            entry.costs.push_back(b.cost_of(class_name));
    }
    std::size_t size = 16;
    while (size < entries_.size() * 2) size *= 2;
    index_slots_.assign(size, {});
    for (std::uint32_t i = 0; i < entries_.size(); ++i) {
        std::size_t hash = Hash()(entries_[i].partner), at = hash;
        while (index_slots_[at & (size - 1)].partner_plus_one != 0) ++at;
        index_slots_[at & (size - 1)] = {hash, i + 1};
    }
}

/// The entry of a partner without recent requests is in no CPU cache: fetches all its cache lines at once
/// instead of one after the other.
void QuotaLimiter::prefetch(const PartnerEntry& entry) {
    for (std::size_t line = 0; line < sizeof(PartnerEntry); line += 64)
        __builtin_prefetch(reinterpret_cast<const char*>(&entry) + line);
}

std::optional<std::uint32_t> QuotaLimiter::find(std::string_view partner) const {
    if (index_slots_.empty()) return std::nullopt;
    std::size_t hash = Hash()(partner), mask = index_slots_.size() - 1;
    for (std::size_t at = hash; index_slots_[at & mask].partner_plus_one != 0; ++at) {
        const IndexSlot& slot = index_slots_[at & mask];
        if (slot.hash != hash) continue;
        const PartnerEntry& entry = entries_[slot.partner_plus_one - 1];
        prefetch(entry);
        if (entry.partner == partner)
            return entry.removed ? std::nullopt : std::optional(slot.partner_plus_one - 1);
    }
    return std::nullopt;
}

bool QuotaLimiter::try_spend(TimePoint now, LimiterAccount& account, Amount cost, Charge& charge) {
    if (!account.borrowed.take(now, cost)) return false;
    account.borrowed.add_spent(cost);
    account.unreported[account.report_round % kReportRounds] += cost;
    charge.lease_ = account.borrowed.lease(), charge.report_round_ = account.report_round,
    charge.cost_ = cost;
    return true;
}

QuotaLimiter::Outcome QuotaLimiter::charge(TimePoint now, std::uint32_t partner, int class_index) {
    PartnerEntry& entry = entries_[partner];
    prefetch(entry);
    auto lock = lock_partner(partner);
    Amount cost = class_index >= 0 && std::size_t(class_index) < entry.costs.size()
                      ? entry.costs[std::size_t(class_index)]
                      : kUnit;
    entry.offered_cost += cost;
    entry.last_request_at = now;
    bool frozen = entry.shared.borrowed.frozen();
    Charge charge;
    charge.partner_ = partner;
    charge.floor_ = entry.has_floors && !frozen && try_spend(now, entry.floor, cost, charge);
    bool allowed = charge.floor_ || (!frozen && try_spend(now, entry.shared, cost, charge));
    // At the current demand, what is left does not last until a request sent now would be completed.
    Amount left =
        entry.shared.borrowed.balance(now) + (entry.has_floors ? entry.floor.borrowed.balance(now) : 0);
    bool runs_out = !entry.exhausted && !frozen &&
                    (!allowed || left < accrued_over(entry.demand, settings_.timing.request_interval / 2)) &&
                    now - entry.last_reported_at >= settings_.timing.request_interval / 5;
    entry.exhausted = entry.exhausted || runs_out;
    ++(allowed ? entry.counters.allowed : entry.counters.rejected);
    Duration retry_after = allowed ? Duration{} : next_retry_after(now, entry, cost);
    lock.unlock();
    if (runs_out) {
        std::unique_lock lock_requests(requests_lock_);
        exhausted_partners_.push_back(partner);
        needs_request_early_.store(true, std::memory_order_relaxed);
    }
    if (allowed) return charge;
    return Rejection{frozen ? Error::Frozen : Error::Exhausted, retry_after};
}

/// Gives each rejected request a retry time of its own, as far apart as this node's share admits requests.
/// Those that do not fit within max_retry_after are spread over the later half of that time, each into one of
/// the widest gaps.
Duration QuotaLimiter::next_retry_after(TimePoint now, PartnerEntry& entry, Amount cost) {
    Amount share = entry.floor.borrowed.share() + entry.shared.borrowed.share();
    Duration interval = share > 0 ? Duration{double(cost) / double(share) * 1000} : settings_.min_retry_after;
    TimePoint at = std::max(entry.next_retry_at, now + settings_.min_retry_after);
    if (at + interval <= now + settings_.max_retry_after) {
        entry.next_retry_at = at + interval;
        return at - now;
    }
    entry.retry_spread += 0x9e3779b97f4a7c15;  // 2^64 divided by the golden ratio: a low-discrepancy sequence
    return settings_.max_retry_after * (0.5 + 0.5 * double(entry.retry_spread >> 11) * 0x1p-53);
}

bool QuotaLimiter::refund(TimePoint now, Charge charge) {
    if (!charge) return false;
    auto lock = lock_partner(charge.partner_);
    PartnerEntry& entry = entries_[charge.partner_];
    LimiterAccount& account = charge.floor_ ? entry.floor : entry.shared;
    Amount& unreported = account.unreported[charge.report_round_ % kReportRounds];
    if (account.borrowed.lease() != charge.lease_ ||
        charge.report_round_ + std::uint64_t(settings_.timing.refund_window_requests) <
            account.report_round ||
        unreported < charge.cost_ || !account.borrowed.is_active(now)) {
        ++entry.counters.forfeited;
        return false;
    }
    unreported -= charge.cost_;
    account.borrowed.add_spent(-charge.cost_);
    account.borrowed.put_back(charge.cost_);
    ++entry.counters.refunded;
    return true;
}

void QuotaLimiter::update_demand(TimePoint now, PartnerEntry& entry) {
    Duration elapsed = now - entry.demand_measured_at;
    if (elapsed < settings_.timing.request_interval / 5) return;
    std::int64_t elapsed_us = std::max<std::int64_t>(1, to_microseconds(std::min(elapsed, Duration{10'000})));
    Amount rate = std::min(kMaxAmount, entry.offered_cost / elapsed_us * 1'000'000 +
                                           entry.offered_cost % elapsed_us * 1'000'000 / elapsed_us);
    std::int64_t adjustment_us = to_microseconds(rate > entry.demand ? kDemandRiseTime : kDemandFallTime);
    entry.demand += std::int64_t(double(rate - entry.demand) * double(std::min(elapsed_us, adjustment_us)) /
                                 double(adjustment_us));
    entry.offered_cost = 0, entry.demand_measured_at = now;
    if (now - entry.last_request_at > settings_.timing.idle_timeout || entry.last_request_at == TimePoint{})
        entry.demand = 0;
    else
        entry.demand = std::max(entry.demand, kMinDemand);
}

void QuotaLimiter::append_line(TimePoint now, const PartnerEntry& entry, LimiterAccount& account, bool floor,
                               bool next_round, std::vector<BorrowRequestLine>& lines) {
    account.borrowed.expire(now);
    Amount demand = entry.demand;
    if (!floor && entry.has_floors) demand = std::max<Amount>(0, demand - entry.floor.borrowed.share());
    Amount kept_balance =
        demand == 0 ? 0 : accrued_over(demand, settings_.timing.holding_time) + 2 * entry.max_cost;
    if (account.borrowed.recalled() || account.borrowed.frozen()) kept_balance = 0;
    account.borrowed.return_unspent(account.borrowed.balance(now) - kept_balance);
    if (next_round) account.unreported[++account.report_round % kReportRounds] = 0;
    // Charges of rounds that are past the refund window count as spent from here on.
    for (std::uint64_t age = std::uint64_t(settings_.timing.refund_window_requests) + 1;
         age < kReportRounds && age <= account.report_round; ++age)
        account.unreported[(account.report_round - age) % kReportRounds] = 0;
    bool idle =
        demand == 0 && account.borrowed.balance(now) == 0 && account.reported() == account.borrowed.spent();
    account.idle = idle ? account.idle + 1 : 0;
    if (idle && (account.borrowed.lease() == 0 || account.idle > 3)) return;
    lines.push_back({{entry.partner, floor},
                     account.borrowed.lease(),
                     account.reported(),
                     account.borrowed.returned(),
                     demand,
                     0});
}

BorrowRequest QuotaLimiter::next_request(TimePoint now, bool all) {
    BorrowRequest request{settings_.instance, 0, {}};
    std::vector<std::uint32_t> exhausted;
    {
        std::unique_lock lock(requests_lock_);
        needs_request_early_.store(false, std::memory_order_relaxed);
        exhausted.swap(exhausted_partners_);
        request.seq = ++seq_;
        request_sent_at_[request.seq] = now;
        while (request_sent_at_.size() > 256) request_sent_at_.erase(request_sent_at_.begin());
    }
    auto add_lines = [&](std::uint32_t partner) {
        auto lock = lock_partner(partner);
        PartnerEntry& entry = entries_[partner];
        if (entry.last_request_at == TimePoint{}) return;  // no client has sent a request for it to this node
        update_demand(now, entry);
        entry.exhausted = false;
        entry.last_reported_at = now;
        if (entry.has_floors) append_line(now, entry, entry.floor, true, all, request.lines);
        append_line(now, entry, entry.shared, false, all, request.lines);
    };
    if (all)
        for (std::uint32_t i = 0; i < entries_.size(); ++i) add_lines(i);
    else
        for (std::uint32_t i : exhausted) add_lines(i);
    return request;
}

void QuotaLimiter::handle_response(TimePoint now, const BorrowResponse& response) {
    if (response.instance != settings_.instance) return;
    TimePoint requested_at;
    {
        std::unique_lock lock(requests_lock_);
        auto found = request_sent_at_.find(response.seq);
        if (found == request_sent_at_.end()) return;
        requested_at = found->second;
    }
    for (const BorrowResponseLine& line : response.lines) {
        auto found = partner_indexes_.find(line.account.partner);
        if (found == partner_indexes_.end()) continue;
        auto lock = lock_partner(found->second);
        LimiterAccount& account =
            line.account.floor ? entries_[found->second].floor : entries_[found->second].shared;
        if (account.borrowed.apply_response(now, requested_at, response.seq, line, settings_.timing) ==
            BorrowedBudget::ResponseResult::NewLease)
            account.unreported.fill(0);
    }
}

PartnerCounters QuotaLimiter::counters(TimePoint now, std::uint32_t partner) const {
    auto lock = lock_partner(partner);
    const PartnerEntry& entry = entries_[partner];
    PartnerCounters counters = entry.counters;
    counters.spent = entry.floor.borrowed.spent() + entry.shared.borrowed.spent();
    counters.balance = entry.floor.borrowed.balance(now) + entry.shared.borrowed.balance(now);
    counters.share = entry.floor.borrowed.share() + entry.shared.borrowed.share();
    counters.demand = entry.demand;
    return counters;
}

std::vector<std::string> QuotaLimiter::partners() const {
    std::vector<std::string> names;
    for (const PartnerEntry& entry : entries_)
        if (!entry.removed) names.push_back(entry.partner);
    return names;
}

}  // namespace ochrehub::quota
