// Two real processes over one inherited listener, twice in a row, under requests: none is turned back, what
// was said by hand passes on, and the figures are what the clients counted. takeover_run PROGRAM CONFIG
#include <fcntl.h>
#include <poll.h>

#include <atomic>
#include <cstdio>
#include <map>
#include <thread>

#include "node_run.h"

using namespace ochrehub::run;

namespace {

/// The servers, and discovery, which answers the first call alone.
void stand_in(std::vector<Listener*> listeners, const std::string& list) {
    std::map<int, std::string> heads;
    std::vector<pollfd> open;
    for (Listener* l : listeners) open.push_back({l->fd, POLLIN, 0});
    while (poll(open.data(), open.size(), -1) > 0)
        for (std::size_t i = open.size(); i-- > 0;) {
            if (open[i].revents == 0) continue;
            if (i < listeners.size()) {
                open.push_back({accept4(open[i].fd, nullptr, nullptr, SOCK_CLOEXEC), POLLIN, 0});
                continue;
            }
            char bytes[8192];
            ssize_t got = read(open[i].fd, bytes, sizeof bytes);
            std::string& head = heads[open[i].fd];
            if (got > 0) head.append(bytes, std::size_t(got));
            for (std::size_t end; got > 0 && (end = head.find("\r\n\r\n")) != std::string::npos;
                 head.erase(0, end + 4)) {
                bool asks = head.starts_with("GET /v1/servers"), watches = head.find("index=42") < end;
                std::string body = asks ? list : "ok";
                if (watches) continue;
                std::string answer =
                    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
                if (send(open[i].fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) break;
            }
            if (got > 0) continue;
            close(open[i].fd);
            heads.erase(open[i].fd);
            open.erase(open.begin() + std::ptrdiff_t(i));
        }
}

std::atomic<long> next_id{1}, served{0}, refused{0}, turned_back{0};

std::string request() {
    return "GET /look HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(next_id++) + "\r\n\r\n";
}

/// Asks again and again; some on a connection that they keep, some on a new one each time.
void client(const sockaddr_in& to, bool keeps, const std::atomic<bool>& over) {
    int fd = -1;
    while (!over) {
        if (fd < 0) fd = connected(to);
        std::string answer = fd < 0 ? "" : ask(fd, request());
        ++(answer.starts_with("HTTP/1.1 200")   ? served
           : answer.starts_with("HTTP/1.1 503") ? refused
                                                : turned_back);
        if (fd >= 0 && (!keeps || answer.empty() || answer.find("Connection: close") != std::string::npos)) {
            close(fd);
            fd = -1;
        }
        usleep(500);
    }
    if (fd >= 0) close(fd);
}

}  // namespace

int main(int, char** given) {
    alarm(60);  // one that hangs
    Listener clients, a, b, discovery;
    auto member = [](const char* id, const Listener& l) {
        return std::string("{\"id\":\"") + id + "\",\"host_port\":\"" + l.address +
               "\",\"locality\":\"east\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"in_service\",\"size\":1.0,"
               "\"up_since_ms\":0}";
    };
    std::string list =
        "{\"revision\":42,\"complete\":true,\"members\":[" + member("s-a", a) + "," + member("s-b", b) + "]}";
    Setup setup(given[2], {{"$n", clients.address}, {"$d", discovery.address}, {"$a", a.address}});
    setenv("GW_FD", "7", 1);
    std::thread(stand_in, std::vector<Listener*>{&a, &b, &discovery}, list).detach();

    std::vector<Node> nodes(3);
    nodes[0].start(given[1], clients.fd);
    nodes[0].until_ready();
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
    for (int i = 0; i < 6; ++i) threads.emplace_back(client, clients.at, i % 2 == 0, std::cref(over));
    while (served < 200) usleep(1000);
    assert(nodes[0].call("PUT /ops/servers/down/s-b").starts_with("HTTP/1.1 200"));
    Node dies;  // one that dies before its yes: the old one serves on
    dies.start(given[1], clients.fd);
    kill(dies.pid, SIGKILL);
    waitpid(dies.pid, nullptr, 0);
    for (std::size_t i = 1; i < nodes.size(); ++i) {
        nodes[i].start(given[1], clients.fd);
        nodes[i].until_ready();
        // What is said to the old one meanwhile is not lost.
        assert(nodes[i - 1]
                   .call("PUT /ops/servers/" + std::string(i == 1 ? "up" : "down") + "/s-b")
                   .starts_with("HTTP/1.1 200"));
        long before = served;
        nodes[i - 1].stop();
        while (served < before + 200) usleep(1000);
        while (nodes[i].figure("app_cluster_unhealthy") != (i == 1 ? 0 : 1)) usleep(1000);
    }
    over = true;
    for (std::thread& t : threads) t.join();
    std::printf("%ld served, %ld refused, %ld turned back\n", served.load(), refused.load(),
                turned_back.load());
    assert(turned_back == 0 && refused == 0);

    // Alone now: its figures are what one client counts.
    const Node& last = nodes.back();
    const std::string answered = "app_transactions_total{group=\"look\",state=\"answered\"}";
    while (last.figure("app_current") != 0) usleep(1000);
    long before = last.figure(answered), sends = last.figure("app_sends_total");
    int fd = connected(clients.at);
    for (int i = 0; i < 100; ++i) assert(ask(fd, request()).starts_with("HTTP/1.1 200"));
    while (last.figure(answered) < before + 100) usleep(1000);
    assert(last.figure(answered) == before + 100 && last.figure("app_sends_total") == sends + 100);
    close(fd);
    last.stop();
    return 0;
}
