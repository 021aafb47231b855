#include "fleet/shards/error.h"

#include <cstddef>

namespace ochrehub::shards {

const fleet::ErrorRow& row(Error error) {
    static constexpr fleet::ErrorRow kRows[kErrors] = {
        {"shards.changed", "another client wrote the record first", true,
         "nothing: the client reads the record and retries"},
        {"shards.partner-full", "the partner's memory limit in the shard is reached", true,
         "raise [shards] partner_octets, or shorten the lifetime of the partner's records"},
        {"shards.full", "the shard's memory limit is reached", true, "raise [shards] octets, or add holders"},
        {"shards.too-long", "the record's key, content or lifetime exceeds the configured limit", false,
         "raise the limit, or find the process that writes such records"},
        {"shards.not-first", "the process is not the shard's primary", true,
         "nothing: the client refreshes its map; if it persists, check that the coordinators respond"},
        {"shards.older-view", "the sender's view of the shard is out of date", true,
         "nothing: the client refreshes its map"},
        {"shards.newer-view", "the holder has not received this view yet", true,
         "nothing; if it persists, check that the holder reaches the coordinators"},
        {"shards.session-over", "the holder's session with the coordinators has expired", true,
         "check that the holder reaches the coordinators"},
        {"shards.busy", "too many writes wait for the shard's backup", true,
         "check that the backup and the network to it keep up"},
        {"shards.lost", "both holders were lost, and the records that they held are unknown", true,
         "look up the orders that were in progress at the servers; the error ends by itself after the "
         "longest "
         "record lifetime"},
        {"shards.unavailable", "no holder responded in time, and nothing was written", true,
         "check that the holders run and that the coordinators respond"},
        {"shards.unknown", "no holder responded in time, and the record may have been written", false,
         "read the record; look up an order, and don't send it again"},
        {"shards.malformed", "a message or command can't be parsed", false,
         "check that the processes' releases differ by at most one"},
    };
    return kRows[std::size_t(error) - 1];
}

}  // namespace ochrehub::shards
