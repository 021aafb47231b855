#include "config/line_file.h"

#include <algorithm>
#include <utility>

namespace ochrehub::config {
namespace {

constexpr std::string_view kBlank = " \t";

/// Up to a comment: a `#` at the start or behind a blank, outside of quotes.
std::string_view without_comment(std::string_view line) {
    bool quoted = false;
    for (std::size_t i = 0; i < line.size(); ++i) {
        if (line[i] == '\\' && quoted) {
            ++i;
        } else if (line[i] == '"') {
            quoted = !quoted;
        } else if (line[i] == '#' && !quoted && (i == 0 || kBlank.find(line[i - 1]) != kBlank.npos)) {
            return line.substr(0, i);
        }
    }
    return line;
}

/// A fault is one line of a log, whatever the file holds.
std::string fault_of(int number, std::string_view line, std::string what) {
    std::replace_if(what.begin(), what.end(), is_control, '?');
    return "line " + std::to_string(number) + ": \"" + quotable(line) + "\" " + what;
}

std::string name_of(const Section& section, const Described& setting) {
    if (!setting.line_name.empty()) return std::string(setting.line_name);
    std::string name(section.name());
    return setting.name == "on" ? name : name.append("_").append(setting.name);
}

class Reader {
public:
    explicit Reader(const std::vector<Section>& sections) {
        for (const Section& section : sections) {
            fillings_.emplace_back(section);
            for (const Described& setting : section.settings())
                settings_.push_back({name_of(section, setting), fillings_.size() - 1, setting.name});
        }
    }

    void line(int number, std::string_view text) {
        text = trimmed(without_comment(text));
        if (text.empty()) return;
        auto wrong = [&](const std::string& what) { file_.faults.push_back(fault_of(number, text, what)); };
        if (std::any_of(text.begin(), text.end(), is_control)) return wrong("holds a control byte");
        std::string_view name = text.substr(0, text.find_first_of(kBlank));
        std::string_view value = trimmed(text.substr(name.size()));
        const Known* known = find(name);
        if (!known) return wrong("is no known setting; the nearest is " + std::string(nearest_to(name)));
        if (value.empty()) return wrong("has no value");
        Filling& filling = fillings_[known->filling];
        const Slot& slot = *filling.find(known->setting);
        const std::vector<Filling::Given>& given = filling.given(slot);
        if (!given.empty() && slot.kind != Kind::Texts)
            return wrong("is given a second time: line " + std::to_string(given.front().at.line) + " has \"" +
                         std::string(name) + " " + given.front().value + "\"");
        if (std::string fault = filling.take(slot, value, {number, 1}); !fault.empty()) wrong(fault);
    }

    LineFile finish() {
        std::size_t at = 0;  // of the filling's own in settings_
        for (Filling& filling : fillings_) {
            filling.settle();
            auto name = [&, first = at](std::string_view setting) -> const std::string& {
                return std::find_if(settings_.begin() + std::ptrdiff_t(first), settings_.end(),
                                    [&](const Known& known) { return known.setting == setting; })
                    ->name;
            };
            for (const Filling::Need& need : filling.unmet())
                file_.faults.push_back(fault_of(need.at.line, name(need.setting) + " " + need.value,
                                                "needs " + name(need.needed)));
            for (Filling::InForce& one : filling.in_force())
                file_.values.push_back({name(one.setting->name), std::move(one.value), one.at.line});
            at += filling.slots().size();
        }
        return std::move(file_);
    }

    void fault(std::string text) { file_.faults.push_back(std::move(text)); }

private:
    struct Known {
        std::string name;
        std::size_t filling;
        std::string_view setting;
    };

    const Known* find(std::string_view name) const {
        auto found = std::find_if(settings_.begin(), settings_.end(),
                                  [&](const Known& known) { return known.name == name; });
        return found == settings_.end() ? nullptr : &*found;
    }
    std::string_view nearest_to(std::string_view name) const {
        std::vector<std::string_view> names;
        for (const Known& known : settings_) names.push_back(known.name);
        return nearest(name, names);
    }

    LineFile file_;
    std::vector<Filling> fillings_;
    std::vector<Known> settings_;
};

}  // namespace

int LineFile::line_of(std::string_view name) const {
    auto found = std::find_if(values.begin(), values.end(), [&](const Value& v) { return v.name == name; });
    return found == values.end() ? 0 : found->line;
}

LineFile read_line_file(const std::string& path, const std::vector<Section>& sections) {
    Reader reader(sections);
    Contents contents = read_whole(path);
    if (!contents.fault.empty()) {
        reader.fault("cannot read " + path + ": " + contents.fault);
    } else if (contents.too_large) {
        reader.fault(path + " is over 1 MiB: no file of settings");
    } else {
        int number = 0;
        for (std::string_view rest = contents.text; !rest.empty();) {
            std::string_view line = rest.substr(0, rest.find('\n'));
            rest.remove_prefix(std::min(rest.size(), line.size() + 1));
            if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
            reader.line(++number, line);
        }
    }
    return reader.finish();
}

void take_defaults(const std::vector<Section>& sections) {
    for (const Section& section : sections) Filling{section};
}

}  // namespace ochrehub::config
