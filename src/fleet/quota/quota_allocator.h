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
    BorrowRequest ask;
};
struct ResponseReceived {
    BorrowResponse answer;
};
struct LeasesRecorded {  ///< all Records up to this one last
    std::uint64_t number = 0;
};
/// This process owns the lender until then, by its own clock, or for longer by a later one. `books`, the
/// first time: what the owners before it have recorded. Without them and with `fresh` false it waits out the
/// longest lease before it lends.
struct OwnershipConfirmed {
    TimePoint until;
    std::optional<std::vector<OutstandingLease>> books;
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
    BorrowRequest ask;
};
struct SendResponse {
    std::string child;
    BorrowResponse answer;
};
struct RecordLeases {
    std::uint64_t number = 0;
    std::vector<OutstandingLease> books;
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
    Amount rate = 0, cap = 0, here = 0, lent = 0, lost = 0;
    struct Child {
        std::string name;
        Amount lent = 0, demand = 0, believed = 0, share = 0, spent = 0;
    };
    std::vector<Child> children;
};

class QuotaAllocator {
public:
    explicit QuotaAllocator(const QuotaAllocatorSettings& settings);

    void handle(TimePoint now, const QuotaAllocatorEvent& event, QuotaAllocatorActions& actions);

    std::vector<QuotaAllocatorStatus> show(TimePoint now, std::string_view partner) const;
    bool owns(TimePoint now) const { return now < owned_until_; }
    std::uint64_t refused() const { return refused_; }  ///< lines that said what cannot be

private:
    struct Child {
        std::uint64_t instance = 0, seq = 0, lease = 0;
        Amount granted = 0, spent = 0, returned = 0;
        TimePoint ends{}, asked{};
        Amount demand = 0, used = 0, believed = 0, share = 0, credit = 0, credit_carry = 0;
        std::uint32_t weight = 1;
        bool recalled = false;
        Amount lent() const { return granted - spent - returned; }
    };
    struct Lost {
        std::string child;
        std::uint64_t instance = 0, lease = 0;
        Amount amount = 0;
        TimePoint ends{};
    };
    struct Given {
        std::uint64_t instance = 0;
        Amount seen = 0;
    };
    struct Tree {
        bool root = false, frozen = false, recalling = false;
        Amount rate = 0, cap = 0;  // of a root
        Amount dearest = kUnit, cheapest = kUnit;
        Amount here = 0;  // of a root, unlent
        Amount carry = 0;
        std::int64_t minted = 0;  // up to then, microseconds
        BorrowedBudget pot;       // else
        Amount given = 0;         // of this floor to the federation, ever
        std::map<std::string, Child> children;
        std::vector<Lost> lost;
        std::map<std::string, Given> gifts;
        std::map<std::string, std::uint32_t> weights;
        TimePoint shared{};
        Amount lent_sum = 0, lost_sum = 0;
    };

    void on(TimePoint now, const TimerFired&, QuotaAllocatorActions& actions);
    void on(TimePoint now, const RequestReceived& asked, QuotaAllocatorActions& actions);
    void on(TimePoint now, const ResponseReceived& answered, QuotaAllocatorActions& actions);
    void on(TimePoint now, const LeasesRecorded& recorded, QuotaAllocatorActions& actions);
    void on(TimePoint now, const OwnershipConfirmed& owned, QuotaAllocatorActions& actions);
    void on(TimePoint now, const OwnershipLost&, QuotaAllocatorActions& actions);
    void on(TimePoint now, const BudgetsConfigured& configured, QuotaAllocatorActions& actions);
    void on(TimePoint now, const OperatorOrder& ordered, QuotaAllocatorActions& actions);

    void shape(Tree& tree, TimePoint now, bool root, Amount rate, Amount cap, const Budget& budget);
    void tick(TimePoint now, const Account& account, Tree& tree);
    void mint(TimePoint now, Tree& tree);
    Amount here(TimePoint now, const Tree& tree) const;
    void bring(Tree& tree, Amount amount);
    void lose(const Account& account, Tree& tree, const std::string& name, Child& child);
    void forget(const Account& account, Tree& tree, const std::string& name, std::uint64_t instance,
                std::uint64_t lease);
    bool heard(Tree& tree, Child& child, const BorrowRequestLine& line, TimePoint now);
    void share_out(TimePoint now, Tree& tree);
    void lend(TimePoint now, const Account& account, Tree& tree, const std::string& name, Child& child);
    Amount wanted(const Tree& tree, const Child& child) const;
    Duration cover() const { return set_.timing.cover * set_.levels; }
    void note(const Account& account, const std::string& name, const Child& child);
    void ask_up(TimePoint now, QuotaAllocatorActions& actions);
    void flush(QuotaAllocatorActions& actions);
    bool durable(const Tree& tree) const { return tree.root; }

    QuotaAllocatorSettings set_;
    std::map<Account, Tree> trees_;
    TimePoint owned_until_{}, waits_until_{}, asks_at_{};
    bool owned_ = false;  // since when it last was not
    std::uint64_t leases_ = 0, seq_ = 0, refused_ = 0;
    std::map<std::uint64_t, TimePoint> asked_;  // the asks that may yet be answered
    TimePoint answered_{};
    std::map<std::pair<Account, std::string>, OutstandingLease> to_record_;
    std::vector<OutstandingLease> closed_;
    std::uint64_t recorded_ = 0, recording_ = 0;
    struct Waiting {
        std::uint64_t behind = 0;
        SendResponse reply;
    };
    std::vector<Waiting> waiting_;
};

}  // namespace ochrehub::quota
