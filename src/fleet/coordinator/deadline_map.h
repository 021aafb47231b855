// Deadlines by key, in order of time: what a leader counts for sessions and for timeouts. Has no clock of its
// own. Not thread safe.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>

#include "ochrehub/balancer.h"

namespace ochrehub::coordinator {

template <class Key>
class DeadlineMap {
public:
    struct Deadline {
        TimePoint at;
        std::uint64_t revision = 0;  ///< of a state machine's timeout
        bool is_expiring = false;    ///< its expiry is proposed, and not committed yet
    };

    /// Starts the deadline, or restarts it.
    void set(const Key& key, TimePoint at, std::uint64_t revision = 0) {
        erase(key);
        by_key_[key] = {at, revision, false};
        by_time_.insert({at, key});
    }

    void erase(const Key& key) {
        auto found = by_key_.find(key);
        if (found == by_key_.end()) return;
        by_time_.erase({found->second.at, key});
        by_key_.erase(found);
    }

    /// Null: there is none. Valid until the next change.
    const Deadline* find(const Key& key) const {
        auto found = by_key_.find(key);
        return found == by_key_.end() ? nullptr : &found->second;
    }

    /// The key stays, and its deadline no longer passes. The key must be there.
    void mark_expiring(const Key& key) {
        Deadline& deadline = by_key_.at(key);
        by_time_.erase({deadline.at, key});
        deadline.is_expiring = true;
    }

    void clear() {
        by_key_.clear();
        by_time_.clear();
    }

    /// TimePoint::max(): there is none.
    TimePoint next_at() const { return by_time_.empty() ? TimePoint::max() : by_time_.begin()->at; }
    /// The key of the next deadline; there must be one.
    const Key& next_key() const { return by_time_.begin()->key; }

    void postpone_all(Duration by) {
        by_time_.clear();
        for (auto& [key, deadline] : by_key_) {
            deadline.at += by;
            if (!deadline.is_expiring) by_time_.insert({deadline.at, key});
        }
    }

    template <class Predicate>
    void erase_if(Predicate&& is_gone) {
        for (auto next = by_key_.begin(); next != by_key_.end();) {
            auto current = next++;
            if (!is_gone(current->first)) continue;
            by_time_.erase({current->second.at, current->first});
            by_key_.erase(current);
        }
    }

private:
    struct Entry {
        TimePoint at;
        Key key;
        // NOLINTNEXTLINE(modernize-use-nullptr): false alarm on a defaulted <=>
        friend auto operator<=>(const Entry&, const Entry&) = default;
    };
    std::map<Key, Deadline> by_key_;
    std::set<Entry> by_time_;  // of all that are not expiring
};

}  // namespace ochrehub::coordinator
