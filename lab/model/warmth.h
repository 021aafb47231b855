// A server that has just started: how its capacity climbs, and how much work it stands meanwhile. Times in
// ms.
#pragma once

#include <algorithm>
#include <boost/circular_buffer.hpp>
#include <cmath>

#include "lab/model/slots.h"

namespace ochrehub::lab {

/// Capacity as a part of the whole: a straight line from `from` at the start to 1 after `length`.
class Climb {
public:
    void start(double at, double from, double length) {
        begins_ = at;
        from_ = std::clamp(from, 0.0, 1.0);
        length_ = length;
        cold_ = length > 0 && from_ < 1;
        slope_ = cold_ ? (1 - from_) / length : 0;
    }
    void end() { cold_ = false; }

    bool cold() const { return cold_; }
    double begins() const { return begins_; }
    double ends() const { return begins_ + length_; }
    double at(double time) const {
        return cold_ ? std::min(1.0, from_ + slope_ * std::max(0.0, time - begins_)) : 1;
    }
    /// Capacity times time between two times from the start on; the second may lie beyond the climb.
    double between(double a, double b) const { return cold_ ? area(b) - area(a) : b - a; }
    /// How long from `a` until that much capacity times time has passed. Beyond the climb's end it says too
    /// soon.
    double time_for(double a, double amount) const {
        if (!cold_ || amount <= 0) return std::max(0.0, amount);
        const double now = at(a);
        return 2 * amount / (now + std::sqrt(now * now + 2 * slope_ * amount));
    }

private:
    double area(double time) const {
        const double x = std::max(0.0, time - begins_), climbing = std::min(x, length_);
        return climbing * (from_ + 0.5 * slope_ * climbing) + (x - climbing);
    }

    double begins_ = 0, from_ = 1, length_ = 0, slope_ = 0;
    bool cold_ = false;
};

/// What a cold server may be sent: in any span of one length, a multiple of what it can do in that span.
/// Spans begin at its start at the earliest, so a burst right after it can spend the first span's budget
/// before that has passed.
class ColdBudget {
public:
    /// For chance: so much of the budget may come on top.
    static constexpr double kSlack = 0.05;

    ColdBudget(double multiple, double span) : multiple_(multiple), span_(span) {}

    void clear() {
        sent_.clear();
        sum_ = 0;
    }
    /// Work that arrives, in ms of one core of the server's own. False: that was too much.
    bool take(const Climb& climb, double cores, double at, double work) {
        if (multiple_ <= 0 || span_ <= 0) return true;
        // Capacity only rises, so of all spans that end with this piece the earliest has the least.
        const double begins = std::max(climb.begins(), at - span_);
        while (!sent_.empty() && sent_.front().at <= at - span_) {
            sum_ -= sent_.front().work;
            sent_.pop_front();
        }
        if (sent_.empty()) sum_ = 0;  // what rounding has left
        push_growing(sent_, Sent{at, work});
        sum_ += work;
        return sum_ <= (1 + kSlack) * multiple_ * cores * climb.between(begins, begins + span_);
    }

private:
    struct Sent {
        double at = 0, work = 0;
    };

    double multiple_, span_;
    boost::circular_buffer<Sent> sent_;
    double sum_ = 0;
};

}  // namespace ochrehub::lab
