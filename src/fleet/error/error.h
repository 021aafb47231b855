// Typed errors. Each module has a closed set of its own (`enum class Error`) and a row for each of them,
// found by `row(error)`. Logs, `--json` and responses carry the row's code, which is stable; the texts are
// for people, and no code compares them.
#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace ochrehub::fleet {

struct ErrorRow {
    std::string_view code;       ///< stable: `module.what-happened`
    std::string_view what;       ///< one clause that follows the name of what it is about
    bool passes = false;         ///< transient: the request may be repeated
    std::string_view operators;  ///< what an operator can do
};

/// An error with the value at fault. `E` is a module's Error; its `row(E)` is found by its namespace.
template <class E>
struct Failure {
    E error{};
    std::string about;  ///< the value at fault: which lease, version, partner, schema or peer
    friend bool operator==(const Failure&, const Failure&) = default;
};

/// `code: about: what; what an operator can do`
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
