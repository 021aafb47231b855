// Decisions of the channel's core: two ends that send each other random messages over links that split,
// delay, corrupt or stop the bytes, with and without keys.
#include "fleet/channel/channel.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <utility>

#include "lab/equivalence/runner.h"
#include "lab/record/decision_recorder.h"

using namespace ochrehub;

namespace {

constexpr int kSteps = 400;

/// One end of the connection, and what it has written that has not arrived yet.
struct End {
    channel::Channel channel;
    std::string outgoing;
    TimePoint timer = TimePoint::max();
    bool ended = false;

    explicit End(const channel::Settings& settings) : channel(settings) {}

    void handle(TimePoint now, const channel::Event& event) {
        channel::Actions actions;
        channel.handle(now, event, actions);
        lab::record_decision("channel", now, event, actions);
        for (const channel::Action& action : actions) {
            if (const auto* write = std::get_if<channel::WriteBytes>(&action)) outgoing += write->bytes;
            if (const auto* timer_set = std::get_if<channel::SetTimer>(&action)) timer = timer_set->at;
            if (std::holds_alternative<channel::CloseConnection>(action)) ended = true;
        }
    }
};

channel::Settings settings_of(char name, bool has_keys) {
    channel::Settings settings;
    settings.self.name = std::string(1, name);
    settings.self.zone = "z1";
    settings.self.instance = std::uint64_t(name);
    settings.cluster = 7;
    if (has_keys) settings.keys = {std::string(32, 'k')};
    settings.nonce = std::string(channel::kNonceBytes, name);
    settings.max_queued_bytes = 1 << 14;
    settings.max_message_bytes = 1 << 12;
    return settings;
}

void exchange(std::uint64_t seed, bool has_keys, bool corrupts) {
    std::mt19937_64 random(seed);
    End ends[2]{End(settings_of('a', has_keys)), End(settings_of('b', has_keys))};
    TimePoint now{Duration{1000}};
    for (End& end : ends) end.handle(now, channel::Opened{});
    for (int step = 0; step < kSteps; ++step) {
        now += Duration{double(random() % 200)};
        for (std::size_t i = 0; i < 2; ++i) {
            End& end = ends[i];
            End& peer = ends[1 - i];
            if (end.timer <= now) {
                end.timer = TimePoint::max();
                end.handle(now, channel::TimerFired{});
            }
            if (random() % 3 == 0) {
                const auto kind = channel::MessageKind(1 + random() % 7);
                end.handle(now,
                           channel::SendMessage{kind, std::string(random() % 6000, char('a' + step % 26))});
            }
            // A link that stands still now and then: what is written stays there.
            if (end.outgoing.empty() || random() % 8 == 0) continue;
            const std::size_t size = 1 + random() % end.outgoing.size();
            std::string bytes = end.outgoing.substr(0, size);
            end.outgoing.erase(0, size);
            if (corrupts && random() % 100 == 0) bytes[random() % size] ^= 1;
            end.handle(now, channel::BytesWritten{size});
            peer.handle(now, channel::BytesReceived{bytes});
        }
        if (ends[0].ended && ends[1].ended) break;
    }
    for (End& end : ends) end.handle(now, channel::Closed{});
}

}  // namespace

int main(int count, char** words) {
    auto scenario = [](bool has_keys, bool corrupts) {
        return [has_keys, corrupts](std::uint64_t seed) { exchange(seed, has_keys, corrupts); };
    };
    return lab::equivalence::run(count, words,
                                 {{"channel_plain", scenario(false, false)},
                                  {"channel_keys", scenario(true, false)},
                                  {"channel_corrupted", scenario(true, true)}});
}
