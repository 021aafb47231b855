// What is seen of a fleet from outside, as events in the order of time: what was done to it, what operators
// are shown by each member, and what crossed the links. The judge has nothing else.
#pragma once

#include <array>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace ochrehub::lab::fleet {

/// What one is shown to believe of another; as membership::MemberState, and Unknown.
enum class Seen : std::uint8_t { Alive, Suspect, Dead, Left, Unknown };
const char* name(Seen seen);

struct Event {
    enum class What {
        Up,
        Down,
        Ended,
        Stopped,
        GoesOn,
        Leaves,
        FaultOn,
        FaultOff,  // done to `who`, or fault `value`
        Sees,      ///< `who` shows `about` as Seen(value)
        Claims,    ///< a datagram of `who` says that `about` is dead
        Says,      ///< `who` shows bits of membership::kSays... of itself
        Shares,    ///< `who` divides by `value`
        Served,
        Unserved,  ///< requests sent to `who` since the last such event
        Begins,    ///< all know all; faults begin at 0; value: 1 where requests are sent
        Over,
    };
    double at_s = 0;
    What what = What::Up;
    int who = -1, about = -1, value = 0;

    std::string text() const;
};

/// The state of things behind so many events.
struct Picture {
    explicit Picture(std::size_t members)
        : up(members),
          stopped(members),
          leaving(members),
          said(members),
          shares(members),
          seen(members, std::vector<Seen>(members, Seen::Unknown)) {}
    void take(const Event& event);
    /// All that are up and run show all that are up as here, nobody else so, and nothing is amiss with
    /// themselves.
    bool settled() const;
    bool runs(std::size_t i) const { return up[i] && !stopped[i] && !leaving[i]; }
    std::size_t size() const { return up.size(); }

    std::vector<bool> up, stopped, leaving;
    std::vector<int> said, shares;
    std::vector<std::vector<Seen>> seen;
};

class Watch {
public:
    explicit Watch(std::size_t members) : now_(members) {}

    struct Look {
        std::vector<Seen> of;
        int said = 0, shares = 0;
    };
    void note(Event event) {
        now_.take(event);
        events_.push_back(event);
    }
    /// What one shows now; only what is new becomes an event. One that is not running shows nothing.
    void look(double at_s, std::size_t who, const Look& look) {
        if (!now_.up[who] || now_.stopped[who]) return;
        for (std::size_t about = 0; about < look.of.size(); ++about)
            if (about != who && look.of[about] != now_.seen[who][about])
                note({at_s, Event::What::Sees, int(who), int(about), int(look.of[about])});
        if (look.said != now_.said[who]) note({at_s, Event::What::Says, int(who), -1, look.said});
        if (look.shares != now_.shares[who]) note({at_s, Event::What::Shares, int(who), -1, look.shares});
    }
    /// Once for each that says so of a life of another.
    void claim(double at_s, std::size_t who, std::size_t about, std::uint32_t incarnation) {
        if (claimed_.size() < kClaimsMost && claimed_.insert({who, about, incarnation}).second)
            note({at_s, Event::What::Claims, int(who), int(about), 0});
    }
    /// From here on times are counted anew; all before is before zero.
    void begin(double at_s, bool requests = false) {
        for (Event& event : events_) event.at_s -= at_s;
        note({0, Event::What::Begins, -1, -1, int(requests)});
    }
    const Picture& now() const { return now_; }
    const std::vector<Event>& events() const { return events_; }
    std::vector<Event> taken() { return std::move(events_); }

private:
    static constexpr std::size_t kClaimsMost = 100'000;
    Picture now_;
    std::vector<Event> events_;
    std::set<std::tuple<std::size_t, std::size_t, std::uint32_t>> claimed_;
};

}  // namespace ochrehub::lab::fleet
