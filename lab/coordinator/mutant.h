// Known-faulty implementations of the coordinator, each of which breaks one guarantee. The simulation injects
// them from outside; the cores don't know of them. A test shows that the invariant checker finds each.
#pragma once

namespace ochrehub::lab {

enum class CoordinatorMutant {
    None,
    LeaseFromResponse,    ///< a client counts its lease from the response
    PauseUnnoticed,       ///< a client trusts its session until it is notified of its loss
    NoMargin,             ///< a client uses its whole lease, and clocks differ by more than the margin allows
    OldDeadlines,         ///< a new leader continues the deadlines from before its election
    FastLeader,           ///< the coordinators' clocks run at twice their rate
    AppliedTwice,         ///< a command that is sent again is applied again
    ReadUnconfirmed,      ///< reads and renewals are answered without a read index
    SnapshotNoSessions,   ///< snapshots don't have the sessions
    SnapshotNoSequences,  ///< snapshots don't have the sequence numbers of commands
    SnapshotNoMachines,   ///< snapshots don't have the state of the state machines
    WriteReportedEarly,   ///< the disk reports a write before it is durable
    Count
};

/// Its name on the command line.
const char* name(CoordinatorMutant mutant);

}  // namespace ochrehub::lab
