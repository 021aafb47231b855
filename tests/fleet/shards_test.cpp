// The planner, a holder, a client, and session records, each by hand. Together, under faults:
// lab/tests/shards_test.cpp.
#include <gtest/gtest.h>

#include <boost/random/taus88.hpp>
#include <set>

#include "fleet/shards/session_records.h"
#include "fleet/shards/shard_client.h"
#include "fleet/shards/shard_holder.h"
#include "fleet/shards/wire.h"

namespace ochrehub::shards {
namespace {

constexpr TimePoint at(double ms) {
    return TimePoint(Duration(ms));
}

// ---- The planner

std::optional<Error> apply(ShardMapPlanner& views, SessionId session, const std::string& body) {
    wire::Reply reply;
    EXPECT_TRUE(reply.ParseFromString(views.apply({session, body})));
    if (reply.error() == 0) return {};
    return Error(reply.error());
}
void join(ShardMapPlanner& views, SessionId session, const std::string& zone) {
    views.session_opened(session, "holder" + std::to_string(session), zone);
    EXPECT_FALSE(
        apply(views, session, ShardMapPlanner::offer_command("127.0.0.1:" + std::to_string(session))));
}
struct Steps {
    std::size_t filled = 0, yielded = 0, most = 0;
    bool ended = false;
};
/// Plays primaries that catch up and step down at once, until the map is stable.
Steps drive(ShardMapPlanner& views) {
    Steps steps;
    for (int round = 0; round < 5000; ++round) {
        std::size_t moving = 0;
        for (const ShardAssignment& e : views.map().entries)
            moving += (e.catching_up != 0 && e.backup != 0) || e.stepping_down;
        steps.most = std::max(steps.most, moving);
        bool any = false;
        for (std::uint32_t n = 0; n < views.map().entries.size() && !any; ++n) {
            ShardAssignment e = views.map().entries[n];
            if (e.catching_up != 0)
                any = !apply(views, e.primary, ShardMapPlanner::caught_up_command(n, e.view)), ++steps.filled;
            else if (e.stepping_down)
                any = !apply(views, e.primary, ShardMapPlanner::stepped_down_command(n, e.view)),
                ++steps.yielded;
        }
        if (!any) {
            steps.ended = true;
            break;
        }
    }
    return steps;
}
void expect_balanced(const ShardMapPlanner& views, std::size_t slack) {
    std::map<SessionId, std::size_t> roles, firsts;
    for (const auto& [id, place] : views.map().holders) roles[id], firsts[id];
    for (const ShardAssignment& e : views.map().entries) {
        ASSERT_TRUE(e.primary != 0 && e.backup != 0 && e.primary != e.backup);
        EXPECT_NE(views.map().holders.at(e.primary).zone, views.map().holders.at(e.backup).zone);
        ++roles[e.primary], ++roles[e.backup], ++firsts[e.primary];
    }
    auto spread = [](const std::map<SessionId, std::size_t>& of) {
        auto [least, most] =
            std::minmax_element(of.begin(), of.end(), [](auto& a, auto& b) { return a.second < b.second; });
        return most->second - least->second;
    };
    EXPECT_LE(spread(roles), slack);
    EXPECT_LE(spread(firsts), slack);
}

TEST(ShardsMapPlanner, JoiningHolderGetsItsShareAndNothingElseMoves) {
    ShardMapPlanner views({});
    for (SessionId s = 1; s <= 6; ++s) join(views, s, s % 2 ? "a" : "b");
    ASSERT_TRUE(drive(views).ended);
    expect_balanced(views, 2);
    std::vector<ShardAssignment> before = views.map().entries;
    join(views, 7, "c");
    Steps steps = drive(views);
    ASSERT_TRUE(steps.ended);
    EXPECT_LE(steps.most, ShardMapPlanner::Settings{}.max_moves);
    expect_balanced(views, 2);
    std::size_t copies = 0, others = 0;
    for (std::size_t n = 0; n < before.size(); ++n) {
        const ShardAssignment& is = views.map().entries[n];
        for (SessionId who : {is.primary, is.backup}) {
            bool was = who == before[n].primary || who == before[n].backup;
            copies += who == 7;
            others += !was && who != 7;
        }
    }
    EXPECT_LE(copies, 512 / 7 + 2u);  // its share of 512 copies
    EXPECT_EQ(others, 0u);
    EXPECT_EQ(steps.filled, copies);
}

TEST(ShardsMapPlanner, BackupTakesOverAndLossOfBothIsReported) {
    ShardMapPlanner views({});
    for (SessionId s = 1; s <= 3; ++s) join(views, s, "z" + std::to_string(s));
    drive(views);
    std::vector<ShardAssignment> before = views.map().entries;
    views.session_ended(1);
    for (std::size_t n = 0; n < before.size(); ++n) {
        const ShardAssignment& is = views.map().entries[n];
        EXPECT_EQ(is.primary, before[n].primary == 1 ? before[n].backup : before[n].primary);
        EXPECT_FALSE(is.lost);
        EXPECT_EQ(is.origin, before[n].origin);
        if (before[n].primary == 1 || before[n].backup == 1) {
            EXPECT_GT(is.view, before[n].view);
        }
    }
    std::vector<ShardAssignment> between = views.map().entries;  // no holder has caught up yet
    views.session_ended(2);
    for (std::size_t n = 0; n < between.size(); ++n) {
        const ShardAssignment& is = views.map().entries[n];
        EXPECT_EQ(is.primary, 3u);
        bool had = between[n].primary == 3 || between[n].backup == 3;
        EXPECT_EQ(is.lost, !had);
        EXPECT_EQ(is.origin == is.view, !had);
    }
    views.session_ended(3);
    for (const ShardAssignment& e : views.map().entries) EXPECT_EQ(e.primary, 0u);
    join(views, 4, "z");
    for (const ShardAssignment& e : views.map().entries) EXPECT_TRUE(e.primary == 4 && e.lost);
}

TEST(ShardsMapPlanner, LeavingHolderHandsOverAllShards) {
    ShardMapPlanner views({});
    for (SessionId s = 1; s <= 4; ++s) join(views, s, s % 2 ? "a" : "b");
    drive(views);
    EXPECT_EQ(apply(views, 2, ShardMapPlanner::leave_command(1)),
              Error::Malformed);  // only itself and operators may send it
    EXPECT_EQ(apply(views, 0, ShardMapPlanner::leave_command(9)), Error::SessionExpired);
    EXPECT_FALSE(apply(views, 0, ShardMapPlanner::leave_command(1)));
    ASSERT_TRUE(drive(views).ended);
    for (const ShardAssignment& e : views.map().entries) {
        EXPECT_TRUE(e.primary != 1 && e.backup != 1 && e.catching_up != 1);
        EXPECT_FALSE(e.lost);
    }
}

TEST(ShardsMapPlanner, OnlyThePrimaryChangesItsShard) {
    ShardMapPlanner views({});
    join(views, 1, "a");
    join(views, 2, "b");
    ShardAssignment e = views.map().entries[0];
    ASSERT_NE(e.catching_up, 0u);
    EXPECT_EQ(apply(views, e.catching_up, ShardMapPlanner::caught_up_command(0, e.view)), Error::NotPrimary);
    EXPECT_EQ(apply(views, 0, ShardMapPlanner::caught_up_command(0, e.view)), Error::NotPrimary);
    EXPECT_EQ(apply(views, e.primary, ShardMapPlanner::caught_up_command(0, e.view - 1)), Error::OlderView);
    EXPECT_EQ(apply(views, e.primary, ShardMapPlanner::caught_up_command(256, e.view)), Error::Malformed);
    EXPECT_EQ(apply(views, e.primary, ShardMapPlanner::stepped_down_command(0, e.view)),
              Error::Malformed);  // it wasn't requested to step down
    EXPECT_EQ(apply(views, 1, "\xff"), Error::Malformed);
    EXPECT_EQ(apply(views, 1, ""), Error::Malformed);
    EXPECT_EQ(apply(views, 9, ShardMapPlanner::offer_command("x")), Error::SessionExpired);
    EXPECT_EQ(apply(views, 1, ShardMapPlanner::offer_command("")), Error::Malformed);
    EXPECT_EQ(apply(views, 1, ShardMapPlanner::offer_command(std::string(257, 'x'))), Error::Malformed);
    ShardMapPlanner::Settings one;
    one.max_holders = 1;
    ShardMapPlanner full(one);
    join(full, 1, "a");
    full.session_opened(2, "b", "b");
    EXPECT_EQ(apply(full, 2, ShardMapPlanner::offer_command("x")), Error::Full);
    EXPECT_EQ(views.map().entries[0], e);
}

// Random joins, leaves and expiries, with slow primaries: after each step the map is valid and its snapshot
// restores all of it, and after the last step the map becomes stable.
TEST(ShardsMapPlanner, BecomesStableAfterRandomChanges) {
    for (unsigned seed = 1; seed <= 40; ++seed) {
        boost::random::taus88 random(seed * 97 + 64);
        ShardMapPlanner::Settings set;
        set.shard_count = 32;
        ShardMapPlanner views(set), twin(set);
        SessionId next = 1;
        std::vector<SessionId> live;
        for (int step = 0; step < 300; ++step) {
            std::vector<ShardAssignment> was = views.map().entries;
            unsigned draw = random() % 10;
            if (live.empty() || (draw == 0 && live.size() < 9)) {
                join(views, next, std::string(1, char('a' + random() % 3)));
                live.push_back(next++);
            } else if (draw == 1) {
                std::size_t who = random() % live.size();
                views.session_ended(live[who]);
                live.erase(live.begin() + std::ptrdiff_t(who));
            } else if (draw == 2) {
                apply(views, 0, ShardMapPlanner::leave_command(live[random() % live.size()]));
            } else {
                auto n = std::uint32_t(random() % 32);
                ShardAssignment e = views.map().entries[n];
                apply(views, e.primary,
                      e.stepping_down ? ShardMapPlanner::stepped_down_command(n, e.view)
                                      : ShardMapPlanner::caught_up_command(n, e.view));
            }
            for (std::size_t n = 0; n < 32; ++n) {
                const ShardAssignment& is = views.map().entries[n];
                bool first_lives = std::find(live.begin(), live.end(), was[n].primary) != live.end();
                // A primary that is alive stays primary, or swaps roles with its backup by its own command.
                if (first_lives) {
                    ASSERT_TRUE(is.primary == was[n].primary ||
                                (was[n].stepping_down && is.backup == was[n].primary));
                }
                ASSERT_TRUE(is.primary == 0 || is.primary != is.backup);
                ASSERT_TRUE(is.catching_up == 0 ||
                            (is.catching_up != is.primary && is.catching_up != is.backup));
                ASSERT_EQ(is.primary == 0, live.empty());
                if (is.primary != was[n].primary || is.backup != was[n].backup) {
                    ASSERT_GT(is.view, was[n].view);
                }
            }
            ASSERT_TRUE(twin.restore(1, views.snapshot()));
            ASSERT_EQ(twin.snapshot(), views.snapshot());
            ASSERT_EQ(twin.session_update(1), views.session_update(1));
        }
        EXPECT_TRUE(drive(views).ended) << "seed " << seed;
    }
}

TEST(ShardsMapPlanner, RejectsSnapshotsOfAnotherSchemaOrMalformed) {
    ShardMapPlanner views({}), other({});
    join(views, 1, "a");
    std::string good = views.snapshot();
    EXPECT_FALSE(other.restore(2, good));
    EXPECT_FALSE(other.restore(1, good.substr(0, good.size() / 2)));
    wire::Snapshot wrong;
    wrong.ParseFromString(good);
    wrong.mutable_map()->mutable_entries(7)->set_second(99);  // an unknown session
    EXPECT_FALSE(other.restore(1, wrong.SerializeAsString()));
    EXPECT_EQ(other.map().number, 0u);
    EXPECT_LE(views.session_update(1).size(), 8192u);
}

// ---- Holder

TableSettings table_settings() {
    TableSettings set;
    set.shard_count = 1;
    return set;
}
/// A map of one shard.
std::string map_of(const ShardAssignment& entry, std::uint64_t number) {
    ShardMap map;
    map.number = number;
    map.entries = {entry};
    for (SessionId who : {entry.primary, entry.backup, entry.catching_up})
        if (who != 0) map.holders[who] = {"h", "z", "a", false};
    return encode(map);
}
struct Rig {
    Table table{table_settings()};
    ShardHolder holder{ShardHolder::Settings{}, table};
    ShardClient client;
    ShardHolder::Actions out;
    std::vector<ShardClient::Completed> done;

    Rig() : client(client_settings()) {}
    static ShardClient::Settings client_settings() {
        ShardClient::Settings set;
        set.shard_count = 1;
        return set;
    }
    void news(TimePoint now, const ShardAssignment& entry, std::uint64_t number, SessionId session = 1) {
        std::string map = map_of(entry, number);
        holder.handle(now, ShardHolder::SessionRenewed{session, now + Duration(2920), map}, out);
    }
    template <class T>
    std::vector<T> took() {
        std::vector<T> all;
        for (const ShardHolder::Action& a : out)
            if (auto* one = std::get_if<T>(&a)) all.push_back(*one);
        out.clear();
        return all;
    }
    std::vector<wire::Copy> copies() {
        std::vector<wire::Copy> all;
        for (const ShardHolder::SendMessage& t : took<ShardHolder::SendMessage>()) {
            wire::Message m;
            m.ParseFromString(t.body);
            all.insert(all.end(), m.copies().begin(), m.copies().end());
        }
        return all;
    }
    void acknowledge(TimePoint now, const wire::Copy& copy) {
        wire::Message m;
        wire::Copied& c = *m.add_copied();
        c.set_view(copy.view()), c.set_from(copy.to()), c.set_to(copy.from()), c.set_stream(copy.stream());
        c.set_upto(copy.number() + std::uint64_t(copy.steps_size()) - 1);
        holder.handle(now, ShardHolder::MessageReceived{0, m.SerializeAsString()}, out);
    }
    wire::Answer ask(TimePoint now, std::uint64_t view, std::optional<std::string> payload = {}) {
        wire::Message m;
        wire::Ask& a = *m.add_asks();
        a.set_id(5), a.set_view(view);
        a.mutable_record()->set_kind(1), a.mutable_record()->set_key("k"), a.mutable_record()->set_life(1000);
        if (payload) a.set_writes(true), a.mutable_record()->set_payload(*payload);
        holder.handle(now, ShardHolder::MessageReceived{77, m.SerializeAsString()}, out);
        wire::Message answer;
        for (const ShardHolder::Action& action : out)
            if (auto* one = std::get_if<ShardHolder::SendResponse>(&action))
                answer.ParseFromString(one->body);
        return answer.answers_size() > 0 ? answer.answers(0) : wire::Answer{};
    }
};
ShardAssignment entry(std::uint64_t view, SessionId first, SessionId second = 0, SessionId filling = 0,
                      std::uint64_t since = 0) {
    ShardAssignment e;
    e.view = view, e.origin = 1, e.primary = first, e.backup = second, e.catching_up = filling;
    (second ? e.backup_since : e.catching_up_since) = since;
    return e;
}

TEST(ShardsHolder, StopsServingAtSessionExpiryBeforeHandlingTheEvent) {
    Rig rig;
    EXPECT_EQ(Error(rig.ask(at(0), 1).error()), Error::SessionExpired);
    rig.news(at(1000), entry(1, 1), 1);
    EXPECT_EQ(rig.ask(at(1001), 1).error(), 0u);
    EXPECT_EQ(rig.ask(at(1000 + 2919), 1).error(), 0u);
    rig.out.clear();
    EXPECT_EQ(Error(rig.ask(at(1000 + 2920), 1).error()), Error::SessionExpired);
    rig.holder.handle(at(5000), ShardHolder::SessionExpired{}, rig.out);
    rig.out.clear();
    rig.news(at(5000), entry(2, 1), 2, 1);
    EXPECT_EQ(rig.holder.session(), 1u);
}

TEST(ShardsHolder, RejectsOlderViewsAndQueriesTheMapForNewer) {
    Rig rig;
    rig.news(at(0), entry(7, 1), 7);
    wire::Answer older = rig.ask(at(1), 6);
    EXPECT_EQ(Error(older.error()), Error::OlderView);
    EXPECT_EQ(older.entry().first(), 1u);
    rig.out.clear();
    EXPECT_EQ(Error(rig.ask(at(1), 8).error()), Error::NewerView);
    EXPECT_EQ(rig.took<ShardHolder::QueryMap>().size(), 1u);
    rig.news(at(2), entry(9, 2, 1), 9);
    EXPECT_EQ(Error(rig.ask(at(3), 9).error()), Error::NotPrimary);
    rig.out.clear();
    // A message of an earlier primary is rejected.
    wire::Message m;
    wire::Copy& c = *m.add_copies();
    c.set_view(8), c.set_from(3), c.set_to(1), c.set_stream(1), c.set_number(1);
    c.add_steps();
    rig.holder.handle(at(4), ShardHolder::MessageReceived{0, m.SerializeAsString()}, rig.out);
    auto told = rig.took<ShardHolder::SendMessage>();
    ASSERT_EQ(told.size(), 1u);
    wire::Message back;
    back.ParseFromString(told[0].body);
    EXPECT_TRUE(back.copied(0).older());
    EXPECT_EQ(back.copied(0).view(), 9u);
}

TEST(ShardsHolder, RespondsToAWriteOnceTheBackupHasIt) {
    Rig rig;
    rig.news(at(0), entry(3, 1, 2, 0, 3), 3);
    auto begun = rig.copies();
    ASSERT_EQ(begun.size(), 1u);
    EXPECT_TRUE(begun[0].keeps());  // a backup without a stream was primary before
    rig.acknowledge(at(1), begun[0]);
    EXPECT_EQ(rig.ask(at(2), 3, "v").id(), 0u);
    auto copy = rig.copies();
    ASSERT_EQ(copy.size(), 1u);
    EXPECT_EQ(rig.ask(at(3), 3).id(), 0u);  // nor is it read before
    rig.out.clear();
    // Lost: all of it is sent again.
    rig.holder.handle(at(300), ShardHolder::TimerFired{}, rig.out);
    auto again = rig.copies();
    ASSERT_EQ(again.size(), 1u);
    EXPECT_EQ(again[0].number(), copy[0].number());
    rig.acknowledge(at(301), again[0]);
    auto answered = rig.took<ShardHolder::SendResponse>();
    ASSERT_EQ(answered.size(), 1u);
    wire::Message both;
    both.ParseFromString(answered[0].body);
    ASSERT_EQ(both.answers_size(), 2);
    EXPECT_EQ(both.answers(1).record().payload(), "v");
}

// The catching-up holder was removed and assigned again, and the primary missed the view between.
TEST(ShardsHolder, RestartsTheStreamOfAReassignedHolder) {
    Rig rig;
    rig.news(at(0), entry(3, 1, 0, 2, 3), 3);
    auto copy = rig.copies();
    rig.acknowledge(at(1), copy[0]);
    for (auto more = rig.copies(); !more.empty(); more = rig.copies()) rig.acknowledge(at(2), more.back());
    rig.news(at(600), entry(5, 1, 0, 2, 5), 5);
    EXPECT_TRUE(rig.took<ShardHolder::SubmitCommand>().empty());
    rig.holder.handle(at(900), ShardHolder::TimerFired{}, rig.out);
    copy = rig.copies();
    ASSERT_EQ(copy.size(), 1u);
    EXPECT_EQ(copy[0].number(), 1u);
    EXPECT_EQ(copy[0].steps(0).what(), wire::Step::BEGIN);
    EXPECT_GT(copy[0].stream(), 1u);
}

TEST(ShardsHolder, LimitsWaitingWrites) {
    Rig rig;
    rig.news(at(0), entry(3, 1, 2, 0, 3), 3);
    std::set<std::uint32_t> errors;
    for (std::size_t i = 0; i < 3000; ++i) {
        errors.insert(rig.ask(at(1), 3, "v").error());
        rig.out.clear();
    }
    EXPECT_TRUE(errors.contains(std::uint32_t(Error::Busy)));
    EXPECT_EQ(rig.holder.counts().rejected, 3000u - 1 - ShardHolder::Settings{}.max_waiting_writes);
}

TEST(ShardsHolder, SurvivesMalformedMessages) {
    Rig rig;
    rig.news(at(0), entry(3, 1, 2, 0, 3), 3);
    wire::Message m;
    for (int i = 0; i < 3; ++i) m.add_asks()->mutable_record()->set_key("k");
    wire::Copy& c = *m.add_copies();
    c.set_view(4), c.set_from(2), c.set_to(1), c.set_stream(9), c.set_number(1);
    c.add_steps(), c.add_steps()->mutable_record()->set_life(-1);
    m.add_copied()->set_shard(99);
    std::string good = m.SerializeAsString();
    boost::random::taus88 random(99);
    for (int i = 0; i < 20'000; ++i) {
        std::string bad = good.substr(0, random() % (good.size() + 1));
        for (unsigned n = random() % 4; n > 0 && !bad.empty(); --n)
            bad[random() % bad.size()] = char(random());
        rig.holder.handle(at(1), ShardHolder::MessageReceived{1, bad}, rig.out);
        ShardClient::Actions actions;
        rig.client.handle(at(1), ShardClient::MessageReceived{bad}, actions);
        rig.client.handle(at(1), ShardClient::MapReceived{bad}, actions);
        rig.holder.handle(at(1), ShardHolder::SessionRenewed{1, at(3000), bad}, rig.out);
        rig.out.clear();
    }
    EXPECT_GT(rig.holder.counts().malformed, 0u);
    EXPECT_GT(rig.client.counts().malformed, 0u);
    EXPECT_EQ(rig.table.records(0), 0u);
}

// ---- Client

struct Asker {
    ShardClient client{Rig::client_settings()};
    ShardClient::Actions out;
    std::vector<wire::Ask> sent() {
        std::vector<wire::Ask> all;
        for (const ShardClient::Action& a : out)
            if (auto* tell = std::get_if<ShardClient::SendMessage>(&a)) {
                wire::Message m;
                m.ParseFromString(tell->body);
                all.insert(all.end(), m.asks().begin(), m.asks().end());
            }
        return all;
    }
    std::vector<ShardClient::Completed> done() {
        std::vector<ShardClient::Completed> all;
        for (const ShardClient::Action& a : out)
            if (auto* d = std::get_if<ShardClient::Completed>(&a)) all.push_back(*d);
        out.clear();
        return all;
    }
    void ask(std::uint64_t id, bool writes, std::optional<std::uint64_t> expect = {},
             bool never_erased = false) {
        ShardClient::Request a;
        a.id = id, a.writes = writes, a.deadline = at(2000), a.never_erased = never_erased;
        a.write.record.kind = 1, a.write.record.key = "k", a.write.record.lifetime = Duration(1000),
        a.write.expected_version = expect;
        client.handle(at(0), a, out);
        client.handle(at(1), ShardClient::TimerFired{}, out);
    }
    void answer(TimePoint now, std::uint64_t id, std::optional<Error> error, std::uint64_t request = 0) {
        wire::Message m;
        wire::Answer& a = *m.add_answers();
        a.set_id(id), a.set_version(8);
        if (error) a.set_error(std::uint32_t(*error));
        if (request)
            a.mutable_record()->set_request(request), a.mutable_record()->set_key("k"),
                a.mutable_record()->set_version(8);
        client.handle(now, ShardClient::MessageReceived{m.SerializeAsString()}, out);
    }
    Asker() {
        std::string map = map_of(entry(3, 1), 3);
        client.handle(at(0), ShardClient::MapReceived{map}, out);
    }
};

TEST(ShardsClient, NeverRetriesAWriteBlindly) {
    Asker a;
    a.ask(1, true);
    a.ask(2, true, 0);
    ASSERT_EQ(a.sent().size(), 2u);
    a.out.clear();
    for (double t = 2; t < 2000; t += 10) a.client.handle(at(t), ShardClient::TimerFired{}, a.out);
    EXPECT_TRUE(a.sent().empty());
    a.client.handle(at(2000), ShardClient::TimerFired{}, a.out);
    auto done = a.done();
    ASSERT_EQ(done.size(), 2u);
    EXPECT_EQ(done[0].error, Error::Unknown);
    EXPECT_EQ(done[1].error, Error::Unknown);
    // A request that was never sent isn't Unknown.
    Asker none;
    std::string nobody = map_of(entry(4, 0), 4);
    none.client.handle(at(0), ShardClient::MapReceived{nobody}, none.out);
    none.ask(1, true);
    none.client.handle(at(2000), ShardClient::TimerFired{}, none.out);
    done = none.done();
    ASSERT_EQ(done.size(), 1u);
    EXPECT_EQ(done[0].error, Error::Unavailable);
}

TEST(ShardsClient, RecognizesItsOwnEarlierWrite) {
    Asker a;
    a.ask(1, true, 7);
    a.ask(2, true, 0, true);
    auto first = a.sent();
    a.out.clear();
    std::vector<ShardClient::Completed> done;
    for (double t = 2; t < 900 && done.size() < 2; t += 10) {
        a.client.handle(at(t), ShardClient::TimerFired{}, a.out);
        auto again = a.sent();
        for (ShardClient::Completed& d : a.done()) done.push_back(std::move(d));
        for (const wire::Ask& ask : again) {
            std::size_t open = a.client.open();
            if (ask.expect() == 7) a.answer(at(t), first[0].id(), {});  // to an attempt that timed out
            EXPECT_EQ(a.client.open(), open);
            a.answer(at(t), ask.id(), Error::Changed, ask.expect() == 7 ? ask.record().request() : 4711);
        }
        for (ShardClient::Completed& d : a.done()) done.push_back(std::move(d));
    }
    ASSERT_EQ(done.size(), 2u);
    if (done[0].id != 1) std::swap(done[0], done[1]);
    EXPECT_FALSE(done[0].error);
    EXPECT_EQ(done[0].version, 8u);
    EXPECT_EQ(done[1].error, Error::Unknown);  // another client's, perhaps written after its own
}

TEST(ShardsClient, RetriesRejectedRequestsAndBatchesPerHolder) {
    Asker a;
    for (std::uint64_t id = 1; id <= 200; ++id) {
        ShardClient::Request ask;
        ask.id = id, ask.deadline = at(2000), ask.write.record.kind = 1,
        ask.write.record.key = std::to_string(id);
        a.client.handle(at(0), ask, a.out);
    }
    a.client.handle(at(1), ShardClient::TimerFired{}, a.out);
    auto sent = a.sent();
    EXPECT_EQ(sent.size(), 200u);
    EXPECT_EQ(a.client.counts().messages, 4u);
    a.out.clear();
    a.answer(at(2), sent[0].id(), Error::OlderView);
    a.answer(at(2), sent[1].id(), Error::PartnerFull);
    a.answer(at(2), sent[2].id(), Error::BothHoldersLost);
    auto done = a.done();
    ASSERT_EQ(done.size(), 2u);
    EXPECT_EQ(done[0].error, Error::PartnerFull);
    EXPECT_EQ(done[1].error, Error::BothHoldersLost);
    for (double t = 3; t < 100; ++t) a.client.handle(at(t), ShardClient::TimerFired{}, a.out);
    EXPECT_EQ(a.sent().size(), 1u);
    EXPECT_EQ(a.client.open(), 198u);
}

// ---- Session records

ShardClient::Completed done_of(const Outcome& outcome) {
    ShardClient::Completed done;
    done.error = outcome.error, done.record = outcome.current, done.version = outcome.version;
    return done;
}

TEST(ShardsSessionRecords, BindingKeepsItsCellAndAnOrderIsSentOnce) {
    using V = OrderClaim::Status;
    Table table(TableSettings{});
    auto lives = [](SessionId who) { return who != 2; };
    SessionBinding basket{"dealer", "anna", 4, 17, 0};
    Duration life(60'000);
    EXPECT_FALSE(table.write(bind_session(basket, nullptr, life), at(0)).error);
    // Another node picked another cell, and receives the binding that exists.
    SessionBinding other = basket;
    other.cell = 9;
    Outcome late = table.write(bind_session(other, nullptr, life), at(0));
    EXPECT_EQ(late.error, Error::Changed);
    EXPECT_EQ(decode_session_binding(*late.current), basket);
    other.since = 1;
    EXPECT_FALSE(table.write(bind_session(other, &*late.current, life), at(0)).error);
    Record found;
    Write find = read_session_binding("dealer", "anna");
    ASSERT_TRUE(table.find(find.record.kind, find.record.key, at(0), found));
    EXPECT_EQ(decode_session_binding(found), other);

    auto try_it = [&](SessionId node, const Record* over = nullptr) {
        return claim_result(
            done_of(table.write(
                begin_order("dealer", "anna", "o1", {Order::State::Begun, node, 17, 0}, life, over), at(0))),
            lives);
    };
    OrderClaim go = try_it(2);
    EXPECT_EQ(go.status, V::Granted);
    EXPECT_EQ(try_it(3).status, V::Unknown);  // node 2 died while it was in progress
    EXPECT_EQ(try_it(2).status, V::Unknown);
    // It was never executed: then one more node may send it, and only one.
    auto ended = table.write(
        finish_order("dealer", "anna", "o1", {Order::State::NeverRan, 2, 17, 0}, life, go.version), at(0));
    EXPECT_FALSE(ended.error);
    EXPECT_EQ(try_it(3).status, V::NeverExecuted);
    ASSERT_TRUE(table.find(kOrderKind, order_key("dealer", "anna", "o1"), at(0), found));
    OrderClaim again = try_it(3, &found);
    EXPECT_EQ(again.status, V::Granted);
    EXPECT_EQ(try_it(4, &found).status, V::InProgress);
    EXPECT_FALSE(table
                     .write(finish_order("dealer", "anna", "o1", {Order::State::Done, 3, 17, 200}, life,
                                         again.version),
                            at(0))
                     .error);
    OrderClaim done = try_it(4);
    EXPECT_EQ(done.status, V::Done);
    EXPECT_EQ(done.order.status, 200u);
    // Without a decision of a holder the order isn't sent.
    for (Error e : {Error::Unavailable, Error::Unknown, Error::PartnerFull}) {
        ShardClient::Completed none;
        none.error = e;
        EXPECT_EQ(claim_result(none, lives).status, V::Undecided);
    }
    ShardClient::Completed lost;
    lost.error = Error::BothHoldersLost;
    EXPECT_EQ(claim_result(lost, lives).status, V::Unknown);
    EXPECT_NE(session_binding_key("a", "bc"), session_binding_key("ab", "c"));
    found.payload = "\xff";
    EXPECT_FALSE(decode_order(found));
    EXPECT_FALSE(decode_session_binding(found));
}

}  // namespace
}  // namespace ochrehub::shards
