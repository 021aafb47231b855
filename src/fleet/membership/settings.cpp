#include "fleet/membership/settings.h"

#include <sys/stat.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace ochrehub::membership {
namespace {

constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 128;
constexpr std::size_t kMaxKeys = 4;

config::Setting<MembershipConfig> milliseconds(config::Described described, Duration MembershipConfig::*into,
                                               double least, double most) {
    return config::number<MembershipConfig, double>(
        described, least, most, config::kMilliseconds,
        [into](MembershipConfig& config, double ms) { config.*into = Duration{ms}; });
}

bool printable(char c) {
    return c > ' ' && c < 127;
}

}  // namespace

config::Table<MembershipConfig> settings() {
    return {
        config::flag({.name = "on", .fallback = "off", .help = "the switch; the section alone turns it on"},
                     &MembershipConfig::on),
        config::address({.name = "listen", .help = "where its datagrams come in, `a.b.c.d:port`; needed"},
                        &MembershipConfig::listen),
        config::address(
            {.name = "advertise", .help = "where others reach it, if that is another address: its place"},
            &MembershipConfig::advertise),
        {{.name = "join",
          .kind = config::Kind::Texts,
          .help = "places of some members, asked for the others"},
         [](MembershipConfig& config, std::string_view value) -> std::string {
             auto found = parse_address(value);
             if (!found || found->port() == 0 || !found->address().is_v4())
                 return "is not an address a.b.c.d:port";
             config.join.emplace_back(found->address(), found->port());
             return {};
         }},
        config::text(
            {.name = "cluster", .fallback = "ochrehub", .help = "the tier's name: others are not heard"},
            &MembershipConfig::cluster),
        config::text(
            {.name = "zone", .help = "what it tells others of where it stands; else the node's `zone`"},
            &MembershipConfig::zone),
        config::text({.name = "key_file", .help = "a key a line, the first signs; read again on SIGHUP"},
                     &MembershipConfig::key_file),
        config::number(
            {.name = "nodes_least",
             .fallback = "0",
             .help = "whoever is seen: its part is never more than one of so many; 0: half of `nodes`"},
            &MembershipConfig::nodes_least, 0, 100000),
        milliseconds(
            {.name = "interval_ms", .fallback = "500", .help = "between looks at one other, 100 to 10000"},
            &MembershipConfig::interval, 100, 10000),
        milliseconds({.name = "isolated_ms",
                      .fallback = "5000",
                      .help = "without an answer from anybody it is isolated, 1000 to 60000"},
                     &MembershipConfig::isolated, 1000, 60000),
        milliseconds({.name = "stalled_ms",
                      .fallback = "3000",
                      .help = "its serving loop may stand still so long before it says so, 500 to 60000"},
                     &MembershipConfig::stalled, 500, 60000)};
}

KeyFile read_keys(const std::string& path) {
    KeyFile out;
    struct stat about {};
    if (stat(path.c_str(), &about) != 0) {
        out.fault = std::string("cannot be read: ") + std::strerror(errno);
        return out;
    }
    if (!S_ISREG(about.st_mode)) {
        out.fault = "is no file";
        return out;
    }
    if ((about.st_mode & 077) != 0) {
        out.fault = "can be read by others than its owner: chmod 600";
        return out;
    }
    config::Contents contents = config::read_whole(path);
    if (!contents.fault.empty() || contents.too_large) {
        out.fault = contents.too_large ? "is too large" : "cannot be read: " + contents.fault;
        return out;
    }
    std::size_t line = 0;
    for (std::string_view rest = contents.text; !rest.empty();) {
        std::size_t end = std::min(rest.find('\n'), rest.size());
        std::string_view key = rest.substr(0, end);
        rest.remove_prefix(std::min(rest.size(), end + 1));
        ++line;
        if (key.empty()) continue;
        std::string at = "line " + std::to_string(line) + ": ";
        if (!std::all_of(key.begin(), key.end(), printable))
            out.fault = at + "holds a byte that is no printable character";
        else if (key.size() < kMinKeyBytes || key.size() > kMaxKeyBytes)
            out.fault = at + "a key has 16 to 128 characters";
        else if (out.keys.size() == kMaxKeys)
            out.fault = at + "more than four keys";
        if (!out.fault.empty()) {
            out.keys.clear();
            return out;
        }
        out.keys.emplace_back(key);
    }
    if (out.keys.empty()) out.fault = "holds no key";
    return out;
}

std::string name_error(std::string_view name, std::size_t max_bytes) {
    if (name.size() > max_bytes)
        return "is longer than the " + std::to_string(max_bytes) + " characters that members tell each other";
    bool plain =
        std::all_of(name.begin(), name.end(), [](char c) { return printable(c) && c != '"' && c != '\\'; });
    return plain ? "" : "holds a character that members do not tell each other";
}

}  // namespace ochrehub::membership
