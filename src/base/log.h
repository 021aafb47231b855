// The node's log: lines on standard error, rate-limited, so that a trouble cannot drown the machine in them.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace ochrehub {

enum class LogLevel { Debug, Info, Warn, Error };
enum class LogFormat { Text, Json };

struct LogSettings {
    LogFormat format = LogFormat::Text;
    LogLevel level = LogLevel::Info;  ///< what is below it is neither written nor counted
};

/// What a line says beside its words. A text must outlive the call alone.
struct Field {
    using Value = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool>;

    Field(std::string_view name, std::string_view text) : key(name), value(text) {}
    Field(std::string_view name, const char* text) : key(name), value(std::string_view(text)) {}
    Field(std::string_view name, const std::string& text) : key(name), value(std::string_view(text)) {}
    Field(std::string_view name, bool flag) : key(name), value(flag) {}
    template <std::floating_point T>
    Field(std::string_view name, T number) : key(name), value(double(number)) {}
    template <std::integral T>
    requires(!std::is_same_v<T, bool>) Field(std::string_view name, T number) : key(name) {
        if constexpr (std::is_signed_v<T>)
            value = std::int64_t{number};
        else
            value = std::uint64_t{number};
    }

    std::string_view key;
    Value value;
};
using Fields = std::initializer_list<Field>;

/// What counts from here on. Before it is called lines are text, from Info up.
void log_by(const LogSettings& settings);

/// Writes a line: in text the words and then each `key=value`, in JSON an object. Lines over the rate are
/// dropped and counted. For use by several threads.
void log(LogLevel level, std::string_view words, Fields fields = {});

/// The same, at Info where nothing else is said, its words made as printf would.
[[gnu::format(printf, 1, 2)]] void log_line(const char* format, ...);
[[gnu::format(printf, 2, 3)]] void log_line(LogLevel level, const char* format, ...);

/// Appends `text` between quotes as JSON has it. What is no UTF-8 becomes U+FFFD.
void append_json(std::string& out, std::string_view text);

}  // namespace ochrehub
