// Random numbers of a scenario. Each draw has a sub-stream of its own, made from (seed, section, key, entry):
// a setting added, taken out or changed shifts no other draw, so that two variants of a scenario can be
// compared seed by seed. Entries of lists go by their names, faults by their kind and their place among those
// of that kind.
#pragma once

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>

#include "ochrehub/hash.h"

namespace ochrehub::lab::scenario {

/// SplitMix64: an engine that costs nothing to start, since most streams give one number.
class Stream {
public:
    using result_type = std::uint64_t;
    explicit Stream(std::uint64_t state) : state_(state) {}
    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return std::numeric_limits<result_type>::max(); }
    result_type operator()() { return mixed(state_ += kGolden); }
    /// At least 0, below 1.
    double unit() { return static_cast<double>((*this)() >> 11) * 0x1p-53; }

private:
    std::uint64_t state_;
};

class Draws {
public:
    explicit Draws(std::uint64_t seed) : seed_(mixed(seed + kGolden)) {}

    Stream stream(std::string_view section, std::string_view key, std::string_view entry = {}) const {
        std::uint64_t hash = kNoText ^ seed_;
        // The zero byte behind each part keeps ("ab", "c") apart from ("a", "bc").
        for (std::string_view part : {section, key, entry})
            hash = mixed(hashed(std::string_view("", 1), hashed(part, hash)));
        return Stream(hash);
    }
    /// The number of one thing out of many, such as a server: independent of how many there are.
    Stream stream(std::string_view section, std::string_view key, std::string_view entry,
                  std::uint64_t thing) const {
        return Stream(mixed(stream(section, key, entry)() + thing * kGolden));
    }

private:
    std::uint64_t seed_;
};

}  // namespace ochrehub::lab::scenario
