// The judge of lab/keeper: what machines carried out, against what processes asked and were answered. Times
// are the world's.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fleet/coordinator/state_machine.h"
#include "ochrehub/balancer.h"

namespace ochrehub::lab {

/// A list that commands append to; a read tells how long it is and what its last is. `hold MS` arms a time
/// for the session.
class ListMachine : public coordinator::StateMachine {
public:
    explicit ListMachine(class KeeperJudge* judge, std::size_t at) : judge_(judge), at_(at) {}
    std::string_view kind() const override { return "list"; }
    std::uint32_t schema() const override { return 1; }
    std::string apply(const coordinator::Command& command) override;
    std::string query(std::string_view) const override;
    void session_opened(coordinator::SessionId, std::string_view, std::string_view) override {}
    void session_ended(coordinator::SessionId session) override;
    std::string session_update(coordinator::SessionId) const override { return {}; }
    void timeouts(std::vector<coordinator::Timeout>& armed) const override;
    std::string on_timeout(std::uint64_t key, std::uint64_t revision) const override;
    std::string snapshot() const override;
    bool restore(std::uint32_t schema, std::string_view bytes) override;

private:
    struct Hold {
        std::uint64_t revision = 0;
        double length = 0;
    };
    KeeperJudge* judge_;
    std::size_t at_;
    std::vector<std::string> list_;
    std::map<coordinator::SessionId, Hold> holds_;
    std::uint64_t revision_ = 0;
};

class KeeperJudge {
public:
    struct Op {
        TimePoint asked{}, answered = TimePoint::max();
        bool append = true, done = false;
        std::string tag;          ///< of an append
        std::uint64_t place = 0;  ///< in the list; of a read: its length
        std::string last;         ///< of a read
    };
    void wrong(const std::string& what) {
        if (wrong_.size() < 8) wrong_.push_back(what);
    }
    /// A process's belief, by its own clock.
    struct Belief {
        TimePoint until{};
        std::size_t process = 0;
        bool given_up = false;
    };

    // What processes believe.
    void held(coordinator::SessionId session, std::size_t process, TimePoint until) {
        auto& b = sessions_[session];
        b.process = process, b.until = std::max(b.until, until);
    }
    void gave_up(coordinator::SessionId session) { sessions_[session].given_up = true; }
    void held_time(std::uint64_t revision, std::size_t process, TimePoint until) {
        times_[revision] = {until, process, false};
    }
    void gave_up_time(std::uint64_t revision) { times_[revision].given_up = true; }
    void crashed(std::size_t process);
    // What machines carry out.
    void session_ended(coordinator::SessionId session);
    void time_over(std::uint64_t revision);
    void appended(std::size_t keeper, std::uint64_t place, const std::string& tag);
    /// The state of a keeper as of an index.
    void state(std::size_t keeper, std::uint64_t index, std::uint64_t hash);
    // What was asked and answered.
    std::size_t ask(TimePoint now, bool append, const std::string& tag);
    void answer(std::size_t op, TimePoint now, std::uint64_t place, const std::string& last);

    void finish();
    const std::vector<std::string>& found() const { return wrong_; }
    std::uint64_t ended = 0, armed_over = 0;
    /// The clock of a process, now.
    TimePoint (*own)(const void* world, std::size_t process) = nullptr;
    const void* world = nullptr;

private:
    std::vector<std::string> wrong_;
    std::map<coordinator::SessionId, Belief> sessions_;
    std::map<std::uint64_t, Belief> times_;
    std::vector<std::string> list_;                  // the longest that any keeper has
    std::map<std::uint64_t, std::uint64_t> states_;  // by index
    std::vector<Op> ops_;
};

}  // namespace ochrehub::lab
