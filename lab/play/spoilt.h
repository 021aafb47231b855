// Answers that cannot be used, and good ones that bring more than is theirs.
#pragma once

#include <cstdint>
#include <string>

#include "lab/record/record.h"

namespace ochrehub::lab {

inline constexpr int kSpoiltKinds = 8;

struct SpoiltAnswer {
    std::string bytes;    ///< written at once
    std::string trickle;  ///< written again and again, a while apart, up to a bound
    bool closes = false;  ///< the connection ends behind it
    bool good = false;    ///< holds the whole answer: the attempt was served, whatever comes beside it
};
/// `kind` counts from zero and goes round.
SpoiltAnswer spoilt_answer(int kind, AttemptNo attempt, const std::string& report_header);

inline constexpr int kNoiseKinds = 13;

struct Noise {
    std::string bytes;
    bool closes = false;   ///< the client closes behind it
    bool repeats = false;  ///< the same again as soon as the node has closed or answered
};
/// What a hostile client sends; `kind` goes round, `salt` makes ids and bytes its own. Nothing in it is a
/// request that a node may pass on.
Noise noise(int kind, std::uint64_t salt, const std::string& class_name);

}  // namespace ochrehub::lab
