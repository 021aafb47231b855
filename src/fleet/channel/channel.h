// Ordered messages between two processes of the fleet, as length-prefixed protobuf frames. Each side first
// sends a preamble with the protocol version, the cluster's fingerprint and whether it signs, then a Hello
// that identifies the process. Frames carry a tag if the fleet has keys. `Channel` is one connection as a
// core without I/O: it receives bytes and times, and returns bytes, messages and the close of the connection.
// The queue of unwritten bytes is bounded: a message that exceeds it is rejected, and the sender is notified.
//
// A tag is computed with a key of this connection and direction (derived from both sides' nonces, the
// sender's first) over the frame's sequence number and bytes. A frame that was recorded on another or an
// earlier connection, reflected, omitted or reordered is therefore Forged. Connected follows the first frame
// that the peer has signed over both nonces, so a replayed Hello never leads to Connected.
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

/// The module that a message belongs to.
enum class MessageKind : std::uint16_t { Raft = 1, Request, Response, Shard, Quota, Rules, Migration };

/// A process, as its Hello describes it.
struct Peer {
    std::string name, zone;
    std::uint64_t instance = 0;        ///< random id of the process, chosen at each start; never zero
    std::uint32_t coordinator_id = 0;  ///< zero: the process is no coordinator
    std::uint32_t release = 0, min_schema = 0, max_schema = 0;
    friend bool operator==(const Peer&, const Peer&) = default;
};

inline constexpr std::size_t kNonceBytes = 16;

struct Settings {
    Peer self;
    std::uint32_t cluster = 0;  ///< fleet::fingerprint of the cluster's name
    /// The first key signs and any key verifies. Empty: every process that reaches the port is trusted.
    std::vector<std::string> keys;
    /// kNonceBytes bytes, unique to this connection. May be empty without keys.
    std::string nonce;
    std::size_t max_message_bytes = 1 << 20;  ///< of one message's body
    std::size_t max_queued_bytes = 4 << 20;   ///< not yet written to the socket
    Duration idle_timeout{1000};              ///< silence after which a ping is sent; below `dead_timeout`
    /// Silence after which the connection is closed; also the deadline for the handshake up to Connected.
    Duration dead_timeout{3000};
};

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

// Events

struct Opened {};
struct BytesReceived {
    std::string_view bytes;
};
/// The socket has accepted this many bytes.
struct BytesWritten {
    std::size_t bytes = 0;
};
struct Closed {};
struct TimerFired {};
struct SendMessage {
    MessageKind kind{};
    std::string body;
};
using Event = std::variant<Opened, BytesReceived, BytesWritten, Closed, TimerFired, SendMessage>;

// Actions

struct WriteBytes {
    std::string bytes;
};
/// The handshake is complete: messages can be sent in both directions.
struct Connected {
    Peer peer;
};
struct DeliverMessage {
    MessageKind kind{};
    std::string body;
};
/// A SendMessage that exceeded a limit or came before Connected. It was not sent.
struct SendRejected {
    MessageKind kind{};
    Error error{};
};
/// Always the last action of a connection.
struct CloseConnection {
    Error error{};
};
struct SetTimer {
    TimePoint at;
};
using Action = std::variant<WriteBytes, Connected, DeliverMessage, SendRejected, CloseConnection, SetTimer>;
using Actions = std::vector<Action>;

/// One end of one connection, from its opening to its close. Not thread safe.
///
/// The actions of one call contain at most one WriteBytes, and it comes first: after carrying it out, the
/// caller may call again while it carries out the others. CloseConnection is the last action; later events
/// produce no action, except SendMessage, which produces SendRejected.
///
/// Memory: the caller of WriteBytes holds the unwritten bytes. The channel holds at most one incomplete
/// frame, as many of its bytes as were received (up to kMaxHelloBytes before Connected, then
/// `max_message_bytes` and kFrameOverheadBytes, and the bytes read with them), and twice that while a string
/// grows.
///
/// If this process was paused, so that a timer fires more than `idle_timeout` late, the peer is not
/// considered silent: the channel pings and waits again.
class Channel {
public:
    static constexpr std::size_t kPreambleBytes = 9;     ///< "och", version 1, cluster 4, whether it signs 1
    static constexpr std::size_t kMaxHelloBytes = 1024;  ///< of a frame before Connected
    static constexpr std::size_t kFrameOverheadBytes = 64;  ///< of a frame, in addition to its message body
    static constexpr std::size_t kMaxNameBytes =
        64;  ///< of a name or zone, which are printable ASCII without quotes
    static constexpr std::uint8_t kProtocolVersion = 1;

    explicit Channel(const Settings& settings);

    void handle(TimePoint now, const Event& event, Actions& actions);

    bool connected() const { return stage_ == Stage::Connected; }
    bool closed() const { return stage_ == Stage::Closed; }
    const Peer& peer() const { return peer_; }                  ///< valid after Connected
    std::size_t queued_bytes() const { return queued_bytes_; }  ///< not yet written to the socket
    /// Received bytes of an incomplete frame.
    std::size_t buffered_bytes() const { return incoming_.size(); }

private:
    enum class Stage : std::uint8_t { New, Preamble, Hello, Ready, Connected, Closed };
    struct Wire;  // the functions that use protobuf types

    void open(TimePoint now);
    void receive(TimePoint now, std::string_view bytes, Actions& actions);
    /// Returns the number of bytes it has processed, fewer than all only if a frame is incomplete. Closes the
    /// connection if they are invalid.
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
    std::string outgoing_;  // bytes to write, of the current call
    std::string incoming_;  // of an incomplete frame
    std::size_t queued_bytes_ = 0;
    // Both have a key of this connection and direction. Set once both nonces are known, if there are keys.
    std::optional<fleet::Mac> send_mac_;
    std::optional<fleet::Mac> receive_mac_;
    std::uint64_t frames_sent_ = 0;  // after the Hello
    std::uint64_t frames_received_ = 0;
    std::uint64_t pings_sent_ = 0;
    TimePoint last_received_{};
    TimePoint last_written_{};  // when bytes were last written, or the queue was last empty
    TimePoint timer_at_{};
    bool ping_pending_ = false;
};

}  // namespace ochrehub::channel
