// One step between two schemas of an item, with what it keeps. A schema pair says how the fields are written
// in the other one
// (`up`, `down`) and what becomes of a field that was changed since it came from there (`merge_up`,
// `merge_down`).
//
// Down keeps the newer record (`Kept.as`) wherever the older one alone would not give it back, beside what
// the older one was at that moment (`was`). Up again takes `as` and, of what differs from `was` by now, the
// change. The other way round the same. What one direction keeps never holds what the other one kept, so that
// going to and fro does not make it grow.
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
std::string octets(const M& message) {
    std::string out;
    message.SerializeToString(&out);
    return out;
}
template <class M>
bool same(const M& a, const M& b) {
    return octets(a) == octets(b);
}
/// The numbers of a message's fields, as bits: of those that are numbers, and 16 further on of those that are
/// octets.
template <class M>
inline constexpr std::uint32_t kFields = 0;
constexpr std::uint32_t fields(std::initializer_list<int> numbers, std::initializer_list<int> octets) {
    std::uint32_t bits = 0;
    for (int field : numbers) bits |= 1u << field;
    for (int field : octets) bits |= 1u << (field + 16);
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

/// Whether these octets hold fields of this message alone: the parser takes others along, which are another
/// schema's.
template <class M>
bool only(const std::string& octets) {
    static_assert(kFields<M> != 0);
    google::protobuf::io::CodedInputStream in(reinterpret_cast<const std::uint8_t*>(octets.data()),
                                              int(octets.size()));
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
    return from.size() <= kMaxGroupBytes && into.ParseFromString(from) && only<M>(from);
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
    kept.set_as(octets(now)), kept.set_was(octets(into));
    into.set_beyond(octets(kept));
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
    kept.set_as(octets(now)), kept.set_was(octets(without_beyond(into)));
    into.set_behind(octets(kept));
    return {};
}

}  // namespace ochrehub::schema
