// The embedding example of README.md, compiled and run.
#include <gtest/gtest.h>

// [example]
#include <optional>
#include <variant>

#include "ochrehub/balancer.h"

namespace hub = ochrehub;

/// Feeds one request through a balancer and returns the server that it was sent to, if any.
std::optional<hub::ServerId> first_choice() {
    hub::ClassSettings get;
    get.aim = hub::Duration{200};
    get.give_up = hub::Duration{500};
    get.effect = hub::Effect::Free;

    hub::Settings settings;
    settings.classes = {get};
    settings.max_attempts = 3;

    hub::Balancer balancer(settings, /*seed=*/42);
    hub::Actions actions;
    hub::TimePoint now{hub::Duration{1000}};

    hub::ListUpdate list;
    hub::ListEntry server;
    server.server = 7;
    list.entries.push_back(server);
    balancer.handle(now, list, actions);

    hub::RequestArrived request;
    request.request = 1;
    request.give_up_at = now + hub::Duration{500};
    balancer.handle(now, request, actions);

    for (const hub::Action& action : actions)
        if (const auto* send = std::get_if<hub::Forward>(&action)) return send->server;
    return std::nullopt;
}
// [example]

TEST(Example, SendsToTheOnlyServer) {
    EXPECT_EQ(first_choice(), hub::ServerId{7});
}
