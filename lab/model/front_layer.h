// The layer before the nodes: spreads clients over the nodes of their zone that it believes up.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

/// Admits a node once it is told that it is up, and believes in it until Day::front_notice after it went
/// down. Spreads by a hash of the client, as plain fronts do: even over many, and a client's node does not
/// depend on what others did before it, so that paired runs compare like with like. (Turn by turn, calls and
/// their repeats fall into step: of two nodes every call would meet the dead one first.)
class FrontLayer {
public:
    explicit FrontLayer(const Day& day);

    void up(NodeNo node);
    /// `told`: it need not be noticed.
    void down(TimePoint now, NodeNo node, bool told = false);
    /// Where the zone has no node that is believed up, one of another; kNobody: there is none at all. `hash`:
    /// evenly spread over all 64 bits.
    NodeNo choose(TimePoint now, int zone, std::uint64_t hash);
    bool believes(TimePoint now, NodeNo node);
    /// What is true of it, noticed or not.
    bool is_up(NodeNo node) const { return known(node) && nodes_[std::size_t(node)].up; }

private:
    struct Node {
        int zone = 0;
        bool up = false, believed = false;
        std::uint32_t life =
            0;  ///< counts its starts: one that came back in time is not taken out for its last death
    };
    struct Notice {
        TimePoint at;
        NodeNo node;
        std::uint32_t life;
    };

    bool known(NodeNo node) const { return node >= 0 && std::size_t(node) < nodes_.size(); }
    void notice(TimePoint now);
    void take_out(NodeNo node);

    Duration late_;
    std::vector<Node> nodes_;
    std::deque<Notice> notices_;              ///< in the order of their times: each is equally late
    std::vector<std::vector<NodeNo>> zones_;  ///< those believed up, by number
    std::vector<NodeNo> all_;
};

}  // namespace ochrehub::lab
