// One thread's share of an open-loop load: its own arrivals, its own connections, nothing shared with others
// while it runs, and no allocation for a request.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>

#include "lab/model/day.h"
#include "lab/play/address.h"
#include "lab/play/load.h"

namespace ochrehub::lab {

class OpenLoop {
public:
    struct Share {
        double rate = 1000;  ///< of this loop
        Duration length{1000}, patience{1000};
        int connections = 64;
        Duration give_up{0};  ///< as of LoadOptions
        double storm_rate = 0;
        Duration storm{0};
        std::uint64_t seed = 1;
    };
    OpenLoop(const Day& day, const Endpoint& to, const Share& share);
    ~OpenLoop();

    void start();
    /// Waits for its end and adds what it counted.
    void finish(LoadResult& result);
    std::uint64_t answered() const;

private:
    class State;
    std::unique_ptr<State> state_;
};

}  // namespace ochrehub::lab
