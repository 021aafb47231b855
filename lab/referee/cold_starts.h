// The work that reached each server while it was cold, and from whom.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "lab/referee/node_lists.h"

namespace ochrehub::lab::referee {

class ColdStarts {
public:
    struct Verdict {
        NodeNo node = kNobody;  ///< who sent most of those that knew
        Ms work = 0, by_told = 0, started = 0, from = 0;
    };

    ColdStarts(const Day& day, const NodeLists& lists, Ms start);
    void note(const WorkArrived& arrived);
    /// Judges a fall.
    std::optional<Verdict> note(const ServerChanged& change);

private:
    struct Work {
        Ms at, work;
        NodeNo node;
        bool told;
    };
    struct Server {
        bool cold = false;
        Ms started = 0;
        std::deque<Work> work;
    };

    const NodeLists* lists_;
    Ms kept_;
    std::vector<Server> servers_;
};

}  // namespace ochrehub::lab::referee
