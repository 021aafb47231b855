#include "fleet/quota/quota_allocator.h"

#include <cmath>

namespace ochrehub::quota {
namespace {

std::int64_t to_microseconds(TimePoint at) {
    return std::int64_t(std::floor(at.time_since_epoch().count() * 1000));
}
std::int64_t to_microseconds(Duration length) {
    return std::int64_t(std::floor(length.count() * 1000));
}
Amount accrued_over(Amount rate, Duration length) {
    Amount remainder = 0;
    return accrued(rate, to_microseconds(length), remainder);
}
/// The rate to mint at: lowered so that a clock that runs too fast mints no more than the configured rate.
Amount slowed_for_drift(Amount rate, const Timing& timing) {
    return rate - rate / 2000 * timing.max_clock_drift_permille;
}
/// A lease id from a counter: different instances don't produce the same one.
std::uint64_t mixed_id(std::uint64_t x) {
    x += 0x9e3779b97f4a7c15;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
    x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
    return (x ^ (x >> 31)) | 1;
}
/// Shares are computed at most this often.
constexpr Duration kShareUpdateInterval{50};

}  // namespace

QuotaAllocator::QuotaAllocator(const QuotaAllocatorSettings& settings) : settings_(settings) {}

void QuotaAllocator::handle(TimePoint now, const QuotaAllocatorEvent& event, QuotaAllocatorActions& actions) {
    // Before anything else: ownership that has expired meanwhile is lost, however late the event comes.
    if (ownership_confirmed_ && !is_owner(now)) on(now, OwnershipLost{}, actions);
    std::visit([&](const auto& e) { on(now, e, actions); }, event);
    flush(actions);
}

// Minting, returns and expiry

Amount QuotaAllocator::available(TimePoint now, const AccountState& state) const {
    return state.root ? state.available : state.borrowed.balance(now);
}

/// Adds what a child returned; for a root whose budget was reduced only up to the cap.
void QuotaAllocator::add_returned(AccountState& state, Amount amount) {
    if (state.root)
        state.available +=
            std::clamp<Amount>(state.cap - state.available - state.total_lent - state.total_lost, 0, amount);
    else
        state.borrowed.put_back(amount);
}

void QuotaAllocator::mint(TimePoint now, AccountState& state) {
    std::int64_t at = to_microseconds(now);
    if (at <= state.minted_until_us) return;
    // An hour: longer makes no difference, since the cap is reached before, and the product would overflow.
    std::int64_t elapsed = std::min<std::int64_t>(at - state.minted_until_us, 3'600'000'000);
    state.minted_until_us = at;
    Amount capacity = state.cap - state.available - state.total_lent - state.total_lost;
    Amount minted = accrued(slowed_for_drift(state.rate, settings_.timing), elapsed, state.remainder);
    if (state.frozen || capacity <= 0 || now < no_lending_until_) return;
    state.available += std::min(minted, capacity);
}

void QuotaAllocator::mark_lost(const Account& account, AccountState& state, const std::string& name,
                               Child& child) {
    if (child.lent() > 0) {
        state.lost_leases.push_back({name, child.instance, child.lease, child.lent(), child.expires_at});
        state.total_lost += child.lent();
    } else {
        close_lease(account, state, name, child.instance, child.lease);
    }
    state.total_lent -= child.lent();
    child.granted = child.spent = child.returned = 0;
    child.lease = 0;
}

void QuotaAllocator::close_lease(const Account& account, AccountState& state, const std::string& name,
                                 std::uint64_t instance, std::uint64_t lease) {
    if (!is_durable(state) || lease == 0) return;
    to_record_.erase({account, name});
    closed_leases_.push_back({account, name, instance, lease, 0, 0, 0, true});
}

void QuotaAllocator::expire_leases(TimePoint now, const Account& account, AccountState& state) {
    if (!state.root && !state.borrowed.is_active(now)) {
        // No lease to a child outlives the borrowed one; what was not reported as spent counts as spent.
        state.borrowed.add_spent(state.total_lent + state.total_lost);
        state.borrowed.expire(now);
        for (auto& [name, child] : state.children)
            child.granted = child.spent = child.returned = 0, child.lease = 0;
        state.lost_leases.clear();
        state.total_lent = state.total_lost = 0;
    }
    for (auto it = state.children.begin(); it != state.children.end();) {
        auto& [name, child] = *it;
        if (child.lease != 0 && child.expires_at <= now) mark_lost(account, state, name, child);
        if (child.lease == 0 && now - child.last_request_at > settings_.timing.lease_duration * 2) {
            it = state.children.erase(it);
            continue;
        }
        ++it;
    }
    std::erase_if(state.lost_leases, [&](const LostLease& lost) {
        if (lost.expires_at > now) return false;
        state.total_lost -= lost.amount;
        if (!state.root) state.borrowed.add_spent(lost.amount);
        close_lease(account, state, lost.child, lost.instance, lost.lease);
        return true;
    });
    if (state.root) mint(now, state);
    if (state.recalling && state.available + state.total_lent + state.total_lost <= state.cap)
        state.recalling = false;
}

// Shares and lending

/// Divides the income by weighted max-min fairness over the children's accepted demand. The rest is divided
/// by weight, so that a child whose demand grows does not have to request first.
void QuotaAllocator::update_shares(TimePoint now, AccountState& state) {
    Duration elapsed = now - state.shares_updated_at;
    if (elapsed < kShareUpdateInterval) return;
    state.shares_updated_at = now;
    Amount income = state.root ? state.rate : state.borrowed.share();
    Amount total_demand = 0;
    std::uint64_t weights = 0;
    std::vector<Child*> open;
    for (auto& [name, child] : state.children) {
        if (child.demand == 0 || now - child.last_request_at > settings_.timing.lease_duration) {
            child.share = child.accepted_demand = 0;
            continue;
        }
        total_demand += child.demand;
        weights += child.weight;
        open.push_back(&child);
    }
    // If there is not enough for all, a child that requests more than its fair part is accepted at four times
    // what it uses: overstating its demand takes nothing that others need, and it can still grow.
    for (Child* child : open) {
        Amount fair = weights ? Amount(income / Amount(weights) * child->weight) : 0;
        child->accepted_demand =
            total_demand <= income
                ? child->demand
                : std::min(child->demand, std::max(fair, 4 * child->observed_rate) + state.max_cost);
    }
    std::vector<Child*> by_need = open;
    std::stable_sort(by_need.begin(), by_need.end(), [](const Child* a, const Child* b) {
        return a->accepted_demand / a->weight < b->accepted_demand / b->weight;
    });
    Amount left = income;
    std::uint64_t remaining_weight = weights;
    for (Child* child : by_need) {
        Amount fair = remaining_weight ? left / Amount(remaining_weight) * child->weight : 0;
        child->share = std::min(child->accepted_demand, fair);
        left -= child->share;
        remaining_weight -= child->weight;
    }
    Duration counted = std::min(elapsed, Duration{1000});
    for (Child* child : open) {
        child->share += weights ? left / Amount(weights) * child->weight : 0;
        child->credit =
            std::min(child->credit + accrued(child->share, to_microseconds(counted), child->credit_remainder),
                     std::max(accrued_over(child->share, holding_time()), state.max_cost));
    }
}

/// The amount by which the child holds less than its accepted demand needs.
Amount QuotaAllocator::shortfall(const AccountState& state, const Child& child) const {
    if (child.demand == 0 || child.recalled) return 0;
    Amount target = accrued_over(child.accepted_demand, holding_time()) + state.max_cost;
    return std::max<Amount>(0, target - child.lent());
}

void QuotaAllocator::lend(TimePoint now, const Account& account, AccountState& state, const std::string& name,
                          Child& child) {
    if (state.frozen || state.recalling || now < no_lending_until_ ||
        (!state.root && (state.borrowed.recalled() || state.borrowed.frozen())))
        return;
    Amount want = shortfall(state, child);
    if (want <= 0) return;
    Amount free = available(now, state), others = 0;
    for (const auto& [other, c] : state.children)
        if (&c != &child && c.demand > 0) others += std::min(c.credit, shortfall(state, c));
    Amount granted = std::min({want, free, std::max(child.credit, free - others)});
    granted -= granted % state.min_cost;
    if (granted <= 0) return;
    if (state.root)
        state.available -= granted;
    else if (!state.borrowed.take(now, granted))
        return;
    child.granted += granted;
    state.total_lent += granted;
    child.credit = std::max<Amount>(0, child.credit - granted);
    if (is_durable(state)) queue_record(account, name, child);
}

void QuotaAllocator::queue_record(const Account& account, const std::string& name, const Child& child) {
    to_record_[{account, name}] = {account,       name,        child.instance, child.lease,
                                   child.granted, child.spent, child.returned, false};
}

// Event handlers

void QuotaAllocator::on(TimePoint now, const TimerFired&, QuotaAllocatorActions& actions) {
    for (auto& [account, state] : accounts_) expire_leases(now, account, state);
    if (now >= next_request_at_) {
        next_request_at_ = now + settings_.timing.request_interval;
        if (!settings_.site.empty() && is_owner(now)) request_from_parent(now, actions);
    }
    actions.push_back(SetTimer{next_request_at_});
}

void QuotaAllocator::request_from_parent(TimePoint now, QuotaAllocatorActions& actions) {
    BorrowRequest request{settings_.instance, ++seq_, {}};
    for (auto& [account, state] : accounts_) {
        if (account.floor) continue;
        update_shares(now, state);
        Amount demand = 0;
        for (const auto& [name, child] : state.children)
            if (now - child.last_request_at <= settings_.timing.lease_duration) demand += child.demand;
        demand = std::min(demand, kMaxAmount);
        // Return what exceeds what the children may request soon.
        if (state.borrowed.recalled() || state.borrowed.frozen()) {
            state.borrowed.return_unspent(state.borrowed.balance(now));
        } else {
            Amount kept_balance =
                accrued_over(demand, holding_time()) + (demand > 0 ? 2 * state.max_cost : 0);
            state.borrowed.return_unspent(state.borrowed.balance(now) - kept_balance);
        }
        // A floor that is not needed is passed to the federation, while the parent is reachable.
        auto floor = accounts_.find({account.partner, true});
        if (floor != accounts_.end() && floor->second.root &&
            now - last_response_at_ < 5 * settings_.timing.request_interval) {
            AccountState& floor_state = floor->second;
            Amount spare = floor_state.available - floor_state.cap / 2;
            if (spare > 0) floor_state.available -= spare, floor_state.donated_total += spare;
        }
        Amount donated_total = floor == accounts_.end() ? 0 : floor->second.donated_total;
        if (demand == 0 && state.borrowed.lease() == 0 && donated_total == 0) continue;
        request.lines.push_back({account, state.borrowed.lease(), state.borrowed.spent(),
                                 state.borrowed.returned(), demand, donated_total});
    }
    request_sent_at_[seq_] = now;
    while (request_sent_at_.size() > 64) request_sent_at_.erase(request_sent_at_.begin());
    actions.push_back(SendRequest{std::move(request)});
}

void QuotaAllocator::on(TimePoint now, const ResponseReceived& received, QuotaAllocatorActions&) {
    if (received.response.instance != settings_.instance) return;
    auto sent = request_sent_at_.find(received.response.seq);
    if (sent == request_sent_at_.end()) return;
    last_response_at_ = now;
    for (const BorrowResponseLine& line : received.response.lines) {
        auto found = accounts_.find(line.account);
        if (found == accounts_.end() || found->second.root) continue;
        AccountState& state = found->second;
        expire_leases(now, line.account, state);
        if (state.borrowed.apply_response(now, sent->second, received.response.seq, line, settings_.timing) !=
            BorrowedBudget::ResponseResult::NewLease)
            continue;
        // What was lent on under the previous lease does not count against this one.
        for (auto& [name, child] : state.children)
            child.granted = child.spent = child.returned = 0, child.lease = 0;
        state.lost_leases.clear();
        state.total_lent = state.total_lost = 0;
    }
}

/// Applies a child's report of its lease. False: its sums are impossible.
bool QuotaAllocator::apply_report(AccountState& state, Child& child, const BorrowRequestLine& line,
                                  TimePoint now) {
    Amount spent = line.spent - child.spent, returned = line.returned - child.returned;
    if (spent < 0 || returned < 0 || spent + returned > child.lent()) return false;
    child.spent += spent, child.returned += returned;
    state.total_lent -= spent + returned;
    if (!state.root) state.borrowed.add_spent(spent);
    add_returned(state, returned);
    Duration elapsed = now - child.last_request_at;
    if (elapsed > Duration{0}) {
        Amount observed_rate = Amount(double(spent) / std::max(elapsed.count(), 1.0) * 1000);
        child.observed_rate = std::max(observed_rate, child.observed_rate - child.observed_rate / 8);
    }
    return true;
}

void QuotaAllocator::on(TimePoint now, const RequestReceived& received, QuotaAllocatorActions&) {
    if (!is_owner(now)) return;
    const BorrowRequest& request = received.request;
    BorrowResponse response{request.instance, request.seq, {}};
    for (const BorrowRequestLine& line : request.lines) {
        auto found = accounts_.find(line.account);
        if (found == accounts_.end()) continue;
        AccountState& state = found->second;
        expire_leases(now, line.account, state);
        Child& child = state.children[received.child];
        if (child.instance != request.instance) {
            if (std::any_of(state.lost_leases.begin(), state.lost_leases.end(), [&](const LostLease& l) {
                    return l.child == received.child && l.instance == request.instance;
                }))
                continue;  // a late message from before the child restarted
            mark_lost(line.account, state, received.child, child);
            child = {};
            child.instance = request.instance;
            auto weight = state.weights.find(received.child);
            child.weight = weight == state.weights.end() ? 1 : weight->second;
        }
        if (request.seq <= child.seq) continue;
        child.seq = request.seq;
        if (child.lease != 0 && line.lease == child.lease && !apply_report(state, child, line, now)) {
            ++rejected_lines_;
            continue;
        }
        child.last_request_at = now;
        child.demand = state.frozen ? 0 : line.demand;
        if (child.recalled && line.lease == child.lease && child.lent() == 0) child.recalled = false;
        DonorProgress& donor = state.donors[received.child];
        if (donor.instance != request.instance)
            donor = {request.instance,
                     line.floor_surplus};  // an earlier surplus may have been counted already
        else if (state.root && line.floor_surplus > donor.donated_seen)
            add_returned(state, line.floor_surplus - std::exchange(donor.donated_seen, line.floor_surplus));
        update_shares(now, state);
        // A child's lease is limited to what remains of the borrowed one, and the child counts it from before
        // its request: so it expires before the borrowed one.
        Duration length = settings_.timing.lease_duration;
        if (!state.root) length = std::min(length, std::max(Duration{0}, state.borrowed.expires_at() - now));
        if (length <= 2 * settings_.timing.safety_margin) length = Duration{0};
        if (length > Duration{0}) {
            if (child.lease == 0) child.lease = mixed_id(settings_.instance ^ mixed_id(++last_lease_));
            lend(now, line.account, state, received.child, child);
            child.expires_at = std::max(child.expires_at, now + length);
        }
        bool recalled = child.recalled || state.recalling || (!state.root && state.borrowed.recalled());
        bool frozen = state.frozen || (!state.root && state.borrowed.frozen());
        response.lines.push_back({line.account, child.lease, child.granted, to_microseconds(length),
                                  child.share, recalled || frozen, frozen});
    }
    std::uint64_t after_record = to_record_.empty()
                                     ? (pending_responses_.empty() ? last_recorded_ : last_record_sent_)
                                     : last_record_sent_ + 1;
    pending_responses_.push_back({after_record, {received.child, std::move(response)}});
}

/// Sends one RecordLeases at a time; changes made meanwhile go with the next.
void QuotaAllocator::flush(QuotaAllocatorActions& actions) {
    if (last_recorded_ == last_record_sent_ && (!to_record_.empty() || !closed_leases_.empty())) {
        RecordLeases record{++last_record_sent_, std::move(closed_leases_)};
        closed_leases_.clear();
        for (auto& [key, lease] : to_record_) record.leases.push_back(std::move(lease));
        to_record_.clear();
        actions.push_back(std::move(record));
    }
    std::size_t sent = 0;
    for (; sent < pending_responses_.size() && pending_responses_[sent].after_record <= last_recorded_;
         ++sent)
        actions.push_back(std::move(pending_responses_[sent].send));
    pending_responses_.erase(pending_responses_.begin(), pending_responses_.begin() + std::ptrdiff_t(sent));
}

void QuotaAllocator::on(TimePoint, const LeasesRecorded& recorded, QuotaAllocatorActions&) {
    last_recorded_ = std::max(last_recorded_, std::min(recorded.number, last_record_sent_));
}

void QuotaAllocator::on(TimePoint now, const OwnershipConfirmed& owned, QuotaAllocatorActions& actions) {
    if (!ownership_confirmed_) {
        ownership_confirmed_ = true;
        if (owned.leases) {
            for (const OutstandingLease& lease : *owned.leases) {
                auto found = accounts_.find(lease.account);
                if (found == accounts_.end() || !found->second.root || lease.closed) continue;
                AccountState& state = found->second;
                Child& child = state.children[lease.child];
                if (child.lease != 0) mark_lost(lease.account, state, lease.child, child);
                child = {};
                child.instance = lease.instance, child.lease = lease.lease;
                child.granted = lease.granted, child.spent = lease.spent, child.returned = lease.returned;
                // The last request that the previous owner responded to was sent before now.
                child.expires_at = now + settings_.timing.lease_duration, child.last_request_at = now;
                state.total_lent += child.lent();
            }
        } else if (!owned.fresh) {
            no_lending_until_ = now + settings_.timing.lease_duration;
        }
        for (auto& [account, state] : accounts_)
            state.minted_until_us = to_microseconds(now), state.remainder = 0;
        next_request_at_ = now;
        actions.push_back(SetTimer{now});
    }
    ownership_until_ = std::max(ownership_until_, owned.until);
}

/// Another owner may lend from here on: nothing that was held may be used again.
void QuotaAllocator::on(TimePoint, const OwnershipLost&, QuotaAllocatorActions&) {
    ownership_confirmed_ = false;
    ownership_until_ = {};
    pending_responses_.clear(), to_record_.clear(), closed_leases_.clear(), request_sent_at_.clear();
    last_recorded_ = last_record_sent_;
    for (auto& [account, state] : accounts_) {
        state.children.clear(), state.lost_leases.clear(), state.donors.clear();
        state.available = state.total_lent = state.total_lost = state.donated_total = 0;
        state.borrowed = {};
    }
    // As after a restart: the parent sees a new instance from here on.
    settings_.instance = mixed_id(settings_.instance);
}

void QuotaAllocator::configure_account(AccountState& state, TimePoint now, bool root, Amount rate, Amount cap,
                                       const Budget& budget) {
    bool is_new = state.minted_until_us == 0 && state.rate == 0;
    if (is_new)
        state.minted_until_us = to_microseconds(now);
    else if (state.root && root)
        mint(now, state);
    state.root = root, state.rate = rate, state.cap = cap;
    state.max_cost = budget.max_cost(), state.min_cost = kUnit;
    for (const Cost& c : budget.costs) state.min_cost = std::min(state.min_cost, c.cost);
    // A smaller budget takes effect at once on what is not lent, and on the rest as leases are returned or
    // expire.
    if (root) {
        state.available =
            std::clamp<Amount>(state.cap - state.total_lent - state.total_lost, 0, state.available);
        state.recalling = state.available + state.total_lent + state.total_lost > state.cap;
    }
    state.weights.clear();
    for (const Weight& w : budget.weights) state.weights[w.site] = w.weight;
    for (auto& [name, child] : state.children) {
        auto weight = state.weights.find(name);
        child.weight = weight == state.weights.end() ? 1 : weight->second;
    }
}

void QuotaAllocator::on(TimePoint now, const BudgetsConfigured& configured, QuotaAllocatorActions&) {
    std::set<Account> named;
    for (const Budget& b : configured.budgets) {
        Amount rate = b.rate, burst = b.burst + b.bound;
        for (const Floor& f : b.floors) {
            rate -= f.rate, burst -= f.burst;
            if (f.site != settings_.site || settings_.site.empty()) continue;
            configure_account(accounts_[{b.partner, true}], now, true, f.rate, f.burst, b);
            named.insert({b.partner, true});
        }
        configure_account(accounts_[{b.partner, false}], now, settings_.site.empty(), rate, burst, b);
        named.insert({b.partner, false});
    }
    // A removed account lends no more; what it has lent still counts if it is configured again soon.
    for (auto& [account, state] : accounts_)
        if (!named.contains(account) && state.root)
            state.rate = state.cap = state.available = 0, state.recalling = state.total_lent > 0;
}

void QuotaAllocator::on(TimePoint now, const OperatorOrder& order, QuotaAllocatorActions&) {
    for (auto& [account, state] : accounts_) {
        if (account.partner != order.partner) continue;
        expire_leases(now, account, state);
        if (order.what == OperatorOrder::What::Freeze) state.frozen = true;
        if (order.what == OperatorOrder::What::Thaw) state.frozen = false;
        for (auto& [name, child] : state.children) {
            if (!order.child.empty() && order.child != name) continue;
            if (order.what == OperatorOrder::What::Recall) child.recalled = child.lent() > 0;
            if (order.what == OperatorOrder::What::Lend) child.credit += order.amount;
        }
    }
}

std::vector<QuotaAllocatorStatus> QuotaAllocator::status(TimePoint now, std::string_view partner) const {
    std::vector<QuotaAllocatorStatus> all;
    for (const auto& [account, state] : accounts_) {
        if (!partner.empty() && account.partner != partner) continue;
        QuotaAllocatorStatus status{account,          state.root, state.frozen,          !state.recalling,
                                    state.rate,       state.cap,  available(now, state), state.total_lent,
                                    state.total_lost, {}};
        if (!state.root) status.rate = state.borrowed.share();
        for (const auto& [name, child] : state.children)
            status.children.push_back(
                {name, child.lent(), child.demand, child.accepted_demand, child.share, child.spent});
        all.push_back(std::move(status));
    }
    return all;
}

}  // namespace ochrehub::quota
