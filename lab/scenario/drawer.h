// Figures of a scenario's settings, each drawn from its own sub-stream.
#pragma once

#include <string>
#include <string_view>

#include "lab/scenario/content.h"
#include "lab/scenario/draws.h"

namespace ochrehub::lab::scenario {

class Drawer {
public:
    explicit Drawer(std::uint64_t seed) : draws_(seed) {}
    const Draws& draws() const { return draws_; }

    double number(const Block& block, std::string_view key) const;
    int whole(const Block& block, std::string_view key) const;
    bool coin(const Block& block, std::string_view key) const { return whole(block, key) != 0; }
    /// In whichever unit the key says: ms, or s for those that end so.
    Duration time(const Block& block, std::string_view key) const;
    const std::string& choice(const Block& block, std::string_view key) const;

    /// A factor for each of `count` zones: they add up to `count`, and the one furthest off is off by `skew`.
    std::vector<double> skews(const Block& block, std::size_t count) const;

private:
    double unit(const Block& block, std::string_view key) const {
        return draws_.stream(block.section->name, key, block.entry).unit();
    }
    Draws draws_;
};

/// Weights over the sum of all.
std::vector<double> shares(std::vector<double> weights);

/// The zones that a scenario has: those it names, else as many of the built-in ones as there are nodes.
std::vector<Block> zones_of(const Scenario::Content& content);

/// How much one server's speed differs from its kind's; mean 1. `server`: what its draw goes by.
double speed_factor(const Drawer& drawer, const Block& kind, const std::string& server);
/// The id of the server at this place of Day::servers.
std::string fresh_id(std::uint64_t seed, std::size_t place);

/// Capacity in requests a second at this mix: cores x speed over the mean CPU work.
double capacity(const Day& day);

}  // namespace ochrehub::lab::scenario
