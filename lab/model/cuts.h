// Who cannot reach whom: the partitions of a day that hold now.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

/// One end of a way through the network.
struct Place {
    enum class Of { Client, Node, Server, Discovery } of = Of::Client;
    int number = kNobody;  ///< of a node or a server
    int zone = kNone;      ///< none: discovery, which is in no zone
};

class Cuts {
public:
    explicit Cuts(const Day& day) : day_(&day) {}

    void set(int fault, bool on) {
        std::erase(active_, fault);
        if (on) active_.push_back(fault);
    }
    bool any() const { return !active_.empty(); }
    /// True where nothing that `from` sends reaches `to`.
    bool cut(const Place& from, const Place& to) const {
        return std::any_of(active_.begin(), active_.end(), [&](int number) {
            const Fault& fault = day_->faults[std::size_t(number)];
            if (is(fault, fault.between, from) && is(fault, fault.and_, to)) return true;
            return !fault.one_way && is(fault, fault.and_, from) && is(fault, fault.between, to);
        });
    }

private:
    // A partition that names nodes or servers is about these alone, on whichever side they stand.
    static bool named(const std::vector<int>& some, int number) {
        return some.empty() || std::find(some.begin(), some.end(), number) != some.end();
    }
    bool is(const Fault& fault, const std::string& side, const Place& place) const {
        using Of = Place::Of;
        if (place.of == Of::Node && !named(fault.nodes, place.number)) return false;
        if (place.of == Of::Server && !named(fault.servers, place.number)) return false;
        if (side == "nodes") return place.of == Of::Node;
        if (side == "servers") return place.of == Of::Server;
        if (side == "discovery") return place.of == Of::Discovery;
        if (side == "clients") return place.of == Of::Client;
        if (side.rfind("zone:", 0) != 0 || place.zone < 0) return false;
        return std::size_t(place.zone) < day_->network.zones.size() &&
               day_->network.zones[std::size_t(place.zone)] == side.substr(5);
    }

    const Day* day_;
    std::vector<int> active_;
};

}  // namespace ochrehub::lab
