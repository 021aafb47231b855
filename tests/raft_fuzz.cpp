// libFuzzer (Clang) target: bytes into the decoder of consensus messages and, where they are a message, into
// a follower and a leader. Nothing may be read beyond the input, what is decoded must encode to the same
// message, and a core must keep its invariants. Single-threaded; time is virtual.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "fleet/raft/raft.h"

using ochrehub::Duration;
using ochrehub::TimePoint;
namespace raft = ochrehub::raft;

namespace {

void require(bool condition) {
    if (!condition) std::abort();
}

raft::PersistentState stored_state() {
    raft::PersistentState stored;
    stored.hard_state = {1, 2};
    stored.entries = {{1, raft::Entry::Kind::NoOp, ""}, {1, raft::Entry::Kind::Data, "a"}};
    stored.initial_members = {{1, true, ""}, {2, true, ""}, {3, true, ""}};
    return stored;
}

class Server {
public:
    Server() : core_(settings(), stored_state(), 1) { handle(raft::TimerFired{}); }

    void handle(const raft::Event& event) {
        constexpr std::size_t kMaxActions = 1000;
        raft::Actions actions;
        core_.handle(TimePoint{Duration{now_}}, event, actions);
        for (const raft::Action& action : actions)
            if (const auto* write = std::get_if<raft::Write>(&action)) last_write_ = write->number;
        require(actions.size() < kMaxActions);
        require(core_.commit_index() <= core_.last_index() && core_.durable_index() <= core_.last_index());
    }
    void complete_writes() { handle(raft::WriteCompleted{last_write_}); }
    void advance(double milliseconds) { now_ += milliseconds; }

    void become_leader() {
        constexpr double kPastElectionTimeout = 3000;
        advance(kPastElectionTimeout);
        handle(raft::TimerFired{});
        handle(raft::MessageReceived{2, raft::RequestVoteResponse{2, true, true}});
        complete_writes();
        handle(raft::MessageReceived{2, raft::RequestVoteResponse{2, false, true}});
        require(core_.role() == raft::Role::Leader);
    }

private:
    static raft::Settings settings() {
        raft::Settings settings;
        settings.self = 1;
        return settings;
    }

    raft::Raft core_;
    std::uint64_t last_write_ = 0;
    double now_ = 0;  ///< milliseconds
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    std::string bytes(reinterpret_cast<const char*>(data), size);
    std::optional<raft::Message> message = raft::decode(bytes);
    if (!message) return 0;
    std::optional<raft::Message> again = raft::decode(raft::encode(*message));
    require(again && *again == *message);
    Server follower;
    Server leader;
    leader.become_leader();
    for (Server* server : {&follower, &leader}) {
        for (int i = 0; i < 2; ++i) {  // a duplicate must do no harm either
            server->handle(raft::MessageReceived{2, *message});
            server->complete_writes();
            server->advance(50);
            server->handle(raft::TimerFired{});
            server->handle(raft::Propose{7, "b"});
        }
    }
    return 0;
}
