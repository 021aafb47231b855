// A client's session: its lease, retries, and the search for the leader.
#include "fleet/coordinator/session.h"

#include <coordinator.pb.h>
#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "fleet/coordinator/sum_state_machine.h"

namespace ochrehub::coordinator {
namespace {

/// A session, and the requests and notifications that it has emitted.
struct Client {
    Session session;
    std::vector<wire::Request> requests;
    std::vector<std::string> targets;  ///< of the requests
    std::vector<SessionAction> notifications;
    TimePoint timer_at{};  ///< last one set

    explicit Client(std::vector<std::string> coordinators = {"k1"})
        : session(settings(std::move(coordinators))) {}
    static SessionSettings settings(std::vector<std::string> coordinators) {
        SessionSettings settings;
        settings.coordinators = std::move(coordinators);
        settings.name = "a";
        settings.instance = 4;
        return settings;
    }
    void handle(TimePoint now, const SessionEvent& event = SessionTimerFired{}) {
        SessionActions actions;
        session.handle(now, event, actions);
        for (SessionAction& action : actions)
            if (const auto* send = std::get_if<SendRequest>(&action)) {
                wire::Request request;
                EXPECT_TRUE(request.ParseFromString(send->body));
                requests.push_back(request);
                targets.push_back(send->to);
            } else if (const auto* timer = std::get_if<SetSessionTimer>(&action)) {
                timer_at = timer->at;
            } else {
                notifications.push_back(std::move(action));
            }
    }
    void respond(TimePoint now, const wire::Request& request, wire::Response response = {}) {
        response.set_call(request.call());
        if (request.has_open() && response.error() == 0) response.set_session(11);
        handle(now, ResponseReceived{session.leader(), response.SerializeAsString()});
    }
    template <class Notification>
    std::vector<Notification> all() const {
        std::vector<Notification> found;
        for (const SessionAction& action : notifications)
            if (const auto* one = std::get_if<Notification>(&action)) found.push_back(*one);
        return found;
    }
};

TEST(Session, CountsItsLeaseFromBeforeTheRequestAndEndsAMarginEarly) {
    Client client;
    client.handle(at(0));
    ASSERT_EQ(client.requests.size(), 1u);
    client.respond(at(300), client.requests[0]);
    ASSERT_EQ(client.all<SessionRenewed>().size(), 1u);
    EXPECT_EQ(client.all<SessionRenewed>()[0].until, at(3000 * 0.99 - 50));
    client.handle(at(1000));
    ASSERT_EQ(client.requests.size(), 2u);
    EXPECT_TRUE(client.requests[1].has_renew());
    client.respond(at(1200), client.requests[1]);
    EXPECT_EQ(client.all<SessionRenewed>().back().until, at(1000 + 3000 * 0.99 - 50));
}

TEST(Session, IsLostAfterAPauseBeforeAnyResponseIsHandled) {
    Client client;
    client.handle(at(0));
    client.respond(at(1), client.requests[0]);
    client.handle(at(1000));
    client.handle(at(1001), CommandRequested{1, "sum", "5"});
    client.respond(at(30'000), client.requests[1]);  // the response to the renewal
    ASSERT_EQ(client.all<SessionLost>().size(), 1u);
    ASSERT_EQ(client.all<CallCompleted>().size(), 1u);
    EXPECT_EQ(client.all<CallCompleted>()[0].error, Error::PossiblyExecuted);
    EXPECT_EQ(client.all<SessionRenewed>().size(), 1u);
    EXPECT_TRUE(client.requests.back().has_open());
    EXPECT_EQ(client.requests.back().open().attempt(), 2u);
}

// Guards against a timer that fires at its time and is set to the same time again without end, because the
// sum that it is set by and the difference that it is judged by round apart.
TEST(Session, TimerOfAResentQueryMovesOnWhateverItsTimesRoundTo) {
    for (int i = 0; i < 2000; ++i) {
        Client client;
        client.handle(at(0));
        client.respond(at(1), client.requests[0]);
        TimePoint sent = at(10 + 0.3700000001 * i);
        client.handle(sent, QueryRequested{1, "sum", ""});
        for (int fired = 0; fired < 6; ++fired) {
            const TimePoint now = client.timer_at;
            client.handle(now);
            ASSERT_GT(client.timer_at, now) << i;
        }
    }
}

TEST(Session, ClosedSessionWaitsForItsQueriesWithoutATimerInThePast) {
    Client client;
    client.handle(at(0));
    client.respond(at(1), client.requests[0]);
    client.handle(at(2), QueryRequested{1, "sum", ""});
    client.handle(at(3), CloseRequested{});
    TimePoint now = at(3);
    while (client.all<CallCompleted>().empty()) {
        ASSERT_GT(client.timer_at, now);
        client.handle(now = client.timer_at);
    }
    EXPECT_EQ(client.all<CallCompleted>()[0].error, Error::Unreachable);
}

TEST(Session, ResendsCommandsUnderTheSameSequenceNumberAfterADisconnect) {
    Client client({"k1", "k2"});
    client.handle(at(0));
    client.respond(at(1), client.requests[0]);
    client.handle(at(2), CommandRequested{1, "sum", "5"});
    client.handle(at(3), CommandRequested{2, "sum", "6"});
    ASSERT_EQ(client.requests.size(), 3u);
    const std::string first = client.session.leader();
    client.handle(at(4), Disconnected{first});
    EXPECT_NE(client.session.leader(), first);
    client.handle(at(60));
    ASSERT_TRUE(client.requests.back().has_renew()) << "a renewal finds out whether the next one leads";
    client.respond(at(61), client.requests.back());
    ASSERT_EQ(client.requests.size(), 6u);
    EXPECT_EQ(client.requests[4].command().sequence(), 1u);
    EXPECT_EQ(client.requests[5].command().sequence(), 2u);
    EXPECT_EQ(client.requests[4].call(), client.requests[1].call());
    wire::Response result;
    result.set_result("5");
    client.respond(at(70), client.requests[4], result);
    client.handle(at(71), CommandRequested{3, "sum", "7"});
    EXPECT_EQ(client.requests.back().command().acknowledged(), 1u);
}

TEST(Session, FollowsALeaderHintUnlessThatCoordinatorDidNotRespond) {
    Client client({"k1", "k2", "k3"});
    client.handle(at(0));
    const std::string unresponsive = client.session.leader();
    client.handle(at(400));  // the response timeout
    client.handle(at(460));
    const std::string next = client.session.leader();
    EXPECT_NE(next, unresponsive);
    wire::Response not_leader;
    not_leader.set_error(std::uint32_t(Error::NotLeader));
    not_leader.set_leader_address(unresponsive);
    client.respond(at(470), client.requests.back(), not_leader);
    EXPECT_NE(client.session.leader(), unresponsive);
    client.handle(at(800));
    not_leader.set_leader_address("k9");  // a new member
    client.respond(at(810), client.requests.back(), not_leader);
    EXPECT_EQ(client.session.leader(), "k9");
    EXPECT_EQ(client.targets.back(), "k9");
}

TEST(Session, CompletesCallsThatItCannotSend) {
    Client client;
    client.handle(at(0));
    client.handle(at(1), CommandRequested{1, "sum", "5"});
    EXPECT_EQ(client.all<CallCompleted>().back().error, Error::NoSession);
    client.handle(at(1), QueryRequested{2, "sum", ""});
    client.handle(at(5001));
    EXPECT_EQ(client.all<CallCompleted>().back().error, Error::Unreachable);
    client.handle(at(5400));
    client.respond(at(5410), client.requests.back());
    client.handle(at(5411), CommandRequested{3, "sum", std::string(1 << 20, 'x')});
    EXPECT_EQ(client.all<CallCompleted>().back().error, Error::TooLong);
    client.handle(at(5420), CloseRequested{});
    EXPECT_EQ(client.all<SessionLost>().size(), 1u);
    EXPECT_TRUE(client.requests.back().has_close());
    const std::size_t sent = client.requests.size();
    client.handle(at(9000));
    EXPECT_EQ(client.requests.size(), sent) << "a closed session sends nothing";
}

}  // namespace
}  // namespace ochrehub::coordinator
