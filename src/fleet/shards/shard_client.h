// The client of shard holders, as a core without I/O. It keeps the shard map, sends each request to the
// shard's primary under the view that it knows, batches the requests to one holder, and retries those that a
// holder rejected because of a newer view.
//
// A write that may have been executed is never retried blindly. Reads are retried until their deadline, and
// so are writes that expect a version, since a second execution finds another version and changes nothing.
// Any other write that was sent and got no response ends as Unknown. That includes a write that expects no
// record, unless such records are never erased: otherwise it may find none a second time, after its own
// record was written and erased. A rejected write was not executed, and is retried.
//
// Not thread safe.
#pragma once

#include <boost/random/taus88.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/shards/shard_map_planner.h"
#include "fleet/shards/table.h"

namespace ochrehub::shards {

class ShardClient {
public:
    struct Settings {
        std::size_t shard_count = 256;   ///< of the map
        Duration response_timeout{300};  ///< until a repeatable request without a response is retried
        Duration initial_backoff{20};    ///< before the first retry; doubles with each, up to max_backoff
        Duration max_backoff{400};
        Duration batch_delay{0.2};               ///< how long a request waits for others to the same holder
        std::size_t max_batch = 64;              ///< requests in one message; a full batch is sent at once
        std::size_t max_open_requests = 10'000;  ///< more are rejected as Busy
        std::uint64_t instance = 0;              ///< random id of the process, new at each start
    };

    // Events
    struct Request {
        std::uint64_t id = 0;  ///< chosen by the caller; comes back in one Completed
        bool writes = false;
        Write write;  ///< a read uses kind and key alone
        TimePoint deadline{};
        bool never_erased = false;  ///< nobody erases such records: a write that expects none can be retried
    };
    struct MessageReceived {
        std::string_view body;
    };
    struct MapReceived {  ///< as the coordinators sent it with a session renewal
        std::string_view map;
    };
    struct TimerFired {};
    using Event = std::variant<Request, MessageReceived, MapReceived, TimerFired>;

    // Actions
    struct SendMessage {
        SessionId to = 0;
        std::string body;
    };
    struct Completed {
        std::uint64_t id = 0;
        std::optional<Error> error;
        std::optional<Record> record;  ///< what was read; with Changed: the current record
        std::uint64_t version = 0;     ///< of the record that was written
        std::uint64_t view =
            0;  ///< the view that the responding holder had; with `holder`, for history checkers
        SessionId holder = 0;
    };
    struct SetTimer {
        TimePoint at;
    };
    using Action = std::variant<SendMessage, Completed, SetTimer>;
    using Actions = std::vector<Action>;

    explicit ShardClient(const Settings& settings);

    void handle(TimePoint now, const Event& event, Actions& actions);

    const ShardMap& map() const { return map_; }
    std::size_t open() const { return open_.size(); }
    struct Counts {
        std::uint64_t messages = 0, requests = 0, retries = 0, malformed = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    enum class State : std::uint8_t { AwaitingRetry, Queued, Sent };
    struct OpenRequest {
        Request request;
        std::uint32_t shard = 0;
        State state = State::AwaitingRetry;
        bool may_have_executed = false;
        int attempts = 0;
        std::uint64_t number = 0;  // of the last attempt; responses to earlier ones are ignored
        TimePoint due{};
    };
    using OpenRequests = std::map<std::uint64_t, OpenRequest>;  // by the caller's id
    void adopt(std::uint32_t shard, const ShardAssignment& entry);
    void set_due(OpenRequests::value_type& open, TimePoint at);
    void route(TimePoint now, OpenRequests::value_type& open, Actions& actions);
    void retry_later(TimePoint now, OpenRequests::value_type& open);
    void finish(OpenRequests::iterator open, Completed done, Actions& actions);
    void flush(TimePoint now, SessionId to, Actions& actions);
    void received(TimePoint now, std::string_view body, Actions& actions);
    void fire_timers(TimePoint now, Actions& actions);

    Settings set_;
    ShardMap map_;
    OpenRequests open_;
    std::map<std::uint64_t, std::uint64_t>
        id_by_number_;  // caller's id by attempt number, of requests that were sent
    std::map<SessionId, std::vector<std::uint64_t>> queued_;
    std::set<std::pair<TimePoint, std::uint64_t>> due_;
    std::optional<TimePoint> flush_at_;
    std::uint64_t number_ = 0;
    boost::random::taus88 random_;
    Counts counts_;
};

}  // namespace ochrehub::shards
