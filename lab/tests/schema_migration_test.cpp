// Simulated migrations: the invariants hold under crashes, pauses, lost and late messages, and every mutant
// is detected. Long runs are in lab_migration_runs.
#include <gtest/gtest.h>
#include <records.pb.h>
#include <schema_migration.pb.h>

#include <functional>
#include <stdexcept>
#include <utility>

#include "lab/schema_migration/nodes.h"
#include "lab/schema_migration/simulation.h"

namespace ochrehub::lab::migration {
namespace {

using m::Error;
using m::Stage;

Settings settings_for(Kind kind, Version from, Version to, std::uint64_t seed = 1) {
    Settings settings;
    settings.kind = kind, settings.from = from, settings.to = to, settings.seed = seed;
    return settings;
}
std::string all(const Outcome& outcome) {
    std::string text = std::string(m::name(outcome.stage)) + ", stopped " + std::to_string(outcome.stopped) +
                       " " + outcome.about;
    for (const std::string& broken : outcome.broken) text += "\n    " + broken;
    return text;
}
void expect_success(const Outcome& outcome, Stage stage) {
    EXPECT_TRUE(outcome.broken.empty()) << all(outcome);
    EXPECT_EQ(outcome.stage, stage) << all(outcome);
    EXPECT_GT(outcome.acked, 50u);
}

TEST(SchemaMigration, AllAdjacentVersionsUpAndDown) {
    for (Kind kind : {Kind::Sessions, Kind::Rates})
        for (Version from = 1; from < schema::newest_version(kind); ++from) {
            expect_success(run(settings_for(kind, from, from + 1)), Stage::Done);
            expect_success(run(settings_for(kind, from + 1, from)), Stage::Done);
        }
}
TEST(SchemaMigration, LostAndDuplicatedMessages) {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        Settings settings = settings_for(seed % 2 ? Kind::Sessions : Kind::Rates, 2, 3, seed);
        settings.loss = 0.05, settings.doubled = 0.1;
        expect_success(run(settings), Stage::Done);
    }
}
TEST(SchemaMigration, GoesBackFromEachStageBeforeNarrowAndRestarts) {
    for (Stage stage : {Stage::Widen, Stage::Convert, Stage::Compare, Stage::Switch, Stage::Hold})
        for (bool again : {false, true}) {
            Settings settings = settings_for(Kind::Sessions, 3, 4, std::uint64_t(stage));
            settings.steers = {{stage, m::wire::BACK}};
            settings.narrows = again && stage != Stage::Hold;
            settings.again = again;
            if (stage == Stage::Hold) settings.steers = {{Stage::Hold, m::wire::BACK}};
            if (again && stage == Stage::Hold) {
                bool once = false;
                settings.on_poll = [once](Simulation& simulation) mutable {
                    if (machine(simulation).migration().id() == 2 &&
                        machine(simulation).stage() == Stage::Hold && !std::exchange(once, true))
                        steer(simulation, m::wire::NARROW);
                };
            }
            Outcome outcome = run(settings);
            expect_success(outcome, again ? Stage::Done : Stage::Undone);
            EXPECT_EQ(outcome.level, again ? 4u : 3u);
        }
}
TEST(SchemaMigration, OldProcessResumedAfterTheSwitchIsRefused) {
    for (bool careless : {false, true}) {
        Settings settings = settings_for(Kind::Sessions, 3, 4, careless);
        settings.old_node = true, settings.old_careless = careless;
        settings.old_stops = Duration{0};
        settings.narrows = false;
        bool let_go = false, narrowed = false;
        TimePoint at{};
        settings.on_poll = [=](Simulation& simulation) mutable {
            if (machine(simulation).stage() != Stage::Hold) return;
            if (!std::exchange(let_go, true))
                resume_old_process(simulation), at = TimePoint{since_start(simulation)};
            if (since_start(simulation) > at.time_since_epoch() + Duration{700} &&
                !std::exchange(narrowed, true))
                steer(simulation, m::wire::NARROW);
        };
        Outcome outcome = run(settings);
        expect_success(outcome, Stage::Done);
        EXPECT_EQ(outcome.old_told, m::on_wire(Error::OldRelease));
        EXPECT_EQ(outcome.old_refused > 0, careless);
    }
}
TEST(SchemaMigration, OldProcessReturningBeforeTheSwitchPausesItAndIsServed) {
    Settings settings = settings_for(Kind::Rates, 2, 3);
    settings.old_node = true;
    settings.old_stops = Duration{0};
    bool let_go = false, back = false;
    settings.on_poll = [=](Simulation& simulation) mutable {
        if (machine(simulation).stage() == Stage::Convert && !std::exchange(let_go, true))
            resume_old_process(simulation);
        if (machine(simulation).migration().stopped() == m::on_wire(Error::OldProcess) &&
            !std::exchange(back, true))
            steer(simulation, m::wire::BACK);
    };
    settings.owner.groups_per_second = 200;  // slow enough for the old process to return
    settings.groups = 128;
    Outcome outcome = run(settings);
    expect_success(outcome, Stage::Undone);
    EXPECT_EQ(outcome.old_told, 0u);
}
TEST(SchemaMigration, FailedConversionPausesItAndGoingBackLosesNothing) {
    Settings settings = settings_for(Kind::Sessions, 2, 3);
    settings.convert = [](Kind kind, Version from, Version to, schema::Group group) -> schema::Result {
        for (const auto& r : group)
            if (from < to && r.key.ends_with("c17")) throw std::runtime_error("one of a million");
        return schema::convert(kind, from, to, std::move(group));
    };
    std::uint32_t stopped = 0;
    std::string about;
    settings.on_poll = [&](Simulation& simulation) {
        if (!machine(simulation).migration().stopped()) return;
        stopped = machine(simulation).migration().stopped(), about = machine(simulation).migration().about();
        steer(simulation, m::wire::BACK);
    };
    expect_success(run(settings), Stage::Undone);
    EXPECT_EQ(stopped, m::on_wire(Error::Conversion));
    EXPECT_NE(about.find("c17"), std::string::npos) << about;
}
TEST(SchemaMigration, FullDiskPausesItUntilThereIsCapacity) {
    Settings settings = settings_for(Kind::Sessions, 3, 4);
    settings.owner.groups_per_second = 500, settings.groups = 128;
    bool full = false, room = false;
    std::uint32_t stopped = 0;
    settings.on_poll = [&](Simulation& simulation) {
        const auto& now = machine(simulation).migration();
        if (Stage(now.stage()) == Stage::Convert && !std::exchange(full, true)) bound(simulation, 1);
        if (now.stopped() && !std::exchange(room, true))
            stopped = now.stopped(), bound(simulation, ~std::size_t(0)), steer(simulation, m::wire::GO_ON);
    };
    settings.refusals = 100'000;
    expect_success(run(settings), Stage::Done);
    EXPECT_EQ(stopped, m::on_wire(Error::Full));
}
TEST(SchemaMigration, TooManyRefusalsPauseIt) {
    Settings settings = settings_for(Kind::Sessions, 3, 4);
    settings.refusals = 0;
    settings.op = Duration{3};
    std::uint32_t stopped = 0;
    settings.on_poll = [&](Simulation& simulation) {
        const auto& now = machine(simulation).migration();
        if (Stage(now.stage()) == Stage::Widen)
            bound(simulation, 1);  // writes that need more bytes exceed the capacity
        if (now.stopped() && !stopped)
            stopped = now.stopped(), bound(simulation, ~std::size_t(0)), steer(simulation, m::wire::BACK);
    };
    settings.owner.groups_per_second = 500, settings.owner.max_attempts = 1000;
    expect_success(run(settings), Stage::Undone);
    EXPECT_EQ(stopped, m::on_wire(Error::Refusals));
}
TEST(SchemaMigration, SurvivesTwoCrashesOrPausesAtAnyMessage) {
    FaultSweep all;
    all.settings.groups = 16;
    all.first = 3, all.step = 61, all.second_step = 83;
    FaultSweepResult swept = sweep(all);
    EXPECT_GT(swept.runs, 40u);
    EXPECT_EQ(swept.broken, 0u);
    for (const std::string& broken : swept.first_broken) ADD_FAILURE() << broken;
}

// Mutants

/// A holder's storage with a fault.
struct FaultyRecords : m::Records {
    m::MemoryRecords& disk;
    explicit FaultyRecords(m::MemoryRecords& to) : disk(to) {}
    StoredGroup read(std::uint32_t shard, std::string_view group) const override {
        return disk.read(shard, group);
    }
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                      std::string octets) override {
        return disk.write(shard, group, version, std::move(octets));
    }
    void scan(std::uint32_t shard, std::string_view after, std::size_t most, Page& page) const override {
        disk.scan(shard, after, most, page);
    }
    std::string state(std::uint32_t shard) const override { return disk.state(shard); }
    bool set_state(std::uint32_t shard, std::string octets) override {
        return disk.set_state(shard, std::move(octets));
    }

    m::ShardForm form(std::uint32_t shard) const {
        m::wire::Shard state;
        state.ParseFromString(disk.state(shard));
        return m::ShardForm(state.form());
    }
    /// The bytes to write, with this version's records as they were before, or without them.
    std::string half(std::uint32_t shard, std::string_view group, const std::string& octets,
                     Version schema) const {
        m::wire::Stored is, was;
        is.ParseFromString(octets), was.ParseFromString(disk.read(shard, group).bytes);
        if (is.forms_size() < 2 || was.forms_size() < 2) return octets;
        for (int i = 0; i < is.forms_size(); ++i) {
            if (is.forms(i).schema() != schema) continue;
            is.mutable_forms()->DeleteSubrange(i, 1);
            for (const auto& form : was.forms())
                if (form.schema() == schema) *is.add_forms() = form;
            break;
        }
        return is.SerializeAsString();
    }
};
template <class W>
void use(Settings& settings) {
    settings.records = [](m::MemoryRecords& disk) { return std::make_unique<W>(disk); };
}

/// Whether the invariant checker or the migration itself, by pausing, detects the mutant. Without the stage
/// Compare only the invariant checker can.
struct Found {
    std::string judge, itself;
};
Found found(const std::function<void(Settings&)>& errs, Kind kind, Version from, Version to,
            bool compares = true) {
    Found result;
    for (std::uint64_t seed = 1; seed <= 6 && result.judge.empty() && result.itself.empty(); ++seed) {
        Settings settings = settings_for(kind, from, to, seed);
        settings.op = Duration{6};
        settings.most = Duration{4000};
        errs(settings);
        if (!compares) {
            auto before = settings.command;
            settings.command = [before](m::wire::Command& command) {
                if (command.has_did()) command.mutable_did()->clear_counts();
                return !before || before(command);
            };
        }
        Outcome outcome = run(settings);
        if (!outcome.broken.empty()) result.judge = outcome.broken.front();
        if (outcome.stopped) result.itself = std::string(row(m::from_wire(outcome.stopped)).code);
    }
    return result;
}
void expect_violation(const Found& result) {
    EXPECT_FALSE(result.judge.empty());
}
void expect_stopped(const Found& result, const char* code) {
    EXPECT_EQ(result.itself, code) << result.judge;
}
bool rises(Version from, Version to) {
    return from < to;
}

schema::Result altered(schema::Result result, const std::function<void(schema::Group&)>& change) {
    if (auto* group = std::get_if<schema::Group>(&result)) change(*group);
    return result;
}
template <class M>
void alter(schema::Record& record, const std::function<void(M&)>& change) {
    M message;
    message.ParseFromString(record.value);
    change(message);
    record.value = message.SerializeAsString();
}
void rounds_down(Settings& settings) {
    settings.convert = [](Kind kind, Version from, Version to, schema::Group group) {
        return altered(schema::convert(kind, from, to, std::move(group)), [&](schema::Group& made) {
            if (rises(from, to))
                for (auto& record : made)
                    alter<records::wire::Bucket3>(record, [](auto& m) {
                        m.set_spent(m.spent() / schema::kMillion * schema::kMillion), m.clear_behind();
                    });
        });
    };
}
void drops_the_last(Settings& settings) {
    settings.convert = [](Kind kind, Version from, Version to, schema::Group group) {
        return altered(schema::convert(kind, from, to, std::move(group)), [&](schema::Group& made) {
            if (rises(from, to) && made.size() > 2) made.pop_back();
        });
    };
}
void doubles_one(Settings& settings) {
    settings.convert = [](Kind kind, Version from, Version to, schema::Group group) {
        return altered(schema::convert(kind, from, to, std::move(group)), [&](schema::Group& made) {
            if (rises(from, to) && !made.empty())
                made.insert(made.begin(), {"copy" + made[0].key, made[0].value});
        });
    };
}

TEST(SchemaMigrationMutants, ConversionRoundsSpentDown) {
    expect_stopped(found(rounds_down, Kind::Rates, 2, 3), "migration.differs");
    expect_violation(found(rounds_down, Kind::Rates, 2, 3, false));
}
TEST(SchemaMigrationMutants, ConversionLosesARecord) {
    expect_stopped(found(drops_the_last, Kind::Sessions, 3, 4), "migration.differs");
    expect_violation(found(drops_the_last, Kind::Sessions, 3, 4, false));
}
TEST(SchemaMigrationMutants, ConversionDuplicatesARecord) {
    expect_stopped(found(doubles_one, Kind::Sessions, 3, 4), "migration.differs");
    expect_violation(found(doubles_one, Kind::Sessions, 3, 4, false));
}
struct OldFormAlone : FaultyRecords {  // a write in Wide doesn't update the new version
    using FaultyRecords::FaultyRecords;
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                      std::string octets) override {
        return disk.write(shard, group, version,
                          form(shard) == m::ShardForm::Wide ? half(shard, group, octets, 4) : octets);
    }
};
TEST(SchemaMigrationMutants, HolderWritesOnlyTheOldVersionInWide) {
    expect_stopped(found(use<OldFormAlone>, Kind::Sessions, 3, 4), "migration.differs");
    expect_violation(found([](Settings& s) { use<OldFormAlone>(s), s.owner.groups_per_second = 200; },
                           Kind::Sessions, 3, 4, false));
}
struct NewFormAlone : FaultyRecords {  // a write after the switch doesn't update the old version
    using FaultyRecords::FaultyRecords;
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                      std::string octets) override {
        return disk.write(shard, group, version,
                          form(shard) == m::ShardForm::Switched ? half(shard, group, octets, 3) : octets);
    }
};
void back_from_hold(Settings& settings) {
    settings.narrows = false;
    settings.on_poll = [](Simulation& simulation) {
        if (machine(simulation).stage() == Stage::Hold && since_start(simulation) > Duration{500})
            steer(simulation, m::wire::BACK);
    };
}
TEST(SchemaMigrationMutants, HolderWritesOnlyTheNewVersionAfterTheSwitch) {
    expect_violation(
        found([](Settings& s) { use<NewFormAlone>(s), back_from_hold(s); }, Kind::Sessions, 3, 4));
}
struct NoVersions : FaultyRecords {  // the last write wins
    using FaultyRecords::FaultyRecords;
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t,
                      std::string octets) override {
        return disk.write(shard, group, disk.read(shard, group).version, std::move(octets));
    }
};
TEST(SchemaMigrationMutants, HolderIgnoresVersions) {
    expect_violation(
        found([](Settings& s) { use<NoVersions>(s), s.nodes = 6, s.groups = 2, s.op = Duration{2}; },
              Kind::Rates, 2, 3));
}
struct Forgets : FaultyRecords {  // acknowledges every twentieth write without storing it
    using FaultyRecords::FaultyRecords;
    int writes = 0;
    WriteResult write(std::uint32_t shard, std::string_view group, std::uint64_t version,
                      std::string octets) override {
        if (++writes % 20 == 0 && disk.read(shard, group).version == version) return WriteResult::Done;
        return disk.write(shard, group, version, std::move(octets));
    }
};
TEST(SchemaMigrationMutants, HolderAcknowledgesUnstoredWrites) {
    expect_violation(found(use<Forgets>, Kind::Sessions, 3, 4));
}
TEST(SchemaMigrationMutants, HolderAcceptsTheOldVersionAfterTheSwitch) {
    auto errs = [](Settings& s) {
        s.old_node = s.old_careless = true, s.old_stops = Duration{0}, s.narrows = false;
        bool let_go = false;
        s.on_poll = [let_go](Simulation& simulation) mutable {
            if (machine(simulation).stage() == Stage::Hold && !std::exchange(let_go, true))
                resume_old_process(simulation);
            if (machine(simulation).stage() == Stage::Hold && since_start(simulation) > Duration{1500})
                steer(simulation, m::wire::NARROW);
        };
        s.ask = [](m::wire::Ask& ask, m::Receiver& receiver,
                   m::Records& records) -> std::optional<m::wire::Given> {
            if (ask.schema() != 3 || receiver.form(ask.shard()) != m::ShardForm::Switched) return {};
            m::Records::StoredGroup held = records.read(ask.shard(), ask.group());
            m::wire::Stored stored;
            stored.ParseFromString(held.bytes);
            m::wire::Given given;
            for (auto& form : *stored.mutable_forms()) {
                if (form.schema() != 3) continue;
                if (!ask.writes()) *given.mutable_records() = form.records();
                *form.mutable_records() = ask.records();
            }
            given.set_version(held.version);
            if (ask.writes() && ask.version() == held.version)
                records.write(ask.shard(), ask.group(), held.version, stored.SerializeAsString()),
                    given.set_version(held.version + 1);
            return given;
        };
    };
    expect_violation(found(errs, Kind::Sessions, 3, 4));
}
TEST(SchemaMigrationMutants, CoordinatorsAssumeEveryProcessReadsAllVersions) {
    auto errs = [](Settings& s) {
        s.old_node = true;
        s.command = [](m::wire::Command& command) {
            if (command.has_says())
                for (auto& range : *command.mutable_says()->mutable_ranges())
                    range.set_least(1), range.set_most(9);
            return true;
        };
    };
    expect_violation(found(errs, Kind::Sessions, 3, 4));
}
TEST(SchemaMigrationMutants, OwnerReportsAConversionItNeverOrdered) {
    auto errs = [](Settings& s) {
        s.order = [](m::wire::Order& order, const m::Receiver&) {
            if (Stage(order.stage()) == Stage::Convert && order.shard() == 5)
                order.set_stage(std::uint32_t(Stage::Widen));
            return true;
        };
    };
    Found result = found(errs, Kind::Sessions, 3, 4);
    EXPECT_FALSE(result.itself.empty()) << result.judge;
}
TEST(SchemaMigrationMutants, HolderAcceptsStaleOrders) {
    // Orders of the undone migration are delivered again in the next one.
    auto errs = [](Settings& s) {
        auto late = std::make_shared<std::vector<m::wire::Order>>();
        s.steers = {{Stage::Convert, m::wire::BACK}};
        s.again = true;
        s.order = [late](m::wire::Order& order, const m::Receiver&) {
            if (Stage(order.stage()) == Stage::Unwiden && order.most()) late->push_back(order);
            if (order.migration() == 2 && Stage(order.stage()) == Stage::Compare && !late->empty()) {
                m::wire::Order old = late->back();
                late->pop_back();
                old.set_migration(order.migration()), old.set_epoch(order.epoch()),
                    old.set_revision(order.revision());
                order = old;  // it passes the fence as a new order
            }
            return true;
        };
    };
    Found result = found(errs, Kind::Sessions, 3, 4);
    EXPECT_FALSE(result.itself.empty() && result.judge.empty());
}
TEST(SchemaMigrationMutants, NodeRepeatsAWriteWithALostResponse) {
    expect_violation(found([](Settings& s) { s.charges_again = true, s.loss = 0.1; }, Kind::Rates, 2, 3));
}
struct DropsUnconverted : FaultyRecords {  // a scan omits the last group of a shard
    using FaultyRecords::FaultyRecords;
    void scan(std::uint32_t shard, std::string_view after, std::size_t most, Page& page) const override {
        disk.scan(shard, after, most, page);
        if (form(shard) == m::ShardForm::Wide && !page.empty()) page.pop_back();
    }
};
TEST(SchemaMigrationMutants, ScanOmitsAGroup) {
    // The group is neither converted nor compared. Narrow doesn't drop its old version, as it has no other.
    Found result = found(use<DropsUnconverted>, Kind::Sessions, 3, 4);
    EXPECT_FALSE(result.itself.empty() && result.judge.empty());
}

}  // namespace
}  // namespace ochrehub::lab::migration
