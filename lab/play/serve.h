// The stand-in servers and discovery of a day alone, for whatever node is put before them.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "lab/model/day.h"

namespace ochrehub::lab {

struct ServeOptions {
    double seconds = 0;     ///< 0: the day's length
    std::string directory;  ///< where the nodes' configurations go; empty: a folder that goes at the end
    int plain_threads = 0;  ///< more than 0: no model, one server that answers at once, on so many threads
    const std::atomic<bool>* stop = nullptr;        ///< ends it early
    std::function<void(const std::string&)> print;  ///< what it has to say, a line or several
};

/// Prints where servers and discovery are, the path of a GW_CONFIG for each node, and a TOML file of ten
/// lines that does without discovery. Plays the day's faults of servers and discovery. Ends by itself.
void serve(const Day& day, const ServeOptions& options);

/// The TOML file: listens at `listen`, goes to these servers ("a.b.c.d:port").
std::string toml_sample(const Day& day, const std::string& listen, const std::vector<std::string>& servers);

}  // namespace ochrehub::lab
