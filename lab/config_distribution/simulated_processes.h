// The simulated processes that run the shipped cores. Private to simulation.cpp.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/config_distribution/config_subscriber.h"
#include "fleet/coordinator/replica.h"
#include "fleet/coordinator/session.h"
#include "fleet/raft/raft.h"
#include "lab/config_distribution/invariant_checker.h"
#include "lab/config_distribution/simulation.h"
#include "lab/swarm/net.h"

namespace ochrehub::lab {

using Wire =
    Net<std::string>;  ///< first byte: r (Raft), a (request), w (response), f (a file that a script copies)

/// Creates a ConfigStateMachine, or the mutant of it.
coordinator::StateMachineFactory state_machine_factory(ConfigMutant mutant);

/// Why a node of this zone rejects the content; empty if it accepts it.
std::string local_check(const config_distribution::Content& content, const std::string& zone);

class CoordinatorProcess {
public:
    CoordinatorProcess(Wire& net, std::size_t self, std::size_t coordinators, ConfigMutant mutant,
                       std::uint64_t seed);
    void start();
    void crash() { replica_.reset(), raft_.reset(); }
    void timer_fired(TimePoint own);
    void received(TimePoint own, std::size_t from, const std::string& message);
    const config_distribution::ConfigStateMachine* machine() const;
    bool leads() const { return replica_ && replica_->role() == raft::Role::Leader; }
    const std::string& stopped() const { return stopped_; }

private:
    void handle(TimePoint own, coordinator::ReplicaEvent event);
    void write(const raft::Write& write);

    Wire& net_;
    std::size_t self_;
    ConfigMutant mutant_;
    std::uint64_t seed_, starts_ = 0;
    raft::PersistentState disk_;
    std::unique_ptr<raft::Raft> raft_;
    std::unique_ptr<coordinator::Replica> replica_;
    TimePoint last_{}, timer_{};
    std::string stopped_;
};

struct ProcessSettings {
    std::size_t coordinators = 0, self = 0;
    std::string name, zone;
    Duration lease{};
    ConfigMutant mutant{};
    std::uint64_t seed = 1;
};

/// A process with a session: a node or an operator's command line tool.
class SessionProcess {
public:
    SessionProcess(Wire& net, const ProcessSettings& settings) : net_(net), set_(settings) {}
    virtual ~SessionProcess() = default;
    void timer_fired(TimePoint own);
    void received(TimePoint own, std::size_t from, const std::string& message);
    bool up() const { return session_ != nullptr; }

protected:
    void begin();
    void end() { session_.reset(); }
    TimePoint own();
    void session(const coordinator::SessionEvent& event);
    void wake();
    virtual void before() {}  ///< called before each event, so that decisions may precede it
    virtual void look(TimePoint) {}
    virtual void held(const coordinator::SessionRenewed&, const std::string& /*update*/) {}
    virtual void lost() {}
    virtual void answered(const coordinator::CallCompleted&) {}
    virtual TimePoint wanted() const { return TimePoint::max(); }

    Wire& net_;
    ProcessSettings set_;
    std::unique_ptr<coordinator::Session> session_;
    std::uint64_t starts_ = 0;
    TimePoint session_timer_ = TimePoint::max(), last_{}, timer_{};
};

class NodeProcess : public SessionProcess {
public:
    NodeProcess(Wire& net, ConfigInvariantChecker& checker, const ProcessSettings& settings)
        : SessionProcess(net, settings), checker_(checker), random_(unsigned(settings.seed)) {}
    void start();
    void crash();
    void lose_file() { file_.clear(); }
    /// Reports the configuration in effect to the invariant checker.
    void record_decisions();
    std::vector<config_distribution::ConfigSubscriber::Status> status();

protected:
    void before() override { record_decisions(); }
    void look(TimePoint own) override;
    void held(const coordinator::SessionRenewed& held, const std::string& update) override;
    void lost() override;
    TimePoint wanted() const override;

private:
    void handle_subscriber(const config_distribution::Event& event);
    void execute(TimePoint own, config_distribution::Actions& actions);

    ConfigInvariantChecker& checker_;
    boost::random::taus88 random_;
    std::optional<config_distribution::ConfigSubscriber> subscriber_;
    std::string file_, previous_update_;
    std::map<std::string, config_distribution::ConfigLease> leases_;
    std::deque<std::pair<TimePoint,
                         std::variant<config_distribution::ApplyConfig, config_distribution::ExtendLeases>>>
        loop_;  ///< posted to the event loop, not executed yet
    TimePoint subscriber_timer_ = TimePoint::max(), next_decision_{};
    std::uint64_t calls_ = 0;
};

class OperatorProcess : public SessionProcess {
public:
    using ConfigResponse = std::function<void(const config_distribution::ConfigResponse&)>;
    using SessionProcess::SessionProcess;
    void start() { begin(); }
    /// `then` is not called if the request fails.
    void query_document(const std::string& document, ConfigResponse then);
    void ask(const std::string& command, ConfigResponse then);

protected:
    void answered(const coordinator::CallCompleted& answered) override;

private:
    std::map<std::uint64_t, ConfigResponse> waiting_;
    std::uint64_t calls_ = 0;
};

}  // namespace ochrehub::lab
