// The rule of response_timeouts.h: when a response that has begun is passed on, and which silence ends it.
#include "http/response_timeouts.h"

#include <gtest/gtest.h>

namespace {

using namespace ochrehub::http;
using namespace std::chrono_literals;
using Timeouts = ResponseTimeouts;

const Timeouts::Time kStart{};
const Timeouts::Time kDeadline = kStart + 600ms;
const Timeouts::Policy kPolicy{300ms, 650ms, true};

/// Its first byte came 60 ms behind its request.
Timeouts begun(const Timeouts::Policy& policy = kPolicy) {
    Timeouts timeouts;
    timeouts.reset(policy);
    timeouts.set_deadline(kDeadline);
    timeouts.begun(kStart + 60ms);
    return timeouts;
}

TEST(ResponseTimeouts, PassesOnWhatMayBeLongWithItsBodyOrInTime) {
    Timeouts timeouts = begun();
    for (ResponseLength length : {ResponseLength::Unknown, ResponseLength::Long}) {
        EXPECT_EQ(timeouts.pass_on_at(length, true), kStart + 110ms);
        EXPECT_EQ(timeouts.pass_on_at(length, false), kDeadline - 20ms);
    }
    EXPECT_FALSE(timeouts.pass_on_at(ResponseLength::Short, true));
    timeouts.passed_on(kStart + 110ms, 600ms);
    EXPECT_FALSE(timeouts.pass_on_at(ResponseLength::Long, true));
}

TEST(ResponseTimeouts, HeldResponseEndsByItsOwnSilence) {
    Timeouts timeouts = begun();
    timeouts.received(kStart + 100ms, 10);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Short), kStart + 400ms);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Unknown), kStart + 750ms);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Long), kStart + 750ms);
    EXPECT_FALSE(begun({0ms, 0ms, true}).stalled_at(ResponseLength::Unknown));
}

TEST(ResponseTimeouts, UnknownLengthEndsBehindItsRequestsTimeUnlessMoreComes) {
    Timeouts timeouts = begun();
    timeouts.passed_on(kStart + 110ms, 600ms);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Unknown), kDeadline + 400ms);
    timeouts.received(kStart + 900ms, 2000);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Unknown), kStart + 1550ms);
    timeouts.received(kStart + 1500ms, 2100);  // too little
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Unknown), kStart + 1550ms);
}

TEST(ResponseTimeouts, LongResponseEndsByLongSilenceAlone) {
    for (bool by_request : {false, true}) {
        Timeouts timeouts = begun({300ms, 650ms, by_request});
        timeouts.passed_on(kStart + 110ms, 600ms);
        timeouts.received(kStart + 5s, 70000);
        EXPECT_EQ(timeouts.stalled_at(ResponseLength::Long), kStart + 15s);
    }
    Timeouts endless = begun({0ms, 0ms, false});
    endless.passed_on(kStart + 110ms, 600ms);
    EXPECT_EQ(endless.stalled_at(ResponseLength::Unknown), kStart + 60ms + 10s);
}

TEST(ResponseTimeouts, SlowReaderIsNoSilence) {
    Timeouts timeouts = begun();
    timeouts.passed_on(kStart + 110ms, 600ms);
    timeouts.resumed(kStart + 20s);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Long), kStart + 30s);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Unknown), kStart + 20650ms);
}

TEST(ResponseTimeouts, AnswerAheadOfItsUploadsEndHasTimeFromThenOn) {
    Timeouts timeouts;
    timeouts.reset(kPolicy);
    timeouts.begun(kStart);
    EXPECT_FALSE(timeouts.pass_on_at(ResponseLength::Unknown, false));
    timeouts.passed_on(kStart + 50ms, 600ms);
    EXPECT_EQ(timeouts.stalled_at(ResponseLength::Unknown), kStart + 1050ms);
}

}  // namespace
