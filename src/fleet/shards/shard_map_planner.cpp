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
bool decode(std::string_view octets, ShardMap& map) {
    wire::Map in;
    return in.ParseFromArray(octets.data(), int(octets.size())) && in.entries_size() > 0 &&
           from_wire_map(in, map);
}

ShardMapPlanner::ShardMapPlanner(const Settings& settings) : set_(settings) {
    map_.entries.resize(set_.shards);
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
            auto process = sessions_.find(command.session);
            const std::string& address = c.offer().address();
            if (process == sessions_.end())
                error = Error::SessionExpired;
            else if (address.empty() || address.size() > set_.address)
                error = Error::Malformed;
            else if (!map_.holders.contains(command.session) && map_.holders.size() >= set_.holders)
                error = Error::Full;
            else if (HolderInfo place{process->second.name, process->second.zone, address, false};
                     !map_.holders.contains(command.session) || map_.holders.at(command.session) != place) {
                map_.holders[command.session] = std::move(place);
                ++map_.number;
            }
            break;
        }
        case wire::Command::kLeave: {
            SessionId who = c.leave().session() ? c.leave().session() : command.session;
            auto holder = map_.holders.find(who);
            if (command.session != 0 && command.session != who)
                error = Error::Malformed;  // only operators speak for others
            else if (holder == map_.holders.end())
                error = Error::SessionExpired;
            else if (!holder->second.leaving)
                holder->second.leaving = true, ++map_.number;
            break;
        }
        case wire::Command::kFilled:
        case wire::Command::kYielded: {
            bool filled = c.what_case() == wire::Command::kFilled;
            const wire::Command::Change& change = filled ? c.filled() : c.yielded();
            if (change.shard() >= map_.entries.size()) {
                error = Error::Malformed;
                break;
            }
            ShardAssignment& entry = map_.entries[change.shard()];
            if (entry.view != change.view())
                error = Error::OlderView;
            else if (entry.primary != command.session || command.session == 0)
                error = Error::NotPrimary;
            else if (filled ? entry.catching_up == 0 : entry.backup == 0 || !entry.stepping_down)
                error = Error::Malformed;
            else if (filled) {
                entry.backup = std::exchange(entry.catching_up, 0);
                entry.backup_since = std::exchange(entry.catching_up_since, 0);
                changed(entry);
            } else {
                std::swap(entry.primary, entry.backup);
                entry.stepping_down = false;
                changed(entry);
                entry.backup_since = entry.view;
            }
            break;
        }
        case wire::Command::WHAT_NOT_SET:
            error = Error::Malformed;
    }
    if (!error) settle();
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
        if (entry.catching_up == session) entry.catching_up = 0, changed(entry);
        if (entry.backup == session) entry.backup = 0, entry.stepping_down = false, changed(entry);
        if (entry.primary != session) continue;
        entry.primary = std::exchange(entry.backup, 0);
        entry.stepping_down = false;
        if (entry.primary == 0) entry.catching_up = 0;  // it has a part alone, and of what nobody can say
        changed(entry);
    }
    for (ShardAssignment& entry : map_.entries) {
        if (entry.backup == 0) entry.backup_since = 0;
        if (entry.catching_up == 0) entry.catching_up_since = 0;
    }
    settle();
}

std::map<SessionId, ShardMapPlanner::Load> ShardMapPlanner::loads() const {
    std::map<SessionId, Load> loads;
    for (const auto& [session, place] : map_.holders) loads[session];
    for (const ShardAssignment& entry : map_.entries) {
        // As it will be when what is under way is over: else each plan would be made again until the first is
        // carried out.
        if (entry.primary)
            ++loads[entry.primary].roles, ++loads[entry.stepping_down ? entry.backup : entry.primary].firsts;
        if (entry.backup && !entry.catching_up) ++loads[entry.backup].roles;
        if (entry.catching_up) ++loads[entry.catching_up].roles;
    }
    return loads;
}

// One that stays before one that leaves, one in another zone than the first before one in the same, the one
// with the fewest shards. One that leaves is better than no second holder at all.
SessionId ShardMapPlanner::choose(const std::map<SessionId, Load>& loads, const ShardAssignment& entry,
                                  From from) const {
    SessionId best = 0;
    std::tuple<bool, bool, std::size_t> best_rank;
    for (const auto& [session, load] : loads) {
        bool leaving = map_.holders.at(session).leaving;
        bool same = entry.primary != 0 && !apart(session, entry.primary);
        if (session == entry.primary || session == entry.backup || (leaving && from != From::Anybody) ||
            (same && from == From::OtherZone))
            continue;
        std::tuple rank(leaving, same, load.roles);
        if (best == 0 || rank < best_rank) best = session, best_rank = rank;
    }
    return best;
}

void ShardMapPlanner::settle() {
    while (settle_once(false)) {
    }
    // Each plan lets one move begin or finds none.
    while (settle_once(true)) {
    }
}

/// One change; false: there is none to be made now.
bool ShardMapPlanner::settle_once(bool plan) {
    std::map<SessionId, Load> load = loads();
    if (load.empty()) return false;
    if (!plan) {
        std::size_t filling = 0;
        for (const ShardAssignment& entry : map_.entries)
            filling += entry.catching_up != 0 && entry.backup == 0;
        for (ShardAssignment& entry : map_.entries) {
            if (entry.primary == 0) {
                SessionId who = choose(load, entry, From::Anybody);
                if (who == 0) continue;
                entry.primary = who;
                entry.lost = entry.origin != 0;
                changed(entry);
                entry.origin = entry.view;
                ++load[who].roles;
            }
            if (entry.backup == 0 && entry.catching_up == 0 && filling < set_.repairs) {
                SessionId who = choose(load, entry, From::Anybody);
                if (who == 0) continue;
                entry.catching_up = who;
                changed(entry);
                entry.catching_up_since = entry.view;
                ++load[who].roles, ++filling;
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
    if (moving >= set_.moves) return false;
    auto still = [](const ShardAssignment& entry) {
        return entry.backup != 0 && entry.catching_up == 0 && !entry.stepping_down;
    };
    auto fill = [&](ShardAssignment& entry, SessionId who) {
        entry.catching_up = who;
        changed(entry);
        entry.catching_up_since = entry.view;
        return true;
    };
    auto yield = [&](ShardAssignment& entry) {  // the holders stay what they are until the first has stopped
        entry.stepping_down = true;
        ++map_.number;
        return true;
    };
    // Zones, and those who leave.
    for (ShardAssignment& entry : map_.entries) {
        if (!still(entry)) continue;
        const HolderInfo &first = map_.holders.at(entry.primary), &second = map_.holders.at(entry.backup);
        if (second.leaving || !apart(entry.primary, entry.backup)) {
            SessionId who = choose(load, entry, second.leaving ? From::WhoStays : From::OtherZone);
            if (who != 0) return fill(entry, who);
        }
        if (first.leaving && !second.leaving) return yield(entry);
    }
    if (repairing) return false;
    // Equal numbers of shards, then of first places.
    SessionId most = 0, least = 0;
    for (const auto& [session, l] : load) {
        if (map_.holders.at(session).leaving) continue;
        if (most == 0 || l.roles > load[most].roles) most = session;
        if (least == 0 || l.roles < load[least].roles) least = session;
    }
    if (most != 0 && load[most].roles >= load[least].roles + 2) {
        for (ShardAssignment& entry : map_.entries)
            if (still(entry) && entry.backup == most && entry.primary != least && apart(entry.primary, least))
                return fill(entry, least);
        for (ShardAssignment& entry : map_.entries)
            if (still(entry) && entry.primary == most && entry.backup != least &&
                apart(entry.backup, least) && load[most].firsts > load[entry.backup].firsts)
                return yield(entry);
    }
    for (ShardAssignment& entry : map_.entries)
        if (still(entry) && !map_.holders.at(entry.backup).leaving &&
            load[entry.primary].firsts >= load[entry.backup].firsts + 2)
            return yield(entry);
    return false;
}

std::string ShardMapPlanner::session_update(SessionId) const {
    if (news_number_ != map_.number) {
        news_ = encode(map_);
        news_number_ = map_.number;
    }
    return news_;
}

std::string ShardMapPlanner::snapshot() const {
    wire::Snapshot out;
    to_wire_map(map_, *out.mutable_map());
    for (const auto& [id, process] : sessions_) {
        auto& s = *out.add_sessions();
        s.set_id(id);
        s.set_name(process.name);
        s.set_zone(process.zone);
    }
    return out.SerializeAsString();
}

bool ShardMapPlanner::restore(std::uint32_t of, std::string_view bytes) {
    wire::Snapshot in;
    ShardMap map;
    if (of != schema() || !in.ParseFromArray(bytes.data(), int(bytes.size())) ||
        !from_wire_map(in.map(), map) || map.entries.size() != set_.shards)
        return false;
    for (const ShardAssignment& entry : map.entries)
        for (SessionId who : {entry.primary, entry.backup, entry.catching_up})
            if (who != 0 && !map.holders.contains(who)) return false;
    map_ = std::move(map);
    sessions_.clear();
    for (const auto& s : in.sessions()) sessions_[s.id()] = {s.name(), s.zone()};
    news_number_ = ~0ull;
    return true;
}

}  // namespace ochrehub::shards
