// Records what the cores decide: every event handed to a core, with its time, and the actions that it
// returned. Simulations call record() behind each core's handle(); where no recorder is active on this thread
// that costs one comparison. lab/equivalence compares the records of two builds.
#pragma once

#include <cstdint>
#include <cstdio>

#include "lab/record/canonical.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab {

/// A running hash of all decisions on one thread, and, where asked for, each of them as a line of text.
class DecisionRecorder {
public:
    /// Active on this thread until it is destroyed. `trace`: where lines go, not owned; null for none.
    explicit DecisionRecorder(std::FILE* trace = nullptr) : trace_(trace), previous_(active()) {
        active() = this;
    }
    ~DecisionRecorder() { active() = previous_; }
    DecisionRecorder(const DecisionRecorder&) = delete;
    DecisionRecorder& operator=(const DecisionRecorder&) = delete;

    /// The recorder of this thread; null: none.
    static DecisionRecorder*& active() {
        thread_local DecisionRecorder* recorder = nullptr;
        return recorder;
    }

    /// One decision of the core `core`, a name that stays the same over builds.
    template <class Event, class Actions>
    void decision(const char* core, TimePoint now, const Event& event, const Actions& actions) {
        ++events_;
        hash_.text(core);
        canonical::write(hash_, now);
        canonical::write(hash_, event);
        canonical::write(hash_, actions);
        if (trace_) line(core, now, event, actions);
    }

    std::uint64_t events() const { return events_; }
    std::uint64_t hash() const { return hash_.value(); }

private:
    template <class Event, class Actions>
    void line(const char* core, TimePoint now, const Event& event, const Actions& actions) const {
        canonical::Text event_text;
        canonical::write(event_text, event);
        canonical::Text action_text;
        canonical::write(action_text, actions);
        std::fprintf(trace_, "%llu %s at %.17g event %s actions %s\n",
                     static_cast<unsigned long long>(events_), core, now.time_since_epoch().count(),
                     event_text.value().c_str(), action_text.value().c_str());
    }

    std::FILE* trace_;            ///< not owned; null: no lines
    DecisionRecorder* previous_;  ///< active before this one
    canonical::Hash hash_;        ///< of all decisions so far
    std::uint64_t events_ = 0;    ///< decisions so far
};

/// Records one decision where a recorder is active on this thread.
template <class Event, class Actions>
void record_decision(const char* core, TimePoint now, const Event& event, const Actions& actions) {
    if (DecisionRecorder* recorder = DecisionRecorder::active())
        recorder->decision(core, now, event, actions);
}

}  // namespace ochrehub::lab
