// Admission control: each test of a feedback loop provokes the loop that admission control must break; the
// property tests check invariants for random events.
#include "admission/admission.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

std::size_t allocations();  // allocations.cpp

namespace ochrehub {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{1e6 + ms}};
}

AdmissionController::Settings settings(std::size_t max_connections = 100, double max_retry_after = 1200) {
    return {{5, 3, 8, 3}, {}, {}, max_connections, Duration{max_retry_after}, 7, true};
}

/// Admits and completes requests at this rate, each with the latency of its class, so that admission control
/// learns the served rate.
void serve(AdmissionController& admission, double from, double to, double per_s) {
    const std::vector<double> latency_ms = {50, 60, 200, 200};
    int class_index = 0;
    for (double t = from; t < to; t += 1000 / per_s, class_index = (class_index + 1) % 4) {
        ASSERT_FALSE(admission.admit(at(t), {class_index, kNone, false}));
        admission.complete(at(t), {class_index}, true, Duration{latency_ms[std::size_t(class_index)]});
    }
}

TEST(RetryAfterSchedule, SpreadsRetriesOfClientsRejectedAtOneMoment) {
    RetryAfterSchedule retry_after(Duration{1200}, 3);
    std::map<int, int> returns;  // by 100 ms
    for (int i = 0; i < 2000; ++i) {
        double back = retry_after.reserve(at(0), 100).count();
        EXPECT_GE(back, 250);
        EXPECT_LE(back, 1200);
        ++returns[int(back / 100)];
    }
    // Delays sampled between 500 and 1,500 and cut to 1,200 would send three in ten clients back at one
    // moment.
    for (const auto& [step, count] : returns) EXPECT_LT(count, 1.2 * 2000 / 9.5) << step;
}

TEST(RetryAfterSchedule, SizesWindowByReservationsAndSeparatesCrowds) {
    RetryAfterSchedule retry_after(Duration{30000}, 3);
    std::map<int, int> returns;  // by s
    for (int i = 0; i < 3000; ++i) {
        double now = i < 1500 ? 0 : 2000;
        ++returns[int((now + retry_after.reserve(at(now), 200).count()) / 1000)];
    }
    for (const auto& [second, count] : returns) EXPECT_LT(count, 1.5 * 200 + 30) << second;
    EXPECT_GT(returns.rbegin()->first, 10);
    EXPECT_LT(returns.rbegin()->first, 25);
}

TEST(RetryAfterSchedule, GrantsOneReservationOnTimeAndNoneTooEarlyOrLate) {
    RetryAfterSchedule retry_after(Duration{1200}, 3);
    double back = retry_after.reserve(at(0), 100).count();
    EXPECT_FALSE(retry_after.claim(at(1)));
    EXPECT_TRUE(retry_after.claim(at(back + 5)));
    EXPECT_FALSE(retry_after.claim(at(back + 6))) << "the reservation is claimed already";
    back = retry_after.reserve(at(2000), 100).count();
    EXPECT_FALSE(retry_after.claim(at(2000 + back + 400))) << "too late";
    EXPECT_EQ(retry_after.reserved(at(10000)), 0u);
}

// Waiting requests held all client connections. New clients' connections were closed, and the clients retried
// on others: 4,000 connections in 30 s where 450 are needed.
TEST(AdmissionController, LimitsOpenRequestsBelowConnectionLimit) {
    AdmissionController admission(settings(100));
    serve(admission, 0, 5000, 1000);
    int admitted = 0, rejected = 0;
    for (int i = 0; i < 1000; ++i)
        (admission.admit(at(5000 + i * 0.1), {i % 4, kNone, false}) ? rejected : admitted) += 1;
    EXPECT_EQ(admitted, 90);
    EXPECT_EQ(rejected, 910);
    EXPECT_EQ(admission.open_requests(), 90u);
}

TEST(AdmissionController, RejectsUnscheduledRetriesThenLowestWeightPerLatencyFirst) {
    AdmissionController admission(settings(100));
    serve(admission, 0, 5000, 1000);
    std::vector<int> kinds;  // classes 0 to 3, and retries as 4
    std::map<int, std::size_t> open_at_rejection;
    for (int i = 0; i < 1000; ++i)
        for (int kind : {4, 3, 1, 2, 0})
            if (admission.admit(at(5000), {kind % 4, kNone, kind == 4}) && !open_at_rejection.contains(kind))
                open_at_rejection[kind] = admission.open_requests();
    // Priority weight per latency: 0.1, 0.05, 0.04, 0.015.
    EXPECT_EQ(open_at_rejection[4], 50u);
    EXPECT_EQ(open_at_rejection[3], 70u);
    EXPECT_LT(open_at_rejection[2], open_at_rejection[1]);
    EXPECT_GT(open_at_rejection[2], 70u);
    EXPECT_EQ(open_at_rejection[0], 90u);
}

TEST(AdmissionController, AdmitsScheduledRetryLikeFirstAttempt) {
    AdmissionController admission(settings(100));
    serve(admission, 0, 5000, 1000);
    int open = 0;
    while (!admission.admit(at(5000), {3, kNone, false})) ++open;
    auto back = admission.admit(at(5000), {3, kNone, false});
    ASSERT_TRUE(back);
    // 55 open: unscheduled retries are rejected.
    for (int i = 0; i < 15; ++i) admission.complete(at(5001), {3}, false, Duration{1});
    EXPECT_TRUE(admission.admit(at(5002), {0, kNone, true}));
    EXPECT_FALSE(admission.admit(at(5000 + back->count()), {0, kNone, true}));
}

// In a brownout fewer requests are served. A limit that followed the served rate would lower it further.
TEST(AdmissionController, DerivesOpenLimitFromPeakServedRate) {
    AdmissionController admission(settings(100000));
    serve(admission, 0, 10000, 500);
    auto open_at = [&](double ms) {
        int open = 0;
        while (!admission.admit(at(ms), {0, kNone, false})) ++open;
        for (int i = 0; i < open; ++i) admission.complete(at(ms), {0}, false, Duration{1});
        return open;
    };
    int before = open_at(10000);
    EXPECT_NEAR(before, 0.9 * 0.4 * 500, 10);
    EXPECT_GT(open_at(15000), 0.8 * before) << "nothing was served for 5 s";
    EXPECT_GE(open_at(1e6), 21) << "the minimum limit remains when the peak has decayed";
}

// As many requests are open as the server latency accounts for. With a fixed limit of 400 ms and a longer
// usual latency most requests were rejected without need; the served rate fell, and the limit with it.
TEST(AdmissionController, RejectsNothingAtLongUsualLatency) {
    for (double latency_ms : {50.0, 200.0, 300.0, 400.0, 900.0, 2500.0}) {
        AdmissionController admission(
            {{5, 3, 8, 3}, std::vector<Duration>(4, Duration{10'000}), {}, 100'000, Duration{1200}, 7, true});
        std::multimap<double, int> open;
        int requests = 0, rejected = 0, class_index = 0;
        for (double t = 0; t < 60'000; t += 5, class_index = (class_index + 1) % 4) {
            while (!open.empty() && open.begin()->first <= t) {
                admission.complete(at(open.begin()->first), {open.begin()->second}, true,
                                   Duration{latency_ms}, Duration{latency_ms});
                open.erase(open.begin());
            }
            admission.poll_state_change(at(t));
            bool is_admitted = !admission.admit(at(t), {class_index});
            if (is_admitted) open.emplace(t + latency_ms, class_index);
            if (t >= 5000 + 4 * latency_ms) ++requests, rejected += !is_admitted;
        }
        EXPECT_EQ(rejected, 0) << latency_ms << " ms, of " << requests;
    }
}

// A temporary slowdown must not raise the limit as a long usual latency does.
TEST(AdmissionController, KeepsOpenLimitWhileServersAreSlow) {
    AdmissionController admission(
        {{5, 3, 8, 3}, std::vector<Duration>(4, Duration{2000}), {}, 100'000, Duration{1200}, 7, true});
    std::multimap<double, int> open;
    std::size_t max_open = 0;
    int class_index = 0;
    for (double t = 0; t < 40'000; t += 2, class_index = (class_index + 1) % 4) {  // 500 requests per second
        double latency_ms = t < 10'000 ? 60 : 1200;
        while (!open.empty() && open.begin()->first <= t) {
            admission.complete(at(open.begin()->first), {open.begin()->second}, true, Duration{latency_ms},
                               Duration{latency_ms});
            open.erase(open.begin());
        }
        admission.poll_state_change(at(t));
        if (!admission.admit(at(t), {class_index})) open.emplace(t + latency_ms, class_index);
        if (t < 20'000) max_open = std::max(max_open, open.size());
    }
    EXPECT_LT(max_open, 0.9 * 0.4 * 500 + 10);
}

// A node that has just started or resumed receives many requests at once and knows no served rate yet.
TEST(AdmissionController, AdmitsBurstAfterStart) {
    AdmissionController admission(settings(300));
    int admitted = 0;
    for (int i = 0; i < 200; ++i)
        admitted += !admission.admit(at(i / 4.0), {i % 4, kNone, false}).has_value();
    EXPECT_EQ(admitted, 200);
    for (int i = 0; i < 100; ++i) admission.complete(at(100 + i), {i % 4}, true, Duration{90});
    // After observing for a while it limits open requests by the served rate.
    for (int i = 0; i < 100; ++i) admission.complete(at(2500 + i), {i % 4}, true, Duration{90});
    int later = 0;
    for (int i = 0; i < 200; ++i) later += !admission.admit(at(2700), {i % 4, kNone, false}).has_value();
    EXPECT_LT(later, 60);
    EXPECT_GT(later, 10);
}

TEST(AdmissionController, SendsNoRetryAfterWhenDisabled) {
    AdmissionController admission(settings(10, 0));
    while (!admission.admit(at(0), {0, kNone, false})) continue;
    EXPECT_EQ(admission.reject(at(0), {}).count(), 0);
}

// Clients were asked to retry after their own timeout had passed.
TEST(AdmissionController, KeepsRetryAfterWithinShortClientTimeouts) {
    AdmissionController::Settings set = settings(100);
    set.request_timeouts = {Duration{200}, Duration{400}, Duration{500}, Duration{2000}};
    const std::vector<std::pair<double, double>> span = {{50, 150}, {100, 300}, {250, 1050}, {250, 1050}};
    for (int class_index = 0; class_index < 4; ++class_index) {
        AdmissionController admission(set);
        double shortest = 1e9, longest = 0;
        for (int i = 0; i < 100; ++i) {
            double t = 3000 * i + 1000;
            serve(admission, t - 1000, t, 100);
            double back = admission.reject(at(t), {class_index}).count();
            shortest = std::min(shortest, back), longest = std::max(longest, back);
            EXPECT_TRUE(admission.admit(at(t + back), {class_index, kNone, true}) == std::nullopt)
                << "it has a reservation";
            admission.complete(at(t + back + 20), {class_index}, true, Duration{20});
        }
        EXPECT_NEAR(shortest, span[std::size_t(class_index)].first, 40) << class_index;
        EXPECT_NEAR(longest, span[std::size_t(class_index)].second, 40) << class_index;
    }
}

AdmissionController shared_admission(std::size_t max_connections = 100) {
    return AdmissionController(
        {{5, 3, 8, 3}, {}, {0.5, 0.25, 0.25}, max_connections, Duration{1200}, 7, true});
}

/// Sends requests of one tenant until one is rejected; returns how many were admitted.
int fill(AdmissionController& admission, double ms, int tenant, int class_index = 3) {
    int admitted = 0;
    while (!admission.admit(at(ms), {class_index, tenant})) ++admitted;
    return admitted;
}

TEST(AdmissionController, ReservesCapacityForTenantsBelowTheirShare) {
    AdmissionController admission = shared_admission();
    serve(admission, 0, 5000, 1000);
    // Of the 70 for its class a single tenant may use what no other uses, but not the last part.
    int alone = fill(admission, 5000, 1);
    EXPECT_GT(alone, 60);
    EXPECT_LT(alone, 70);
    EXPECT_EQ(alone + fill(admission, 5000, 0), 70) << "a tenant within its share gets the rest";
    // As its requests end, the tenant over its share does not get their places again.
    for (int i = 0; i < 20; ++i) admission.complete(at(5001), {3, 1}, false, Duration{1});
    EXPECT_LT(fill(admission, 5001, 1), 18);
    EXPECT_GT(fill(admission, 5001, 2), 2);
    for (int i = 0; i < 20; ++i) admission.complete(at(5002), {3, 1}, false, Duration{1});
    EXPECT_EQ(fill(admission, 5002, 2), 20) << "it has its own share";
}

TEST(AdmissionController, ToleratesRandomExcessOverTenantShare) {
    AdmissionController admission = shared_admission();
    serve(admission, 0, 5000, 1000);
    for (int i = 0; i < 30; ++i) ASSERT_FALSE(admission.admit(at(5000), {3, 0}));
    for (int i = 0; i < 15; ++i) ASSERT_FALSE(admission.admit(at(5000), {3, 1}));
    for (int i = 0; i < 15; ++i) ASSERT_FALSE(admission.admit(at(5000), {3, 2}));
    EXPECT_FALSE(admission.admit(at(5000), {3, 1})) << "15 of 60 is a quarter";
    EXPECT_FALSE(admission.admit(at(5000), {3, kNone})) << "requests without a tenant have a share too";
}

TEST(AdmissionController, AdmitsScheduledRetryOfTenantOverItsShare) {
    AdmissionController admission = shared_admission();
    serve(admission, 0, 5000, 1000);
    fill(admission, 5000, 1);
    auto back = admission.admit(at(5000), {3, 1, false, 77});
    ASSERT_TRUE(back);
    EXPECT_TRUE(admission.admit(at(5000 + back->count()), {3, 1, false, 78}))
        << "a first attempt of the same tenant";
    EXPECT_FALSE(admission.admit(at(5000 + back->count()), {3, 1, true, 77}));
}

// Clients that retried at once claimed the reservations of clients that were due at that moment.
TEST(AdmissionController, EarlyRetryClaimsNoReservationOfAnotherClient) {
    for (bool is_identified : {false, true}) {
        AdmissionController admission(settings(100));
        serve(admission, 0, 5000, 1000);
        while (!admission.admit(at(5000), {0})) continue;
        double due = 5000 + admission.reject(at(5000), {3, kNone, false, 1}).count();
        for (int i = 0; i < 25; ++i) admission.complete(at(5001), {0}, false, Duration{1});  // 65 open
        // The other client is scheduled later and retries when the first is due.
        double later = due;
        while (later < due + 200)
            later = due - 50 + admission.reject(at(due - 50), {3, kNone, false, 2}).count();
        EXPECT_EQ(admission.admit(at(due), {3, kNone, true, is_identified ? 2ul : 0ul}).has_value(),
                  is_identified);
        EXPECT_EQ(admission.admit(at(due + 1), {3, kNone, true, is_identified ? 1ul : 0ul}).has_value(),
                  !is_identified);
    }
}

TEST(AdmissionController, RejectsClientThatRepeatedlyRetriesEarlyFirst) {
    AdmissionController admission(settings(100));
    serve(admission, 0, 5000, 1000);
    for (int i = 0; i < 40; ++i) ASSERT_FALSE(admission.admit(at(5000), {0}));  // below the limit for retries
    admission.reject(at(5000), {3, 0, false, 1});
    EXPECT_FALSE(admission.admit(at(5001), {3, 0, true, 1})) << "first early retry";
    admission.reject(at(5002), {3, 0, false, 1});
    EXPECT_TRUE(admission.admit(at(5003), {3, 0, true, 1})) << "second early retry";
    EXPECT_FALSE(admission.admit(at(5004), {3, 0, true, 2})) << "another connection";
    EXPECT_FALSE(admission.admit(at(5004), {3, 0, false, 1})) << "first attempts are not affected";
    EXPECT_FALSE(admission.admit(at(30000), {3, 0, true, 1})) << "early retries have expired";
}

TEST(RetryAfterCompliance, HalvesEarlyRetriesOnCompliance) {
    RetryAfterCompliance compliance;
    for (int i = 0; i < 4; ++i) {
        compliance.record_retry_after(at(i), 5, Duration{500});
        EXPECT_EQ(compliance.record_arrival(at(i + 0.5), 5), RetryAfterCompliance::Arrival::Early);
    }
    EXPECT_EQ(compliance.early_retries(at(5), 5), 4);
    EXPECT_EQ(compliance.early_retries(at(5), 6), 0);
    EXPECT_EQ(compliance.record_arrival(at(500), 5), RetryAfterCompliance::Arrival::OnTime);
    EXPECT_EQ(compliance.early_retries(at(501), 5), 2);
    compliance.record_retry_after(at(501), 5, Duration{500});
    EXPECT_EQ(compliance.record_arrival(at(1000), 5), RetryAfterCompliance::Arrival::OnTime);
    EXPECT_EQ(compliance.early_retries(at(1001), 5), 1);
    EXPECT_EQ(compliance.record_arrival(at(1500), 5), RetryAfterCompliance::Arrival::Unknown) << "too late";
}

// A million clients are asked to retry, and some of them ignore it: the memory in use stays as it was before.
TEST(AdmissionController, AllocatesNothingForAMillionClients) {
    AdmissionController admission = shared_admission(300);
    serve(admission, 0, 3000, 300);
    std::size_t bytes = admission.memory_bytes(), before = allocations();
    double now = 3000;
    std::size_t rejected = 0;
    for (std::uint64_t client = 1; client <= 1000000; ++client) {
        now += 0.5;
        admission.connection_opened(at(now));
        AdmissionController::AdmissionRequest request{int(client % 4), int(client % 4) - 1, client % 3 == 0,
                                                      client};
        rejected += admission.admit(at(now), request).has_value();
        if (admission.open_requests() > 200)
            admission.complete(at(now), {request.class_index, int(client % 3)}, client % 2 == 0, Duration{60},
                               Duration{40});
        if (client % 64 == 0) admission.poll_state_change(at(now));
    }
    EXPECT_GT(rejected, 300000u);
    EXPECT_EQ(allocations(), before);
    EXPECT_EQ(admission.memory_bytes(), bytes);
    EXPECT_LT(bytes, 45000u);
}

// For any events: the open requests are those admitted and not completed, no request is rejected while few
// are open, and Retry-After is within its limits.
TEST(AdmissionController, KeepsInvariantsForRandomEvents) {
    EXPECT_TRUE(rc::check([](std::vector<std::uint32_t> events) {
        AdmissionController admission(settings(40));
        std::vector<int> open;  // class indices
        double now = 0;
        for (std::uint32_t event : events) {
            now += event >> 8 & 0xff;
            int class_index = int(event % 4);
            if (event & 0x10 && !open.empty()) {
                admission.complete(at(now), {open.back()}, event & 0x20, Duration{double(event >> 24)});
                open.pop_back();
            } else {
                bool is_retry = event & 0x40;
                auto back = admission.admit(at(now), {class_index, kNone, is_retry});
                if (!back) open.push_back(class_index);
                if (back) RC_ASSERT(open.size() >= 12u);
                if (back) RC_ASSERT(back->count() > 0 && back->count() <= 1200);
            }
            RC_ASSERT(admission.open_requests() == open.size());
            RC_ASSERT(open.size() <= 40u);
        }
        // With free capacity every request is admitted.
        while (!open.empty()) admission.complete(at(now), {open.back()}, false, Duration{1}), open.pop_back();
        for (int class_index = 0; class_index < 4; ++class_index)
            RC_ASSERT(!admission.admit(at(now), {class_index, kNone, true}));
    }));
}

// Every reservation is claimed once or expires, whichever client retries.
TEST(RetryAfterSchedule, CountsReservationsForRandomEvents) {
    EXPECT_TRUE(rc::check([](std::vector<std::uint32_t> events) {
        RetryAfterSchedule retry_after(Duration{5000}, 1);
        std::size_t given = 0, taken = 0;
        double now = 0;
        for (std::uint32_t event : events) {
            now += event >> 8 & 0xff;
            if (event & 1) {
                double back = retry_after.reserve(at(now), double(event >> 16 & 0xff)).count();
                RC_ASSERT(back > 0 && back <= 5000);
                ++given;
            } else {
                taken += retry_after.claim(at(now));
            }
            RC_ASSERT(taken + retry_after.reserved(at(now)) <= given);
        }
        RC_ASSERT(retry_after.reserved(at(now + 1e7)) == 0u);
        RC_ASSERT(!retry_after.claim(at(now + 2e7)));
    }));
}

static_assert(sizeof(AdmissionController) < 45000, "memory is fixed, except for one entry per class");

}  // namespace
}  // namespace ochrehub
