// The decision module as shipped, and twins of it that are compiled from the same source with one sentence of
// the cold budget changed (lab/cold/CMakeLists.txt says which): saboteurs, and the module without the budget
// to compare with.
#pragma once

#include <cstdint>
#include <memory>

#include "ochrehub/balancer.h"

namespace ochrehub::lab {

enum class Twin {
    None,               ///< as shipped
    NoBudget,           ///< cold servers are bounded as warm ones are
    RetriesNotCounted,  ///< only a request's first send counts
    FirstSpanWhole,  ///< takes all of a first span at once: none is drawn, nothing left for a process before
                     ///< it
    ForgetsSends,    ///< forgets what it sent when told `HandoverPeerChanged`, as a successor that knows all
                     ///< else
};

class Module {
public:
    virtual ~Module() = default;
    virtual void handle(TimePoint now, const Event& event, Actions& actions) = 0;
};

std::unique_ptr<Module> make_module(Twin twin, const Settings& settings, std::uint64_t seed);

}  // namespace ochrehub::lab
