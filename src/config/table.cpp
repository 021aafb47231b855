#include "config/table.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <numeric>

namespace ochrehub::config {
namespace {

constexpr std::size_t kSizeMost = 1 << 20;  // a wrong path may name what never ends
constexpr std::size_t kQuoted = 200;
constexpr std::string_view kBlank = " \t";

std::string plain(double number) {
    std::array<char, 32> shown;
    std::snprintf(shown.data(), shown.size(), "%.15g", number);
    return shown.data();
}

std::size_t distance(std::string_view a, std::string_view b) {  // Levenshtein's
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            std::size_t swap = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({swap, diagonal + 1, row[j] + 1});
        }
    }
    return row.back();
}

}  // namespace

std::string_view trimmed(std::string_view text) {
    text.remove_prefix(std::min(text.size(), text.find_first_not_of(kBlank)));
    return text.substr(0, text.find_last_not_of(kBlank) + 1);
}

std::string_view without_unit(std::string_view value, std::string_view mark) {
    return trimmed(value.ends_with(mark) ? value.substr(0, value.size() - mark.size()) : value);
}

std::string fault_of_range(double least, double most, const Unit& unit) {
    std::string fault = "is not from " + plain(least) + " to " + plain(most);
    return unit.word.empty() ? fault : fault + " " + std::string(unit.word);
}

std::string fault_of_words(const std::vector<std::string_view>& words) {
    std::string fault = words.size() == 2 ? "is neither " : "is none of ";
    for (std::size_t i = 0; i < words.size(); ++i) {
        if (i > 0) fault += words.size() == 2 ? " nor " : i + 1 == words.size() ? " and " : ", ";
        fault += words[i];
    }
    return fault;
}

Filling::Filling(const Section& section) : slots_(section.fill()), given_(slots_.size()) {
    for (const Slot& slot : slots_)
        if (!slot.fallback.empty()) slot.take(slot.fallback);
}

const Slot* Filling::find(std::string_view name) const {
    auto found = std::find_if(slots_.begin(), slots_.end(), [&](const Slot& s) { return s.name == name; });
    return found == slots_.end() ? nullptr : &*found;
}

std::string Filling::take(const Slot& slot, std::string_view value, Place at) {
    std::string fault = slot.take(value);
    given_[index(slot)].push_back({at, std::string(value), fault.empty()});
    return fault;
}

void Filling::settle(std::optional<Place> headed) {
    const Slot* on = find("on");
    if (!on || !given(*on).empty()) return;
    std::optional<Place> first = headed;
    for (const auto& of_one : given_)
        if (!of_one.empty() && (!first || of_one.front().at < *first)) first = of_one.front().at;
    if (first) take(*on, "on", *first);
}

std::vector<Filling::Need> Filling::unmet() const {
    std::vector<Need> found;
    for (const Slot& slot : slots_) {
        if (!slot.needs || given(slot).empty()) continue;
        const Given& first = given(slot).front();
        for (std::string_view needed : slot.needs(first.value))
            if (const Slot* other = find(needed); other && given(*other).empty())
                found.push_back({first.at, slot.name, first.value, needed});
    }
    return found;
}

std::vector<Filling::InForce> Filling::in_force() const {
    std::vector<InForce> all;
    const Slot* on = find("on");
    bool is_off = on && std::none_of(given(*on).begin(), given(*on).end(),
                                     [](const Given& one) { return one.sound && one.value == "on"; });
    for (const Slot& slot : slots_) {
        bool sound = false;
        for (const Given& one : given(slot)) {
            if (!one.sound) continue;
            sound = true;
            all.push_back({&slot, one.value, one.at});
        }
        if (!sound && slot.kind != Kind::Texts)
            all.push_back(
                {&slot, slot.part_of_feature && is_off ? "off" : std::string(slot.fallback), Place{}});
    }
    return all;
}

std::string_view nearest(std::string_view name, const std::vector<std::string_view>& known) {
    name = name.substr(0, kQuoted);
    return *std::min_element(known.begin(), known.end(), [&](std::string_view a, std::string_view b) {
        return distance(name, a) < distance(name, b);
    });
}

Contents read_whole(const std::string& path) {
    Contents contents;
    std::ifstream in(path, std::ios::binary);
    contents.text.resize(kSizeMost + 1);
    in.read(contents.text.data(), std::streamsize(contents.text.size()));
    contents.text.resize(std::size_t(in.gcount()));
    if (!in.is_open() || in.bad()) contents.fault = std::strerror(errno);
    contents.too_large = contents.text.size() > kSizeMost;
    return contents;
}

bool is_control(unsigned char c) {
    return (c < 0x20 && c != '\t') || c == 0x7f;
}

std::string quotable(std::string_view text) {
    std::string quoted(text.substr(0, kQuoted));
    std::replace_if(quoted.begin(), quoted.end(), is_control, '?');
    return quoted;
}

}  // namespace ochrehub::config
