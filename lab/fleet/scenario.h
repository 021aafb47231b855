// Scenarios of fleets: TOML files, read by the tables that the program's own files are read by. A day of it
// is drawn from a seed.
#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/fleet/day.h"

namespace ochrehub::lab::fleet {

/// what() has a line for each fault of the file, `file:line:column: key: what`.
struct ScenarioError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

class Scenario {
public:
    /// A shipped one's name, or a file. Throws ScenarioError.
    static Scenario read(const std::string& name);
    /// The same seed gives the same day.
    Day draw(std::uint64_t seed) const;
    const std::string& summary() const { return run_.summary; }

private:
    struct Run {
        std::string summary;
        int members = 5, servers = 0, seeds = 3;
        double interval_ms = 500, isolated_ms = 5000, settle_s = 30, length_s = 60;
        std::string settings, may_die = "none";
    };
    struct Told {  // a fault as it stands in the file
        FaultKind kind = FaultKind::Cut;
        double at_s = 0, for_s = 0, part = 1, ms = 0, rate = 1, bytes_s = 1000, back_s = -1, every_s = 0,
               jitter_s = 0;
        int times = 1;
        std::string who = "any 1", to = "others", keys;
        bool both = false, empty = false;
    };
    struct Drawn {
        int faults = 0;
        double within_s = 30, longest_s = 5;
        std::vector<FaultKind> kinds;
    };
    friend struct Tables;

    std::string name_;
    Run run_;
    std::vector<Told> faults_;
    Drawn drawn_;
    Expect expect_;
};

/// The folder of the scenarios that ship, and those in it.
std::string shipped_folder();

}  // namespace ochrehub::lab::fleet
