#include "lab/config_distribution/simulation.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>

#include "fleet/config_distribution/max_inconsistency.h"
#include "lab/config_distribution/simulated_processes.h"

namespace ochrehub::lab {
namespace {

using config_distribution::ConfigMode;
using config_distribution::ConsistencyMode;
using config_distribution::Content;
using config_distribution::ExpiryPolicy;

constexpr Duration kChangeInterval{4000};  // between two proposals
constexpr Duration kSettlePhase{40'000};   // after the last fault

struct Kind {
    std::string name;
    ConsistencyMode mode;
    ExpiryPolicy expiry_policy;
};
const std::vector<Kind>& kinds() {
    static const std::vector<Kind> all = {{"classes", ConsistencyMode::Strict, ExpiryPolicy::DenyAll},
                                          {"hand", ConsistencyMode::Bounded, ExpiryPolicy::Conservative},
                                          {"headers", ConsistencyMode::Bounded, ExpiryPolicy::DenyAll},
                                          {"list", ConsistencyMode::Bounded, ExpiryPolicy::KeepCurrent},
                                          {"partners", ConsistencyMode::Strict, ExpiryPolicy::KeepCurrent},
                                          {"rates", ConsistencyMode::Strict, ExpiryPolicy::Conservative}};
    return all;
}

std::string numbered(std::string_view what, std::size_t number) {
    return std::string(what).append(std::to_string(number));
}

struct RandomSource {
    std::mt19937_64 random;
    std::uint64_t below(std::uint64_t n) { return random() % n; }
    double uniform() { return double(random() >> 11) * 0x1p-53; }
    bool chance(double p) { return uniform() < p; }
};

/// A random content for a document; most conflict with the previous one.
Content random_content(RandomSource& random_source, const std::string& name, const std::string& bad) {
    if (name == "rates") {
        config_distribution::Limits c{900'000, {}};
        std::uint64_t left = 900'000 - 4 * 50'000;
        for (const char* who : {"a", "b", "c", "d"}) {
            std::uint64_t more = *who == 'd' ? left : random_source.below(left + 1);
            left -= more;
            c.limits.push_back({who, 50'000 + more, 10, 50'000});
        }
        if (!bad.empty()) c.limits[0].rate -= 1000, c.limits.push_back({bad, 1000, 1, 0});
        return c;
    }
    if (name == "classes") {
        config_distribution::Classes c;
        for (const char* who : {"order", "page", "price"})
            c.classes.push_back(
                random_source.chance(0.5)
                    ? config_distribution::ClassRule{who, config_distribution::RetryRule::Allowed, 2}
                    : config_distribution::ClassRule{who, config_distribution::RetryRule::Forbidden, 1});
        if (!bad.empty()) c.classes.push_back({bad, config_distribution::RetryRule::Forbidden, 1});
        return c;
    }
    if (name == "headers") {
        config_distribution::Headers c;
        for (const char* who : {"x-cell", "x-trust"})
            c.rules.push_back(
                {config_distribution::HeaderAction::Set, who, std::to_string(random_source.below(3))});
        if (random_source.chance(0.3))
            c.rules.push_back({config_distribution::HeaderAction::Remove, "x-cell", ""});
        if (!bad.empty()) c.rules.push_back({config_distribution::HeaderAction::Set, bad, "1"});
        return c;
    }
    if (name == "partners") {
        config_distribution::Partners c;
        for (const char* who : {"dealer", "market", "shop"})
            c.partners.push_back({who,
                                  random_source.chance(0.6) ? config_distribution::PartnerStatus::Open
                                                            : config_distribution::PartnerStatus::Closed,
                                  {std::string("key-") + who}});
        if (!bad.empty()) c.partners.push_back({bad, config_distribution::PartnerStatus::Open, {}});
        return c;
    }
    config_distribution::Servers c;
    c.source = name == "hand" ? config_distribution::ListSource::Operator
                              : config_distribution::ListSource::Discovery;
    if (name == "list") c.revision = 1 + random_source.below(1'000'000);
    for (std::size_t i = 0; i < 8; ++i)
        if (random_source.chance(0.7))
            c.servers.push_back({numbered("s", i),
                                 random_source.chance(0.7) ? config_distribution::ServerUse::In
                                                           : config_distribution::ServerUse::Out,
                                 {}});
    if (!bad.empty()) c.servers.push_back({bad, config_distribution::ServerUse::In, {}});
    return c;
}

/// The faults of a run by time, the same for a run with coordinators and one with copied files.
struct FaultPlan {
    struct Event {
        TimePoint at;
        enum class What { Cut, Mend, Stop, GoOn, Crash, Start, Forget, Loss, Delay, Clock } what;
        std::size_t a = 0, b = 0;
        double number = 0;
    };
    std::vector<Event> events;

    FaultPlan(const ConfigSimulationSettings& set, Duration length) {
        RandomSource random_source{std::mt19937_64(set.seed * 77 + 5)};
        std::size_t all = set.coordinators + set.nodes + 2;
        auto add = [&](Duration at, Event::What what, std::size_t a = 0, std::size_t b = 0,
                       double number = 0) {
            events.push_back({TimePoint{at}, what, a, b, number});
        };
        auto when = [&] { return Duration{1000} + (length - Duration{1000}) * random_source.uniform(); };
        auto node = [&] { return set.coordinators + random_source.below(set.nodes); };
        bool every = set.fault == ConfigFault::All;
        auto with = [&](ConfigFault fault) {
            return set.fault == fault || (every && random_source.chance(0.6));
        };
        // Clock rates always differ, by up to 1 %.
        for (std::size_t i = 0; i < all; ++i)
            add(Duration{0}, Event::What::Clock, i, 0, 0.995 + 0.01 * random_source.uniform());
        if (set.fault == ConfigFault::None) return;
        if (with(ConfigFault::Loss))
            add(Duration{500}, Event::What::Loss, 0, 0, 0.02 + 0.1 * random_source.uniform());
        if (with(ConfigFault::Delays))
            for (int i = 0; i < 30; ++i) {
                std::size_t a = node(), k = random_source.below(set.coordinators);
                double most =
                    50 + 800 * random_source.uniform();  // one random number per statement: compilers differ
                                                         // in the order of evaluation of arguments
                std::size_t to = random_source.chance(0.5) ? k : a, from = random_source.chance(0.5) ? a : k;
                add(when(), Event::What::Delay, from, to, most);
            }
        if (with(ConfigFault::Partitions) || with(ConfigFault::OneWayPartitions))
            for (int i = 0; i < 25; ++i) {
                std::size_t n = node();
                Duration from = when(), till = from + Duration{500 + 9000 * random_source.uniform()};
                int way =
                    set.fault == ConfigFault::Partitions
                        ? 0
                        : int(random_source.below(3));  // 0: both directions, 1: to the node, 2: from it
                for (std::size_t k = 0; k < set.coordinators; ++k) {
                    if (way != 1) add(from, Event::What::Cut, n, k), add(till, Event::What::Mend, n, k);
                    if (way != 2) add(from, Event::What::Cut, k, n), add(till, Event::What::Mend, k, n);
                }
            }
        if (with(ConfigFault::Pauses))
            for (int i = 0; i < 20; ++i) {
                std::size_t n = node();
                Duration from = when();
                add(from, Event::What::Stop, n);
                add(from + (random_source.chance(0.4) ? Duration{30'000}
                                                      : Duration{200 + 5000 * random_source.uniform()}),
                    Event::What::GoOn, n);
            }
        if (with(ConfigFault::Crashes))
            for (int i = 0; i < 20; ++i) {
                std::size_t n = node();
                Duration from = when();
                add(from, Event::What::Crash, n);
                if (random_source.chance(0.3)) add(from + Duration{1}, Event::What::Forget, n);
                add(from + Duration{10 + 4000 * random_source.uniform()}, Event::What::Start, n);
            }
        if (with(ConfigFault::Coordinators))
            for (int i = 0; i < 12; ++i) {
                std::size_t k = random_source.below(set.coordinators);
                Duration from = when(), till = from + Duration{500 + 6000 * random_source.uniform()};
                switch (random_source.below(4)) {
                    case 0:
                        add(from, Event::What::Crash, k), add(till, Event::What::Start, k);
                        break;
                    case 1:
                        add(from, Event::What::Stop, k), add(till, Event::What::GoOn, k);
                        break;
                    case 2:  // one way: messages that it sends to the others are lost
                        for (std::size_t o = 0; o < set.coordinators; ++o)
                            if (o != k) add(from, Event::What::Cut, k, o), add(till, Event::What::Mend, k, o);
                        break;
                    case 3:  // a majority, about once per run
                        if (random_source.chance(0.5)) break;
                        for (std::size_t o = 0; o <= set.coordinators / 2; ++o)
                            add(from, Event::What::Crash, o), add(till, Event::What::Start, o);
                        break;
                }
            }
        if (every)
            for (int i = 0; i < 10; ++i) {
                double rate = 0.995 + 0.01 * random_source.uniform();
                std::size_t process = random_source.below(all);
                add(when(), Event::What::Clock, process, 0, rate);
            }
        std::stable_sort(events.begin(), events.end(),
                         [](const Event& a, const Event& b) { return a.at < b.at; });
    }
};

struct ConfigSimulation {
    ConfigSimulationSettings set;
    ConfigInvariantChecker checker;
    Wire net;
    std::vector<std::unique_ptr<CoordinatorProcess>> coordinators;
    std::vector<std::unique_ptr<NodeProcess>> nodes;
    std::vector<std::unique_ptr<OperatorProcess>> operators;
    RandomSource random_source;
    ConfigSimulationResult result;
    std::uint64_t tokens = 0;

    explicit ConfigSimulation(const ConfigSimulationSettings& settings)
        : set(settings),
          checker(settings.contradict),
          net({settings.coordinators + settings.nodes + 2, Duration{0.2}, Duration{2}, 0, 0, true,
               settings.seed},
              {[this](std::size_t p, TimePoint own) { timer_fired(p, own); },
               [this](std::size_t to, std::size_t from, TimePoint own, const std::string& m) {
                   received(to, from, own, m);
               }}),
          random_source{std::mt19937_64(settings.seed)} {
        for (std::size_t i = 0; i < set.coordinators; ++i)
            coordinators.push_back(std::make_unique<CoordinatorProcess>(net, i, set.coordinators, set.mutant,
                                                                        set.seed * 100 + i));
        const char* zones[] = {"a", "b", "c"};
        for (std::size_t i = 0; i < set.nodes; ++i) {
            std::size_t self = set.coordinators + i;
            nodes.push_back(std::make_unique<NodeProcess>(
                net, checker,
                ProcessSettings{set.coordinators, self, numbered("n", i), zones[i % 3], set.lease, set.mutant,
                                set.seed * 100 + self}));
        }
        for (std::size_t i = 0; i < 2; ++i) {
            std::size_t self = set.coordinators + set.nodes + i;
            operators.push_back(std::make_unique<OperatorProcess>(
                net, ProcessSettings{set.coordinators, self, numbered("operator", i), "", set.lease,
                                     ConfigMutant::None, set.seed * 100 + self}));
        }
    }
    void begin() {
        for (auto& k : coordinators) k->start();
        for (auto& n : nodes) n->start();
        for (auto& o : operators) o->start();
    }
    bool is_node(std::size_t p) const { return p >= set.coordinators && p < set.coordinators + set.nodes; }

    void timer_fired(std::size_t p, TimePoint own) {
        if (p < set.coordinators)
            coordinators[p]->timer_fired(own);
        else if (is_node(p))
            nodes[p - set.coordinators]->timer_fired(own);
        else
            operators[p - set.coordinators - set.nodes]->timer_fired(own);
    }
    void received(std::size_t p, std::size_t from, TimePoint own, const std::string& m) {
        if (p < set.coordinators)
            coordinators[p]->received(own, from, m);
        else if (is_node(p))
            nodes[p - set.coordinators]->received(own, from, m);
        else
            operators[p - set.coordinators - set.nodes]->received(own, from, m);
    }
    void crash(std::size_t p) {
        if (!net.up(p)) return;
        net.crash(p);
        if (p < set.coordinators)
            coordinators[p]->crash();
        else if (is_node(p))
            nodes[p - set.coordinators]->crash();
    }
    void start(std::size_t p) {
        if (net.up(p)) return;
        net.start(p);
        if (p < set.coordinators)
            coordinators[p]->start();
        else if (is_node(p))
            nodes[p - set.coordinators]->start();
    }
    void inject(const FaultPlan::Event& e) {
        using What = FaultPlan::Event::What;
        switch (e.what) {
            case What::Cut:
            case What::Mend:
                return net.cut(e.a, e.b, e.what == What::Cut);
            case What::Stop:
                return net.stop(e.a);
            case What::GoOn:
                return net.go_on(e.a);
            case What::Crash:
                return crash(e.a);
            case What::Start:
                return start(e.a);
            case What::Forget:
                if (is_node(e.a) && !net.up(e.a)) nodes[e.a - set.coordinators]->lose_file();
                return;
            case What::Loss:
                return net.loss(e.number), net.doubled(e.number / 2);
            case What::Delay:
                return net.delay(e.a, e.b, Duration{e.number});
            case What::Clock:
                return net.clock(e.a, e.number);
        }
    }

    /// An operator queries a document and proposes a change.
    void change(OperatorProcess& by, const Kind& kind, const std::string& who) {
        std::uint64_t token = ++tokens;
        by.query_document(kind.name, [this, &by, &kind, who,
                                      token](const config_distribution::ConfigResponse& seen) {
            const config_distribution::DocumentStatus* status =
                seen.documents.empty() ? nullptr : &seen.documents.front();
            bool first = !status || !status->in_force;
            std::string bad_entry =
                random_source.chance(0.06) ? (random_source.chance(0.5) ? "bad-all" : "bad-b") : "";
            config_distribution::Document d{kind.name,
                                            0,
                                            random_content(random_source, kind.name, first ? "" : bad_entry),
                                            kind.mode,
                                            kind.expiry_policy,
                                            who,
                                            1'700'000'000 + random_source.below(1000),
                                            {},
                                            0};
            config_distribution::Proposal p{d, first ? 0 : status->in_force->version, token, true,
                                            Duration{2000 + 20'000 * random_source.uniform()}};
            bool is_bad = !first && !bad_entry.empty();
            std::string command;
            if (!first && !is_bad && !status->history.empty() && random_source.chance(0.15)) {
                command = config_distribution::rollback_command(kind.name, status->history.back().version, p);
            } else {
                if (!first && !is_bad && kind.mode == ConsistencyMode::Bounded && random_source.chance(0.15))
                    p.document.canary_scope =
                        config_distribution::CanaryScope{random_source.chance(0.5) ? "a" : "", "",
                                                         Duration{1000 + 8000 * random_source.uniform()}};
                if (p.document.canary_scope && p.document.canary_scope->zone.empty())
                    p.document.canary_scope->node = numbered("n", random_source.below(set.nodes));
                command = config_distribution::propose_command(p);
            }
            ++result.proposed;
            by.ask(command, [this](const config_distribution::ConfigResponse& answer) {
                if (answer.failure)
                    ++result.stopped[std::string(config_distribution::row(answer.failure->error).code)];
            });
        });
    }
    const config_distribution::ConfigStateMachine* machine() const {
        for (const auto& k : coordinators)
            if (k->leads()) return k->machine();
        return nullptr;
    }
    void end_faults() {
        net.heal(), net.loss(0), net.doubled(0);
        for (std::size_t p = 0; p < net.size(); ++p) net.go_on(p), start(p);
    }
    /// After the faults, all nodes must use the newest version of each document.
    void check_settled() {
        const config_distribution::ConfigStateMachine* m = machine();
        if (!m) return result.violations.push_back("no coordinator leads"), void();
        auto seen = config_distribution::decode_response(m->query(config_distribution::status_query("")));
        for (const auto& d : seen->documents) {
            if (d.phase == config_distribution::Phase::Staging ||
                d.phase == config_distribution::Phase::Draining)
                result.violations.push_back(d.name + ": its proposal is stuck");
            for (const auto& ended : d.aborted)
                ++result.stopped[std::string(config_distribution::row(ended.failure.error).code)];
            if (!d.in_force) continue;
            Content content =
                config_distribution::decode_response(m->query(config_distribution::status_query(d.name)))
                    ->documents.at(0)
                    .in_force->content;
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                // The version came into force while no node that rejects it was present; such nodes do not
                // apply it.
                if (!local_check(content, std::string(1, char('a' + i % 3))).empty()) continue;
                for (const auto& s : nodes[i]->status())
                    if (s.document == d.name &&
                        (s.mode != ConfigMode::Full || s.effective_version != d.in_force->version) &&
                        d.phase == config_distribution::Phase::None)
                        result.violations.push_back(d.name + ": a node acts on " +
                                                    std::to_string(s.effective_version) + " (" +
                                                    std::string(config_distribution::name(s.mode)) +
                                                    "), in force is " + std::to_string(d.in_force->version));
            }
        }
    }
    void check_invariants(bool check_bounded = true) {
        result.events = net.happened(), result.decisions = checker.decisions(),
        result.by_mode = checker.by_mode();
        result.in_force = int(checker.versions().size());
        result.max_inconsistency = config_distribution::max_inconsistency(
            config_distribution::lease_timing(set.lease), ConsistencyMode::Bounded);
        for (const ConfigInvariantChecker::Conflict& c : checker.conflicts()) {
            auto kind = std::find_if(kinds().begin(), kinds().end(),
                                     [&](const Kind& k) { return k.name == c.document; });
            Duration longest = c.length - c.canary_allowance;
            bool strict = kind->mode == ConsistencyMode::Strict;
            if (!strict) result.longest_bounded = std::max(result.longest_bounded, longest);
            if (check_bounded ? !strict && longest <= result.max_inconsistency : !strict) continue;
            std::ostringstream line;
            line << c.document << (strict ? " (strict)" : " (quick)") << ": for " << c.length.count()
                 << " ms from " << c.from.time_since_epoch().count() << " on node " << c.a << " acted on "
                 << c.version_a << " (" << config_distribution::name(c.mode_a) << "), node " << c.b << " on "
                 << c.version_b << " (" << config_distribution::name(c.mode_b) << ")";
            if (result.violations.size() < 20) result.violations.push_back(line.str());
        }
        for (const auto& version : checker.versions())
            if (set.fault == ConfigFault::None && checker.refused().contains(version))
                result.violations.push_back(version.first + " " + std::to_string(version.second) +
                                            ": acted on, and some node's check had refused it");
        for (const auto& k : coordinators)
            if (!k->stopped().empty())
                result.violations.push_back("a coordinator stopped at " + k->stopped());
    }
};

}  // namespace

std::string_view name(ConfigFault fault) {
    constexpr std::string_view kNames[kConfigFaults] = {
        "none", "loss", "late", "cuts", "one-way cuts", "pauses", "crashes", "keepers", "all"};
    return kNames[std::size_t(fault)];
}
std::string_view name(ConfigMutant mutant) {
    constexpr std::string_view kNames[kConfigMutants] = {"none",
                                                         "counts from the answer",
                                                         "holds too long",
                                                         "looks too late",
                                                         "gives back at once",
                                                         "takes old news",
                                                         "acts from disk",
                                                         "keeps over sessions",
                                                         "no draining",
                                                         "a majority gives back",
                                                         "extends first",
                                                         "short lease",
                                                         "no is yes"};
    return kNames[std::size_t(mutant)];
}

ConfigSimulationSettings mutant_settings(ConfigMutant mutant, ConfigFault fault, std::uint64_t seed) {
    ConfigSimulationSettings set;
    set.nodes = 8, set.changes = 30, set.seed = seed, set.fault = fault, set.mutant = mutant;
    return set;
}

ConfigSimulationResult run(const ConfigSimulationSettings& settings) {
    ConfigSimulation w(settings);
    w.begin();
    Duration length = Duration{5000} + kChangeInterval * settings.changes;
    FaultPlan plan(settings, length);
    auto fault = plan.events.begin();
    auto run_to = [&](TimePoint at) {
        for (; fault != plan.events.end() && fault->at <= at; ++fault) {
            w.net.run_to(fault->at);
            w.inject(*fault);
        }
        w.net.run_to(at);
    };
    for (int i = 0; i < settings.changes; ++i) {
        run_to(TimePoint{Duration{5000} + kChangeInterval * i});
        // The first changes create each document.
        const Kind& kind =
            kinds()[std::size_t(i) < kinds().size() ? std::size_t(i) : w.random_source.below(kinds().size())];
        std::size_t who = w.random_source.below(2);
        w.change(*w.operators[who], kind, numbered("operator", who));
        if (w.random_source.chance(0.15))
            w.change(*w.operators[1 - who], kind, numbered("operator", 1 - who));
    }
    run_to(TimePoint{length});
    w.end_faults();
    w.net.run_to(w.net.now() + kSettlePhase);
    w.check_settled();
    w.check_invariants();
    return w.result;
}

ConfigSimulationResult run_copied_files(const ConfigSimulationSettings& settings) {
    ConfigSimulation w(settings);
    Duration length = Duration{5000} + kChangeInterval * settings.changes;
    FaultPlan plan(settings, length);
    struct NodeFile {
        std::uint64_t version = 0;
        std::shared_ptr<const Content> content;
    };
    std::vector<std::map<std::string, NodeFile>> files(settings.nodes);
    struct Copy {
        std::size_t node = 0, by = 0;
        std::string name;
        NodeFile file;
    };
    std::multimap<TimePoint, Copy> copies;
    auto fault = plan.events.begin();
    std::vector<std::vector<Copy>> signalled(settings.nodes);  // reloads pending while the node is paused
    std::set<std::pair<std::size_t, std::size_t>> cut;
    TimePoint now{}, decide{};
    auto reload = [&](const Copy& c) {
        const std::string zone(1, char('a' + c.node % 3));
        if (local_check(*c.file.content, zone).empty()) files[c.node][c.name] = c.file;
    };
    std::uint64_t version = 0;
    int change = 0;
    while (now < TimePoint{length}) {
        TimePoint next_change = TimePoint{Duration{5000} + kChangeInterval * change};
        now = std::min({decide, next_change, fault == plan.events.end() ? TimePoint{length} : fault->at,
                        copies.empty() ? TimePoint{length} : copies.begin()->first, TimePoint{length}});
        for (; fault != plan.events.end() && fault->at <= now; ++fault) {
            // The script runs on the coordinators' side of a partition.
            using What = FaultPlan::Event::What;
            std::size_t n = w.is_node(fault->a) ? fault->a : fault->b;
            if (fault->what == What::Cut && w.is_node(n)) cut.emplace(fault->a, fault->b);
            if (fault->what == What::Mend) cut.erase({fault->a, fault->b});
            if (!w.is_node(fault->a) || fault->what == What::Cut || fault->what == What::Mend) continue;
            std::size_t i = fault->a - settings.coordinators;
            w.net.run_to(now);
            if (fault->what == What::Stop || fault->what == What::GoOn || fault->what == What::Clock)
                w.inject(*fault);
            if (fault->what == What::GoOn)
                for (const Copy& c : std::exchange(signalled[i], {})) reload(c);
            if (fault->what == What::Crash)
                w.net.crash(fault->a), w.checker.node_stopped(fault->a), signalled[i].clear();
            if (fault->what == What::Start) w.net.start(fault->a);
            if (fault->what == What::Forget) files[i].clear();
        }
        for (; !copies.empty() && copies.begin()->first <= now; copies.erase(copies.begin())) {
            const Copy& c = copies.begin()->second;
            std::size_t p = settings.coordinators + c.node;
            if (!w.net.up(p) || cut.contains({0, p}) || cut.contains({p, 0}))
                continue;  // the copy fails; the script reports it and continues
            if (w.net.stopped(p))
                signalled[c.node].push_back(c);
            else
                reload(c);
        }
        if (now >= next_change && change < settings.changes) {
            const Kind& kind =
                kinds()[std::size_t(change) < kinds().size() ? std::size_t(change)
                                                             : w.random_source.below(kinds().size())];
            std::string bad_entry =
                w.random_source.chance(0.06) ? (w.random_source.chance(0.5) ? "bad-all" : "bad-b") : "";
            for (int by = 0; by < (w.random_source.chance(0.15) ? 2 : 1); ++by) {
                NodeFile file{++version, std::make_shared<const Content>(
                                             random_content(w.random_source, kind.name,
                                                            change < int(kinds().size()) ? "" : bad_entry))};
                for (std::size_t i = 0; i < settings.nodes; ++i) {
                    std::size_t node =
                        by == 0 ? i : settings.nodes - 1 - i;  // a second script copies in the reverse order
                    copies.emplace(now + Duration{100.0 * double(i) + 100 * w.random_source.uniform()},
                                   Copy{node, 0, kind.name, file});
                }
                ++w.result.proposed;
            }
            ++change;
        }
        for (std::size_t i = 0; i < settings.nodes; ++i) {
            std::size_t p = settings.coordinators + i;
            if (!w.net.up(p) || w.net.stopped(p)) continue;
            for (const auto& [name, file] : files[i])
                w.checker.record(p, name, {ConfigMode::Full, file.version, file.content}, now);
        }
        if (now >= decide) decide = now + Duration{50};
        if (now >= TimePoint{length}) break;
    }
    w.check_invariants(false);
    return w.result;
}

ConfigSimulationResult run_single_change(std::uint64_t seed, std::uint64_t event, std::size_t process,
                                         bool crash) {
    ConfigSimulationSettings settings;
    settings.coordinators = 3, settings.nodes = 3, settings.seed = seed, settings.fault = ConfigFault::None;
    ConfigSimulation w(settings);
    w.begin();
    const Kind& kind = kinds()[5];  // `rates`, Strict
    RandomSource other{std::mt19937_64(seed + 1)};
    w.net.run_to(TimePoint{Duration{5000}});
    auto propose = [&](std::uint64_t base) {
        config_distribution::Document d{
            kind.name, 0, random_content(other, kind.name, ""), kind.mode, kind.expiry_policy, "ann", 0,
            {},        0};
        w.operators[0]->ask(
            config_distribution::propose_command({d, base, ++w.tokens, true, Duration{20'000}}),
            [](const config_distribution::ConfigResponse&) {});
    };
    propose(0);
    w.net.run_to(TimePoint{Duration{10'000}});
    std::uint64_t from = w.net.happened();
    propose(1);
    bool done = event == 0;
    TimePoint again{}, last = w.net.now() + Duration{4000};
    while (w.net.now() < last) {
        if (!done && w.net.happened() - from >= event) {
            done = true;
            again = w.net.now() + (crash ? Duration{1000} : Duration{8000});
            last = again + Duration{12'000};
            if (crash)
                w.crash(process);
            else
                w.net.stop(process);
        }
        if (done && event != 0 && w.net.now() >= again && again != TimePoint{}) {
            if (crash)
                w.start(process);
            else
                w.net.go_on(process);
            again = {};
        }
        if (!w.net.step()) break;
    }
    std::uint64_t happened = w.net.happened() - from;
    w.check_settled();
    w.check_invariants();
    w.result.events = happened;
    if (w.result.in_force < 1) w.result.violations.push_back("nothing was ever in force");
    return w.result;
}

}  // namespace ochrehub::lab
