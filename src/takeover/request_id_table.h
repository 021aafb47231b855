// The ids of requests that must not be executed twice, of all processes of one node: from the moment in which
// one lets a request in until long after its end. A file that the processes map holds them, a word each, so
// that of two processes that meet the same id in one moment only one gets it. Never waits; holds no pointer
// and no text.
#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "ochrehub/balancer.h"

namespace ochrehub::takeover {

class RequestIdTable {
public:
    /// At `path`; of this process alone where that is empty or cannot be mapped.
    explicit RequestIdTable(const std::string& path);
    ~RequestIdTable();
    RequestIdTable(const RequestIdTable&) = delete;
    RequestIdTable& operator=(const RequestIdTable&) = delete;

    /// Takes the id for `duration` from `now` on. False: it is taken, here or by another process. Where all
    /// places of an id are taken, it gets the one that would be free first.
    bool claim(std::string_view id, TimePoint now, Duration duration);
    /// Its request was not executed and never will be.
    void release(std::string_view id, TimePoint now);

private:
    using Slot = std::atomic<std::uint64_t>;
    static_assert(Slot::is_always_lock_free, "the slots are shared between processes");

    static constexpr std::size_t kSlots = std::size_t{1} << 14;
    static constexpr std::size_t kProbes = 16;
    static constexpr std::size_t kBytes = kSlots * sizeof(Slot);

    Slot* slots_ = nullptr;
};

}  // namespace ochrehub::takeover
