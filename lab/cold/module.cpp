#include "lab/cold/module.h"

#include "lab/cold/twins.h"

namespace ochrehub::lab {
namespace {

struct Shipped final : Module {
    Shipped(const Settings& settings, std::uint64_t seed) : balancer(settings, seed) {}
    void handle(TimePoint now, const Event& event, Actions& actions) override {
        balancer.handle(now, event, actions);
    }
    Balancer balancer;
};

}  // namespace

std::unique_ptr<Module> make_module(Twin twin, const Settings& settings, std::uint64_t seed) {
    switch (twin) {
        case Twin::NoBudget:
            return make_no_budget(settings, seed);
        case Twin::RetriesNotCounted:
            return make_retries_not_counted(settings, seed);
        case Twin::FirstSpanWhole:
            return make_first_span_whole(settings, seed);
        case Twin::ForgetsSends:
            return make_forgets_sends(settings, seed);
        case Twin::None:
            break;
    }
    return std::make_unique<Shipped>(settings, seed);
}

}  // namespace ochrehub::lab
