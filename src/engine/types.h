// Interfaces between the engine, its fronts and its upstreams. They are independent of any protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub {

/// A request or response body that the engine passes between front and upstream without reading it. The front
/// and the upstream must agree on the derived type.
struct Message {
    virtual ~Message() = default;
    /// Whether the message can still be sent completely, from its first byte.
    virtual bool replayable() const { return true; }
};

/// A request as a front submits it.
struct IncomingRequest {
    RequestArrived request;  ///< all fields but the request id, which the engine assigns
    std::shared_ptr<const Message> message;
};

enum class FinalStatus { Served, Rejected, Failed };

struct FinalResponse {
    FinalStatus status = FinalStatus::Failed;
    Duration retry_after{};                  ///< Rejected: when to retry; zero: no advice
    bool timed_out = false;                  ///< Failed: because of a timeout
    std::shared_ptr<const Message> message;  ///< Served: the server's response
    Duration server_took{};                  ///< Served: since its attempt was sent
};

/// The front's end of one request. Receives exactly one response, unless the client disconnects first.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    virtual void respond(FinalResponse response) = 0;
    /// Whether the client has closed its connection or cancelled its request, even if that is still unread.
    /// Queried immediately before an attempt starts and before its first byte is sent.
    virtual bool is_client_disconnected() { return false; }
};

struct AttemptId {
    RequestId request = 0;
    int attempt = 0;
};

struct AttemptResult {
    Outcome outcome = Outcome::Reset;
    LoadReport report;
    /// The response of an Ok; also of an Error that is final, so that no other attempt is made.
    std::shared_ptr<const Message> message;
};

/// The server list as discovery provides it, with an address for each entry.
struct EndpointList {
    EndpointUpdate update;
    std::vector<std::string> addresses;  ///< one for each entry
    std::vector<std::string> ids;        ///< one for each entry, as operators know it; empty: there are none
};

/// Receives the end of each attempt and probe, exactly once for each that was started and not cancelled.
class UpstreamEvents {
public:
    virtual ~UpstreamEvents() = default;
    /// Whether the client still waits for this attempt and it may still be written. Queried when its
    /// connection is established, which may be long after its start, and before each later write of remaining
    /// bytes.
    virtual bool may_send(AttemptId /*id*/) { return true; }
    /// Whether the request may be retried if this attempt ends without a response, although it may have been
    /// executed.
    virtual bool may_retry(AttemptId /*id*/) { return true; }
    virtual void attempt_ended(AttemptId id, AttemptResult result) = 0;
    virtual void probe_ended(EndpointId server, Duration elapsed, Outcome outcome, LoadReport report) = 0;
};

/// Sends attempts to the servers that the engine names. It does not choose servers and does not retry.
class Upstream {
public:
    virtual ~Upstream() = default;
    virtual void update_endpoints(const EndpointList& list) = 0;
    virtual void start_attempt(AttemptId id, EndpointId server, std::shared_ptr<const Message> message,
                               Duration timeout) = 0;
    /// Cancels an attempt; its connection is closed on return. False: it was never written completely.
    virtual bool cancel_attempt(AttemptId id) = 0;
    virtual void probe(EndpointId server, Duration timeout) = 0;
    virtual void close_idle_connections(EndpointId server) = 0;
    /// Operators have drained a server, or returned it. An attempt that has not been sent is not sent to a
    /// drained server. An upstream whose connections are established at once needs only the core's actions.
    virtual void set_admin_override(std::uint64_t /*key*/, bool /*drained*/) {}
};

/// A source of server lists. Each call of watch() leads to at least one list, which may be a Failed update.
class DiscoverySource {
public:
    virtual ~DiscoverySource() = default;
    virtual void watch() = 0;
};

}  // namespace ochrehub
