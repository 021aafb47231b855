// What a process does where another process of its node lives beside it: it waits for a list of its own
// before it accepts connections, and watches whether the other one is there.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "base/log.h"
#include "engine/types.h"
#include "takeover/instance_lock.h"

namespace ochrehub::app {

/// When the first connection is accepted: at once, but beside an earlier process, which serves meanwhile,
/// with a list of servers of this process's own. Guards against a start from a list that is old; one that
/// does not come holds up nothing.
class Opening {
public:
    Opening(boost::asio::io_context& io, bool waits) : waits_(waits), timer_(io) {}

    void when_due(std::function<void()> open) {
        open_ = std::move(open);
        if (!waits_) return now();
        timer_.expires_after(kMaxListWait);
        timer_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) now();
        });
    }
    void listed(const EndpointList& listing) {
        bool fresh = listing.update.kind == UpdateKind::Full || listing.update.kind == UpdateKind::Delta;
        if (waits_ && fresh) now();
    }

private:
    /// For discovery's first answer.
    static constexpr std::chrono::milliseconds kMaxListWait{2000};

    void now() {
        waits_ = false;
        timer_.cancel();
        if (auto open = std::exchange(open_, nullptr)) open();
    }

    bool waits_;
    boost::asio::steady_timer timer_;
    std::function<void()> open_;
};

/// Notifies when another process of this node begins to live, or ends.
class HandoverPeerWatch {
public:
    HandoverPeerWatch(boost::asio::io_context& io, const std::string& folder, const std::string& files,
                      std::function<void(bool)> notify)
        : timer_(io), notify_(std::move(notify)), instance_lock_(folder, files) {
        check();
    }

private:
    static constexpr std::chrono::milliseconds kPeerCheckInterval{100};

    void check() {
        if (bool present = instance_lock_.twin(); present != std::exchange(present_, present)) {
            log_line(present ? "another process of this node lives: limits are halved"
                             : "alone: limits are whole again");
            notify_(present);
        }
        timer_.expires_after(kPeerCheckInterval);
        timer_.async_wait([this](boost::system::error_code stopped) {
            if (!stopped) check();
        });
    }

    boost::asio::steady_timer timer_;
    std::function<void(bool)> notify_;
    takeover::InstanceLock instance_lock_;
    bool present_ = false;
};

}  // namespace ochrehub::app
