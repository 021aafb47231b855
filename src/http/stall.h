// When a client stands still, so that its connection may be closed for others while something runs short. The
// rates and times are far below what any client needs that wants its answer: nobody is closed for them alone.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace ochrehub::http {

/// A client that stands still, and what its connection holds.
struct Stall {
    std::chrono::steady_clock::duration time{};
    std::size_t bytes = 0;
    bool holds_server = false;  ///< a connection to a server too
};

/// Nothing has come of a request for this long, or it has come too slowly for this long.
inline constexpr std::chrono::milliseconds kMinRequestTime{250};
/// The rate of a response is judged over at least this long: clients pause, too.
inline constexpr std::chrono::milliseconds kRateWindow{1000};
/// A request or a response that moves more slowly than this stands still.
inline constexpr double kMinBytesPerMs = 16;

/// How fast bytes move, by looks at their sum some time apart.
class RecentRate {
public:
    using Steady = std::chrono::steady_clock;

    void reset(std::int64_t bytes) {
        bytes_ = bytes;
        at_ = Steady::now();
        slow_since_ = {};
    }
    /// So many bytes have moved in all.
    void look(std::int64_t bytes) {
        Steady::time_point now = Steady::now();
        if (now - at_ < kRateWindow) return;
        std::chrono::duration<double, std::milli> time = now - at_;
        bool is_slow = double(bytes - bytes_) < kMinBytesPerMs * time.count();
        if (!is_slow) slow_since_ = {};
        if (is_slow && slow_since_ == Steady::time_point{}) slow_since_ = at_;
        bytes_ = bytes;
        at_ = now;
    }
    /// For how long they have moved too slowly; zero: they do not.
    Steady::duration stalled() const {
        return slow_since_ == Steady::time_point{} ? Steady::duration{} : Steady::now() - slow_since_;
    }

private:
    std::int64_t bytes_ = 0;
    Steady::time_point at_ = Steady::now();
    Steady::time_point slow_since_{};
};

}  // namespace ochrehub::http
