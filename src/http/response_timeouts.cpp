#include "http/response_timeouts.h"

#include <algorithm>

namespace ochrehub::http {

void ResponseTimeouts::reset(const Policy& policy) {
    *this = {};
    policy_ = policy;
}

void ResponseTimeouts::begun(Time now) {
    begun_ = last_byte_ = last_progress_ = now;
    body_bytes_ = bytes_at_progress_ = 0;
}

void ResponseTimeouts::received(Time now, std::uint64_t body_bytes) {
    last_byte_ = now;
    body_bytes_ = body_bytes;
    if (body_bytes_ - bytes_at_progress_ < kMinProgress) return;
    bytes_at_progress_ = body_bytes_;
    last_progress_ = now;
}

void ResponseTimeouts::passed_on(Time now, Steady::duration patience) {
    passed_on_ = true;
    if (!deadline_) deadline_ = now + patience;
}

void ResponseTimeouts::resumed(Time now) {
    last_byte_ = last_progress_ = now;
}

std::optional<ResponseTimeouts::Time> ResponseTimeouts::pass_on_at(ResponseLength length,
                                                                   bool body_begun) const {
    if (passed_on_ || length == ResponseLength::Short) return {};
    std::optional<Time> latest;
    if (deadline_) latest = *deadline_ - kPassOnMargin;
    if (!body_begun) return latest;
    Time held = begun_ + kHoldTime;
    return latest ? std::min(held, *latest) : held;
}

std::optional<ResponseTimeouts::Time> ResponseTimeouts::stalled_at(ResponseLength length) const {
    if (!passed_on_) {
        Steady::duration stall = length == ResponseLength::Short ? policy_.stall : policy_.long_stall;
        if (stall.count() == 0) return {};
        return last_byte_ + stall;
    }
    if (length == ResponseLength::Long || !policy_.ends_with_request) return last_byte_ + kMaxStreamStall;
    return std::max(*deadline_ + kEndMargin, last_progress_ + kMaxPause);
}

}  // namespace ochrehub::http
