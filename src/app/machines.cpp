#include "app/machines.h"

#include "fleet/agreement/machine.h"
#include "fleet/duty/list.h"
#include "fleet/duty/machine.h"
#include "fleet/migration/machine.h"
#include "fleet/quota/machine.h"
#include "fleet/shards/views.h"

namespace ochrehub::app {

// Their order is the same at every keeper; a new one goes to the end.
keeper::Machines machines() {
    keeper::Machines all;
    all.push_back(std::make_unique<duty::Duties>());
    all.push_back(std::make_unique<shards::Views>(shards::Views::Settings{}));
    all.push_back(std::make_unique<duty::list::Machine>());
    all.push_back(std::make_unique<migration::Migrations>(migration::Migrations::kFirst));
    all.push_back(std::make_unique<agreement::Agreement>());
    all.push_back(std::make_unique<quota::Quotas>());
    return all;
}

}  // namespace ochrehub::app
