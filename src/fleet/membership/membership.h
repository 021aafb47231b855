// Cluster membership by gossip, as one member runs it: SWIM with Lifeguard's extensions. A core without I/O:
// it is passed datagrams and timer events with their times, and returns datagrams to send, when to be woken,
// and what has changed. Membership tells which members are probably alive; it grants nothing (see
// fleet/leadership).
//
// Clock: the process's monotonic clock, as passed to handle(); no clocks of two members are compared. Random
// numbers come from the seed alone. Not thread-safe.
#pragma once

#include <array>
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
    std::uint8_t zone = 0;
    std::uint8_t plan_version = 1;  ///< the newest that this member reads
    std::uint32_t instance = 0;     ///< random, drawn by the process at its start
    Name name;                      ///< shown to operators, as is zone_name
    ZoneName zone_name;
    std::vector<MemberAddress>
        seeds;  ///< requested for the member list, at the start and while not seen live
    Duration probe_interval{500};
    Duration probe_timeout{150};  ///< for a direct ack, before indirect probes; under half of probe_interval
    int indirect_probes = 3;      ///< members that are requested to probe
    /// The shortest time that a suspect has: this many probe intervals times the decimal logarithm of the
    /// members.
    double suspicion_multiplier = 6;
    double max_suspicion_factor = 3;   ///< times that, while no other member confirms the suspicion
    Duration dead_retention{600'000};  ///< after which a member that is dead or has left is dropped
    std::size_t max_members = 4096;    ///< dead ones included; further members are not added
    Duration isolated_after{5000};     ///< without a response from any member
    // Comparison with plain SWIM, which is without both.
    bool lifeguard = true;            ///< local health, confirmations, time lost in a pause
    bool confirm_before_dead = true;  ///< final probes of a suspect before it is dead
};

// Events

/// The time of the last SetTimer was reached; also the first event.
struct TimerFired {};
struct DatagramReceived {
    Datagram datagram;
};
/// This member serves by another plan.
struct PlanChanged {
    ActivePlan plan;
};
/// The event loop that serves requests makes no progress, or does again.
struct StallReported {
    bool stalled = false;
};
/// Announces the departure; only TimerFired may follow, until LeaveCompleted.
struct Leave {};
using Event = std::variant<TimerFired, DatagramReceived, PlanChanged, StallReported, Leave>;

// Actions

struct SendDatagram {
    MemberAddress to;
    Datagram datagram;
};
/// Replaces the previous timer.
struct SetTimer {
    TimePoint at;
};
/// A member is new, or its state or its self-report has changed.
struct MemberChanged {
    Update update;
    std::optional<MemberState> previous_state;  ///< none: it is new
};
/// Another process sends from a member's address.
struct MemberRestarted {
    MemberAddress address;
    std::uint32_t instance = 0;
    bool duplicate = false;  ///< the previous process still sends too
};
/// What this member reports of itself from now on.
struct SelfUpdate {
    std::uint8_t self_report = 0;  ///< kReports... bits
};
/// After Leave: the departure has been announced.
struct LeaveCompleted {};
using Action =
    std::variant<SendDatagram, SetTimer, MemberChanged, MemberRestarted, SelfUpdate, LeaveCompleted>;
using Actions = std::vector<Action>;

/// Each other member passes through these states, ordered by incarnation and then as listed:
///
///     Alive --probe failed, or gossip--> Suspect --no refutation in time--> Dead --dead_retention--> dropped
///     Suspect, Dead --a higher incarnation, raised by the member itself--> Alive
///     any --the member's own word--> Left --dead_retention--> dropped
///
/// One probe is in flight at a time, each member in turn. Updates ride on whatever is sent, so the messages
/// per member and second do not grow with the cluster. A member that misses responses lowers its local
/// health, and gives others longer. The implementation is divided by concern: failure_detector.cpp,
/// suspicion.cpp, dissemination.cpp, anti_entropy.cpp, isolation.cpp.
class Membership {
public:
    Membership(const Settings& settings, std::uint64_t seed);

    void handle(TimePoint now, const Event& event, Actions& actions);
    // NOLINTNEXTLINE(bugprone-exception-escape): both sides have one capacity, so no assignment throws.
    struct Member {
        Update update;
        ActivePlan plan;             ///< as the member last sent it
        TimePoint state_since{};     ///< when this member learnt of its state
        bool met = false;            ///< it has sent a datagram to this member
        std::uint32_t instance = 0;  ///< as the member last sent it
        std::uint32_t previous_instance = 0;
        std::uint32_t restarts = 0;
        TimePoint last_received{};      ///< the last datagram of the member itself
        TimePoint duplicate_seen_at{};  ///< when two processes last sent from its address; zero: never
        Name name;
        ZoneName zone_name;
    };
    /// All members but itself, by address. The references are valid until the next handle().
    template <class Visitor>
    void for_each_member(Visitor&& visit) const {
        for (const auto& [address, slot] : index_) visit(static_cast<const Member&>(members_[slot]));
    }
    /// Null: unknown, or itself. Valid until the next handle().
    const Member* find(const MemberAddress& address) const;
    std::size_t size() const { return index_.size(); }      ///< without itself, with dead members
    std::size_t live_count() const { return live_count_; }  ///< Alive or Suspect, without itself
    std::uint32_t incarnation() const { return self_.incarnation; }
    /// Lifeguard's local health multiplier, less one: from 0 (healthy) to kMaxLocalHealthScore.
    int local_health_score() const { return local_health_score_; }
    const Update& self() const { return self_; }
    const Settings& settings() const { return settings_; }
    /// Valid while self().self_report says that it is isolated.
    TimePoint isolated_since() const { return last_response_at_; }

    struct Counts {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
        std::uint64_t probes = 0;
        std::uint64_t failed_probes = 0;
        std::uint64_t refutations = 0;
        std::uint64_t late_timers = 0;          ///< pauses of this process
        std::uint64_t misaddressed = 0;         ///< pings meant for another member
        std::uint64_t rejected_table_full = 0;  ///< members that were not added
        std::uint64_t duplicates = 0;           ///< datagrams that showed two processes at one address
        std::uint64_t isolated = 0;
    };
    const Counts& counts() const { return counts_; }

    static constexpr int kMaxLocalHealthScore = 8;

private:
    static constexpr std::uint32_t kNoSlot = ~std::uint32_t{0};
    static constexpr int kMaxConfirmations = 3;  ///< that cut a suspect's time to the shortest
    static constexpr std::size_t kMaxRelays = 64;
    // NOLINTNEXTLINE(bugprone-exception-escape): both sides have one capacity, so no assignment throws.
    struct Slot : Member {
        bool queued = false;                ///< in queued_updates_
        bool urgent = false;                ///< its update is not to wait for the next probe
        int transmissions = 0;              ///< of its update
        bool found_while_isolated = false;  ///< Dead: the update is not gossiped
        int final_probes = 0;               ///< Suspect: sent before it is dead
        TimePoint dead_at{};                ///< Suspect: when it is dead without a refutation
        TimePoint suspected_at{};           ///< Suspect
        std::array<std::uint16_t, kMaxConfirmations + 1> accusers{};  ///< Suspect: their short hashes
        int accuser_count = 0;
    };
    /// The probe in flight.
    struct Probe {
        std::uint32_t slot = kNoSlot;  ///< kNoSlot: none
        std::uint32_t sequence = 0;
        MemberAddress target;
        TimePoint indirect_at{};  ///< when indirect probes are sent without an ack
        TimePoint end{};
        bool acked = false;
        bool indirect_sent = false;
        int expected_nacks = 0;
        int nacks = 0;
    };
    /// An indirect probe on behalf of another member.
    struct Relay {
        std::uint32_t sequence = 0;
        std::uint32_t requester_sequence = 0;
        MemberAddress requester;
        MemberAddress target;
        TimePoint nack_at{};
        TimePoint expires_at{};
        bool nack_sent = false;
    };

    void on(const TimerFired& event);
    void on(const DatagramReceived& event);
    void on(const PlanChanged& event) { plan_ = event.plan; }
    void on(const StallReported& event);
    void on(const Leave& event);
    void start();
    void skip_lost_time();
    TimePoint next_timer() const;
    bool is_leaving() const { return leave_rounds_left_ >= 0; }

    // Failure detector.
    void on_datagram(const Datagram& d);
    void on_ping(const Datagram& d);
    void on_ack(const Datagram& d);
    void on_nack(const Datagram& d);
    void start_probe();
    void shuffle_probe_order();
    void send_indirect_probes();
    void finish_probe();
    void relay_probe(const Datagram& d);
    void send_due_nacks();
    bool is_probe_response(const Datagram& d) const;
    void adjust_local_health(int by);
    void record_contact(const Datagram& d);
    void record_instance(Slot& member, const Datagram& d);

    // Suspicion.
    void start_suspicion(std::uint32_t slot, const Update& update);
    void confirm_suspicion(Slot& member, std::uint16_t accuser);
    void expire_suspicions();
    void send_final_probes(std::uint32_t slot);
    Duration min_suspicion_time() const;
    void refute(std::uint32_t incarnation, bool lowers_health);

    // Dissemination.
    void apply_update(const Update& update, bool by_itself);
    void apply_update_of_self(const Update& update);
    void apply_update_of_unknown(const Update& update);
    void apply_deaf_report(std::uint32_t slot, const Update& update);
    void set_update(std::uint32_t slot, const Update& update);
    void correct_accusations(const Datagram& d);
    void queue_update(std::uint32_t slot, bool urgent);
    void queue_self();
    void send_gossip();
    Datagram make_datagram(DatagramKind kind, std::uint32_t sequence, const MemberAddress& about) const;
    void send_ping(const MemberAddress& to, const Update* first = nullptr);
    /// Fills the datagram with queued updates, after `first`.
    void send(const MemberAddress& to, Datagram datagram, const Update* first = nullptr);
    void add_queued_updates(Datagram& datagram, std::size_t capacity);
    void drop_transmitted_updates();
    int max_transmissions() const;

    // Anti-entropy.
    void request_member_list(const MemberAddress& from, const MemberAddress& after);
    void retry_member_list();
    void send_member_list_page(const Datagram& request);
    void on_member_list_page(const Datagram& d);
    void request_list_from_random_member();
    void reconnect();
    std::vector<std::uint32_t> collect_dead_members();
    void request_list_from_unseen_seed();
    void ping_dead_members(const std::vector<std::uint32_t>& dead, bool fast);
    void reconnect_soon();

    // Isolation.
    bool is_isolated() const { return (self_.self_report & kReportsIsolated) != 0; }
    bool expects_responses() const;
    void on_response();
    void check_isolation();
    void set_self_report(std::uint8_t report);

    // The member table.
    std::uint32_t slot_of(const MemberAddress& address) const;
    std::uint32_t add(const Update& update);
    void drop(std::uint32_t slot);
    std::vector<std::uint32_t> random_live_members(std::size_t count, const MemberAddress& except);
    std::uint32_t random_below(std::uint32_t n);
    double uniform() { return double(random_()) * 0x1p-32; }

    Settings settings_;
    boost::random::taus88 random_;
    TimePoint now_{};             ///< of the event that is being handled
    Actions* actions_ = nullptr;  ///< of the event that is being handled

    Update self_;
    ActivePlan plan_;
    int self_transmissions_ = 0;  ///< of self_
    bool self_queued_ = true;     ///< self_ is to be transmitted
    bool refuting_ = false;       ///< self_ is not to wait for the next probe
    bool applying_list_ = false;  ///< the updates at hand come from a member list

    std::vector<Slot> members_;
    std::vector<std::uint32_t> free_slots_;
    boost::container::flat_map<MemberAddress, std::uint32_t> index_;  ///< slots by address
    std::size_t live_count_ = 0;
    std::vector<std::uint32_t> probe_order_;  ///< all slots in use, shuffled
    std::size_t probe_position_ = 0;          ///< in probe_order_: the next
    std::vector<std::uint32_t> queued_updates_;
    int urgent_count_ = 0;  ///< of queued_updates_
    std::vector<std::uint32_t> suspects_;

    Probe probe_;
    std::vector<Relay> relays_;
    std::uint32_t sequence_ = 0;  ///< the last that was used

    std::uint32_t list_request_ = 0;  ///< sequence of the request in flight; zero: none
    MemberAddress list_source_;       ///< to which the last request was sent
    MemberAddress list_position_;     ///< after which the last request began
    std::size_t seed_index_ = 0;
    int list_attempts_ = 0;
    int page_attempts_ = 0;
    std::size_t list_new_members_ = 0;  ///< since the list was last requested from its beginning
    Duration list_backoff_{0};
    TimePoint list_deadline_ = TimePoint::max();  ///< of the request in flight
    TimePoint next_list_request_ = TimePoint::max();

    TimePoint next_probe_{};
    TimePoint next_gossip_{};
    TimePoint next_reconnect_{};
    std::optional<TimePoint> timer_at_;  ///< as last returned by SetTimer, until it fires
    int local_health_score_ = 0;
    int leave_rounds_left_ = -1;  ///< rounds of gossip; negative: not leaving

    TimePoint last_received_at_{};  ///< any datagram
    TimePoint last_response_at_{};  ///< to a datagram of its own
    TimePoint next_isolation_probe_ = TimePoint::max();
    MemberAddress last_reconnect_target_;
    std::size_t fast_reconnects_left_ = 0;
    bool started_ = false;
    bool ended_ = false;  ///< LeaveCompleted was returned
    Counts counts_;
};

}  // namespace ochrehub::membership
