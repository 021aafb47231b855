// What can go wrong with shared records.
#pragma once

#include <cstdint>

#include "fleet/error/error.h"

namespace ochrehub::shards {

enum class Error : std::uint8_t {
    Changed = 1,      ///< the record is not the one that was expected
    PartnerFull,      ///< the partner's part of the shard's memory
    Full,             ///< all of the shard's memory
    TooLong,          ///< key, content or life
    NotPrimary,       ///< asked one that does not hold the shard, or holds it second
    OlderView,        ///< the view of who asks is over
    NewerView,        ///< who asks knows a newer view than the holder
    SessionExpired,   ///< the holder's session with the keepers
    Busy,             ///< too many writes wait for the second holder
    BothHoldersLost,  ///< both holders were lost: whether there was a record nobody can say
    Unavailable,      ///< nobody answered in time; nothing was written
    Unknown,          ///< nobody answered in time; it may have been written, or may yet be
    Malformed,        ///< a message or command that is none
};
inline constexpr int kErrors = 13;
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::shards
