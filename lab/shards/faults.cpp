#include "lab/shards/faults.h"

#include <map>

namespace ochrehub::lab::shards {
namespace {

constexpr TimePoint at(double ms) {
    return TimePoint(Duration(ms));
}
constexpr std::size_t kNobody = ~std::size_t{0};

/// All is healed: it must settle, serve, and both holders of each shard must have the same in the end.
World::Verdict end(World& world) {
    world.heal();
    world.lose_nothing();
    for (std::size_t h = 0; h < world.holders(); ++h) world.go_on(h), world.start(h);
    TimePoint from = world.now(), until = from + Duration(60'000);
    while (world.now() < until && (!world.settled() || world.now() < from + Duration(8000)))
        world.run_to(world.now() + Duration(250));
    bool settled = world.settled();
    TimePoint then = world.now();
    world.run_to(then + Duration(1500));
    world.quiet();
    world.run_to(world.now() + Duration(4000));
    World::Verdict verdict = world.judge();
    if (!settled) verdict.faults.push_back("it did not settle within a minute");
    if (verdict.last_answer < then) verdict.faults.push_back("nobody was answered behind the last fault");
    if (!world.copies_equal()) verdict.faults.push_back("two holders do not have the same");
    return verdict;
}
std::size_t first_of(const World& world, std::uint32_t shard) {
    return world.holder_of(world.map().entries[shard].primary);
}
std::size_t second_of(const World& world, std::uint32_t shard) {
    return world.holder_of(world.map().entries[shard].backup);
}

World::Verdict with(const WorldSettings& settings, const std::function<void(World&)>& faults) {
    World world(settings);
    world.run_to(at(6000));
    faults(world);
    return end(world);
}
void run(World& world, double ms) {
    world.run_to(world.now() + Duration(ms));
}

}  // namespace

World::Verdict drawn_day(const WorldSettings& given) {
    WorldSettings settings = given;
    boost::random::taus88 random(unsigned(settings.seed * 40503u) | 64u);
    auto uniform = [&] { return double(random()) * 0x1p-32; };
    auto between = [&](double least, double most) { return Duration(least + (most - least) * uniform()); };
    if (random() % 3 == 0) settings.loss = 0.02;
    World world(settings);
    std::multimap<TimePoint, std::function<void()>> later;
    TimePoint next = at(2000) + between(0, 4000), stop = next + Duration(25'000);
    auto pick = [&] { return std::size_t(random() % world.holders()); };
    // Half of the faults are for holders of one shard, which is what it takes to reach it twice.
    auto holder = [&] {
        const fleet::ShardAssignment& e = world.map().entries[0];
        std::size_t h = world.holder_of(random() % 2 ? e.primary : e.backup);
        return random() % 2 == 0 || h == kNobody ? pick() : h;
    };
    while (next < stop) {
        while (!later.empty() && later.begin()->first <= next) {
            world.run_to(later.begin()->first);
            auto what = std::move(later.begin()->second);
            later.erase(later.begin());
            what();
        }
        world.run_to(next);
        std::size_t a = holder(), b = holder(), node = random() % settings.nodes;
        Duration span = random() % 4 ? between(50, 3000) : between(2500, 9000);
        switch (random() % 12) {
            case 0:
            case 1:
                world.kill(a);
                later.emplace(next + span, [&world, a] { world.start(a); });
                break;
            case 2:
            case 3:
                world.stop(a);
                later.emplace(next + span, [&world, a] { world.go_on(a); });
                break;
            case 4:
                world.cut(a, b);
                break;
            case 5:
            case 6: {
                unsigned which = random() % 3;
                world.cut_from_keepers(a, which != 0, which != 1);
                later.emplace(next + span, [&world] { world.heal(); });
                break;
            }
            case 7:
                world.cut_node(node, a, random() % 2, random() % 2);
                later.emplace(next + span, [&world] { world.heal(); });
                break;
            case 8:
                world.late(a, b, between(10, 800));
                break;
            case 9:
                world.late_from_keepers(a, between(100, 3500));
                break;
            case 10:
                world.move_leader();
                break;
            default:
                if (random() % 3 == 0 && world.holders() < 8)
                    world.add_holder();
                else if (random() % 3 == 0)
                    world.leave(a);
                else
                    world.heal();
        }
        next += between(100, 1500);
    }
    return end(world);
}

const std::vector<Script>& scripts() {
    static const std::vector<Script> kScripts = {
        {"cut from its second, then killed",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0);
                 for (std::size_t h = 0; h < w.holders(); ++h) w.cut(f, h);
                 run(w, 300);
                 w.kill(f);
                 run(w, 6000);
             });
         }},
        {"first killed",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 w.kill(first_of(w, 0));
                 run(w, 6000);
             });
         }},
        {"cut from the keepers, not from nodes",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 w.cut_from_keepers(first_of(w, 0), true, true);
                 run(w, 8000);
             });
         }},
        {"the keepers' answers late, then cut off",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0);
                 w.late_from_keepers(f, Duration(2800));
                 run(w, 7000);
                 w.cut_from_keepers(f, true, false);
                 run(w, 8000);
             });
         }},
        {"stopped over its session's end",
         [](WorldSettings s) {
             return with(s, [&](World& w) {
                 for (double pause : {3300, 3700, 4100}) {
                     std::size_t f = first_of(w, 0);
                     if (f == kNobody) continue;
                     w.stop(f);
                     run(w, pause);
                     w.go_on(f);
                     run(w, 6000);
                 }
             });
         }},
        {"stopped for 30 s, let go two views later",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0);
                 w.stop(f);
                 run(w, 12'000);
                 std::size_t g = first_of(w, 0);
                 w.kill(g);
                 run(w, 18'000);
                 w.go_on(f);
                 run(w, 3000);
             });
         }},
        {"killed while a third is filled",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0), second = second_of(w, 0);
                 for (std::size_t h = 0; h < w.holders(); ++h)
                     if (h != second) w.late(f, h, Duration(1500));
                 w.kill(second);
                 run(w, 4300);
                 w.kill(f);
                 run(w, 6000);
             });
         }},
        {"the view changes twice while one is filled",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0), second = second_of(w, 0);
                 for (std::size_t h = 0; h < w.holders(); ++h) w.late(f, h, Duration(700));
                 w.kill(second);
                 run(w, 3800);
                 w.start(second);
                 std::size_t filling = w.holder_of(w.map().entries[0].catching_up);
                 if (filling != kNobody) w.kill(filling);
                 run(w, 3300);
                 w.move_leader();
                 run(w, 6000);
             });
         }},
        {"one joins, one leaves",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 w.add_holder();
                 run(w, 6000);
                 w.leave(first_of(w, 0));
                 run(w, 15'000);
             });
         }},
        {"killed and back before its session's end",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0);
                 w.kill(f);
                 run(w, 300);
                 w.start(f);
                 run(w, 6000);
             });
         }},
        {"the keepers' leader moves",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 for (int i = 0; i < 6; ++i) {
                     w.move_leader();
                     run(w, 1500);
                 }
             });
         }},
        {"both killed",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 std::size_t f = first_of(w, 0), second = second_of(w, 0);
                 w.kill(f);
                 w.kill(second);
                 run(w, 8000);
             });
         }},
        {"answers to a node are lost",
         [](WorldSettings s) {
             return with(s, [](World& w) {
                 for (std::size_t h = 0; h < w.holders(); ++h) w.cut_node(0, h, false, true);
                 run(w, 6000);
             });
         }},
    };
    return kScripts;
}

namespace {

WorldSettings hit_settings(std::uint64_t seed) {
    WorldSettings s;
    s.seed = seed;
    s.holders = 3, s.nodes = 2, s.workers = 2, s.shards = 1, s.keys = 6, s.zones = 3, s.page = 2;
    s.think = Duration(60);
    return s;
}
constexpr Duration kDay{7000};  // settled, one joins, one leaves

}  // namespace

Hit day_with(std::uint64_t number, World::AtEvent what, std::uint64_t seed, std::size_t joins) {
    World world(hit_settings(seed));
    Hit result;
    world.at_event(number, what);
    world.run_to(at(3000));
    for (std::size_t i = 0; i < joins; ++i) world.add_holder();
    world.run_to(at(5000));
    if (std::size_t f = first_of(world, 0); f != kNobody) world.leave(f);
    world.run_to(TimePoint(kDay));
    result.hit = world.hit().has_value();
    if (!result.hit) return result;
    if (what == World::AtEvent::Stop) {
        // Two views later.
        std::uint64_t view = world.map().entries[0].view;
        for (int i = 0; i < 40 && world.map().entries[0].view < view + 2; ++i) run(world, 200);
        world.go_on(*world.hit());
    }
    run(world, 5000);
    result.verdict = end(world);
    return result;
}

std::uint64_t day_events(std::uint64_t seed) {
    World world(hit_settings(seed));
    world.run_to(at(3000));
    world.add_holder();
    world.run_to(at(5000));
    if (std::size_t f = first_of(world, 0); f != kNobody) world.leave(f);
    world.run_to(TimePoint(kDay));
    return world.events();
}

}  // namespace ochrehub::lab::shards
