#include "rewrite/rewrites.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>

namespace ochrehub::rewrite {

namespace {

constexpr std::string_view kBlank = " \t";

// What the rules of service hang on, and `Host`, of which a request has exactly one.
constexpr std::array<std::string_view, 7> kProtected{
    "X-Trace-Id", "Idempotency-Key", "X-Expires-In", "X-Customer", "Content-Length", "Retry-After", "Host"};

bool is_protected(std::string_view name) {
    return std::any_of(kProtected.begin(), kProtected.end(), [&](auto n) { return same_name(n, name); });
}

bool is_token(std::string_view name) {
    static constexpr std::string_view kTokens =
        "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
    return !name.empty() && name.find_first_not_of(kTokens) == std::string_view::npos;
}

std::string fault_of_name(std::string_view name) {
    if (!is_token(name)) return "has a header name that is no token: '" + std::string(name) + "'";
    if (is_protected(name)) return "touches " + std::string(name) + ", which no rule may change";
    if (hop_by_hop(name)) return "touches " + std::string(name) + ", which concerns one connection alone";
    return {};
}

struct Word {
    std::string text;
    bool quoted = false;
};

/// Words between blanks; one in double quotes may hold blanks and, behind a backslash, quotes.
std::optional<std::vector<Word>> words_of(std::string_view text) {
    std::vector<Word> words;
    for (std::size_t at = 0; (at = text.find_first_not_of(kBlank, at)) != std::string_view::npos;) {
        Word& word = words.emplace_back();
        if (text[at] != '"') {
            std::size_t end = std::min(text.size(), text.find_first_of(kBlank, at));
            word.text = text.substr(at, end - at);
            at = end;
            continue;
        }
        word.quoted = true;
        for (++at; at < text.size() && text[at] != '"'; ++at) {
            if (text[at] == '\\' && at + 1 < text.size()) ++at;
            word.text += text[at];
        }
        if (at++ == text.size()) return std::nullopt;
    }
    return words;
}

std::string read_condition(const Word& word, const std::vector<std::string>* classes, Rule& rule) {
    std::string_view text = word.text;
    std::string_view kind = text.substr(0, text.find('='));
    std::string* glob = kind == "class" ? &rule.class_glob : kind == "path" ? &rule.path_glob : nullptr;
    if (!glob || kind.size() == text.size())
        return "has a condition that is neither class= nor path=: '" + word.text + "'";
    if (*glob != "*") return "names " + std::string(kind) + "= twice";
    *glob = text.substr(kind.size() + 1);
    if (glob->empty()) return "has nothing behind " + std::string(kind) + "=";
    if (kind == "path") return {};
    auto fits = [&](const std::string& name) { return glob_fits(*glob, name); };
    if (classes && std::none_of(classes->begin(), classes->end(), fits))
        return "names the unknown class " + *glob;
    return {};
}

using Names = std::set<std::string, boost::beast::iless>;  // a set: a head may hold a thousand of them

/// What `Connection` lists, which goes with it (RFC 9110, section 7.6.1). Not so what the rules of service
/// hang on: a client that lists its key there must not have its order run twice.
Names named_by_connection(const Headers& headers) {
    Names names;
    for (const auto& [key, list] : headers) {
        if (!same_name(key, "Connection")) continue;
        for (std::string_view rest = list; !rest.empty();) {
            std::string_view one = rest.substr(0, rest.find(','));
            rest.remove_prefix(std::min(rest.size(), one.size() + 1));
            one.remove_prefix(std::min(one.size(), one.find_first_not_of(kBlank)));
            one = one.substr(0, one.find_last_not_of(kBlank) + 1);
            if (!is_protected(one)) names.emplace(one);
        }
    }
    return names;
}

void drop_hop_by_hop(Headers& headers) {
    Names named = named_by_connection(headers);
    headers.erase_if([&](const Headers::Field& field) {
        return hop_by_hop(field.first) || named.contains(std::string(field.first));
    });
}

void append_forwarded(Headers& headers, const std::string& client) {
    bool six = client.find(':') != std::string::npos;
    std::string element = "for=" + (six ? "\"[" + client + "]\"" : client);
    auto is_forwarded = [](const Headers::Field& field) { return same_name(field.first, "Forwarded"); };
    auto later = std::count_if(headers.begin(), headers.end(), is_forwarded);
    if (later == 0) return headers.add("Forwarded", element);
    headers.rebuild([&](const Headers::Field& field, Headers& made) {
        const auto& [name, value] = field;
        bool is_last = is_forwarded(field) && --later == 0;
        made.add(name, !is_last        ? std::string(value)
                       : value.empty() ? element
                                       : std::string(value) + ", " + element);
    });
}

}  // namespace

// Without recursion: paths come from clients, and a rule with several stars must not cost more than the
// product of both lengths.
bool glob_fits(std::string_view glob, std::string_view text) {
    std::size_t g = 0, t = 0, star = std::string_view::npos, from = 0;
    while (t < text.size()) {
        if (g < glob.size() && glob[g] == '*') {
            star = g++;
            from = t;
        } else if (g < glob.size() && (glob[g] == '?' || glob[g] == text[t])) {
            ++g, ++t;
        } else if (star != std::string_view::npos) {
            g = star + 1;
            t = ++from;
        } else {
            return false;
        }
    }
    return glob.find_first_not_of('*', g) == std::string_view::npos;
}

std::string read_rule(std::string_view text, const std::vector<std::string>* classes, Rule& rule) {
    auto words = words_of(text);
    if (!words) return "has a quote that does not end";
    auto word = [&, at = std::size_t{0}]() mutable { return at < words->size() ? (*words)[at++] : Word{}; };
    std::string direction = word().text, verb = word().text;
    if (direction != "in" && direction != "out") return "has no direction: in or out";
    rule.in = direction == "in";
    if (verb != "add" && verb != "drop" && verb != "rename") return "has no verb: add, drop or rename";
    rule.verb = verb == "add" ? Rule::Verb::Add : verb == "drop" ? Rule::Verb::Drop : Rule::Verb::Rename;
    rule.name = word().text;
    if (std::string fault = fault_of_name(rule.name); !fault.empty()) return fault;

    std::size_t at = 3;
    auto at_if = [&] { return at < words->size() && (*words)[at].text == "if" && !(*words)[at].quoted; };
    std::size_t values = 0;
    for (; at < words->size() && !at_if(); ++at, ++values)
        rule.value.append(values > 0 ? " " : "").append((*words)[at].text);
    if (rule.verb == Rule::Verb::Add) {
        if (values == 0) return "adds a header without a value";
        auto control = [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; };
        if (std::any_of(rule.value.begin(), rule.value.end(), control)) return "adds a control byte";
    } else if (rule.verb == Rule::Verb::Drop) {
        if (values > 0) return "drops a header and says more: '" + rule.value + "'";
    } else {
        if (values != 1) return "does not name one new header";
        if (std::string fault = fault_of_name(rule.value); !fault.empty()) return fault;
    }
    if (at == words->size()) return {};
    if (++at == words->size()) return "has nothing behind if";
    for (; at < words->size(); ++at)
        if (std::string fault = read_condition((*words)[at], classes, rule); !fault.empty()) return fault;
    return {};
}

config::Table<Rewrites> settings(const std::vector<std::string>* classes) {
    return {config::flag({.name = "on", .fallback = "off", .help = "the switch"}, &Rewrites::on),
            config::flag({.name = "forwarded",
                          .fallback = "on",
                          .help = "append `Forwarded: for=` with the client's address",
                          .line_name = "rewrite_forwarded",
                          .part_of_feature = true},
                         &Rewrites::forwarded),
            {{.name = "rules",
              .kind = config::Kind::Texts,
              .help = "`in` or `out`, then `add NAME VALUE`, `drop NAME` or `rename NAME NEW`",
              .line_name = "rewrite"},
             [classes](Rewrites& rewrites, std::string_view value) {
                 return read_rule(value, classes, rewrites.rules.emplace_back());
             }}};
}

void Rewrites::request(Headers& headers, std::string_view class_name, std::string_view path,
                       const std::string& client) const {
    if (now) {
        if (auto counts = now()) counts->request(headers, class_name, path, client);
        return;
    }
    drop_hop_by_hop(headers);
    if (forwarded) append_forwarded(headers, client);
    apply(true, headers, class_name, path);
}

void Rewrites::answer(Headers& headers, std::string_view class_name, std::string_view path) const {
    if (now) {
        if (auto counts = now()) counts->answer(headers, class_name, path);
        return;
    }
    drop_hop_by_hop(headers);
    apply(false, headers, class_name, path);
}

void Rewrites::apply(bool in, Headers& headers, std::string_view class_name, std::string_view path) const {
    for (const Rule& rule : rules) {
        if (rule.in != in || !glob_fits(rule.class_glob, class_name) || !glob_fits(rule.path_glob, path))
            continue;
        auto named = [](std::string_view name) {
            return [name](const Headers::Field& field) { return same_name(field.first, name); };
        };
        if (rule.verb == Rule::Verb::Add) {
            headers.add(rule.name, rule.value);
        } else if (rule.verb == Rule::Verb::Drop) {
            headers.erase_if(named(rule.name));
        } else if (std::any_of(headers.begin(), headers.end(), named(rule.name))) {
            // What stands under the new name makes way, unless only the case of the name changes.
            if (!same_name(rule.name, rule.value)) headers.erase_if(named(rule.value));
            headers.rebuild([&rule](const Headers::Field& field, Headers& made) {
                made.add(same_name(field.first, rule.name) ? rule.value : field.first, field.second);
            });
        }
    }
}

}  // namespace ochrehub::rewrite
