// How HTTP is spoken where the module has no say in it. As it stands: as the platform asks for.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "config/table.h"

namespace ochrehub::http {

/// Which requests a class takes. Of several that fit, the one with the longest path counts, then one that
/// lists the method, then the first.
struct Route {
    std::string path = "/";            ///< the path itself and all below it
    std::vector<std::string> methods;  ///< empty: any

    bool fits(std::string_view whole_path) const;
    bool lists(std::string_view method) const;
};

struct HttpProfile {
    bool makes_trace_ids = false;  ///< where a request has none; else it must have one that is not open here
    /// Which answers of servers are passed on as they are: a 200 alone, what is below 500, or any. One that
    /// is not is an error of the server's, for which another may be tried.
    enum class Pass { Only200, Below500, All };
    Pass pass = Pass::Only200;
    bool probes_by_status = false;  ///< below 500 is sound; else 200 alone
    std::string probe_path = "/healthz";
    /// From an answer's first byte on, how long nothing more of it may come; zero: no more than the request's
    /// own time. Guards against one that stops short of its length: its request could still be sent elsewhere
    /// in time.
    std::chrono::milliseconds answer_most{300};
    /// Servers are known to stand still for longer than that: the answer's length and its request's time
    /// count too, as response_timeouts.h says.
    bool answer_by_request = true;
    /// MB of a body; zero: any. Guards against answers whose length makes no sense: once one has begun to go
    /// out, no other server can be asked. The platform's reach 32.
    std::size_t body_mb = 40;
    std::uint64_t body_bytes() const { return std::uint64_t(body_mb) << 20; }
    std::chrono::milliseconds client_idle{2000};   ///< a client's connection without a request
    std::chrono::milliseconds request_most{2500};  ///< from connecting, or a later request's first byte
    std::vector<Route>
        routes;  ///< of each class; none: its name is the path's first part, GET or POST its method
    std::uint64_t trace_seed = 0;
};

config::Table<HttpProfile> settings();
config::Table<Route> route_settings();
/// Beside whether there are probes at all.
config::Table<HttpProfile> probe_settings();

}  // namespace ochrehub::http
