// What the system says of this process's memory.
#pragma once

#include <cstddef>

namespace ochrehub {

/// Resident memory of the process, with pages that it shares; zero where the kernel does not say.
std::size_t resident_memory_bytes();

/// Has malloc return large blocks to the system as they are freed, and keep little else. To be called before
/// much is allocated.
void bound_kept_memory();

/// Gives back what malloc keeps between blocks that are in use.
void return_unused_memory();

/// False in a build with AddressSanitizer, whose shadow and quarantine are resident too.
bool is_resident_memory_own();

}  // namespace ochrehub
