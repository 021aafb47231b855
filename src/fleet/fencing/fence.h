// The receiver's side of a duty or a job: what keeps an old owner harmless. A core without I/O: whoever has
// it asks before each effect, writes down what it is told to, and only then lets the effect happen.
//
// For each duty it knows the highest epoch that it has seen, and for each step what became of it. An effect
// under a lower epoch is refused, however late it comes and whatever lease its sender believes in. A step is
// done once. The next owner looks
// (`Look`) under its own epoch, which from then on shuts the old one out: a step of which it is told Never
// can only come from itself. Nothing is forgotten while somebody may ask: an owner says up to which step
// nobody will (`Settle`); what does not fit is refused.
//
// A duty that is over for good makes room (`retire`): of it the name and its last epoch are kept, and of the
// `retired` latest alone. Of older ones one number is left, the highest epoch among them: a duty that is not
// known is refused under any epoch up to it. A live one that was never heard of here and is older than that
// is refused too; its owner gives it up and is granted it anew under a higher epoch. This costs a change of
// owners, never an effect, and holds where all epochs come from one counter.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ochrehub::fencing {

struct Settings {
    std::size_t duties = 10'000;
    std::size_t steps = 100'000;   ///< of all duties, that are begun or done and not settled
    std::size_t outcome = 256;     ///< octets of one
    std::size_t name = 64;         ///< octets of a duty's
    std::size_t retired = 10'000;  ///< of those that are over, how many are known one by one
    bool learns = false;  ///< it keeps nothing over restarts: before its first effect it is told the epochs
                          ///< that stand (`learnt`)
};

enum class Verdict {
    Do,       ///< now, once what is to be written is; then `done`
    Done,     ///< it was, with this outcome
    Doing,    ///< it was begun, and what became of it is not known: it never ended, or ended with a crash of
              ///< the receiver
    Never,    ///< to Look: it was not and, under any older epoch, will not be
    Stale,    ///< the epoch that stands is higher
    Settled,  ///< an owner said that nobody would ask for this step any more
    Full,     ///< no room: try again when something is settled
    NotYet,   ///< it does not know the epochs yet
    Malformed,  ///< epoch or step zero, or a name or outcome that is too long
    Behind,   ///< not known here, and no younger than what was forgotten: be granted it anew, under a higher
              ///< epoch
    Retired,  ///< to `retire`: it is
};
std::string_view name(Verdict verdict);

struct Answer {
    Verdict verdict = Verdict::Do;
    std::uint64_t stands = 0;  ///< the highest epoch, so that an old owner stops
    std::string outcome;       ///< of Done
};

class Fence {
public:
    explicit Fence(const Settings& settings) : set_(settings), ready_(!settings.learns) {}

    // Each of these may add to `to_write`, which must last before the answer is acted on or given: an effect
    // that is begun in memory alone happens twice where the receiver restarts.

    /// Before an effect. Steps and epochs are from 1 on.
    Answer begin(std::string_view duty, std::uint64_t epoch, std::uint64_t step);
    /// Behind one that Do was answered to, whoever owns the duty by now.
    bool done(std::string_view duty, std::uint64_t step, std::string_view outcome);
    /// By a next owner: what became of a step. Never, Doing or Done, and its epoch stands from here on.
    Answer look(std::string_view duty, std::uint64_t epoch, std::uint64_t step);
    /// By the owner: nobody asks for steps up to this one any more.
    Answer settle(std::string_view duty, std::uint64_t epoch, std::uint64_t step);
    /// By the last owner of a duty that is over for good, once the keepers have written down that it is: no
    /// owner comes behind it.
    Answer retire(std::string_view duty, std::uint64_t epoch);
    /// What the keepers say that stands. `complete`: all of it has been told.
    void learnt(std::string_view duty, std::uint64_t epoch);
    void complete() { ready_ = true; }

    /// Records to be written, in order; empties them.
    std::vector<std::string> to_write() { return std::move(changes_); }
    /// On a restart: each record as it was written, before anything else. False: it is none, and nothing was
    /// taken.
    bool replay(std::string_view record);
    /// All of it as records, shorter than its history.
    std::vector<std::string> snapshot() const;

    std::uint64_t stands(std::string_view duty) const;
    std::size_t duties() const { return duties_.size(); }
    std::size_t steps() const { return steps_; }
    std::size_t retired() const { return retired_.size(); }
    std::uint64_t bound() const { return bound_; }  ///< the highest epoch of those that were forgotten
    std::uint64_t refused() const { return refused_; }

private:
    enum class Kind : char {
        Epoch = 'e',
        Begun = 'b',
        Done = 'd',
        Settled = 's',
        Retired = 'r',
        Bound = 'l'
    };
    struct Step {
        bool done = false;
        std::string outcome;
    };
    struct Duty {
        std::uint64_t epoch = 0, settled = 0;
        std::map<std::uint64_t, Step> steps;
    };
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };

    /// The duty under this epoch, raised to it. None where `why` says so.
    Duty* enter(std::string_view duty, std::uint64_t epoch, std::uint64_t step, Answer& why);
    void take_retired(std::string_view duty, std::uint64_t epoch);
    void forget_retired(std::string_view duty);
    void take(Kind kind, std::string_view duty, std::uint64_t number, std::string_view outcome);
    void change(Kind kind, std::string_view duty, std::uint64_t number, std::string_view outcome = {});
    static std::string record(Kind kind, std::string_view duty, std::uint64_t number,
                              std::string_view outcome);

    Settings set_;
    bool ready_;
    std::unordered_map<std::string, Duty, Hash, std::equal_to<>> duties_;
    std::unordered_map<std::string, std::uint64_t, Hash, std::equal_to<>> retired_;  // with their last epochs
    std::set<std::pair<std::uint64_t, std::string>> oldest_;  // the same, the first to be forgotten first
    std::size_t steps_ = 0;
    std::uint64_t bound_ = 0;
    std::uint64_t refused_ = 0;
    std::vector<std::string> changes_;
};

}  // namespace ochrehub::fencing
