// What the engine, its fronts and its upstreams say to each other. Nothing here knows a protocol.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub {

/// What a front and an upstream pass through the engine unread. Both must agree on what it is.
struct Message {
    virtual ~Message() = default;
    /// It can still be sent whole, from its first byte.
    virtual bool replayable() const { return true; }
};

/// A request as a front hands it over.
struct IncomingRequest {
    RequestArrived request;  ///< class, tenant, key, deadline and marks; the engine gives it its number
    std::shared_ptr<const Message> message;
};

enum class FinalStatus { Served, Rejected, Failed };

struct FinalResponse {
    FinalStatus status = FinalStatus::Failed;
    Duration retry_after{};                  ///< refused: when to come back; zero: no advice
    bool timed_out = false;                  ///< failed: for want of time
    std::shared_ptr<const Message> message;  ///< served: the server's answer
    Duration server_took{};                  ///< ... since its attempt started
};

/// A front's side of one call. Hears of it exactly once, unless it departs first.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;
    virtual void respond(FinalResponse response) = 0;
    /// Looked at in the instant before an attempt begins, and before its first byte leaves: the client has
    /// closed its connection or called its request off, though nobody has read that yet.
    virtual bool is_client_disconnected() { return false; }
};

struct AttemptId {
    RequestId request = 0;
    int attempt = 0;
};

struct AttemptResult {
    Outcome outcome = Outcome::Reset;
    LoadReport report;
    /// Of an Ok; also of an Error that is the answer all the same, so that nothing else is tried.
    std::shared_ptr<const Message> message;
};

/// The server list as discovery words it, with an address for each entry.
struct EndpointList {
    EndpointUpdate update;
    std::vector<std::string> addresses;  ///< one for each entry
    std::vector<std::string> ids;        ///< ... and what operators call it; empty where nobody does
};

/// Hears how attempts and probes end. Called exactly once for each that was started and not called off.
class UpstreamEvents {
public:
    virtual ~UpstreamEvents() = default;
    /// Somebody still waits for this attempt, and it may still be written. Asked once its connection is up,
    /// which may be long after its start, and before each further write of what was not written at once.
    virtual bool may_send(AttemptId /*id*/) { return true; }
    /// Its request may be sent again where this attempt ends without an answer, though it may have run.
    virtual bool may_retry(AttemptId /*id*/) { return true; }
    virtual void attempt_ended(AttemptId id, AttemptResult result) = 0;
    virtual void probe_ended(EndpointId server, Duration elapsed, Outcome outcome, LoadReport report) = 0;
};

/// Carries attempts to servers. It picks none and sends nothing twice.
class Upstream {
public:
    virtual ~Upstream() = default;
    virtual void update_endpoints(const EndpointList& list) = 0;
    virtual void start_attempt(AttemptId id, EndpointId server, std::shared_ptr<const Message> message,
                               Duration timeout) = 0;
    /// Gives an attempt up, its connection closed on return. False: it was never written whole.
    virtual bool cancel_attempt(AttemptId id) = 0;
    virtual void probe(EndpointId server, Duration timeout) = 0;
    virtual void close_idle_connections(EndpointId server) = 0;
    /// Operators have taken a server out, or put it back: nothing that has not begun goes to one that is out.
    /// For an upstream whose connections are up at once the module's own word is enough.
    virtual void set_admin_override(std::uint64_t /*key*/, bool /*out*/) {}
};

/// Whatever tells of servers; answers each call of watch() with at least one listing, a failed one included.
class DiscoverySource {
public:
    virtual ~DiscoverySource() = default;
    virtual void watch() = 0;
};

}  // namespace ochrehub
