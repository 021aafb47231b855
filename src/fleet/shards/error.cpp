#include "fleet/shards/error.h"

#include <cstddef>

namespace ochrehub::shards {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"shards.changed", "another wrote the record first", true,
         "nothing: it is read again and tried again"},
        {"shards.partner-full", "the partner's part of the memory is used up", true,
         "raise [shards] partner_octets, or have the partner's records end sooner"},
        {"shards.full", "the shard's memory is used up", true, "raise [shards] octets, or add holders"},
        {"shards.too-long", "its key, content or life is longer than the settings let it be", false,
         "raise the setting, or find who writes such records"},
        {"shards.not-first", "the process is not the shard's first holder", true,
         "nothing: the map is read again; where it lasts, see whether keepers answer"},
        {"shards.older-view", "the view of who asked is over", true, "nothing: the map is read again"},
        {"shards.newer-view", "the holder has not heard of this view yet", true,
         "nothing; where it lasts, see whether the holder reaches its keepers"},
        {"shards.session-over", "the holder's session with the keepers is over", true,
         "see whether the holder reaches its keepers"},
        {"shards.busy", "too many writes wait for the second holder", true,
         "see whether the second holder and the way to it keep up"},
        {"shards.lost", "both holders were lost, and what they held is not known", true,
         "orders that were under way must be looked up at the servers; it ends by itself when the window has "
         "passed"},
        {"shards.unavailable", "no holder answered in time, and nothing was written", true,
         "see which holders live, and whether keepers answer"},
        {"shards.unknown", "no holder said in time whether it was written", false,
         "read the record; an order is looked up, not sent again"},
        {"shards.malformed", "a message or command that cannot be read", false,
         "see whether releases differ by more than one"},
    };
    return kRows[std::size_t(error) - 1];
}

}  // namespace ochrehub::shards
