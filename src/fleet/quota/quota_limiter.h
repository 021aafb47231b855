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
    std::uint64_t instance = 0;            ///< drawn at each start, never zero
    std::vector<std::string> class_names;  ///< the classes' names, by their index
    Timing timing;
    Duration min_retry_after{250};     ///< what a refused client is told, at least ...
    Duration max_retry_after{30'000};  ///< ... and at most
};

/// One charge, which may be given back once: move it there.
class Charge {
public:
    Charge() = default;
    Charge(Charge&& other) noexcept { *this = std::move(other); }
    Charge& operator=(Charge&& other) noexcept {
        partner_ = other.partner_, floor_ = other.floor_, lease_ = other.lease_,
        report_round_ = other.report_round_;
        cost_ = std::exchange(other.cost_, 0);
        return *this;
    }
    explicit operator bool() const { return cost_ != 0; }
    Amount cost() const { return cost_; }
    /// For saboteurs alone: a charge that is given back twice.
    Charge duplicate_for_test() const {
        Charge copy;
        copy.partner_ = partner_, copy.floor_ = floor_, copy.lease_ = lease_,
        copy.report_round_ = report_round_, copy.cost_ = cost_;
        return copy;
    }

private:
    friend class QuotaLimiter;
    std::uint32_t partner_ = 0;
    bool floor_ = false;
    std::uint64_t lease_ = 0, report_round_ = 0;
    Amount cost_ = 0;
};

struct Rejection {
    Error error{};  ///< Exhausted or Frozen
    Duration
        retry_after{};  ///< when to come back: one slot a request at the rate that this node may reckon with
};

struct PartnerCounters {
    std::uint64_t allowed = 0, rejected = 0, refunded = 0,
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
    Outcome charge(TimePoint now, std::uint32_t partner, int class_index);
    /// Of a request that never ran. False: nothing came back, since the charge has been told as spent, its
    /// lease is over, or it was given back before.
    bool refund(TimePoint now, Charge charge);

    /// Something runs dry before the next ask would be answered.
    bool needs_request_early() const { return needs_request_early_.load(std::memory_order_relaxed); }
    /// What is to be sent to the site's lender now. `all` false: of those alone that run dry.
    BorrowRequest next_request(TimePoint now, bool all = true);
    void handle_response(TimePoint now, const BorrowResponse& response);

    PartnerCounters counters(TimePoint now, std::uint32_t partner) const;
    std::vector<std::string> partners() const;

private:
    static constexpr std::size_t kLockStripes = 64, kReportRounds = 4;
    struct LimiterAccount {
        BorrowedBudget borrowed;
        std::array<Amount, kReportRounds> unreported{};  // charged in this turn and the ones before it
        std::uint64_t report_round = 0;
        int idle = 0;
        Amount reported() const {
            Amount sum = borrowed.spent();
            for (Amount a : unreported) sum -= a;
            return sum;
        }
    };
    struct PartnerEntry {  // what a charge touches stands first
        bool exhausted = false, removed = false, has_floors = false;
        Amount offered_cost = 0, demand = 0;
        TimePoint last_request_at{}, last_reported_at{}, next_retry_at{}, demand_measured_at{};
        LimiterAccount shared;
        PartnerCounters counters;
        LimiterAccount floor;
        std::vector<Amount> costs;  // by class
        Amount max_cost = kUnit;
        std::uint64_t retry_spread = 0;
        std::string partner;
    };
    struct alignas(64) LockStripe {
        mutable std::mutex lock;
    };
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };

    std::unique_lock<std::mutex> lock_partner(std::uint32_t partner) const {
        return std::unique_lock(stripes_[partner % kLockStripes].lock);
    }
    static void prefetch(const PartnerEntry& entry);
    bool try_spend(TimePoint now, LimiterAccount& account, Amount cost, Charge& charge);
    Duration next_retry_after(TimePoint now, PartnerEntry& entry, Amount cost);
    void update_demand(TimePoint now, PartnerEntry& entry);
    void append_line(TimePoint now, const PartnerEntry& entry, LimiterAccount& account, bool floor,
                     bool next_round, std::vector<BorrowRequestLine>& lines);

    QuotaLimiterSettings settings_;
    std::deque<PartnerEntry> entries_;  // none ever moves
    std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>> partner_indexes_;
    struct IndexSlot {
        std::size_t hash = 0;
        std::uint32_t partner_plus_one = 0;  // from 1 on; zero: free
    };
    std::vector<IndexSlot>
        index_slots_;  // by hash, half of it free: a look at one line finds whom `names_` has
    std::unique_ptr<LockStripe[]> stripes_;
    std::atomic<bool> needs_request_early_{false};
    std::mutex requests_lock_;  // of what follows
    std::uint64_t seq_ = 0;
    std::vector<std::uint32_t> exhausted_partners_;
    std::map<std::uint64_t, TimePoint> request_sent_at_;
};

}  // namespace ochrehub::quota
