// Messages in order between two processes of the fleet: a length, then protobuf. First on each side stand
// version, cluster's fingerprint and whether it signs, then a Hello, which says who speaks; frames bear a tag
// where the fleet has keys. One connection as a core without I/O: `Channel` is handed octets and times and
// returns octets, messages and its end. What waits to be written is bounded: who reads slowly is sent no
// more, and whoever wanted to send is told so.
//
// A tag is made with a key of this connection and direction alone (of both sides' nonces, the sender's
// first), over the frame's running number and octets: what was recorded elsewhere or before, turned around,
// left out or sent in another order is Forged. Connected comes behind the first frame that the peer has
// signed over both nonces, so a Hello that was recorded gets nobody anywhere.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/error/error.h"
#include "fleet/keys/keys.h"
#include "ochrehub/balancer.h"

namespace ochrehub::channel {

/// Whose message it is; each belongs to one module above.
enum class MessageKind : std::uint16_t { Raft = 1, Request, Response, Shard, Quota, Rules, Migration };

struct Peer {  ///< as its Hello says
    std::string name, zone;
    std::uint64_t instance = 0;        ///< drawn at each start of a process; never zero
    std::uint32_t coordinator_id = 0;  ///< its number, where it is one
    std::uint32_t release = 0, min_schema = 0, max_schema = 0;
    friend bool operator==(const Peer&, const Peer&) = default;
};

struct Settings {
    Peer self;
    std::uint32_t cluster = 0;  ///< fleet::fingerprint of its name
    std::vector<std::string>
        keys;  ///< the first signs, any is taken; none: whoever reaches the port is believed
    std::string
        nonce;  ///< of this connection: kNonceBytes bytes that never come again. Without keys: may be empty
    std::size_t max_message_bytes = 1 << 20;  ///< bytes of one's body, at most
    std::size_t max_queued_bytes = 4 << 20;   ///< bytes that wait to be written, at most
    Duration idle_timeout{1000};              ///< silence after which one asks; below `dead_timeout`
    Duration dead_timeout{
        3000};  ///< ... and after which the connection is given up; also for all up to Connected
};
inline constexpr std::size_t kNonceBytes = 16;

enum class Error {
    Closed,
    Silent,
    TooLong,
    Malformed,
    Version,
    Cluster,
    Forged,
    Full,
    Replaced,
    Unreachable
};
const fleet::ErrorRow& row(Error error);

// ---- What happens
struct Opened {};
struct BytesReceived {
    std::string_view bytes;
};
struct BytesWritten {  ///< so many bytes have left
    std::size_t bytes = 0;
};
struct Closed {};
struct TimerFired {};
struct SendMessage {
    MessageKind kind{};
    std::string body;
};
using Event = std::variant<Opened, BytesReceived, BytesWritten, Closed, TimerFired, SendMessage>;

// ---- What is to be done about it
struct WriteBytes {
    std::string bytes;
};
struct Connected {  ///< its Hello was taken: messages may go both ways
    Peer peer;
};
struct DeliverMessage {
    MessageKind kind{};
    std::string body;
};
struct SendRejected {  ///< a SendMessage that did not fit, or came before Connected: it was not sent
    MessageKind kind{};
    Error error{};
};
struct CloseConnection {  ///< close it; nothing follows
    Error error{};
};
struct SetTimer {
    TimePoint at;
};
using Action = std::variant<WriteBytes, Connected, DeliverMessage, SendRejected, CloseConnection, SetTimer>;
using Actions = std::vector<Action>;

/// One connection, from its opening to its end, on either side. Not for use by several threads.
///
/// Of one call's actions at most one is a WriteBytes, and it is the first: whoever has carried that out may
/// call again from inside of what the others lead to. CloseConnection is the last of all; whatever happens
/// behind it is answered by nothing, a SendMessage by SendRejected. Memory: what waits to be written lives
/// with whoever carries out WriteBytes; in here one frame at most that is not whole yet, as many octets of it
/// as have come (up to Connected kMaxHelloBytes, then `message` and kFrameOverheadBytes, and what was read
/// with them), and twice that while a string grows.
///
/// Whose own process was_paused still for longer than `idle` behind a time that it asked for takes no silence
/// for the peer's; it asks and waits anew.
class Channel {
public:
    static constexpr std::size_t kPreambleBytes = 9;        ///< "och", version 1, cluster 4, signs 1
    static constexpr std::size_t kMaxHelloBytes = 1024;     ///< bytes of a frame before Connected
    static constexpr std::size_t kFrameOverheadBytes = 64;  ///< of a frame, beyond its message's body
    static constexpr std::size_t kMaxNameBytes = 64;  ///< bytes of a name or zone: printable ASCII, no quotes
    static constexpr std::uint8_t kProtocolVersion = 1;

    explicit Channel(const Settings& settings);

    void handle(TimePoint now, const Event& event, Actions& actions);

    bool connected() const { return stage_ == Stage::Connected; }
    bool closed() const { return stage_ == Stage::Closed; }
    const Peer& peer() const { return peer_; }                  ///< once Connected
    std::size_t queued_bytes() const { return queued_bytes_; }  ///< bytes put that have not left
    std::size_t buffered_bytes() const {
        return incoming_.size();
    }  ///< bytes of a frame that is not whole yet

private:
    enum class Stage : std::uint8_t { New, Preamble, Hello, Ready, Connected, Closed };
    struct Wire;  // what needs protobuf

    void open(TimePoint now);
    void receive(TimePoint now, std::string_view bytes, Actions& actions);
    /// How many of the octets it was done with; fewer than all only where more must come. Ends where they are
    /// wrong.
    std::size_t consume(std::string_view bytes, Actions& actions);
    void check_preamble(std::string_view bytes, Actions& actions);
    void send_message(const SendMessage& request, Actions& actions);
    void handle_timer(TimePoint now, Actions& actions);
    void close(Error error, Actions& actions);
    std::string own_preamble() const;
    std::size_t tag_size() const { return settings_.keys.empty() ? 0 : fleet::kTagBytes; }
    std::size_t max_frame_bytes() const {
        return stage_ == Stage::Connected ? settings_.max_message_bytes + kFrameOverheadBytes
                                          : kMaxHelloBytes;
    }

    Settings settings_;
    Stage stage_ = Stage::New;
    Peer peer_;
    std::string outgoing_;  // of the call under way
    std::string incoming_;  // of a frame that is not whole
    std::size_t queued_bytes_ = 0;
    std::optional<fleet::Mac> send_mac_,
        receive_mac_;  // keyed for this connection and direction, once both nonces are known
    std::uint64_t frames_sent_ = 0, frames_received_ = 0;  // frames behind the Hello
    std::uint64_t pings_sent_ = 0;
    TimePoint last_received_{}, last_written_{},
        timer_at_{};  // last_written_: bytes last left, or nothing waited
    bool ping_pending_ = false;
};

}  // namespace ochrehub::channel
