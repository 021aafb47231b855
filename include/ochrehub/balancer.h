// The public interface of the decision core: settings, events, actions, Balancer.
//
// One Balancer makes every routing decision of one node. It is a pure state machine: the caller passes each
// event with its timestamp and carries out the returned actions in order. It reads no clock, starts no thread
// and performs no I/O; the same events and seed give the same actions. Endpoints, classes, tenants, zones and
// kinds are integers; their names stay with the caller. Durations and times are in milliseconds.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ochrehub {

/// The node's clock. It advances only with the timestamps of the events passed to Balancer::handle.
struct NodeClock {};
using Duration = std::chrono::duration<double, std::milli>;
using TimePoint = std::chrono::time_point<NodeClock, Duration>;

using RequestId = std::uint64_t;  ///< chosen by the caller, unique within one Balancer
using EndpointId = std::uint32_t;
inline constexpr int kNone = -1;  ///< index of an absent zone, kind or tenant

/// Whether a request may be executed more than once.
enum class Idempotency {
    Idempotent,         ///< any number of executions has the effect of one
    IdempotentWithKey,  ///< endpoints discard repeats of its key within the deduplication window
    NonIdempotent       ///< must never be executed twice
};

/// Which endpoints recognise the repeat of a keyed request: all, or those in the zone or cell of the first.
enum class DeduplicationScope { All, Zone, Cell };

/// One class of requests.
struct ClassSettings {
    Duration latency_objective{};     ///< a response within this earns the full priority weight
    Duration request_timeout{};       ///< how long a client waits, over all attempts
    Duration deduplication_window{};  ///< keyed: how long repeats are discarded, from the first attempt
    double late_response_weight = 0;  ///< fraction of the weight that a response after the objective earns
    double priority_weight = 1;       ///< of one request, relative to other classes
    double latency_objective_per_effort = 0;  ///< ms added to the objective per ms of expected effort
    Idempotency idempotency = Idempotency::NonIdempotent;
    DeduplicationScope deduplication_scope = DeduplicationScope::All;
    bool stream = false;  ///< responses are streamed
};

struct TenantSettings {
    double quota_rps = 0;   ///< requests per second over all nodes; 0: unlimited
    double fair_share = 0;  ///< fraction of the service
};

struct Settings {
    int node_count = 1;      ///< nodes of this tier
    int node_index = kNone;  ///< this node among them, from 0; kNone: unknown
    int zone = kNone;        ///< this node's own
    std::vector<ClassSettings> classes;
    std::vector<TenantSettings> tenants;
    bool polls_discovery = false;    ///< one discovery service answers the polls of all nodes
    bool watches_discovery = false;  ///< updates arrive only on a watch that WatchEndpoints opens
    bool probes = true;              ///< active health checks
    bool probes_report_load = false;
    bool cancel = false;               ///< attempts that are no longer needed are cancelled
    bool allows_hedging = false;       ///< two attempts of one request may be in flight
    bool retry_after = false;          ///< rejections carry Retry-After
    bool removal_not_binding = false;  ///< removed endpoints that pass probes stay in use
    bool weights_track_load = false;   ///< listed weights fall with load and say nothing of capacity
    int max_attempts = 1;
    Duration max_retry_after{};
    Duration clock_granularity{1};
    Duration connect_timeout{1000};
    Duration connection_idle_timeout{10000};  ///< endpoints close a connection idle for this long
    Duration response_grace{};  ///< how long after the client's deadline a final response still counts
    Duration slow_start_duration{};
    double slow_start_initial_capacity = 1;  ///< fraction of its capacity that an endpoint starts with
    double overload_factor = 1;              ///< an endpoint fails at this multiple of its capacity ...
    Duration overload_after{1000};           ///< ... sustained for this long
    double over_quota_weight = 1;            ///< factor on the weight of requests over their tenant's quota
    double cross_zone_cost = 0;              ///< of one attempt in another zone, in requests
    double probe_cost = 0;                   ///< of one probe per first attempt
    double connection_cost = 0;              ///< of 100 open connections to one endpoint
};

enum class Phase { Draining, Removed, Ready };

/// One endpoint as discovery lists it.
struct EndpointEntry {
    EndpointId endpoint = 0;
    std::uint64_t key = 0;  ///< identical on every node; 0: `endpoint` is
    int zone = kNone;
    int kind = kNone;
    int cell = 0;
    Phase phase = Phase::Ready;
    double weight = 1;
    std::optional<TimePoint> last_start;  ///< of its process, if known
};

/// What an endpoint reports about itself.
struct LoadReport {
    std::optional<double> inflight;     ///< requests there
    std::optional<double> queue;        ///< requests of those that wait
    std::optional<double> utilization;  ///< 0 to 1
};

enum class Outcome {
    Ok,
    Error,
    Rejected,  ///< refused by the endpoint without execution
    Timeout,
    ConnectFailed,
    Reset,
    Cancelled,
    NotSent  ///< never written to a connection
};

// Events.
enum class UpdateKind {
    Delta,   ///< changed entries only
    Full,    ///< the whole list
    Cached,  ///< the whole list, from a local copy
    Failed   ///< discovery did not answer; no entries
};
struct EndpointUpdate {
    UpdateKind kind = UpdateKind::Full;
    std::vector<EndpointEntry> entries;
};
struct RequestArrived {
    RequestId request = 0;
    int class_index = 0;
    int tenant = kNone;
    std::optional<std::uint64_t> key;  ///< deduplication key
    TimePoint deadline{};
    bool is_client_retry = false;
    std::optional<Duration> effort;  ///< expected, if the client states it
    bool receiving_body = false;     ///< its body is forwarded as it arrives: no attempt is timed until then
};
/// The last byte of a request with receiving_body has arrived; its deadline starts now.
struct RequestBodyReceived {
    RequestId request = 0;
    TimePoint deadline{};
};
struct AttemptEnded {
    RequestId request = 0;
    int attempt = 0;
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::Ok;
    Duration elapsed{};
    bool request_completed = false;  ///< the request has its final response
    LoadReport report;
    bool replayable = true;  ///< the request can be sent again as a whole
};
struct StreamStarted {
    RequestId request = 0;
    int attempt = 0;
};
struct ProbeEnded {
    EndpointId endpoint = 0;
    Outcome outcome = Outcome::Ok;
    Duration elapsed{};
    LoadReport report;
};
struct ClientDisconnected {
    RequestId request = 0;
};
struct TimerFired {};
/// Operators drain an endpoint from `since` on, whatever discovery lists, or return it. A returned endpoint
/// starts in slow start, as of `since` or of the restart that discovery reported while it was drained.
struct AdminOverride {
    std::uint64_t key = 0;  ///< of its EndpointEntry, or its id where that has none
    bool drained = false;
    TimePoint since{};
};
/// Another process of this node started or ended (takeover): while both run they share the node's budgets.
struct HandoverPeerChanged {
    bool peer_present = false;
};
/// The number of nodes that divide limits, budgets and quotas, and this node's index (kNone: unknown).
/// Replaces the values of the settings.
struct FleetSizeChanged {
    int node_count = 1;  ///< at least 1
    int node_index = kNone;
};
using Event =
    std::variant<EndpointUpdate, RequestArrived, AttemptEnded, StreamStarted, ProbeEnded, ClientDisconnected,
                 TimerFired, AdminOverride, HandoverPeerChanged, RequestBodyReceived, FleetSizeChanged>;

// Actions, to be carried out in order.

/// Start the next attempt; attempts are numbered 0, 1, ... per request.
struct Forward {
    RequestId request;
    EndpointId endpoint;
    Duration timeout;  ///< of this attempt; zero: until the request's deadline
    /// A retry after possible execution must be written by then or not at all.
    TimePoint send_deadline = TimePoint::max();
};
/// Final response: not executed, or safe to repeat; the client may retry after retry_after (zero: no advice).
struct Reject {
    RequestId request;
    Duration retry_after;
};
/// Final response: nothing is known about execution.
struct Fail {
    RequestId request;
};
struct Cancel {
    RequestId request;
    int attempt;
};
struct Probe {
    EndpointId endpoint;
    Duration timeout;
};
struct CloseIdleConnections {
    EndpointId endpoint;
};
/// Poll discovery and watch it for changes from now on.
struct WatchEndpoints {};
/// Pass in TimerFired at the first opportunity at or after `at`. Several may be pending.
struct SetTimer {
    TimePoint at;
};
struct Log {
    std::string text;
};
using Action =
    std::variant<Forward, Reject, Fail, Cancel, Probe, CloseIdleConnections, WatchEndpoints, SetTimer, Log>;
using Actions = std::vector<Action>;

class Balancer {
public:
    Balancer(Settings settings, std::uint64_t seed);
    ~Balancer();
    Balancer(Balancer&&) noexcept;
    Balancer& operator=(Balancer&&) noexcept;

    /// Handles one event that happened at `now` (never earlier than the last) and appends the actions.
    void handle(TimePoint now, const Event& event, Actions& actions);

    /// Listed endpoints that get no new requests: drained by an operator, draining or Unhealthy. As of the
    /// last event.
    std::size_t unavailable_endpoints() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}  // namespace ochrehub
