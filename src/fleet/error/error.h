// Errors with types. A room has a closed set of its own (`enum class Error`) and a row for each, found by
// `row(error)`. What is told to people, to `--json` and in answers is the row's stable code, never a text
// that somebody compares.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace ochrehub::fleet {

struct ErrorRow {
    std::string_view code;       ///< stable: `room.what-happened`
    std::string_view what;       ///< one clause, worded to follow what it is about
    bool passes = false;         ///< by itself: whoever asked may ask again
    std::string_view operators;  ///< what they can do
};

/// One that happened. `E` is a room's Error; the room's `row(E)` is found by its namespace.
template <class E>
struct Failure {
    E error{};
    std::string about;  ///< which duty, version, partner, schema, peer
    friend bool operator==(const Failure&, const Failure&) = default;
};

/// `code: about: what; what operators can do`
inline std::string sentence(const ErrorRow& row, std::string_view about) {
    std::string text(row.code);
    text += ": ";
    if (!about.empty()) text.append(about).append(": ");
    return text.append(row.what).append("; ").append(row.operators);
}
template <class E>
std::string sentence(const Failure<E>& failure) {
    return sentence(row(failure.error), failure.about);
}

}  // namespace ochrehub::fleet
