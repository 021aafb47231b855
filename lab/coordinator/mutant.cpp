#include "lab/coordinator/mutant.h"

#include <array>
#include <cstddef>

namespace ochrehub::lab {

const char* name(CoordinatorMutant mutant) {
    static constexpr std::array<const char*, std::size_t(CoordinatorMutant::Count)> kNames{
        "none",
        "lease-from-answer",
        "pause-unseen",
        "no-margin",
        "old-deadlines",
        "fast-leader",
        "twice-applied",
        "read-unconfirmed",
        "forgets-sessions",
        "forgets-numbers",
        "forgets-machines",
        "written-too-soon",
    };
    return kNames[std::size_t(mutant)];
}

}  // namespace ochrehub::lab
