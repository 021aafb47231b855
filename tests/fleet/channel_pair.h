// Two channels of one connection, without sockets.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet/channel/channel.h"

namespace ochrehub::channel {

inline TimePoint time_ms(double ms) {
    return TimePoint{Duration{ms}};
}

/// One channel and the record of its actions.
struct TestChannel {
    explicit TestChannel(const Settings& settings) : channel(settings) {}

    void handle(const Event& event) {
        Actions actions;
        channel.handle(now, event, actions);
        for (std::size_t i = 0; i < actions.size(); ++i) {
            Action& action = actions[i];
            if (auto* put = std::get_if<WriteBytes>(&action)) {
                write_was_first = write_was_first && i == 0;
                outgoing += put->bytes;
            } else if (auto* message = std::get_if<DeliverMessage>(&action)) {
                delivered.push_back(std::move(*message));
            } else if (const auto* refusal = std::get_if<SendRejected>(&action)) {
                rejected.push_back(refusal->error);
            } else if (const auto* over = std::get_if<CloseConnection>(&action)) {
                close_count += 1, close_error = over->error;
                close_was_last = close_was_last && i + 1 == actions.size();
            } else if (const auto* later = std::get_if<SetTimer>(&action)) {
                timer_at = later->at;
            } else {
                ++connected_count;
            }
        }
    }
    /// Takes the unwritten bytes, as if the socket had accepted them.
    std::string take_outgoing() {
        std::string bytes = std::exchange(outgoing, {});
        if (!bytes.empty()) handle(BytesWritten{bytes.size()});
        return bytes;
    }

    Channel channel;
    TimePoint now = time_ms(0), timer_at{};
    std::string outgoing;
    std::vector<DeliverMessage> delivered;
    std::vector<Error> rejected;
    std::optional<Error> close_error;
    int connected_count = 0, close_count = 0;
    bool write_was_first = true, close_was_last = true;
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

struct ChannelPair {
    explicit ChannelPair(std::vector<std::string> keys = {})
        : ChannelPair(settings_of("a", keys), settings_of("b", keys)) {}
    ChannelPair(const Settings& one, const Settings& other) : a(one), b(other) {}

    void open() {
        a.handle(Opened{});
        b.handle(Opened{});
        exchange_all();
    }
    /// Until no bytes are in transit.
    void exchange_all() {
        while (!a.outgoing.empty() || !b.outgoing.empty()) {
            std::string forth = a.take_outgoing(), back = b.take_outgoing();
            if (!forth.empty()) b.handle(BytesReceived{forth});
            if (!back.empty()) a.handle(BytesReceived{back});
        }
    }
    void set_time(TimePoint now) { a.now = b.now = now; }

    TestChannel a, b;
};

}  // namespace ochrehub::channel
