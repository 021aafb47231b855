// All errors of a room, counted by the compiler: for the table in docs/errors.md and whoever else needs each
// of them. A room whose `Error` begins at zero or one and leaves no gap needs nothing but its `row`.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

#include "fleet/error/error.h"

namespace ochrehub::fleet {

namespace detail {

/// GCC and Clang write a value that has an enumerator by its name, and any other as a cast: "(room::Error)7".
template <auto Value>
constexpr std::string_view written() {
    std::string_view text = __PRETTY_FUNCTION__;
    text = text.substr(text.find("Value = ") + 8);
    return text.substr(0, text.find_first_of("];"));
}
template <auto Value>
constexpr bool named() {
    std::string_view text = written<Value>();
    return !(text.back() >= '0' && text.back() <= '9' &&
             text.substr(0, text.find_last_not_of("0123456789") + 1).back() == ')');
}
/// The first number that has an error's name, and the first behind it that has none.
template <class E>
inline constexpr std::size_t kFirst = named<E(0)>() ? 0 : 1;
template <class E, std::size_t At = kFirst<E>>
constexpr std::size_t count() {
    if constexpr (named<E(At)>())
        return count<E, At + 1>();
    else
        return At - kFirst<E>;
}

}  // namespace detail

/// How many a room has.
template <class E>
inline constexpr std::size_t kErrorsOf = detail::count<E>();

/// One of them, with the name that it has in the code.
struct NamedRow {
    std::string_view name;
    ErrorRow row;
};

template <class E>
std::array<NamedRow, kErrorsOf<E>> rows_of() {
    return []<std::size_t... I>(std::index_sequence<I...>) {
        auto last = [](std::string_view text) { return text.substr(text.rfind(':') + 1); };
        return std::array<NamedRow, sizeof...(I)>{
            NamedRow{last(detail::written<E(I + detail::kFirst<E>)>()), row(E(I + detail::kFirst<E>))}...};
    }
    (std::make_index_sequence<kErrorsOf<E>>());
}

}  // namespace ochrehub::fleet
