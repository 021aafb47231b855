// Who is there, by gossip: SWIM with Lifeguard's changes, as one member runs it. A pure state machine: it is
// handed datagrams and wake-ups with their times and returns datagrams to send, when to be woken, and what
// has changed. It reads no clock, opens no socket, and draws on its seed alone.
//
// Each interval a member pings one other, each in turn; one that does not answer is asked through others, and
// then suspected, which it can refute by raising its incarnation. Updates ride on whatever is sent. A member
// that misses answers doubts itself first: it gives others longer. Messages a member and second do not grow
// with the tier.
#pragma once

#include <boost/container/flat_map.hpp>
#include <boost/random/taus88.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "fleet/membership/datagram.h"
#include "fleet/membership/member.h"
#include "ochrehub/balancer.h"

namespace ochrehub::membership {

struct Settings {
    MemberAddress self;
    Role role = Role::Forwarder;
    std::uint8_t zone = 0, plan_version = 1;
    std::uint32_t instance = 0;  ///< drawn by whoever starts the process
    Name name;                   ///< for people, as is ...
    ZoneName zone_name;
    std::vector<MemberAddress> seeds;  ///< asked for the rest, at the start and again while they are not seen
    Duration probe_interval{500};      ///< between pings
    Duration probe_timeout{
        150};  ///< for an answer, before others are asked to try; under half of `probe_interval`
    int indirect_probes = 3;  ///< ... how many of them
    double suspicion_multiplier =
        6;  ///< intervals that a suspect has at least, times the decimal logarithm of the members
    double max_suspicion_factor = 3;   ///< ... and so many times that while nobody else suspects it
    Duration dead_retention{600'000};  ///< after which one that is dead or has left is forgotten
    std::size_t max_members =
        4096;  ///< members that are kept, those that are gone included; others are not taken in
    Duration isolated_after{5000};  ///< without an answer from anybody
    // For comparisons alone, in the lab: plain SWIM is without both.
    bool lifeguard = true;  ///< doubts itself, lets accusers add up, gives back the time that it stood still
    bool confirm_before_dead = true;  ///< asks a suspect once more before it is dead
};

// ---- What happens
struct TimerFired {};  ///< at or after the time that was last asked for; also the first call
struct DatagramReceived {
    Datagram datagram;
};
struct PlanChanged {
    ActivePlan plan;
};
struct StallReported {  ///< the loop that serves requests stands still, or does no longer
    bool stalled = false;
};
struct Leave {};  ///< says so to others and ends; nothing but TimerFired is to follow
using Event = std::variant<TimerFired, DatagramReceived, PlanChanged, StallReported, Leave>;

// ---- What is to be done about it
struct SendDatagram {
    MemberAddress to;
    Datagram datagram;
};
struct SetTimer {  ///< replaces what was asked for before
    TimePoint at;
};
struct MemberChanged {  ///< what is believed of a member, or what it says of itself, or that one is new
    Update update;
    std::optional<MemberState> previous_state;
};
struct MemberRestarted {  ///< another process sends from that address; `duplicate`: the previous one still
                          ///< does too
    MemberAddress address;
    std::uint32_t instance = 0;
    bool duplicate = false;
};
struct SelfUpdate {  ///< what this member says of itself from now on
    std::uint8_t self_report = 0;
};
struct LeaveCompleted {};  ///< all that leaving needs has been said
using Action =
    std::variant<SendDatagram, SetTimer, MemberChanged, MemberRestarted, SelfUpdate, LeaveCompleted>;
using Actions = std::vector<Action>;

class Membership {
public:
    Membership(const Settings& settings, std::uint64_t seed);

    void handle(TimePoint now, const Event& event, Actions& actions);

    struct Member {
        Update update;
        ActivePlan plan;                                  ///< as it last said itself
        TimePoint changed{};                              ///< when its state became what it is
        bool met = false;                                 ///< it has spoken to this one itself
        std::uint32_t instance = 0, instance_before = 0;  ///< as it last said itself
        std::uint32_t restarts = 0;
        TimePoint heard{};    ///< itself, last
        TimePoint doubled{};  ///< when two processes were last seen to speak at its place
        Name name;
        ZoneName zone_name;
    };
    /// All that are known but itself, in the order of their places. For looking at between calls alone.
    template <class F>
    void for_each_member(F&& see) const {
        for (const auto& [place, slot] : index_) see(static_cast<const Member&>(members_[slot]));
    }
    const Member* find(const MemberAddress& place) const;
    std::size_t size() const { return index_.size(); }  ///< without itself, with those that are gone
    std::size_t live_count() const { return here_; }    ///< Alive or Suspect, without itself
    std::uint32_t incarnation() const { return self_.incarnation; }
    int local_health_score() const { return doubt_; }  ///< in itself, from 0 to kMaxLocalHealthScore
    const Update& self() const { return self_; }
    const Settings& settings() const { return set_; }
    TimePoint isolated_since() const {
        return answered_at_;
    }  ///< where `self().self_report` says that it is isolated

    struct Counts {
        std::uint64_t sent = 0, received = 0, probes = 0, failed_probes = 0, refutations = 0, late_timers = 0,
                      misaddressed = 0, rejected_table_full = 0, duplicates = 0, isolated = 0;
    };
    const Counts& counts() const { return counts_; }

    static constexpr int kMaxLocalHealthScore = 8;

private:
    static constexpr std::uint32_t kNobody = ~std::uint32_t{0};
    static constexpr int kConfirmations = 3;  ///< that cut a suspect's time to the least
    static constexpr std::size_t kRelays = 64;

    struct Slot : Member {
        bool news = false, urgent = false;
        int last_calls = 0;  ///< Suspect: how often it was asked once more
        bool alone = false;  ///< Dead: found by this one alone, while it was isolated; told to nobody
        int told = 0;        ///< how often its news went out
        TimePoint until{};   ///< Suspect: when it is dead
        TimePoint began{};   ///< ... and since when
        std::uint16_t accusers[kConfirmations + 1] = {};
        int accused = 0;
    };
    struct Probe {
        std::uint32_t slot = kNobody, sequence = 0;
        MemberAddress who;
        TimePoint ask_others{}, end{};
        bool answered = false, asked = false;
        int nacks_due = 0, nacks = 0;
    };
    struct Relay {
        std::uint32_t sequence = 0, theirs = 0;
        MemberAddress who, about;
        TimePoint nack_at{}, end{};
        bool nacked = false;
    };

    void on(const TimerFired&);
    void on(const DatagramReceived& event);
    void on(const PlanChanged& event) { plan_ = event.plan; }
    void on(const StallReported& event) {
        say(std::uint8_t((self_.self_report & kReportsIsolated) | (event.stalled ? kReportsStalled : 0)));
    }
    void on(const Leave&);

    void receive(const Datagram& d);
    void take(const Update& update, bool by_itself);
    void take_of_self(const Update& update);
    void refute(std::uint32_t above, bool doubts);
    void set(std::uint32_t slot, const Update& update);
    void suspect(std::uint32_t slot, const Update& update);
    void confirm(Slot& member, std::uint16_t accuser);
    Duration suspicion_least() const;

    void probe_next();
    void probe_ends();
    void ask_others();
    void relay(const Datagram& d);
    void gossip();
    void knock();
    void fetch(const MemberAddress& from, const MemberAddress& behind);
    void list(const Datagram& d);
    void expire();
    void doubt(int by);
    bool isolated() const { return (self_.self_report & kReportsIsolated) != 0; }
    bool anybody() const;
    void correct(const Datagram& d);
    void met(const Datagram& d);
    void answered();
    void look_at_itself();
    void say(std::uint8_t said);
    void hurry();
    TimePoint next_wake() const;

    std::uint32_t slot_of(const MemberAddress& place) const;
    std::uint32_t add(const Update& update);
    void drop(std::uint32_t slot);
    void tell_of(std::uint32_t slot, bool urgent);
    Datagram make(DatagramKind kind, std::uint32_t sequence, const MemberAddress& about) const;
    /// Sends it with as much news as it holds, `first` before all else.
    void send(const MemberAddress& to, Datagram datagram, const Update* first = nullptr);
    std::uint32_t below(std::uint32_t n);
    double uniform() { return double(random_()) * 0x1p-32; }
    std::vector<std::uint32_t> some_here(std::size_t count, const MemberAddress& but);
    int tellings() const;

    Settings set_;
    boost::random::taus88 random_;
    TimePoint now_{};
    Actions* actions_ = nullptr;

    Update self_;
    ActivePlan plan_;
    int self_told_ = 0;
    bool self_news_ = true, refuting_ = false, listing_ = false;
    std::vector<Slot> members_;
    std::vector<std::uint32_t> free_;
    boost::container::flat_map<MemberAddress, std::uint32_t> index_;
    std::size_t here_ = 0;
    std::vector<std::uint32_t> ring_, news_, suspects_;
    std::size_t ring_at_ = 0;
    Probe probe_;
    std::vector<Relay> relays_;
    std::uint32_t sequence_ = 0, fetching_ = 0;  // the sequence of a Fetch that is out; zero: none is
    MemberAddress fetched_from_, fetched_to_;
    std::size_t seed_at_ = 0;
    int fetch_tries_ = 0, page_tries_ = 0, urgent_ = 0;
    std::size_t fetched_new_ = 0;  // members, since the list was last asked for from its begin
    Duration fetch_wait_{0};
    TimePoint next_probe_{}, next_gossip_{}, next_knock_{}, fetch_until_ = TimePoint::max(),
                                                            fetch_again_ = TimePoint::max();
    std::optional<TimePoint> woken_for_;
    int doubt_ = 0, goodbyes_ = -1;  // goodbyes: ticks of gossip left; negative: it stays
    TimePoint heard_at_{}, answered_at_{}, next_ask_ = TimePoint::max();
    MemberAddress knocked_;    // the last that was knocked at
    std::size_t hurried_ = 0;  // knocks left that do not wait
    bool started_ = false, over_ = false;
    Counts counts_;
};

}  // namespace ochrehub::membership
