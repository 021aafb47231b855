// The emulated servers on sockets: cores that are handed what comes in, and carried out what they say.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "lab/model/cuts.h"
#include "lab/model/day.h"
#include "lab/model/discovery.h"
#include "lab/model/server.h"
#include "lab/play/address.h"
#include "lab/play/link.h"
#include "lab/play/loop.h"

namespace ochrehub::lab {

/// All servers of a day, on one loop. Each listens at one address a node, so that who connects is known.
class ServerShell {
public:
    struct Options {
        bool strict =
            true;  ///< requests that are not as their client sent them count as an id that nobody sent
    };
    /// `tell`: discovery's ear. Addresses stand from here on; nobody listens yet.
    ServerShell(Loop& loop, const Day& day, std::uint64_t seed, std::function<void(const ServerIs&)> tell,
                Options options);
    ~ServerShell();

    const Endpoint& address(ServerNo server, NodeNo node) const;

    // All below on the loop.

    /// The servers that exist at the beginning of the day.
    void begin();
    void start(ServerNo server, bool warm);
    /// A fault of the timeline that concerns servers or the ways to them begins or ends.
    void fault(int number, bool on);
    /// Closes everything; nothing is noted any more.
    void close();

private:
    class Connection;
    struct Machine;
    friend class Connection;

    Machine& of(ServerNo server) { return *machines_[std::size_t(server)]; }
    void event(ServerNo server, const ServerEvent& event);
    void carry_out(ServerNo server, const ServerAction& action);
    void wake(ServerNo server, TimePoint at);
    void listen(ServerNo server);
    void accept(ServerNo server, NodeNo node);
    void die(ServerNo server, bool crashed);
    void silence(ServerNo server, bool on);
    void drain(ServerNo server);
    void trouble(ServerNo server, FaultKind kind);
    Passage passage(ServerNo server, NodeNo node) const;
    void passages_changed();
    /// One way between a node and a server, with its jitter.
    Duration one_way(ServerNo server, NodeNo node);
    void note(ServerNo server, ServerState state, Duration window = {});

    Loop& loop_;
    const Day& day_;
    std::function<void(const ServerIs&)> tell_;
    Options options_;
    Cuts cuts_;
    std::mt19937_64 random_;
    std::vector<std::vector<std::unique_ptr<Held>>> held_;  ///< by the server whose address it is, and node
    std::vector<std::unique_ptr<Machine>> machines_;
    std::set<int> faults_;                               ///< that hold now
    std::map<TryId, std::weak_ptr<Connection>> latest_;  ///< where a try's last attempt was seen
    AttemptNo attempts_ = 0;
    ConnectionNo connections_ = 0;
    bool beginning_ = false, closed_ = false;
};

}  // namespace ochrehub::lab
