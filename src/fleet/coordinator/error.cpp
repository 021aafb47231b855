#include "fleet/coordinator/error.h"

#include <array>

namespace ochrehub::coordinator {

const fleet::ErrorRow& row(Error error) {
    static const std::array<fleet::ErrorRow, 19> rows{{
        {"keeper.none", "nothing is wrong", true, "nothing is to be done"},
        {"keeper.not-leader", "another keeper leads, or none does", true,
         "wait for an election; where it lasts, look at `ochrehub fleet keepers` for a missing majority"},
        {"keeper.busy", "too many commands wait there", true,
         "look at the keepers' disks and at who sends so much"},
        {"keeper.no-session", "the session is over", true,
         "nothing: the process opens a new one; where it happens again and again, look at its links to the "
         "keepers and its pauses"},
        {"keeper.unknown-kind", "this keeper knows no such machine", false,
         "bring all keepers to the release of whoever asks"},
        {"keeper.uncertain", "the connection was lost before the answer: it may have been carried out", false,
         "look at the state before it is asked again"},
        {"keeper.out-of-order", "a command before it has not arrived", true,
         "nothing: the session sends both again"},
        {"keeper.forgotten", "its answer was settled and is not kept", false,
         "look at the state: whoever asks again should have kept the answer"},
        {"keeper.too-long", "longer than a keeper takes", false, "shorten it, or divide it"},
        {"keeper.malformed", "no message of this version", false,
         "bring both sides to releases that know each other"},
        {"keeper.changing", "another change of members is under way", true,
         "wait until it is done; `ochrehub fleet keepers` shows the members"},
        {"keeper.unknown-member", "no such keeper, or it is one already", false,
         "compare with `ochrehub fleet keepers`"},
        {"keeper.too-many", "as many sessions are open as keepers hold", true,
         "end processes that are not needed; look for one that opens sessions without end"},
        {"keeper.unreachable", "no keeper that leads answered in time", true,
         "look whether a majority of the keepers runs and reaches each other, and whether --cluster and "
         "--key-file are theirs"},
        {"keeper.behind", "others have written what this release does not know", false,
         "start this keeper with the newer release; it goes on from its folder"},
        {"keeper.untrusted", "its folder is empty, so it may have promised what it does not know", false,
         "start it with --new if the cluster is new, with --join if its number is, with --lost if its folder "
         "was lost; see docs/keepers.md"},
        {"keeper.broken", "its disk failed, and what was promised may not be on it", false,
         "replace the disk, then the keeper under a new number; see docs/keepers.md"},
        {"keeper.last-voter", "it is the only keeper with a vote", false, "add another first"},
        {"keeper.begun", "it has begun before, so there is nothing to begin", false,
         "start it without --new, --join and --lost: that way an empty folder is never taken for a new one"},
    }};
    auto at = std::size_t(error);
    return rows[at < rows.size() ? at : std::size_t(Error::Malformed)];
}

}  // namespace ochrehub::coordinator
