// Many processes and servers of which some start cold, in virtual time: decision modules alone, no sockets,
// no wall clock. Counts what reaches each cold server, of all processes together. Same day, same result.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/cold/module.h"

namespace ochrehub::lab {

/// A class of requests: what one takes of a core, and how long it waits on others then, in ms.
struct ColdWork {
    double cpu = 20, wait = 0;
    double part = 1;  ///< of all requests
};

struct ColdDay {
    enum class Starts { One, SixInTen, ZoneLost, AfterOutage, AllLost };

    std::string name;
    int processes = 3, servers = 6;
    bool two_sizes = false;  ///< every second server is half as large
    double cores = 2;
    int slots = 0;  ///< told to nobody; 0: as many as keep the cores busy, and half as many more
    std::vector<ColdWork> work = {{5, 0, 0.5}, {20, 0, 0.3}, {60, 0, 0.2}};
    double aim = 0;      ///< ms; 0: four times what a request takes, and 400 at least
    double load = 0.8;   ///< of all servers' capacity
    bool uneven = true;  ///< one process in four has nine times what each of the others has
    enum class Probes { Drawn, None, Plain, Reports } probes = Probes::Drawn;  ///< Drawn: by the seed
    bool turns_away = false;       ///< what starts cold takes nothing: each send to it comes back
    double turned_away_after = 0;  ///< ms
    int zones = 1;                 ///< crossing is dear where there are several
    Starts starts = Starts::One;
    /// Part of the processes that end and begin again, remembering nothing, 1 to 3 s after the first cold
    /// start. In a loop: each second from then on. Spread: each at its own time.
    double restarting = 0;
    bool restart_loop = false, restart_spread = false;
    double list_late = 2000;  ///< ms, at most
    double price_probe = 0.03;
    double handshake = -1;  ///< what a new connection takes of a core, in ms; below 0: drawn
    // The settings' figures for cold servers; 0: drawn.
    double cold_from = 0, cold_time = 0, overload_factor = 0, tip_after = 0;

    // Saboteurs, which the count must find.
    bool each_alone = false;  ///< each process believes that it is the only one
    Twin twin =
        Twin::None;  ///< ForgetsSends: processes that restart know all that they did, but not what they sent
};

struct ColdOutcome {
    /// Sent in any window of tip_after, in requests of mean work, less the budget N of that window, by
    /// 2 * sqrt(N) + 2; the worst over all cold servers. Above 1 is too much.
    double worst = -1e9;
    double sent = 0, budget = 0;  ///< in that window
    double part = 0;              ///< sent / N, the mean over windows that lie inside cold times
    double used = 0;              ///< what cold servers did, as part of what they could
    double served = 0;            ///< answered in time, of all requests
    std::uint64_t events = 0;
};

ColdOutcome run(const ColdDay& day, std::uint64_t seed);

/// The conditions that are measured, for so many processes.
std::vector<ColdDay> cold_days(int processes);

}  // namespace ochrehub::lab
