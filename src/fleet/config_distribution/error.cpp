#include "fleet/config_distribution/error.h"

#include <iterator>

namespace ochrehub::config_distribution {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[] = {
        {"agreement.unknown-kind", "is of a kind that this release does not know", false,
         "correct the kind, or upgrade first"},
        {"agreement.too-long", "is longer than a document may be", false,
         "divide it into several documents, or shorten it"},
        {"agreement.malformed", "cannot be read", false, "correct the named line"},
        {"agreement.duplicate", "is there more than once", false, "keep one of them"},
        {"agreement.wrong-value", "has an invalid value", false, "correct the value"},
        {"agreement.over-budget", "exceeds the budget", false, "lower the limits or raise the budget"},
        {"agreement.mode", "may not be changed in this mode", false,
         "propose it in a mode that its kind allows"},
        {"agreement.mode-changed", "was agreed on in the other mode", false,
         "keep its mode, or use another name"},
        {"agreement.kind-changed", "is a document of another kind", false, "use another name"},
        {"agreement.floor", "lowers a floor that disconnected nodes rely on", false,
         "leave limits at or above the floors that were ever in force; another name has none"},
        {"agreement.same", "has the content that is in force", false, "nothing to do"},
        {"agreement.base-moved", "is based on a version that is no longer in force", false,
         "check which version is in force, and propose again"},
        {"agreement.busy", "waits behind a proposal that is under way", true, "wait for it, or withdraw it"},
        {"agreement.unknown", "is not there", false, "see `ochrehub fleet rules show` for what is"},
        {"agreement.no-version", "is not among the versions that are kept", false,
         "propose its content from a file"},
        {"agreement.full", "exceeds the capacity for documents", false, "shorten documents, or use fewer"},
        {"agreement.canary", "cannot be a canary", false,
         "a canary needs a version in force, a scope, a bounded length and, where strict, nothing that "
         "contradicts it"},
        {"agreement.node-refused", "was refused by a node", false,
         "see its reason, correct the content, and propose again"},
        {"agreement.time-over", "was not accepted by all nodes in time", true,
         "see which nodes block it, and propose again"},
        {"agreement.withdrawn", "was withdrawn by an operator", false, "nothing to do"},
        {"agreement.stated-time", "is shorter than these settings can hold", false,
         "shorten the lease, or state a longer time"},
        {"agreement.margin", "does not cover the clocks' drift over a lease", false,
         "shorten the lease or raise the margin"},
        {"agreement.file-damaged", "is cut, changed or of another version, and is not used", true,
         "nothing: it is rewritten with the next version; check the disk if it happens again"},
        {"agreement.file-failed", "could not be written or read", true,
         "free disk space, or correct the permissions of the folder"},
    };
    static_assert(std::size(kRows) == kErrorCount);
    return kRows[std::size_t(error)];
}

}  // namespace ochrehub::config_distribution
