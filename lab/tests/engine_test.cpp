// The engine on virtual time with a scripted upstream: every request gets exactly one response, and nothing
// of it is kept once it has ended.
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
    explicit Body(int& count) : count_(count) { ++count_; }
    Body(const Body&) = delete;
    Body& operator=(const Body&) = delete;
    ~Body() override { --count_; }
    int& count_;
};

/// Ends each attempt with the outcome and after the delay that `behavior` returns; never if that is negative.
class Servers : public Upstream {
public:
    using Behavior = std::function<std::pair<Outcome, double>(AttemptId)>;

    explicit Servers(VirtualScheduler& scheduler) : scheduler_(scheduler) {}
    void update_endpoints(const EndpointList&) override {}
    void start_attempt(AttemptId id, EndpointId, std::shared_ptr<const Message> message, Duration) override {
        auto [outcome, delay_ms] = behavior(id);
        ++started;
        in_flight_[{id.request, id.attempt}] = std::move(message);
        if (delay_ms < 0) return;
        scheduler_.call_at(scheduler_.now() + Duration{delay_ms}, [this, id, outcome = outcome] {
            if (in_flight_.erase({id.request, id.attempt}) == 0) return;
            events->attempt_ended(
                id, {outcome, {}, outcome == Outcome::Ok ? std::make_shared<Body>(responses) : nullptr});
        });
    }
    bool cancel_attempt(AttemptId id) override { return in_flight_.erase({id.request, id.attempt}) > 0; }
    void probe(EndpointId server, Duration) override {
        scheduler_.post([this, server] { events->probe_ended(server, Duration{1}, Outcome::Ok, {}); });
    }
    void close_idle_connections(EndpointId) override {}

    Behavior behavior;
    UpstreamEvents* events = nullptr;
    int started = 0, responses = 0;

private:
    VirtualScheduler& scheduler_;
    std::map<std::pair<RequestId, int>, std::shared_ptr<const Message>> in_flight_;
};

struct NoDiscovery : DiscoverySource {
    void watch() override {}
};

struct Client : ResponseSink {
    void respond(FinalResponse response) override {
        ++responses;
        status = response.status;
    }
    bool is_client_disconnected() override { return disconnected; }
    bool disconnected = false;
    int responses = 0;
    FinalStatus status{};
};

struct EngineFixture {
    explicit EngineFixture(int listed_servers, std::uint64_t seed = 1)
        : servers(scheduler), engine(scheduler, default_settings(), seed) {
        servers.events = &engine;
        servers.behavior = [](AttemptId) { return std::pair(Outcome::Ok, 20.0); };
        engine.connect(servers, discovery);
        EndpointList list;
        for (int i = 0; i < listed_servers; ++i) {
            EndpointEntry& entry = list.update.entries.emplace_back();
            entry.endpoint = EndpointId(i + 1);
            entry.zone = 0;
            list.addresses.emplace_back();
        }
        engine.update_endpoints(list);
    }
    static Settings default_settings() {
        Settings settings;
        settings.zone = 0;
        settings.max_attempts = 3;
        settings.cancel = true;
        settings.retry_after = true;
        settings.max_retry_after = Duration{1200};
        settings.response_grace = Duration{8};
        settings.probes = true;
        settings.probe_cost = 0.03;
        for (Idempotency idempotency :
             {Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::IdempotentWithKey}) {
            ClassSettings c;
            c.latency_objective = Duration{150};
            c.request_timeout = Duration{600};
            c.deduplication_window = Duration{2000};
            c.late_response_weight = 0.5;
            c.idempotency = idempotency;
            settings.classes.push_back(c);
        }
        return settings;
    }
    std::shared_ptr<Client> submit(int class_index, double timeout_ms) {
        IncomingRequest request;
        request.request.class_index = class_index;
        request.request.deadline = engine.now() + Duration{timeout_ms};
        request.message = std::make_shared<Body>(bodies);
        auto client = std::make_shared<Client>();
        ids.push_back(engine.submit(std::move(request), client));
        clients.push_back(client);
        return client;
    }
    void run_to(double ms) {
        while (!scheduler.idle() && scheduler.next() <= TimePoint{Duration{ms}}) scheduler.step();
    }

    int bodies = 0;
    VirtualScheduler scheduler{TimePoint{Duration{0}}};
    Servers servers;
    NoDiscovery discovery;
    Engine engine;
    std::vector<std::shared_ptr<Client>> clients;
    std::vector<RequestId> ids;
};

// Guards against keeping requests that one timer completes together. The engine kept them and their body
// buffers, and a node that had rejected a few hundred requests then rejected every new one for lack of
// capacity, permanently.
TEST(Engine, ErasesRequestsRejectedWhileWaiting) {
    EngineFixture fixture(0);
    for (int i = 0; i < 300; ++i) fixture.submit(i % 3, 200 + i);
    fixture.run_to(2000);
    for (const auto& client : fixture.clients) {
        EXPECT_EQ(client->responses, 1);
        EXPECT_EQ(client->status, FinalStatus::Rejected);
    }
    EXPECT_EQ(fixture.engine.open_requests(), 0u);
    EXPECT_EQ(fixture.engine.held_requests(), 0u);
    EXPECT_EQ(fixture.bodies, 0) << "bodies still held";
}

TEST(Engine, ErasesRequestsOfDisconnectedClients) {
    EngineFixture fixture(2);
    fixture.servers.behavior = [](AttemptId) { return std::pair(Outcome::Ok, -1.0); };
    for (int i = 0; i < 60; ++i) fixture.submit(i % 3, 500);
    fixture.run_to(50);
    EXPECT_GT(fixture.servers.started, 0);
    for (RequestId id : fixture.ids) fixture.engine.client_disconnected(id);
    fixture.run_to(3000);
    EXPECT_EQ(fixture.engine.held_requests(), 0u);
    EXPECT_EQ(fixture.bodies, 0);
    for (const auto& client : fixture.clients) EXPECT_EQ(client->responses, 0);
}

// Guards against attempts for clients whose disconnect is in the socket but not yet read.
TEST(Engine, StartsNoAttemptAfterDisconnect) {
    EngineFixture fixture(2);
    auto connected = fixture.submit(0, 500), disconnecting = fixture.submit(0, 500);
    disconnecting->disconnected = true;
    fixture.run_to(400);
    EXPECT_EQ(fixture.servers.started, 1);
    EXPECT_EQ(connected->responses, 1);
    EXPECT_EQ(disconnecting->responses, 0);
    EXPECT_EQ(fixture.engine.open_requests(), 0u);
    EXPECT_EQ(fixture.engine.held_requests(), 0u);
    EXPECT_EQ(fixture.bodies, 0) << "bodies still held";
}

TEST(Engine, StartsNoRetryAfterDisconnect) {
    EngineFixture fixture(2);
    std::shared_ptr<Client> client;
    fixture.servers.behavior = [&](AttemptId id) {
        if (id.attempt == 0)
            fixture.scheduler.call_at(TimePoint{Duration{5}}, [&] { client->disconnected = true; });
        return std::pair(Outcome::Rejected, 20.0);
    };
    client = fixture.submit(0, 500);
    fixture.run_to(400);
    EXPECT_EQ(fixture.servers.started, 1);
    EXPECT_EQ(client->responses, 0);
    EXPECT_EQ(fixture.engine.open_requests(), 0u);
    EXPECT_EQ(fixture.engine.held_requests(), 0u);
}

TEST(Engine, MaySendWhileClientWaits) {
    EngineFixture fixture(2);
    fixture.servers.behavior = [](AttemptId) { return std::pair(Outcome::Ok, 50.0); };
    auto connected = fixture.submit(0, 500), disconnecting = fixture.submit(0, 500);
    fixture.run_to(10);
    EXPECT_EQ(fixture.servers.started, 2);
    disconnecting->disconnected = true;
    EXPECT_TRUE(fixture.engine.may_send({fixture.ids[0], 0}));
    EXPECT_FALSE(fixture.engine.may_send({fixture.ids[1], 0}));
    EXPECT_FALSE(fixture.engine.may_send({99, 0}));
    fixture.run_to(400);
    EXPECT_FALSE(fixture.engine.may_send({fixture.ids[0], 0})) << "completed";
    EXPECT_EQ(disconnecting->responses, 0);
    EXPECT_EQ(fixture.engine.held_requests(), 0u);
}

// A connection that is established after the deduplication window must not carry the retry.
TEST(Engine, MayNotSendRetryAfterDeduplicationWindow) {
    EngineFixture fixture(2);
    fixture.servers.behavior = [](AttemptId id) {
        return id.attempt == 0 ? std::pair(Outcome::Reset, 10.0) : std::pair(Outcome::Ok, 4000.0);
    };
    fixture.submit(2, 5000);
    std::vector<bool> may_send;
    for (double ms : {1900.0, 2100.0})  // the first attempt was sent at 0, its window is 2000
        fixture.scheduler.call_at(TimePoint{Duration{ms}}, [&] {
            may_send.push_back(fixture.engine.may_send({fixture.ids[0], 1}));
        });
    fixture.run_to(2100);
    EXPECT_EQ(fixture.servers.started, 2);
    EXPECT_EQ(may_send, (std::vector<bool>{true, false}));
    EXPECT_FALSE(fixture.engine.may_send({fixture.ids[0], 2})) << "no such attempt";
}

TEST(Engine, MayRetryByIdempotencyAndRemainingAttempts) {
    EngineFixture fixture(2);
    fixture.servers.behavior = [](AttemptId) { return std::pair(Outcome::Ok, 50.0); };
    for (int class_index : {0, 1, 2})
        fixture.submit(class_index, 500);  // Idempotent, NonIdempotent, IdempotentWithKey
    fixture.run_to(10);
    EXPECT_TRUE(fixture.engine.may_retry({fixture.ids[0], 0}));
    EXPECT_TRUE(fixture.engine.may_retry({fixture.ids[0], 1}));
    EXPECT_FALSE(fixture.engine.may_retry({fixture.ids[0], 2})) << "the last of three attempts";
    EXPECT_FALSE(fixture.engine.may_retry({fixture.ids[1], 0}));
    EXPECT_TRUE(fixture.engine.may_retry({fixture.ids[2], 0}));
    EXPECT_FALSE(fixture.engine.may_retry({99, 0}));
    fixture.run_to(400);
    EXPECT_FALSE(fixture.engine.may_retry({fixture.ids[0], 0})) << "ended";
}

// Draining and removed servers cannot serve requests.
TEST(Engine, HasServersAfterFirstReadyServer) {
    EngineFixture fixture(0);
    EndpointList list;
    for (Phase phase : {Phase::Draining, Phase::Removed}) {
        EndpointEntry& entry = list.update.entries.emplace_back();
        entry.endpoint = EndpointId(list.addresses.size() + 1);
        entry.phase = phase;
        list.addresses.emplace_back();
    }
    fixture.engine.update_endpoints(list);
    EXPECT_FALSE(fixture.engine.has_servers());
    list.update.entries[0].phase = Phase::Ready;
    fixture.engine.update_endpoints(list);
    EXPECT_TRUE(fixture.engine.has_servers());
    list.update.entries[0].phase = Phase::Draining;
    fixture.engine.update_endpoints(list);
    EXPECT_TRUE(fixture.engine.has_servers()) << "a node that has served stays in service";
}

TEST(Engine, RespondsOnceAndErasesRequestsForRandomOutcomes) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        Random random(seed);
        EngineFixture fixture(int(1 + random.next() % 4), seed);
        fixture.servers.behavior = [&](AttemptId) {
            static constexpr Outcome kOutcomes[] = {
                Outcome::Ok,      Outcome::Ok,    Outcome::Error,         Outcome::Rejected,
                Outcome::Timeout, Outcome::Reset, Outcome::ConnectFailed, Outcome::Ok};
            double delay_ms = random.uniform() < 0.15 ? -1 : 200 * random.uniform() * random.uniform();
            return std::pair(kOutcomes[random.next() % 8], delay_ms);
        };
        std::set<RequestId> disconnected;
        for (double at = 0; at < 2000; at += 40 * random.uniform()) {
            fixture.run_to(at);
            fixture.scheduler.call_at(TimePoint{Duration{at}}, [] {});
            fixture.run_to(at);
            fixture.submit(int(random.next() % 3), 20 + 500 * random.uniform());
            if (random.uniform() < 0.1) {
                std::size_t index = random.next() % fixture.ids.size();
                if (fixture.clients[index]->responses == 0) disconnected.insert(fixture.ids[index]);
                fixture.engine.client_disconnected(fixture.ids[index]);
            }
        }
        fixture.run_to(10000);
        for (std::size_t i = 0; i < fixture.clients.size(); ++i)
            EXPECT_EQ(fixture.clients[i]->responses, disconnected.contains(fixture.ids[i]) ? 0 : 1)
                << "seed " << seed;
        EXPECT_EQ(fixture.engine.open_requests(), 0u);
        EXPECT_EQ(fixture.engine.held_requests(), 0u) << "seed " << seed;
        fixture.clients.clear();
        EXPECT_EQ(fixture.bodies, 0) << "seed " << seed;
    }
}

}  // namespace
}  // namespace ochrehub::lab
