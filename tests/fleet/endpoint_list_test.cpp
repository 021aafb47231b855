// The replicated endpoint list: the state machine, its publisher and its followers.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "fleet/leadership/endpoint_list_follower.h"
#include "fleet/leadership/endpoint_list_publisher.h"

namespace ochrehub::leadership::endpoint_list {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
CommandResponse run(StateMachine& machine, const std::string& body) {
    return decode_command_response(machine.apply({1, body})).value();
}
SessionUpdate current_update(const StateMachine& machine) {
    return decode_session_update(machine.session_update(1)).value();
}
DiscoveryResult full_result(std::uint64_t revision, Endpoints endpoints) {
    return {revision, true, std::move(endpoints), {}};
}
/// Reports `result` at the position that the last session update shows, as a publisher does.
CommandResponse publish(StateMachine& machine, Epoch epoch, const DiscoveryResult& result) {
    SessionUpdate now = current_update(machine);
    return run(machine, report_command({epoch, now.version, now.open_round}, result));
}
template <class Wanted, class Actions>
std::size_t count(const Actions& actions) {
    return std::size_t(std::count_if(actions.begin(), actions.end(),
                                     [](const auto& one) { return std::holds_alternative<Wanted>(one); }));
}

TEST(EndpointListStateMachine, AcceptsEachReportOfTheNewestPublisherOnceAndInItsRoundOnly) {
    Limits few;
    few.max_endpoints = 2;
    StateMachine machine(few);
    std::set<Error> seen;
    auto rejects = [&](const std::string& body, Error error) {
        std::string before = machine.snapshot();
        EXPECT_EQ(run(machine, body).error, error) << row(error).code;
        EXPECT_EQ(machine.snapshot(), before);
        seen.insert(error);
    };
    rejects("\xff", Error::Malformed);
    rejects("", Error::Malformed);
    rejects(open_epoch_command(0), Error::Malformed);
    rejects(report_command({5, 0, 1}, full_result(7, {{"a", "1"}})), Error::EpochNotOpened);
    CommandResponse opened = run(machine, open_epoch_command(5));
    std::string first = report_command({5, opened.version, opened.open_round}, full_result(7, {{"a", "1"}}));
    EXPECT_FALSE(run(machine, first).error);
    rejects(first, Error::RoundClosed);  // duplicate
    CommandResponse now = decode_command_response(machine.apply({1, first})).value();
    rejects(report_command({5, now.version + 1, now.open_round}, full_result(8, {})), Error::VersionMismatch);
    rejects(
        report_command({5, now.version, now.open_round}, full_result(8, {{"a", ""}, {"b", ""}, {"c", ""}})),
        Error::LimitExceeded);
    rejects(report_command({5, now.version, now.open_round}, full_result(8, {{std::string(129, 'x'), ""}})),
            Error::LimitExceeded);
    run(machine, open_epoch_command(6));
    rejects(report_command({5, now.version, now.open_round + 1}, full_result(9, {})), Error::StaleEpoch);
    rejects(open_epoch_command(5), Error::StaleEpoch);
    EXPECT_EQ(seen.size(), kErrors);
    EXPECT_EQ(machine.endpoints(), (Endpoints{{"a", "1"}}));
    EXPECT_EQ(row(Error::StaleEpoch).code, "list.stale");
}

TEST(EndpointListStateMachine, SendsChangesForSomeRoundsAndTheFullListOnQuery) {
    StateMachine machine;
    run(machine, open_epoch_command(1));
    publish(machine, 1, full_result(1, {{"a", "ready"}, {"b", "ready"}}));
    publish(machine, 1, {2, false, {{"a", "drain"}}, {"b"}});
    EXPECT_EQ(machine.version(), 2u);
    SessionUpdate update = current_update(machine);
    ASSERT_EQ(update.changes.size(), 2u);
    EXPECT_EQ(update.changes[1].upserted, (Endpoints{{"a", "drain"}}));
    EXPECT_EQ(update.changes[1].removed, (std::vector<std::string>{"b"}));
    for (int i = 0; i < 20; ++i) publish(machine, 1, {2, false, {}, {}});
    EXPECT_EQ(machine.version(), 2u);  // without a change there is no new version
    EXPECT_TRUE(current_update(machine).changes.empty());
    FullList all = decode_full_list(machine.query("")).value();
    EXPECT_EQ(all.endpoints, machine.endpoints());
    EXPECT_EQ(all.digest, current_update(machine).digest);
    StateMachine again;
    ASSERT_TRUE(again.restore(kSchema, machine.snapshot()));
    EXPECT_EQ(again.snapshot(), machine.snapshot());
    EXPECT_FALSE(again.restore(kSchema + 1, machine.snapshot()));
    EXPECT_FALSE(again.restore(kSchema, "\xff"));
    EXPECT_FALSE(decode_full_list("\xff"));
}

TEST(EndpointListStateMachine, ChangesThatExceedAnUpdateAreFetchedAsFullList) {
    Limits small;
    small.max_update_bytes = 100;
    StateMachine machine(small);
    run(machine, open_epoch_command(1));
    Endpoints many;
    for (int i = 0; i < 50; ++i) many["server" + std::to_string(i)] = "ready";
    publish(machine, 1, full_result(1, many));
    EXPECT_TRUE(current_update(machine).changes.empty());
    Follower node({}, at(0));
    FollowerActions out;
    node.handle(at(1000), SessionUpdateReceived{at(999), machine.session_update(1)}, out);
    EXPECT_EQ(count<FetchFullList>(out), 1u);
    publish(machine, 1, {1, false, {}, {}});
    out.clear();
    node.handle(at(2000), FullListReceived{machine.query("")}, out);
    EXPECT_EQ(count<ReplaceEndpoints>(out), 0u);  // it is not known yet as of when the list is
    publish(machine, 1, {1, false, {}, {}});
    node.handle(at(2001), SessionUpdateReceived{at(2000), machine.session_update(1)}, out);
    ASSERT_EQ(count<ReplaceEndpoints>(out), 1u);
    EXPECT_EQ(node.version(), 1u);
    EXPECT_EQ(node.as_of(), at(999));
}

TEST(EndpointListFollower, KnowsAsOfWhenItsListIsFromTheConfirmedRounds) {
    StateMachine machine;
    run(machine, open_epoch_command(1));
    publish(machine, 1, full_result(1, {{"a", "ready"}}));
    Follower node({}, at(0));
    FollowerActions out;
    auto receive = [&](double requested, double now) {
        out.clear();
        node.handle(at(now), SessionUpdateReceived{at(requested), machine.session_update(1)}, out);
    };
    receive(1000, 1010);
    EXPECT_EQ(node.as_of(), at(0));  // the round that was open then is not closed
    receive(1500, 1510);
    publish(machine, 1,
            {1, false, {}, {}});  // this closes it, but discovery may have been polled before 1500
    receive(2000, 2010);
    EXPECT_EQ(node.as_of(), at(0));
    publish(machine, 1, {2, false, {{"a", "drain"}}, {}});
    receive(3000, 3010);
    EXPECT_EQ(node.as_of(), at(1500));
    EXPECT_EQ(count<ReplaceEndpoints>(out), 1u);
    publish(machine, 1, {3, false, {}, {"a"}});
    receive(4000, 4010);
    EXPECT_EQ(node.as_of(), at(2000));
    EXPECT_EQ(count<ApplyChange>(out), 1u);
    // The same update again and again makes the list no more recent.
    for (double t = 5000; t < 8000; t += 1000) receive(t, t + 10);
    EXPECT_EQ(node.as_of(), at(2000));
    EXPECT_FALSE(node.is_watching_discovery());
    receive(8000, 8010);
    EXPECT_EQ(count<StartDiscoveryWatch>(out), 1u);
}

TEST(EndpointListFollower, WatchesDiscoveryUntilTheReplicatedListIsNewer) {
    StateMachine machine;
    run(machine, open_epoch_command(1));
    publish(machine, 1, full_result(1, {{"a", "ready"}}));
    FollowerSettings settings;
    settings.jitter_fraction = 0.5;
    Follower node(settings, at(0));
    FollowerActions out;
    node.handle(at(8499), FollowerTimerFired{}, out);
    EXPECT_EQ(count<StartDiscoveryWatch>(out), 0u);
    node.handle(at(8500), FollowerTimerFired{}, out);
    EXPECT_EQ(count<StartDiscoveryWatch>(out), 1u);
    double t = 9000;
    auto round = [&] {
        publish(machine, 1, {1, false, {}, {}});
        out.clear();
        node.handle(at(t), SessionUpdateReceived{at(t - 1), machine.session_update(1)}, out);
        t += 1000;
    };
    round();
    round();
    EXPECT_TRUE(node.is_watching_discovery());
    node.handle(at(10'500), DiscoveryResultUsed{}, out);
    round();  // as of 8999: after the watch began, before the last response of discovery
    EXPECT_EQ(count<StopDiscoveryWatch>(out), 1u);
    EXPECT_EQ(count<ReplaceEndpoints>(out), 0u);
    round();
    EXPECT_EQ(count<ReplaceEndpoints>(out), 0u);
    round();
    EXPECT_EQ(count<ReplaceEndpoints>(out), 1u);
    EXPECT_GT(node.as_of(), at(10'500));
}

TEST(EndpointListPublisher, PollsInAKnownRoundReportsAndReleasesTheLeaseWhenItCannot) {
    StateMachine machine;
    Publisher publisher;
    PublisherActions out;
    auto handle = [&](double now, const PublisherEvent& event) {
        out.clear();
        publisher.handle(at(now), event, out);
    };
    auto respond = [&](double now) {
        SendCommand sent = std::get<SendCommand>(*std::find_if(out.begin(), out.end(), [](const auto& one) {
            return std::holds_alternative<SendCommand>(one);
        }));
        handle(now, CommandCompleted{sent.request_id, machine.apply({1, sent.command})});
    };
    handle(0, LeaseAcquired{4});
    EXPECT_EQ(count<StartWatch>(out), 0u);
    respond(5);
    StartWatch first = std::get<StartWatch>(out.at(0));
    EXPECT_FALSE(first.since_revision);
    handle(9, DiscoveryCompleted{first.watch_id + 1, full_result(3, {})});
    EXPECT_TRUE(out.empty());  // of no watch of its own
    handle(10, DiscoveryCompleted{first.watch_id, full_result(3, {{"a", "ready"}})});
    EXPECT_EQ(count<UseDiscoveryResult>(out), 1u);
    SendCommand report = std::get<SendCommand>(out.at(1));
    machine.apply({1, report.command});  // and the response is lost
    handle(510, PublisherTimerFired{});
    EXPECT_EQ(std::get<SendCommand>(out.at(0)).command, report.command);
    respond(511);  // its round is closed by now: the epoch is opened again
    EXPECT_EQ(count<SendCommand>(out), 1u);
    respond(512);
    StartWatch again = std::get<StartWatch>(out.at(0));
    EXPECT_FALSE(again.since_revision);
    handle(513, DiscoveryCompleted{again.watch_id, full_result(3, {{"a", "ready"}})});
    respond(514);
    StartWatch watch = std::get<StartWatch>(out.at(0));
    EXPECT_EQ(watch.since_revision, std::uint64_t(3));
    EXPECT_EQ(machine.version(), 1u);
    // Discovery does not respond any more.
    handle(514 + 4500, PublisherTimerFired{});
    EXPECT_EQ(count<CancelWatch>(out), 1u);
    EXPECT_EQ(count<ReleaseLease>(out), 1u);
    handle(5100, LeaseRevoked{});
    EXPECT_EQ(count<PublisherStopped>(out), 1u);
    // A single failure is retried.
    handle(6000, LeaseAcquired{5});
    respond(6001);
    handle(6002, DiscoveryFailed{std::get<StartWatch>(out.at(0)).watch_id});
    EXPECT_EQ(count<ReleaseLease>(out), 0u);
    handle(6252, PublisherTimerFired{});
    EXPECT_EQ(count<StartWatch>(out), 1u);
    // A newer publisher has opened its epoch.
    machine.apply({2, open_epoch_command(6)});
    handle(6253, DiscoveryCompleted{std::get<StartWatch>(out.at(0)).watch_id, full_result(4, {})});
    respond(6254);
    EXPECT_EQ(count<ReleaseLease>(out), 1u);
    EXPECT_EQ(machine.endpoints(), (Endpoints{{"a", "ready"}}));
}

}  // namespace
}  // namespace ochrehub::leadership::endpoint_list
