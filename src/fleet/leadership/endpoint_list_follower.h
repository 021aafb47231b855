// A node's side of the agreed list: what of it is used, and when the node goes on to ask discovery itself, as
// a node without keepers does. A core without I/O.
//
// It knows by its own clock as of when its list certainly stands (list.h, rounds). Where that is longer ago
// than `silence`, and behind a part of `spread` that it draws, so that a tier which loses its keepers does
// not ask in one instant, it asks. What discovery then says to it counts at once. It lets that be as soon as
// the agreed list is certainly as of a moment behind the one at which it began to ask, and goes by the agreed
// list again once that is certainly as of a later moment than discovery's last word to it. Times are the
// process's monotonic clock. Not for several threads at once.
#pragma once

#include <variant>

#include "fleet/leadership/endpoint_list.h"

namespace ochrehub::leadership::endpoint_list {

struct FollowerSettings {
    Duration silence{6000};
    Duration spread{5000};  ///< 50 ms a node of the tier, 5 s at the most
    double part = 0;        ///< of the spread, drawn from the node's seed: 0 to 1
};

// ---- What happens
struct Heard {  ///< StateMachine::news, and when the renewal that it answers was asked for
    TimePoint asked{};
    std::string news;
};
struct HeardWhole {  ///< StateMachine::read
    std::string whole;
};
struct OwnTold {
};  ///< discovery has answered this node, as its own watch or as the tier's owner, and it goes by that
struct FollowerWoken {};
using FollowerEvent = std::variant<Heard, HeardWhole, OwnTold, FollowerWoken>;

// ---- What is to be done about it
struct UseWhole {  ///< who is not in it is gone
    Entries entries;
};
struct UseChange {
    Entries put;
    std::vector<std::string> gone;
};
struct Fetch {};    ///< StateMachine::read, at the keepers
struct AskSelf {};  ///< a watch of the node's own, until LetBe
struct LetBe {};    ///< none after the one that is out, whose answer still counts
struct FollowerWakeAt {
    TimePoint at{};
};
using FollowerAction = std::variant<UseWhole, UseChange, Fetch, AskSelf, LetBe, FollowerWakeAt>;
using FollowerActions = std::vector<FollowerAction>;

class Follower {
public:
    Follower(const FollowerSettings& settings, TimePoint start)
        : set_(settings), fresh_(start), own_at_(start) {}

    void handle(TimePoint now, const FollowerEvent& event, FollowerActions& actions);

    bool asks() const { return asking_; }
    TimePoint fresh() const { return fresh_; }  ///< the list that it goes by is as of this moment, or later
    std::uint64_t version() const { return version_; }

private:
    void heard(TimePoint now, const Heard& event, FollowerActions& actions);
    void whole(TimePoint now, const HeardWhole& event, FollowerActions& actions);
    void settle(TimePoint now, FollowerActions& actions);

    FollowerSettings set_;
    TimePoint fresh_, own_at_;
    TimePoint since_{};  ///< when it began to ask by itself
    bool asking_ = false, following_ = false;
    std::uint64_t version_ = 0, told_version_ = 0, told_digest_ = 0, confirmed_ = 0;
    Entries entries_;
    std::uint64_t digest_ = digest({});
    std::deque<std::pair<TimePoint, std::uint64_t>>
        rounds_;  // when a renewal was asked for that told this round as open
};

}  // namespace ochrehub::leadership::endpoint_list
