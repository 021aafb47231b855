// Datagrams by the ten thousand a second to one place on loopback, from a sender that has no key.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

namespace ochrehub::lab::fleet {

struct Flooded {
    std::uint64_t sent = 0, refused = 0;  ///< refused: the kernel had no room
    double seconds = 0;
};
/// Half of them sound but of strangers without a key, half noise. Ends after `seconds` or once `stop` is set.
/// Throws AddressError for what is not loopback.
Flooded flood(const std::string& to, double rate, double seconds, const std::atomic<bool>& stop);

}  // namespace ochrehub::lab::fleet
