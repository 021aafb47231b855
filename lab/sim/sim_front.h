// The clients' side of an emulated node: does in virtual time what http::Front and ClientSession do, by the
// same table of sessions.
#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <deque>
#include <functional>
#include <memory>

#include "admission/admission.h"
#include "engine/engine.h"
#include "lab/sim/node_scheduler.h"
#include "lab/sim/sim_node.h"
#include "sessions/session_table.h"

namespace ochrehub::lab {

class SimFront {
public:
    using LoadStateHeard = std::function<void(const LoadState::Change&)>;

    SimFront(NodeScheduler& scheduler, NodeWorld& world, Engine& engine, AdmissionController admission,
             DescriptorBudget budget, Meddler* meddler, const Meddler::Hands& hands,
             LoadStateHeard load_state = nullptr);
    ~SimFront();

    void opened(ClientConnection connection);
    void asked(const Ask& ask);
    void noise(ClientConnection connection);
    void closed(ClientConnection connection);
    void listed(const EndpointList& listing) {
        admission_.update_endpoints(scheduler_.now(), listing.update);
    }
    void drain() { draining_ = true; }
    bool quiet() const;

private:
    class Session;
    using Table = SessionTable<std::shared_ptr<Session>>;

    void accept(ClientConnection connection);
    void accept_waiting();
    /// False: no session has this connection.
    bool read(const Ask& ask, TimePoint came);
    void sweep();

    NodeScheduler& scheduler_;
    LagMeter lag_;
    NodeWorld& world_;
    Engine& engine_;
    Meddler* meddler_;
    const Meddler::Hands& hands_;
    AdmissionController admission_;
    LoadStateHeard load_state_;
    Table table_;
    boost::unordered_flat_map<ClientConnection, std::shared_ptr<Session>> sessions_;
    struct Backlogged {
        ClientConnection connection = 0;
        std::optional<Ask> ask;
        TimePoint ask_came{};
        bool noise = false;
    };
    std::deque<Backlogged> backlog_;  // the kernel's: connections that the node cannot accept yet
    bool draining_ = false;
};

}  // namespace ochrehub::lab
