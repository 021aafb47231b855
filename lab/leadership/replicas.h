// The real keepers in the virtual world: Raft and replicas as shipped, each with a disk that takes its time
// and may lose in a crash any part of what it had not written.
#pragma once

#include <deque>

#include "fleet/coordinator/replica.h"
#include "lab/leadership/keepers.h"

namespace ochrehub::lab::leadership {

class Replicas : public House {
public:
    Replicas(std::size_t keepers, std::uint64_t seed, coordinator::StateMachineFactory machines)
        : seed_(seed), machines_(std::move(machines)), each_(keepers) {}

    void attach(Network& net) override { net_ = &net; }
    void started(std::size_t self, TimePoint own) override;
    void crashed(std::size_t self) override;
    void woken(std::size_t self, TimePoint own) override;
    void received(std::size_t self, std::size_t from, TimePoint own, const Message& message) override;
    std::optional<std::size_t> leads() const override;
    const coordinator::StateMachine* look(std::string_view kind) const override;
    void operate(std::string_view kind, std::string_view body) override;
    std::vector<std::string>& answers() override { return answers_; }

private:
    struct Each {
        raft::PersistentState disk;
        struct Pending {
            TimePoint done;
            raft::Write write;
        };
        std::deque<Pending> pending;
        std::unique_ptr<raft::Raft> raft;
        std::unique_ptr<coordinator::Replica> replica;
        TimePoint wake = TimePoint::max();
        std::uint64_t lives = 0;
    };
    void handle(std::size_t self, TimePoint own, const coordinator::ReplicaEvent& event);
    void arm(std::size_t self);
    static void take(raft::PersistentState& disk, const raft::Write& write);

    std::uint64_t seed_;
    coordinator::StateMachineFactory machines_;
    std::vector<Each> each_;
    Network* net_ = nullptr;
    std::vector<std::string> answers_;
    std::uint64_t calls_ = 0;
};

}  // namespace ochrehub::lab::leadership
