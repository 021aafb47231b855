#include "fleet/schema_migration/migration_state_machine.h"

#include <limits>
#include <utility>

namespace ochrehub::schema_migration {
namespace {

using schema::kKindCount;

constexpr std::size_t kAbout = 256;  // octets of what somebody says of a trouble, which stays in the state

void refuse(wire::Answer& answer, Error error, std::string_view about = {}) {
    answer.set_error(on_wire(error));
    answer.set_about(std::string(about));
}
std::string words(const schema::Range& range) {
    return std::to_string(range.min) + " to " + std::to_string(range.max);
}
std::uint64_t added(std::uint64_t a, std::uint64_t b) {
    return b > std::numeric_limits<std::uint64_t>::max() - a ? std::numeric_limits<std::uint64_t>::max()
                                                             : a + b;
}
bool bit(const std::string& bits, std::uint32_t at) {
    return (std::uint8_t(bits[at / 8]) >> (at % 8) & 1) != 0;
}
/// What a stage has found in all shards, together. Digests are summed: the order in which shards are through
/// does not count.
void add(wire::Counts& to, const wire::Counts& from) {
    to.set_groups(added(to.groups(), from.groups()));
    to.set_records_from(added(to.records_from(), from.records_from()));
    to.set_records_to(added(to.records_to(), from.records_to()));
    to.set_digest_from(to.digest_from() + from.digest_from());
    to.set_digest_to(to.digest_to() + from.digest_to());
    to.set_spent_from(added(to.spent_from(), from.spent_from()));
    to.set_spent_to(added(to.spent_to(), from.spent_to()));
    to.set_differ(added(to.differ(), from.differ()));
    if (to.differs().empty()) to.set_differs(from.differs().substr(0, kAbout));
}

}  // namespace

MigrationStateMachine::MigrationStateMachine(const WrittenVersions& first) : levels_(first) {}

std::string MigrationStateMachine::apply(const coordinator::Command& command) {
    wire::Command what;
    Answer answer;
    if (!what.ParseFromArray(command.body.data(), int(command.body.size()))) {
        refuse(answer, Error::Malformed);
    } else {
        switch (what.what_case()) {
            case wire::Command::kSays:
                says(command.session, what.says(), answer);
                break;
            case wire::Command::kStart:
                start(what.start(), answer);
                break;
            case wire::Command::kWant:
                want(command.session, answer);
                break;
            case wire::Command::kDid:
                did(command.session, what.did(), answer);
                break;
            case wire::Command::kTrouble:
                trouble(command.session, what.trouble(), answer);
                break;
            case wire::Command::kSteer:
                steer(what.steer(), answer);
                break;
            case wire::Command::kShow:
                break;
            case wire::Command::WHAT_NOT_SET:
                refuse(answer, Error::Malformed);
                break;
        }
    }
    advance();
    fill(*answer.mutable_news(), command.session);
    return answer.SerializeAsString();
}

void MigrationStateMachine::session_opened(coordinator::SessionId session, std::string_view name,
                                           std::string_view zone) {
    Live& live = sessions_[session];
    live = {};
    live.name = name, live.zone = zone;
}

void MigrationStateMachine::session_ended(coordinator::SessionId session) {
    sessions_.erase(session);
    if (now_.owner() == session) now_.set_owner(0);
    advance();
}

void MigrationStateMachine::judge(Live& live) const {
    live.refused = 0;
    live.about.clear();
    auto needs = [&](std::size_t kind, schema::Version number, std::string_view what) {
        const schema::Range& reads = live.ranges[kind];
        if (live.refused || reads.contains(number)) return;
        live.refused = on_wire(reads.max < number ? Error::OldRelease : Error::NewRelease);
        live.about = live.name + ": " + std::string(schema::name(schema::Kind(kind))) + ": reads " +
                     words(reads) + ", the fleet " + std::string(what) + std::to_string(number);
    };
    for (std::size_t i = 0; i < kKindCount; ++i) needs(i, levels_[i], "writes ");
    // The way back is open: whoever could not go it must not come in.
    if (stage() == Stage::Switch || stage() == Stage::Hold)
        needs(now_.kind(), now_.from(), "may go back to ");
}

void MigrationStateMachine::says(coordinator::SessionId session, const wire::Says& said, Answer& answer) {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return refuse(answer, Error::Stale);
    if (std::size_t(said.ranges_size()) != kKindCount) return refuse(answer, Error::Malformed);
    Live& live = found->second;
    for (std::size_t i = 0; i < kKindCount; ++i) {
        live.ranges[i] = {said.ranges(int(i)).least(), said.ranges(int(i)).most()};
        if (live.ranges[i].min == 0 || live.ranges[i].min > live.ranges[i].max)
            return refuse(answer, Error::Malformed);
    }
    live.said = true;
    judge(live);
    if (live.refused) {
        answer.set_error(live.refused), answer.set_about(live.about);
        return;
    }
    // It may serve by the level of now, and there is nowhere to go while it does.
    if (!ended(stage()) && stage() < Stage::Switch && !live.ranges[now_.kind()].contains(now_.to()))
        stop(Error::OldProcess, live.name);
}

bool MigrationStateMachine::someone_cannot(schema::Kind kind, schema::Version number, Failure& why) const {
    for (const auto& [id, live] : sessions_) {
        if (!live.said)
            why = {Error::Silent, live.name};
        else if (!live.refused && !live.ranges[std::size_t(kind)].contains(number))
            why = {Error::OldProcess, live.name};
        else
            continue;
        return true;
    }
    return false;
}

void MigrationStateMachine::start(const wire::Start& start, Answer& answer) {
    if (start.kind() >= kKindCount) return refuse(answer, Error::UnknownKind);
    if (!ended(stage())) return refuse(answer, Error::Running);
    auto kind = schema::Kind(start.kind());
    schema::Version level = levels_[start.kind()], to = start.to();
    bool next_to = to + 1 == level || to == level + 1;
    if (!next_to || to == 0 || to > schema::newest_version(kind))
        return refuse(answer, Error::NotNextTo, "the level is " + std::to_string(level));
    if (start.shards() == 0 || start.shards() > kMaxShards) return refuse(answer, Error::Malformed, "shards");
    Failure why;
    if (someone_cannot(kind, to, why)) return refuse(answer, why.error, why.about);
    now_.Clear();
    now_.set_id(++ids_);
    now_.set_kind(start.kind()), now_.set_from(level), now_.set_to(to), now_.set_shards(start.shards());
    now_.set_refusals_most(start.refusals()), now_.set_narrows(start.narrows());
    now_.mutable_refusals()->Resize(int(start.shards()), 0);
    enter(Stage::Widen);
}

void MigrationStateMachine::want(coordinator::SessionId session, Answer& answer) {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return refuse(answer, Error::Stale);
    if (ended(stage())) return refuse(answer, Error::Nothing);
    const Live& live = found->second;
    if (!live.said) return refuse(answer, Error::Silent, live.name);
    if (live.refused) return refuse(answer, from_wire(live.refused), live.about);
    const schema::Range& reads = live.ranges[now_.kind()];
    if (!reads.contains(now_.from()) || !reads.contains(now_.to()))
        return refuse(answer, Error::OldProcess, live.name);
    if (now_.owner() == session) return;
    if (now_.owner()) return refuse(answer, Error::Owned);
    now_.set_owner(session);
    now_.set_epoch(++epochs_);
}

bool MigrationStateMachine::of_owner(coordinator::SessionId session, std::uint64_t id, std::uint64_t epoch,
                                     std::uint64_t revision, std::uint32_t shard) const {
    return session && now_.owner() == session && now_.id() == id && now_.epoch() == epoch &&
           now_.revision() == revision && works(stage()) && shard < now_.shards();
}

void MigrationStateMachine::did(coordinator::SessionId session, const wire::Did& did, Answer& answer) {
    if (!of_owner(session, did.migration(), did.epoch(), did.revision(), did.shard()))
        return refuse(answer, Error::Stale);
    const wire::Counts& counts = did.counts();
    if (!bit(now_.done(), did.shard())) {
        char& octet = (*now_.mutable_done())[did.shard() / 8];
        octet = char(std::uint8_t(octet) | 1u << (did.shard() % 8));
        add(*now_.mutable_counts(), counts);
    }
    if (counts.refusals() > now_.refusals(int(did.shard())))
        now_.set_refusals(int(did.shard()), counts.refusals());
    std::uint64_t refusals = 0;
    for (std::uint64_t each : now_.refusals()) refusals = added(refusals, each);
    now_.mutable_counts()->set_refusals(refusals);
    if (stage() == Stage::Compare && (counts.differ() || counts.digest_from() != counts.digest_to() ||
                                      counts.spent_to() < counts.spent_from()))
        return stop(Error::Differs, "shard " + std::to_string(did.shard()) + ", group " + counts.differs());
    if (stage() < Stage::Narrow && refusals > now_.refusals_most())
        stop(Error::Refusals, std::to_string(refusals));
}

void MigrationStateMachine::trouble(coordinator::SessionId session, const wire::Trouble& trouble,
                                    Answer& answer) {
    if (!of_owner(session, trouble.migration(), trouble.epoch(), trouble.revision(), trouble.shard()))
        return refuse(answer, Error::Stale);
    stop(from_wire(trouble.error()), "shard " + std::to_string(trouble.shard()) +
                                         (trouble.about().empty() ? "" : ", ") + trouble.about());
}

void MigrationStateMachine::steer(wire::Steer way, Answer& answer) {
    if (ended(stage())) return refuse(answer, Error::Nothing);
    Failure why;
    switch (way) {
        case wire::PAUSE:
            now_.set_paused(true);
            return;
        case wire::GO_ON:
            if (stage() < Stage::Switch && someone_cannot(schema::Kind(now_.kind()), now_.to(), why))
                return refuse(answer, why.error, why.about);
            // Behind a stop the stage begins anew, so that what was said of it before is stale; what differed
            // is converted once more.
            if (now_.stopped())
                enter(stage() == Stage::Compare && now_.stopped() == on_wire(Error::Differs) ? Stage::Convert
                                                                                             : stage());
            if (now_.stopped() == on_wire(Error::Refusals)) {
                // Those that the operators have seen are allowed for.
                std::uint64_t sum = now_.refusals_most();
                for (std::uint64_t each : now_.refusals()) sum = added(sum, each);
                now_.set_refusals_most(sum);
            }
            now_.set_paused(false), now_.set_stopped(0), now_.clear_about();
            return;
        case wire::BACK:
            if (stage() == Stage::Narrow) return refuse(answer, Error::TooLate);
            if (stage() > Stage::Done) break;  // it is under way; go on with it where it is paused
            if (stage() >= Stage::Switch) {
                levels_[now_.kind()] = now_.from();
                for (auto& [id, live] : sessions_)
                    if (live.said) judge(live);
                enter(Stage::Unswitch);
            } else {
                enter(Stage::Unwiden);
            }
            break;
        case wire::NARROW:
            if (stage() != Stage::Hold) return refuse(answer, Error::NotYet);
            now_.set_narrows(true);
            break;
        default:
            return refuse(answer, Error::Malformed);
    }
    now_.set_paused(false), now_.set_stopped(0), now_.clear_about();
}

void MigrationStateMachine::enter(Stage stage) {
    now_.set_stage(std::uint32_t(stage));
    now_.set_revision(++revisions_);
    now_.set_done(std::string(works(stage) ? (now_.shards() + 7) / 8 : 0, '\0'));
    now_.clear_counts();
    if (ended(stage)) now_.set_owner(0);
}

void MigrationStateMachine::stop(Error error, std::string_view about) {
    now_.set_paused(true);
    now_.set_stopped(on_wire(error));
    now_.set_about(std::string(about.substr(0, kAbout)));
}

bool MigrationStateMachine::all_done() const {
    if (now_.done().empty()) return false;
    for (std::uint32_t i = 0; i < now_.shards(); ++i)
        if (!bit(now_.done(), i)) return false;
    return true;
}

void MigrationStateMachine::advance() {
    while (!ended(stage()) && !now_.paused()) {
        if (stage() == Stage::Hold) {
            if (!now_.narrows()) return;
            enter(Stage::Narrow);
            return;
        }
        if (!all_done()) return;
        Failure why;
        switch (stage()) {
            case Stage::Widen:
                enter(Stage::Convert);
                break;
            case Stage::Convert:
                enter(Stage::Compare);
                break;
            case Stage::Compare:
                // A session that has not said yet is waited for; one that cannot was told of when it said so.
                if (someone_cannot(schema::Kind(now_.kind()), now_.to(), why)) {
                    if (why.error == Error::OldProcess) stop(why.error, why.about);
                    return;
                }
                levels_[now_.kind()] = now_.to();
                for (auto& [id, live] : sessions_) judge(live);
                enter(Stage::Switch);
                break;
            case Stage::Switch:
                enter(Stage::Hold);
                break;
            case Stage::Narrow:
                enter(Stage::Done);
                break;
            case Stage::Unswitch:
                enter(Stage::Unwiden);
                break;
            case Stage::Unwiden:
                enter(Stage::Undone);
                break;
            default:
                return;
        }
    }
}

void MigrationStateMachine::fill(wire::News& news, coordinator::SessionId session) const {
    for (schema::Version level : levels_) news.add_levels(level);
    if (now_.id()) *news.mutable_migration() = now_;
    news.set_asked(!ended(stage()) && now_.owner() == 0);
    news.set_mine(session && now_.owner() == session);
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    const Live& live = found->second;
    news.set_refused(!live.said ? on_wire(Error::Silent) : live.refused);
    news.set_about(live.about);
}

std::string MigrationStateMachine::session_update(coordinator::SessionId session) const {
    wire::News news;
    fill(news, session);
    return news.SerializeAsString();
}

std::string MigrationStateMachine::query(std::string_view) const {
    return snapshot();
}

std::string MigrationStateMachine::snapshot() const {
    wire::Machine all;
    for (schema::Version level : levels_) all.add_levels(level);
    for (const auto& [id, live] : sessions_) {
        wire::Session& one = *all.add_sessions();
        one.set_id(id), one.set_name(live.name), one.set_zone(live.zone), one.set_said(live.said);
        one.set_refused(live.refused), one.set_about(live.about);
        for (const schema::Range& range : live.ranges) {
            wire::Range& to = *one.add_ranges();
            to.set_least(range.min), to.set_most(range.max);
        }
    }
    *all.mutable_migration() = now_;
    all.set_epochs(epochs_), all.set_ids(ids_), all.set_revisions(revisions_);
    return all.SerializeAsString();
}

bool MigrationStateMachine::restore(std::uint32_t schema, std::string_view bytes) {
    wire::Machine all;
    if (schema != this->schema() || !all.ParseFromArray(bytes.data(), int(bytes.size()))) return false;
    const wire::Status& status = all.migration();
    std::size_t bits =
        ended(Stage(status.stage())) || Stage(status.stage()) == Stage::Hold ? 0 : (status.shards() + 7) / 8;
    if (std::size_t(all.levels_size()) != kKindCount || std::size_t(all.sessions_size()) > kMaxSessions ||
        status.stage() > std::uint32_t(Stage::Undone) || status.kind() >= kKindCount ||
        status.shards() > kMaxShards || std::uint32_t(status.refusals_size()) != status.shards() ||
        status.done().size() != bits)
        return false;
    std::map<coordinator::SessionId, Live> sessions;
    for (const wire::Session& one : all.sessions()) {
        Live live{one.name(), one.zone(), one.about(), one.said(), {}, one.refused()};
        if (std::size_t(one.ranges_size()) != kKindCount) return false;
        for (std::size_t i = 0; i < kKindCount; ++i)
            live.ranges[i] = {one.ranges(int(i)).least(), one.ranges(int(i)).most()};
        sessions.emplace(one.id(), std::move(live));
    }
    for (std::size_t i = 0; i < kKindCount; ++i) levels_[i] = all.levels(int(i));
    sessions_ = std::move(sessions);
    now_ = status;
    epochs_ = all.epochs(), ids_ = all.ids(), revisions_ = all.revisions();
    return true;
}

}  // namespace ochrehub::schema_migration
