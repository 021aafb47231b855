#include "fleet/coordinator/error.h"

#include <array>

namespace ochrehub::coordinator {
namespace {

constexpr std::array<fleet::ErrorRow, 19> kRows{{
    {"keeper.none", "nothing is wrong", true, "nothing is to be done"},
    {"keeper.not-leader", "another coordinator leads, or none does", true,
     "wait for an election; if it lasts, look at `ochrehub fleet keepers` for a missing majority"},
    {"keeper.busy", "too many requests are pending there", true,
     "look at the coordinators' disks, and at which process sends so many"},
    {"keeper.no-session", "the session has ended", true,
     "nothing: the process opens a new one; if it happens again and again, look at its links to the "
     "coordinators and at its pauses"},
    {"keeper.unknown-kind", "this coordinator has no state machine of that kind", false,
     "bring all coordinators to the release of the process that sent the request"},
    {"keeper.uncertain", "the connection was lost before the response: the command may have been executed",
     false, "look at the state before you repeat it"},
    {"keeper.out-of-order", "an earlier command of the session has not arrived", true,
     "nothing: the session sends both again"},
    {"keeper.forgotten", "its response was acknowledged and is not cached any more", false,
     "look at the state: the client must keep a response that it may need again"},
    {"keeper.too-long", "longer than a coordinator accepts", false, "shorten it, or divide it"},
    {"keeper.malformed", "no message of this version", false,
     "bring both sides to releases that know each other"},
    {"keeper.changing", "another membership change is in progress", true,
     "wait until it is done; `ochrehub fleet keepers` shows the members"},
    {"keeper.unknown-member", "no such coordinator, or it is a member already", false,
     "compare with `ochrehub fleet keepers`"},
    {"keeper.too-many", "the maximum number of sessions is open", true,
     "end processes that are not needed; look for one that opens sessions without end"},
    {"keeper.unreachable", "no coordinator that leads responded in time", true,
     "look whether a majority of the coordinators runs and reaches each other, and whether --cluster and "
     "--key-file are theirs"},
    {"keeper.behind", "other coordinators have written what this release does not know", false,
     "start this coordinator with the newer release; it continues from its folder"},
    {"keeper.untrusted",
     "its folder is empty or incomplete, so acknowledged votes and entries may be missing", false,
     "start it with --new if the cluster is new, with --join if its number is, with --lost if its folder was "
     "lost; see docs/keepers.md"},
    {"keeper.broken", "its disk failed, and acknowledged votes and entries may not be on it", false,
     "replace the disk, then the coordinator under a new number; see docs/keepers.md"},
    {"keeper.last-voter", "it is the only coordinator with a vote", false, "add another first"},
    {"keeper.begun", "its folder is initialized already", false,
     "start it without --new, --join and --lost: that way an empty folder is never taken for a new one"},
}};

}  // namespace

const fleet::ErrorRow& row(Error error) {
    const auto index = std::size_t(error);
    return kRows[index < kRows.size() ? index : std::size_t(Error::Malformed)];
}

}  // namespace ochrehub::coordinator
