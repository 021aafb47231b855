// The publisher of the replicated endpoint list: the node that holds the role "list" watches discovery for
// the whole tier and reports each response to the state machine (endpoint_list.h). A core without I/O; it
// does not decide who holds the role (lease_holder.h).
//
// Clock: the process's monotonic clock, as passed to each call. Not thread-safe.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/leadership/endpoint_list.h"

namespace ochrehub::leadership::endpoint_list {

struct PublisherSettings {
    Duration watch_timeout{2000};   ///< of a watch: how often rounds are confirmed while nothing changes
    Duration response_grace{2500};  ///< how much later than watch_timeout discovery may respond
    /// A report without a response is sent again after this time. Zero: the shell retries by itself.
    Duration retry_interval{500};
    Duration initial_backoff{250};  ///< after a failed request to discovery; doubles with each
    Duration max_backoff{1200};
    /// Without any response of discovery's for this long the lease is released: another node may reach it.
    Duration discovery_timeout{2500};
};

// Events

/// leadership::StartWork.
struct LeaseAcquired {
    Epoch epoch = 0;
};
/// leadership::StopWork.
struct LeaseRevoked {};
/// Discovery has responded to a StartWatch.
struct DiscoveryCompleted {
    std::uint64_t watch_id = 0;  ///< StartWatch::watch_id
    DiscoveryResult result;
};
struct DiscoveryFailed {
    std::uint64_t watch_id = 0;  ///< StartWatch::watch_id
};
/// The state machine has responded to a SendCommand.
struct CommandCompleted {
    std::uint64_t request_id = 0;  ///< SendCommand::request_id
    std::string response;          ///< encoded CommandResponse
};
/// The time of the last PublisherSetTimer was reached.
struct PublisherTimerFired {};
using PublisherEvent = std::variant<LeaseAcquired, LeaseRevoked, DiscoveryCompleted, DiscoveryFailed,
                                    CommandCompleted, PublisherTimerFired>;

// Actions

/// Send a request to discovery; it replaces the one in flight.
struct StartWatch {
    std::uint64_t watch_id = 0;
    std::optional<std::uint64_t> since_revision;  ///< changes since then; none: the full list
    Duration timeout{};                           ///< for which discovery may wait for a change
};
/// This node uses a response of discovery's at once, whatever becomes of the report (DiscoveryResultUsed to
/// its Follower).
struct UseDiscoveryResult {
    DiscoveryResult result;
};
struct CancelWatch {};
struct SendCommand {
    std::uint64_t request_id = 0;  ///< the same when it is sent again
    std::string command;           ///< encoded
};
/// leadership::ReleaseLease: discovery cannot be reached from here, or a newer publisher exists.
struct ReleaseLease {};
/// leadership::WorkStopped.
struct PublisherStopped {};
/// Replaces the previous timer.
struct PublisherSetTimer {
    TimePoint at{};
};
using PublisherAction = std::variant<StartWatch, UseDiscoveryResult, CancelWatch, SendCommand, ReleaseLease,
                                     PublisherStopped, PublisherSetTimer>;
using PublisherActions = std::vector<PublisherAction>;

/// One request to discovery or one command is in flight at a time, and discovery is polled only once the
/// round that the response is to close is known:
///
///     idle --LeaseAcquired--> reporting (OpenEpoch) --CommandCompleted--> watching
///     watching --DiscoveryCompleted--> reporting (Report) --CommandCompleted--> watching
///     watching --failure, timeout--> backing off --timer--> watching
///     watching --no response for discovery_timeout--> released
///     reporting --rejected for good--> released; --rejected else--> reporting (OpenEpoch)
///     any --LeaseRevoked--> idle
class Publisher {
public:
    explicit Publisher(const PublisherSettings& settings = {}) : settings_(settings) {}
    void handle(TimePoint now, const PublisherEvent& event, PublisherActions& actions);

private:
    enum class Phase { Idle, Reporting, Watching, BackingOff, Released };

    void on(TimePoint now, const LeaseAcquired& event, PublisherActions& actions);
    void on(TimePoint now, const LeaseRevoked& event, PublisherActions& actions);
    void on(TimePoint now, const DiscoveryCompleted& event, PublisherActions& actions);
    void on(TimePoint now, const DiscoveryFailed& event, PublisherActions& actions);
    void on(TimePoint now, const CommandCompleted& event, PublisherActions& actions);
    void on(TimePoint now, const PublisherTimerFired& event, PublisherActions& actions);

    void open_epoch(TimePoint now, PublisherActions& actions);
    void send(TimePoint now, std::string command, PublisherActions& actions);
    void watch(TimePoint now, PublisherActions& actions);
    void on_watch_failed(TimePoint now, PublisherActions& actions);
    void release(PublisherActions& actions);
    void set_timer(TimePoint at, PublisherActions& actions);

    PublisherSettings settings_;
    Phase phase_ = Phase::Idle;
    Epoch epoch_ = 0;               ///< of the lease; valid unless idle
    std::uint64_t version_ = 0;     ///< of the list, as the last response showed it
    std::uint64_t open_round_ = 0;  ///< as the last response showed it
    std::uint64_t last_watch_id_ = 0;
    std::uint64_t last_request_id_ = 0;
    std::optional<std::uint64_t> revision_;  ///< discovery's, of its last response under this epoch
    std::string last_command_;               ///< in flight while reporting
    int failures_ = 0;                       ///< of requests to discovery since its last response
    TimePoint timer_at_{};                   ///< valid while reporting, watching or backing off
    TimePoint last_discovery_response_{};    ///< at first when the epoch was opened
};

}  // namespace ochrehub::leadership::endpoint_list
