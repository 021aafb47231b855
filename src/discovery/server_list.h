// The server list in discovery's form, as the configuration's `known` and every answer of discovery hold it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "engine/decode.h"

namespace ochrehub {

struct ServerList {
    struct Member {
        std::string id, address;
        EndpointEntry entry;  ///< its number is given by whoever keeps the ids
    };
    std::uint64_t revision = 0;
    bool complete = false;
    std::vector<Member> members;
};

/// All of it or nothing: throws std::runtime_error naming what is wrong, or reports all that is.
ServerList read_server_list(const std::vector<std::string_view>& pairs, const Names& names,
                            Report* report = nullptr);

}  // namespace ochrehub
