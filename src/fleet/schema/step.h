// One step between two versions of an item, including what it keeps. A version pair defines how fields are
// converted
// (`up`, `down`), and how a field is converted that has changed since it was converted from the other version
// (`merge_up`, `merge_down`).
//
// A step down keeps the newer record (`Kept.as`) if the older one alone would not convert back to it,
// together with the older record at that moment (`Kept.was`). A step up then starts from `as` and applies the
// changes since `was`. The opposite direction works the same. What one direction keeps never includes what
// the other one kept, so that repeated conversions don't make records grow.
#pragma once

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>
#include <records.pb.h>

#include <initializer_list>
#include <optional>
#include <string>

#include "fleet/schema/schema.h"

namespace ochrehub::schema {

template <class M>
std::string serialize(const M& message) {
    std::string out;
    message.SerializeToString(&out);
    return out;
}
template <class M>
bool same(const M& a, const M& b) {
    return serialize(a) == serialize(b);
}
/// The numbers of a message's fields as bits: numeric fields, and shifted by 16 the length-delimited ones.
template <class M>
inline constexpr std::uint32_t kFields = 0;
constexpr std::uint32_t fields(std::initializer_list<int> numbers,
                               std::initializer_list<int> length_delimited) {
    std::uint32_t bits = 0;
    for (int field : numbers) bits |= 1u << field;
    for (int field : length_delimited) bits |= 1u << (field + 16);
    return bits;
}
template <>
inline constexpr std::uint32_t kFields<records::wire::Kept> = fields({}, {1, 2});
template <>
inline constexpr std::uint32_t kFields<records::wire::Binding> = fields({1, 3, 4}, {2, 4, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Bound> = fields({}, {1, 2});
template <>
inline constexpr std::uint32_t kFields<records::wire::Sessions1> = fields({}, {1});
template <>
inline constexpr std::uint32_t kFields<records::wire::Place2> = fields({1, 3}, {2, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Work2> = fields({1}, {1});
template <>
inline constexpr std::uint32_t kFields<records::wire::Session3> = fields({1, 3, 4}, {2, 4, 14, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Session4> = fields({3, 4}, {1, 2, 4, 14, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Use> = fields({1, 2, 3, 4, 5, 6}, {15});
template <>
inline constexpr std::uint32_t kFields<records::wire::UseOf> = fields({}, {1, 2});
template <>
inline constexpr std::uint32_t kFields<records::wire::Rates1> = fields({}, {1});
template <>
inline constexpr std::uint32_t kFields<records::wire::Bucket3> = fields({1, 2, 3}, {14, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Rules1> = fields({1}, {2, 3, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Rules2> = fields({1}, {2, 3, 14, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::FenceStep> = fields({1, 2}, {3});
template <>
inline constexpr std::uint32_t kFields<records::wire::Fence1> = fields({1, 2}, {3, 15});
template <>
inline constexpr std::uint32_t kFields<records::wire::Snapshot1> = fields({1, 2}, {3, 15});

/// Whether the bytes have only fields of this message. The parser would accept fields of another version too.
template <class M>
bool has_only_fields_of(const std::string& bytes) {
    static_assert(kFields<M> != 0);
    google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                              int(bytes.size()));
    while (std::uint32_t tag = in.ReadTag()) {
        std::uint32_t field = tag >> 3, type = tag & 7;
        if (field > 15 || (type != 0 && type != 2)) return false;
        const auto fields = kFields<M>;
        if (!(fields >> (type == 2 ? field + 16 : field) & 1)) return false;
        if (!google::protobuf::internal::WireFormatLite::SkipField(&in, tag)) return false;
    }
    return true;
}
template <class M>
bool read(const std::string& from, M& into) {
    return from.size() <= kMaxGroupBytes && into.ParseFromString(from) && has_only_fields_of<M>(from);
}

template <class M>
M without_beyond(M message) {
    message.clear_beyond();
    return message;
}
template <class M>
M without_behind(M message) {
    if constexpr (requires { message.clear_behind(); }) message.clear_behind();
    return message;
}

template <class Pair>
std::optional<Error> down_item(const typename Pair::New& from, typename Pair::Old& into) {
    const typename Pair::New now = without_behind(from);
    into.Clear();
    if (from.behind().empty()) {
        if (auto error = Pair::down(now, into)) return error;
    } else {
        records::wire::Kept kept;
        typename Pair::Old as;
        typename Pair::New was;
        if (!read(from.behind(), kept) || !read(kept.as(), as) || !read(kept.was(), was))
            return Error::Malformed;
        if (same(was, without_beyond(now)))
            into = as;
        else if (auto error = Pair::merge_down(as, was, now, into))
            return error;
    }
    into.clear_beyond();
    typename Pair::New again;
    if (!Pair::up(into, again) && same(again, now)) return {};
    records::wire::Kept kept;
    kept.set_as(serialize(now)), kept.set_was(serialize(into));
    into.set_beyond(serialize(kept));
    return {};
}

template <class Pair>
std::optional<Error> up_item(const typename Pair::Old& from, typename Pair::New& into) {
    const typename Pair::Old now = without_beyond(from);
    into.Clear();
    if (from.beyond().empty()) {
        if (auto error = Pair::up(now, into)) return error;
    } else {
        records::wire::Kept kept;
        typename Pair::New as;
        typename Pair::Old was;
        if (!read(from.beyond(), kept) || !read(kept.as(), as) || !read(kept.was(), was))
            return Error::Malformed;
        if (same(was, now))
            into = as;
        else if (auto error = Pair::merge_up(as, was, now, into))
            return error;
    }
    into.clear_behind();
    typename Pair::Old back;
    if (!down_item<Pair>(into, back) && same(without_beyond(back), now)) return {};
    records::wire::Kept kept;
    kept.set_as(serialize(now)), kept.set_was(serialize(without_beyond(into)));
    into.set_behind(serialize(kept));
    return {};
}

}  // namespace ochrehub::schema
