// A migration of many records at one holder, as fast as it goes: what each stage takes, and the longest step,
// which is what a loop that does it would stand still for. Prints a table; false: it failed.
#pragma once

#include "fleet/schema/schema.h"

namespace ochrehub::lab::migration {

bool run_large_migration(schema::Kind kind, schema::Version from, schema::Version to, std::size_t records,
                         std::uint32_t batch);

}  // namespace ochrehub::lab::migration
