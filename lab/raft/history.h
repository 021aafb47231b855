// Is a history of calls on a register linearizable? The search of Wing and Gong ("Testing and verifying
// concurrent objects", 1993): take any call that was open before the first answer among those that are left,
// apply it, go on; back where its answer differs. With Lowe's memory of what was tried ("Testing for
// linearizability", 2017): the same calls taken and the same state are not searched twice. A key at a time,
// which is the same thing (locality, Herlihy and Wing 1990).
//
// A call without an answer may have happened at any time after it began, or never.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace ochrehub::lab {

struct Call {
    enum class Kind : std::uint8_t { Read, Write, Cas, Append };
    static constexpr double kOpen = std::numeric_limits<double>::infinity();

    Kind kind = Kind::Read;
    std::string key, value, expected;  ///< expected: of Cas
    double began = 0, ended = kOpen;
    std::string answer;  ///< Read, Append: what stands; Cas: "1" or "0"; Write: nothing
};

enum class Judged { Linearizable, NotLinearizable, Undecided };

/// All calls of one key. `steps`: after so many it is Undecided.
Judged judge_register(const std::vector<Call>& calls, std::uint64_t steps = 10'000'000);

struct HistoryResult {
    Judged judged = Judged::Linearizable;
    std::string key;  ///< the first that is not
    std::uint64_t calls = 0, keys = 0;
};
HistoryResult judge_history(const std::vector<Call>& calls);

/// What a call does to what stands, and its answer.
std::string apply_call(Call::Kind kind, const std::string& value, const std::string& expected,
                       std::string& stands);

}  // namespace ochrehub::lab
