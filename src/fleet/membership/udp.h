// A member on a socket: octets in and out, and the core's wake-ups on a scheduler. It decides nothing.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>

#include "base/scheduler.h"
#include "fleet/membership/membership.h"

namespace ochrehub::membership {

/// Must outlive all that its io_context still runs for it: `close` it and let that come to its end. Datagrams
/// are read one a turn, and no more than kReadMost in a tenth of a second: a flood neither holds up the loop
/// nor takes the core from requests. A member hears 4 to 16 a second, whatever the tier's size. What the
/// kernel then drops was as good as lost.
class UdpMember {
public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    static constexpr Duration kSlice{100};
    static constexpr std::size_t kReadMost = 200;

    /// Binds to `listen` (IPv4; port 0: any that is free) and takes its place from there. Throws where it
    /// cannot. Where `settings.self` is given, that is its place: others reach it there, by whatever way.
    UdpMember(boost::asio::io_context& io, Scheduler& scheduler, const Endpoint& listen, Settings settings,
              Keys keys, std::uint64_t seed, std::uint32_t cluster = 0);

    void start() { hand(TimerFired{}); }
    void plan(const ActivePlan& plan) { hand(PlanChanged{plan}); }
    void says(bool stalled) { hand(StallReported{stalled}); }
    /// From the next datagram on.
    void use(Keys keys) { keys_ = std::move(keys); }
    /// StallReported goodbye; `over` is called once that is done.
    void leave(std::function<void()> over);
    void close();

    const Membership& core() const { return core_; }
    MemberAddress place() const { return place_; }
    std::uint64_t refused(DecodeError fault) const { return refused_[std::size_t(fault)]; }
    std::uint64_t unsent() const { return unsent_; }
    /// How often reading waited for the next tenth of a second.
    std::uint64_t held() const { return held_; }
    std::function<void(const MemberChanged&)> changed;
    std::function<void(const MemberRestarted&)> restarted;
    std::function<void(const SelfUpdate&)> of_itself;

private:
    static MemberAddress bound(boost::asio::ip::udp::socket& socket, const Endpoint& listen);
    static Settings placed(Settings settings, const MemberAddress& place);
    void read();
    void hand(const Event& event);
    void send(const SendDatagram& send);
    void wake_at(TimePoint at);

    Scheduler& scheduler_;
    boost::asio::ip::udp::socket socket_;
    MemberAddress place_;
    Keys keys_;
    std::uint32_t cluster_;
    Membership core_;
    std::array<char, kMaxDatagramBytes + 1> octets_{};  // one more, so that a longer one is seen as such
    Endpoint from_;
    TimerId timer_ = 0;
    std::function<void()> over_;
    std::array<std::uint64_t, kDecodeErrors> refused_{};
    std::uint64_t unsent_ = 0, held_ = 0;
    TimePoint slice_ends_{};
    std::size_t read_in_slice_ = 0;
    TimerId resume_ = 0;
    bool closed_ = false;
};

}  // namespace ochrehub::membership
