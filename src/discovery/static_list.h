// The server list as the node's own file gives it, where no discovery is asked.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/table.h"
#include "engine/names.h"
#include "engine/types.h"

namespace ochrehub::discovery {

struct StaticServer {
    std::string address, name, zone, kind;
    int cell = kNone;
    double size = 1;
    bool drain = false;

    /// What it is known by: under the same, a server stays the one that it was.
    const std::string& id() const { return name.empty() ? address : name; }
    bool operator==(const StaticServer&) const = default;
};

config::Table<StaticServer> static_settings();

class StaticList : public DiscoverySource {
public:
    using Listed = std::function<void(const EndpointList&)>;

    StaticList(Names names, Listed listed) : names_(std::move(names)), listed_(std::move(listed)) {}

    /// The whole list, from now on: a server that it lacks has gone.
    void use(const std::vector<StaticServer>& servers);
    void watch() override { listed_(listing_); }

private:
    Names names_;
    Listed listed_;
    EndpointList listing_;
    std::unordered_map<std::string, EndpointId> ids_;  // of the servers listed; a number is never given twice
    EndpointId next_id_ = 0;
};

}  // namespace ochrehub::discovery
