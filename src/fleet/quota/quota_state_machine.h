// The replicated state of a quota allocator: the versioned budgets, which session owns the allocator (under
// an epoch), its outstanding leases, and the operators' orders. A site's coordinators hold one for the site's
// floors, the federation's coordinators one for everything else. It has no clock: leases expire by the
// owner's clock, and the owner reports that in RecordLeases.
//
// A record under an older epoch is rejected: an owner that was paused and resumes after another has taken
// over can record nothing any more, and so sends no response that lends.
//
// Threads: as for every coordinator::StateMachine, the coordinator's alone.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/quota/quota_allocator.h"

namespace ochrehub::quota {

// Encoded commands, for clients to propose.
std::string command_own();
std::string command_get();
std::string command_record(std::uint64_t epoch, const std::vector<OutstandingLease>& leases);
std::string command_set(std::uint64_t version, const std::vector<Budget>& budgets);
std::string command_order(const OperatorOrder& order);

struct NumberedOrder {
    std::uint64_t number = 0;  ///< increases with each order
    OperatorOrder order;
};
/// Everything that a state machine holds.
struct State {
    std::uint64_t epoch = 0;           ///< increases with each new owner
    std::uint64_t version = 0;         ///< of the budgets
    std::uint64_t last_order = 0;      ///< number of the last order
    coordinator::SessionId owner = 0;  ///< zero: none
    std::string owner_name;            ///< empty: no owner
    std::vector<Budget> budgets;
    std::vector<OutstandingLease> leases;
    std::vector<std::string> frozen;           ///< partners
    std::vector<NumberedOrder> recent_orders;  ///< oldest first
};
struct CommandResponse {
    std::optional<Error> error;
    std::string about;  ///< what the error is about
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::optional<State> state;  ///< to command_own and command_get
};
/// Empty where the bytes cannot be parsed.
std::optional<CommandResponse> decode_command_response(std::string_view bytes);
/// What a session is sent after each change.
struct SessionUpdate {
    std::uint64_t epoch = 0;
    std::uint64_t version = 0;
    std::uint64_t last_order = 0;
    bool owner = false;  ///< this session owns the allocator
    std::vector<std::string> frozen;
    std::vector<NumberedOrder> recent_orders;  ///< for the owner only
};
/// Empty where the bytes cannot be parsed.
std::optional<SessionUpdate> decode_session_update(std::string_view bytes);

class QuotaStateMachine : public coordinator::StateMachine {
public:
    /// `sites`: the names that floors may use; empty: any. `timing`: what budgets are validated against.
    explicit QuotaStateMachine(std::vector<std::string> sites = {}, const Timing& timing = {});

    std::string_view kind() const override { return "quota"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    /// Completes command_get.
    std::string query(std::string_view question) const override;
    void session_opened(coordinator::SessionId session, std::string_view name,
                        std::string_view zone) override;
    void session_ended(coordinator::SessionId session) override;
    /// An encoded SessionUpdate.
    std::string session_update(coordinator::SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    std::size_t lease_count() const { return leases_.size(); }

private:
    using LeaseKey = std::tuple<Account, std::string, std::uint64_t>;  ///< account, child, lease
    static constexpr std::size_t kMaxRecentOrders = 64;

    std::vector<std::string> sites_;
    Timing timing_;
    std::uint64_t epoch_ = 0;
    std::uint64_t version_ = 0;                               ///< of the budgets
    std::uint64_t last_order_ = 0;                            ///< number of the last order
    coordinator::SessionId owner_ = 0;                        ///< zero: none
    std::map<coordinator::SessionId, std::string> sessions_;  ///< their names
    std::vector<Budget> budgets_;
    std::map<LeaseKey, OutstandingLease> leases_;
    std::set<std::string> frozen_;  ///< partners
    std::deque<NumberedOrder> recent_orders_;
};

}  // namespace ochrehub::quota
