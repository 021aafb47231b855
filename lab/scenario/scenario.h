// A scenario: TOML in, with ranges and draws; a Day out for each seed.
#pragma once

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "lab/model/day.h"

namespace ochrehub::lab {

/// what() is "file:line:column: key: what is wrong", a line for each fault.
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Scenario {
public:
    /// Reads and checks all of it. A name without a slash or a dot is one of those that ship. Throws
    /// ScenarioError.
    static Scenario read(const std::string& path);
    /// As read, from text; `name` stands for the file in faults.
    static Scenario parse(const std::string& text, const std::string& name);

    const std::string& name() const;
    const std::string& summary() const;
    const std::vector<Expectation>& expectations() const;
    /// Everything drawn. The same seed gives the same day on every machine.
    Day draw(std::uint64_t seed) const;

    struct Content;

private:
    std::shared_ptr<const Content> content_;
};

/// The folder of those that ship: lab/scenarios beside the program where that is there, else in the source
/// tree that it was built from.
std::string shipped_scenarios();
/// Their names, as Scenario::read takes them, in order.
std::vector<std::string> shipped_names();

/// What docs/lab-scenarios.md says of every key and every kind of fault, made from the tables that files are
/// read by.
std::string scenario_reference();

}  // namespace ochrehub::lab
