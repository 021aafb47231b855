#include "fleet/shards/shard_map_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fleet/shards/wire.h"

namespace ochrehub::shards {
namespace {

void to_wire_map(const ShardMap& map, wire::Map& out) {
    out.set_number(map.number);
    std::uint32_t shard = 0;
    for (const ShardAssignment& entry : map.entries) to_wire(shard++, entry, *out.add_entries());
    for (const auto& [session, place] : map.holders) {
        wire::Holder& h = *out.add_holders();
        h.set_session(session);
        h.set_name(place.name);
        h.set_zone(place.zone);
        h.set_address(place.address);
        h.set_leaving(place.leaving);
    }
}
bool from_wire_map(const wire::Map& in, ShardMap& map) {
    ShardMap read;
    read.number = in.number();
    for (const wire::Entry& e : in.entries()) {
        if (e.shard() != read.entries.size()) return false;
        read.entries.push_back(from_wire(e));
    }
    for (const wire::Holder& h : in.holders())
        read.holders[h.session()] = {h.name(), h.zone(), h.address(), h.leaving()};
    map = std::move(read);
    return true;
}
std::string reply(std::uint64_t number, std::optional<Error> error = {}) {
    wire::Reply out;
    out.set_number(number);
    if (error) out.set_error(std::uint32_t(*error));
    return out.SerializeAsString();
}

}  // namespace

std::string encode(const ShardMap& map) {
    wire::Map out;
    to_wire_map(map, out);
    return out.SerializeAsString();
}
bool decode(std::string_view bytes, ShardMap& map) {
    wire::Map in;
    return in.ParseFromArray(bytes.data(), int(bytes.size())) && in.entries_size() > 0 &&
           from_wire_map(in, map);
}

ShardMapPlanner::ShardMapPlanner(const Settings& settings) : set_(settings) {
    map_.entries.resize(set_.shard_count);
}

std::string ShardMapPlanner::offer_command(std::string_view address) {
    wire::Command c;
    c.mutable_offer()->set_address(std::string(address));
    return c.SerializeAsString();
}
std::string ShardMapPlanner::leave_command(SessionId session) {
    wire::Command c;
    c.mutable_leave()->set_session(session);
    return c.SerializeAsString();
}
std::string ShardMapPlanner::caught_up_command(std::uint32_t shard, std::uint64_t view) {
    wire::Command c;
    c.mutable_filled()->set_shard(shard);
    c.mutable_filled()->set_view(view);
    return c.SerializeAsString();
}
std::string ShardMapPlanner::stepped_down_command(std::uint32_t shard, std::uint64_t view) {
    wire::Command c;
    c.mutable_yielded()->set_shard(shard);
    c.mutable_yielded()->set_view(view);
    return c.SerializeAsString();
}

std::string ShardMapPlanner::apply(const coordinator::Command& command) {
    wire::Command c;
    if (!c.ParseFromArray(command.body.data(), int(command.body.size())))
        return reply(map_.number, Error::Malformed);
    std::optional<Error> error;
    switch (c.what_case()) {
        case wire::Command::kOffer: {
            auto member = sessions_.find(command.session);
            const std::string& address = c.offer().address();
            if (member == sessions_.end())
                error = Error::SessionExpired;
            else if (address.empty() || address.size() > set_.max_address_bytes)
                error = Error::Malformed;
            else if (!map_.holders.contains(command.session) && map_.holders.size() >= set_.max_holders)
                error = Error::Full;
            else if (HolderInfo place{member->second.name, member->second.zone, address, false};
                     !map_.holders.contains(command.session) || map_.holders.at(command.session) != place) {
                map_.holders[command.session] = std::move(place);
                ++map_.number;
            }
            break;
        }
        case wire::Command::kLeave: {
            SessionId session = c.leave().session() ? c.leave().session() : command.session;
            auto holder = map_.holders.find(session);
            if (command.session != 0 && command.session != session)
                error = Error::Malformed;  // only operators send it for another process
            else if (holder == map_.holders.end())
                error = Error::SessionExpired;
            else if (!holder->second.leaving)
                holder->second.leaving = true, ++map_.number;
            break;
        }
        case wire::Command::kFilled:
        case wire::Command::kYielded: {
            bool caught_up = c.what_case() == wire::Command::kFilled;
            const wire::Command::Change& change = caught_up ? c.filled() : c.yielded();
            if (change.shard() >= map_.entries.size()) {
                error = Error::Malformed;
                break;
            }
            ShardAssignment& entry = map_.entries[change.shard()];
            if (entry.view != change.view())
                error = Error::OlderView;
            else if (entry.primary != command.session || command.session == 0)
                error = Error::NotPrimary;
            else if (caught_up ? entry.catching_up == 0 : entry.backup == 0 || !entry.stepping_down)
                error = Error::Malformed;
            else if (caught_up) {
                entry.backup = std::exchange(entry.catching_up, 0);
                entry.backup_since = std::exchange(entry.catching_up_since, 0);
                bump_view(entry);
            } else {
                std::swap(entry.primary, entry.backup);
                entry.stepping_down = false;
                bump_view(entry);
                entry.backup_since = entry.view;
            }
            break;
        }
        case wire::Command::WHAT_NOT_SET:
            error = Error::Malformed;
    }
    if (!error) rebalance();
    return reply(map_.number, error);
}

void ShardMapPlanner::session_opened(SessionId session, std::string_view name, std::string_view zone) {
    sessions_[session] = {std::string(name), std::string(zone)};
}

void ShardMapPlanner::session_ended(SessionId session) {
    sessions_.erase(session);
    if (map_.holders.erase(session) == 0) return;
    ++map_.number;
    for (ShardAssignment& entry : map_.entries) {
        if (entry.catching_up == session) entry.catching_up = 0, bump_view(entry);
        if (entry.backup == session) entry.backup = 0, entry.stepping_down = false, bump_view(entry);
        if (entry.primary != session) continue;
        entry.primary = std::exchange(entry.backup, 0);
        entry.stepping_down = false;
        if (entry.primary == 0) entry.catching_up = 0;  // it has an unknown part of the contents
        bump_view(entry);
    }
    for (ShardAssignment& entry : map_.entries) {
        if (entry.backup == 0) entry.backup_since = 0;
        if (entry.catching_up == 0) entry.catching_up_since = 0;
    }
    rebalance();
}

std::map<SessionId, ShardMapPlanner::HolderLoad> ShardMapPlanner::loads() const {
    std::map<SessionId, HolderLoad> loads;
    for (const auto& [session, place] : map_.holders) loads[session];
    for (const ShardAssignment& entry : map_.entries) {
        // Counts the state after all moves in progress: otherwise each move would be planned again until it
        // is completed.
        if (entry.primary)
            ++loads[entry.primary].roles,
                ++loads[entry.stepping_down ? entry.backup : entry.primary].primaries;
        if (entry.backup && !entry.catching_up) ++loads[entry.backup].roles;
        if (entry.catching_up) ++loads[entry.catching_up].roles;
    }
    return loads;
}

// Prefers holders that aren't leaving, then another zone than the primary's, then the fewest shards. A
// leaving holder is better than no backup. Zero: there is no candidate.
SessionId ShardMapPlanner::choose(const std::map<SessionId, HolderLoad>& loads, const ShardAssignment& entry,
                                  Candidates from) const {
    SessionId best = 0;
    std::tuple<bool, bool, std::size_t> best_rank;
    for (const auto& [session, load] : loads) {
        bool leaving = map_.holders.at(session).leaving;
        bool same = entry.primary != 0 && !in_different_zones(session, entry.primary);
        if (session == entry.primary || session == entry.backup || (leaving && from != Candidates::Any) ||
            (same && from == Candidates::OtherZone))
            continue;
        std::tuple rank(leaving, same, load.roles);
        if (best == 0 || rank < best_rank) best = session, best_rank = rank;
    }
    return best;
}

void ShardMapPlanner::rebalance() {
    while (rebalance_once(false)) {
    }
    // Each call starts one move, or finds none.
    while (rebalance_once(true)) {
    }
}

/// Fills vacant roles, or starts one move if `may_move`. False: no further call is needed.
bool ShardMapPlanner::rebalance_once(bool may_move) {
    std::map<SessionId, HolderLoad> load = loads();
    if (load.empty()) return false;
    if (!may_move) {
        std::size_t repairs_running = 0;
        for (const ShardAssignment& entry : map_.entries)
            repairs_running += entry.catching_up != 0 && entry.backup == 0;
        for (ShardAssignment& entry : map_.entries) {
            if (entry.primary == 0) {
                SessionId session = choose(load, entry, Candidates::Any);
                if (session == 0) continue;
                entry.primary = session;
                entry.lost = entry.origin != 0;
                bump_view(entry);
                entry.origin = entry.view;
                ++load[session].roles;
            }
            if (entry.backup == 0 && entry.catching_up == 0 && repairs_running < set_.max_repairs) {
                SessionId session = choose(load, entry, Candidates::Any);
                if (session == 0) continue;
                entry.catching_up = session;
                bump_view(entry);
                entry.catching_up_since = entry.view;
                ++load[session].roles, ++repairs_running;
            }
        }
        return false;
    }
    std::size_t moving = 0;
    bool repairing = false;
    for (const ShardAssignment& entry : map_.entries) {
        moving += (entry.catching_up != 0 && entry.backup != 0) || entry.stepping_down;
        repairing |= entry.backup == 0;
    }
    if (moving >= set_.max_moves) return false;
    auto is_stable = [](const ShardAssignment& entry) {
        return entry.backup != 0 && entry.catching_up == 0 && !entry.stepping_down;
    };
    auto start_catch_up = [&](ShardAssignment& entry, SessionId session) {
        entry.catching_up = session;
        bump_view(entry);
        entry.catching_up_since = entry.view;
        return true;
    };
    auto start_step_down = [&](ShardAssignment& entry) {  // the roles stay until the primary has stepped down
        entry.stepping_down = true;
        ++map_.number;
        return true;
    };
    // Shards with both holders in one zone, and shards of leaving holders.
    for (ShardAssignment& entry : map_.entries) {
        if (!is_stable(entry)) continue;
        const HolderInfo &primary = map_.holders.at(entry.primary), &backup = map_.holders.at(entry.backup);
        if (backup.leaving || !in_different_zones(entry.primary, entry.backup)) {
            SessionId session =
                choose(load, entry, backup.leaving ? Candidates::NotLeaving : Candidates::OtherZone);
            if (session != 0) return start_catch_up(entry, session);
        }
        if (primary.leaving && !backup.leaving) return start_step_down(entry);
    }
    if (repairing) return false;
    // Balances the number of shards per holder, then of primaries.
    SessionId most_loaded = 0, least_loaded = 0;
    for (const auto& [session, l] : load) {
        if (map_.holders.at(session).leaving) continue;
        if (most_loaded == 0 || l.roles > load[most_loaded].roles) most_loaded = session;
        if (least_loaded == 0 || l.roles < load[least_loaded].roles) least_loaded = session;
    }
    if (most_loaded != 0 && load[most_loaded].roles >= load[least_loaded].roles + 2) {
        for (ShardAssignment& entry : map_.entries)
            if (is_stable(entry) && entry.backup == most_loaded && entry.primary != least_loaded &&
                in_different_zones(entry.primary, least_loaded))
                return start_catch_up(entry, least_loaded);
        for (ShardAssignment& entry : map_.entries)
            if (is_stable(entry) && entry.primary == most_loaded && entry.backup != least_loaded &&
                in_different_zones(entry.backup, least_loaded) &&
                load[most_loaded].primaries > load[entry.backup].primaries)
                return start_step_down(entry);
    }
    for (ShardAssignment& entry : map_.entries)
        if (is_stable(entry) && !map_.holders.at(entry.backup).leaving &&
            load[entry.primary].primaries >= load[entry.backup].primaries + 2)
            return start_step_down(entry);
    return false;
}

std::string ShardMapPlanner::session_update(SessionId) const {
    if (encoded_number_ != map_.number) {
        encoded_map_ = encode(map_);
        encoded_number_ = map_.number;
    }
    return encoded_map_;
}

std::string ShardMapPlanner::snapshot() const {
    wire::Snapshot out;
    to_wire_map(map_, *out.mutable_map());
    for (const auto& [id, member] : sessions_) {
        auto& s = *out.add_sessions();
        s.set_id(id);
        s.set_name(member.name);
        s.set_zone(member.zone);
    }
    return out.SerializeAsString();
}

bool ShardMapPlanner::restore(std::uint32_t of, std::string_view bytes) {
    wire::Snapshot in;
    ShardMap map;
    if (of != schema() || !in.ParseFromArray(bytes.data(), int(bytes.size())) ||
        !from_wire_map(in.map(), map) || map.entries.size() != set_.shard_count)
        return false;
    for (const ShardAssignment& entry : map.entries)
        for (SessionId session : {entry.primary, entry.backup, entry.catching_up})
            if (session != 0 && !map.holders.contains(session)) return false;
    map_ = std::move(map);
    sessions_.clear();
    for (const auto& s : in.sessions()) sessions_[s.id()] = {s.name(), s.zone()};
    encoded_number_ = ~0ull;
    return true;
}

}  // namespace ochrehub::shards
