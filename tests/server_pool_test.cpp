// How attempts, probes and connections to servers end, each crossing forced: the far side is in this process,
// and the loop turns only when told to.
#include <gtest/gtest.h>

#include "server_peer.h"

using namespace ochrehub;
using namespace ochrehub::peer;
using std::chrono::milliseconds;

namespace {

http::Reuse always_rested() {
    http::Reuse reuse;
    reuse.rest = milliseconds(0);
    return reuse;
}

http::Reuse never_rested() {
    http::Reuse reuse;
    reuse.rest = std::chrono::hours(1);
    return reuse;
}

/// Each connection of the node's is counted once, and none that it does not have.
void expect_balance(Rig& rig, std::size_t open) {
    EXPECT_EQ(rig.servers.connections(), open);
    EXPECT_EQ(rig.open_ends(), open);
}

/// One exchange over a new connection, which then rests.
FarPtr one_at_rest(Rig& rig, RequestId id = 1) {
    rig.start(id);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say(answer("one"));
    EXPECT_EQ(rig.outcome(id), Outcome::Ok);
    return far;
}

std::shared_ptr<http::HttpMessage> longer(RequestId id, std::shared_ptr<http::BodyStream> rest,
                                          std::size_t first) {
    auto message = Rig::request(id, std::string(first, 'r'));
    message->rest = std::make_shared<http::BodyReader>(std::move(rest));
    message->length = first + 1000000;
    return message;
}

// --- a second answer that comes late ---

TEST(ServerPool, ASecondCopyThatLiesThereIsSeenAndAnotherConnectionUsed) {
    Rig rig(always_rested());
    FarPtr far = one_at_rest(rig);
    far->say(answer("one"));
    rig.start(2);
    FarPtr other = rig.accept();
    rig.request_at(*other);
    other->say(answer("two"));
    EXPECT_EQ(rig.body(2), "two");
    EXPECT_EQ(far->heard(), "");
    EXPECT_TRUE(far->closed());
    expect_balance(rig, 1);
}

TEST(ServerPool, ASecondCopyBetweenTheLookAndTheRequestIsNoAnswer) {
    Rig rig(always_rested());
    FarPtr far = one_at_rest(rig);
    rig.events.asked = [&](AttemptId) {
        far->say(answer("one"));
        return true;
    };
    rig.start(2);
    EXPECT_EQ(rig.outcome(2), Outcome::Error);
    EXPECT_EQ(rig.body(2), "(none)");
    EXPECT_NE(far->head(), "");
    expect_balance(rig, 0);
}

// A second copy that comes later than connections rest, behind the next request, is no response to that one.
TEST(ServerPool, ASecondCopyLaterThanTheRestIsNoAnswer) {
    Rig rig;
    FarPtr far = one_at_rest(rig);
    usleep(60000);
    rig.start(2);
    rig.request_at(*far);
    far->say(answer("one"));
    EXPECT_NE(rig.body(2), "one");
}

TEST(ServerPool, ADoubtedAnswerSoonerThanAnyCanBeIsNone) {
    http::Reuse reuse = never_rested();
    reuse.spare_part = 0;
    reuse.soonest_of = 1;
    Rig rig(reuse);
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    usleep(1000000);  // no answer takes less than half of this
    far->say(answer("one"));
    EXPECT_EQ(rig.body(1), "one");
    rig.start(2);
    rig.request_at(*far);
    far->say(answer("one"));
    EXPECT_EQ(rig.outcome(2), Outcome::Error);
    EXPECT_EQ(rig.body(2), "(none)");
    expect_balance(rig, 0);
    // Where there was such a one, connections rest.
    FarPtr next = one_at_rest(rig, 3);
    rig.start(4);
    FarPtr other = rig.accept();
    rig.request_at(*other);
    other->say(answer("four"));
    EXPECT_EQ(rig.body(4), "four");
}

TEST(ServerPool, ADoubtedAnswerThatBringsASecondIsNone) {
    http::Reuse reuse = never_rested();
    reuse.spare_part = 0;
    Rig rig(reuse);
    FarPtr far = one_at_rest(rig);
    rig.start(2);
    rig.request_at(*far);
    far->say(answer("one") + answer("two"));
    EXPECT_EQ(rig.outcome(2), Outcome::Error);
    EXPECT_EQ(rig.body(2), "(none)");
    expect_balance(rig, 0);
}

// It cannot be this one's, and so is another's: but one that never ran is true whichever it is, as long as
// the rest is not written.
TEST(ServerPool, ADoubtedAnswerAheadOfItsRequestsEndIsNone) {
    const std::string never_ran = "HTTP/1.1 503 x\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    enum class Said { Ok, NeverRan, NeverRanWithTheRestBetween };
    for (Said said : {Said::Ok, Said::NeverRan, Said::NeverRanWithTheRestBetween}) {
        http::Reuse reuse = never_rested();
        reuse.spare_part = 0;
        Rig rig(reuse);
        FarPtr far = one_at_rest(rig);
        auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
        rig.start(2, longer(2, stream, 10));
        rig.request_at(*far);
        std::size_t first = said == Said::NeverRanWithTheRestBetween ? 12 : never_ran.size();
        far->say(said == Said::Ok ? answer("one") : never_ran.substr(0, first));
        if (said == Said::NeverRanWithTheRestBetween) {
            rig.turn();
            stream->put("the end");
            stream->end();
            rig.until([&] { return far->heard().ends_with("the end"); });
            rig.turn();
            far->say(never_ran.substr(first));
        }
        EXPECT_EQ(rig.outcome(2), said == Said::NeverRan ? Outcome::Rejected : Outcome::Error);
        EXPECT_EQ(rig.body(2), "(none)");
        rig.turn();
        EXPECT_EQ(rig.events.results[2].size(), 1u);
        expect_balance(rig, 0);
    }
}

TEST(ServerPool, AConnectionThatHasNotRestedIsSparedForFewHandshakes) {
    http::Reuse reuse = never_rested();
    reuse.spare_part = 1.0 / 8;
    Rig rig(reuse);
    FarPtr far = one_at_rest(rig);
    for (RequestId id = 2; id <= 7; ++id) {  // too few yet for a further one
        rig.start(id);
        rig.request_at(*far);
        far->say(answer("again"));
        EXPECT_EQ(rig.body(id), "again");
    }
    rig.start(8);
    FarPtr other = rig.accept();
    rig.request_at(*other);
    other->say(answer("other"));
    EXPECT_EQ(rig.body(8), "other");
    expect_balance(rig, 2);
    // Of two that have not, the one that has rested longer.
    rig.start(9);
    rig.request_at(*far);
    far->say(answer("again"));
    EXPECT_EQ(rig.body(9), "again");
}

TEST(ServerPool, ARestedConnectionGoesBeforeOneThatIsNot) {
    http::Reuse reuse = never_rested();
    reuse.spare_part = 0;
    Rig rig(reuse);
    rig.start(1);
    FarPtr used = rig.accept();
    rig.request_at(*used);
    rig.events.asked = [](AttemptId) { return false; };
    rig.start(2);  // its connection comes up for nobody
    FarPtr fresh = rig.accept();
    EXPECT_EQ(rig.outcome(2), Outcome::NotSent);
    rig.events.asked = [](AttemptId) { return true; };
    used->say(answer("one"));
    EXPECT_EQ(rig.body(1), "one");
    rig.start(3);
    rig.request_at(*fresh);
    fresh->say(answer("three"));
    EXPECT_EQ(rig.body(3), "three");
    EXPECT_EQ(used->heard(), "");
}

TEST(ServerPool, MoreThanAnAnswerMakesConnectionsRest) {
    http::Reuse reuse = never_rested();
    reuse.spare_part = 0;
    Rig rig(reuse);
    FarPtr rests = one_at_rest(rig);
    rig.start(2);
    rig.request_at(*rests);
    rig.start(3);
    FarPtr noisy = rig.accept();
    rig.request_at(*noisy);
    noisy->say(answer("three") + answer("three"));  // on a connection that nobody doubts it is served
    EXPECT_EQ(rig.body(3), "three");
    rests->say(answer("two"));
    EXPECT_EQ(rig.body(2), "two");
    rig.start(4);
    FarPtr fresh = rig.accept();
    rig.request_at(*fresh);
    fresh->say(answer("four"));
    EXPECT_EQ(rig.body(4), "four");
    EXPECT_EQ(rests->heard(), "");
}

TEST(ServerPool, WhatIsSaidAtRestMakesConnectionsRest) {
    for (bool whole : {true, false}) {
        http::Reuse reuse = never_rested();
        reuse.spare_part = 0;
        Rig rig(reuse);
        FarPtr rests = one_at_rest(rig);
        rig.start(2);
        rig.request_at(*rests);
        FarPtr noisy = one_at_rest(rig, 3);
        rests->say(answer("two"));
        EXPECT_EQ(rig.body(2), "two");
        noisy->say(whole ? answer("three") : "HTTP/1.1 20");
        rig.until([&] { return noisy->closed(); });
        expect_balance(rig, 1);
        rig.start(4);
        FarPtr fresh = rig.accept();
        rig.request_at(*fresh);
        fresh->say(answer("four"));
        EXPECT_EQ(rig.body(4), "four");
    }
}

// --- connections that come up late, or for nobody ---

TEST(ServerPool, AConnectionUpInTheTurnInWhichItsTimeEndsCarriesItsRequest) {
    Rig rig({}, Rig::settings(milliseconds(20)));
    rig.start(1);
    usleep(40000);
    rig.turn();
    FarPtr far = rig.accept();
    rig.request_at(*far);
    EXPECT_TRUE(rig.events.results[1].empty()) << "it may run";
    far->say(answer("one"));
    EXPECT_EQ(rig.body(1), "one");
    expect_balance(rig, 1);
}

TEST(ServerPool, AConnectionThatComesUpForNobodyIsKeptForOthers) {
    Rig rig;
    rig.events.asked = [](AttemptId id) { return id.request != 1; };
    rig.start(1);
    FarPtr far = rig.accept();
    EXPECT_EQ(rig.outcome(1), Outcome::NotSent);
    expect_balance(rig, 1);
    rig.start(2);
    EXPECT_TRUE(rig.request_at(*far).starts_with("POST /2 "));
    far->say(answer("two"));
    EXPECT_EQ(rig.body(2), "two");
    rig.events.asked = [](AttemptId) { return false; };  // one that is up already is kept too
    rig.start(3);
    EXPECT_EQ(rig.outcome(3), Outcome::NotSent);
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 1);
}

TEST(ServerPool, WhatCannotBeAnsweredAnyMoreIsNotWritten) {
    Rig rig;
    rig.start(1, milliseconds(20));
    FarPtr far = rig.door.accept();
    usleep(40000);
    EXPECT_EQ(rig.outcome(1), Outcome::NotSent);
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 1);
}

TEST(ServerPool, ARequestTellsWhatIsLeftWhenItIsWritten) {
    Rig rig;
    rig.start(1, std::chrono::seconds(60));
    usleep(300000);
    FarPtr far = rig.accept();
    std::string head = rig.request_at(*far);
    EXPECT_LE(std::atof(head.substr(head.find("X-Expires-In: ") + 14).c_str()), 59.7);
}

// Its time begins with its end, which may come before its connection is up.
TEST(ServerPool, ARequestWhoseBodyIsStillToComeTellsWhatIsLeftFromItsEnd) {
    for (bool whole : {false, true}) {
        Rig rig;
        auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
        rig.start(1, longer(1, stream, 10), std::chrono::seconds(60));
        if (whole) stream->end();
        usleep(300000);
        FarPtr far = rig.accept();
        std::string head = rig.request_at(*far);
        double told = std::atof(head.substr(head.find("X-Expires-In: ") + 14).c_str());
        EXPECT_EQ(told <= 59.7, whole) << told;
        if (!whole) {
            EXPECT_EQ(told, 60);
        }
        rig.servers.cancel_attempt({1, 0});
        expect_balance(rig, 0);
    }
}

TEST(ServerPool, ARequestThatWasWholeBeforeItStartedAndHasNoTimeLeftIsNotWritten) {
    Rig rig;
    auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
    stream->end();
    rig.start(1, longer(1, stream, 10), milliseconds(20));
    FarPtr far = rig.door.accept();
    usleep(40000);
    EXPECT_EQ(rig.outcome(1), Outcome::NotSent);
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 1);
}

/// Fills a listener's queue, so that no further connection comes up.
void fill(Rig& rig) {
    while (true) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(rig.door.fd, reinterpret_cast<sockaddr*>(&at), &size);
        connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
        rig.fillers.insert(fd);
        pollfd up{fd, POLLOUT, 0};
        if (poll(&up, 1, 30) == 0) return;
    }
}

TEST(ServerPool, ConnectionsThatNeverComeUpAreGivenUpAndLeaveNothing) {
    Rig rig({}, Rig::settings(milliseconds(60)), 64, {}, 0);
    fill(rig);
    rig.start(1);
    rig.start(2);
    rig.servers.probe(Rig::kServer, milliseconds(30));  // given up before its connection
    rig.servers.probe(Rig::kServer, milliseconds(30000));
    EXPECT_FALSE(rig.servers.cancel_attempt({2, 0}));
    EXPECT_EQ(rig.servers.connections(), 3u);
    EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
    rig.until([&] { return rig.events.probes.size() == 2; });
    EXPECT_EQ(rig.events.probes, (std::vector<Outcome>(2, Outcome::ConnectFailed)));
    EXPECT_TRUE(rig.events.results[2].empty());
    expect_balance(rig, 0);
    for (int fd : rig.fillers) close(fd);
}

TEST(ServerPool, AStopWhileItConnectsLeavesNothing) {
    Rig rig;
    rig.start(1);
    EXPECT_FALSE(rig.servers.cancel_attempt({1, 0}));
    rig.turn();
    EXPECT_TRUE(rig.events.results[1].empty());
    expect_balance(rig, 0);
}

TEST(ServerPool, AServerThatDrainsWhileItConnectsGetsNothing) {
    Rig rig;
    rig.start(1);
    FarPtr far = rig.door.accept();
    rig.list(rig.door.address, Phase::Draining);
    EXPECT_EQ(rig.outcome(1), Outcome::NotSent);
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 0);
}

// Guards against a probe that is written although the list has said meanwhile that its server drains.
TEST(ServerPool, AServerThatDrainsWhileAProbeConnectsGetsNoProbe) {
    Rig rig;
    rig.servers.probe(Rig::kServer, std::chrono::seconds(60));
    FarPtr far = rig.door.accept();
    rig.list(rig.door.address, Phase::Draining);
    rig.until([&] { return !rig.events.probes.empty(); });
    EXPECT_EQ(rig.events.probes, (std::vector<Outcome>{Outcome::NotSent}));
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 0);
}

TEST(ServerPool, AServerOutByHandWhileItConnectsGetsNothing) {
    Rig rig;
    rig.start(1);
    FarPtr far = rig.door.accept();
    rig.servers.set_admin_override(Rig::kServer, true);
    EXPECT_EQ(rig.outcome(1), Outcome::NotSent);
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 0);
    rig.servers.set_admin_override(Rig::kServer, false);
    one_at_rest(rig, 2);
    expect_balance(rig, 1);
}

TEST(ServerPool, AServerThatLeavesKeepsWhatIsOutAndNoMore) {
    Rig rig;
    FarPtr rests = one_at_rest(rig);
    rig.start(2);
    rig.request_at(*rests);
    FarPtr idle = one_at_rest(rig, 3);
    rig.list(rig.door.address, Phase::Draining);
    rig.until([&] { return idle->closed(); });
    expect_balance(rig, 1);
    rests->say(answer("two"));
    EXPECT_EQ(rig.body(2), "two");
    expect_balance(rig, 0);
}

TEST(ServerPool, AServerThatHasMovedGetsNothingAtItsOldAddress) {
    Rig rig;
    rig.start(1);
    FarPtr old = rig.accept();
    rig.request_at(*old);
    rig.start(2);  // its connection is still coming up
    Door moved;
    rig.list(moved.address);
    EXPECT_EQ(rig.outcome(2), Outcome::NotSent);
    old->say(answer("one"));
    EXPECT_EQ(rig.body(1), "one");
    expect_balance(rig, 0);
    rig.start(3);
    rig.until([&] { return moved.knocked(); });
    FarPtr far = moved.accept();
    EXPECT_TRUE(rig.request_at(*far).starts_with("POST /3 "));
    EXPECT_EQ(old->heard(), "");
}

// Its work went to the wrong process: a change named the newcomer and told nothing of the one that had gone.
TEST(ServerPool, AServerWhoseAddressANewcomerHasGetsNothing) {
    Rig rig(always_rested());
    FarPtr old = one_at_rest(rig);
    EndpointList change;
    change.update.kind = UpdateKind::Delta;
    EndpointEntry& entry = change.update.entries.emplace_back();
    entry.endpoint = Rig::kServer + 1;
    entry.phase = Phase::Ready;
    change.addresses = {rig.door.address};
    change.ids = {"newcomer"};
    rig.servers.update_endpoints(change);
    rig.start(2);
    EXPECT_EQ(rig.outcome(2), Outcome::ConnectFailed);
    EXPECT_TRUE(old->closed());
    rig.servers.start_attempt({3, 0}, Rig::kServer + 1, Rig::request(3), std::chrono::seconds(60));
    FarPtr far = rig.accept();
    EXPECT_TRUE(rig.request_at(*far).starts_with("POST /3 "));
}

TEST(ServerPool, NoMoreConnectionsThanItMayKeep) {
    Rig rig({}, Rig::settings(), 2);
    rig.start(1);
    FarPtr one = rig.accept();
    rig.request_at(*one);
    rig.start(2);
    FarPtr two = rig.accept();
    rig.request_at(*two);
    rig.start(3);
    rig.servers.probe(Rig::kServer, std::chrono::seconds(60));
    EXPECT_EQ(rig.outcome(3), Outcome::ConnectFailed);
    rig.until([&] { return !rig.events.probes.empty(); });
    EXPECT_EQ(rig.events.probes.front(), Outcome::ConnectFailed);
    rig.servers.keep_to(1);
    expect_balance(rig, 2);
    one->say(answer("one"));
    two->say(answer("two"));
    EXPECT_EQ(rig.body(1), "one");
    EXPECT_EQ(rig.body(2), "two");
    expect_balance(rig, 1);
}

// --- answers that do not end as they should ---

enum class Then { End, Reset, Nothing };

void answered(const std::string& bytes, Then then, Outcome outcome, const std::string& body = "(none)") {
    for (bool used : {false, true}) {
        SCOPED_TRACE(bytes +
                     (then == Then::End     ? " then the end"
                      : then == Then::Reset ? " then a reset"
                                            : "") +
                     (used ? " on a used connection" : ""));
        Rig rig(always_rested());
        FarPtr far;
        if (used) far = one_at_rest(rig);
        rig.start(2);
        if (!used) far = rig.accept();
        rig.request_at(*far);
        if (!bytes.empty()) far->say(bytes);
        if (then == Then::End) far->end();
        if (then == Then::Reset) far->reset();
        EXPECT_EQ(rig.outcome(2), outcome);
        EXPECT_EQ(rig.body(2), body);
        rig.turn();
        EXPECT_EQ(rig.events.results[2].size(), 1u);
        expect_balance(rig, 0);
    }
}

TEST(ServerPool, AnAnswerThatIsCutIsAReset) {
    for (Then then : {Then::End, Then::Reset})
        for (const char* bytes : {"", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
                                  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                                  "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 10\r\n\r\nhalf",
                                  "HTTP/1.1 100 Continue\r\n\r\n"})
            answered(bytes, then, Outcome::Reset);
}

TEST(ServerPool, AnAnswerThatEndsWithItsConnectionIsWholeUnlessReset) {
    const std::string bytes = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall";
    answered(bytes, Then::End, Outcome::Ok, "all");
    answered(bytes, Then::Reset, Outcome::Reset);
    answered("HTTP/1.1 200 OK\r\n\r\nall", Then::End, Outcome::Error);
    answered("HTTP/1.1 200 OK\r\n\r\nall", Then::Reset, Outcome::Error);
    answered("HTTP/1.1 500 x\r\n\r\nall", Then::Nothing, Outcome::Error);
}

TEST(ServerPool, ASpoiltAnswerIsAnError) {
    std::string interims;
    for (int i = 0; i < 17; ++i) interims += "HTTP/1.1 102 Processing\r\n\r\n";
    answered(interims, Then::Nothing, Outcome::Error);
    answered("noise\r\n\r\n", Then::Nothing, Outcome::Error);
    answered("HTTP/1.1 101 x\r\n\r\n", Then::Nothing, Outcome::Error);
    answered("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalfXX\r\n\r\n", Then::Nothing,
             Outcome::Error);
    answered("HTTP/1.1 200 OK\r\nX: " + std::string(9000, 'x'), Then::Nothing, Outcome::Error);
}

TEST(ServerPool, AnAnswerThatStopsIsAnErrorInItsTime) {
    http::HttpProfile profile;
    profile.answer_most = milliseconds(50);
    profile.answer_by_request = false;
    Rig rig({}, Rig::settings(), 64, profile);
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    EXPECT_EQ(rig.outcome(1), Outcome::Error);
    expect_balance(rig, 0);
}

// Servers stand still for longer than `answer_most`, and giving an answer up helps only a request that may go
// elsewhere in time.
TEST(ServerPool, AnAnswerMayStopForAQuarterOfItsRequestsTime) {
    http::HttpProfile profile;
    profile.answer_most = milliseconds(20);
    Rig rig({}, Rig::settings(), 64, profile);
    rig.start(1, std::chrono::seconds(4));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    auto said = std::chrono::steady_clock::now();
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    EXPECT_EQ(rig.outcome(1), Outcome::Error);
    EXPECT_GE(std::chrono::steady_clock::now() - said, milliseconds(1000));
    expect_balance(rig, 0);
}

TEST(ServerPool, AnAnswerToWhatMayNotBeSentAgainMayStopForAllItsTime) {
    http::HttpProfile profile;
    profile.answer_most = milliseconds(20);
    Rig rig({}, Rig::settings(), 64, profile);
    rig.events.repeatable = [](AttemptId id) { return id.request != 1; };
    rig.start(1, milliseconds(40));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\none");
    rig.turn();
    usleep(60000);
    rig.turn();
    ASSERT_TRUE(rig.events.results[1].empty());
    far->say("more");
    EXPECT_EQ(rig.body(1), "onemore");
}

TEST(ServerPool, AnAnswerThatGoesOnInTheTurnInWhichItsTimeEndsIsReadOn) {
    http::HttpProfile profile;
    profile.answer_most = milliseconds(1000);
    profile.answer_by_request = false;
    Rig rig({}, Rig::settings(), 64, profile);
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\none");
    int unread = 1;
    rig.until([&] { return ioctl(far->node_end(), FIONREAD, &unread) == 0 && unread == 0; });
    usleep(1050000);
    far->say("two");
    rig.turn();
    ASSERT_TRUE(rig.events.results[1].empty());
    far->say("six");
    rig.turn();
    EXPECT_EQ(rig.body(1), "onetwosix");
}

// They are bounded by the attempt's own time, and the time for more of an answer is not theirs.
TEST(ServerPool, InterimAnswersMayTakeAsLongAsTheAttempt) {
    http::HttpProfile profile;
    profile.answer_most = milliseconds(20);
    profile.answer_by_request = false;
    Rig rig(always_rested(), Rig::settings(), 64, profile);
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    for (int i = 0; i < 3; ++i) {
        far->say("HTTP/1.1 102 Processing\r\n\r\n");
        rig.turn();
        usleep(40000);
        rig.turn();
        ASSERT_TRUE(rig.events.results[1].empty());
    }
    far->say(answer("one"));
    EXPECT_EQ(rig.body(1), "one");
    rig.start(2);
    rig.request_at(*far);
    far->say("HTTP/1.1 102 Processing\r\n\r\n");
    rig.turn();
    EXPECT_TRUE(rig.servers.cancel_attempt({2, 0}));
    expect_balance(rig, 0);
}

TEST(ServerPool, AProbeEndsInItsTimeWhateverInterimAnswersItHas) {
    Rig rig;
    rig.servers.probe(Rig::kServer, milliseconds(300));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
    for (int i = 0; i < 4; ++i) {
        send(far->fd(), interim.data(), interim.size(),
             MSG_NOSIGNAL);  // its time may be over on a busy machine
        rig.turn();
    }
    rig.until([&] { return !rig.events.probes.empty(); });
    EXPECT_EQ(rig.events.probes, (std::vector<Outcome>{Outcome::Timeout}));
    rig.turn();
    EXPECT_EQ(rig.events.probes.size(), 1u);
    expect_balance(rig, 0);
}

TEST(ServerPool, AProbesLongAnswerCountsByItsStatusAlone) {
    for (bool by_status : {false, true})
        for (int status : {200, 503}) {
            http::HttpProfile profile;
            profile.probes_by_status = by_status;
            Rig rig({}, Rig::settings(), 64, profile);
            rig.servers.probe(Rig::kServer, std::chrono::seconds(60));
            FarPtr far = rig.accept();
            rig.request_at(*far);
            far->say("HTTP/1.1 " + std::to_string(status) + " x\r\nContent-Length: 100000\r\n\r\n" +
                     std::string(100000, 'a'));
            rig.until([&] { return !rig.events.probes.empty(); });
            EXPECT_EQ(rig.events.probes,
                      (std::vector<Outcome>{by_status && status == 200 ? Outcome::Ok : Outcome::Error}));
            rig.turn();
            expect_balance(rig, 0);
        }
}

// --- requests that break off ---

TEST(ServerPool, ARequestThatBreaksBeforeItsLastByteNeverRan) {
    for (bool used : {false, true}) {
        Rig rig(always_rested());
        FarPtr far;
        if (used) far = one_at_rest(rig);
        rig.start(2, Rig::request(2, std::string(32 << 20, 'r')));
        if (!used) far = rig.accept();
        rig.request_at(*far);
        far->reset();
        EXPECT_EQ(rig.outcome(2), Outcome::ConnectFailed);
        expect_balance(rig, 0);
        rig.start(3, Rig::request(3, std::string(32 << 20, 'r')));
        far = rig.accept();
        rig.request_at(*far);
        EXPECT_FALSE(rig.servers.cancel_attempt({3, 0}));
        expect_balance(rig, 0);
    }
}

// The window for a repeat may end while a server takes its time to read: its last byte must not arrive then.
TEST(ServerPool, WhatIsNotWantedAnyMoreIsNotWrittenToItsEnd) {
    const std::string body(32 << 20, 'r');
    Rig rig;
    bool wanted = true;
    rig.events.asked = [&](AttemptId) { return wanted; };
    rig.start(1, Rig::request(1, body));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    rig.turn();  // blocked
    wanted = false;
    rig.until([&] {
        far->heard();
        return !rig.events.results[1].empty();
    });
    EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
    EXPECT_LT(far->heard().size(), body.size());
    rig.until([&] { return far->closed(); });
    expect_balance(rig, 0);
}

TEST(ServerPool, WhatComesOfAnUploadThatIsNotWantedAnyMoreIsNotWritten) {
    Rig rig;
    bool wanted = true;
    rig.events.asked = [&](AttemptId) { return wanted; };
    auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
    rig.start(1, longer(1, stream, 10));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    rig.turn();
    wanted = false;
    stream->put("the end");
    stream->end();
    EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
    rig.until([&] { return far->closed(); });
    EXPECT_EQ(far->heard(), std::string(10, 'r'));
    expect_balance(rig, 0);
}

TEST(ServerPool, AnUploadThatItsClientBreaksOffNeverRan) {
    for (bool more : {false, true}) {
        Rig rig;
        auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
        rig.start(1, longer(1, stream, 10));
        FarPtr far = rig.accept();
        rig.request_at(*far);
        rig.turn();  // waits for more
        if (more) stream->put("more");
        stream->break_off();
        EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
        rig.until([&] { return far->closed(); });
        EXPECT_EQ(far->heard(), std::string(10, 'r') + (more ? "more" : ""));
        rig.turn();
        EXPECT_EQ(rig.events.results[1].size(), 1u);
        expect_balance(rig, 0);
    }
}

TEST(ServerPool, AResetThatAWriteIsToldOfIsNoEndOfAnAnswer) {
    Rig rig;
    auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
    rig.start(1, longer(1, stream, 32 << 20));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    rig.turn();  // blocked: both a write and the answer are waited for
    far->say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf");
    far->reset();
    EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
    EXPECT_EQ(rig.body(1), "(none)");
    expect_balance(rig, 0);
}

TEST(ServerPool, AnAnswerAheadOfItsRequestsEndLeavesNoHalfRequestBehind) {
    Rig rig(always_rested());
    auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
    auto message = longer(1, stream, 10);
    rig.start(1, message);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    const std::string all(100000, 'a');
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + all.substr(0, 70000));
    ASSERT_EQ(rig.outcome(1), Outcome::Ok);
    stream->put("more of the request");
    rig.turn();
    far->say(all.substr(70000));
    auto answer = std::static_pointer_cast<const http::HttpMessage>(rig.result(1).message);
    std::size_t taken = answer->body_view().size();
    http::BodyStream& rest = answer->rest->stream();
    rig.until([&] {
        taken += rest.view().size();
        rest.drop(rest.view().size());
        return rest.over() || rest.broken();
    });
    EXPECT_TRUE(rest.over());
    EXPECT_EQ(taken, all.size());
    rig.until([&] { return far->closed(); });
    expect_balance(rig, 0);
}

TEST(ServerPool, ABodyThatIsNotThereFromItsBeginningTakesNoConnection) {
    Rig rig(always_rested());
    FarPtr far = one_at_rest(rig);
    auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
    stream->put("some");
    stream->drop(4);
    rig.start(2, longer(2, stream, 10));
    EXPECT_EQ(rig.outcome(2), Outcome::ConnectFailed);
    expect_balance(rig, 1);
}

// --- connections that end at rest, or under a request ---

TEST(ServerPool, AConnectionThatHasEndedIsNotWrittenTo) {
    for (Then then : {Then::End, Then::Reset}) {
        Rig rig(always_rested());
        FarPtr far = one_at_rest(rig);
        then == Then::End ? far->end() : far->reset();
        rig.start(2);
        FarPtr other = rig.accept();
        rig.request_at(*other);
        other->say(answer("two"));
        EXPECT_EQ(rig.body(2), "two");
        expect_balance(rig, 1);
    }
}

TEST(ServerPool, AConnectionThatEndsBetweenTheLookAndTheRequestMayHaveCarriedIt) {
    Rig rig(always_rested());
    FarPtr far = one_at_rest(rig);
    rig.events.asked = [&](AttemptId) {
        far->end();
        return true;
    };
    rig.start(2);
    EXPECT_EQ(rig.outcome(2), Outcome::Reset);
    expect_balance(rig, 0);
}

TEST(ServerPool, AConnectionThatEndsBeforeItIsSeenToBeUpCarriesNothing) {
    for (Then then : {Then::End, Then::Reset}) {
        Rig rig;
        rig.start(1);
        FarPtr far = rig.door.accept();
        then == Then::End ? far->end() : far->reset();
        EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
        EXPECT_TRUE(then == Then::Reset || far->heard().empty());
        expect_balance(rig, 0);
    }
}

TEST(ServerPool, WhatIsSaidBeforeARequestIsNoAnswerToIt) {
    Rig rig;
    rig.start(1);
    FarPtr far = rig.door.accept();
    far->say(answer("early"));
    EXPECT_EQ(rig.outcome(1), Outcome::ConnectFailed);
    EXPECT_EQ(far->heard(), "");
    expect_balance(rig, 0);
}

TEST(ServerPool, IdleConnectionsAreClosedBeforeServersCloseThem) {
    Settings set = Rig::settings();
    set.connection_idle_timeout = milliseconds(100);
    Rig rig({}, set);
    FarPtr far = one_at_rest(rig);
    rig.until([&] { return far->closed(); });
    expect_balance(rig, 0);
}

TEST(ServerPool, TheConnectionThatHasRestedLongestMakesRoom) {
    Rig rig(always_rested(), Rig::settings(), 2);
    Door second;
    EndpointList both;
    both.update.kind = UpdateKind::Full;
    for (EndpointId id : {Rig::kServer, Rig::kServer + 1}) both.update.entries.emplace_back().endpoint = id;
    both.addresses = {rig.door.address, second.address};
    both.ids = {"s", "t"};
    rig.servers.update_endpoints(both);
    auto start = [&](RequestId id) {
        rig.servers.start_attempt({id, 0}, Rig::kServer + 1, Rig::request(id), std::chrono::seconds(60));
    };
    auto at_second = [&] {
        rig.until([&] { return second.knocked(); });
        return second.accept();
    };
    FarPtr oldest = one_at_rest(rig);
    start(2);
    FarPtr used = at_second();
    rig.request_at(*used);
    used->say(answer("two"));
    EXPECT_EQ(rig.body(2), "two");
    start(3);  // on the one that rests there
    rig.request_at(*used);
    start(4);  // for which there is no room
    FarPtr fresh = at_second();
    rig.request_at(*fresh);
    rig.until([&] { return oldest->closed(); });
    EXPECT_EQ(rig.servers.connections(), 2u);
    rig.start(5);  // nothing rests, and what is out is not touched
    EXPECT_EQ(rig.outcome(5), Outcome::ConnectFailed);
    used->say(answer("three"));
    fresh->say(answer("four"));
    EXPECT_EQ(rig.body(3), "three");
    EXPECT_EQ(rig.body(4), "four");
    EXPECT_EQ(rig.servers.connections(), 2u);
}

// Its machine may have vanished without a word: what is written to a connection of the earlier process ends
// as a reset at best.
TEST(ServerPool, AServerThatHasStartedAnewGetsNothingOnAnEarlierConnection) {
    Rig rig(always_rested());
    auto list = [&](Duration start) {
        EndpointList listing;
        listing.update.kind = UpdateKind::Delta;
        EndpointEntry& entry = listing.update.entries.emplace_back();
        entry.endpoint = Rig::kServer;
        entry.last_start = TimePoint{start};
        listing.addresses = {rig.door.address};
        listing.ids = {"s"};
        rig.servers.update_endpoints(listing);
    };
    auto now = [] { return Duration(std::chrono::system_clock::now().time_since_epoch()); };
    Duration long_ago = now() - std::chrono::seconds(1);
    FarPtr earlier = one_at_rest(rig);
    list(long_ago);
    expect_balance(rig, 1);  // it came up behind the start
    usleep(20000);
    Duration started = now();
    usleep(20000);
    list(started);
    expect_balance(rig, 0);
    rig.until([&] { return earlier->closed(); });
    FarPtr later = one_at_rest(rig, 2);
    list(started);
    expect_balance(rig, 1);
    rig.start(3);
    rig.request_at(*later);
    later->say(answer("three"));
    EXPECT_EQ(rig.body(3), "three");
    EXPECT_EQ(earlier->heard(), "");
}

// Short idle times: what lies between the look and the request takes no part of them, but a time of its own.
TEST(ServerPool, AConnectionIsNotUsedShortlyBeforeItsServerClosesIt) {
    Settings set = Rig::settings();
    set.connection_idle_timeout = milliseconds(400);
    Rig rig(always_rested(), set);
    FarPtr far = one_at_rest(rig);
    usleep(260000);  // 0.65 of it, and 140 ms before its end
    rig.start(2);
    FarPtr other = rig.accept();
    rig.request_at(*other);
    other->say(answer("two"));
    EXPECT_EQ(rig.body(2), "two");
    EXPECT_TRUE(far->closed());
    EXPECT_EQ(far->heard(), "");
}

// --- ends that meet the answer ---

TEST(ServerPool, AStopOverAnUnreadAnswerEndsTheAttemptOnce) {
    Rig rig;
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say(answer("one"));
    EXPECT_TRUE(rig.servers.cancel_attempt({1, 0}));
    EXPECT_FALSE(rig.servers.cancel_attempt({1, 0}));
    rig.turn();
    EXPECT_TRUE(rig.events.results[1].empty());
    expect_balance(rig, 0);
}

TEST(ServerPool, AProbesTimeOverItsUnreadAnswerIsToldOnce) {
    Rig rig;
    rig.servers.probe(Rig::kServer, milliseconds(500));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say(answer("well"));
    usleep(550000);
    rig.turn();
    EXPECT_EQ(rig.events.probes.size(), 1u);
    expect_balance(rig, 0);
}

TEST(ServerPool, AStreamThatNobodyReadsEndsWithItsReader) {
    Rig rig;
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + std::string(100000, 'a'));
    EXPECT_EQ(rig.outcome(1), Outcome::Ok);
    rig.turn();
    EXPECT_FALSE(rig.servers.cancel_attempt({1, 0})) << "it has been answered";
    rig.servers.keep_to(0);
    rig.list(rig.door.address, Phase::Draining);
    expect_balance(rig, 1);
    rig.events.results.clear();
    rig.until([&] { return far->closed(); });
    expect_balance(rig, 0);
}

/// Begins a stream: 70,000 bytes of an answer of 100,000.
http::BodyStream& streaming(Rig& rig, Far& far) {
    rig.request_at(far);
    far.say("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(70000, 'a'));
    EXPECT_EQ(rig.outcome(1), Outcome::Ok);
    return std::static_pointer_cast<const http::HttpMessage>(rig.result(1).message)->rest->stream();
}

http::BodyStream& stream_of(Rig& rig) {
    EXPECT_EQ(rig.outcome(1), Outcome::Ok);
    return std::static_pointer_cast<const http::HttpMessage>(rig.result(1).message)->rest->stream();
}

// Its client has a part, and must hear of the end within half a second of its time. Nothing in the head says
// that it is no short answer, which counts by its last byte.
TEST(ServerPool, AStreamThatFallsSilentOrTricklesIsBrokenBehindItsRequestsTime) {
    for (bool trickles : {false, true}) {
        Rig rig;
        auto began = std::chrono::steady_clock::now();
        rig.start(1, milliseconds(300));
        FarPtr far = rig.accept();
        rig.request_at(*far);
        far->say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning");
        http::BodyStream& rest = stream_of(rig);
        auto next = began;
        rig.until([&] {
            rest.drop(rest.view().size());
            auto now = std::chrono::steady_clock::now();
            if (trickles && now >= next && !rest.broken()) {
                send(far->fd(), "a", 1, MSG_NOSIGNAL);
                next = now + milliseconds(1);
            }
            return rest.broken();
        });
        auto took = std::chrono::steady_clock::now() - began;
        EXPECT_GE(took, milliseconds(700));
        EXPECT_LT(took, milliseconds(800));
        expect_balance(rig, 0);
    }
}

// A sound pause between two lumps is no silence: neither the request's time nor a pause of half a second ends
// what a server still gives, and the first lump alone is passed on in time.
TEST(ServerPool, AnAnswerInLumpsGoesOnBehindItsRequestsTime) {
    const std::string head = "HTTP/1.1 200 OK\r\n", lump(30000, 'a');
    struct {
        std::string head, begin, end, close;
    } framings[] = {{"Content-Length: 90000\r\n\r\n", "", "", ""},
                    {"Transfer-Encoding: chunked\r\n\r\n", "7530\r\n", "\r\n", "0\r\n\r\n"},
                    {"Connection: close\r\n\r\n", "", "", ""}};
    for (const auto& framing : framings) {
        SCOPED_TRACE(framing.head);
        Rig rig;
        auto began = std::chrono::steady_clock::now();
        rig.start(1, milliseconds(400));
        FarPtr far = rig.accept();
        rig.request_at(*far);
        far->say(head + framing.head);
        auto next = std::chrono::steady_clock::now();
        http::BodyStream& rest = stream_of(rig);
        EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(400));
        std::size_t taken = 0;
        for (int lumps = 1; lumps <= 3; ++lumps) {
            next += milliseconds(500);
            rig.until([&] { return std::chrono::steady_clock::now() >= next; });
            ASSERT_FALSE(rest.broken());
            std::string piece = framing.begin + lump + framing.end;
            send(far->fd(), piece.data(), piece.size(), MSG_NOSIGNAL);
        }
        if (!framing.close.empty()) far->say(framing.close);
        far->end();
        rig.until([&] {
            taken += rest.view().size();
            rest.drop(rest.view().size());
            return rest.over() || rest.broken();
        });
        EXPECT_TRUE(rest.over());
        EXPECT_EQ(taken, 3 * lump.size());
    }
}

TEST(ServerPool, AStreamMayStopWhileItsRequestHasTime) {
    http::HttpProfile profile;
    profile.answer_most = milliseconds(20);
    Rig rig({}, Rig::settings(), 64, profile);
    rig.start(1);
    FarPtr far = rig.accept();
    http::BodyStream& rest = streaming(rig, *far);
    rest.drop(rest.view().size());
    rig.turn();
    usleep(60000);
    rig.turn();
    far->say(std::string(30000, 'a'));
    rig.until([&] {
        rest.drop(rest.view().size());
        return rest.over() || rest.broken();
    });
    EXPECT_TRUE(rest.over());
}

// Not the server's fault: its client has taken its time.
TEST(ServerPool, AStreamThatItsReaderHasHeldUpGoesOnBehindItsRequestsTime) {
    Rig rig;
    rig.start(1, milliseconds(100));
    FarPtr far = rig.accept();
    rig.request_at(*far);
    far->say("HTTP/1.1 200 OK\r\nContent-Length: 250000\r\n\r\n" + std::string(200000, 'a'));
    http::BodyStream& rest = stream_of(rig);
    rig.until([&] { return rest.view().size() == BufferPool::kSize; });
    rig.turn();
    usleep(600000);
    std::size_t taken = 0;
    bool said = false;
    rig.until([&] {
        taken += rest.view().size();
        rest.drop(rest.view().size());
        if (taken >= 200000 - 2 * BufferPool::kSize && !std::exchange(said, true))
            far->say(std::string(50000, 'a'));
        return rest.over() || rest.broken();
    });
    EXPECT_TRUE(rest.over());
}

// The end of its time moves with the end of its body.
TEST(ServerPool, AStreamThatAnswersAnUploadEndsBehindThatOnesTime) {
    Rig rig;
    auto stream = std::make_shared<http::BodyStream>(rig.io, rig.pool);
    rig.start(1, longer(1, stream, 10), milliseconds(200));
    FarPtr far = rig.accept();
    usleep(300000);
    rig.turn();
    auto ended = std::chrono::steady_clock::now();
    stream->end();
    rig.request_at(*far);
    far->say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe beginning");
    http::BodyStream& rest = stream_of(rig);
    rig.until([&] {
        rest.drop(rest.view().size());
        return rest.broken();
    });
    auto took = std::chrono::steady_clock::now() - ended;
    EXPECT_GE(took, milliseconds(600));
    EXPECT_LT(took, milliseconds(750));
}

TEST(ServerPool, AStreamThatIsCutIsBroken) {
    for (Then then : {Then::End, Then::Reset}) {
        Rig rig;
        rig.start(1);
        FarPtr far = rig.accept();
        rig.request_at(*far);
        far->say("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(70000, 'a'));
        EXPECT_EQ(rig.outcome(1), Outcome::Ok);
        then == Then::End ? far->end() : far->reset();
        auto answer = std::static_pointer_cast<const http::HttpMessage>(rig.result(1).message);
        http::BodyStream& rest = answer->rest->stream();
        rig.until([&] {
            rest.drop(rest.view().size());
            return rest.over() || rest.broken();
        });
        EXPECT_TRUE(rest.broken());
        expect_balance(rig, 0);
    }
}

}  // namespace
