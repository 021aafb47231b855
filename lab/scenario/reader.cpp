// TOML text into checked values, by the tables of settings.
#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>

#include "lab/scenario/content.h"

namespace ochrehub::lab::scenario {

namespace {

constexpr std::size_t kMostText = 1 << 20, kMostName = 64, kMostSummary = 400, kMostExpectations = 200;

Where where(const toml::source_region& region) {
    return {static_cast<int>(region.begin.line), static_cast<int>(region.begin.column)};
}

const char* described(const toml::node& node) {
    switch (node.type()) {
        case toml::node_type::string:
            return "a text";
        case toml::node_type::integer:
            return "a whole number";
        case toml::node_type::floating_point:
            return "a number";
        case toml::node_type::boolean:
            return "true or false";
        case toml::node_type::array:
            return "a list";
        case toml::node_type::table:
            return "a table";
        default:
            return "a date or a time";
    }
}

std::string quoted(const std::vector<const char*>& names) {
    std::string all;
    for (const char* name : names) all += fmt::format("{}\"{}\"", all.empty() ? "" : ", ", name);
    return all;
}

std::string wanted(const Setting& setting) {
    switch (setting.type) {
        case Type::Number:
            return "a number or a range [lo, hi]";
        case Type::Whole:
            return "a whole number or a range [lo, hi]";
        case Type::Window:
            return "a range [lo, hi]";
        case Type::Switch:
            return "true, false or [false, true]";
        case Type::Choice:
            return "a name or a list of names";
        case Type::Text:
            return "a text";
        case Type::Name:
            return "a name";
        case Type::Names:
            return "a list of names";
        case Type::Targets:
            return "a whole number or a list of them";
    }
    return "";
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= kMostName && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
               c == '_';
    });
}

std::string unknown(std::string_view what, std::string_view word, const std::vector<std::string>& known) {
    const std::string near = nearest(word, known);
    return near.empty() ? std::string(what) : fmt::format("{}; did you mean \"{}\"?", what, near);
}

/// What is wrong with it; empty: nothing, and `value` holds it.
class ValueReader {
public:
    ValueReader(const Setting& setting, Value& value) : setting_(setting), value_(value) {}

    std::string read(const toml::node& node) {
        switch (setting_.type) {
            case Type::Number:
            case Type::Whole:
            case Type::Window:
                return range(node);
            case Type::Switch:
                return coin(node);
            case Type::Choice:
            case Type::Names:
                return names(node);
            case Type::Text:
            case Type::Name:
                return text(node);
            case Type::Targets:
                return targets(node);
        }
        return "";
    }

private:
    std::string mismatch(const toml::node& node) const {
        return fmt::format("wants {}, not {}", wanted(setting_), described(node));
    }

    std::string number(const toml::node& node, double& into) const {
        const bool whole = setting_.type == Type::Whole || setting_.type == Type::Targets;
        if (!node.is_integer() && (whole || !node.is_floating_point())) return mismatch(node);
        // A whole number too large for a double's digits is far beyond any bound all the same.
        into = node.is_integer() ? static_cast<double>(node.as_integer()->get())
                                 : node.as_floating_point()->get();
        if (!(into >= setting_.least && into <= setting_.most))
            return fmt::format("{} is outside {} to {}", std::isfinite(into) ? plain(into) : "no number",
                               plain(setting_.least), plain(setting_.most));
        return "";
    }

    std::string range(const toml::node& node) {
        const toml::array* pair = node.as_array();
        if (!pair) {
            std::string wrong = number(node, value_.lo);
            value_.hi = value_.lo;
            return wrong;
        }
        if (pair->size() != 2)
            return fmt::format("wants {}, not a list of {}", wanted(setting_), pair->size());
        if (std::string wrong = number((*pair)[0], value_.lo); !wrong.empty()) return wrong;
        if (std::string wrong = number((*pair)[1], value_.hi); !wrong.empty()) return wrong;
        if (value_.lo > value_.hi)
            return fmt::format("the range [{}, {}] is the wrong way round", plain(value_.lo),
                               plain(value_.hi));
        return "";
    }

    std::string coin(const toml::node& node) {
        if (const auto* flag = node.as_boolean()) {
            value_.lo = value_.hi = flag->get();
            return "";
        }
        const toml::array* both = node.as_array();
        if (!both) return mismatch(node);
        const bool drawn = both->size() == 2 && (*both)[0].is_boolean() && (*both)[1].is_boolean() &&
                           (*both)[0].as_boolean()->get() != (*both)[1].as_boolean()->get();
        if (!drawn) return fmt::format("wants {}", wanted(setting_));
        value_.lo = 0;
        value_.hi = 1;
        return "";
    }

    std::string one_name(const std::string& word) {
        if (setting_.names.empty()) {
            if (!is_name(word))
                return fmt::format("\"{}\" is no name: up to {} letters, digits, - and _",
                                   word.substr(0, kMostName), kMostName);
        } else if (std::find(setting_.names.begin(), setting_.names.end(), word) == setting_.names.end()) {
            const std::string what = fmt::format("there is no \"{}\"", word.substr(0, kMostName));
            const std::string hint = unknown(what, word, {setting_.names.begin(), setting_.names.end()});
            return hint == what ? fmt::format("{}; there are {}", what, quoted(setting_.names)) : hint;
        }
        value_.names.push_back(word);
        return "";
    }

    std::string names(const toml::node& node) {
        value_.names.clear();
        if (setting_.type == Type::Choice && node.is_string()) return one_name(node.as_string()->get());
        const toml::array* list = node.as_array();
        if (!list) return mismatch(node);
        if (list->empty() && setting_.type == Type::Choice) return "the list is empty";
        for (const toml::node& each : *list) {
            if (!each.is_string()) return mismatch(each);
            if (std::string wrong = one_name(each.as_string()->get()); !wrong.empty()) return wrong;
            if (std::count(value_.names.begin(), value_.names.end(), value_.names.back()) > 1)
                return fmt::format("\"{}\" stands twice", value_.names.back());
        }
        return "";
    }

    std::string text(const toml::node& node) {
        if (!node.is_string()) return mismatch(node);
        value_.names.clear();
        const std::string& word = node.as_string()->get();
        if (setting_.type == Type::Name) return one_name(word);
        const bool line = std::none_of(word.begin(), word.end(),
                                       [](char c) { return std::iscntrl(static_cast<unsigned char>(c)); });
        if (word.size() > kMostSummary || !line)
            return fmt::format("wants one line of up to {} bytes", kMostSummary);
        value_.names.push_back(word);
        return "";
    }

    std::string targets(const toml::node& node) {
        value_.list.clear();
        const toml::array* list = node.as_array();
        value_.is_list = list;
        if (!list) {
            if (std::string wrong = number(node, value_.lo); !wrong.empty()) return wrong;
            value_.hi = value_.lo;
            return value_.lo < 1 ? "wants at least one" : "";
        }
        if (list->empty()) return "the list is empty";
        for (const toml::node& each : *list) {
            double place = 0;
            if (std::string wrong = number(each, place); !wrong.empty()) return wrong;
            if (std::find(value_.list.begin(), value_.list.end(), static_cast<int>(place)) !=
                value_.list.end())
                return fmt::format("{} stands twice", plain(place));
            value_.list.push_back(static_cast<int>(place));
        }
        return "";
    }

    const Setting& setting_;
    Value& value_;
};

std::vector<std::string> keys_of(const Section& section) {
    std::vector<std::string> keys;
    for (const Setting& setting : section.settings) keys.push_back(setting.name);
    return keys;
}

/// With the defaults of the tables.
Block fresh(const Section& section) {
    Block block{&section, {}, {}, {}, false};
    for (const Setting& setting : section.settings) {
        Value& value = block.values.emplace_back();
        if (!*setting.fallback) continue;
        const toml::table table = toml::parse(fmt::format("x = {}", setting.fallback));
        const std::string wrong = ValueReader(setting, value).read(*table.get("x"));
        if (!wrong.empty())
            throw std::logic_error(fmt::format("{}.{}: {}", section.name, setting.name, wrong));
        value.there = true;
    }
    return block;
}

const Block& defaults_of(const Section& section) {
    static const std::vector<Block> all = [] {
        std::vector<Block> made;
        for (const Section& each : sections()) made.push_back(fresh(each));
        return made;
    }();
    return all[static_cast<std::size_t>(&section - sections().data())];
}

std::string unknown_key(const std::string& name, const Section& here) {
    std::string places;
    for (const Section& each : sections())
        if (&each != &here && *each.name && each.find(name))
            places += fmt::format("{}{}", places.empty() ? "" : " or ",
                                  fmt::format(fmt::runtime(each.list ? "[[{}]]" : "[{}]"), each.name));
    if (!places.empty()) return fmt::format("unknown key here; it stands in {}", places);
    return unknown("unknown key", name, keys_of(here));
}

void read_keys(const toml::table& table, Block& block, Problems& problems) {
    const Section& section = *block.section;
    for (const auto& [key, node] : table) {
        const std::string name(key.str());
        const std::string path = *section.name ? fmt::format("{}.{}", section.name, name) : name;
        const Setting* setting = section.find(name);
        if (!setting) {
            problems.add(where(key.source()), path, unknown_key(name, section));
            continue;
        }
        Value value;
        value.at = where(node.source());
        value.there = value.given = true;
        const std::string wrong = ValueReader(*setting, value).read(node);
        value.sound = wrong.empty();
        if (!value.sound) problems.add(value.at, path, wrong);
        block[name] = std::move(value);
    }
}

using Entries = std::vector<Block>;

/// `builtin`: entries by whose name one takes what it does not say; none while they are read themselves.
Entries read_list(const toml::array& list, const Section& section, const Entries* builtin,
                  Problems& problems) {
    Entries entries;
    std::map<std::string, int> faults_of_kind;
    for (const toml::node& node : list) {
        const toml::table& table = *node.as_table();
        const Where at = where(table.source());
        if (entries.size() == section.most) {
            problems.add(at, section.name, fmt::format("more than {} of them", section.most));
            break;
        }
        const bool fault = std::string_view(section.name) == "fault";
        const char* naming = fault ? "kind" : "name";
        Block block = defaults_of(section);
        if (const auto* name = table.get_as<std::string>(naming)) {
            if (builtin)
                for (const Block& known : *builtin)
                    if (known.entry == name->get()) block = known;
            if (const FaultRule* rule = fault ? fault_rule(name->get()) : nullptr)
                block = scenario::defaults_of(*rule);
        }
        block.at = at;
        block.given = true;
        for (Value& value : block.values) value.given = false;
        read_keys(table, block, problems);
        const Value& name = block[naming];
        if (!name.given) {
            problems.add(at, fmt::format("{}.{}", section.name, naming), "is needed");
            block[naming].sound = false;
        } else if (fault && name.sound && name.names.size() != 1) {
            problems.add(name.at, "fault.kind", "wants a single one");
            block[naming].sound = false;
        } else if (name.sound) {
            // Faults go by their kind and their place among those: one of another kind shifts nothing.
            const std::string& word = name.name();
            block.entry = fault ? fmt::format("{}#{}", word, faults_of_kind[word]++) : word;
            for (const Block& other : entries)
                if (other.entry == block.entry)
                    problems.add(name.at, fmt::format("{}.name", section.name),
                                 fmt::format("\"{}\" stands twice", word));
        }
        entries.push_back(std::move(block));
    }
    return entries;
}

const std::map<std::string, Entries, std::less<>>& deployment() {
    static const auto all = [] {
        std::map<std::string, Entries, std::less<>> made;
        Problems problems("deployment");
        const toml::table table = toml::parse(kDeployment);
        for (const auto& [key, node] : table) {
            Entries entries = read_list(*node.as_array(), section(key.str()), nullptr, problems);
            for (Block& block : entries) {
                block.given = false;
                for (Value& value : block.values) value.given = false;
            }
            made.emplace(key.str(), std::move(entries));
        }
        if (problems.any()) problems.raise();
        return made;
    }();
    return all;
}

class Expectations {
public:
    Expectations(Scenario::Content& content, Problems& problems) : content_(content), problems_(problems) {}

    void read(const toml::table& table, const std::string& path, bool each) {
        for (const auto& [key, node] : table) {
            const std::string name(key.str());
            const std::string full = path.empty() ? name : fmt::format("{}.{}", path, name);
            const std::string shown = fmt::format("expect.{}{}", each ? "each." : "", full);
            if (const toml::table* inner = node.as_table()) {
                // [expect.each]; else a path written with bare dots.
                if (path.empty() && !each && name == "each")
                    read(*inner, "", true);
                else
                    read(*inner, full, each);
            } else if (!node.is_string()) {
                problems_.add(where(node.source()), shown,
                              fmt::format("wants a text such as \">= 0.9\", not {}", described(node)));
            } else {
                one(node.as_string()->get(), full, shown, where(key.source()), where(node.source()), each);
            }
        }
    }

private:
    void one(const std::string& text, const std::string& figure, const std::string& shown, Where key,
             Where at, bool each) {
        const bool path = std::all_of(figure.begin(), figure.end(), [](char c) {
            return std::isalnum(static_cast<unsigned char>(c)) || c == '.' || c == '_' || c == '-';
        });
        if (!path || figure.front() == '.' || figure.back() == '.' ||
            figure.find("..") != std::string::npos) {
            problems_.add(key, shown, "is no path of a figure, such as worth.whole");
            return;
        }
        Expectation expectation{figure, Expectation::How::AtLeast, 0, each, at.line};
        const std::size_t split = text.find_first_not_of("<>=!~ ");
        std::string sign = text.substr(0, split);
        std::erase(sign, ' ');
        if (sign == "<=")
            expectation.how = Expectation::How::AtMost;
        else if (sign != ">=") {
            problems_.add(at, shown, fmt::format("wants \">= number\" or \"<= number\", not \"{}\"", text));
            return;
        }
        const char* end = text.data() + text.size();
        const auto [rest, error] = split == std::string::npos
                                       ? std::from_chars_result{end, std::errc::invalid_argument}
                                       : std::from_chars(text.data() + split, end, expectation.bound);
        if (error != std::errc() || rest != end || !std::isfinite(expectation.bound)) {
            problems_.add(at, shown, fmt::format("\"{}\" names no bound", text));
            return;
        }
        if (content_.expectations.size() == kMostExpectations) {
            problems_.add(at, shown, fmt::format("more than {} of them", kMostExpectations));
            return;
        }
        content_.expectations.push_back(expectation);
        content_.expected_at.push_back(key);
    }

    Scenario::Content& content_;
    Problems& problems_;
};

void read_section(const toml::key& key, const toml::node& node, Scenario::Content& content,
                  Problems& problems) {
    const std::string name(key.str());
    const Where at = where(key.source());
    if (name == "expect") {
        if (const toml::table* table = node.as_table())
            Expectations(content, problems).read(*table, "", false);
        else
            problems.add(at, name, "write [expect]: it stands once");
        return;
    }
    std::vector<std::string> names{"expect"};
    const Section* found = nullptr;
    for (const Section& each : sections()) {
        if (!*each.name) continue;
        names.push_back(each.name);
        if (name == each.name) found = &each;
    }
    if (!found && (node.is_table() || node.is_array_of_tables())) {
        problems.add(at, name, unknown("unknown section", name, names));
    } else if (!found) {
        problems.add(at, name, unknown_key(name, section("")));
    } else if (found->list) {
        const toml::array* list = node.as_array();
        if (!list || !list->is_array_of_tables()) {
            problems.add(at, name, fmt::format("write [[{}]]: it is a list", name));
            return;
        }
        const auto known = deployment().find(name);
        content.blocks[name] =
            read_list(*list, *found, known == deployment().end() ? nullptr : &known->second, problems);
    } else if (const toml::table* table = node.as_table()) {
        Block& block = content.blocks[name].front();
        block.at = where(table->source());
        block.given = true;
        read_keys(*table, block, problems);
    } else {
        problems.add(at, name, fmt::format("write [{}]: it stands once", name));
    }
}

}  // namespace

const Block& defaults_of(const FaultRule& rule) {
    static const std::vector<Block> all = [] {
        std::vector<Block> made;
        Problems problems("kinds of faults");
        for (const FaultRule& each : fault_rules()) {
            Block block = fresh(section("fault"));
            read_keys(toml::parse(each.defaults), block, problems);
            for (Value& value : block.values) value.given = false;
            made.push_back(std::move(block));
        }
        if (problems.any()) problems.raise();
        return made;
    }();
    return all[static_cast<std::size_t>(&rule - fault_rules().data())];
}

const Value& Block::operator[](std::string_view key) const {
    const Setting* setting = section->find(key);
    if (!setting) throw std::logic_error(fmt::format("no setting {}.{}", section->name, key));
    return values[static_cast<std::size_t>(setting - section->settings.data())];
}
Value& Block::operator[](std::string_view key) {
    return const_cast<Value&>(std::as_const(*this)[key]);
}

void Problems::add(Where at, std::string key, std::string what) {
    found_.push_back({at, std::move(key), std::move(what)});
}

void Problems::raise() const {
    std::vector<Problem> sorted = found_;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Problem& a, const Problem& b) {
        return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
    });
    std::string all;
    for (const Problem& each : sorted)
        all += fmt::format("{}{}:{}:{}: {}: {}", all.empty() ? "" : "\n", file_, each.at.line, each.at.column,
                           each.key, each.what);
    throw ScenarioError(all);
}

void read_text(const std::string& text, Scenario::Content& content, Problems& problems) {
    for (const Section& each : sections())
        if (!each.list) content.blocks[each.name] = {defaults_of(each)};
    for (const auto& [name, entries] : deployment()) content.blocks[name] = entries;
    content.blocks["fault"];

    if (text.size() > kMostText) {
        problems.add({}, "file", fmt::format("is larger than {} bytes", kMostText));
        return;
    }
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error& error) {
        problems.add(where(error.source()), "syntax", std::string(error.description()));
        return;
    }
    toml::table top;
    for (const auto& [key, node] : root) {
        if (section("").find(key.str()))
            top.insert(key, node);
        else
            read_section(key, node, content, problems);
    }
    read_keys(top, content.blocks[""].front(), problems);
}

}  // namespace ochrehub::lab::scenario
