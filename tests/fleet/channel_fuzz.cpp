// Fuzzes the bytes that a channel receives (libFuzzer, Clang). For any input: it buffers at most one frame,
// it closes at most once and last, splitting the bytes makes no difference, and a peer without a key never
// connects to a channel that has keys.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "fleet/channel_pair.h"

using namespace ochrehub::channel;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

namespace {

constexpr std::size_t kMessage = 200;

void must(bool holds) {
    if (!holds) std::abort();
}
Settings set(const std::string& name, std::vector<std::string> keys) {
    Settings settings = settings_of(name, std::move(keys));
    settings.max_message_bytes = kMessage;
    settings.max_queued_bytes = 2000;
    return settings;
}
/// The bytes of a handshake without keys and of one message.
std::string some() {
    ChannelPair pair(set("a", {}), set("b", {}));
    pair.a.handle(Opened{});
    pair.b.handle(Opened{});
    std::string all = pair.a.take_outgoing();
    pair.b.handle(BytesReceived{all});
    pair.a.handle(BytesReceived{pair.b.take_outgoing()});
    all += pair.a.take_outgoing();
    pair.a.handle(SendMessage{MessageKind::Shard, "some"});
    return all + pair.a.take_outgoing();
}
void bounded(const TestChannel& side) {
    must(side.channel.buffered_bytes() <= Channel::kMaxHelloBytes + kMessage + Channel::kFrameOverheadBytes);
    must(side.outgoing.size() <= 2000 && side.close_count <= 1 && side.close_was_last &&
         side.write_was_first);
    must(!side.close_error || (side.channel.buffered_bytes() == 0 && side.channel.closed()));
    for (const DeliverMessage& one : side.delivered) must(one.body.size() <= kMessage);
}

}  // namespace

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned int) {
    if (size > 1) return LLVMFuzzerMutate(data, size, most);
    std::string sound = '\x07' + some();  // the initial input
    if (sound.size() > most) return LLVMFuzzerMutate(data, size, most);
    std::copy(sound.begin(), sound.end(), data);
    return sound.size();
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    std::string bytes(reinterpret_cast<const char*>(data + 1), size - 1);
    std::size_t piece = std::size_t(data[0]) + 1;
    TestChannel whole(set("b", {})), torn(set("b", {})), keyed(set("b", {"a key that nobody guesses"}));
    for (TestChannel* side : {&whole, &torn, &keyed}) side->handle(Opened{});
    whole.handle(BytesReceived{bytes});
    keyed.handle(BytesReceived{bytes});
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        torn.handle(BytesReceived{std::string_view(bytes).substr(at, piece)});
        bounded(torn);
    }
    bounded(whole);
    must(keyed.connected_count == 0 && keyed.delivered.empty());
    must(whole.close_error == torn.close_error && whole.outgoing == torn.outgoing &&
         whole.delivered.size() == torn.delivered.size() && whole.connected_count == torn.connected_count);
    must(whole.channel.buffered_bytes() == torn.channel.buffered_bytes());
    return 0;
}
