// What becomes of what crosses a link, by the faults that hold now. Decided from a seed alone, the same in
// both worlds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <set>
#include <vector>

#include "lab/fleet/day.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab::fleet {

class Links {
public:
    explicit Links(const Day& day) : day_(&day), random_(day.seed * 0xD1B54A32D192ED03ull + 7) {}

    void set(int fault, bool on) {
        if (on)
            on_.insert(fault);
        else
            on_.erase(fault);
    }
    /// When each copy of a datagram goes on its way. None: it is lost.
    std::vector<Duration> fate(int from, int to) {
        std::vector<Duration> copies{Duration{0}};
        for (int number : on_) {
            const Fault& fault = day_->faults[std::size_t(number)];
            if (!fault.touches(from, to)) continue;
            if (fault.kind == FaultKind::Late) {
                for (Duration& copy : copies) copy += Duration{draw() * fault.ms};
                continue;
            }
            if (!fault.of_links() || fault.of_connections() || draw() >= fault.part) continue;
            if (fault.kind == FaultKind::Doubled) copies.push_back(copies[0] + Duration{draw() * 5});
            if (fault.kind == FaultKind::Reorder) copies[0] += Duration{draw() * std::max(1.0, fault.ms)};
            if (fault.kind == FaultKind::Cut || fault.kind == FaultKind::Loss) return {};
        }
        return copies;
    }
    struct Connection {
        bool stands = false, reset = false;
        double bytes_s = 0;  ///< 0: as fast as it goes
    };
    Connection connection(int from, int to) const {
        Connection now;
        for (int number : on_) {
            const Fault& fault = day_->faults[std::size_t(number)];
            if (!fault.touches(from, to)) continue;
            now.stands = now.stands || fault.kind == FaultKind::Stall || fault.kind == FaultKind::Cut;
            now.reset = now.reset || fault.kind == FaultKind::Reset;
            if (fault.kind == FaultKind::Crawl) now.bytes_s = fault.bytes_s;
        }
        return now;
    }

private:
    double draw() { return double(random_() >> 11) * 0x1p-53; }

    const Day* day_;
    std::mt19937_64 random_;
    std::set<int> on_;
};

}  // namespace ochrehub::lab::fleet
