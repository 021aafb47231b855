// Divides the descriptors a process may hold between clients and servers.
#pragma once

#include <sys/resource.h>

#include <algorithm>
#include <cstddef>

namespace ochrehub {

struct DescriptorBudget {
    std::size_t clients = 0;       ///< connections kept for clients
    std::size_t clients_over = 0;  ///< ... and how many more may come in to be told 503
    std::size_t asked = 0;         ///< ... of which have asked for something: clients hold a third at most
    std::size_t servers = 0;       ///< connections to servers, idle ones included

    /// Of `sockets` or the process's own limit, whichever is less; keeps some for all else. `reserved`: held
    /// by the second address. `twin`: another process of this node has as many.
    static DescriptorBudget of(std::size_t sockets, std::size_t reserved = 0, bool twin = false) {
        rlimit limit{};
        if (getrlimit(RLIMIT_NOFILE, &limit) == 0) sockets = std::min<std::size_t>(sockets, limit.rlim_cur);
        if (twin) sockets /= 2;
        return divide(sockets - std::min(reserved, sockets / 4));
    }
    static DescriptorBudget divide(std::size_t sockets) {
        // Standard streams 3, the event loop's own and its signals' 5, the listener, discovery 2 while it
        // moves, the audit's file, the figures' target, a file that a reload reads: 14, and some to spare.
        constexpr std::size_t kElse = 24;
        std::size_t rest = sockets > 2 * kElse ? sockets - kElse : sockets / 2;
        DescriptorBudget budget;
        budget.servers = rest * 2 / 5;
        budget.clients_over = rest / 10;
        budget.clients = rest - budget.servers - budget.clients_over;
        budget.asked = std::min(budget.clients, sockets * 7 / 25);  // under the third: a few are on their way
        return budget;
    }
};

}  // namespace ochrehub
