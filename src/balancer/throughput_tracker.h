// Rates of this node, decayed over kRateSpan: first attempts arriving, and work that endpoints completed. The
// unit of work is the response time without queueing, in seconds per unit of endpoint weight.
#pragma once

#include <algorithm>

#include "balancer/decaying_value.h"

namespace ochrehub::balancer {

class ThroughputTracker {
public:
    void record_arrival(bool is_client_retry, TimePoint now) {
        arrivals_ = {arrivals_.value_at(now, kRateSpan) + (is_client_retry ? 0 : kPerEvent), now};
    }
    /// A response whose work is `baseline_ms`, while the endpoints in use weigh `total_weight` together.
    void record_response(double baseline_ms, double total_weight, TimePoint now) {
        double work = total_weight > 0 ? kPerEvent * baseline_ms / total_weight : 0;
        served_ = {served_.value_at(now, kRateSpan) + work, now};
        peak_served_ = {std::max(served_.value, peak_served_.value_at(now, kPeakDecay)), now};
    }

    /// First attempts per second, as of the last arrival.
    double arrivals_per_s() const { return arrivals_.value; }
    /// Work completed of late, in ms per second and unit of weight.
    double served(TimePoint now) const { return served_.value_at(now, kRateSpan); }
    /// The most of `served` that is still believed: what is served now may fall by a fault alone.
    double peak_served(TimePoint now) const { return peak_served_.value_at(now, kPeakDecay); }

private:
    /// Time constant of the rates, in ms, and what one event adds to a rate per second.
    static constexpr Duration kRateSpan{5000};
    static constexpr double kPerEvent = 0.2;
    /// Time constant of the peak, in ms.
    static constexpr Duration kPeakDecay{60000};

    DecayingValue arrivals_;
    DecayingValue served_;
    DecayingValue peak_served_;
};

}  // namespace ochrehub::balancer
