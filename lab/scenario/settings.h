// What a scenario may say: one table of settings a section. Reading, checking, defaults, hints at misspelt
// names and the reference in docs/lab-scenarios.md all go by these tables.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "lab/model/day.h"

namespace ochrehub::lab::scenario {

enum class Type {
    Number,  ///< or a range [lo, hi], drawn uniformly
    Whole,   ///< whole numbers; a range draws any of them, both ends included
    Window,  ///< [lo, hi], both of which count; a single number is both
    Switch,  ///< true, false, or [false, true], drawn
    Choice,  ///< one of `names`, or a list of which one is drawn
    Text,
    Name,     ///< letters, digits, - and _
    Names,    ///< a list of names
    Targets,  ///< that many, drawn; or a list of those meant
};

struct Setting {
    const char* name;
    Type type;
    double least, most;
    const char* unit;
    const char* fallback;  ///< as TOML; empty: none
    const char* help;
    const char* example;               ///< its value, as TOML
    std::vector<const char*> names{};  ///< Choice, Names: those there are; empty: any
};

struct Section {
    const char* name;  ///< empty: the top of the file
    bool list;         ///< [[name]], any number of times
    const char* help;
    std::vector<Setting> settings;
    std::size_t most = 1;  ///< entries of a list

    const Setting* find(std::string_view key) const;
};

const std::vector<Section>& sections();
const Section& section(std::string_view name);

/// What a kind of fault hits where the scenario names nothing.
enum class Hits { Nothing, SomeServers, AllServers, SomeNodes, AllNodes };

struct FaultRule {
    const char* name;
    FaultKind kind;
    Hits hits;
    std::vector<const char*> takes;  ///< keys beyond `kind`
    std::vector<const char*> needs;  ///< ... without which it is a fault
    const char* defaults;            ///< as TOML lines of a [[fault]]
    double size_least, size_most;    ///< where it takes a size
    const char* size;                ///< what size is; empty: it takes none
    bool random;                     ///< may stand in faults.random
    const char* help;

    bool may(std::string_view key) const;
};
const std::vector<FaultRule>& fault_rules();
const FaultRule* fault_rule(std::string_view name);

/// The deployment that a scenario changes: classes, tenants, kinds and zones, as TOML.
extern const char* const kDeployment;

/// The name among these that is nearest to `word`; empty where none is near.
std::string nearest(std::string_view word, const std::vector<std::string>& known);

/// A number as people write it.
std::string plain(double value);

inline constexpr double kMostArrivals = 20e6, kMostRate = 1e6, kLongest = 3600;
inline constexpr int kMostServers = 20000, kMostNodes = 2000;

}  // namespace ochrehub::lab::scenario
