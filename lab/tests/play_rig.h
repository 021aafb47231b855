// What the tests of play share: small days, a blocking socket that says what it hears, records by kind.
#pragma once

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <vector>

#include "lab/model/day.h"
#include "lab/play/address.h"
#include "lab/play/loop.h"

namespace ochrehub::lab {

/// Answers at once but for a millisecond of work; no noise, no errors of its own.
inline Day small_day(int nodes = 1, int servers = 2) {
    Day day;
    day.scenario = "test";
    day.seed = 7;
    day.length = Duration{500};
    day.counted_from = Duration{0};
    day.kinds = {"box"};
    day.network.zones = {"a"};
    day.network.ms = {{0.1}};
    day.network.client_ms = 0.1;
    ClassFigures look, buy, change;
    look.name = "look";
    buy.name = "buy";
    buy.effect = Idempotency::NonIdempotent;
    change.name = "change";
    change.effect = Idempotency::IdempotentWithKey;
    change.scope = DeduplicationScope::Cell;
    change.window = Duration{6000};
    day.classes = {look, buy, change};
    for (ClassFigures& c : day.classes) {
        c.work = Duration{1};
        c.wait = Duration{0};
        c.give_up = Duration{2000};
    }
    TenantFigures tenant;
    tenant.name = "acme";
    tenant.quota_rps = 1000;
    day.tenants = {tenant};
    for (int i = 0; i < servers; ++i) {
        ServerFigures server;
        server.id = "s-" + std::to_string(i);
        server.cell = i;
        server.handshake_work = Duration{0.1};
        server.report_period = Duration{1};
        server.report_delay = Duration{0};
        server.probes_most = 1000000;
        server.report_noise = server.error_rate = 0;
        day.servers.push_back(server);
    }
    day.nodes.resize(std::size_t(nodes));
    for (NodeFigures& node : day.nodes) node.memory_mb = 1024;
    day.discovery.notice = day.discovery.add = Duration{20};
    day.discovery.silent_notice = Duration{30};
    day.clients.impatient = 0;
    return day;
}

inline Arrival arrival(double at_ms, int cls, std::uint64_t key = 0) {
    Arrival one;
    one.at = Duration{at_ms};
    one.cls = cls;
    one.tenant = 0;
    one.zone = 0;
    one.key = key;
    return one;
}

/// A socket of the test's own. Waits for events alone; a test that hangs is ended by CTest.
class Wire {
public:
    explicit Wire(int descriptor) : descriptor_(descriptor) {}
    /// Connects, or tells why not.
    explicit Wire(const Endpoint& to) : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(to.port());
        at.sin_addr.s_addr = htonl(to.address().to_v4().to_uint());
        if (connect(descriptor_, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) failed_ = errno;
    }
    ~Wire() { shut(); }
    Wire(const Wire&) = delete;
    Wire& operator=(const Wire&) = delete;

    bool up() { return come(-1) && failed_ == 0; }
    bool refused() { return come(-1) && failed_ == ECONNREFUSED; }
    /// Neither yet, though on loopback both take no time.
    bool pending() { return !come(20); }

    void say(std::string_view bytes) {
        while (!bytes.empty()) {
            ssize_t wrote = send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (wrote < 0 && errno == EAGAIN) {
                pollfd wait{descriptor_, POLLOUT, 0};
                poll(&wait, 1, -1);
                continue;
            }
            if (wrote <= 0) return;
            bytes.remove_prefix(std::size_t(wrote));
        }
    }
    /// Waits until something can be read, without reading it.
    void wait() const {
        pollfd wait{descriptor_, POLLIN, 0};
        poll(&wait, 1, -1);
    }
    /// Reads until `size` bytes have come, or it ends.
    std::string hear(std::size_t size) {
        std::string bytes;
        char some[4096];
        while (bytes.size() < size) {
            wait();
            ssize_t got = recv(descriptor_, some, std::min(sizeof some, size - bytes.size()), 0);
            if (got == 0) ended_ = true;
            if (got < 0 && errno == ECONNRESET) reset_ = true;
            if (got <= 0) break;
            bytes.append(some, std::size_t(got));
        }
        return bytes;
    }
    std::string hear_until(const std::string& end) {
        std::string bytes;
        while (bytes.size() < end.size() || bytes.compare(bytes.size() - end.size(), end.size(), end) != 0) {
            std::string one = hear(1);
            if (one.empty()) break;
            bytes += one;
        }
        return bytes;
    }
    /// An answer or a request that states its length, or has no body.
    std::string hear_message() {
        std::string head = hear_until("\r\n\r\n");
        std::size_t at = head.find("Content-Length: ");
        return at == std::string::npos ? head : head + hear(std::stoul(head.substr(at + 16)));
    }
    bool ended() {
        hear(1);
        return ended_;
    }
    bool was_reset() {
        while (!hear(4096).empty()) {
        }
        return reset_;
    }
    void stop_sending() { shutdown(descriptor_, SHUT_WR); }
    void shut() {
        if (descriptor_ >= 0) close(descriptor_);
        descriptor_ = -1;
    }

private:
    bool come(int most_ms) {
        if (failed_ != EINPROGRESS) return true;
        pollfd now{descriptor_, POLLOUT, 0};
        if (poll(&now, 1, most_ms) == 0) return false;
        socklen_t size = sizeof failed_;
        getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &failed_, &size);
        return true;
    }

    int descriptor_, failed_ = 0;
    bool ended_ = false, reset_ = false;
};

/// Listens at an address of its own, for what connects to it.
class Ear {
public:
    Ear() : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        bind(descriptor_, reinterpret_cast<sockaddr*>(&at), size);
        listen(descriptor_, 100);
        getsockname(descriptor_, reinterpret_cast<sockaddr*>(&at), &size);
        at_ = Endpoint(boost::asio::ip::address_v4::loopback(), ntohs(at.sin_port));
    }
    ~Ear() { close(descriptor_); }
    const Endpoint& at() const { return at_; }
    int take() const { return accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK); }

private:
    int descriptor_;
    Endpoint at_;
};

template <class Kind>
std::vector<Kind> all_of(const std::vector<Record>& records) {
    std::vector<Kind> found;
    for (const Record& record : records)
        if (auto* one = std::get_if<Kind>(&record)) found.push_back(*one);
    return found;
}

/// Looks on the loop, between its other work, until it finds what it looks for.
template <class Look>
void until(Loop& loop, Look look) {
    while (!loop.call(look)) usleep(500);
}
template <class Kind>
std::vector<Kind> await(Loop& loop, std::size_t count) {
    until(loop, [&] { return all_of<Kind>(loop.records()).size() >= count; });
    return loop.call([&] { return all_of<Kind>(loop.records()); });
}

}  // namespace ochrehub::lab
