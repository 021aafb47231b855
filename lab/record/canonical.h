// Canonical form of events and actions: the values of their fields in order, without any name. Two builds
// that call a type or a field differently give the same form; two builds that decide differently do not.
//
// Structure below a variant is flattened: wrapping a field in a struct of its own leaves the form as it is.
#pragma once

#include <google/protobuf/message_lite.h>

#include <bit>
#include <boost/pfr.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <ranges>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace ochrehub::lab::canonical {

/// Receives the form as a hash (FNV-1a, 64 bits).
class Hash {
public:
    void number(std::uint64_t value) {
        for (int shift = 0; shift < 64; shift += 8) byte(std::uint8_t(value >> shift));
    }
    void real(double value) { number(std::bit_cast<std::uint64_t>(value)); }
    void text(std::string_view value) {
        number(value.size());
        for (char c : value) byte(std::uint8_t(c));
    }
    std::uint64_t value() const { return value_; }

private:
    void byte(std::uint8_t value) { value_ = (value_ ^ value) * 0x100000001b3; }

    std::uint64_t value_ = 0xcbf29ce484222325;  ///< the hash of all that was received
};

/// Receives the form as text, values separated by blanks; bytes that are not printable as \xx.
class Text {
public:
    void number(std::uint64_t value) { append(std::to_string(value)); }
    void real(double value) {
        char buffer[32];
        std::snprintf(buffer, sizeof buffer, "%.17g", value);
        append(buffer);
    }
    void text(std::string_view value) {
        std::string quoted = "\"";
        for (char c : value) {
            char buffer[8] = {c, 0};
            if (c < ' ' || c > '~') std::snprintf(buffer, sizeof buffer, "\\%02x", unsigned(std::uint8_t(c)));
            quoted += buffer;
        }
        append(quoted + "\"");
    }
    const std::string& value() const { return value_; }

private:
    void append(std::string_view word) {
        if (!value_.empty()) value_ += ' ';
        value_ += word;
    }

    std::string value_;  ///< all that was received
};

template <class T>
concept Pointer = requires(const T& value) {
    value.get();
    bool(value);
    *value;
};
template <class T>
concept TupleLike = requires {
    std::tuple_size<T>::value;
}
&&!std::ranges::range<T>;
template <class T>
concept TimePointLike = requires(const T& value) {
    value.time_since_epoch().count();
};
template <class T>
concept DurationLike = requires(const T& value) {
    value.count();
}
&&!TimePointLike<T>;

/// Hands the canonical form of `value` to `sink`. Aggregates are visited field by field.
template <class Sink, class T>
void write(Sink& sink, const T& value) {
    if constexpr (std::is_enum_v<T>) {
        sink.number(std::uint64_t(value));
    } else if constexpr (std::is_floating_point_v<T>) {
        sink.real(double(value));
    } else if constexpr (std::is_integral_v<T>) {
        sink.number(std::uint64_t(value));
    } else if constexpr (TimePointLike<T>) {
        write(sink, value.time_since_epoch().count());
    } else if constexpr (DurationLike<T>) {
        write(sink, value.count());
    } else if constexpr (std::is_convertible_v<const T&, std::string_view>) {
        sink.text(value);
    } else if constexpr (std::is_base_of_v<google::protobuf::MessageLite, T>) {
        sink.text(value.SerializeAsString());
    } else if constexpr (requires { std::variant_size<T>::value; }) {
        sink.number(value.index());
        std::visit([&sink](const auto& alternative) { write(sink, alternative); }, value);
    } else if constexpr (std::ranges::range<T>) {
        sink.number(std::uint64_t(std::ranges::distance(value)));
        for (const auto& element : value) write(sink, element);
    } else if constexpr (requires { value.has_value(); } || Pointer<T>) {
        sink.number(bool(value));
        if (value) write(sink, *value);
    } else if constexpr (TupleLike<T>) {
        std::apply([&sink](const auto&... field) { (write(sink, field), ...); }, value);
    } else if constexpr (std::is_empty_v<T>) {
        // carries no value
    } else {
        boost::pfr::for_each_field(value, [&sink](const auto& field) { write(sink, field); });
    }
}

}  // namespace ochrehub::lab::canonical
