#include "lab/result/recovery.h"

#include <algorithm>
#include <cmath>

namespace ochrehub::lab {
namespace {

constexpr std::size_t kBefore = 100;  // 5 s
constexpr std::size_t kWindow = 40;   // 2 s
constexpr double kPart = 0.95;
constexpr std::size_t kPeakStep = 2;      // 100 ms
constexpr std::size_t kPeakAround = 20;   // 1 s
constexpr std::size_t kPeakWithin = 200;  // 10 s
constexpr double kFewest = 200;           // a second with fewer is noise

}  // namespace

Recovery::Recovery(const Day& day) : day_(day) {
    for (const Fault& fault : day.faults) {
        began_.push_back(fault.at.count());
        ended_.push_back(fault.end().count());
    }
    for (const ServerFigures& server : day.servers)
        started_ = std::max(started_, std::min(server.exists_from, day.length).count());
}

void Recovery::mark(int fault, double now, bool began) {
    const auto index = static_cast<std::size_t>(fault);
    if (began && ended_[index] <= began_[index]) ended_[index] = now;
    (began ? began_ : ended_)[index] = now;
}

Recovery::Step Recovery::sum(std::size_t from, std::size_t to) const {
    Step sum;
    for (std::size_t i = from; i < std::min(to, steps_.size()); ++i) {
        sum.worth.asked += steps_[i].worth.asked;
        sum.worth.got += steps_[i].worth.got;
        sum.calls += steps_[i].calls;
        sum.tries += steps_[i].tries;
        sum.refused += steps_[i].refused;
        sum.advised += steps_[i].advised;
    }
    return sum;
}

// The greatest count of kPeakStep steps over the mean of the kPeakAround around them, which alone tells a
// crowd from a rate that rises and falls with the trouble; 0 where no such stretch holds enough to tell.
double Recovery::peak(std::size_t from, std::size_t to, std::uint32_t Step::*count) const {
    to = std::min(to, steps_.size());
    double most = 0;
    for (std::size_t i = from; i + kPeakAround <= to; ++i) {
        double around = 0, here = 0;
        for (std::size_t k = i; k < i + kPeakAround; ++k) around += steps_[k].*count;
        if (around < kFewest) continue;
        const std::size_t middle = i + (kPeakAround - kPeakStep) / 2;
        for (std::size_t k = middle; k < middle + kPeakStep; ++k) here += steps_[k].*count;
        most = std::max(most, here * kPeakAround / kPeakStep / around);
    }
    return most;
}

RecoveryResult Recovery::result() const {
    RecoveryResult result;
    if (began_.empty()) return result;
    const double began = *std::min_element(began_.begin(), began_.end()),
                 ended = std::max(started_, *std::max_element(ended_.begin(), ended_.end()));
    const auto step = [](double ms) { return static_cast<std::size_t>(std::ceil(ms / kStep)); };
    const std::size_t day = static_cast<std::size_t>(day_.length.count() / kStep), first = step(began),
                      over = step(ended);
    const auto share = [&](std::size_t from, std::size_t to) { return sum(from, to).worth.share(); };
    result.began_s = began / 1000;
    result.ended_s = ended / 1000;
    result.before = share(first - std::min(first, kBefore), first);
    result.during = share(first, over);
    result.after = share(over, day);
    const double wanted = kPart * result.before;
    std::size_t back = day;
    for (std::size_t i = over; result.before > 0 && i + kWindow <= day; ++i)
        if (share(i, i + kWindow) >= wanted && share(i, day) >= wanted) {
            result.recovered_s = std::max(0.0, static_cast<double>(i) * kStep - ended) / 1000;
            back = i;
            break;
        }
    const Step troubled = sum(first, std::max(over, std::clamp(back, first + kWindow, over + kPeakWithin))),
               rest = sum(over, day);
    if (troubled.calls > 0) result.tries_per_call = double(troubled.tries) / troubled.calls;
    if (rest.calls > 0) result.refused_after = double(rest.refused) / rest.calls;
    result.return_peak = peak(first, over + kPeakWithin, &Step::advised);
    result.arrival_peak = peak(over, std::clamp(back, over + kWindow, over + kPeakWithin), &Step::tries);
    return result;
}

}  // namespace ochrehub::lab
