#include "takeover/request_id_table.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <new>

#include "ochrehub/hash.h"

namespace ochrehub::takeover {
namespace {

// A slot is a tag of the id above the time at which it is free, in ticks of Unix time. An empty one is long
// free.
constexpr int kTimeBits = 24;
constexpr std::uint64_t kTimeMask = (std::uint64_t{1} << kTimeBits) - 1;
constexpr Duration kTick{1000};

std::uint64_t ticks(TimePoint at) {
    return std::uint64_t(at.time_since_epoch() / kTick) & kTimeMask;
}

/// The time left in a slot, in ticks; zero: it is free. Times wrap: what is over half of the range away is
/// over.
std::uint64_t ticks_left(std::uint64_t slot, TimePoint now) {
    std::uint64_t left = (slot - ticks(now)) & kTimeMask;
    return slot == 0 || left > kTimeMask / 2 ? 0 : left;
}

std::uint64_t tag_of(std::uint64_t hash) {
    return hash & ~kTimeMask;
}

void* map_shared(const std::string& path, std::size_t bytes) {
    int file = path.empty() ? -1 : open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) return MAP_FAILED;
    void* mapped = MAP_FAILED;
    if (ftruncate(file, off_t(bytes)) == 0)
        mapped = mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    return mapped;
}

}  // namespace

RequestIdTable::RequestIdTable(const std::string& path) {
    void* mapped = map_shared(path, kBytes);
    if (mapped == MAP_FAILED)
        mapped = mmap(nullptr, kBytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
    if (mapped == MAP_FAILED) throw std::bad_alloc();
    slots_ = static_cast<Slot*>(mapped);
}

RequestIdTable::~RequestIdTable() {
    munmap(slots_, kBytes);
}

bool RequestIdTable::claim(std::string_view id, TimePoint now, Duration duration) {
    const std::uint64_t hash = mixed(hashed(id));
    const std::uint64_t taken = tag_of(hash) | ticks(now + duration);
    while (true) {
        Slot* best = nullptr;
        std::uint64_t best_value = 0;
        for (std::size_t probe = 0; probe < kProbes; ++probe) {
            Slot& slot = slots_[(hash + probe) % kSlots];
            std::uint64_t value = slot.load();
            std::uint64_t left = ticks_left(value, now);
            if (left > 0 && tag_of(value) == tag_of(hash)) return false;
            if (best && left >= ticks_left(best_value, now)) continue;
            best = &slot;
            best_value = value;
        }
        // Another process may have taken the place meanwhile, and for this id.
        if (best->compare_exchange_strong(best_value, taken)) return true;
    }
}

void RequestIdTable::release(std::string_view id, TimePoint now) {
    const std::uint64_t hash = mixed(hashed(id));
    for (std::size_t probe = 0; probe < kProbes; ++probe) {
        Slot& slot = slots_[(hash + probe) % kSlots];
        std::uint64_t value = slot.load();
        if (ticks_left(value, now) == 0 || tag_of(value) != tag_of(hash)) continue;
        slot.compare_exchange_strong(value, 0);
        return;
    }
}

}  // namespace ochrehub::takeover
