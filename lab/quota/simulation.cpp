#include "lab/quota/simulation.h"

#include <cmath>
#include <map>

#include "lab/quota/fault_injection.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {

using namespace quota;

std::string_view name(QuotaMutant mutant) {
    constexpr std::string_view kNames[] = {"none",
                                           "charges after a delay",
                                           "counts from the response",
                                           "refunds twice",
                                           "refunds a reported charge",
                                           "forgets leases at restart",
                                           "returns and spends",
                                           "reports spent twice",
                                           "ignores epochs",
                                           "lends floors twice",
                                           "stale clock",
                                           "applies a response twice",
                                           "counts surplus twice",
                                           "in force too early",
                                           "mints above the cap"};
    return kNames[std::size_t(mutant)];
}

std::string site_name(std::size_t site) {
    return std::string("site").append(std::to_string(site));
}

Budget plain_budget(std::string partner, std::int64_t rate, std::int64_t burst, std::size_t sites,
                    std::int64_t floor, std::int64_t floor_burst) {
    Budget b{std::move(partner), rate * kUnit, burst * kUnit, 0, {}, {}, {}};
    if (floor > 0)
        for (std::size_t s = 0; s < sites; ++s)
            b.floors.push_back({site_name(s), floor * kUnit, floor_burst * kUnit});
    return b;
}

namespace {

struct Message {
    enum class Kind : std::uint8_t {
        BorrowRequest,
        BorrowResponse,
        Renew,
        Renewed,
        Command,
        CommandCompleted
    } kind{};
    std::uint64_t a = 0, b = 0;  // by kind: instance, session, sequence number
    std::string body{};
    std::string command_kind{};
};

class QuotaSimulation {
public:
    explicit QuotaSimulation(const QuotaSimulationSettings& settings)
        : settings_(settings),
          net_({0, Duration{0.2}, Duration{2}, settings.loss, settings.duplication, false, settings.seed},
               {[this](std::size_t p, TimePoint own) { on_timer(p, own); },
                [this](std::size_t p, std::size_t from, TimePoint own, const Message& m) {
                    received(p, from, own, m);
                }}),
          random_(unsigned(settings.seed * 40503u + 7)) {
        for (std::size_t group = 0; group <= settings.sites; ++group) {
            add_process(Role::Coordinator, group);
            add_process(Role::Owner, group);
            add_process(Role::Owner, group);
            for (std::size_t n = 0; group > 0 && n < settings.nodes; ++n) add_process(Role::Node, group);
        }
        for (std::size_t p = 0; p < processes_.size(); ++p) {
            if (settings.clock_rates_vary) net_.clock(p, 0.99 + 0.02 * uniform());
            if (processes_[p].role != Role::Coordinator) {
                for (std::size_t q = 0; q < processes_.size(); ++q)
                    if (processes_[p].group != processes_[q].group) add_site_delay(p, q);
            } else {
                state_machine_of(p).apply({0, command_set(0, settings_.budgets)});
            }
            start(p);
        }
        result_.offered.resize(settings.budgets.size());
    }

    QuotaSimulationResult run() {
        std::stable_sort(settings_.faults.begin(), settings_.faults.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        for (const QuotaFault& f : settings_.faults) schedule_fault(f);
        next_arrival_ = TimePoint{} + Duration{1};
        while (true) {
            TimePoint next =
                std::min(next_arrival_, scheduled_.empty() ? TimePoint::max() : scheduled_.begin()->first);
            if (next > TimePoint{} + settings_.length) break;
            if (settings_.fault_at_event && !injected_at_event_) {
                while (!injected_at_event_ && net_.happened() < settings_.fault_at_event->event &&
                       step_before(next)) {
                }
                if (net_.happened() >= settings_.fault_at_event->event) inject_at_event();
            }
            net_.run_to(next);
            if (!scheduled_.empty() && scheduled_.begin()->first <= next) {
                auto action = std::move(scheduled_.begin()->second);
                scheduled_.erase(scheduled_.begin());
                action();
            } else {
                generate_arrival();
            }
        }
        net_.run_to(TimePoint{} + settings_.length);
        std::stable_sort(result_.admitted.begin(), result_.admitted.end(),
                         [](const AdmittedRequest& a, const AdmittedRequest& b) { return a.at < b.at; });
        result_.event_count = net_.happened();
        return std::move(result_);
    }

private:
    enum class Role : std::uint8_t { Coordinator, Owner, Node };
    struct CoordinatorSession {
        std::uint64_t instance = 0;
        TimePoint expires_at{};
        std::uint64_t last_command = 0;
        std::string response;
    };
    struct ReportedSums {
        std::uint64_t lease = 0;
        Amount spent = 0, returned = 0, kept_anyway = 0;
    };
    struct Process {
        Role role{};
        std::size_t group = 0, number = 0;
        std::uint64_t instance = 0;
        // Of a coordinator.
        std::unique_ptr<QuotaStateMachine> state_machine;
        std::map<std::uint64_t, CoordinatorSession> sessions;
        std::uint64_t next_session = 1;
        // Of an allocator's owner.
        std::unique_ptr<QuotaAllocator> allocator;
        std::uint64_t session = 0, epoch = 0, version = 0, renewals = 0, commands = 0;
        TimePoint ownership_until{}, renew_at{}, allocator_timer_at{}, resend_at{};
        std::map<std::uint64_t, TimePoint> renewal_sent_at;
        std::optional<std::pair<std::uint64_t, std::string>> command;  // without a response yet
        std::optional<std::uint64_t> record_number;
        // Of a node, and of the owner of a site's allocator.
        std::unique_ptr<QuotaLimiter> limiter;
        int allocator_index = 0;
        TimePoint last_response_at{}, next_request_at{}, last_early_request_at{}, paused_at{};
        std::map<std::uint64_t, TimePoint> request_sent_at;
        std::vector<std::pair<std::size_t, Amount>> waiting;  // requests that came during a pause
        std::map<Account, BorrowResponseLine> last_lines;     // for mutants
        std::map<Account, Amount> extra_grant;
        std::map<Account, ReportedSums> reported_sums;
    };

    // Processes

    void add_process(Role role, std::size_t group) {
        std::size_t p = net_.add();
        Process& process = processes_.emplace_back();
        process.role = role, process.group = group;
        process.number = p - group_begin(group);
        if (role == Role::Coordinator) {
            std::vector<std::string> sites;
            for (std::size_t s = 0; s < settings_.sites; ++s) sites.push_back(site_name(s));
            process.state_machine = std::make_unique<QuotaStateMachine>(sites, settings_.timing);
        }
    }
    std::size_t group_begin(std::size_t group) const {
        return group == 0 ? 0 : 3 + (group - 1) * (3 + settings_.nodes);
    }
    std::size_t process_id(std::size_t group, std::size_t number) const {
        return group_begin(group) + number;
    }
    std::size_t node(std::size_t site, std::size_t n) const { return process_id(site + 1, 3 + n); }
    QuotaStateMachine& state_machine_of(std::size_t p) {
        return *processes_[process_id(processes_[p].group, 0)].state_machine;
    }
    std::string child_name(std::size_t p) const {
        if (processes_[p].role == Role::Owner) return site_name(processes_[p].group - 1);
        return std::string("node").append(std::to_string(processes_[p].number - 3));
    }
    void add_site_delay(std::size_t a, std::size_t b) {
        net_.delay(a, b, settings_.site_delay), net_.delay(b, a, settings_.site_delay);
    }
    double uniform() { return double(random_()) * 0x1p-32; }
    std::uint64_t random_id() { return (std::uint64_t(random_()) << 32 | random_()) | 1; }

    void start(std::size_t p) {
        Process& process = processes_[p];
        TimePoint own = net_.own(p);
        process.instance = random_id();
        process.last_response_at = own;
        if (process.role == Role::Owner) {
            process.allocator = std::make_unique<QuotaAllocator>(
                QuotaAllocatorSettings{process.group == 0 ? "" : site_name(process.group - 1),
                                       process.instance, process.group == 0 ? 2 : 1, settings_.timing});
            process.session = process.epoch = process.version = 0;
            process.ownership_until = {}, process.renew_at = own,
            process.allocator_timer_at = own + Duration{1};
            process.command.reset(), process.record_number.reset(), process.renewal_sent_at.clear();
            process.request_sent_at.clear();
        }
        if (process.role == Role::Node) {
            QuotaLimiterSettings settings;
            settings.instance = process.instance, settings.timing = settings_.timing;
            process.limiter = std::make_unique<QuotaLimiter>(settings);
            process.limiter->configure(settings_.budgets);
            process.next_request_at = own + settings_.timing.request_interval * uniform();
            process.waiting.clear();
            process.request_sent_at.clear();
        }
        net_.wake_at(p, own);
    }

    bool step_before(TimePoint next) {
        if (net_.now() >= next) return false;
        std::uint64_t before = net_.happened();
        return net_.step() && (net_.happened() != before || net_.now() < next);
    }
    void inject_at_event() {
        injected_at_event_ = true;
        settings_.fault_at_event->pauses
            ? stop(settings_.fault_at_event->process, settings_.fault_at_event->length)
            : crash(settings_.fault_at_event->process, settings_.fault_at_event->length);
    }

    void schedule_fault(const QuotaFault& f) {
        scheduled_.emplace(TimePoint{} + f.at, [this, f] { start_fault(f); });
    }
    void start_fault(const QuotaFault& f) {
        if (f.kind != QuotaFault::Kind::ChangeBudgets) return inject_fault(f, settings_, net_, *this);
        for (std::size_t group = 0; group <= settings_.sites; ++group) {
            QuotaStateMachine& state_machine = *processes_[process_id(group, 0)].state_machine;
            auto response = decode_command_response(state_machine.apply({0, command_get()}));
            state_machine.apply({0, command_set(response->version, settings_.changed_budgets)});
        }
        budgets_changed_ = true;
    }

public:  // Host of inject_fault.
    std::size_t group_of(std::size_t p) const { return processes_[p].group; }
    bool is_allocator(std::size_t p) const { return processes_[p].role == Role::Owner; }
    bool is_node(std::size_t p) const { return processes_[p].role == Role::Node; }
    void crash(std::size_t p, Duration restart_after) {
        if (processes_[p].role == Role::Coordinator || !net_.up(p)) return;
        net_.crash(p);
        after(restart_after, [this, p] {
            if (net_.up(p)) return;
            net_.start(p);
            start(p);
        });
    }
    void stop(std::size_t p, Duration length) {
        if (!net_.up(p) || net_.stopped(p)) return;
        processes_[p].paused_at = net_.own(p);
        net_.stop(p);
        after(length, [this, p] {
            if (!net_.stopped(p)) return;
            net_.go_on(p);
            Process& process = processes_[p];
            // Client requests of the pause are handled after the messages of other processes.
            std::uint64_t instance = process.instance;
            auto handle_waiting = [this, p](TimePoint own) {
                for (auto [partner, cost] : std::exchange(processes_[p].waiting, {}))
                    request(p, partner, cost, own);
            };
            if (settings_.mutant == QuotaMutant::StaleClock) return handle_waiting(process.paused_at);
            after(Duration{0.5}, [this, p, instance, handle_waiting] {
                if (processes_[p].instance == instance && net_.up(p) && !net_.stopped(p))
                    handle_waiting(net_.own(p));
            });
        });
    }
    void after(Duration wait, std::function<void()> action) {
        scheduled_.emplace(net_.now() + wait, std::move(action));
    }

private:
    // Timers and messages

    void on_timer(std::size_t p, TimePoint own) {
        Process& process = processes_[p];
        if (process.role == Role::Coordinator) {
            for (auto it = process.sessions.begin(); it != process.sessions.end();) {
                if (it->second.expires_at <= own) {
                    process.state_machine->session_ended(it->first);
                    it = process.sessions.erase(it);
                } else {
                    ++it;
                }
            }
            return wake(p, own, own + Duration{100});
        }
        if (process.role == Role::Owner) {
            if (own >= process.renew_at) {
                process.renew_at = own + settings_.session_duration / 3;
                process.renewal_sent_at[++process.renewals] = own;
                if (process.renewal_sent_at.size() > 8)
                    process.renewal_sent_at.erase(process.renewal_sent_at.begin());
                send(p, process_id(process.group, 0),
                     {Message::Kind::Renew, process.instance, process.renewals,
                      std::to_string(process.session)});
            }
            if (process.command && own >= process.resend_at) send_command(p, own);
            if (own >= process.allocator_timer_at) {
                process.allocator_timer_at = own + settings_.timing.request_interval;
                handle_allocator(p, own, quota::TimerFired{});
            }
            return wake(p, own,
                        std::min({process.renew_at, process.allocator_timer_at,
                                  process.command ? process.resend_at : process.renew_at}));
        }
        if (own >= process.next_request_at) {
            process.next_request_at = own + settings_.timing.request_interval;
            send_borrow_request(p, own, true);
        }
        wake(p, own, process.next_request_at);
    }
    /// At least 0.05 ms ahead: times are rounded when a clock runs at another rate, so that the timer may
    /// fire slightly before `at` by the process's own clock.
    void wake(std::size_t p, TimePoint own, TimePoint at) {
        net_.wake_at(p, std::max(at, own + Duration{0.05}));
    }

    void received(std::size_t p, std::size_t from, TimePoint own, const Message& m) {
        Process& process = processes_[p];
        switch (m.kind) {
            case Message::Kind::Renew:
                return renew(p, from, own, m);
            case Message::Kind::Command:
                return command(p, from, m);
            case Message::Kind::Renewed:
                return on_renewed(p, own, m);
            case Message::Kind::CommandCompleted:
                return on_command_response(p, own, m);
            case Message::Kind::BorrowRequest: {
                auto request = decode_borrow_request(m.body);
                if (!request || !process.allocator) return;
                return handle_allocator(p, own, RequestReceived{child_name(from), std::move(*request)});
            }
            case Message::Kind::BorrowResponse: {
                auto response = decode_borrow_response(m.body);
                if (!response) return;
                process.last_response_at = own;
                if (process.role == Role::Owner)
                    return handle_allocator(p, own, ResponseReceived{std::move(*response)});
                if (response->instance != process.instance) return;
                apply_mutant(process, own, *response);
                process.limiter->handle_response(own, *response);
                return;
            }
        }
    }

    // Coordinators

    void renew(std::size_t p, std::size_t from, TimePoint own, const Message& m) {
        Process& process = processes_[p];
        std::uint64_t session = std::stoull(m.body);
        auto found = process.sessions.find(session);
        if (found == process.sessions.end() || found->second.instance != m.a) {
            for (const auto& [id, s] : process.sessions)
                if (s.instance == m.a) session = id, found = process.sessions.find(id);
            if (found == process.sessions.end() || found->second.instance != m.a) {
                session = process.next_session++;
                process.sessions[session].instance = m.a;
                process.state_machine->session_opened(session, child(from), "");
            }
        }
        process.sessions[session].expires_at = own + settings_.session_duration;
        send(p, from, {Message::Kind::Renewed, session, m.b, process.state_machine->session_update(session)});
    }
    std::string child(std::size_t p) const { return std::string("process").append(std::to_string(p)); }
    void command(std::size_t p, std::size_t from, const Message& m) {
        Process& process = processes_[p];
        auto found = process.sessions.find(m.a);
        if (found == process.sessions.end() && settings_.mutant != QuotaMutant::IgnoresEpochs) return;
        std::string response;
        if (found != process.sessions.end() && m.b < found->second.last_command) return;
        if (found != process.sessions.end() && m.b == found->second.last_command) {
            response = found->second.response;
        } else {
            response = process.state_machine->apply({m.a, m.body});
            ++result_.records;
            if (found != process.sessions.end())
                found->second.last_command = m.b, found->second.response = response;
        }
        if (settings_.mutant == QuotaMutant::IgnoresEpochs && m.command_kind == "record") response.clear();
        send(p, from, {Message::Kind::CommandCompleted, m.a, m.b, response});
    }

    // Allocator owners

    void on_renewed(std::size_t p, TimePoint own, const Message& m) {
        Process& process = processes_[p];
        auto sent = process.renewal_sent_at.find(m.b);
        auto update = decode_session_update(m.body);
        if (sent == process.renewal_sent_at.end() || !update) return;
        if (m.a < process.session) return;
        if (m.a != process.session) {
            process.session = m.a, process.epoch = 0, process.command.reset();
            queued_records_.erase(p);
            auto record_number = std::exchange(process.record_number, std::nullopt);
            if (settings_.mutant != QuotaMutant::IgnoresEpochs)
                handle_allocator(p, own, OwnershipLost{});
            else if (record_number)
                handle_allocator(p, own, LeasesRecorded{*record_number});
        }
        TimePoint until = borrower_expiry(
            sent->second, std::int64_t(settings_.session_duration.count() * 1000), settings_.timing);
        if (settings_.mutant == QuotaMutant::IgnoresEpochs) until = own + Duration{1e9};
        process.ownership_until = std::max(process.ownership_until, until);
        if (update->owner && process.epoch != 0) {
            handle_allocator(p, own, OwnershipConfirmed{process.ownership_until, std::nullopt, true});
            if (update->version != process.version) propose(p, own, command_get());
        } else if (!process.command) {
            propose(p, own, command_own());
        }
    }
    void propose(std::size_t p, TimePoint own, std::string body) {
        Process& process = processes_[p];
        if (process.command) return;
        process.command = {++process.commands, std::move(body)};
        send_command(p, own);
    }
    void send_command(std::size_t p, TimePoint own) {
        Process& process = processes_[p];
        process.resend_at = own + Duration{200};
        send(p, process_id(process.group, 0),
             {Message::Kind::Command, process.session, process.command->first, process.command->second,
              process.record_number ? "record" : ""});
    }
    void on_command_response(std::size_t p, TimePoint own, const Message& m) {
        Process& process = processes_[p];
        if (!process.command || m.b != process.command->first || m.a != process.session) return;
        bool was_record = process.record_number.has_value();
        std::uint64_t number = process.record_number.value_or(0);
        process.command.reset(), process.record_number.reset();
        auto response = decode_command_response(m.body);
        if (was_record) {
            if (response && response->error) {
                process.epoch = 0;
                handle_allocator(p, own, OwnershipLost{});
            } else {
                handle_allocator(p, own, LeasesRecorded{number});
            }
        } else if (response && response->state) {
            process.version = response->version;
            std::vector<Budget> budgets = response->state->budgets;
            if (process.group == 0 && settings_.mutant == QuotaMutant::LendsFloorsTwice)
                for (Budget& b : budgets) b.floors.clear();
            if (settings_.mutant == QuotaMutant::MintsAboveCap)
                for (Budget& b : budgets) b.burst *= 3;
            handle_allocator(p, own, BudgetsConfigured{budgets});
            if (process.epoch == 0 && response->state->owner == process.session) {
                process.epoch = response->epoch;
                auto leases = response->state->leases;
                if (settings_.mutant == QuotaMutant::ForgetsLeasesAtRestart) leases.clear();
                handle_allocator(p, own,
                                 OwnershipConfirmed{process.ownership_until, std::move(leases), false});
                if (settings_.mutant == QuotaMutant::ForgetsLeasesAtRestart) fill_bucket(p, own);
                for (const std::string& partner : response->state->frozen)
                    handle_allocator(p, own, OperatorOrder{OperatorOrder::What::Freeze, partner, "", 0});
            }
        }
        if (queued_records_.contains(p)) {
            auto next = std::move(queued_records_[p]);
            queued_records_.erase(p);
            record(p, own, std::move(next));
        }
    }
    void record(std::size_t p, TimePoint own, RecordLeases record) {
        Process& process = processes_[p];
        if (process.command) {
            queued_records_[p] = std::move(record);
            return;
        }
        process.record_number = record.number;
        process.command = {++process.commands, command_record(process.epoch, record.leases)};
        send_command(p, own);
    }
    /// Fills the new owner's bucket, by a floor surplus that no site passed on.
    void fill_bucket(std::size_t p, TimePoint own) {
        BorrowRequest request{1, 0, {}};
        for (Amount surplus : {Amount(0), kMaxAmount}) {
            request.lines.clear();
            ++request.seq;
            for (const Budget& b : settings_.budgets)
                for (bool floor : {false, true})
                    request.lines.push_back({{b.partner, floor}, 0, 0, 0, 0, surplus});
            handle_allocator(p, own, RequestReceived{"nobody", request});
        }
    }
    /// Sets `in_force` once the owner at each level has the changed budgets and reports that all leases of
    /// the previous ones are returned or expired.
    void check_in_force() {
        if (result_.in_force) return;
        for (std::size_t group = 0;
             group <= settings_.sites && settings_.mutant != QuotaMutant::ReportsShrinkInForceEarly;
             ++group) {
            bool holds = false;
            for (std::size_t p : {process_id(group, 1), process_id(group, 2)}) {
                const Process& process = processes_[p];
                if (!net_.up(p) || process.version != 2 || !process.allocator->is_owner(net_.own(p)))
                    continue;
                bool all = true;
                for (const QuotaAllocatorStatus& s : process.allocator->status(net_.own(p), {}))
                    all = all && s.in_force;
                holds = holds || all;
            }
            if (!holds) return;
        }
        result_.in_force = net_.now() - TimePoint{};
    }
    void handle_allocator(std::size_t p, TimePoint own, const quota::QuotaAllocatorEvent& event) {
        Process& process = processes_[p];
        quota::QuotaAllocatorActions actions;
        process.allocator->handle(own, event, actions);
        record_decision("allocator", own, event, actions);
        for (quota::QuotaAllocatorAction& a : actions) {
            if (auto* up = std::get_if<SendRequest>(&a)) {
                if (settings_.overstating_site && *settings_.overstating_site + 1 == process.group)
                    for (BorrowRequestLine& l : up->request.lines) l.demand = kMaxAmount;
                if (settings_.mutant == QuotaMutant::CountsSurplusTwice)
                    for (BorrowRequestLine& l : up->request.lines) l.floor_surplus *= 2;
                if (own - process.last_response_at > Duration{400})
                    process.allocator_index ^= 1, process.last_response_at = own;
                send(p, process_id(0, 1 + std::size_t(process.allocator_index)),
                     {Message::Kind::BorrowRequest, 0, 0, encode(up->request)});
            } else if (auto* response = std::get_if<SendResponse>(&a)) {
                std::size_t to = children_[{p, response->child}];
                send(p, to, {Message::Kind::BorrowResponse, 0, 0, encode(response->response)});
            } else if (auto* r = std::get_if<RecordLeases>(&a)) {
                record(p, own, std::move(*r));
            }
        }
        if (budgets_changed_) check_in_force();
    }

    // Nodes

    void send_borrow_request(std::size_t p, TimePoint own, bool all) {
        Process& process = processes_[p];
        BorrowRequest request = process.limiter->next_request(own, all);
        process.request_sent_at[request.seq] = own;
        if (process.request_sent_at.size() > 256)
            process.request_sent_at.erase(process.request_sent_at.begin());
        if (request.lines.empty()) return;
        if (own - process.last_response_at > Duration{400})
            process.allocator_index ^= 1, process.last_response_at = own;
        if (settings_.mutant != QuotaMutant::None) apply_mutant(process, request);
        send(p, process_id(process.group, 1 + std::size_t(process.allocator_index)),
             {Message::Kind::BorrowRequest, 0, 0, encode(request)});
    }

    void generate_arrival() {
        Duration at = net_.now() - TimePoint{};
        double sum = 0;
        std::vector<double> rates;
        for (std::size_t b = 0; b < settings_.budgets.size(); ++b)
            for (std::size_t s = 0; s < settings_.sites; ++s)
                rates.push_back(settings_.demand(b, s, at)), sum += rates.back();
        // Sampled again after 20 ms, since the load changes; arrivals are memoryless, so this does not bias
        // them.
        Duration gap{sum > 0 ? -std::log(1 - uniform()) / sum * 1000 : 1e9};
        next_arrival_ = net_.now() + std::min(gap, Duration{20});
        if (gap > Duration{20}) return;
        double draw = uniform() * sum;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            if ((draw -= rates[i]) >= 0) continue;
            std::size_t partner = i / settings_.sites, site = i % settings_.sites;
            std::size_t p = node(site, pick_node());
            result_.offered[partner] += double(kUnit);
            ++result_.requests;
            if (!net_.up(p)) return;
            if (net_.stopped(p)) {
                if (processes_[p].waiting.size() < 500) processes_[p].waiting.emplace_back(partner, kUnit);
                return;
            }
            return request(p, partner, kUnit, net_.own(p));
        }
    }
    std::size_t pick_node() {
        if (weights_.empty()) {
            double sum = 0;
            for (std::size_t n = 0; n < settings_.nodes; ++n)
                weights_.push_back(sum += 1 / std::pow(double(n + 1), settings_.node_skew));
        }
        double at = uniform() * weights_.back();
        return std::size_t(std::upper_bound(weights_.begin(), weights_.end() - 1, at) - weights_.begin());
    }

    void request(std::size_t p, std::size_t partner, Amount cost, TimePoint own) {
        Process& process = processes_[p];
        auto number = process.limiter->find(settings_.budgets[partner].partner);
        auto admit = [&] {
            result_.admitted.push_back(
                {net_.now(), partner, process.group - 1, process.number - 3, cost, false});
        };
        if (settings_.mutant == QuotaMutant::ChargesAfterDelay) {
            if (process.limiter->counters(own, *number).balance < cost) {
                (void)process.limiter->charge(own, *number, kNone);
            } else {
                admit();
                std::uint64_t instance = process.instance;
                after(Duration{50}, [this, p, number, instance] {
                    if (processes_[p].instance == instance && net_.up(p) && !net_.stopped(p))
                        (void)processes_[p].limiter->charge(net_.own(p), *number, kNone);
                });
            }
        } else {
            auto outcome = process.limiter->charge(own, *number, kNone);
            record_decision("limiter", own, *number, outcome.index());
            if (auto* charge = std::get_if<Charge>(&outcome)) {
                admit();
                if (uniform() < settings_.never_ran_share)
                    never_ran(p, std::move(*charge), result_.admitted.size() - 1);
            } else {
                ++result_.rejected;
                if (result_.retry_times.size() < 100'000)
                    result_.retry_times.push_back(std::get<Rejection>(outcome).retry_after);
            }
        }
        if (process.limiter->needs_request_early() &&
            own - process.last_early_request_at >= settings_.timing.request_interval / 5) {
            process.last_early_request_at = own;
            send_borrow_request(p, own, false);
        }
    }
    void never_ran(std::size_t p, Charge charge, std::size_t index) {
        auto held = std::make_shared<Charge>(std::move(charge));
        std::uint64_t instance = processes_[p].instance;
        bool reported = settings_.mutant == QuotaMutant::RefundsReportedCharge;
        after(Duration{reported ? 1500 : 150 * uniform()}, [=, this] {
            Process& process = processes_[p];
            if (process.instance != instance || !net_.up(p) || net_.stopped(p)) return;
            Amount cost = held->cost();
            bool refunded = false;
            if (settings_.mutant == QuotaMutant::RefundsTwice)
                process.limiter->refund(net_.own(p), held->duplicate_for_test());
            refunded = process.limiter->refund(net_.own(p), std::move(*held));
            if (reported && !refunded) {
                for (auto& [account, line] : process.last_lines)
                    if (!account.floor) process.extra_grant[account] += cost;
                refunded = true;
            }
            if (refunded) result_.admitted[index].refunded = true;
            refunded ? ++result_.refunded : ++result_.forfeited;
        });
    }

    // Mutants that act between the cores

    void apply_mutant(Process& process, BorrowRequest& request) {
        for (BorrowRequestLine& l : request.lines) {
            const BorrowResponseLine& last_line = process.last_lines[l.account];
            if (last_line.lease != l.lease) continue;
            ReportedSums& reported = process.reported_sums[l.account];
            if (reported.lease != l.lease) reported = {l.lease, 0, 0, 0};
            // The mutated sums stay plausible, so that the allocator does not reject them.
            if (settings_.mutant == QuotaMutant::ReportsSpentTwice) l.spent *= 2;
            if (settings_.mutant == QuotaMutant::ReturnsAndSpends) {
                reported.kept_anyway = std::max(
                    reported.kept_anyway,
                    std::min(reported.kept_anyway + 2 * kUnit, last_line.granted - l.spent - l.returned));
                l.returned += reported.kept_anyway;
            }
            l.spent -= std::min(l.spent, process.extra_grant[l.account]);
            l.returned = reported.returned =
                std::max(reported.returned, std::min(l.returned, last_line.granted - reported.spent));
            l.spent = reported.spent =
                std::max(reported.spent, std::min(l.spent, last_line.granted - l.returned));
        }
    }
    void apply_mutant(Process& process, TimePoint own, BorrowResponse& response) {
        auto sent = process.request_sent_at.find(response.seq);
        for (BorrowResponseLine& l : response.lines) {
            BorrowResponseLine& last_line = process.last_lines[l.account];
            if (settings_.mutant == QuotaMutant::AppliesResponseTwice && last_line.lease == l.lease &&
                duplicated_responses_.contains({process.instance, response.seq}))
                process.extra_grant[l.account] += std::max<Amount>(0, 5 * kUnit);
            if (last_line.lease != l.lease) process.extra_grant[l.account] = 0;
            if (last_line.lease != l.lease || last_line.granted <= l.granted) last_line = l;
            l.granted += process.extra_grant[l.account];
            if (settings_.mutant == QuotaMutant::LeaseFromResponseTime &&
                sent != process.request_sent_at.end())
                l.remaining_us = std::int64_t(
                    double(l.remaining_us) / (1 - settings_.timing.max_clock_drift_permille / 1000.0) +
                    (own - sent->second + settings_.timing.safety_margin).count() * 1000);
        }
        if (settings_.mutant == QuotaMutant::AppliesResponseTwice)
            duplicated_responses_.insert({process.instance, response.seq});
    }
    void send(std::size_t from, std::size_t to, Message message) {
        ++result_.messages;
        if (message.kind == Message::Kind::BorrowRequest) children_[{to, child_name(from)}] = from;
        net_.send(from, to, std::move(message));
    }

    QuotaSimulationSettings settings_;
    Net<Message> net_;
    boost::random::taus88 random_;
    std::vector<Process> processes_;
    std::multimap<TimePoint, std::function<void()>> scheduled_;
    TimePoint next_arrival_{};
    std::vector<double> weights_;
    std::map<std::pair<std::size_t, std::string>, std::size_t> children_;
    std::map<std::size_t, RecordLeases> queued_records_;
    std::set<std::pair<std::uint64_t, std::uint64_t>> duplicated_responses_;
    bool budgets_changed_ = false, injected_at_event_ = false;
    QuotaSimulationResult result_;
};

}  // namespace

QuotaSimulationResult run(const QuotaSimulationSettings& settings) {
    return QuotaSimulation(settings).run();
}

std::vector<QuotaFault> random_faults(std::uint64_t seed, const QuotaSimulationSettings& settings,
                                      std::size_t count) {
    boost::random::taus88 random(unsigned(seed * 69069u + 5));
    auto uniform = [&] { return double(random()) * 0x1p-32; };
    std::vector<QuotaFault> faults;
    constexpr QuotaFault::Kind kKinds[] = {
        QuotaFault::Kind::CutSite,    QuotaFault::Kind::CutSiteOneWay, QuotaFault::Kind::CutNode,
        QuotaFault::Kind::Pause,      QuotaFault::Kind::Pause,         QuotaFault::Kind::Crash,
        QuotaFault::Kind::Crash,      QuotaFault::Kind::CrashAllNodes, QuotaFault::Kind::ClockRate,
        QuotaFault::Kind::ExtraDelay, QuotaFault::Kind::MessageLoss,   QuotaFault::Kind::MessageDuplication};
    std::size_t processes = 3 + settings.sites * (3 + settings.nodes);
    for (std::size_t i = 0; i < count; ++i) {
        QuotaFault f;
        f.kind = kKinds[std::size_t(uniform() * std::size(kKinds))];
        f.at = settings.length * (0.1 + 0.5 * uniform());
        f.duration = Duration{uniform() < 0.5 ? 100 + 900 * uniform() : 1000 + 5000 * uniform()};
        f.duration = std::min(f.duration, settings.length * 0.75 - f.at);
        f.target = std::size_t(uniform() * double(processes));
        // Half of the faults on a single process hit an allocator's owner.
        if (uniform() < 0.5)
            f.target = (f.target % (settings.sites + 1) == 0
                            ? 0
                            : 3 + (f.target % (settings.sites + 1) - 1) * (3 + settings.nodes)) +
                       1 + f.target % 2;
        if (f.kind == QuotaFault::Kind::CrashAllNodes) f.duration = Duration{50 + 500 * uniform()};
        f.magnitude = f.kind == QuotaFault::Kind::ExtraDelay  ? 50 + 1500 * uniform()
                      : f.kind == QuotaFault::Kind::ClockRate ? uniform()
                                                              : 0.3 * uniform();
        faults.push_back(f);
    }
    return faults;
}

}  // namespace ochrehub::lab
