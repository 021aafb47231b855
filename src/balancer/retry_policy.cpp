#include "balancer/retry_policy.h"

#include <algorithm>

namespace ochrehub::balancer {
namespace {

/// Tokens that one first attempt adds to the retry budget.
constexpr double kRetryTokensPerRequest = 0.2;
/// Least Retry-After, in ms. Where the request timeout is shorter than that, the least is the timeout divided
/// by kMinRetryAfterDivisor.
constexpr Duration kMinRetryAfter{500};
constexpr double kMinRetryAfterDivisor = 4;

}  // namespace

ExecutionState RetryPolicy::execution_state_after(Outcome outcome) {
    bool not_executed =
        outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed || outcome == Outcome::NotSent;
    return not_executed ? ExecutionState::NotExecuted : ExecutionState::PossiblyExecuted;
}

bool RetryPolicy::may_start_attempt(const Request& request, TimePoint now) const {
    if (request.finished || request.streaming || now >= request.deadline) return false;
    if (int(request.attempts.size()) >= settings_.max_attempts) return false;
    return request.open_attempts == 0 || settings_.allows_hedging;
}

bool RetryPolicy::may_repeat_at(Request& request, const Attempt& earlier, const Places& places,
                                TimePoint now) const {
    const ClassSettings& settings = class_of(request);
    if (earlier.execution == ExecutionState::NotExecuted) return true;
    if (settings.idempotency == Idempotency::Idempotent) return true;
    if (settings.idempotency == Idempotency::NonIdempotent) return false;
    TimePoint until = earlier.sent + settings.deduplication_window - 2 * settings_.clock_granularity;
    request.retry_until = std::min(request.retry_until, until);
    if (now >= request.retry_until) return false;
    if (settings.deduplication_scope == DeduplicationScope::Zone)
        return places.first.zone == places.candidate.zone;
    if (settings.deduplication_scope == DeduplicationScope::Cell)
        return places.first.cell == places.candidate.cell;
    return true;
}

void RetryPolicy::record_first_attempt() {
    retry_tokens_ = std::min(kMaxRetryTokens, retry_tokens_ + kRetryTokensPerRequest);
}

bool RetryPolicy::take_retry(const Request& request, ExecutionState execution, bool replayable) {
    if (int(request.attempts.size()) >= settings_.max_attempts || !replayable) return false;
    if (execution != ExecutionState::PossiblyExecuted) return true;
    if (class_of(request).idempotency == Idempotency::NonIdempotent || retry_tokens_ < 1) return false;
    retry_tokens_ -= 1;
    return true;
}

bool RetryPolicy::may_reject(const Request& request) const {
    const ClassSettings& settings = class_of(request);
    if (settings.idempotency == Idempotency::Idempotent) return true;
    if (settings.idempotency == Idempotency::IdempotentWithKey &&
        settings.deduplication_scope == DeduplicationScope::All)
        return true;
    return std::ranges::all_of(request.attempts, [](const Attempt& attempt) {
        return attempt.execution == ExecutionState::NotExecuted;
    });
}

Duration RetryPolicy::retry_after(const Request& request) {
    if (!settings_.retry_after) return Duration{0};
    Duration timeout = class_of(request).request_timeout;
    Duration minimum = timeout < kMinRetryAfter ? timeout / kMinRetryAfterDivisor : kMinRetryAfter;
    return std::min(settings_.max_retry_after, minimum + 2 * minimum * random_.uniform());
}

}  // namespace ochrehub::balancer
