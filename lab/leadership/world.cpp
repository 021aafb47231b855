#include "lab/leadership/world.h"

#include <algorithm>

#include "lab/leadership/replicas.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::leadership {

using fencing::Verdict;
using ochrehub::leadership::Epoch;
using ochrehub::leadership::Owner;
using ochrehub::leadership::OwnerAction;
using ochrehub::leadership::OwnerActions;
using ochrehub::leadership::OwnerEvent;
using ochrehub::leadership::OwnerSettings;
namespace core = ochrehub::leadership;

std::string_view name(Saboteur saboteur) {
    constexpr std::string_view kNames[kSaboteurs] = {"none",
                                                     "epoch not raised",
                                                     "lease from the answer",
                                                     "no fence",
                                                     "effect before it is written",
                                                     "repeats without asking",
                                                     "hands over at work",
                                                     "new leader gives less",
                                                     "ignores its lease",
                                                     "keepers count less",
                                                     "grants before rest",
                                                     "forgets what is retired",
                                                     "retires before the end",
                                                     "next owner asks nothing"};
    return kNames[std::size_t(saboteur)];
}

namespace {

/// A machine that names the next owner before the old one is at rest.
class Hasty : public core::Duties {
public:
    std::string apply(const coordinator::Command& command) override {
        std::string answer = Duties::apply(command);
        if (command.session == 0)
            for (auto [duty, state] : std::map(duties().begin(), duties().end()))
                if (state.give_back) Duties::apply({state.owner, core::give_up(duty, state.epoch, true)});
        return answer;
    }
};

Keepers::Machines machines(Saboteur saboteur) {
    Keepers::Machines all;
    if (saboteur == Saboteur::GrantsBeforeRest)
        all.push_back(std::make_unique<Hasty>());
    else
        all.push_back(std::make_unique<core::Duties>());
    return all;
}

KeeperSettings keeper_settings(const WorldSettings& settings) {
    KeeperSettings out;
    out.keepers = settings.keepers;
    out.lease = settings.lease;
    if (settings.saboteur == Saboteur::LeaderGivesLess) out.given_on = 0.02;
    if (settings.saboteur == Saboteur::KeepersCountLess) out.counted = 0.4;
    return out;
}

std::unique_ptr<House> play(const WorldSettings& settings) {
    if (!settings.real)
        return std::make_unique<Keepers>(keeper_settings(settings), machines(settings.saboteur));
    return std::make_unique<Replicas>(settings.keepers, settings.seed,
                                      [saboteur = settings.saboteur] { return machines(saboteur); });
}

}  // namespace

// ---- A receiver

struct World::ReceiverProcess {
    ReceiverProcess(World& its, std::size_t number) : world(its), self(number) {}

    World& world;
    std::size_t self;
    fencing::FencingGuard fence{{}};
    std::vector<std::string> disk;
    Timers timers;
    std::map<std::pair<std::string, std::uint64_t>, Message> doing;
    std::map<std::string, std::pair<std::uint64_t, TimePoint>> newest;  // epoch, and when it came first
    std::set<std::pair<std::string, std::uint64_t>> unknown;  // begun, written, and killed before the effect
    std::set<std::pair<std::string, std::uint64_t>> landed;

    void write() {
        for (std::string& one : fence.take_records()) disk.push_back(std::move(one));
    }
    void started() {
        timers.clear();
        for (const auto& [key, message] : doing)
            if (!landed.contains({key.first, message.item})) unknown.insert({key.first, message.item});
        doing.clear();
        fence = fencing::FencingGuard({});
        for (const std::string& one : disk) fence.replay(one);
    }
    void answer(std::size_t to, Message m, Verdict verdict) {
        m.kind = Message::Kind::Verdict;
        m.verdict = verdict;
        world.net_.send(self, to, std::move(m));
    }
    void received(std::size_t from, TimePoint own, const Message& m) {
        const Saboteur saboteur = world.set_.saboteur;
        if (m.kind == Message::Kind::Look) {
            fencing::Response a = fence.query_step(m.what, m.epoch, m.step);
            saw(m, a.verdict);
            write();
            return answer(from, m, a.verdict);
        }
        if (m.kind == Message::Kind::Retire) {
            fencing::Response a = fence.retire(m.what, m.epoch);
            if (saboteur == Saboteur::ForgetsRetired) {
                std::vector<std::string> left;
                for (std::string& one : fence.snapshot())
                    if (one.substr(10, std::size_t(one[9])) != m.what) left.push_back(std::move(one));
                disk = left;
                fence = fencing::FencingGuard({});
                for (const std::string& one : disk) fence.replay(one);
            }
            write();
            return answer(from, m, a.verdict);
        }
        fencing::Response a = fence.begin_step(m.what, m.epoch, m.step);
        saw(m, a.verdict);
        auto newer = newest.find(m.what);
        if (newer != newest.end() && newer->second.first > m.epoch)
            world.records_.refused.push_back(
                {world.net_.now(), self, from, m.what, m.epoch, world.net_.now() - newer->second.second});
        if (saboteur != Saboteur::EffectBeforeWritten) write();
        bool unfenced = saboteur == Saboteur::NoFence && a.verdict == Verdict::StaleEpoch;
        if (a.verdict != Verdict::Execute && !unfenced) return answer(from, m, a.verdict);
        doing[{m.what, m.step}] = m;
        timers.at(own + Duration{0.5}, [this, from, m](TimePoint t) {
            landed.insert({m.what, m.item});
            world.records_.effects.push_back({world.net_.now(), self, from, m.what, m.epoch, m.item});
            timers.at(t + Duration{0.5}, [this, from, m](TimePoint) {
                doing.erase({m.what, m.step});
                fence.complete_step(m.what, m.step, "");
                write();
                answer(from, m, Verdict::Executed);
            });
        });
    }
    void saw(const Message& m, Verdict verdict) {
        if (verdict == Verdict::StaleEpoch || verdict == Verdict::Malformed) return;
        auto& known = newest[m.what];
        if (m.epoch > known.first) known = {m.epoch, world.net_.now()};
    }
};

// ---- An owner's process

struct World::OwnerProcess {
    enum class Item : char { Unknown, Todo, Done };
    struct Run {
        Epoch epoch = 0;
        bool stopping = false, retiring = false, finished = false, armed = false, flying = false,
             zombie = false;
        TimePoint until{};  // of a zombie
        std::vector<Item> items;
        std::set<std::size_t> told;
        std::map<std::uint64_t, TimePoint> doing;
        std::uint64_t next = 0, sends = 0, out = 0;
    };
    OwnerProcess(World& its, std::size_t number) : world(its), self(number) {}

    World& world;
    std::size_t self;
    Timers timers;
    std::unique_ptr<Owner> owner;
    std::unique_ptr<Member> client;
    std::uint64_t lives = 0;
    std::map<std::string, Run> runs;
    std::optional<TimePoint> wake;

    Saboteur saboteur() const { return world.set_.saboteur; }
    void started(TimePoint own) {
        timers.clear(), runs.clear(), wake.reset();
        OwnerSettings settings;
        settings.margin = world.set_.real ? Duration{0} : world.set_.lease * 0.01 + Duration{50};
        if (world.set_.real) settings.again = Duration{0};
        owner = std::make_unique<Owner>(settings);
        SessionSettings session;
        session.keepers = world.set_.keepers, session.lease = world.set_.lease,
        session.patience = world.set_.patience;
        session.from_the_answer = saboteur() == Saboteur::LeaseFromAnswer;
        SessionHooks hooks{
            [this](TimePoint t, coordinator::SessionId id, TimePoint until) {
                handle(t, core::SessionHeld{id, until});
            },
            [this](TimePoint t) { handle(t, core::SessionLost{}); },
            [this](TimePoint t, coordinator::SessionId id, const std::string&, const std::string& news) {
                handle(t, core::Heard{id, news});
            },
            [this](TimePoint t, const std::string&, std::uint64_t number, const std::string& answer) {
                handle(t, core::Answered{number, answer});
            }};
        if (world.set_.real)
            client = std::make_unique<RealMember>(session, world.net_, timers, self, self * 1000 + ++lives,
                                                  std::move(hooks));
        else
            client = std::make_unique<SessionClient>(session, world.net_, timers, self, std::move(hooks));
        for (const std::string& job : world.jobs_) handle(own, core::WantDuty{job, 1});
        timers.at(
            own + Duration{1.0 + 331.0 * double(self - world.set_.keepers) + 300 * world.net_.uniform()},
            [this](TimePoint t) { client->begin(t); });
        timers.arm(world.net_, self);
    }
    void handle(TimePoint own, const OwnerEvent& event) {
        OwnerActions actions;
        owner->handle(own, event, actions);
        record_decision("lease_holder", own, event, actions);
        for (OwnerAction& action : actions) {
            if (auto* begin = std::get_if<core::Begin>(&action)) start(own, begin->name, begin->epoch, false);
            if (auto* retire = std::get_if<core::Retire>(&action))
                start(own, retire->name, retire->epoch, true);
            if (auto* stop = std::get_if<core::Stop>(&action)) stopped(own, *stop);
            if (auto* say = std::get_if<core::Say>(&action))
                client->say(own, say->number, say->session, "duty", say->command);
            if (auto* at = std::get_if<core::WakeAt>(&action); at && wake != at->at) {
                wake = at->at;
                timers.at(at->at, [this, when = at->at](TimePoint t) {
                    if (wake != when) return;
                    wake.reset();
                    handle(t, core::Woken{});
                });
            }
        }
    }
    void start(TimePoint own, const std::string& duty, Epoch epoch, bool retiring) {
        Run& run = runs[duty];
        if (!(retiring && run.epoch == epoch)) run = {};
        run.epoch = epoch, run.retiring = retiring;
        run.items.assign(world.set_.endless ? 0 : world.set_.items,
                         saboteur() == Saboteur::NextAsksNothing ? Item::Todo : Item::Unknown);
        timers.at(own, [this, duty, epoch](TimePoint t) { tick(t, duty, epoch); });
    }
    void stopped(TimePoint own, const core::Stop& stop) {
        auto it = runs.find(stop.name);
        if (saboteur() == Saboteur::IgnoresLease && stop.why == core::Why::Lease && it != runs.end()) return;
        if (saboteur() == Saboteur::HandsOverAtWork && it != runs.end()) {
            it->second.zombie = true, it->second.until = own + Duration{2500};
            timers.at(own, [this, stop](TimePoint t) { handle(t, core::Stopped{stop.name, stop.epoch}); });
            return;
        }
        if (it != runs.end() && it->second.epoch == stop.epoch) it->second.stopping = true;
        timers.at(own, [this, stop](TimePoint t) { rest(t, stop.name, stop.epoch); });
    }
    // What has been looked at and not sent yet goes out first: this is the moment that no clock closes.
    void rest(TimePoint own, const std::string& duty, Epoch epoch) {
        auto it = runs.find(duty);
        if (it != runs.end() && it->second.epoch == epoch && it->second.armed) {
            timers.at(own + Duration{1}, [this, duty, epoch](TimePoint t) { rest(t, duty, epoch); });
            return;
        }
        if (it != runs.end() && it->second.epoch == epoch) runs.erase(it);
        handle(own, core::Stopped{duty, epoch});
    }
    std::optional<Epoch> may(TimePoint own, const std::string& duty, const Run& run) const {
        if (saboteur() == Saboteur::IgnoresLease || run.zombie) return run.epoch;
        auto epoch = owner->may(own, duty);
        return epoch == run.epoch ? epoch : std::nullopt;
    }
    std::size_t place(std::uint64_t item) const { return world.receiver(item % world.set_.receivers); }
    Message message(Message::Kind kind, const std::string& duty, const Run& run) const {
        Message m;
        m.kind = kind;
        m.what = duty, m.call = run.epoch;
        m.epoch = saboteur() == Saboteur::EpochNotRaised ? 1 : run.epoch;
        return m;
    }
    void tick(TimePoint own, const std::string& duty, Epoch epoch) {
        auto it = runs.find(duty);
        if (it == runs.end() || it->second.epoch != epoch || it->second.stopping) return;
        Run& run = it->second;
        if (run.zombie && own > run.until) return void(runs.erase(it));
        Duration next = world.set_.pace;
        if (run.retiring) {
            tell_retired(duty, run);
            if (run.told.size() == world.set_.receivers) return handle(own, core::Told{duty, epoch});
        } else if (auto open = std::find(run.items.begin(), run.items.end(), Item::Unknown);
                   open != run.items.end()) {
            if (may(own, duty, run))
                for (std::size_t i = 0; i < run.items.size(); ++i)
                    if (run.items[i] == Item::Unknown) look(duty, run, i + 1);
        } else if (world.set_.endless && run.told.size() < world.set_.receivers) {
            if (may(own, duty, run))
                for (std::size_t i = 0; i < world.set_.receivers; ++i)
                    look(duty, run, i + world.set_.receivers);
        } else if (!run.flying && !run.armed) {
            next = step(own, duty, run);
        }
        timers.at(own + next, [this, duty, epoch](TimePoint t) { tick(t, duty, epoch); });
    }
    void look(const std::string& duty, const Run& run, std::uint64_t item) {
        Message m = message(Message::Kind::Look, duty, run);
        m.step = m.item = item, m.index = 1;
        world.net_.send(self, place(item), m);
    }
    void tell_retired(const std::string& duty, const Run& run) {
        for (std::size_t i = 0; i < world.set_.receivers; ++i)
            if (!run.told.contains(i))
                world.net_.send(self, world.receiver(i), message(Message::Kind::Retire, duty, run));
    }
    Duration step(TimePoint own, const std::string& duty, Run& run) {
        std::uint64_t item = 0, number = 0;
        if (world.set_.endless) {
            item = number = (run.epoch << 24) + run.next + 1;
        } else {
            auto todo = std::find(run.items.begin(), run.items.end(), Item::Todo);
            if (todo == run.items.end()) {
                if (saboteur() == Saboteur::RetiresBeforeEnd && run.told.size() < world.set_.receivers) {
                    tell_retired(duty, run);
                    return world.set_.pace;
                }
                run.finished = true, run.told.clear();
                handle(own, core::JobDone{duty, run.epoch});
                return Duration{500};
            }
            item = number = std::uint64_t(todo - run.items.begin()) + 1;
        }
        if (saboteur() == Saboteur::RepeatsWithoutAsking) number += 1000 * ++run.sends;
        if (saboteur() == Saboteur::NextAsksNothing) number += 1000 * run.epoch;
        if (!may(own, duty, run)) return world.set_.pace;
        run.armed = true;
        timers.at(own + Duration{1}, [this, duty, item, number, epoch = run.epoch](TimePoint t) {
            auto it = runs.find(duty);
            if (it == runs.end() || it->second.epoch != epoch) return;
            it->second.armed = false, it->second.flying = true;
            const std::uint64_t out = ++it->second.out;
            Message m = message(Message::Kind::Effect, duty, it->second);
            m.step = number, m.item = item;
            world.sent_.emplace_back(place(item), m), world.senders_.push_back(self);
            world.net_.send(self, place(item), m);
            timers.at(t + Duration{100}, [this, duty, epoch, out](TimePoint) {
                auto run_it = runs.find(duty);
                if (run_it != runs.end() && run_it->second.epoch == epoch && run_it->second.out == out)
                    run_it->second.flying = false;
            });
        });
        return world.set_.pace;
    }
    void received(std::size_t from, TimePoint own, const Message& m) {
        if (client->received(from, own, m)) return;
        auto it = runs.find(m.what);
        if (it == runs.end() || it->second.epoch != m.call) return;
        Run& run = it->second;
        if (m.verdict == Verdict::Retired) {
            run.told.insert(from - world.receiver(0));
            return;
        }
        if (m.index != 1) run.flying = false;
        if (m.verdict == Verdict::StaleEpoch || m.verdict == Verdict::EpochForgotten) return;
        if (world.set_.endless) {
            if (m.index == 1) run.told.insert(from - world.receiver(0));
            if (m.verdict == Verdict::Executed && m.index != 1 && m.item == (run.epoch << 24) + run.next + 1)
                ++run.next;
            return;
        }
        if (m.item == 0 || m.item > run.items.size()) return;
        Item& item = run.items[m.item - 1];
        if (m.verdict == Verdict::NotExecuted && item == Item::Unknown) item = Item::Todo;
        if (m.verdict == Verdict::Executed || m.verdict == Verdict::Settled) item = Item::Done;
        if (m.verdict == Verdict::PossiblyExecuted) {
            // It ends soon, or ended with a crash of the receiver: what became of it nobody knows, and it is
            // not done again.
            TimePoint since = run.doing.try_emplace(m.item, own).first->second;
            item = own - since > Duration{400} ? Item::Done : Item::Unknown;
        }
    }
};

// ---- The world

World::World(const WorldSettings& settings)
    : set_(settings),
      net_(
          [&] {
              NetSettings net;
              net.processes = settings.keepers + settings.owners + settings.receivers;
              net.delay_most = settings.delay_most;
              net.loss = settings.loss, net.doubled = settings.doubled;
              net.seed = settings.seed;
              return net;
          }(),
          {[this](std::size_t process, TimePoint own) { woken(process, own); },
           [this](std::size_t to, std::size_t from, TimePoint own, const Message& m) {
               received(to, from, own, m);
           }}),
      keepers_(play(settings)) {
    keepers_->attach(net_);
    for (std::size_t i = 0; i < set_.owners; ++i)
        owners_.push_back(std::make_unique<OwnerProcess>(*this, owner(i)));
    for (std::size_t i = 0; i < set_.receivers; ++i)
        receivers_.push_back(std::make_unique<ReceiverProcess>(*this, receiver(i)));
    for (std::size_t i = 0; i < net_.size(); ++i) {
        if (set_.skewed) net_.clock(i, i % 2 ? 1.005 : 0.995);
        if (i < set_.keepers) restart(i);
    }
    while (!keepers_->leads()) net_.run_to(net_.now() + Duration{10});
    for (std::size_t i = 0; i < set_.jobs; ++i) {
        if (set_.endless) {
            jobs_.push_back("duty" + std::to_string(i));
            continue;
        }
        keepers_->operate("duty", core::open_job("job", 0));
        while (keepers_->answers().empty()) net_.run_to(net_.now() + Duration{10});
        jobs_.push_back(core::read_answer(keepers_->answers().back())->name);
        keepers_->answers().clear();
    }
    for (std::size_t i = set_.keepers; i < net_.size(); ++i) restart(i);
    begun_ = net_.now();
    events_ = 0;
}
World::~World() = default;

void World::restart(std::size_t process) {
    net_.start(process);
    TimePoint own = net_.own(process);
    if (process < set_.keepers)
        keepers_->started(process, own);
    else if (process < receiver(0))
        owners_[process - owner(0)]->started(own);
    else
        receivers_[process - receiver(0)]->started();
}

void World::strike_at(std::uint64_t n, Blow blow, Duration back) {
    plans_.push_back({n, blow, back});
}

void World::strike(std::size_t process, Blow blow, Duration back) {
    if (!net_.up(process)) return;
    if (blow == Blow::Kill) {
        net_.crash(process);
        if (process < set_.keepers) keepers_->crashed(process);
    }
    if (blow == Blow::Stop) net_.stop(process);
    if (blow == Blow::CutToKeepers)
        for (std::size_t i = 0; i < set_.keepers; ++i)
            if (i != process) net_.cut(process, i);
    backs_.push_back({net_.now() + back, process, blow});
}

void World::heal_due() {
    for (std::size_t i = 0; i < backs_.size();) {
        if (backs_[i].at > net_.now()) {
            ++i;
            continue;
        }
        Back back = backs_[i];
        backs_.erase(backs_.begin() + std::ptrdiff_t(i));
        if (back.blow == Blow::Kill && !net_.up(back.process)) restart(back.process);
        if (back.blow == Blow::Stop) net_.go_on(back.process);
        if (back.blow == Blow::CutToKeepers)
            for (std::size_t k = 0; k < set_.keepers; ++k) net_.cut(back.process, k, false);
    }
}

/// True: it was killed before it could take this event in. A stop comes behind the event.
bool World::struck(std::size_t process) {
    ++events_;
    for (const Plan& plan : plans_)
        if (plan.event == events_) {
            strike(process, plan.blow, plan.back);
            return plan.blow == Blow::Kill;
        }
    return false;
}

void World::woken(std::size_t process, TimePoint own) {
    if (struck(process)) return;
    if (process < set_.keepers) return keepers_->woken(process, own);
    Timers& timers = process < receiver(0) ? owners_[process - owner(0)]->timers
                                           : receivers_[process - receiver(0)]->timers;
    timers.run_one(own);
    timers.arm(net_, process);
}

void World::received(std::size_t process, std::size_t from, TimePoint own, const Message& m) {
    if (struck(process)) return;
    if (process < set_.keepers) return keepers_->received(process, from, own, m);
    if (process < receiver(0)) {
        owners_[process - owner(0)]->received(from, own, m);
        owners_[process - owner(0)]->timers.arm(net_, process);
    } else {
        receivers_[process - receiver(0)]->received(from, own, m);
        receivers_[process - receiver(0)]->timers.arm(net_, process);
    }
}

void World::run_to(TimePoint at) {
    while (net_.now() < at) {
        net_.run_to(std::min(at, net_.now() + Duration{5}));
        heal_due();
        if (set_.move_at && !moved_ && net_.now() >= begun_ + *set_.move_at) {
            moved_ = true;
            keepers_->operate("duty", core::move_away(jobs_.front()));
        }
    }
}

bool World::all_over() {
    const auto* machine = keepers_->look("duty");
    if (!machine) return false;
    const auto& duties = static_cast<const core::Duties*>(machine)->duties();
    return std::none_of(jobs_.begin(), jobs_.end(),
                        [&](const std::string& job) { return duties.contains(job); });
}

void World::run(Duration most) {
    while (net_.now() < begun_ + most && !(all_over() && backs_.empty())) run_to(net_.now() + Duration{50});
    if (!all_over()) records_.undone.push_back("a job is not over");
    for (std::size_t i = 0; i < net_.size(); ++i) {
        net_.go_on(i);
        if (!net_.up(i)) restart(i);
    }
    run_to(net_.now() + Duration{200});
    // Whatever was sent lay in a socket somewhere, and comes once more: late by the doing of nobody's clock.
    const std::size_t refused = records_.refused.size();
    auto sent = sent_;
    for (std::size_t i = 0; set_.late_copies && i < sent.size(); ++i) {
        ReceiverProcess& to = *receivers_[sent[i].first - receiver(0)];
        to.received(senders_[i], net_.own(to.self), sent[i].second);
        to.timers.arm(net_, to.self);
    }
    run_to(net_.now() + Duration{200});
    records_.refused.resize(refused);
    std::set<std::pair<std::string, std::uint64_t>> landed, unknown;
    for (const auto& one : receivers_)
        landed.insert(one->landed.begin(), one->landed.end()),
            unknown.insert(one->unknown.begin(), one->unknown.end());
    for (const std::string& job : jobs_)
        for (std::uint64_t item = 1; item <= set_.items; ++item)
            if (!landed.contains({job, item}) && !unknown.contains({job, item}))
                records_.undone.push_back(job + " item " + std::to_string(item));
}

bool World::armed(std::size_t process) const {
    if (process < owner(0) || process >= receiver(0)) return false;
    const auto& runs = owners_[process - owner(0)]->runs;
    return std::any_of(runs.begin(), runs.end(), [](const auto& run) { return run.second.armed; });
}

std::optional<std::size_t> World::working() const {
    for (const auto& one : owners_)
        if (net_.up(one->self) && !net_.stopped(one->self) &&
            one->owner->may(net_.own(one->self), jobs_.front()))
            return one->self;
    return std::nullopt;
}

}  // namespace ochrehub::lab::leadership
