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
            Subset one = compute_subset(keys, gateways, me, width);
            ASSERT_EQ(one.assigned.size(), keys.size());
            EXPECT_EQ(std::size_t(std::accumulate(one.assigned.begin(), one.assigned.end(), 0)), mine_each);
            for (std::size_t k = 0; k < keys.size(); ++k) uses[k] += one.assigned[k];
            if (me == 0 || me + 1 == gateways) {
                int even = int(std::size_t(gateways) * mine_each / keys.size());
                EXPECT_GE(*std::min_element(one.nodes_per_endpoint.begin(), one.nodes_per_endpoint.end()),
                          even - 1);
                EXPECT_LE(*std::max_element(one.nodes_per_endpoint.begin(), one.nodes_per_endpoint.end()),
                          even + 2);
            }
            if (gateways > 100) break;
        }
        if (gateways <= 100) {
            EXPECT_EQ(uses, compute_subset(keys, gateways, 0, width).nodes_per_endpoint)
                << "all know the same";
        }
    }
}

TEST(Subset, TheOrderOfTheListMakesNoDifference) {
    auto keys = keys_of(0, 60);
    Subset one = compute_subset(keys, 100, 42, 4);
    std::reverse(keys.begin(), keys.end());
    Subset other = compute_subset(keys, 100, 42, 4);
    std::reverse(other.assigned.begin(), other.assigned.end());
    std::reverse(other.nodes_per_endpoint.begin(), other.nodes_per_endpoint.end());
    EXPECT_EQ(one.assigned, other.assigned);
    EXPECT_EQ(one.nodes_per_endpoint, other.nodes_per_endpoint);
}

TEST(Subset, AServerThatLeavesMovesLittleElse) {
    int kept = 0, all = 0;
    for (int me = 0; me < 100; ++me) {
        Subset before = compute_subset(keys_of(0, 60), 100, me, 4),
               after = compute_subset(keys_of(1, 60), 100, me, 4);
        for (std::size_t k = 0; k + 1 < 60; ++k) {
            all += before.assigned[k + 1];
            kept += before.assigned[k + 1] && after.assigned[k];
        }
    }
    EXPECT_GE(kept, all * 85 / 100);
}

TEST(Subset, NothingToShareOutGivesNothing) {
    EXPECT_TRUE(compute_subset({}, 100, 0, 4).nodes_per_endpoint.empty());
    EXPECT_TRUE(compute_subset(keys_of(0, 60), 100, 0, 0).nodes_per_endpoint.empty());
    EXPECT_TRUE(compute_subset(keys_of(0, 60), 100, -1, 4).nodes_per_endpoint.empty())
        << "not told its number";
    EXPECT_TRUE(compute_subset(keys_of(0, 60), 100, 100, 4).nodes_per_endpoint.empty());
    EXPECT_TRUE(compute_subset(keys_of(0, 10'000), 10'000, 1, 4).nodes_per_endpoint.empty()) << "too long";
}

TEST(Subset, WhatIsRememberedIsWhatWouldBeWorkedOut) {
    SubsetCache shares;
    for (auto [servers, me, width] :
         {std::tuple{60, 3, 4}, {60, 3, 4}, {59, 3, 4}, {60, 3, 4}, {60, 4, 4}, {60, 4, 5}, {0, 4, 5}}) {
        auto keys = keys_of(0, servers);
        Subset fresh = compute_subset(keys, 100, me, std::size_t(width));
        const Subset& kept = shares.get(keys, 100, me, std::size_t(width));
        EXPECT_EQ(kept.nodes_per_endpoint, fresh.nodes_per_endpoint);
        EXPECT_EQ(kept.assigned, fresh.assigned);
    }
}

}  // namespace
}  // namespace ochrehub
