#include "takeover/manual_overrides.h"

#include <array>
#include <charconv>
#include <cstdio>

#include "ochrehub/hash.h"

namespace ochrehub::takeover {
namespace {

constexpr std::string_view kVersion = "ochrehub hands 1";

bool plain(char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
}

std::string encoded(std::string_view text) {
    std::string out;
    for (char c : text) {
        std::array<char, 4> hex{};
        std::snprintf(hex.data(), hex.size(), "%%%02x", static_cast<unsigned char>(c));
        plain(c) ? out += c : out += hex.data();
    }
    return out;
}

std::string decoded(std::string_view text) {
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned byte = 0;
        if (text[i] == '%' && i + 2 < text.size()) {
            std::from_chars(text.data() + i + 1, text.data() + i + 3, byte, 16);
            out += char(byte);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string check_of(std::string_view text) {
    std::array<char, 24> hex{};
    std::snprintf(hex.data(), hex.size(), "%016llx", static_cast<unsigned long long>(hashed(text)));
    return hex.data();
}

std::string_view word(std::string_view& line) {
    std::string_view first = line.substr(0, line.find(' '));
    line.remove_prefix(std::min(line.size(), first.size() + 1));
    return first;
}

std::string time(TimePoint at) {
    std::array<char, 48> text{};
    std::snprintf(text.data(), text.size(), " %.3f", at.time_since_epoch().count());
    return text.data();
}

TimePoint read_time(std::string_view& line) {
    std::string_view text = word(line);
    double at = 0;
    std::from_chars(text.data(), text.data() + text.size(), at);
    return TimePoint{Duration{at}};
}

}  // namespace

bool ManualOverrides::take_out(const std::string& id, TimePoint now) {
    back.erase(id);
    return out.emplace(id, now).second;
}

bool ManualOverrides::put_back(const std::string& id, TimePoint now) {
    auto it = out.find(id);
    if (it == out.end()) return false;
    back[id] = {it->second, now};
    out.erase(it);
    return true;
}

void ManualOverrides::forget(TimePoint now, Duration age) {
    std::erase_if(back, [&](const auto& its) { return now - its.second.till > age; });
}

std::string written(const ManualOverrides& overrides, std::string_view node) {
    std::string text(kVersion);
    text.append("\nnode ").append(encoded(node)).append("\n");
    for (const auto& [id, since] : overrides.out)
        text.append("out ").append(encoded(id)).append(time(since)).append("\n");
    for (const auto& [id, interval] : overrides.back)
        text.append("back ")
            .append(encoded(id))
            .append(time(interval.from))
            .append(time(interval.till))
            .append("\n");
    return text + "check " + check_of(text) + "\n";
}

std::optional<ManualOverrides> read(std::string_view text, std::string_view node, std::string& why) {
    auto bad = [&why](const char* what) {
        why = what;
        return std::nullopt;
    };
    std::size_t end = text.rfind("check ");
    if (!text.starts_with(kVersion)) return bad(text.empty() ? "is empty" : "is of another version");
    if (end == std::string_view::npos || text.substr(end) != "check " + check_of(text.substr(0, end)) + "\n")
        return bad("is cut or was changed");
    ManualOverrides overrides;
    bool its_own = false;
    for (text = text.substr(0, end); !text.empty();) {
        std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(line.size() + 1);
        std::string_view kind = word(line);
        std::string name = decoded(word(line));
        if (kind == "node") its_own = name == node;
        TimePoint from = read_time(line), till = read_time(line);
        if (kind == "out") overrides.out[name] = from;
        if (kind == "back") overrides.back[name] = {from, till};
    }
    if (!its_own) return bad("is another node's");
    return overrides;
}

}  // namespace ochrehub::takeover
