// Nodes that use the replicated endpoint list: how often discovery is called, and for how long drained
// servers are still sent requests.
#include <gtest/gtest.h>

#include "lab/leadership/endpoint_list_simulation.h"

namespace ochrehub::lab::leadership {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

TEST(EndpointListSimulation, AHundredNodesCallDiscoveryAboutAsOftenAsOne) {
    EndpointListSimulationSettings tier;
    tier.nodes = 100;
    EndpointListSimulation simulation(tier);
    simulation.run_to(at(60'000));
    EndpointListOutcome replicated = simulation.outcome();
    EndpointListSimulationSettings one;
    one.nodes = 1;
    one.replicated = false;
    EndpointListSimulation alone(one);
    alone.run_to(at(60'000));
    EXPECT_TRUE(replicated.violations.empty()) << replicated.violations.front();
    EXPECT_GE(replicated.drains, 15u);
    EXPECT_EQ(replicated.failed, 0u);
    EXPECT_LT(double(replicated.calls), 2 * double(alone.outcome().calls));
    EXPECT_LT(replicated.known_after.back(), Duration{1300});  // a renewal, and its transit
}

TEST(EndpointListSimulation, NoDrainIsLateWithAFaultOfThePublisherAtAnyEvent) {
    for (PublisherFault fault : {PublisherFault::Kill, PublisherFault::Stop, PublisherFault::CutToKeepers,
                                 PublisherFault::CutFromKeepers, PublisherFault::CutToDiscovery,
                                 PublisherFault::CutFromDiscovery, PublisherFault::Hang}) {
        EndpointListResult result = fault_at_each_event({}, {fault, Duration{9000}, 1, 113});
        EXPECT_GE(result.runs, 10u);
        EXPECT_EQ(result.violations, 0u) << result.first_violation;
    }
}

// The same over Raft, replicas and sessions as shipped.
TEST(EndpointListSimulationOverRaft, NoDrainIsLateWithAFaultOfThePublisherAtAnyEvent) {
    EndpointListSimulationSettings settings;
    settings.real = true;
    for (PublisherFault fault : {PublisherFault::Kill, PublisherFault::Stop, PublisherFault::CutToKeepers,
                                 PublisherFault::CutFromDiscovery, PublisherFault::KeepersAndBack}) {
        EndpointListResult result = fault_at_each_event(settings, {fault, Duration{9000}, 1, 301});
        EXPECT_GE(result.runs, 5u);
        EXPECT_EQ(result.violations, 0u) << result.first_violation;
    }
}

TEST(EndpointListSimulation, NodesWatchDiscoveryWhileCoordinatorsAreDownAndStopOnceTheyAreBack) {
    EndpointListSimulationSettings tier;
    tier.nodes = 100;
    EndpointListSimulation simulation(tier);
    simulation.run_to(at(10'000));
    simulation.inject(PublisherFault::KeepersAndBack, Duration{30'000});
    simulation.run_to(at(55'000));
    std::uint64_t calls_before = simulation.calls();
    simulation.run_to(at(75'000));
    EndpointListOutcome outcome = simulation.outcome();
    EXPECT_TRUE(outcome.violations.empty()) << outcome.violations.front();
    EXPECT_LT(double(simulation.calls() - calls_before), 40.0);
}

class EndpointListMutants : public testing::TestWithParam<std::size_t> {};
TEST_P(EndpointListMutants, IsRevealedAndNothingElseIs) {
    auto mutant = EndpointListMutant(GetParam());
    EndpointListResult with = endpoint_list_runs_for_mutant(mutant, mutant),
                       without = endpoint_list_runs_for_mutant(mutant, EndpointListMutant::None);
    EXPECT_GT(with.violations, 0u) << name(mutant);
    EXPECT_EQ(without.violations, 0u) << name(mutant) << ": " << without.first_violation;
}
INSTANTIATE_TEST_SUITE_P(Each, EndpointListMutants, testing::Range<std::size_t>(1, kEndpointListMutants));

}  // namespace
}  // namespace ochrehub::lab::leadership
