// One level of the tree in which a budget is lent: the federation, or a site. A core without I/O. For each
// account it mints amounts (as the root) or borrows them (from its parent), and lends amounts to its
// children, each under a lease that expires.
//
// Invariant: for each account, the sum of what is unspent here and of what is lent and neither reported as
// spent nor returned never exceeds the cap (as the root) or what was granted (otherwise). What was lent to a
// child that is lost stays lent until its lease has expired by this clock; then it counts as spent. So in any
// window everything that is admitted is at most what was unspent at its beginning (the cap) plus what was
// minted in it. docs/design/quota.md has the proof.
//
// A root's leases are recorded (RecordLeases) before it responds, and the next owner resumes them
// (OwnershipConfirmed): what is already lent is not lent again. An allocator that borrows records nothing:
// after a restart it is a new borrower, and its parent waits until the lease of the old one has expired.
//
// Deterministic: no randomness, and no clock is read; the same events give the same actions. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fleet/quota/borrowed_budget.h"

namespace ochrehub::quota {

struct QuotaAllocatorSettings {
    /// The site whose floors are minted here. Empty: the federation's allocator, the root of all other
    /// accounts.
    std::string site;
    std::uint64_t instance = 0;  ///< random at each start, never zero
    int levels = 1;              ///< below this one: 1 for a site with nodes, 2 for a federation of sites
    Timing timing;
};

/// A lease that has not ended, as the state machine stores it.
struct OutstandingLease {
    Account account;
    std::string child;
    std::uint64_t instance = 0;  ///< of the child
    std::uint64_t lease = 0;
    Amount granted = 0;
    Amount spent = 0;
    Amount returned = 0;
    bool closed = false;  ///< in RecordLeases: the lease has ended and is to be erased
    friend bool operator==(const OutstandingLease&, const OutstandingLease&) = default;
};

// Events

/// The time of the last SetTimer was reached.
struct TimerFired {};
struct RequestReceived {
    std::string child;  ///< its name, as the channel authenticated it
    BorrowRequest request;
};
struct ResponseReceived {
    BorrowResponse response;
};
/// Every RecordLeases up to this number is durable.
struct LeasesRecorded {
    std::uint64_t number = 0;
};
/// This process owns the allocator until this time, by its own clock; a later event extends the time.
struct OwnershipConfirmed {
    TimePoint until;
    /// In the first event: what the previous owners recorded. Without it, and with `fresh` false, the
    /// allocator waits for the longest lease to expire before it lends.
    std::optional<std::vector<OutstandingLease>> leases;
    bool fresh = false;  ///< nothing has ever been lent
};
struct OwnershipLost {};
struct BudgetsConfigured {
    std::vector<Budget> budgets;
};
/// An operator's order.
struct OperatorOrder {
    /// Recall: from one child, or from all. Lend: an amount to one child, as soon as it is available.
    enum class What { Freeze, Thaw, Recall, Lend };
    What what{};
    std::string partner;
    std::string child;  ///< empty: all children
    Amount amount = 0;  ///< to lend
};
using QuotaAllocatorEvent = std::variant<TimerFired, RequestReceived, ResponseReceived, LeasesRecorded,
                                         OwnershipConfirmed, OwnershipLost, BudgetsConfigured, OperatorOrder>;

// Actions

/// Send to the parent.
struct SendRequest {
    BorrowRequest request;
};
struct SendResponse {
    std::string child;
    BorrowResponse response;
};
/// Write to the state machine, then LeasesRecorded.
struct RecordLeases {
    std::uint64_t number = 0;
    std::vector<OutstandingLease> leases;
};
/// Replaces the previous timer.
struct SetTimer {
    TimePoint at;
};
using QuotaAllocatorAction = std::variant<SendRequest, SendResponse, RecordLeases, SetTimer>;
using QuotaAllocatorActions = std::vector<QuotaAllocatorAction>;

/// One account, for operators and tests.
struct QuotaAllocatorStatus {
    Account account;
    bool root = false;
    bool frozen = false;
    /// False: the budget was reduced, and what was lent of the larger one has not all come back.
    bool in_force = true;
    Amount rate = 0;  ///< per second
    Amount cap = 0;
    Amount available = 0;
    Amount lent = 0;
    Amount lost = 0;  ///< lent to children that are lost, until their leases expire
    struct Child {
        std::string name;
        Amount lent = 0;
        Amount demand = 0;           ///< per second, as the child reports it
        Amount accepted_demand = 0;  ///< per second
        Amount share = 0;            ///< per second
        Amount spent = 0;
    };
    std::vector<Child> children;
};

class QuotaAllocator {
public:
    explicit QuotaAllocator(const QuotaAllocatorSettings& settings);

    void handle(TimePoint now, const QuotaAllocatorEvent& event, QuotaAllocatorActions& actions);

    /// The accounts of this partner; empty: of all partners.
    std::vector<QuotaAllocatorStatus> status(TimePoint now, std::string_view partner) const;
    bool is_owner(TimePoint now) const { return now < ownership_until_; }
    /// Request lines that were rejected because their sums are impossible.
    std::uint64_t rejected_lines() const { return rejected_lines_; }

private:
    struct Child {
        std::uint64_t instance = 0;
        std::uint64_t seq = 0;    ///< of its last request
        std::uint64_t lease = 0;  ///< zero: none
        Amount granted = 0;
        Amount spent = 0;
        Amount returned = 0;
        TimePoint expires_at{};
        TimePoint last_request_at{};
        Amount demand = 0;            ///< per second, as the child reports it
        Amount observed_rate = 0;     ///< per second: a decaying maximum of what it spends
        Amount accepted_demand = 0;   ///< per second: the part of `demand` that shares are based on
        Amount share = 0;             ///< per second
        Amount credit = 0;            ///< what its share has accrued and it has not yet borrowed
        Amount credit_remainder = 0;  ///< rounded off from `credit`
        std::uint32_t weight = 1;
        bool recalled = false;
        Amount lent() const { return granted - spent - returned; }
    };
    struct LostLease {
        std::string child;
        std::uint64_t instance = 0;
        std::uint64_t lease = 0;
        Amount amount = 0;
        TimePoint expires_at{};
    };
    /// What a child has passed on from its floor.
    struct DonorProgress {
        std::uint64_t instance = 0;
        Amount donated_seen = 0;  ///< the sum of this instance that has been added here
    };
    struct AccountState {
        bool root = false;
        bool frozen = false;
        bool recalling = false;  ///< more is lent than a reduced budget allows
        Amount rate = 0;         ///< per second; of a root
        Amount cap = 0;          ///< of a root
        Amount max_cost = kUnit;
        Amount min_cost = kUnit;
        Amount available = 0;              ///< of a root: what is not lent
        Amount remainder = 0;              ///< rounded off in minting
        std::int64_t minted_until_us = 0;  ///< of a root
        BorrowedBudget borrowed;           ///< of an account that is not a root
        Amount donated_total = 0;          ///< passed from this floor to the federation since the start
        std::map<std::string, Child> children;
        std::vector<LostLease> lost_leases;
        std::map<std::string, DonorProgress> donors;
        std::map<std::string, std::uint32_t> weights;
        TimePoint shares_updated_at{};
        Amount total_lent = 0;
        Amount total_lost = 0;
    };

    void on(TimePoint now, const TimerFired&, QuotaAllocatorActions& actions);
    void on(TimePoint now, const RequestReceived& received, QuotaAllocatorActions& actions);
    void on(TimePoint now, const ResponseReceived& received, QuotaAllocatorActions& actions);
    void on(TimePoint now, const LeasesRecorded& recorded, QuotaAllocatorActions& actions);
    void on(TimePoint now, const OwnershipConfirmed& owned, QuotaAllocatorActions& actions);
    void on(TimePoint now, const OwnershipLost&, QuotaAllocatorActions& actions);
    void on(TimePoint now, const BudgetsConfigured& configured, QuotaAllocatorActions& actions);
    void on(TimePoint now, const OperatorOrder& order, QuotaAllocatorActions& actions);

    void configure_account(AccountState& state, TimePoint now, bool root, Amount rate, Amount cap,
                           const Budget& budget);
    void expire_leases(TimePoint now, const Account& account, AccountState& state);
    void mint(TimePoint now, AccountState& state);
    Amount available(TimePoint now, const AccountState& state) const;
    void add_returned(AccountState& state, Amount amount);
    void mark_lost(const Account& account, AccountState& state, const std::string& name, Child& child);
    void close_lease(const Account& account, AccountState& state, const std::string& name,
                     std::uint64_t instance, std::uint64_t lease);
    bool apply_report(AccountState& state, Child& child, const BorrowRequestLine& line, TimePoint now);
    void update_shares(TimePoint now, AccountState& state);
    void lend(TimePoint now, const Account& account, AccountState& state, const std::string& name,
              Child& child);
    Amount shortfall(const AccountState& state, const Child& child) const;
    Duration holding_time() const { return settings_.timing.holding_time * settings_.levels; }
    void queue_record(const Account& account, const std::string& name, const Child& child);
    void request_from_parent(TimePoint now, QuotaAllocatorActions& actions);
    void flush(QuotaAllocatorActions& actions);
    bool is_durable(const AccountState& state) const { return state.root; }

    QuotaAllocatorSettings settings_;
    std::map<Account, AccountState> accounts_;
    TimePoint ownership_until_{};
    TimePoint no_lending_until_{};  ///< leases of an unknown previous owner may last until then
    TimePoint next_request_at_{};
    bool ownership_confirmed_ = false;  ///< since ownership was last lost
    std::uint64_t last_lease_ = 0;      ///< how many leases this instance has granted
    std::uint64_t seq_ = 0;             ///< of the last request to the parent
    std::uint64_t rejected_lines_ = 0;
    std::map<std::uint64_t, TimePoint> request_sent_at_;  ///< by seq, of the latest requests
    TimePoint last_response_at_{};
    std::map<std::pair<Account, std::string>, OutstandingLease> to_record_;
    std::vector<OutstandingLease> closed_leases_;
    std::uint64_t last_recorded_ = 0;     ///< the last RecordLeases that is durable
    std::uint64_t last_record_sent_ = 0;  ///< the last RecordLeases
    /// A response that is held back until the leases it grants are durable.
    struct PendingResponse {
        std::uint64_t after_record = 0;  ///< RecordLeases::number
        SendResponse send;
    };
    std::vector<PendingResponse> pending_responses_;
};

}  // namespace ochrehub::quota
