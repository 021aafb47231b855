// Hash functions whose results are the same on every machine and in every build.
#pragma once

#include <cstdint>
#include <string_view>

namespace ochrehub {

/// The finalizer of SplitMix64. A bijection: different inputs have different results, and close inputs have
/// unrelated ones.
constexpr std::uint64_t mixed(std::uint64_t x) {
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

/// The increment of SplitMix64 from one state to the next.
inline constexpr std::uint64_t kGolden = 0x9e3779b97f4a7c15ULL;

/// The offset basis of FNV-1a: the hash of an empty text.
inline constexpr std::uint64_t kNoText = 0xcbf29ce484222325ULL;

/// FNV-1a of a text; `before` is the hash of the text that precedes it.
constexpr std::uint64_t hashed(std::string_view text, std::uint64_t before = kNoText) {
    for (char c : text) before = (before ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
    return before;
}

}  // namespace ochrehub
