// Admission, engine and decision module together on virtual time, with one to three servers, under any
// sequence of small events: who enters is answered or has left, nobody is answered twice, and whoever comes
// back when it is told to is served once servers answer again.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "admission/admission.h"
#include "engine/engine.h"
#include "lab/sim/virtual_scheduler.h"

namespace ochrehub::lab {
namespace {

// As many cases as make each part's seeded faults show, the same in every run.
const int kConfigured = setenv("RC_PARAMS", "seed=11 max_success=1500", 0);

constexpr int kServers = 3;
constexpr double kHealsWithin = 30000;  // ms

Settings settings() {
    Settings set;
    set.zone = 0;
    set.max_attempts = 3;
    set.cancel = true;
    set.retry_after = true;
    set.max_retry_after = Duration{1200};
    set.response_grace = Duration{8};
    set.probe_cost = 0.03;
    set.connect_timeout = Duration{75};
    for (Idempotency effect :
         {Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::IdempotentWithKey}) {
        ClassSettings c;
        c.latency_objective = Duration{150};
        c.request_timeout = Duration{600};
        c.deduplication_window = Duration{2000};
        c.late_response_weight = 0.5;
        c.idempotency = effect;
        set.classes.push_back(c);
    }
    set.tenants = {{100, 0.6}, {100, 0.4}};
    return set;
}

/// Each server works on two at a time and lets the rest wait; what it does instead is set from outside.
class Fleet : public Upstream {
public:
    enum class Does { Answers, Silent, Errs, TurnsAway, Resets, Unreachable, Slow, kAll };

    explicit Fleet(VirtualScheduler& scheduler) : scheduler_(scheduler) { does.fill(Does::Answers); }
    void update_endpoints(const EndpointList&) override {}
    void start_attempt(AttemptId id, EndpointId server, std::shared_ptr<const Message>, Duration) override {
        auto key = std::pair(id.request, id.attempt);
        out_[key] = server;
        double after = 1;
        Outcome how = outcome(server, after);
        if (how == Outcome::Ok) {
            TimePoint& free = free_at_[server % kServers][turn_++ % 2];
            free = std::max(free, scheduler_.now()) + Duration{after};
            after = (free - scheduler_.now()).count();
        }
        if (how == Outcome::Timeout) return;  // never
        scheduler_.call_at(scheduler_.now() + Duration{after}, [this, id, key, how] {
            if (out_.erase(key) == 0) return;
            events->attempt_ended(id, {how, {}, how == Outcome::Ok ? std::make_shared<Message>() : nullptr});
        });
    }
    bool cancel_attempt(AttemptId id) override { return out_.erase({id.request, id.attempt}) > 0; }
    void probe(EndpointId server, Duration limit) override {
        double after = 1;
        Outcome how = outcome(server, after);
        if (how == Outcome::Timeout) after = limit.count();
        scheduler_.call_at(scheduler_.now() + Duration{after}, [this, server, after, how] {
            events->probe_ended(server, Duration{after}, how, {});
        });
    }
    void close_idle_connections(EndpointId) override {}

    std::array<Does, kServers> does;
    UpstreamEvents* events = nullptr;

private:
    Outcome outcome(EndpointId server, double& after) const {
        switch (does[server % kServers]) {
            case Does::Silent:
                return Outcome::Timeout;
            case Does::Errs:
                return Outcome::Error;
            case Does::TurnsAway:
                return Outcome::Rejected;
            case Does::Resets:
                return Outcome::Reset;
            case Does::Unreachable:
                return Outcome::ConnectFailed;
            case Does::Slow:
                after = 300;
                return Outcome::Ok;
            default:
                after = 20;
                return Outcome::Ok;
        }
    }

    VirtualScheduler& scheduler_;
    std::map<std::pair<RequestId, int>, EndpointId> out_;
    std::array<std::array<TimePoint, 2>, kServers> free_at_{};
    std::uint64_t turn_ = 0;
};

class Node : public DiscoverySource {
public:
    explicit Node(int listed, std::uint64_t seed)
        : admission(AdmissionController::from_settings(settings(), 12, seed)),
          fleet(scheduler),
          engine(scheduler, settings(), seed),
          listed_(listed) {
        fleet.events = &engine;
        engine.connect(fleet, *this);
        list(UpdateKind::Full, (1 << listed) - 1);
    }
    /// Asked for a list, it has none to add: the caller says when one changes.
    void watch() override {
        scheduler.call_at(scheduler.now() + Duration{100}, [this] {
            EndpointList none;
            none.update.kind = failing ? UpdateKind::Failed : UpdateKind::Delta;
            engine.update_endpoints(none);
        });
    }
    void list(UpdateKind kind, int mask) {
        EndpointList listing;
        listing.update.kind = kind;
        for (int i = 0; i < listed_; ++i) {
            bool in = mask >> i & 1;
            if (!in && kind == UpdateKind::Full) continue;
            EndpointEntry& entry = listing.update.entries.emplace_back();
            entry.endpoint = EndpointId(i);
            entry.zone = 0;
            entry.phase = in ? Phase::Ready : Phase::Draining;
            listing.addresses.emplace_back();
        }
        admission.update_endpoints(scheduler.now(), listing.update);
        engine.update_endpoints(listing);
    }
    void run_to(double ms) {
        scheduler.call_at(TimePoint{Duration{ms}}, [] {});
        while (!scheduler.idle() && scheduler.next() <= TimePoint{Duration{ms}}) scheduler.step();
    }

    VirtualScheduler scheduler{TimePoint{Duration{1e6}}};
    AdmissionController admission;
    Fleet fleet;
    Engine engine;
    bool failing = false;

private:
    int listed_;
};

/// One that asks till it is served, as it is told to, or at once and without patience.
class Client {
public:
    Client(Node& node, int number, int cls, int tenant, double patience, bool heeds)
        : node_(node), number_(number), cls_(cls), tenant_(tenant), patience_(patience), heeds_(heeds) {}

    void ask() {
        if (served || left) return;
        TimePoint now = node_.scheduler.now();
        admission_request_ = {cls_, tenant_, tries_++ > 0, std::uint64_t(number_ + 1)};
        if (auto back = node_.admission.admit(now, admission_request_)) return again(*back);
        IncomingRequest call;
        call.request.class_index = cls_;
        call.request.tenant = tenant_;
        call.request.is_client_retry = admission_request_.is_retry;
        call.request.deadline = now + Duration{patience_};
        call.message = std::make_shared<Message>();
        entered_ = now;
        auto caller = std::make_shared<Hears>(*this);
        ++entered;
        open_ = node_.engine.submit(std::move(call), caller);
        out_ = true;
    }
    void leave() {
        left = true;
        if (!std::exchange(out_, false)) return;
        ++departed;
        node_.engine.client_disconnected(open_);
        node_.admission.complete(node_.scheduler.now(), admission_request_, false,
                                 node_.scheduler.now() - entered_);
    }

    bool served = false, left = false;
    int entered = 0, answered = 0, departed = 0, twice = 0;

private:
    struct Hears : ResponseSink {
        explicit Hears(Client& client) : client_(client) {}
        void respond(FinalResponse reply) override {
            if (heard_++ > 0 || !client_.out_) ++client_.twice;
            client_.hear(reply);
        }
        Client& client_;
        int heard_ = 0;
    };
    void hear(const FinalResponse& reply) {
        TimePoint now = node_.scheduler.now();
        out_ = false;
        ++answered;
        node_.admission.complete(now, admission_request_, reply.status == FinalStatus::Served, now - entered_,
                                 reply.server_took);
        served |= reply.status == FinalStatus::Served;
        if (reply.status == FinalStatus::Rejected)
            return again(node_.admission.reject(now, admission_request_));
        if (reply.status == FinalStatus::Failed) again(Duration{100});
    }
    void again(Duration back) {
        Duration wait = heeds_ ? back : Duration{20};
        node_.scheduler.call_at(node_.scheduler.now() + wait, [this] { ask(); });
    }

    Node& node_;
    int number_, cls_, tenant_;
    double patience_;
    bool heeds_, out_ = false;
    int tries_ = 0;
    AdmissionController::AdmissionRequest admission_request_;
    TimePoint entered_{};
    RequestId open_ = 0;
};

struct Seen {
    int entered = 0, answered = 0, departed = 0, twice = 0, unserved = 0, refusals = 0;
    std::size_t open = 0, held = 0, admission = 0;
};

Seen explore(const std::vector<std::uint32_t>& events) {
    std::uint32_t first = events.empty() ? 0 : events.front();
    Node node(int(1 + first % kServers), first);
    std::vector<std::unique_ptr<Client>> clients;
    double now = 1e6;
    for (std::uint32_t event : events) {
        now += event % 7 == 0 ? event >> 8 & 0x3ff : event >> 8 & 0x1f;
        node.run_to(now);
        std::uint32_t what = event >> 18;
        switch (event & 0xf) {
            case 0:
                node.list(UpdateKind::Full, int(what % 8));
                break;
            case 1:
                node.list(UpdateKind::Delta, int(what % 8));
                break;
            case 2:
                node.failing = what & 1;
                break;
            case 3:
            case 4:
            case 5:
                node.fleet.does[what % kServers] = Fleet::Does(what / 3 % int(Fleet::Does::kAll));
                break;
            case 6:
                if (!clients.empty()) clients[what % clients.size()]->leave();
                break;
            default: {
                // A burst now and then: what comes together meets a full admission.
                int many = (event & 0xf) == 7 ? 8 : 1;
                for (int i = 0; i < many && clients.size() < 60; ++i) {
                    int number = int(clients.size());
                    double patience = 150 + what % 450;
                    clients.push_back(std::make_unique<Client>(node, number, int(what + std::uint32_t(i)) % 3,
                                                               int(what / 3 % 3) - 1, patience,
                                                               what % 4 != 0));
                    clients.back()->ask();
                }
            }
        }
    }
    // All heals.
    node.failing = false;
    node.fleet.does.fill(Fleet::Does::Answers);
    node.list(UpdateKind::Full, 7);
    node.run_to(now + kHealsWithin);
    Seen seen;
    for (const auto& client : clients) {
        seen.unserved += !client->served && !client->left;
        client->leave();
        seen.entered += client->entered;
        seen.answered += client->answered;
        seen.departed += client->departed;
        seen.twice += client->twice;
    }
    node.run_to(now + kHealsWithin + 2000);
    seen.open = node.engine.open_requests();
    seen.held = node.engine.held_requests();
    seen.admission = node.admission.open_requests();
    return seen;
}

TEST(Explore, WhoEntersIsAnsweredOnceAndWhoComesBackAsToldIsServed) {
    ASSERT_EQ(kConfigured, 0);
    EXPECT_TRUE(rc::check([](const std::vector<std::uint32_t>& events) {
        Seen seen = explore(events);
        RC_ASSERT(seen.twice == 0);
        RC_ASSERT(seen.entered == seen.answered + seen.departed);
        RC_ASSERT(seen.unserved == 0);
        RC_ASSERT(seen.open == 0u);
        RC_ASSERT(seen.held == 0u);
        RC_ASSERT(seen.admission == 0u);
    }));
}

// Found so: a server that was down when it left the list came back with it, and was neither probed nor sent
// anything again, for good.
TEST(Explore, AServerThatWasDownWhenItLeftTheListIsFoundAgain) {
    EXPECT_EQ(explore({3201459, 5929975, 6857616, 3091739}).unserved, 0);
}

}  // namespace
}  // namespace ochrehub::lab
