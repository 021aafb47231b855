// The tries and attempts that the referee remembers, in slots that are used again.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/record/record.h"
#include "lab/referee/troubles.h"

namespace ochrehub::lab::referee {

using Slot = std::int32_t;
inline constexpr Slot kNoSlot = -1;

enum class TryState : std::uint8_t { Open, Answered, Lost, Left };

struct Try {
    TryId id = 0;
    Ms sent = 0, give_up = 0, over = 0;
    AttemptNo answer = 0;  ///< named by an answer before that attempt had ended
    NodeNo node = 0;
    int cls = 0;
    Slot first = kNoSlot, last = kNoSlot;  ///< its attempts, as they arrived
    Slot next_due = kNoSlot;
    TryState state = TryState::Open;
    bool refused = false;      ///< ... with a status that says so
    bool at_deadline = false;  ///< its client waited to the end
    bool gone = false;         ///< lost with its node
    Ms orphaned = kNever;      ///< its node ended, or was killed as it stopped, and owed it an answer
    bool named = false;        ///< named as missing
};

struct Attempt {
    AttemptNo no = 0;
    Ms first_byte = 0, arrived = 0;
    Ms over = kNever;  ///< it ended or was abandoned, whichever came first
    Ms ended_at = kNever;
    Slot of = kNoSlot, next = kNoSlot;
    ServerNo server = 0;
    NodeNo node = 0;
    Ended how = Ended::Served;
    bool ended = false, abandoned = false;
};

template <class T>
class Pool {
public:
    Slot take() {
        if (free_.empty()) {
            all_.emplace_back();
            return Slot(all_.size() - 1);
        }
        Slot slot = free_.back();
        free_.pop_back();
        all_[std::size_t(slot)] = T{};
        return slot;
    }
    void give(Slot slot) { free_.push_back(slot); }
    T& operator[](Slot slot) { return all_[std::size_t(slot)]; }
    const T& operator[](Slot slot) const { return all_[std::size_t(slot)]; }
    std::size_t used() const { return all_.size() - free_.size(); }

private:
    std::vector<T> all_;
    std::vector<Slot> free_;
};

}  // namespace ochrehub::lab::referee
