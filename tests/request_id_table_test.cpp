// The ids of requests that must not be executed twice, shared by the processes of a node.
#include "takeover/request_id_table.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <string>

namespace {

using namespace ochrehub;
using takeover::RequestIdTable;

constexpr Duration kMinute{60000};
const TimePoint kNow{Duration{1.8e12}};

// An order ran twice when it came again at the other process of an upgrade.
TEST(RequestIdTable, TwoProcessesShareIt) {
    const std::string path = "/tmp/request-ids." + std::to_string(getpid());
    {
        RequestIdTable earlier(path), later(path);
        EXPECT_TRUE(earlier.claim("a", kNow, kMinute));
        EXPECT_FALSE(earlier.claim("a", kNow, kMinute));
        EXPECT_FALSE(later.claim("a", kNow + Duration{59000}, kMinute));
        EXPECT_TRUE(later.claim("b", kNow, kMinute));
        earlier.release("b", kNow);
        EXPECT_TRUE(later.claim("b", kNow, kMinute));
    }
    RequestIdTable third(path);
    EXPECT_FALSE(third.claim("a", kNow, kMinute));
    std::remove(path.c_str());
}

TEST(RequestIdTable, IdIsFreeBehindItsTime) {
    RequestIdTable table("");
    EXPECT_TRUE(table.claim("a", kNow, kMinute));
    EXPECT_TRUE(table.claim("a", kNow + kMinute, kMinute));
    table.release("never taken", kNow);
    RequestIdTable alone("/nowhere/at/all");
    EXPECT_TRUE(alone.claim("a", kNow, kMinute));
}

// Newcomers displace what would be free first: none waits, and none of those that are new is forgotten.
TEST(RequestIdTable, FullTableForgetsTheOldest) {
    RequestIdTable table("");
    auto id = [](int i) { return "id-" + std::to_string(i); };
    constexpr int kIds = 40000, kRecent = 2000;
    for (int i = 0; i < kIds; ++i) EXPECT_TRUE(table.claim(id(i), kNow + Duration(i), kMinute));
    for (int i = kIds - kRecent; i < kIds; ++i)
        EXPECT_FALSE(table.claim(id(i), kNow + Duration(kIds), kMinute)) << i;
}

}  // namespace
