// A node's side, asked on its loop: may this request of this partner enter? No request waits for a message:
// what is there is charged, or the request is refused and told when to come back. What was spent is told, and
// what is needed asked for, by an `BorrowRequest` that whoever carries messages takes from here, every
// `Timing::ask` and earlier where `asks_early` says so.
//
// Threads: charge, give_back, ask and answered from any; what is changed stands under one of 64 short locks,
// none of which is held over anything but arithmetic, and never two at once. configure and find: from one
// thread, with none of the others.
#pragma once

#include <array>
#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fleet/quota/borrowed_budget.h"

namespace ochrehub::quota {

struct QuotaLimiterSettings {
    std::uint64_t instance = 0;      ///< drawn at each start, never zero
    std::vector<std::string> kinds;  ///< the classes' names, by their index
    Timing timing;
    Duration back_least{250};    ///< what a refused client is told, at least ...
    Duration back_most{30'000};  ///< ... and at most
};

/// One charge, which may be given back once: move it there.
class Charge {
public:
    Charge() = default;
    Charge(Charge&& o) noexcept { *this = std::move(o); }
    Charge& operator=(Charge&& o) noexcept {
        partner_ = o.partner_, floor_ = o.floor_, lease_ = o.lease_, turn_ = o.turn_;
        cost_ = std::exchange(o.cost_, 0);
        return *this;
    }
    explicit operator bool() const { return cost_ != 0; }
    Amount cost() const { return cost_; }
    /// For saboteurs alone: a charge that is given back twice.
    Charge forged() const {
        Charge copy;
        copy.partner_ = partner_, copy.floor_ = floor_, copy.lease_ = lease_, copy.turn_ = turn_,
        copy.cost_ = cost_;
        return copy;
    }

private:
    friend class QuotaLimiter;
    std::uint32_t partner_ = 0;
    bool floor_ = false;
    std::uint64_t lease_ = 0, turn_ = 0;
    Amount cost_ = 0;
};

struct Rejection {
    Error error{};    ///< Exhausted or Frozen
    Duration back{};  ///< when to come back: one slot a request at the rate that this node may reckon with
};

struct PartnerCounters {
    std::uint64_t allowed = 0, refused = 0, given_back = 0,
                  forfeited = 0;  ///< forfeited: given back when it was told as spent
    Amount spent = 0, balance = 0, share = 0, demand = 0;
};

class QuotaLimiter {
public:
    explicit QuotaLimiter(const QuotaLimiterSettings& settings);

    /// The budgets from now on. A partner that is gone is refused nothing and charged nothing.
    void configure(const std::vector<Budget>& budgets);
    /// Its number, which it keeps; nothing where no budget is for it.
    std::optional<std::uint32_t> find(std::string_view partner) const;

    using Outcome = std::variant<Charge, Rejection>;
    /// One request, once: its retries and hedges are not charged again. `kind`: the class's index; kNone: a
    /// unit.
    Outcome charge(TimePoint now, std::uint32_t partner, int kind);
    /// Of a request that never ran. False: nothing came back, since the charge has been told as spent, its
    /// lease is over, or it was given back before.
    bool give_back(TimePoint now, Charge receipt);

    /// Something runs dry before the next ask would be answered.
    bool asks_early() const { return early_.load(std::memory_order_relaxed); }
    /// What is to be sent to the site's lender now. `all` false: of those alone that run dry.
    BorrowRequest ask(TimePoint now, bool all = true);
    void answered(TimePoint now, const BorrowResponse& answer);

    PartnerCounters counts(TimePoint now, std::uint32_t partner) const;
    std::vector<std::string> partners() const;

private:
    static constexpr std::size_t kShards = 64, kTurns = 4;
    struct Purse {
        BorrowedBudget pot;
        std::array<Amount, kTurns> untold{};  // charged in this turn and the ones before it
        std::uint64_t turn = 0;
        int idle = 0;
        Amount told() const {
            Amount sum = pot.spent();
            for (Amount a : untold) sum -= a;
            return sum;
        }
    };
    struct Entry {  // what a charge touches stands first
        bool dry = false, gone = false, floors = false;
        Amount offered = 0, demand = 0;
        TimePoint last{}, asked{}, next_slot{}, measured{};
        Purse shared;
        PartnerCounters counts;
        Purse floor;
        std::vector<Amount> costs;  // by class
        Amount dearest = kUnit;
        std::uint64_t strewn = 0;
        std::string partner;
    };
    struct alignas(64) Shard {
        mutable std::mutex lock;
    };
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };

    std::unique_lock<std::mutex> locked(std::uint32_t partner) const {
        return std::unique_lock(shards_[partner % kShards].lock);
    }
    static void fetch(const Entry& entry);
    bool spend(TimePoint now, Purse& purse, Amount cost, Charge& receipt);
    Duration slot(TimePoint now, Entry& entry, Amount cost);
    void measure(TimePoint now, Entry& entry);
    void line(TimePoint now, const Entry& entry, Purse& purse, bool floor, bool turns,
              std::vector<BorrowRequestLine>& lines);

    QuotaLimiterSettings set_;
    std::deque<Entry> entries_;  // none ever moves
    std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>> names_;
    struct Slot {
        std::size_t hash = 0;
        std::uint32_t number = 0;  // from 1 on; zero: free
    };
    std::vector<Slot> slots_;  // by hash, half of it free: a look at one line finds whom `names_` has
    std::unique_ptr<Shard[]> shards_;
    std::atomic<bool> early_{false};
    std::mutex asks_;  // of what follows
    std::uint64_t seq_ = 0;
    std::vector<std::uint32_t> dry_;
    std::map<std::uint64_t, TimePoint> asked_;
};

}  // namespace ochrehub::quota
