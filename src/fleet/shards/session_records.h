// Sessions in our trade, as records: which rack (cell) and server a client's basket is bound to, and which of
// its orders may not be repeated and are under way. A client that comes to another node, or after its node
// died, keeps its rack, and no order is sent twice.
//
// Pure functions: what to ask of a shard's holder, and what its answer means. A basket is one record; an
// order is one of its own, which ends by itself, so that one write decides who sends it. Whoever is not told
// Go does not send.
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
    std::uint64_t since = 0;  ///< how often it was bound elsewhere before
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

/// Keys. Zero octets part what they are made of; none may be in a name.
std::string session_binding_key(std::string_view tenant, std::string_view client);
std::string order_key(std::string_view tenant, std::string_view client, std::string_view request);

Write read_session_binding(std::string_view tenant, std::string_view client);
/// `over`: the binding that it takes the place of, as it was read. Changed means that another node has bound
/// it meanwhile: that binding, which comes with the answer, is the one to use.
Write bind_session(const SessionBinding& basket, const Record* replaces, Duration lifetime);

/// `over`: one that never ran, as `begun` gave it.
Write begin_order(std::string_view tenant, std::string_view client, std::string_view request,
                  const Order& order, Duration lifetime, const Record* replaces = nullptr);
/// How it ended, by who was told Go, at the version that Go came with.
Write finish_order(std::string_view tenant, std::string_view client, std::string_view request,
                   const Order& order, Duration lifetime, std::uint64_t version);

struct OrderClaim {
    enum class Status : std::uint8_t {
        Granted,        ///< it is this node's to send, at `version`
        NeverExecuted,  ///< it never ran: begin once more over `order`'s record
        InProgress,     ///< a node that lives has sent it
        Done,           ///< it was answered, with this status
        Unknown,        ///< it may have run: it is not sent again, and looked up at the servers
        Undecided,      ///< no holder could say: it was not sent, and is not; the client may come back
    };
    Status status = Status::Undecided;
    std::uint64_t version = 0;
    Order order;
};
/// `lives`: whether the node of this session does, as far as is known; a wrong word changes between UnderWay
/// and Unknown alone.
template <class IsAlive>
OrderClaim claim_result(const ShardClient::Completed& done, IsAlive&& is_alive) {
    OrderClaim b;
    b.version = done.version;
    if (!done.error) {
        b.status = OrderClaim::Status::Granted;
    } else if (*done.error == Error::Changed && done.record) {
        std::optional<Order> order = decode_order(*done.record);
        b.version = done.record->version;
        if (order) b.order = *order;
        b.status = !order                                   ? OrderClaim::Status::Unknown
                   : order->state == Order::State::Done     ? OrderClaim::Status::Done
                   : order->state == Order::State::NeverRan ? OrderClaim::Status::NeverExecuted
                   : order->state == Order::State::Begun && is_alive(order->by)
                       ? OrderClaim::Status::InProgress
                       : OrderClaim::Status::Unknown;
    } else if (*done.error == Error::BothHoldersLost) {
        b.status = OrderClaim::Status::Unknown;
    }
    return b;
}

}  // namespace ochrehub::shards
