// Migrates many records at one holder at full speed, and prints a table with the duration of each stage and
// of its longest step, which is the time an event loop would be blocked. False: the migration failed.
#pragma once

#include "fleet/schema/schema.h"

namespace ochrehub::lab::migration {

bool run_large_migration(schema::Kind kind, schema::Version from, schema::Version to, std::size_t records,
                         std::uint32_t batch);

}  // namespace ochrehub::lab::migration
