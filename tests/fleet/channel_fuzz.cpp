// BytesReceived by coverage into a channel (libFuzzer, Clang). Whatever comes: it holds no more than a frame,
// it ends once and last, pieces make no difference, and with keys nobody comes up who has none.
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
/// What a sends at the beginning, without keys, and a message.
std::string some() {
    Pair pair(set("a", {}), set("b", {}));
    pair.a.hand(Opened{});
    pair.b.hand(Opened{});
    std::string all = pair.a.leave();
    pair.b.hand(BytesReceived{all});
    pair.a.hand(BytesReceived{pair.b.leave()});
    all += pair.a.leave();
    pair.a.hand(SendMessage{MessageKind::Shard, "some"});
    return all + pair.a.leave();
}
void bounded(const Side& side) {
    must(side.channel.buffered_bytes() <= Channel::kMaxHelloBytes + kMessage + Channel::kFrameOverheadBytes);
    must(side.out.size() <= 2000 && side.ends <= 1 && side.end_last && side.put_first);
    must(!side.end || (side.channel.buffered_bytes() == 0 && side.channel.closed()));
    for (const DeliverMessage& one : side.got) must(one.body.size() <= kMessage);
}

}  // namespace

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned int) {
    if (size > 1) return LLVMFuzzerMutate(data, size, most);
    std::string sound = '\x07' + some();  // to begin with
    if (sound.size() > most) return LLVMFuzzerMutate(data, size, most);
    std::copy(sound.begin(), sound.end(), data);
    return sound.size();
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    if (size == 0) return 0;
    std::string octets(reinterpret_cast<const char*>(data + 1), size - 1);
    std::size_t piece = std::size_t(data[0]) + 1;
    Side whole(set("b", {})), torn(set("b", {})), keyed(set("b", {"a key that nobody guesses"}));
    for (Side* side : {&whole, &torn, &keyed}) side->hand(Opened{});
    whole.hand(BytesReceived{octets});
    keyed.hand(BytesReceived{octets});
    for (std::size_t at = 0; at < octets.size(); at += piece) {
        torn.hand(BytesReceived{std::string_view(octets).substr(at, piece)});
        bounded(torn);
    }
    bounded(whole);
    must(keyed.ups == 0 && keyed.got.empty());
    must(whole.end == torn.end && whole.out == torn.out && whole.got.size() == torn.got.size() &&
         whole.ups == torn.ups);
    must(whole.channel.buffered_bytes() == torn.channel.buffered_bytes());
    return 0;
}
