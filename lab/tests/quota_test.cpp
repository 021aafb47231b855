// The common quota's cores together, on a network that does everything wrong, judged by what gateways let in.
#include <gtest/gtest.h>

#include "lab/quota/scripts.h"
#include "lab/quota/ways.h"

namespace ochrehub::lab {
namespace {

TEST(QuotaWorld, TheJudgeFindsTheWorstWindow) {
    std::vector<LetIn> records;
    for (int i = 0; i < 10; ++i)
        records.push_back({TimePoint{} + Duration{1000.0 + 100 * i}, 0, 0, 0, kUnit, false});
    // Ten within 900 ms: at one a second, 10 - 0.9 of burst are needed.
    EXPECT_NEAR(worst_window(records, 0, kUnit, 0).amount / double(kUnit), 9.1, 1e-6);
    EXPECT_NEAR(worst_window(records, 0, kUnit, 10 * kUnit).amount / double(kUnit), -0.9, 1e-6);
    EXPECT_NEAR(worst_window(records, 0, 20 * kUnit, kUnit).amount / double(kUnit), 0, 1e-6);
    records[4].given_back = true;
    EXPECT_NEAR(worst_window(records, 0, kUnit, 0).amount / double(kUnit), 8.1, 1e-6);
    EXPECT_NEAR(worst_window(records, 1, kUnit, 0).amount, 0, 1e-6);
}

TEST(QuotaWorld, InPeaceNearlyAllIsUsedAndNoneTooMuch) {
    for (auto make : {steady_day, swinging_day}) {
        QuotaDay day = make(2, 5, 1);
        QuotaOutcome outcome = run(day);
        EXPECT_LE(worst(day, outcome), 0);
        for (std::size_t b = 0; b < 2; ++b)
            EXPECT_GE(used(day, outcome, b, Duration{3000}, day.length), make == steady_day ? 0.95 : 0.85);
    }
}

TEST(QuotaWorld, NeverTooMuchWhateverFails) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed)
        for (auto make : {+[](std::uint64_t s) { return steady_day(2, 5, s); },
                          +[](std::uint64_t s) { return leaky_day(s); }}) {
            QuotaDay day = make(seed);
            day.faults = draw_faults(seed, day, 10);
            day.loss = day.doubled = 0.02;
            QuotaOutcome outcome = run(day);
            EXPECT_LE(worst(day, outcome), 0) << "seed " << seed;
        }
}

TEST(QuotaWorld, ACrashOrStopAtAnyEventLetsInNoMore) {
    QuotaDay day = small_day();
    std::uint64_t happened = run(day).happened;
    std::size_t processes = 3 + day.sites * (3 + day.nodes);
    for (std::uint64_t n = 1; n < happened; n += 7) {  // quota_measure events: each
        day.at = QuotaDay::At{n, n / 7 % processes, n % 2 == 0, Duration{n % 2 ? 50.0 : 1500.0}};
        EXPECT_LE(worst(day, run(day)), 0) << "event " << n;
    }
}

TEST(QuotaWorld, ASiteThatIsCutOffHasItsFloorAndTheOthersAllElse) {
    QuotaDay day = steady_day(2, 5, 3);
    day.length = Duration{20'000};
    day.faults = {{QuotaFault::Kind::CutSite, Duration{6000}, Duration{14'000}, 1, 0}};
    QuotaOutcome outcome = run(day);
    EXPECT_LE(worst(day, outcome), 0);
    auto share = [&](int site, double rate) {
        return double(let_in(outcome.let_in, 0, TimePoint{} + Duration{10'000}, TimePoint{} + day.length,
                             site)) /
               10 / rate / double(kUnit);
    };
    EXPECT_GE(share(1, 20), 0.95);
    EXPECT_LE(share(1, 20), 1.02);
    EXPECT_GE(share(0, 380), 0.6);  // all that is asked for there is 240 a second
}

TEST(QuotaWorld, ASiteThatAsksForEverythingTakesNothingThatOthersNeed) {
    QuotaDay day = steady_day(2, 5, 4);
    day.liar = 0;
    day.demand = [](std::size_t b, std::size_t site, Duration) {
        return b == 0 ? (site == 0 ? 20.0 : 500.0) : 50.0;
    };
    QuotaOutcome outcome = run(day);
    EXPECT_LE(worst(day, outcome), 0);
    EXPECT_GE(double(let_in(outcome.let_in, 0, TimePoint{} + Duration{4000}, TimePoint{} + day.length, 1)) /
                  16 / double(kUnit),
              0.85 * 380);
}

TEST(QuotaWorld, OtherWaysOnTheSameDays) {
    QuotaDay day = swinging_day(2, 5, 5);
    auto base = day.demand;
    day.demand = [base](std::size_t b, std::size_t s, Duration at) {
        return at.count() < 9000 ? base(b, s, at) : at.count() < 12'000 ? 0.0 : 4 * base(b, s, at);
    };
    auto too_much = [&](Way way) {
        return worst_window(run(way, day).let_in, 0, day.budgets[0].rate, day.budgets[0].burst).amount;
    };
    EXPECT_LE(too_much(Way::Fixed), 0);
    EXPECT_LE(too_much(Way::OneCounter), 0);
    EXPECT_GT(too_much(Way::Gossip), 0);
    EXPECT_LE(too_much(Way::Leases), 0);
    WayOutcome asks = run(Way::OneCounter, day);
    ASSERT_FALSE(asks.waits.empty());
    EXPECT_GT(*std::max_element(asks.waits.begin(), asks.waits.end()),
              20);  // each request waits for the distance
}

TEST(QuotaWorld, EachSaboteurIsFound) {
    for (int s = 1; s <= int(Saboteur::MintsPastCap); ++s) {
        int found = 0;
        for (std::uint64_t seed = 1; seed <= 20 && found == 0; ++seed) {
            QuotaDay day = saboteur_day(Saboteur(s), seed);
            found += worst(day, run(day)) > 0;
            // It is the saboteur's doing: the same day without it keeps to the budget.
            day.saboteur = Saboteur::None;
            EXPECT_LE(worst(day, run(day)), 0) << name(Saboteur(s));
        }
        EXPECT_GT(found, 0) << name(Saboteur(s));
    }
}

}  // namespace
}  // namespace ochrehub::lab
