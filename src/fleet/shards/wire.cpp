#include "fleet/shards/wire.h"

#include <cmath>

namespace ochrehub::shards {

void to_wire(const Record& record, wire::Record& out) {
    out.set_kind(record.kind);
    out.set_key(record.key);
    out.set_partner(record.partner);
    out.set_schema(record.schema);
    out.set_version(record.version);
    out.set_request(record.request);
    out.set_payload(record.payload);
    out.set_life(record.lifetime.count());
}
bool from_wire(const wire::Record& in, Record& record) {
    if (in.kind() > 0xFFFF || !std::isfinite(in.life()) || in.life() < 0 || in.key().empty()) return false;
    record.kind = std::uint16_t(in.kind());
    record.key = in.key();
    record.partner = in.partner();
    record.schema = in.schema();
    record.version = in.version();
    record.request = in.request();
    record.payload = in.payload();
    record.lifetime = Duration(in.life());
    return true;
}

void to_wire(std::uint32_t shard, const ShardAssignment& entry, wire::Entry& out) {
    out.set_shard(shard);
    out.set_view(entry.view);
    out.set_origin(entry.origin);
    out.set_lost(entry.lost);
    out.set_first(entry.primary);
    out.set_second(entry.backup);
    out.set_filling(entry.catching_up);
    out.set_yields(entry.stepping_down);
    out.set_second_since(entry.backup_since);
    out.set_filling_since(entry.catching_up_since);
}
ShardAssignment from_wire(const wire::Entry& in) {
    return {in.view(),    in.origin(), in.lost(),         in.first(),        in.second(),
            in.filling(), in.yields(), in.second_since(), in.filling_since()};
}

}  // namespace ochrehub::shards
