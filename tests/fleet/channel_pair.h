// Two ends of a connection in one hand, without sockets.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/channel/channel.h"

namespace ochrehub::channel {

inline TimePoint at_ms(double ms) {
    return TimePoint{Duration{ms}};
}

/// One channel and what it wanted done.
struct Side {
    explicit Side(const Settings& settings) : channel(settings) {}

    void hand(const Event& event) {
        Actions actions;
        channel.handle(now, event, actions);
        for (std::size_t i = 0; i < actions.size(); ++i) {
            Action& action = actions[i];
            if (auto* put = std::get_if<WriteBytes>(&action)) {
                put_first = put_first && i == 0;
                out += put->bytes;
            } else if (auto* message = std::get_if<DeliverMessage>(&action)) {
                got.push_back(std::move(*message));
            } else if (const auto* refusal = std::get_if<SendRejected>(&action)) {
                refused.push_back(refusal->error);
            } else if (const auto* over = std::get_if<CloseConnection>(&action)) {
                ends += 1, end = over->error;
                end_last = end_last && i + 1 == actions.size();
            } else if (const auto* later = std::get_if<SetTimer>(&action)) {
                wake = later->at;
            } else {
                ++ups;
            }
        }
    }
    /// All that waits to be written, as if it left now.
    std::string leave() {
        std::string octets = std::exchange(out, {});
        if (!octets.empty()) hand(BytesWritten{octets.size()});
        return octets;
    }

    Channel channel;
    TimePoint now = at_ms(0), wake{};
    std::string out;
    std::vector<DeliverMessage> got;
    std::vector<Error> refused;
    std::optional<Error> end;
    int ups = 0, ends = 0;
    bool put_first = true, end_last = true;
};

inline Settings settings_of(const std::string& name, std::vector<std::string> keys) {
    Settings set;
    set.self.name = name;
    set.self.zone = "z1";
    set.self.instance = std::uint64_t(name[0]);
    set.cluster = 7;
    set.keys = std::move(keys);
    set.nonce = name + std::string(kNonceBytes - name.size(), 'n');
    return set;
}

struct Pair {
    explicit Pair(std::vector<std::string> keys = {})
        : Pair(settings_of("a", keys), settings_of("b", keys)) {}
    Pair(const Settings& one, const Settings& other) : a(one), b(other) {}

    void open() {
        a.hand(Opened{});
        b.hand(Opened{});
        flow();
    }
    /// Till nothing is on its way.
    void flow() {
        while (!a.out.empty() || !b.out.empty()) {
            std::string forth = a.leave(), back = b.leave();
            if (!forth.empty()) b.hand(BytesReceived{forth});
            if (!back.empty()) a.hand(BytesReceived{back});
        }
    }
    void go_to(TimePoint now) { a.now = b.now = now; }

    Side a, b;
};

}  // namespace ochrehub::channel
