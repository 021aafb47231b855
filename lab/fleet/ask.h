// One exchange over a connection of its own, for threads that may wait.
#pragma once

#include <string>

#include "lab/play/address.h"

namespace ochrehub::lab::fleet {

struct Answer {
    int status = 0;  ///< 0: none came in time
    std::string body;
};

/// Answers with a Content-Length alone. Never longer than `within_s` for each read or write.
Answer ask(const Endpoint& to, const std::string& request, double within_s);

}  // namespace ochrehub::lab::fleet
