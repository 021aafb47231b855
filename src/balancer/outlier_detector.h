// Passive detection from attempts: whether an error counts against the health of its endpoint, because that
// errs more than the fleet; how long it is left alone after it refused a connection or a request; whether
// idle connections are being dropped unseen. It ejects nothing: HealthTracker::record_failure does, after
// kFailuresToEject failures in a row. Errors that any endpoint returns follow the requests and blame none.
#pragma once

#include "balancer/random_source.h"
#include "ochrehub/balancer.h"

namespace ochrehub::balancer {

/// An endpoint's part of the state.
struct EndpointOutlier {
    double error_rate = 0;                       ///< smoothed fraction of its outcomes
    int consecutive_refusals = 0;                ///< connections refused in a row
    TimePoint backoff_until = TimePoint::min();  ///< gets nothing new before
};

class OutlierDetector {
public:
    explicit OutlierDetector(RandomSource& random) : random_(random) {}

    /// True: it errs more than the fleet, so the error counts as a failure of its health.
    bool record_error(EndpointOutlier& endpoint);
    void record_success(EndpointOutlier& endpoint);
    void back_off_after_refused_connection(EndpointOutlier& endpoint, TimePoint now);
    void back_off_after_rejection(EndpointOutlier& endpoint, TimePoint now);

    /// An attempt ended; `idle_connection`: it was sent on one that had been idle.
    void record_connection_use(bool idle_connection, bool lost);
    /// Attempts on idle connections are lost far more often than others: such connections are to be closed.
    bool idle_connections_suspect() const;
    /// A few idle connections are still used, so that it is seen when the losses end. Draws one number.
    bool samples_idle_connection() { return random_.uniform() < kIdleSampleFraction; }

private:
    /// Weight of one outcome in the rates of lost attempts, and the fraction of suspects still used.
    static constexpr double kIdleSampleFraction = 0.1;

    RandomSource& random_;
    double fleet_error_rate_ = 0;
    double idle_loss_rate_ = 0;  ///< lost attempts, on connections that had been idle
    double used_loss_rate_ = 0;  ///< ... on others
};

}  // namespace ochrehub::balancer
