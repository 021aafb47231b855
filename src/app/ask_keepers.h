// One ask to the keeper that leads, from a command that waits.
#pragma once

#include <coordinator.pb.h>

#include <optional>

#include "app/commands.h"

namespace ochrehub::app {

/// Nothing: none that leads was found in time. Throws ConfigError.
std::optional<coordinator::wire::Response> ask_leader(const KeepersAt& at,
                                                      const coordinator::wire::Request& ask);

}  // namespace ochrehub::app
