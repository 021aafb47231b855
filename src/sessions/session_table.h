// The clients' connections of one front, kept by what they would lose: which one makes way where descriptors
// run short. Knows neither sockets nor a protocol.
#pragma once

#include <algorithm>
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

    /// No more than this from now on, as far as those that are over it can go.
    void keep_to(DescriptorBudget budget) {
        budget_ = budget;
        while (held() > budget_.clients + budget_.clients_over && make_room()) {
        }
    }

    std::size_t held() const {
        std::size_t sum = 0;
        for (const Sessions& some : sessions_) sum += some.size();
        return sum;
    }
    /// How many of those that cannot make way should go, so that the next to come find room.
    std::size_t missing() const {
        std::size_t in_hand = standing(Standing::Starting).size() + standing(Standing::Busy).size();
        std::size_t most = budget_.clients - budget_.clients / kReservePart;
        return in_hand - std::min(in_hand, most);
    }
    /// True where a further connection can be taken, if only to tell it that there is no room.
    bool may_accept() { return held() < budget_.clients + budget_.clients_over || make_room(); }
    /// True where the next connection can only be told that there is no room.
    bool over() { return held() >= budget_.clients && !make_room(); }

    // A crowd that says nothing must not push out a connection that has only just come, its request on its
    // way: before that one an idle connection goes, whose client opens another when it needs it.
    bool make_room() {
        return close_one(Standing::Leaving, true) || close_one(Standing::Silent, false) ||
               close_one(Standing::Starting, false) || close_one(Standing::Once, true) ||
               close_one(Standing::Idle, true) || close_one(Standing::Silent, true) ||
               close_one(Standing::Starting, true);
    }

    const Sessions& standing(Standing standing) const { return sessions_[std::size_t(standing)]; }
    template <class F>
    void each(F f) {
        for (Sessions& some : sessions_)
            for (Session& session : some) f(session);
    }

private:
    static constexpr std::chrono::milliseconds kFresh{100};  // a connection's request may still be on its way
    static constexpr std::size_t kReservePart = 16;  // of the connections is left for those that come next
    static constexpr int kLooks =
        8;  // each costs a call: a crowd is not searched from end to end at every accept

    Sessions& of(Standing standing) { return sessions_[std::size_t(standing)]; }

    bool close_one(Standing standing, bool even_fresh) {
        int looks = kLooks;
        for (const Session& session : of(standing)) {
            if (!even_fresh && session->stood() < kFresh) break;  // those behind are fresher still
            if (session->spare()) {
                Session closing = session;  // its place goes with its close
                closing->close();
                return true;
            }
            if (--looks == 0) break;
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
