// Scenarios: what is drawn for a seed, what moves and what stays between variants, those that ship, and what
// is said of faulty files.
#include "lab/scenario/scenario.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <random>
#include <set>
#include <sstream>

#include "lab/scenario/settings.h"

using namespace ochrehub;
using namespace ochrehub::lab;

namespace {

/// A day as text, in parts that can be compared apart.
struct Parts {
    std::string fleet, faults, calls;
    bool operator==(const Parts&) const = default;
};

std::string numbers(const std::vector<int>& list) {
    return fmt::format("{}", fmt::join(list, ","));
}

Parts parts(const Day& day) {
    Parts parts;
    auto add = [](std::string& to, auto... values) { ((to += fmt::format("{} ", values)), ...); };
    std::string& f = parts.fleet;
    add(f, day.length.count(), day.counted_from.count(), day.capacity_rps, day.front_notice.count());
    for (const auto& c : day.classes)
        add(f, c.name, int(c.effect), int(c.scope), c.share, c.work.count(), c.wait.count(), c.spread,
            c.aim.count(), c.give_up.count(), c.window.count(), c.worth, c.late_worth);
    for (const auto& t : day.tenants) add(f, t.name, t.share, t.usage, t.quota_rps);
    for (const auto& s : day.servers)
        add(f, s.id, s.zone, s.kind, s.cell, s.size, s.cores, s.speed, s.slots, s.room, s.crowd_from,
            s.crowd_cost, s.cold_from, s.cold_time.count(), s.starts_cold, s.connections_most,
            s.handshake_work.count(), s.connections_tax, s.cancel_running, s.drops_overdue,
            s.report_period.count(), s.report_delay.count(), s.report_noise, s.probe_work.count(),
            s.probes_most, s.error_rate, s.idle_most.count(), s.exists_from.count(), s.address_of);
    for (const auto& n : day.nodes) add(f, n.zone, n.sockets, n.memory_mb, n.event_cpu.count());
    for (const auto& row : day.network.ms) add(f, fmt::format("{}", fmt::join(row, ",")));
    add(f, day.network.client_ms, day.network.jitter, day.network.datagram_loss, day.discovery.notice.count(),
        day.discovery.silent_notice.count(), day.discovery.add.count(), day.discovery.calls_per_s);
    const ClientFigures& c = day.clients;
    add(f, c.tries, c.try_share, c.retry_after_wait.count(), c.honours, c.most_honoured.count(), c.impatient,
        c.marks_repeats, c.connections_kept, c.once, c.population, c.think.count(), c.think_spread,
        c.again.count());
    for (const auto& e : day.faults)
        add(parts.faults, int(e.kind), e.at.count(), e.length.count(), numbers(e.servers), numbers(e.nodes),
            numbers(e.zones), e.size, e.every.count(), e.count, e.tenant, e.one_way, e.between, e.and_,
            e.doubled, e.reordered, e.late.count(), "\n");
    for (const auto& a : day.arrivals)
        add(parts.calls, a.at.count(), a.cls, a.tenant, a.zone, a.work, a.wait, a.key, a.over_share, "\n");
    return parts;
}

Day drawn(const std::string& text, std::uint64_t seed) {
    return Scenario::parse(text, "x.toml").draw(seed);
}
Parts drawn_parts(const std::string& text, std::uint64_t seed) {
    return parts(drawn(text, seed));
}

std::string faults_in(const std::string& text) {
    try {
        Scenario::parse(text, "x.toml");
    } catch (const ScenarioError& error) {
        return error.what();
    }
    return "none";
}

std::string contents(const std::string& path) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

#define FAULT_OF(kind) "[[fault]]\nkind = \"" kind "\"\n"

const std::string kShort = "[day]\nlength_s = 10\n";

TEST(Draw, SameSeedSameDayAndAnotherSeedAnother) {
    for (const char* name : {"calm", "mixed_random", "churn", "tiny"}) {
        const Scenario scenario = Scenario::read(name);
        EXPECT_EQ(parts(scenario.draw(7)), parts(Scenario::read(name).draw(7))) << name;
        const Parts a = parts(scenario.draw(7)), b = parts(scenario.draw(8));
        EXPECT_NE(a.fleet, b.fleet) << name;
        EXPECT_NE(a.calls, b.calls) << name;
    }
    const Scenario mixed = Scenario::read("mixed_random");
    EXPECT_NE(parts(mixed.draw(1)).faults, parts(mixed.draw(2)).faults);
}

TEST(Draw, OneSettingMovesNoOtherDraw) {
    const std::string hang = "[[fault]]\nkind = \"hang\"\nat_s = [2, 3]\n";
    const Parts base = drawn_parts(kShort + hang, 3);

    // Neither a figure of the network nor a fault of another kind, be it before or behind, moves anything
    // else.
    const Parts network = drawn_parts(kShort + "[clients]\nonce = [0, 0.5]\n" + hang, 3);
    EXPECT_NE(network.fleet, base.fleet);
    EXPECT_EQ(network.faults, base.faults);
    EXPECT_EQ(network.calls, base.calls);
    const std::string slow = "[[fault]]\nkind = \"slow\"\nat_s = 9\nfor_s = 1\nsize = 2\n";
    for (const std::string& text : {kShort + slow + hang, kShort + hang + slow}) {
        const Parts with = drawn_parts(text, 3);
        EXPECT_EQ(with.fleet, base.fleet);
        EXPECT_EQ(with.calls, base.calls);
        EXPECT_TRUE(with.faults.starts_with(base.faults)) << with.faults << base.faults;
        EXPECT_NE(with.faults, base.faults);
    }
    // Faults drawn at random leave those spelt out as they are, and the fleet too.
    const Day random = drawn(kShort + hang + "[faults]\nrandom = [\"slow\", \"node_kill\"]\n", 3);
    EXPECT_EQ(parts(random).fleet, base.fleet);
    EXPECT_NE(parts(random).faults.find(base.faults), std::string::npos);
    // A further class with no share changes no arrival; one server more keeps the speeds of the others.
    const std::string own = "[[class]]\nname = \"stock-check\"\n[[class]]\nname = \"place-order\"\n";
    EXPECT_EQ(drawn_parts(kShort + own, 3).calls,
              drawn_parts(kShort + own + "[[class]]\nname = \"idle\"\nshare = 0\n", 3).calls);
    const std::string one = "[[kind]]\nname = \"std-box\"\n[[zone]]\nname = \"a\"\n[fleet]\nservers = ";
    const Day ten = drawn(one + "10\n", 3), eleven = drawn(one + "11\n", 3);
    for (std::size_t i = 0; i < 10; ++i) {
        EXPECT_EQ(ten.servers[i].speed, eleven.servers[i].speed);
        EXPECT_EQ(ten.servers[i].id, eleven.servers[i].id);
    }
}

TEST(Draw, TheNthCallIsTheSameAtAnyRate) {
    const Day slow = drawn(kShort + "[load]\nrate = 100\n", 5);
    for (const char* load : {"rate = 300\n", "rate = 300\nshape = \"wave\"\nswing = 0.9\nperiod_s = 3\n"}) {
        const Day fast = drawn(kShort + "[load]\n" + load, 5);
        ASSERT_GT(fast.arrivals.size(), slow.arrivals.size() * 2);
        for (std::size_t i = 0; i < slow.arrivals.size(); ++i) {
            EXPECT_EQ(slow.arrivals[i].cls, fast.arrivals[i].cls);
            EXPECT_EQ(slow.arrivals[i].tenant, fast.arrivals[i].tenant);
            EXPECT_EQ(slow.arrivals[i].work, fast.arrivals[i].work);
        }
    }
}

TEST(Draw, AWaveHasItsRateAtEachTime) {
    // Counted in eighths of the period over many periods, against the rate's own course.
    const Day day =
        drawn("[day]\nlength_s = 400\n[load]\nrate = 500\nshape = \"wave\"\nswing = 0.8\nperiod_s = 4\n", 1);
    std::vector<double> count(8);
    for (const Arrival& each : day.arrivals) ++count[std::size_t(std::fmod(each.at.count(), 4000) / 500)];
    double sine = 0, cosine = 0, all = 0;
    for (std::size_t i = 0; i < 8; ++i) {
        const double middle = (double(i) + 0.5) * M_PI / 4;
        sine += count[i] * std::sin(middle);
        cosine += count[i] * std::cos(middle);
        all += count[i];
    }
    // First harmonic of counts in eighths: swing/2 x sinc(pi/8) of the total.
    EXPECT_NEAR(std::hypot(sine, cosine) / all, 0.4 * std::sin(M_PI / 8) / (M_PI / 8), 0.01);
    EXPECT_NEAR(all, 200000, 5 * std::sqrt(200000));
}

TEST(Draw, ASurgeAddsCallsAndLeavesTheOthers) {
    const std::string surge =
        "[[fault]]\nkind = \"surge\"\nat_s = 2\nfor_s = 4\nsize = 5\ntenant = \"gear-pantai\"\n";
    const Day base = drawn(kShort, 9), more = drawn(kShort + surge, 9);
    const int tenant = 3;
    ASSERT_EQ(base.tenants[tenant].name, "gear-pantai");
    std::size_t at = 0, extra = 0, usual = 0, over = 0;
    float first_extra = 0;
    for (const Arrival& each : more.arrivals) {
        if (at < base.arrivals.size() && base.arrivals[at].at == each.at &&
            base.arrivals[at].work == each.work) {
            usual += each.tenant == tenant && each.at.count() >= 2000 && each.at.count() < 6000;
            ++at;
            continue;
        }
        if (extra++ == 0) first_extra = each.work;
        EXPECT_EQ(each.tenant, tenant);
        EXPECT_TRUE(each.at.count() >= 2000 && each.at.count() < 6000);
        over += each.over_share;
    }
    EXPECT_EQ(at, base.arrivals.size());
    EXPECT_NE(first_extra, base.arrivals.front().work) << "a surge draws on streams of its own";
    EXPECT_NEAR(double(extra), 4.0 * double(usual), 5 * std::sqrt(20.0 * double(usual)));
    EXPECT_GT(over, extra / 2);  // five times its usage is far beyond its share

    const std::string fewer =
        "[[fault]]\nkind = \"surge\"\nat_s = 2\nfor_s = 4\nsize = 0\nzones = [\"cyberjaya\"]\n";
    for (const Arrival& each : drawn(kShort + fewer, 9).arrivals)
        EXPECT_FALSE(each.zone == 1 && each.at.count() >= 2000 && each.at.count() < 6000);
}

TEST(Draw, KeysRepeatOnlyWhereTheyAreToldTo) {
    const std::string rare =
        "[[class]]\nname = \"order-change\"\nwindow_ms = 100\n";  // longer gaps than windows
    for (const auto& [share, rate, rest, least, most] : {std::tuple{0.0, 2000, std::string(), 0.0, 0.0},
                                                         {0.2, 2000, std::string(), 0.17, 0.23},
                                                         {0.9, 50, rare, 0.1, 0.8}}) {
        const Day day = drawn(fmt::format("[load]\nrate = {}\nrepeat_keys = {}\n{}", rate, share, rest), 2);
        std::map<std::uint64_t, Arrival> first;
        double keyed = 0, repeats = 0;
        for (const Arrival& each : day.arrivals) {
            const ClassFigures& cls = day.classes[std::size_t(each.cls)];
            ASSERT_EQ(each.key != 0, cls.effect == Idempotency::IdempotentWithKey);
            if (each.key == 0) continue;
            ++keyed;
            const auto [known, fresh] = first.emplace(each.key, each);
            if (fresh) continue;
            ++repeats;
            EXPECT_EQ(known->second.tenant, each.tenant);
            EXPECT_LT(each.at - known->second.at, cls.window);
        }
        EXPECT_GE(repeats / keyed, least);
        EXPECT_LE(repeats / keyed, most);
    }
}

TEST(Draw, ATenantThatAsksForMoreHasItsQuotaAndNoMore) {
    const Day day = drawn("[load]\nutilisation = 3\n[[tenant]]\nname = \"greedy\"\n", 2);
    double within = 0;
    for (const Arrival& each : day.arrivals) within += !each.over_share;
    const double seconds = day.arrivals.back().at.count() / 1000;
    const double quota = day.tenants[0].quota_rps * (seconds + 1);  // one second's worth of burst
    EXPECT_LE(within, quota + 1e-6);
    EXPECT_GT(within, quota - 2);
}

TEST(Draw, ALengthByDefaultIsCutAtTheDaysEnd) {
    const Day day = drawn(FAULT_OF("hang") "at_s = 18\n", 1);
    EXPECT_NEAR(day.faults.at(0).end().count(), 20000, 1e-6);
}

TEST(Draw, LimitsThatHoldAllDayAreTheNodes) {
    const Day day = drawn(
        "[[fault]]\nkind = \"node_memory\"\nnodes = [1]\nsize = 48\n"
        "[[fault]]\nkind = \"node_sockets\"\nsize = 200\n",
        1);
    EXPECT_EQ(day.nodes[0].memory_mb, 192u);
    EXPECT_EQ(day.nodes[1].memory_mb, 48u);
    for (const NodeFigures& node : day.nodes) EXPECT_EQ(node.sockets, 200u);
    ASSERT_EQ(day.faults.size(), 2u);
    EXPECT_EQ(day.faults[0].end(), day.length);
}

TEST(Draw, TargetsAreThoseAskedFor) {
    const std::string head = "[[fault]]\nkind = \"crash\"\nat_s = 2\n";
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        EXPECT_EQ(drawn(head + "servers = [3, 0]\n", seed).faults[0].servers, (std::vector<int>{0, 3}));
        EXPECT_EQ(drawn(head + "servers = 3\n", seed).faults[0].servers.size(), 3u);
        EXPECT_EQ(drawn(head + "part = 0.01\n", seed).faults[0].servers.size(), 1u);
        EXPECT_EQ(drawn(head + "for_s = 0\n", seed).faults[0].length.count(), 0);
        const Day all = drawn(head + "part = 1\n", seed);
        EXPECT_EQ(all.faults[0].servers.size(), all.servers.size());
        const Day zone = drawn(head + "zones = [\"seremban\"]\n", seed);
        for (std::size_t i = 0; i < zone.servers.size(); ++i) {
            const auto& hit = zone.faults[0].servers;
            EXPECT_EQ(std::count(hit.begin(), hit.end(), int(i)), zone.servers[i].zone == 2);
        }
        // A larger part holds the smaller one: paired runs compare like with like.
        const auto few = drawn(head + "part = 0.2\n", seed).faults[0].servers,
                   many = drawn(head + "part = 0.5\n", seed).faults[0].servers;
        EXPECT_TRUE(std::includes(many.begin(), many.end(), few.begin(), few.end()));
    }
    // A zone without servers: the fault hits nobody, rather than all.
    const std::string empty = "[[zone]]\nname = \"a\"\n[[zone]]\nname = \"b\"\nservers = 0\n";
    EXPECT_TRUE(drawn(empty + head + "zones = [\"b\"]\n", 1).faults.empty());
    EXPECT_EQ(drawn("[[fault]]\nkind = \"slow\"\nat_s = 1\n", 1).faults[0].servers.size(),
              0u);  // all of them
}

/// What must hold for any day of any scenario.
void sound(const Day& day) {
    const double length = day.length.count();
    std::size_t fleet = 0;
    std::set<std::string> ids;
    std::map<int, std::pair<int, int>> cells;  // zone and servers of each
    std::map<std::string, const ServerFigures*> by_id;
    for (const ServerFigures& each : day.servers) {
        EXPECT_TRUE(ids.insert(each.id).second);
        by_id[each.id] = &each;
        EXPECT_GT(each.speed, 0);
        EXPECT_GE(each.slots, 1);
        EXPECT_GE(each.cold_from, day.limits.cold_from);
        EXPECT_LE(each.cold_time.count(), day.limits.cold_time.count() + 1e-9);
        ASSERT_LT(std::size_t(each.zone), day.network.zones.size());
        ASSERT_LT(std::size_t(each.kind), day.kinds.size());
        auto& cell = cells.try_emplace(each.cell, each.zone, 0).first->second;
        EXPECT_EQ(cell.first, each.zone) << "a cell lies in one zone";
        if (each.exists_from.count() > 0) continue;
        ++cell.second;
        ++fleet;
        EXPECT_TRUE(each.address_of.empty());
    }
    for (const auto& [number, cell] : cells) EXPECT_LE(cell.second, 5);

    // New servers: in the place of one that has gone by then, cold, no address held twice.
    std::map<int, Duration> gone;
    for (const Fault& fault : day.faults)
        if (fault.kind == FaultKind::Drain)
            for (int server : fault.servers) gone.emplace(server, fault.end());
    std::set<std::string> taken;
    for (const ServerFigures& each : day.servers) {
        if (each.exists_from.count() == 0) continue;
        EXPECT_TRUE(each.starts_cold);
        EXPECT_LT(each.exists_from, day.length);
        if (each.address_of.empty()) continue;
        EXPECT_TRUE(taken.insert(each.address_of).second);
        ASSERT_TRUE(by_id.count(each.address_of));
        const ServerFigures& old = *by_id[each.address_of];
        EXPECT_EQ(std::pair(old.zone, old.cell), std::pair(each.zone, each.cell));
        const int place = int(&old - day.servers.data());
        ASSERT_TRUE(gone.count(place));
        EXPECT_GT(each.exists_from, gone[place]);
        EXPECT_GT(gone[place], old.exists_from);
    }

    Duration before{0};
    for (const Fault& fault : day.faults) {
        EXPECT_GE(fault.at, before) << "faults by time";
        before = fault.at;
        EXPECT_NE(fault.kind, FaultKind::Replace);
        EXPECT_LE(fault.end().count(), length + 1e-6);
        for (int server : fault.servers) ASSERT_LT(std::size_t(server), day.servers.size());
        for (int node : fault.nodes) ASSERT_LT(std::size_t(node), day.nodes.size());
        EXPECT_TRUE(std::is_sorted(fault.servers.begin(), fault.servers.end()));
        for (int server : fault.servers) EXPECT_LE(day.servers[std::size_t(server)].exists_from, fault.at);
        if (fault.tenant != kNone) {
            ASSERT_LT(std::size_t(fault.tenant), day.tenants.size());
        }
    }

    double shares = 0, quotas = 0, usage = 0;
    for (const ClassFigures& each : day.classes) shares += each.share;
    EXPECT_NEAR(shares, 1, 1e-9);
    for (const TenantFigures& each : day.tenants) {
        quotas += each.quota_rps;
        usage += each.share * each.usage;
    }
    EXPECT_GE(quotas, 0.71 * day.capacity_rps - 1e-6);
    EXPECT_LE(quotas, 0.94 * day.capacity_rps + 1e-6);

    std::vector<double> of_class(day.classes.size()), of_tenant(day.tenants.size()),
        within(day.tenants.size());
    double last = 0, works = 0;
    const bool surge = std::any_of(day.faults.begin(), day.faults.end(),
                                   [](const Fault& each) { return each.kind == FaultKind::Surge; });
    for (const Arrival& each : day.arrivals) {
        if (each.at.count() < last || each.at.count() >= length) FAIL() << "arrivals by time, within the day";
        last = each.at.count();
        ++of_class[std::size_t(each.cls)];
        ++of_tenant[std::size_t(each.tenant)];
        within[std::size_t(each.tenant)] += !each.over_share;
        works += double(each.work);
        if (!(each.work > 0 && each.wait > 0)) FAIL() << "a call without work";
    }
    const double count = double(day.arrivals.size());
    EXPECT_NEAR(works / count, 1, 6 * 1.5 / std::sqrt(count));
    for (std::size_t i = 0; i < of_class.size(); ++i) {
        const double share = day.classes[i].share;
        EXPECT_NEAR(of_class[i], share * count, 5.5 * std::sqrt(count * share * (1 - share)) + 1);
    }
    for (std::size_t i = 0; i < of_tenant.size(); ++i) {
        const TenantFigures& tenant = day.tenants[i];
        const double share = tenant.share * tenant.usage / usage;
        if (!surge) {
            EXPECT_NEAR(of_tenant[i], share * count, 5.5 * std::sqrt(count * share * (1 - share)) + 1);
        }
        // Within its share it had no more than its quota and one burst of it.
        EXPECT_LE(within[i], tenant.quota_rps * (length / 1000 + 1) + 2);
        // ... and all of it, where it asks for far less than its quota all the time.
        if (!surge && of_tenant[i] < 0.4 * tenant.quota_rps * length / 1000) {
            EXPECT_GT(within[i], 0.95 * of_tenant[i]);
        }
    }
}

TEST(Shipped, AllAreThereAndSayWhatTheyShow) {
    const std::vector<std::string> names = shipped_names();
    EXPECT_GE(names.size(), 16u);
    for (const std::string& name : names) {
        const Scenario scenario = Scenario::read(name);
        EXPECT_EQ(scenario.name(), name);
        EXPECT_FALSE(scenario.summary().empty()) << name;
        EXPECT_LT(scenario.summary().size(), 100u) << name;
        EXPECT_EQ(Scenario::read(shipped_scenarios() + "/" + name + ".toml").summary(), scenario.summary());
    }
}

class ShippedScenario : public ::testing::TestWithParam<std::string> {};
INSTANTIATE_TEST_SUITE_P(Each, ShippedScenario, ::testing::ValuesIn(shipped_names()),
                         [](const auto& each) { return each.param; });

TEST_P(ShippedScenario, FiftySeedsAreSound) {
    const std::string& name = GetParam();
    const Scenario scenario = Scenario::read(name);
    const toml::table file = toml::parse_file(shipped_scenarios() + "/" + name + ".toml");
    // The rate as the file says it, read by other means than the lab's.
    const auto either = [&](const char* key) {
        const auto node = file["load"][key];
        if (const toml::array* range = node.as_array())
            return std::pair(*(*range)[0].value<double>(), *(*range)[1].value<double>());
        const double value = node.value_or(-1.0);
        return std::pair(value, value);
    };
    const bool wave = file["load"]["shape"] && file["load"]["shape"].value_or(std::string()) != "steady";
    for (std::uint64_t seed = 1; seed <= (name == "scale" ? 2 : 50); ++seed) {
        SCOPED_TRACE(fmt::format("{} seed {}", name, seed));
        const Day day = scenario.draw(seed);
        sound(day);
        if (::testing::Test::HasFailure()) return;

        double work = 0, cores = 0;
        for (const ClassFigures& each : day.classes) work += each.share * each.work.count() / 1000;
        for (const ServerFigures& each : day.servers)
            if (each.exists_from.count() == 0) cores += each.cores * each.speed;
        EXPECT_NEAR(day.capacity_rps, cores / work, 1e-6 * day.capacity_rps);
        auto [lo, hi] = either("rate");
        if (lo < 0) {
            const auto [least, most] = either("utilisation");
            lo = least * day.capacity_rps;
            hi = most * day.capacity_rps;
        }
        const double seconds = day.length.count() / 1000;
        double least = lo * seconds, most = hi * seconds;
        for (const Fault& each : day.faults) {
            if (each.kind != FaultKind::Surge) continue;
            double part = 1;
            if (each.tenant != kNone) {
                double all = 0;
                for (const TenantFigures& tenant : day.tenants) all += tenant.share * tenant.usage;
                const TenantFigures& own = day.tenants[std::size_t(each.tenant)];
                part = own.share * own.usage / all;
            }
            const double extra = (each.size - 1) * part * each.length.count() / 1000;
            least += lo * extra;
            most += hi * extra;
        }
        const double count = double(day.arrivals.size()), uneven = wave ? 0.4 * hi * 20 : 0;
        EXPECT_GE(count, least - 5 * std::sqrt(least) - uneven);
        EXPECT_LE(count, most + 5 * std::sqrt(most) + uneven);
    }
}

TEST(Shipped, ReleaseReplacesTwoAtATimeAndChurnGoesOn) {
    const Day release = Scenario::read("release").draw(4);
    std::size_t fleet = 0, drained = 0;
    for (const ServerFigures& each : release.servers) fleet += each.exists_from.count() == 0;
    for (const Fault& each : release.faults) {
        EXPECT_EQ(each.servers.size(), 2u);
        drained += each.servers.size();
    }
    EXPECT_EQ(release.servers.size(), fleet + drained);
    EXPECT_GE(drained, 8u);
    const Day churn = Scenario::read("churn").draw(4);
    std::set<int> left;
    for (const Fault& each : churn.faults)
        for (int server : each.servers) EXPECT_TRUE(left.insert(server).second) << "drained twice";
    EXPECT_GE(left.size(), 10u);
    EXPECT_GT(churn.faults.back().at.count(), 20000);
}

TEST(Draw, AReleaseHandsItsTroublesOn) {
    const std::string text =
        "[day]\nlength_s = 60\n" FAULT_OF("replace") "at_s = 1\nevery_s = 0.5\n" FAULT_OF(
            "hang") "at_s = 40\nservers = [2, 4]\n" FAULT_OF("drain") "at_s = 50\nservers = [2, 4]\n";
    const Day day = drawn(text, 1);
    // All of the fleet has been replaced by 40 s: the hang hits those in the places 2 and 4, and no server
    // drains twice.
    const Fault& hang = day.faults.back();
    ASSERT_EQ(hang.kind, FaultKind::Hang);
    ASSERT_EQ(hang.servers.size(), 2u);
    std::set<int> cells;
    for (int server : hang.servers) {
        const ServerFigures& each = day.servers[std::size_t(server)];
        EXPECT_GT(each.exists_from.count(), 0);
        cells.insert(each.cell);
    }
    EXPECT_EQ(cells, (std::set<int>{day.servers[2].cell, day.servers[4].cell}));
    // A drain that comes first in the file keeps the release from that server.
    std::size_t drains = 0;
    for (const Fault& each :
         drawn(FAULT_OF("drain") "at_s = 1\nservers = [3]\n" FAULT_OF("replace") "at_s = 1\n", 1).faults)
        drains += std::size_t(std::count(each.servers.begin(), each.servers.end(), 3));
    EXPECT_EQ(drains, 1u);
}

TEST(Draw, AnyValuesThatAreAcceptedMakeADay) {
    std::mt19937_64 lots(1);
    const auto pick = [&](double lo, double hi) { return lo + (hi - lo) * double(lots() >> 11) * 0x1p-53; };
    int accepted = 0;
    for (int i = 0; i < 400; ++i) {
        std::string text = "[day]\nlength_s = 7\n[load]\nrate = 300\n";
        for (const scenario::Section& section : scenario::sections()) {
            const std::string_view name = section.name;
            if (name.empty() || name == "day" || name == "load" || name == "fault" || name == "faults")
                continue;
            text += fmt::format(fmt::runtime(section.list ? "[[{0}]]\nname = \"{0}\"\n" : "[{0}]\n"), name);
            for (const scenario::Setting& setting : section.settings) {
                const bool whole = setting.type == scenario::Type::Whole;
                if ((!whole && setting.type != scenario::Type::Number) || pick(0, 1) < 0.7) continue;
                double a = pick(0, 1) < 0.2 ? setting.least
                                            : pick(setting.least, std::min(setting.most, 50 + setting.least));
                double b = pick(0, 1) < 0.2 ? a : pick(a, std::min(setting.most, a + 50));
                if (whole) a = std::floor(a), b = std::floor(b);
                text += fmt::format("{} = [{}, {}]\n", setting.name, scenario::plain(a), scenario::plain(b));
            }
        }
        const auto& rules = scenario::fault_rules();
        const scenario::FaultRule& rule = rules[lots() % rules.size()];
        if (rule.random) text += fmt::format("[faults]\nrandom = [\"{}\"]\n", rule.name);
        try {
            const Day day = drawn(text, std::uint64_t(i));
            ++accepted;
            EXPECT_TRUE(std::isfinite(day.capacity_rps) && day.capacity_rps > 0) << text;
            EXPECT_TRUE(std::is_sorted(day.arrivals.begin(), day.arrivals.end(),
                                       [](const Arrival& a, const Arrival& b) { return a.at < b.at; }));
            EXPECT_LT(day.arrivals.empty() ? 0 : day.arrivals.back().at.count(), 7000);
            for (const Fault& each : day.faults) EXPECT_LE(each.end().count(), 7000 + 1e-6);
        } catch (const ScenarioError& error) {
            EXPECT_TRUE(std::string_view(error.what()).starts_with("x.toml:")) << error.what();
        }
    }
    EXPECT_GT(accepted, 20);
}

TEST(Default, IsTheDeploymentOfTheBrief) {
    const Scenario scenario = Scenario::parse("", "plain.toml");
    EXPECT_EQ(scenario.name(), "plain");
    std::set<std::size_t> fleets;
    double arrivals = 0;
    for (std::uint64_t seed = 0; seed < 40; ++seed) {
        const Day day = scenario.draw(seed);
        sound(day);
        EXPECT_EQ(day.classes.size(), 4u);
        EXPECT_EQ(day.tenants.size(), 6u);
        EXPECT_EQ(day.kinds, (std::vector<std::string>{"fast-box", "std-box"}));
        EXPECT_EQ(day.network.zones, (std::vector<std::string>{"shah-alam", "cyberjaya", "seremban"}));
        EXPECT_EQ(day.nodes.size(), 3u);
        EXPECT_TRUE(day.faults.empty());
        fleets.insert(day.servers.size());
        arrivals += double(day.arrivals.size());
        EXPECT_TRUE(day.network.ms[0][1] >= 1.4 && day.network.ms[0][1] <= 2.6);
        EXPECT_EQ(day.network.ms[0][1], day.network.ms[1][0]);
    }
    EXPECT_EQ(fleets, (std::set<std::size_t>{10, 11, 12, 13}));
    EXPECT_NEAR(arrivals / 40 / 20, 320, 5);
}

struct Faulty {
    const char* text;
    const char* said;
};

class FaultyFile : public ::testing::TestWithParam<Faulty> {};

TEST_P(FaultyFile, IsToldByLineAndKey) {
    EXPECT_EQ(faults_in(GetParam().text), GetParam().said);
}

#define FAULT "[[fault]]\nkind = "
INSTANTIATE_TEST_SUITE_P(
    Table, FaultyFile,
    ::testing::Values(
        Faulty{"[load]\nrate = \"fast\"\n",
               "x.toml:2:8: load.rate: wants a number or a range [lo, hi], not a text"},
        Faulty{"[load]\nrate = 2_000_000\n", "x.toml:2:8: load.rate: 2000000 is outside 0 to 1000000"},
        Faulty{"[load]\nrate = nan\n", "x.toml:2:8: load.rate: no number is outside 0 to 1000000"},
        Faulty{"[load]\nrate = [5, 3]\n", "x.toml:2:8: load.rate: the range [5, 3] is the wrong way round"},
        Faulty{"[load]\nrate = [1, 2, 3]\n",
               "x.toml:2:8: load.rate: wants a number or a range [lo, hi], not a list of 3"},
        Faulty{"[load]\nraet = 3\n", "x.toml:2:1: load.raet: unknown key; did you mean \"rate\"?"},
        Faulty{"[load]\nxylophone = 3\n", "x.toml:2:1: load.xylophone: unknown key"},
        Faulty{"[day]\nrate = 3\n", "x.toml:2:1: day.rate: unknown key here; it stands in [load]"},
        Faulty{"rate = 3\n", "x.toml:1:1: rate: unknown key here; it stands in [load]"},
        Faulty{"[laod]\nrate = 3\n", "x.toml:1:2: laod: unknown section; did you mean \"load\"?"},
        Faulty{"[class]\nname = \"a\"\n", "x.toml:1:2: class: write [[class]]: it is a list"},
        Faulty{"[[load]]\nrate = 1\n", "x.toml:1:3: load: write [load]: it stands once"},
        Faulty{"[load]\nshape = \"weave\"\n",
               "x.toml:2:9: load.shape: there is no \"weave\"; did you mean \"wave\"?"},
        Faulty{"[load]\nrate = 3\nutilisation = 0.5\n",
               "x.toml:3:15: load.utilisation: stands beside rate; give one"},
        Faulty{"[day]\nlength_s = 4000\n", "x.toml:2:12: day.length_s: 4000 is outside 0.1 to 3600"},
        Faulty{"[day]\nlength_s = 5\ncounted_from_s = 6\n",
               "x.toml:3:18: day.counted_from_s: 6 is no time before the day's end at 5"},
        Faulty{"[fleet]\nservers = 20001\n", "x.toml:2:11: fleet.servers: 20001 is outside 1 to 20000"},
        Faulty{"[fleet]\nservers = 2.5\n",
               "x.toml:2:11: fleet.servers: wants a whole number or a range [lo, hi], not a number"},
        Faulty{"[fleet]\ncancel_running = 1\n",
               "x.toml:2:18: fleet.cancel_running: wants true, false or [false, true], not a whole number"},
        Faulty{"[nodes]\ncount = 2001\n", "x.toml:2:9: nodes.count: 2001 is outside 1 to 2000"},
        Faulty{"[nodes]\ncount = 1\n[[zone]]\nname = \"a\"\n[[zone]]\nname = \"b\"\n",
               "x.toml:2:9: nodes.count: 1 cannot stand in each of 2 zones with traffic"},
        Faulty{"[load]\nrate = 300000\n[day]\nlength_s = 100\n",
               "x.toml:2:8: load.rate: may come to 30000000 arrivals in all; at most 20000000 are played"},
        Faulty{"[load]\nutilisation = 9\n[fleet]\nservers = 20000\n[[class]]\nname = \"a\"\nwork_ms = 1\n",
               "x.toml:2:15: load.utilisation: may come to 306000000 requests/s; at most 1000000 are played"},
        Faulty{"[[class]]\nname = \"a\"\nshare = 0\n[[class]]\nname = \"b\"\nshare = [0, 1]\n",
               "x.toml:3:9: class.share: the shares of all [[class]] may add up to nothing"},
        Faulty{"[[class]]\nshare = 1\n", "x.toml:1:1: class.name: is needed"},
        Faulty{"[[class]]\nname = \"a b\"\n",
               "x.toml:2:8: class.name: \"a b\" is no name: up to 64 letters, digits, - and _"},
        Faulty{"[[class]]\nname = \"a\"\n[[class]]\nname = \"a\"\n",
               "x.toml:4:8: class.name: \"a\" stands twice"},
        Faulty{"[[class]]\nname = \"a\"\naim_ms = 700\n",
               "x.toml:3:10: class.aim_ms: 700 is after give_up_ms, 600"},
        Faulty{"[[class]]\nname = \"a\"\neffect = \"guarded\"\nwindow_ms = 0\n",
               "x.toml:4:13: class.window_ms: wants more than 0 for a guarded class"},
        Faulty{"[[tenant]]\nname = \"a\"\nusage = 0\n",
               "x.toml:3:9: tenant.usage: no [[tenant]] with a share asks for anything"},
        Faulty{"[[kind]]\nname = \"a\"\ncold_from = 0.2\n",
               "x.toml:3:13: kind.cold_from: 0.2 is less than nodes are told by limits.cold_from, 0.3"},
        Faulty{"[limits]\ncold_s = 8\n",
               "x.toml:2:10: limits.cold_s: 8 is less than a fast-box may need, 8.2"},
        Faulty{FAULT "\"hnag\"\nat_s = 1\n",
               "x.toml:2:8: fault.kind: there is no \"hnag\"; did you mean \"hang\"?"},
        Faulty{FAULT "\"hang\"\n", "x.toml:1:1: fault.at_s: is needed by hang"},
        Faulty{FAULT "\"hang\"\nat_s = 20\n",
               "x.toml:3:8: fault.at_s: 20 is not before the day's end at 20 s"},
        Faulty{FAULT "\"hang\"\nat_s = [1, 5]\nfor_s = 16\n",
               "x.toml:4:9: fault.for_s: ends at 21 s, after the day's 20 s"},
        Faulty{FAULT "\"hang\"\nat_s = 1\nfor_s = 0\n", "x.toml:4:9: fault.for_s: wants more than 0"},
        Faulty{FAULT "\"hang\"\nat_s = 1\nservers = [0, 10]\n",
               "x.toml:4:11: fault.servers: 10 is not there for sure: they are 0 to 9"},
        Faulty{FAULT "\"hang\"\nat_s = 1\nservers = 11\n",
               "x.toml:4:11: fault.servers: wants 11 of what may be only 10"},
        Faulty{FAULT "\"hang\"\nat_s = 1\nservers = 1\npart = 0.1\n",
               "x.toml:5:8: fault.part: stands beside servers; give one"},
        Faulty{
            FAULT "\"hang\"\nat_s = 1\nsize = 0.1\n",
            "x.toml:4:8: fault.size: means nothing to hang, which takes at_s, for_s, servers, part, zones"},
        Faulty{FAULT "\"fast_errors\"\nat_s = 1\nsize = 50\n",
               "x.toml:4:8: fault.size: 50 is outside 0 to 1, part of the requests"},
        Faulty{FAULT "\"node_memory\"\n", "x.toml:1:1: fault.size: is needed by node_memory"},
        Faulty{FAULT "\"crash\"\nat_s = 1\nzones = [\"serembam\"]\n",
               "x.toml:4:9: fault.zones: there is no zone \"serembam\"; did you mean \"seremban\"?"},
        Faulty{FAULT "\"surge\"\nat_s = 1\ntenant = \"nobody\"\n",
               "x.toml:4:10: fault.tenant: there is no tenant \"nobody\""},
        Faulty{FAULT "\"partition\"\nat_s = 1\nbetween = \"nodes\"\n",
               "x.toml:1:1: fault.and: is needed by partition"},
        Faulty{FAULT "\"partition\"\nat_s = 1\nbetween = \"nodes\"\nand = \"zone:moon\"\n",
               "x.toml:5:7: fault.and: there is no zone \"moon\""},
        Faulty{FAULT "\"partition\"\nat_s = 1\nbetween = \"clients\"\nand = \"clients\"\n",
               "x.toml:5:7: fault.and: both sides are \"clients\""},
        Faulty{FAULT "\"partition\"\nat_s = 1\nbetween = \"clients\"\nand = \"nodes\"\nservers = 1\n",
               "x.toml:6:11: fault.servers: narrows a side \"servers\", and none is named so"},
        Faulty{"[faults]\nrandom = [\"node_memory\"]\n",
               "x.toml:2:10: faults.random: \"node_memory\" holds all day and is not drawn"},
        Faulty{"[faults]\ncount = 2\n", "x.toml:2:9: faults.count: does nothing without faults.random"},
        Faulty{"[faults]\nrandom = [\"hang\"]\nwithin_s = [5, 30]\n",
               "x.toml:3:12: faults.within_s: ends at 30 s, after the day's 20 s"},
        Faulty{"[expect]\n\"worth.whole\" = \"> 0.9\"\n",
               "x.toml:2:17: expect.worth.whole: wants \">= number\" or \"<= number\", not \"> 0.9\""},
        Faulty{"[expect]\nworth.whole = \">= high\"\n",
               "x.toml:2:15: expect.worth.whole: \">= high\" names no bound"},
        Faulty{"[expect.each]\nbreaches = 0\n",
               "x.toml:2:12: expect.each.breaches: wants a text such as \">= 0.9\", not a whole number"},
        Faulty{"[expect]\n\"classes.place-oder.worth\" = \">= 0.9\"\n",
               "x.toml:2:1: expect.classes.place-oder.worth: there is no class \"place-oder\"; did you mean "
               "\"place-order\"?"}));

TEST(FaultyFiles, TellAllFaultsAtOnceInTheOrderOfTheFile) {
    EXPECT_EQ(faults_in("[load]\nraet = 3\nswing = 2\n[[fault]]\nkind = \"slow\"\n[clients]\ntries = -1\n"
                        "[[class]]\nname = \"stock-check\"\naim_ms = 601\n[load.x]\n"),
              "x.toml:2:1: load.raet: unknown key; did you mean \"rate\"?\n"
              "x.toml:3:9: load.swing: 2 is outside 0 to 0.95\n"
              "x.toml:4:1: fault.at_s: is needed by slow\n"
              "x.toml:7:9: clients.tries: -1 is outside 0 to 20\n"
              "x.toml:10:10: class.aim_ms: 601 is after give_up_ms, 600\n"
              "x.toml:11:7: load.x: unknown key");
}

TEST(FaultyFiles, SyntaxIsToldInTheSameForm) {
    EXPECT_TRUE(faults_in("[load]\nrate = = 3\n").starts_with("x.toml:2:8: syntax: "))
        << faults_in("[load]\nrate = = 3\n");
    EXPECT_TRUE(faults_in("[load]\nrate = 1\nrate = 2\n").starts_with("x.toml:3:"))
        << faults_in("[load]\nrate = 1\nrate = 2\n");
    EXPECT_EQ(faults_in(std::string(std::size_t(1) << 20, '#') + "\n"),
              "x.toml:1:1: file: is larger than 1048576 bytes");
    // Nothing that is cut off or out of place gets past the reader as anything but faults by line.
    const std::string whole = contents(shipped_scenarios() + "/partition.toml");
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        const std::string said = faults_in(whole.substr(0, cut));
        EXPECT_TRUE(said == "none" || said.starts_with("x.toml:")) << said;
    }
}

TEST(FaultyFiles, FilesThatCannotBeReadAreNamed) {
    const auto said = [](const std::string& path) {
        try {
            Scenario::read(path);
        } catch (const ScenarioError& error) {
            return std::string(error.what());
        }
        return std::string("none");
    };
    EXPECT_EQ(said("./none.toml"), "./none.toml:1:1: file: cannot be read: No such file or directory");
    EXPECT_EQ(said("/"), "/:1:1: file: cannot be read: it is a folder");
    EXPECT_EQ(said("clam"), "clam:1:1: file: no scenario of this name ships; did you mean \"calm\"?");
}

TEST(Expect, IsReadFromEitherWayOfWritingAPath) {
    const Scenario scenario = Scenario::parse(
        "[expect]\nworth.whole = \">= 0.9\"\n\"latency.p99_ms\" = \"<=250\"\n[expect.each]\nbreaches = \"<= "
        "0\"\n",
        "x");
    const auto& all = scenario.expectations();
    ASSERT_EQ(all.size(), 3u);
    std::set<std::string> seen;
    for (const Expectation& each : all)
        seen.insert(fmt::format("{} {} {} {} {}", each.line, each.figure,
                                each.how == Expectation::How::AtLeast ? ">=" : "<=", each.bound, each.each));
    EXPECT_EQ(seen, (std::set<std::string>{"2 worth.whole >= 0.9 false", "3 latency.p99_ms <= 250 false",
                                           "5 breaches <= 0 true"}));
}

TEST(Docs, ExamplesOfTheReferenceAreRead) {
    for (const scenario::Section& section : scenario::sections()) {
        for (const scenario::Setting& setting : section.settings) {
            const std::string path = fmt::format("{}.{}: ", section.name, setting.name);
            std::string text;
            if (*section.name)
                text = fmt::format(fmt::runtime(section.list ? "[[{}]]\n" : "[{}]\n"), section.name);
            if (std::string_view(section.name) == "faults" && std::string_view(setting.name) != "random")
                text += "random = [\"hang\"]\n";
            if (std::string_view(section.name) == "fault" && std::string_view(setting.name) != "kind")
                for (const scenario::FaultRule& rule : scenario::fault_rules())
                    if (rule.may(setting.name)) {
                        text += fmt::format("kind = \"{}\"\n", rule.name);
                        break;
                    }
            const std::string said =
                faults_in(text + fmt::format("{} = {}\n", setting.name, setting.example));
            EXPECT_EQ(said.find(path), std::string::npos) << said;
        }
    }
}

TEST(Docs, HoldTheReferenceThatTheTablesGive) {
    const std::string path = shipped_scenarios() + "/../../docs/lab-scenarios.md",
                      reference = scenario_reference();
    if (contents(path).find(reference) == std::string::npos) {
        const std::string made = ::testing::TempDir() + "lab-scenarios-reference.md";
        std::ofstream(made) << reference;
        FAIL() << path << " does not hold the reference of today's settings; it was written to " << made;
    }
    for (const std::string& name : shipped_names())
        EXPECT_NE(contents(path).find(fmt::format("| `{}` | {} |", name, Scenario::read(name).summary())),
                  std::string::npos)
            << name;
}

}  // namespace
