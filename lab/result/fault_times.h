// How long a fault of servers was without notice, and how long after its end all was as before. Both are read
// from counts in steps of 50 ms; docs/lab-results.md defines them.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/result/result.h"

namespace ochrehub::lab {

/// In ms of the day throughout.
class FaultTimes {
public:
    explicit FaultTimes(const Day& day);

    void mark(int fault, double now, bool began);
    void attempt(double now) {
        const std::size_t step = step_of(now);
        if (step >= attempts_.size()) attempts_.resize(step + 1);
        ++attempts_[step];
    }
    /// ... and it was on a server that a fault names.
    void hit(double now, ServerNo server);
    void asked(double began, double worth) { worth_at(began).asked += worth; }
    void got(double began, double worth) { worth_at(began).got += worth; }

    std::vector<FaultResult> results() const;

private:
    struct Watched {
        double began = 0, ended = 0;
        double until = 0;                 // the servers stay away at least to here, if they are noticed
        std::size_t first = 0, last = 0;  // steps whose attempts count
        std::vector<std::uint32_t> hits;  // from `first` on
    };
    static constexpr double kStep = 50;
    static std::size_t step_of(double ms) { return ms > 0 ? static_cast<std::size_t>(ms / kStep) : 0; }
    static std::size_t first_step_from(double ms);  ///< the first that begins at it or later
    Worth& worth_at(double ms) {
        const std::size_t step = step_of(ms);
        if (step >= worth_.size()) worth_.resize(step + 1);
        return worth_[step];
    }
    double detect_s(const Watched& fault) const;
    double return_s(const Watched& fault) const;

    const Day& day_;
    std::vector<Watched> faults_;
    std::vector<std::vector<int>> of_server_;  // faults that name it, by the end of their steps; past ones go
    std::vector<std::uint32_t> attempts_;      // by step, to all servers
    std::vector<Worth> worth_;                 // by step, of calls that began in it
};

}  // namespace ochrehub::lab
