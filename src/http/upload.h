// A request body that is forwarded while it still arrives: which side holds it up, and how long that may
// last. Reads no socket: its session says what has arrived. Runs on the session's thread; times are of the
// steady clock.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "http/body_stream.h"
#include "http/minimum_rate.h"
#include "ochrehub/balancer.h"

namespace ochrehub::http {

/// What the node's machine has of a body, but the node has not read.
struct UnreadBody {
    std::optional<std::uint64_t> bytes;  ///< none: the kernel does not say
    std::optional<bool> complete;        ///< they hold the body's end; none: unknown
    bool next_request_arrived = false;   ///< ... and bytes behind it
    std::optional<Duration> age;         ///< since bytes last arrived; none: the kernel does not say
};

class Upload {
public:
    using Steady = std::chrono::steady_clock;

    explicit Upload(std::shared_ptr<BodyStream> stream) : stream_(std::move(stream)) {}

    BodyStream& stream() const { return *stream_; }
    /// From the body's last byte on, how long its client waits for the response.
    void set_patience(Duration patience) { patience_ = patience; }

    /// Bytes were read that arrived at `arrived`; `body_bytes` since the request began.
    void received(Steady::time_point arrived, std::uint64_t body_bytes);
    /// The server takes no more now: the client's bytes stay unread.
    void block() { blocked_ = true; }
    void unblock();
    bool blocked() const { return blocked_; }
    /// It is the client that is waited for, and it sends nothing, or too little.
    bool client_too_slow() const;

    /// When a blocked upload has to be looked at first.
    Steady::time_point first_check() const { return last_arrival_ + steady(patience_); }
    /// When it has to be looked at again; none: its time is over. A body that may be whole has the client's
    /// patience from the last byte's arrival on. One that is not whole cannot be late, but ends where nothing
    /// of it has moved for that long, and for kMaxStall at the least.
    std::optional<Steady::time_point> next_check(const UnreadBody& unread, Steady::time_point now) const;

    static constexpr std::chrono::milliseconds kMaxStall{2500};

private:
    static Steady::duration steady(Duration time) {
        return std::chrono::duration_cast<Steady::duration>(time);
    }

    std::shared_ptr<BodyStream> stream_;
    Duration patience_{};
    bool blocked_ = false;
    Steady::time_point last_arrival_ = Steady::now();
    Steady::time_point last_progress_ = Steady::now();  // bytes were read, or the server took some
    MinimumRate client_rate_;
};

}  // namespace ochrehub::http
