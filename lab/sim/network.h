// How long messages take between two places, and which places cannot reach each other.
#pragma once

#include <cmath>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/sim/mix.h"

namespace ochrehub::lab {

struct Place {
    enum class What { Client, Node, Server, Discovery } what = What::Client;
    int number = 0, zone = 0;
};

class Network {
public:
    Network(const Day& day, std::uint64_t seed) : day_(day), figures_(day.network), random_(seed) {}

    Duration delay(const Place& from, const Place& to) {
        double ms = figures_.client_ms;
        if (from.what != Place::What::Client && to.what != Place::What::Client) {
            auto row = std::size_t(from.zone), column = std::size_t(to.zone);
            ms =
                row < figures_.ms.size() && column < figures_.ms[row].size() ? figures_.ms[row][column] : 0.2;
        }
        return Duration{ms * (1 - figures_.jitter * std::log(1 - random_.uniform()))};
    }

    void cut(int fault) { cuts_.push_back(&day_.faults[std::size_t(fault)]); }
    void heal(int fault) { std::erase(cuts_, &day_.faults[std::size_t(fault)]); }
    /// Nothing passes from one to the other just now.
    bool cut_off(const Place& from, const Place& to) const {
        for (const Fault* fault : cuts_) {
            if (fault->kind == FaultKind::Silent) {
                if (silenced(*fault, from) || silenced(*fault, to)) return true;
                continue;
            }
            if (side(*fault, fault->between, from) && side(*fault, fault->and_, to)) return true;
            if (!fault->one_way && side(*fault, fault->between, to) && side(*fault, fault->and_, from))
                return true;
        }
        return false;
    }
    bool any_cut() const { return !cuts_.empty(); }

private:
    static bool among(const std::vector<int>& some, int number) {
        if (some.empty()) return true;
        for (int one : some)
            if (one == number) return true;
        return false;
    }
    static bool silenced(const Fault& fault, const Place& place) {
        return place.what == Place::What::Server && !fault.servers.empty() &&
               among(fault.servers, place.number);
    }
    /// A side is "nodes", "servers", "discovery", "clients" or "zone:NAME"; the fault's lists narrow nodes
    /// and servers wherever they are. A zone holds nodes and servers: discovery is in none.
    bool side(const Fault& fault, const std::string& name, const Place& place) const {
        if (name.rfind("zone:", 0) == 0) {
            if (place.what == Place::What::Client || place.what == Place::What::Discovery) return false;
            return std::size_t(place.zone) < figures_.zones.size() &&
                   figures_.zones[std::size_t(place.zone)] == name.substr(5);
        }
        if (name == "nodes") return place.what == Place::What::Node && among(fault.nodes, place.number);
        if (name == "servers") return place.what == Place::What::Server && among(fault.servers, place.number);
        if (name == "discovery") return place.what == Place::What::Discovery;
        return name == "clients" && place.what == Place::What::Client;
    }

    const Day& day_;
    const NetworkFigures& figures_;
    Random random_;
    std::vector<const Fault*> cuts_;
};

}  // namespace ochrehub::lab
