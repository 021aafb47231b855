#include "takeover/inherited.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <charconv>
#include <stdexcept>

namespace ochrehub::takeover {

int inherited_listener(const std::string& text) {
    int fd = -1;
    auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), fd);
    if (bad != std::errc{} || end != text.data() + text.size() || fd < 0)
        throw std::runtime_error("GW_FD: not a descriptor: '" + text + "'");
    auto option = [fd](int name) {
        int value = -1;
        socklen_t size = sizeof value;
        return getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
    };
    bool inet = option(SO_DOMAIN) == AF_INET || option(SO_DOMAIN) == AF_INET6;
    if (!inet || option(SO_TYPE) != SOCK_STREAM || option(SO_ACCEPTCONN) != 1)
        throw std::runtime_error("GW_FD: descriptor " + text + " is no TCP socket that listens");
    return fd;
}

}  // namespace ochrehub::takeover
