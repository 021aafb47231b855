#include "fleet/quota/quota_state_machine.h"

#include <quota.pb.h>

#include <algorithm>

namespace ochrehub::quota {
namespace {

constexpr Amount kSum = std::int64_t(1) << 62;

void put(const OutstandingLease& book, wire::Book& to) {
    to.mutable_account()->set_partner(book.account.partner),
        to.mutable_account()->set_floor(book.account.floor);
    to.set_child(book.child), to.set_instance(book.instance), to.set_lease(book.lease);
    to.set_granted(book.granted), to.set_spent(book.spent), to.set_returned(book.returned),
        to.set_closed(book.closed);
}
std::optional<OutstandingLease> get(const wire::Book& from) {
    OutstandingLease book{{from.account().partner(), from.account().floor()},
                          from.child(),
                          from.instance(),
                          from.lease(),
                          from.granted(),
                          from.spent(),
                          from.returned(),
                          from.closed()};
    auto sound = [](Amount a) { return a >= 0 && a <= kSum; };
    if (!sound(book.granted) || !sound(book.spent) || !sound(book.returned) || book.lease == 0 ||
        book.granted - book.spent < book.returned || book.account.partner.size() > 64 ||
        book.child.size() > 256)
        return std::nullopt;
    return book;
}

template <class Budgets>
void put(const std::vector<Budget>& budgets, Budgets& to) {
    for (const Budget& b : budgets) {
        wire::Budget& budget = *to.add_budgets();
        budget.set_partner(b.partner), budget.set_rate(b.rate), budget.set_burst(b.burst),
            budget.set_bound(b.bound);
        for (const Cost& c : b.costs) {
            wire::Cost& cost = *budget.add_costs();
            cost.set_kind(c.kind), cost.set_cost(c.cost);
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
        if (auto book = get(b)) state.books.push_back(*book);
    for (const std::string& partner : from.frozen()) state.frozen.push_back(partner);
    for (const wire::Order& o : from.last()) state.last.push_back({o.number(), get(o.operate())});
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
std::string command_record(std::uint64_t epoch, const std::vector<OutstandingLease>& books) {
    wire::Command command;
    command.mutable_record()->set_epoch(epoch);
    for (const OutstandingLease& book : books) put(book, *command.mutable_record()->add_books());
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
std::optional<CommandResponse> decode_command_response(std::string_view octets) {
    wire::Reply from;
    if (!from.ParseFromArray(octets.data(), int(octets.size())) || from.error() > unsigned(Error::Frozen) + 1)
        return std::nullopt;
    CommandResponse reply{std::nullopt, from.about(), from.epoch(), from.version(), std::nullopt};
    if (from.error() > 0) reply.error = Error(from.error() - 1);
    if (from.has_state()) reply.state = state_of(from.state());
    return reply;
}
std::optional<SessionUpdate> decode_session_update(std::string_view octets) {
    wire::News from;
    if (!from.ParseFromArray(octets.data(), int(octets.size()))) return std::nullopt;
    SessionUpdate news{from.epoch(), from.version(), from.orders(), from.owner(), {}, {}};
    for (const std::string& partner : from.frozen()) news.frozen.push_back(partner);
    for (const wire::Order& o : from.last()) news.last.push_back({o.number(), get(o.operate())});
    return news;
}

QuotaStateMachine::QuotaStateMachine(std::vector<std::string> sites, const Timing& timing)
    : sites_(std::move(sites)), timing_(timing) {}

std::string QuotaStateMachine::apply(const coordinator::Command& command) {
    wire::Command from;
    wire::Reply reply;
    auto answer = [&](std::optional<Error> error = std::nullopt, std::string about = {}) {
        if (error) reply.set_error(unsigned(*error) + 1);
        reply.set_about(std::move(about));
        reply.set_epoch(epoch_), reply.set_version(version_);
        return reply.SerializeAsString();
    };
    if (!from.ParseFromArray(command.body.data(), int(command.body.size()))) return answer(Error::Malformed);
    switch (from.what_case()) {
        case wire::Command::kOwn:
            if (command.session == 0 || !sessions_.contains(command.session))
                return answer(Error::NotOwner, "no session");
            if (owner_ != 0 && owner_ != command.session) return answer(Error::NotOwner, sessions_[owner_]);
            if (owner_ != command.session) ++epoch_;  // else it asks again, not having heard
            owner_ = command.session;
            reply.mutable_state()->ParseFromString(snapshot());
            return answer();
        case wire::Command::kGet:
            reply.mutable_state()->ParseFromString(snapshot());
            return answer();
        case wire::Command::kRecord: {
            if (command.session != owner_ || owner_ == 0) return answer(Error::NotOwner);
            if (from.record().epoch() != epoch_) return answer(Error::Stale);
            std::vector<OutstandingLease> books;
            for (const wire::Book& b : from.record().books()) {
                auto book = get(b);
                if (!book) return answer(Error::Malformed, b.child());
                books.push_back(std::move(*book));
            }
            for (OutstandingLease& book : books) {
                Key key{book.account, book.child, book.lease};
                if (book.closed)
                    books_.erase(key);
                else
                    books_.insert_or_assign(std::move(key), std::move(book));
            }
            return answer();
        }
        case wire::Command::kSet: {
            if (from.set().version() != version_)
                return answer(Error::Stale, "version " + std::to_string(version_));
            std::vector<Budget> next = get_budgets(from.set());
            std::vector<Failure> wrong = validate(next, sites_, timing_);
            if (wrong.empty()) wrong = validate_change(budgets_, next);
            if (!wrong.empty()) return answer(wrong[0].error, wrong[0].about);
            budgets_ = std::move(next);
            ++version_;
            return answer();
        }
        case wire::Command::kOperate: {
            OperatorOrder order = get(from.operate());
            if (!wire::Operate::What_IsValid(from.operate().what()) || order.amount < 0 ||
                order.amount > kMaxAmount)
                return answer(Error::Malformed);
            if (std::none_of(budgets_.begin(), budgets_.end(),
                             [&](const Budget& b) { return b.partner == order.partner; }))
                return answer(Error::UnknownPartner, order.partner);
            if (order.what == OperatorOrder::What::Freeze) frozen_.insert(order.partner);
            if (order.what == OperatorOrder::What::Thaw) frozen_.erase(order.partner);
            last_.push_back({++orders_, std::move(order)});
            while (last_.size() > kOrders) last_.pop_front();
            return answer();
        }
        default:
            return answer(Error::Malformed);
    }
}

std::string QuotaStateMachine::query(std::string_view question) const {
    wire::Command from;
    wire::Reply reply;
    reply.set_epoch(epoch_), reply.set_version(version_);
    if (from.ParseFromArray(question.data(), int(question.size())) && from.has_get())
        reply.mutable_state()->ParseFromString(snapshot());
    else
        reply.set_error(unsigned(Error::Malformed) + 1);
    return reply.SerializeAsString();
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
    wire::News news;
    news.set_epoch(epoch_), news.set_version(version_), news.set_orders(orders_);
    news.set_owner(session != 0 && session == owner_);
    for (const std::string& partner : frozen_) news.add_frozen(partner);
    if (news.owner())
        for (const NumberedOrder& order : last_) put(order, *news.add_last());
    return news.SerializeAsString();
}

std::string QuotaStateMachine::snapshot() const {
    wire::Snapshot to;
    to.set_epoch(epoch_), to.set_owner(owner_), to.set_orders(orders_);
    auto name = sessions_.find(owner_);
    if (name != sessions_.end()) to.set_owner_name(name->second);
    to.mutable_budgets()->set_version(version_);
    put(budgets_, *to.mutable_budgets());
    for (const auto& [key, book] : books_) put(book, *to.add_books());
    for (const std::string& partner : frozen_) to.add_frozen(partner);
    for (const NumberedOrder& order : last_) put(order, *to.add_last());
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
    if (state.books.size() != std::size_t(from.books_size())) return false;
    epoch_ = state.epoch, version_ = state.version, orders_ = state.orders, owner_ = state.owner;
    sessions_.clear();
    for (const wire::Session& s : from.sessions()) sessions_[s.id()] = s.name();
    budgets_ = std::move(state.budgets);
    books_.clear();
    for (OutstandingLease& book : state.books)
        books_.insert_or_assign(Key{book.account, book.child, book.lease}, book);
    frozen_ = {state.frozen.begin(), state.frozen.end()};
    last_ = {state.last.begin(), state.last.end()};
    return true;
}

}  // namespace ochrehub::quota
