// All errors of a module, enumerated at compile time: for the table in docs/errors.md and for tests that need
// each of them. The values of a module's `Error` must start at zero or one and have no gap.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <utility>

#include "fleet/error/error.h"

namespace ochrehub::fleet {

namespace detail {

constexpr std::string_view kDigits = "0123456789";

/// The compiler's text for an enum value. GCC and Clang write a value that has an enumerator by its name, and
/// any other as a cast: "(module::Error)7".
template <auto Value>
constexpr std::string_view enumerator_text() {
    constexpr std::string_view kBefore = "Value = ";
    std::string_view text = __PRETTY_FUNCTION__;
    text = text.substr(text.find(kBefore) + kBefore.size());
    return text.substr(0, text.find_first_of("];"));
}

template <auto Value>
constexpr bool has_enumerator() {
    const std::string_view text = enumerator_text<Value>();
    const std::string_view without_number = text.substr(0, text.find_last_not_of(kDigits) + 1);
    const bool is_cast = without_number.size() < text.size() && without_number.back() == ')';
    return !is_cast;
}

/// The lowest value that has an enumerator.
template <class E>
inline constexpr std::size_t kFirst = has_enumerator<E(0)>() ? 0 : 1;

/// How many values have an enumerator, from kFirst to the first that has none.
template <class E, std::size_t At = kFirst<E>>
constexpr std::size_t count() {
    if constexpr (has_enumerator<E(At)>())
        return count<E, At + 1>();
    else
        return At - kFirst<E>;
}

}  // namespace detail

/// The number of a module's errors.
template <class E>
inline constexpr std::size_t kErrorsOf = detail::count<E>();

/// A row, with its enumerator's name.
struct NamedRow {
    std::string_view name;
    ErrorRow row;
};

/// Of all errors, in the order of their values.
template <class E>
std::array<NamedRow, kErrorsOf<E>> rows_of() {
    return []<std::size_t... I>(std::index_sequence<I...>) {
        const auto unqualified = [](std::string_view text) { return text.substr(text.rfind(':') + 1); };
        return std::array<NamedRow, sizeof...(I)>{
            NamedRow{unqualified(detail::enumerator_text<E(I + detail::kFirst<E>)>()),
                     row(E(I + detail::kFirst<E>))}...};
    }
    (std::make_index_sequence<kErrorsOf<E>>());
}

}  // namespace ochrehub::fleet
