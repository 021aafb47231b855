// Outlier detector: by hand-built events in virtual time.
#include <gtest/gtest.h>

#include "balancer/balancer_fixture.h"

namespace ochrehub::testing {
namespace {

// Requests that fail at any endpoint must not eject the fleet.
TEST(OutlierDetector, EjectsForErrorsOfOneEndpointNotForErrorsOfTheRequests) {
    for (int kind = 0; kind < 4; ++kind) {
        bool everywhere = kind < 2;
        Outcome outcome = kind % 2 ? Outcome::Reset : Outcome::Error;
        Settings set = make_settings();
        Gateway g(set);
        g.list(0, {entry(1), entry(2), entry(3)});
        g.run_probed(3000, [](EndpointId) { return Outcome::Ok; });
        std::size_t ejected = 0;
        for (RequestId i = 0; i < 300; ++i) {
            double t = 3000 + 5 * double(i);
            bool some =
                kind == 1 ? i / 3 % 6 < 3 : (i * 7919 + i / 3) % 5 < 2;  // resets: three straight, too
            auto sent = all_of<Forward>(g.arrive(t, i, 1));
            for (const Forward& f : sent) {
                bool bad = everywhere ? some : f.endpoint == 1;
                auto after = bad ? g.end(t + 2, f.request, 0, f.endpoint, outcome, 2)
                                 : g.ok(t + 2, f.request, f.endpoint, 2);
                ejected += all_of<Log>(after).size();
            }
        }
        if (everywhere)
            EXPECT_EQ(ejected, 0u);
        else
            EXPECT_GE(ejected, 1u);
    }
}

}  // namespace
}  // namespace ochrehub::testing
