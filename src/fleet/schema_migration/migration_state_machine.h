// What a majority of keepers knows of levels and migrations: which schema the fleet writes of each kind, what
// each live process reads, and the one migration that is under way: its stage, its owner's epoch, which
// shards are through. A machine as all are: no time, no I/O, the same at every keeper. One thread at a time.
//
// The level changes at the entry to Switch, and only where each live session reads the new schema. Until then
// a process that does not stops the migration; from then on it is refused. The way back sets the level back
// at once, and is open until Narrow.
#pragma once

#include <schema_migration.pb.h>

#include <array>
#include <map>
#include <string>
#include <string_view>

#include "fleet/coordinator/state_machine.h"
#include "fleet/schema_migration/error.h"

namespace ochrehub::schema_migration {

class MigrationStateMachine : public coordinator::StateMachine {
public:
    using WrittenVersions = std::array<schema::Version, schema::kKindCount>;
    /// Of a fleet that has never migrated. Keepers of two releases begin alike: this is never changed.
    static constexpr WrittenVersions kInitialVersions = {3, 2, 1, 1, 1};
    static constexpr std::uint32_t kMaxShards = 4096;
    static constexpr std::size_t kMaxSessions = 10'000;

    /// `first`: the levels of a fleet that has never migrated.
    explicit MigrationStateMachine(const WrittenVersions& first);

    std::string_view kind() const override { return "migration"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    /// Whatever is asked: all of it, as wire::Machine.
    std::string query(std::string_view question) const override;
    void session_opened(coordinator::SessionId session, std::string_view name,
                        std::string_view zone) override;
    void session_ended(coordinator::SessionId session) override;
    std::string session_update(coordinator::SessionId session) const override;
    /// Nothing here ends by time: an owner is lost with its session.
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    const WrittenVersions& written_versions() const { return written_versions_; }
    const wire::Status& migration() const { return migration_; }
    Stage stage() const { return Stage(migration_.stage()); }

private:
    struct SessionInfo {
        std::string name, zone, about;
        bool said = false;
        schema::Ranges ranges;
        std::uint32_t refused = 0;  ///< as on the wire
    };
    using Answer = wire::Answer;

    void handle_says(coordinator::SessionId session, const wire::Says& said, Answer& response);
    void handle_start(const wire::Start& start, Answer& response);
    void handle_want(coordinator::SessionId session, Answer& response);
    void handle_did(coordinator::SessionId session, const wire::Did& did, Answer& response);
    void handle_trouble(coordinator::SessionId session, const wire::Trouble& trouble, Answer& response);
    void handle_steer(wire::Steer way, Answer& response);

    bool is_from_current_owner(coordinator::SessionId session, std::uint64_t id, std::uint64_t epoch,
                               std::uint64_t revision, std::uint32_t shard) const;
    /// Whether this one may read and write by the levels of now.
    void check_compatibility(SessionInfo& info) const;
    /// The first live session that does not read this, or has not said: fills `why`.
    bool find_incompatible_session(schema::Kind kind, schema::Version number, Failure& why) const;
    void enter_stage(Stage stage);
    void advance_stage();
    void pause_with_error(Error error, std::string_view about);
    void fill_news(wire::News& news, coordinator::SessionId session) const;
    bool all_shards_done() const;

    WrittenVersions written_versions_;
    std::map<coordinator::SessionId, SessionInfo> sessions_;
    wire::Status migration_;
    std::uint64_t last_epoch_ = 0, last_id_ = 0, last_revision_ = 0;
};

}  // namespace ochrehub::schema_migration
