#include "http/receive.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <boost/asio/error.hpp>
#include <cerrno>
#include <climits>
#include <cstring>
#include <vector>

namespace ochrehub::http {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kPeekBlock = std::size_t{64} * 1024;
constexpr Duration kTick{10};  // of the kernel's own count of milliseconds, at worst

/// By the kernel's own state of it, unread bytes or not. Where that is not told, nothing is known.
bool closed_by_peer(const tcp_info& info) {
    return info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE ||
           info.tcpi_state == TCP_LAST_ACK || info.tcpi_state == TCP_CLOSING;
}

}  // namespace

void hand_down(boost::asio::ip::tcp::acceptor& acceptor) {
    int on = 1;  // a kernel that cannot leaves the age unknown
    (void)setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
    error_code ignored;
    acceptor.native_non_blocking(true, ignored);
}

int accept_one(boost::asio::ip::tcp::acceptor& acceptor, error_code& error) {
    int accepted = 0;
    do accepted = accept4(acceptor.native_handle(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    while (accepted < 0 && (errno == EINTR || errno == ECONNABORTED));
    if (accepted < 0)
        error =
            errno == EAGAIN ? asio::error::would_block : error_code(errno, boost::system::system_category());
    return accepted;
}

// Two ways, as some hosts' sockets know only one of them. One that fails or says nothing counts for nothing.
bool gone(int socket) {
    pollfd seen{socket, POLLRDHUP, 0};
    if (poll(&seen, 1, 0) == 1 && (seen.revents & POLLNVAL) == 0 &&
        (seen.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0)
        return true;
    tcp_info info{};
    socklen_t size = sizeof info;
    return getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 && closed_by_peer(info);
}

bool readable(int socket) {
    pollfd seen{socket, POLLIN, 0};
    return poll(&seen, 1, 0) == 1;
}

std::optional<Duration> since_last_arrival(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    // A host that fills nothing in leaves the state zero, which is none.
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_state == 0) return {};
    return Duration(info.tcpi_last_data_recv) + kTick;
}

// A peek begins at the first byte. All blocks are copied into one, so that it costs no memory: the byte at an
// offset ends up at that offset's rest.
std::optional<std::string> peek_tail(int socket, std::size_t unread, std::size_t count) {
    if (unread == 0) return std::string();
    static std::array<char, kPeekBlock> block;
    std::vector<iovec> blocks;
    for (std::size_t at = 0; at < unread; at += block.size())
        blocks.push_back({block.data(), std::min(block.size(), unread - at)});
    if (blocks.size() > IOV_MAX) return {};
    msghdr message{};
    message.msg_iov = blocks.data();
    message.msg_iovlen = blocks.size();
    if (recvmsg(socket, &message, MSG_PEEK | MSG_DONTWAIT) != ssize_t(unread)) return {};
    std::string tail;
    for (std::size_t at = unread - std::min(count, unread); at < unread; ++at)
        tail += block[at % block.size()];
    return tail;
}

int unacknowledged(int socket) {
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

Received receive(boost::asio::ip::tcp::socket& socket, char* into, std::size_t room) {
    iovec bytes{into, room};
    alignas(cmsghdr) char control[64];
    msghdr message{};
    message.msg_iov = &bytes;
    message.msg_iovlen = 1;
    message.msg_control = control;
    message.msg_controllen = sizeof control;
    ssize_t got = 0;
    do got = recvmsg(socket.native_handle(), &message, MSG_DONTWAIT);
    while (got < 0 && errno == EINTR);
    Received received;
    if (got < 0)
        received.error =
            errno == EAGAIN ? asio::error::would_block : error_code(errno, boost::system::system_category());
    else if (got == 0)
        received.error = asio::error::eof;
    if (got <= 0) return received;
    received.bytes = std::size_t(got);
    for (cmsghdr* part = CMSG_FIRSTHDR(&message); part; part = CMSG_NXTHDR(&message, part)) {
        if (part->cmsg_level != SOL_SOCKET || part->cmsg_type != SCM_TIMESTAMPNS) continue;
        timespec came{}, now{};
        std::memcpy(&came, CMSG_DATA(part), sizeof came);
        clock_gettime(CLOCK_REALTIME, &now);
        Duration age{1e3 * double(now.tv_sec - came.tv_sec) + 1e-6 * double(now.tv_nsec - came.tv_nsec)};
        received.age = std::max(Duration{0}, age);
    }
    return received;
}

Look look(boost::asio::ip::tcp::socket& socket, Duration stamped) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return {};
    return {closed_by_peer(info), std::min(stamped, Duration(info.tcpi_last_data_recv) + kTick)};
}

}  // namespace ochrehub::http
