// A package says in a table what its settings are called, what they may hold, what counts where they are not
// given, and what for; any file is read by such tables, and `check`, `--help` and the docs go by them.
#pragma once

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/address.h"
#include "config/pairs.h"

namespace ochrehub::config {

/// What a setting is in a file that tells kinds apart. Its value reaches the table as text in any case: a
/// Flag's as `on` or `off`, each of a Texts' by itself.
enum class Kind { Flag, Whole, Real, Text, Texts };

struct Described {
    std::string_view name = {};  ///< in its section; the switch of a feature is `on`
    Kind kind = Kind::Text;
    std::string_view fallback = {};  ///< as text; empty: there is none
    std::string_view help = {};      ///< one line: what it may be, and what for
    bool needed = false;
    std::string_view line_name =
        {};  ///< in a file of lines, where that is not its section's name and its own
    /// The settings of the same section that a value cannot do without.
    std::vector<std::string_view> (*needs)(std::string_view value) = nullptr;
    bool part_of_feature = false;  ///< shown as off, whatever its default, while its feature is
};

template <class T>
struct Setting : Described {
    /// Takes a value in. Returns what is wrong with it, worded to follow it, or nothing.
    std::function<std::string(T&, std::string_view)> take;
};
template <class T>
using Table = std::vector<Setting<T>>;

/// What a number counts. A text may name it behind the number, as in `10 s`.
struct Unit {
    std::string_view mark, word;
};
inline constexpr Unit kSeconds{"s", "seconds"}, kMilliseconds{"ms", "milliseconds"}, kBytes{"bytes", "bytes"};

std::string_view trimmed(std::string_view text);
std::string_view without_unit(std::string_view value, std::string_view mark);
std::string fault_of_range(double least, double most, const Unit& unit);
std::string fault_of_words(const std::vector<std::string_view>& words);

template <class T>
Setting<T> flag(Described described, bool T::*into) {
    described.kind = Kind::Flag;
    return {described, [into](T& t, std::string_view value) {
                t.*into = value == "on";
                return std::string(t.*into || value == "off" ? "" : "is neither on nor off");
            }};
}

template <class T>
Setting<T> text(Described described, std::string T::*into) {
    described.kind = Kind::Text;
    return {described, [into](T& t, std::string_view value) {
                t.*into = value;
                return std::string();
            }};
}

template <class T, class Word>
Setting<T> word(Described described, Word T::*into,
                std::initializer_list<std::pair<std::string_view, Word>> words) {
    described.kind = Kind::Text;
    std::vector<std::pair<std::string_view, Word>> known(words);
    return {described, [into, known](T& t, std::string_view value) {
                std::vector<std::string_view> all;
                for (const auto& [name, meaning] : known) {
                    if (name == value) {
                        t.*into = meaning;
                        return std::string();
                    }
                    all.push_back(name);
                }
                return fault_of_words(all);
            }};
}

/// A number from `least` to `most`, handed to `set` once it is sound.
template <class T, class Number, class Set>
Setting<T> number(Described described, Number least, Number most, Unit unit, Set set) {
    described.kind = std::is_integral_v<Number> ? Kind::Whole : Kind::Real;
    return {described, [=](T& t, std::string_view value) -> std::string {
                auto found = read_number<Number>(without_unit(value, unit.mark));
                if (!found && unit.word.empty())
                    return std::is_integral_v<Number> ? "is not a whole number in range" : "is not a number";
                if (!found) return "is not a number of " + std::string(unit.word);
                if (!(*found >= least && *found <= most))
                    return fault_of_range(double(least), double(most), unit);
                set(t, *found);
                return {};
            }};
}

template <class T, class Into, class Number>
Setting<T> number(Described described, Into T::*into, Number least, Number most, Unit unit = {}) {
    return number<T, Number>(described, least, most, unit,
                             [into](T& t, Number value) { t.*into = Into(value); });
}

/// Left as it is where nothing is given.
template <class T, class Endpoint>
Setting<T> address(Described described, Endpoint T::*into) {
    described.kind = Kind::Text;
    return {described, [into](T& t, std::string_view value) {
                auto found = parse_address(value);
                if (!found || found->port() == 0) return std::string("is not an address a.b.c.d:port");
                t.*into = Endpoint(found->address(), found->port());
                return std::string();
            }};
}

/// The table of a part, for whoever has it as a member.
template <class Whole, class Part>
void join(Table<Whole>& whole, const Table<Part>& part, Part Whole::*member) {
    for (const Setting<Part>& setting : part)
        whole.push_back({setting, [member, take = setting.take](Whole& w, std::string_view value) {
                             return take(w.*member, value);
                         }});
}

/// A setting whose value is bound for a certain place.
struct Slot : Described {
    std::function<std::string(std::string_view)> take;
};

/// A part of a file: the table's settings by a name of their own, once or, as a list, any number of times.
class Section {
public:
    /// An empty name: the settings that stand before all sections.
    template <class T>
    Section(std::string_view name, const Table<T>& table, T& into)
        : name_(name), described_(table.begin(), table.end()) {
        add_ = [table, &into] { return slots(table, into); };
    }
    template <class T>
    static Section list(std::string_view name, const Table<T>& table, std::vector<T>& into) {
        Section section(name, table);
        section.list_ = true;
        section.add_ = [table, &into] { return slots(table, into.emplace_back()); };
        return section;
    }

    std::string_view name() const { return name_; }
    bool is_list() const { return list_; }
    const std::vector<Described>& settings() const { return described_; }
    /// The slots of the section, or of a further element of the list.
    std::vector<Slot> fill() const { return add_(); }

private:
    template <class T>
    Section(std::string_view name, const Table<T>& table)
        : name_(name), described_(table.begin(), table.end()) {}
    template <class T>
    static std::vector<Slot> slots(const Table<T>& table, T& into) {
        std::vector<Slot> made;
        for (const Setting<T>& setting : table)
            made.push_back({setting, [take = setting.take, &into](std::string_view value) {
                                return take(into, value);
                            }});
        return made;
    }

    std::string_view name_;
    std::vector<Described> described_;
    bool list_ = false;
    std::function<std::vector<Slot>()> add_;
};

struct Place {
    int line = 0, column = 0;  ///< from 1 on; line zero: nowhere
    bool operator<(const Place& o) const { return line != o.line ? line < o.line : column < o.column; }
};

/// A section, or one element of a list, on its way from a file. All of it stands at its defaults first.
class Filling {
public:
    struct Given {
        Place at;
        std::string value;
        bool sound = true;
    };
    struct Need {
        Place at;
        std::string_view setting;
        std::string value;
        std::string_view needed;
    };
    struct InForce {
        const Described* setting;
        std::string value;  ///< empty: there is none
        Place at;           ///< nowhere: it is the default
    };

    explicit Filling(const Section& section);

    const Slot* find(std::string_view name) const;
    const std::vector<Slot>& slots() const { return slots_; }
    const std::vector<Given>& given(const Slot& slot) const { return given_[index(slot)]; }
    /// Takes a value for a slot. Returns what is wrong with it, worded to follow it, or nothing.
    std::string take(const Slot& slot, std::string_view value, Place at);
    /// Any setting of a feature turns it on, unless its switch says otherwise; the section itself does where
    /// `headed` says that it is there.
    void settle(std::optional<Place> headed = std::nullopt);
    std::vector<Need> unmet() const;
    /// In the table's order.
    std::vector<InForce> in_force() const;

private:
    std::size_t index(const Slot& slot) const { return std::size_t(&slot - slots_.data()); }

    std::vector<Slot> slots_;
    std::vector<std::vector<Given>> given_;
};

/// The name that `name` differs from least.
std::string_view nearest(std::string_view name, const std::vector<std::string_view>& known);

/// All of a file, or why there is none of it. Over 1 MiB it is no file of settings.
struct Contents {
    std::string text;
    std::string fault;  ///< worded to follow `cannot read`, or ...
    bool too_large = false;
};
Contents read_whole(const std::string& path);

bool is_control(unsigned char c);
/// For a line of a log: no control bytes, and not without end.
std::string quotable(std::string_view text);

}  // namespace ochrehub::config
