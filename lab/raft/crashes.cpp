#include "lab/raft/crashes.h"

namespace ochrehub::lab {

CrashDay crash_day(std::uint64_t n, Keeps keeps, const Sabotage& sabotage) {
    RaftWorldSettings set;
    set.seed = 11;
    set.spares = 1;
    set.clients = 2;
    set.snapshot_each = 12;
    set.kept = 0;
    set.think = Duration(40);
    set.sabotage = sabotage;
    CrashDay day;
    raft::NodeId down = 0;
    set.each = [&](RaftWorld& w, raft::NodeId id, std::uint64_t number) {
        if (n == 0 || number != n) return;
        day.reached = true;
        w.crash(id, keeps);
        down = id;
    };
    RaftWorld world(set);
    TimePoint raise{};
    auto pass = [&](Duration time) {
        TimePoint end = world.net().now() + time;
        while (world.net().now() < end) {
            world.run(Duration(10));
            if (down == 0) continue;
            if (raise == TimePoint{}) raise = world.net().now() + Duration(200);
            if (world.net().now() >= raise) world.start(std::exchange(down, 0));
        }
    };
    pass(Duration(2000));
    world.start(4);
    for (int i = 0; i < 5 && world.core(4).last_index() == 0; ++i) world.change(4, true), pass(Duration(100));
    pass(Duration(300));
    raft::NodeId first = world.leader();
    world.transfer(0);
    pass(Duration(300));
    if (first != 0 && world.leader() != first) world.change(first, false);
    pass(Duration(600));
    world.nothing_more();
    if (down != 0) world.start(down);
    world.heals(Duration(20'000));
    world.finish();
    day.broken = world.judge().broken();
    return day;
}

}  // namespace ochrehub::lab
