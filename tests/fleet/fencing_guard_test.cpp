// The receiver's fencing: verdicts for holders that are late, repeated or replaced, its bounds, its records.
#include "fleet/fencing/fencing_guard.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace ochrehub::fencing {
namespace {

constexpr std::uint64_t kMaxEpoch = ~std::uint64_t(0);

Settings learning_settings() {
    Settings settings;
    settings.learns_epochs_at_start = true;
    return settings;
}

FencingGuard replayed(const Settings& settings, const std::vector<std::string>& records) {
    FencingGuard guard(settings);
    for (const std::string& record : records) EXPECT_TRUE(guard.replay(record));
    return guard;
}

TEST(FencingGuard, StepIsExecutedOnceAndItsOutcomeIsReturnedToEachRepeat) {
    FencingGuard guard({});
    EXPECT_EQ(guard.begin_step("list", 1, 1).verdict, Verdict::Execute);
    EXPECT_EQ(guard.begin_step("list", 1, 1).verdict, Verdict::PossiblyExecuted);
    EXPECT_TRUE(guard.complete_step("list", 1, "took 7"));
    EXPECT_FALSE(guard.complete_step("list", 1, "again"));
    Response repeated = guard.begin_step("list", 1, 1);
    EXPECT_EQ(repeated.verdict, Verdict::Executed);
    EXPECT_EQ(repeated.outcome, "took 7");
    EXPECT_EQ(guard.begin_step("other", 1, 1).verdict, Verdict::Execute);
    EXPECT_FALSE(guard.complete_step("list", 9, ""));
    EXPECT_FALSE(guard.complete_step("none", 1, ""));
}

TEST(FencingGuard, StaleEpochIsRejectedWithTheCurrentOne) {
    FencingGuard guard({});
    guard.begin_step("list", 3, 1);
    Response stale = guard.begin_step("list", 2, 2);
    EXPECT_EQ(stale.verdict, Verdict::StaleEpoch);
    EXPECT_EQ(stale.current_epoch, 3u);
    EXPECT_EQ(guard.query_step("list", 2, 1).verdict, Verdict::StaleEpoch);
    EXPECT_EQ(guard.settle_steps("list", 2, 1).verdict, Verdict::StaleEpoch);
    EXPECT_EQ(guard.rejected_count(), 3u);
    EXPECT_EQ(guard.begin_step("list", kMaxEpoch, 2).verdict, Verdict::Execute);
    EXPECT_EQ(guard.begin_step("list", kMaxEpoch - 1, 3).verdict, Verdict::StaleEpoch);
}

TEST(FencingGuard, QueryByTheNextHolderFencesOffThePreviousOne) {
    FencingGuard guard({});
    guard.begin_step("job", 1, 1);
    EXPECT_EQ(guard.query_step("job", 2, 1).verdict, Verdict::PossiblyExecuted);
    EXPECT_EQ(guard.query_step("job", 2, 2).verdict, Verdict::NotExecuted);
    EXPECT_EQ(guard.begin_step("job", 1, 2).verdict, Verdict::StaleEpoch) << "it was late in a socket";
    EXPECT_TRUE(guard.complete_step("job", 1, "late, and done all the same"));
    EXPECT_EQ(guard.query_step("job", 2, 1).outcome, "late, and done all the same");
    EXPECT_EQ(guard.begin_step("job", 2, 2).verdict, Verdict::Execute);
}

TEST(FencingGuard, RejectsWhatExceedsItsCapacityInsteadOfForgetting) {
    Settings settings;
    settings.max_leases = 2;
    settings.max_steps = 3;
    FencingGuard guard(settings);
    for (std::uint64_t step = 1; step <= 3; ++step)
        EXPECT_EQ(guard.begin_step("a", 1, step).verdict, Verdict::Execute);
    EXPECT_EQ(guard.begin_step("a", 1, 4).verdict, Verdict::CapacityExceeded);
    EXPECT_EQ(guard.begin_step("a", 1, 1).verdict, Verdict::PossiblyExecuted) << "a known step";
    guard.complete_step("a", 1, "");
    EXPECT_EQ(guard.begin_step("b", 1, 1).verdict, Verdict::CapacityExceeded);
    EXPECT_EQ(guard.begin_step("c", 1, 1).verdict, Verdict::CapacityExceeded);
    EXPECT_EQ(guard.settle_steps("a", 1, 2).verdict, Verdict::Settled);
    EXPECT_EQ(guard.step_count(), 1u);
    EXPECT_EQ(guard.begin_step("a", 1, 2).verdict, Verdict::Settled) << "never again, rather than twice";
    EXPECT_EQ(guard.begin_step("a", 1, 4).verdict, Verdict::Execute);
}

TEST(FencingGuard, MalformedRequestsAreRejected) {
    FencingGuard guard({});
    guard.begin_step("a", 1, 4);
    EXPECT_EQ(guard.begin_step("", 1, 1).verdict, Verdict::Malformed);
    EXPECT_EQ(guard.begin_step(std::string(65, 'x'), 1, 1).verdict, Verdict::Malformed);
    EXPECT_EQ(guard.begin_step("a", 0, 1).verdict, Verdict::Malformed);
    EXPECT_EQ(guard.begin_step("a", 1, 0).verdict, Verdict::Malformed);
    EXPECT_FALSE(guard.complete_step("a", 4, std::string(257, 'x')));
}

TEST(FencingGuard, WithoutStoredRecordsItRejectsAllUntilItHasLearnedTheEpochs) {
    FencingGuard guard(learning_settings());
    EXPECT_EQ(guard.begin_step("a", 4, 1).verdict, Verdict::NotReady);
    guard.learn_epoch("a", 5);
    guard.learn_epoch("b", 0);  // no epoch: its record could not be replayed
    EXPECT_EQ(guard.lease_count(), 1u);
    EXPECT_EQ(guard.begin_step("a", 5, 1).verdict, Verdict::NotReady);
    guard.finish_learning();
    EXPECT_EQ(guard.begin_step("a", 4, 1).verdict, Verdict::StaleEpoch);
    EXPECT_EQ(guard.begin_step("a", 5, 1).verdict, Verdict::Execute);
    guard.learn_epoch("a", 3);
    EXPECT_EQ(guard.current_epoch("a"), 5u);
    EXPECT_EQ(FencingGuard(learning_settings()).retire("a", 1).verdict, Verdict::NotReady);
}

TEST(FencingGuard, RecordsAndSnapshotRestoreTheSameState) {
    const std::string outcome("o\0o", 3);
    FencingGuard guard({});
    guard.begin_step("a", 1, 1);
    guard.complete_step("a", 1, outcome);
    guard.begin_step("a", 2, 2);
    guard.begin_step("b", 7, 9);
    guard.settle_steps("b", 7, 4);
    guard.learn_epoch("c", 3);
    std::vector<std::string> records = guard.take_records();
    EXPECT_TRUE(guard.take_records().empty());
    for (const auto& stored : {records, guard.snapshot()}) {
        FencingGuard restored({});
        for (const std::string& record : stored) ASSERT_TRUE(restored.replay(record));
        EXPECT_EQ(restored.query_step("a", 2, 1).outcome, outcome);
        EXPECT_EQ(restored.query_step("a", 2, 2).verdict, Verdict::PossiblyExecuted);
        EXPECT_EQ(restored.begin_step("b", 7, 4).verdict, Verdict::Settled);
        EXPECT_EQ(restored.current_epoch("c"), 3u);
        EXPECT_EQ(restored.step_count(), guard.step_count());
    }
    for (const std::string& record : records) {
        for (std::size_t length = 0; length < record.size(); ++length) {
            FencingGuard restored({});
            std::string truncated = record.substr(0, length);
            if (restored.replay(truncated)) {
                EXPECT_EQ(truncated[0], 'd');  // an outcome may be any bytes; a checksum guards its end
            }
        }
    }
}

/// A guard under which a thousand jobs have run and ended, of which it knows three by name.
class RetiredLeases : public ::testing::Test {
protected:
    static constexpr std::uint64_t kJobs = 1000;
    static constexpr std::uint64_t kKnown = 3;

    static Settings settings() {
        Settings settings;
        settings.max_leases = 2;
        settings.max_retired_leases = kKnown;
        return settings;
    }
    static std::string job_name(std::uint64_t job) { return "move/" + std::to_string(job); }

    void SetUp() override {
        for (std::uint64_t job = 1; job <= kJobs; ++job) {
            std::string name = job_name(job);
            ASSERT_EQ(guard_.begin_step(name, 2 * job, 1).verdict, Verdict::Execute);
            EXPECT_EQ(guard_.retire(name, 2 * job - 1).verdict, Verdict::StaleEpoch);
            EXPECT_EQ(guard_.retire(name, 2 * job).verdict, Verdict::Retired);
            EXPECT_EQ(guard_.retire(name, 2 * job).verdict, Verdict::Retired) << "a repeat";
            EXPECT_FALSE(guard_.complete_step(name, 1, "late"));
            for (std::string& record : guard_.take_records()) disk_.push_back(std::move(record));
        }
    }
    static void expect_late_epochs_rejected(FencingGuard& guard) {
        for (std::uint64_t job = 1; job <= kJobs; ++job) {
            Verdict expected = job > kJobs - kKnown ? Verdict::StaleEpoch : Verdict::EpochForgotten;
            for (std::uint64_t epoch : {2 * job - 1, 2 * job})
                ASSERT_EQ(guard.begin_step(job_name(job), epoch, 2).verdict, expected) << job;
        }
    }

    FencingGuard guard_{settings()};
    std::vector<std::string> disk_;
};

TEST_F(RetiredLeases, MakeRoomAndTheirLateEpochsAreRejected) {
    EXPECT_EQ(guard_.lease_count(), 0u);
    EXPECT_EQ(guard_.step_count(), 0u);
    EXPECT_EQ(guard_.retired_count(), kKnown);
    EXPECT_EQ(guard_.forgotten_epoch(), 2u * (kJobs - kKnown));
    expect_late_epochs_rejected(guard_);
}

TEST_F(RetiredLeases, AreRestoredFromRecordsAndFromASnapshot) {
    FencingGuard restored = replayed(settings(), disk_);
    FencingGuard compacted = replayed(settings(), restored.snapshot());
    EXPECT_EQ(compacted.snapshot(), guard_.snapshot());
    EXPECT_EQ(compacted.retired_count(), kKnown);
    expect_late_epochs_rejected(compacted);
}

TEST_F(RetiredLeases, UnknownLeaseIsRetiredToo) {
    EXPECT_EQ(guard_.retire("else", 3000).verdict, Verdict::Retired);
    EXPECT_EQ(guard_.begin_step("else", 2999, 1).verdict, Verdict::StaleEpoch);
    guard_.learn_epoch("else", 3000);
    EXPECT_EQ(guard_.begin_step("else", 3000, 1).verdict, Verdict::StaleEpoch);
    EXPECT_EQ(guard_.retire("", 1).verdict, Verdict::Malformed);
}

TEST_F(RetiredLeases, UnknownLeaseUnderAForgottenEpochNeedsAHigherOne) {
    Response old = guard_.begin_step("list", 1500, 1);
    EXPECT_EQ(old.verdict, Verdict::EpochForgotten);
    EXPECT_GE(old.current_epoch, 1500u);
    EXPECT_EQ(guard_.begin_step("list", old.current_epoch + 1, 1).verdict, Verdict::Execute);
    // An epoch that the quorum reports is accepted below it too.
    guard_.learn_epoch("old", 4);
    EXPECT_EQ(guard_.begin_step("old", 4, 1).verdict, Verdict::Execute);
}

TEST(FencingGuard, RetiredNameIsANewLeaseUnderAHigherEpoch) {
    FencingGuard guard({});
    guard.begin_step("a", 1, 1);
    guard.retire("a", 1);
    EXPECT_EQ(guard.begin_step("a", 2, 1).verdict, Verdict::Execute);
    EXPECT_EQ(guard.retired_count(), 0u);
    FencingGuard restored({});
    for (const std::string& record : guard.take_records()) ASSERT_TRUE(restored.replay(record));
    EXPECT_EQ(restored.snapshot(), guard.snapshot());
    EXPECT_EQ(restored.query_step("a", 2, 1).verdict, Verdict::PossiblyExecuted);
}

}  // namespace
}  // namespace ochrehub::fencing
