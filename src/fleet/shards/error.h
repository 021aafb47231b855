// Errors of the shards of keyed records. Their codes for operators are in error.cpp and docs/errors.md.
#pragma once

#include <cstdint>

#include "fleet/error/error.h"

namespace ochrehub::shards {

enum class Error : std::uint8_t {
    Changed = 1,      ///< the record doesn't have the expected version
    PartnerFull,      ///< the partner's memory limit in the shard is reached
    Full,             ///< the shard's memory limit is reached
    TooLong,          ///< key, content or lifetime is over its limit
    NotPrimary,       ///< the receiver doesn't hold the shard, or is its backup
    OlderView,        ///< the sender's view is older than the holder's
    NewerView,        ///< the sender's view is newer than the holder's
    SessionExpired,   ///< the holder's session with the coordinators has expired
    Busy,             ///< too many writes wait for the backup
    BothHoldersLost,  ///< both holders were lost: whether there was a record is unknown
    Unavailable,      ///< no response in time; nothing was written
    Unknown,          ///< no response in time; it may have been written, or may still be
    Malformed,        ///< a message or command that can't be parsed
};
inline constexpr int kErrors = 13;
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::shards
