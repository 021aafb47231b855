// The processes of LeaseSimulation: receivers with fences, and lease holders that do jobs. Internal to the
// simulation. All times are a process's own clock, but for those of the EffectLog.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "lab/leadership/lease_simulation.h"

namespace ochrehub::lab::leadership {

using coordinator::Epoch;

/// One item of work of a job.
struct ItemKey {
    std::string role;
    std::uint64_t item = 0;
    friend auto operator<=>(const ItemKey&, const ItemKey&) = default;
};

/// A receiver: fencing::FencingGuard as shipped, a disk, and effects that take a while.
struct LeaseSimulation::ReceiverProcess {
    ReceiverProcess(LeaseSimulation& owner, std::size_t number) : simulation(owner), self(number) {}

    void started();
    void received(std::size_t from, TimePoint own, const Message& m);

    LeaseSimulation& simulation;
    std::size_t self;
    Timers timers;
    std::set<ItemKey> interrupted;  ///< recorded as begun, and crashed before the effect
    std::set<ItemKey> done;

private:
    struct NewestEpoch {
        std::uint64_t epoch = 0;
        TimePoint first_seen{};  ///< the simulation's clock
    };

    void on_query(std::size_t from, const Message& m);
    void on_retire(std::size_t from, const Message& m);
    void on_effect(std::size_t from, TimePoint own, const Message& m);
    void finish_effect(std::size_t from, TimePoint own, const Message& m);
    void forget_retired(const std::string& role);
    void write();
    void respond(std::size_t to, Message m, fencing::Verdict verdict);
    void record_epoch(const Message& m, fencing::Verdict verdict);

    fencing::FencingGuard fence{{}};
    std::vector<std::string> disk;
    std::map<std::pair<std::string, std::uint64_t>, Message> in_progress;  ///< by role and step
    std::map<std::string, NewestEpoch> newest_epochs;                      ///< by role
};

/// A lease holder as shipped, with work on jobs of `items` items each.
struct LeaseSimulation::LeaseHolderProcess {
    LeaseHolderProcess(LeaseSimulation& owner, std::size_t number) : simulation(owner), self(number) {}

    void started(TimePoint own);
    void received(std::size_t from, TimePoint own, const Message& m);
    /// An effect was authorized and is about to be sent.
    bool is_about_to_send() const;

    LeaseSimulation& simulation;
    std::size_t self;
    Timers timers;
    std::unique_ptr<ochrehub::leadership::LeaseHolder> holder;

private:
    enum class Item : char { Unknown, Todo, Done };
    /// Work on one role under one epoch.
    struct Run {
        Epoch epoch = 0;
        bool stopping = false;
        bool retiring = false;
        bool about_to_send = false;
        bool in_flight = false;
        bool is_zombie = false;  ///< a mutant's: it goes on after it reported that it had stopped
        TimePoint zombie_until{};
        std::vector<Item> items;
        std::set<std::size_t> acknowledged;              ///< receivers
        std::map<std::uint64_t, TimePoint> in_progress;  ///< items, since when receivers report that
        std::uint64_t done_count = 0;                    ///< of an endless role
        std::uint64_t attempts = 0;
        std::uint64_t last_send = 0;
    };

    Mutant mutant() const { return simulation.set_.mutant; }
    void open_session(TimePoint own);
    SessionHooks session_hooks();
    void handle(TimePoint own, const ochrehub::leadership::LeaseHolderEvent& event);
    void set_timer(TimePoint at);
    void start(TimePoint own, const std::string& role, Epoch epoch, bool retiring);
    void stop(TimePoint own, const ochrehub::leadership::StopWork& stop);
    void report_stopped(TimePoint own, const std::string& role, Epoch epoch);
    std::optional<Epoch> current_epoch(TimePoint own, const std::string& role, const Run& run) const;
    std::size_t receiver_of(std::uint64_t item) const;
    Message message(Message::Kind kind, const std::string& role, const Run& run) const;
    void tick(TimePoint own, const std::string& role, Epoch epoch);
    /// Returns the time until the next tick; none: the run has ended.
    std::optional<Duration> advance(TimePoint own, const std::string& role, Run& run);
    void query(const std::string& role, const Run& run, std::uint64_t item);
    void retire(const std::string& role, const Run& run);
    Duration work(TimePoint own, const std::string& role, Run& run);
    Duration complete(TimePoint own, const std::string& role, Run& run);
    void send_effect(TimePoint own, const std::string& role, Epoch epoch, Message m);
    void on_verdict(TimePoint own, const Message& m, Run& run);
    void on_endless_verdict(std::size_t from, const Message& m, Run& run) const;

    std::unique_ptr<CoordinatorSession> session;
    std::uint64_t starts = 0;
    std::map<std::string, Run> runs;  ///< by role
    std::optional<TimePoint> timer_at;
};

}  // namespace ochrehub::lab::leadership
