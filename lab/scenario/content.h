// A scenario as read: each section's values, checked, ranges not yet drawn.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lab/scenario/scenario.h"
#include "lab/scenario/settings.h"

namespace ochrehub::lab::scenario {

struct Where {
    int line = 1, column = 1;
};

struct Value {
    double lo = 0, hi = 0;           ///< numbers; switches as 0 and 1
    std::vector<std::string> names;  ///< Text, Name, Choice, Names
    std::vector<int> list;           ///< Targets that are named
    bool there = false;              ///< given or by default
    bool given = false;
    bool sound = true;     ///< not yet found faulty
    bool is_list = false;  ///< Targets: `list` counts, not `lo`
    Where at;

    const std::string& name() const { return names.front(); }
};

/// One section, or one entry of a list.
struct Block {
    const Section* section = nullptr;
    std::vector<Value> values;  ///< in the order of the section's settings
    Where at;
    std::string entry;  ///< its name in the list; of a fault, "hang#0"
    bool given = false;

    const Value& operator[](std::string_view key) const;
    Value& operator[](std::string_view key);
};

/// Collects what is wrong, to tell all of it at once.
class Problems {
public:
    explicit Problems(std::string file) : file_(std::move(file)) {}
    void add(Where at, std::string key, std::string what);
    bool any() const { return !found_.empty(); }
    [[noreturn]] void raise() const;

private:
    struct Problem {
        Where at;
        std::string key, what;
    };
    std::string file_;
    std::vector<Problem> found_;
};

/// Reads text against the tables; what no table can know is not checked yet.
void read_text(const std::string& text, Scenario::Content& content, Problems& problems);
/// What one setting demands of another.
void check(const Scenario::Content& content, Problems& problems);
/// The values that a fault of this kind has where the scenario says nothing.
const Block& defaults_of(const FaultRule& rule);

void draw_fleet(const Scenario::Content& content, std::uint64_t seed, Day& day);
/// A surge and the entry that its draws go by.
struct Surge {
    Fault fault;
    std::string entry;
};
std::vector<Surge> draw_faults(const Scenario::Content& content, std::uint64_t seed, Day& day);
void draw_arrivals(const Scenario::Content& content, const std::vector<Surge>& surges, std::uint64_t seed,
                   Day& day);

}  // namespace ochrehub::lab::scenario

namespace ochrehub::lab {

struct Scenario::Content {
    std::string name, summary, file;
    std::map<std::string, std::vector<scenario::Block>, std::less<>> blocks;
    std::vector<Expectation> expectations;
    std::vector<scenario::Where> expected_at;  ///< of each expectation

    const std::vector<scenario::Block>& all(std::string_view section) const;
    const scenario::Block& one(std::string_view section) const { return all(section).front(); }
};

}  // namespace ochrehub::lab
