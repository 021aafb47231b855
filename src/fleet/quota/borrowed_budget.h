// What a borrower holds of one account, at a node as well as at an allocator that has itself borrowed.
// Invariant: every millionth that was granted is counted in exactly one place: balance, spent, returned, or
// (at an allocator) lent on; `granted` is their sum.
#pragma once

#include <algorithm>
#include <utility>

#include "fleet/quota/message.h"

namespace ochrehub::quota {

/// When the borrower stops using a lease, by its own clock: before the lease expires by the lender's clock,
/// whatever the drift between the two clocks.
inline TimePoint borrower_expiry(TimePoint requested_at, std::int64_t remaining_us, const Timing& timing) {
    Duration length{double(remaining_us) / 1000};
    return requested_at + length * (1 - timing.max_clock_drift_permille / 1000.0) - timing.safety_margin;
}

class BorrowedBudget {
public:
    std::uint64_t lease() const { return lease_; }
    Amount spent() const { return spent_; }
    Amount returned() const { return returned_; }
    Amount share() const { return share_; }
    TimePoint expires_at() const { return expires_at_; }
    bool recalled() const { return recalled_; }
    bool frozen() const { return frozen_; }
    bool is_active(TimePoint now) const { return now < expires_at_; }
    Amount balance(TimePoint now) const { return is_active(now) ? balance_ : 0; }

    /// Removes an amount from the balance, to be spent here or lent on. False: the balance is too small.
    bool take(TimePoint now, Amount amount) {
        if (balance(now) < amount) return false;
        balance_ -= amount;
        return true;
    }
    void put_back(Amount amount) { balance_ += amount; }
    void add_spent(Amount amount) { spent_ += amount; }
    /// Returns up to this amount of the balance to the lender.
    void return_unspent(Amount amount) {
        amount = std::clamp<Amount>(amount, 0, balance_);
        balance_ -= amount, returned_ += amount;
    }
    /// After the lease has expired, its balance can no longer be spent, however late this is called.
    void expire(TimePoint now) {
        if (!is_active(now)) return_unspent(balance_);
    }

    /// NewLease: another lease began, and the amounts of the previous one no longer count.
    enum class ResponseResult { Stale, Expired, SameLease, NewLease };
    /// `requested_at`: when the request of this response was sent, by the borrower's clock.
    ResponseResult apply_response(TimePoint now, TimePoint requested_at, std::uint64_t seq,
                                  const BorrowResponseLine& line, const Timing& timing) {
        if (seq <= seq_) return ResponseResult::Stale;
        seq_ = seq;
        share_ = line.share, recalled_ = line.recalled, frozen_ = line.frozen;
        expire(now);
        TimePoint expires_at = borrower_expiry(requested_at, line.remaining_us, timing);
        // What this response granted comes with a later one, or is never spent.
        if (expires_at <= now) return ResponseResult::Expired;
        bool is_new_lease = line.lease != lease_;
        if (is_new_lease) {
            lease_ = line.lease;
            balance_ = spent_ = returned_ = granted_ = 0;
            expires_at_ = expires_at;
        }
        if (line.granted > granted_) balance_ += line.granted - std::exchange(granted_, line.granted);
        expires_at_ = std::max(expires_at_, expires_at);
        return is_new_lease ? ResponseResult::NewLease : ResponseResult::SameLease;
    }

private:
    std::uint64_t lease_ = 0;  ///< zero: none yet
    std::uint64_t seq_ = 0;    ///< of the last response that was applied
    Amount balance_ = 0;
    Amount granted_ = 0;
    Amount spent_ = 0;
    Amount returned_ = 0;
    Amount share_ = 0;  ///< per second
    TimePoint expires_at_{};
    bool recalled_ = false;
    bool frozen_ = false;
};

}  // namespace ochrehub::quota
