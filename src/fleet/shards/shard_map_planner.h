// Which process holds which shard: a numbered map that the coordinators replicate. Each shard has a primary,
// which serves requests, and a backup, which has every write before the response is sent. A shard without a
// backup has a holder that catches up. Processes only submit commands: they offer themselves as holders,
// announce that they leave, that another has caught up, that they have stepped down. The map follows from
// these commands and from the sessions that are active.
//
// A change moves as few shards as possible, and limits how many move at a time: first shards without a
// backup, then shards with both holders in one zone, then shards of leaving holders, last what balances the
// load. A primary whose session is active is never replaced before it has confirmed that it stepped down.
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

/// The holders of one shard. A session id of zero: none.
struct ShardAssignment {
    std::uint64_t view = 0;    ///< the map's number when the holders last changed
    std::uint64_t origin = 0;  ///< the view in which the shard last started empty
    bool lost = false;         ///< it started empty because both holders were lost
    SessionId primary = 0, backup = 0, catching_up = 0;
    bool stepping_down = false;  ///< the primary is requested to swap roles with the backup
    /// The views in which these two were assigned the shard. They tell a primary that missed the views
    /// between that a holder was removed and assigned again, and so has nothing of what it was sent before.
    std::uint64_t backup_since = 0, catching_up_since = 0;
    friend bool operator==(const ShardAssignment&, const ShardAssignment&) = default;
};
/// A process that has offered itself as a holder.
struct HolderInfo {
    std::string name, zone, address;
    bool leaving = false;
    friend bool operator==(const HolderInfo&, const HolderInfo&) = default;
};
struct ShardMap {
    std::uint64_t number = 0;              ///< rises with every change
    std::vector<ShardAssignment> entries;  ///< by shard number
    std::map<SessionId, HolderInfo> holders;
};
std::string encode(const ShardMap& map);
/// False: not a valid map; `map` is unchanged.
bool decode(std::string_view bytes, ShardMap& map);

/// The coordinators' state machine that assigns shards to holders. Deterministic; not thread safe.
class ShardMapPlanner : public coordinator::StateMachine {
public:
    struct Settings {
        std::size_t shard_count = 256;
        std::size_t max_repairs = 32;  ///< shards without a backup that have a holder catching up at a time
        std::size_t max_moves = 8;     ///< shards that are moved, or whose holders swap roles, at a time
        std::size_t max_holders = 1024;
        std::size_t max_address_bytes = 256;
    };
    explicit ShardMapPlanner(const Settings& settings);

    std::string_view kind() const override { return "views"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    void session_opened(SessionId session, std::string_view name, std::string_view zone) override;
    void session_ended(SessionId session) override;
    /// The whole map, the same for every session: about 4 kB for 256 shards.
    std::string session_update(SessionId session) const override;
    std::string query(std::string_view) const override {
        return session_update(0);
    }  ///< the map, without waiting for a renewal
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    const ShardMap& map() const { return map_; }

    // Encoded commands for apply. A session of zero in leave_command: the sender.
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
    bool rebalance_once(bool may_move);
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
