// Which addresses to connect to and when, and which of two connections between the same processes stays. A
// core without I/O: `Dialer` is told what became of its connections and of everybody's, and draws on its seed
// alone. Whoever has lost a connection tries again behind a wait that doubles up to a bound, each wait
// random_fraction from its upper half, so that those who lost the same peer do not come back to it at once.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fleet/channel/channel.h"

namespace ochrehub::channel {

struct DialSettings {
    Duration initial_backoff{100};   ///< the first wait, at most
    Duration max_backoff{5000};      ///< the longest
    Duration connect_timeout{3000};  ///< until DialSucceeded; one that takes longer is given up
    Duration backoff_reset_after{
        1000};  ///< a connection that lived for this begins with `initial_backoff` again
};

/// Of two connections between the same processes, told by who dialled them: is the newer one the one that
/// stays? The one that the process with the lower instance dialled stays, whichever came first, so that both
/// ends choose the same; of two that the same one dialled the newer, since it would not have dialled had it
/// not lost the other.
constexpr bool newer_stays(bool older_dialled_here, bool newer_dialled_here, std::uint64_t here,
                           std::uint64_t there) {
    if (older_dialled_here == newer_dialled_here) return true;
    return newer_dialled_here == (here < there);
}

/// Not for use by several threads. Addresses are opaque here, each in the list once.
class Dialer {
public:
    // ---- What happens
    struct AddressAdded {  ///< from now on; no fault where it is already
        std::string address;
    };
    struct AddressRemoved {  ///< not any more; its connection is abandoned
        std::string address;
    };
    struct DialSucceeded {  ///< the connection dialled there is up
        std::string address;
        std::uint64_t instance = 0;
    };
    struct ConnectionEnded {  ///< the connection dialled there has failed, ended, or made way for another
        std::string address;
    };
    struct SelfReached {  ///< this very process answers there
        std::string address;
    };
    struct PeerConnected {  ///< there is a connection to this process, whoever dialled it
        std::uint64_t instance = 0;
    };
    struct PeerDisconnected {
        std::uint64_t instance = 0;
    };
    using Event = std::variant<AddressAdded, AddressRemoved, DialSucceeded, ConnectionEnded, SelfReached,
                               PeerConnected, PeerDisconnected, TimerFired>;

    // ---- What is to be done about it
    struct Dial {
        std::string address;
    };
    struct CloseDialed {  ///< close what was dialled there, if anything is; nothing of it needs to be told
        std::string address;
        bool timed_out = false;  ///< not reached in time
    };
    using Action = std::variant<Dial, CloseDialed, SetTimer>;
    using Actions = std::vector<Action>;

    Dialer(const DialSettings& settings, std::uint64_t seed);

    void handle(TimePoint now, const Event& event, Actions& actions);
    std::size_t size() const { return entries_.size(); }
    /// Of the process that answers there, connected by this or another way; zero: none is.
    std::uint64_t instance_at(const std::string& address) const {
        auto found = entries_.find(address);
        bool is_connected = found != entries_.end() && (found->second.state == State::Connected ||
                                                        found->second.state == State::PeerConnected);
        return is_connected ? found->second.instance : 0;
    }

private:
    /// Held: the process that answered there last is connected by another way.
    enum class State : std::uint8_t { Waiting, Dialing, Connected, PeerConnected, Self };
    struct Entry {
        State state = State::Waiting;
        TimePoint deadline{};  // Waiting, Dialing
        TimePoint since{};     // Connected, Held
        Duration backoff{};    // the last one
        std::uint64_t instance = 0;
    };
    void handle_lost(TimePoint now, Entry& entry);
    void schedule_retry(TimePoint now, Entry& entry);

    DialSettings settings_;
    std::mt19937_64 random_;
    std::map<std::string, Entry> entries_;
    std::set<std::uint64_t> connected_peers_;
    TimePoint timer_at_ = TimePoint::max();
};

}  // namespace ochrehub::channel
