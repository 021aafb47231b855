#include "fleet/membership/udp.h"

#include <boost/asio/buffer.hpp>
#include <utility>

namespace ochrehub::membership {

namespace asio = boost::asio;
using boost::system::error_code;

MemberAddress UdpMember::bound(asio::ip::udp::socket& socket, const Endpoint& listen) {
    socket.open(listen.protocol());
    socket.bind(listen);
    // To send must not wait: what finds no room in the kernel is lost, as on any network.
    socket.non_blocking(true);
    Endpoint at = socket.local_endpoint();
    return {at.address().to_v4().to_uint(), at.port()};
}

Settings UdpMember::placed(Settings settings, const MemberAddress& place) {
    if (!settings.self.known()) settings.self = place;
    return settings;
}

UdpMember::UdpMember(asio::io_context& io, Scheduler& scheduler, const Endpoint& listen, Settings settings,
                     Keys keys, std::uint64_t seed, std::uint32_t cluster)
    : scheduler_(scheduler),
      socket_(io),
      place_(bound(socket_, listen)),
      keys_(std::move(keys)),
      cluster_(cluster),
      core_(placed(std::move(settings), place_), seed) {
    read();
}

void UdpMember::read() {
    TimePoint now = scheduler_.now();
    if (now >= slice_ends_) {
        slice_ends_ = now + kSlice;
        read_in_slice_ = 0;
    }
    if (++read_in_slice_ > kReadMost) {  // not by its members: without a key strangers are some
        ++held_;
        resume_ = scheduler_.call_at(slice_ends_, [this] {
            resume_ = 0;
            read();
        });
        return;
    }
    socket_.async_receive_from(asio::buffer(octets_), from_, [this](error_code error, std::size_t size) {
        if (closed_) return;
        // An ICMP answer to one of its own datagrams ends a wait on Linux; the socket is as good as before.
        if (!error) {
            Datagram datagram;
            DecodeError fault = decode({octets_.data(), size}, keys_, datagram, cluster_);
            if (fault == DecodeError::None)
                hand(DatagramReceived{std::move(datagram)});
            else
                ++refused_[std::size_t(fault)];
        }
        if (!closed_) read();
    });
}

void UdpMember::hand(const Event& event) {
    if (closed_) return;
    Actions actions;
    core_.handle(scheduler_.now(), event, actions);
    bool over = false;
    for (const Action& action : actions) {
        if (const auto* out = std::get_if<SendDatagram>(&action))
            send(*out);
        else if (const auto* wake = std::get_if<SetTimer>(&action))
            wake_at(wake->at);
        else if (const auto* change = std::get_if<MemberChanged>(&action))
            changed ? changed(*change) : void();
        else if (const auto* other = std::get_if<MemberRestarted>(&action))
            restarted ? restarted(*other) : void();
        else if (const auto* itself = std::get_if<SelfUpdate>(&action))
            of_itself ? of_itself(*itself) : void();
        else
            over = true;
    }
    if (!over) return;
    close();
    if (auto told = std::exchange(over_, nullptr)) told();
}

void UdpMember::send(const SendDatagram& send) {
    error_code error;
    Endpoint to(asio::ip::address_v4(send.to.host), send.to.port);
    socket_.send_to(asio::buffer(encode(send.datagram, keys_, cluster_)), to, 0, error);
    unsent_ += bool(error);
}

void UdpMember::wake_at(TimePoint at) {
    scheduler_.cancel(std::exchange(timer_, 0));
    if (closed_ || at == TimePoint::max()) return;
    timer_ = scheduler_.call_at(at, [this] {
        timer_ = 0;
        hand(TimerFired{});
    });
}

void UdpMember::leave(std::function<void()> over) {
    over_ = std::move(over);
    hand(Leave{});
}

void UdpMember::close() {
    if (std::exchange(closed_, true)) return;
    scheduler_.cancel(std::exchange(timer_, 0));
    scheduler_.cancel(std::exchange(resume_, 0));
    error_code ignored;
    socket_.close(ignored);
}

}  // namespace ochrehub::membership
