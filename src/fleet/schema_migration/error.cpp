#include "fleet/schema_migration/error.h"

namespace ochrehub::schema_migration {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"migration.malformed", "is not a message of this version", false,
         "check for a process of another release, or for foreign access to the port"},
        {"migration.unknown-kind", "no kind of shared records has this name", false,
         "see `ochrehub fleet migrate status` for the kinds"},
        {"migration.not-next-to", "a migration can only go to an adjacent schema version", false,
         "migrate by one version at a time"},
        {"migration.running", "another migration is in progress", true,
         "wait until it ends, or undo it with `ochrehub fleet migrate back`"},
        {"migration.nothing", "no migration is in progress", false,
         "start one with `ochrehub fleet migrate start`"},
        {"migration.silent", "an active process has not reported which schema versions it reads", true,
         "wait for a few seconds; otherwise restart that process"},
        {"migration.old-release", "this process does not read what the fleet writes", false,
         "upgrade this process to the release of the others; it must not serve shared records before that"},
        {"migration.new-release", "this process no longer reads what the fleet writes", false,
         "start the release in between, migrate with it, then upgrade this process"},
        {"migration.old-process", "an active process does not read the target schema version", false,
         "upgrade or stop that process, then start or continue the migration"},
        {"migration.stale", "the message is of an older owner, stage or migration", true,
         "nothing: the current owner continues"},
        {"migration.owned", "another process owns the migration", true, "nothing"},
        {"migration.too-late", "the old schema version is being dropped or is gone", false,
         "wait until it ends, then migrate down with a new migration"},
        {"migration.not-yet", "the fleet has not switched yet", true, "wait until the status says `hold`"},
        {"migration.differs", "the two schema versions of a group differ", false,
         "go back, or check the named group and continue: it is converted and compared again"},
        {"migration.refusals", "more writes were refused than the operators allowed", false,
         "find the cause, then continue or go back"},
        {"migration.conversion", "this group cannot be written in the other schema version", false,
         "correct or drop the named group, then continue; or go back"},
        {"migration.full", "the capacity is too low for both schema versions", true,
         "raise the holder's capacity, then continue; or go back, which frees it"},
        {"migration.old-level", "the fleet no longer writes this schema version", false,
         "nothing if the process reads the new version: it retries; otherwise upgrade it"},
        {"migration.new-level", "the fleet does not write this schema version", true,
         "nothing: the process retries with the version that the fleet writes"},
        {"migration.changed", "was written by another process since it was read", true,
         "nothing: the client reads it again"},
        {"migration.elsewhere", "this shard is held by another process", true,
         "nothing: the client reads the shard map again"},
    };
    return kRows[std::size_t(error)];
}

std::string_view name(Stage stage) {
    static constexpr std::string_view kNames[] = {"none",   "widen", "convert",  "compare", "switch", "hold",
                                                  "narrow", "done",  "unswitch", "unwiden", "undone"};
    return kNames[std::size_t(stage)];
}

}  // namespace ochrehub::schema_migration
