// All orders in which the messages of two holders can reach a receiver, with a crash of the receiver
// anywhere. The previous holder (epoch 1) sends steps 1 and 2 and may be late with either; the next one
// (epoch 2) queries both and sends again what was not executed. A crash loses what was not stored.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "fleet/fencing/fencing_guard.h"

namespace ochrehub::fencing {
namespace {

struct Request {
    std::uint64_t epoch = 0;
    std::uint64_t step = 0;
};

Settings small_settings() {
    Settings settings;
    settings.max_retired_leases = 1;
    return settings;
}

struct State {
    FencingGuard guard{small_settings()};
    std::vector<std::string> disk;
    std::vector<Request> effects;       ///< as they happened outside of the receiver
    std::set<std::uint64_t> running;    ///< steps whose effect has begun and not completed
    std::vector<Request> in_flight;     ///< of the previous holder
    int queried_steps = 0;              ///< by the next holder
    std::vector<std::uint64_t> resend;  ///< steps that the next holder has to send itself
    int retirements = 0;                ///< of the lease; then of another, which makes it forgotten
    int crashes_left = 1;
};

/// What is explored: a correct receiver, or one of its mutants.
struct Variant {
    bool stores_before_acting = true;  ///< a mutant: false
    bool rejects_stale_epochs = true;  ///< a mutant: false
    bool lease_ends = false;           ///< the lease is retired once both steps are known
    bool forgets_everything = false;   ///< a mutant: true: a retired lease leaves no trace
};

class Explorer {
public:
    explicit Explorer(const Variant& variant) : variant_(variant) {
        State start;
        start.in_flight = {{1, 1}, {1, 2}, {1, 1}};  // one of them duplicated
        visit(start);
    }
    std::uint64_t states() const { return states_; }
    std::uint64_t violations() const { return violations_; }

private:
    void visit(const State& state) {
        ++states_;
        if (violates_invariants(state)) ++violations_;
        explore_arrivals(state);
        explore_completions(state);
        explore_next_holder(state);
        if (may_retire(state)) take(state, [this](State& next) { retire(next); });
        if (state.crashes_left > 0) take(state, [](State& next) { crash(next); });
    }

    void take(const State& state, const std::function<void(State&)>& event) {
        State next = state;
        event(next);
        visit(next);
    }

    void explore_arrivals(const State& state) {
        for (std::size_t i = 0; i < state.in_flight.size(); ++i)
            take(state, [this, i](State& next) {
                Request request = next.in_flight[i];
                next.in_flight.erase(next.in_flight.begin() + std::ptrdiff_t(i));
                receive(next, request);
            });
    }

    void explore_completions(const State& state) {
        for (std::uint64_t step : state.running)
            take(state, [step](State& next) {
                next.running.erase(step);
                next.guard.complete_step("d", step, "ok");
                store(next);
            });
    }

    void explore_next_holder(const State& state) {
        if (state.queried_steps < 2)
            take(state, [this](State& next) {
                auto step = std::uint64_t(++next.queried_steps);
                Response response = next.guard.query_step("d", 2, step);
                if (variant_.stores_before_acting) store(next);
                if (response.verdict == Verdict::NotExecuted) next.resend.push_back(step);
            });
        if (!state.resend.empty())
            take(state, [this](State& next) {
                std::uint64_t step = next.resend.back();
                next.resend.pop_back();
                receive(next, {2, step});
            });
    }

    static void store(State& state) {
        for (std::string& record : state.guard.take_records()) state.disk.push_back(std::move(record));
    }

    void receive(State& state, const Request& request) const {
        Response response = state.guard.begin_step("d", request.epoch, request.step);
        if (variant_.stores_before_acting) store(state);
        bool unfenced = !variant_.rejects_stale_epochs && response.verdict == Verdict::StaleEpoch;
        if (response.verdict != Verdict::Execute && !unfenced) return;
        state.effects.push_back(request);
        state.running.insert(request.step);
    }

    bool may_retire(const State& state) const {
        bool all_known = state.queried_steps == 2 && state.resend.empty() && state.running.empty();
        return variant_.lease_ends && all_known && state.retirements < 2;
    }

    void retire(State& state) const {
        if (variant_.forgets_everything) {
            state.disk.clear();
            state.guard = FencingGuard(small_settings());
        } else {
            const char* lease = state.retirements == 0 ? "d" : "other";
            state.guard.retire(lease, 2 + std::uint64_t(state.retirements));
            store(state);
        }
        ++state.retirements;
    }

    static void crash(State& state) {
        --state.crashes_left;
        state.running.clear();
        state.guard = FencingGuard(small_settings());
        for (const std::string& record : state.disk) state.guard.replay(record);
    }

    /// No step has an effect twice, and none after one of a higher epoch.
    static bool violates_invariants(const State& state) {
        bool violated = false;
        std::set<std::uint64_t> steps;
        std::uint64_t highest_epoch = 0;
        for (const Request& effect : state.effects) {
            bool repeated = !steps.insert(effect.step).second;
            violated = violated || repeated || effect.epoch < highest_epoch;
            highest_epoch = std::max(highest_epoch, effect.epoch);
        }
        return violated;
    }

    Variant variant_;
    std::uint64_t states_ = 0;
    std::uint64_t violations_ = 0;
};

TEST(FencingExploration, NoEffectHappensTwiceOrAfterOneOfAHigherEpoch) {
    Explorer explorer(Variant{});
    EXPECT_GT(explorer.states(), 5'000u);
    EXPECT_EQ(explorer.violations(), 0u);
}

TEST(FencingExploration, NoLateEffectHappensAfterTheLeaseWasRetired) {
    Variant variant;
    variant.lease_ends = true;
    Explorer explorer(variant);
    EXPECT_GT(explorer.states(), 10'000u);
    EXPECT_EQ(explorer.violations(), 0u);
}

TEST(FencingMutants, ForgettingRetiredLeasesIsDetected) {
    Variant variant;
    variant.lease_ends = true;
    variant.forgets_everything = true;
    EXPECT_GT(Explorer(variant).violations(), 0u);
}

TEST(FencingMutants, ActingBeforeRecordsAreStoredIsDetected) {
    Variant variant;
    variant.stores_before_acting = false;
    EXPECT_GT(Explorer(variant).violations(), 0u);
}

TEST(FencingMutants, MissingFenceIsDetected) {
    Variant variant;
    variant.rejects_stale_epochs = false;
    EXPECT_GT(Explorer(variant).violations(), 0u);
}

}  // namespace
}  // namespace ochrehub::fencing
