// Octets by coverage into the decoder and, where they are a datagram, into a member (libFuzzer, Clang).
// Whatever comes: nothing is read beyond its end, what is read is written back the same, and the member stays
// within its bounds.
#include <cstdint>
#include <cstdlib>
#include <string>

#include "fleet/membership/membership.h"

using ochrehub::Duration, ochrehub::TimePoint;
namespace membership = ochrehub::membership;
using namespace ochrehub::membership;

extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t* data, std::size_t size, std::size_t most);

namespace {

constexpr std::size_t kTable = 32;

void must(bool holds) {
    if (!holds) std::abort();
}
TimePoint at(double ms) {
    return TimePoint{Duration{ms}};
}
Datagram some() {
    Datagram d;
    d.kind = DatagramKind::Ping;
    d.sequence = 1;
    d.from.address = {0x7f000002, 7000};
    d.instance = 7;
    for (char c : std::string("m1")) d.name.push_back(c);
    d.about = {0x7f000001, 7000};
    for (std::uint32_t i = 3; i < 6; ++i) {
        Update update;
        update.address = {0x7f000000 + i, 7000};
        update.state = MemberState(i - 2);
        d.updates.push_back(update);
    }
    return d;
}

void into_a_member(const Datagram& datagram) {
    membership::Settings set;
    set.self = {0x7f000001, 7000};
    set.max_members = kTable;
    Membership member(set, 1);
    membership::Actions actions;
    member.handle(at(0), membership::TimerFired{}, actions);
    for (int i = 0; i < 3; ++i) {
        actions.clear();
        member.handle(at(10 + i), DatagramReceived{datagram}, actions);
        must(actions.size() < 64);  // what one datagram can make a member send
    }
    for (int i = 0; i < 40; ++i) {
        actions.clear();
        member.handle(at(100 + 250 * i), membership::TimerFired{}, actions);
        for (const membership::Action& action : actions)
            if (const auto* send = std::get_if<SendDatagram>(&action))
                must(encode(send->datagram, Keys()).size() <= kMaxDatagramBytes);
    }
    must(member.size() <= kTable && member.live_count() <= member.size());
    must(member.incarnation() <= (1u << 31) + 64);  // one that was made up is not refuted
}

}  // namespace

extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t* data, std::size_t size, std::size_t most,
                                               unsigned int) {
    if (size > 1) return LLVMFuzzerMutate(data, size, most);
    std::string sound = encode(some(), Keys());  // to begin with
    if (sound.size() > most) return LLVMFuzzerMutate(data, size, most);
    std::copy(sound.begin(), sound.end(), data);
    return sound.size();
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    std::string octets(reinterpret_cast<const char*>(data), size);
    static const Keys key({"a key that nobody guesses"});
    Datagram datagram;
    must(decode(octets, key, datagram) != membership::DecodeError::None);
    if (decode(octets, Keys(), datagram) != membership::DecodeError::None) return 0;
    Datagram again;
    std::string written = encode(datagram, Keys());
    must(decode(written, Keys(), again) == membership::DecodeError::None && encode(again, Keys()) == written);
    must(again.updates.size() == datagram.updates.size() && again.from == datagram.from &&
         again.about == datagram.about);
    into_a_member(datagram);
    return 0;
}
