// A federation in virtual time: keepers, lenders' owners and nodes as they ship, on links that are cut, late,
// lossy, with processes that crash and stop and clocks that are wrong. Clients ask at the nodes; what was let
// in is recorded in the world's time, which none of them sees.
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

/// What errs on purpose, each at one place outside of what ships; a judge that sees none of it is worth
/// nothing.
enum class QuotaMutant {
    None,
    ChargesAfterDelay,      ///< lets a request in by a look at the balance, and charges it 50 ms behind
    LeaseFromResponseTime,  ///< a node's lease is counted from when its answer came
    RefundsTwice,
    RefundsReportedCharge,   ///< gives back, as fresh, a charge that was told as spent long ago
    ForgetsLeasesAtRestart,  ///< a next owner begins as if nothing had ever been lent, with a full bucket
    ReturnsAndSpends,        ///< a node says returned, and spends it on
    ReportsSpentTwice,
    IgnoresEpochs,              ///< a stopped owner goes on by an old clock, and the keepers take its records
    LendsFloorsTwice,           ///< the federation lends what sites mint
    StaleClock,                 ///< a node that was stopped works off what waits by the time of before
    AppliesResponseTwice,       ///< an answer that comes twice is granted twice
    CountsSurplusTwice,         ///< what a site gives to the federation is counted twice
    ReportsShrinkInForceEarly,  ///< a smaller budget is said to be in force while more is lent
    MintsAboveCap,              ///< the root counts nothing that is lent against the burst
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
    Duration at{}, duration{};
    std::size_t target = 0;  ///< site, process: by kind
    double magnitude = 0;    ///< part, milliseconds, the other process: by kind
};

struct QuotaSimulationSettings {
    std::size_t sites = 2, nodes = 5;
    Duration length{20'000};
    std::vector<quota::Budget> budgets;
    quota::Timing timing;
    Duration session_duration{1000};  ///< of lenders' owners with their keepers
    /// Amounts a second that clients ask for: by partner, site and time.
    std::function<double(std::size_t partner, std::size_t site, Duration at)> demand;
    double node_skew = 1;           ///< of nodes within a site: the n-th is asked 1/n^skew as much
    double never_ran_share = 0.02;  ///< part of the requests that are given back within 150 ms
    Duration site_delay{20};        ///< more than within a site, at most
    double loss = 0, duplication = 0;
    bool clock_rates_vary = false;  ///< each process's clock is drawn from 0.99 to 1.01
    std::vector<QuotaFault> faults;
    std::vector<quota::Budget> changed_budgets;   ///< of Kind::Budgets
    std::optional<std::size_t> overstating_site;  ///< a site whose owner says that it needs everything
    QuotaMutant mutant = QuotaMutant::None;
    std::uint64_t seed = 1;
    /// At this event, counted, the process crashes (or stops for a while).
    struct FaultAtEvent {
        std::uint64_t event = 0;
        std::size_t process = 0;
        bool pauses = false;
        Duration length{500};
    };
    std::optional<FaultAtEvent> fault_at_event;
};

struct QuotaSimulationResult {
    std::vector<AdmittedRequest> admitted;  ///< in the world's order
    std::uint64_t requests = 0, rejected = 0, refunded = 0, forfeited = 0, messages = 0, event_count = 0,
                  records = 0;
    std::vector<double> offered;        ///< by partner, millionths
    std::optional<Duration> in_force;   ///< when the owners of all lenders first said that `later` is
    std::vector<Duration> retry_times;  ///< what refused clients were told
};

QuotaSimulationResult run(const QuotaSimulationSettings& settings);
/// Faults of every kind, drawn; none after three quarters of the day.
std::vector<QuotaFault> random_faults(std::uint64_t seed, const QuotaSimulationSettings& settings,
                                      std::size_t count);
/// A budget of common size: hard, with floors for each site.
quota::Budget plain_budget(std::string partner, std::int64_t rate, std::int64_t burst, std::size_t sites,
                           std::int64_t floor, std::int64_t floor_burst);
std::string site_name(std::size_t site);

}  // namespace ochrehub::lab
