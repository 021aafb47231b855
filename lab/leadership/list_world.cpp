#include "lab/leadership/list_world.h"

#include <list.pb.h>

#include <algorithm>

#include "fleet/leadership/machine.h"
#include "lab/leadership/replicas.h"
#include "lab/record/decision_recorder.h"

namespace ochrehub::lab::leadership {

namespace core = ochrehub::leadership;
namespace list = ochrehub::leadership::list;

std::string_view name(ListSaboteur saboteur) {
    constexpr std::string_view kNames[kListSaboteurs] = {"none",
                                                         "never asks itself",
                                                         "counts from the news",
                                                         "reports unasked",
                                                         "asks at once",
                                                         "the owner ignores what it is told"};
    return kNames[std::size_t(saboteur)];
}

namespace {

Keepers::Machines machines() {
    Keepers::Machines all;
    all.push_back(std::make_unique<core::Duties>());
    all.push_back(std::make_unique<list::Machine>());
    return all;
}

std::unique_ptr<House> play(const ListSettings& settings) {
    if (settings.real) return std::make_unique<Replicas>(settings.keepers, settings.seed, machines);
    KeeperSettings keepers;
    keepers.keepers = settings.keepers;
    return std::make_unique<Keepers>(keepers, machines());
}

}  // namespace

// ---- Discovery: a clerk who takes calls in turn, watches that wait, and what it told whom.

struct ListWorld::Discovery {
    explicit Discovery(ListWorld& its) : world(its) {}
    struct Call {
        std::size_t from = 0;
        Message message;
        TimePoint asked{};
    };
    ListWorld& world;
    Timers timers;
    std::uint64_t revision = 1000;
    std::map<std::string, std::string> servers;
    std::vector<std::pair<std::uint64_t, std::string>> changes;  // revision, server
    std::vector<Call> queue, watches;
    bool busy = false;
    int next = 0, drains = 0;
    std::map<std::string, TimePoint> out;                           // when it listed a server as draining
    std::map<std::pair<std::size_t, std::string>, TimePoint> told;  // ... and told a node so

    void start(TimePoint own) {
        for (std::size_t i = 0; i < world.set_.servers; ++i) servers["s" + std::to_string(next++)] = "ready";
        timers.at(own + Duration{6000}, [this](TimePoint t) { drain(t); });
    }
    void drain(TimePoint own) {
        // The oldest and the newest in turn: some servers live for seconds.
        std::optional<std::string> which;
        ++drains;
        for (int i = 0; i < next; ++i) {
            std::string id = "s" + std::to_string(drains % 2 ? i : next - 1 - i);
            if (!which && servers.contains(id) && servers[id] == "ready") which = id;
        }
        if (which) {
            change(own, *which, "drain");
            out[*which] = world.net_.now();
            timers.at(own + Duration{3000}, [this, id = *which](TimePoint t) {
                change(t, id, "");
                change(t, "s" + std::to_string(next++), "ready");
            });
        }
        timers.at(own + world.set_.every, [this](TimePoint t) { drain(t); });
    }
    void change(TimePoint own, const std::string& id, const std::string& phase) {
        ++revision;
        changes.emplace_back(revision, id);
        if (phase.empty())
            servers.erase(id);
        else
            servers[id] = phase;
        for (Call& call : std::exchange(watches, {})) answer(own, call);
    }
    void asked(TimePoint own, std::size_t from, const Message& m) {
        ++world.outcome_.calls;
        queue.push_back({from, m, own});
        work(own);
    }
    void work(TimePoint own) {
        if (busy || queue.empty()) return;
        busy = true;
        timers.at(own + Duration{1000 / world.set_.calls_per_s}, [this](TimePoint t) {
            busy = false;
            Call call = queue.front();
            queue.erase(queue.begin());
            if (t - call.asked > Duration{1000}) {
                ++world.outcome_.failed;
                Message m = call.message;
                m.kind = Message::Kind::Failed;
                world.net_.send(world.discovery(), call.from, m);
            } else if (call.message.index != 0 && call.message.index == revision) {
                watches.push_back(call);
                timers.at(call.asked + Duration{call.message.wait},
                          [this, from = call.from, number = call.message.call](TimePoint at) {
                              auto it = std::find_if(watches.begin(), watches.end(), [&](const Call& w) {
                                  return w.from == from && w.message.call == number;
                              });
                              if (it == watches.end()) return;
                              Call over = *it;
                              watches.erase(it);
                              answer(at, over);
                          });
            } else {
                answer(t, call);
            }
            work(t);
        });
    }
    void answer(TimePoint, const Call& call);
};

// ---- A node

struct ListWorld::Node {
    Node(ListWorld& its, std::size_t number) : world(its), self(number) {}
    ListWorld& world;
    std::size_t self;
    Timers timers;
    std::unique_ptr<Member> client;
    core::Owner duties;
    list::Owner owner;
    std::optional<list::Follower> follower;
    std::optional<core::Epoch> epoch;
    std::map<std::string, std::string> view;
    std::map<std::string, TimePoint> sent;  // to servers that drain: the last request
    std::uint64_t own_call = 0, own_index = 0, forgeries = 0, lives = 0;
    bool own = false;
    bool restarted = false, hung = false;
    constexpr static std::uint64_t kOwn = 1ull << 32;  // calls of the node itself, beside its owner's

    ListSaboteur saboteur() const { return world.set_.saboteur; }
    void started(TimePoint now) {
        timers.clear();
        core::OwnerSettings settings;
        list::OwnerSettings watch;
        if (world.set_.real) settings.margin = settings.again = watch.again = Duration{0};
        duties = core::Owner(settings);
        watch.wait = world.set_.owner_wait;
        owner = list::Owner(watch);
        epoch.reset();
        own = hung = false, own_index = 0;
        list::FollowerSettings follow;
        follow.silence = saboteur() == ListSaboteur::NeverAsksItself ? Duration{1e9} : world.set_.silence;
        follow.spread = saboteur() == ListSaboteur::AsksAtOnce
                            ? Duration{0}
                            : std::min(Duration{5000}, Duration{50} * double(world.set_.nodes));
        follow.part = world.net_.uniform();
        follower.emplace(follow, now);
        if (!restarted) view = world.discovery_->servers;
        SessionHooks hooks{
            [this](TimePoint t, coordinator::SessionId id, TimePoint until) {
                duty(t, core::SessionHeld{id, until});
            },
            [this](TimePoint t) { duty(t, core::SessionLost{}); },
            [this](TimePoint t, coordinator::SessionId id, const std::string& kind, const std::string& news) {
                if (kind == "duty") duty(t, core::Heard{id, news});
                if (kind == "list")
                    follow_(t, list::Heard{client->asked(),
                                           saboteur() == ListSaboteur::CountsFromNews ? forged(news) : news});
            },
            [this](TimePoint t, const std::string& kind, std::uint64_t number, const std::string& answer) {
                if (kind == "duty") duty(t, core::Answered{number, answer});
                if (kind == "list") watch_(t, list::Answered{number, answer});
            }};
        SessionSettings session;
        session.keepers = world.set_.keepers;
        if (world.set_.real) {
            auto member = std::make_unique<RealMember>(session, world.net_, timers, self,
                                                       self * 1000 + ++lives, std::move(hooks));
            member->whole = [this](TimePoint t, const std::string& whole) {
                follow_(t, list::HeardWhole{whole});
            };
            client = std::move(member);
        } else {
            client = std::make_unique<SessionClient>(session, world.net_, timers, self, std::move(hooks));
        }
        if (world.set_.agreed) {
            duty(now, core::WantDuty{std::string(list::kDuty), 1});
            timers.at(now + Duration{1 + 1000 * world.net_.uniform()},
                      [this](TimePoint t) { client->begin(t); });
            timers.at(now, [this](TimePoint t) { follow_(t, list::FollowerWoken{}); });
        } else {
            own = true;
            timers.at(now + Duration{50} * double(world.set_.nodes) * world.net_.uniform(),
                      [this](TimePoint t) { ask_self(t); });
        }
        timers.at(now + Duration{100 * world.net_.uniform()}, [this](TimePoint t) { use(t); });
        timers.arm(world.net_, self);
    }
    /// What a node that takes hearing for knowing makes of it: that the round it hears of is closed.
    std::string forged(const std::string& news) {
        ochrehub::list::wire::News in;
        in.ParseFromString(news);
        forgeries += 2;
        in.set_confirmed((1 << 20) + forgeries), in.set_round((1 << 20) + forgeries + 1);
        return in.SerializeAsString();
    }

    // Requests: one to each server that it takes for ready.
    void use(TimePoint now) {
        for (const auto& [id, phase] : view)
            if (phase == "ready" && world.discovery_->out.contains(id)) sent[id] = world.net_.now();
        timers.at(now + Duration{100}, [this](TimePoint t) { use(t); });
    }
    void duty(TimePoint now, const core::OwnerEvent& event) {
        core::OwnerActions actions;
        duties.handle(now, event, actions);
        record_decision("lease_holder", now, event, actions);
        for (core::OwnerAction& action : actions) {
            if (auto* say = std::get_if<core::Say>(&action))
                client->say(now, say->number, say->session, "duty", say->command);
            if (auto* begin = std::get_if<core::Begin>(&action)) {
                epoch = begin->epoch;
                watch_(now, list::Began{begin->epoch});
            }
            if (auto* stop = std::get_if<core::Stop>(&action)) {
                watch_(now, list::Halted{});
                epoch.reset();
                timers.at(now, [this, stop = *stop](TimePoint t) {
                    duty(t, core::Stopped{stop.name, stop.epoch});
                });
            }
            if (auto* at = std::get_if<core::WakeAt>(&action))
                timers.at(at->at, [this](TimePoint t) { duty_woken(t); });
        }
    }
    TimePoint last_woken{-1e9 * Duration{1}};
    void duty_woken(TimePoint now) {
        if (now <= last_woken) return;  // many asked for this moment
        last_woken = now;
        duty(now, core::Woken{});
    }
    void watch_(TimePoint now, const list::OwnerEvent& event) {
        if ((!std::get_if<list::Began>(&event) && !epoch) || hung) return;
        list::OwnerActions actions;
        owner.handle(now, event, actions);
        record_decision("list_publisher", now, event, actions);
        for (list::OwnerAction& action : actions) {
            if (auto* watch = std::get_if<list::Watch>(&action)) {
                if (saboteur() == ListSaboteur::ReportsUnasked && watch->index) {
                    timers.at(now + watch->wait,
                              [this, call = watch->call, index = *watch->index](TimePoint t) {
                                  watch_(t, list::Told{call, {index, false, {}, {}}});
                              });
                } else {
                    ask(watch->call, watch->index.value_or(0), watch->wait);
                }
            }
            if (auto* use = std::get_if<list::UseTold>(&action);
                use && saboteur() != ListSaboteur::OwnerIgnoresTold) {
                take(use->listing);
                follow_(now, list::OwnTold{});
            }
            if (auto* say = std::get_if<list::Say>(&action))
                client->say(now, say->number, duties.session(), "list", say->command);
            if (std::get_if<list::GiveBack>(&action) && epoch) {
                timers.at(now, [this, e = *epoch](TimePoint t) {
                    duty(t, core::HandBack{std::string(list::kDuty), e});
                });
            }
            if (auto* at = std::get_if<list::OwnerWakeAt>(&action))
                timers.at(at->at, [this](TimePoint t) { watch_(t, list::OwnerWoken{}); });
        }
    }
    void follow_(TimePoint now, const list::FollowerEvent& event) {
        list::FollowerActions actions;
        follower->handle(now, event, actions);
        record_decision("list_follower", now, event, actions);
        for (list::FollowerAction& action : actions) {
            if (auto* whole = std::get_if<list::UseWhole>(&action))
                view = {whole->entries.begin(), whole->entries.end()};
            if (auto* change = std::get_if<list::UseChange>(&action)) {
                for (const auto& [id, body] : change->put) view[id] = body;
                for (const std::string& id : change->gone) view.erase(id);
            }
            if (std::get_if<list::Fetch>(&action)) {
                client->read(now, "list");
            }
            if (std::get_if<list::AskSelf>(&action)) {
                own = true, own_index = 0;
                ask_self(now);
            }
            if (std::get_if<list::LetBe>(&action)) own = false;
            if (auto* at = std::get_if<list::FollowerWakeAt>(&action)) {
                if (!follow_at || *follow_at != at->at) {
                    follow_at = at->at;
                    timers.at(at->at, [this, when = at->at](TimePoint t) {
                        if (follow_at == when) follow_(t, list::FollowerWoken{});
                    });
                }
            }
        }
    }
    std::optional<TimePoint> follow_at;

    void take(const list::Listing& listing) {
        if (listing.whole) view.clear();
        for (const auto& [id, phase] : listing.put) view[id] = phase;
        for (const std::string& id : listing.gone) view.erase(id);
    }
    void ask(std::uint64_t call, std::uint64_t index, Duration wait) {
        Message m;
        m.kind = Message::Kind::Ask;
        m.call = call, m.index = index, m.wait = wait.count();
        world.net_.send(self, world.discovery(), m);
    }
    void ask_self(TimePoint now) {
        if (!own) return;
        const std::uint64_t call = ++own_call;
        ask(kOwn + call, own_index, world.set_.own_wait);
        timers.at(now + (own_index ? world.set_.own_wait : Duration{0}) + Duration{2500},
                  [this, call](TimePoint t) {
                      if (own && own_call == call) ask_self(t);
                  });
    }
    void received(std::size_t from, TimePoint now, const Message& m) {
        if (from < world.set_.keepers) {
            if (m.kind == Message::Kind::List)
                follow_(now, list::HeardWhole{m.body});
            else
                client->received(from, now, m);
            return;
        }
        const bool mine = m.call > kOwn;
        if (m.kind == Message::Kind::Failed) {
            if (!mine) return watch_(now, list::Failed{m.call});
            if (own && m.call == kOwn + own_call)
                timers.at(now + Duration{250 + 1000 * world.net_.uniform()},
                          [this](TimePoint t) { ask_self(t); });
            return;
        }
        list::Listing listing{m.index, m.step == 1, {}, {}};
        for (const auto& [id, phase] : m.news)
            if (phase.empty())
                listing.gone.push_back(id);
            else
                listing.put[id] = phase;
        if (!mine) return watch_(now, list::Told{m.call, listing});
        if (m.call != kOwn + own_call) return;
        take(listing);
        own_index = listing.revision;
        if (world.set_.agreed) follow_(now, list::OwnTold{});
        ask_self(now);
    }
};

void ListWorld::Discovery::answer(TimePoint, const Call& call) {
    Message m;
    m.kind = Message::Kind::List;
    m.call = call.message.call;
    m.index = revision;
    m.step = call.message.index == 0;  // whole
    if (m.step) {
        for (const auto& [id, phase] : servers) m.news.emplace_back(id, phase);
    } else {
        for (const auto& [at, id] : changes)
            if (at > call.message.index) m.news.emplace_back(id, servers.contains(id) ? servers[id] : "");
    }
    // A watch whose reader hangs is not told.
    const Node& node = *world.nodes_[call.from - world.set_.keepers];
    if (!world.net_.is_cut(world.discovery(), call.from) && (!node.hung || call.message.call > Node::kOwn))
        for (const auto& [id, at] : out)
            if (!servers.contains(id) || servers[id] == "drain")
                told.try_emplace({call.from, id}, world.net_.now());
    world.net_.send(world.discovery(), call.from, m);
}

// ---- The world

ListWorld::ListWorld(const ListSettings& settings)
    : set_(settings),
      net_(
          [&] {
              NetSettings net;
              net.processes = settings.keepers + settings.nodes + 1;
              net.seed = settings.seed;
              net.in_order = true;
              return net;
          }(),
          {[this](std::size_t process, TimePoint own) {
               event(process);
               if (!net_.up(process)) return;
               if (process < set_.keepers) return keepers_->woken(process, own);
               Timers& timers =
                   process == discovery() ? discovery_->timers : nodes_[process - set_.keepers]->timers;
               timers.run_one(own);
               timers.arm(net_, process);
           },
           [this](std::size_t to, std::size_t from, TimePoint own, const Message& m) {
               event(to);
               if (!net_.up(to)) return;
               if (to < set_.keepers) return keepers_->received(to, from, own, m);
               if (to == discovery()) {
                   discovery_->asked(own, from, m);
                   return discovery_->timers.arm(net_, to);
               }
               nodes_[to - set_.keepers]->received(from, own, m);
               nodes_[to - set_.keepers]->timers.arm(net_, to);
           }}),
      keepers_(play(settings)),
      discovery_(std::make_unique<Discovery>(*this)) {
    keepers_->attach(net_);
    discovery_->start(net_.own(discovery()));
    discovery_->timers.arm(net_, discovery());
    for (std::size_t i = 0; i < net_.size(); ++i) {
        if (i != discovery()) net_.clock(i, i % 2 ? 1.005 : 0.995);
        if (i < set_.keepers) keepers_->started(i, net_.own(i));
    }
    for (std::size_t i = 0; i < set_.nodes; ++i) {
        nodes_.push_back(std::make_unique<Node>(*this, set_.keepers + i));
        nodes_.back()->started(net_.own(set_.keepers + i));
    }
}
ListWorld::~ListWorld() = default;

void ListWorld::event(std::size_t) {
    ++events_;
    for (const Plan& plan : plans_)
        if (plan.event == events_) hit(plan.hit, plan.back);
}
void ListWorld::hit_at(std::uint64_t n, Hit hit, Duration back) {
    plans_.push_back({n, hit, back});
}

std::optional<std::size_t> ListWorld::owner() const {
    for (const auto& node : nodes_)
        if (node->epoch && net_.up(node->self) && !net_.stopped(node->self) &&
            node->duties.may(net_.own(node->self), list::kDuty))
            return node->self;
    return std::nullopt;
}

void ListWorld::hit(Hit hit, Duration back) {
    if (hit == Hit::KeepersGone || hit == Hit::KeepersAndBack) {
        for (std::size_t k = 0; k < set_.keepers; ++k) net_.crash(k), keepers_->crashed(k);
        undos_.push_back({net_.now() + back, 0, hit});
        return;
    }
    auto who = owner();
    if (!who) return;
    if (hit == Hit::Kill) net_.crash(*who);
    if (hit == Hit::Hang) {
        nodes_[*who - set_.keepers]->hung = true;
        // What is on its way finds nobody who reads it.
        std::erase_if(discovery_->told, [&](const auto& one) {
            return one.first.first == *who && one.second > net_.now() - Duration{3};
        });
    }
    if (hit == Hit::Stop) net_.stop(*who);
    for (std::size_t k = 0; k < set_.keepers; ++k) {
        if (hit == Hit::CutToKeepers) net_.cut(*who, k);
        if (hit == Hit::CutFromKeepers) net_.cut(k, *who);
    }
    if (hit == Hit::CutToDiscovery) net_.cut(*who, discovery());
    if (hit == Hit::CutFromDiscovery) net_.cut(discovery(), *who);
    undos_.push_back({net_.now() + back, *who, hit});
    if (hit == Hit::Kill || hit == Hit::Stop) excused_[*who] = net_.now() + back;
}

void ListWorld::undo_due() {
    for (std::size_t i = 0; i < undos_.size();) {
        if (undos_[i].at > net_.now()) {
            ++i;
            continue;
        }
        Undo undo = undos_[i];
        undos_.erase(undos_.begin() + std::ptrdiff_t(i));
        if (undo.hit == Hit::KeepersAndBack)
            for (std::size_t k = 0; k < set_.keepers; ++k) net_.start(k), keepers_->started(k, net_.own(k));
        if (undo.hit == Hit::Kill) {
            net_.start(undo.process);
            std::erase_if(discovery_->told, [&](const auto& one) {
                return one.first.first == undo.process;
            });  // its last life was
            nodes_[undo.process - set_.keepers]->restarted = true;
            nodes_[undo.process - set_.keepers]->started(net_.own(undo.process));
        }
        if (undo.hit == Hit::Hang) nodes_[undo.process - set_.keepers]->hung = false;
        if (undo.hit == Hit::Stop) net_.go_on(undo.process);
        for (std::size_t k = 0; k < set_.keepers && undo.hit != Hit::KeepersGone; ++k)
            net_.cut(undo.process, k, false), net_.cut(k, undo.process, false);
        net_.cut(undo.process, discovery(), false), net_.cut(discovery(), undo.process, false);
    }
}

void ListWorld::run_to(TimePoint at) {
    while (net_.now() < at) {
        net_.run_to(std::min(at, net_.now() + Duration{20}));
        undo_due();
    }
}

ListOutcome ListWorld::outcome() {
    ListOutcome out = outcome_;
    out.seconds = net_.now().time_since_epoch().count() / 1000;
    for (const auto& [id, listed] : discovery_->out) {
        ++out.drains;
        for (const auto& node : nodes_) {
            auto last = node->sent.find(id);
            if (last == node->sent.end()) {
                out.learnt.push_back(Duration{0});
                continue;
            }
            out.learnt.push_back(last->second - listed);
            // Who was stopped or killed owes it from when it went on.
            TimePoint from = listed;
            auto excused = excused_.find(node->self);
            if (excused != excused_.end()) from = std::max(from, excused->second);
            TimePoint limit = from + set_.ask_within + set_.told_limit;
            auto told = discovery_->told.find({node->self, id});
            if (told != discovery_->told.end()) {
                TimePoint by =
                    std::max(told->second, excused == excused_.end() ? told->second : excused->second);
                // Where the way to the node was cut then, it counts six seconds later.
                limit = std::min(limit, by + set_.told_limit);
            }
            if (last->second > limit) {
                ++out.requests_late;
                out.wrong.push_back(id + " was sent requests by " + std::to_string(node->self) + " for " +
                                    std::to_string(int((last->second - listed).count())) + " ms, " +
                                    std::to_string(int((last->second - limit).count())) +
                                    " ms beyond the limit");
            }
        }
    }
    std::sort(out.learnt.begin(), out.learnt.end());
    return out;
}

// ---- Trials

std::string_view name(Hit hit) {
    constexpr std::string_view kNames[] = {"killed",
                                           "stopped",
                                           "cut to the keepers",
                                           "cut from the keepers",
                                           "cut to discovery",
                                           "cut from discovery",
                                           "hung",
                                           "keepers gone",
                                           "keepers gone and back"};
    return kNames[std::size_t(hit)];
}

void ListTrial::add(ListWorld& world, const std::string& which) {
    ListOutcome outcome = world.outcome();
    ++runs;
    drains += outcome.drains, calls += outcome.calls, failed += outcome.failed, seconds += outcome.seconds;
    if (!outcome.learnt.empty()) worst = std::max(worst, outcome.learnt.back());
    if (outcome.wrong.empty()) return;
    if (wrong++ == 0) first = which + ": " + outcome.wrong.front();
}

ListTrial hit_each(const ListSettings& settings, Hit hit, Duration back, std::uint64_t from,
                   std::uint64_t stride) {
    ListTrial trial;
    ListWorld plain(settings);
    plain.run_to(TimePoint{Duration{5000}});
    const std::uint64_t begin = plain.events();
    plain.run_to(TimePoint{Duration{15'000}});
    for (std::uint64_t n = begin + from; n <= plain.events(); n += stride) {
        ListWorld world(settings);
        world.hit_at(n, hit, back);
        world.run_to(TimePoint{Duration{45'000}});
        trial.add(world, std::string(name(hit)) + " at event " + std::to_string(n));
    }
    return trial;
}

ListTrial list_shown_by(ListSaboteur what_for, ListSaboteur in_it) {
    ListSettings settings;
    settings.saboteur = in_it;
    if (what_for == ListSaboteur::OwnerIgnoresTold)
        return hit_each(settings, Hit::CutToKeepers, Duration{20'000}, 1, 47);
    if (what_for == ListSaboteur::NeverAsksItself || what_for == ListSaboteur::CountsFromNews)
        return hit_each(settings, Hit::Hang, Duration{25'000}, 1, 199);
    ListTrial trial;
    if (what_for == ListSaboteur::AsksAtOnce)
        settings.nodes = 100, settings.calls_per_s = 40, settings.every = Duration{1e9};
    ListWorld world(settings);
    world.run_to(TimePoint{Duration{10'000}});
    if (what_for == ListSaboteur::AsksAtOnce) world.hit(Hit::KeepersGone, Duration{60'000});
    world.run_to(TimePoint{Duration{45'000}});
    trial.add(world, "one run");
    if (what_for == ListSaboteur::AsksAtOnce && trial.failed > 0) {
        ++trial.wrong;
        trial.first = std::to_string(trial.failed) + " calls failed";
    }
    return trial;
}

}  // namespace ochrehub::lab::leadership
