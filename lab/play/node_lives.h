// Which process of each node runs, and which were killed: started again, a node is another process and owes
// nothing of what the one before it had taken. Written by whoever starts and kills them, read on any loop.
#pragma once

#include <cstdint>
#include <mutex>
#include <set>
#include <vector>

#include "lab/record/record.h"

namespace ochrehub::lab {

class NodeLives {
public:
    using Life = std::uint64_t;  ///< 1, 2, ... of each node; 0: none yet

    explicit NodeLives(std::size_t nodes) : nodes_(nodes) {}

    /// The next process; called ahead of its start.
    void start(NodeNo node) {
        std::lock_guard lock(mutex_);
        ++of(node).latest;
    }
    /// The latest process is killed; called ahead of the signal, so ahead of all that breaks by it.
    void kill(NodeNo node) {
        std::lock_guard lock(mutex_);
        of(node).killed.insert(of(node).latest);
    }
    Life latest(NodeNo node) const {
        std::lock_guard lock(mutex_);
        return nodes_[std::size_t(node)].latest;
    }
    bool killed(NodeNo node, Life life) const {
        std::lock_guard lock(mutex_);
        return nodes_[std::size_t(node)].killed.contains(life);
    }

private:
    struct Node {
        Life latest = 0;
        std::set<Life> killed;
    };
    Node& of(NodeNo node) { return nodes_[std::size_t(node)]; }

    mutable std::mutex mutex_;
    std::vector<Node> nodes_;
};

}  // namespace ochrehub::lab
