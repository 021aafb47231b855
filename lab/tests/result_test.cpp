// Figures of hand-made record streams, reckoned by hand; the JSON form; expectations.
#include "lab/result/result.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>

#include "lab/result/latency_buckets.h"

namespace ochrehub::lab {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

const TimePoint kStart{Duration(5000)};
TimePoint at(double ms) {
    return kStart + Duration(ms);
}

ClassFigures make_class(const char* name, double aim, double worth, double late_worth) {
    ClassFigures cls;
    cls.name = name;
    cls.work = Duration(10);
    cls.aim = Duration(aim);
    cls.worth = worth;
    cls.late_worth = late_worth;
    return cls;
}

/// 20 s counted from 1 s on, two classes, two tenants, two nodes, two servers in different zones.
Day make_day() {
    Day day;
    day.scenario = "by-hand";
    day.seed = 7;
    day.classes = {make_class("look", 100, 4, 0.5), make_class("order", 200, 10, 0.25)};
    day.tenants.resize(2);
    day.tenants[0].name = "big";
    day.tenants[1].name = "small";
    day.nodes.resize(2);
    for (int i = 0; i < 2; ++i) {
        ServerFigures server;
        server.id = "s" + std::to_string(i);
        server.zone = i;
        server.cores = 2;
        day.servers.push_back(server);
    }
    return day;
}

class Book {
public:
    explicit Book(Day day) : day_(std::move(day)), tally_(day_, kStart) {}

    void note(const Record& record) { tally_.note(record); }
    void begin(double ms, CallId call, int cls = 0, int tenant = 0, bool over = false) {
        note(CallBegan{at(ms), call, cls, tenant, 0, over});
    }
    void sent(double ms, TryId id, CallId call, NodeNo node = 0) {
        TrySent sent;
        sent.at = at(ms);
        sent.id = id;
        sent.call = call;
        sent.node = node;
        note(sent);
    }
    void arrived(double ms, AttemptNo attempt, TryId id, ServerNo server = 0, NodeNo node = 0) {
        note(AttemptArrived{at(ms), at(ms), attempt, id, server, node, Duration(-1)});
    }
    void attempt_ended(double ms, AttemptNo attempt, Ended how = Ended::Served, bool ran = true) {
        note(lab::AttemptEnded{at(ms), attempt, how, ran});
    }
    void end(double ms, CallId call, Heard heard = Heard::Served) { note(CallEnded{at(ms), call, heard}); }
    /// A call that is served after `latency`.
    void call(double ms, CallId id, double latency, int cls = 0, int tenant = 0, bool over = false) {
        begin(ms, id, cls, tenant, over);
        end(ms + latency, id);
    }
    Result result() const { return tally_.result("simulate"); }

private:
    Day day_;
    Tally tally_;
};

TEST(Tally, WorthInTimeLateOverShareAndNotAtAll) {
    Book book(make_day());
    book.call(900, 0, 50);                // before counting: asks for nothing
    book.call(2000, 1, 100);              // just in time: 4 of 4
    book.call(2100, 2, 100.5);            // late: 2 of 4
    book.call(2200, 3, 150, 1, 1);        // 10 of 10
    book.call(2300, 4, 201, 1, 1, true);  // over share and late: 0.125 of 0.5
    book.begin(2400, 5, 1, 1);            // failed: 0 of 10
    book.end(2700, 5, Heard::Failed);
    const Result result = book.result();
    EXPECT_DOUBLE_EQ(result.worth.asked, 4 + 4 + 10 + 0.5 + 10);
    EXPECT_DOUBLE_EQ(result.worth.got, 4 + 2 + 10 + 0.125);
    EXPECT_DOUBLE_EQ(result.worst_class, 10.125 / 20.5);
    // Over-share calls count for their class and not against their tenant.
    EXPECT_DOUBLE_EQ(result.worst_tenant, 10.0 / 20);
    EXPECT_DOUBLE_EQ(result.worst_10s, 16.125 / 28.5);
    EXPECT_DOUBLE_EQ(result.service,
                     0.6 * 16.125 / 28.5 + 0.1 * 16.125 / 28.5 + 0.05 * 10.125 / 20.5 + 0.25 * 0.5);
    EXPECT_EQ(result.calls, 6u);
    EXPECT_EQ(result.served, 5u);
    EXPECT_EQ(result.in_time, 3u);
    EXPECT_EQ(result.failed, 1u);
    EXPECT_EQ(result.tenants[1].calls, 3u);
    EXPECT_EQ(result.classes[1].served_late, 1u);
    EXPECT_EQ(result.classes[0].latency.total, 3u);
    EXPECT_DOUBLE_EQ(result.classes[0].latency.max_ms, 100.5);
}

TEST(Tally, WorstWindowIsTheWorstOfAllWholeSeconds) {
    Day day = make_day();
    day.length = Duration(30000);
    Book book(day);
    // One call a second; those of seconds 8 to 19 fail but for the one of second 12: a window over 10 of
    // these.
    for (CallId i = 1; i < 30; ++i) {
        const bool fails = i >= 8 && i < 20 && i != 12;
        book.begin(1000.0 * static_cast<double>(i) + 1, i);
        book.end(1000.0 * static_cast<double>(i) + 51, i, fails ? Heard::Failed : Heard::Served);
    }
    const Result result = book.result();
    EXPECT_DOUBLE_EQ(result.worst_10s, 0.1);
    EXPECT_DOUBLE_EQ(result.worth.share(), 18.0 / 29);
    EXPECT_EQ(result.seconds.size(), 30u);
    EXPECT_EQ(result.seconds[9].failed, 1u);
}

TEST(Tally, FloorsShowAClassThatIsStarvedAndWhen) {
    Day day = make_day();
    day.length = Duration(31000);  // thirds of 10 s from 1 s on
    day.classes[1].effect = Idempotency::NonIdempotent;
    Book book(day);
    CallId id = 1;
    for (int second = 1; second < 31; ++second) {
        book.call(1000.0 * second + 10, id++, 50);
        // Orders are served in the first third and in none behind it.
        book.begin(1000.0 * second + 20, id, 1, 1);
        book.end(1000.0 * second + 60, id++, second < 11 ? Heard::Served : Heard::Failed);
    }
    book.call(30500, id++, 50, 0, 1, true);  // beyond its share: no tenant's worth
    const Result result = book.result();
    std::vector<std::string> names;
    for (const Floor& floor : floors(result)) names.push_back(floor.of + " " + floor.name);
    EXPECT_EQ(names, (std::vector<std::string>{"class look", "class order", "effect free",
                                               "effect single_shot", "tenant big", "tenant small",
                                               "third first", "third second", "third last"}));
    EXPECT_DOUBLE_EQ(*figure(result, "classes.order.worth"), 10.0 / 30);
    EXPECT_DOUBLE_EQ(*figure(result, "effects.single_shot.worth"), 10.0 / 30);
    EXPECT_DOUBLE_EQ(*figure(result, "effects.free.worth"), 1);
    EXPECT_DOUBLE_EQ(*figure(result, "tenants.small.worth"), 10.0 / 30);
    EXPECT_DOUBLE_EQ(*figure(result, "thirds.first.worth"), 1);
    EXPECT_DOUBLE_EQ(*figure(result, "thirds.second.worth"), 40.0 / 140);
    EXPECT_DOUBLE_EQ(*figure(result, "worth.least_floor"), 40.0 / 140);
    EXPECT_FALSE(figure(result, "effects.keyed.worth"));
    const Result read = parse_results(to_json({result}), "again").front();
    EXPECT_EQ(*figure(read, "thirds.last.worth"), *figure(result, "thirds.last.worth"));
    EXPECT_EQ(floors(read).size(), names.size());
}

TEST(Tally, ATenantWithHardlyAnyWorthHasNoFloor) {
    Book book(make_day());
    for (CallId id = 1; id <= 40; ++id) book.call(1000 + 100.0 * static_cast<double>(id), id, 50);
    book.begin(6000, 41, 0, 1);  // one in 41 of the worth, and lost
    book.end(6100, 41, Heard::Failed);
    const Result result = book.result();
    for (const Floor& floor : floors(result)) EXPECT_NE(floor.name, "small");
    EXPECT_DOUBLE_EQ(result.worst_tenant, 0);
}

TEST(Tally, TellsLeftFromFailedRefusedAndOpen) {
    Book book(make_day());
    const auto with_tries = [&](CallId call, TryId first) {
        book.begin(2000, call);
        book.sent(2001, first, call);
    };
    with_tries(1, 11);  // left
    book.note(TryLeft{at(2050), 11});
    book.end(2050, 1, Heard::Failed);
    with_tries(2, 21);  // the first try was given up, the second failed
    book.note(TryLeft{at(2050), 21});
    book.sent(2060, 22, 2, 1);
    book.end(2070, 2, Heard::Failed);
    with_tries(3, 31);
    book.end(2080, 3, Heard::Refused);
    with_tries(4, 41);    // open, past its aim when the day ends
    book.begin(2950, 5);  // open, not yet past it
    book.note(Asked{at(3000), 0, Asked::What::Called});
    const Result result = book.result();
    EXPECT_EQ(result.left, 1u);
    EXPECT_EQ(result.failed, 1u);
    EXPECT_EQ(result.refused, 1u);
    EXPECT_EQ(result.open, 2u);
    EXPECT_EQ(result.tries, 5u);
    EXPECT_DOUBLE_EQ(result.tries_per_call, 1);
    EXPECT_EQ(result.node[1].tries, 1u);
    EXPECT_DOUBLE_EQ(result.worth.asked, 20);
    EXPECT_DOUBLE_EQ(result.worth.got, 0);
    EXPECT_DOUBLE_EQ(result.deductions.late_fail, 0.05 * 4 / 20);
}

TEST(Tally, PricesAndAttempts) {
    Day day = make_day();
    day.arrivals.resize(2);
    day.arrivals[1].work = 3;  // 30 ms
    Book book(day);
    book.begin(2000, 0);
    book.sent(2001, 11, 0, 0);
    book.arrived(2002, 1, 11, 1, 0);            // another zone
    book.attempt_ended(2010, 1, Ended::Error);  // 10 ms of work for nothing
    book.arrived(2012, 2, 11, 0, 0);
    book.attempt_ended(2040, 2);
    book.end(2041, 0);
    book.begin(2100, 1);
    book.sent(2101, 12, 1, 1);
    book.arrived(2102, 3, 12, 1, 1);  // its zone is 0: another one again
    book.attempt_ended(2103, 3, Ended::NeverRan, false);
    book.arrived(2104, 4, 12, 0, 1);
    book.attempt_ended(2200, 4, Ended::Spoilt);  // 30 ms for nothing
    book.arrived(2201, 5, 12, 0, 1);
    book.attempt_ended(2300, 5, Ended::Dropped);  // 30 ms for nothing
    book.end(2301, 1, Heard::Failed);             // after its aim: 4 of 8
    book.note(WorkArrived{at(2302), 0, 0, Duration(0.25), WorkKind::Probe});
    for (int i = 0; i < 4; ++i) book.note(WorkArrived{at(2303), 0, 0, Duration(5), WorkKind::Handshake});
    const Result result = book.result();
    EXPECT_NEAR(result.deductions.waste, 0.05 * 70 / 40, 1e-9);
    EXPECT_DOUBLE_EQ(result.deductions.late_fail, 0.05 * 0.5);
    EXPECT_DOUBLE_EQ(result.deductions.probes, 0.03 * 0.5);
    EXPECT_DOUBLE_EQ(result.deductions.handshakes, 0.02 * 2);
    EXPECT_DOUBLE_EQ(result.deductions.cross_zone, 0.02 * 1);
    EXPECT_NEAR(result.prices, 0.0875 + 0.025 + 0.015 + 0.04 + 0.02, 1e-9);
    EXPECT_DOUBLE_EQ(result.score, result.service - result.prices);
    EXPECT_DOUBLE_EQ(result.attempts_per_call, 2.5);
    EXPECT_EQ(result.fleet[0].served, 1u);
    EXPECT_EQ(result.fleet[0].dropped, 1u);
    EXPECT_EQ(result.fleet[0].spoilt, 1u);
    EXPECT_EQ(result.fleet[1].errors, 1u);
    EXPECT_EQ(result.fleet[1].never_ran, 1u);
    EXPECT_DOUBLE_EQ(result.fleet[0].latency.max_ms, 28);
}

TEST(Tally, LoadIsWorkOverWhatTheServerCouldDoWhileItRan) {
    Day day = make_day();
    day.servers[1].exists_from = Duration(10000);
    Book book(day);
    const auto work = [&](double ms, ServerNo server, double amount) {
        book.note(WorkArrived{at(ms), server, 0, Duration(amount)});
    };
    work(3000, 0, 600);
    work(3999, 0, 600);
    work(4000, 0, 800);
    book.note(ServerChanged{at(5000), 0, ServerState::Gone, {}});  // ran for 5 s on two cores
    book.note(ServerChanged{at(12000), 1, ServerState::Ready, {}});
    book.note(ServerChanged{at(12000), 1, ServerState::Cold, {}});
    work(13000, 1, 1600);
    work(20500, 1, 1600);  // after the last arrival
    const Result result = book.result();
    EXPECT_DOUBLE_EQ(result.fleet[0].load, 2000.0 / 10000);
    EXPECT_DOUBLE_EQ(result.fleet[0].load_peak, 1200.0 / 2000);
    EXPECT_DOUBLE_EQ(result.fleet[1].load, 1600.0 / 16000);
    EXPECT_DOUBLE_EQ(figure(result, "fleet.peak_load").value(), 1600.0 / 2000);
}

TEST(Tally, ADayWithoutCalls) {
    const Result result = Book(make_day()).result();
    EXPECT_EQ(result.worth.share(), 1);
    EXPECT_EQ(result.service, 1);
    EXPECT_EQ(result.prices, 0);
    EXPECT_EQ(result.seconds.size(), 20u);
    for (const std::string& name : figure_names(result)) {
        const auto value = figure(result, name);
        ASSERT_TRUE(value.has_value()) << name;
        EXPECT_TRUE(std::isfinite(*value)) << name;
    }
}

TEST(Tally, WithoutTenantsTheWholeStandsInForThem) {
    Day day = make_day();
    day.tenants.clear();
    Book book(day);
    book.call(2000, 1, 10, 0, kNobody);
    book.begin(2000, 2, 0, kNobody);
    book.end(2010, 2, Heard::Refused);
    EXPECT_DOUBLE_EQ(book.result().worst_tenant, 0.5);
}

TEST(Tally, LeavesOutWhatTheDayDoesNotHave) {
    Book book(make_day());
    book.begin(2000, 1, 7);  // no such class
    book.end(2010, 1);
    book.end(2010, 99);
    book.note(TryLeft{at(2010), 99});
    book.attempt_ended(2010, 99);
    book.arrived(2010, 1, 99, 5);
    book.note(WorkArrived{at(2010), -1, 0, Duration(5)});
    book.note(ServerChanged{at(2010), 9, ServerState::Gone, {}});
    book.note(NodeChanged{at(2010), 9, NodeState::Started});
    book.note(FaultMark{at(2010), 0, true});
    book.begin(1e12, 2);  // no day is that long: the series of seconds must not be either
    book.begin(2000, 3);
    book.begin(2500, 3);  // a number given twice
    book.end(2510, 3);
    const Result result = book.result();
    EXPECT_EQ(result.calls, 2u);
    EXPECT_EQ(result.attempts, 0u);
    EXPECT_EQ(result.served, 1u);
    EXPECT_EQ(result.in_time, 0u);
    EXPECT_LT(result.seconds.size(), 700u);
}

TEST(Tally, AnAttemptOfAProcessThatDiedHasNoLaterEnd) {
    Book book(make_day());
    // More than are kept without looking through them.
    for (AttemptNo i = 1; i <= 10000; ++i) book.arrived(1000, i, i, 0);
    book.note(ServerChanged{at(1100), 0, ServerState::Gone, {}});
    book.attempt_ended(1100, 1, Ended::Reset);  // its last words
    book.note(ServerChanged{at(3000), 0, ServerState::Ready, {}});
    book.attempt_ended(3000, 2);
    book.arrived(3000, 20001, 3, 0);
    book.attempt_ended(3010, 20001);
    const Result result = book.result();
    EXPECT_EQ(result.fleet[0].attempts, 10001u);
    EXPECT_EQ(result.fleet[0].resets, 1u);
    EXPECT_EQ(result.fleet[0].served, 1u);
}

// 100 attempts a second, every `turn`-th to server 1 but for the time from `stops` to `again`; one call every
// 20 ms.
template <class Fails>  // bool(double ms)
Result faulty(Day day, double stops, double again, Fails fails, std::uint64_t turn = 2) {
    Book book(std::move(day));
    std::uint64_t next = 0;
    for (double ms = 0; ms < 20000; ms += 10) {
        ++next;
        const bool away = ms >= stops && ms < again;
        book.arrived(ms, next, 1, next % turn == 0 && !away ? 1 : 0);
        if (next % 2 == 0) continue;
        book.begin(ms, next);
        book.end(ms, next, fails(ms) ? Heard::Failed : Heard::Served);
    }
    return book.result();
}
Result failing(Day day, double stops, double again, double bad_until) {
    return faulty(std::move(day), stops, again, [&](double ms) { return ms >= 5000 && ms < bad_until; });
}

Day with_fault(FaultKind kind, double from, double length, std::vector<int> servers) {
    Day day = make_day();
    Fault fault;
    fault.kind = kind;
    fault.at = Duration(from);
    fault.length = Duration(length);
    fault.servers = std::move(servers);
    day.faults = {fault};
    return day;
}

TEST(Tally, DetectAndReturn) {
    const Result result = failing(with_fault(FaultKind::Hang, 5000, 6000, {1}), 6200, 11000, 12000);
    ASSERT_EQ(result.faults.size(), 1u);
    const FaultResult& fault = result.faults[0];
    EXPECT_EQ(fault.kind, "hang");
    EXPECT_EQ(fault.what, "1 server");
    EXPECT_DOUBLE_EQ(fault.began_s, 5);
    EXPECT_DOUBLE_EQ(fault.ended_s, 11);
    // A tenth of half of 50 attempts a window: a window may hold two of them, the last at 6190 ms and before.
    EXPECT_NEAR(fault.detect_s, 1.2, 0.051);
    // A window of 50 calls may hold two bad ones, of the last 40 ms before 12 s.
    EXPECT_NEAR(fault.return_s, 1.0, 0.051);
    EXPECT_EQ(figure(result, "faults.0.detect_s"), fault.detect_s);
}

TEST(Tally, RecoveryIsForGoodAndOfAllTroublesTogether) {
    Day day = with_fault(FaultKind::Hang, 5000, 2000, {1});
    Fault second = day.faults[0];
    second.at = Duration(8000);
    second.length = Duration(1000);
    day.faults.push_back(second);
    auto bad = [](double from, double until) { return [=](double ms) { return ms >= from && ms < until; }; };
    const RecoveryResult soon = faulty(day, 20000, 20000, bad(5000, 11000)).recovery;
    EXPECT_DOUBLE_EQ(soon.began_s, 5);
    EXPECT_DOUBLE_EQ(soon.ended_s, 9);
    EXPECT_NEAR(soon.recovered_s, 2, 0.11) << "two of the 100 calls of a window may fail";
    EXPECT_DOUBLE_EQ(soon.before, 1);
    EXPECT_DOUBLE_EQ(soon.during, 0);
    EXPECT_NEAR(soon.after, 9.0 / 11, 1e-9);
    // Back for 6 s, and then down again to the day's end: never back.
    const auto falls = [](double ms) { return (ms >= 5000 && ms < 9000) || ms >= 15000; };
    const Result never = faulty(day, 20000, 20000, falls);
    EXPECT_EQ(never.recovery.recovered_s, -1);
    EXPECT_EQ(figure(never, "recovery.recovered_s"), kNever);
    EXPECT_NEAR(never.recovery.after, 6.0 / 11, 1e-9);
    // A release is over when its last server has started.
    day.servers[0].exists_from = Duration(10500);
    EXPECT_DOUBLE_EQ(faulty(day, 20000, 20000, bad(5000, 11000)).recovery.ended_s, 10.5);
    EXPECT_DOUBLE_EQ(faulty(make_day(), 20000, 20000, bad(5000, 11000)).recovery.recovered_s, -1);
}

TEST(Tally, TriesRefusalsAndReturnsAroundTheTrouble) {
    const Day day = with_fault(FaultKind::Slow, 5000, 2000, {});
    Book book(day);
    std::uint64_t id = 0;
    for (double ms = 0; ms < 20000; ms += 5) {
        book.begin(ms, ++id);
        book.sent(ms, id, id);
        const bool trouble = ms >= 5000 && ms < 8000;
        if (trouble) {
            book.sent(ms + 1, id + 1000000, id);
            // All of the first half second are told one moment, all others times spread evenly.
            TryAnswered refused{at(ms + 2), id, Heard::Refused, 503, 0, Duration(0)};
            refused.advice = Duration(ms < 5500 ? 6500 - ms : 500);
            book.note(refused);
        }
        book.end(ms + 3, id, trouble ? Heard::Refused : Heard::Served);
    }
    const RecoveryResult recovery = book.result().recovery;
    EXPECT_NEAR(recovery.recovered_s, 1, 0.11);
    EXPECT_NEAR(recovery.tries_per_call, 2, 0.07);
    EXPECT_NEAR(recovery.refused_after, 1000.0 / 13000, 1e-3);
    // 100 at 6.5 s and 200 a second around: 120 of 300 in a tenth of the second.
    EXPECT_NEAR(recovery.return_peak, 4, 0.3);
    EXPECT_NEAR(recovery.arrival_peak, 1.3, 0.2) << "400 a second, then 200";
}

TEST(Tally, NeverDetectedAndNeverBack) {
    const Day hang = with_fault(FaultKind::Hang, 5000, 6000, {1});
    const Result never = failing(hang, 20000, 20000, 20000);
    EXPECT_EQ(never.faults[0].detect_s, -1);
    EXPECT_EQ(never.faults[0].return_s, -1);
    EXPECT_EQ(figure(never, "faults.0.return_s"), kNever);
    // Away for 1.3 s and back again: not noticed.
    EXPECT_EQ(failing(hang, 6000, 7300, 5000).faults[0].detect_s, -1);
    // A server that gets two attempts a second says nothing by 2.5 s without one, though it does by 6.
    const auto well = [](double) { return false; };
    EXPECT_EQ(faulty(hang, 6000, 8500, well, 50).faults[0].detect_s, -1);
    EXPECT_GT(faulty(hang, 5000, 11000, well, 50).faults[0].detect_s, -1);
    // From the first moment there is no usual share, and nothing to be back at.
    const Result first = failing(with_fault(FaultKind::Hang, 0, 6000, {1}), 500, 6000, 5000);
    EXPECT_EQ(first.faults[0].detect_s, -1);
    EXPECT_EQ(first.faults[0].return_s, -1);
    // Without servers to stay away from there is nothing to detect, but something to be back from.
    const Result all = failing(with_fault(FaultKind::Slow, 5000, 1000, {}), 6000, 20000, 6000);
    EXPECT_EQ(all.faults[0].detect_s, -1);
    EXPECT_EQ(all.faults[0].return_s, 0);
    // A drain is for good: what stays away after its span counts.
    EXPECT_NEAR(failing(with_fault(FaultKind::Drain, 5000, 500, {1}), 7000, 20000, 5000).faults[0].detect_s,
                2, 0.051);
}

TEST(Tally, BackIsMeasuredByTheFiveSecondsBefore) {
    const Day day = with_fault(FaultKind::Hang, 10000, 1000, {1});
    // All fails at first, which is longer ago than counts. After the fault a fifth fails for 3 s, then one
    // in 25.
    const Result result = faulty(day, 20000, 20000, [](double ms) {
        const int call = static_cast<int>(ms / 20);
        return ms < 4000 || (ms >= 11000 && (ms < 14000 ? call % 5 == 0 : call % 25 == 0));
    });
    EXPECT_NEAR(result.faults[0].return_s, 3, 0.051);
}

TEST(Tally, MarksMoveAFault) {
    Book book(with_fault(FaultKind::NodeKill, 5000, 1000, {}));
    book.note(FaultMark{at(5100), 0, true});
    book.note(FaultMark{at(6300), 0, false});
    const Result result = book.result();
    EXPECT_DOUBLE_EQ(result.faults[0].began_s, 5.1);
    EXPECT_DOUBLE_EQ(result.faults[0].ended_s, 6.3);
}

TEST(Latencies, QuantilesAreOffByOneBucketAtMost) {
    std::mt19937_64 random(3);
    BucketCounts counts;
    std::vector<double> times;
    for (int i = 0; i < 20000; ++i) {
        const double ms = std::exp(static_cast<double>(random() >> 11) * 0x1p-53 * 14 - 3);
        times.push_back(ms);
        const std::size_t bucket = bucket_of(ms);
        ASSERT_TRUE(bucket == 0 || ms >= bucket_begins_ms(bucket)) << ms;
        ASSERT_LT(ms, bucket_begins_ms(bucket + 1)) << ms;
        counts.add(bucket, ms);
    }
    std::sort(times.begin(), times.end());
    const Latencies all = counts.latencies();
    for (const double q : {0.0001, 0.01, 0.5, 0.9, 0.99, 0.999, 1.0}) {
        const double exact = times[static_cast<std::size_t>(std::ceil(q * 20000 - 1e-9)) - 1];
        EXPECT_GT(all.quantile_ms(q), exact) << q;
        EXPECT_LE(all.quantile_ms(q),
                  std::max(exact, Latencies::kLowestMs) * Latencies::kGrowth * (1 + 1e-12))
            << q;
    }
    for (std::size_t i = 0; i < kBuckets; ++i) {
        EXPECT_EQ(bucket_of(bucket_begins_ms(i)), i);
        if (i > 0) {
            EXPECT_EQ(bucket_of(std::nextafter(bucket_begins_ms(i), 0.0)), i - 1);
        }
    }
    EXPECT_EQ(bucket_of(-1), 0u);
    EXPECT_EQ(bucket_of(std::nan("")), 0u);
    EXPECT_EQ(bucket_of(kNever), kBuckets - 1);
    EXPECT_EQ(Latencies{}.quantile_ms(0.5), 0);
}

Result full_result() {
    Day day = with_fault(FaultKind::Crash, 5000, 1000, {0});
    day.classes[0].name = "look \"<&\n";
    Result result = failing(day, 6000, 8000, 6000);
    result.breach_count = 1;
    result.breaches = {{"answer-late", 1, 3.5, "00000000000000ff", "sent 1 ms, answered 2 ms"}};
    result.score = 0.1 + 0.2;
    result.seed = std::numeric_limits<std::uint64_t>::max();
    return result;
}

TEST(Json, ComesBackAsItWas) {
    std::vector<Result> results = {full_result(), full_result()};
    std::mt19937_64 random(5);
    // Numbers that a careless reader gets wrong in the last bit.
    for (SecondResult& second : results[1].seconds)
        second.p50_ms = static_cast<double>(random() >> 11) * 0x1p-43;
    results[1].prices = std::nan("");
    results[1].latency = {{0, 0, 3, 0, 1, 0}, 4, 0.7, 0.3};
    const std::string text = to_json(results);
    const std::vector<Result> back = parse_results(text, "memory");
    EXPECT_EQ(to_json(back), text);
    ASSERT_EQ(back.size(), 2u);
    EXPECT_EQ(back[1].seconds[3].p50_ms, results[1].seconds[3].p50_ms);
    EXPECT_EQ(back[1].latency.counts, (std::vector<std::uint64_t>{0, 0, 3, 0, 1}));
    EXPECT_EQ(back[0].seed, results[0].seed);
    EXPECT_TRUE(std::isnan(back[1].prices));
    EXPECT_NE(text.find("\"score\":0.30000000000000004,"), std::string::npos);
    EXPECT_EQ(to_json({}), "{\"version\":1,\"results\":[]}\n");
    EXPECT_TRUE(parse_results(to_json({}), "memory").empty());
}

std::string refusal(const std::string& text) {
    try {
        parse_results(text, "r.json");
    } catch (const std::runtime_error& error) {
        return error.what();
    }
    return "none";
}

std::string changed(std::string text, const std::string& from, const std::string& to) {
    const auto place = text.find(from);
    EXPECT_NE(place, std::string::npos) << from;
    return text.replace(place, from.size(), to);
}

TEST(Json, ReadsFilesFromBeforeRecovery) {
    Result result = full_result();
    result.recovery.recovered_s = 3;
    std::string text = to_json({result});
    EXPECT_EQ(parse_results(text, "memory")[0].recovery.recovered_s, 3);
    const auto from = text.find("\"recovery\""), to = text.find("\"node\"");
    ASSERT_LT(from, to);
    text.erase(from, to - from);
    EXPECT_EQ(parse_results(text, "memory")[0].recovery.recovered_s, -1);
}

TEST(Json, RefusesWithFileAndKey) {
    const std::string text = to_json({full_result()});
    EXPECT_EQ(refusal(changed(text, "\"version\":1", "\"version\":2")),
              "r.json: version: is 2, and this program reads 1 alone");
    EXPECT_EQ(refusal("{\"results\":[]}"), "r.json: version: is missing");
    EXPECT_EQ(refusal(changed(text, "\"service\":", "\"survice\":")),
              "r.json: results[0].service: is missing");
    EXPECT_EQ(refusal(changed(text, "\"got\":", "\"goat\":")), "r.json: results[0].worth.got: is missing");
    EXPECT_EQ(refusal(changed(text, "\"detect_s\":", "\"detect\":")),
              "r.json: results[0].faults[0].detect_s: is missing");
    EXPECT_EQ(refusal(changed(text, "\"seed\":18446744073709551615", "\"seed\":-1")),
              "r.json: results[0].seed: is not a whole number in range");
    EXPECT_EQ(refusal(changed(text, "\"nodes\":2", "\"nodes\":2.5")),
              "r.json: results[0].nodes: is not a whole number in range");
    EXPECT_EQ(refusal(changed(text, "\"world\":\"simulate\"", "\"world\":4")),
              "r.json: results[0].world: is not a text");
    EXPECT_EQ(refusal(changed(text, "\"length_s\":20", "\"length_s\":\"20\"")),
              "r.json: results[0].length_s: is not a number");
    EXPECT_EQ(refusal(changed(text, "\"counts\":[", "\"counts\":[1,")),
              "r.json: results[0].latency.total: is not the sum of counts");
    EXPECT_EQ(refusal("[]"), "r.json: is not an object");
    EXPECT_EQ(refusal(text.substr(0, text.size() / 2)).substr(0, 7), "r.json:");
    EXPECT_EQ(refusal("{\"version\":1,\n\"results\":[]} x").substr(0, 22), "r.json:2: is not JSON:");
    EXPECT_THROW(read_results("/nowhere/r.json"), std::runtime_error);
}

TEST(Figures, ByPath) {
    Result result = full_result();
    result.classes[1].name = "look.late";
    result.classes[0].name = "look";
    EXPECT_EQ(figure(result, "worth.whole"), result.worth.share());
    EXPECT_EQ(figure(result, "classes.look.worth"), result.classes[0].worth.share());
    EXPECT_EQ(figure(result, "classes.look.late.worth"), result.classes[1].worth.share());
    EXPECT_EQ(figure(result, "latency.p99_ms"), result.latency.quantile_ms(0.99));
    EXPECT_EQ(figure(result, "fleet.s1.attempts"), static_cast<double>(result.fleet[1].attempts));
    EXPECT_EQ(figure(result, "seconds.5.failed"), 50);
    EXPECT_EQ(figure(result, "failed_share"), 50.0 / 1000);
    for (const char* wrong :
         {"", "worth", "classes.look", "classes.nobody.worth", "seconds.20.failed", "seconds.x.failed",
          "seconds.-1.failed", "faults.1.detect_s", "node.0.", "fleet.s1.", "latency.p98_ms"})
        EXPECT_FALSE(figure(result, wrong).has_value()) << wrong;
}

TEST(Judge, MeanAndEach) {
    std::vector<Result> results(2);
    results[0].score = 0.8;
    results[1].score = 0.9;
    results[1].seed = 4;
    using How = Expectation::How;
    const auto missed = [&](const char* name, How how, double bound, bool each = false) {
        return judge({{name, how, bound, each, 3}}, results);
    };
    EXPECT_TRUE(missed("score", How::AtLeast, 0.85).empty());
    EXPECT_TRUE(missed("score", How::AtMost, 0.9, true).empty());
    const auto mean = missed("score", How::AtLeast, 0.86);
    ASSERT_EQ(mean.size(), 1u);
    EXPECT_NEAR(mean[0].value, 0.85, 1e-12);
    EXPECT_FALSE(mean[0].seed.has_value());
    EXPECT_EQ(mean[0].expectation.line, 3);
    const auto each = missed("score", How::AtMost, 0.85, true);
    ASSERT_EQ(each.size(), 1u);
    EXPECT_EQ(each[0].seed, 4u);
    // What is not there cannot hold, and neither can what never came back.
    EXPECT_EQ(missed("scores", How::AtMost, 1e9).size(), 1u);
    EXPECT_EQ(judge({{"score", How::AtMost, 1, true, 0}}, {}).size(), 1u);
    results[0].faults.resize(1);
    results[1].faults.resize(1);
    results[1].faults[0].return_s = 2;
    EXPECT_EQ(missed("faults.0.return_s", How::AtMost, 1000).size(), 1u);
}

}  // namespace
}  // namespace ochrehub::lab
