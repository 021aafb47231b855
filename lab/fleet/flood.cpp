#include "lab/fleet/flood.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <random>
#include <thread>

#include "fleet/membership/datagram.h"
#include "lab/play/address.h"

namespace ochrehub::lab::fleet {

Flooded flood(const std::string& to, double rate, double seconds, const std::atomic<bool>& stop) {
    using boost::asio::ip::udp;
    using std::chrono::steady_clock;
    Endpoint at = loopback(to);
    udp::endpoint target(at.address(), at.port());
    boost::asio::io_context io;
    udp::socket socket(io, udp::v4());
    socket.non_blocking(true);
    std::mt19937_64 random(1);
    Flooded out;
    const auto begin = steady_clock::now();
    auto elapsed = [&] { return std::chrono::duration<double>(steady_clock::now() - begin).count(); };
    while (!stop && (out.seconds = elapsed()) < seconds) {
        const auto due = std::uint64_t(out.seconds * rate);
        while (out.sent + out.refused < due) {
            std::string octets;
            if (random() % 2 == 0) {
                membership::Datagram datagram;
                datagram.kind = membership::DatagramKind::Ping;
                datagram.from.address = {0x7f000000 + std::uint32_t(random() % 0xffffff),
                                         std::uint16_t(1 + random() % 65535)};
                octets =
                    membership::encode(datagram, membership::Keys(), membership::fingerprint("ochrehub"));
            } else {
                octets.resize(1 + random() % 256);
                for (char& c : octets) c = char(random());
            }
            boost::system::error_code error;
            socket.send_to(boost::asio::buffer(octets), target, 0, error);
            ++(error ? out.refused : out.sent);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return out;
}

}  // namespace ochrehub::lab::fleet
