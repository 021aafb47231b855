// A mutant that replaces the table's mutex in one build: it locks nothing, and the thread sanitizer must
// detect the data race.
#pragma once

#include <cstdint>

namespace ochrehub::shards {

class OrderedMutex {
public:
    void number(std::uint32_t) {}
    void lock() {}
    void unlock() {}
    static int held() { return 0; }
};

}  // namespace ochrehub::shards
