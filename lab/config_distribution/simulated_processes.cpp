#include "lab/config_distribution/simulated_processes.h"

#include <coordinator.pb.h>

#include <algorithm>

#include "fleet/config_distribution/document_file.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {
namespace {

constexpr Duration kDecisionInterval{100};  // between two recorded decisions without other events
constexpr Duration kMaxPostDelay{20};       // maximum delay of a function posted to a node's event loop

std::string address(std::size_t coordinator_index) {
    return std::string("k").append(std::to_string(coordinator_index));
}

std::string tagged(char tag, const std::string& body) {
    return std::string(1, tag).append(body);
}
/// The request as changed by the mutant ShorterServerLease.
std::string shortened(const std::string& body, ConfigMutant mutant) {
    coordinator::wire::Request ask;
    if (mutant != ConfigMutant::ShorterServerLease || !ask.ParseFromString(body) || !ask.has_open())
        return body;
    ask.mutable_open()->set_lease_ms(ask.open().lease_ms() / 2);
    return ask.SerializeAsString();
}

}  // namespace

std::string local_check(const config_distribution::Content& content, const std::string& zone) {
    std::string text = config_distribution::to_text(content);
    if (text.find("bad-all") != text.npos) return "bad for all";
    if (zone == "b" && text.find("bad-b") != text.npos) return "bad in b";
    return {};
}

// Coordinators

CoordinatorProcess::CoordinatorProcess(Wire& net, std::size_t self, std::size_t coordinators,
                                       ConfigMutant mutant, std::uint64_t seed)
    : net_(net), self_(self), mutant_(mutant), seed_(seed) {
    for (std::size_t i = 0; i < coordinators; ++i)
        disk_.initial_members.push_back({raft::NodeId(i + 1), true, address(i)});
}

void CoordinatorProcess::start() {
    raft::Settings settings;
    settings.self = raft::NodeId(self_ + 1);
    raft_ = std::make_unique<raft::Raft>(settings, disk_, seed_ * 1000 + ++starts_);
    coordinator::ReplicaSettings replica;
    replica.self = settings.self;
    replica.snapshot_entries = 150;
    replica_ = std::make_unique<coordinator::Replica>(
        replica, state_machine_factory(mutant_),
        [this](TimePoint now, const raft::Event& event, raft::Actions& actions) {
            raft_->handle(now, event, actions);
        },
        disk_);
    last_ = net_.own(self_);
    handle(last_, coordinator::TimerFired{});
}

void CoordinatorProcess::timer_fired(TimePoint own) {
    if (replica_) handle(std::max(own, timer_), coordinator::TimerFired{});
}

void CoordinatorProcess::received(TimePoint own, std::size_t from, const std::string& message) {
    if (!replica_) return;
    if (message[0] == 'a') return handle(own, coordinator::RequestReceived{from, message.substr(1)});
    if (auto decoded = raft::decode(std::string_view(message).substr(1)))
        handle(own, coordinator::RaftMessageReceived{raft::NodeId(from + 1), std::move(*decoded)});
}

void CoordinatorProcess::handle(TimePoint own, coordinator::ReplicaEvent event) {
    last_ = std::max(own, last_);
    for (std::deque<coordinator::ReplicaEvent> events{std::move(event)}; !events.empty();
         events.pop_front()) {
        coordinator::ReplicaActions actions;
        replica_->handle(last_, events.front(), actions);
        record_decision("replica", last_, events.front(), actions);
        for (coordinator::ReplicaAction& action : actions) {
            if (auto* send = std::get_if<raft::SendMessage>(&action)) {
                net_.send(self_, send->to - 1, tagged('r', raft::encode(send->message)));
            } else if (auto* to_write = std::get_if<raft::Write>(&action)) {
                write(*to_write);
                events.emplace_back(coordinator::WriteCompleted{to_write->number});
            } else if (auto* answer = std::get_if<coordinator::SendResponse>(&action)) {
                net_.send(self_, answer->connection, tagged('w', answer->body));
            } else if (auto* wake = std::get_if<raft::SetTimer>(&action)) {
                net_.wake_at(self_, timer_ = wake->at);
            } else if (auto* stop = std::get_if<coordinator::Stop>(&action)) {
                stopped_ = stop->about;
            }
        }
    }
}

void CoordinatorProcess::write(const raft::Write& w) {
    if (w.hard_state) disk_.hard_state = *w.hard_state;
    if (w.truncate_from)
        disk_.entries.resize(
            std::min<std::size_t>(disk_.entries.size(), *w.truncate_from - disk_.first_index));
    disk_.entries.insert(disk_.entries.end(), w.append.begin(), w.append.end());
    if (!w.snapshot) return;
    std::size_t in_it = w.snapshot->last_included_index + 1 - disk_.first_index;
    disk_.entries.erase(disk_.entries.begin(),
                        disk_.entries.begin() + std::ptrdiff_t(std::min(in_it, disk_.entries.size())));
    disk_.first_index = w.snapshot->last_included_index + 1;
    disk_.snapshot = w.snapshot;
}

const config_distribution::ConfigStateMachine* CoordinatorProcess::machine() const {
    return replica_ ? dynamic_cast<const config_distribution::ConfigStateMachine*>(
                          replica_->state().state_machine("rules"))
                    : nullptr;
}

// Processes with a session

void SessionProcess::begin() {
    coordinator::SessionSettings settings;
    for (std::size_t i = 0; i < set_.coordinators; ++i) settings.coordinators.push_back(address(i));
    settings.name = set_.name, settings.zone = set_.zone, settings.lease = set_.lease;
    settings.instance = set_.self * 1'000'000 + ++starts_;
    settings.seed = set_.seed + starts_;
    session_ = std::make_unique<coordinator::Session>(settings);
    session_timer_ = TimePoint::max();
    session(coordinator::SessionTimerFired{});
    wake();
}

TimePoint SessionProcess::own() {
    return last_ = std::max(last_, net_.own(set_.self));
}

void SessionProcess::timer_fired(TimePoint now) {
    if (!session_) return;
    last_ = std::max({last_, now, timer_});
    before();
    if (session_timer_ <= last_) session_timer_ = TimePoint::max(), session(coordinator::SessionTimerFired{});
    look(last_);
    before();
    wake();
}

void SessionProcess::received(TimePoint now, std::size_t from, const std::string& message) {
    if (!session_ || message[0] != 'w') return;
    last_ = std::max(last_, now);
    before();
    session(coordinator::ResponseReceived{address(from), message.substr(1)});
    look(last_);
    before();
    wake();
}

void SessionProcess::wake() {
    TimePoint at = std::min(session_timer_, wanted());
    if (at != TimePoint::max()) net_.wake_at(set_.self, timer_ = at);
}

void SessionProcess::session(const coordinator::SessionEvent& event) {
    coordinator::SessionActions actions;
    session_->handle(own(), event, actions);
    record_decision("session", own(), event, actions);
    std::optional<coordinator::SessionRenewed> had;
    std::string update;
    for (coordinator::SessionAction& action : actions) {
        if (auto* say = std::get_if<coordinator::SendRequest>(&action))
            net_.send(set_.self, std::stoul(say->to.substr(1)),
                      tagged('a', shortened(say->body, set_.mutant)));
        else if (auto* is = std::get_if<coordinator::SessionRenewed>(&action))
            had = *is;
        else if (auto* told = std::get_if<coordinator::SessionUpdate>(&action))
            update = told->kind == "rules" ? told->bytes : update;
        else if (std::holds_alternative<coordinator::SessionLost>(action))
            lost();
        else if (auto* answer = std::get_if<coordinator::CallCompleted>(&action))
            answered(*answer);
        else if (auto* at = std::get_if<coordinator::SetSessionTimer>(&action))
            session_timer_ = at->at;
    }
    if (had) held(*had, update);
}

// Nodes

void NodeProcess::start() {
    last_ = net_.own(set_.self);
    std::vector<config_distribution::Document> kept;
    if (auto read = config_distribution::decode_file(file_);
        auto* all = std::get_if<std::vector<config_distribution::Document>>(&read))
        kept = std::move(*all);
    config_distribution::Actions actions;
    subscriber_.emplace(config_distribution::ConfigSubscriberSettings{}, kept, last_, actions);
    execute(last_, actions);
    if (set_.mutant == ConfigMutant::ActsFromFile)
        for (const auto& d : kept) {
            config_distribution::EffectiveConfig effective{
                config_distribution::ConfigMode::Full, d.version,
                std::make_shared<config_distribution::Content>(d.content)};
            leases_[d.name] = {effective, effective, {}};
            std::erase_if(loop_, [&](const auto& posted) {
                return std::holds_alternative<config_distribution::ApplyConfig>(posted.second);
            });
        }
    next_decision_ = last_;
    begin();
}

void NodeProcess::crash() {
    end();
    subscriber_.reset();
    leases_.clear(), loop_.clear(), previous_update_.clear();
    subscriber_timer_ = TimePoint::max();
    checker_.node_stopped(set_.self);
}

void NodeProcess::record_decisions() {
    TimePoint now = own();
    for (const auto& [name, lease] : leases_)
        checker_.record(set_.self, name,
                        set_.mutant == ConfigMutant::ClockNotChecked ? lease.current : lease.at(now),
                        net_.now());
    next_decision_ = now + kDecisionInterval;
    for (const auto& [name, lease] : leases_)  // one more decision just before each expiry
        if (lease.expires_at > now + Duration{0.02})
            next_decision_ = std::min(next_decision_, lease.expires_at - Duration{0.01});
}

TimePoint NodeProcess::wanted() const {
    return std::min(
        {subscriber_timer_, next_decision_, loop_.empty() ? TimePoint::max() : loop_.front().first});
}

void NodeProcess::look(TimePoint now) {
    while (!loop_.empty() && loop_.front().first <= now) {
        auto posted = std::move(loop_.front().second);
        loop_.pop_front();
        if (auto* apply = std::get_if<config_distribution::ApplyConfig>(&posted)) {
            bool between = apply->lease.current.mode == config_distribution::ConfigMode::Transitional;
            if (set_.mutant != ConfigMutant::ReleaseBeforeApply || !between)
                leases_[apply->document] = apply->lease;
            handle_subscriber(config_distribution::ConfigApplied{apply->serial});
        } else {
            for (auto& [name, lease] : leases_)
                lease.expires_at = std::get<config_distribution::ExtendLeases>(posted).expires_at;
        }
    }
    if (subscriber_timer_ <= now)
        subscriber_timer_ = TimePoint::max(), handle_subscriber(config_distribution::TimerFired{});
}

void NodeProcess::held(const coordinator::SessionRenewed& held, const std::string& update) {
    TimePoint until = held.until;
    if (set_.mutant == ConfigMutant::LeaseFromResponse) until = own() + set_.lease;
    if (set_.mutant == ConfigMutant::LeaseTooLong) until += set_.lease * 0.1;
    std::string told = update;
    if (set_.mutant == ConfigMutant::AcceptsStaleUpdate && !update.empty()) {
        // The revision is the first field: tag 8 and a varint.
        auto revision_bytes = [](const std::string& n) {
            std::size_t end = 1;
            while (n[end] & 0x80) ++end;
            return end + 1;
        };
        if (!previous_update_.empty() && random_() % 4 == 0)
            told = update.substr(0, revision_bytes(update)) +
                   previous_update_.substr(revision_bytes(previous_update_));
        previous_update_ = update;
    }
    handle_subscriber(config_distribution::LeaseRenewed{held.session, until, told});
}

void NodeProcess::lost() {
    if (set_.mutant == ConfigMutant::LeaseFromResponse || set_.mutant == ConfigMutant::LeaseTooLong) return;
    if (set_.mutant == ConfigMutant::LeaseOutlivesSession) {
        for (auto& [name, lease] : leases_) lease.expires_at += set_.lease;
        return;
    }
    handle_subscriber(config_distribution::SessionLost{});
}

void NodeProcess::handle_subscriber(const config_distribution::Event& event) {
    if (!subscriber_) return;
    TimePoint now = own();
    config_distribution::Actions actions;
    subscriber_->handle(now, event, actions);
    record_decision("subscriber", now, event, actions);
    execute(now, actions);
}

void NodeProcess::execute(TimePoint now, config_distribution::Actions& actions) {
    auto post = [&](auto what) {
        TimePoint at = now + kMaxPostDelay * (double(random_()) * 0x1p-32);
        if (set_.mutant == ConfigMutant::ExtendsBeforeApply) at += Duration{double(random_() % 4000)};
        if (!loop_.empty()) at = std::max(at, loop_.back().first);
        loop_.emplace_back(at, std::move(what));
    };
    for (config_distribution::Action& action : actions) {
        if (auto* apply = std::get_if<config_distribution::ApplyConfig>(&action)) {
            post(std::move(*apply));
        } else if (auto* extend = std::get_if<config_distribution::ExtendLeases>(&action)) {
            if (set_.mutant != ConfigMutant::ExtendsBeforeApply) post(*extend);
            for (auto& [name, lease] : leases_)
                if (set_.mutant == ConfigMutant::ExtendsBeforeApply) lease.expires_at = extend->expires_at;
        } else if (auto* check = std::get_if<config_distribution::CheckDocument>(&action)) {
            const config_distribution::Document& d = check->document;
            std::string bad = local_check(d.content, set_.zone);
            if (!bad.empty()) checker_.refused(d.name, d.version);
            if (d.canary_scope) checker_.canary(d.name, d.version, d.canary_scope->duration * 1.011);
            handle_subscriber(config_distribution::CheckCompleted{d.name, d.version, bad.empty(), bad});
        } else if (auto* say = std::get_if<config_distribution::SendCommand>(&action)) {
            if (session_) session(coordinator::CommandRequested{++calls_, "rules", say->command});
        } else if (auto* write = std::get_if<config_distribution::WriteFile>(&action)) {
            file_ = write->bytes;
        } else if (auto* wake_at = std::get_if<config_distribution::SetTimer>(&action)) {
            subscriber_timer_ = wake_at->at;
        }
    }
}

std::vector<config_distribution::ConfigSubscriber::Status> NodeProcess::status() {
    return subscriber_ ? subscriber_->status(own())
                       : std::vector<config_distribution::ConfigSubscriber::Status>{};
}

// Operators

void OperatorProcess::query_document(const std::string& document, ConfigResponse then) {
    waiting_[++calls_] = std::move(then);
    session(coordinator::QueryRequested{calls_, "rules", config_distribution::status_query(document)});
    wake();
}
void OperatorProcess::ask(const std::string& command, ConfigResponse then) {
    waiting_[++calls_] = std::move(then);
    session(coordinator::CommandRequested{calls_, "rules", command});
    wake();
}
void OperatorProcess::answered(const coordinator::CallCompleted& is) {
    auto found = waiting_.find(is.call);
    if (found == waiting_.end()) return;
    ConfigResponse then = std::move(found->second);
    waiting_.erase(found);
    if (is.error != coordinator::Error::None) return;
    if (auto answer = config_distribution::decode_response(is.result)) then(*answer);
}

}  // namespace ochrehub::lab
