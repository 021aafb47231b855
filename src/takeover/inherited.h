// The clients' listening socket that whoever starts this process holds and hands down.
#pragma once

#include <string>

namespace ochrehub::takeover {

/// The descriptor that `text` names (GW_FD). Throws std::runtime_error, worded for the operator, where it is
/// no number or no TCP socket that listens.
int inherited_listener(const std::string& text);

}  // namespace ochrehub::takeover
