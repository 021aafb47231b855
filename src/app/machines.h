// The machines that the keepers of this release hold: a line for each room that has one.
#pragma once

#include "fleet/coordinator/state.h"

namespace ochrehub::app {

coordinator::Machines machines();

}  // namespace ochrehub::app
