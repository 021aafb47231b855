// The reference in docs/lab-scenarios.md, from the tables themselves.
#include <fmt/format.h>

#include "lab/scenario/content.h"

namespace ochrehub::lab {

namespace {

using namespace scenario;

std::string syntax(const Setting& setting) {
    switch (setting.type) {
        case Type::Number:
            return "<number> | [<lo>, <hi>]";
        case Type::Whole:
            return "<whole number> | [<lo>, <hi>]";
        case Type::Window:
            return "[<lo>, <hi>] | <number>";
        case Type::Switch:
            return "true | false | [false, true]";
        case Type::Text:
            return "\"<text>\"";
        case Type::Name:
            return "\"<name>\"";
        case Type::Names:
            return "[\"<name>\", ...]";
        case Type::Targets:
            return "<how many> | [<place>, ...]";
        case Type::Choice:
            break;
    }
    if (setting.names.size() > 4) return "\"<name>\"";
    std::string all;
    for (const char* name : setting.names) all += fmt::format("{}\"{}\"", all.empty() ? "" : " | ", name);
    return all + " | [<those to draw one of>]";
}

std::string place(const Section& section) {
    if (!*section.name) return "the top of the file";
    return fmt::format(fmt::runtime(section.list ? "`[[{}]]`" : "`[{}]`"), section.name);
}

std::string entry(const Section& section, const Setting& setting) {
    std::string text = fmt::format("#### {}\n\n    {} = {}\n\n{}\n", setting.name, setting.name,
                                   syntax(setting), setting.help);
    std::string facts = fmt::format("May stand in: {}.", place(section));
    if (*setting.unit) facts += fmt::format(" Unit: {}.", setting.unit);
    if (setting.most > 0 && setting.type != Type::Switch)
        facts += fmt::format(" From {} to {}.", plain(setting.least), plain(setting.most));
    if (*setting.fallback)
        facts += fmt::format(" Default: `{}`.", setting.fallback);
    else if (std::string_view(setting.help).find("efault") == std::string_view::npos)
        facts += " No default.";
    return text + facts + fmt::format("\n\n    {} = {}\n\n", setting.name, setting.example);
}

std::string joined(const std::vector<const char*>& words) {
    std::string all;
    for (const char* word : words) all += fmt::format("{}`{}`", all.empty() ? "" : " ", word);
    return all;
}

std::string kinds() {
    std::string text =
        "#### The kinds of faults\n\n| kind | what happens | takes | needs | size | otherwise |\n"
        "| --- | --- | --- | --- | --- | --- |\n";
    for (const FaultRule& rule : fault_rules()) {
        std::string otherwise = rule.defaults;
        for (std::size_t at = 0; (at = otherwise.find('\n', at)) != std::string::npos; at += 4)
            otherwise.replace(at, 1, "`, `");
        if (!otherwise.empty()) otherwise = fmt::format("`{}`", otherwise);
        const bool all = rule.hits == Hits::AllServers || rule.hits == Hits::AllNodes;
        if (all)
            otherwise += fmt::format("{}all {}", otherwise.empty() ? "" : ", ",
                                     rule.hits == Hits::AllServers ? "servers" : "nodes");
        text += fmt::format(
            "| `{}` | {} | {} | {} | {} | {} |\n", rule.name, rule.help, joined(rule.takes),
            joined(rule.needs),
            *rule.size ? fmt::format("{}, {} to {}", rule.size, plain(rule.size_least), plain(rule.size_most))
                       : "",
            otherwise);
    }
    return text + "\n";
}

}  // namespace

std::string scenario_reference() {
    std::string text;
    for (const Section& section : sections()) {
        text +=
            fmt::format("### {}\n\n{}{}\n\n", *section.name ? place(section) : "Top of the file",
                        section.help, section.list ? fmt::format(" At most {} of them.", section.most) : "");
        for (const Setting& setting : section.settings) text += entry(section, setting);
        if (std::string_view(section.name) == "fault") text += kinds();
    }
    return text +
           "### The built-in deployment\n\nWhat stands where a scenario names no class, tenant, kind or "
           "zone:\n"
           "\n```toml" +
           kDeployment + "```\n";
}

}  // namespace ochrehub::lab
