#include "fleet/coordinator/random_id.h"

#include <random>

namespace ochrehub::coordinator {

std::uint64_t random_id() {
    std::random_device device;
    const std::uint64_t high = device();
    const std::uint64_t id = high << 32 | device();
    return id == 0 ? 1 : id;
}

}  // namespace ochrehub::coordinator
