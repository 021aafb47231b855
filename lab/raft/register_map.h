// The replicated state machine of the Raft simulation: registers by key. Responsible for applying commands
// and for snapshots. A plain value without clock; not thread-safe.
#pragma once

#include <map>
#include <string>

#include "lab/raft/linearizability.h"

namespace ochrehub::lab {

class RegisterMap {
public:
    /// The data of a proposal. Not of reads, which need no entry.
    static std::string command(const RegisterOperation& operation);

    /// `command`: from command(). Returns the operation's response.
    std::string apply(const std::string& command);
    std::string read(const std::string& key) const;
    std::string snapshot() const;
    void restore(const std::string& snapshot);

private:
    std::map<std::string, std::string> values_;
};

}  // namespace ochrehub::lab
