#include "base/log.h"

#include <fmt/format.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdarg>
#include <cstddef>
#include <cstdio>
#include <memory>
#include <mutex>
#include <utility>

namespace ochrehub {
namespace {

using Steady = std::chrono::steady_clock;

constexpr double kLinesPerSecond = 20;
constexpr double kBurst = 100;

spdlog::level::level_enum level_of(LogLevel level) {
    static constexpr std::array kLevels{spdlog::level::debug, spdlog::level::info, spdlog::level::warn,
                                        spdlog::level::err};
    return kLevels[std::size_t(level)];
}

/// How many bytes of `text`, which is not empty, are one character of UTF-8; zero: it does not begin with
/// one.
std::size_t character(std::string_view text) {
    auto byte = [&](std::size_t i) { return static_cast<unsigned char>(text[i]); };
    unsigned char first = byte(0);
    if (first < 0x80) return 1;
    std::size_t size = first >= 0xf0 ? 4 : first >= 0xe0 ? 3 : 2;
    if (first < 0xc2 || first > 0xf4 || text.size() < size) return 0;
    for (std::size_t i = 1; i < size; ++i)
        if ((byte(i) & 0xc0) != 0x80) return 0;
    // Guards against forms that are too long, surrogates, and what lies behind the last character there is.
    unsigned char second = byte(1);
    bool wrong = (first == 0xe0 && second < 0xa0) || (first == 0xed && second > 0x9f) ||
                 (first == 0xf0 && second < 0x90) || (first == 0xf4 && second > 0x8f);
    return wrong ? 0 : size;
}

/// A value as JSON has it. `bare`: a text may go without quotes where nothing in it could be misread.
void append_value(std::string& out, const Field::Value& value, bool bare) {
    std::visit(
        [&](auto v) {
            using T = decltype(v);
            if constexpr (std::is_same_v<T, std::string_view>) {
                auto plain = [](unsigned char c) {
                    return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
                };
                if (bare && !v.empty() && std::all_of(v.begin(), v.end(), plain))
                    out.append(v);
                else
                    append_json(out, v);
            } else if constexpr (std::is_same_v<T, double>) {
                if (std::isfinite(v))
                    fmt::format_to(std::back_inserter(out), "{}", v);
                else
                    out.append("null");  // JSON has no other word for it
            } else {
                fmt::format_to(std::back_inserter(out), "{}", v);
            }
        },
        value);
}

class Log {
public:
    Log() { use({}); }

    void use(const LogSettings& settings) {
        std::lock_guard lock(mutex_);
        json_ = settings.format == LogFormat::Json;
        logger_.set_level(level_of(settings.level));
        // Time and level are spdlog's to write; what stands behind them is made here, before a line is taken.
        logger_.set_formatter(std::make_unique<spdlog::pattern_formatter>(
            json_ ? R"({"ts":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l",%v})" : "%v",
            spdlog::pattern_time_type::utc, "\n"));
    }

    /// Whether a line may be written now; it must be, if so, by calls under the lock that this takes.
    std::unique_lock<std::mutex> admit(LogLevel level) {
        std::unique_lock lock(mutex_);
        if (!logger_.should_log(level_of(level))) return {};
        Steady::time_point now = Steady::now();
        double gained = std::chrono::duration<double>(now - last_).count() * kLinesPerSecond;
        tokens_ = std::min(kBurst, tokens_ + gained);
        last_ = now;
        if (tokens_ < 1) {
            ++dropped_;
            return {};
        }
        tokens_ -= 1;
        if (unsigned long dropped = std::exchange(dropped_, 0); dropped > 0) {
            if (json_)
                write(LogLevel::Warn, "lines dropped", {{"dropped", dropped}});
            else
                write(LogLevel::Warn, fmt::format("({} lines dropped)", dropped), {});
        }
        return lock;
    }

    void write(LogLevel level, std::string_view words, Fields fields) {
        if (!json_ && fields.size() == 0) return put(level, words);
        std::string line;
        if (json_) {
            line.append("\"msg\":");
            append_json(line, words);
        } else {
            line.append(words);
        }
        for (const Field& field : fields) {
            if (json_) {
                line.append(",");
                append_json(line, field.key);
            } else {
                line.append(" ").append(field.key);
            }
            line.append(json_ ? ":" : "=");
            append_value(line, field.value, !json_);
        }
        put(level, line);
    }

private:
    // One write for the whole line, its end included: standard error is not buffered.
    void put(LogLevel level, std::string_view line) {
        logger_.log(level_of(level), spdlog::string_view_t(line.data(), line.size()));
    }

    std::mutex mutex_;
    spdlog::logger logger_{"", std::make_shared<spdlog::sinks::stderr_sink_st>()};
    bool json_ = false;
    double tokens_ = kBurst;
    unsigned long dropped_ = 0;
    Steady::time_point last_ = Steady::now();
};

// Never destroyed: what ends last may still have something to say.
Log& the_log() {
    static Log* log = new Log;
    return *log;
}

void put_line(LogLevel level, const char* format, std::va_list args) {
    Log& log = the_log();
    auto lock = log.admit(level);
    if (!lock) return;
    std::array<char, 512> small;
    std::va_list again;
    va_copy(again, args);
    int size = std::vsnprintf(small.data(), small.size(), format, args);
    if (size >= 0 && std::size_t(size) < small.size()) {
        log.write(level, {small.data(), std::size_t(size)}, {});
    } else if (size >= 0) {
        std::string large(std::size_t(size) + 1, '\0');
        std::vsnprintf(large.data(), large.size(), format, again);
        large.pop_back();
        log.write(level, large, {});
    }
    va_end(again);
}

}  // namespace

void log_by(const LogSettings& settings) {
    the_log().use(settings);
}

void log(LogLevel level, std::string_view words, Fields fields) {
    Log& log = the_log();
    if (auto lock = log.admit(level)) log.write(level, words, fields);
}

void log_line(const char* format, ...) {
    std::va_list args;
    va_start(args, format);
    put_line(LogLevel::Info, format, args);
    va_end(args);
}

void log_line(LogLevel level, const char* format, ...) {
    std::va_list args;
    va_start(args, format);
    put_line(level, format, args);
    va_end(args);
}

void append_json(std::string& out, std::string_view text) {
    out += '"';
    for (std::size_t size = 0; !text.empty(); text.remove_prefix(size)) {
        size = character(text);
        unsigned char c = static_cast<unsigned char>(text.front());
        if (size == 0) {
            out.append("\xef\xbf\xbd");
            size = 1;
        } else if (c == '"' || c == '\\') {
            out.append("\\").append(1, char(c));
        } else if (c < 0x20 || c == 0x7f) {
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", unsigned{c});
        } else {
            out.append(text.substr(0, size));
        }
    }
    out += '"';
}

}  // namespace ochrehub
