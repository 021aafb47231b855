#include "lab/fleet/ask.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cstdlib>

namespace ochrehub::lab::fleet {
namespace {

constexpr std::size_t kMost = 4 << 20;

struct Descriptor {
    int fd;
    ~Descriptor() {
        if (fd >= 0) close(fd);
    }
};

}  // namespace

Answer ask(const Endpoint& to, const std::string& request, double within_s) {
    Descriptor one{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
    timeval most{};
    most.tv_sec = time_t(within_s);
    most.tv_usec = suseconds_t((within_s - double(most.tv_sec)) * 1e6);
    setsockopt(one.fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
    setsockopt(one.fd, SOL_SOCKET, SO_SNDTIMEO, &most, sizeof most);
    // Hundreds of them a second: a closed one is not to keep its port for a minute.
    linger at_once{1, 0};
    setsockopt(one.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(to.port());
    at.sin_addr.s_addr = htonl(to.address().to_v4().to_uint());
    if (connect(one.fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0) return {};
    if (send(one.fd, request.data(), request.size(), MSG_NOSIGNAL) != ssize_t(request.size())) return {};
    std::string all;
    char bytes[16384];
    std::size_t end = std::string::npos, length = 0;
    while (end == std::string::npos || all.size() < end + 4 + length) {
        ssize_t got = recv(one.fd, bytes, sizeof bytes, 0);
        if (got <= 0 || all.size() > kMost) return {};
        all.append(bytes, std::size_t(got));
        if (end != std::string::npos || (end = all.find("\r\n\r\n")) == std::string::npos) continue;
        std::size_t key = all.find("Content-Length: ");
        length = key < end ? std::strtoul(all.c_str() + key + 16, nullptr, 10) : 0;
    }
    return {all.size() > 12 ? std::atoi(all.c_str() + 9) : 0, all.substr(end + 4)};
}

}  // namespace ochrehub::lab::fleet
