#include "fleet/schema_migration/error.h"

namespace ochrehub::schema_migration {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"migration.malformed", "is no message of this version", false,
         "look for a process of another release or a port that others reach"},
        {"migration.unknown-kind", "no kind of shared record has this name", false,
         "see `ochrehub fleet migrate status` for the kinds"},
        {"migration.not-next-to", "a migration goes to a neighbour of the fleet's level", false,
         "migrate by one schema at a time"},
        {"migration.running", "another migration is under way", true,
         "let it end, or take it back with `ochrehub fleet migrate back`"},
        {"migration.nothing", "no migration is under way", false,
         "begin one with `ochrehub fleet migrate start`"},
        {"migration.silent", "a live process has not said which schemas it reads", true,
         "wait for a few seconds; else restart that process"},
        {"migration.old-release", "this process does not read what the fleet writes", false,
         "upgrade this process to the release that the others run; it must not serve shared records before"},
        {"migration.new-release", "this process no longer reads what the fleet writes", false,
         "start the release between, migrate with it, then upgrade this process"},
        {"migration.old-process", "a live process does not read the schema that the migration goes to", false,
         "upgrade or stop that process, then `ochrehub fleet migrate start` or go on"},
        {"migration.stale", "an older owner, stage or migration", true,
         "nothing: whoever took it over goes on"},
        {"migration.owned", "another process owns it", true, "nothing"},
        {"migration.too-late", "the old form is being dropped or is gone", false,
         "let it end, then migrate down with a migration of its own"},
        {"migration.not-yet", "the fleet has not switched", true, "wait until the status says `hold`"},
        {"migration.differs", "the two forms differ", false,
         "go back, or look at the named group and go on: it converts and compares once more"},
        {"migration.refusals", "more was refused than the operators allowed", false,
         "look for the cause, then go on or back"},
        {"migration.conversion", "this group cannot be written in the other schema", false,
         "correct or drop the named group, then go on; or go back"},
        {"migration.full", "there is no room for both forms", true,
         "give the holder room, then go on; or go back, which frees it"},
        {"migration.old-level", "the fleet no longer writes this schema", false,
         "nothing where the process reads the new one: it tries again; else upgrade it"},
        {"migration.new-level", "the fleet does not write this schema", true,
         "nothing: the process tries again by the fleet's level"},
        {"migration.changed", "was written by another meanwhile", true, "nothing: whoever asked reads again"},
        {"migration.elsewhere", "this shard is held by another process", true,
         "nothing: whoever asked looks at the map again"},
    };
    return kRows[std::size_t(error)];
}

std::string_view name(Stage stage) {
    static constexpr std::string_view kNames[] = {"none",   "widen", "convert",  "compare", "switch", "hold",
                                                  "narrow", "done",  "unswitch", "unwiden", "undone"};
    return kNames[std::size_t(stage)];
}

}  // namespace ochrehub::schema_migration
