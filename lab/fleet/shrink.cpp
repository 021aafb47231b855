#include "lab/fleet/shrink.h"

#include <algorithm>

namespace ochrehub::lab::fleet {

Shrunk shrink(Day day, const std::function<bool(const Day&)>& breaks, int most) {
    Shrunk out{std::move(day), 0};
    auto try_it = [&](Day smaller) {
        if (out.runs >= most) return false;
        ++out.runs;
        if (!breaks(smaller)) return false;
        out.day = std::move(smaller);
        return true;
    };
    // Pieces of half the list, of a quarter ... of one, until none can go (Zeller's delta debugging, without
    // complements).
    for (std::size_t piece = std::max<std::size_t>(1, out.day.faults.size() / 2); !out.day.faults.empty();) {
        bool fewer = false;
        for (std::size_t from = 0; from < out.day.faults.size();) {
            Day smaller = out.day;
            auto begin = smaller.faults.begin() + std::ptrdiff_t(from);
            smaller.faults.erase(begin,
                                 begin + std::ptrdiff_t(std::min(piece, smaller.faults.size() - from)));
            if (try_it(std::move(smaller)))
                fewer = true;
            else
                from += piece;
        }
        if (!fewer && piece == 1) break;
        if (!fewer) piece = std::max<std::size_t>(1, piece / 2);
    }
    for (std::size_t i = 0; i < out.day.faults.size(); ++i) {
        for (bool shorter = true; shorter && out.day.faults[i].for_s > 0.2;) {
            Day smaller = out.day;
            smaller.faults[i].for_s /= 2;
            shorter = try_it(std::move(smaller));
        }
        for (bool fewer = true;
             fewer && (out.day.faults[i].who.size() > 1 || out.day.faults[i].to.size() > 1);) {
            fewer = false;
            for (auto list : {&Fault::who, &Fault::to}) {
                if ((out.day.faults[i].*list).size() < 2) continue;
                Day smaller = out.day;
                auto& some = smaller.faults[i].*list;
                some.resize((some.size() + 1) / 2);
                fewer = try_it(std::move(smaller)) || fewer;
            }
        }
    }
    return out;
}

}  // namespace ochrehub::lab::fleet
