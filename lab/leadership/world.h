// Owners, receivers and keepers in virtual time: duties are jobs of so many items, each an effect at a
// receiver. Owners are leadership::Owner as shipped, receivers have fencing::FencingGuard as shipped and a
// disk; faults come from a script, an event's number or a seed. The verdict is made from the receivers'
// records alone.
#pragma once

#include <memory>
#include <optional>
#include <set>

#include "fleet/leadership/owner.h"
#include "lab/leadership/keepers.h"
#include "lab/leadership/process.h"
#include "lab/leadership/record.h"

namespace ochrehub::lab::leadership {

/// What errs on purpose: each must be found, by the fault named beside it.
enum class Saboteur {
    None,
    EpochNotRaised,        // a next owner acts under the same epoch: any change of owners
    LeaseFromAnswer,       // answers that are slow, then a one-sided cut
    NoFence,               // an owner stopped and let go
    EffectBeforeWritten,   // a receiver killed
    RepeatsWithoutAsking,  // answers lost on the way
    HandsOverAtWork,       // a move
    LeaderGivesLess,       // the keepers' leader killed
    IgnoresLease,          // a one-sided cut
    KeepersCountLess,      // a one-sided cut
    GrantsBeforeRest,      // a move
    ForgetsRetired,        // late copies behind the job's end
    RetiresBeforeEnd,      // an owner stopped in it: the next one does all of it again
    NextAsksNothing,       // an owner killed: the next one does not ask what became of the items
};
std::string_view name(Saboteur saboteur);
inline constexpr std::size_t kSaboteurs = 14;  ///< with None

struct WorldSettings {
    bool real = false;  ///< Raft, replicas and sessions as shipped; else their stand-in
    std::size_t keepers = 3, owners = 3, receivers = 2, jobs = 1;
    std::uint64_t items = 20;
    Duration pace{50};
    bool endless = false;  ///< a standing duty whose items never end, for the time without an owner
    Duration lease{3000};
    bool skewed = true;  ///< clocks 1% apart, alternately
    std::optional<Duration>
        move_at;              ///< behind the start: an operator asks the first job's owner to give it back
    bool late_copies = true;  ///< behind the end all that was sent comes once more
    double loss = 0, doubled = 0;
    Duration delay_most{2}, patience{400};
    std::uint64_t seed = 1;
    Saboteur saboteur = Saboteur::None;
};

enum class Blow { Kill, Stop, CutToKeepers };

class World {
public:
    explicit World(const WorldSettings& settings);
    ~World();

    std::size_t owner(std::size_t i) const { return set_.keepers + i; }
    std::size_t receiver(std::size_t i) const { return set_.keepers + set_.owners + i; }
    Network& net() { return net_; }
    House& keepers() { return *keepers_; }
    TimePoint begun() const { return begun_; }  ///< when the keepers had a leader and owners were started
    const Records& records() const { return records_; }
    std::uint64_t events() const { return events_; }

    /// Whoever is about to be handed event n has this done to it instead, and it comes back after `back`.
    void strike_at(std::uint64_t n, Blow blow, Duration back);
    void strike(std::size_t process, Blow blow, Duration back);
    void restart(std::size_t process);
    /// Runs to the end of all jobs, or to `most`, whichever is first; then every effect that was ever sent
    /// comes once more.
    void run(Duration most);
    void run_to(TimePoint at);
    bool all_over();
    /// Which process began most recently, and has not stopped, as owner of the first job. For aiming faults
    /// alone.
    std::optional<std::size_t> working() const;
    /// This process has looked at its lease and is about to send. For aiming faults alone.
    bool armed(std::size_t process) const;

private:
    struct OwnerProcess;
    struct ReceiverProcess;
    struct Plan {
        std::uint64_t event = 0;
        Blow blow{};
        Duration back{};
    };
    void woken(std::size_t process, TimePoint own);
    void received(std::size_t process, std::size_t from, TimePoint own, const Message& message);
    bool struck(std::size_t process);
    void heal_due();

    WorldSettings set_;
    Network net_;
    std::unique_ptr<House> keepers_;
    TimePoint begun_{};
    std::vector<std::string> jobs_;
    std::vector<std::unique_ptr<OwnerProcess>> owners_;
    std::vector<std::unique_ptr<ReceiverProcess>> receivers_;
    std::vector<std::pair<std::size_t, Message>> sent_;  // each effect to each receiver, from whom
    std::vector<std::size_t> senders_;
    std::vector<Plan> plans_;
    struct Back {
        TimePoint at{};
        std::size_t process = 0;
        Blow blow{};
    };
    std::vector<Back> backs_;
    Records records_;
    std::uint64_t events_ = 0;
    bool moved_ = false;
};

}  // namespace ochrehub::lab::leadership
