// A run and its verdict, in words, as JSON, and as a page.
#pragma once

#include <string>
#include <vector>

#include "lab/fleet/day.h"
#include "lab/fleet/judge.h"
#include "lab/fleet/watch.h"

namespace ochrehub::lab::fleet {

struct Outcome {
    Day day;
    std::string world;
    Verdict verdict;
    std::vector<Event> events;
};

/// Medians and worst of each figure over the runs, a line each, then each broken promise with its proof.
std::string summary(const std::vector<Outcome>& outcomes);
/// Its "kind" is "fleet", so that who reads results can tell.
std::string to_json(const std::vector<Outcome>& outcomes);
/// What a page needs of it. Throws std::runtime_error naming the file.
std::vector<Outcome> read_outcomes(const std::string& path);
bool is_outcomes(const std::string& path);
/// Members by time, what each shows of each, faults as bands. One file, no script.
std::string page(const std::vector<Outcome>& outcomes);
/// Writes it as index.html into the folder.
void write_page(const std::vector<Outcome>& outcomes, const std::string& folder);

}  // namespace ochrehub::lab::fleet
