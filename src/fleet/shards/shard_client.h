// Who asks the holders of shards: a core without I/O. It keeps the map, sends each ask to the shard's first
// holder under the view that it knows, joins what goes to one holder at one time, and asks again where it was
// told of a newer view.
//
// What may have been written is never written again blindly: a read goes on until its deadline; a write that
// expects a version does too, since a second one cannot be taken for the first; any other write that was sent
// and not answered ends as Unknown, and so does one that expects no record, unless such records stay (else it
// may find none a second time, behind its own and an erasing). What was refused was not written, and goes on.
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
        std::size_t shard_count = 256;  ///< as in the map
        Duration response_timeout{
            300};  ///< for an answer, before a read or a write that expects a version is sent again
        Duration initial_backoff{20};  ///< after a refusal; twice as long each time, to `back_off_most`
        Duration max_backoff{400};
        Duration batch_delay{0.2};               ///< that an ask waits for others to the same holder
        std::size_t max_batch = 64;              ///< ... or until there are so many
        std::size_t max_open_requests = 10'000;  ///< asks at a time; more are refused
        std::uint64_t instance = 0;              ///< drawn at each start of a process
    };

    // ---- What happens
    struct Request {
        std::uint64_t id = 0;  ///< chosen by whoever asks, comes back in Done, once
        bool writes = false;
        Write write;  ///< to read: kind and key
        TimePoint deadline{};
        bool never_erased = false;  ///< nobody erases such a record: what expects none may be sent again
    };
    struct MessageReceived {
        std::string_view body;
    };
    struct MapReceived {  ///< the machine's, as it came with a renewal
        std::string_view map;
    };
    struct TimerFired {};
    using Event = std::variant<Request, MessageReceived, MapReceived, TimerFired>;

    // ---- What is to be done about it
    struct SendMessage {
        SessionId to = 0;
        std::string body;
    };
    struct Completed {
        std::uint64_t id = 0;
        std::optional<Error> error;
        std::optional<Record> record;  ///< read; Changed: what is there
        std::uint64_t version = 0;     ///< written
        std::uint64_t view = 0;        ///< who answered, for judges
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
        std::uint64_t number = 0;  // of the ask that is out; answers to others count for nothing
        TimePoint due{};
    };
    using OpenRequests = std::map<std::uint64_t, OpenRequest>;  // by the asker's id
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
    std::map<std::uint64_t, std::uint64_t> id_by_number_;  // of what is out, to the asker's id
    std::map<SessionId, std::vector<std::uint64_t>> queued_;
    std::set<std::pair<TimePoint, std::uint64_t>> due_;
    std::optional<TimePoint> flush_at_;
    std::uint64_t number_ = 0;
    boost::random::taus88 random_;
    Counts counts_;
};

}  // namespace ochrehub::shards
