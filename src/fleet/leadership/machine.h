// The keepers' machine of duties: for each piece of work one owner at a time, a session, under an epoch.
// Epochs of all duties come from one counter that never goes back, so that a duty which vanished and came
// again is granted under a higher one than ever before, and a receiver may forget single duties behind a
// bound (fencing::FencingGuard::retire).
//
// Two kinds: a standing duty has a name and is there while somebody wants it; a job is opened, is named by a
// number that is never given twice, ends once (`end_job`: from then on nothing of it is done, its owner only
// tells the receivers to retire it), and is then over for good. An owner is named where somebody wants the
// duty: who would have fewest for its weight, then the older session. Who has so many that with one less it
// still has no less than another would with one more, for their weights, is asked to give one back, of many
// an eighth at a time; the next owner is named by the command that says the old one has come to rest, or by
// the end of the old one's session.
//
// No time in it: sessions end by the leader's count (keeper/machine.h). Not for several threads at once.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>

#include "fleet/coordinator/state_machine.h"
#include "fleet/leadership/error.h"

namespace ochrehub::leadership {

using coordinator::Epoch;
using coordinator::SessionId;

inline constexpr std::uint32_t kSchema = 1;
inline constexpr std::uint32_t kWeightMost = 100;

struct Limits {  ///< part of the replicated rules: the same at every keeper
    std::size_t duties = 10'000;
    std::size_t wants = 1'000;        ///< of one duty
    std::size_t wants_all = 200'000;  ///< of all
    std::size_t name = 64;            ///< octets, the fence's too
};

// Commands as octets. Answers and news are read by `read_answer` and `read_news`.
std::string want(std::string_view name, std::uint32_t weight = 1);
std::string open_job(std::string_view kind, std::uint64_t token);
std::string unwant(std::string_view name);
std::string give_up(std::string_view name, Epoch epoch, bool keep_want = false);
std::string end_job(std::string_view name, Epoch epoch);
std::string over_for_good(std::string_view name, Epoch epoch);
std::string move_away(std::string_view name);

struct Answer {
    std::optional<Error> error;
    std::string name;  ///< Open: the job's
    Epoch epoch = 0;   ///< that stands, where the duty is there
};
std::optional<Answer> read_answer(std::string_view bytes);

struct Owned {
    std::string name;
    Epoch epoch = 0;
    bool give_back = false;
    bool ended = false;  ///< a job: nothing of it is to be done, but receivers may not know yet
    friend bool operator==(const Owned&, const Owned&) = default;
};
struct News {
    std::uint64_t revision = 0;  ///< of the machine: older news is none
    std::vector<Owned> owned;    ///< all of it, by name
};
std::optional<News> read_news(std::string_view bytes);

class Duties : public coordinator::StateMachine {
public:
    explicit Duties(const Limits& limits = {}) : limits_(limits) {}

    std::string_view kind() const override { return "duty"; }
    std::uint32_t schema() const override { return kSchema; }
    std::string apply(const coordinator::Command& command) override;
    void session_opened(SessionId session, std::string_view name, std::string_view zone) override;
    void session_ended(SessionId session) override;
    /// Never empty: that nothing is owned is news too.
    std::string session_update(SessionId session) const override;
    void timeouts(std::vector<coordinator::Timeout>&) const override {}
    std::string on_timeout(std::uint64_t, std::uint64_t) const override { return {}; }
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

    struct Duty {
        Epoch epoch = 0;      ///< of its last grant
        SessionId owner = 0;  ///< zero: nobody
        bool give_back = false, ended = false;
        std::map<SessionId, std::uint32_t> wanted;  ///< with their weights
        friend bool operator==(const Duty&, const Duty&) = default;
    };
    const std::map<std::string, Duty, std::less<>>& duties() const { return duties_; }
    Epoch epochs() const { return epochs_; }  ///< the last one granted
    std::uint64_t revision() const { return revision_; }

private:
    using Table = std::map<std::string, Duty, std::less<>>;
    struct Session {
        std::set<std::string, std::less<>> owned;
        std::size_t giving = 0;   ///< of those, how many it is asked to give back
        std::uint64_t token = 0;  ///< of its last Open, and the job's name
        std::string opened;
    };
    Answer decide(const coordinator::Command& command);
    Answer decide_want(SessionId session, std::string_view name, std::uint32_t weight);
    Answer decide_open(SessionId session, std::string_view kind, std::uint64_t token);
    void grant(std::string_view name, Duty& duty);
    void take_from_owner(std::string_view name, Duty& duty);
    void ask_back(Duty& duty);
    bool worth_moving(const Duty& duty, SessionId other, std::uint32_t weight) const;
    Table::iterator drop_if_idle(Table::iterator it);
    void balance();
    void offer(SessionId freed);
    void relieve(SessionId owner);
    bool named(std::string_view name, bool job) const;

    Limits limits_;
    std::uint64_t revision_ = 0, jobs_ = 0;
    Epoch epochs_ = 0;
    std::size_t wants_ = 0;
    std::map<SessionId, Session> sessions_;
    Table duties_;
};

}  // namespace ochrehub::leadership
