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

#include "fleet/shards/table.h"
#include "fleet/shards/views.h"

namespace ochrehub::shards {

using Peer = std::uint64_t;  ///< whoever asks: a number of the shell's, to answer to

class Holder {
public:
    struct Settings {
        std::string address;      ///< where others reach it, for the map
        Duration tick{50};        ///< between looks at what must be sent again
        Duration resend{250};     ///< after which what a copy has not acknowledged is sent again
        Duration propose{500};    ///< ... and what the keepers have not done is proposed again
        std::size_t page = 64;    ///< records
        std::size_t batch = 64;   ///< steps of a stream in one message
        std::size_t ahead = 512;  ///< steps that are sent and not acknowledged
        std::size_t stream =
            8192;  ///< steps that wait for one that is being filled; more, and it begins anew
        std::size_t waiting = 1024;  ///< writes of a shard that wait for its second holder; more are refused
        std::size_t sweep = 64;      ///< records of a shard that are ended in a tick
        std::size_t part = 0, parts = 1;  ///< it has the shards whose number divided by `parts` leaves `part`
    };

    // ---- What happens
    struct Renewed {  ///< the session stands
        SessionId session = 0;
        TimePoint until{};      ///< counted from before it was asked for, to a margin before its end:
                                ///< coordinator::SessionRenewed
        std::string_view news;  ///< the machine's; empty: none came with it
    };
    struct SessionOver {
    };  ///< the keepers said so, or the process gave it up: nothing that it holds counts any more
    struct Received {
        Peer from = 0;
        std::string_view body;
    };
    struct Leave {};  ///< hand everything on
    struct Woken {};
    using Event = std::variant<Renewed, SessionOver, Received, Leave, Woken>;

    // ---- What is to be done about it
    struct Tell {  ///< another holder
        SessionId to = 0;
        std::string body;
    };
    struct Answered {  ///< to who asked
        Peer to = 0;
        std::string body;
    };
    struct Propose {  ///< to the keepers' machine "views", for this session
        std::string body;
    };
    struct AskNews {};  ///< there is a newer map: renew now rather than in time
    struct WakeAt {
        TimePoint at;
    };
    using Action = std::variant<Tell, Answered, Propose, AskNews, WakeAt>;
    using Actions = std::vector<Action>;

    Holder(const Settings& settings, Table& table);
    ~Holder();

    void handle(TimePoint now, const Event& event, Actions& actions);

    bool serving(TimePoint now) const { return session_ != 0 && now < valid_until_; }
    SessionId session() const { return session_; }
    const ViewMap& map() const { return map_; }
    /// Nothing in the map names it any more: after Leave it may end.
    bool free() const;

    struct Counts {
        std::uint64_t asks = 0, refused = 0, older = 0, malformed = 0, resent = 0, streams = 0,
                      begun_anew = 0, pages = 0, lost = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    enum class Role : std::uint8_t { None, First, Copy };
    struct Asked;
    struct Pending;
    struct Target;
    struct Part;
    struct Outbox;

    void renewed(TimePoint now, const Renewed& event);
    void received(TimePoint now, const Received& event);
    void reset();
    void take(TimePoint now, std::uint32_t n, const Entry& entry);
    void become_first(TimePoint now, std::uint32_t n, Part& part);
    void step_down(Part& part);
    void drop(std::uint32_t n, Part& part);
    void ask(TimePoint now, const Asked& asked);
    void execute(TimePoint now, Part& part, const Asked& asked);
    void answer(const Asked& asked, std::optional<Error> error, const Record* record = nullptr,
                std::uint64_t version = 0);
    void complete(TimePoint now, std::uint32_t n, Part& part);
    void begin(std::uint32_t n, Part& part, SessionId who, std::uint64_t since, bool keeps);
    void enter(Pending& pending, Target& target, TimePoint now);
    void next_page(TimePoint now, std::uint32_t n, Part& part, Target& target);
    void pump(TimePoint now, std::uint32_t n, Part& part);
    void send(TimePoint now, std::uint32_t n, Part& part, Target& target);
    void look(TimePoint now);
    void flush(Actions& actions);
    bool mine(std::uint32_t n) const;

    Settings set_;
    Table& table_;
    ViewMap map_;
    std::vector<Part> parts_;
    SessionId session_ = 0;
    TimePoint valid_until_{}, proposed_{};
    bool leaving_ = false;
    std::uint64_t streams_ = 0;
    std::unique_ptr<Outbox> out_;
    Counts counts_;
};

}  // namespace ochrehub::shards
