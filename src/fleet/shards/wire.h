// Conversion between protobuf messages and the structs of the shards.
#pragma once

#include <shards.pb.h>

#include "fleet/shards/shard_map_planner.h"
#include "fleet/shards/table.h"

namespace ochrehub::shards {

void to_wire(const Record& record, wire::Record& out);
/// False: not a valid record.
bool from_wire(const wire::Record& in, Record& record);
void to_wire(std::uint32_t shard, const ShardAssignment& entry, wire::Entry& out);
ShardAssignment from_wire(const wire::Entry& in);

}  // namespace ochrehub::shards
