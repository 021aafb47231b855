// The far side of the connections to servers, in the node's own process: what has arrived at the node is
// known, not hoped for.
#pragma once

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/server_pool.h"

#undef NDEBUG
#include <cassert>

namespace ochrehub::peer {

inline std::string text_of(const sockaddr_in& at) {
    return std::string(inet_ntoa(at.sin_addr)) + ":" + std::to_string(ntohs(at.sin_port));
}

/// Its far end's address; empty where it has none (any more).
inline std::string far_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    bool connected =
        getpeername(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0 && at.sin_family == AF_INET;
    return connected ? text_of(at) : "";
}

inline std::string near_of(int fd) {
    sockaddr_in at{};
    socklen_t size = sizeof at;
    return getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0 ? text_of(at) : "";
}

/// One accepted connection.
class Far {
public:
    explicit Far(int fd) : fd_(fd) {
        for (int other = 3; other < 1024 && node_ < 0; ++other)
            if (far_of(other) == near_of(fd_) && near_of(other) == far_of(fd_)) node_ = other;
        assert(node_ >= 0);
    }
    ~Far() { close(fd_); }
    Far(const Far&) = delete;
    Far& operator=(const Far&) = delete;

    int fd() const { return fd_; }
    /// The node's end of it, while that is open.
    int node_end() const { return node_; }
    /// All that was said lies with the node's kernel; where it is long, what that takes.
    void say(const std::string& bytes) {
        int before = 0, now = 0;
        assert(ioctl(node_, FIONREAD, &before) == 0);
        assert(send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == ssize_t(bytes.size()));
        while (bytes.size() < 30000 && now < before + int(bytes.size()))
            assert(ioctl(node_, FIONREAD, &now) == 0);
    }
    /// The node's kernel knows that nothing more comes.
    void end() {
        assert(shutdown(fd_, SHUT_WR) == 0);
        tcp_info info{};
        do {
            socklen_t size = sizeof info;
            assert(getsockopt(fd_, IPPROTO_TCP, TCP_INFO, &info, &size) == 0);
        } while (info.tcpi_state == TCP_FIN_WAIT1 || info.tcpi_state == TCP_ESTABLISHED);
    }
    /// The node's kernel knows of the reset.
    void reset() {
        linger hard{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        int null = socket(AF_INET, SOCK_STREAM, 0);
        dup3(null, fd_, O_CLOEXEC);  // the number stays taken
        close(null);
        pollfd end{node_, 0, 0};
        assert(poll(&end, 1, 10000) == 1 && (end.revents & POLLERR));
    }
    /// What has come of the node.
    const std::string& heard() {
        char bytes[65536];
        for (ssize_t got; (got = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT)) > 0;)
            heard_.append(bytes, std::size_t(got));
        return heard_;
    }
    /// The next whole head of the node's, where one is there; it is taken.
    std::string head() {
        std::size_t end = heard().find("\r\n\r\n");
        if (end == std::string::npos) return {};
        std::string head = heard_.substr(0, end + 4);
        heard_.erase(0, end + 4);
        return head;
    }
    /// The node has closed its end.
    bool closed() {
        heard();
        char byte = 0;
        ssize_t got = recv(fd_, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
        return got == 0 || (got < 0 && errno != EAGAIN);
    }

private:
    int fd_, node_ = -1;
    std::string heard_;
};

using FarPtr = std::unique_ptr<Far>;

struct Events : UpstreamEvents {
    std::function<bool(AttemptId)> asked = [](AttemptId) { return true; };
    std::function<bool(AttemptId)> repeatable = [](AttemptId) { return true; };
    std::function<void(AttemptId)> ended = [](AttemptId) {};
    std::map<RequestId, std::vector<AttemptResult>> results;
    std::vector<Outcome> probes;

    bool may_send(AttemptId id) override { return asked(id); }
    bool may_retry(AttemptId id) override { return repeatable(id); }
    void attempt_ended(AttemptId id, AttemptResult result) override {
        results[id.request].push_back(std::move(result));
        ended(id);
    }
    void probe_ended(EndpointId, Duration, Outcome outcome, LoadReport) override {
        probes.push_back(outcome);
    }
};

/// A listener of a server's, and those that it has accepted.
struct Door {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string address;
    explicit Door(int backlog = 64) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        // A loopback address of this process's own: tests side by side do not take each other's ports.
        at.sin_addr.s_addr = htonl(0x7f400000u + (std::uint32_t(getpid()) & 0x3fffffu) + 1);
        assert(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0 && listen(fd, backlog) == 0);
        address = near_of(fd);
    }
    ~Door() { close(fd); }
    /// Somebody has come whom nobody has accepted.
    bool knocked() const {
        pollfd in{fd, POLLIN, 0};
        return poll(&in, 1, 0) == 1;
    }
    FarPtr accept() const { return std::make_unique<Far>(accept4(fd, nullptr, nullptr, SOCK_CLOEXEC)); }
};

/// Returns once the kernel stamps what comes, which it begins some time after the first has asked for it. A
/// node's listener has asked long before a server's answer can come.
inline void stamps_begin() {
    static const Door door;
    static int from = -1, to = -1;
    if (from >= 0) return;
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(door.fd, reinterpret_cast<sockaddr*>(&at), &size);
    from = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    assert(connect(from, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    to = accept4(door.fd, nullptr, nullptr, SOCK_CLOEXEC);
    int on = 1;
    setsockopt(to, SOL_SOCKET, SO_TIMESTAMPNS, &on, sizeof on);
    for (bool stamped = false; !stamped;) {
        char byte = 0;
        assert(send(from, &byte, 1, MSG_NOSIGNAL) == 1);
        iovec bytes{&byte, 1};
        alignas(cmsghdr) char control[64];
        msghdr message{};
        message.msg_iov = &bytes;
        message.msg_iovlen = 1;
        message.msg_control = control;
        message.msg_controllen = sizeof control;
        assert(recvmsg(to, &message, 0) == 1);
        stamped = CMSG_FIRSTHDR(&message) != nullptr;
    }
}

/// The pool, one server, and the loop, which turns only when told to.
struct Rig {
    static Settings settings(std::chrono::milliseconds connect = std::chrono::seconds(20)) {
        Settings set;
        set.connect_timeout = connect;
        set.connection_idle_timeout = std::chrono::seconds(100);
        return set;
    }
    explicit Rig(const http::Reuse& reuse = {}, const Settings& set = settings(), std::size_t most = 64,
                 const http::HttpProfile& profile = {}, int backlog = 64)
        : door(backlog), servers(io, pool, events, set, most, profile, nullptr, reuse) {
        stamps_begin();
        list(door.address);
    }

    void list(const std::string& address, Phase phase = Phase::Ready) {
        EndpointList listing;
        listing.update.kind = UpdateKind::Full;
        EndpointEntry& entry = listing.update.entries.emplace_back();
        entry.endpoint = kServer;
        entry.phase = phase;
        listing.addresses = {address};
        listing.ids = {"s"};
        servers.update_endpoints(listing);
    }
    void start(RequestId id, std::shared_ptr<const Message> message,
               Duration patience = std::chrono::seconds(60)) {
        servers.start_attempt({id, 0}, kServer, std::move(message), patience);
    }
    void start(RequestId id, Duration patience = std::chrono::seconds(60)) {
        start(id, request(id), patience);
    }
    static std::shared_ptr<http::HttpMessage> request(RequestId id, const std::string& body = {}) {
        auto message = std::make_shared<http::HttpMessage>();
        message->method = "POST";
        message->target = "/" + std::to_string(id);
        message->short_body = body;
        return message;
    }
    /// The loop turns till then.
    void until(const std::function<bool()>& there) {
        auto given_up = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!there()) {
            if (std::chrono::steady_clock::now() >= given_up) throw std::runtime_error("never came");
            io.restart();
            io.run_one_for(std::chrono::milliseconds(1));
        }
    }
    /// All that is ready now, and what comes of it at once.
    void turn() {
        io.restart();
        io.poll();
    }
    FarPtr accept() {
        until([&] { return door.knocked(); });
        return door.accept();
    }
    /// The head of the request that comes there.
    std::string request_at(Far& far) {
        std::string head;
        until([&] { return !(head = far.head()).empty(); });
        return head;
    }
    const AttemptResult& result(RequestId id) {
        until([&] { return !events.results[id].empty(); });
        return events.results[id].front();
    }
    Outcome outcome(RequestId id) { return result(id).outcome; }
    std::string body(RequestId id) {
        const auto& message = result(id).message;
        return message ? std::string(static_cast<const http::HttpMessage&>(*message).body_view()) : "(none)";
    }
    /// The node's sockets that are connected to the server.
    std::size_t open_ends() const {
        std::size_t count = 0;
        for (int fd = 3; fd < 1024; ++fd) count += far_of(fd) == door.address && !fillers.contains(fd);
        return count;
    }

    static constexpr EndpointId kServer = 7;
    Door door;
    std::set<int> fillers;  // of the test's own
    BufferPool pool{8};
    boost::asio::io_context io;
    Events events;
    http::ServerPool servers;
};

inline std::string answer(const std::string& body, const std::string& headers = {}) {
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

}  // namespace ochrehub::peer
