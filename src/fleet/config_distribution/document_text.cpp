// Text form of contents: one entry per line.
#include <charconv>
#include <map>

#include "fleet/config_distribution/document.h"

namespace ochrehub::config_distribution {
namespace {

constexpr std::string_view kActionNames[] = {"set", "add", "remove"},
                           kPartnerStatusNames[] = {"held", "open", "shut"},
                           kServerUseNames[] = {"rest", "in", "out", "last"},
                           kListSourceNames[] = {"static", "hand", "discovery"},
                           kRetryRuleNames[] = {"unsaid", "may", "may-not"};

/// Requests per second, without trailing zeros.
std::string format_rate(std::uint64_t thousandths) {
    std::string out = std::to_string(thousandths / 1000);
    if (thousandths % 1000 != 0) {
        std::string part = std::to_string(1000 + thousandths % 1000).substr(1);
        while (part.back() == '0') part.pop_back();
        out += "." + part;
    }
    return out;
}

void append_lines(const Limits& c, std::string& out) {
    if (c.budget != 0) out += "budget " + format_rate(c.budget) + "\n";
    for (const Limit& l : c.limits)
        out += "limit " + l.name + " rate " + format_rate(l.rate) + " burst " + std::to_string(l.burst) +
               " floor " + format_rate(l.floor) + "\n";
}
void append_lines(const Classes& c, std::string& out) {
    for (const ClassRule& r : c.classes)
        out.append("class " + r.name + " repeat ")
            .append(kRetryRuleNames[std::size_t(r.retry)])
            .append(" attempts " + std::to_string(r.max_attempts) + "\n");
}
void append_lines(const Headers& c, std::string& out) {
    for (const HeaderRule& r : c.rules) {
        out.append(kActionNames[std::size_t(r.action)]).append(" " + r.name);
        if (r.action != HeaderAction::Remove) out += " " + r.value;
        out += "\n";
    }
}
void append_lines(const Partners& c, std::string& out) {
    for (const Partner& p : c.partners) {
        out.append("partner " + p.name + " ").append(kPartnerStatusNames[std::size_t(p.status)]);
        for (const std::string& key : p.keys) out += " key " + key;
        out += "\n";
    }
}
void append_lines(const Servers& c, std::string& out) {
    out.append("source ").append(kListSourceNames[std::size_t(c.source)]).append("\n");
    if (c.revision != 0) out += "revision " + std::to_string(c.revision) + "\n";
    for (const Server& s : c.servers) {
        out.append("server " + s.name + " ").append(kServerUseNames[std::size_t(s.use)]);
        if (!s.zone.empty()) out += " zone " + s.zone;
        out += "\n";
    }
}

/// Splits a line into words.
struct WordReader {
    std::string_view rest;
    std::string_view next() {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        std::string_view word = rest.substr(0, rest.find(' '));
        rest.remove_prefix(word.size());
        return word;
    }
    bool at_end() const { return rest.find_first_not_of(' ') == rest.npos; }
    /// The rest of the line without surrounding blanks.
    std::string_view remainder() {
        rest.remove_prefix(std::min(rest.find_first_not_of(' '), rest.size()));
        rest = rest.substr(0, rest.find_last_not_of(' ') + 1);
        return std::exchange(rest, {});
    }
};

bool parse_number(std::string_view word, std::uint64_t& into) {
    auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), into);
    return error == std::errc{} && end == word.data() + word.size();
}
bool parse_thousandths(std::string_view word, std::uint64_t& into) {
    std::size_t dot = word.find('.');
    std::uint64_t whole = 0, part = 0;
    if (!parse_number(word.substr(0, dot), whole) || whole > kMaxRate) return false;
    if (dot != word.npos) {
        std::string digits(word.substr(dot + 1));
        if (digits.empty() || digits.size() > 3) return false;
        digits.resize(3, '0');
        if (!parse_number(digits, part)) return false;
    }
    into = whole * 1000 + part;
    return true;
}
template <class Enum, std::size_t N>
bool parse_enum(std::string_view word, const std::string_view (&names)[N], Enum& into) {
    for (std::size_t i = 0; i < N; ++i)
        if (names[i] == word) return into = Enum(i), true;
    return false;
}

/// Parses one line into the content; false if the line is not valid for its kind.
bool parse_line(Limits& c, std::string_view first, WordReader& words) {
    if (first == "budget")
        return c.budget == 0 && parse_thousandths(words.next(), c.budget) && words.at_end();
    if (first != "limit") return false;
    Limit l;
    l.name = words.next();
    while (!words.at_end()) {
        std::string_view key = words.next(), value = words.next();
        if (!(key == "rate"    ? parse_thousandths(value, l.rate)
              : key == "burst" ? parse_number(value, l.burst)
                               : key == "floor" && parse_thousandths(value, l.floor)))
            return false;
    }
    c.limits.push_back(std::move(l));
    return true;
}
bool parse_line(Classes& c, std::string_view first, WordReader& words) {
    if (first != "class") return false;
    ClassRule r;
    r.name = words.next();
    while (!words.at_end()) {
        std::string_view key = words.next(), value = words.next();
        std::uint64_t attempts = 0;
        if (key == "repeat" ? !parse_enum(value, kRetryRuleNames, r.retry)
                            : key != "attempts" || !parse_number(value, attempts) || attempts > 1000)
            return false;
        if (key == "attempts") r.max_attempts = std::uint32_t(attempts);
    }
    c.classes.push_back(std::move(r));
    return true;
}
bool parse_line(Headers& c, std::string_view first, WordReader& words) {
    HeaderRule r;
    if (!parse_enum(first, kActionNames, r.action)) return false;
    r.name = words.next();
    r.value = words.remainder();
    c.rules.push_back(std::move(r));
    return true;
}
bool parse_line(Partners& c, std::string_view first, WordReader& words) {
    if (first != "partner") return false;
    Partner p;
    p.name = words.next();
    if (!parse_enum(words.next(), kPartnerStatusNames, p.status)) return false;
    while (!words.at_end()) {
        if (words.next() != "key") return false;
        p.keys.emplace_back(words.next());
    }
    c.partners.push_back(std::move(p));
    return true;
}
bool parse_line(Servers& c, std::string_view first, WordReader& words) {
    if (first == "source") return parse_enum(words.next(), kListSourceNames, c.source) && words.at_end();
    if (first == "revision") return parse_number(words.next(), c.revision) && words.at_end();
    if (first != "server") return false;
    Server s;
    s.name = words.next();
    if (!parse_enum(words.next(), kServerUseNames, s.use)) return false;
    if (!words.at_end()) {
        if (words.next() != "zone") return false;
        s.zone = words.next();
    }
    c.servers.push_back(std::move(s));
    return words.at_end();
}

}  // namespace

std::string to_text(const Content& content) {
    std::string out("kind ");
    out.append(name(kind(content))).append("\n");
    std::visit([&](const auto& c) { append_lines(c, out); }, canonical(content));
    return out;
}

std::variant<Content, Failure> parse_text(std::string_view text) {
    if (text.size() > 2 * kMaxContentBytes)
        return Failure{Error::TooLong, std::to_string(text.size()) + " bytes of text"};
    std::optional<Content> content;
    for (std::size_t line = 1; !text.empty(); ++line) {
        std::size_t end = text.find('\n');
        std::string_view whole = text.substr(0, end);
        text.remove_prefix(end == text.npos ? text.size() : end + 1);
        if (!whole.empty() && whole.back() == '\r') whole.remove_suffix(1);
        WordReader words{whole};
        std::string_view first = words.next();
        if (first.empty() || first.front() == '#') continue;
        auto where = [&] {
            return "line " + std::to_string(line) + ": `" + std::string(whole.substr(0, 80)) + "`";
        };
        if (!content) {
            if (first != "kind") return Failure{Error::Malformed, where() + ": `kind` comes first"};
            auto found = kind_from_name(words.next());
            if (!found || !words.at_end()) return Failure{Error::UnknownKind, where()};
            switch (*found) {
                case Kind::Limits:
                    content = Limits{};
                    break;
                case Kind::Classes:
                    content = Classes{};
                    break;
                case Kind::Headers:
                    content = Headers{};
                    break;
                case Kind::Partners:
                    content = Partners{};
                    break;
                case Kind::Servers:
                    content = Servers{};
                    break;
            }
        } else if (!std::visit([&](auto& c) { return parse_line(c, first, words); }, *content)) {
            return Failure{Error::Malformed, where()};
        }
    }
    if (!content) return Failure{Error::Malformed, "nothing in it"};
    if (auto bad = validate(*content)) return *bad;
    return canonical(std::move(*content));
}

std::string diff(const Content& a, const Content& b) {
    auto split = [](const std::string& all) {
        std::vector<std::string> out;
        for (std::size_t at = 0; at < all.size();) {
            std::size_t end = all.find('\n', at);
            out.push_back(all.substr(at, end - at));
            at = end + 1;
        }
        return out;
    };
    std::vector<std::string> was = split(to_text(a)), is = split(to_text(b));
    std::map<std::string, int> count;
    for (const std::string& line : was) ++count[line];
    for (const std::string& line : is) --count[line];
    std::string out;
    for (const std::string& line : was)
        if (count[line] > 0) --count[line], out += "- " + line + "\n";
    for (const std::string& line : is)
        if (count[line] < 0) ++count[line], out += "+ " + line + "\n";
    // Header rules in a different order have the same lines but are a different content.
    if (out.empty() && was != is) {
        for (const std::string& line : was) out += "- " + line + "\n";
        for (const std::string& line : is) out += "+ " + line + "\n";
    }
    return out;
}

}  // namespace ochrehub::config_distribution
