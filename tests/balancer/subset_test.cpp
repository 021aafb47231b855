// Who uses which server, as all gateways work it out alike.
#include "ochrehub/subset.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <tuple>

#include "ochrehub/hash.h"

namespace ochrehub {
namespace {

std::vector<std::uint64_t> keys_of(int from, int to) {
    std::vector<std::uint64_t> keys;
    for (int k = from; k < to; ++k) keys.push_back(mixed(std::uint64_t(k)));
    return keys;
}

TEST(Subset, EachServerHasAsManyUsersAsAnyOther) {
    struct Fleet {
        int gateways, servers;
        std::size_t width;
    };
    for (auto [gateways, servers, width] :
         {Fleet{100, 60, 4}, Fleet{100, 13, 3}, Fleet{7, 60, 5}, Fleet{50, 500, 3}, Fleet{3, 13, 13},
          Fleet{1, 1, 3}, Fleet{200, 1000, 4}}) {
        auto keys = keys_of(0, servers);
        std::vector<int> uses(keys.size(), 0);
        std::size_t mine_each = std::min(width, keys.size());
        for (int me = 0; me < gateways; ++me) {
            Subset one = share_out(keys, gateways, me, width);
            ASSERT_EQ(one.mine.size(), keys.size());
            EXPECT_EQ(std::size_t(std::accumulate(one.mine.begin(), one.mine.end(), 0)), mine_each);
            for (std::size_t k = 0; k < keys.size(); ++k) uses[k] += one.mine[k];
            if (me == 0 || me + 1 == gateways) {
                int even = int(std::size_t(gateways) * mine_each / keys.size());
                EXPECT_GE(*std::min_element(one.users.begin(), one.users.end()), even - 1);
                EXPECT_LE(*std::max_element(one.users.begin(), one.users.end()), even + 2);
            }
            if (gateways > 100) break;
        }
        if (gateways <= 100) {
            EXPECT_EQ(uses, share_out(keys, gateways, 0, width).users) << "all know the same";
        }
    }
}

TEST(Subset, TheOrderOfTheListMakesNoDifference) {
    auto keys = keys_of(0, 60);
    Subset one = share_out(keys, 100, 42, 4);
    std::reverse(keys.begin(), keys.end());
    Subset other = share_out(keys, 100, 42, 4);
    std::reverse(other.mine.begin(), other.mine.end());
    std::reverse(other.users.begin(), other.users.end());
    EXPECT_EQ(one.mine, other.mine);
    EXPECT_EQ(one.users, other.users);
}

TEST(Subset, AServerThatLeavesMovesLittleElse) {
    int kept = 0, all = 0;
    for (int me = 0; me < 100; ++me) {
        Subset before = share_out(keys_of(0, 60), 100, me, 4), after = share_out(keys_of(1, 60), 100, me, 4);
        for (std::size_t k = 0; k + 1 < 60; ++k) {
            all += before.mine[k + 1];
            kept += before.mine[k + 1] && after.mine[k];
        }
    }
    EXPECT_GE(kept, all * 85 / 100);
}

TEST(Subset, NothingToShareOutGivesNothing) {
    EXPECT_TRUE(share_out({}, 100, 0, 4).users.empty());
    EXPECT_TRUE(share_out(keys_of(0, 60), 100, 0, 0).users.empty());
    EXPECT_TRUE(share_out(keys_of(0, 60), 100, -1, 4).users.empty()) << "not told its number";
    EXPECT_TRUE(share_out(keys_of(0, 60), 100, 100, 4).users.empty());
    EXPECT_TRUE(share_out(keys_of(0, 10'000), 10'000, 1, 4).users.empty()) << "too long";
}

TEST(Subset, WhatIsRememberedIsWhatWouldBeWorkedOut) {
    Shares shares;
    for (auto [servers, me, width] :
         {std::tuple{60, 3, 4}, {60, 3, 4}, {59, 3, 4}, {60, 3, 4}, {60, 4, 4}, {60, 4, 5}, {0, 4, 5}}) {
        auto keys = keys_of(0, servers);
        Subset fresh = share_out(keys, 100, me, std::size_t(width));
        const Subset& kept = shares.of(keys, 100, me, std::size_t(width));
        EXPECT_EQ(kept.users, fresh.users);
        EXPECT_EQ(kept.mine, fresh.mine);
    }
}

}  // namespace
}  // namespace ochrehub
