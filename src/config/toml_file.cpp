#include "config/toml_file.h"

#define TOML_ENABLE_FORMATTERS 0
#include <toml++/toml.h>  // header-only: this is the one place of the node that compiles it

#include <algorithm>
#include <set>
#include <utility>

namespace ochrehub::config {
namespace {

Place place(const toml::source_region& region) {
    return {int(region.begin.line), int(region.begin.column)};
}

std::string_view kind_of(const toml::node& node) {
    switch (node.type()) {
        case toml::node_type::table:
            return "a table";
        case toml::node_type::array:
            return node.is_array_of_tables() ? "an array of tables" : "an array";
        case toml::node_type::string:
            return "a string";
        case toml::node_type::integer:
            return "a whole number";
        case toml::node_type::floating_point:
            return "a number";
        case toml::node_type::boolean:
            return "true or false";
        default:
            return "a date or time";
    }
}

std::string_view wanted(Kind kind) {
    switch (kind) {
        case Kind::Flag:
            return "true or false";
        case Kind::Whole:
            return "a whole number";
        case Kind::Real:
            return "a number";
        case Kind::Text:
            return "a string";
        default:
            return "an array of strings";
    }
}

std::string shortest(double number) {
    std::array<char, 32> text;
    return {text.data(), std::to_chars(text.data(), text.data() + text.size(), number).ptr};
}

/// The text of a value that is of this kind.
std::optional<std::string> text_of(const toml::node& node, Kind kind) {
    if (kind == Kind::Flag && node.is_boolean()) return node.as_boolean()->get() ? "on" : "off";
    if ((kind == Kind::Whole || kind == Kind::Real) && node.is_integer())
        return std::to_string(node.as_integer()->get());
    if (kind == Kind::Real && node.is_floating_point()) return shortest(node.as_floating_point()->get());
    if ((kind == Kind::Text || kind == Kind::Texts) && node.is_string()) return node.as_string()->get();
    return std::nullopt;
}

std::string below(std::string_view section, std::string_view name) {
    return section.empty() ? std::string(name) : std::string(section).append(".").append(name);
}

}  // namespace

std::string as_toml(const Described& setting, std::string_view value) {
    if (setting.kind == Kind::Flag) return value == "on" ? "true" : "false";
    if (setting.kind == Kind::Whole || setting.kind == Kind::Real) return std::string(value);
    std::string text = "\"";
    for (char c : value) {
        if (c == '"' || c == '\\') text += '\\';
        text += c;
    }
    return text += '"';
}

class TomlFile::Reading {
public:
    Reading(TomlFile& file, const std::vector<Section>& sections) : file_(file), sections_(sections) {}

    void run(const toml::table& root) {
        for (const Section& section : sections_) {
            if (section.name().empty()) {
                one(section, "", root, std::nullopt);
                continue;
            }
            const toml::node* node = root.get(section.name());
            std::string name(section.name());
            if (section.is_list()) {
                list(section, name, node);
            } else if (node && !node->is_table()) {
                file_.wrong(name, "is " + std::string(kind_of(*node)) + ", not a table");
            } else {
                static const toml::table kNone;
                const toml::table& table = node ? *node->as_table() : kNone;
                one(section, name, table, node ? std::optional(file_.places_.at(name)) : std::nullopt);
            }
        }
        unknown("", root);
    }

    /// Where everything stands, before anything is said of it.
    void locate(const std::string& name, const toml::table& table) {
        for (const auto& [key, node] : table) {
            std::string full = below(name, key.str());
            file_.places_[full] = place(key.source());
            if (const toml::table* inner = node.as_table()) locate(full, *inner);
            const toml::array* items = node.as_array();
            for (std::size_t i = 0; items && i < items->size(); ++i) {
                std::string item = full + "[" + std::to_string(i) + "]";
                file_.places_[item] = place((*items)[i].source());
                if (const toml::table* inner = (*items)[i].as_table()) locate(item, *inner);
            }
        }
    }

private:
    void list(const Section& section, const std::string& name, const toml::node* node) {
        if (!node) return;
        const toml::array* items = node->as_array();
        if (!items)
            return file_.wrong(
                name, "is " + std::string(kind_of(*node)) + ", not an array of tables: [[" + name + "]]");
        for (std::size_t i = 0; i < items->size(); ++i) {
            std::string item = name + "[" + std::to_string(i) + "]";
            const toml::table* table = (*items)[i].as_table();
            if (table)
                one(section, item, *table, std::nullopt);
            else
                file_.wrong(item, "is " + std::string(kind_of((*items)[i])) + ", not a table");
        }
    }

    void one(const Section& section, const std::string& name, const toml::table& table,
             std::optional<Place> headed) {
        Filling filling(section);
        for (const Slot& slot : filling.slots()) {
            std::string key = below(name, slot.name);
            const toml::node* node = table.get(slot.name);
            if (node)
                take(filling, slot, key, *node);
            else if (slot.needed)
                file_.wrong(key, "is missing");
        }
        filling.settle(headed);
        for (const Filling::Need& need : filling.unmet())
            file_.wrong(below(name, need.setting),
                        "\"" + need.value + "\" needs " + below(name, need.needed));
        for (const Filling::InForce& one : filling.in_force())
            file_.values_.push_back({below(name, one.setting->name),
                                     one.value.empty() ? "" : as_toml(*one.setting, one.value), one.at});
        for (const Slot& slot : filling.slots())
            if (slot.kind == Kind::Texts && filling.given(slot).empty())
                file_.values_.push_back({below(name, slot.name), "[]", {}});
        if (!name.empty()) unknown(name, table, &section);
    }

    void take(Filling& filling, const Slot& slot, const std::string& key, const toml::node& node) {
        if (slot.kind == Kind::Texts && node.is_array()) {
            const toml::array& items = *node.as_array();
            for (std::size_t i = 0; i < items.size(); ++i)
                scalar(filling, slot, key + "[" + std::to_string(i) + "]", items[i]);
        } else if (slot.kind == Kind::Texts) {
            file_.wrong(key, "is " + std::string(kind_of(node)) + ", not an array of strings");
        } else {
            scalar(filling, slot, key, node);
        }
    }

    void scalar(Filling& filling, const Slot& slot, const std::string& key, const toml::node& node) {
        std::optional<std::string> text = text_of(node, slot.kind);
        if (!text) {
            Kind kind = slot.kind == Kind::Texts ? Kind::Text : slot.kind;
            return file_.wrong(key,
                               "is " + std::string(kind_of(node)) + ", not " + std::string(wanted(kind)));
        }
        if (std::any_of(text->begin(), text->end(), is_control))
            return file_.wrong(key, "holds a control byte");
        if (text->empty() && slot.needed) return file_.wrong(key, "is empty");
        // As good as not given, where that is how it stands by itself.
        if (text->empty() && slot.fallback.empty() && slot.kind == Kind::Text) return;
        std::string fault = filling.take(slot, *text, file_.places_.at(key));
        if (!fault.empty()) file_.wrong(key, as_toml(slot, quotable(*text)) + " " + fault);
    }

    void unknown(const std::string& name, const toml::table& table, const Section* section = nullptr) {
        for (const auto& [key, node] : table) {
            if (section ? knows(*section, key.str()) : known_at_top(key.str())) continue;
            std::vector<std::string> full = names(name, section, key.str());
            std::vector<std::string_view> views(full.begin(), full.end());
            // A name that is at home elsewhere is nearer than any other.
            std::string_view best = nearest(below(name, key.str()), views);
            for (std::string_view one : views)
                if (one.substr(one.rfind('.') + 1) == key.str()) best = one;
            file_.wrong(below(name, key.str()), "is no known setting; the nearest is " + std::string(best));
        }
    }

    static bool knows(const Section& section, std::string_view name) {
        const std::vector<Described>& all = section.settings();
        return std::any_of(all.begin(), all.end(), [&](const Described& s) { return s.name == name; });
    }
    bool known_at_top(std::string_view name) const {
        return std::any_of(sections_.begin(), sections_.end(), [&](const Section& section) {
            return section.name().empty() ? knows(section, name) : section.name() == name;
        });
    }
    /// What might have been meant by a key in the section called `name`, as it would be called there.
    std::vector<std::string> names(const std::string& name, const Section* section, std::string_view) const {
        std::vector<std::string> all;
        for (const Section& one : sections_) {
            bool here = &one == section;
            if (!section && !one.name().empty()) all.emplace_back(one.name());
            for (const Described& setting : one.settings())
                all.push_back(below(here ? std::string_view(name) : one.name(), setting.name));
        }
        return all;
    }

    TomlFile& file_;
    const std::vector<Section>& sections_;
};

void TomlFile::read(const std::vector<Section>& sections) {
    Contents contents = read_whole(path_);
    if (!contents.fault.empty())
        return faults_.push_back({{}, path_ + ": cannot be read: " + contents.fault});
    if (contents.too_large) return faults_.push_back({{}, path_ + ": is over 1 MiB: no file of settings"});
    try {
        toml::table root = toml::parse(contents.text);
        readable_ = true;
        Reading reading(*this, sections);
        reading.locate("", root);
        reading.run(root);
    } catch (const toml::parse_error& error) {
        Place at = place(error.source());
        faults_.push_back({at, path_ + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) +
                                   ": syntax: " + quotable(error.description())});
    }
}

Place TomlFile::place_of(const std::string& key) const {
    for (std::string name = key; !name.empty();) {
        if (auto found = places_.find(name); found != places_.end()) return found->second;
        std::size_t cut = name.find_last_of(".[");
        name.resize(cut == std::string::npos ? 0 : cut);
    }
    return {1, 1};
}

std::string TomlFile::worded(const std::string& key, const std::string& what) const {
    Place at = place_of(key);
    return path_ + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + quotable(key) +
           ": " + what;
}

void TomlFile::wrong(const std::string& key, const std::string& what) {
    faults_.push_back({place_of(key), worded(key, what)});
}

std::vector<std::string> TomlFile::faults() const {
    std::vector<Fault> sorted = faults_;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const Fault& a, const Fault& b) { return a.at < b.at; });
    if (sorted.size() > Report::kFaultsMost) sorted.resize(Report::kFaultsMost);
    std::vector<std::string> lines;
    lines.reserve(sorted.size());
    for (Fault& fault : sorted) lines.push_back(std::move(fault.line));
    return lines;
}

}  // namespace ochrehub::config
