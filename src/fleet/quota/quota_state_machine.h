// What the keepers keep of a lender: budgets with a version, whose the lender is (with an epoch), the leases
// that are open, and what operators said. A site's keepers have one of these for the site's floors, the
// federation's for all else. It knows no time: leases end by the owner's clock, which says so in a
// RecordLeases.
//
// A RecordLeases under an older epoch is refused: an owner that was stopped, and goes on when another has
// taken over, can write nothing down any more, and so answers nothing that lends.
//
// Threads: as every machine, the keeper's alone.
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

/// Commands, for whoever proposes them.
std::string command_own();
std::string command_get();
std::string command_record(std::uint64_t epoch, const std::vector<OutstandingLease>& leases);
std::string command_set(std::uint64_t version, const std::vector<Budget>& budgets);
std::string command_order(const OperatorOrder& order);

struct NumberedOrder {
    std::uint64_t number = 0;  ///< rises for ever
    OperatorOrder order;
};
/// All that a machine holds.
struct State {
    std::uint64_t epoch = 0, version = 0, last_order = 0;
    coordinator::SessionId owner = 0;
    std::string owner_name;
    std::vector<Budget> budgets;
    std::vector<OutstandingLease> leases;
    std::vector<std::string> frozen;
    std::vector<NumberedOrder> recent_orders;
};
struct CommandResponse {
    std::optional<Error> error;
    std::string about;  ///< of the error
    std::uint64_t epoch = 0, version = 0;
    std::optional<State> state;  ///< to command_own and command_get
};
std::optional<CommandResponse> decode_command_response(std::string_view bytes);
struct SessionUpdate {
    std::uint64_t epoch = 0, version = 0, last_order = 0;
    bool owner = false;  ///< the session that is told
    std::vector<std::string> frozen;
    std::vector<NumberedOrder> recent_orders;
};
std::optional<SessionUpdate> decode_session_update(std::string_view bytes);

class QuotaStateMachine : public coordinator::StateMachine {
public:
    /// `sites`: what floors may name, none: any; `timing`: what budgets are checked against.
    explicit QuotaStateMachine(std::vector<std::string> sites = {}, const Timing& timing = {});

    std::string_view kind() const override { return "quota"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    /// To command_get.
    std::string query(std::string_view question) const override;
    void session_opened(coordinator::SessionId session, std::string_view name,
                        std::string_view zone) override;
    void session_ended(coordinator::SessionId session) override;
    std::string session_update(coordinator::SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    std::size_t lease_count() const { return leases_.size(); }

private:
    using LeaseKey = std::tuple<Account, std::string, std::uint64_t>;  // account, child, lease
    static constexpr std::size_t kMaxRecentOrders = 64;

    std::vector<std::string> sites_;
    Timing timing_;
    std::uint64_t epoch_ = 0, version_ = 0, last_order_ = 0;
    coordinator::SessionId owner_ = 0;
    std::map<coordinator::SessionId, std::string> sessions_;
    std::vector<Budget> budgets_;
    std::map<LeaseKey, OutstandingLease> leases_;
    std::set<std::string> frozen_;
    std::deque<NumberedOrder> recent_orders_;
};

}  // namespace ochrehub::quota
