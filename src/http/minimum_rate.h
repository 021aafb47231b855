// Whether a body moves at the least rate that is waited for.
#pragma once

#include <chrono>
#include <cstdint>

namespace ochrehub::http {

/// 240 bytes a second over any 10 s, the least that Kestrel, the server of ASP.NET, allows by default in
/// either direction (MinRequestBodyDataRate, MinResponseDataRate): far below any network, far above a byte
/// now and then.
class MinimumRate {
public:
    using Steady = std::chrono::steady_clock;
    static constexpr std::chrono::seconds kOver{10};
    static constexpr std::int64_t kLeast = 240 * kOver.count();

    /// Counts anew; what is waited for is somebody else's.
    void reset() { at_ = Steady::now(); }
    /// So many bytes have moved since the connection began.
    void moved(std::int64_t all) {
        if (all - bytes_ < kLeast) return;
        bytes_ = all;
        reset();
    }
    /// Since as much as kLeast last moved.
    Steady::duration stood() const { return Steady::now() - at_; }
    bool too_slow() const { return stood() > kOver; }

private:
    std::int64_t bytes_ = 0;
    Steady::time_point at_ = Steady::now();
};

}  // namespace ochrehub::http
