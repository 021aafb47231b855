// When a node asks discovery for the list, and when it takes a call for lost: a core without I/O, under the
// watcher on sockets and under the lab's. It says which calls to make and to drop; what lists say it does not
// read.
//
// The clock it holds, from the rules: whatever else is allowed behind a call that failed, was refused or
// given up, a change counts as told 6 s after discovery had it and could be reached; how soon after that
// nothing may be sent to a server that drains is the settings', and may be next to nothing. A call made at
// `t` is therefore taken for silent at t + wait + late, and asked anew within `spread` beside it: with half a
// second for the answer that is less than 6 s, whatever the moment of its silence. What discovery refuses (a
// 503, a reset) is told to the module, which asks again in its own time, spread over the fleet and inside the
// same 6 s.
#pragma once

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "ochrehub/balancer.h"

namespace ochrehub::discovery {

using CallNo = std::uint64_t;  ///< of a call, from 1 on; never given twice

struct WatchSettings {
    Duration wait{3600};     ///< what a watch asks for
    Duration late{400};      ///< how much later its answer may come before it counts as silent
    Duration first{2500};    ///< for the whole list, which may wait in discovery's queue
    Duration connect{1000};  ///< after which a connection that is not up has not been heard at all
    Duration spread{
        500};  ///< repeats wait up to this, so that a fleet that notices at once does not call at once
    Duration persist{8000};  ///< behind the silent watch's wait, how long it asks again by itself
};

// ---- What happens
struct Known {  ///< the list that the node was started with
    std::uint64_t revision = 0;
};
struct Asked {};  ///< the module wants to hear of changes
struct Moved {};  ///< to another address, whose revisions mean nothing here
struct Answered {
    CallNo call = 0;
    std::uint64_t revision = 0;
    bool whole = false;  ///< the list, not changes alone
};
enum class End {
    Refused,  ///< discovery, or its machine, said no: 503, a reset, a connection turned away
    Unheard,  ///< the connection did not come up; it may have been refused
    Spoilt,   ///< an answer that cannot be read
};
struct Ended {
    CallNo call = 0;
    End how{};
};
struct WatchWoken {};
using WatchEvent = std::variant<Known, Asked, Moved, Answered, Ended, WatchWoken>;

// ---- What is to be done about it
struct MakeCall {
    CallNo call = 0;
    std::optional<std::uint64_t> index;  ///< none: the whole list, at once
    Duration wait{};
};
struct DropCall {
    CallNo call = 0;
};
struct TakeList {};    ///< of the Answered just handed in: it counts
struct TellFailed {};  ///< nothing is out: the module asks again
struct WatchWakeAt {   ///< replaces what was asked for before
    TimePoint at;
};
using WatchAction = std::variant<MakeCall, DropCall, TakeList, TellFailed, WatchWakeAt>;
using WatchActions = std::vector<WatchAction>;

class Watch {
public:
    Watch(const WatchSettings& settings, std::uint64_t seed)
        : set_(settings), random_(unsigned(seed ^ (seed >> 32)) | 1) {}

    void handle(TimePoint now, const WatchEvent& event, WatchActions& actions);

    std::uint64_t silences() const { return silences_; }

private:
    void on(const Known& e) { revision_ = e.revision, has_list_ = true; }
    void on(const Asked&);
    void on(const Moved&);
    void on(const Answered& e);
    void on(const Ended& e);
    void on(const WatchWoken&);

    void call();
    void drop(CallNo& call);
    void ask_again(Duration least);
    void silent(TimePoint since);
    void fail();
    double uniform() { return double(random_()) * 0x1p-32; }

    WatchSettings set_;
    boost::random::taus88 random_;
    TimePoint now_{};
    WatchActions* actions_ = nullptr;

    bool has_list_ = false, calling_ = false;
    std::uint64_t revision_ = 0, silences_ = 0;
    CallNo last_ = 0, out_ = 0,
           kept_ = 0;  // kept: an earlier call, whose answer still counts until a later one is there
    bool kept_elsewhere_ = false;  // ... at the address before this one
    int spoilt_ = 0;
    TimePoint began_{}, limit_ = TimePoint::max(), again_ = TimePoint::max();
    std::optional<TimePoint>
        silent_since_;  // when the watch was asked that has fallen silent, with nothing heard since
};

}  // namespace ochrehub::discovery
