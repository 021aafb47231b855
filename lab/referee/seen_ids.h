// Which ids clients have sent, once the tries themselves are forgotten: a Bloom filter that grows, two bytes
// an id. It may take one invented id in several hundred for known; it never takes a known one for invented.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "lab/record/record.h"

namespace ochrehub::lab::referee {

class SeenIds {
public:
    void add(TryId id);
    bool contains(TryId id) const;
    std::size_t bytes() const;

private:
    using Line = std::array<std::uint64_t, 8>;  // of the cache: an id touches one
    struct Part {
        std::vector<Line> lines;
        std::size_t room = 0;  ///< ids that still fit
    };
    std::vector<Part> parts_;
};

}  // namespace ochrehub::lab::referee
