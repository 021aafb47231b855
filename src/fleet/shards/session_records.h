// Client sessions as records: which cell and server a client is bound to, and which of its non-repeatable
// requests (orders) are in progress. A client that moves to another node, also after its node died, keeps its
// cell, and no order is sent twice.
//
// Pure functions that build the writes for a shard's holder and interpret its response. A session binding is
// one record; an order is a record of its own, which expires, so that one write decides which node sends it.
// A node that doesn't get Granted doesn't send the order.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/shards/shard_client.h"

namespace ochrehub::shards {

inline constexpr std::uint16_t kSessionBindingKind = 1, kOrderKind = 2;
inline constexpr std::uint32_t kSessionSchema = 1;

struct SessionBinding {
    std::string tenant, client;
    std::uint32_t cell = 0, server = 0;
    std::uint64_t since = 0;  ///< number of earlier bindings
    friend bool operator==(const SessionBinding&, const SessionBinding&) = default;
};
struct Order {
    enum class State : std::uint8_t { Begun, Done, NeverRan, Unknown };
    State state = State::Begun;
    SessionId by = 0;  ///< the node that sends it
    std::uint32_t server = 0, status = 0;
    friend bool operator==(const Order&, const Order&) = default;
};
std::optional<SessionBinding> decode_session_binding(const Record& record);
std::optional<Order> decode_order(const Record& record);

/// Keys, whose parts are separated by zero bytes; a name can't contain one.
std::string session_binding_key(std::string_view tenant, std::string_view client);
std::string order_key(std::string_view tenant, std::string_view client, std::string_view request);

Write read_session_binding(std::string_view tenant, std::string_view client);
/// `replaces`: the current binding as it was read; null: there is none. Changed means that another node has
/// bound the client in the meantime: the binding in the response is the one to use.
Write bind_session(const SessionBinding& binding, const Record* replaces, Duration lifetime);

/// `replaces`: the record of an order that was never executed (NeverExecuted); null: there is none.
Write begin_order(std::string_view tenant, std::string_view client, std::string_view request,
                  const Order& order, Duration lifetime, const Record* replaces = nullptr);
/// Records the outcome; by the node that got Granted, with the version that came with it.
Write finish_order(std::string_view tenant, std::string_view client, std::string_view request,
                   const Order& order, Duration lifetime, std::uint64_t version);

struct OrderClaim {
    enum class Status : std::uint8_t {
        Granted,        ///< this node sends the order; `version` is for finish_order
        NeverExecuted,  ///< may begin again, replacing the current record
        InProgress,     ///< a node that is alive has sent it
        Done,           ///< the server responded, with the status in `order`
        Unknown,        ///< it may have been executed: it is looked up at the servers, not sent again
        Undecided,      ///< no holder decided: it was not sent, and isn't now; the client may retry
    };
    Status status = Status::Undecided;
    std::uint64_t version = 0;
    Order order;
};
/// Interprets the response to begin_order. `is_alive`: whether the node of a session is alive, as far as is
/// known; a wrong value only swaps InProgress and Unknown.
template <class IsAlive>
OrderClaim claim_result(const ShardClient::Completed& response, IsAlive&& is_alive) {
    OrderClaim claim;
    claim.version = response.version;
    if (!response.error) {
        claim.status = OrderClaim::Status::Granted;
    } else if (*response.error == Error::Changed && response.record) {
        std::optional<Order> order = decode_order(*response.record);
        claim.version = response.record->version;
        if (order) claim.order = *order;
        claim.status = !order                                   ? OrderClaim::Status::Unknown
                       : order->state == Order::State::Done     ? OrderClaim::Status::Done
                       : order->state == Order::State::NeverRan ? OrderClaim::Status::NeverExecuted
                       : order->state == Order::State::Begun && is_alive(order->by)
                           ? OrderClaim::Status::InProgress
                           : OrderClaim::Status::Unknown;
    } else if (*response.error == Error::BothHoldersLost) {
        claim.status = OrderClaim::Status::Unknown;
    }
    return claim;
}

}  // namespace ochrehub::shards
