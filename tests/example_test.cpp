// The embedding example of README.md, compiled and run.
#include <gtest/gtest.h>

// [example]
#include <optional>
#include <variant>

#include "ochrehub/balancer.h"

namespace hub = ochrehub;

/// Feeds one request through a balancer and returns the server that it was sent to, if any.
std::optional<hub::EndpointId> first_choice() {
    hub::ClassSettings get;
    get.latency_objective = hub::Duration{200};
    get.request_timeout = hub::Duration{500};
    get.idempotency = hub::Idempotency::Idempotent;

    hub::Settings settings;
    settings.classes = {get};
    settings.max_attempts = 3;

    hub::Balancer balancer(settings, /*seed=*/42);
    hub::Actions actions;
    hub::TimePoint now{hub::Duration{1000}};

    hub::EndpointUpdate list;
    hub::EndpointEntry server;
    server.endpoint = 7;
    list.entries.push_back(server);
    balancer.handle(now, list, actions);

    hub::RequestArrived request;
    request.request = 1;
    request.deadline = now + hub::Duration{500};
    balancer.handle(now, request, actions);

    for (const hub::Action& action : actions)
        if (const auto* send = std::get_if<hub::Forward>(&action)) return send->endpoint;
    return std::nullopt;
}
// [example]

TEST(Example, SendsToTheOnlyServer) {
    EXPECT_EQ(first_choice(), hub::EndpointId{7});
}
