// What the day itself does to the ways between clients, nodes, servers and discovery: nobody owes what could
// not pass.
#pragma once

#include <limits>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab::referee {

using Ms = double;  ///< on the clock of the records
inline constexpr Ms kNever = std::numeric_limits<Ms>::infinity();
inline Ms ms(TimePoint at) {
    return at.time_since_epoch().count();
}

struct Span {
    Ms from = 0, to = kNever;
    bool meets(Ms a, Ms b) const { return from <= b && to >= a; }
};

class Troubles {
public:
    explicit Troubles(const Day& day);

    void note(const FaultMark& mark);
    void note(const NodeChanged& change);

    /// Longest time that a message may take where nothing is cut: jitter is an exponential on top.
    Ms way(NodeNo node, ServerNo server) const;
    Ms client_way() const;

    /// A limit on what a node owes to a client since `from`, later by what it stood still or could not be
    /// reached.
    Ms extended(Ms limit, NodeNo node, Ms from) const;
    /// The same for what it owes to all alike: by stalls alone.
    Ms stalled_until(Ms limit, NodeNo node, Ms from) const;
    /// The node stood still between these times, or so shortly before that it may still work off the backlog.
    bool recovers_from_stall(NodeNo node, Ms from, Ms to) const;
    /// The node stood still, or its clients were cut off, within this span.
    bool held_up(NodeNo node, Ms from, Ms to) const;
    /// Its clients were cut off within this span.
    bool cut_off(NodeNo node, Ms from, Ms to) const;
    /// Node and server could not reach each other, or the server's machine was silent, within this span.
    bool apart(NodeNo node, ServerNo server, Ms from, Ms to) const;
    bool silent(ServerNo server, Ms at) const;
    /// Discovery was down or out of the node's reach within this span.
    bool without_discovery(NodeNo node, Ms from, Ms to) const;
    /// Nothing that discovery writes comes to this node now.
    bool cut_from_discovery(NodeNo node) const;

private:
    enum class Kind { Client, Node, Server, Discovery };
    struct End {
        Kind kind = Kind::Client;
        int number = kNobody, zone = kNone;
    };
    struct Event {
        int fault = 0;
        Span span;
    };
    struct Hold {
        Span span;
        bool stall = false;
    };
    bool is(const Fault& fault, const std::string& side, const End& end) const;
    bool parts(const Fault& fault, const End& a, const End& b, bool either_way) const;
    End node_end(NodeNo node) const;
    End server_end(ServerNo server) const;

    const Day* day_;
    std::vector<Event> events_;             // Partition, Silent and DiscoveryDown alone
    std::vector<std::vector<Hold>> holds_;  // by node
};

}  // namespace ochrehub::lab::referee
