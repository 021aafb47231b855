// The fleet-size divisor, and the file of the cluster's keys.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <cstdlib>
#include <fstream>
#include <string>

#include "fleet/membership/fleet_size_divisor.h"
#include "fleet/membership/settings.h"

namespace ochrehub::membership {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
TEST(FleetSizeDivisor, RisesAtOnceAndFallsSlowlyAndNeverBelowItsMinimum) {
    FleetSizeDivisor divisor({8, 4, Duration{5000}, Duration{1000}});
    EXPECT_EQ(divisor.value(), 8);
    EXPECT_EQ(divisor.update(at(0), 9), 9);  // one more: its share is smaller at once
    EXPECT_EQ(divisor.update(at(100), 4), 9);
    EXPECT_EQ(divisor.update(at(5000), 4), 9);
    double ms = 5100;
    for (int before = 9; divisor.value() > 4; ms += 1000) {
        int now = divisor.update(at(ms), 4);
        EXPECT_LT(now, before);
        EXPECT_GE(now, before - 2);
        before = now;
        ASSERT_LT(ms, 15'000);
    }
    // Whatever is live: the shares of the eight configured nodes add up to two at most.
    for (; ms < 60'000; ms += 100) EXPECT_GE(divisor.update(at(ms), 1), 4);
    EXPECT_EQ(divisor.update(at(ms), 1'000'000), 32);
}

TEST(FleetSizeDivisor, IgnoresFewerNodesForAMoment) {
    FleetSizeDivisor divisor({8, 4, Duration{5000}, Duration{1000}});
    for (double ms = 0; ms < 60'000; ms += 2000) {
        EXPECT_EQ(divisor.update(at(ms), 5), 8);
        EXPECT_EQ(divisor.update(at(ms + 1000), 8), 8);
    }
}

TEST(KeyFile, ReportsEachErrorWithItsLine) {
    char path[] = "/tmp/keys.XXXXXX";
    close(mkstemp(path));
    auto fault = [&](const std::string& text, mode_t mode = 0600) {
        std::ofstream(path, std::ios::binary) << text;
        chmod(path, mode);
        return read_keys(path).fault;
    };
    EXPECT_EQ(fault(""), "holds no key");
    EXPECT_EQ(fault("0123456789abcdef\nshort\n"), "line 2: a key has 16 to 128 characters");
    EXPECT_EQ(fault("\n0123456789abcd\x01"
                    "ef\n"),
              "line 2: holds a byte that is no printable character");
    EXPECT_EQ(fault("0123456789abcdef\n", 0640), "can be read by others than its owner: chmod 600");
    EXPECT_EQ(fault("0123456789abcdef\nfedcba9876543210\n"), "");
    EXPECT_EQ(read_keys(path).keys.size(), 2u);
    unlink(path);
    EXPECT_EQ(read_keys(path).fault, "cannot be read: No such file or directory");
}

}  // namespace
}  // namespace ochrehub::membership
