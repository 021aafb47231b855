// Errors of documents, proposals, a node's document file and lease timing.
#pragma once

#include <cstdint>

#include "fleet/error/error.h"

namespace ochrehub::config_distribution {

enum class Error : std::uint8_t {
    UnknownKind,
    TooLong,
    Malformed,
    Duplicate,
    WrongValue,
    OverBudget,
    Mode,
    ModeChanged,
    KindChanged,
    Floor,
    Same,
    BaseMoved,
    Busy,
    Unknown,
    NoVersion,
    Full,
    Canary,
    NodeRefused,
    TimeOver,
    Withdrawn,
    StatedTime,
    Margin,
    FileDamaged,
    FileFailed,
};
inline constexpr std::size_t kErrorCount = 24;

const fleet::ErrorRow& row(Error error);
using Failure = fleet::Failure<Error>;

}  // namespace ochrehub::config_distribution
