#include "lab/fleet/watch.h"

#include <cstdio>

#include "fleet/membership/view.h"

namespace ochrehub::lab::fleet {

const char* name(Seen seen) {
    constexpr const char* kNames[] = {"alive", "suspect", "dead", "left", "unknown"};
    return kNames[std::size_t(seen)];
}

void Picture::take(const Event& event) {
    using What = Event::What;
    const auto who = std::size_t(event.who);
    switch (event.what) {
        case What::Up:
            up[who] = true;
            stopped[who] = leaving[who] = false;
            said[who] = shares[who] = 0;
            for (Seen& one : seen[who]) one = Seen::Unknown;
            break;
        case What::Down:
        case What::Ended:
            up[who] = stopped[who] = leaving[who] = false;
            break;
        case What::Stopped:
            stopped[who] = true;
            break;
        case What::GoesOn:
            stopped[who] = false;
            break;
        case What::Leaves:
            leaving[who] = true;
            break;
        case What::Sees:
            seen[who][std::size_t(event.about)] = Seen(event.value);
            break;
        case What::Says:
            said[who] = event.value;
            break;
        case What::Shares:
            shares[who] = event.value;
            break;
        default:
            break;
    }
}

bool Picture::settled() const {
    for (std::size_t of = 0; of < size(); ++of) {
        if (leaving[of]) return false;
        if (!up[of]) continue;
        if (stopped[of] || said[of] != 0) return false;
        for (std::size_t about = 0; about < size(); ++about)
            if (about != of && (seen[of][about] <= Seen::Suspect) != up[about]) return false;
    }
    return true;
}

std::string Event::text() const {
    char line[160];
    const char* done[] = {"starts",     "is gone", "has ended by itself",
                          "is stopped", "goes on", "is told to leave"};
    if (what <= What::Leaves)
        std::snprintf(line, sizeof line, "%.2f s: %d %s", at_s, who, done[std::size_t(what)]);
    else if (what == What::FaultOn || what == What::FaultOff)
        std::snprintf(line, sizeof line, "%.2f s: fault %d %s", at_s, value,
                      what == What::FaultOn ? "begins" : "ends");
    else if (what == What::Sees)
        std::snprintf(line, sizeof line, "%.2f s: %d shows %d as %s", at_s, who, about, name(Seen(value)));
    else if (what == What::Claims)
        std::snprintf(line, sizeof line, "%.2f s: a datagram of %d says that %d is dead", at_s, who, about);
    else if (what == What::Says)
        std::snprintf(line, sizeof line, "%.2f s: %d says of itself: %s", at_s, who,
                      value == 0 ? "well" : membership::self_report_text(std::uint8_t(value)).c_str());
    else if (what == What::Shares)
        std::snprintf(line, sizeof line, "%.2f s: %d divides by %d", at_s, who, value);
    else if (what == What::Served || what == What::Unserved)
        std::snprintf(line, sizeof line, "%.2f s: %d requests to %d %s", at_s, value, who,
                      what == What::Served ? "served" : "not served");
    else
        std::snprintf(line, sizeof line, "%.2f s: %s", at_s, what == What::Begins ? "all know all" : "over");
    return line;
}

}  // namespace ochrehub::lab::fleet
