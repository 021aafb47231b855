// Who owns the duty "list": watches discovery for the whole tier and reports to the keepers' machine
// (list.h). A core without I/O: one question to discovery or one report is out at a time, and none is asked
// before the round that it is to close is known. Times are the process's monotonic clock. Not for several
// threads at once.
#pragma once

#include <variant>

#include "fleet/leadership/endpoint_list.h"

namespace ochrehub::leadership::endpoint_list {

struct OwnerSettings {
    Duration wait{2000};  ///< what a watch asks for: so often nodes hear that the list still stands
    Duration late{2500};  ///< how much later discovery may answer
    Duration again{
        500};  ///< a report that was not answered is said again; zero: whoever carries it sees to that
    Duration first{250}, most{1200};  ///< behind a failed question
    Duration patience{2500};          ///< discovery has answered nothing for so long: another may reach it
};

// ---- What happens
struct Began {  ///< leadership::Begin
    Epoch epoch = 0;
};
struct Halted {};  ///< leadership::Stop
struct Told {      ///< discovery's answer to Watch of this number
    std::uint64_t call = 0;
    Listing listing;
};
struct Failed {
    std::uint64_t call = 0;
};
struct Answered {  ///< the machine's, to Say of this number
    std::uint64_t number = 0;
    std::string answer;
};
struct OwnerWoken {};
using OwnerEvent = std::variant<Began, Halted, Told, Failed, Answered, OwnerWoken>;

// ---- What is to be done about it
struct Watch {  ///< in the place of a question that is out
    std::uint64_t call = 0;
    std::optional<std::uint64_t> index;  ///< changes since; none: the whole list
    Duration wait{};
};
/// Discovery has told this node itself: it goes by it at once, whatever becomes of the report (OwnTold to its
/// Follower).
struct UseTold {
    Listing listing;
};
struct DropWatch {};
struct Say {
    std::uint64_t number = 0;
    std::string command;
};
struct GiveBack {};  ///< leadership::HandBack: discovery is not to be reached from here, or another has it
struct AtRest {};    ///< leadership::Stopped
struct OwnerWakeAt {
    TimePoint at{};
};
using OwnerAction = std::variant<Watch, UseTold, DropWatch, Say, GiveBack, AtRest, OwnerWakeAt>;
using OwnerActions = std::vector<OwnerAction>;

class Owner {
public:
    explicit Owner(const OwnerSettings& settings = {}) : set_(settings) {}
    void handle(TimePoint now, const OwnerEvent& event, OwnerActions& actions);

private:
    enum class Phase { Idle, Saying, Asking, Waiting, GivenBack };
    void begin(TimePoint now, Epoch epoch, OwnerActions& actions);
    void say(TimePoint now, std::string command, OwnerActions& actions);
    void ask(TimePoint now, OwnerActions& actions);
    void failed(TimePoint now, OwnerActions& actions);
    void answered(TimePoint now, const Answered& event, OwnerActions& actions);
    void wait_until(TimePoint at, OwnerActions& actions);

    OwnerSettings set_;
    Phase phase_ = Phase::Idle;
    Epoch epoch_ = 0;
    std::uint64_t calls_ = 0, numbers_ = 0, version_ = 0, round_ = 0;
    std::optional<std::uint64_t> index_;
    std::string said_;
    int failures_ = 0;
    TimePoint due_{}, heard_{};  ///< of what is out; when discovery last answered
};

}  // namespace ochrehub::leadership::endpoint_list
