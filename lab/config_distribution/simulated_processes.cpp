#include "lab/config_distribution/simulated_processes.h"

#include <coordinator.pb.h>

#include <algorithm>

#include "fleet/config_distribution/document_file.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {
namespace {

constexpr Duration kDecide{100};  // between two decisions, where nothing else happens
constexpr Duration kLoop{20};     // so long, at most, what is posted to a node's loop waits

std::string address(std::size_t keeper) {
    return std::string("k").append(std::to_string(keeper));
}

std::string tagged(char tag, const std::string& body) {
    return std::string(1, tag).append(body);
}
/// What a saboteur asks for instead.
std::string shortened(const std::string& body, Saboteur saboteur) {
    coordinator::wire::Request ask;
    if (saboteur != Saboteur::ShortLease || !ask.ParseFromString(body) || !ask.has_open()) return body;
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

// ---- Keepers

KeeperProcess::KeeperProcess(Wire& net, std::size_t self, std::size_t keepers, Saboteur saboteur,
                             std::uint64_t seed)
    : net_(net), self_(self), saboteur_(saboteur), seed_(seed) {
    for (std::size_t i = 0; i < keepers; ++i)
        disk_.initial_members.push_back({raft::NodeId(i + 1), true, address(i)});
}

void KeeperProcess::start() {
    raft::Settings settings;
    settings.self = raft::NodeId(self_ + 1);
    raft_ = std::make_unique<raft::Raft>(settings, disk_, seed_ * 1000 + ++starts_);
    coordinator::ReplicaSettings replica;
    replica.self = settings.self;
    replica.snapshot_entries = 150;
    replica_ = std::make_unique<coordinator::Replica>(
        replica, machines(saboteur_),
        [this](TimePoint now, const raft::Event& event, raft::Actions& actions) {
            raft_->handle(now, event, actions);
        },
        disk_);
    last_ = net_.own(self_);
    handle(last_, coordinator::TimerFired{});
}

void KeeperProcess::woken(TimePoint own) {
    if (replica_) handle(std::max(own, asked_), coordinator::TimerFired{});
}

void KeeperProcess::received(TimePoint own, std::size_t from, const std::string& message) {
    if (!replica_) return;
    if (message[0] == 'a') return handle(own, coordinator::RequestReceived{from, message.substr(1)});
    if (auto decoded = raft::decode(std::string_view(message).substr(1)))
        handle(own, coordinator::RaftMessageReceived{raft::NodeId(from + 1), std::move(*decoded)});
}

void KeeperProcess::handle(TimePoint own, coordinator::ReplicaEvent event) {
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
                net_.wake_at(self_, asked_ = wake->at);
            } else if (auto* stop = std::get_if<coordinator::Stop>(&action)) {
                stopped_ = stop->about;
            }
        }
    }
}

void KeeperProcess::write(const raft::Write& w) {
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

const config_distribution::ConfigStateMachine* KeeperProcess::machine() const {
    return replica_ ? dynamic_cast<const config_distribution::ConfigStateMachine*>(
                          replica_->state().state_machine("rules"))
                    : nullptr;
}

// ---- What has a session

void SessionProcess::begin() {
    coordinator::SessionSettings settings;
    for (std::size_t i = 0; i < set_.keepers; ++i) settings.coordinators.push_back(address(i));
    settings.name = set_.name, settings.zone = set_.zone, settings.lease = set_.lease;
    settings.instance = set_.self * 1'000'000 + ++starts_;
    settings.seed = set_.seed + starts_;
    session_ = std::make_unique<coordinator::Session>(settings);
    session_wake_ = TimePoint::max();
    session(coordinator::SessionTimerFired{});
    wake();
}

TimePoint SessionProcess::own() {
    return last_ = std::max(last_, net_.own(set_.self));
}

void SessionProcess::woken(TimePoint now) {
    if (!session_) return;
    last_ = std::max({last_, now, asked_});
    before();
    if (session_wake_ <= last_) session_wake_ = TimePoint::max(), session(coordinator::SessionTimerFired{});
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
    TimePoint at = std::min(session_wake_, wanted());
    if (at != TimePoint::max()) net_.wake_at(set_.self, asked_ = at);
}

void SessionProcess::session(const coordinator::SessionEvent& event) {
    coordinator::SessionActions actions;
    session_->handle(own(), event, actions);
    record_decision("session", own(), event, actions);
    std::optional<coordinator::SessionRenewed> had;
    std::string news;
    for (coordinator::SessionAction& action : actions) {
        if (auto* say = std::get_if<coordinator::SendRequest>(&action))
            net_.send(set_.self, std::stoul(say->to.substr(1)),
                      tagged('a', shortened(say->body, set_.saboteur)));
        else if (auto* is = std::get_if<coordinator::SessionRenewed>(&action))
            had = *is;
        else if (auto* told = std::get_if<coordinator::SessionUpdate>(&action))
            news = told->kind == "rules" ? told->bytes : news;
        else if (std::holds_alternative<coordinator::SessionLost>(action))
            lost();
        else if (auto* answer = std::get_if<coordinator::CallCompleted>(&action))
            answered(*answer);
        else if (auto* at = std::get_if<coordinator::SetSessionTimer>(&action))
            session_wake_ = at->at;
    }
    if (had) held(*had, news);
}

// ---- Nodes

void NodeProcess::start() {
    last_ = net_.own(set_.self);
    std::vector<config_distribution::Document> kept;
    if (auto read = config_distribution::read_file(file_);
        auto* all = std::get_if<std::vector<config_distribution::Document>>(&read))
        kept = std::move(*all);
    config_distribution::Actions actions;
    holder_.emplace(config_distribution::HolderSettings{}, kept, last_, actions);
    carry_out(last_, actions);
    if (set_.saboteur == Saboteur::ActsFromDisk)
        for (const auto& d : kept) {
            config_distribution::EffectiveConfig acted{
                config_distribution::ConfigMode::Full, d.version,
                std::make_shared<config_distribution::Content>(d.content)};
            acted_[d.name] = {acted, acted, {}};
            std::erase_if(loop_, [&](const auto& posted) {
                return std::holds_alternative<config_distribution::Apply>(posted.second);
            });
        }
    decide_at_ = last_;
    begin();
}

void NodeProcess::crash() {
    end();
    holder_.reset();
    acted_.clear(), loop_.clear(), old_news_.clear();
    holder_wake_ = TimePoint::max();
    judge_.gone(set_.self);
}

void NodeProcess::decide() {
    TimePoint now = own();
    for (const auto& [name, permit] : acted_)
        judge_.acts(set_.self, name, set_.saboteur == Saboteur::LooksTooLate ? permit.now : permit.at(now),
                    net_.now());
    decide_at_ = now + kDecide;
    for (const auto& [name, permit] : acted_)  // once more just before it ends
        if (permit.until > now + Duration{0.02})
            decide_at_ = std::min(decide_at_, permit.until - Duration{0.01});
}

TimePoint NodeProcess::wanted() const {
    return std::min({holder_wake_, decide_at_, loop_.empty() ? TimePoint::max() : loop_.front().first});
}

void NodeProcess::look(TimePoint now) {
    while (!loop_.empty() && loop_.front().first <= now) {
        auto posted = std::move(loop_.front().second);
        loop_.pop_front();
        if (auto* apply = std::get_if<config_distribution::Apply>(&posted)) {
            bool between = apply->permit.now.mode == config_distribution::ConfigMode::Transitional;
            if (set_.saboteur != Saboteur::GivesBackAtOnce || !between)
                acted_[apply->document] = apply->permit;
            hold(config_distribution::Switched{apply->serial});
        } else {
            for (auto& [name, permit] : acted_)
                permit.until = std::get<config_distribution::Extend>(posted).until;
        }
    }
    if (holder_wake_ <= now) holder_wake_ = TimePoint::max(), hold(config_distribution::Woken{});
}

void NodeProcess::held(const coordinator::SessionRenewed& held, const std::string& news) {
    TimePoint until = held.until;
    if (set_.saboteur == Saboteur::CountsFromAnswer) until = own() + set_.lease;
    if (set_.saboteur == Saboteur::HoldsTooLong) until += set_.lease * 0.1;
    std::string told = news;
    if (set_.saboteur == Saboteur::TakesOldNews && !news.empty()) {
        // The revision is the first field: tag 8, then its digits.
        auto head = [](const std::string& n) {
            std::size_t end = 1;
            while (n[end] & 0x80) ++end;
            return end + 1;
        };
        if (!old_news_.empty() && random_() % 4 == 0)
            told = news.substr(0, head(news)) + old_news_.substr(head(old_news_));
        old_news_ = news;
    }
    hold(config_distribution::Renewed{held.session, until, told});
}

void NodeProcess::lost() {
    if (set_.saboteur == Saboteur::CountsFromAnswer || set_.saboteur == Saboteur::HoldsTooLong) return;
    if (set_.saboteur == Saboteur::KeepsOverSessions) {
        for (auto& [name, permit] : acted_) permit.until += set_.lease;
        return;
    }
    hold(config_distribution::Lost{});
}

void NodeProcess::hold(const config_distribution::Event& event) {
    if (!holder_) return;
    TimePoint now = own();
    config_distribution::Actions actions;
    holder_->handle(now, event, actions);
    record_decision("subscriber", now, event, actions);
    carry_out(now, actions);
}

void NodeProcess::carry_out(TimePoint now, config_distribution::Actions& actions) {
    auto post = [&](auto what) {
        TimePoint at = now + kLoop * (double(random_()) * 0x1p-32);
        if (set_.saboteur == Saboteur::ExtendsFirst) at += Duration{double(random_() % 4000)};
        if (!loop_.empty()) at = std::max(at, loop_.back().first);
        loop_.emplace_back(at, std::move(what));
    };
    for (config_distribution::Action& action : actions) {
        if (auto* apply = std::get_if<config_distribution::Apply>(&action)) {
            post(std::move(*apply));
        } else if (auto* extend = std::get_if<config_distribution::Extend>(&action)) {
            if (set_.saboteur != Saboteur::ExtendsFirst) post(*extend);
            for (auto& [name, permit] : acted_)
                if (set_.saboteur == Saboteur::ExtendsFirst) permit.until = extend->until;
        } else if (auto* check = std::get_if<config_distribution::Check>(&action)) {
            const config_distribution::Document& d = check->document;
            std::string bad = local_check(d.content, set_.zone);
            if (!bad.empty()) judge_.refused(d.name, d.version);
            if (d.scope) judge_.canary(d.name, d.version, d.scope->length * 1.011);
            hold(config_distribution::Verdict{d.name, d.version, bad.empty(), bad});
        } else if (auto* say = std::get_if<config_distribution::Say>(&action)) {
            if (session_) session(coordinator::CommandRequested{++calls_, "rules", say->command});
        } else if (auto* write = std::get_if<config_distribution::Write>(&action)) {
            file_ = write->octets;
        } else if (auto* wake_at = std::get_if<config_distribution::WakeAt>(&action)) {
            holder_wake_ = wake_at->at;
        }
    }
}

std::vector<config_distribution::Holder::Status> NodeProcess::status() {
    return holder_ ? holder_->status(own()) : std::vector<config_distribution::Holder::Status>{};
}

// ---- Operators

void OperatorProcess::look_up(const std::string& document, ConfigResponse then) {
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
