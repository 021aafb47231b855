#include "lab/play/address.h"

#include <linux/filter.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/address.h"

namespace ochrehub::lab {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr int kBacklog = 4096;

}  // namespace

Endpoint loopback(const std::string& text) {
    auto found = parse_address(text);
    if (!found) throw AddressError(text + ": not an address a.b.c.d:port");
    must_be_loopback(found->address());
    return *found;
}

void must_be_loopback(const asio::ip::address& address) {
    if (!address.is_v4() || !address.is_loopback())
        throw AddressError(address.to_string() +
                           ": not a loopback address (127.0.0.0/8); the lab talks to no other");
}

std::string text_of(const Endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
}

asio::ip::address_v4 machine(unsigned number) {
    auto process = unsigned(getpid());
    // 127.64.0.0 to 127.127.255.255: 254 machines a process, what goes beyond shares them.
    return asio::ip::address_v4(0x7f400000u | (process & 0x3fffu) << 8 | (number % 254 + 1));
}

Held::Held(asio::io_context& io, const asio::ip::address_v4& address) : socket_(io) {
    must_be_loopback(address);
    socket_.open(asio::ip::tcp::v4());
    // Without it, who listens later could not bind beside it.
    socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind({address, 0});
    at_ = socket_.local_endpoint();
}

asio::ip::tcp::acceptor listen_at(asio::io_context& io, const Endpoint& at) {
    must_be_loopback(at.address());
    asio::ip::tcp::acceptor acceptor(io);
    acceptor.open(at.protocol());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind(at);
    acceptor.listen(kBacklog);
    acceptor.non_blocking(true);
    return acceptor;
}

void deafen(int descriptor, bool on) {
    sock_filter nothing[] = {{BPF_RET | BPF_K, 0, 0, 0}};
    sock_fprog program{1, nothing};
    int unused = 0;
    int failed = on ? setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
                    : setsockopt(descriptor, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof unused);
    // One that was never on is no fault; one that does not go on would make a silent machine speak.
    if (failed && on)
        throw boost::system::system_error(errno, boost::system::system_category(), "SO_ATTACH_FILTER");
}

void reset(asio::ip::tcp::socket& socket) {
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void raise_descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == limit.rlim_max) return;
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

}  // namespace ochrehub::lab
