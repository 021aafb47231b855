#include "balancer/request_table.h"

namespace ochrehub::balancer {

Request* RequestTable::find(RequestId id) {
    auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::finish(Request& request) {
    request.finished = true;
    request.queued = false;
    if (modules_.settings.cancel && !request.streaming) {
        for (std::size_t number = 0; number < request.attempts.size(); ++number)
            if (!request.attempts[number].ended) modules_.emit(Cancel{request.id, int(number)});
    }
    finished_.push_back(request.id);
}

void RequestTable::finish_without_response(Request& request) {
    if (request.finished) return;
    Duration retry_after = modules_.retry.retry_after(request);
    if (modules_.retry.may_reject(request))
        modules_.emit(Reject{request.id, retry_after});
    else
        modules_.emit(Fail{request.id});
    finish(request);
}

void RequestTable::erase_finished() {
    for (RequestId id : finished_) {
        Request* request = find(id);
        if (!request || !request->finished || request->open_attempts > 0) continue;
        for (const Attempt& attempt : request->attempts)
            --modules_.registry.at(attempt.endpoint).registration.references;
        requests_.erase(id);
    }
    finished_.clear();
}

}  // namespace ochrehub::balancer
