// A tier whose nodes use the replicated endpoint list, in virtual time: coordinators, nodes with every core
// as shipped, and a discovery service that responds to requests at a limited rate. What is checked comes from
// discovery's and the nodes' records: when discovery listed a server as draining, which node it sent that to,
// and how long nodes still sent requests to the server.
//
// Single-threaded. Every random number comes from the seed.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/leadership/endpoint_list_follower.h"
#include "fleet/leadership/endpoint_list_publisher.h"
#include "fleet/leadership/lease_holder.h"
#include "lab/leadership/session_clients.h"
#include "lab/leadership/simulated_coordinators.h"

namespace ochrehub::lab::leadership {

/// Known-faulty implementations, each with the fault that reveals it.
enum class EndpointListMutant {
    None,
    NeverAsksItself,   ///< nodes never watch discovery: a publisher that hangs and goes on renewing
    CountsFromNews,    ///< a list counts as of when its update arrived: the same
    ReportsUnasked,    ///< the publisher reports no change without polling discovery: no fault needed
    AsksAtOnce,        ///< no jitter: discovery is flooded once the coordinators are down
    OwnerIgnoresTold,  ///< the publisher uses the replicated list alone: a one-sided cut
};
inline constexpr std::size_t kEndpointListMutants = 6;  ///< with None
std::string_view name(EndpointListMutant mutant);

struct EndpointListSimulationSettings {
    std::size_t keepers = 3;
    std::size_t nodes = 5;
    std::size_t servers = 20;
    bool real = false;               ///< Raft, replicas and sessions as shipped; else SimulatedCoordinators
    bool replicated = true;          ///< false: each node watches discovery by itself
    Duration drain_interval{3000};   ///< a server drains, is removed 3 s later, and a new one comes
    double calls_per_s = 200;        ///< that discovery responds to
    Duration publisher_watch{2000};  ///< the publisher's watch timeout
    Duration max_age{6000};          ///< of a node's list, before it watches discovery itself
    Duration own_watch{5000};        ///< the watch timeout of a node that watches discovery itself
    Duration known_limit{2000};      ///< from discovery's response to a node to that node's last request
    Duration poll_limit{10'000};     ///< for which a node may be without a response of discovery's
    std::uint64_t seed = 1;
    EndpointListMutant mutant = EndpointListMutant::None;
};

/// Faults of the node that publishes, or of all coordinators.
enum class PublisherFault {
    Kill,
    Stop,
    CutToKeepers,
    CutFromKeepers,
    CutToDiscovery,
    CutFromDiscovery,
    Hang,  ///< its publisher handles no response, while the process goes on renewing its session
    KeepersGone,
    KeepersAndBack
};
std::string_view name(PublisherFault fault);

struct EndpointListOutcome {
    std::uint64_t calls = 0;   ///< to discovery
    std::uint64_t failed = 0;  ///< of those
    std::uint64_t drains = 0;
    double seconds = 0;
    std::vector<Duration> known_after;  ///< per drain and node: from the listing to its last request, sorted
    std::vector<std::string> violations;  ///< requests that a node sent for longer than it may
};

class EndpointListSimulation {
public:
    explicit EndpointListSimulation(const EndpointListSimulationSettings& settings);
    ~EndpointListSimulation();
    EndpointListSimulation(const EndpointListSimulation&) = delete;
    EndpointListSimulation& operator=(const EndpointListSimulation&) = delete;

    void run_to(TimePoint at);
    /// Injects a fault into the node that publishes when event `n` comes, and undoes it after `duration`.
    void inject_at(std::uint64_t n, PublisherFault fault, Duration duration);
    void inject(PublisherFault fault, Duration duration);
    std::uint64_t events() const { return events_; }
    TimePoint now() const { return net_.now(); }
    /// The process that publishes; none: not now.
    std::optional<std::size_t> publisher() const;
    std::uint64_t calls() const { return outcome_.calls; }
    EndpointListOutcome outcome();

private:
    struct Node;
    struct Discovery;
    struct PlannedFault {
        std::uint64_t event = 0;
        PublisherFault fault{};
        Duration duration{};
    };
    struct ActiveFault {
        TimePoint ends_at{};
        std::size_t process = 0;  ///< meaningless for faults of the coordinators
        PublisherFault fault{};
    };

    static NetSettings net_settings(const EndpointListSimulationSettings& settings);
    void on_timer(std::size_t process, TimePoint own);
    void on_message(std::size_t to, std::size_t from, TimePoint own, const Message& message);
    void count_event();
    void inject_into(std::size_t process, PublisherFault fault);
    void undo(const ActiveFault& fault);
    void undo_due_faults();
    TimePoint last_request_limit(const Node& node, const std::string& server, TimePoint listed) const;
    std::size_t discovery() const { return set_.keepers + set_.nodes; }
    Node& node(std::size_t process) { return *nodes_[process - set_.keepers]; }

    EndpointListSimulationSettings set_;
    Network net_;
    std::unique_ptr<Coordinators> coordinators_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unique_ptr<Discovery> discovery_;
    std::vector<PlannedFault> planned_faults_;
    std::vector<ActiveFault> active_faults_;
    std::uint64_t events_ = 0;
    std::map<std::size_t, TimePoint> excused_until_;  ///< nodes that were paused or killed
    EndpointListOutcome outcome_;
};

struct EndpointListResult {
    std::uint64_t runs = 0;
    std::uint64_t drains = 0;
    std::uint64_t violations = 0;  ///< runs with at least one
    std::uint64_t calls = 0;
    std::uint64_t failed = 0;
    double seconds = 0;
    Duration worst{};             ///< of EndpointListOutcome::known_after
    std::string first_violation;  ///< with the run that shows it
    void add(EndpointListSimulation& simulation, const std::string& run);
};

/// The fault at events `first`, `first + stride`, ... between the 5th and the 15th second; runs of 45 s.
struct EndpointListFaults {
    PublisherFault fault{};
    Duration duration{};
    std::uint64_t first = 1;
    std::uint64_t stride = 1;
};
EndpointListResult fault_at_each_event(const EndpointListSimulationSettings& settings,
                                       const EndpointListFaults& faults);
/// The runs that are to reveal mutant `revealed`, with mutant `in_effect`: the same, or None.
EndpointListResult endpoint_list_runs_for_mutant(EndpointListMutant revealed, EndpointListMutant in_effect);

}  // namespace ochrehub::lab::leadership
