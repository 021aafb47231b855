#include "lab/sim/emulated_node.h"

#include <algorithm>
#include <utility>

#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {

Settings settings_of(const Day& day, NodeNo node) {
    Settings set;
    set.node_count = int(day.nodes.size());
    set.node_index = int(node);
    set.zone = day.nodes[std::size_t(node)].zone;
    for (const ClassFigures& figures : day.classes) {
        ClassSettings& c = set.classes.emplace_back();
        c.latency_objective = figures.aim;
        c.request_timeout = figures.give_up;
        c.deduplication_window = figures.window;
        c.late_response_weight = figures.late_worth;
        c.priority_weight = figures.worth;
        c.idempotency = figures.effect;
        c.deduplication_scope = figures.scope;
    }
    for (const TenantFigures& figures : day.tenants)
        set.tenants.push_back({figures.quota_rps, figures.share});
    const Limits& limits = day.limits;
    set.polls_discovery = limits.must_ask;
    set.watches_discovery = true;
    set.probes = limits.probes;
    set.probes_report_load = false;  // reports say what waits, not what is held
    set.cancel = limits.cancel;
    set.allows_hedging = limits.second_copies;
    set.retry_after = limits.retry_after;
    set.max_attempts = limits.max_attempts;
    set.max_retry_after = limits.max_retry_after;
    set.clock_granularity = Duration{2};
    set.connect_timeout = limits.connect_timeout;
    set.connection_idle_timeout = limits.conn_idle;
    set.response_grace = limits.grace;
    set.slow_start_duration = limits.cold_time;
    set.slow_start_initial_capacity = limits.cold_from;
    set.overload_factor = limits.overload_factor;
    set.overload_after = limits.tip_after;
    set.over_quota_weight = limits.over_share_worth;
    set.cross_zone_cost = limits.price_cross_zone;
    set.probe_cost = limits.price_probe;
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
             [this](const EndpointList& listing) {
                 front_.listed(listing);
                 engine_.update_endpoints(listing);
             }),
      front_(
          scheduler, world, engine_,
          AdmissionController::from_settings(settings, budget_of(day, node).asked, ~seed, bounded_admission),
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
