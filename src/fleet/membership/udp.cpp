#include "fleet/membership/udp.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace ochrehub::membership {

namespace asio = boost::asio;
using boost::system::error_code;

MemberAddress UdpMember::bind(asio::ip::udp::socket& socket, const Endpoint& listen) {
    socket.open(listen.protocol());
    socket.bind(listen);
    // Sending must not block: what the kernel cannot buffer is lost, as on any network.
    socket.non_blocking(true);
    Endpoint at = socket.local_endpoint();
    return {at.address().to_v4().to_uint(), at.port()};
}

Settings UdpMember::with_address(Settings settings, const MemberAddress& address) {
    if (!settings.self.known()) settings.self = address;
    return settings;
}

UdpMember::UdpMember(asio::io_context& io, Scheduler& scheduler, const Endpoint& listen, Settings settings,
                     Keys keys, std::uint64_t seed, std::uint32_t cluster)
    : scheduler_(scheduler),
      socket_(io),
      address_(bind(socket_, listen)),
      keys_(std::move(keys)),
      cluster_(cluster),
      core_(with_address(std::move(settings), address_), seed) {
    read();
}

void UdpMember::read() {
    TimePoint now = scheduler_.now();
    if (now >= window_ends_) {
        window_ends_ = now + kReadWindow;
        reads_in_window_ = 0;
    }
    if (++reads_in_window_ > kMaxReads) {  // more than members send: unauthenticated datagrams
        ++throttled_reads_;
        resume_timer_ = scheduler_.call_at(window_ends_, [this] {
            resume_timer_ = 0;
            read();
        });
        return;
    }
    socket_.async_receive_from(asio::buffer(buffer_), from_, [this](error_code error, std::size_t size) {
        if (closed_) return;
        // On Linux an ICMP error for one of its own datagrams ends the wait; the socket stays valid.
        if (!error) {
            Datagram datagram;
            DecodeError decode_error = decode({buffer_.data(), size}, keys_, datagram, cluster_);
            if (decode_error == DecodeError::None)
                handle(DatagramReceived{std::move(datagram)});
            else
                ++rejected_[std::size_t(decode_error)];
        }
        if (!closed_) read();
    });
}

void UdpMember::handle(const Event& event) {
    if (closed_) return;
    Actions actions;
    core_.handle(scheduler_.now(), event, actions);
    bool left = false;
    for (const Action& action : actions) {
        if (const auto* out = std::get_if<SendDatagram>(&action))
            send(*out);
        else if (const auto* wake = std::get_if<SetTimer>(&action))
            set_timer(wake->at);
        else if (const auto* change = std::get_if<MemberChanged>(&action))
            on_changed ? on_changed(*change) : void();
        else if (const auto* other = std::get_if<MemberRestarted>(&action))
            on_restarted ? on_restarted(*other) : void();
        else if (const auto* itself = std::get_if<SelfUpdate>(&action))
            on_self_update ? on_self_update(*itself) : void();
        else
            left = true;
    }
    if (!left) return;
    close();
    if (auto completed = std::exchange(leave_completed_, nullptr)) completed();
}

void UdpMember::send(const SendDatagram& send) {
    error_code error;
    Endpoint to(asio::ip::address_v4(send.to.host), send.to.port);
    socket_.send_to(asio::buffer(encode(send.datagram, keys_, cluster_)), to, 0, error);
    send_failures_ += bool(error);
}

void UdpMember::set_timer(TimePoint at) {
    scheduler_.cancel(std::exchange(timer_, 0));
    if (closed_ || at == TimePoint::max()) return;
    timer_ = scheduler_.call_at(at, [this] {
        timer_ = 0;
        handle(TimerFired{});
    });
}

void UdpMember::leave(std::function<void()> completed) {
    leave_completed_ = std::move(completed);
    handle(Leave{});
}

void UdpMember::close() {
    if (std::exchange(closed_, true)) return;
    scheduler_.cancel(std::exchange(timer_, 0));
    scheduler_.cancel(std::exchange(resume_timer_, 0));
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace ochrehub::membership
