// Processor sharing: every job in work gets the same part of the cores, and one core at most. Kept in
// attained service: a clock that runs as fast as each job is served, and a heap of its readings at which jobs
// are done, so that an arrival or an end costs no look at the others.
#pragma once

#include <algorithm>
#include <limits>

#include "lab/model/tag_heap.h"
#include "lab/model/warmth.h"

namespace ochrehub::lab {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

/// Requests, which a hang stops, and small jobs (handshakes, probes), which it does not, share the same
/// cores. Between two calls of settle() all stays as it is; whoever changes anything calls advance() before.
class Cpu {
public:
    explicit Cpu(double cores) : cores_(cores) {}

    struct Group {
        TagHeap jobs;
        double attained = 0;  ///< by a job that was there from the beginning

        void push(TagHeap::Job job, double work) {
            if (jobs.empty()) attained = 0;  // keeps its digits
            jobs.push(job, attained + std::max(0.0, work));
        }
        /// The job that is due. Its tag is reached by definition: rounding must not bring it back as not yet
        /// done.
        TagHeap::Job pop() {
            attained = std::max(attained, jobs.top_tag());
            return jobs.pop();
        }
    };
    Group requests, small;
    Climb climb;

    double now() const { return now_; }
    void advance(double to) {
        if (to <= now_) return;
        if (rate_ > 0) {
            const double served = rate_ * climb.between(now_, to);
            small.attained += served;
            if (!requests_stand_) requests.attained += served;
        }
        now_ = to;
    }
    /// `speed`: of one core, without the climb.
    void settle(double speed, bool requests_stand) {
        requests_stand_ = requests_stand;
        const double jobs =
            static_cast<double>(small.jobs.size() + (requests_stand ? 0 : requests.jobs.size()));
        rate_ = jobs > cores_ ? speed * cores_ / jobs : speed;
    }
    /// When the next of them is done if nothing changes before.
    double requests_due() const { return requests_stand_ ? kNever : due(requests); }
    double small_due() const { return due(small); }

    void clear(double now) {
        now_ = now;
        requests.jobs.clear();
        small.jobs.clear();
    }

private:
    double due(const Group& group) const {
        if (group.jobs.empty() || rate_ <= 0) return kNever;
        return now_ + climb.time_for(now_, (group.jobs.top_tag() - group.attained) / rate_);
    }

    double cores_, rate_ = 0, now_ = 0;
    bool requests_stand_ = false;
};

}  // namespace ochrehub::lab
