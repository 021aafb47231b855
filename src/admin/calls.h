// What a call to the second address means and what it is answered: a core that owns no socket.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace ochrehub::admin {

/// What the calls act on.
struct Node {
    std::function<bool()> ready;         ///< this process can serve
    std::function<std::string()> stats;  ///< the figures, as they are now
    /// Takes a server out or puts it back. False: nobody has this id. On return it is certain to happen.
    std::function<bool(const std::string& id, bool out)> by_hand;
    /// What it knows of the fleet, as JSON. Empty: it is in none.
    std::function<std::string()> members = {};
};

struct Answer {
    int status = 200;
    std::string body;
    std::string allow;  ///< of a 405: the method that is right
    bool metrics = false, json = false;
};

Answer answer(const Node& node, std::string_view method, std::string_view target);

}  // namespace ochrehub::admin
