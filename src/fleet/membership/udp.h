// A member on a UDP socket: bytes in and out, and the core's timers on a scheduler. Decides nothing about
// members.
//
// Threads: all methods and callbacks on the thread that runs the io_context.
#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>

#include "base/scheduler.h"
#include "fleet/membership/membership.h"

namespace ochrehub::membership {

/// Must outlive all handlers that its io_context still runs: close() it and run the io_context until it is
/// idle. At most kMaxReads datagrams are read in kReadWindow, one per turn of the loop: a flood neither
/// blocks the loop nor takes processor time from requests. Members send 4 to 16 a second, whatever the size
/// of the cluster.
class UdpMember {
public:
    using Endpoint = boost::asio::ip::udp::endpoint;
    static constexpr Duration kReadWindow{100};
    static constexpr std::size_t kMaxReads = 200;

    /// Binds to `listen` (IPv4; port 0: any free port) and takes its address from there, unless
    /// `settings.self` is given: the address at which others reach it. Throws boost::system::system_error if
    /// it cannot.
    UdpMember(boost::asio::io_context& io, Scheduler& scheduler, const Endpoint& listen, Settings settings,
              Keys keys, std::uint64_t seed, std::uint32_t cluster = 0);

    void start() { handle(TimerFired{}); }
    void set_plan(const ActivePlan& plan) { handle(PlanChanged{plan}); }
    void set_stalled(bool stalled) { handle(StallReported{stalled}); }
    /// Takes effect with the next datagram.
    void set_keys(Keys keys) { keys_ = std::move(keys); }
    /// Announces the departure and closes; then calls `completed`.
    void leave(std::function<void()> completed);
    void close();

    const Membership& core() const { return core_; }
    MemberAddress address() const { return address_; }
    std::uint64_t rejected(DecodeError error) const { return rejected_[std::size_t(error)]; }
    std::uint64_t send_failures() const { return send_failures_; }
    /// How often reading waited for the next kReadWindow.
    std::uint64_t throttled_reads() const { return throttled_reads_; }
    std::function<void(const MemberChanged&)> on_changed;
    std::function<void(const MemberRestarted&)> on_restarted;
    std::function<void(const SelfUpdate&)> on_self_update;

private:
    static MemberAddress bind(boost::asio::ip::udp::socket& socket, const Endpoint& listen);
    static Settings with_address(Settings settings, const MemberAddress& address);
    void read();
    void handle(const Event& event);
    void send(const SendDatagram& send);
    void set_timer(TimePoint at);

    Scheduler& scheduler_;
    boost::asio::ip::udp::socket socket_;
    MemberAddress address_;
    Keys keys_;
    std::uint32_t cluster_;
    Membership core_;
    std::array<char, kMaxDatagramBytes + 1> buffer_{};  ///< one byte more, to detect longer datagrams
    Endpoint from_;
    TimerId timer_ = 0;
    std::function<void()> leave_completed_;
    std::array<std::uint64_t, kDecodeErrors> rejected_{};
    std::uint64_t send_failures_ = 0;
    std::uint64_t throttled_reads_ = 0;
    TimePoint window_ends_{};
    std::size_t reads_in_window_ = 0;
    TimerId resume_timer_ = 0;
    bool closed_ = false;
};

}  // namespace ochrehub::membership
