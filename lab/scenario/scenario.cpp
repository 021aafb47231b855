#include "lab/scenario/scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "lab/scenario/content.h"

namespace ochrehub::lab {

namespace fs = std::filesystem;

namespace {

[[noreturn]] void unreadable(const std::string& path, const std::string& why) {
    scenario::Problems problems(path);
    problems.add({}, "file", why);
    problems.raise();
}

/// Whole, up to somewhat more than a scenario may be long: a device or a pipe ends too.
std::string text_of(const std::string& path) {
    constexpr std::size_t kMost = (1 << 20) + 1;
    if (fs::is_directory(path)) unreadable(path, "cannot be read: it is a folder");
    errno = 0;
    std::ifstream file(path, std::ios::binary);
    if (!file) unreadable(path, fmt::format("cannot be read: {}", std::strerror(errno ? errno : EIO)));
    std::string text(kMost, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (file.bad()) unreadable(path, "cannot be read: I/O error");
    return text;
}

}  // namespace

const std::vector<scenario::Block>& Scenario::Content::all(std::string_view section) const {
    const auto found = blocks.find(section);
    if (found == blocks.end()) throw std::logic_error("no section " + std::string(section));
    return found->second;
}

Scenario Scenario::read(const std::string& path) {
    if (path.find_first_of("/.") != std::string::npos) return parse(text_of(path), path);
    const std::vector<std::string> names = shipped_names();
    if (std::find(names.begin(), names.end(), path) == names.end()) {
        const std::string near = scenario::nearest(path, names);
        unreadable(path, near.empty()
                             ? "no scenario of this name ships; a path has a slash or a dot"
                             : fmt::format("no scenario of this name ships; did you mean \"{}\"?", near));
    }
    const std::string file = fmt::format("{}/{}.toml", shipped_scenarios(), path);
    return parse(text_of(file), file);
}

Scenario Scenario::parse(const std::string& text, const std::string& name) {
    auto content = std::make_shared<Content>();
    content->file = name;
    content->name = fs::path(name).stem().string();
    scenario::Problems problems(name);
    scenario::read_text(text, *content, problems);
    scenario::check(*content, problems);
    if (problems.any()) problems.raise();
    const scenario::Value& summary = content->one("")["summary"];
    if (summary.given) content->summary = summary.name();
    Scenario scenario;
    scenario.content_ = std::move(content);
    return scenario;
}

const std::string& Scenario::name() const {
    return content_->name;
}
const std::string& Scenario::summary() const {
    return content_->summary;
}
const std::vector<Expectation>& Scenario::expectations() const {
    return content_->expectations;
}

Day Scenario::draw(std::uint64_t seed) const {
    Day day;
    day.scenario = content_->name;
    day.seed = seed;
    scenario::draw_fleet(*content_, seed, day);
    scenario::draw_arrivals(*content_, scenario::draw_faults(*content_, seed, day), seed, day);
    return day;
}

std::string shipped_scenarios() {
    std::error_code error;
    const fs::path program = fs::read_symlink("/proc/self/exe", error);
    if (!error) {
        const fs::path beside = program.parent_path() / "lab/scenarios";
        if (fs::is_directory(beside, error)) return beside.string();
    }
    return OCHREHUB_LAB_SCENARIOS;
}

std::vector<std::string> shipped_names() {
    std::vector<std::string> names;
    std::error_code error;
    for (const fs::directory_entry& each : fs::directory_iterator(shipped_scenarios(), error))
        if (each.path().extension() == ".toml") names.push_back(each.path().stem().string());
    std::sort(names.begin(), names.end());
    return names;
}

}  // namespace ochrehub::lab
