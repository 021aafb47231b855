// Keepers that break one promise each. They are made from outside, by what they are told, say and write, so
// that the core that is shipped knows nothing of them; a judge that does not find them is worth nothing.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/raft/world.h"

namespace ochrehub::lab {

struct Saboteur {
    std::string name;                ///< what it does
    std::string shows;               ///< part of what the judge says of it
    std::function<Sabotage()> make;  ///< anew for each run
    /// Where chance would have to be long: a scene by hand or an exploration, and what it says is broken.
    std::function<std::vector<std::string>(const Sabotage&)> scene = nullptr;
    std::uint64_t seed = 1;  ///< tried first
};
const std::vector<Saboteur>& raft_saboteurs();

struct Caught {
    std::uint64_t seed = 0;  ///< zero: in its scene
    std::string what;        ///< empty: it was not
};
/// In its scene, or by the first of the seeds up to `most` that shows it so.
Caught catch_saboteur(const Saboteur& saboteur, std::uint64_t most);

}  // namespace ochrehub::lab
