// What each node was told of each server, or counts as told: a dense table, since 200 nodes may know 5,000
// servers.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/referee/troubles.h"

namespace ochrehub::lab::referee {

class NodeLists {
public:
    enum class Phase : std::uint8_t { Never, InService, Draining, Gone };
    struct View {
        Phase phase = Phase::Never;
        Ms since = 0;         ///< told at, or counts as told from
        bool deemed = false;  ///< counts as told, for want of asking
        Ms listed_at = 0;     ///< deemed: when the list came to say so, at the latest
    };

    NodeLists(const Day& day, const Troubles& troubles, Ms start, Ms slack);

    void note(const Told& told);
    void note(const Asked& asked);
    void note(const ServerChanged& change);
    void note(const NodeChanged& change);

    View view(NodeNo node, ServerNo server, Ms now) const;
    /// It knows, or counts as knowing, that the server started at `start` or later.
    bool knows_start(NodeNo node, ServerNo server, Ms start, Ms now) const;

private:
    struct Entry {
        Ms since = 0;
        Ms started = 0;
        std::uint32_t list = 0;  ///< the whole list that named it last, or was in force when a change did
        Phase phase = Phase::Never;
    };
    static_assert(sizeof(Entry) <= 24);
    struct Node {
        std::vector<Ms>
            lists;        ///< when each whole list began to count; the first is what it was started with
        Ms asked_at = 0;  ///< last sign of a call
        Ms called_at = 0;
        int calls = 0;        ///< not answered yet
        bool failed = false;  ///< ... the last one
        bool down = true;
    };
    /// One turn in what the list says of a server.
    struct Listing {
        Ms at = 0;  ///< when the list says so, at the latest
        Phase phase{};
        Ms started = 0;
    };

    Entry& entry(NodeNo node, ServerNo server) {
        return table_[std::size_t(node) * servers_ + std::size_t(server)];
    }
    const Entry& entry(NodeNo node, ServerNo server) const {
        return table_[std::size_t(node) * servers_ + std::size_t(server)];
    }
    bool known(NodeNo node, ServerNo server) const {
        return node >= 0 && std::size_t(node) < nodes_.size() && server >= 0 &&
               std::size_t(server) < servers_;
    }
    void forget(NodeNo node, Ms at);
    void learnt(ServerNo server, Phase phase, Ms started, Ms at);
    /// The turn of the list that this node counts as told of, and from when; null where there is none.
    const Listing* deemed(NodeNo node, ServerNo server, Ms now, Ms& since) const;

    const Day* day_;
    const Troubles* troubles_;
    Ms slack_;
    std::size_t servers_;
    std::vector<Entry> table_;
    std::vector<Node> nodes_;
    std::vector<std::vector<Listing>> listings_;  // by server
};

}  // namespace ochrehub::lab::referee
