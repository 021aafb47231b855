// Load on anything that speaks the protocol, in open loop: what is due goes out or waits its turn, whatever
// the answers before it do, and its latency counts from when it was due.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/result/result.h"

namespace ochrehub::lab {

struct LoadOptions {
    double rate = 0;     ///< requests a second, in all. 0: the day's own arrivals by the day's clients, with
                         ///< their retries, impatience and noise
    Duration length{0};  ///< 0: the day's
    int loops = 2;       ///< threads, each with its own arrivals and connections; only with a rate
    int connections = 128;  ///< of each loop at most; only with a rate
    std::uint64_t seed = 1;
    Duration give_up{0};    ///< with a rate: a client says that it waits so long, and closes its connection
                            ///< then; 0: it says what its class gives and waits for good
    double storm_rate = 0;  ///< the first `storm` goes at this rate instead
    Duration storm{0};
    std::function<void(const std::string&)> progress;  ///< a line a second
};

struct LoadResult {
    double asked_rate = 0, rate = 0;  ///< requests a second: due, and answered
    double length_s = 0, cpu_s = 0;   ///< CPU time of the generator alone
    std::uint64_t due = 0, sent = 0, served = 0, refused = 0, failed = 0;
    std::uint64_t lost = 0;         ///< connections that broke under a request
    std::uint64_t unanswered = 0;   ///< at the end; each counts below with the time it had waited
    std::uint64_t connections = 0;  ///< opened
    std::uint64_t left = 0;  ///< by impatient clients, those never sent for want of a connection included
    Latencies latency;       ///< from when a request was due; those never answered too
    Latencies from_send;     ///< from its first byte, as a closed loop would count; answered ones alone
    /// Where clients give up: what became of those that were due in each kSlice.
    struct Slice {
        std::uint64_t due = 0, served = 0;
        Latencies latency;  ///< of those served
    };
    static constexpr Duration kSlice{250};
    std::vector<Slice> slices;
};

/// `address`: "127.b.c.d:port". Throws AddressError for any other, std::invalid_argument for options that
/// make no sense. Ends by itself: the length, the longest give-up time and a second.
LoadResult load(const Day& day, const std::string& address, const LoadOptions& options);

/// In lines, for people.
std::string summary(const LoadResult& result);

}  // namespace ochrehub::lab
