#include "fleet/leadership/error.h"

namespace ochrehub::leadership {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"duty.malformed", "the command cannot be read", false,
         "compare the releases of this process and the keepers"},
        {"duty.name", "is no name of a duty: 1 to 64 of a-z, 0-9, - and ., and / in a job's alone", false,
         "correct the name"},
        {"duty.weight", "is no weight: 1 to 100", false, "correct the weight"},
        {"duty.full", "the keepers have as many duties as they take", true,
         "see which jobs stand still, and end or take them off"},
        {"duty.crowded", "as many processes want it as may", true, "let fewer processes stand for it"},
        {"duty.no-session", "whoever asks has no session with the keepers", true,
         "nothing: a process asks again once it has one"},
        {"duty.unknown", "nobody wants this duty", false, "see which duties there are"},
        {"duty.over", "the job is over, or never was", false, "nothing: it must not be done again"},
        {"duty.not-owner", "it is another's by now", false, "nothing: the old owner stops"},
        {"duty.not-ended", "the job has not ended", false, "nothing: it stays until its owner has done it"},
    };
    return kRows[std::size_t(error)];
}

}  // namespace ochrehub::leadership
