// A federation in virtual time: the production cores of coordinators, allocator owners and nodes on a network
// with partitions, delays and losses, with processes that crash and pause and clocks that drift. Clients send
// requests to the nodes; admitted requests are recorded in the simulation's time, which no process reads.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/quota/quota_limiter.h"
#include "fleet/quota/quota_state_machine.h"
#include "lab/quota/invariant_checker.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab {

/// Planted faults, each at one place outside of the production code. The invariant checker has to detect
/// every one of them.
enum class QuotaMutant {
    None,
    ChargesAfterDelay,      ///< admits a request by the balance alone, and charges it 50 ms later
    LeaseFromResponseTime,  ///< a node's lease is counted from when the response arrived
    RefundsTwice,
    RefundsReportedCharge,   ///< refunds a charge that was reported as spent long ago
    ForgetsLeasesAtRestart,  ///< a new owner starts as if nothing had ever been lent, with a full bucket
    ReturnsAndSpends,        ///< a node reports amounts as returned and spends them
    ReportsSpentTwice,
    IgnoresEpochs,     ///< a paused owner resumes by an old clock, and the coordinators accept its records
    LendsFloorsTwice,  ///< the federation also lends what sites mint
    StaleClock,        ///< a resumed node handles its queue with the time from before the pause
    AppliesResponseTwice,       ///< the grant of a duplicated response is added twice
    CountsSurplusTwice,         ///< the floor surplus that a site passes to the federation is counted twice
    ReportsShrinkInForceEarly,  ///< a reduced budget is reported in force while more is lent
    MintsAboveCap,              ///< the root does not count what is lent against the burst
};
std::string_view name(QuotaMutant mutant);

struct QuotaFault {
    enum class Kind {
        CutSite,
        CutSiteOneWay,
        CutNode,
        CutLink,
        Pause,
        Crash,
        CrashAllNodes,
        ClockRate,
        ExtraDelay,
        DelayedResponses,
        MessageLoss,
        MessageDuplication,
        SiteLost,
        ChangeBudgets
    };
    Kind kind{};
    Duration at{};  ///< since the start of the run
    Duration duration{};
    std::size_t target = 0;  ///< by kind: a site or a process, modulo their number
    double magnitude = 0;    ///< by kind: a probability, milliseconds, or the other process of a link
};

struct QuotaSimulationSettings {
    std::size_t sites = 2;
    std::size_t nodes = 5;  ///< per site
    Duration length{20'000};
    std::vector<quota::Budget> budgets;
    quota::Timing timing;
    Duration session_duration{1000};  ///< of allocator owners with their coordinators
    /// The load that clients offer, in requests per second, by partner, site and time.
    std::function<double(std::size_t partner, std::size_t site, Duration at)> demand;
    double node_skew = 1;  ///< the n-th node of a site receives 1/n^node_skew of the first node's load
    double never_ran_share = 0.02;  ///< share of the admitted requests that are refunded within 150 ms
    Duration site_delay{20};        ///< limit of the extra delay between sites
    double loss = 0;                ///< probability per message
    double duplication = 0;         ///< probability per message
    bool clock_rates_vary = false;  ///< each process's clock rate is random, 0.99 to 1.01
    std::vector<QuotaFault> faults;
    std::vector<quota::Budget> changed_budgets;   ///< set by Kind::ChangeBudgets
    std::optional<std::size_t> overstating_site;  ///< a site whose allocator requests the highest demand
    QuotaMutant mutant = QuotaMutant::None;
    std::uint64_t seed = 1;
    /// The process crashes, or pauses, at the event with this number.
    struct FaultAtEvent {
        std::uint64_t event = 0;
        std::size_t process = 0;
        bool pauses = false;
        Duration length{500};
    };
    std::optional<FaultAtEvent> fault_at_event;
};

struct QuotaSimulationResult {
    std::vector<AdmittedRequest> admitted;  ///< by time
    std::uint64_t requests = 0;
    std::uint64_t rejected = 0;
    std::uint64_t refunded = 0;
    std::uint64_t forfeited = 0;  ///< refunds that came too late
    std::uint64_t messages = 0;
    std::uint64_t event_count = 0;
    std::uint64_t records = 0;    ///< commands that the state machines applied
    std::vector<double> offered;  ///< by partner, millionths
    std::optional<Duration>
        in_force;  ///< when the owners of all allocators first reported changed_budgets in force
    std::vector<Duration> retry_times;  ///< of rejected requests, up to 100'000 of them
};

QuotaSimulationResult run(const QuotaSimulationSettings& settings);
/// Random faults of many kinds; none lasts beyond three quarters of the run.
std::vector<QuotaFault> random_faults(std::uint64_t seed, const QuotaSimulationSettings& settings,
                                      std::size_t count);
/// A hard budget with the same floor for each site; amounts in requests. `floor` zero: no floors.
quota::Budget plain_budget(std::string partner, std::int64_t rate, std::int64_t burst, std::size_t sites,
                           std::int64_t floor, std::int64_t floor_burst);
std::string site_name(std::size_t site);

}  // namespace ochrehub::lab
