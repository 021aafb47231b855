// The replicated state of schema migrations: the schema version of each kind that the fleet writes, the
// versions that each process with a session reads, and the migration in progress: its stage, its owner's
// epoch and the shards that have completed the stage. A deterministic state machine of the coordinators,
// without time or I/O. Not thread safe.
//
// The written version changes when the stage Switch is entered, and only if every active session reads the
// new version. Until then a process that doesn't read it pauses the migration; afterwards such a process is
// refused. Going back restores the written version at once, and is possible until Narrow.
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
    /// Of a fleet that has never migrated. Never changed, because coordinators of two releases must start
    /// alike.
    static constexpr WrittenVersions kInitialVersions = {3, 2, 1, 1, 1};
    static constexpr std::uint32_t kMaxShards = 4096;
    static constexpr std::size_t kMaxSessions = 10'000;

    /// `first`: the versions that a fleet without any migration writes.
    explicit MigrationStateMachine(const WrittenVersions& first);

    std::string_view kind() const override { return "migration"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    /// Returns the whole state as wire::Machine, for any question.
    std::string query(std::string_view question) const override;
    void session_opened(coordinator::SessionId session, std::string_view name,
                        std::string_view zone) override;
    void session_ended(coordinator::SessionId session) override;
    std::string session_update(coordinator::SessionId session) const override;
    /// There are no timeouts: an owner loses its ownership when its session ends.
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
        std::uint32_t refused = 0;  ///< an on_wire error; zero: none
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
    /// Sets `refused` if this process doesn't read what the fleet writes.
    void check_compatibility(SessionInfo& info) const;
    /// Finds an active session that doesn't read this version or hasn't reported its ranges, and fills `why`.
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
