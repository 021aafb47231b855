// Which candidate holds a role, and when a lease is requested back so that roles spread over the candidates.
//
// Load of a session: the number of roles that it holds divided by its weight for the role at hand.
// - Next holder: the candidate whose load would be lowest with one role more; among equals the older session.
// - A lease moves if the other candidate's load with one more is not above the holder's with one less. Of one
//   holder an eighth of its roles is requested at a time: where they go shows only once they have moved.
#include <algorithm>

#include "fleet/leadership/lease_state_machine.h"

namespace ochrehub::leadership {

namespace {

/// At most 1 + held / kReleaseFraction releases are requested of one holder at a time.
constexpr std::size_t kReleaseFraction = 8;

}  // namespace

void LeaseStateMachine::clear_holder(std::string_view name, Role& role) {
    auto holder = sessions_.find(role.holder);
    if (holder != sessions_.end()) {
        auto held = holder->second.held_roles.find(name);
        if (held != holder->second.held_roles.end()) holder->second.held_roles.erase(held);
        if (role.release_requested) --holder->second.requested_releases;
    }
    role.holder = 0;
    role.release_requested = false;
}

void LeaseStateMachine::request_release(Role& role) {
    role.release_requested = true;
    ++sessions_.at(role.holder).requested_releases;
    ++revision_;
}

/// Chooses the next holder of a role that has none, under a new epoch. Without candidates it stays without.
void LeaseStateMachine::grant(std::string_view name, Role& role) {
    SessionId best = 0;
    std::uint64_t best_held = 0;
    std::uint64_t best_weight = 1;
    for (auto [session, weight] : role.candidates) {  // the older session first
        auto found = sessions_.find(session);
        if (found == sessions_.end()) continue;
        const std::uint64_t held = found->second.held_roles.size() + 1;
        if (best != 0 && held * best_weight >= best_held * weight) continue;
        best = session;
        best_held = held;
        best_weight = weight;
    }
    role.holder = best;
    if (best == 0) return;
    role.epoch = ++last_epoch_;
    sessions_.at(best).held_roles.emplace(name);
}

bool LeaseStateMachine::improves_balance(const Role& role, SessionId other, std::uint32_t weight) const {
    auto holder_candidacy = role.candidates.find(role.holder);
    auto holder = sessions_.find(role.holder);
    auto receiver = sessions_.find(other);
    if (holder_candidacy == role.candidates.end() || holder == sessions_.end() || receiver == sessions_.end())
        return false;
    const std::size_t held = holder->second.held_roles.size();
    const std::size_t requested = holder->second.requested_releases;
    if (other == role.holder || role.release_requested || requested > held / kReleaseFraction) return false;
    const std::uint64_t holder_after = held - requested - 1;
    const std::uint64_t receiver_after = receiver->second.held_roles.size() + 1;
    return receiver_after * holder_candidacy->second <= holder_after * weight;
}

void LeaseStateMachine::rebalance_all() {
    for (auto& [name, role] : roles_)
        for (auto [candidate, weight] : role.candidates)
            if (improves_balance(role, candidate, weight)) {
                request_release(role);
                break;
            }
}

/// `receiver` holds one role less: another holder's may move to it.
void LeaseStateMachine::request_one_release_for(SessionId receiver) {
    for (auto& [name, role] : roles_) {
        auto candidacy = role.candidates.find(receiver);
        if (candidacy == role.candidates.end()) continue;
        if (improves_balance(role, receiver, candidacy->second)) return request_release(role);
    }
}

/// `holder` holds one role more, or owes one release less: one of its roles may move away.
void LeaseStateMachine::request_one_release_from(SessionId holder) {
    auto found = sessions_.find(holder);
    if (found == sessions_.end()) return;
    for (const std::string& name : found->second.held_roles) {
        Role& role = roles_.find(name)->second;
        for (auto [candidate, weight] : role.candidates)
            if (improves_balance(role, candidate, weight)) return request_release(role);
    }
}

}  // namespace ochrehub::leadership
