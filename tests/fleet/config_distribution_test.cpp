// Unit tests of documents, the state machine and the subscriber. lab/config_distribution tests them together.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cerrno>
#include <random>
#include <set>

#include "fleet/config_distribution/config_state_machine.h"
#include "fleet/config_distribution/config_subscriber.h"
#include "fleet/config_distribution/document.h"
#include "fleet/config_distribution/document_file.h"
#include "fleet/config_distribution/max_inconsistency.h"

namespace ochrehub::config_distribution {
namespace {

using namespace std::chrono_literals;

std::set<Error>& seen_errors() {
    static std::set<Error> all;
    return all;
}
/// Whether the failure is this error; records that it was caused.
testing::AssertionResult is(const std::optional<Failure>& failure, Error error) {
    if (!failure) return testing::AssertionFailure() << "no failure";
    seen_errors().insert(failure->error);
    if (failure->error == error && !failure->about.empty()) return testing::AssertionSuccess();
    return testing::AssertionFailure() << fleet::sentence(*failure);
}
std::optional<Failure> failure(const std::variant<Content, Failure>& read) {
    return std::holds_alternative<Failure>(read) ? std::optional(std::get<Failure>(read)) : std::nullopt;
}

Limits limits(std::uint64_t a, std::uint64_t b, std::uint64_t budget = 1000, std::uint64_t floor = 10) {
    return {budget, {{"a", a, 5, floor}, {"b", b, 5, floor}}};
}

/// A random valid content of a kind, over few names, so that two contents overlap.
Content random_content(std::mt19937_64& random, Kind kind) {
    auto below = [&](std::uint64_t n) { return random() % n; };
    auto names = [&] {
        std::vector<std::string> out;
        for (const char* name : {"u", "v", "w", "x"})
            if (below(3) != 0) out.emplace_back(name);
        return out;
    };
    switch (kind) {
        case Kind::Limits: {
            Limits c;
            std::uint64_t sum = 0;
            for (const auto& n : names()) {
                std::uint64_t rate = 1 + below(50);
                c.limits.push_back({n, rate, below(9), below(2) * below(rate + 1)});
                sum += rate;
            }
            if (below(4) != 0) c.budget = sum + below(20) + 1;
            return c;
        }
        case Kind::Classes: {
            Classes c;
            for (const auto& n : names())
                c.classes.push_back(below(2) ? ClassRule{n, RetryRule::Allowed, std::uint32_t(1 + below(3))}
                                             : ClassRule{n, RetryRule::Forbidden, 1});
            return c;
        }
        case Kind::Headers: {
            Headers c;
            for (std::uint64_t i = below(6); i != 0; --i) {
                HeaderRule r{HeaderAction(below(3)), std::string(1, char('u' + below(3))), {}};
                if (r.action != HeaderAction::Remove) r.value = std::to_string(below(2));
                if (c.rules.empty() || !(r == c.rules.back())) c.rules.push_back(r);
            }
            return c;
        }
        case Kind::Partners: {
            Partners c;
            for (const auto& n : names())
                c.partners.push_back({n, below(3) ? PartnerStatus::Open : PartnerStatus::Closed, {}});
            for (const char* key : {"k1", "k2", "k3"})
                if (!c.partners.empty() && below(3))
                    c.partners[below(c.partners.size())].keys.emplace_back(key);
            return c;
        }
        case Kind::Servers: {
            Servers c{ListSource(below(3)), 0, {}};
            for (const auto& n : names())
                c.servers.push_back({n, below(3) ? ServerUse::In : ServerUse::Out, below(2) ? "z" : ""});
            return c;
        }
    }
    return Limits{};
}
constexpr Kind kAllKinds[] = {Kind::Limits, Kind::Classes, Kind::Headers, Kind::Partners, Kind::Servers};

// Documents

TEST(Document, ConflictsOfEachKind) {
    auto servers = [](ListSource source, std::vector<Server> all) {
        return Content(Servers{source, 0, std::move(all)});
    };
    struct Row {
        Content a, b;
        bool conflict;
    } rows[] = {
        {limits(400, 600), limits(500, 500), true},  // 500 + 600 exceed 1000
        {limits(400, 500), limits(500, 400), false},
        {limits(400, 500), limits(400, 100, 500), true},  // the budget was cut
        {limits(400, 500, 0), limits(900, 900, 0), false},
        {Classes{{{"order", RetryRule::Allowed, 2}}}, Classes{{{"order", RetryRule::Forbidden, 1}}}, true},
        {Classes{{{"order", RetryRule::Allowed, 2}}}, Classes{{{"page", RetryRule::Forbidden, 1}}}, false},
        {Headers{{{HeaderAction::Set, "x", "1"}, {HeaderAction::Remove, "x", ""}}},
         Headers{{{HeaderAction::Remove, "x", ""}, {HeaderAction::Set, "x", "1"}}}, true},
        {Headers{{{HeaderAction::Set, "x", "1"}, {HeaderAction::Set, "y", "1"}}},
         Headers{{{HeaderAction::Set, "y", "1"}, {HeaderAction::Set, "x", "1"}}}, false},
        {Headers{{{HeaderAction::Add, "x", "1"}}}, Headers{{{HeaderAction::Set, "x", "1"}}}, true},
        {Partners{{{"p", PartnerStatus::Open, {"k"}}}}, Partners{{{"q", PartnerStatus::Open, {"k"}}}}, true},
        {Partners{{{"p", PartnerStatus::Open, {"k"}}}}, Partners{{{"p", PartnerStatus::Closed, {"k"}}}},
         true},
        {Partners{{{"p", PartnerStatus::Open, {"k"}}}}, Partners{{{"q", PartnerStatus::Closed, {"l"}}}},
         false},
        {servers(ListSource::Static, {{"s", ServerUse::In, ""}}),
         servers(ListSource::Static, {{"s", ServerUse::Out, ""}}), true},
        {servers(ListSource::Static, {{"s", ServerUse::In, ""}}), servers(ListSource::Static, {}), true},
        {servers(ListSource::Operator, {{"s", ServerUse::In, ""}}), servers(ListSource::Operator, {}), false},
        {servers(ListSource::Operator, {{"s", ServerUse::Out, ""}}), servers(ListSource::Operator, {}), true},
        {servers(ListSource::Operator, {{"s", ServerUse::Out, ""}}), limits(1, 1), false},
    };
    for (const Row& row : rows) {
        EXPECT_EQ(conflicts(row.a, row.b), row.conflict) << to_text(row.a) << to_text(row.b);
        EXPECT_EQ(conflicts(row.b, row.a), row.conflict);
    }
}

TEST(Document, PartialContentsConflictWithNothing) {
    std::size_t conflict_count = 0, successor_count = 0;
    EXPECT_TRUE(rc::check([&](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        for (Kind kind : kAllKinds) {
            Content a = random_content(random, kind), b = random_content(random, kind),
                    c = random_content(random, kind);
            RC_ASSERT(!validate(a));
            RC_ASSERT(conflicts(a, b) == conflicts(b, a));
            RC_ASSERT(!conflicts(a, a));
            conflict_count += conflicts(a, b);
            if (const auto* s = std::get_if<Servers>(&a))
                std::get<Servers>(b).source = std::get<Servers>(c).source = s->source;
            for (const Content* x : {&a, &b}) {
                Content part = intersection(a, b);
                RC_ASSERT(!conflicts(part, *x));
                RC_ASSERT(!conflicts(part, conservative_subset(*x)));
                RC_ASSERT(!conflicts(deny_all(*x), part));
            }
            for (const Content& part : {conservative_subset(a), deny_all(a)}) {
                RC_ASSERT(!conflicts(part, a));
                if (check_successor(a, b)) continue;
                ++successor_count;
                RC_ASSERT(!conflicts(part, b));
                if (!check_successor(b, c)) RC_ASSERT(!conflicts(part, c));
            }
        }
    }));
    EXPECT_GT(conflict_count, 50u);
    EXPECT_GT(successor_count, 50u);
}

TEST(Document, BytesAndTextRoundTrip) {
    EXPECT_TRUE(rc::check([](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        for (Kind kind : kAllKinds) {
            Content a = random_content(random, kind), b = random_content(random, kind);
            RC_ASSERT(decode(encode(a)) == canonical(a));
            auto read = parse_text(to_text(a));
            RC_ASSERT(std::get<Content>(read) == canonical(a));
            RC_ASSERT((digest(encode(a)) == digest(encode(b))) == (canonical(a) == canonical(b)));
            RC_ASSERT(diff(a, b).empty() == (canonical(a) == canonical(b)));
            std::string bytes =
                encode(a);  // truncated or changed: another content or none, and no access out of bounds
            for (std::size_t i = 0; i < bytes.size(); ++i) {
                if (auto cut = decode(std::string_view(bytes).substr(0, i)))
                    RC_ASSERT(encode(*cut) == bytes.substr(0, i));
                bytes[i] ^= char(1 << seed % 8);
                if (auto other = decode(bytes)) RC_ASSERT(encode(*other) == bytes);
                bytes[i] ^= char(1 << seed % 8);
            }
        }
    }));
    EXPECT_EQ(diff(limits(1500, 2), limits(1000, 2)),
              "- limit a rate 1.5 burst 5 floor 0.01\n+ limit a rate 1 burst 5 floor 0.01\n");
}

TEST(Document, InvalidContentNamesTheLine) {
    auto bad = [](std::string text) { return failure(parse_text(text)); };
    EXPECT_TRUE(is(bad("kind weather\n"), Error::UnknownKind));
    EXPECT_TRUE(is(bad(""), Error::Malformed));
    EXPECT_TRUE(is(bad("# by hand\nkind limits\n\nlimit a rate x\n"), Error::Malformed));
    EXPECT_EQ(bad("# by hand\nkind limits\n\nlimit a rate x\n")->about, "line 4: `limit a rate x`");
    EXPECT_TRUE(is(bad("kind limits\nlimit a rate 1\nlimit a rate 2\n"), Error::Duplicate));
    EXPECT_TRUE(is(bad("kind limits\nlimit a rate 0\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind limits\nlimit a rate 1 floor 2\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind limits\nbudget 1\nlimit a rate 1\nlimit b rate 0.001\n"), Error::OverBudget));
    EXPECT_TRUE(is(bad("kind partners\npartner p open key k\npartner q open key k\n"), Error::Duplicate));
    EXPECT_TRUE(is(bad("kind partners\npartner p held\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind classes\nclass c repeat may-not attempts 2\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind headers\nset X 1\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind headers\nremove x 1\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind servers\nserver s last\n"), Error::WrongValue));
    EXPECT_TRUE(is(bad("kind limits\n" + std::string(10 << 20, '\n')), Error::TooLong));
    std::string many = "kind servers\n";
    for (int i = 0; i < 15'000; ++i) many += "server 10.0.0.1:" + std::to_string(i) + " in\n";
    EXPECT_TRUE(is(bad(many), Error::TooLong));
    EXPECT_FALSE(decode(std::string(10 << 20, '\n')));
}

TEST(Document, OperatorListOverridesDiscovery) {
    Servers list{ListSource::Discovery,
                 7,
                 {{"a", ServerUse::In, ""}, {"b", ServerUse::In, ""}, {"c", ServerUse::Out, ""}}};
    Servers operator_list{ListSource::Operator, 0, {{"a", ServerUse::Out, ""}, {"c", ServerUse::In, ""}}};
    Servers merged = merge_lists(list, operator_list);
    EXPECT_EQ(merged.servers[0].use, ServerUse::Out);  // operators override discovery
    EXPECT_EQ(merged.servers[1].use, ServerUse::In);
    EXPECT_EQ(merged.servers[2].use, ServerUse::Out);  // operators cannot add what discovery has removed
    merged = merge_lists(list, std::get<Servers>(conservative_subset(operator_list)));
    EXPECT_EQ(merged.servers[0].use, ServerUse::Out);
    EXPECT_EQ(merged.servers[1].use, ServerUse::LastResort);
}

TEST(MaxInconsistency, FollowsFromLeaseTiming) {
    EXPECT_EQ(max_inconsistency(lease_timing(3000ms), ConsistencyMode::Strict), 0ms);
    EXPECT_NEAR(max_inconsistency(lease_timing(3000ms), ConsistencyMode::Bounded).count(), 2949.2, 0.1);
    EXPECT_FALSE(validate(lease_timing(3000ms, 3000ms)));
    EXPECT_TRUE(is(validate(lease_timing(3000ms, 2900ms)), Error::StatedTime));
    EXPECT_TRUE(is(validate(LeaseTiming{3000ms, 10ms, 0.01, {}}), Error::Margin));
}

// State machine

struct StateMachineFixture {
    ConfigStateMachine state_machine;
    ConfigResponse apply(const std::string& command, coordinator::SessionId session = 0) {
        // Each command also runs on a copy restored from a snapshot, which finds state that the snapshot
        // lacks.
        ConfigStateMachine other;
        EXPECT_TRUE(other.restore(1, state_machine.snapshot()));
        EXPECT_EQ(other.snapshot(), state_machine.snapshot());
        std::string response = state_machine.apply({session, command});
        EXPECT_EQ(other.apply({session, command}), response);
        EXPECT_EQ(other.snapshot(), state_machine.snapshot());
        auto read = decode_response(response);
        EXPECT_TRUE(read);
        return read.value_or(ConfigResponse{});
    }
    ConfigResponse propose(Content content, std::uint64_t base,
                           ConsistencyMode mode = ConsistencyMode::Strict, std::string name = "rates",
                           std::uint64_t token = 0) {
        return apply(config_distribution::propose_command(
            {document(std::move(content), mode, std::move(name)), base, token, true, 30s}));
    }
    static Document document(Content content, ConsistencyMode mode = ConsistencyMode::Strict,
                             std::string name = "rates") {
        return {std::move(name),
                0,
                std::move(content),
                mode,
                ExpiryPolicy::Conservative,
                "ann",
                1'700'000'000,
                {},
                0};
    }
    void join(coordinator::SessionId id, const std::string& name, const std::string& zone) {
        state_machine.session_opened(id, name, zone);
        EXPECT_TRUE(is(apply(ack_command("rates", 1, true, ""), id).failure,
                       Error::Unknown));  // not subscribed yet
        EXPECT_EQ(state_machine.session_update(id), "");
        apply(subscribe_command(), id);
    }
    ConfigResponse query(const std::string& name) {
        return decode_response(state_machine.query(status_query(name))).value_or(ConfigResponse{});
    }
    DocumentStatus status(const std::string& name = "rates") {
        auto response = query(name);
        return response.documents.empty() ? DocumentStatus{} : response.documents.front();
    }
    void expire_timeout(Duration = {}) {
        std::vector<coordinator::Timeout> armed;
        state_machine.timeouts(armed);
        ASSERT_EQ(armed.size(), 1u);
        apply(state_machine.on_timeout(armed[0].key, armed[0].revision));
    }
    Failure last_failure(const std::string& name = "rates") { return status(name).aborted.back().failure; }
};

TEST(ConfigStateMachine, StrictVersionWaitsForAllReleases) {
    StateMachineFixture fixture;
    EXPECT_EQ(fixture.propose(limits(400, 600), 0).version, 1u);  // no sessions: in force at once
    EXPECT_EQ(fixture.state_machine.in_force("rates"), 1u);
    fixture.join(1, "n1", "a");
    fixture.join(2, "n2", "b");
    EXPECT_EQ(fixture.propose(limits(500, 500), 1).version, 2u);
    fixture.apply(ack_command("rates", 2, true, ""), 1);
    EXPECT_EQ(fixture.status().phase, Phase::Staging);
    fixture.apply(ack_command("rates", 2, true, ""), 2);
    EXPECT_EQ(fixture.status().phase, Phase::Draining);
    fixture.join(3, "n3", "a");  // never used the older version
    fixture.apply(release_command("rates", 2), 1);
    EXPECT_TRUE(
        is(fixture.apply(release_command("rates", 1), 2).failure, Error::Unknown));  // of a different version
    EXPECT_EQ(fixture.state_machine.in_force("rates"), 1u);
    EXPECT_TRUE(fixture.status().nodes[1].blocks_drain);
    fixture.state_machine.session_ended(2);
    EXPECT_EQ(fixture.state_machine.in_force("rates"), 2u);
    // A rollback is a new version with the old content, and names the version it is from.
    Proposal rollback{StateMachineFixture::document(limits(0, 0)), 2, 0, true, 30s};
    EXPECT_TRUE(is(fixture.apply(rollback_command("rates", 9, rollback)).failure, Error::NoVersion));
    EXPECT_EQ(fixture.apply(rollback_command("rates", 1, rollback)).version, 3u);
    EXPECT_EQ(fixture.status().next->rollback_of, 1u);
    EXPECT_EQ(fixture.status().next->content, Content(limits(400, 600)));
}

TEST(ConfigStateMachine, RejectsInvalidProposalWithReason) {
    StateMachineFixture fixture;
    auto bad = [&](Document d, std::uint64_t base, Error error) {
        EXPECT_TRUE(is(fixture.apply(propose_command({std::move(d), base, 0, true, 30s})).failure, error));
        EXPECT_EQ(fixture.state_machine.in_force("rates"),
                  base == 7 ? 1u : fixture.state_machine.in_force("rates"));
    };
    fixture.propose(limits(400, 600), 0);
    fixture.join(1, "n1", "a");
    bad(StateMachineFixture::document(limits(400, 600)), 1, Error::Same);
    bad(StateMachineFixture::document(limits(400, 5, 1000, 5)), 1, Error::Floor);
    bad(StateMachineFixture::document(limits(400, 700)), 1, Error::OverBudget);
    bad(StateMachineFixture::document(limits(500, 500)), 0, Error::BaseMoved);
    bad(StateMachineFixture::document(limits(500, 500), ConsistencyMode::Bounded), 1, Error::ModeChanged);
    bad(StateMachineFixture::document(Headers{}, ConsistencyMode::Strict), 1, Error::KindChanged);
    bad(StateMachineFixture::document(Classes{}, ConsistencyMode::Bounded, "classes"), 0, Error::Mode);
    bad(StateMachineFixture::document(Servers{ListSource::Discovery, 1, {}}, ConsistencyMode::Strict, "list"),
        0, Error::Mode);
    Document canary = StateMachineFixture::document(limits(500, 500));
    canary.canary_scope = CanaryScope{"", "n1", 60s};
    bad(canary, 1, Error::Canary);  // Strict, and conflicting with the version in force
    EXPECT_TRUE(is(fixture.apply("\xff\xff").failure, Error::Malformed));
    EXPECT_TRUE(is(fixture.query("other").failure, Error::Unknown));
    EXPECT_TRUE(is(fixture.apply(ack_command("rates", 1, true, ""), 1).failure, Error::Unknown));
    for (int i = 0; i < 63; ++i)
        EXPECT_FALSE(
            fixture.propose(Headers{}, 0, ConsistencyMode::Strict, "d" + std::to_string(i)).version == 0);
    fixture.state_machine.session_ended(1);
    EXPECT_TRUE(
        is(fixture.propose(Headers{}, 0, ConsistencyMode::Strict, "one more").failure, Error::Malformed));
    EXPECT_TRUE(is(fixture.propose(Headers{}, 0, ConsistencyMode::Strict, "one-more").failure, Error::Full));
}

TEST(ConfigStateMachine, ConcurrentAndRepeatedProposals) {
    StateMachineFixture fixture;
    fixture.propose(limits(400, 600), 0);
    fixture.join(1, "n1", "a");
    EXPECT_EQ(fixture.propose(limits(500, 500), 1, ConsistencyMode::Strict, "rates", 77).version, 2u);
    EXPECT_TRUE(
        is(fixture.propose(limits(300, 600), 1, ConsistencyMode::Strict, "rates", 78).failure, Error::Busy));
    EXPECT_EQ(fixture.propose(limits(500, 500), 1, ConsistencyMode::Strict, "rates", 77).version,
              2u);  // a retry
    fixture.apply(ack_command("rates", 2, true, ""), 1), fixture.apply(release_command("rates", 2), 1);
    EXPECT_TRUE(is(fixture.propose(limits(300, 600), 1, ConsistencyMode::Strict, "rates", 78).failure,
                   Error::BaseMoved));
    EXPECT_EQ(fixture.propose(limits(500, 500), 1, ConsistencyMode::Strict, "rates", 77).version, 2u);
}

TEST(ConfigStateMachine, AbortsOnNackTimeoutOrWithdrawal) {
    StateMachineFixture fixture;
    fixture.propose(limits(400, 600), 0);
    fixture.join(1, "n1", "a");
    fixture.join(2, "n2", "a");
    fixture.propose(limits(500, 500), 1);
    fixture.apply(ack_command("rates", 2, false, "no such class"), 2);
    EXPECT_TRUE(is(fixture.last_failure(), Error::NodeRefused));
    EXPECT_EQ(fixture.last_failure().about, "rates 2: n2: no such class");
    EXPECT_EQ(fixture.propose(limits(500, 500), 1).version, 3u);  // version numbers are not reused
    fixture.apply(ack_command("rates", 3, true, ""), 1);
    fixture.expire_timeout();
    EXPECT_TRUE(is(fixture.last_failure(), Error::TimeOver));
    EXPECT_EQ(fixture.last_failure().about, "rates 3: waits for n2");
    fixture.propose(limits(500, 500), 1);
    EXPECT_TRUE(is(fixture.apply(withdraw_command("rates", 9, "bob")).failure, Error::Unknown));
    fixture.apply(withdraw_command("rates", 4, "bob"));
    EXPECT_TRUE(is(fixture.last_failure(), Error::Withdrawn));
    // If one rejection does not abort the proposal, the rejection of all nodes does.
    for (bool yes : {true, false}) {
        fixture.apply(propose_command({StateMachineFixture::document(limits(500, 500)), 1, 0, false, 30s}));
        std::uint64_t version = fixture.status().next->version;
        fixture.apply(ack_command("rates", version, false, "no"), 1);
        EXPECT_EQ(fixture.status().phase, Phase::Staging);
        fixture.apply(ack_command("rates", version, yes, "no"), 2);
        EXPECT_EQ(fixture.status().phase, yes ? Phase::Draining : Phase::None);
        if (yes) fixture.expire_timeout();
    }
    EXPECT_EQ(fixture.state_machine.in_force("rates"), 1u);
}

TEST(ConfigStateMachine, CanaryIsLimitedToItsScopeAndDuration) {
    StateMachineFixture fixture;
    fixture.propose(limits(400, 600), 0, ConsistencyMode::Bounded);
    fixture.join(1, "n1", "a");
    fixture.join(2, "n2", "b");
    Document canary = StateMachineFixture::document(limits(500, 500), ConsistencyMode::Bounded);
    canary.canary_scope = CanaryScope{"a", "", 60s};
    fixture.apply(propose_command({canary, 1, 0, true, 30s}));
    fixture.apply(ack_command("rates", 2, true, ""), 2);  // outside of the scope
    EXPECT_EQ(fixture.status().phase, Phase::Staging);
    fixture.apply(ack_command("rates", 2, true, ""), 1);
    EXPECT_EQ(fixture.status().phase, Phase::Canary);
    std::vector<coordinator::Timeout> armed;
    fixture.state_machine.timeouts(armed);
    EXPECT_EQ(armed.at(0).length, 60s);
    EXPECT_EQ(fixture.state_machine.in_force("rates"), 1u);
    EXPECT_EQ(fixture.state_machine.session_update(1).find("\x18\x02"),
              std::string::npos);  // the node has the contents
    fixture.expire_timeout();
    EXPECT_EQ(fixture.status().phase, Phase::None);
}

TEST(ConfigStateMachine, RestoreRejectsOtherSchemaAndTruncation) {
    StateMachineFixture fixture;
    fixture.propose(limits(400, 600), 0);
    std::string whole = fixture.state_machine.snapshot();
    ConfigStateMachine other;
    EXPECT_FALSE(other.restore(2, whole));
    for (std::size_t i = 1; i < whole.size(); ++i) other.restore(1, std::string_view(whole).substr(0, i));
    EXPECT_TRUE(other.restore(1, whole));
    EXPECT_EQ(other.snapshot(), whole);
}

// Subscriber

/// One node and the state machine, without a network.
struct Node {
    StateMachineFixture fixture;
    TimePoint now{};
    Actions actions;
    std::optional<ConfigSubscriber> subscriber;
    std::map<std::string, ApplyConfig> applied;
    std::string file;
    bool confirms_apply = true, accepts = true;
    int said_no = 0;

    explicit Node(std::vector<Document> stored = {}) {
        subscriber.emplace(ConfigSubscriberSettings{}, std::move(stored), now, actions);
        execute();
    }
    void handle(const Event& event) {
        subscriber->handle(now, event, actions);
        execute();
    }
    void renew(coordinator::SessionId session, Duration lease = 2920ms) {
        handle(LeaseRenewed{session, now + lease, fixture.state_machine.session_update(session)});
    }
    void execute() {
        while (!actions.empty()) {
            for (Action& action : std::exchange(actions, {})) {
                if (auto* apply = std::get_if<ApplyConfig>(&action)) {
                    applied[apply->document] = *apply;
                    if (confirms_apply) subscriber->handle(now, ConfigApplied{apply->serial}, actions);
                } else if (auto* extend = std::get_if<ExtendLeases>(&action)) {
                    for (auto& [name, a] : applied) a.lease.expires_at = extend->expires_at;
                } else if (auto* check = std::get_if<CheckDocument>(&action)) {
                    subscriber->handle(
                        now,
                        CheckCompleted{check->document.name, check->document.version, accepts, "not here"},
                        actions);
                } else if (auto* send = std::get_if<SendCommand>(&action)) {
                    fixture.apply(send->command, 1);
                } else if (auto* write = std::get_if<WriteFile>(&action)) {
                    file = write->bytes;
                }
            }
        }
    }
    const EffectiveConfig& effective(const std::string& name = "rates") {
        return applied[name].lease.at(now);
    }
};

TEST(ConfigSubscriber, FullConfigOnlyUnderLease) {
    Node n;
    n.fixture.join(1, "n1", "a");
    n.fixture.propose(limits(400, 600), 0);
    n.renew(1);
    n.renew(1);
    EXPECT_EQ(n.effective().mode, ConfigMode::Full);
    EXPECT_EQ(n.effective().version, 1u);
    EXPECT_EQ(*n.effective().content, Content(limits(400, 600)));
    n.now += 2919ms;
    EXPECT_EQ(n.effective().mode, ConfigMode::Full);
    n.now += 2ms;  // the lease expires without an event to the subscriber
    EXPECT_EQ(n.effective().mode, ConfigMode::Conservative);
    EXPECT_EQ(*n.effective().content, conservative_subset(limits(400, 600)));
    n.handle(TimerFired{});
    EXPECT_EQ(n.subscriber->lease_expirations(), 1u);
    n.renew(1);
    EXPECT_EQ(n.effective().mode, ConfigMode::Full);
    n.handle(SessionLost{});
    EXPECT_EQ(n.effective().mode, ConfigMode::Conservative);
    n.renew(1);  // a late response for an ended session
    EXPECT_EQ(n.effective().mode, ConfigMode::Conservative);
    EXPECT_EQ(n.subscriber->rejected_updates(), 1u);
}

TEST(ConfigSubscriber, ReleasesOnlyAfterConfigApplied) {
    Node n;
    n.fixture.join(1, "n1", "a");
    n.fixture.propose(limits(400, 600), 0);
    n.renew(1), n.renew(1);
    n.confirms_apply = false;
    std::string old = n.fixture.state_machine.session_update(1);
    n.fixture.propose(limits(500, 500), 1);
    n.renew(1);
    EXPECT_EQ(n.effective().mode, ConfigMode::Full);
    n.renew(1);
    EXPECT_EQ(n.effective().mode, ConfigMode::Transitional);
    EXPECT_EQ(*n.effective().content, intersection(limits(400, 600), limits(500, 500)));
    n.renew(1);
    EXPECT_EQ(n.fixture.state_machine.in_force("rates"), 1u);  // no ConfigApplied yet
    n.handle(ConfigApplied{n.applied["rates"].serial - 1});    // of an older lease
    EXPECT_EQ(n.fixture.state_machine.in_force("rates"), 1u);
    n.handle(ConfigApplied{n.applied["rates"].serial});
    EXPECT_EQ(n.fixture.state_machine.in_force("rates"), 2u);
    n.handle(LeaseRenewed{1, n.now + 2920ms, old});  // stale
    EXPECT_EQ(n.effective().mode, ConfigMode::Transitional);
    n.renew(1);
    EXPECT_EQ(n.effective().version, 2u);
    auto stored = decode_file(n.file);
    ASSERT_TRUE(std::holds_alternative<std::vector<Document>>(stored));
    EXPECT_EQ(std::get<0>(stored).at(0).version, 2u);
}

TEST(ConfigSubscriber, StartsFromFileByExpiryPolicy) {
    for (ExpiryPolicy expiry_policy :
         {ExpiryPolicy::KeepCurrent, ExpiryPolicy::Conservative, ExpiryPolicy::DenyAll}) {
        Document d = StateMachineFixture::document(limits(400, 600));
        d.version = 3, d.expiry_policy = expiry_policy;
        Node n({d});
        EXPECT_EQ(n.effective().mode,
                  expiry_policy == ExpiryPolicy::DenyAll ? ConfigMode::DenyAll : ConfigMode::Conservative);
        n.now += 5s;
        n.handle(TimerFired{});
        EXPECT_EQ(n.effective().mode, expiry_policy == ExpiryPolicy::KeepCurrent    ? ConfigMode::KeepCurrent
                                      : expiry_policy == ExpiryPolicy::Conservative ? ConfigMode::Conservative
                                                                                    : ConfigMode::DenyAll);
        // The coordinators know another version, which this node's check rejects.
        n.accepts = false;
        n.fixture.join(1, "n1", "a");
        n.fixture.propose(limits(500, 500), 0);
        n.renew(1);
        EXPECT_TRUE(is(n.fixture.last_failure(), Error::NodeRefused));
        EXPECT_EQ(n.effective().mode,
                  expiry_policy == ExpiryPolicy::DenyAll ? ConfigMode::DenyAll : ConfigMode::Conservative);
    }
}

TEST(DocumentFile, RejectsTruncatedOrChangedFile) {
    Document d = StateMachineFixture::document(limits(400, 600));
    d.version = 3;
    std::string bytes = encode_file({d});
    EXPECT_EQ(std::get<0>(decode_file(bytes)).at(0), d);
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        EXPECT_TRUE(std::holds_alternative<Failure>(decode_file(bytes.substr(0, i))));
        std::string changed = bytes;
        changed[i] ^= 4;
        auto read = decode_file(changed);
        ASSERT_TRUE(std::holds_alternative<Failure>(read));
        EXPECT_TRUE(is(std::get<Failure>(read), Error::FileDamaged));
    }
}

/// A disk that fails once `calls_left` is used up.
struct FailingDisk : store::Files {
    std::map<std::string, std::string> files;
    int calls_left = 1 << 30;
    bool ok() { return calls_left-- > 0; }
    store::Error lock() override { return 0; }
    store::Error list(std::vector<std::string>&) override { return 0; }
    store::Error read(const std::string& name, std::string& bytes) override {
        if (!ok()) return EIO;
        if (!files.contains(name)) return ENOENT;
        return bytes = files[name], 0;
    }
    store::Error append(const std::string& name, std::string_view bytes) override {
        bool all = ok();
        files[name].append(all ? bytes : bytes.substr(0, bytes.size() / 2));
        return all ? 0 : ENOSPC;
    }
    store::Error sync(const std::string&) override { return ok() ? 0 : EIO; }
    store::Error rename(const std::string& from, const std::string& to) override {
        if (!ok()) return EIO;
        files[to] = std::move(files[from]);
        return files.erase(from), 0;
    }
    store::Error remove(const std::string& name) override {
        return !ok() ? EIO : files.erase(name) ? 0 : ENOENT;
    }
    store::Error sync_names() override { return ok() ? 0 : EIO; }
};

TEST(DocumentFile, SaveIsAtomicWhenAnyCallFails) {
    Document d = StateMachineFixture::document(limits(400, 600)),
             e = StateMachineFixture::document(limits(500, 500));
    d.version = 3, e.version = 4;
    int failed = 0;
    for (int n = 0; n < 6; ++n) {
        FailingDisk disk;
        EXPECT_FALSE(save(disk, "rules", encode_file({d})));
        disk.calls_left = n;
        auto bad = save(disk, "rules", encode_file({e}));
        EXPECT_TRUE(!bad || is(bad, Error::FileFailed));
        failed += bad.has_value();
        disk.calls_left = 1 << 30;
        auto read = load(disk, "rules");
        ASSERT_TRUE(std::holds_alternative<std::vector<Document>>(read));
        EXPECT_EQ(std::get<0>(read).at(0).version, n < 4 ? 3u : 4u);
        EXPECT_FALSE(save(disk, "rules", encode_file({e})));  // an earlier attempt's file does not interfere
    }
    EXPECT_EQ(failed, 5);
    FailingDisk disk;
    EXPECT_TRUE(std::get<0>(load(disk, "rules")).empty());
    disk.calls_left = 0;
    EXPECT_TRUE(is(std::get<Failure>(load(disk, "rules")), Error::FileFailed));
}

/// Runs last, by its name: each error must have been caused by a test above, if all run in one process.
TEST(ZErrors, EveryErrorIsCausedAndHasARow) {
    std::set<std::string_view> codes;
    for (std::size_t i = 0; i < kErrorCount; ++i) {
        const fleet::ErrorRow& r = row(Error(i));
        EXPECT_TRUE(r.code.starts_with("agreement.") && !r.what.empty() && !r.operators.empty());
        codes.insert(r.code);
        EXPECT_TRUE(testing::UnitTest::GetInstance()->test_to_run_count() < 10 ||
                    seen_errors().contains(Error(i)))
            << r.code;
    }
    EXPECT_EQ(codes.size(), kErrorCount);
}

}  // namespace
}  // namespace ochrehub::config_distribution
