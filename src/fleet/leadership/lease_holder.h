// The process's side of duties, as a core without I/O: what it may do under which epoch, by its session with
// the keepers and its own clock. Whoever runs it hands in the session's events and carries out what it says;
// what is done under a duty asks `may` before each effect, bears the epoch, and is refused by the receiver's
// fence where the epoch is old.
//
// - It stops a margin before the session's end by its own clock, whatever else happens.
// - Behind a pause it looks at the clock before it takes in anything: the first thing said is Stop.
// - It is handed over only at rest: behind Stop it waits for Stopped, and only then tells the keepers.
// Times are the process's monotonic clock. Not for several threads at once.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fleet/leadership/lease_state_machine.h"

namespace ochrehub::leadership {

struct OwnerSettings {
    Duration margin{80};  ///< before the session's end: a hundredth of the lease and 50 ms; zero where the
                          ///< session's `until` has it
    Duration again{
        500};  ///< a command that was not answered is said again; zero: whoever carries it sees to that
};

enum class Why {
    Lease,     ///< the session's end is near by this clock
    Lost,      ///< the session is over
    GiveBack,  ///< another is to have it
    Unwanted,  ///< this process wants it no more, or leaves
    Taken,     ///< the keepers say that it is another's, or over
};
std::string_view name(Why why);

// ---- What happens
struct SessionHeld {  ///< opened or renewed: counted from before it was asked for
    SessionId session = 0;
    TimePoint until{};
};
struct SessionLost {};
struct Heard {  ///< what LeaseStateMachine::news said to this session; it may be late, doubled, out of order
    SessionId session = 0;
    std::string news;
};
struct Answered {  ///< the answer to Say of this number
    std::uint64_t number = 0;
    std::string answer;
};
struct WantDuty {
    std::string name;
    std::uint32_t weight = 1;
};
struct UnwantDuty {
    std::string name;
};
struct Stopped {  ///< what was begun under this epoch has come to rest: nothing is on its way any more that
                  ///< it would send again
    std::string name;
    Epoch epoch = 0;
};
struct JobDone {  ///< by its owner: all of it is done, at rest, and never to be done again
    std::string name;
    Epoch epoch = 0;
};
struct Told {  ///< behind Retire: every receiver of this job has answered
    std::string name;
    Epoch epoch = 0;
};
struct HandBack {  ///< by its owner: it cannot do it here and now; another may, else it comes again
    std::string name;
    Epoch epoch = 0;
};
struct Leave {};  ///< the process is going: all is stopped and handed over
struct Woken {};
using OwnerEvent = std::variant<SessionHeld, SessionLost, Heard, Answered, WantDuty, UnwantDuty, Stopped,
                                JobDone, Told, HandBack, Leave, Woken>;

// ---- What is to be done about it
struct Begin {
    std::string name;
    Epoch epoch = 0;
};
struct Stop {  ///< each Begin and Retire may have one, and each is answered by Stopped
    std::string name;
    Epoch epoch = 0;
    Why why{};
};
struct Say {  ///< to the machine of duties, under this session
    std::uint64_t number = 0;
    SessionId session = 0;
    std::string command;
};
struct Refused {  ///< the keepers take no want of it
    std::string name;
    Error error{};
};
struct Retire {  ///< the keepers have written down that the job has ended: receivers are told `retire` under
                 ///< this epoch, then Told
    std::string name;
    Epoch epoch = 0;
};
struct Left {};  ///< nothing is owned any more, and the keepers know it
struct WakeAt {  ///< replaces what was asked for before
    TimePoint at{};
};
using OwnerAction = std::variant<Begin, Stop, Say, Refused, Retire, Left, WakeAt>;
using OwnerActions = std::vector<OwnerAction>;

class Owner {
public:
    explicit Owner(const OwnerSettings& settings = {}) : set_(settings) {}

    void handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions);

    /// Before each effect: the epoch that it bears. None: not now. The clock is this moment's, not the
    /// turn's.
    std::optional<Epoch> may(TimePoint now, std::string_view duty) const;
    SessionId session() const { return session_; }
    std::size_t running() const;

private:
    struct Work {
        Epoch epoch = 0;
        bool stopping = false;  ///< Stop was said, Stopped not yet
        bool give_up = false;   ///< at rest it is handed over
        bool ended = false;     ///< a job of which receivers are told, and nothing is done
    };
    struct Wish {
        std::uint32_t weight = 1;
        bool told = false;  ///< it was said under this session
    };
    struct Waiting {
        std::string command, name;
        enum class Kind { Want, Unwant, GiveUp, End, Over } kind{};
        Epoch epoch = 0;
        TimePoint again{};
    };
    using Works = std::map<std::string, Work, std::less<>>;

    void look_at_clock(TimePoint now, OwnerActions& actions);
    void held(TimePoint now, const SessionHeld& event, OwnerActions& actions);
    void lost(OwnerActions& actions);
    void heard(TimePoint now, const Heard& event, OwnerActions& actions);
    void answered(TimePoint now, const Answered& event, OwnerActions& actions);
    void job_done(TimePoint now, const JobDone& event, OwnerActions& actions);
    void told(TimePoint now, const Told& event, OwnerActions& actions);
    void unwant(TimePoint now, std::string_view duty, OwnerActions& actions);
    void stopped(TimePoint now, const Stopped& event, OwnerActions& actions);
    void stop(Works::iterator it, Why why, OwnerActions& actions);
    void say(TimePoint now, Waiting waiting, OwnerActions& actions);
    void wish(TimePoint now, OwnerActions& actions);
    void see_whether_left(OwnerActions& actions);
    bool lease(TimePoint now) const { return session_ != 0 && now < until_ - set_.margin; }

    OwnerSettings set_;
    SessionId session_ = 0, past_ = 0;  ///< past_: the last one that was lost: nothing of it counts any more
    TimePoint until_{};
    std::uint64_t revision_ = 0, numbers_ = 0;
    bool leaving_ = false, left_ = false;
    std::map<std::string, Wish, std::less<>> wishes_;
    Works works_;
    std::map<std::uint64_t, Waiting> waiting_;
    std::map<std::string, Epoch, std::less<>> given_up_;  ///< under this session: late news of these is none
};

}  // namespace ochrehub::leadership
