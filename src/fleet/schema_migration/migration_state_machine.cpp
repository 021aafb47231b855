#include "fleet/schema_migration/migration_state_machine.h"

#include <limits>
#include <utility>

namespace ochrehub::schema_migration {
namespace {

using schema::kKindCount;

/// Of an error's details, which are part of the state.
constexpr std::size_t kMaxAboutBytes = 256;

void set_error(wire::Answer& response, Error error, std::string_view about = {}) {
    response.set_error(on_wire(error));
    response.set_about(std::string(about));
}
std::string to_text(const schema::Range& range) {
    return std::to_string(range.min) + " to " + std::to_string(range.max);
}
std::uint64_t saturating_add(std::uint64_t a, std::uint64_t b) {
    return b > std::numeric_limits<std::uint64_t>::max() - a ? std::numeric_limits<std::uint64_t>::max()
                                                             : a + b;
}
bool is_bit_set(const std::string& bits, std::uint32_t at) {
    return (std::uint8_t(bits[at / 8]) >> (at % 8) & 1) != 0;
}
/// Adds the counts of one shard to those of the stage. Digests are summed, so that the order of the shards
/// doesn't matter.
void add_counts(wire::Counts& to, const wire::Counts& from) {
    to.set_groups(saturating_add(to.groups(), from.groups()));
    to.set_records_from(saturating_add(to.records_from(), from.records_from()));
    to.set_records_to(saturating_add(to.records_to(), from.records_to()));
    to.set_digest_from(to.digest_from() + from.digest_from());
    to.set_digest_to(to.digest_to() + from.digest_to());
    to.set_spent_from(saturating_add(to.spent_from(), from.spent_from()));
    to.set_spent_to(saturating_add(to.spent_to(), from.spent_to()));
    to.set_differ(saturating_add(to.differ(), from.differ()));
    if (to.differs().empty()) to.set_differs(from.differs().substr(0, kMaxAboutBytes));
}

}  // namespace

MigrationStateMachine::MigrationStateMachine(const WrittenVersions& first) : written_versions_(first) {}

std::string MigrationStateMachine::apply(const coordinator::Command& command) {
    wire::Command what;
    Answer response;
    if (!what.ParseFromArray(command.body.data(), int(command.body.size()))) {
        set_error(response, Error::Malformed);
    } else {
        switch (what.what_case()) {
            case wire::Command::kSays:
                handle_says(command.session, what.says(), response);
                break;
            case wire::Command::kStart:
                handle_start(what.start(), response);
                break;
            case wire::Command::kWant:
                handle_want(command.session, response);
                break;
            case wire::Command::kDid:
                handle_did(command.session, what.did(), response);
                break;
            case wire::Command::kTrouble:
                handle_trouble(command.session, what.trouble(), response);
                break;
            case wire::Command::kSteer:
                handle_steer(what.steer(), response);
                break;
            case wire::Command::kShow:
                break;
            case wire::Command::WHAT_NOT_SET:
                set_error(response, Error::Malformed);
                break;
        }
    }
    advance_stage();
    fill_news(*response.mutable_news(), command.session);
    return response.SerializeAsString();
}

void MigrationStateMachine::session_opened(coordinator::SessionId session, std::string_view name,
                                           std::string_view zone) {
    SessionInfo& info = sessions_[session];
    info = {};
    info.name = name, info.zone = zone;
}

void MigrationStateMachine::session_ended(coordinator::SessionId session) {
    sessions_.erase(session);
    if (migration_.owner() == session) migration_.set_owner(0);
    advance_stage();
}

void MigrationStateMachine::check_compatibility(SessionInfo& info) const {
    info.refused = 0;
    info.about.clear();
    auto needs = [&](std::size_t kind, schema::Version number, std::string_view what) {
        const schema::Range& reads = info.ranges[kind];
        if (info.refused || reads.contains(number)) return;
        info.refused = on_wire(reads.max < number ? Error::OldRelease : Error::NewRelease);
        info.about = info.name + ": " + std::string(schema::name(schema::Kind(kind))) + ": reads " +
                     to_text(reads) + ", the fleet " + std::string(what) + std::to_string(number);
    };
    for (std::size_t i = 0; i < kKindCount; ++i) needs(i, written_versions_[i], "writes ");
    // Going back is still possible, so a process must read the old version too.
    if (stage() == Stage::Switch || stage() == Stage::Hold)
        needs(migration_.kind(), migration_.from(), "may go back to ");
}

void MigrationStateMachine::handle_says(coordinator::SessionId session, const wire::Says& said,
                                        Answer& response) {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return set_error(response, Error::Stale);
    if (std::size_t(said.ranges_size()) != kKindCount) return set_error(response, Error::Malformed);
    SessionInfo& info = found->second;
    for (std::size_t i = 0; i < kKindCount; ++i) {
        info.ranges[i] = {said.ranges(int(i)).least(), said.ranges(int(i)).most()};
        if (info.ranges[i].min == 0 || info.ranges[i].min > info.ranges[i].max)
            return set_error(response, Error::Malformed);
    }
    info.said = true;
    check_compatibility(info);
    if (info.refused) {
        response.set_error(info.refused), response.set_about(info.about);
        return;
    }
    // It may serve with the current version, and the migration can't continue while it does.
    if (!ended(stage()) && stage() < Stage::Switch &&
        !info.ranges[migration_.kind()].contains(migration_.to()))
        pause_with_error(Error::OldProcess, info.name);
}

bool MigrationStateMachine::find_incompatible_session(schema::Kind kind, schema::Version number,
                                                      Failure& why) const {
    for (const auto& [id, info] : sessions_) {
        if (!info.said)
            why = {Error::Silent, info.name};
        else if (!info.refused && !info.ranges[std::size_t(kind)].contains(number))
            why = {Error::OldProcess, info.name};
        else
            continue;
        return true;
    }
    return false;
}

void MigrationStateMachine::handle_start(const wire::Start& start, Answer& response) {
    if (start.kind() >= kKindCount) return set_error(response, Error::UnknownKind);
    if (!ended(stage())) return set_error(response, Error::Running);
    auto kind = schema::Kind(start.kind());
    schema::Version level = written_versions_[start.kind()], to = start.to();
    bool next_to = to + 1 == level || to == level + 1;
    if (!next_to || to == 0 || to > schema::newest_version(kind))
        return set_error(response, Error::NotNextTo, "the level is " + std::to_string(level));
    if (start.shards() == 0 || start.shards() > kMaxShards)
        return set_error(response, Error::Malformed, "shards");
    Failure why;
    if (find_incompatible_session(kind, to, why)) return set_error(response, why.error, why.about);
    migration_.Clear();
    migration_.set_id(++last_id_);
    migration_.set_kind(start.kind()), migration_.set_from(level), migration_.set_to(to),
        migration_.set_shards(start.shards());
    migration_.set_refusals_most(start.refusals()), migration_.set_narrows(start.narrows());
    migration_.mutable_refusals()->Resize(int(start.shards()), 0);
    enter_stage(Stage::Widen);
}

void MigrationStateMachine::handle_want(coordinator::SessionId session, Answer& response) {
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return set_error(response, Error::Stale);
    if (ended(stage())) return set_error(response, Error::Nothing);
    const SessionInfo& info = found->second;
    if (!info.said) return set_error(response, Error::Silent, info.name);
    if (info.refused) return set_error(response, from_wire(info.refused), info.about);
    const schema::Range& reads = info.ranges[migration_.kind()];
    if (!reads.contains(migration_.from()) || !reads.contains(migration_.to()))
        return set_error(response, Error::OldProcess, info.name);
    if (migration_.owner() == session) return;
    if (migration_.owner()) return set_error(response, Error::Owned);
    migration_.set_owner(session);
    migration_.set_epoch(++last_epoch_);
}

bool MigrationStateMachine::is_from_current_owner(coordinator::SessionId session, std::uint64_t id,
                                                  std::uint64_t epoch, std::uint64_t revision,
                                                  std::uint32_t shard) const {
    return session && migration_.owner() == session && migration_.id() == id && migration_.epoch() == epoch &&
           migration_.revision() == revision && works(stage()) && shard < migration_.shards();
}

void MigrationStateMachine::handle_did(coordinator::SessionId session, const wire::Did& did,
                                       Answer& response) {
    if (!is_from_current_owner(session, did.migration(), did.epoch(), did.revision(), did.shard()))
        return set_error(response, Error::Stale);
    const wire::Counts& counts = did.counts();
    if (!is_bit_set(migration_.done(), did.shard())) {
        char& byte = (*migration_.mutable_done())[did.shard() / 8];
        byte = char(std::uint8_t(byte) | 1u << (did.shard() % 8));
        add_counts(*migration_.mutable_counts(), counts);
    }
    if (counts.refusals() > migration_.refusals(int(did.shard())))
        migration_.set_refusals(int(did.shard()), counts.refusals());
    std::uint64_t refusals = 0;
    for (std::uint64_t each : migration_.refusals()) refusals = saturating_add(refusals, each);
    migration_.mutable_counts()->set_refusals(refusals);
    if (stage() == Stage::Compare && (counts.differ() || counts.digest_from() != counts.digest_to() ||
                                      counts.spent_to() < counts.spent_from()))
        return pause_with_error(Error::Differs,
                                "shard " + std::to_string(did.shard()) + ", group " + counts.differs());
    if (stage() < Stage::Narrow && refusals > migration_.refusals_most())
        pause_with_error(Error::Refusals, std::to_string(refusals));
}

void MigrationStateMachine::handle_trouble(coordinator::SessionId session, const wire::Trouble& trouble,
                                           Answer& response) {
    if (!is_from_current_owner(session, trouble.migration(), trouble.epoch(), trouble.revision(),
                               trouble.shard()))
        return set_error(response, Error::Stale);
    pause_with_error(from_wire(trouble.error()), "shard " + std::to_string(trouble.shard()) +
                                                     (trouble.about().empty() ? "" : ", ") + trouble.about());
}

void MigrationStateMachine::handle_steer(wire::Steer way, Answer& response) {
    if (ended(stage())) return set_error(response, Error::Nothing);
    Failure why;
    switch (way) {
        case wire::PAUSE:
            migration_.set_paused(true);
            return;
        case wire::GO_ON:
            if (stage() < Stage::Switch &&
                find_incompatible_session(schema::Kind(migration_.kind()), migration_.to(), why))
                return set_error(response, why.error, why.about);
            // After an error the stage restarts, so that earlier reports are stale. Groups that differed are
            // converted again.
            if (migration_.stopped())
                enter_stage(stage() == Stage::Compare && migration_.stopped() == on_wire(Error::Differs)
                                ? Stage::Convert
                                : stage());
            if (migration_.stopped() == on_wire(Error::Refusals)) {
                // The refusals that the operators have seen are allowed.
                std::uint64_t sum = migration_.refusals_most();
                for (std::uint64_t each : migration_.refusals()) sum = saturating_add(sum, each);
                migration_.set_refusals_most(sum);
            }
            migration_.set_paused(false), migration_.set_stopped(0), migration_.clear_about();
            return;
        case wire::BACK:
            if (stage() == Stage::Narrow) return set_error(response, Error::TooLate);
            if (stage() > Stage::Done) break;  // already going back; resume it if it is paused
            if (stage() >= Stage::Switch) {
                written_versions_[migration_.kind()] = migration_.from();
                for (auto& [id, info] : sessions_)
                    if (info.said) check_compatibility(info);
                enter_stage(Stage::Unswitch);
            } else {
                enter_stage(Stage::Unwiden);
            }
            break;
        case wire::NARROW:
            if (stage() != Stage::Hold) return set_error(response, Error::NotYet);
            migration_.set_narrows(true);
            break;
        default:
            return set_error(response, Error::Malformed);
    }
    migration_.set_paused(false), migration_.set_stopped(0), migration_.clear_about();
}

void MigrationStateMachine::enter_stage(Stage stage) {
    migration_.set_stage(std::uint32_t(stage));
    migration_.set_revision(++last_revision_);
    migration_.set_done(std::string(works(stage) ? (migration_.shards() + 7) / 8 : 0, '\0'));
    migration_.clear_counts();
    if (ended(stage)) migration_.set_owner(0);
}

void MigrationStateMachine::pause_with_error(Error error, std::string_view about) {
    migration_.set_paused(true);
    migration_.set_stopped(on_wire(error));
    migration_.set_about(std::string(about.substr(0, kMaxAboutBytes)));
}

bool MigrationStateMachine::all_shards_done() const {
    if (migration_.done().empty()) return false;
    for (std::uint32_t i = 0; i < migration_.shards(); ++i)
        if (!is_bit_set(migration_.done(), i)) return false;
    return true;
}

void MigrationStateMachine::advance_stage() {
    while (!ended(stage()) && !migration_.paused()) {
        if (stage() == Stage::Hold) {
            if (!migration_.narrows()) return;
            enter_stage(Stage::Narrow);
            return;
        }
        if (!all_shards_done()) return;
        Failure why;
        switch (stage()) {
            case Stage::Widen:
                enter_stage(Stage::Convert);
                break;
            case Stage::Convert:
                enter_stage(Stage::Compare);
                break;
            case Stage::Compare:
                // Waits for a session that hasn't reported its ranges. One that can't read the version has
                // paused the migration when it reported.
                if (find_incompatible_session(schema::Kind(migration_.kind()), migration_.to(), why)) {
                    if (why.error == Error::OldProcess) pause_with_error(why.error, why.about);
                    return;
                }
                written_versions_[migration_.kind()] = migration_.to();
                for (auto& [id, info] : sessions_) check_compatibility(info);
                enter_stage(Stage::Switch);
                break;
            case Stage::Switch:
                enter_stage(Stage::Hold);
                break;
            case Stage::Narrow:
                enter_stage(Stage::Done);
                break;
            case Stage::Unswitch:
                enter_stage(Stage::Unwiden);
                break;
            case Stage::Unwiden:
                enter_stage(Stage::Undone);
                break;
            default:
                return;
        }
    }
}

void MigrationStateMachine::fill_news(wire::News& news, coordinator::SessionId session) const {
    for (schema::Version level : written_versions_) news.add_levels(level);
    if (migration_.id()) *news.mutable_migration() = migration_;
    news.set_asked(!ended(stage()) && migration_.owner() == 0);
    news.set_mine(session && migration_.owner() == session);
    auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    const SessionInfo& info = found->second;
    news.set_refused(!info.said ? on_wire(Error::Silent) : info.refused);
    news.set_about(info.about);
}

std::string MigrationStateMachine::session_update(coordinator::SessionId session) const {
    wire::News news;
    fill_news(news, session);
    return news.SerializeAsString();
}

std::string MigrationStateMachine::query(std::string_view) const {
    return snapshot();
}

std::string MigrationStateMachine::snapshot() const {
    wire::Machine all;
    for (schema::Version level : written_versions_) all.add_levels(level);
    for (const auto& [id, info] : sessions_) {
        wire::Session& one = *all.add_sessions();
        one.set_id(id), one.set_name(info.name), one.set_zone(info.zone), one.set_said(info.said);
        one.set_refused(info.refused), one.set_about(info.about);
        for (const schema::Range& range : info.ranges) {
            wire::Range& to = *one.add_ranges();
            to.set_least(range.min), to.set_most(range.max);
        }
    }
    *all.mutable_migration() = migration_;
    all.set_epochs(last_epoch_), all.set_ids(last_id_), all.set_revisions(last_revision_);
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
    std::map<coordinator::SessionId, SessionInfo> sessions;
    for (const wire::Session& one : all.sessions()) {
        SessionInfo info{one.name(), one.zone(), one.about(), one.said(), {}, one.refused()};
        if (std::size_t(one.ranges_size()) != kKindCount) return false;
        for (std::size_t i = 0; i < kKindCount; ++i)
            info.ranges[i] = {one.ranges(int(i)).least(), one.ranges(int(i)).most()};
        sessions.emplace(one.id(), std::move(info));
    }
    for (std::size_t i = 0; i < kKindCount; ++i) written_versions_[i] = all.levels(int(i));
    sessions_ = std::move(sessions);
    migration_ = status;
    last_epoch_ = all.epochs(), last_id_ = all.ids(), last_revision_ = all.revisions();
    return true;
}

}  // namespace ochrehub::schema_migration
