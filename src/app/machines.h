// The machines that the keepers of this release hold: a line for each module that has one.
#pragma once

#include "fleet/coordinator/replicated_state.h"

namespace ochrehub::app {

coordinator::StateMachines machines();

}  // namespace ochrehub::app
