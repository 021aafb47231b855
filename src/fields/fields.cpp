#include "fields/fields.h"

#include <algorithm>
#include <array>

namespace ochrehub {

bool hop_by_hop(std::string_view name) {
    static constexpr std::array<std::string_view, 12> kNames{
        "Connection", "Keep-Alive",  "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
        "TE",         "Trailer",     "Upgrade",          "Transfer-Encoding",  "Content-Length",
        "Expect",     "X-Expires-In"};
    return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view n) { return same_name(n, name); });
}

}  // namespace ochrehub
