#include "fleet/raft/error.h"

#include <cstddef>

namespace ochrehub::raft {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[] = {
        {"raft.not-leader", "this server is not the leader", true,
         "send the request to the leader that the response names; if it names none, wait for an election or "
         "check the links between the servers"},
        {"raft.busy", "too many requests are pending, or leadership is being transferred", true,
         "retry later; if it lasts, check the disks of the servers and the links between them"},
        {"raft.changing", "a membership change is in progress, or the leader's term has just begun", true,
         "wait until the change is committed, or remove the new member again"},
        {"raft.lost", "leadership was lost before the entry was known to be committed", true,
         "check whether it was committed before a retry"},
        {"raft.unknown-member", "there is no such member to remove, or the one to add is a member already",
         false, "check the list of members"},
        {"raft.last-voter", "it is the only voter", false, "add another voter first"},
    };
    return kRows[std::size_t(error)];
}

}  // namespace ochrehub::raft
