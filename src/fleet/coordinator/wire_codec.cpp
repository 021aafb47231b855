#include "fleet/coordinator/wire_codec.h"

namespace ochrehub::coordinator {

void encode_session(const SessionInfo& info, wire::SessionRecord& record) {
    record.set_id(info.id);
    record.set_name(info.name);
    record.set_zone(info.zone);
    record.set_instance(info.instance);
    record.set_lease_ms(info.lease_ms);
    record.set_release(info.release);
    record.set_min_schema(info.min_schema);
    record.set_max_schema(info.max_schema);
}

SessionInfo decode_session(const wire::SessionRecord& record) {
    return {.id = record.id(),
            .name = record.name(),
            .zone = record.zone(),
            .instance = record.instance(),
            .attempt = record.attempt(),
            .lease_ms = record.lease_ms(),
            .release = record.release(),
            .min_schema = record.min_schema(),
            .max_schema = record.max_schema()};
}

}  // namespace ochrehub::coordinator
