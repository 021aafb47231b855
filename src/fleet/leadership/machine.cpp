#include "fleet/leadership/machine.h"

#include <leadership.pb.h>

#include <algorithm>
#include <utility>

namespace ochrehub::leadership {

namespace {

std::string octets(const wire::Command& command) {
    return command.SerializeAsString();
}
bool is_job(std::string_view name) {
    return name.find('/') != std::string_view::npos;
}
bool parse(google::protobuf::MessageLite& message, std::string_view bytes) {
    return bytes.size() <= (64u << 20) && message.ParseFromArray(bytes.data(), int(bytes.size()));
}

}  // namespace

std::string want(std::string_view name, std::uint32_t weight) {
    wire::Command command;
    command.mutable_want()->set_name(std::string(name));
    command.mutable_want()->set_weight(weight);
    return octets(command);
}
std::string open_job(std::string_view kind, std::uint64_t token) {
    wire::Command command;
    command.mutable_open()->set_kind(std::string(kind));
    command.mutable_open()->set_token(token);
    return octets(command);
}
std::string unwant(std::string_view name) {
    wire::Command command;
    command.mutable_unwant()->set_name(std::string(name));
    return octets(command);
}
std::string give_up(std::string_view name, Epoch epoch, bool keep_want) {
    wire::Command command;
    auto& said = *command.mutable_give_up();
    said.set_name(std::string(name)), said.set_epoch(epoch), said.set_keep_want(keep_want);
    return octets(command);
}
std::string end_job(std::string_view name, Epoch epoch) {
    wire::Command command;
    command.mutable_end()->set_name(std::string(name));
    command.mutable_end()->set_epoch(epoch);
    return octets(command);
}
std::string over_for_good(std::string_view name, Epoch epoch) {
    wire::Command command;
    command.mutable_over()->set_name(std::string(name));
    command.mutable_over()->set_epoch(epoch);
    return octets(command);
}
std::string move_away(std::string_view name) {
    wire::Command command;
    command.mutable_move()->set_name(std::string(name));
    return octets(command);
}

std::optional<Answer> read_answer(std::string_view bytes) {
    wire::Answer in;
    if (!parse(in, bytes) || in.error() > kErrors) return std::nullopt;
    Answer answer{std::nullopt, in.name(), in.epoch()};
    if (in.error() > 0) answer.error = Error(in.error() - 1);
    return answer;
}
std::optional<News> read_news(std::string_view bytes) {
    wire::News in;
    if (!parse(in, bytes)) return std::nullopt;
    News news{in.revision(), {}};
    for (const wire::Owned& one : in.owned()) {
        if (one.epoch() == 0 || one.name().empty()) return std::nullopt;
        news.owned.push_back({one.name(), one.epoch(), one.give_back(), one.ended()});
    }
    return news;
}

// ---- Commands

std::string Duties::apply(const coordinator::Command& command) {
    Answer answer = decide(command);
    wire::Answer out;
    out.set_error(answer.error ? 1 + std::uint32_t(*answer.error) : 0);
    out.set_name(answer.name);
    out.set_epoch(answer.epoch);
    return out.SerializeAsString();
}

bool Duties::named(std::string_view name, bool job) const {
    if (name.empty() || name.size() > limits_.name) return false;
    return std::all_of(name.begin(), name.end(), [job](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || (job && c == '/');
    });
}

Answer Duties::decide(const coordinator::Command& command) {
    wire::Command in;
    if (command.body.size() > 4096 || !parse(in, command.body)) return {Error::Malformed, {}, 0};
    if (command.session != 0 && !sessions_.contains(command.session)) return {Error::Session, {}, 0};
    if (in.has_want()) return decide_want(command.session, in.want().name(), in.want().weight());
    if (in.has_open()) return decide_open(command.session, in.open().kind(), in.open().token());

    const std::string* name = in.has_unwant()    ? &in.unwant().name()
                              : in.has_give_up() ? &in.give_up().name()
                              : in.has_over()    ? &in.over().name()
                              : in.has_end()     ? &in.end().name()
                              : in.has_move()    ? &in.move().name()
                                                 : nullptr;
    if (!name) return {Error::Malformed, {}, 0};
    auto it = duties_.find(*name);
    if (it == duties_.end()) return {is_job(*name) ? Error::Over : Error::Unknown, *name, 0};
    Duty& duty = it->second;
    Answer answer{std::nullopt, *name, duty.epoch};

    if (in.has_move()) {
        if (duty.owner != 0 && !duty.give_back) ask_back(duty);
        return answer;
    }
    if (command.session == 0 && !(in.has_over() && duty.owner == 0))
        return {Error::NotOwner, *name, duty.epoch};
    if (in.has_unwant()) {
        // An owner that wants it no more keeps it until it says that it has come to rest.
        if (duty.wanted.erase(command.session) == 0) return answer;
        --wants_;
        ++revision_;
        if (duty.owner == command.session && !duty.give_back) ask_back(duty);
        drop_if_idle(it);
        return answer;
    }
    const Epoch epoch = in.has_over()  ? in.over().epoch()
                        : in.has_end() ? in.end().epoch()
                                       : in.give_up().epoch();
    if (duty.owner != command.session || (command.session != 0 && duty.epoch != epoch))
        return {Error::NotOwner, *name, duty.epoch};
    if ((in.has_over() || in.has_end()) && !is_job(*name))
        return {Error::Name, *name, duty.epoch};  // it stands for ever
    if (in.has_end()) {
        if (!std::exchange(duty.ended, true)) ++revision_;
        return answer;
    }
    if (in.has_over()) {
        if (command.session != 0 && !duty.ended) return {Error::NotEnded, *name, duty.epoch};
        take_from_owner(*name, duty);
        wants_ -= duty.wanted.size();
        duties_.erase(it);
    } else {
        auto mine = duty.wanted.find(command.session);
        std::optional<std::uint32_t> weight;
        if (mine != duty.wanted.end()) weight = mine->second, duty.wanted.erase(mine), --wants_;
        take_from_owner(*name, duty);
        grant(*name, duty);  // whoever gives up is not the next, unless nobody else wants it
        if (in.give_up().keep_want() && weight) {
            duty.wanted[command.session] = *weight, ++wants_;
            if (duty.owner == 0) grant(*name, duty);
        }
        relieve(duty.owner);
        drop_if_idle(it);
    }
    ++revision_;
    relieve(command.session);  // it may have been asked for one of several
    offer(command.session);
    return answer;
}

Answer Duties::decide_want(SessionId session, std::string_view name, std::uint32_t weight) {
    if (session == 0) return {Error::Session, std::string(name), 0};
    if (!named(name, true)) return {Error::Name, std::string(name), 0};
    if (weight == 0 || weight > kWeightMost) return {Error::Weight, std::string(name), 0};
    auto it = duties_.find(name);
    if (it == duties_.end()) {
        if (is_job(name)) return {Error::Over, std::string(name), 0};
        if (duties_.size() >= limits_.duties) return {Error::Full, std::string(name), 0};
        it = duties_.try_emplace(std::string(name)).first;
    }
    Duty& duty = it->second;
    auto mine = duty.wanted.find(session);
    if (mine == duty.wanted.end() && (duty.wanted.size() >= limits_.wants || wants_ >= limits_.wants_all))
        return {Error::Crowded, std::string(name), duty.epoch};
    if (mine == duty.wanted.end() || mine->second != weight) {
        wants_ += mine == duty.wanted.end();
        duty.wanted[session] = weight;
        ++revision_;
        if (duty.owner == 0)
            grant(name, duty);
        else if (worth_moving(duty, session, weight))
            ask_back(duty);
    }
    return {std::nullopt, std::string(name), duty.epoch};
}

Answer Duties::decide_open(SessionId session, std::string_view kind, std::uint64_t token) {
    auto asks = sessions_.find(session);
    if (asks != sessions_.end() && token != 0 && asks->second.token == token)
        return {std::nullopt, asks->second.opened, 0};
    std::string name = std::string(kind) + "/" + std::to_string(jobs_ + 1);
    if (!named(kind, false) || !named(name, true)) return {Error::Name, std::string(kind), 0};
    if (duties_.size() >= limits_.duties) return {Error::Full, std::string(kind), 0};
    ++jobs_, ++revision_;
    duties_.try_emplace(name);
    if (asks != sessions_.end()) asks->second.token = token, asks->second.opened = name;
    return {std::nullopt, name, 0};
}

// ---- Owners

void Duties::take_from_owner(std::string_view name, Duty& duty) {
    auto had = sessions_.find(duty.owner);
    if (had != sessions_.end()) {
        auto owned = had->second.owned.find(name);
        if (owned != had->second.owned.end()) had->second.owned.erase(owned);
        if (duty.give_back) --had->second.giving;
    }
    duty.owner = 0;
    duty.give_back = false;
}

void Duties::ask_back(Duty& duty) {
    duty.give_back = true;
    ++sessions_.at(duty.owner).giving;
    ++revision_;
}

void Duties::grant(std::string_view name, Duty& duty) {
    SessionId best = 0;
    std::uint64_t best_would = 0, best_weight = 1;
    for (auto [session, weight] : duty.wanted) {  // by session: the older one first
        auto known = sessions_.find(session);
        if (known == sessions_.end()) continue;
        std::uint64_t would = known->second.owned.size() + 1;
        if (best == 0 || would * best_weight < best_would * weight)
            best = session, best_would = would, best_weight = weight;
    }
    duty.owner = best;
    if (best == 0) return;
    duty.epoch = ++epochs_;
    sessions_.at(best).owned.emplace(name);
}

bool Duties::worth_moving(const Duty& duty, SessionId other, std::uint32_t weight) const {
    auto mine = duty.wanted.find(duty.owner);
    auto owner = sessions_.find(duty.owner), known = sessions_.find(other);
    if (mine == duty.wanted.end() || owner == sessions_.end() || known == sessions_.end()) return false;
    // A part at a time, and of few one: where they go is seen when they have moved.
    const std::size_t owned = owner->second.owned.size(), giving = owner->second.giving;
    if (other == duty.owner || duty.give_back || giving > owned / 8) return false;
    const std::uint64_t least = owned - giving - 1, would = known->second.owned.size() + 1;
    return would * mine->second <= least * weight;
}

void Duties::balance() {
    for (auto& [name, duty] : duties_)
        for (auto [other, weight] : duty.wanted)
            if (worth_moving(duty, other, weight)) {
                ask_back(duty);
                break;
            }
}

// Who has one less: may it have another's?
void Duties::offer(SessionId freed) {
    for (auto& [name, duty] : duties_) {
        auto wants = duty.wanted.find(freed);
        if (wants != duty.wanted.end() && worth_moving(duty, freed, wants->second)) return ask_back(duty);
    }
}
// Who has one more: may another have one of its?
void Duties::relieve(SessionId owner) {
    auto known = sessions_.find(owner);
    if (known == sessions_.end()) return;
    for (const std::string& name : known->second.owned) {
        Duty& duty = duties_.find(name)->second;
        for (auto [other, weight] : duty.wanted)
            if (worth_moving(duty, other, weight)) return ask_back(duty);
    }
}

// Epochs are not a duty's own, so nothing is lost with one that nobody wants. A job stays until it is over.
Duties::Table::iterator Duties::drop_if_idle(Table::iterator it) {
    if (it->second.owner == 0 && it->second.wanted.empty() && !is_job(it->first)) return duties_.erase(it);
    return std::next(it);
}

void Duties::session_opened(SessionId session, std::string_view, std::string_view) {
    sessions_.try_emplace(session);
}

void Duties::session_ended(SessionId session) {
    if (sessions_.erase(session) == 0) return;
    ++revision_;
    for (auto it = duties_.begin(); it != duties_.end();) {
        Duty& duty = it->second;
        wants_ -= duty.wanted.erase(session);
        if (duty.owner == session) {
            take_from_owner(it->first, duty);
            grant(it->first, duty);
        }
        it = drop_if_idle(it);
    }
    balance();
}

std::string Duties::session_update(SessionId session) const {
    wire::News news;
    news.set_revision(revision_);
    auto known = sessions_.find(session);
    if (known != sessions_.end())
        for (const std::string& name : known->second.owned) {
            const Duty& duty = duties_.find(name)->second;
            wire::Owned& one = *news.add_owned();
            one.set_name(name), one.set_epoch(duty.epoch), one.set_give_back(duty.give_back),
                one.set_ended(duty.ended);
        }
    return news.SerializeAsString();
}

// ---- Snapshots

std::string Duties::snapshot() const {
    wire::Snapshot out;
    out.set_revision(revision_), out.set_epochs(epochs_), out.set_jobs(jobs_);
    for (const auto& [id, session] : sessions_) {
        wire::Session& one = *out.add_sessions();
        one.set_id(id), one.set_token(session.token), one.set_opened(session.opened);
    }
    for (const auto& [name, duty] : duties_) {
        wire::Duty& one = *out.add_duties();
        one.set_name(name), one.set_epoch(duty.epoch), one.set_owner(duty.owner);
        one.set_give_back(duty.give_back), one.set_ended(duty.ended);
        for (auto [session, weight] : duty.wanted) {
            wire::Wanted& wanted = *one.add_wanted();
            wanted.set_session(session), wanted.set_weight(weight);
        }
    }
    return out.SerializeAsString();
}

bool Duties::restore(std::uint32_t schema, std::string_view bytes) {
    wire::Snapshot in;
    if (schema != kSchema || !parse(in, bytes)) return false;
    std::map<SessionId, Session> sessions;
    Table duties;
    std::size_t wants = 0;
    for (const wire::Session& one : in.sessions()) {
        Session& session = sessions[one.id()];
        session.token = one.token(), session.opened = one.opened();
    }
    for (const wire::Duty& one : in.duties()) {
        auto [it, fresh] = duties.try_emplace(one.name());
        if (!fresh || !named(one.name(), true) || one.epoch() > in.epochs()) return false;
        Duty& duty = it->second;
        duty.epoch = one.epoch(), duty.owner = one.owner(), duty.give_back = one.give_back(),
        duty.ended = one.ended();
        for (const wire::Wanted& wanted : one.wanted()) duty.wanted[wanted.session()] = wanted.weight();
        wants += duty.wanted.size();
        if (duty.owner == 0) continue;
        auto owner = sessions.find(duty.owner);
        if (owner == sessions.end() || duty.epoch == 0) return false;
        owner->second.owned.insert(one.name());
        owner->second.giving += duty.give_back;
    }
    revision_ = in.revision(), epochs_ = in.epochs(), jobs_ = in.jobs(), wants_ = wants;
    sessions_ = std::move(sessions), duties_ = std::move(duties);
    return true;
}

}  // namespace ochrehub::leadership
