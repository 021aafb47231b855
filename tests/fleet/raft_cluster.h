// A consensus group for unit tests: cores, a network in order of sending, and disks whose writes a test may
// delay. Time passes only when a test advances it. Single-threaded.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/raft/raft.h"

namespace ochrehub::raft {

class TestCluster {
public:
    using AdjustSettings = std::function<void(Settings&)>;

    struct Server {
        std::unique_ptr<Raft> core;
        std::vector<Action> actions;  ///< all so far
        std::vector<ApplyEntry> applied;
        std::deque<std::uint64_t> pending_writes;
        TimePoint timer{};
        bool slow_disk = false;  ///< its writes don't complete
    };
    struct InFlight {
        NodeId from;
        NodeId to;
        Message message;
    };

    std::map<NodeId, Server> servers;
    std::deque<InFlight> in_flight;
    std::set<NodeId> unreachable;  ///< neither send, receive, write nor wake
    Duration now{0};

    explicit TestCluster(NodeId size, AdjustSettings adjust = nullptr) : adjust_(std::move(adjust)) {
        for (NodeId id = 1; id <= size; ++id) {
            PersistentState stored;
            stored.initial_members = voters(size);
            start(id, stored);
        }
    }

    static Members voters(NodeId count) {
        Members members;
        for (NodeId id = 1; id <= count; ++id) members.push_back({id, true, ""});
        return members;
    }

    void start(NodeId id, const PersistentState& stored) {
        Settings settings;
        settings.self = id;
        if (adjust_) adjust_(settings);
        servers[id].core = std::make_unique<Raft>(settings, stored, id);
        servers[id].pending_writes.clear();
        handle(id, TimerFired{});
    }

    Raft& core(NodeId id) { return *servers.at(id).core; }

    /// The actions of this event.
    std::vector<Action> handle(NodeId id, const Event& event) {
        Server& server = servers.at(id);
        Actions actions;
        server.core->handle(TimePoint{now}, event, actions);
        for (const Action& action : actions) carry_out(id, server, action);
        return actions;
    }

    /// Delivers and writes until nothing is in flight.
    void settle() {
        for (bool progress = true; progress;) {
            progress = complete_writes();
            progress = deliver_next() || progress;
        }
    }

    void advance(Duration time) {
        TimePoint end{now + time};
        for (;;) {
            settle();
            NodeId next = next_to_fire();
            if (next == 0 || servers[next].timer > end) break;
            now = std::max(now, servers[next].timer.time_since_epoch());
            handle(next, TimerFired{});
        }
        now = std::max(now, end.time_since_epoch());
    }

    /// Zero: none.
    NodeId leader() {
        NodeId found = 0;
        for (auto& [id, server] : servers)
            if (!unreachable.contains(id) && server.core->role() == Role::Leader) found = id;
        return found;
    }

    /// Advances until there has been time for an election.
    NodeId elect() {
        advance(Duration(5000));
        return leader();
    }

    std::vector<Action> propose(NodeId to, std::uint64_t id, std::string data) {
        return handle(to, Propose{id, std::move(data)});
    }

private:
    void carry_out(NodeId id, Server& server, const Action& action) {
        if (const auto* send = std::get_if<SendMessage>(&action)) {
            std::optional<Message> message = decode(encode(send->message));  // as over a link
            EXPECT_TRUE(message);
            if (message) in_flight.push_back({id, send->to, *message});
        }
        if (const auto* write = std::get_if<Write>(&action)) server.pending_writes.push_back(write->number);
        if (const auto* timer = std::get_if<SetTimer>(&action)) server.timer = timer->at;
        if (const auto* applied = std::get_if<ApplyEntry>(&action)) server.applied.push_back(*applied);
        server.actions.push_back(action);
    }

    bool complete_writes() {
        bool any = false;
        for (auto& [id, server] : servers) {
            if (server.slow_disk || server.pending_writes.empty() || unreachable.contains(id)) continue;
            std::uint64_t number = server.pending_writes.back();
            server.pending_writes.clear();
            handle(id, WriteCompleted{number});
            any = true;
        }
        return any;
    }

    bool deliver_next() {
        if (in_flight.empty()) return false;
        InFlight next = std::move(in_flight.front());
        in_flight.pop_front();
        bool lost =
            unreachable.contains(next.from) || unreachable.contains(next.to) || !servers.contains(next.to);
        if (!lost) handle(next.to, MessageReceived{next.from, std::move(next.message)});
        return true;
    }

    NodeId next_to_fire() {
        NodeId next = 0;
        for (auto& [id, server] : servers) {
            if (unreachable.contains(id)) continue;
            if (next == 0 || server.timer < servers[next].timer) next = id;
        }
        return next;
    }

    AdjustSettings adjust_;
};

/// The first action of this type; null: none.
template <class T>
const T* find_action(const std::vector<Action>& actions) {
    for (const Action& action : actions)
        if (const auto* found = std::get_if<T>(&action)) return found;
    return nullptr;
}

inline bool rejected_with(const std::vector<Action>& actions, Error error) {
    const auto* rejected = find_action<Rejected>(actions);
    return rejected && rejected->error == error;
}

}  // namespace ochrehub::raft
