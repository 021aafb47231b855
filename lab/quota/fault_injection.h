// Carries out a fault on a virtual network, whoever's cores are on it: federations by leases, and by other
// ways.
#pragma once

#include "lab/quota/simulation.h"

namespace ochrehub::lab {

/// `Host`: group_of(process), lends(process), serves(process), crash(process, back), stop(process, length),
/// after(wait, what). Groups: 0 the federation's, then a site each.
template <class Message, class Host>
void inject_fault(const QuotaFault& f, const QuotaSimulationSettings& settings, Net<Message>& net,
                  Host& host) {
    using Kind = QuotaFault::Kind;
    std::size_t all = net.size(), p = f.which % all, site = 1 + f.which % settings.sites;
    auto each = [all](auto which, auto what) {
        for (std::size_t q = 0; q < all; ++q)
            if (which(q)) what(q);
    };
    auto others = [p](std::size_t q) { return q != p; };
    auto mended = [&net, &host, &settings](std::size_t a, std::size_t b) {
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
            host.after(f.length, [cut] { cut(false); });
            break;
        }
        case Kind::CutNode: {
            auto cut = [&net, all, p](bool on) {
                for (std::size_t q = 0; q < all; ++q)
                    if (q != p) net.cut(p, q, on), net.cut(q, p, on);
            };
            cut(true);
            host.after(f.length, [cut] { cut(false); });
            break;
        }
        case Kind::CutLink: {
            std::size_t q = std::size_t(f.much);
            net.cut(p, q), net.cut(q, p);
            host.after(f.length, [&net, p, q] { net.cut(p, q, false), net.cut(q, p, false); });
            break;
        }
        case Kind::Pause:
            host.stop(p, f.length);
            break;
        case Kind::Crash:
            host.crash(p, f.length);
            break;
        case Kind::AllNodes:
            each([&](std::size_t q) { return host.serves(q); },
                 [&](std::size_t q) { host.crash(q, f.length); });
            break;
        case Kind::LoseSite:
            each([&](std::size_t q) { return host.group_of(q) == site; },
                 [&](std::size_t q) { net.crash(q); });
            break;
        case Kind::Clock:
            net.clock(p, 0.99 + 0.02 * f.much);
            break;
        case Kind::Late:
            each(others, [&](std::size_t q) {
                net.delay(p, q, Duration{f.much}), net.delay(q, p, Duration{f.much});
            });
            host.after(f.length, [=] { each(others, [&](std::size_t q) { mended(p, q), mended(q, p); }); });
            break;
        case Kind::LateAnswers: {
            auto owners = [&host, p](std::size_t q) {
                return host.lends(q) && host.group_of(q) == host.group_of(p);
            };
            each(owners, [&](std::size_t q) { net.delay(q, p, Duration{f.much}); });
            host.after(f.length, [=] { each(owners, [&](std::size_t q) { mended(q, p); }); });
            break;
        }
        case Kind::Loss:
            net.loss(f.much);
            host.after(f.length, [&net, &settings] { net.loss(settings.loss); });
            break;
        case Kind::Doubled:
            net.doubled(f.much);
            host.after(f.length, [&net, &settings] { net.doubled(settings.doubled); });
            break;
        case Kind::Budgets:
            break;
    }
}

}  // namespace ochrehub::lab
