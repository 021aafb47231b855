// The engine on virtual time, with an upstream that does what it is told: every request is answered once, and
// nothing of it is kept when it is over.
#include "engine/engine.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "lab/sim/mix.h"
#include "lab/sim/virtual_scheduler.h"

namespace ochrehub::lab {
namespace {

struct Body : Message {
    explicit Body(int& alive) : alive_(alive) { ++alive_; }
    Body(const Body&) = delete;
    Body& operator=(const Body&) = delete;
    ~Body() override { --alive_; }
    int& alive_;
};

/// Answers as it is told, each attempt after a time of its own; none where that is negative.
class Servers : public Upstream {
public:
    using Fate = std::function<std::pair<Outcome, double>(AttemptId)>;

    explicit Servers(VirtualScheduler& scheduler) : scheduler_(scheduler) {}
    void update_endpoints(const EndpointList&) override {}
    void start_attempt(AttemptId id, EndpointId, std::shared_ptr<const Message> message, Duration) override {
        auto [outcome, after] = fate(id);
        ++started;
        out_[{id.request, id.attempt}] = std::move(message);
        if (after < 0) return;
        scheduler_.call_at(scheduler_.now() + Duration{after}, [this, id, outcome = outcome] {
            if (out_.erase({id.request, id.attempt}) == 0) return;
            events->attempt_ended(
                id, {outcome, {}, outcome == Outcome::Ok ? std::make_shared<Body>(answers) : nullptr});
        });
    }
    bool cancel_attempt(AttemptId id) override { return out_.erase({id.request, id.attempt}) > 0; }
    void probe(EndpointId server, Duration) override {
        scheduler_.post([this, server] { events->probe_ended(server, Duration{1}, Outcome::Ok, {}); });
    }
    void close_idle_connections(EndpointId) override {}

    Fate fate;
    UpstreamEvents* events = nullptr;
    int started = 0, answers = 0;

private:
    VirtualScheduler& scheduler_;
    std::map<std::pair<RequestId, int>, std::shared_ptr<const Message>> out_;
};

struct NoRegistry : DiscoverySource {
    void watch() override {}
};

struct Client : ResponseSink {
    void respond(FinalResponse reply) override {
        ++heard;
        status = reply.status;
    }
    bool is_client_disconnected() override { return left; }
    bool left = false;
    int heard = 0;
    FinalStatus status{};
};

struct Rig {
    explicit Rig(int listed, std::uint64_t seed = 1)
        : servers(scheduler), engine(scheduler, settings(), seed) {
        servers.events = &engine;
        servers.fate = [](AttemptId) { return std::pair(Outcome::Ok, 20.0); };
        engine.connect(servers, registry);
        EndpointList listing;
        for (int i = 0; i < listed; ++i) {
            EndpointEntry& entry = listing.update.entries.emplace_back();
            entry.endpoint = EndpointId(i + 1);
            entry.zone = 0;
            listing.addresses.emplace_back();
        }
        engine.update_endpoints(listing);
    }
    static Settings settings() {
        Settings set;
        set.zone = 0;
        set.max_attempts = 3;
        set.cancel = true;
        set.retry_after = true;
        set.max_retry_after = Duration{1200};
        set.response_grace = Duration{8};
        set.probes = true;
        set.probe_cost = 0.03;
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
        return set;
    }
    std::shared_ptr<Client> ask(int cls, double patience) {
        IncomingRequest call;
        call.request.class_index = cls;
        call.request.deadline = engine.now() + Duration{patience};
        call.message = std::make_shared<Body>(bodies);
        auto client = std::make_shared<Client>();
        ids.push_back(engine.submit(std::move(call), client));
        clients.push_back(client);
        return client;
    }
    void run_to(double ms) {
        while (!scheduler.idle() && scheduler.next() <= TimePoint{Duration{ms}}) scheduler.step();
    }

    int bodies = 0;
    VirtualScheduler scheduler{TimePoint{Duration{0}}};
    Servers servers;
    NoRegistry registry;
    Engine engine;
    std::vector<std::shared_ptr<Client>> clients;
    std::vector<RequestId> ids;
};

// Given up by a wake, which concludes many at once: the engine once kept all of them, with their bodies'
// buffers, and a node that had refused a few hundred orders told every newcomer that it had no room, for
// good.
TEST(Engine, KeepsNothingOfWhatWasRefusedWhileItWaited) {
    Rig rig(0);
    for (int i = 0; i < 300; ++i) rig.ask(i % 3, 200 + i);
    rig.run_to(2000);
    for (const auto& client : rig.clients) {
        EXPECT_EQ(client->heard, 1);
        EXPECT_EQ(client->status, FinalStatus::Rejected);
    }
    EXPECT_EQ(rig.engine.open_requests(), 0u);
    EXPECT_EQ(rig.engine.held_requests(), 0u);
    EXPECT_EQ(rig.bodies, 0) << "bodies still held";
}

TEST(Engine, KeepsNothingOfWhatItsClientsLeft) {
    Rig rig(2);
    rig.servers.fate = [](AttemptId) { return std::pair(Outcome::Ok, -1.0); };
    for (int i = 0; i < 60; ++i) rig.ask(i % 3, 500);
    rig.run_to(50);
    EXPECT_GT(rig.servers.started, 0);
    for (RequestId id : rig.ids) rig.engine.client_disconnected(id);
    rig.run_to(3000);
    EXPECT_EQ(rig.engine.held_requests(), 0u);
    EXPECT_EQ(rig.bodies, 0);
    for (const auto& client : rig.clients) EXPECT_EQ(client->heard, 0);
}

// Their ends were in the sockets, and nobody had read them: attempts once began for them all the same.
TEST(Engine, BeginsNoAttemptForACallerThatIsGone) {
    Rig rig(2);
    auto stayed = rig.ask(0, 500), left = rig.ask(0, 500);
    left->left = true;
    rig.run_to(400);
    EXPECT_EQ(rig.servers.started, 1);
    EXPECT_EQ(stayed->heard, 1);
    EXPECT_EQ(left->heard, 0);
    EXPECT_EQ(rig.engine.open_requests(), 0u);
    EXPECT_EQ(rig.engine.held_requests(), 0u);
    EXPECT_EQ(rig.bodies, 0) << "bodies still held";
}

TEST(Engine, BeginsNoFurtherAttemptForACallerThatIsGone) {
    Rig rig(2);
    std::shared_ptr<Client> client;
    rig.servers.fate = [&](AttemptId id) {
        if (id.attempt == 0) rig.scheduler.call_at(TimePoint{Duration{5}}, [&] { client->left = true; });
        return std::pair(Outcome::Rejected, 20.0);
    };
    client = rig.ask(0, 500);
    rig.run_to(400);
    EXPECT_EQ(rig.servers.started, 1);
    EXPECT_EQ(client->heard, 0);
    EXPECT_EQ(rig.engine.open_requests(), 0u);
    EXPECT_EQ(rig.engine.held_requests(), 0u);
}

TEST(Engine, SaysOfEachAttemptWhetherItIsStillWanted) {
    Rig rig(2);
    rig.servers.fate = [](AttemptId) { return std::pair(Outcome::Ok, 50.0); };
    auto stays = rig.ask(0, 500), leaves = rig.ask(0, 500);
    rig.run_to(10);
    EXPECT_EQ(rig.servers.started, 2);
    leaves->left = true;
    EXPECT_TRUE(rig.engine.may_send({rig.ids[0], 0}));
    EXPECT_FALSE(rig.engine.may_send({rig.ids[1], 0}));
    EXPECT_FALSE(rig.engine.may_send({99, 0}));
    rig.run_to(400);
    EXPECT_FALSE(rig.engine.may_send({rig.ids[0], 0})) << "answered";
    EXPECT_EQ(leaves->heard, 0);
    EXPECT_EQ(rig.engine.held_requests(), 0u);
}

// A connection that comes up behind the window for a repeat carries it no more.
TEST(Engine, WantsNoRepeatThatWouldBeWrittenBehindItsWindow) {
    Rig rig(2);
    rig.servers.fate = [](AttemptId id) {
        return id.attempt == 0 ? std::pair(Outcome::Reset, 10.0) : std::pair(Outcome::Ok, 4000.0);
    };
    rig.ask(2, 5000);
    std::vector<bool> wanted;
    for (double ms : {1900.0, 2100.0})  // the first attempt was sent at 0, its window is 2000
        rig.scheduler.call_at(TimePoint{Duration{ms}}, [&] {
            wanted.push_back(rig.engine.may_send({rig.ids[0], 1}));
        });
    rig.run_to(2100);
    EXPECT_EQ(rig.servers.started, 2);
    EXPECT_EQ(wanted, (std::vector<bool>{true, false}));
    EXPECT_FALSE(rig.engine.may_send({rig.ids[0], 2})) << "there is none";
}

TEST(Engine, SaysOfEachAttemptWhetherItsRequestMayBeSentAgain) {
    Rig rig(2);
    rig.servers.fate = [](AttemptId) { return std::pair(Outcome::Ok, 50.0); };
    for (int cls : {0, 1, 2}) rig.ask(cls, 500);  // free, single_shot, guarded
    rig.run_to(10);
    EXPECT_TRUE(rig.engine.may_retry({rig.ids[0], 0}));
    EXPECT_TRUE(rig.engine.may_retry({rig.ids[0], 1}));
    EXPECT_FALSE(rig.engine.may_retry({rig.ids[0], 2})) << "of three";
    EXPECT_FALSE(rig.engine.may_retry({rig.ids[1], 0}));
    EXPECT_TRUE(rig.engine.may_retry({rig.ids[2], 0}));
    EXPECT_FALSE(rig.engine.may_retry({99, 0}));
    rig.run_to(400);
    EXPECT_FALSE(rig.engine.may_retry({rig.ids[0], 0})) << "over";
}

// A list of servers that drain or are gone serves nobody.
TEST(Engine, HasServersOnceOneIsReady) {
    Rig rig(0);
    EndpointList listing;
    for (Phase phase : {Phase::Draining, Phase::Removed}) {
        EndpointEntry& entry = listing.update.entries.emplace_back();
        entry.endpoint = EndpointId(listing.addresses.size() + 1);
        entry.phase = phase;
        listing.addresses.emplace_back();
    }
    rig.engine.update_endpoints(listing);
    EXPECT_FALSE(rig.engine.has_servers());
    listing.update.entries[0].phase = Phase::Ready;
    rig.engine.update_endpoints(listing);
    EXPECT_TRUE(rig.engine.has_servers());
    listing.update.entries[0].phase = Phase::Draining;
    rig.engine.update_endpoints(listing);
    EXPECT_TRUE(rig.engine.has_servers()) << "what has begun to serve stays in service";
}

TEST(Engine, AnswersOnceAndKeepsNothingWhateverComes) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        Rig rig(int(1 + random.next() % 4), seed);
        rig.servers.fate = [&](AttemptId) {
            static constexpr Outcome kAll[] = {
                Outcome::Ok,      Outcome::Ok,    Outcome::Error,         Outcome::Rejected,
                Outcome::Timeout, Outcome::Reset, Outcome::ConnectFailed, Outcome::Ok};
            double after = random.uniform() < 0.15 ? -1 : 200 * random.uniform() * random.uniform();
            return std::pair(kAll[random.next() % 8], after);
        };
        std::set<RequestId> left;
        for (double at = 0; at < 2000; at += 40 * random.uniform()) {
            rig.run_to(at);
            rig.scheduler.call_at(TimePoint{Duration{at}}, [] {});
            rig.run_to(at);
            rig.ask(int(random.next() % 3), 20 + 500 * random.uniform());
            if (random.uniform() < 0.1) {
                std::size_t which = random.next() % rig.ids.size();
                if (rig.clients[which]->heard == 0) left.insert(rig.ids[which]);
                rig.engine.client_disconnected(rig.ids[which]);
            }
        }
        rig.run_to(10000);
        for (std::size_t i = 0; i < rig.clients.size(); ++i)
            EXPECT_EQ(rig.clients[i]->heard, left.contains(rig.ids[i]) ? 0 : 1) << "seed " << seed;
        EXPECT_EQ(rig.engine.open_requests(), 0u);
        EXPECT_EQ(rig.engine.held_requests(), 0u) << "seed " << seed;
        rig.clients.clear();
        EXPECT_EQ(rig.bodies, 0) << "seed " << seed;
    }
}

}  // namespace
}  // namespace ochrehub::lab
