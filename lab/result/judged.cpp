// The one place that needs the referee: who tallies without it does not link it.
#include <cstdio>

#include "lab/result/result.h"

namespace ochrehub::lab {

Result Tally::result(const Referee& referee, const std::string& world) const {
    Result all = result(world);
    all.breach_count = referee.total();
    for (const Breach& breach : referee.breaches()) {
        char id[17];
        std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(breach.id));
        const double at_s = seconds_into_day(breach.at);
        all.breaches.push_back({name_of(breach.rule), number_of(breach.rule), at_s, id, breach.proof});
    }
    return all;
}

}  // namespace ochrehub::lab
