#include "http/upload.h"

#include <algorithm>

namespace ochrehub::http {

namespace {

constexpr std::chrono::milliseconds kMinCheckInterval{10};

}  // namespace

void Upload::received(Steady::time_point arrived, std::uint64_t body_bytes) {
    last_arrival_ = arrived;
    last_progress_ = Steady::now();
    client_rate_.moved(std::int64_t(body_bytes));
}

void Upload::unblock() {
    blocked_ = false;
    last_progress_ = Steady::now();
    client_rate_.reset();
}

bool Upload::client_too_slow() const {
    return !blocked_ && (Steady::now() - last_progress_ > kMaxStall || client_rate_.too_slow());
}

std::optional<Upload::Steady::time_point> Upload::next_check(const UnreadBody& unread,
                                                             Steady::time_point now) const {
    Steady::time_point arrived = last_arrival_;
    // Bytes of a next request would make the body look younger than it is.
    if (unread.age && !unread.next_request_arrived) arrived = std::max(arrived, now - steady(*unread.age));
    Steady::duration patience = steady(patience_);
    if (unread.complete.value_or(true)) {
        Steady::time_point deadline = arrived + patience;
        return deadline > now ? std::optional(deadline) : std::nullopt;
    }
    Steady::time_point stall_deadline =
        std::max(arrived, last_progress_) + std::max<Steady::duration>(patience, kMaxStall);
    if (stall_deadline <= now) return std::nullopt;
    // It may become whole at any moment from now on.
    return std::min(stall_deadline, now + std::max<Steady::duration>(patience, kMinCheckInterval));
}

}  // namespace ochrehub::http
