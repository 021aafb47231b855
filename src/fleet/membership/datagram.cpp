#include "fleet/membership/datagram.h"

#include <algorithm>
#include <array>

namespace ochrehub::membership {
namespace {

constexpr std::uint8_t kVersion = 2;

bool printable(char c) {
    return c > ' ' && c < 127 && c != '"' && c != '\\';
}

class Writer {
public:
    explicit Writer(std::string& out) : out_(out) {}
    template <class Number>
    void put(Number value) {
        for (int shift = int(sizeof value) * 8 - 8; shift >= 0; shift -= 8)
            out_ += char(value >> shift & 0xff);
    }
    void put(const MemberAddress& address) {
        put(address.host);
        put(address.port);
    }
    void put(const Update& update) {
        put(update.address);
        put(update.incarnation);
        put(std::uint8_t(std::uint8_t(update.state) << 6 | std::uint8_t(update.role) << 4 |
                         update.self_report));
        put(update.zone);
        put(update.plan_version);
    }

    template <class Text>
    void put_text(const Text& text) {
        put(std::uint8_t(text.size()));
        out_.append(text.data(), text.size());
    }

private:
    std::string& out_;
};

class Reader {
public:
    explicit Reader(std::string_view bytes) : bytes_(bytes) {}
    template <class Number>
    Number take() {
        Number value = 0;
        for (std::size_t i = 0; i < sizeof value; ++i)
            value = Number(value << 8 | std::uint8_t(bytes_[at_++]));
        return value;
    }
    MemberAddress take_address() {
        MemberAddress address;
        address.host = take<std::uint32_t>();
        address.port = take<std::uint16_t>();
        return address;
    }
    /// False: an unknown role or self-report, or the address of no member.
    bool take(Update& update) {
        update.address = take_address();
        update.incarnation = take<std::uint32_t>();
        auto bits = take<std::uint8_t>();
        update.state = MemberState(bits >> 6);
        update.role = Role(bits >> 4 & 3);
        update.self_report = bits & 15;
        update.zone = take<std::uint8_t>();
        update.plan_version = take<std::uint8_t>();
        return update.address.known() && update.role <= Role::Planner && update.self_report <= kReportsAll;
    }
    /// False: too long, truncated, or not printable: names reach logs and terminals.
    template <class Text>
    bool take_text(Text& text) {
        if (left() < 1) return false;
        auto size = take<std::uint8_t>();
        if (size > text.capacity() || left() < size) return false;
        text.assign(bytes_.begin() + std::ptrdiff_t(at_), bytes_.begin() + std::ptrdiff_t(at_ + size));
        at_ += size;
        return std::all_of(text.begin(), text.end(), printable);
    }
    std::size_t left() const { return bytes_.size() - at_; }

private:
    std::string_view bytes_;
    std::size_t at_ = 0;
};

}  // namespace

std::string encode(const Datagram& datagram, const Keys& keys, std::uint32_t cluster) {
    std::string out;
    out.reserve(kMaxDatagramBytes);
    Writer writer(out);
    writer.put(kVersion);
    writer.put(std::uint8_t(datagram.kind));
    writer.put(cluster);
    writer.put(datagram.sequence);
    writer.put(datagram.from);
    writer.put(datagram.instance);
    writer.put(datagram.plan.epoch);
    writer.put(datagram.plan.number);
    writer.put(datagram.about);
    writer.put_text(datagram.name);
    writer.put_text(datagram.zone);
    writer.put(std::uint8_t(datagram.updates.size()));
    for (const Update& update : datagram.updates) {
        writer.put(update);
        writer.put(update.accuser);
    }
    keys.sign(out);
    return out;
}

std::string_view name(DecodeError fault) {
    constexpr std::array<std::string_view, kDecodeErrors> kNames{"none",    "short",     "long",   "forged",
                                                                 "version", "malformed", "cluster"};
    return kNames[std::size_t(fault)];
}

DecodeError decode(std::string_view bytes, const Keys& keys, Datagram& out, std::uint32_t cluster) {
    if (bytes.size() > kMaxDatagramBytes) return DecodeError::TooLong;
    auto opened = keys.verify(bytes);
    if (!opened) return DecodeError::AuthenticationFailed;
    if (opened->empty()) return DecodeError::TooShort;
    Reader reader(*opened);
    if (reader.take<std::uint8_t>() != kVersion) return DecodeError::UnsupportedVersion;
    if (opened->size() < kHeaderBytes) return DecodeError::TooShort;
    auto kind = reader.take<std::uint8_t>();
    if (kind >= kDatagramKinds) return DecodeError::Malformed;
    if (reader.take<std::uint32_t>() != cluster) return DecodeError::WrongCluster;
    out.kind = DatagramKind(kind);
    out.sequence = reader.take<std::uint32_t>();
    if (!reader.take(out.from)) return DecodeError::Malformed;
    if (out.from.state != MemberState::Alive && out.from.state != MemberState::Left)
        return DecodeError::Malformed;
    out.instance = reader.take<std::uint32_t>();
    out.plan.epoch = reader.take<std::uint32_t>();
    out.plan.number = reader.take<std::uint32_t>();
    out.about = reader.take_address();
    if (!reader.take_text(out.name) || !reader.take_text(out.zone) || reader.left() < 1)
        return DecodeError::Malformed;
    auto count = reader.take<std::uint8_t>();
    if (count > kMaxUpdates || reader.left() != count * kUpdateBytes) return DecodeError::Malformed;
    out.updates.clear();
    for (int i = 0; i < count; ++i) {
        Update update;
        if (!reader.take(update)) return DecodeError::Malformed;
        update.accuser = reader.take<std::uint16_t>();
        out.updates.push_back(update);
    }
    return DecodeError::None;
}

}  // namespace ochrehub::membership
