#include "lab/play/play.h"

#include <sys/stat.h>

#include <algorithm>
#include <fstream>
#include <functional>
#include <set>

#include "lab/play/client_shell.h"
#include "lab/play/datagram_relay.h"
#include "lab/play/fleet.h"
#include "lab/play/node_lives.h"
#include "lab/play/node_process.h"
#include "lab/play/spoilt.h"
#include "lab/play/temporary_folder.h"
#include "lab/referee/referee.h"
#include "lab/tests/play_rig.h"

namespace ochrehub::lab {
namespace {

// ---- addresses and forms

TEST(Addresses, NoneButLoopback) {
    EXPECT_EQ(text_of(loopback("127.3.4.5:80")), "127.3.4.5:80");
    for (const char* bad :
         {"10.0.0.1:80", "128.0.0.1:80", "0.0.0.0:80", "[::1]:80", "localhost:80", "127.0.0.1"})
        EXPECT_THROW(loopback(bad), AddressError) << bad;
    Day day = small_day();
    Loop loop{Clock()};
    auto far = Endpoint(boost::asio::ip::make_address("10.1.2.3"), 80);
    EXPECT_THROW(ClientShell(loop, day, loop.now(), 1, {far}, NodeLives(1)), AddressError);
    EXPECT_THROW(listen_at(loop.io(), far), AddressError);
    EXPECT_THROW(DatagramRelay(loop, day, 1, {{far.address(), 80}}), AddressError);
}

TEST(Forms, AnAnswerIsItsAttemptsToTheLastByte) {
    for (AttemptNo attempt : {1u, 77u, 100000u}) EXPECT_EQ(read_answer(answer_body(attempt)), attempt);
    std::string body = answer_body(5);
    EXPECT_EQ(read_answer(body.substr(0, body.size() - 1)), 0u);
    body.back() = '!';
    EXPECT_EQ(read_answer(body), 0u);
    EXPECT_EQ(read_answer("attempt=;"), 0u);
}

TEST(Forms, ARequestThatWasChangedOnItsWayShows) {
    Day day = small_day();
    Ask ask;
    ask.id = 0x1234567890abcdef;
    ask.cls = 2;
    ask.tenant = 0;
    ask.key = 99;
    ask.work = Duration{4};
    ask.wait = Duration{5};
    BufferPool pool(1);
    auto read = [&](const std::string& from, const std::string& to) {
        std::string text = request_text(day, ask, Duration{250});
        if (!from.empty()) text.replace(text.find(from), from.size(), to);
        Messages<true> messages(pool);
        messages.add(text);
        EXPECT_EQ(messages.next(), Messages<true>::State::Whole);
        return read_request(day, *messages.take());
    };
    RequestForm as_sent = read("", "");
    EXPECT_TRUE(as_sent.as_sent);
    EXPECT_EQ(as_sent.id, ask.id);
    EXPECT_EQ(as_sent.cls, 2);
    EXPECT_EQ(as_sent.key, 99u);
    EXPECT_DOUBLE_EQ(as_sent.work->count(), 4);
    EXPECT_DOUBLE_EQ(as_sent.wait->count(), 5);
    EXPECT_DOUBLE_EQ(as_sent.expires_in.count(), 250);
    EXPECT_FALSE(read("for=", "fox=").as_sent);
    EXPECT_FALSE(read("?n=", "?m=").as_sent);
    EXPECT_FALSE(read("POST", "PATCH").as_sent);
    EXPECT_FALSE(read("Idempotency-Key: ", "Idempotency-Key: 0").as_sent);
    EXPECT_EQ(read("X-Trace-Id: 1", "X-Trace-Id: ").id, 0u);
}

TEST(Forms, EveryKindOfSpoiltAnswerAndNoise) {
    BufferPool pool(1);
    for (int kind = 0; kind < kSpoiltKinds; ++kind) {
        SpoiltAnswer spoilt = spoilt_answer(kind, 5, "");
        Messages<false> messages(pool);
        messages.add(spoilt.bytes);
        auto state = messages.next();
        while (state == Messages<false>::State::Whole && messages.unread() > 0) {
            if (messages.take()->status == 200) break;
            state = messages.next();
        }
        EXPECT_EQ(state == Messages<false>::State::Whole, spoilt.good) << kind;
    }
    EXPECT_NE(spoilt_answer(5, 5, "").bytes.find(answer_body(5), answer_body(5).size() + 80),
              std::string::npos);
    std::set<std::string> all;
    for (int kind = 0; kind < kNoiseKinds; ++kind) {
        Noise made = noise(kind, 3, "look");
        all.insert(made.bytes);
        EXPECT_LE(made.bytes.size(), 300000u);
        EXPECT_TRUE(noise(kind + kNoiseKinds, 3, "look").bytes == made.bytes);
        Messages<true> messages(pool);
        messages.add(made.bytes);
        while (messages.next() == Messages<true>::State::Whole) {
            RequestForm form = read_request(small_day(), *messages.take());
            EXPECT_TRUE(form.cls == kNone || form.id == 0 || hostile_id(form.id)) << kind;
        }
    }
    EXPECT_EQ(all.size(), std::size_t(kNoiseKinds - 1));  // the last two differ in what comes after
}

// ---- servers and discovery

class FleetTest : public testing::Test {
protected:
    FleetTest() { day.limits.probes = true; }
    ~FleetTest() override {
        if (!fleet) return;
        loop.call([&] { fleet->close(); });
        loop.finish();
    }
    void begin(bool strict = true) {
        std::vector<Endpoint> listen;
        for (std::size_t i = 0; i < day.nodes.size(); ++i) {
            held.push_back(std::make_unique<Held>(loop.io(), machine(unsigned(i))));
            listen.push_back(held.back()->at());
        }
        fleet.emplace(loop, day, 1, listen, strict);
        loop.start();
    }
    int fault(FaultKind kind, double size = 0, std::vector<int> servers = {}) {
        Fault made;
        made.kind = kind;
        made.size = size;
        made.servers = std::move(servers);
        made.length = Duration{1};
        day.faults.push_back(made);
        return int(day.faults.size()) - 1;
    }
    void turn(int number, bool on) {
        loop.call([&] { fleet->fault(number, on); });
    }
    Endpoint at(ServerNo server, NodeNo node = 0) { return fleet->servers().address(server, node); }
    std::string request(TryId id, int cls = 0, double patience_ms = 900) {
        Ask ask;
        ask.id = id;
        ask.cls = cls;
        ask.tenant = 0;
        ask.work = Duration{1};
        if (cls == 2) ask.key = 42;
        return request_text(day, ask, Duration{patience_ms});
    }
    std::string ask(const std::string& path, const Endpoint& to) {
        Wire wire(to);
        wire.say("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n");
        return wire.hear_message();
    }

    Day day = small_day(2);
    Loop loop{Clock()};
    std::vector<std::unique_ptr<Held>> held;
    std::optional<Fleet> fleet;
};

std::string body_of(const std::string& answer) {
    return answer.substr(answer.find("\r\n\r\n") + 4);
}

TEST_F(FleetTest, AnswersNameTheirAttemptAndSayWhoAsked) {
    begin();
    while (body_of(ask("/load", at(1, 1))).empty()) {  // a report is there from its first refresh on
    }
    Wire wire(at(1, 1));
    ASSERT_TRUE(wire.up());
    std::string first = request(11, 1);
    for (char byte : first) wire.say({&byte, 1});
    std::string answer = wire.hear_message();
    EXPECT_EQ(answer.rfind("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT queue=", 0), 0u) << answer;
    EXPECT_EQ(body_of(answer), answer_body(1));
    wire.say(request(12) + request(13));  // one at a time, in their order
    EXPECT_EQ(body_of(wire.hear_message()), answer_body(2));
    EXPECT_EQ(body_of(wire.hear_message()), answer_body(3));
    auto arrived = await<AttemptArrived>(loop, 3);
    EXPECT_EQ(arrived[0].id, 11u);
    EXPECT_EQ(arrived[0].server, 1);
    EXPECT_EQ(arrived[0].node, 1);
    EXPECT_LT(arrived[0].first_byte_at, arrived[0].at);
    EXPECT_DOUBLE_EQ(arrived[0].expires_in.count(), 900);
    auto ended = await<AttemptEnded>(loop, 3);
    EXPECT_EQ(ended[2].how, Ended::Served);
    EXPECT_GE(ended[0].at, arrived[0].at);
    EXPECT_FALSE(await<WorkArrived>(loop, 4).empty());
}

TEST_F(FleetTest, WhatIsNoClientsRequest) {
    begin();
    EXPECT_EQ(ask("/look/1", at(0)).rfind("HTTP/1.1 404", 0), 0u);
    Wire wire(at(0));
    std::string text = request(21);
    wire.say(text.replace(text.find("/look"), 5, "/lock"));
    EXPECT_EQ(wire.hear_message().rfind("HTTP/1.1 400", 0), 0u);
    EXPECT_EQ(await<AttemptArrived>(loop, 1)[0].id, 0u);  // as nobody sent it
    wire.say("GET /look/x HTTP/1.1\r\nX-Trace-Id: " + hex16(kHostileIds + 1) + "\r\n\r\n");
    EXPECT_EQ(wire.hear_message().rfind("HTTP/1.1 400", 0), 0u);
    EXPECT_EQ(await<AttemptArrived>(loop, 1).size(), 1u);
    wire.say("no request\r\n\r\n");
    EXPECT_EQ(wire.hear_message().rfind("HTTP/1.1 400", 0), 0u);
    EXPECT_TRUE(wire.ended());
}

TEST_F(FleetTest, ProbesAreAnsweredWithTheReport) {
    begin();
    EXPECT_EQ(ask("/healthz", at(0)).rfind("HTTP/1.1 200", 0), 0u);
    std::string load = ask("/load", at(0));
    while (body_of(load).empty()) load = ask("/load", at(0));
    EXPECT_EQ(body_of(load).rfind("queue=0, latency_ms=", 0), 0u) << load;
}

TEST_F(FleetTest, ErrorsResetsAndDrains) {
    int errors = fault(FaultKind::FastErrors, 1, {0}), resets = fault(FaultKind::Resets, 1, {0}),
        drain = fault(FaultKind::Drain, 0, {0});
    begin();
    Wire wire(at(0));
    turn(errors, true);
    wire.say(request(31));
    EXPECT_EQ(wire.hear_message().rfind("HTTP/1.1 500", 0), 0u);
    turn(errors, false);
    turn(resets, true);
    wire.say(request(32));
    EXPECT_TRUE(wire.was_reset());
    turn(resets, false);
    EXPECT_EQ(await<AttemptEnded>(loop, 2)[1].how, Ended::Reset);
    Wire again(at(0));
    again.say(request(33));
    EXPECT_EQ(body_of(again.hear_message()), answer_body(3));
    turn(drain, true);
    again.say(request(34));
    std::string turned_away = again.hear_message();
    EXPECT_EQ(turned_away.rfind("HTTP/1.1 503", 0), 0u);
    EXPECT_NE(turned_away.find("X-Never-Ran: 1\r\n"), std::string::npos);
    EXPECT_EQ(await<AttemptEnded>(loop, 4)[3].how, Ended::NeverRan);
    Wire late(at(0));  // has no room for new ones: the kernel has said yes, the server says no with proof
    late.say(request(35));
    EXPECT_NE(late.hear_message().find("X-Never-Ran: 1\r\n"), std::string::npos);
    EXPECT_TRUE(late.ended());
    turn(drain, false);
    EXPECT_TRUE(again.was_reset() || again.ended());
    EXPECT_TRUE(Wire(at(0)).refused());
}

TEST_F(FleetTest, AnIdleConnectionIsClosedInOrder) {
    day.servers[0].idle_most = Duration{30};
    begin();
    Wire wire(at(0));
    wire.say(request(36));
    EXPECT_EQ(body_of(wire.hear_message()), answer_body(1));
    EXPECT_TRUE(wire.ended());
}

TEST_F(FleetTest, SpoiltAnswersAreToldAsWhatTheyAre) {
    int spoilt = fault(FaultKind::Spoilt, 1);
    begin();
    turn(spoilt, true);
    int good = 0, bad = 0;
    for (TryId id = 1; id <= 30; ++id) {
        Wire wire(at(0));
        wire.say(request(id));
        auto ended = await<AttemptEnded>(loop, std::size_t(id));
        std::string heard = wire.hear(60);
        EXPECT_FALSE(heard.empty());
        ++(ended.back().how == Ended::Served ? good : bad);
        EXPECT_TRUE(ended.back().how == Ended::Served || ended.back().how == Ended::Spoilt);
    }
    EXPECT_GT(good, 0);
    EXPECT_GT(bad, good);
}

TEST_F(FleetTest, ANodeThatGoesAbandonsWhatIsOut) {
    int hang = fault(FaultKind::Hang);
    begin();
    turn(hang, true);
    Wire closes(at(0)), half(at(0));
    closes.say(request(41));
    half.say(request(42));
    await<AttemptArrived>(loop, 2);
    EXPECT_TRUE(loop.call([&] { return all_of<AttemptAbandoned>(loop.records()).empty(); }));
    closes.shut();
    await<AttemptAbandoned>(loop, 1);
    half.stop_sending();
    await<AttemptAbandoned>(loop, 2);
    EXPECT_EQ(await<AttemptEnded>(loop, 2)[1].how, Ended::Dropped);
}

TEST_F(FleetTest, ACloseIsSeenBeforeWhatCameAfterIt) {
    int hang = fault(FaultKind::Hang);
    begin();
    turn(hang, true);
    for (TryId id = 1; id <= 50; ++id) {
        Wire first(at(0));
        first.say(request(id));
        await<AttemptArrived>(loop, 2 * std::size_t(id) - 1);
        Wire second(at(1));
        first.shut();
        second.say(request(id));
        await<AttemptArrived>(loop, 2 * std::size_t(id));
    }
    std::set<AttemptNo> out;
    for (const Record& record : loop.call([&] { return loop.records(); })) {
        if (auto* arrived = std::get_if<AttemptArrived>(&record)) {
            EXPECT_TRUE(arrived->attempt % 2 == 1 || out.count(arrived->attempt - 1) == 0);
            out.insert(arrived->attempt);
        }
        if (auto* gone = std::get_if<AttemptAbandoned>(&record)) out.erase(gone->attempt);
    }
}

TEST_F(FleetTest, ACrashResetsAndRefusesAndComesBackCold) {
    int crash = fault(FaultKind::Crash, 0, {0});
    begin();
    Wire wire(at(0));
    wire.say(request(51));
    wire.hear_message();
    turn(crash, true);
    EXPECT_TRUE(wire.was_reset());
    EXPECT_TRUE(Wire(at(0)).refused());
    EXPECT_TRUE(Wire(at(1)).up());
    turn(crash, false);
    Wire again(at(0));
    ASSERT_TRUE(again.up());
    again.say(request(52));
    EXPECT_EQ(body_of(again.hear_message()), answer_body(2));
    std::vector<ServerState> states;
    for (const ServerChanged& change : await<ServerChanged>(loop, 5))
        if (change.server == 0) states.push_back(change.state);
    EXPECT_EQ(states,
              (std::vector{ServerState::Ready, ServerState::Gone, ServerState::Ready, ServerState::Cold}));
}

TEST_F(FleetTest, ASilentMachineSaysNothingAtAll) {
    int silent = fault(FaultKind::Silent, 0, {0});
    begin();
    Wire idle(at(0)), waits(at(0));
    idle.say(request(61));
    idle.hear_message();
    turn(silent, true);
    EXPECT_TRUE(Wire(at(0)).pending());  // neither up nor refused
    EXPECT_TRUE(Wire(at(1)).up());
    idle.say(request(62));
    idle.shut();
    waits.say(request(63));
    EXPECT_TRUE(Wire(at(0)).pending());
    turn(silent, false);
    EXPECT_TRUE(waits.was_reset());
    Wire after(at(0));
    ASSERT_TRUE(after.up());
    after.say(request(64));
    EXPECT_EQ(body_of(after.hear_message()), answer_body(2));  // 62 and 63 have never arrived
}

TEST_F(FleetTest, WhatIsOutAtASilentMachineCanBeAbandonedAllTheSame) {
    int hang = fault(FaultKind::Hang), silent = fault(FaultKind::Silent, 0, {0});
    begin();
    turn(hang, true);
    Wire wire(at(0));
    wire.say(request(71));
    await<AttemptArrived>(loop, 1);
    turn(silent, true);
    wire.shut();
    await<AttemptAbandoned>(loop, 1);
}

TEST_F(FleetTest, APartitionHoldsBackOneNodeAndOneWay) {
    Fault cut;
    cut.kind = FaultKind::Partition;
    cut.between = "nodes";
    cut.and_ = "servers";
    cut.nodes = {0};
    day.faults.push_back(cut);
    cut.between = "servers";
    cut.and_ = "nodes";
    cut.one_way = true;
    day.faults.push_back(cut);
    begin();
    Wire wire(at(0)), other(at(0, 1)), gives_up(at(0));
    wire.say(request(81));
    wire.hear_message();
    gives_up.say(request(82));
    gives_up.hear_message();
    turn(0, true);
    wire.say(request(83));
    gives_up.say(request(84));
    gives_up.shut();
    EXPECT_TRUE(Wire(at(0)).pending());
    other.say(request(85));
    EXPECT_EQ(body_of(other.hear_message()), answer_body(3));
    turn(0, false);
    EXPECT_EQ(body_of(wire.hear_message()), answer_body(4));  // later, whole, and the given up one not at all
    turn(1, true);
    wire.say(request(86));
    await<AttemptEnded>(loop, 5);
    turn(1, false);
    EXPECT_EQ(body_of(wire.hear_message()), answer_body(5));
    EXPECT_EQ(await<AttemptArrived>(loop, 5).size(), 5u);
}

TEST_F(FleetTest, DiscoveryListsWatchesAndMoves) {
    int drain = fault(FaultKind::Drain, 0, {1}), down = fault(FaultKind::DiscoveryDown);
    begin();
    Endpoint first = fleet->discovery().address(1);
    Wire wire(first);
    wire.say("GET /v1/servers HTTP/1.1\r\nHost: d\r\n\r\n");
    std::string list = body_of(wire.hear_message());
    EXPECT_NE(list.find("\"complete\":true"), std::string::npos) << list;
    EXPECT_NE(list.find("\"host_port\":\"" + text_of(at(1, 1)) + "\""), std::string::npos) << list;
    EXPECT_NE(list.find("\"phase\":\"in_service\""), std::string::npos);
    EXPECT_NE(list.find("\"locality\":\"a\""), std::string::npos);
    std::string revision = list.substr(list.find("\"revision\":") + 11);
    revision = revision.substr(0, revision.find(','));
    wire.say("GET /v1/servers?index=" + revision + "&wait=20000 HTTP/1.1\r\nHost: d\r\n\r\n");
    await<Asked>(loop, 3);  // called, answered, called
    turn(drain, true);
    std::string change = body_of(wire.hear_message());
    EXPECT_NE(change.find("\"complete\":false"), std::string::npos) << change;
    EXPECT_NE(change.find("\"id\":\"s-1\""), std::string::npos) << change;
    EXPECT_NE(change.find("\"phase\":\"terminating\""), std::string::npos) << change;
    EXPECT_EQ(change.find("\"id\":\"s-0\""), std::string::npos) << change;
    auto told = await<Told>(loop, 3);
    EXPECT_TRUE(told[0].whole_list_began);
    EXPECT_FALSE(told[1].whole_list_began);
    EXPECT_EQ(told[2].server, 1);
    EXPECT_EQ(told[2].phase, ToldPhase::Terminating);
    EXPECT_EQ(told[2].node, 1);

    loop.call([&] { fleet->discovery().move(); });
    Endpoint moved = loop.call([&] { return fleet->discovery().address(1); });
    EXPECT_NE(moved, first);
    EXPECT_EQ(ask("/v1/servers", moved).rfind("HTTP/1.1 200", 0), 0u);
    EXPECT_TRUE(Wire(first).up());
    loop.call([&] { fleet->discovery().leave_old(); });
    EXPECT_TRUE(Wire(first).refused());
    EXPECT_TRUE(wire.was_reset());
    EXPECT_EQ(ask("/v2/else", moved).rfind("HTTP/1.1 404", 0), 0u);
    turn(down, true);
    std::string failed = ask("/v1/servers", moved);
    EXPECT_TRUE(failed.empty() || failed.rfind("HTTP/1.1 503", 0) == 0) << failed;
    auto asked = await<Asked>(loop, 8);
    EXPECT_EQ(asked[7].what, Asked::What::Failed);
}

TEST_F(FleetTest, AServerThatTakesAnotherOnesAddress) {
    day.servers[1].address_of = "s-0";
    day.servers[1].exists_from = Duration{1};
    int drain = fault(FaultKind::Drain, 0, {0});
    begin();
    EXPECT_EQ(at(0), at(1));
    turn(drain, true);
    turn(drain, false);
    EXPECT_TRUE(Wire(at(0)).refused());
    loop.call([&] { fleet->add(1); });
    Wire wire(at(0));
    wire.say(request(91));
    wire.hear_message();
    EXPECT_EQ(await<AttemptArrived>(loop, 1)[0].server, 1);
}

// ---- clients

class ClientTest : public testing::Test {
protected:
    ~ClientTest() override {
        if (!clients) return;
        loop.call([&] { clients->close(); });
        loop.finish();
    }
    void begin() {
        lives.start(0);
        clients.emplace(loop, day, loop.now(), 3, std::vector{ear.at()}, lives, Duration{60000});
        loop.start();
        loop.post([this] {
            clients->handle(NodeUp{0});
            clients->begin();
        });
    }
    std::vector<Record> records() {
        return loop.call([this] { return loop.records(); });
    }
    static std::string good(AttemptNo attempt) { return answer_text(200, "", answer_body(attempt)); }

    Day day = small_day();
    Ear ear;
    Loop loop{Clock()};
    NodeLives lives{1};
    std::optional<ClientShell> clients;
};

TEST_F(ClientTest, NotesWhatWasSentAndWhatCameBack) {
    day.arrivals = {arrival(0, 1)};
    begin();
    Wire node(ear.take());
    std::string request = node.hear_message();
    EXPECT_EQ(request.rfind("POST /buy/", 0), 0u) << request;
    EXPECT_NE(request.find("X-Customer: acme\r\n"), std::string::npos);
    EXPECT_NE(request.find("X-Expires-In: "), std::string::npos);
    node.say(good(7));
    auto answered = await<TryAnswered>(loop, 1);
    auto sent = await<TrySent>(loop, 1);
    EXPECT_NE(request.find("X-Trace-Id: " + hex16(sent[0].id) + "\r\n"), std::string::npos);
    EXPECT_LE(sent[0].at, answered[0].at);
    EXPECT_GT(sent[0].give_up_at, sent[0].at);
    EXPECT_EQ(answered[0].id, sent[0].id);
    EXPECT_EQ(answered[0].heard, Heard::Served);
    EXPECT_EQ(answered[0].answer, 7u);
    EXPECT_EQ(await<CallEnded>(loop, 1)[0].heard, Heard::Served);
}

TEST_F(ClientTest, AnswersThatNoServerMadeAndThoseThatComeTwice) {
    day.arrivals = {arrival(0, 0)};
    begin();
    Wire node(ear.take());
    node.hear_message();
    std::string changed = good(7);
    changed.back() = '?';
    node.say(changed + good(7));
    auto answered = await<TryAnswered>(loop, 2);
    EXPECT_EQ(answered[0].answer, 0u);
    EXPECT_EQ(answered[1].id, answered[0].id);
}

TEST_F(ClientTest, RefusalsWithAdviceAndFailures) {
    day.clients.tries = 1;
    day.clients.honours = 0;
    day.arrivals = {arrival(0, 0)};
    begin();
    Wire node(ear.take());
    node.hear_message();
    node.say(answer_text(503, "Retry-After: 0.250\r\n", ""));
    node.hear_message();
    node.say(answer_text(502, "", ""));
    auto answered = await<TryAnswered>(loop, 2);
    EXPECT_EQ(answered[0].heard, Heard::Refused);
    EXPECT_DOUBLE_EQ(answered[0].advice->count(), 250);
    EXPECT_EQ(answered[1].heard, Heard::Failed);
    EXPECT_TRUE(await<TrySent>(loop, 2)[1].repeat);
}

TEST_F(ClientTest, AnEndWithoutAnAnswerIsALossUnlessTheNodeIsGone) {
    day.clients.tries = 0;
    day.arrivals = {arrival(0, 1), arrival(0, 1)};
    begin();
    Wire first(ear.take()), second(ear.take());
    first.hear_message();
    second.hear_message();
    first.shut();
    EXPECT_FALSE(await<TryLost>(loop, 1)[0].node_gone);
    lives.kill(0);
    second.say("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nnot all of it");
    second.shut();
    EXPECT_TRUE(await<TryLost>(loop, 2)[1].node_gone);
}

TEST_F(ClientTest, ALossIsOfTheProcessThatTheConnectionWasWith) {
    day.clients.tries = 1;
    day.arrivals = {arrival(0, 0)};
    begin();
    Wire first(ear.take());
    first.hear_message();
    lives.kill(0);
    lives.start(0);  // before the client hears of the end
    first.shut();
    EXPECT_TRUE(await<TryLost>(loop, 1)[0].node_gone);
    Wire second(ear.take());
    second.hear_message();
    second.shut();
    EXPECT_FALSE(await<TryLost>(loop, 2)[1].node_gone);
}

TEST_F(ClientTest, NothingIsAskedWhereAnotherProcessCameAsItConnected) {
    day.arrivals = {arrival(0, 1)};
    lives.start(0);
    clients.emplace(loop, day, loop.now(), 3, std::vector{ear.at()}, lives, Duration{60000});
    loop.post([this] {
        clients->handle(NodeUp{0});
        clients->begin();  // connects, and hears of it in a later turn of the loop
        lives.start(0);
    });
    loop.start();
    Wire unsure(ear.take()), second(ear.take());
    EXPECT_EQ(unsure.hear(1), "");
    EXPECT_NE(second.hear_message().find("X-Trace-Id: "), std::string::npos);
    second.say(good(1));
    EXPECT_EQ(await<CallEnded>(loop, 1)[0].heard, Heard::Served);
    EXPECT_EQ(all_of<TrySent>(records()).size(), 1u);
}

// In both a refusal brings the second request on the connection of the first, however late its answer is.
TEST_F(ClientTest, ARequestThatCrossesTheNodesCloseGoesOutOnceMore) {
    day.clients.tries = 1;
    day.clients.honours = 0;
    day.arrivals = {arrival(0, 1)};
    begin();
    Wire first(ear.take());
    first.hear_message();
    first.say(answer_text(503, "", ""));
    first.wait();  // the second one is there, unread
    first.shut();  // which the kernel tells by a reset
    Wire second(ear.take());
    std::string again = second.hear_message();
    auto sent = await<TrySent>(loop, 3);
    EXPECT_EQ(sent[2].id, sent[1].id);
    EXPECT_NE(again.find(hex16(sent[1].id)), std::string::npos);
    second.say(good(2));
    EXPECT_EQ(await<CallEnded>(loop, 1)[0].heard, Heard::Served);
    EXPECT_TRUE(all_of<TryLost>(records()).empty());
}

TEST_F(ClientTest, ARequestThatWasReadIsLostOnAnOldConnectionToo) {
    day.clients.tries = 1;
    day.clients.honours = 0;
    day.arrivals = {arrival(0, 1)};
    begin();
    Wire first(ear.take());
    first.hear_message();
    first.say(answer_text(503, "", ""));
    first.hear_message();
    first.shut();
    EXPECT_FALSE(await<TryLost>(loop, 1)[0].node_gone);
    EXPECT_EQ(await<TrySent>(loop, 2).size(), 2u);
}

TEST_F(ClientTest, AClientThatHearsNothingLeaves) {
    day.clients.tries = 0;
    for (ClassFigures& c : day.classes) c.give_up = Duration{400};
    day.arrivals = {arrival(0, 1)};
    begin();
    Wire node(ear.take());
    node.hear_message();
    EXPECT_TRUE(node.ended());
    auto left = await<TryLeft>(loop, 1);
    EXPECT_EQ(left[0].id, await<TrySent>(loop, 1)[0].id);
}

TEST_F(ClientTest, WhatAPartitionHeldBackNoNodeOwes) {
    day.clients.tries = 0;
    for (ClassFigures& c : day.classes) c.give_up = Duration{800};
    Fault cut;
    cut.kind = FaultKind::Partition;
    cut.between = "clients";
    cut.and_ = "nodes";
    day.faults = {cut};
    day.arrivals = {arrival(0, 1)};
    begin();
    Wire node(ear.take());
    node.hear_message();
    loop.call([&] { clients->fault(0, true); });
    node.say(good(1));
    await<TryLeft>(loop, 1);
    std::vector<Record> all = records();
    ASSERT_EQ(all_of<TryLost>(all).size(), 1u);
    EXPECT_TRUE(all_of<TryLost>(all)[0].node_gone);
    EXPECT_TRUE(all_of<TryAnswered>(all).empty());
}

TEST_F(ClientTest, HostileClientsSendNoiseAndAreNoTries) {
    Fault hostile;
    hostile.kind = FaultKind::Hostile;
    hostile.size = 200;
    hostile.length = Duration{400};
    day.faults = {hostile};
    begin();
    std::set<std::string> heard;
    for (int i = 0; i < 8; ++i) {
        Wire node(ear.take());
        heard.insert(node.hear(16));
    }
    EXPECT_GE(heard.size(), 4u);
    auto connected = await<ClientConnected>(loop, 8);
    EXPECT_TRUE(connected[0].hostile);
    EXPECT_TRUE(all_of<TrySent>(records()).empty());
}

// ---- a server at another one's address

TEST(Judged, WhoTakesAnOldAddressIsJudgedByWhatWasToldOfItsFormerHolder) {
    Day day = small_day(1, 3);
    day.servers[1].address_of = "s-0";
    auto at = [](double ms) { return TimePoint{Duration{1000 + ms}}; };
    auto breaches = [&](ServerNo reached, std::optional<ToldPhase> later, Rule rule) {
        Referee referee(day, at(0), Duration{50});
        referee.note(NodeChanged{at(0), 0, NodeState::Started});
        referee.note(Told{at(0), 0, 0, ToldPhase::InService, {}, true});
        if (later) referee.note(Told{at(10), 0, 0, *later, {}, false});
        TrySent sent;
        sent.at = at(4000);
        sent.id = 5;
        sent.give_up_at = at(6000);
        referee.note(sent);
        referee.note(AttemptArrived{at(4001), at(4001), 1, 5, reached, 0, Duration{-1}});
        return referee.count(rule);
    };
    EXPECT_EQ(breaches(1, std::nullopt, Rule::SentUnlisted), 0u);
    EXPECT_EQ(breaches(2, std::nullopt, Rule::SentUnlisted), 1u);
    EXPECT_EQ(breaches(1, ToldPhase::Terminating, Rule::SentDraining), 1u);
    EXPECT_EQ(breaches(1, ToldPhase::Terminated, Rule::SentGone), 1u);
}

// ---- datagrams and partitions

TEST(Cuts, SidesAndOneWay) {
    Day day = small_day();
    day.network.zones = {"a", "b"};
    Fault cut;
    cut.kind = FaultKind::Partition;
    cut.between = "zone:a";
    cut.and_ = "zone:b";
    day.faults = {cut};
    cut.between = "discovery";
    cut.and_ = "nodes";
    cut.one_way = true;
    cut.nodes = {1};
    day.faults.push_back(cut);
    using Of = Place::Of;
    Place node{Of::Node, 1, 0}, server{Of::Server, 3, 1}, near{Of::Server, 4, 0},
        discovery{Of::Discovery, -1, kNone};
    Cuts cuts(day);
    EXPECT_FALSE(cuts.cut(node, server));
    cuts.set(0, true);
    EXPECT_TRUE(cuts.cut(node, server));
    EXPECT_TRUE(cuts.cut(server, node));
    EXPECT_FALSE(cuts.cut(node, near));
    cuts.set(1, true);
    EXPECT_TRUE(cuts.cut(discovery, node));
    EXPECT_FALSE(cuts.cut(node, discovery));
    EXPECT_FALSE(cuts.cut(discovery, {Of::Node, 0, 0}));
    cuts.set(0, false);
    EXPECT_FALSE(cuts.cut(node, server));
}

TEST(Datagrams, TheSeedDecidesAndFaultsCount) {
    auto fates = [](std::uint64_t seed, DatagramTrouble trouble) {
        Datagrams core(seed);
        core.trouble(trouble);
        std::vector<std::vector<Duration>> all;
        for (int i = 0; i < 1000; ++i) all.push_back(core.fate(Duration{2}, 0.15));
        return all;
    };
    EXPECT_EQ(fates(1, {0.2, 0.1, 0.1, {}}), fates(1, {0.2, 0.1, 0.1, {}}));
    EXPECT_NE(fates(1, {0.2, 0.1, 0.1, {}}), fates(2, {0.2, 0.1, 0.1, {}}));
    std::size_t lost = 0, twice = 0, behind = 0;
    for (const auto& fate : fates(1, {0.2, 0.1, 0.3, Duration{5}})) {
        lost += fate.empty();
        twice += fate.size() == 2;
        for (Duration takes : fate) {
            EXPECT_GE(takes.count(), 7);
            behind += takes.count() > 9;  // behind one that left a way later
        }
    }
    EXPECT_NEAR(double(lost), 200, 40);
    EXPECT_NEAR(double(twice), 80, 30);
    EXPECT_NEAR(double(behind), 264, 60);
    for (const auto& fate : fates(3, {})) EXPECT_EQ(fate.size(), 1u);
}

TEST(Datagrams, RelayedFromTheSendersAddress) {
    Day day = small_day(3);
    Fault lost;
    lost.kind = FaultKind::Datagrams;
    lost.size = 1;
    day.faults = {lost};
    Loop loop{Clock()};
    using Udp = DatagramRelay::Udp;
    std::vector<Udp::socket> nodes;
    std::vector<Udp::endpoint> listen;
    for (unsigned i = 0; i < 3; ++i) {
        nodes.emplace_back(loop.io(), Udp::endpoint(machine(i), 0));
        listen.push_back(nodes.back().local_endpoint());
    }
    DatagramRelay relay(loop, day, 1, listen);
    loop.start();
    auto to = [&](const std::string& text) {
        return Udp::endpoint(loopback(text).address(), loopback(text).port());
    };
    auto hear = [&](std::size_t node) {
        char bytes[512];
        Udp::endpoint from;
        std::size_t got = nodes[node].receive_from(boost::asio::buffer(bytes), from);
        return std::pair(std::string(bytes, got), from);
    };
    nodes[0].send_to(boost::asio::buffer("hi", 2), to(relay.peer(1)));
    EXPECT_EQ(hear(1), std::pair(std::string("hi"), to(relay.peer(0))));
    nodes[2].send_to(boost::asio::buffer(std::string(257, 'x')), to(relay.peer(1)));
    nodes[2].send_to(boost::asio::buffer("all", 3), to(relay.all()));
    EXPECT_EQ(hear(0).first, "all");
    EXPECT_EQ(hear(1).first, "all");
    EXPECT_EQ(loop.call([&] { return relay.too_long()[2]; }), 1u);
    loop.call([&] { relay.fault(0, true); });
    nodes[0].send_to(boost::asio::buffer("lost", 4), to(relay.peer(1)));
    // Both come by one socket of the relay's, in their order: what is heard is not the first.
    until(loop, [&] { return relay.taken() == 4; });
    loop.call([&] { relay.fault(0, false); });
    nodes[0].send_to(boost::asio::buffer("here", 4), to(relay.peer(1)));
    EXPECT_EQ(hear(1).first, "here");
    loop.finish();
}

// ---- whole days

Day day_of_requests(int nodes, double length_ms, double every_ms) {
    Day day = small_day(nodes);
    day.length = Duration{length_ms};
    int i = 0;
    for (double at = 0; at < length_ms; at += every_ms, ++i)
        day.arrivals.push_back(arrival(at, i % 3, std::uint64_t(i) + 1));
    return day;
}

struct Played {
    Result result;
    std::vector<Record> records;
};

Played play_it(const Day& day, const char* node = OCHREHUB_NODE, int threads = 2,
               std::function<void(const std::string&)> progress = nullptr) {
    Played played;
    PlayOptions options;
    options.progress = std::move(progress);
    options.node = node;
    options.threads = threads;
    options.enforce_memory = false;  // sanitizers hold more
    options.witness = [&](const std::vector<Record>& records, TimePoint) { played.records = records; };
    played.result = play(day, options);
    for (const BreachResult& breach : played.result.breaches)
        std::fprintf(stderr, "%s at %.3f: %s\n", breach.rule.c_str(), breach.at_s, breach.proof.c_str());
    return played;
}

Fault fault_of(FaultKind kind, double at, double length, std::vector<int> nodes = {}) {
    Fault fault;
    fault.kind = kind;
    fault.at = Duration{at};
    fault.length = Duration{length};
    fault.nodes = std::move(nodes);
    return fault;
}

TEST(Play, ACalmDayIsServed) {
    Played played = play_it(day_of_requests(2, 400, 4));
    EXPECT_EQ(played.result.world, "play");
    EXPECT_EQ(played.result.calls, 100u);
    EXPECT_EQ(played.result.served, 100u);
    EXPECT_EQ(played.result.breach_count, 0u);
    ASSERT_EQ(played.result.node.size(), 2u);
    EXPECT_GT(played.result.node[0].cpu_s, 0);
    EXPECT_GT(played.result.node[0].memory_peak_mb, 1);
    EXPECT_GT(played.result.node[0].descriptors_peak, 5);
    EXPECT_EQ(played.result.node[0].starts, 1u);
    EXPECT_EQ(all_of<AttemptEnded>(played.records).size(), 100u);
    TimePoint last{};
    for (const Record& record : played.records) {
        TimePoint at = std::visit([](const auto& r) { return r.at; }, record);
        EXPECT_GE(at, last);
        last = at;
    }
}

TEST(Play, ANodeThatIsKilledComesBack) {
    Day day = day_of_requests(2, 900, 4);
    day.front_notice = Duration{100};
    day.faults = {fault_of(FaultKind::NodeKill, 200, 100, {0})};
    Played played = play_it(day);
    EXPECT_EQ(played.result.node[0].starts, 2u);
    EXPECT_EQ(played.result.node[1].starts, 1u);
    EXPECT_EQ(played.result.breach_count, 0u);
    std::vector<NodeState> states;
    for (const NodeChanged& change : all_of<NodeChanged>(played.records))
        if (change.node == 0) states.push_back(change.state);
    EXPECT_EQ(states, (std::vector{NodeState::Started, NodeState::Ready, NodeState::Killed, NodeState::Ended,
                                   NodeState::Started, NodeState::Ready}));
    EXPECT_GT(played.result.served, 150u);
}

// The kill is noted, and the process lives on for 100 ms: what it is given and sends then is no breach of its
// rules.
TEST(Play, ANodeThatGoesOnAfterItsKillIsNoted) {
    Day day = day_of_requests(2, 900, 4);
    day.front_notice = Duration{100};
    day.faults = {fault_of(FaultKind::NodeKill, 200, 100, {0})};
    Played played = play_it(day, OCHREHUB_NODE, 2, [](const std::string& text) {
        if (text == "n0 is killed") usleep(100000);
    });
    EXPECT_EQ(played.result.breach_count, 0u);
    TimePoint killed{}, ended{};
    for (const NodeChanged& change : all_of<NodeChanged>(played.records)) {
        if (change.node == 0 && change.state == NodeState::Killed) killed = change.at;
        if (change.node == 0 && change.state == NodeState::Ended) ended = change.at;
    }
    EXPECT_GE((ended - killed).count(), 100);
    EXPECT_TRUE(std::ranges::any_of(all_of<TrySent>(played.records), [&](const TrySent& sent) {
        return sent.node == 0 && sent.at > killed && sent.at < ended;
    }));
    EXPECT_TRUE(
        std::ranges::any_of(all_of<AttemptArrived>(played.records), [&](const AttemptArrived& arrived) {
            return arrived.node == 0 && arrived.first_byte_at > killed && arrived.first_byte_at < ended;
        }));
}

TEST(Play, ANodeThatStandsStillAndOneThatIsReloaded) {
    Day day = day_of_requests(2, 700, 4);
    day.faults = {fault_of(FaultKind::NodeStall, 200, 150, {1}), fault_of(FaultKind::NodeReload, 450, 0, {0}),
                  fault_of(FaultKind::DiscoveryMoves, 300, 100)};
    Played played = play_it(day);
    EXPECT_EQ(played.result.breach_count, 0u);
    std::vector<NodeState> states;
    for (const NodeChanged& change : all_of<NodeChanged>(played.records))
        if (change.node == 1) states.push_back(change.state);
    EXPECT_EQ(states, (std::vector{NodeState::Started, NodeState::Ready, NodeState::Stalled,
                                   NodeState::Reloaded, NodeState::Resumed}));
    // Both ask at the new address.
    std::set<NodeNo> asked;
    TimePoint moved = all_of<FaultMark>(played.records)[1].at;
    for (const Asked& call : all_of<Asked>(played.records))
        if (call.at > moved && call.what == Asked::What::Called) asked.insert(call.node);
    EXPECT_EQ(asked.size(), 2u);
    EXPECT_EQ(played.result.served, played.result.calls);
}

TEST(Play, APlannedRestartLosesNothing) {
    Day day = day_of_requests(2, 1300, 5);
    day.faults = {fault_of(FaultKind::NodeRestart, 200, 0, {0})};
    Played played = play_it(day, OCHREHUB_NODE, 1);
    EXPECT_EQ(played.result.node[0].starts, 2u);
    EXPECT_EQ(played.result.breach_count, 0u);
    EXPECT_EQ(played.result.served, played.result.calls)
        << "refused " << played.result.refused << " failed " << played.result.failed << " left "
        << played.result.left << " tries " << played.result.tries;
}

TEST(Play, ServersThatHangCrashAndSpoil) {
    Day day = day_of_requests(1, 600, 4);
    for (ClassFigures& c : day.classes) c.give_up = Duration{300};
    day.faults = {fault_of(FaultKind::Hang, 100, 400), fault_of(FaultKind::Crash, 520, 50),
                  fault_of(FaultKind::Spoilt, 50, 500)};
    day.faults[0].servers = {0};
    day.faults[1].servers = {1};
    day.faults[2].size = 0.2;
    Played played = play_it(day);
    EXPECT_EQ(played.result.breach_count, 0u);
    EXPECT_GT(played.result.served, 75u);
    std::set<Ended> ends;
    for (const AttemptEnded& ended : all_of<AttemptEnded>(played.records)) ends.insert(ended.how);
    EXPECT_TRUE(ends.count(Ended::Spoilt));
    EXPECT_FALSE(all_of<AttemptAbandoned>(played.records).empty());
}

TEST(Play, WhereTheLabItselfStoodStillNodesAreExcused) {
    Day day = day_of_requests(1, 300, 10);
    std::vector<std::string> said;
    PlayOptions options;
    options.node = OCHREHUB_NODE;
    options.enforce_memory = false;
    options.progress = [&](const std::string& text) {
        if (said.empty()) usleep(100000);  // on the loop of the timeline
        said.push_back(text);
    };
    Result result = play(day, options);
    EXPECT_EQ(result.breach_count, 0u);
    EXPECT_EQ(result.served, result.calls);
    EXPECT_TRUE(std::any_of(said.begin(), said.end(), [](const std::string& text) {
        return text.find("this machine stood still from") != std::string::npos;
    }));
}

TEST(Play, AProgramThatEndsByItselfHasCrashed) {
    Day day = day_of_requests(1, 50, 10);
    Played played = play_it(day, "/bin/false");
    ASSERT_EQ(played.result.breach_count, 1u);
    EXPECT_EQ(played.result.breaches[0].rule, "node-crashed");
    EXPECT_EQ(played.result.breaches[0].id, "n0");
    EXPECT_NE(played.result.breaches[0].proof.find("exit status 1"), std::string::npos);
    EXPECT_EQ(played.result.served, 0u);
    EXPECT_THROW(play_it(day, "/no/such/program"), std::invalid_argument);
    EXPECT_THROW(play_it(small_day(0)), std::invalid_argument);
}

TEST(Play, ANodeOverItsMemoryIsKilled) {
    Day day = day_of_requests(1, 300, 10);
    Fault memory = fault_of(FaultKind::NodeMemory, 0, 0);
    memory.size = 1;
    day.faults = {memory};
    EXPECT_EQ(limits_of(day, 0).memory_mb, 1u);
    // Holds a few MB and never listens; its environment names the configuration, which states the limit.
    TemporaryFolder folder("");
    std::string script = folder.path() / "node";
    std::ofstream(script) << "#!/bin/sh\nexec sleep 30\n";
    chmod(script.c_str(), 0755);
    PlayOptions options;
    options.node = script;
    Result result = play(day, options);
    ASSERT_GE(result.breach_count, 1u);
    EXPECT_EQ(result.breaches[0].rule, "node-crashed");
    EXPECT_NE(result.breaches[0].proof.find("1 allowed"), std::string::npos) << result.breaches[0].proof;
}

TEST(NodeProcess, IsLimitedMeasuredAndReaped) {
    TemporaryFolder folder("");
    std::string script = folder.path() / "node", log = folder.path() / "log";
    std::ofstream(script)
        << "#!/bin/sh\nulimit -n\necho \"$GW_NAME $GW_LISTEN\"\nls /proc/$$/fd | wc -l\nexit 3\n";
    chmod(script.c_str(), 0755);
    setenv("GW_LISTEN", "of somebody else", 1);
    Ear not_inherited[20];
    NodeProcess process({script, {"GW_NAME=n9"}, log, 77});
    process.start();
    std::optional<std::string> how;
    while (!how) how = process.ended();
    unsetenv("GW_LISTEN");
    EXPECT_EQ(*how, "exit status 3");
    EXPECT_FALSE(process.running());
    std::ifstream in(log);
    std::string sockets, name, descriptors;
    std::getline(in, sockets);
    std::getline(in, name);
    std::getline(in, descriptors);
    EXPECT_LT(std::stoi(descriptors), 10);
    EXPECT_EQ(sockets, "77");
    EXPECT_EQ(name, "n9 ");
    EXPECT_GT(process.usage().memory_peak_mb, 0);
    EXPECT_GT(process.usage().cpu_s, 0);
    pid_t left = 0;
    {
        std::ofstream(script) << "#!/bin/sh\nexec sleep 100\n";
        NodeProcess sleeper({script, {}, log, 77});
        sleeper.start();
        left = sleeper.pid();
        EXPECT_EQ(kill(left, 0), 0);
    }
    EXPECT_EQ(kill(left, 0), -1);
}

}  // namespace
}  // namespace ochrehub::lab
