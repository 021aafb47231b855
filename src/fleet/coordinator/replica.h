// One keeper without I/O: Raft, the state that all keepers hold alike, and the leader's own clock for what
// ends. It is handed events with their time and returns what is to be sent, written and answered. Not for two
// threads.
//
// Time. The leader counts a session from after its last renewal, a machine's armed time from when it first
// saw it, and both anew from when it became leader; it proposes their ends. A renewal writes nothing: it is
// answered once the leader knows that it was still leader after it was asked (Raft's read index). So any
// later leader came later than the process asked, and counts from there on. Whoever is about to be ended is
// not renewed any more; and a leader hears of no read before all that leaders before it had proposed is
// decided.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fleet/coordinator/state.h"
#include "fleet/raft/raft.h"

namespace ochrehub::coordinator {

namespace wire {
class Answer;
}

struct ReplicaSettings {
    raft::NodeId self = 0;
    Bounds bounds;
    Duration lease_least{500}, lease_most{60'000};
    std::uint64_t snapshot_entries = 20'000;  ///< a snapshot after so many entries ...
    std::size_t snapshot_octets =
        16 << 20;              ///< ... or so many octets, or as many as the last one had, if that is more
    std::size_t asked = 4096;  ///< asks that wait for their answer; more are told Busy
    Duration look{20};         ///< least time between two looks at what machines have armed
};

/// Raft as this one runs it. In a test something that errs on purpose may stand between.
using Agree = std::function<void(TimePoint, const raft::Event&, raft::Actions&)>;

// ---- What happens
struct Woken {};
struct FromKeeper {
    raft::NodeId from = 0;
    raft::Message message;
};
struct Written {
    std::uint64_t number = 0;
};
struct Asked {              ///< by a process or a command
    std::uint64_t who = 0;  ///< its connection, for the answer
    std::string body;       ///< wire::Ask
};
using ReplicaEvent = std::variant<Woken, FromKeeper, Written, Asked>;

// ---- What is to be done about it
struct Answer {
    std::uint64_t who = 0;
    std::string body;  ///< wire::Answer
};
struct Stop {  ///< nothing else is to be done: this keeper can't go on
    Error error{};
    std::string about;
};
/// Of raft's: Send, Write, Became, MembersAre.
using ReplicaAction = std::variant<raft::SendMessage, raft::Write, raft::RoleChanged, raft::MembershipChanged,
                                   raft::SetTimer, Answer, Stop>;
using ReplicaActions = std::vector<ReplicaAction>;

/// What the leader counts, by key. What is being ended is in it without a time.
template <class Key>
class Deadlines {
public:
    struct One {
        TimePoint at;
        std::uint64_t revision = 0;
        bool ending = false;
    };
    void set(const Key& key, TimePoint at, std::uint64_t revision = 0) {
        erase(key);
        by_key_[key] = {at, revision, false};
        by_time_.emplace(at, key);
    }
    void erase(const Key& key) {
        auto found = by_key_.find(key);
        if (found == by_key_.end()) return;
        by_time_.erase({found->second.at, key});
        by_key_.erase(found);
    }
    const One* find(const Key& key) const {
        auto found = by_key_.find(key);
        return found == by_key_.end() ? nullptr : &found->second;
    }
    void ending(const Key& key) {
        One& one = by_key_.at(key);
        by_time_.erase({one.at, key});
        one.ending = true;
    }
    void clear() { by_key_.clear(), by_time_.clear(); }
    TimePoint next() const { return by_time_.empty() ? TimePoint::max() : by_time_.begin()->first; }
    const Key& first() const { return by_time_.begin()->second; }
    /// All a while later.
    void put_off(Duration by) {
        by_time_.clear();
        for (auto& [key, one] : by_key_) {
            one.at += by;
            if (!one.ending) by_time_.emplace(one.at, key);
        }
    }
    template <class Gone>
    void erase_if(Gone&& gone) {
        for (auto i = by_key_.begin(); i != by_key_.end();) {
            auto each = i++;
            if (!gone(each->first)) continue;
            by_time_.erase({each->second.at, each->first});
            by_key_.erase(each);
        }
    }

private:
    std::map<Key, One> by_key_;
    std::set<std::pair<TimePoint, Key>> by_time_;
};

class Replica {
public:
    /// Begins with Woken. What is on the disk raft hands on.
    Replica(const ReplicaSettings& settings, MakeMachines machines, Agree agree,
            const raft::PersistentState& disk);

    void handle(TimePoint now, const ReplicaEvent& event, ReplicaActions& actions);

    const State& state() const { return state_; }
    raft::Role role() const { return role_; }
    std::uint64_t applied() const { return applied_; }
    std::uint64_t commands() const { return commands_; }    ///< of processes and operators, applied here
    std::uint64_t ended() const { return ended_; }          ///< sessions whose end this one has proposed
    std::uint64_t snapshots() const { return snapshots_; }  ///< taken here

private:
    struct Waiting {  // for an entry to be applied, or for a read
        std::uint64_t who = 0, call = 0;
        enum class What { Open, Do, Close, Renew, Look, Status, Change, SessionOver, Over } what{};
        SessionId session = 0;   // of Renew, SessionOver
        std::string kind, body;  // of Look
        std::uint64_t key = 0, revision = 0;
    };
    using ArmedKey = std::pair<std::size_t, std::uint64_t>;  // machine, key

    void asked(const Asked& ask);
    void refuse(std::uint64_t who, std::uint64_t call, Error error, raft::NodeId hint = 0);
    void propose(std::string entry, Waiting waiting);
    void read(Waiting waiting);
    void raft(raft::Event event) { pending_.push_back(std::move(event)); }
    void work_off();
    void take(raft::Action& action);
    void applied(const raft::ApplyEntry& entry);
    void outcome(const Waiting& waiting, const Outcome& outcome);
    void ready(const Waiting& waiting);
    void rejected(const raft::Rejected& rejected);
    void answer(std::uint64_t who, const wire::Answer& answer);
    void add_news(SessionId id, wire::Answer& to) const;
    void count_anew();
    void count_session(SessionId id);
    void look_at_armed();
    void end_what_is_over();
    void snapshot_if_due();
    void wake();
    bool leads() const { return role_ == raft::Role::Leader; }

    ReplicaSettings set_;
    Agree agree_;
    State state_;
    bool stopped_ = false;

    TimePoint now_{};
    ReplicaActions* out_ = nullptr;

    raft::Role role_ = raft::Role::Follower;
    std::uint64_t term_ = 0;
    raft::NodeId leader_ = 0;
    raft::Members members_;
    bool trusted_ = true;
    std::uint64_t applied_ = 0, snapshot_at_ = 0, next_id_ = 1;
    std::size_t octets_ = 0, snapshot_size_ = 0;
    std::map<std::uint64_t, Waiting> waiting_;
    Deadlines<SessionId> sessions_;
    Deadlines<ArmedKey> armed_;
    std::deque<raft::Event> pending_;
    bool look_due_ = false;
    TimePoint look_at_{}, raft_wake_ = TimePoint::max(), wake_ = TimePoint::max();
    std::uint64_t commands_ = 0, ended_ = 0, snapshots_ = 0;
};

}  // namespace ochrehub::coordinator
