// Conversion between schema versions: up and down is the identity for all adjacent versions, writes in
// between are kept, nothing spent is lost, and files of every released version are still read.
#include "fleet/schema/schema.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

#include "tests/fleet/schema_world.h"

namespace ochrehub::schema {
namespace {

constexpr Kind kAll[] = {Kind::Sessions, Kind::Rates, Kind::Rules, Kind::Fences, Kind::Snapshots};

Group must(Result result) {
    if (auto* failure = std::get_if<Failure>(&result)) {
        ADD_FAILURE() << sentence(*failure);
        RC_FAIL(sentence(*failure));
    }
    return std::get<Group>(std::move(result));
}
Spent sums(Kind kind, Version schema, const Group& group) {
    return std::get<Spent>(spent(kind, schema, group));
}
Draw drawn() {
    return [](std::uint64_t below) { return *rc::gen::inRange<std::uint64_t>(0, below); };
}
void for_pairs(const std::function<void(Kind, Version)>& law) {
    for (Kind kind : kAll)
        for (Version from = 1; from < newest_version(kind); ++from) {
            SCOPED_TRACE(std::string(name(kind)) + " " + std::to_string(from));
            EXPECT_TRUE(
                rc::check(std::string(name(kind)) + " " + std::to_string(from), [&] { law(kind, from); }));
        }
}

TEST(SchemaSteps, UpAndDownIsTheIdentity) {
    for_pairs([](Kind kind, Version from) {
        Group x = fresh(kind, from, drawn());
        Group y = must(up(kind, from, x));
        RC_ASSERT(must(down(kind, from + 1, y)) == must(canonical(kind, from, x)));
        RC_ASSERT(must(canonical(kind, from + 1, y)) == y);
        RC_ASSERT(must(bare(kind, from + 1, y)) == alone(kind, from + 1, y));
    });
}
TEST(SchemaSteps, DownAndUpIsTheIdentity) {
    for_pairs([](Kind kind, Version from) {
        Group y = fresh(kind, from + 1, drawn());
        Group x = must(down(kind, from + 1, y));
        Group again = must(up(kind, from, x));
        RC_ASSERT(alone(kind, from + 1, again) == must(canonical(kind, from + 1, y)));
        RC_ASSERT(must(down(kind, from + 1, again)) == x);
        RC_ASSERT(must(up(kind, from, must(down(kind, from + 1, again)))) == again);
    });
}
TEST(SchemaSteps, WritesInOlderVersionAreVisibleInNewer) {
    for_pairs([](Kind kind, Version from) {
        Draw draw = drawn();
        Group x = must(down(kind, from + 1, fresh(kind, from + 1, draw)));
        Group later = written_on(kind, from, x, draw);
        Group y = must(up(kind, from, later));
        RC_ASSERT(alone(kind, from, must(down(kind, from + 1, y))) ==
                  alone(kind, from, must(canonical(kind, from, later))));
    });
}
TEST(SchemaSteps, WritesInNewerVersionAreVisibleInOlder) {
    for_pairs([](Kind kind, Version from) {
        Draw draw = drawn();
        Group y = must(up(kind, from, fresh(kind, from, draw)));
        Group later = written_on(kind, from + 1, y, draw);
        Group x = must(down(kind, from + 1, later));
        RC_ASSERT(alone(kind, from + 1, must(up(kind, from, x))) ==
                  alone(kind, from + 1, must(canonical(kind, from + 1, later))));
    });
}
TEST(SchemaSteps, NoSpentAmountIsLostOnAnyPath) {
    EXPECT_TRUE(rc::check([] {
        Draw draw = drawn();
        Version at = Version(1 + draw(3));
        Group group = fresh(Kind::Rates, at, draw);
        for (int i = 0; i < 6; ++i) {
            Version to = at == 1 ? 2 : at == 3 ? 2 : draw(2) ? 1 : 3;
            Group next = must(convert(Kind::Rates, at, to, group));
            auto exact_before = sums(Kind::Rates, at, group), exact = sums(Kind::Rates, to, next);
            auto shown = face(to, next);
            RC_ASSERT(exact.size() == exact_before.size());
            for (const auto& [tenant, was] : exact_before) {
                RC_ASSERT(exact[tenant] >= was);
                RC_ASSERT(exact[tenant] <= was + kMillion);  // and nothing is added
                RC_ASSERT(shown[tenant] + 1 >= was);
            }
            if (i == 0)
                for (const auto& [tenant, was] : face(at, group)) RC_ASSERT(exact[tenant] >= was);
            // One more request, as this version counts.
            Group more = written_on(Kind::Rates, to, next, [&](std::uint64_t below) {
                return below == 3 ? 1 : below == 9 ? 4 : below == 5'000'000 ? 4'000'000 : below - 1;
            });
            auto after = sums(Kind::Rates, to, more);
            for (const auto& [tenant, was] : exact) RC_ASSERT(after[tenant] >= was + 4 * kMillion);
            group = more, at = to;
        }
    }));
}
template <class M>
M item(const Group& group, std::size_t at = 0) {
    M m;
    EXPECT_LT(at, group.size());
    EXPECT_TRUE(at < group.size() && m.ParseFromString(group[at].value));
    return m;
}
TEST(SchemaSteps, ChangeInOlderVersionChangesNothingElse) {
    EXPECT_TRUE(rc::check([] {
        Draw draw = drawn();
        wire::Session4 four;
        place(draw, four), four.set_server("s"), four.set_left_ms(number(draw)), four.add_under_way(3);
        Group three = must(down(Kind::Sessions, 4, {{key_of("a", "c"), bytes(four)}}));
        Group two = must(down(Kind::Sessions, 3, three));
        wire::Place2 where = item<wire::Place2>(two);
        bool moves = draw(2), seen = draw(2);
        if (moves) where.set_cell(where.cell() == 5 ? 6 : 5);
        if (seen) where.set_idle_ms(where.idle_ms() / 2 + 1);
        where.set_server("other");
        wire::Work2 work;
        work.add_under_way(4), work.add_under_way(3), work.add_under_way(4);
        two[0].value = bytes(where), two[1].value = bytes(work);
        wire::Session4 again = item<wire::Session4>(must(convert(Kind::Sessions, 2, 4, two)));
        RC_ASSERT(again.server() == "other");
        RC_ASSERT(again.under_way_size() == 2 && again.under_way(0) == 3 && again.under_way(1) == 4);
        RC_ASSERT(again.cell() == (moves ? "cell-" + std::to_string(where.cell()) : four.cell()));
        bool changed =
            seen && where.idle_ms() != item<wire::Place2>(must(down(Kind::Sessions, 3, three))).idle_ms();
        RC_ASSERT(again.left_ms() == (!changed                            ? four.left_ms()
                                      : where.idle_ms() < kBindingLeaseMs ? kBindingLeaseMs - where.idle_ms()
                                                                          : 0));
    }));
}
TEST(SchemaSteps, ChangeInNewerVersionChangesNothingElse) {
    wire::Place2 where;
    where.set_cell(0xffffffff), where.set_server("s"), where.set_idle_ms(kBindingLeaseMs * 3);
    Group four = must(convert(Kind::Sessions, 2, 4, {{"p" + key_of("a", "c"), bytes(where)}}));
    wire::Session4 session = item<wire::Session4>(four);
    session.set_server("t");
    Group two = must(convert(Kind::Sessions, 4, 2, {{four[0].key, bytes(session)}}));
    EXPECT_EQ(item<wire::Place2>(two).idle_ms(), kBindingLeaseMs * 3);
    EXPECT_EQ(item<wire::Place2>(two).cell(), 0xffffffff);
    EXPECT_EQ(item<wire::Place2>(two).server(), "t");
    session.set_cell("cell-2"), session.set_left_ms(1000);
    two = must(convert(Kind::Sessions, 4, 2, {{four[0].key, bytes(session)}}));
    EXPECT_EQ(item<wire::Place2>(two).idle_ms(), kBindingLeaseMs - 1000);
    EXPECT_EQ(item<wire::Place2>(two).cell(), 2u);
}
TEST(SchemaSteps, SpendingIsAddedInTheOtherVersion) {
    EXPECT_TRUE(rc::check([] {
        Draw draw = drawn();
        wire::Bucket3 bucket;
        bucket.set_burst(10 * kMillion), bucket.set_per_s(kMillion), bucket.set_spent(draw(9 * kMillion));
        Group two = must(down(Kind::Rates, 3, {{key_of("a", "c"), bytes(bucket)}}));
        wire::Use use = item<wire::Use>(two);
        RC_ASSERT(use.counted() * kMillion >= bucket.spent() &&
                  use.counted() * kMillion < bucket.spent() + kMillion);
        std::uint64_t more = draw(5);
        wire::Use later = use;
        later.set_counted(use.counted() + more);
        RC_ASSERT(item<wire::Bucket3>(must(up(Kind::Rates, 2, {{two[0].key, bytes(later)}}))).spent() ==
                  bucket.spent() + more * kMillion);
        later.set_rolls(2);  // a window without requests has passed, so earlier rounding has no effect
        RC_ASSERT(item<wire::Bucket3>(must(up(Kind::Rates, 2, {{two[0].key, bytes(later)}}))).spent() ==
                  later.counted() * kMillion);
        later.set_previous(3);
        RC_ASSERT(item<wire::Bucket3>(must(up(Kind::Rates, 2, {{two[0].key, bytes(later)}}))).spent() >=
                  later.counted() * kMillion);

        Group above = must(up(Kind::Rates, 2, {{two[0].key, bytes(later)}}));
        wire::Bucket3 on = item<wire::Bucket3>(above);
        std::uint64_t was = on.spent();
        for (std::uint64_t spent : {was + draw(3 * kMillion), draw(was + 1)}) {
            on.set_spent(spent);
            std::uint64_t shown = face(2, must(down(Kind::Rates, 3, {{above[0].key, bytes(on)}})))["a"];
            RC_ASSERT(shown + 1 >= spent && shown <= spent + kMillion);
        }
    }));
}
TEST(SchemaSteps, RecordsAreSplitAndMerged) {
    wire::Sessions1 all;
    for (const char* tenant : {"a", "b"}) {
        auto& one = *all.add_bound();
        one.set_tenant(tenant), one.mutable_binding()->set_cell(3), one.mutable_binding()->add_under_way(7);
        one.mutable_binding()->set_idle_ms(1000);
    }
    Group two = must(up(Kind::Sessions, 1, {{"c", bytes(all)}}));
    ASSERT_EQ(two.size(), 4u);  // place and work of each tenant
    for (const Record& record : two) EXPECT_EQ(group_of(Kind::Sessions, 2, record.key), "c");
    Group three = must(up(Kind::Sessions, 2, two));
    ASSERT_EQ(three.size(), 2u);
    wire::Session3 session;
    ASSERT_TRUE(session.ParseFromString(three[0].value));
    EXPECT_EQ(session.left_ms(), kBindingLeaseMs - 1000);
    Group four = must(up(Kind::Sessions, 3, three));
    wire::Session4 named;
    ASSERT_TRUE(named.ParseFromString(four[0].value));
    EXPECT_EQ(named.cell(), "cell-3");
    EXPECT_EQ(must(convert(Kind::Sessions, 4, 1, four)),
              must(canonical(Kind::Sessions, 1, {{"c", bytes(all)}})));
}
TEST(SchemaSteps, WindowsBecomeABucketWithSpentRoundedUp) {
    wire::Use use;
    use.set_window_ms(7), use.set_limit(10), use.set_counted(3), use.set_previous(1), use.set_left_ms(1);
    Group three = must(up(Kind::Rates, 2, {{key_of("a", "c"), bytes(use)}}));
    wire::Bucket3 bucket;
    ASSERT_TRUE(bucket.ParseFromString(three[0].value));
    EXPECT_EQ(bucket.spent(), 3'142'858u);      // 3 1/7 requests
    EXPECT_EQ(bucket.per_s(), 1'428'571'428u);  // rounded down
    EXPECT_EQ(bucket.burst(), 10'000'000u);
}

TEST(Errors, EachIsCaused) {
    std::set<std::string> caused;
    auto error = [&](const Result& result) {
        const Failure& failure = std::get<Failure>(result);
        caused.insert(std::string(row(failure.error).code));
        return failure.error;
    };
    Kind kind{};
    if (!parse_kind("baskets", kind)) caused.insert(std::string(row(Error::UnknownKind).code));
    EXPECT_EQ(error(up(Kind::Sessions, 4, {})), Error::UnknownSchema);
    EXPECT_EQ(error(down(Kind::Sessions, 1, {})), Error::UnknownSchema);
    EXPECT_EQ(error(canonical(Kind::Rates, 0, {})), Error::UnknownSchema);
    EXPECT_EQ(error(canonical(Kind::Rates, 4, {})), Error::UnknownSchema);
    wire::Use use;
    use.set_window_ms(1), use.set_counted(kMillion << 44);
    EXPECT_EQ(error(up(Kind::Rates, 2, {{key_of("a", "c"), bytes(use)}})), Error::DoesNotFit);
    EXPECT_EQ(error(canonical(Kind::Rules, 1, {{"r", std::string(kMaxGroupBytes + 1, 'x')}})),
              Error::TooLarge);
    Ranges none = ranges_of_newest({4, 3, 2, 1, 1}), now = none;
    none[1] = {3, 2};
    auto fault = [&](const Ranges& a, const Ranges& b) {
        auto result = compatible(a, b);
        if (result.index()) caused.insert(std::string(row(std::get<Failure>(result).error).code));
        return result.index() ? sentence(std::get<Failure>(result)) : std::string();
    };
    EXPECT_TRUE(fault(none, now).starts_with("schema.empty-range: rates"));
    Ranges before = ranges_of_newest({3, 2, 1, 1, 1}), long_before = ranges_of_newest({2, 2, 1, 1, 1});
    EXPECT_EQ(fault(before, now), "");
    EXPECT_EQ(fault(now, before), "");
    EXPECT_EQ(
        fault(now, long_before),
        "schema.apart: sessions, 3 to 4 and 1 to 2: two releases without a common schema version can't run "
        "together; upgrade by one release at a time: first to the release in between");
    EXPECT_EQ(supported_ranges(), now);

    // A version refuses records of another version, truncated ones, and ones with an additional field.
    wire::Session4 four;
    four.set_cell("rack north"), four.set_server("s"), four.add_under_way(300);
    Group of_four{{key_of("a", "c"), bytes(four)}};
    EXPECT_EQ(error(canonical(Kind::Sessions, 3, of_four)), Error::Malformed);
    EXPECT_EQ(error(canonical(Kind::Sessions, 2, of_four)), Error::Malformed);
    EXPECT_EQ(error(canonical(Kind::Sessions, 1, of_four)), Error::Malformed);
    for (std::string value : {bytes(four).substr(0, bytes(four).size() - 1), bytes(four) + "\x28\x01",
                              bytes(four) + std::string("\x0f")})
        EXPECT_EQ(error(canonical(Kind::Sessions, 4, {{key_of("a", "c"), value}})), Error::Malformed);
    EXPECT_EQ(error(canonical(Kind::Sessions, 4, {{"a", bytes(four)}})), Error::Malformed);
    EXPECT_EQ(error(canonical(Kind::Sessions, 4, {of_four[0], {key_of("a", "d"), bytes(four)}})),
              Error::Malformed);
    EXPECT_EQ(error(canonical(Kind::Sessions, 4, {of_four[0], of_four[0]})), Error::Malformed);
    four.set_behind("not kept by any step");
    EXPECT_EQ(error(down(Kind::Sessions, 4, {{key_of("a", "c"), bytes(four)}})), Error::Malformed);
    EXPECT_EQ(caused.size(), kErrors);
}

// Files of released versions

std::string file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}
std::string framed(const Group& group) {
    std::string out;
    for (const Record& r : group)
        for (const std::string* part : {&r.key, &r.value})
            out.append(1, char(part->size() >> 8)).append(1, char(part->size())).append(*part);
    return out;
}
Group unframed(const std::string& octets) {
    Group group;
    std::size_t at = 0;
    auto part = [&] {
        std::size_t size = std::size_t((unsigned char)octets[at]) << 8 | (unsigned char)octets[at + 1];
        at += 2 + size;
        return octets.substr(at - size, size);
    };
    while (at + 1 < octets.size()) {
        std::string key = part();
        group.push_back({key, part()});
    }
    return group;
}
std::uint64_t next(std::uint64_t& state) {
    return (state = state * 6364136223846793005u + 1442695040888963407u) >> 33;
}

TEST(ReleasedSchemas, EveryVersionHasItsFileAndIsStillRead) {
    const std::string folder = OCHREHUB_RELEASED;
    for (Kind kind : kAll)
        for (Version schema = 1; schema <= newest_version(kind); ++schema) {
            std::string path = folder + "/" + std::string(name(kind)) + "_" + std::to_string(schema);
            std::string octets = file(path);
            // Run with OCHREHUB_WRITE_RELEASED=1 to add the file of a new version. Existing files are never
            // overwritten.
            if (octets.empty() && std::getenv("OCHREHUB_WRITE_RELEASED")) {
                std::uint64_t state = schema * 10 + std::uint64_t(kind);
                Draw draw = [&](std::uint64_t below) { return next(state) % below; };
                Group group;
                while (group.empty()) group = must(canonical(kind, schema, fresh(kind, schema, draw)));
                std::ofstream(path, std::ios::binary) << (octets = framed(group));
                // The conversions of its release to all other versions must be unchanged too.
                std::ofstream as_text(path + ".as");
                for (Version to = 1; to <= newest_version(kind); ++to) {
                    std::string other = framed(must(convert(kind, schema, to, group)));
                    as_text << to << ' ';
                    for (unsigned char c : other)
                        as_text << "0123456789abcdef"[c >> 4] << "0123456789abcdef"[c & 15];
                    as_text << '\n';
                }
            }
            ASSERT_FALSE(octets.empty()) << path << " is missing";
            Group group = unframed(octets);
            ASSERT_EQ(framed(group), octets) << path;
            EXPECT_EQ(must(canonical(kind, schema, group)), group) << path;
            std::ifstream as_text(path + ".as");
            Version to = 0;
            std::string hex;
            int read = 0;
            for (; as_text >> to >> hex; ++read) {
                std::string other;
                for (std::size_t i = 0; i + 1 < hex.size(); i += 2)
                    other += char(std::stoi(hex.substr(i, 2), nullptr, 16));
                EXPECT_EQ(framed(must(convert(kind, schema, to, group))), other)
                    << path << " in schema " << to;
                EXPECT_EQ(must(convert(kind, to, schema, unframed(other))), group)
                    << path << " from schema " << to;
            }
            EXPECT_GE(read, int(schema)) << path << ".as";
        }
}

}  // namespace
}  // namespace ochrehub::schema
