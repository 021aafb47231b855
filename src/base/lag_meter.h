// What a loop that is behind may still do for: from how long things had lain unread to how old they may be.
// No clock of its own.
#pragma once

#include <algorithm>

#include "ochrehub/balancer.h"

namespace ochrehub {

/// Told the age of what is read: how long its bytes had lain in the kernel. A burst
/// makes some of it old for a moment; where even the freshest of a window is old, the queue stands, and
/// reading it in its order means that all is answered late and asked again, for as long as it stands. Memory:
/// a few numbers.
class LagMeter {
public:
    static constexpr Duration kOld{5};      ///< below this nothing is behind
    static constexpr Duration kStands{10};  ///< the freshest of a window that stands
    static constexpr Duration kWindow{100};
    static constexpr double kPart = 0.8;  ///< of a request's time, where the queue stands

    void read(TimePoint now, Duration age) {
        age_ = age;
        if (!open_ || now - window_ > 3 * kWindow) {  // also where nothing was read for long
            stands_ = false;
            begin(now, age);
            return;
        }
        least_ = std::min(least_, age);
        most_ = std::max(most_, age);
        if (now - window_ < kWindow) return;
        // One fresh one among old ones ends nothing: what comes after it would be let in only to grow old.
        if (least_ >= kStands)
            stands_ = true;
        else if (most_ < kStands)
            stands_ = false;
        begin(now, age);
    }

    /// What was read last had waited: the rest is worth an order.
    bool behind() const { return age_ >= kOld; }
    /// ... and so had all of late.
    bool stands() const { return stands_; }
    /// How old a request may be whose client waits so long in all: what is older would be answered late, at
    /// the price of one that is fresh.
    Duration most(Duration patience) const { return stands_ ? patience * kPart : patience; }

private:
    void begin(TimePoint now, Duration age) {
        open_ = true;
        window_ = now;
        least_ = most_ = age;
    }

    Duration age_{0}, least_{0}, most_{0};  // of the last, and of a window
    TimePoint window_{};                    // its begin
    bool open_ = false, stands_ = false;
};

/// How many of those that wait to be read are read at a time while a loop is behind: whatever else has come,
/// answers and timers, is due in between. In their order: newest first would leave those that hold
/// a connection unread until they give it up, so that all that is left comes on new ones.
class ReadTurn {
public:
    static constexpr int kEntered = 16, kSentAway = 64;

    /// One was read; `entered`: it cost what a request costs. True: the turn is over.
    bool took(bool entered) {
        if (entered ? --entered_ > 0 : --sent_away_ > 0) return false;
        reset();
        return true;
    }
    /// Nobody waits any more.
    void reset() {
        entered_ = kEntered;
        sent_away_ = kSentAway;
    }

private:
    int entered_ = kEntered, sent_away_ = kSentAway;
};

}  // namespace ochrehub
