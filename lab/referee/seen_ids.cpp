#include "lab/referee/seen_ids.h"

#include <algorithm>

#include "ochrehub/hash.h"

namespace ochrehub::lab::referee {
namespace {

constexpr std::size_t kLeastLines = 1 << 10, kMostLines = 1 << 16;
constexpr std::size_t kIdsPerLine = 32;  // 16 bits each
constexpr int kBits = 6;

std::uint64_t mixed_up(std::uint64_t x) {
    return mixed(x + kGolden);
}

}  // namespace

void SeenIds::add(TryId id) {
    if (parts_.empty() || parts_.back().room == 0) {
        std::size_t lines =
            parts_.empty() ? kLeastLines : std::min(kMostLines, parts_.back().lines.size() * 4);
        parts_.push_back({std::vector<Line>(lines), lines * kIdsPerLine});
    }
    Part& part = parts_.back();
    --part.room;
    Line& line = part.lines[mixed_up(id) % part.lines.size()];
    std::uint64_t bits = mixed_up(~id);
    for (int i = 0; i < kBits; ++i, bits >>= 9) line[bits & 7] |= std::uint64_t(1) << (bits >> 3 & 63);
}

bool SeenIds::contains(TryId id) const {
    const std::uint64_t place = mixed_up(id), which = mixed_up(~id);
    return std::any_of(parts_.begin(), parts_.end(), [&](const Part& part) {
        const Line& line = part.lines[place % part.lines.size()];
        std::uint64_t bits = which;
        for (int i = 0; i < kBits; ++i, bits >>= 9)
            if (!(line[bits & 7] >> (bits >> 3 & 63) & 1)) return false;
        return true;
    });
}

std::size_t SeenIds::bytes() const {
    std::size_t all = 0;
    for (const Part& part : parts_) all += part.lines.size() * sizeof(Line);
    return all;
}

}  // namespace ochrehub::lab::referee
