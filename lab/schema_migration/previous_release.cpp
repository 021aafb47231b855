// The schema versions of the previous release. A lab program links it instead of
// src/fleet/schema/release.cpp.
#include "fleet/schema/schema.h"

namespace ochrehub::schema {

const Ranges& supported_ranges() {
    static const Ranges ranges = ranges_of_newest({3, 2, 1, 1, 1});
    return ranges;
}

}  // namespace ochrehub::schema
