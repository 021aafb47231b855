#include "base/process_memory.h"

#include <malloc.h>
#include <unistd.h>

#include <fstream>

namespace ochrehub {

namespace {

/// Blocks of this size are mapped each by itself: between small ones they would stay resident once freed.
constexpr int kMappedBytes = 32 * 1024;
constexpr int kKeptBytes = 1024 * 1024;
/// One for the event loop, one for all other threads.
constexpr int kArenas = 2;

}  // namespace

std::size_t resident_memory_bytes() {
    std::size_t all_pages = 0, resident_pages = 0;
    std::ifstream("/proc/self/statm") >> all_pages >> resident_pages;
    return resident_pages * std::size_t(sysconf(_SC_PAGESIZE));
}

void bound_kept_memory() {
    mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    mallopt(M_TRIM_THRESHOLD, kKeptBytes);
    mallopt(M_ARENA_MAX, kArenas);
}

void return_unused_memory() {
    malloc_trim(0);
}

bool is_resident_memory_own() {
#if defined(__SANITIZE_ADDRESS__)
    return false;
#elif defined(__has_feature)
    return !__has_feature(address_sanitizer);
#else
    return true;
#endif
}

}  // namespace ochrehub
