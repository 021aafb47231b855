// The emulated clients on sockets: carries out what their core says, and notes what they see.
#pragma once

#include <memory>
#include <random>
#include <unordered_map>
#include <vector>

#include "lab/model/clients.h"
#include "lab/model/cuts.h"
#include "lab/play/address.h"
#include "lab/play/loop.h"
#include "lab/play/node_lives.h"

namespace ochrehub::lab {

class ClientShell {
public:
    /// `nodes`: where each listens. `lives`: which of their processes were killed; outlives the shell.
    /// `crossing_most`: how long after a request's last byte a reset can still be from a close that crossed
    /// it; later ones lose the request. Throws AddressError for what is not loopback.
    ClientShell(Loop& loop, const Day& day, TimePoint start, std::uint64_t seed, std::vector<Endpoint> nodes,
                const NodeLives& lives, Duration crossing_most = Duration{100});
    ~ClientShell();

    // All below on the loop.

    void begin();
    void handle(const ClientEvent& event);
    void fault(int number, bool on);
    bool done() const { return core_.done(); }
    std::size_t connections() const { return connections_.size(); }
    void close();

private:
    class Connection;
    friend class Connection;

    void carry_out(const ClientAction& action);
    std::shared_ptr<Connection> find(ClientConnection number) const;
    void wake(TimePoint at);
    Duration one_way();
    bool cut(NodeNo node, bool towards_node) const;
    void note_left(const TryLeft& left);

    Loop& loop_;
    const Day& day_;
    Clients core_;
    std::vector<Endpoint> nodes_;
    const NodeLives& lives_;
    Duration crossing_most_;
    Cuts cuts_;
    std::mt19937_64 random_;
    std::unordered_map<ClientConnection, std::shared_ptr<Connection>> connections_;
    std::unordered_map<TryId, std::weak_ptr<Connection>> tries_;  ///< that are out
    TimerId wake_timer_ = 0;
    std::uint64_t noises_ = 0;
    bool closed_ = false;
};

}  // namespace ochrehub::lab
