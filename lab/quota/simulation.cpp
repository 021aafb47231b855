#include "lab/quota/simulation.h"

#include <cmath>
#include <map>

#include "lab/quota/fault_injection.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab {

using namespace quota;

std::string_view name(QuotaMutant mutant) {
    constexpr std::string_view kNames[] = {"none",
                                           "charges later",
                                           "counts from the answer",
                                           "gives back twice",
                                           "gives back what was told",
                                           "forgets at a restart",
                                           "returns and keeps",
                                           "tells spent twice",
                                           "ignores epochs",
                                           "lends floors twice",
                                           "stale clock",
                                           "adds answers twice",
                                           "counts gifts twice",
                                           "shrinks at once",
                                           "mints past the cap"};
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
    enum class Kind : std::uint8_t { BorrowRequest, BorrowResponse, Renew, Renewed, Command, Done } kind{};
    std::uint64_t a = 0, b = 0;  // by kind: instance, session, number
    std::string body{};
    std::string more{};
};

class QuotaSimulation {
public:
    explicit QuotaSimulation(const QuotaSimulationSettings& settings)
        : settings_(settings),
          net_({0, Duration{0.2}, Duration{2}, settings.loss, settings.doubled, false, settings.seed},
               {[this](std::size_t p, TimePoint own) { woken(p, own); },
                [this](std::size_t p, std::size_t from, TimePoint own, const Message& m) {
                    received(p, from, own, m);
                }}),
          random_(unsigned(settings.seed * 40503u + 7)) {
        for (std::size_t group = 0; group <= settings.sites; ++group) {
            add(Role::Keeper, group);
            add(Role::Owner, group);
            add(Role::Owner, group);
            for (std::size_t n = 0; group > 0 && n < settings.nodes; ++n) add(Role::Node, group);
        }
        for (std::size_t p = 0; p < all_.size(); ++p) {
            if (settings.clocks) net_.clock(p, 0.99 + 0.02 * uniform());
            if (all_[p].role != Role::Keeper) {
                for (std::size_t q = 0; q < all_.size(); ++q)
                    if (all_[p].group != all_[q].group) distant(p, q);
            } else {
                keeper(p).apply({0, command_set(0, settings_.budgets)});
            }
            start(p);
        }
        out_.asked_for.resize(settings.budgets.size());
    }

    QuotaSimulationResult run() {
        std::stable_sort(settings_.faults.begin(), settings_.faults.end(),
                         [](const auto& a, const auto& b) { return a.at < b.at; });
        for (const QuotaFault& f : settings_.faults) plan(f);
        next_arrival_ = TimePoint{} + Duration{1};
        while (true) {
            TimePoint next = std::min(next_arrival_, due_.empty() ? TimePoint::max() : due_.begin()->first);
            if (next > TimePoint{} + settings_.length) break;
            if (settings_.at && !struck_) {
                while (!struck_ && net_.happened() < settings_.at->event && stepped_before(next)) {
                }
                if (net_.happened() >= settings_.at->event) strike();
            }
            net_.run_to(next);
            if (!due_.empty() && due_.begin()->first <= next) {
                auto what = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                what();
            } else {
                arrive();
            }
        }
        net_.run_to(TimePoint{} + settings_.length);
        std::stable_sort(out_.admitted.begin(), out_.admitted.end(),
                         [](const AdmittedRequest& a, const AdmittedRequest& b) { return a.at < b.at; });
        out_.happened = net_.happened();
        return std::move(out_);
    }

private:
    enum class Role : std::uint8_t { Keeper, Owner, Node };
    struct KeeperSession {
        std::uint64_t instance = 0;
        TimePoint ends{};
        std::uint64_t last = 0;
        std::string reply;
    };
    struct Told {
        std::uint64_t lease = 0;
        Amount spent = 0, returned = 0, kept = 0;
    };
    struct Process {
        Role role{};
        std::size_t group = 0, number = 0;
        std::uint64_t instance = 0;
        // keeper
        std::unique_ptr<QuotaStateMachine> machine;
        std::map<std::uint64_t, KeeperSession> sessions;
        std::uint64_t next_session = 1;
        // owner
        std::unique_ptr<QuotaAllocator> lender;
        std::uint64_t session = 0, epoch = 0, version = 0, renewals = 0, commands = 0;
        TimePoint until{}, renew_at{}, lender_at{}, resend_at{};
        std::map<std::uint64_t, TimePoint> renewed;
        std::optional<std::pair<std::uint64_t, std::string>> command;  // that is not answered yet
        std::optional<std::uint64_t> recording;
        // node, and the owner of a site
        std::unique_ptr<QuotaLimiter> charger;
        int target = 0;
        TimePoint heard{}, asks_at{}, early_at{}, before_pause{};
        std::map<std::uint64_t, TimePoint> asked;
        std::vector<std::pair<std::size_t, Amount>> waiting;  // requests of clients while it was stopped
        std::map<Account, BorrowResponseLine> known;          // for saboteurs
        std::map<Account, Amount> extra;
        std::map<Account, Told> said;
    };

    // ---- Who is there

    void add(Role role, std::size_t group) {
        std::size_t p = net_.add();
        Process& one = all_.emplace_back();
        one.role = role, one.group = group;
        one.number = p - group_begin(group);
        if (role == Role::Keeper) {
            std::vector<std::string> sites;
            for (std::size_t s = 0; s < settings_.sites; ++s) sites.push_back(site_name(s));
            one.machine = std::make_unique<QuotaStateMachine>(sites, settings_.timing);
        }
    }
    std::size_t group_begin(std::size_t group) const {
        return group == 0 ? 0 : 3 + (group - 1) * (3 + settings_.nodes);
    }
    std::size_t process(std::size_t group, std::size_t number) const { return group_begin(group) + number; }
    std::size_t node(std::size_t site, std::size_t n) const { return process(site + 1, 3 + n); }
    QuotaStateMachine& keeper(std::size_t p) { return *all_[process(all_[p].group, 0)].machine; }
    std::string child_name(std::size_t p) const {
        if (all_[p].role == Role::Owner) return site_name(all_[p].group - 1);
        return std::string("node").append(std::to_string(all_[p].number - 3));
    }
    void distant(std::size_t a, std::size_t b) {
        net_.delay(a, b, settings_.site_delay), net_.delay(b, a, settings_.site_delay);
    }
    double uniform() { return double(random_()) * 0x1p-32; }
    std::uint64_t draw() { return (std::uint64_t(random_()) << 32 | random_()) | 1; }

    void start(std::size_t p) {
        Process& one = all_[p];
        TimePoint own = net_.own(p);
        one.instance = draw();
        one.heard = own;
        if (one.role == Role::Owner) {
            one.lender = std::make_unique<QuotaAllocator>(
                QuotaAllocatorSettings{one.group == 0 ? "" : site_name(one.group - 1), one.instance,
                                       one.group == 0 ? 2 : 1, settings_.timing});
            one.session = one.epoch = one.version = 0;
            one.until = {}, one.renew_at = own, one.lender_at = own + Duration{1};
            one.command.reset(), one.recording.reset(), one.renewed.clear();
            one.asked.clear();
        }
        if (one.role == Role::Node) {
            QuotaLimiterSettings settings;
            settings.instance = one.instance, settings.timing = settings_.timing;
            one.charger = std::make_unique<QuotaLimiter>(settings);
            one.charger->configure(settings_.budgets);
            one.asks_at = own + settings_.timing.ask * uniform();
            one.waiting.clear();
            one.asked.clear();
        }
        net_.wake_at(p, own);
    }

    bool stepped_before(TimePoint next) {
        if (net_.now() >= next) return false;
        std::uint64_t before = net_.happened();
        return net_.step() && (net_.happened() != before || net_.now() < next);
    }
    void strike() {
        struck_ = true;
        settings_.at->stops ? stop(settings_.at->process, settings_.at->length)
                            : crash(settings_.at->process, settings_.at->length);
    }

    void plan(const QuotaFault& f) {
        due_.emplace(TimePoint{} + f.at, [this, f] { begin(f); });
    }
    void begin(const QuotaFault& f) {
        if (f.kind != QuotaFault::Kind::Budgets) return inject_fault(f, settings_, net_, *this);
        for (std::size_t group = 0; group <= settings_.sites; ++group) {
            QuotaStateMachine& machine = *all_[process(group, 0)].machine;
            auto reply = decode_command_response(machine.apply({0, command_get()}));
            machine.apply({0, command_set(reply->version, settings_.later)});
        }
        changed_ = true;
    }

public:  // for `inject_fault`
    std::size_t group_of(std::size_t p) const { return all_[p].group; }
    bool lends(std::size_t p) const { return all_[p].role == Role::Owner; }
    bool serves(std::size_t p) const { return all_[p].role == Role::Node; }
    void crash(std::size_t p, Duration back) {
        if (all_[p].role == Role::Keeper || !net_.up(p)) return;
        net_.crash(p);
        after(back, [this, p] {
            if (net_.up(p)) return;
            net_.start(p);
            start(p);
        });
    }
    void stop(std::size_t p, Duration length) {
        if (!net_.up(p) || net_.stopped(p)) return;
        all_[p].before_pause = net_.own(p);
        net_.stop(p);
        after(length, [this, p] {
            if (!net_.stopped(p)) return;
            net_.go_on(p);
            Process& one = all_[p];
            // What clients sent meanwhile is worked off behind what others have sent.
            std::uint64_t life = one.instance;
            auto work_off = [this, p](TimePoint own) {
                for (auto [partner, cost] : std::exchange(all_[p].waiting, {}))
                    request(p, partner, cost, own);
            };
            if (settings_.mutant == QuotaMutant::StaleClock) return work_off(one.before_pause);
            after(Duration{0.5}, [this, p, life, work_off] {
                if (all_[p].instance == life && net_.up(p) && !net_.stopped(p)) work_off(net_.own(p));
            });
        });
    }
    void after(Duration wait, std::function<void()> what) {
        due_.emplace(net_.now() + wait, std::move(what));
    }

private:
    // ---- What arrives

    void woken(std::size_t p, TimePoint own) {
        Process& one = all_[p];
        if (one.role == Role::Keeper) {
            for (auto it = one.sessions.begin(); it != one.sessions.end();) {
                if (it->second.ends <= own) {
                    one.machine->session_ended(it->first);
                    it = one.sessions.erase(it);
                } else {
                    ++it;
                }
            }
            return wake(p, own, own + Duration{100});
        }
        if (one.role == Role::Owner) {
            if (own >= one.renew_at) {
                one.renew_at = own + settings_.session / 3;
                one.renewed[++one.renewals] = own;
                if (one.renewed.size() > 8) one.renewed.erase(one.renewed.begin());
                send(p, process(one.group, 0),
                     {Message::Kind::Renew, one.instance, one.renewals, std::to_string(one.session)});
            }
            if (one.command && own >= one.resend_at) say(p, own);
            if (own >= one.lender_at) {
                one.lender_at = own + settings_.timing.ask;
                lender(p, own, quota::TimerFired{});
            }
            return wake(p, own,
                        std::min({one.renew_at, one.lender_at, one.command ? one.resend_at : one.renew_at}));
        }
        if (own >= one.asks_at) {
            one.asks_at = own + settings_.timing.ask;
            ask(p, own, true);
        }
        wake(p, own, one.asks_at);
    }
    /// A clock that is off does not reach a moment to the last bit.
    void wake(std::size_t p, TimePoint own, TimePoint at) {
        net_.wake_at(p, std::max(at, own + Duration{0.05}));
    }

    void received(std::size_t p, std::size_t from, TimePoint own, const Message& m) {
        Process& one = all_[p];
        switch (m.kind) {
            case Message::Kind::Renew:
                return renew(p, from, own, m);
            case Message::Kind::Command:
                return command(p, from, m);
            case Message::Kind::Renewed:
                return renewed(p, own, m);
            case Message::Kind::Done:
                return done(p, own, m);
            case Message::Kind::BorrowRequest: {
                auto ask = decode_borrow_request(m.body);
                if (!ask || !one.lender) return;
                return lender(p, own, RequestReceived{child_name(from), std::move(*ask)});
            }
            case Message::Kind::BorrowResponse: {
                auto answer = decode_borrow_response(m.body);
                if (!answer) return;
                one.heard = own;
                if (one.role == Role::Owner) return lender(p, own, ResponseReceived{std::move(*answer)});
                if (answer->instance != one.instance) return;
                meddle(one, own, *answer);
                one.charger->answered(own, *answer);
                return;
            }
        }
    }

    // ---- Keepers

    void renew(std::size_t p, std::size_t from, TimePoint own, const Message& m) {
        Process& one = all_[p];
        std::uint64_t session = std::stoull(m.body);
        auto found = one.sessions.find(session);
        if (found == one.sessions.end() || found->second.instance != m.a) {
            for (const auto& [id, s] : one.sessions)
                if (s.instance == m.a) session = id, found = one.sessions.find(id);
            if (found == one.sessions.end() || found->second.instance != m.a) {
                session = one.next_session++;
                one.sessions[session].instance = m.a;
                one.machine->session_opened(session, child(from), "");
            }
        }
        one.sessions[session].ends = own + settings_.session;
        send(p, from, {Message::Kind::Renewed, session, m.b, one.machine->session_update(session)});
    }
    std::string child(std::size_t p) const { return std::string("process").append(std::to_string(p)); }
    void command(std::size_t p, std::size_t from, const Message& m) {
        Process& one = all_[p];
        auto found = one.sessions.find(m.a);
        if (found == one.sessions.end() && settings_.mutant != QuotaMutant::IgnoresEpochs) return;
        std::string reply;
        if (found != one.sessions.end() && m.b < found->second.last) return;
        if (found != one.sessions.end() && m.b == found->second.last) {
            reply = found->second.reply;
        } else {
            reply = one.machine->apply({m.a, m.body});
            ++out_.records;
            if (found != one.sessions.end()) found->second.last = m.b, found->second.reply = reply;
        }
        if (settings_.mutant == QuotaMutant::IgnoresEpochs && m.more == "record") reply.clear();
        send(p, from, {Message::Kind::Done, m.a, m.b, reply});
    }

    // ---- Owners

    void renewed(std::size_t p, TimePoint own, const Message& m) {
        Process& one = all_[p];
        auto asked = one.renewed.find(m.b);
        auto news = decode_session_update(m.body);
        if (asked == one.renewed.end() || !news) return;
        if (m.a < one.session) return;
        if (m.a != one.session) {
            one.session = m.a, one.epoch = 0, one.command.reset();
            queued_.erase(p);
            auto recording = std::exchange(one.recording, std::nullopt);
            if (settings_.mutant != QuotaMutant::IgnoresEpochs)
                lender(p, own, OwnershipLost{});
            else if (recording)
                lender(p, own, LeasesRecorded{*recording});
        }
        TimePoint until =
            borrower_expiry(asked->second, std::int64_t(settings_.session.count() * 1000), settings_.timing);
        if (settings_.mutant == QuotaMutant::IgnoresEpochs) until = own + Duration{1e9};
        one.until = std::max(one.until, until);
        if (news->owner && one.epoch != 0) {
            lender(p, own, OwnershipConfirmed{one.until, std::nullopt, true});
            if (news->version != one.version) propose(p, own, command_get());
        } else if (!one.command) {
            propose(p, own, command_own());
        }
    }
    void propose(std::size_t p, TimePoint own, std::string body) {
        Process& one = all_[p];
        if (one.command) return;
        one.command = {++one.commands, std::move(body)};
        say(p, own);
    }
    void say(std::size_t p, TimePoint own) {
        Process& one = all_[p];
        one.resend_at = own + Duration{200};
        send(p, process(one.group, 0),
             {Message::Kind::Command, one.session, one.command->first, one.command->second,
              one.recording ? "record" : ""});
    }
    void done(std::size_t p, TimePoint own, const Message& m) {
        Process& one = all_[p];
        if (!one.command || m.b != one.command->first || m.a != one.session) return;
        bool was_record = one.recording.has_value();
        std::uint64_t number = one.recording.value_or(0);
        one.command.reset(), one.recording.reset();
        auto reply = decode_command_response(m.body);
        if (was_record) {
            if (reply && reply->error) {
                one.epoch = 0;
                lender(p, own, OwnershipLost{});
            } else {
                lender(p, own, LeasesRecorded{number});
            }
        } else if (reply && reply->state) {
            one.version = reply->version;
            std::vector<Budget> budgets = reply->state->budgets;
            if (one.group == 0 && settings_.mutant == QuotaMutant::LendsFloorsTwice)
                for (Budget& b : budgets) b.floors.clear();
            if (settings_.mutant == QuotaMutant::MintsPastCap)
                for (Budget& b : budgets) b.burst *= 3;
            lender(p, own, BudgetsConfigured{budgets});
            if (one.epoch == 0 && reply->state->owner == one.session) {
                one.epoch = reply->epoch;
                auto books = reply->state->books;
                if (settings_.mutant == QuotaMutant::ForgetsAtRestart) books.clear();
                lender(p, own, OwnershipConfirmed{one.until, std::move(books), false});
                if (settings_.mutant == QuotaMutant::ForgetsAtRestart) begin_full(p, own);
                for (const std::string& partner : reply->state->frozen)
                    lender(p, own, OperatorOrder{OperatorOrder::What::Freeze, partner, "", 0});
            }
        }
        if (queued_.contains(p)) {
            auto next = std::move(queued_[p]);
            queued_.erase(p);
            record(p, own, std::move(next));
        }
    }
    void record(std::size_t p, TimePoint own, RecordLeases record) {
        Process& one = all_[p];
        if (one.command) {
            queued_[p] = std::move(record);
            return;
        }
        one.recording = record.number;
        one.command = {++one.commands, command_record(one.epoch, record.books)};
        say(p, own);
    }
    /// With a bucket as full as a new one's: by a gift that nobody gave.
    void begin_full(std::size_t p, TimePoint own) {
        BorrowRequest ask{1, 0, {}};
        for (Amount given : {Amount(0), kMaxAmount}) {
            ask.lines.clear();
            ++ask.seq;
            for (const Budget& b : settings_.budgets)
                for (bool floor : {false, true}) ask.lines.push_back({{b.partner, floor}, 0, 0, 0, 0, given});
            lender(p, own, RequestReceived{"nobody", ask});
        }
    }
    /// Once the owner at each level says that it has it, and that what was lent of the one before is back or
    /// over.
    void look_in_force() {
        if (out_.in_force) return;
        for (std::size_t group = 0;
             group <= settings_.sites && settings_.mutant != QuotaMutant::ShrinksAtOnce; ++group) {
            bool holds = false;
            for (std::size_t p : {process(group, 1), process(group, 2)}) {
                const Process& one = all_[p];
                if (!net_.up(p) || one.version != 2 || !one.lender->owns(net_.own(p))) continue;
                bool all = true;
                for (const QuotaAllocatorStatus& s : one.lender->show(net_.own(p), {}))
                    all = all && s.in_force;
                holds = holds || all;
            }
            if (!holds) return;
        }
        out_.in_force = net_.now() - TimePoint{};
    }
    void lender(std::size_t p, TimePoint own, const quota::QuotaAllocatorEvent& event) {
        Process& one = all_[p];
        quota::QuotaAllocatorActions actions;
        one.lender->handle(own, event, actions);
        record_decision("allocator", own, event, actions);
        for (quota::QuotaAllocatorAction& a : actions) {
            if (auto* up = std::get_if<SendRequest>(&a)) {
                if (settings_.liar && *settings_.liar + 1 == one.group)
                    for (BorrowRequestLine& l : up->ask.lines) l.demand = kMaxAmount;
                if (settings_.mutant == QuotaMutant::GiftsTwice)
                    for (BorrowRequestLine& l : up->ask.lines) l.given *= 2;
                if (own - one.heard > Duration{400}) one.target ^= 1, one.heard = own;
                send(p, process(0, 1 + std::size_t(one.target)),
                     {Message::Kind::BorrowRequest, 0, 0, encode(up->ask)});
            } else if (auto* reply = std::get_if<SendResponse>(&a)) {
                std::size_t to = children_[{p, reply->child}];
                send(p, to, {Message::Kind::BorrowResponse, 0, 0, encode(reply->answer)});
            } else if (auto* r = std::get_if<RecordLeases>(&a)) {
                record(p, own, std::move(*r));
            }
        }
        if (changed_) look_in_force();
    }

    // ---- Nodes

    void ask(std::size_t p, TimePoint own, bool all) {
        Process& one = all_[p];
        BorrowRequest ask = one.charger->ask(own, all);
        one.asked[ask.seq] = own;
        if (one.asked.size() > 256) one.asked.erase(one.asked.begin());
        if (ask.lines.empty()) return;
        if (own - one.heard > Duration{400}) one.target ^= 1, one.heard = own;
        if (settings_.mutant != QuotaMutant::None) meddle(one, ask);
        send(p, process(one.group, 1 + std::size_t(one.target)),
             {Message::Kind::BorrowRequest, 0, 0, encode(ask)});
    }

    void arrive() {
        Duration at = net_.now() - TimePoint{};
        double sum = 0;
        std::vector<double> rates;
        for (std::size_t b = 0; b < settings_.budgets.size(); ++b)
            for (std::size_t s = 0; s < settings_.sites; ++s)
                rates.push_back(settings_.demand(b, s, at)), sum += rates.back();
        // A look at least each 20 ms, since what is asked for moves; an arrival has no memory.
        Duration gap{sum > 0 ? -std::log(1 - uniform()) / sum * 1000 : 1e9};
        next_arrival_ = net_.now() + std::min(gap, Duration{20});
        if (gap > Duration{20}) return;
        double draw = uniform() * sum;
        for (std::size_t i = 0; i < rates.size(); ++i) {
            if ((draw -= rates[i]) >= 0) continue;
            std::size_t partner = i / settings_.sites, site = i % settings_.sites;
            std::size_t p = node(site, pick_node());
            out_.asked_for[partner] += double(kUnit);
            ++out_.asked;
            if (!net_.up(p)) return;
            if (net_.stopped(p)) {
                if (all_[p].waiting.size() < 500) all_[p].waiting.emplace_back(partner, kUnit);
                return;
            }
            return request(p, partner, kUnit, net_.own(p));
        }
    }
    std::size_t pick_node() {
        if (weights_.empty()) {
            double sum = 0;
            for (std::size_t n = 0; n < settings_.nodes; ++n)
                weights_.push_back(sum += 1 / std::pow(double(n + 1), settings_.skew));
        }
        double at = uniform() * weights_.back();
        return std::size_t(std::upper_bound(weights_.begin(), weights_.end() - 1, at) - weights_.begin());
    }

    void request(std::size_t p, std::size_t partner, Amount cost, TimePoint own) {
        Process& one = all_[p];
        auto number = one.charger->find(settings_.budgets[partner].partner);
        auto let = [&] {
            out_.admitted.push_back({net_.now(), partner, one.group - 1, one.number - 3, cost, false});
        };
        if (settings_.mutant == QuotaMutant::ChargesLater) {
            if (one.charger->counts(own, *number).balance < cost) {
                (void)one.charger->charge(own, *number, kNone);
            } else {
                let();
                std::uint64_t life = one.instance;
                after(Duration{50}, [this, p, number, life] {
                    if (all_[p].instance == life && net_.up(p) && !net_.stopped(p))
                        (void)all_[p].charger->charge(net_.own(p), *number, kNone);
                });
            }
        } else {
            auto outcome = one.charger->charge(own, *number, kNone);
            record_decision("limiter", own, *number, outcome.index());
            if (auto* receipt = std::get_if<Charge>(&outcome)) {
                let();
                if (uniform() < settings_.never_ran)
                    never_ran(p, std::move(*receipt), out_.admitted.size() - 1);
            } else {
                ++out_.refused;
                if (out_.backs.size() < 100'000) out_.backs.push_back(std::get<Rejection>(outcome).back);
            }
        }
        if (one.charger->asks_early() && own - one.early_at >= settings_.timing.ask / 5) {
            one.early_at = own;
            ask(p, own, false);
        }
    }
    void never_ran(std::size_t p, Charge receipt, std::size_t index) {
        auto held = std::make_shared<Charge>(std::move(receipt));
        std::uint64_t life = all_[p].instance;
        bool told = settings_.mutant == QuotaMutant::GivesBackTold;
        after(Duration{told ? 1500 : 150 * uniform()}, [=, this] {
            Process& one = all_[p];
            if (one.instance != life || !net_.up(p) || net_.stopped(p)) return;
            Amount cost = held->cost();
            bool back = false;
            if (settings_.mutant == QuotaMutant::GivesBackTwice)
                one.charger->give_back(net_.own(p), held->forged());
            back = one.charger->give_back(net_.own(p), std::move(*held));
            if (told && !back) {
                for (auto& [account, line] : one.known)
                    if (!account.floor) one.extra[account] += cost;
                back = true;
            }
            if (back) out_.admitted[index].given_back = true;
            back ? ++out_.given_back : ++out_.forfeited;
        });
    }

    // ---- Saboteurs between the cores

    void meddle(Process& one, BorrowRequest& ask) {
        for (BorrowRequestLine& l : ask.lines) {
            const BorrowResponseLine& known = one.known[l.account];
            if (known.lease != l.lease) continue;
            Told& told = one.said[l.account];
            if (told.lease != l.lease) told = {l.lease, 0, 0, 0};
            // Whoever errs so tells nothing that its lender can see to be wrong.
            if (settings_.mutant == QuotaMutant::TellsSpentTwice) l.spent *= 2;
            if (settings_.mutant == QuotaMutant::ReturnsAndKeeps) {
                told.kept = std::max(told.kept,
                                     std::min(told.kept + 2 * kUnit, known.granted - l.spent - l.returned));
                l.returned += told.kept;
            }
            l.spent -= std::min(l.spent, one.extra[l.account]);
            l.returned = told.returned =
                std::max(told.returned, std::min(l.returned, known.granted - told.spent));
            l.spent = told.spent = std::max(told.spent, std::min(l.spent, known.granted - l.returned));
        }
    }
    void meddle(Process& one, TimePoint own, BorrowResponse& answer) {
        auto asked = one.asked.find(answer.seq);
        for (BorrowResponseLine& l : answer.lines) {
            BorrowResponseLine& known = one.known[l.account];
            if (settings_.mutant == QuotaMutant::AddsAnswersTwice && known.lease == l.lease &&
                doubled_.contains({one.instance, answer.seq}))
                one.extra[l.account] += std::max<Amount>(0, 5 * kUnit);
            if (known.lease != l.lease) one.extra[l.account] = 0;
            if (known.lease != l.lease || known.granted <= l.granted) known = l;
            l.granted += one.extra[l.account];
            if (settings_.mutant == QuotaMutant::CountsFromAnswer && asked != one.asked.end())
                l.length = std::int64_t(double(l.length) / (1 - settings_.timing.drift / 1000.0) +
                                        (own - asked->second + settings_.timing.margin).count() * 1000);
        }
        if (settings_.mutant == QuotaMutant::AddsAnswersTwice) doubled_.insert({one.instance, answer.seq});
    }
    void send(std::size_t from, std::size_t to, Message message) {
        ++out_.messages;
        if (message.kind == Message::Kind::BorrowRequest) children_[{to, child_name(from)}] = from;
        net_.send(from, to, std::move(message));
    }

    QuotaSimulationSettings settings_;
    Net<Message> net_;
    boost::random::taus88 random_;
    std::vector<Process> all_;
    std::multimap<TimePoint, std::function<void()>> due_;
    TimePoint next_arrival_{};
    std::vector<double> weights_;
    std::map<std::pair<std::size_t, std::string>, std::size_t> children_;
    std::map<std::size_t, RecordLeases> queued_;
    std::set<std::pair<std::uint64_t, std::uint64_t>> doubled_;
    bool changed_ = false, struck_ = false;
    QuotaSimulationResult out_;
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
        QuotaFault::Kind::CutSite, QuotaFault::Kind::CutSiteOneWay, QuotaFault::Kind::CutNode,
        QuotaFault::Kind::Pause,   QuotaFault::Kind::Pause,         QuotaFault::Kind::Crash,
        QuotaFault::Kind::Crash,   QuotaFault::Kind::AllNodes,      QuotaFault::Kind::Clock,
        QuotaFault::Kind::Late,    QuotaFault::Kind::Loss,          QuotaFault::Kind::Doubled};
    std::size_t processes = 3 + settings.sites * (3 + settings.nodes);
    for (std::size_t i = 0; i < count; ++i) {
        QuotaFault f;
        f.kind = kKinds[std::size_t(uniform() * std::size(kKinds))];
        f.at = settings.length * (0.1 + 0.5 * uniform());
        f.length = Duration{uniform() < 0.5 ? 100 + 900 * uniform() : 1000 + 5000 * uniform()};
        f.length = std::min(f.length, settings.length * 0.75 - f.at);
        f.which = std::size_t(uniform() * double(processes));
        // Half of those that hit one process hit a lender's owner.
        if (uniform() < 0.5)
            f.which = (f.which % (settings.sites + 1) == 0
                           ? 0
                           : 3 + (f.which % (settings.sites + 1) - 1) * (3 + settings.nodes)) +
                      1 + f.which % 2;
        if (f.kind == QuotaFault::Kind::AllNodes) f.length = Duration{50 + 500 * uniform()};
        f.much = f.kind == QuotaFault::Kind::Late    ? 50 + 1500 * uniform()
                 : f.kind == QuotaFault::Kind::Clock ? uniform()
                                                     : 0.3 * uniform();
        faults.push_back(f);
    }
    return faults;
}

}  // namespace ochrehub::lab
