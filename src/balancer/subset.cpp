#include "ochrehub/subset.h"

#include <algorithm>

#include "ochrehub/hash.h"

namespace ochrehub {
namespace {

constexpr double kWorkMost = 1e6;  // some milliseconds, in which a gateway does nothing else

}  // namespace

// Rendezvous hashing with bounded loads: the gateways in turn take those they like best of what has room.
// Room is the even part, rounded down, until that is used up everywhere, and then one more.
Subset share_out(const std::vector<std::uint64_t>& keys, int gateways, int me, std::size_t width) {
    Subset out;
    std::size_t n = keys.size();
    width = std::min(width, n);
    if (width == 0 || me < 0 || me >= gateways || double(gateways) * double(width) * double(n) > kWorkMost)
        return out;
    std::size_t even = std::size_t(gateways) * width / n;
    std::size_t taken = 0;
    out.users.assign(n, 0);
    out.mine.assign(n, 0);
    std::vector<std::uint64_t> likes(n);
    std::vector<char> chosen(n);
    for (int gateway = 0; gateway < gateways; ++gateway) {
        std::uint64_t salt = mixed(std::uint64_t(gateway) + 1);
        for (std::size_t i = 0; i < n; ++i) likes[i] = mixed(keys[i] ^ salt);
        std::fill(chosen.begin(), chosen.end(), 0);
        for (std::size_t k = 0; k < width; ++k, ++taken) {
            int room = int(taken < even * n ? even : even + 1);
            std::size_t best = n;
            for (std::size_t i = 0; i < n; ++i) {
                if (chosen[i]) continue;
                // One with room before one without, of those without the least used, of equals the one liked
                // best.
                int over = best == n ? 0
                                     : std::max(out.users[i] - room + 1, 0) -
                                           std::max(out.users[best] - room + 1, 0);
                if (best == n || over < 0 || (over == 0 && likes[i] > likes[best])) best = i;
            }
            chosen[best] = 1;
            ++out.users[best];
            if (gateway == me) out.mine[best] = 1;
        }
    }
    return out;
}

const Subset& Shares::of(const std::vector<std::uint64_t>& keys, int gateways, int me, std::size_t width) {
    if (keys != keys_ || gateways != gateways_ || me != me_ || width != width_) {
        subset_ = share_out(keys, gateways, me, width);
        keys_ = keys;
        gateways_ = gateways;
        me_ = me;
        width_ = width;
    }
    return subset_;
}

}  // namespace ochrehub
