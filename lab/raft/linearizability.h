// Decides whether a history of operations on registers is linearizable: the search of Wing and Gong ("Testing
// and verifying concurrent objects", 1993) with Lowe's cache of visited states ("Testing for
// linearizability", 2017). Each key is decided alone, which is equivalent (locality, Herlihy and Wing 1990).
// Not responsible for recording the history. Pure functions, safe on any thread.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace ochrehub::lab {

/// One operation of a client. One without a response may take effect at any time after its invocation, or
/// never.
struct RegisterOperation {
    enum class Kind : std::uint8_t { Read, Write, CompareAndSet, Append };
    static constexpr double kNoResponse = std::numeric_limits<double>::infinity();

    Kind kind = Kind::Read;
    std::string key;
    std::string value;     ///< of Write, CompareAndSet and Append
    std::string expected;  ///< of CompareAndSet
    double invoked_at = 0;
    double responded_at = kNoResponse;  ///< on the clock of invoked_at
    std::string response;  ///< Read, Append: the register's value; CompareAndSet: "1" or "0"; Write: empty
};

/// Applies an operation to a register and returns its response.
std::string apply_operation(const RegisterOperation& operation, std::string& register_value);

enum class Linearizability { Linearizable, NotLinearizable, Undecided };

/// `operations`: all of one key. Undecided after `max_steps` of the search.
Linearizability check_register(const std::vector<RegisterOperation>& operations,
                               std::uint64_t max_steps = 10'000'000);

struct HistoryResult {
    Linearizability verdict = Linearizability::Linearizable;
    std::string key;  ///< the first that is not linearizable; else the last undecided one; else empty
    std::uint64_t operations = 0;
    std::uint64_t keys = 0;
};

/// `operations`: of any keys, in any order.
HistoryResult check_history(const std::vector<RegisterOperation>& operations);

}  // namespace ochrehub::lab
