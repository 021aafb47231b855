#include "fleet/channel/channel.h"

#include <channel.pb.h>

#include <algorithm>
#include <array>
#include <utility>

#include "fleet/error/rows.h"

namespace ochrehub::channel {
namespace {

/// Length of the rest of a frame (protobuf and tag), big-endian.
constexpr std::size_t kLengthBytes = 4;
/// Separate the tags of Hellos from the keys of connections.
constexpr std::string_view kHelloLabel = "ochrehub channel hello";
constexpr std::string_view kFramesLabel = "ochrehub channel frames";

void append_uint32(std::uint32_t value, std::string& out) {
    for (int shift = 24; shift >= 0; shift -= 8) out += char(value >> shift & 0xff);
}
std::uint32_t read_uint32(std::string_view bytes) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < kLengthBytes; ++i) value = value << 8 | std::uint8_t(bytes[i]);
    return value;
}

/// Names are printed to logs and terminals, so only printable characters are allowed.
bool is_valid_name(std::string_view name) {
    return name.size() <= Channel::kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
               return c > ' ' && c < 127 && c != '"' && c != '\\';
           });
}

constexpr std::array<fleet::ErrorRow, fleet::kErrorsOf<Error>> kRows{{
    {"channel.closed", "the connection is closed, or its handshake is not complete yet", true,
     "nothing if it reconnects; otherwise check whether the other process runs"},
    {"channel.silent", "nothing was received, or nothing could be written, within the timeout", true,
     "check whether the other process hangs and whether the network drops packets in one direction"},
    {"channel.too-long", "a frame or message exceeds the size limit", false,
     "check the release of the process at the other end, and whether it belongs to this fleet"},
    {"channel.malformed", "received bytes that are no valid frame of this protocol, or a frame out of order",
     false, "check what connects to this address: a faulty process, or one that isn't part of this fleet"},
    {"channel.version", "the peer uses another version of this protocol", false,
     "run only adjacent releases together; update the older process"},
    {"channel.cluster", "the peer belongs to another cluster", false,
     "correct the address, or the cluster's name in the settings of one of the two"},
    {"channel.forged",
     "a frame has no valid tag of a key of this fleet, or a tag of another connection or position", false,
     "give both processes a common key; to rotate a key, first add the new one after the old one. If the "
     "keys "
     "are equal, someone tampers with the connection"},
    {"channel.full", "the limit of queued bytes or of connections is reached", true,
     "nothing if it is temporary; otherwise check why the other process reads slowly, or what opens so many "
     "connections"},
    {"channel.replaced",
     "another connection to the same process is used instead, or the address leads to this process itself",
     true, "nothing; a process's own address can be removed from its list"},
    {"channel.unreachable", "no connection was established in time", true,
     "check whether the other process runs, whether its address is right and whether the network allows the "
     "connection"},
}};

}  // namespace

const fleet::ErrorRow& row(Error error) {
    return kRows[std::size_t(error)];
}

/// The functions that use protobuf types.
struct Channel::Wire {
    Channel& channel;
    Actions& actions;

    /// Appends a frame with its length and tag to the outgoing bytes. `mac` must have its key; null: no tag.
    void append_frame(const wire::Frame& frame, fleet::Mac* mac, std::uint64_t number) const {
        std::string& out = channel.outgoing_;
        std::size_t size = frame.ByteSizeLong(), before = out.size();
        append_uint32(std::uint32_t(size + (mac ? fleet::kTagBytes : 0)), out);
        out.resize(out.size() + size);
        frame.SerializeWithCachedSizesToArray(
            reinterpret_cast<std::uint8_t*>(out.data() + before + kLengthBytes));
        if (mac) {
            fleet::Tag tag =
                mac->update(number).update(std::string_view(out).substr(before + kLengthBytes)).tag();
            out.append(reinterpret_cast<const char*>(tag.data()), tag.size());
        }
        channel.queued_bytes_ += out.size() - before;
    }
    void send(const wire::Frame& frame) const {
        append_frame(frame, channel.send_mac_ ? &*channel.send_mac_ : nullptr, ++channel.frames_sent_);
    }
    fleet::Mac hello_mac(const std::string& key) const {
        fleet::Mac mac(key);
        mac.update(kHelloLabel).update(channel.own_preamble());
        return mac;
    }
    void send_hello() const {
        const Settings& set = channel.settings_;
        wire::Frame frame;
        wire::Hello& hello = *frame.mutable_hello();
        hello.set_name(set.self.name);
        hello.set_zone(set.self.zone);
        hello.set_instance(set.self.instance);
        hello.set_keeper(set.self.coordinator_id);
        hello.set_release(set.self.release);
        hello.set_schema_least(set.self.min_schema);
        hello.set_schema_most(set.self.max_schema);
        hello.set_nonce(set.nonce);
        if (set.keys.empty()) return append_frame(frame, nullptr, 0);
        fleet::Mac mac = hello_mac(set.keys.front());
        append_frame(frame, &mac, 0);
    }

    /// Verifies one whole frame and returns its signed part, or nullopt if its tag is invalid. Sets `key` to
    /// the key that matched a Hello.
    std::optional<std::string_view> open(std::string_view bytes, const std::string*& key) const {
        const std::vector<std::string>& keys = channel.settings_.keys;
        if (keys.empty()) return bytes;
        if (bytes.size() < fleet::kTagBytes) return std::nullopt;
        std::string_view body = bytes.substr(0, bytes.size() - fleet::kTagBytes),
                         tag = bytes.substr(body.size());
        if (channel.receive_mac_) {
            if (!fleet::tags_equal(
                    channel.receive_mac_->update(channel.frames_received_ + 1).update(body).tag(), tag))
                return std::nullopt;
            return body;
        }
        for (const std::string& one : keys)
            if (fleet::tags_equal(hello_mac(one).update(std::uint64_t{0}).update(body).tag(), tag)) {
                key = &one;
                return body;
            }
        return std::nullopt;
    }

    void receive(std::string_view bytes) const {
        const std::string* key = nullptr;
        auto body = open(bytes, key);
        if (!body) return channel.close(Error::Forged, actions);
        wire::Frame frame;
        if (!frame.ParseFromArray(body->data(), int(body->size())))
            return channel.close(Error::Malformed, actions);
        if (channel.stage_ == Stage::Hello) return receive_hello(frame, key);
        ++channel.frames_received_;
        if (channel.stage_ == Stage::Ready) {
            if (!frame.has_ready()) return channel.close(Error::Malformed, actions);
            channel.stage_ = Stage::Connected;
            actions.emplace_back(Connected{channel.peer_});
            return;
        }
        if (frame.has_message()) {
            wire::Message& message = *frame.mutable_message();
            // The release determines which kinds a peer may send, so any other kind is a fault of the peer.
            bool known = message.kind() >= std::uint32_t(MessageKind::Raft) &&
                         message.kind() <= std::uint32_t(MessageKind::Migration);
            if (!known) return channel.close(Error::Malformed, actions);
            if (message.body().size() > channel.settings_.max_message_bytes)
                return channel.close(Error::TooLong, actions);
            actions.emplace_back(
                DeliverMessage{MessageKind(message.kind()), std::move(*message.mutable_body())});
        } else if (frame.has_ping()) {
            wire::Frame response;
            response.mutable_pong()->set_number(frame.ping().number());
            // With a full queue the pong is omitted: the queued bytes show that this process is alive, and a
            // peer that pings but never reads must not make the queue grow.
            if (channel.queued_bytes_ + response.ByteSizeLong() + kLengthBytes + channel.tag_size() <=
                channel.settings_.max_queued_bytes)
                send(response);
        } else if (!frame.has_pong()) {
            channel.close(Error::Malformed, actions);
        }
    }

    void receive_hello(const wire::Frame& frame, const std::string* key) const {
        const Settings& set = channel.settings_;
        const wire::Hello& hello = frame.hello();
        bool has_nonce = hello.nonce().size() == kNonceBytes || (!key && hello.nonce().empty());
        if (!frame.has_hello() || !has_nonce || !is_valid_name(hello.name()) ||
            !is_valid_name(hello.zone()) || hello.instance() == 0)
            return channel.close(Error::Malformed, actions);
        if (key && hello.nonce() == set.nonce)
            return channel.close(Error::Forged, actions);  // its own Hello, reflected
        if (hello.instance() == set.self.instance) return channel.close(Error::Replaced, actions);
        channel.peer_ = {hello.name(),    hello.zone(),         hello.instance(),   hello.keeper(),
                         hello.release(), hello.schema_least(), hello.schema_most()};
        if (key) {
            // The sender's nonce comes first, so the two directions have different keys.
            auto connection_mac = [&](const std::string& by, const std::string& sender,
                                      const std::string& receiver) {
                fleet::Mac mac(by);
                mac.update(kFramesLabel).update(channel.own_preamble()).update(sender).update(receiver);
                return fleet::Mac(mac.digest());
            };
            channel.receive_mac_ = connection_mac(*key, hello.nonce(), set.nonce);
            channel.send_mac_ = connection_mac(set.keys.front(), set.nonce, hello.nonce());
        }
        channel.stage_ = Stage::Ready;
        wire::Frame ready;
        ready.mutable_ready();
        send(ready);
    }
};

Channel::Channel(const Settings& settings) : settings_(settings) {}

std::string Channel::own_preamble() const {
    std::string bytes = "och";
    bytes += char(kProtocolVersion);
    append_uint32(settings_.cluster, bytes);
    bytes += char(settings_.keys.empty() ? 0 : 1);
    return bytes;
}

void Channel::handle(TimePoint now, const Event& event, Actions& actions) {
    if (const auto* message = std::get_if<SendMessage>(&event); message && !connected()) {
        actions.emplace_back(SendRejected{message->kind, Error::Closed});
        return;
    }
    if (stage_ == Stage::Closed || (stage_ == Stage::New) != std::holds_alternative<Opened>(event)) return;
    std::size_t first = actions.size(), before = queued_bytes_;
    if (std::holds_alternative<Opened>(event)) {
        open(now);
        actions.emplace_back(SetTimer{timer_at_});
    } else if (const auto* received = std::get_if<BytesReceived>(&event)) {
        receive(now, received->bytes, actions);
    } else if (const auto* written = std::get_if<BytesWritten>(&event)) {
        queued_bytes_ -= std::min(queued_bytes_, written->bytes);
        if (written->bytes > 0) last_written_ = now;
    } else if (std::holds_alternative<Closed>(event)) {
        close(Error::Closed, actions);
    } else if (std::holds_alternative<TimerFired>(event)) {
        handle_timer(now, actions);
    } else {
        send_message(std::get<SendMessage>(event), actions);
    }
    if (outgoing_.empty()) return;
    if (before == 0) last_written_ = now;
    actions.insert(actions.begin() + std::ptrdiff_t(first), WriteBytes{std::exchange(outgoing_, {})});
}

void Channel::open(TimePoint now) {
    stage_ = Stage::Preamble;
    last_received_ = last_written_ = now;
    timer_at_ = now + settings_.dead_timeout;
    outgoing_ = own_preamble();
    queued_bytes_ = outgoing_.size();
    Actions none;
    Wire{*this, none}.send_hello();
}

void Channel::receive(TimePoint now, std::string_view bytes, Actions& actions) {
    if (bytes.empty()) return;
    bool was_up = connected();
    if (incoming_.empty()) {
        std::size_t done = consume(bytes, actions);
        if (stage_ != Stage::Closed) incoming_ = bytes.substr(done);
    } else {
        incoming_ += bytes;
        std::size_t done = consume(incoming_, actions);
        incoming_.erase(0, done);
        if (incoming_.empty() && incoming_.capacity() > kMaxHelloBytes)
            incoming_ = {};  // frees the capacity that a long message needed
    }
    if (stage_ == Stage::Closed) incoming_ = {};
    // Before Connected the peer is unauthenticated, so its bytes don't extend the handshake deadline.
    if (!connected()) return;
    last_received_ = now, ping_pending_ = false;
    if (!was_up) actions.emplace_back(SetTimer{timer_at_ = now + settings_.idle_timeout});
}

std::size_t Channel::consume(std::string_view bytes, Actions& actions) {
    std::size_t at = 0;
    while (stage_ != Stage::Closed) {
        std::string_view rest = bytes.substr(at);
        if (stage_ == Stage::Preamble) {
            if (rest.size() < kPreambleBytes) break;
            check_preamble(rest.substr(0, kPreambleBytes), actions);
            at += kPreambleBytes;
            continue;
        }
        if (rest.size() < kLengthBytes) break;
        std::size_t size = read_uint32(rest);
        if (size > max_frame_bytes()) {  // before any of it is buffered
            close(Error::TooLong, actions);
            break;
        }
        if (rest.size() < kLengthBytes + size) break;
        Wire{*this, actions}.receive(rest.substr(kLengthBytes, size));
        at += kLengthBytes + size;
    }
    return at;
}

void Channel::check_preamble(std::string_view bytes, Actions& actions) {
    std::string own = own_preamble();
    if (bytes.substr(0, 3) != own.substr(0, 3)) return close(Error::Malformed, actions);
    if (bytes[3] != own[3]) return close(Error::Version, actions);
    if (bytes.substr(4, 4) != own.substr(4, 4)) return close(Error::Cluster, actions);
    if (bytes[8] != own[8]) return close(Error::Forged, actions);
    stage_ = Stage::Hello;
}

void Channel::send_message(const SendMessage& request, Actions& actions) {
    if (request.body.size() > settings_.max_message_bytes) {
        actions.emplace_back(SendRejected{request.kind, Error::TooLong});
        return;
    }
    if (queued_bytes_ + request.body.size() + kFrameOverheadBytes > settings_.max_queued_bytes) {
        actions.emplace_back(SendRejected{request.kind, Error::Full});
        return;
    }
    wire::Frame frame;
    frame.mutable_message()->set_kind(std::uint32_t(request.kind));
    frame.mutable_message()->set_body(request.body);
    Wire{*this, actions}.send(frame);
}

void Channel::handle_timer(TimePoint now, Actions& actions) {
    if (now < timer_at_) {
        actions.emplace_back(SetTimer{timer_at_});
        return;
    }
    // This process was paused: bytes that arrived meanwhile have not been read yet, so the peer isn't silent.
    bool was_paused = now - timer_at_ > settings_.idle_timeout;
    if (stage_ != Stage::Connected) {
        if (!was_paused) return close(Error::Silent, actions);
        timer_at_ = now + settings_.dead_timeout;
        actions.emplace_back(SetTimer{timer_at_});
        return;
    }
    if (was_paused) {
        last_received_ = std::max(last_received_, now - settings_.idle_timeout);
        last_written_ = now, ping_pending_ = false;
    }
    if (now - last_received_ >= settings_.dead_timeout ||
        (queued_bytes_ > 0 && now - last_written_ >= settings_.dead_timeout))
        return close(Error::Silent, actions);
    if (!ping_pending_ && now - last_received_ >= settings_.idle_timeout) {
        ping_pending_ = true;
        wire::Frame ping;
        ping.mutable_ping()->set_number(++pings_sent_);
        if (queued_bytes_ + kFrameOverheadBytes <= settings_.max_queued_bytes)
            Wire{*this, actions}.send(ping);
    }
    timer_at_ =
        ping_pending_ ? last_received_ + settings_.dead_timeout : last_received_ + settings_.idle_timeout;
    if (queued_bytes_ > 0)
        timer_at_ = std::min(timer_at_,
                             std::max(last_written_ + settings_.dead_timeout, now + settings_.idle_timeout));
    actions.emplace_back(SetTimer{timer_at_});
}

void Channel::close(Error error, Actions& actions) {
    if (stage_ == Stage::Closed) return;
    stage_ = Stage::Closed;
    actions.emplace_back(CloseConnection{error});
}

}  // namespace ochrehub::channel
