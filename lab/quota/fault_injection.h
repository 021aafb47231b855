// Injects a fault into a virtual network, for the simulation of leases as well as for those of the baselines.
#pragma once

#include "lab/quota/simulation.h"

namespace ochrehub::lab {

/// `Host` provides group_of(process), is_allocator(process), is_node(process), crash(process, restart_after),
/// stop(process, length) and after(wait, action). Group 0 is the federation's; each further group is a site.
template <class Message, class Host>
void inject_fault(const QuotaFault& f, const QuotaSimulationSettings& settings, Net<Message>& net,
                  Host& host) {
    using Kind = QuotaFault::Kind;
    std::size_t all = net.size(), p = f.target % all, site = 1 + f.target % settings.sites;
    auto for_each_process = [all](auto matches, auto action) {
        for (std::size_t q = 0; q < all; ++q)
            if (matches(q)) action(q);
    };
    auto others = [p](std::size_t q) { return q != p; };
    auto restore_delay = [&net, &host, &settings](std::size_t a, std::size_t b) {
        net.delay(a, b, host.group_of(a) == host.group_of(b) ? Duration{0} : settings.site_delay);
    };
    switch (f.kind) {
        case Kind::CutSite:
        case Kind::CutSiteOneWay: {
            auto cut = [&net, &host, all, site, both = f.kind == Kind::CutSite](bool on) {
                for (std::size_t q = 0; q < all; ++q)
                    for (std::size_t r = 0; r < all; ++r) {
                        if (host.group_of(q) != site || host.group_of(r) == site) continue;
                        net.cut(q, r, on);
                        if (both) net.cut(r, q, on);
                    }
            };
            cut(true);
            host.after(f.duration, [cut] { cut(false); });
            break;
        }
        case Kind::CutNode: {
            auto cut = [&net, all, p](bool on) {
                for (std::size_t q = 0; q < all; ++q)
                    if (q != p) net.cut(p, q, on), net.cut(q, p, on);
            };
            cut(true);
            host.after(f.duration, [cut] { cut(false); });
            break;
        }
        case Kind::CutLink: {
            std::size_t q = std::size_t(f.magnitude);
            net.cut(p, q), net.cut(q, p);
            host.after(f.duration, [&net, p, q] { net.cut(p, q, false), net.cut(q, p, false); });
            break;
        }
        case Kind::Pause:
            host.stop(p, f.duration);
            break;
        case Kind::Crash:
            host.crash(p, f.duration);
            break;
        case Kind::CrashAllNodes:
            for_each_process([&](std::size_t q) { return host.is_node(q); },
                             [&](std::size_t q) { host.crash(q, f.duration); });
            break;
        case Kind::SiteLost:
            for_each_process([&](std::size_t q) { return host.group_of(q) == site; },
                             [&](std::size_t q) { net.crash(q); });
            break;
        case Kind::ClockRate:
            net.clock(p, 0.99 + 0.02 * f.magnitude);
            break;
        case Kind::ExtraDelay:
            for_each_process(others, [&](std::size_t q) {
                net.delay(p, q, Duration{f.magnitude}), net.delay(q, p, Duration{f.magnitude});
            });
            host.after(f.duration, [=] {
                for_each_process(others, [&](std::size_t q) { restore_delay(p, q), restore_delay(q, p); });
            });
            break;
        case Kind::DelayedResponses: {
            auto owners = [&host, p](std::size_t q) {
                return host.is_allocator(q) && host.group_of(q) == host.group_of(p);
            };
            for_each_process(owners, [&](std::size_t q) { net.delay(q, p, Duration{f.magnitude}); });
            host.after(f.duration,
                       [=] { for_each_process(owners, [&](std::size_t q) { restore_delay(q, p); }); });
            break;
        }
        case Kind::MessageLoss:
            net.loss(f.magnitude);
            host.after(f.duration, [&net, &settings] { net.loss(settings.loss); });
            break;
        case Kind::MessageDuplication:
            net.doubled(f.magnitude);
            host.after(f.duration, [&net, &settings] { net.doubled(settings.duplication); });
            break;
        case Kind::ChangeBudgets:
            break;
    }
}

}  // namespace ochrehub::lab
