// Octets by coverage into the decoder of agreement and, where they are a message, into a follower and a
// leader (libFuzzer, Clang). Whatever comes: nothing is read beyond its end, what is read is written back the
// same, and a core goes on.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "fleet/raft/raft.h"

using ochrehub::Duration, ochrehub::TimePoint;
namespace raft = ochrehub::raft;

namespace {

void must(bool holds) {
    if (!holds) std::abort();
}

struct One {
    raft::Raft core;
    std::uint64_t writes = 0;
    double now = 0;

    explicit One(const raft::PersistentState& disk) : core(settings(), disk, 1) { tell(raft::TimerFired{}); }
    static raft::Settings settings() {
        raft::Settings set;
        set.self = 1;
        return set;
    }
    void tell(const raft::Event& event) {
        raft::Actions actions;
        core.handle(TimePoint{Duration{now}}, event, actions);
        for (const raft::Action& action : actions)
            if (const auto* write = std::get_if<raft::Write>(&action)) writes = write->number;
        must(actions.size() < 1000);
        must(core.commit_index() <= core.last_index() && core.durable_index() <= core.last_index());
    }
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    std::string octets(reinterpret_cast<const char*>(data), size);
    auto message = raft::decode(octets);
    if (!message) return 0;
    auto again = raft::decode(raft::encode(*message));
    must(again && *again == *message);
    raft::PersistentState disk;
    disk.initial_members = {{1, true, ""}, {2, true, ""}, {3, true, ""}};
    disk.entries = {{1, raft::Entry::Kind::NoOp, ""}, {1, raft::Entry::Kind::Data, "a"}};
    disk.hard_state = {1, 2};
    One follower(disk);
    One leader(disk);
    leader.now = 3000;
    leader.tell(raft::TimerFired{});
    leader.tell(raft::MessageReceived{2, raft::RequestVoteResponse{2, true, true}});
    leader.tell(raft::WriteCompleted{leader.writes});
    leader.tell(raft::MessageReceived{2, raft::RequestVoteResponse{2, false, true}});
    must(leader.core.role() == raft::Role::Leader);
    for (One* one : {&follower, &leader})
        for (int i = 0; i < 2; ++i) {
            one->tell(raft::MessageReceived{2, *message});
            one->tell(raft::WriteCompleted{one->writes});
            one->now += 50;
            one->tell(raft::TimerFired{});
            one->tell(raft::Propose{7, "b"});
        }
    return 0;
}
