// A model of the coordinators without Raft: one copy of the log whose leadership moves among k processes,
// with leases counted as fleet/coordinator/state_machine.h says. It fails as processes do (killed, paused, cut off,
// slow) but never has two leaders.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "fleet/leadership/lease_state_machine.h"
#include "lab/leadership/message.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab::leadership {

struct SimulatedCoordinatorSettings {
    std::size_t keepers = 3;
    Duration lease{3000};
    Duration beat{200};
    Duration election{1000},
        apart{300};  ///< without a heartbeat, before the first takes over, and per further process
    double new_leader_lease_factor = 1;  ///< part of the length that a new leader gives; saboteurs give less
    double lease_factor = 1;             ///< part of the lease that a leader counts
};

using Network = Net<Message>;

/// The coordinators: the model below, or those over Raft (raft_coordinators.h).
class Coordinators {
public:
    virtual ~Coordinators() = default;
    virtual void attach(Network& net) = 0;
    /// At its start, and at each start after a crash.
    virtual void started(std::size_t self, TimePoint own) = 0;
    virtual void crashed(std::size_t) {}
    virtual void woken(std::size_t self, TimePoint own) = 0;
    virtual void received(std::size_t self, std::size_t from, TimePoint own, const Message& message) = 0;
    /// The leader; none: not now.
    virtual std::optional<std::size_t> leads() const = 0;
    /// The state machine as the replica that has applied most has it.
    virtual const coordinator::StateMachine* look(std::string_view kind) const = 0;
    /// An operator's command. The response is added to `answers`, at once or after some network traffic.
    virtual void operate(std::string_view kind, std::string_view body) = 0;
    virtual std::vector<std::string>& answers() = 0;
};

class SimulatedCoordinators : public Coordinators {
public:
    using Machines = std::vector<std::unique_ptr<coordinator::StateMachine>>;
    SimulatedCoordinators(const SimulatedCoordinatorSettings& settings, Machines machines)
        : set_(settings), machines_(std::move(machines)), each_(settings.keepers) {}
    void attach(Network& net) override { net_ = &net; }

    void started(std::size_t self, TimePoint own) override;
    void woken(std::size_t self, TimePoint own) override;
    void received(std::size_t self, std::size_t from, TimePoint own, const Message& message) override;
    std::optional<std::size_t> leads() const override {
        return leader_ < set_.keepers ? std::optional(leader_) : std::nullopt;
    }
    const coordinator::StateMachine* look(std::string_view kind) const override;
    void operate(std::string_view kind, std::string_view body) override;
    std::vector<std::string>& answers() override { return answers_; }
    std::uint64_t sessions_ended() const { return ended_; }

private:
    struct Each {
        std::map<coordinator::SessionId, TimePoint> ends;  // by its own clock, while it leads
        struct Count {
            std::uint64_t revision = 0;
            TimePoint end{};
        };
        std::map<std::pair<std::string, std::uint64_t>, Count> armed;
        TimePoint last_heartbeat{};
        std::uint64_t term = 0;  // the last that it has seen
    };
    bool majority(std::size_t self) const;
    void take_over(std::size_t self, TimePoint own);
    void count_armed(std::size_t self, TimePoint own);
    coordinator::StateMachine& machine(std::string_view kind);
    void add_news(coordinator::SessionId session, Message& answer) const;

    SimulatedCoordinatorSettings set_;
    Machines machines_;
    std::vector<Each> each_;
    Network* net_ = nullptr;
    std::set<coordinator::SessionId> sessions_;
    coordinator::SessionId last_ = 0;
    std::size_t leader_ = 0;  // the first one, at the very start
    std::uint64_t ended_ = 0, term_ = 0;
    bool begun_ = false;
    std::vector<std::string> answers_;
};

}  // namespace ochrehub::lab::leadership
