// A process that holds shards, as a core without I/O. Where it is a shard's first holder it answers; a write
// is answered once the second holder has it too. Who becomes a shard's holder is filled while the shard
// serves: pages of what is there, and each write as it comes, in one stream. What the keepers' map says is
// `Views`.
//
// It answers while its session with the keepers certainly stands, and looks at the time of each event before
// it looks at anything else. Each message bears the view that its sender knows: an older one is refused, by
// whoever has heard of a newer.
//
// One thread calls one Holder. Several may share a Table, each with its part of the shards.
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

using RequesterId = std::uint64_t;  ///< whoever asks: a number of the shell's, to answer to

class ShardHolder {
public:
    struct Settings {
        std::string address;                  ///< where others reach it, for the map
        Duration tick_interval{50};           ///< between looks at what must be sent again
        Duration resend_after{250};           ///< after which what a copy has not acknowledged is sent again
        Duration command_retry{500};          ///< ... and what the keepers have not done is proposed again
        std::size_t page_records = 64;        ///< records
        std::size_t batch_steps = 64;         ///< steps of a stream in one message
        std::size_t max_unacked_steps = 512;  ///< steps that are sent and not acknowledged
        std::size_t max_queued_steps =
            8192;  ///< steps that wait for one that is being filled; more, and it begins anew
        std::size_t max_waiting_writes =
            1024;  ///< writes of a shard that wait for its second holder; more are refused
        std::size_t max_expired_per_tick = 64;  ///< records of a shard that are ended in a tick
        std::size_t worker_index = 0,
                    worker_count = 1;  ///< it has the shards whose number divided by `parts` leaves `part`
    };

    // ---- What happens
    struct SessionRenewed {  ///< the session stands
        SessionId session = 0;
        TimePoint until{};     ///< counted from before it was asked for, to a margin before its end:
                               ///< coordinator::SessionRenewed
        std::string_view map;  ///< the machine's; empty: none came with it
    };
    struct SessionExpired {
    };  ///< the keepers said so, or the process gave it up: nothing that it holds counts any more
    struct MessageReceived {
        RequesterId from = 0;
        std::string_view body;
    };
    struct Leave {};  ///< hand everything on
    struct TimerFired {};
    using Event = std::variant<SessionRenewed, SessionExpired, MessageReceived, Leave, TimerFired>;

    // ---- What is to be done about it
    struct SendMessage {  ///< another holder
        SessionId to = 0;
        std::string body;
    };
    struct SendResponse {  ///< to who asked
        RequesterId to = 0;
        std::string body;
    };
    struct SubmitCommand {  ///< to the keepers' machine "views", for this session
        std::string body;
    };
    struct QueryMap {};  ///< there is a newer map: renew now rather than in time
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
    /// Nothing in the map names it any more: after Leave it may end.
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
