// One level of the tree that a budget is lent down: federation, site. A core without I/O. For each account it
// mints (as root) or borrows (of whoever is above), and lends amounts on to children, each under a lease with
// an end.
//
// What it holds to: for each account, what is here unspent and what is lent and neither told as spent nor
// given back is together never more than the cap (as root) or what was granted (else). What was lent to one
// that is lost stays lent until its lease is over by this clock; then it counts as spent. So in any window
// all that is let in is at most what was unspent at its beginning (the cap) and what was minted in it.
// docs/design/quota.md has the proof.
//
// A root's leases are written down (RecordLeases) before they are answered, and whoever takes over goes on
// with them (OwnershipConfirmed): nobody is lent again what is lent already. One that borrows writes nothing:
// restarted, it is another borrower, and whoever is above waits out the lease of the old one.
//
// Threads: one. Nothing is drawn, and no clock is read; the same events give the same actions.
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
    std::string site;  ///< whose floors are minted here; empty: the federation's, whose root all else has
    std::uint64_t instance = 0;  ///< drawn at each start, never zero
    int levels = 1;              ///< that lie below: 1 a site with nodes, 2 a federation of sites
    Timing timing;
};

/// A lease that is open, as it lasts.
struct OutstandingLease {
    Account account;
    std::string child;
    std::uint64_t instance = 0, lease = 0;
    Amount granted = 0, spent = 0, returned = 0;
    bool closed = false;  ///< in a RecordLeases: it is over
    friend bool operator==(const OutstandingLease&, const OutstandingLease&) = default;
};

// ---- What happens
struct TimerFired {};
struct RequestReceived {
    std::string child;  ///< as the channel knows it
    BorrowRequest request;
};
struct ResponseReceived {
    BorrowResponse response;
};
struct LeasesRecorded {  ///< all Records up to this one last
    std::uint64_t number = 0;
};
/// This process owns the lender until then, by its own clock, or for longer by a later one. `books`, the
/// first time: what the owners before it have recorded. Without them and with `fresh` false it waits out the
/// longest lease before it lends.
struct OwnershipConfirmed {
    TimePoint until;
    std::optional<std::vector<OutstandingLease>> leases;
    bool fresh = false;  ///< nobody has ever lent anything
};
struct OwnershipLost {};
struct BudgetsConfigured {
    std::vector<Budget> budgets;
};
/// By operators. Recall: of one child, or of all. Lend: so much to one child, as soon as it is there.
struct OperatorOrder {
    enum class What { Freeze, Thaw, Recall, Lend };
    What what{};
    std::string partner, child;
    Amount amount = 0;
};
using QuotaAllocatorEvent = std::variant<TimerFired, RequestReceived, ResponseReceived, LeasesRecorded,
                                         OwnershipConfirmed, OwnershipLost, BudgetsConfigured, OperatorOrder>;

// ---- What is to be done about it
struct SendRequest {
    BorrowRequest request;
};
struct SendResponse {
    std::string child;
    BorrowResponse response;
};
struct RecordLeases {
    std::uint64_t number = 0;
    std::vector<OutstandingLease> leases;
};
struct SetTimer {
    TimePoint at;
};
using QuotaAllocatorAction = std::variant<SendRequest, SendResponse, RecordLeases, SetTimer>;
using QuotaAllocatorActions = std::vector<QuotaAllocatorAction>;

struct QuotaAllocatorStatus {
    Account account;
    bool root = false, frozen = false;
    bool in_force = true;  ///< a budget that has shrunk is, once what was lent of the larger one is back
    Amount rate = 0, cap = 0, available = 0, lent = 0, lost = 0;
    struct Child {
        std::string name;
        Amount lent = 0, demand = 0, accepted_demand = 0, share = 0, spent = 0;
    };
    std::vector<Child> children;
};

class QuotaAllocator {
public:
    explicit QuotaAllocator(const QuotaAllocatorSettings& settings);

    void handle(TimePoint now, const QuotaAllocatorEvent& event, QuotaAllocatorActions& actions);

    std::vector<QuotaAllocatorStatus> status(TimePoint now, std::string_view partner) const;
    bool is_owner(TimePoint now) const { return now < ownership_until_; }
    std::uint64_t rejected_lines() const { return rejected_lines_; }  ///< lines that said what cannot be

private:
    struct Child {
        std::uint64_t instance = 0, seq = 0, lease = 0;
        Amount granted = 0, spent = 0, returned = 0;
        TimePoint expires_at{}, last_request_at{};
        Amount demand = 0, observed_rate = 0, accepted_demand = 0, share = 0, credit = 0,
               credit_remainder = 0;
        std::uint32_t weight = 1;
        bool recalled = false;
        Amount lent() const { return granted - spent - returned; }
    };
    struct LostLease {
        std::string child;
        std::uint64_t instance = 0, lease = 0;
        Amount amount = 0;
        TimePoint expires_at{};
    };
    struct DonorProgress {
        std::uint64_t instance = 0;
        Amount donated_seen = 0;
    };
    struct AccountState {
        bool root = false, frozen = false, recalling = false;
        Amount rate = 0, cap = 0;  // of a root
        Amount max_cost = kUnit, min_cost = kUnit;
        Amount available = 0;  // of a root, unlent
        Amount remainder = 0;
        std::int64_t minted_until_us = 0;  // up to then, microseconds
        BorrowedBudget borrowed;           // else
        Amount donated_total = 0;          // of this floor to the federation, ever
        std::map<std::string, Child> children;
        std::vector<LostLease> lost_leases;
        std::map<std::string, DonorProgress> donors;
        std::map<std::string, std::uint32_t> weights;
        TimePoint shares_updated_at{};
        Amount total_lent = 0, total_lost = 0;
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
    TimePoint ownership_until_{}, no_lending_until_{}, next_request_at_{};
    bool ownership_confirmed_ = false;  // since when it last was not
    std::uint64_t last_lease_ = 0, seq_ = 0, rejected_lines_ = 0;
    std::map<std::uint64_t, TimePoint> request_sent_at_;  // the asks that may yet be answered
    TimePoint last_response_at_{};
    std::map<std::pair<Account, std::string>, OutstandingLease> to_record_;
    std::vector<OutstandingLease> closed_leases_;
    std::uint64_t last_recorded_ = 0, last_record_sent_ = 0;
    struct PendingResponse {
        std::uint64_t after_record = 0;
        SendResponse send;
    };
    std::vector<PendingResponse> pending_responses_;
};

}  // namespace ochrehub::quota
