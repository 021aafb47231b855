// The clients' connections of one front, kept by what they would lose: which one makes way where descriptors
// run short. Knows neither sockets nor a protocol.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <list>
#include <utility>

#include "base/descriptor_budget.h"

namespace ochrehub {

/// What stands first here makes way first, and among equals what has stood for longest: those that never sent
/// a request go before a good client's idle connection.
enum class Standing : std::size_t { Leaving, Silent, Starting, Once, Idle, Busy, kStandings };

/// `Session` is a pointer of any kind to something with
///     std::chrono::nanoseconds stood() const;  how long it has stood as it does
///     bool spare();                            nothing is lost where it closes
///     void close();                            which calls leave()
template <class Session>
class SessionTable {
public:
    using Sessions = std::list<Session>;
    using Place = typename Sessions::iterator;

    explicit SessionTable(DescriptorBudget budget) : budget_(budget) {}

    /// A connection has come. What is to be answered that there is no room is over().
    Place enter(Session session) {
        Sessions& silent = of(Standing::Silent);
        silent.push_back(std::move(session));
        return std::prev(silent.end());
    }
    /// Hands it back: it may be running just now, and goes when its owner lets go.
    Session leave(Place place, Standing standing) {
        Session gone = std::move(*place);
        of(standing).erase(place);
        return gone;
    }
    /// One that asked once and stayed goes before one that is used again and again.
    void stands(Place place, Standing from, Standing to) {
        of(to).splice(of(to).end(), of(from), place);
        if (to == Standing::Busy) keep_to_share();
    }

    /// Closes what exceeds a new budget as far as it can be closed, new connections included: another process
    /// needs their descriptors now.
    void keep_to(DescriptorBudget budget) {
        budget_ = budget;
        while (held() > budget_.clients + budget_.clients_over &&
               (make_room() || close_one(Standing::Silent, true))) {
        }
    }

    std::size_t held() const {
        std::size_t sum = 0;
        for (const Sessions& some : sessions_) sum += some.size();
        return sum;
    }
    /// True where a further connection can be taken, if only to tell it that there is no room.
    bool may_accept() { return held() < budget_.clients + budget_.clients_over || make_room(); }
    /// True where the next connection can only be told that there is no room.
    bool over() { return held() >= budget_.clients && !make_room(); }

    /// Closes one connection if any can be spared. A new connection without a request is not closed: its
    /// first request may be on its way, and its client could not tell that it was not read. Where nothing
    /// else can be closed, later connections are rejected with a response or wait in the listener's queue,
    /// until the silent ones are no longer new.
    bool make_room() {
        return close_one(Standing::Leaving, true) || close_one(Standing::Silent, false) ||
               close_one(Standing::Starting, false) || close_one(Standing::Once, true) ||
               close_one(Standing::Idle, true) || close_one(Standing::Starting, true);
    }

    const Sessions& standing(Standing standing) const { return sessions_[std::size_t(standing)]; }
    template <class F>
    void each(F f) {
        for (Sessions& some : sessions_)
            for (Session& session : some) f(session);
    }

private:
    /// A connection younger than this is new: its request may still be on its way.
    static constexpr std::chrono::milliseconds kNewConnectionAge{100};
    /// Connections examined for one close: each costs a system call.
    static constexpr int kMaxExamined = 8;

    Sessions& of(Standing standing) { return sessions_[std::size_t(standing)]; }

    bool close_one(Standing standing, bool even_new) {
        int examined = 0;
        for (const Session& session : of(standing)) {
            if (!even_new && session->stood() < kNewConnectionAge) break;  // the rest is newer still
            if (session->spare()) {
                Session closing = session;  // close() removes its entry from the table
                closing->close();
                return true;
            }
            if (++examined == kMaxExamined) break;
        }
        return false;
    }

    // Clients may hold a third of the descriptors. Those that asked once and keep their connection would use
    // it up, and nobody else could ask.
    void keep_to_share() {
        auto asked = [this] {
            return of(Standing::Once).size() + of(Standing::Idle).size() + of(Standing::Busy).size();
        };
        while (asked() > budget_.asked)
            if (!close_one(Standing::Once, true) && !close_one(Standing::Idle, true)) return;
    }

    DescriptorBudget budget_;
    std::array<Sessions, std::size_t(Standing::kStandings)> sessions_;
};

}  // namespace ochrehub
