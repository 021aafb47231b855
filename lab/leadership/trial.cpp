#include "lab/leadership/trial.h"

#include <algorithm>
#include <map>
#include <random>

namespace ochrehub::lab::leadership {

namespace {

constexpr Duration kBack{4500};  // longer than a lease

std::string number(std::uint64_t n) {
    return std::to_string(n);
}

}  // namespace

void Trial::add(const World& world, const JudgeSettings& settings, const std::string& which) {
    ++runs;
    events += world.events();
    effects += world.records().effects.size();
    refused += world.records().refused.size();
    std::map<std::string, std::uint64_t> last;
    for (const EffectSeen& e : world.records().effects)
        if (std::exchange(last[e.duty], e.epoch) != e.epoch) ++owners;
    std::vector<std::string> all = judge(world.records(), settings);
    if (all.empty()) return;
    if (wrong++ == 0) first = which + ": " + all.front();
}

WorldSettings scripted(std::uint64_t items, std::uint64_t seed) {
    WorldSettings settings;
    settings.items = items;
    settings.pace = Duration{items > 10 ? 100.0 : 50.0};
    settings.move_at = Duration{1500};
    settings.seed = seed;
    return settings;
}

Trial strike_each(const WorldSettings& settings, Blow blow, std::uint64_t from, std::uint64_t stride,
                  bool twice) {
    Trial trial;
    JudgeSettings strict;
    strict.late = blow == Blow::Stop ? 1 : 0;
    World plain(settings);
    plain.run(Duration{60'000});
    const std::uint64_t events = plain.events();
    for (std::uint64_t n = from; n <= events; n += stride) {
        std::uint64_t behind = n;
        if (!twice) {
            World world(settings);
            world.strike_at(n, blow, kBack);
            world.run(Duration{60'000});
            trial.add(world, strict, "struck at " + number(n));
            continue;
        }
        // The second within what follows until the job would have been over once more.
        for (behind = n + 1; behind <= n + events; behind += stride) {
            World world(settings);
            world.strike_at(n, blow, kBack);
            world.strike_at(behind, blow, kBack);
            world.run(Duration{60'000});
            trial.add(world, strict, "struck at " + number(n) + " and " + number(behind));
        }
    }
    return trial;
}

Trial chaos(std::uint64_t from, std::uint64_t to, bool real) {
    Trial trial;
    for (std::uint64_t seed = from; seed < to; ++seed) {
        std::mt19937_64 random(seed * 7919 + 11);
        auto uniform = [&] { return double(random() >> 11) * 0x1p-53; };
        const bool stops = seed % 2 == 0;
        WorldSettings settings;
        settings.jobs = 3;
        settings.items = 60;
        settings.pace = Duration{150};
        settings.seed = seed;
        settings.loss = uniform() < 0.5 ? 0 : 0.05 * uniform();
        settings.doubled = uniform() < 0.5 ? 0 : 0.1 * uniform();
        settings.delay_most = Duration{uniform() < 0.5 ? 2.0 : 30.0};
        settings.real = real;
        if (uniform() < 0.5) settings.move_at = Duration{3000 + 8000 * uniform()};
        World world(settings);
        for (double t = 500 + 1000 * uniform(); t < 20'000; t += 300 + 2500 * uniform()) {
            world.run_to(world.begun() + Duration{t});
            std::size_t who = uniform() < 0.4 && world.working()
                                  ? *world.working()
                                  : std::size_t(uniform() * double(world.net().size()));
            double what = uniform();
            Duration back{100 + 6000 * uniform()};
            if (who < settings.keepers && what < 0.4)
                back = Duration{100 + 3000 * uniform()};  // else there is seldom a majority
            Blow blow = what < 0.4 ? Blow::Kill : what < 0.7 && stops ? Blow::Stop : Blow::CutToKeepers;
            if (blow == Blow::Stop)  // the moment that no clock closes
                for (int i = 0; i < 1000 && world.working() == who && !world.armed(who); ++i)
                    world.run_to(world.net().now() + Duration{0.3});
            world.strike(who, blow, back);
            if (uniform() < 0.2)
                world.strike(std::size_t(uniform() * double(world.net().size())), blow, back);
        }
        world.run(Duration{120'000});
        JudgeSettings strict;
        strict.late = stops ? 1'000'000 : 0;
        strict.on_the_way = settings.delay_most * 3 + Duration{10};
        trial.add(world, strict, "seed " + number(seed));
    }
    return trial;
}

Gaps without_owner(Change change, std::uint64_t seeds, Duration lease, bool real) {
    Gaps gaps;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed * 104'729);
        WorldSettings settings;
        settings.endless = true;
        settings.real = real;
        settings.pace = Duration{20};
        settings.lease = lease;
        settings.seed = seed;
        World world(settings);
        world.run_to(world.begun() + Duration{6000 + 1000 * (double(random() >> 11) * 0x1p-53)});
        auto who = world.working();
        if (!who) continue;
        if (change == Change::Move) {
            world.keepers().operate("duty", ochrehub::leadership::transfer_lease_command("duty0"));
        } else {
            Blow blow = change == Change::Kill   ? Blow::Kill
                        : change == Change::Stop ? Blow::Stop
                                                 : Blow::CutToKeepers;
            world.strike(*who, blow, Duration{60'000});
        }
        std::size_t before = world.records().effects.size();
        const std::uint64_t epoch = world.records().effects.back().epoch;
        world.run_to(world.net().now() + lease * 5);
        const auto& effects = world.records().effects;
        for (std::size_t i = before; i < effects.size(); ++i)
            if (effects[i].epoch != epoch) {
                gaps.each.push_back(effects[i].at - effects[i - 1].at);
                break;
            }
    }
    std::sort(gaps.each.begin(), gaps.each.end());
    return gaps;
}

// ---- Saboteurs

std::string_view fault_for(Saboteur saboteur) {
    switch (saboteur) {
        case Saboteur::None:
            return "none";
        case Saboteur::EpochNotRaised:
        case Saboteur::NextAsksNothing:
        case Saboteur::EffectBeforeWritten:
            return "kill at each event";
        case Saboteur::RetiresBeforeEnd:
        case Saboteur::NoFence:
            return "stop at each event, longer than the lease";
        case Saboteur::LeaseFromAnswer:
            return "answers up to 2 s late, then the owner cut off from the keepers one way";
        case Saboteur::IgnoresLease:
        case Saboteur::KeepersCountLess:
            return "the owner cut off from the keepers one way";
        case Saboteur::RepeatsWithoutAsking:
            return "one message in five lost";
        case Saboteur::HandsOverAtWork:
        case Saboteur::GrantsBeforeRest:
            return "a move";
        case Saboteur::LeaderGivesLess:
            return "the leader killed while the owner is cut off from the keepers one way";
        case Saboteur::ForgetsRetired:
            return "all that was sent comes once more behind the end";
    }
    return "";
}

Trial shown_by(Saboteur what_for, Saboteur in_it) {
    Trial trial;
    WorldSettings settings = scripted(20);
    settings.saboteur = in_it;
    settings.late_copies = what_for == Saboteur::ForgetsRetired;
    switch (what_for) {
        case Saboteur::EpochNotRaised:
        case Saboteur::NextAsksNothing:
        case Saboteur::EffectBeforeWritten:
            return strike_each(settings, Blow::Kill, 1, 3);
        case Saboteur::RetiresBeforeEnd:
        case Saboteur::NoFence:
            return strike_each(settings, Blow::Stop, 1, 2);
        default:
            break;
    }
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        WorldSettings one = settings;
        one.seed = seed;
        one.items = 160;
        one.move_at = Duration{2000 + 137.0 * double(seed)};
        one.pace = Duration{50};
        if (what_for != Saboteur::HandsOverAtWork && what_for != Saboteur::GrantsBeforeRest)
            one.move_at.reset();
        if (what_for == Saboteur::RepeatsWithoutAsking) one.loss = 0.2;
        if (what_for == Saboteur::LeaseFromAnswer) one.patience = Duration{2200};
        World world(one);
        const bool cut = what_for == Saboteur::IgnoresLease || what_for == Saboteur::KeepersCountLess ||
                         what_for == Saboteur::LeaseFromAnswer || what_for == Saboteur::LeaderGivesLess;
        if (cut) {
            world.run_to(world.begun() + Duration{2000 + 137.0 * double(seed)});
            auto who = world.working();
            if (what_for == Saboteur::LeaseFromAnswer && who) {
                for (std::size_t k = 0; k < one.keepers; ++k) world.net().delay(k, *who, Duration{2000});
                world.run_to(world.net().now() + Duration{1300});
                who = world.working();
            }
            if (who) world.strike(*who, Blow::CutToKeepers, Duration{20'000});
            if (who && what_for == Saboteur::LeaderGivesLess)
                world.strike(world.keepers().leads().value_or(0), Blow::Kill, Duration{20'000});
        }
        world.run(Duration{90'000});
        trial.add(world, {}, "seed " + number(seed));
    }
    return trial;
}

}  // namespace ochrehub::lab::leadership
