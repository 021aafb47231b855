// The release before this one, as far as records go: linked in the place of src/fleet/schema/release.cpp by a
// program of the lab.
#include "fleet/schema/schema.h"

namespace ochrehub::schema {

const Ranges& supported_ranges() {
    static const Ranges ranges = ranges_of_newest({3, 2, 1, 1, 1});
    return ranges;
}

}  // namespace ochrehub::schema
