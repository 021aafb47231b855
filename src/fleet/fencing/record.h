// The stored form of what a FencingGuard decides. Responsible for encoding and decoding one record; where
// records are stored is the caller's. Pure functions, safe on any thread; no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace ochrehub::fencing {

/// One change of a FencingGuard's state.
struct Record {
    /// The values are stored.
    enum class Kind : char {
        Epoch = 'e',           ///< the lease's current epoch
        Begun = 'b',           ///< a step whose effect may have begun
        Done = 'd',            ///< a step that was executed, with its outcome
        Settled = 's',         ///< steps up to this one are forgotten
        Retired = 'r',         ///< the lease ended under this epoch
        ForgottenEpoch = 'l',  ///< the highest epoch of retired leases that are no longer known by name
    };
    Kind kind{};
    std::string_view lease;         ///< of 1 to 255 bytes; of ForgottenEpoch without meaning
    std::uint64_t number = 0;       ///< an epoch or a step, non-zero
    std::string_view outcome = {};  ///< of Done
};

std::string encode(const Record& record);

/// The views point into `bytes`. Nothing where the bytes are no record. The end of an outcome is not checked:
/// the caller's storage guards it with a checksum.
std::optional<Record> decode(std::string_view bytes);

}  // namespace ochrehub::fencing
