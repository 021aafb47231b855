#pragma once

#include "fleet/error/error.h"

namespace ochrehub::leadership {

enum class Error {
    Malformed,  ///< a command that cannot be read, or says nothing
    Name,       ///< empty, too long, or of octets that a name does not have
    Weight,     ///< zero, or above the highest
    Full,       ///< as many duties as there may be
    Crowded,    ///< as many want it as may
    Session,    ///< whoever asks has none
    Unknown,    ///< nobody wants it
    Over,       ///< a job that is over, or never was
    NotOwner,   ///< it is another's, or stands under another epoch
    NotEnded,   ///< a job whose end was not written down before
};
inline constexpr std::size_t kErrors = 10;
const fleet::ErrorRow& row(Error error);

}  // namespace ochrehub::leadership
