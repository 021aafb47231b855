#include "fleet/channel/channel.h"

#include <channel.pb.h>

#include <algorithm>
#include <array>
#include <utility>

#include "fleet/error/rows.h"

namespace ochrehub::channel {
namespace {

constexpr std::size_t kLength = 4;  // octets, big-endian, of all that follows of a frame: protobuf and tag
constexpr std::string_view kHelloLabel = "ochrehub channel hello", kFramesLabel = "ochrehub channel frames";

void put_number(std::uint32_t value, std::string& out) {
    for (int shift = 24; shift >= 0; shift -= 8) out += char(value >> shift & 0xff);
}
std::uint32_t number_at(std::string_view octets) {
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < kLength; ++i) value = value << 8 | std::uint8_t(octets[i]);
    return value;
}

/// Names reach logs and terminals.
bool sound(std::string_view name) {
    return name.size() <= Channel::kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
               return c > ' ' && c < 127 && c != '"' && c != '\\';
           });
}

constexpr std::array<fleet::ErrorRow, fleet::kErrorsOf<Error>> kRows{{
    {"channel.closed", "the connection was closed, or is not up yet", true,
     "nothing where it comes back; else see whether the other process runs"},
    {"channel.silent", "nothing came, or nothing left, for as long as a connection is believed", true,
     "see whether the other process stands still and whether the network drops what is sent one way"},
    {"channel.too-long", "a frame or message is longer than is allowed", false,
     "see which release speaks at the other end, and whether it is one of this fleet's processes"},
    {"channel.malformed", "what came is no frame of this protocol, or none that may come then", false,
     "see what connects to this address: it is no process of this fleet, or a faulty one"},
    {"channel.version", "the other side speaks another version of this protocol", false,
     "run releases side by side that are neighbours; update the older process"},
    {"channel.cluster", "the other side belongs to another cluster", false,
     "correct the address, or the cluster's name in the settings of one of the two"},
    {"channel.forged", "a frame bears no tag by a key of this fleet, or one that was made for another place",
     false,
     "give both sides a key in common, the new one behind the old one first; with equal keys somebody "
     "meddles"},
    {"channel.full", "as much waits to be sent or is connected as is allowed", true,
     "nothing where it passes; else see why the other process reads slowly, or who connects so often"},
    {"channel.replaced",
     "another connection to the same process is used instead, or it leads to this process itself", true,
     "nothing; an address of the process's own can be taken from its list"},
    {"channel.unreachable", "no connection came about in time", true,
     "see whether the other process runs, whether its address is right and whether the network lets it "
     "through"},
}};

}  // namespace

const fleet::ErrorRow& row(Error error) {
    return kRows[std::size_t(error)];
}

/// The part that knows protobuf.
struct Channel::Wire {
    Channel& channel;
    Actions& actions;

    /// A frame with its length and tag into what is put. `mac`: keyed already; none: no tag.
    void seal(const wire::Frame& frame, fleet::Mac* mac, std::uint64_t number) const {
        std::string& out = channel.put_;
        std::size_t size = frame.ByteSizeLong(), before = out.size();
        put_number(std::uint32_t(size + (mac ? fleet::kTagBytes : 0)), out);
        out.resize(out.size() + size);
        frame.SerializeWithCachedSizesToArray(reinterpret_cast<std::uint8_t*>(out.data() + before + kLength));
        if (mac) {
            fleet::Tag tag = mac->update(number).update(std::string_view(out).substr(before + kLength)).tag();
            out.append(reinterpret_cast<const char*>(tag.data()), tag.size());
        }
        channel.queued_ += out.size() - before;
    }
    void send(const wire::Frame& frame) const {
        seal(frame, channel.signs_ ? &*channel.signs_ : nullptr, ++channel.sent_);
    }
    fleet::Mac hello_mac(const std::string& key) const {
        fleet::Mac mac(key);
        mac.update(kHelloLabel).update(channel.own_preamble());
        return mac;
    }
    void hello() const {
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
        if (set.keys.empty()) return seal(frame, nullptr, 0);
        fleet::Mac mac = hello_mac(set.keys.front());
        seal(frame, &mac, 0);
    }

    /// What was signed, of one whole frame; nothing where its tag is wrong. Of a Hello: also by which key.
    std::optional<std::string_view> open(std::string_view octets, const std::string*& key) const {
        const std::vector<std::string>& keys = channel.settings_.keys;
        if (keys.empty()) return octets;
        if (octets.size() < fleet::kTagBytes) return std::nullopt;
        std::string_view body = octets.substr(0, octets.size() - fleet::kTagBytes),
                         tag = octets.substr(body.size());
        if (channel.opens_) {
            if (!fleet::tags_equal(channel.opens_->update(channel.taken_ + 1).update(body).tag(), tag))
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

    void take(std::string_view octets) const {
        const std::string* key = nullptr;
        auto body = open(octets, key);
        if (!body) return channel.end(Error::Forged, actions);
        wire::Frame frame;
        if (!frame.ParseFromArray(body->data(), int(body->size())))
            return channel.end(Error::Malformed, actions);
        if (channel.stage_ == Stage::Hello) return take_hello(frame, key);
        ++channel.taken_;
        if (channel.stage_ == Stage::Ready) {
            if (!frame.has_ready()) return channel.end(Error::Malformed, actions);
            channel.stage_ = Stage::Connected;
            actions.emplace_back(Connected{channel.peer_});
            return;
        }
        if (frame.has_message()) {
            wire::Message& message = *frame.mutable_message();
            // Which kinds a peer knows goes by its release: one that sends others is faulty.
            bool known = message.kind() >= std::uint32_t(MessageKind::Raft) &&
                         message.kind() <= std::uint32_t(MessageKind::Migration);
            if (!known) return channel.end(Error::Malformed, actions);
            if (message.body().size() > channel.settings_.max_message_bytes)
                return channel.end(Error::TooLong, actions);
            actions.emplace_back(
                DeliverMessage{MessageKind(message.kind()), std::move(*message.mutable_body())});
        } else if (frame.has_ping()) {
            wire::Frame answer;
            answer.mutable_pong()->set_number(frame.ping().number());
            // Where much waits to be written, that will show this one's life; and whoever asks and never
            // reads gets no more room.
            if (channel.queued_ + answer.ByteSizeLong() + kLength + channel.tag_size() <=
                channel.settings_.max_queued_bytes)
                send(answer);
        } else if (!frame.has_pong()) {
            channel.end(Error::Malformed, actions);
        }
    }

    void take_hello(const wire::Frame& frame, const std::string* key) const {
        const Settings& set = channel.settings_;
        const wire::Hello& hello = frame.hello();
        bool has_nonce = hello.nonce().size() == kNonceBytes || (!key && hello.nonce().empty());
        if (!frame.has_hello() || !has_nonce || !sound(hello.name()) || !sound(hello.zone()) ||
            hello.instance() == 0)
            return channel.end(Error::Malformed, actions);
        if (key && hello.nonce() == set.nonce)
            return channel.end(Error::Forged, actions);  // its own, turned around
        if (hello.instance() == set.self.instance) return channel.end(Error::Replaced, actions);
        channel.peer_ = {hello.name(),    hello.zone(),         hello.instance(),   hello.keeper(),
                         hello.release(), hello.schema_least(), hello.schema_most()};
        if (key) {
            // The sender's nonce first: the two directions have nothing in common.
            auto keyed = [&](const std::string& by, const std::string& sender, const std::string& receiver) {
                fleet::Mac mac(by);
                mac.update(kFramesLabel).update(channel.own_preamble()).update(sender).update(receiver);
                return fleet::Mac(mac.digest());
            };
            channel.opens_ = keyed(*key, hello.nonce(), set.nonce);
            channel.signs_ = keyed(set.keys.front(), set.nonce, hello.nonce());
        }
        channel.stage_ = Stage::Ready;
        wire::Frame ready;
        ready.mutable_ready();
        send(ready);
    }
};

Channel::Channel(const Settings& settings) : settings_(settings) {}

std::string Channel::own_preamble() const {
    std::string octets = "och";
    octets += char(kProtocolVersion);
    put_number(settings_.cluster, octets);
    octets += char(settings_.keys.empty() ? 0 : 1);
    return octets;
}

void Channel::handle(TimePoint now, const Event& event, Actions& actions) {
    if (const auto* what = std::get_if<SendMessage>(&event); what && !connected()) {
        actions.emplace_back(SendRejected{what->kind, Error::Closed});
        return;
    }
    if (stage_ == Stage::Over || (stage_ == Stage::New) != std::holds_alternative<Opened>(event)) return;
    std::size_t first = actions.size(), before = queued_;
    if (std::holds_alternative<Opened>(event)) {
        open(now);
        actions.emplace_back(SetTimer{wake_});
    } else if (const auto* octets = std::get_if<BytesReceived>(&event)) {
        take(now, octets->bytes, actions);
    } else if (const auto* flushed = std::get_if<BytesWritten>(&event)) {
        queued_ -= std::min(queued_, flushed->bytes);
        if (flushed->bytes > 0) left_ = now;
    } else if (std::holds_alternative<Closed>(event)) {
        end(Error::Closed, actions);
    } else if (std::holds_alternative<TimerFired>(event)) {
        woken(now, actions);
    } else {
        say(std::get<SendMessage>(event), actions);
    }
    if (put_.empty()) return;
    if (before == 0) left_ = now;
    actions.insert(actions.begin() + std::ptrdiff_t(first), WriteBytes{std::exchange(put_, {})});
}

void Channel::open(TimePoint now) {
    stage_ = Stage::Preamble;
    heard_ = left_ = now;
    wake_ = now + settings_.dead_timeout;
    put_ = own_preamble();
    queued_ = put_.size();
    Actions none;
    Wire{*this, none}.hello();
}

void Channel::take(TimePoint now, std::string_view octets, Actions& actions) {
    if (octets.empty()) return;
    bool was_up = connected();
    if (in_.empty()) {
        std::size_t done = consume(octets, actions);
        if (stage_ != Stage::Over) in_ = octets.substr(done);
    } else {
        in_ += octets;
        std::size_t done = consume(in_, actions);
        in_.erase(0, done);
        if (in_.empty() && in_.capacity() > kMaxHelloBytes)
            in_ = {};  // a long message now and then is not held for ever
    }
    if (stage_ == Stage::Over) in_ = {};
    // Before Connected nobody has shown who they are: what they send gives them no more time.
    if (!connected()) return;
    heard_ = now, asked_ = false;
    if (!was_up) actions.emplace_back(SetTimer{wake_ = now + settings_.idle_timeout});
}

std::size_t Channel::consume(std::string_view octets, Actions& actions) {
    std::size_t at = 0;
    while (stage_ != Stage::Over) {
        std::string_view rest = octets.substr(at);
        if (stage_ == Stage::Preamble) {
            if (rest.size() < kPreambleBytes) break;
            preamble(rest.substr(0, kPreambleBytes), actions);
            at += kPreambleBytes;
            continue;
        }
        if (rest.size() < kLength) break;
        std::size_t size = number_at(rest);
        if (size > most()) {  // seen before any of it is waited for
            end(Error::TooLong, actions);
            break;
        }
        if (rest.size() < kLength + size) break;
        Wire{*this, actions}.take(rest.substr(kLength, size));
        at += kLength + size;
    }
    return at;
}

void Channel::preamble(std::string_view octets, Actions& actions) {
    std::string own = own_preamble();
    if (octets.substr(0, 3) != own.substr(0, 3)) return end(Error::Malformed, actions);
    if (octets[3] != own[3]) return end(Error::Version, actions);
    if (octets.substr(4, 4) != own.substr(4, 4)) return end(Error::Cluster, actions);
    if (octets[8] != own[8]) return end(Error::Forged, actions);
    stage_ = Stage::Hello;
}

void Channel::say(const SendMessage& say, Actions& actions) {
    if (say.body.size() > settings_.max_message_bytes) {
        actions.emplace_back(SendRejected{say.kind, Error::TooLong});
        return;
    }
    if (queued_ + say.body.size() + kFrameOverheadBytes > settings_.max_queued_bytes) {
        actions.emplace_back(SendRejected{say.kind, Error::Full});
        return;
    }
    wire::Frame frame;
    frame.mutable_message()->set_kind(std::uint32_t(say.kind));
    frame.mutable_message()->set_body(say.body);
    Wire{*this, actions}.send(frame);
}

void Channel::woken(TimePoint now, Actions& actions) {
    if (now < wake_) {
        actions.emplace_back(SetTimer{wake_});
        return;
    }
    // This process stood still itself: what came meanwhile has not been read yet, and says nothing against
    // the peer.
    bool stood = now - wake_ > settings_.idle_timeout;
    if (stage_ != Stage::Connected) {
        if (!stood) return end(Error::Silent, actions);
        wake_ = now + settings_.dead_timeout;
        actions.emplace_back(SetTimer{wake_});
        return;
    }
    if (stood) {
        heard_ = std::max(heard_, now - settings_.idle_timeout);
        left_ = now, asked_ = false;
    }
    if (now - heard_ >= settings_.dead_timeout || (queued_ > 0 && now - left_ >= settings_.dead_timeout))
        return end(Error::Silent, actions);
    if (!asked_ && now - heard_ >= settings_.idle_timeout) {
        asked_ = true;
        wire::Frame ping;
        ping.mutable_ping()->set_number(++pings_);
        if (queued_ + kFrameOverheadBytes <= settings_.max_queued_bytes) Wire{*this, actions}.send(ping);
    }
    wake_ = asked_ ? heard_ + settings_.dead_timeout : heard_ + settings_.idle_timeout;
    if (queued_ > 0)
        wake_ = std::min(wake_, std::max(left_ + settings_.dead_timeout, now + settings_.idle_timeout));
    actions.emplace_back(SetTimer{wake_});
}

void Channel::end(Error error, Actions& actions) {
    if (stage_ == Stage::Over) return;
    stage_ = Stage::Over;
    actions.emplace_back(CloseConnection{error});
}

}  // namespace ochrehub::channel
