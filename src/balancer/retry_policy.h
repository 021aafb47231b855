// Whether a request may have another attempt, where, and with which final response it ends. Responsible for
// the class's idempotency, the deduplication window and scope, the attempt limit, the deadline, the retry
// budget, and the Retry-After of its Reject action. Not responsible for which endpoint is best, nor for the
// Retry-After that HTTP clients get: the node's ClientSession takes that from admission, and only the
// simulator's adapter prints this one. A retry after possible execution costs a token of the budget; one that
// was certainly not executed is free.
#pragma once

#include "balancer/random_source.h"
#include "balancer/request.h"

namespace ochrehub::balancer {

class RetryPolicy {
public:
    /// Where an attempt was, and where another one may go.
    struct Places {
        const EndpointEntry& first;
        const EndpointEntry& candidate;
    };

    RetryPolicy(const Settings& settings, RandomSource& random) : settings_(settings), random_(random) {}

    static ExecutionState execution_state_after(Outcome outcome);

    /// Deadline, attempt limit and hedging allow another attempt now.
    bool may_start_attempt(const Request& request, TimePoint now) const;
    /// Idempotency, deduplication window and scope allow an attempt at `places.candidate` after the attempt
    /// `earlier` at `places.first`. Narrows the request's retry_until.
    bool may_repeat_at(Request& request, const Attempt& earlier, const Places& places, TimePoint now) const;

    /// A first attempt by a client adds to the retry budget.
    void record_first_attempt();
    /// Whether to retry after an attempt that ended with `execution`; takes its token from the budget.
    bool take_retry(const Request& request, ExecutionState execution, bool replayable);

    /// The final response may be Reject: the request was not executed, or repeating it is safe.
    bool may_reject(const Request& request) const;
    /// Retry-After of the Reject action, in ms, with jitter; zero where the settings forbid advice. HTTP
    /// clients get admission's instead.
    Duration retry_after(const Request& request);

private:
    const ClassSettings& class_of(const Request& request) const {
        return settings_.classes[std::size_t(request.class_index)];
    }

    /// Most tokens in the budget, which is also what it starts with.
    static constexpr double kMaxRetryTokens = 5;

    const Settings& settings_;
    RandomSource& random_;
    double retry_tokens_ = kMaxRetryTokens;
};

}  // namespace ochrehub::balancer
