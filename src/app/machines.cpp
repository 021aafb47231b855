#include "app/machines.h"

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/leadership/endpoint_list.h"
#include "fleet/leadership/lease_state_machine.h"
#include "fleet/quota/quota_state_machine.h"
#include "fleet/schema_migration/migration_state_machine.h"
#include "fleet/shards/shard_map_planner.h"

namespace ochrehub::app {

// Their order is the same at every keeper; a new one goes to the end.
coordinator::StateMachines machines() {
    coordinator::StateMachines all;
    all.push_back(std::make_unique<leadership::LeaseStateMachine>());
    all.push_back(std::make_unique<shards::ShardMapPlanner>(shards::ShardMapPlanner::Settings{}));
    all.push_back(std::make_unique<leadership::endpoint_list::StateMachine>());
    all.push_back(std::make_unique<schema_migration::MigrationStateMachine>(
        schema_migration::MigrationStateMachine::kInitialVersions));
    all.push_back(std::make_unique<config_distribution::ConfigStateMachine>());
    all.push_back(std::make_unique<quota::QuotaStateMachine>());
    return all;
}

}  // namespace ochrehub::app
