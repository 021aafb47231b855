// How attempts, probes and connections to servers end, each crossing forced: the far side is in this process, and the
// loop turns only when told to.
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

TEST(ServerPool, ADoubtedAnswerSoonerThanAnyCanBeIsNone) {
    http::Reuse reuse = never_rested();
    reuse.spare_part = 0;
    reuse.soonest_of = 1;
    Rig rig(reuse);
    rig.start(1);
    FarPtr far = rig.accept();
    rig.request_at(*far);
    usleep(600000);  // no answer takes less than half of this
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
    EXPECT_EQ(rig.outcome(2), Outcome::Moot);
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

}  // namespace
