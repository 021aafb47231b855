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

#include "fleet/shards/client.h"

namespace ochrehub::shards {

inline constexpr std::uint16_t kBasketKind = 1, kOrderKind = 2;
inline constexpr std::uint32_t kSessionSchema = 1;

struct Basket {
    std::string tenant, client;
    std::uint32_t cell = 0, server = 0;
    std::uint64_t since = 0;  ///< how often it was bound elsewhere before
    friend bool operator==(const Basket&, const Basket&) = default;
};
struct Order {
    enum class State : std::uint8_t { Begun, Done, NeverRan, Unknown };
    State state = State::Begun;
    SessionId by = 0;  ///< the node that sends it
    std::uint32_t server = 0, status = 0;
    friend bool operator==(const Order&, const Order&) = default;
};
std::optional<Basket> basket_of(const Record& record);
std::optional<Order> order_of(const Record& record);

/// Keys. Zero octets part what they are made of; none may be in a name.
std::string basket_key(std::string_view tenant, std::string_view client);
std::string order_key(std::string_view tenant, std::string_view client, std::string_view request);

Write find_basket(std::string_view tenant, std::string_view client);
/// `over`: the binding that it takes the place of, as it was read. Changed means that another node has bound
/// it meanwhile: that binding, which comes with the answer, is the one to use.
Write bind_basket(const Basket& basket, const Record* over, Duration life);

/// `over`: one that never ran, as `begun` gave it.
Write begin_order(std::string_view tenant, std::string_view client, std::string_view request,
                  const Order& order, Duration life, const Record* over = nullptr);
/// How it ended, by who was told Go, at the version that Go came with.
Write end_order(std::string_view tenant, std::string_view client, std::string_view request,
                const Order& order, Duration life, std::uint64_t version);

struct Begun {
    enum class Verdict : std::uint8_t {
        Go,        ///< it is this node's to send, at `version`
        Again,     ///< it never ran: begin once more over `order`'s record
        UnderWay,  ///< a node that lives has sent it
        Done,      ///< it was answered, with this status
        Unknown,   ///< it may have run: it is not sent again, and looked up at the servers
        Refused,   ///< no holder could say: it was not sent, and is not; the client may come back
    };
    Verdict verdict = Verdict::Refused;
    std::uint64_t version = 0;
    Order order;
};
/// `lives`: whether the node of this session does, as far as is known; a wrong word changes between UnderWay
/// and Unknown alone.
template <class Lives>
Begun begun(const Client::Done& done, Lives&& lives) {
    Begun b;
    b.version = done.version;
    if (!done.error) {
        b.verdict = Begun::Verdict::Go;
    } else if (*done.error == Error::Changed && done.record) {
        std::optional<Order> order = order_of(*done.record);
        b.version = done.record->version;
        if (order) b.order = *order;
        b.verdict = !order                                                    ? Begun::Verdict::Unknown
                    : order->state == Order::State::Done                      ? Begun::Verdict::Done
                    : order->state == Order::State::NeverRan                  ? Begun::Verdict::Again
                    : order->state == Order::State::Begun && lives(order->by) ? Begun::Verdict::UnderWay
                                                                              : Begun::Verdict::Unknown;
    } else if (*done.error == Error::Lost) {
        b.verdict = Begun::Verdict::Unknown;
    }
    return b;
}

}  // namespace ochrehub::shards
