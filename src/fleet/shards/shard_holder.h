// A process that holds shards, as a core without I/O. As a shard's primary it serves requests; it responds to
// a write once the backup has it too. A new holder catches up while the shard serves: it receives pages of
// the existing records and every new write, in one stream. Which process holds which shard is decided by
// ShardMapPlanner.
//
// It serves only while its session with the coordinators is certainly active, and checks the time of each
// event before anything else. Each message carries the view that its sender knows: a receiver that knows a
// newer view rejects it.
//
// Not thread safe: one thread calls one ShardHolder. Several holders may share a Table, each with its own
// subset of the shards.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/shards/shard_map_planner.h"
#include "fleet/shards/table.h"

namespace ochrehub::shards {

using RequesterId = std::uint64_t;  ///< the caller's id for a requester, to respond to

class ShardHolder {
public:
    struct Settings {
        std::string address;            ///< where other processes reach it; published in the map
        Duration tick_interval{50};     ///< between checks for resends and expired records
        Duration resend_after{250};     ///< until steps without an acknowledgement are sent again
        Duration command_retry{500};    ///< until a command without an effect on the map is submitted again
        std::size_t page_records = 64;  ///< records in one page of a catch-up
        std::size_t batch_steps = 64;   ///< steps of a stream in one message
        std::size_t max_unacked_steps = 512;    ///< limit of one stream
        std::size_t max_queued_steps = 8192;    ///< of a holder that catches up; over it, the stream restarts
        std::size_t max_waiting_writes = 1024;  ///< per shard, for the backup; more are rejected as Busy
        std::size_t max_expired_per_tick = 64;  ///< records per shard
        std::size_t worker_index = 0;  ///< holds the shards with number % worker_count == worker_index
        std::size_t worker_count = 1;
    };

    // Events
    struct SessionRenewed {  ///< the session is active
        SessionId session = 0;
        TimePoint until{};     ///< counted from before the renewal was requested, less a margin; see
                               ///< coordinator::SessionRenewed
        std::string_view map;  ///< the encoded ShardMap; empty: none came with it
    };
    struct SessionExpired {};  ///< or closed by the process: its records are no longer valid
    struct MessageReceived {
        RequesterId from = 0;
        std::string_view body;
    };
    struct Leave {};  ///< hand all shards over to other holders
    struct TimerFired {};
    using Event = std::variant<SessionRenewed, SessionExpired, MessageReceived, Leave, TimerFired>;

    // Actions
    struct SendMessage {  ///< to another holder
        SessionId to = 0;
        std::string body;
    };
    struct SendResponse {  ///< to the requester
        RequesterId to = 0;
        std::string body;
    };
    struct SubmitCommand {  ///< to the coordinators' state machine "views", for this session
        std::string body;
    };
    struct QueryMap {};  ///< there is a newer map: query it now, before the next renewal
    struct SetTimer {
        TimePoint at;
    };
    using Action = std::variant<SendMessage, SendResponse, SubmitCommand, QueryMap, SetTimer>;
    using Actions = std::vector<Action>;

    ShardHolder(const Settings& settings, Table& table);
    ~ShardHolder();

    void handle(TimePoint now, const Event& event, Actions& actions);

    bool is_serving(TimePoint now) const { return session_ != 0 && now < valid_until_; }
    SessionId session() const { return session_; }
    const ShardMap& map() const { return map_; }
    /// The map assigns no shard to this session: after Leave the process may exit.
    bool is_released() const;

    struct Counts {
        std::uint64_t requests = 0, rejected = 0, older_view = 0, malformed = 0, resent = 0, streams = 0,
                      stream_restarts = 0, pages = 0, lost = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    enum class Role : std::uint8_t { None, Primary, Replica };
    struct ClientRequest;
    struct PendingWrite;
    struct CopyStream;
    struct LocalShard;
    struct Outbox;

    void renewed(TimePoint now, const SessionRenewed& event);
    void received(TimePoint now, const MessageReceived& event);
    void reset();
    void apply_assignment(TimePoint now, std::uint32_t n, const ShardAssignment& entry);
    void become_primary(TimePoint now, std::uint32_t n, LocalShard& shard);
    void step_down(LocalShard& shard);
    void drop(std::uint32_t n, LocalShard& shard);
    void handle_request(TimePoint now, const ClientRequest& request);
    void execute(TimePoint now, LocalShard& shard, const ClientRequest& request);
    void respond(const ClientRequest& request, std::optional<Error> error, const Record* record = nullptr,
                 std::uint64_t version = 0);
    void complete(TimePoint now, std::uint32_t n, LocalShard& shard);
    void start_stream(std::uint32_t n, LocalShard& shard, SessionId who, std::uint64_t since, bool keeps);
    void append_to_stream(PendingWrite& pending, CopyStream& stream, TimePoint now);
    void read_next_page(TimePoint now, std::uint32_t n, LocalShard& shard, CopyStream& stream);
    void advance_streams(TimePoint now, std::uint32_t n, LocalShard& shard);
    void send_steps(TimePoint now, std::uint32_t n, LocalShard& shard, CopyStream& stream);
    void tick(TimePoint now);
    void flush(Actions& actions);
    bool is_local(std::uint32_t n) const;

    Settings set_;
    Table& table_;
    ShardMap map_;
    std::vector<LocalShard> shards_;
    SessionId session_ = 0;
    TimePoint valid_until_{}, proposed_at_{};
    bool leaving_ = false;
    std::uint64_t last_stream_ = 0;
    std::unique_ptr<Outbox> out_;
    Counts counts_;
};

}  // namespace ochrehub::shards
