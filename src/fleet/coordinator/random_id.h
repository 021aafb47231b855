// Random ids of processes, connections and cores' seeds, from the operating system.
#pragma once

#include <cstdint>

namespace ochrehub::coordinator {

/// Never zero.
std::uint64_t random_id();

}  // namespace ochrehub::coordinator
