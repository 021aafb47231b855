// The schema versions that this release reads and writes: the only object that differs between two releases
// built from this tree.
#include "fleet/schema/schema.h"

namespace ochrehub::schema {

const Ranges& supported_ranges() {
    static const Ranges ranges = ranges_of_newest({4, 3, 2, 1, 1});
    return ranges;
}

}  // namespace ochrehub::schema
