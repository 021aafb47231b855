#include "fleet/leadership/error.h"

namespace ochrehub::leadership {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"duty.malformed", "the command cannot be decoded", false,
         "compare the releases of this process and the coordinators"},
        {"duty.name", "not a valid role name: expected 1 to 64 of a-z, 0-9, - and ., and / only in a job's",
         false, "correct the name"},
        {"duty.weight", "not a valid weight: expected 1 to 100", false, "correct the weight"},
        {"duty.full", "the coordinators already hold the maximum number of roles", true,
         "find jobs that make no progress, and complete or remove them"},
        {"duty.crowded", "the maximum number of candidates is reached", true,
         "let fewer processes be candidates"},
        {"duty.no-session", "the sender has no session with the coordinators", true,
         "nothing: the process retries once it has one"},
        {"duty.unknown", "the role has no candidates", false, "list the roles that exist"},
        {"duty.over", "the job was removed, or never existed", false, "nothing: it must not run again"},
        {"duty.not-owner", "another process holds the lease", false, "nothing: the old holder stops"},
        {"duty.not-ended", "the job is not completed", false,
         "nothing: it stays until its holder has completed it"},
    };
    return kRows[std::size_t(error)];
}

}  // namespace ochrehub::leadership
