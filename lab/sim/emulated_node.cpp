#include "lab/sim/emulated_node.h"
#include "lab/record/decision_recorder.h"

#include <algorithm>
#include <utility>

namespace ochrehub::lab {

Settings settings_of(const Day& day, NodeNo node) {
    Settings set;
    set.balancers = int(day.nodes.size());
    set.me = int(node);
    set.zone = day.nodes[std::size_t(node)].zone;
    for (const ClassFigures& figures : day.classes) {
        ClassSettings& c = set.classes.emplace_back();
        c.aim = figures.aim;
        c.give_up = figures.give_up;
        c.window = figures.window;
        c.late_worth = figures.late_worth;
        c.gain = figures.worth;
        c.effect = figures.effect;
        c.scope = figures.scope;
    }
    for (const TenantFigures& figures : day.tenants)
        set.tenants.push_back({figures.quota_rps, figures.share});
    const Limits& limits = day.limits;
    set.must_ask = limits.must_ask;
    set.watches = true;
    set.probes = limits.probes;
    set.probes_report_load = false;  // reports say what waits, not what is held
    set.cancel = limits.cancel;
    set.second_copies = limits.second_copies;
    set.retry_after = limits.retry_after;
    set.max_attempts = limits.max_attempts;
    set.max_retry_after = limits.max_retry_after;
    set.granularity = Duration{2};
    set.connect_timeout = limits.connect_timeout;
    set.conn_idle = limits.conn_idle;
    set.grace_to_answer = limits.grace;
    set.cold_time = limits.cold_time;
    set.cold_from = limits.cold_from;
    set.overload_factor = limits.overload_factor;
    set.tip_after = limits.tip_after;
    set.over_share_worth = limits.over_share_worth;
    set.price_cross_zone = limits.price_cross_zone;
    set.price_probe = limits.price_probe;
    return set;
}

DescriptorBudget budget_of(const Day& day, NodeNo node) {
    std::size_t sockets = day.nodes[std::size_t(node)].sockets;
    for (const Fault& fault : day.faults) {
        bool hit = fault.nodes.empty() ||
                   std::find(fault.nodes.begin(), fault.nodes.end(), node) != fault.nodes.end();
        if (fault.kind == FaultKind::NodeSockets && hit) sockets = std::size_t(fault.size);
    }
    return DescriptorBudget::divide(sockets);
}

EmulatedNode::EmulatedNode(const Day& day, NodeNo node, const Settings& settings, NodeScheduler& scheduler,
                           NodeWorld& world, const ListOut& known, std::uint64_t seed, Meddler* meddler,
                           bool bounded_admission, SimFront::LoadStateHeard load_state)
    : engine_(scheduler, settings, seed),
      pool_(scheduler, world, engine_, settings, budget_of(day, node).servers, meddler),
      watch_(day, scheduler, world, seed * 3 + 1,
             [this](const Listing& listing) {
                 front_.listed(listing);
                 engine_.listed(listing);
             }),
      front_(scheduler, world, engine_,
             AdmissionController::of(settings, budget_of(day, node).asked, ~seed, bounded_admission),
             budget_of(day, node), meddler, pool_.hands(), std::move(load_state)) {
    engine_.connect(pool_, watch_);
    if (DecisionRecorder::active())
        engine_.observe_decisions([](TimePoint now, const Event& event, const Actions& actions) {
            record_decision("balancer", now, event, actions);
        });
    pool_.hands().reply = [&world](ClientConnection connection, TryId id, const SimReply& reply) {
        world.reply(connection, id, reply);
    };
    watch_.cached(known);
}

}  // namespace ochrehub::lab
