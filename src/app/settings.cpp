#include <algorithm>
#include <cstdio>

#include "app/commands.h"
#include "app/toml_sections.h"
#include "config/toml_file.h"

namespace ochrehub::app {
namespace {

constexpr std::size_t kWidth = 100;

std::string heading(const config::Section& section) {
    if (section.name().empty()) return "(top)";
    bool list = section.is_list();
    return std::string(list ? "[[" : "[").append(section.name()).append(list ? "]]" : "]");
}

std::string default_of(const config::Described& setting) {
    if (setting.needed) return "(needed)";
    if (setting.kind == config::Kind::Texts) return "[]";
    if (setting.fallback.empty()) return setting.kind == config::Kind::Text ? "\"\"" : "none";
    return config::as_toml(setting, setting.fallback);
}

const char* kind_of(const config::Described& setting) {
    switch (setting.kind) {
        case config::Kind::Flag:
            return "true or false";
        case config::Kind::Whole:
            return "whole number";
        case config::Kind::Real:
            return "number";
        case config::Kind::Text:
            return "string";
        default:
            return "array of strings";
    }
}

}  // namespace

// In the form of the docs, which hold it word for word: a test compares.
int print_settings(const std::string& wanted) {
    Told told;
    bool found = false;
    for (const config::Section& section : toml_sections(told)) {
        if (!wanted.empty() && wanted != section.name()) continue;
        std::printf("%s### %s\n\n| setting | holds | default | meaning |\n| --- | --- | --- | --- |\n",
                    found ? "\n" : "", heading(section).c_str());
        found = true;
        for (const config::Described& s : section.settings()) {
            std::string fallback = s.needed             ? "needed"
                                   : s.fallback.empty() ? ""
                                                        : std::string("`").append(default_of(s)).append("`");
            std::printf("| `%.*s` | %s |%s%s | %.*s |\n", int(s.name.size()), s.name.data(), kind_of(s),
                        fallback.empty() ? "" : " ", fallback.c_str(), int(s.help.size()), s.help.data());
        }
    }
    if (found) return 0;
    std::fprintf(stderr, "no section is called %s\n", wanted.c_str());
    return 2;
}

std::string settings_in_short() {
    Told told;
    std::string all;
    for (const config::Section& section : toml_sections(told)) {
        std::string line = heading(section);
        for (const config::Described& s : section.settings()) {
            std::string word = std::string(s.name) + "=" + default_of(s);
            if (line.size() + 1 + word.size() > kWidth) {
                all += line + "\n";
                line = "   ";
            }
            line.append(" ").append(word);
        }
        // A short section goes behind the one before it: all of them fit a screen.
        std::size_t last = all.empty() ? 0 : all.rfind('\n', all.size() - 2) + 1;
        bool whole = line.rfind("[", 0) == 0;
        if (!all.empty() && whole && all.size() - 1 - last + 1 + line.size() <= kWidth) all.back() = ' ';
        all += line + "\n";
    }
    return all;
}

}  // namespace ochrehub::app
