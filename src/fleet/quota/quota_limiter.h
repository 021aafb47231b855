// A node's part of the quota: decides on its event loop whether a request of a partner is admitted. No
// request waits for a message: it is charged against what the node has borrowed, or rejected with a retry
// time. Spending is reported and more is borrowed by a BorrowRequest that the caller fetches and sends every
// `Timing::request_interval`, and earlier where `needs_request_early` returns true.
//
// Threads: charge, refund, next_request and handle_response may be called from any thread. Mutable state is
// guarded by 64 short locks; none is held over anything but arithmetic, and no thread holds two at once.
// configure and find: from one thread, with none of the other calls running.
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
    std::uint64_t instance = 0;            ///< random at each start, never zero
    std::vector<std::string> class_names;  ///< by class index
    Timing timing;
    Duration min_retry_after{250};
    Duration max_retry_after{30'000};
};

/// The charge of one request. It can be refunded once: move it into QuotaLimiter::refund.
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
    /// For mutants in tests only: a charge that is refunded twice.
    Charge duplicate_for_test() const {
        Charge copy;
        copy.partner_ = partner_, copy.floor_ = floor_, copy.lease_ = lease_,
        copy.report_round_ = report_round_, copy.cost_ = cost_;
        return copy;
    }

private:
    friend class QuotaLimiter;
    std::uint32_t partner_ = 0;  ///< its number, as QuotaLimiter::find returns it
    bool floor_ = false;         ///< charged to the site's floor
    std::uint64_t lease_ = 0;
    std::uint64_t report_round_ = 0;
    Amount cost_ = 0;  ///< zero: moved from, or never charged
};

struct Rejection {
    Error error{};  ///< Exhausted or Frozen
    /// When the client is to retry: retry times are as far apart as this node's share admits requests.
    Duration retry_after{};
};

struct PartnerCounters {
    std::uint64_t allowed = 0;
    std::uint64_t rejected = 0;
    std::uint64_t refunded = 0;
    std::uint64_t forfeited = 0;  ///< refunds that came after the charge was reported as spent
    Amount spent = 0;
    Amount balance = 0;
    Amount share = 0;   ///< per second
    Amount demand = 0;  ///< per second
};

class QuotaLimiter {
public:
    explicit QuotaLimiter(const QuotaLimiterSettings& settings);

    /// Replaces the budgets. Requests of a partner without a budget are neither rejected nor charged.
    void configure(const std::vector<Budget>& budgets);
    /// The partner's number, which never changes; nothing where it has no budget.
    std::optional<std::uint32_t> find(std::string_view partner) const;

    using Outcome = std::variant<Charge, Rejection>;
    /// Charges one request once: its retries and hedged attempts are not charged again.
    /// `class_index`: the request's class; kNone: the request costs kUnit.
    Outcome charge(TimePoint now, std::uint32_t partner, int class_index);
    /// Refunds the charge of a request that never ran. False: nothing was refunded, since the charge has been
    /// reported as spent, its lease has expired, or it was refunded before.
    bool refund(TimePoint now, Charge charge);

    /// A budget will be exhausted before the next regular request could be completed.
    bool needs_request_early() const { return needs_request_early_.load(std::memory_order_relaxed); }
    /// The request to send to the site's allocator now. `all` false: only the accounts that are about to be
    /// exhausted.
    BorrowRequest next_request(TimePoint now, bool all = true);
    void handle_response(TimePoint now, const BorrowResponse& response);

    PartnerCounters counters(TimePoint now, std::uint32_t partner) const;
    std::vector<std::string> partners() const;

private:
    static constexpr std::size_t kLockStripes = 64;
    /// Report rounds whose charges are kept apart: the upper limit of Timing::refund_window_requests is one
    /// less.
    static constexpr std::size_t kReportRounds = 4;

    /// What is borrowed of one account, with the charges that have not been reported yet.
    struct LimiterAccount {
        BorrowedBudget borrowed;
        /// Charges of the current report round and the ones before it, by round modulo kReportRounds.
        std::array<Amount, kReportRounds> unreported{};
        std::uint64_t report_round = 0;
        int idle = 0;  ///< consecutive requests in which the account was idle
        Amount reported() const {
            Amount sum = borrowed.spent();
            for (Amount a : unreported) sum -= a;
            return sum;
        }
    };
    /// The members that each charge uses come first, so that they share cache lines.
    struct PartnerEntry {
        bool exhausted = false;       ///< an early request is due for it
        bool removed = false;         ///< it has no budget any more
        bool has_floors = false;      ///< of any site
        Amount offered_cost = 0;      ///< of all requests since demand_measured_at
        Amount demand = 0;            ///< per second
        TimePoint last_request_at{};  ///< of a client; the epoch: never
        TimePoint last_reported_at{};
        TimePoint next_retry_at{};  ///< the next free retry time
        TimePoint demand_measured_at{};
        LimiterAccount shared;
        PartnerCounters counters;
        LimiterAccount floor;
        std::vector<Amount> costs;  ///< by class index
        Amount max_cost = kUnit;
        std::uint64_t retry_spread = 0;  ///< position in the sequence that spreads late retry times
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
    std::deque<PartnerEntry> entries_;  ///< by partner number; entries never move
    std::unordered_map<std::string, std::uint32_t, Hash, std::equal_to<>> partner_indexes_;
    struct IndexSlot {
        std::size_t hash = 0;
        std::uint32_t partner_plus_one = 0;  ///< zero: the slot is free
    };
    /// An open-addressing table over entries_, at most half full: `find` reads one cache line where a lookup
    /// in partner_indexes_ reads several.
    std::vector<IndexSlot> index_slots_;
    std::unique_ptr<LockStripe[]> stripes_;
    std::atomic<bool> needs_request_early_{false};
    std::mutex requests_lock_;  ///< guards the members below
    std::uint64_t seq_ = 0;     ///< of the last request
    std::vector<std::uint32_t> exhausted_partners_;
    std::map<std::uint64_t, TimePoint> request_sent_at_;  ///< by seq, of the latest requests
};

}  // namespace ochrehub::quota
