#include "fleet/quota/quota_state_machine.h"

#include <quota.pb.h>

#include <algorithm>

namespace ochrehub::quota {
namespace {

/// Limit of a lease's sums; the difference of two valid sums still fits an Amount.
constexpr Amount kMaxSum = std::int64_t(1) << 62;

void put(const OutstandingLease& lease, wire::Book& to) {
    to.mutable_account()->set_partner(lease.account.partner),
        to.mutable_account()->set_floor(lease.account.floor);
    to.set_child(lease.child), to.set_instance(lease.instance), to.set_lease(lease.lease);
    to.set_granted(lease.granted), to.set_spent(lease.spent), to.set_returned(lease.returned),
        to.set_closed(lease.closed);
}
std::optional<OutstandingLease> get(const wire::Book& from) {
    OutstandingLease lease{{from.account().partner(), from.account().floor()},
                           from.child(),
                           from.instance(),
                           from.lease(),
                           from.granted(),
                           from.spent(),
                           from.returned(),
                           from.closed()};
    auto is_valid = [](Amount a) { return a >= 0 && a <= kMaxSum; };
    if (!is_valid(lease.granted) || !is_valid(lease.spent) || !is_valid(lease.returned) || lease.lease == 0 ||
        lease.granted - lease.spent < lease.returned || lease.account.partner.size() > 64 ||
        lease.child.size() > 256)
        return std::nullopt;
    return lease;
}

template <class Budgets>
void put(const std::vector<Budget>& budgets, Budgets& to) {
    for (const Budget& b : budgets) {
        wire::Budget& budget = *to.add_budgets();
        budget.set_partner(b.partner), budget.set_rate(b.rate), budget.set_burst(b.burst),
            budget.set_bound(b.bound);
        for (const Cost& c : b.costs) {
            wire::Cost& cost = *budget.add_costs();
            cost.set_kind(c.class_name), cost.set_cost(c.cost);
        }
        for (const Floor& f : b.floors) {
            wire::Floor& floor = *budget.add_floors();
            floor.set_site(f.site), floor.set_rate(f.rate), floor.set_burst(f.burst);
        }
        for (const Weight& w : b.weights) {
            wire::Weight& weight = *budget.add_weights();
            weight.set_site(w.site), weight.set_weight(w.weight);
        }
    }
}
template <class Budgets>
std::vector<Budget> get_budgets(const Budgets& from) {
    std::vector<Budget> budgets;
    for (const wire::Budget& b : from.budgets()) {
        Budget& budget =
            budgets.emplace_back(Budget{b.partner(), b.rate(), b.burst(), b.bound(), {}, {}, {}});
        for (const wire::Cost& c : b.costs()) budget.costs.push_back({c.kind(), c.cost()});
        for (const wire::Floor& f : b.floors()) budget.floors.push_back({f.site(), f.rate(), f.burst()});
        for (const wire::Weight& w : b.weights()) budget.weights.push_back({w.site(), w.weight()});
    }
    return budgets;
}

void put(const OperatorOrder& order, wire::Operate& to) {
    to.set_what(wire::Operate::What(int(order.what)));
    to.set_partner(order.partner), to.set_child(order.child), to.set_amount(order.amount);
}
OperatorOrder get(const wire::Operate& from) {
    return {OperatorOrder::What(int(from.what())), from.partner(), from.child(), from.amount()};
}
void put(const NumberedOrder& order, wire::Order& to) {
    to.set_number(order.number);
    put(order.order, *to.mutable_operate());
}

State state_of(const wire::Snapshot& from) {
    State state{from.epoch(),
                from.budgets().version(),
                from.orders(),
                from.owner(),
                from.owner_name(),
                get_budgets(from.budgets()),
                {},
                {},
                {}};
    for (const wire::Book& b : from.books())
        if (auto lease = get(b)) state.leases.push_back(*lease);
    for (const std::string& partner : from.frozen()) state.frozen.push_back(partner);
    for (const wire::Order& o : from.last()) state.recent_orders.push_back({o.number(), get(o.operate())});
    return state;
}

}  // namespace

std::string command_own() {
    wire::Command command;
    command.mutable_own();
    return command.SerializeAsString();
}
std::string command_get() {
    wire::Command command;
    command.mutable_get();
    return command.SerializeAsString();
}
std::string command_record(std::uint64_t epoch, const std::vector<OutstandingLease>& leases) {
    wire::Command command;
    command.mutable_record()->set_epoch(epoch);
    for (const OutstandingLease& lease : leases) put(lease, *command.mutable_record()->add_books());
    return command.SerializeAsString();
}
std::string command_set(std::uint64_t version, const std::vector<Budget>& budgets) {
    wire::Command command;
    command.mutable_set()->set_version(version);
    put(budgets, *command.mutable_set());
    return command.SerializeAsString();
}
std::string command_order(const OperatorOrder& order) {
    wire::Command command;
    put(order, *command.mutable_operate());
    return command.SerializeAsString();
}
std::optional<CommandResponse> decode_command_response(std::string_view bytes) {
    wire::Reply from;
    if (!from.ParseFromArray(bytes.data(), int(bytes.size())) || from.error() > unsigned(Error::Frozen) + 1)
        return std::nullopt;
    CommandResponse response{std::nullopt, from.about(), from.epoch(), from.version(), std::nullopt};
    if (from.error() > 0) response.error = Error(from.error() - 1);
    if (from.has_state()) response.state = state_of(from.state());
    return response;
}
std::optional<SessionUpdate> decode_session_update(std::string_view bytes) {
    wire::News from;
    if (!from.ParseFromArray(bytes.data(), int(bytes.size()))) return std::nullopt;
    SessionUpdate update{from.epoch(), from.version(), from.orders(), from.owner(), {}, {}};
    for (const std::string& partner : from.frozen()) update.frozen.push_back(partner);
    for (const wire::Order& o : from.last()) update.recent_orders.push_back({o.number(), get(o.operate())});
    return update;
}

QuotaStateMachine::QuotaStateMachine(std::vector<std::string> sites, const Timing& timing)
    : sites_(std::move(sites)), timing_(timing) {}

std::string QuotaStateMachine::apply(const coordinator::Command& command) {
    wire::Command from;
    wire::Reply response;
    auto respond = [&](std::optional<Error> error = std::nullopt, std::string about = {}) {
        if (error) response.set_error(unsigned(*error) + 1);
        response.set_about(std::move(about));
        response.set_epoch(epoch_), response.set_version(version_);
        return response.SerializeAsString();
    };
    if (!from.ParseFromArray(command.body.data(), int(command.body.size()))) return respond(Error::Malformed);
    switch (from.what_case()) {
        case wire::Command::kOwn:
            if (command.session == 0 || !sessions_.contains(command.session))
                return respond(Error::NotOwner, "no session");
            if (owner_ != 0 && owner_ != command.session) return respond(Error::NotOwner, sessions_[owner_]);
            if (owner_ != command.session)
                ++epoch_;  // otherwise a retry: the owner missed the first response
            owner_ = command.session;
            response.mutable_state()->ParseFromString(snapshot());
            return respond();
        case wire::Command::kGet:
            response.mutable_state()->ParseFromString(snapshot());
            return respond();
        case wire::Command::kRecord: {
            if (command.session != owner_ || owner_ == 0) return respond(Error::NotOwner);
            if (from.record().epoch() != epoch_) return respond(Error::Stale);
            std::vector<OutstandingLease> leases;
            for (const wire::Book& b : from.record().books()) {
                auto lease = get(b);
                if (!lease) return respond(Error::Malformed, b.child());
                leases.push_back(std::move(*lease));
            }
            for (OutstandingLease& lease : leases) {
                LeaseKey key{lease.account, lease.child, lease.lease};
                if (lease.closed)
                    leases_.erase(key);
                else
                    leases_.insert_or_assign(std::move(key), std::move(lease));
            }
            return respond();
        }
        case wire::Command::kSet: {
            if (from.set().version() != version_)
                return respond(Error::Stale, "version " + std::to_string(version_));
            std::vector<Budget> next = get_budgets(from.set());
            std::vector<Failure> failures = validate(next, sites_, timing_);
            if (failures.empty()) failures = validate_change(budgets_, next);
            if (!failures.empty()) return respond(failures[0].error, failures[0].about);
            budgets_ = std::move(next);
            ++version_;
            return respond();
        }
        case wire::Command::kOperate: {
            OperatorOrder order = get(from.operate());
            if (!wire::Operate::What_IsValid(from.operate().what()) || order.amount < 0 ||
                order.amount > kMaxAmount)
                return respond(Error::Malformed);
            if (std::none_of(budgets_.begin(), budgets_.end(),
                             [&](const Budget& b) { return b.partner == order.partner; }))
                return respond(Error::UnknownPartner, order.partner);
            if (order.what == OperatorOrder::What::Freeze) frozen_.insert(order.partner);
            if (order.what == OperatorOrder::What::Thaw) frozen_.erase(order.partner);
            recent_orders_.push_back({++last_order_, std::move(order)});
            while (recent_orders_.size() > kMaxRecentOrders) recent_orders_.pop_front();
            return respond();
        }
        default:
            return respond(Error::Malformed);
    }
}

std::string QuotaStateMachine::query(std::string_view question) const {
    wire::Command from;
    wire::Reply response;
    response.set_epoch(epoch_), response.set_version(version_);
    if (from.ParseFromArray(question.data(), int(question.size())) && from.has_get())
        response.mutable_state()->ParseFromString(snapshot());
    else
        response.set_error(unsigned(Error::Malformed) + 1);
    return response.SerializeAsString();
}

void QuotaStateMachine::session_opened(coordinator::SessionId session, std::string_view name,
                                       std::string_view) {
    sessions_[session] = name;
}
void QuotaStateMachine::session_ended(coordinator::SessionId session) {
    sessions_.erase(session);
    if (owner_ == session) owner_ = 0;
}

std::string QuotaStateMachine::session_update(coordinator::SessionId session) const {
    wire::News update;
    update.set_epoch(epoch_), update.set_version(version_), update.set_orders(last_order_);
    update.set_owner(session != 0 && session == owner_);
    for (const std::string& partner : frozen_) update.add_frozen(partner);
    if (update.owner())
        for (const NumberedOrder& order : recent_orders_) put(order, *update.add_last());
    return update.SerializeAsString();
}

std::string QuotaStateMachine::snapshot() const {
    wire::Snapshot to;
    to.set_epoch(epoch_), to.set_owner(owner_), to.set_orders(last_order_);
    auto name = sessions_.find(owner_);
    if (name != sessions_.end()) to.set_owner_name(name->second);
    to.mutable_budgets()->set_version(version_);
    put(budgets_, *to.mutable_budgets());
    for (const auto& [key, lease] : leases_) put(lease, *to.add_books());
    for (const std::string& partner : frozen_) to.add_frozen(partner);
    for (const NumberedOrder& order : recent_orders_) put(order, *to.add_last());
    for (const auto& [id, named] : sessions_) {
        wire::Session& session = *to.add_sessions();
        session.set_id(id), session.set_name(named);
    }
    return to.SerializeAsString();
}

bool QuotaStateMachine::restore(std::uint32_t schema, std::string_view bytes) {
    wire::Snapshot from;
    if (schema != 1 || !from.ParseFromArray(bytes.data(), int(bytes.size()))) return false;
    State state = state_of(from);
    if (state.leases.size() != std::size_t(from.books_size())) return false;
    epoch_ = state.epoch, version_ = state.version, last_order_ = state.last_order, owner_ = state.owner;
    sessions_.clear();
    for (const wire::Session& s : from.sessions()) sessions_[s.id()] = s.name();
    budgets_ = std::move(state.budgets);
    leases_.clear();
    for (OutstandingLease& lease : state.leases)
        leases_.insert_or_assign(LeaseKey{lease.account, lease.child, lease.lease}, lease);
    frozen_ = {state.frozen.begin(), state.frozen.end()};
    recent_orders_ = {state.recent_orders.begin(), state.recent_orders.end()};
    return true;
}

}  // namespace ochrehub::quota
