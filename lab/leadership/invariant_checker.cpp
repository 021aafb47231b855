#include "lab/leadership/invariant_checker.h"

#include <algorithm>
#include <compare>
#include <map>

namespace ochrehub::lab::leadership {

namespace {

struct RoleAndNumber {
    std::string role;
    std::uint64_t number = 0;  ///< an item, an epoch or a receiver
    friend auto operator<=>(const RoleAndNumber&, const RoleAndNumber&) = default;
};

struct LeaseTerm {
    std::string role;
    std::uint64_t epoch = 0;
    std::size_t sender = 0;
    friend auto operator<=>(const LeaseTerm&, const LeaseTerm&) = default;
};

std::string violation(const char* what, const Effect& effect) {
    const int at_ms = int(effect.at.time_since_epoch().count());
    return std::string(what) + ": " + effect.role + " item " + std::to_string(effect.item) + " under epoch " +
           std::to_string(effect.epoch) + " at receiver " + std::to_string(effect.receiver) + ", from " +
           std::to_string(effect.sender) + ", at " + std::to_string(at_ms) + " ms";
}

void check_effects(const EffectLog& log, std::vector<std::string>& violations) {
    std::map<RoleAndNumber, std::size_t> times_done;         // by item
    std::map<RoleAndNumber, std::size_t> senders;            // by epoch
    std::map<RoleAndNumber, std::uint64_t> receiver_epochs;  // by receiver
    std::map<std::string, std::uint64_t> epochs;
    for (const Effect& effect : log.effects) {
        if (++times_done[{effect.role, effect.item}] > 1)
            violations.push_back(violation("done twice", effect));
        std::uint64_t& at_receiver = receiver_epochs[{effect.role, effect.receiver}];
        std::uint64_t& anywhere = epochs[effect.role];
        if (effect.epoch < at_receiver)
            violations.push_back(violation("after a newer holder's at this receiver", effect));
        else if (effect.epoch < anywhere)
            violations.push_back(violation("after a newer holder's at another receiver", effect));
        at_receiver = std::max(at_receiver, effect.epoch);
        anywhere = std::max(anywhere, effect.epoch);
        auto [sender, is_new] = senders.try_emplace({effect.role, effect.epoch}, effect.sender);
        if (!is_new && sender->second != effect.sender)
            violations.push_back(violation("two holders under one epoch", effect));
    }
}

void check_rejected(const EffectLog& log, const CheckerSettings& settings,
                    std::vector<std::string>& violations) {
    std::map<LeaseTerm, std::size_t> late;
    for (const RejectedEffect& effect : log.rejected) {
        if (effect.superseded_for <= settings.max_transit) continue;
        if (++late[{effect.role, effect.epoch, effect.sender}] != settings.max_late_effects + 1) continue;
        violations.push_back("did not stop: " + effect.role + " under epoch " + std::to_string(effect.epoch) +
                             " from " + std::to_string(effect.sender) + ", " +
                             std::to_string(int(effect.superseded_for.count())) + " ms after a newer holder");
    }
}

}  // namespace

std::vector<std::string> check_invariants(const EffectLog& log, const CheckerSettings& settings) {
    std::vector<std::string> violations;
    check_effects(log, violations);
    check_rejected(log, settings, violations);
    for (const std::string& item : log.undone) violations.push_back("undone: " + item);
    return violations;
}

}  // namespace ochrehub::lab::leadership
