// What a borrower holds of one account: the same at a node and at a lender that has itself borrowed. Every
// millionth that came in is in one place: balance, spent, returned, or (at a lender) lent on; `granted` is
// their sum.
#pragma once

#include <algorithm>
#include <utility>

#include "fleet/quota/message.h"

namespace ochrehub::quota {

/// A lender's instant by the borrower's clock: what it lent is over for the borrower so much earlier.
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

    /// Out of the balance: to be spent here, or lent on.
    bool take(TimePoint now, Amount amount) {
        if (balance(now) < amount) return false;
        balance_ -= amount;
        return true;
    }
    void put_back(Amount amount) { balance_ += amount; }
    void add_spent(Amount amount) { spent_ += amount; }
    /// Of what is unspent, to whoever lent it.
    void return_unspent(Amount amount) {
        amount = std::clamp<Amount>(amount, 0, balance_);
        balance_ -= amount, returned_ += amount;
    }
    /// What is over is no longer there to be spent, whenever that is looked at.
    void expire(TimePoint now) {
        if (!is_active(now)) return_unspent(balance_);
    }

    enum class ResponseResult { Stale, Expired, SameLease, NewLease };
    /// `asked`: when the ask that this answers was sent, by the borrower's clock. Anew: another lease began,
    /// and nothing of the one before counts any more.
    ResponseResult apply_response(TimePoint now, TimePoint requested_at, std::uint64_t seq,
                                  const BorrowResponseLine& line, const Timing& timing) {
        if (seq <= seq_) return ResponseResult::Stale;
        seq_ = seq;
        share_ = line.share, recalled_ = line.recalled, frozen_ = line.frozen;
        expire(now);
        TimePoint expires_at = borrower_expiry(requested_at, line.remaining_us, timing);
        if (expires_at <= now)
            return ResponseResult::Expired;  // what it granted comes with a later one, or is never spent
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
    std::uint64_t lease_ = 0, seq_ = 0;
    Amount balance_ = 0, granted_ = 0, spent_ = 0, returned_ = 0, share_ = 0;
    TimePoint expires_at_{};
    bool recalled_ = false, frozen_ = false;
};

}  // namespace ochrehub::quota
