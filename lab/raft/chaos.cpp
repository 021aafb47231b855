// All faults at once, drawn from a seed.
#include <algorithm>

#include "lab/raft/world.h"

namespace ochrehub::lab {

using namespace raft;

namespace {

class Chaos {
public:
    Chaos(RaftWorld& world, std::size_t keepers, std::size_t spares, bool disks_lost)
        : w_(world),
          keepers_(keepers),
          next_spare_(NodeId(keepers + 1)),
          spares_(spares),
          disks_lost_(disks_lost) {}

    void one() {
        NodeId id = any();
        switch (w_.draw(16)) {
            case 0:
            case 1:
                if (down() * 2 < keepers_) w_.crash(id, Keeps(w_.draw(3)));
                break;
            case 2:
                if (NodeId l = w_.leader()) w_.crash(l, Keeps(w_.draw(3)));
                break;
            case 3:
            case 4:
            case 5:
                for (NodeId k = 1; k <= w_.size(); ++k)
                    if (w_.draw(2) == 0) raise(k);
                break;
            case 6:
                w_.stop(id);
                ++w_.counts["pauses"];
                break;
            case 7:
                for (NodeId k = 1; k <= w_.size(); ++k) w_.go_on(k);
                break;
            case 8: {
                NodeId l = w_.leader() != 0 ? w_.leader() : id;
                bool in = w_.draw(2) == 0, both = w_.draw(2) == 0;
                for (NodeId k = 1; k <= w_.size(); ++k) {
                    if (k == l || w_.draw(5) == 0) continue;
                    if (in || both) w_.net().cut(k - 1, l - 1);
                    if (!in || both) w_.net().cut(l - 1, k - 1);
                }
                ++w_.counts["cuts"];
                break;
            }
            case 9: {
                NodeId other = any();
                w_.net().cut(id - 1, other - 1);
                w_.net().delay(other - 1, id - 1, Duration(400 * w_.uniform()));
                ++w_.counts["cuts"];
                break;
            }
            case 10:
            case 11:
                w_.net().heal();
                w_.net().loss(w_.draw(2) == 0 ? 0 : 0.2 * w_.uniform());
                w_.net().doubled(w_.draw(2) == 0 ? 0 : 0.2 * w_.uniform());
                break;
            case 12:
                w_.net().clock(id - 1, 0.99 + 0.02 * w_.uniform());
                w_.slow_disk(id, Duration(w_.draw(3) == 0 ? 600 * w_.uniform() : 3));
                break;
            case 13:
                members();
                break;
            case 14:
                w_.transfer(w_.draw(2) == 0 ? 0 : id);
                break;
            case 15:
                lose(id);
                break;
        }
    }

private:
    NodeId any() { return NodeId(1 + w_.draw(w_.size())); }
    bool begun(NodeId id) const { return id < next_spare_; }
    void raise(NodeId id) {
        if (begun(id)) w_.start(id);
    }
    std::size_t down() const {
        std::size_t count = 0;
        for (NodeId k = 1; k <= w_.size(); ++k) count += begun(k) && !w_.up(k);
        return count;
    }
    void members() {
        NodeId l = w_.leader();
        if (l == 0) return;
        const Members& now = w_.core(l).members();
        if (next_spare_ <= keepers_ + spares_ && w_.draw(2) == 0) {
            NodeId id = next_spare_++;
            w_.start(id);
            w_.change(id, true);
        } else if (now.size() > 3) {
            w_.change(now[w_.draw(now.size())].id, false);
        } else {
            for (NodeId k = NodeId(keepers_ + 1); k < next_spare_; ++k)  // one that was not taken in
                if (w_.up(k) && w_.core(k).last_index() == 0) w_.change(k, true);
        }
    }
    void lose(NodeId id) {
        if (!disks_lost_ || !begun(id)) return;
        for (NodeId k = 1; k <= w_.size(); ++k)
            if (!w_.disk(k).there().trusted || (begun(k) && w_.up(k) && !w_.core(k).storage_trusted()))
                return;
        w_.crash(id, Keeps::Nothing);
        w_.lose_disk(id, 1 + w_.draw(std::size_t(w_.disk(id).last() + 1)));
    }

    RaftWorld& w_;
    std::size_t keepers_;
    NodeId next_spare_;
    std::size_t spares_;
    bool disks_lost_;
};

}  // namespace

ChaosResult chaos(const ChaosSettings& settings) {
    RaftWorldSettings set;
    set.seed = settings.seed;
    set.keepers = settings.keepers.value_or(settings.seed % 2 == 0 ? 3 : 5);
    set.spares = 2;
    set.snapshot_each = settings.seed % 3 == 0 ? 0 : 20;
    set.kept = settings.seed % 5 == 0 ? 2048 : 0;
    set.in_order = settings.seed % 4 == 1;
    set.sabotage = settings.sabotage;
    // A storm: messages take about as long as patience lasts, so that elections run into each other; entries
    // go one by one.
    bool storm = settings.seed % 4 == 3;
    double pace = storm ? 0.08 : 1;
    if (storm) {
        set.heartbeat = Duration(10);
        set.election = Duration(50);
        set.delay_most = Duration(30);
        set.sync_most = Duration(10);
        set.batch = 1;
        set.think = Duration(5);
    }
    RaftWorld world(set);
    world.run(Duration(2500 * pace));
    Chaos faults(world, set.keepers, set.spares, settings.disks_lost);
    TimePoint end = world.net().now() + settings.time * (storm ? 0.2 : 1);
    while (world.net().now() < end && world.judge().broken().empty()) {
        faults.one();
        world.run(Duration(20 + 400 * world.uniform()) * pace);
    }
    if (world.judge().broken().empty()) world.heals(Duration(60'000));
    world.finish();
    ChaosResult result;
    result.broken = world.judge().broken();
    result.counts = world.counts;
    result.agreed = world.judge().agreed_last();
    result.terms = world.judge().leaders();
    result.calls = world.history.calls;
    result.events = world.events();
    return result;
}

}  // namespace ochrehub::lab
