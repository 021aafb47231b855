#include "fleet/shards/session_records.h"

#include "fleet/shards/wire.h"

namespace ochrehub::shards {
namespace {

Write make_write(std::uint16_t kind, std::string_view tenant, std::string key, Duration lifetime) {
    Write w;
    w.record.kind = kind;
    w.record.schema = kSessionSchema;
    w.record.partner = partner_id(tenant);
    w.record.lifetime = lifetime;
    w.record.key = std::move(key);
    return w;
}
std::string encode(const Order& order) {
    wire::Order out;
    out.set_state(wire::Order::State(order.state));
    out.set_by(order.by);
    out.set_server(order.server);
    out.set_status(order.status);
    return out.SerializeAsString();
}

}  // namespace

std::optional<SessionBinding> decode_session_binding(const Record& record) {
    wire::Basket in;
    if (record.kind != kSessionBindingKind || record.schema != kSessionSchema ||
        !in.ParseFromString(record.payload))
        return {};
    return SessionBinding{in.tenant(), in.client(), in.cell(), in.server(), in.since()};
}
std::optional<Order> decode_order(const Record& record) {
    wire::Order in;
    if (record.kind != kOrderKind || record.schema != kSessionSchema || !in.ParseFromString(record.payload) ||
        !wire::Order::State_IsValid(in.state()))
        return {};
    return Order{Order::State(in.state()), in.by(), in.server(), in.status()};
}

std::string session_binding_key(std::string_view tenant, std::string_view client) {
    return std::string(tenant).append(1, '\0').append(client);
}
std::string order_key(std::string_view tenant, std::string_view client, std::string_view request) {
    return session_binding_key(tenant, client).append(1, '\0').append(request);
}

Write read_session_binding(std::string_view tenant, std::string_view client) {
    return make_write(kSessionBindingKind, tenant, session_binding_key(tenant, client), {});
}

Write bind_session(const SessionBinding& binding, const Record* replaces, Duration lifetime) {
    Write w = make_write(kSessionBindingKind, binding.tenant,
                         session_binding_key(binding.tenant, binding.client), lifetime);
    w.expected_version = replaces ? replaces->version : 0;
    wire::Basket out;
    out.set_tenant(binding.tenant);
    out.set_client(binding.client);
    out.set_cell(binding.cell);
    out.set_server(binding.server);
    out.set_since(binding.since);
    w.record.payload = out.SerializeAsString();
    return w;
}

Write begin_order(std::string_view tenant, std::string_view client, std::string_view request,
                  const Order& order, Duration lifetime, const Record* replaces) {
    Write w = make_write(kOrderKind, tenant, order_key(tenant, client, request), lifetime);
    w.expected_version = replaces ? replaces->version : 0;
    w.record.payload = encode(order);
    return w;
}

Write finish_order(std::string_view tenant, std::string_view client, std::string_view request,
                   const Order& order, Duration lifetime, std::uint64_t version) {
    Write w = make_write(kOrderKind, tenant, order_key(tenant, client, request), lifetime);
    w.expected_version = version;
    w.record.payload = encode(order);
    return w;
}

}  // namespace ochrehub::shards
