// What a node calls the weather: each kind of day caused, and what must not be taken for one.
#include "admission/load_state.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <vector>

namespace ochrehub {
namespace {

using State = LoadState::State;

TimePoint at(double ms) {
    return TimePoint{Duration{1e6 + ms}};
}

/// A node's day, evenly spread: so many a second come and are answered.
struct Day {
    LoadState load_state{{Duration{600}, Duration{1500}}, 3};
    std::vector<LoadState::Change> changes;
    double now = 0;

    struct Rates {
        double first = 200, repeats = 0, refused = 0, served = 200, server_ms = 30, opened = 5;
        int tenant = -1;       // asks ...
        double of_tenant = 0;  // ... so many of the first tries; else all ask alike
    };
    void pass(double ms, const Rates& rates) {
        double first = 0, repeats = 0, refused = 0, served = 0, opened = 0, own = 0;
        int turn = 0;
        for (double end = now + ms; now < end; now += 5) {
            auto each = [](double& sum, double rate, auto f) {
                for (sum += rate * 0.005; sum >= 1; --sum) f();
            };
            each(first, rates.first - rates.of_tenant,
                 [&] { load_state.request_arrived(at(now), turn++ % 3, false); });
            each(own, rates.of_tenant, [&] { load_state.request_arrived(at(now), rates.tenant, false); });
            each(repeats, rates.repeats, [&] { load_state.request_arrived(at(now), turn++ % 3, true); });
            each(refused, rates.refused, [&] { load_state.request_rejected(at(now)); });
            each(opened, rates.opened, [&] { load_state.connection_opened(at(now)); });
            each(served, rates.served, [&] {
                int cls = turn++ % 2;
                double took = rates.server_ms * (cls + 1) * (0.7 + 0.1 * (turn % 7));
                load_state.request_completed(at(now), cls, true, Duration{took + 5});
                load_state.server_responded(at(now), cls, Duration{took});
            });
            if (auto change = load_state.poll_change(at(now))) changes.push_back(*change);
        }
    }
    int called(State state) const {
        int count = 0;
        for (const auto& change : changes) count += change.to == state;
        return count;
    }
    /// How long it took until this was called, ms; negative: it was not.
    double after(State state, double from) const {
        for (const auto& change : changes)
            if (change.to == state) return (change.at - at(from)).count();
        return -1;
    }
    void list(UpdateKind kind, const std::vector<EndpointEntry>& entries) {
        EndpointUpdate update;
        update.kind = kind;
        update.entries = entries;
        load_state.update_endpoints(at(now), update);
    }
};

EndpointEntry entry(EndpointId server, Phase phase = Phase::Ready, std::optional<TimePoint> started = {}) {
    EndpointEntry e;
    e.endpoint = server;
    e.phase = phase;
    e.last_start = started;
    return e;
}

TEST(LoadState, ABusyDayIsNoStorm) {
    Day day;
    // Waves up to what the servers can do and a little beyond: some are refused at each peak and come again.
    for (int wave = 0; wave < 20; ++wave) {
        day.pass(4000, {.first = 140, .served = 140});
        day.pass(2000, {.first = 210, .repeats = 30, .refused = 40, .served = 200, .server_ms = 40});
        day.pass(1000, {.first = 230, .repeats = 100, .refused = 130, .served = 200, .server_ms = 45});
    }
    EXPECT_EQ(day.called(State::Storm), 0);
    EXPECT_EQ(day.called(State::Brownout), 0);
    EXPECT_GT(day.called(State::Busy), 0);
}

TEST(LoadState, MoreThanCanBeAnsweredAndAskedAgainIsAStorm) {
    Day day;
    day.pass(10000, {});
    day.pass(6000, {.first = 320, .repeats = 180, .refused = 290, .served = 210, .server_ms = 45});
    EXPECT_EQ(day.load_state.state(), State::Storm);
    EXPECT_GT(day.after(State::Storm, 10000), 1000);
    EXPECT_LT(day.after(State::Storm, 10000), 4000);
    EXPECT_EQ(day.called(State::Brownout), 0);
    // What is called is not taken for usual.
    EXPECT_NEAR(day.load_state.signals().usual_first_attempts_per_s, 200, 30);
    day.pass(8000, {});
    EXPECT_EQ(day.load_state.state(), State::Calm);
}

TEST(LoadState, FewerAnswersThoughNoMoreComesIsABrownout) {
    Day day;
    day.pass(10000, {});
    day.pass(5000, {.first = 200, .repeats = 90, .refused = 190, .served = 100, .server_ms = 70});
    EXPECT_EQ(day.load_state.state(), State::Brownout);
    EXPECT_LT(day.after(State::Brownout, 10000), 3000);
    EXPECT_EQ(day.called(State::Storm), 0);
    EXPECT_GT(day.changes.back().signals.slowdown, 1.35);
    day.pass(8000, {});
    EXPECT_EQ(day.load_state.state(), State::Calm);
}

TEST(LoadState, NoAnswersAtAllAndACrowdThatAsksAgainIsAStorm) {
    Day day;
    day.pass(10000, {});
    day.pass(6000, {.first = 200, .repeats = 400, .refused = 600, .served = 0});
    EXPECT_EQ(day.load_state.state(), State::Storm);
}

TEST(LoadState, OneTenantsStormIsCalledByItsName) {
    Day day;
    day.pass(10000, {});
    day.pass(5000, {.first = 400, .refused = 60, .served = 340, .tenant = 1, .of_tenant = 270});
    EXPECT_EQ(day.load_state.state(), State::Storm);
    ASSERT_FALSE(day.changes.empty());
    EXPECT_EQ(day.changes.back().signals.tenant, 1);
    EXPECT_GT(day.changes.back().signals.tenant_growth, 3);
}

TEST(LoadState, ServersThatDrainAndNewOnesAreARelease) {
    Day day;
    day.list(UpdateKind::Full, {entry(1), entry(2), entry(3), entry(4)});
    day.pass(5000, {});
    EXPECT_EQ(day.load_state.state(), State::Calm);
    day.list(UpdateKind::Delta, {entry(1, Phase::Draining), entry(2, Phase::Draining)});
    day.pass(1000, {});
    EXPECT_EQ(day.load_state.state(), State::Release);
    day.list(UpdateKind::Delta, {entry(1, Phase::Removed), entry(5, Phase::Ready, at(day.now - 500))});
    day.pass(9000, {});
    EXPECT_EQ(day.load_state.state(), State::Release) << "the new one warms still";
    day.pass(9000, {});
    EXPECT_EQ(day.load_state.state(), State::Calm);
    EXPECT_EQ(day.changes.size(), 2u);
}

TEST(LoadState, ListsThatSayNothingNewAreNoRelease) {
    Day day;
    day.list(UpdateKind::Cached, {entry(8), entry(9)});
    day.list(UpdateKind::Full, {entry(1), entry(2), entry(3, Phase::Draining)});
    day.pass(3000, {});
    day.list(UpdateKind::Full, {});
    day.list(UpdateKind::Failed, {});
    day.list(UpdateKind::Full, {entry(1), entry(2), entry(3, Phase::Draining)});
    day.list(UpdateKind::Delta, {entry(2, Phase::Removed)});  // crashed: it did not drain
    day.pass(3000, {});
    day.list(UpdateKind::Delta, {entry(2, Phase::Ready, at(-60000))});
    day.pass(3000, {});
    EXPECT_TRUE(day.changes.empty());
}

TEST(LoadState, ABurstBehindAStartIsNoStorm) {
    Day day;
    day.pass(2000, {.first = 600, .repeats = 400, .refused = 800, .served = 200});
    day.pass(5000, {});
    EXPECT_EQ(day.called(State::Storm), 0);
    EXPECT_EQ(day.called(State::Brownout), 0);
}

TEST(LoadState, ASilenceEndsWhatWasCalled) {
    Day day;
    day.pass(10000, {});
    day.pass(6000, {.first = 320, .repeats = 180, .refused = 290, .served = 210});
    ASSERT_EQ(day.load_state.state(), State::Storm);
    // A node that stood still, too: it hears all at once.
    day.now += 3.6e6;
    day.pass(4000, {});
    EXPECT_EQ(day.load_state.state(), State::Calm);
}

// Whatever comes: it tells of each change once, in the order of their times, and what it was before fits.
TEST(LoadState, TellsOfEachChangeOnceWhateverComes) {
    EXPECT_TRUE(rc::check([](const std::vector<std::uint32_t>& events) {
        LoadState load_state({Duration{600}, Duration{1500}}, 3);
        double now = 0;
        State known = State::Calm;
        TimePoint told = at(0);
        for (std::uint32_t event : events) {
            now += event % 11 == 0 ? event >> 8 & 0xffff : event >> 8 & 0x3f;
            int many = 1 + int(event >> 24) % 40;
            for (int i = 0; i < many; ++i) switch (event % 5) {
                    case 0:
                        load_state.request_arrived(at(now), int(event >> 5) % 4 - 1, event & 0x20);
                        break;
                    case 1:
                        load_state.request_rejected(at(now));
                        break;
                    case 2:
                        load_state.request_completed(at(now), int(event >> 5) % 2, event & 0x40,
                                                     Duration{double(event >> 20)});
                        break;
                    case 3:
                        load_state.server_responded(at(now), int(event >> 5) % 2,
                                                    Duration{double(event >> 20)});
                        break;
                    default:
                        load_state.connection_opened(at(now));
                }
            State before = load_state.state();
            auto change = load_state.poll_change(at(now));
            if (change) {
                RC_ASSERT(change->to == load_state.state());
                RC_ASSERT(change->at >= told);
                told = change->at;
                known = change->to;
            } else {
                RC_ASSERT(load_state.state() == before);
            }
            RC_ASSERT(known == load_state.state());
            const LoadState::OverloadSignals& s = load_state.signals();
            RC_ASSERT(std::isfinite(s.slowdown) && s.retry_fraction <= 1 && s.rejected_fraction <= 1 &&
                      s.late_fraction <= 1);
        }
    }));
}

}  // namespace
}  // namespace ochrehub
