// The state that keepers hold alike, one keeper's core over an agreement of its own, and a process's session,
// by hand. What they promise together when things break is judged in lab/keeper.
#include <coordinator.pb.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <cerrno>
#include <deque>
#include <filesystem>
#include <future>
#include <map>
#include <optional>
#include <set>

#include "fleet/coordinator/replica.h"
#include "fleet/coordinator/session.h"
#include "fleet/coordinator/storing.h"
#include "fleet/store/posix_files.h"

namespace ochrehub::coordinator {
namespace {

TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}

/// Adds what it is told to a sum; `arm N` arms a time of N ms under a new revision.
struct Adder : Machine {
    std::int64_t sum = 0;
    std::uint64_t revision = 0, length = 0;
    std::set<SessionId> live;
    std::string_view kind() const override { return "adder"; }
    std::uint32_t schema() const override { return 3; }
    std::string apply(const Command& c) override {
        if (c.body.starts_with("arm "))
            ++revision, length = std::stoull(std::string(c.body.substr(4)));
        else if (c.body.starts_with("over "))
            length = std::string(c.body.substr(5)) == std::to_string(revision) ? 0 : length;
        else
            sum += std::stoll(std::string(c.body));
        return std::to_string(sum);
    }
    std::string read(std::string_view) const override { return std::to_string(sum); }
    void session_began(SessionId id, std::string_view, std::string_view) override { live.insert(id); }
    void session_over(SessionId id) override { live.erase(id); }
    std::string news(SessionId id) const override {
        return live.contains(id) ? "sum " + std::to_string(sum) : "";
    }
    void armed(std::vector<Armed>& out) const override {
        if (length > 0) out.push_back({7, revision, Duration{double(length)}});
    }
    std::string over(std::uint64_t, std::uint64_t r) const override { return "over " + std::to_string(r); }
    std::string snapshot() const override { return std::to_string(sum); }
    bool restore(std::uint32_t schema, std::string_view bytes) override {
        if (schema != 3) return false;
        sum = std::stoll(std::string(bytes));
        return true;
    }
};
Machines adders() {
    Machines m;
    m.push_back(std::make_unique<Adder>());
    return m;
}

std::string open(std::uint64_t instance, std::uint64_t attempt, const std::string& name = "a") {
    wire::Entry e;
    e.mutable_open()->set_name(name), e.mutable_open()->set_instance(instance),
        e.mutable_open()->set_attempt(attempt);
    e.mutable_open()->set_lease_ms(3000);
    return e.SerializeAsString();
}
std::string add(SessionId session, std::uint64_t number, const std::string& body, std::uint64_t settled = 0,
                const std::string& kind = "adder") {
    wire::Entry e;
    wire::Do& d = *e.mutable_do_();
    d.set_session(session), d.set_number(number), d.set_settled(settled), d.set_kind(kind), d.set_body(body);
    return e.SerializeAsString();
}

TEST(KeeperState, CarriesEachCommandOutOnceAndAnswersItAsTheFirstTime) {
    State state({}, adders);
    SessionId id = state.apply(open(9, 1)).session;
    ASSERT_EQ(id, 1u);
    EXPECT_EQ(state.apply(add(id, 1, "5")).result, "5");
    EXPECT_EQ(state.apply(add(id, 2, "5")).result, "10");
    Outcome again = state.apply(add(id, 1, "5"));
    EXPECT_EQ(again.result, "5");
    EXPECT_TRUE(again.again);
    EXPECT_EQ(state.apply(add(id, 4, "5")).error, Error::OutOfOrder);
    EXPECT_EQ(state.apply(add(id, 3, "1", 2)).result, "11");
    EXPECT_EQ(state.apply(add(id, 1, "5")).error, Error::Forgotten);
    EXPECT_EQ(state.apply(add(77, 1, "5")).error, Error::NoSession);
    EXPECT_EQ(state.machine("adder")->read(""), "11");
}

TEST(KeeperState, OpensTheSameAttemptOnceAndEndsWhatItsProcessHadBefore) {
    State state({}, adders);
    SessionId first = state.apply(open(9, 1)).session;
    EXPECT_EQ(state.apply(open(9, 1)).session, first);
    SessionId second = state.apply(open(9, 2)).session;
    EXPECT_GT(second, first);
    EXPECT_EQ(state.sessions(), 1u);
    EXPECT_EQ(state.apply(open(9, 1)).error, Error::Forgotten) << "one that was overtaken ends nothing";
    EXPECT_TRUE(state.session(second));
    SessionId other = state.apply(open(10, 1)).session;  // the same name, started again
    EXPECT_TRUE(state.session(second));
    wire::Entry over;
    over.mutable_session_over()->set_session(other);
    state.apply(over.SerializeAsString());
    EXPECT_FALSE(state.session(other));
    EXPECT_GT(state.apply(open(10, 2)).session, other) << "no number is given twice";
}

TEST(KeeperState, HoldsNoMoreThanItsBoundsSay) {
    Bounds bounds;
    bounds.sessions = 2, bounds.window = 2;
    State state(bounds, adders);
    SessionId id = state.apply(open(1, 1)).session;
    state.apply(open(2, 1));
    EXPECT_EQ(state.apply(open(3, 1)).error, Error::TooMany);
    state.apply(add(id, 1, "1")), state.apply(add(id, 2, "1"));
    EXPECT_EQ(state.apply(add(id, 3, "1")).error, Error::Busy);
    EXPECT_EQ(state.apply(add(id, 3, "1", 1)).result, "3");
}

TEST(KeeperState, IsWholeBehindASnapshotAndTakesNoOther) {
    State state({}, adders);
    SessionId id = state.apply(open(9, 1)).session;
    state.apply(add(id, 1, "5"));
    State other({}, adders);
    ASSERT_TRUE(other.restore(state.snapshot()));
    EXPECT_EQ(other.snapshot(), state.snapshot());
    EXPECT_EQ(other.apply(add(id, 1, "5")).result, "5");
    EXPECT_EQ(other.apply(add(id, 2, "5")).result, "10");
    wire::State changed;
    ASSERT_TRUE(changed.ParseFromString(state.snapshot()));
    changed.mutable_machines(0)->set_schema(4);
    EXPECT_FALSE(other.restore(changed.SerializeAsString()));
    EXPECT_FALSE(other.restore("no snapshot"));
}

TEST(KeeperState, DoesNotPassOverWhatOnlyANewerReleaseKnows) {
    State state({}, adders);
    SessionId id = state.apply(open(9, 1)).session;
    EXPECT_TRUE(state.apply(add(id, 1, "5", 0, "shards")).fatal);
    EXPECT_TRUE(state.apply("\xff\xff").fatal);
    EXPECT_EQ(state.apply("\xff\xff").error, Error::Behind);
}

/// An agreement of one: all that is proposed is applied at once.
struct Alone {
    bool leads = true;
    std::uint64_t index = 0;
    std::deque<raft::Propose> held;  ///< while `holds`
    bool holds = false;
    std::vector<raft::SnapshotTaken> snapshots;
    std::optional<raft::Error> refuses;  ///< changes
    void operator()(TimePoint, const raft::Event& event, raft::Actions& actions) {
        if (std::holds_alternative<raft::TimerFired>(event) && index == 0 && leads)
            index = 1, actions.push_back(raft::RoleChanged{raft::Role::Leader, 1, 1}),
            actions.push_back(raft::MembershipChanged{{{1, true, "k1"}}});
        if (const auto* p = std::get_if<raft::Propose>(&event)) {
            if (holds)
                held.push_back(*p);
            else
                actions.push_back(raft::ApplyEntry{++index, 1, p->id, p->data});
        }
        if (const auto* r = std::get_if<raft::ReadIndex>(&event))
            actions.push_back(raft::ReadReady{r->id, index});
        if (const auto* s = std::get_if<raft::SnapshotTaken>(&event)) snapshots.push_back(*s);
        if (const auto* c = std::get_if<raft::ChangeMembership>(&event); c && refuses)
            actions.push_back(raft::Rejected{c->id, *refuses, 1});
    }
};

struct OneKeeper {
    Alone raft;
    Replica replica;
    explicit OneKeeper(ReplicaSettings set = settings())
        : replica(set, adders, [this](TimePoint t, const raft::Event& e, raft::Actions& a) { raft(t, e, a); },
                  {}) {
        go(at(0), Woken{});
    }
    static ReplicaSettings settings() {
        ReplicaSettings set;
        set.self = 1;
        return set;
    }
    ReplicaActions go(TimePoint now, const ReplicaEvent& event) {
        ReplicaActions out;
        replica.handle(now, event, out);
        return out;
    }
    wire::Answer ask(TimePoint now, const wire::Ask& ask) {
        for (const ReplicaAction& a : go(now, Asked{5, ask.SerializeAsString()}))
            if (const auto* answer = std::get_if<Answer>(&a)) {
                wire::Answer is;
                EXPECT_TRUE(is.ParseFromString(answer->body));
                return is;
            }
        return {};
    }
    SessionId opened(TimePoint now, std::uint64_t instance = 9) {
        wire::Ask open;
        open.mutable_open()->set_name("a"), open.mutable_open()->set_instance(instance),
            open.mutable_open()->set_lease_ms(3000);
        return ask(now, open).session();
    }
    Error renewed(TimePoint now, SessionId id) {
        wire::Ask renew;
        renew.mutable_renew()->set_session(id);
        return Error(ask(now, renew).error());
    }
    wire::Answer done(TimePoint now, SessionId id, std::uint64_t number, const std::string& body,
                      const std::string& kind = "adder") {
        wire::Ask what;
        what.mutable_do_()->set_session(id), what.mutable_do_()->set_number(number);
        what.mutable_do_()->set_kind(kind), what.mutable_do_()->set_body(body);
        return ask(now, what);
    }
};

TEST(Replica, EndsASessionItsLeaseAfterItsLastRenewal) {
    OneKeeper keeper;
    SessionId id = keeper.opened(at(100));
    EXPECT_EQ(keeper.renewed(at(2000), id), Error::None);
    keeper.go(at(4900), Woken{});
    EXPECT_TRUE(keeper.replica.state().session(id));
    keeper.go(at(5000), Woken{});
    EXPECT_FALSE(keeper.replica.state().session(id));
    EXPECT_EQ(keeper.renewed(at(5001), id), Error::NoSession);
}

TEST(Replica, RenewsNothingThatIsAboutToBeEnded) {
    OneKeeper keeper;
    SessionId id = keeper.opened(at(0));
    keeper.go(at(30), Woken{});
    keeper.raft.holds = true;
    keeper.go(at(3010), Woken{});
    ASSERT_EQ(keeper.raft.held.size(), 1u);
    EXPECT_TRUE(keeper.replica.state().session(id));
    EXPECT_EQ(keeper.renewed(at(3020), id), Error::NoSession);
    EXPECT_EQ(Error([&] {
                  wire::Ask again;
                  again.mutable_open()->set_name("a"), again.mutable_open()->set_instance(9),
                      again.mutable_open()->set_lease_ms(3000);
                  keeper.raft.holds = false;
                  return keeper.ask(at(3030), again).error();
              }()),
              Error::NoSession);
}

TEST(Replica, GivesEverythingItsWholeLengthAgainWhereItStoodStill) {
    OneKeeper keeper;
    SessionId id = keeper.opened(at(0));
    keeper.go(at(9000), Woken{});  // woken 6 s late
    EXPECT_TRUE(keeper.replica.state().session(id));
    EXPECT_EQ(keeper.renewed(at(9001), id), Error::None);
}

TEST(Replica, CountsWhatMachinesArmAndBeginsAnewWithEachRevision) {
    OneKeeper keeper;
    auto length = [&] { return static_cast<const Adder*>(keeper.replica.state().machine("adder"))->length; };
    SessionId id = keeper.opened(at(0));
    keeper.done(at(10), id, 1, "arm 500");
    keeper.go(at(30), Woken{});
    keeper.done(at(400), id, 2, "arm 500");
    keeper.go(at(420), Woken{});
    keeper.go(at(600), Woken{});
    EXPECT_EQ(length(), 500u);
    keeper.go(at(930), Woken{});
    EXPECT_EQ(length(), 0u);
}

TEST(Replica, RefusesWithItsTypes) {
    OneKeeper keeper;
    SessionId id = keeper.opened(at(0));
    EXPECT_EQ(Error(keeper.done(at(1), id, 1, "5", "nothing").error()), Error::UnknownKind);
    EXPECT_EQ(keeper.done(at(1), id, 2, "5").result(), "5") << "the number was taken";
    EXPECT_EQ(Error(keeper.done(at(1), id, 3, std::string(1 << 20, 'x')).error()), Error::TooLong);
    EXPECT_EQ(Error(keeper.done(at(1), 0, 0, "5", "nothing").error()), Error::UnknownKind);
    EXPECT_EQ(Error(keeper.done(at(1), 99, 1, "5").error()), Error::NoSession);
    EXPECT_EQ(Error(keeper.ask(at(1), {}).error()), Error::Malformed);
    wire::Ask change;
    change.mutable_change()->set_member(2);
    for (auto [theirs, ours] : {std::pair(raft::Error::UnknownMember, Error::UnknownMember),
                                std::pair(raft::Error::MembershipChanging, Error::Changing),
                                std::pair(raft::Error::LastVoter, Error::LastVoter),
                                std::pair(raft::Error::NotLeader, Error::NotLeader),
                                std::pair(raft::Error::LeadershipLost, Error::Uncertain),
                                std::pair(raft::Error::Busy, Error::Busy)}) {
        keeper.raft.refuses = theirs;
        EXPECT_EQ(Error(keeper.ask(at(1), change).error()), ours);
    }
    keeper.raft.refuses.reset();
    EXPECT_EQ(keeper.ask(at(1), change).members_size(), 1);
    ReplicaSettings few = OneKeeper::settings();
    few.asked = 0;
    OneKeeper busy(few);
    EXPECT_EQ(Error(busy.done(at(1), 0, 0, "5").error()), Error::Busy);
    EXPECT_EQ(Error([&] {
                  ReplicaActions out;
                  keeper.replica.handle(at(1), Asked{1, "\xff"}, out);
                  wire::Answer is;
                  is.ParseFromString(std::get<Answer>(out.at(0)).body);
                  return is.error();
              }()),
              Error::Malformed);
    Replica follower(OneKeeper::settings(), adders, [](TimePoint, const raft::Event&, raft::Actions&) {}, {});
    ReplicaActions out;
    wire::Ask renew;
    renew.mutable_renew()->set_session(id);
    follower.handle(at(1), Asked{1, renew.SerializeAsString()}, out);
    wire::Answer no;
    ASSERT_TRUE(no.ParseFromString(std::get<Answer>(out.at(0)).body));
    EXPECT_EQ(Error(no.error()), Error::NotLeader);
    for (int e = 0; e <= int(Error::Begun); ++e) EXPECT_TRUE(row(Error(e)).code.starts_with("keeper."));
}

TEST(Replica, TakesASnapshotAfterSoManyEntries) {
    ReplicaSettings set = OneKeeper::settings();
    set.snapshot_entries = 5;
    OneKeeper keeper(set);
    SessionId id = keeper.opened(at(0));
    for (std::uint64_t i = 1; i <= 9; ++i) keeper.done(at(1), id, i, "1");
    ASSERT_EQ(keeper.raft.snapshots.size(), 2u);
    State state({}, adders);
    ASSERT_TRUE(state.restore(keeper.raft.snapshots[1].state));
    EXPECT_TRUE(state.session(id));
}

// ---- A keeper's folder
struct Folder {
    std::string path =
        (std::filesystem::temp_directory_path() / ("ochrehub_keeper_test_" + std::to_string(getpid())))
            .string();
    ~Folder() { std::filesystem::remove_all(path); }
    std::unique_ptr<Storing> open(Begin begin) const {
        return std::make_unique<Storing>(
            std::make_unique<store::PosixFiles>(path),
            Storing::Settings{{folder_cluster("test")}, begin, {{1, true, "k1"}, {2, true, "k2"}}});
    }
    Error refused(Begin begin) const {
        try {
            open(begin);
        } catch (const FolderError& error) {
            EXPECT_TRUE(std::string_view(error.what()).starts_with(row(error.error).code));
            return error.error;
        }
        return Error::None;
    }
};

TEST(Storing, TakesNoEmptyFolderForANewOneAndNoneThatHasBegun) {
    Folder folder;
    EXPECT_EQ(folder.refused(Begin::Again), Error::Untrusted);
    EXPECT_EQ(folder.refused(Begin::New), Error::None);
    EXPECT_EQ(folder.refused(Begin::New), Error::Begun);
    EXPECT_EQ(folder.open(Begin::Again)->disk().initial_members.size(), 2u);
    std::filesystem::remove(folder.path + "/first");
    EXPECT_EQ(folder.refused(Begin::Again), Error::Untrusted) << "a part of it is missing";
    EXPECT_EQ(folder.refused(Begin::New), Error::Untrusted);
}

TEST(Storing, KeepsTheDoubtOfALostFolderOverRestarts) {
    Folder folder;
    EXPECT_FALSE(folder.open(Begin::Lost)->disk().trusted);
    EXPECT_FALSE(folder.open(Begin::Again)->disk().trusted);
    Folder joins;
    std::filesystem::remove_all(joins.path);
    EXPECT_TRUE(joins.open(Begin::Join)->disk().initial_members.empty());
    EXPECT_TRUE(joins.open(Begin::Again)->disk().initial_members.empty()) << "whatever its file names by now";
    for (const auto& entry : std::filesystem::directory_iterator(joins.path))
        if (entry.path().filename().string().starts_with("log-")) std::filesystem::remove(entry.path());
    EXPECT_FALSE(joins.open(Begin::Again)->disk().trusted) << "begun, and nothing is left of it";
}

TEST(Storing, FindsAgainWhatItSaidWasWritten) {
    Folder folder;
    raft::Write write;
    write.number = 1, write.hard_state = raft::HardState{3, 2};
    write.append = {{3, raft::Entry::Kind::NoOp, ""},
                    {3, raft::Entry::Kind::Data, "a"},
                    {3, raft::Entry::Kind::Data, "b"}};
    raft::Write more;
    more.number = 2, more.truncate_from = 3, more.append = {{4, raft::Entry::Kind::Configuration, "c"}};
    more.snapshot = raft::Snapshot{2, 3, {{1, true, "k1"}, {4, false, "k4"}}, "state"};
    {
        auto storing = folder.open(Begin::New);
        std::promise<void> done;
        storing->start(
            [&](std::uint64_t number) {
                if (number == 2) done.set_value();
            },
            [](int) { ADD_FAILURE(); });
        storing->write(write), storing->write(more);
        done.get_future().wait();
    }
    raft::PersistentState disk = folder.open(Begin::Again)->disk();
    EXPECT_EQ(disk.hard_state, (raft::HardState{3, 2}));
    EXPECT_EQ(disk.snapshot, more.snapshot);
    EXPECT_EQ(disk.first_index, 3u);
    ASSERT_EQ(disk.entries.size(), 1u);
    EXPECT_EQ(disk.entries[0], more.append[0]);
    EXPECT_TRUE(disk.trusted);
}

TEST(Storing, TellsOnceThatItsDiskHasFailedAndWritesNothingMore) {
    struct Full : store::PosixFiles {
        using PosixFiles::PosixFiles;
        bool full = false;
        store::Error append(const std::string& name, std::string_view bytes) override {
            return full ? ENOSPC : PosixFiles::append(name, bytes);
        }
    };
    Folder folder;
    auto files = std::make_unique<Full>(folder.path);
    Full* disk = files.get();
    Storing storing(std::move(files), {{1}, Begin::New, {}});
    disk->full = true;
    std::promise<int> why;
    storing.start([](std::uint64_t) { ADD_FAILURE(); }, [&](int error) { why.set_value(error); });
    raft::Write write;
    write.number = 1, write.hard_state = raft::HardState{1, 1};
    storing.write(write);
    EXPECT_EQ(why.get_future().get(), ENOSPC);  // what KeeperProcess tells as Error::Broken
    storing.write(write);
}

// ---- A process's side
struct OneSession {
    Session session;
    std::vector<wire::Ask> said;
    std::vector<std::string> to;
    std::vector<SessionAction> told;
    explicit OneSession(std::vector<std::string> keepers = {"k1"}) : session(settings(std::move(keepers))) {}
    static SessionSettings settings(std::vector<std::string> keepers) {
        SessionSettings set;
        set.keepers = std::move(keepers), set.name = "a", set.instance = 4;
        return set;
    }
    void go(TimePoint now, const SessionEvent& event = SessionWoken{}) {
        SessionActions out;
        session.handle(now, event, out);
        for (SessionAction& a : out)
            if (const auto* say = std::get_if<Say>(&a)) {
                wire::Ask ask;
                EXPECT_TRUE(ask.ParseFromString(say->body));
                said.push_back(ask), to.push_back(say->to);
            } else if (!std::holds_alternative<SessionWakeAt>(a)) {
                told.push_back(std::move(a));
            }
    }
    void answer(TimePoint now, const wire::Ask& ask, wire::Answer is = {}) {
        is.set_call(ask.call());
        if (ask.has_open() && is.error() == 0) is.set_session(11);
        go(now, Heard{session.leader(), is.SerializeAsString()});
    }
    template <class T>
    std::vector<T> of() const {
        std::vector<T> out;
        for (const SessionAction& a : told)
            if (const auto* one = std::get_if<T>(&a)) out.push_back(*one);
        return out;
    }
};

TEST(Session, CountsItsLeaseFromBeforeItAskedLessTheMargin) {
    OneSession one;
    one.go(at(0));
    ASSERT_EQ(one.said.size(), 1u);
    one.answer(at(300), one.said[0]);
    ASSERT_EQ(one.of<Held>().size(), 1u);
    EXPECT_EQ(one.of<Held>()[0].until, at(3000 * 0.99 - 50));
    one.go(at(1000));
    ASSERT_EQ(one.said.size(), 2u);
    EXPECT_TRUE(one.said[1].has_renew());
    one.answer(at(1200), one.said[1]);
    EXPECT_EQ(one.of<Held>().back().until, at(1000 + 3000 * 0.99 - 50));
}

TEST(Session, LooksAtTheClockFirstBehindAPause) {
    OneSession one;
    one.go(at(0));
    one.answer(at(1), one.said[0]);
    one.go(at(1000));
    one.go(at(1001), Submit{1, "adder", "5"});
    one.answer(at(30'000), one.said[1]);  // the renewal's answer had waited
    ASSERT_EQ(one.of<Lost>().size(), 1u);
    ASSERT_EQ(one.of<Answered>().size(), 1u);
    EXPECT_EQ(one.of<Answered>()[0].error, Error::Uncertain);
    EXPECT_EQ(one.of<Held>().size(), 1u);
    EXPECT_TRUE(one.said.back().has_open());
    EXPECT_EQ(one.said.back().open().attempt(), 2u);
}

TEST(Session, SendsTheSameNumberAgainBehindALostConnection) {
    OneSession one({"k1", "k2"});
    one.go(at(0));
    one.answer(at(1), one.said[0]);
    one.go(at(2), Submit{1, "adder", "5"});
    one.go(at(3), Submit{2, "adder", "6"});
    ASSERT_EQ(one.said.size(), 3u);
    std::string first = one.session.leader();
    one.go(at(4), Cut{first});
    EXPECT_NE(one.session.leader(), first);
    one.go(at(60));
    ASSERT_TRUE(one.said.back().has_renew()) << "whether the next one leads is asked by what does no harm";
    one.answer(at(61), one.said.back());
    ASSERT_EQ(one.said.size(), 6u);
    EXPECT_EQ(one.said[4].do_().number(), 1u);
    EXPECT_EQ(one.said[5].do_().number(), 2u);
    EXPECT_EQ(one.said[4].call(), one.said[1].call());
    wire::Answer result;
    result.set_result("5");
    one.answer(at(70), one.said[4], result);
    one.go(at(71), Submit{3, "adder", "7"});
    EXPECT_EQ(one.said.back().do_().settled(), 1u);
}

TEST(Session, FollowsAHintButNotToOneThatWasSilent) {
    OneSession one({"k1", "k2", "k3"});
    one.go(at(0));
    std::string silent = one.session.leader();
    one.go(at(400));  // no answer
    one.go(at(460));
    std::string next = one.session.leader();
    EXPECT_NE(next, silent);
    wire::Answer no;
    no.set_error(std::uint32_t(Error::NotLeader)), no.set_leader_address(silent);
    one.answer(at(470), one.said.back(), no);
    EXPECT_NE(one.session.leader(), silent);
    one.go(at(800));
    no.set_leader_address("k9");  // one that is new among them
    one.answer(at(810), one.said.back(), no);
    EXPECT_EQ(one.session.leader(), "k9");
    EXPECT_EQ(one.to.back(), "k9");
}

TEST(Session, TellsWhatItDoesNotTake) {
    OneSession one;
    one.go(at(0));
    one.go(at(1), Submit{1, "adder", "5"});
    EXPECT_EQ(one.of<Answered>().back().error, Error::NoSession);
    one.go(at(1), Question{2, "adder", ""});
    one.go(at(5001));
    EXPECT_EQ(one.of<Answered>().back().error, Error::Unreachable);
    one.go(at(5400));
    one.answer(at(5410), one.said.back());
    one.go(at(5411), Submit{3, "adder", std::string(1 << 20, 'x')});
    EXPECT_EQ(one.of<Answered>().back().error, Error::TooLong);
    one.go(at(5420), CloseSession{});
    EXPECT_EQ(one.of<Lost>().size(), 1u);
    EXPECT_TRUE(one.said.back().has_close());
    std::size_t said = one.said.size();
    one.go(at(9000));
    EXPECT_EQ(one.said.size(), said);
}

}  // namespace
}  // namespace ochrehub::coordinator
