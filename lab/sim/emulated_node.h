// The shipped decision module and engine as a process of the emulated tier: only what would touch sockets is
// replaced.
#pragma once

#include <memory>

#include "engine/engine.h"
#include "lab/sim/sim_front.h"
#include "lab/sim/sim_pool.h"
#include "lab/sim/sim_watch.h"

namespace ochrehub::lab {

/// What the module is told on this day: the same as the real node reads from its configuration.
Settings settings_of(const Day& day, NodeNo node);

/// The descriptors it divides: a fault of the day may bind them.
DescriptorBudget budget_of(const Day& day, NodeNo node);

class EmulatedNode : public SimNode {
public:
    EmulatedNode(const Day& day, NodeNo node, const Settings& settings, NodeScheduler& scheduler,
                 NodeWorld& world, const ListOut& known, std::uint64_t seed, Meddler* meddler = nullptr,
                 bool bounded_admission = true, SimFront::LoadStateHeard load_state = nullptr);

    void client_opened(ClientConnection connection) override { front_.opened(connection); }
    void client_asked(const Ask& ask) override { front_.asked(ask); }
    void client_noise(ClientConnection connection) override { front_.noise(connection); }
    void client_closed(ClientConnection connection) override { front_.closed(connection); }
    void link_up(ConnectionNo connection) override { pool_.link_up(connection); }
    void link_refused(ConnectionNo connection) override { pool_.link_refused(connection); }
    void link_answer(const LinkAnswer& answer) override { pool_.link_answer(answer); }
    void link_broken(ConnectionNo connection) override { pool_.link_broken(connection); }
    void listed(ListCall call, const ListOut& list) override { watch_.listed(call, list); }
    void list_failed(ListCall call) override { watch_.failed(call); }
    void sharers(int gateways, int me) override { engine_.set_fleet_size(gateways, me); }
    void drain() override { front_.drain(); }
    bool quiet() const override { return engine_.open_requests() == 0 && front_.quiet(); }
    void reload(bool moved) override {
        if (moved) watch_.move();
    }

private:
    Engine engine_;
    SimPool pool_;
    SimWatch watch_;
    SimFront front_;
};

}  // namespace ochrehub::lab
