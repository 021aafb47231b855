// Which process holds which shard: a numbered map that the keepers agree on. Each shard has a first holder,
// which answers, and a second, which has every write before it is answered; where it has none, one is being
// filled. Processes only propose: they offer themselves, say that they leave, that one is filled, that they
// have stopped answering. The map follows from that and from which sessions live.
//
// A change moves as few shards as it can, and few at a time: what lacks a second holder first, then what
// stands in one zone twice, what those who leave hold, and last what makes holders equal. A first holder that
// lives is never replaced without its own word.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/shards/error.h"

namespace ochrehub::shards {

using coordinator::SessionId;

/// A shard in the map, as all sides use it.
struct ShardAssignment {
    std::uint64_t view = 0, origin = 0;
    bool lost = false;
    SessionId primary = 0, backup = 0, catching_up = 0;
    bool stepping_down = false;
    /// The views in which these two were given the shard: a holder that was taken out and put in again, which
    /// a first that slept over the view between cannot see otherwise, has nothing of before.
    std::uint64_t backup_since = 0, catching_up_since = 0;
    friend bool operator==(const ShardAssignment&, const ShardAssignment&) = default;
};
struct HolderInfo {
    std::string name, zone, address;
    bool leaving = false;
    friend bool operator==(const HolderInfo&, const HolderInfo&) = default;
};
struct ShardMap {
    std::uint64_t number = 0;
    std::vector<ShardAssignment> entries;
    std::map<SessionId, HolderInfo> holders;
};
std::string encode(const ShardMap& map);
/// False: octets that are no map; nothing was taken.
bool decode(std::string_view bytes, ShardMap& map);

class ShardMapPlanner : public coordinator::StateMachine {
public:
    struct Settings {
        std::size_t shard_count = 256;
        std::size_t max_repairs =
            32;                     ///< shards that are filled at a time because they have no second holder
        std::size_t max_moves = 8;  ///< ... and that are moved or change places for any other reason
        std::size_t max_holders = 1024;
        std::size_t max_address_bytes = 256;  ///< octets of one
    };
    explicit ShardMapPlanner(const Settings& settings);

    std::string_view kind() const override { return "views"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    void session_opened(SessionId session, std::string_view name, std::string_view zone) override;
    void session_ended(SessionId session) override;
    /// The whole map, for everybody: 256 shards are about 4 kB.
    std::string session_update(SessionId session) const override;
    std::string query(std::string_view) const override { return session_update(0); }  ///< the same, sooner
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    const ShardMap& map() const { return map_; }

    // What a process proposes.
    static std::string offer_command(std::string_view address);
    static std::string leave_command(SessionId session = 0);
    static std::string caught_up_command(std::uint32_t shard, std::uint64_t view);
    static std::string stepped_down_command(std::uint32_t shard, std::uint64_t view);

private:
    struct Member {
        std::string name, zone;
    };
    struct HolderLoad {
        std::size_t roles = 0, primaries = 0;
    };
    void rebalance();
    bool rebalance_once(bool rebalances);
    std::map<SessionId, HolderLoad> loads() const;
    enum class Candidates : std::uint8_t { OtherZone, NotLeaving, Any };
    SessionId choose(const std::map<SessionId, HolderLoad>& loads, const ShardAssignment& entry,
                     Candidates from) const;
    bool in_different_zones(SessionId a, SessionId b) const {
        return map_.holders.at(a).zone != map_.holders.at(b).zone;
    }
    void bump_view(ShardAssignment& entry) { entry.view = ++map_.number; }

    Settings set_;
    ShardMap map_;
    std::map<SessionId, Member> sessions_;
    mutable std::string encoded_map_;
    mutable std::uint64_t encoded_number_ = ~0ull;
};

}  // namespace ochrehub::shards
