// What a day's troubles as a whole left behind once they were over: whether service came back, when, and what
// clients did meanwhile. docs/lab-results.md defines each figure.
#pragma once

#include <cstdint>
#include <vector>

#include "lab/result/result.h"

namespace ochrehub::lab {

/// In ms of the day throughout.
class Recovery {
public:
    explicit Recovery(const Day& day);

    void mark(int fault, double now, bool began);
    void asked(double began, double worth) {
        Step& step = at(began);
        step.worth.asked += worth;
        ++step.calls;
    }
    void got(double began, double worth) { at(began).worth.got += worth; }
    void tried(double now) { ++at(now).tries; }
    /// A call ended refused.
    void refused(double now) { ++at(now).refused; }
    /// A client was told to come back then.
    void advised(double until) { ++at(until).advised; }

    RecoveryResult result() const;

private:
    struct Step {
        Worth worth;
        std::uint32_t calls = 0, tries = 0, refused = 0, advised = 0;
    };
    static constexpr double kStep = 50;
    Step& at(double ms) {
        const auto step = ms > 0 ? static_cast<std::size_t>(ms / kStep) : 0;
        if (step >= steps_.size()) steps_.resize(step + 1);
        return steps_[step];
    }
    Step sum(std::size_t from, std::size_t to) const;
    double peak(std::size_t from, std::size_t to, std::uint32_t Step::*count) const;

    const Day& day_;
    std::vector<double> began_, ended_;  // of each fault
    double started_ = 0;                 // when the last server of the day's releases starts
    std::vector<Step> steps_;
};

}  // namespace ochrehub::lab
