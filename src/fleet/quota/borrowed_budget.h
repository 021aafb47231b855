// What a borrower holds of one account: the same at a node and at a lender that has itself borrowed. Every
// millionth that came in is in one place: balance, spent, returned, or (at a lender) lent on; `granted` is
// their sum.
#pragma once

#include <algorithm>
#include <utility>

#include "fleet/quota/message.h"

namespace ochrehub::quota {

/// A lender's instant by the borrower's clock: what it lent is over for the borrower so much earlier.
inline TimePoint borrower_expiry(TimePoint asked, std::int64_t microseconds, const Timing& timing) {
    Duration length{double(microseconds) / 1000};
    return asked + length * (1 - timing.drift / 1000.0) - timing.margin;
}

class BorrowedBudget {
public:
    std::uint64_t lease() const { return lease_; }
    Amount spent() const { return spent_; }
    Amount returned() const { return returned_; }
    Amount share() const { return share_; }
    TimePoint ends() const { return ends_; }
    bool recalled() const { return recalled_; }
    bool frozen() const { return frozen_; }
    bool live(TimePoint now) const { return now < ends_; }
    Amount balance(TimePoint now) const { return live(now) ? balance_ : 0; }

    /// Out of the balance: to be spent here, or lent on.
    bool take(TimePoint now, Amount amount) {
        if (balance(now) < amount) return false;
        balance_ -= amount;
        return true;
    }
    void put_back(Amount amount) { balance_ += amount; }
    void count_spent(Amount amount) { spent_ += amount; }
    /// Of what is unspent, to whoever lent it.
    void give_up(Amount amount) {
        amount = std::clamp<Amount>(amount, 0, balance_);
        balance_ -= amount, returned_ += amount;
    }
    /// What is over is no longer there to be spent, whenever that is looked at.
    void look(TimePoint now) {
        if (!live(now)) give_up(balance_);
    }

    enum class Taken { Old, Late, Same, Anew };
    /// `asked`: when the ask that this answers was sent, by the borrower's clock. Anew: another lease began,
    /// and nothing of the one before counts any more.
    Taken answered(TimePoint now, TimePoint asked, std::uint64_t seq, const BorrowResponseLine& line,
                   const Timing& timing) {
        if (seq <= seq_) return Taken::Old;
        seq_ = seq;
        share_ = line.share, recalled_ = line.recalled, frozen_ = line.frozen;
        look(now);
        TimePoint ends = borrower_expiry(asked, line.length, timing);
        if (ends <= now) return Taken::Late;  // what it granted comes with a later one, or is never spent
        bool anew = line.lease != lease_;
        if (anew) {
            lease_ = line.lease;
            balance_ = spent_ = returned_ = granted_ = 0;
            ends_ = ends;
        }
        if (line.granted > granted_) balance_ += line.granted - std::exchange(granted_, line.granted);
        ends_ = std::max(ends_, ends);
        return anew ? Taken::Anew : Taken::Same;
    }

private:
    std::uint64_t lease_ = 0, seq_ = 0;
    Amount balance_ = 0, granted_ = 0, spent_ = 0, returned_ = 0, share_ = 0;
    TimePoint ends_{};
    bool recalled_ = false, frozen_ = false;
};

}  // namespace ochrehub::quota
