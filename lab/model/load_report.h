// What a server says of its load: refreshed now and then, seen late, a little noisy. Times in ms.
#pragma once

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <cstdint>
#include <optional>

#include "lab/model/mixer.h"
#include "lab/model/server.h"

namespace ochrehub::lab {

/// Takes its snapshots when it is next asked rather than by wakes: between two events nothing changes that a
/// snapshot would show.
class LoadReports {
public:
    LoadReports(double period, double delay, double noise, std::uint64_t seed)
        : period_(period), delay_(std::max(0.0, delay)), noise_(noise), seed_(seed) {
        if (period_ > 0)
            shots_.set_capacity(static_cast<std::size_t>(std::min(4096.0, delay_ / period_)) + 2);
    }

    /// A new process: no report is there before its first refresh.
    void restart(double at) {
        shots_.clear();
        seen_.reset();
        served_ = 0;
        service_ = latency_ = 0;
        // Servers do not refresh in step.
        next_ = at + period_ * part_of(drawn(seed_, kPhase, ++starts_));
    }
    void count(double service_ms) {
        ++served_;
        service_ += service_ms;
    }
    /// Time passes to `at`; until then `waiting` requests waited.
    void pass(double at, std::size_t waiting) {
        if (period_ <= 0 || at < next_) return;
        take(waiting);
        // Of a long quiet time only what can still be seen late is worth a snapshot.
        const double behind = at - next_ - delay_ - 2 * period_;
        if (behind > period_)
            next_ += period_ * static_cast<double>(static_cast<std::uint64_t>(behind / period_));
        while (next_ <= at) take(waiting);
    }
    const std::optional<ServerReport>& seen(double at) {
        while (!shots_.empty() && shots_.front().taken + delay_ <= at) {
            seen_ = shots_.front().report;
            shots_.pop_front();
        }
        return seen_;
    }

private:
    struct Shot {
        double taken = 0;
        ServerReport report;
    };

    enum Salt : std::uint64_t { kPhase = 101, kFirst, kSecond };

    /// The sum of two draws, of deviation `noise_`.
    double noisy(double value) {
        constexpr double kRootOfSix = 2.449489742783178;
        ++draws_;
        const double sum = part_of(drawn(seed_, kFirst, draws_)) + part_of(drawn(seed_, kSecond, draws_));
        return std::max(0.0, value * (1 + noise_ * kRootOfSix * (sum - 1)));
    }
    void take(std::size_t waiting) {
        if (served_ > 0) latency_ = service_ / static_cast<double>(served_);
        const double qps = static_cast<double>(served_) * 1000 / period_;
        push(Shot{next_, {noisy(static_cast<double>(waiting)), noisy(latency_), noisy(qps)}});
        served_ = 0;
        service_ = 0;
        next_ += period_;
    }
    void push(const Shot& shot) {
        seen(shot.taken);
        shots_.push_back(shot);
    }

    double period_, delay_, noise_;
    std::uint64_t seed_, starts_ = 0, draws_ = 0;
    double next_ = 0, service_ = 0, latency_ = 0;
    std::uint64_t served_ = 0;
    boost::circular_buffer<Shot> shots_;  // taken and not yet to be seen
    std::optional<ServerReport> seen_;
};

}  // namespace ochrehub::lab
