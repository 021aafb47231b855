// Judges the four rules, and that each answer is the one a server made for that request, from the records of
// a day. Written from the wording of the rules alone; shares no code with the engine or the module.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/record/record.h"

namespace ochrehub::lab {

enum class Rule {
    AnswerMissing,    ///< 1: taken, and no final answer in time
    AnswerTwice,      ///< 1: a second answer
    AnswerLate,       ///< 1: after the client's deadline and the grace
    AnswerInvented,   ///< 1: served with what no server made for this request
    CopyConcurrent,   ///< 2: two attempts out together
    EffectTwice,      ///< 2: a must-not-run-twice request sent again though an attempt may have run
    RepeatElsewhere,  ///< 2: a keyed request sent again outside its group
    RepeatLate,       ///< 2: ... or outside its window
    RefusedAfterRun,  ///< 2: refused though an attempt may have run, where the class forbids it
    SentDraining,     ///< 3: sent to a server told as draining, past the grace
    SentGone,         ///< 3: ... as gone
    SentUnlisted,     ///< sent to a server that discovery never told this node of
    ColdPushed,       ///< 4: a cold server fell over by those who knew
    IdInvented,       ///< an attempt with an id that no client sent
    kRules
};
const char* name_of(Rule rule);
/// 1 to 4, as the rules are numbered; 0 for what is none of them and forbidden all the same.
int number_of(Rule rule);

struct Breach {
    Rule rule{};
    TimePoint at{};
    TryId id = 0;
    NodeNo node = kNobody;
    ServerNo server = kNobody;
    std::string proof;  ///< the events that prove it, with their times
};

class Referee : public Witness {
public:
    /// `slack`: added to each time limit, 0 in virtual time, 50 ms on sockets. `start`: when the day begins.
    Referee(const Day& day, TimePoint start, Duration slack);
    ~Referee() override;

    void note(const Record& record) override;
    /// The day is over: what is still owed counts as missing. Call once.
    void finish(TimePoint end);

    const std::vector<Breach>& breaches() const;  ///< the first 1,000
    std::size_t count(Rule rule) const;           ///< all of them
    std::size_t total() const;

    /// Tries whose clients waited to the end of their time and heard nothing: failed, but no breach.
    std::size_t unanswered() const;
    /// Tries that the day's end found open within their time.
    std::size_t open_at_end() const;
    /// Tries and attempts that are remembered now.
    std::size_t held() const;

    /// Counts, from here on, how often each key was worked on. Off unless asked for: it keeps every key of
    /// the day.
    void count_executions();
    /// Attempts with this key that a server began to work on.
    std::size_t executions_of(std::uint64_t key) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace ochrehub::lab
