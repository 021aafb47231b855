// Decides which addresses to dial and when, and which of two connections between the same processes is kept.
// A core without I/O: `Dialer` is notified of the state of its own and of all other connections. Its only
// randomness is its seed. A lost connection is retried with exponential backoff; each delay is random within
// its upper half, so that the peers of a failed process don't all reconnect at once.
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
    Duration initial_backoff{100};   ///< upper bound of the first delay
    Duration max_backoff{5000};      ///< upper bound of all delays
    Duration connect_timeout{3000};  ///< from Dial to DialSucceeded
    /// A connection that lasted this long starts again with `initial_backoff`.
    Duration backoff_reset_after{1000};
};

/// Whether the newer of two connections between the same processes is kept, by which side dialed each of
/// them. The connection that the process with the lower instance dialed is kept, whichever came first, so
/// that both ends choose the same one. If the same process dialed both, the newer one is kept, since that
/// process would not have dialed without having lost the other.
constexpr bool newer_stays(bool is_older_dialed_here, bool is_newer_dialed_here, std::uint64_t own_instance,
                           std::uint64_t peer_instance) {
    if (is_older_dialed_here == is_newer_dialed_here) return true;
    return is_newer_dialed_here == (own_instance < peer_instance);
}

/// Not thread safe. Addresses are opaque strings, each in the list once.
class Dialer {
public:
    // Events

    /// Ignored if the address is in the list already.
    struct AddressAdded {
        std::string address;
    };
    struct AddressRemoved {
        std::string address;
    };
    /// The connection dialed to this address is established.
    struct DialSucceeded {
        std::string address;
        std::uint64_t instance = 0;
    };
    /// The connection dialed to this address has failed, was closed, or was replaced by another one.
    struct ConnectionEnded {
        std::string address;
    };
    /// The address leads to this process itself.
    struct SelfReached {
        std::string address;
    };
    /// There is a connection to this process, whichever side dialed it.
    struct PeerConnected {
        std::uint64_t instance = 0;
    };
    struct PeerDisconnected {
        std::uint64_t instance = 0;
    };
    using Event = std::variant<AddressAdded, AddressRemoved, DialSucceeded, ConnectionEnded, SelfReached,
                               PeerConnected, PeerDisconnected, TimerFired>;

    // Actions

    struct Dial {
        std::string address;
    };
    /// Closes the connection dialed to this address, if there is one, without a ConnectionEnded.
    struct CloseDialed {
        std::string address;
        bool timed_out = false;  ///< the connect timeout has expired
    };
    using Action = std::variant<Dial, CloseDialed, SetTimer>;
    using Actions = std::vector<Action>;

    Dialer(const DialSettings& settings, std::uint64_t seed);

    void handle(TimePoint now, const Event& event, Actions& actions);
    std::size_t size() const { return entries_.size(); }
    /// The instance of the connected process at this address, even if another connection to it is used. Zero:
    /// none is connected.
    std::uint64_t instance_at(const std::string& address) const {
        auto found = entries_.find(address);
        bool is_connected = found != entries_.end() && (found->second.state == State::Connected ||
                                                        found->second.state == State::PeerConnected);
        return is_connected ? found->second.instance : 0;
    }

private:
    /// PeerConnected: the process last seen at the address is connected by another connection.
    enum class State : std::uint8_t { Waiting, Dialing, Connected, PeerConnected, Self };
    struct Entry {
        State state = State::Waiting;
        TimePoint deadline{};  // of Waiting and Dialing
        TimePoint since{};     // of Connected and PeerConnected
        Duration backoff{};    // before its random part
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
