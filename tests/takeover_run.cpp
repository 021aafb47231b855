// Two real processes over one inherited listener, twice in a row, under requests: none is turned back, what was said by
// hand passes on, and the figures are what the clients counted. takeover_run PROGRAM CONFIG
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <thread>
#include <vector>

#undef NDEBUG
#include <cassert>

namespace {

sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(std::uint16_t(port));
    at.sin_addr.s_addr = htonl(0x7f400000u + (std::uint32_t(getpid()) & 0x3fffffu) + 1);
    return at;
}

struct Listener {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback(0);
    std::string address;
    Listener() {
        socklen_t size = sizeof at;
        assert(bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 && listen(fd, 256) == 0);
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        address = std::string(inet_ntoa(at.sin_addr)) + ":" + std::to_string(ntohs(at.sin_port));
    }
};

int connected(const sockaddr_in& to) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
    close(fd);
    return -1;
}

/// One exchange; empty where the connection ended first.
std::string exchange(int fd, const std::string& request) {
    if (send(fd, request.data(), request.size(), MSG_NOSIGNAL) != ssize_t(request.size())) return {};
    std::string answer;
    char bytes[8192];
    while (true) {
        std::size_t head = answer.find("\r\n\r\n");
        std::size_t length = answer.find("Content-Length: ");
        if (head != std::string::npos && length != std::string::npos &&
            answer.size() >= head + 4 + std::size_t(std::atol(answer.c_str() + length + 16)))
            return answer;
        ssize_t got = read(fd, bytes, sizeof bytes);
        if (got <= 0) return {};
        answer.append(bytes, std::size_t(got));
    }
}

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
            for (std::size_t end; got > 0 && (end = head.find("\r\n\r\n")) != std::string::npos; head.erase(0, end + 4)) {
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

struct Node {
    pid_t pid = -1;
    sockaddr_in control{};

    void start(const std::string& program, int listener) {
        sockaddr_in at{};
        {
            Listener free;
            at = free.at, control = free.at;
            close(free.fd);
            setenv("GW_CONTROL", free.address.c_str(), 1);
        }
        pid = fork();
        if (pid != 0) return;
        dup2(listener, 7);
        close_range(8, ~0U, 0);
        execl(program.c_str(), program.c_str(), nullptr);
        _exit(127);
    }
    std::string call(const std::string& what) const {
        int fd = connected(control);
        if (fd < 0) return {};
        std::string answer = exchange(fd, what + " HTTP/1.1\r\nHost: o\r\n\r\n");
        close(fd);
        return answer;
    }
    void until_ready() const {
        while (!call("GET /ops/readiness").starts_with("HTTP/1.1 200")) {
            assert(waitpid(pid, nullptr, WNOHANG) == 0);
            usleep(2000);
        }
    }
    long figure(const std::string& name) const {
        std::string text = call("GET /ops/stats");
        std::size_t at = text.find("\n" + name + " ");
        assert(at != std::string::npos);
        return std::atol(text.c_str() + at + name.size() + 2);
    }
    void stop() const {
        kill(pid, SIGTERM);
        int status = -1;
        waitpid(pid, &status, 0);
        assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }
};

std::atomic<long> next_id{1}, served{0}, refused{0}, turned_back{0};

std::string request() {
    return "GET /look HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(next_id++) + "\r\n\r\n";
}

/// Asks again and again; some on a connection that they keep, some on a new one each time.
void client(const sockaddr_in& to, bool keeps, const std::atomic<bool>& over) {
    int fd = -1;
    while (!over) {
        if (fd < 0) fd = connected(to);
        std::string answer = fd < 0 ? "" : exchange(fd, request());
        ++(answer.starts_with("HTTP/1.1 200") ? served : answer.starts_with("HTTP/1.1 503") ? refused : turned_back);
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
    std::signal(SIGPIPE, SIG_IGN);
    char made[] = "/tmp/takeover.XXXXXX";
    std::string folder = mkdtemp(made);
    Listener clients, a, b, discovery;
    auto member = [](const char* id, const Listener& l) {
        return std::string("{\"id\":\"") + id + "\",\"host_port\":\"" + l.address +
               "\",\"locality\":\"east\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"in_service\",\"size\":1.0,"
               "\"up_since_ms\":0}";
    };
    std::string list =
        "{\"revision\":42,\"complete\":true,\"members\":[" + member("s-a", a) + "," + member("s-b", b) + "]}";
    std::ifstream base(given[2]);
    std::string config{std::istreambuf_iterator<char>(base), {}};
    for (auto [name, l] : {std::pair{"$n", &clients}, {"$d", &discovery}, {"$a", &a}})
        for (std::size_t at; (at = config.find(name)) != std::string::npos;) config.replace(at, 2, l->address);
    std::ofstream(folder + "/config") << config;
    setenv("GW_CONFIG", (folder + "/config").c_str(), 1);
    setenv("GW_FD", "7", 1);
    setenv("TMPDIR", folder.c_str(), 1);
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
        assert(nodes[i - 1].call("PUT /ops/servers/" + std::string(i == 1 ? "up" : "down") + "/s-b").starts_with("HTTP/1.1 200"));
        long before = served;
        nodes[i - 1].stop();
        while (served < before + 200) usleep(1000);
        while (nodes[i].figure("app_cluster_unhealthy") != (i == 1 ? 0 : 1)) usleep(1000);
    }
    over = true;
    for (std::thread& t : threads) t.join();
    std::printf("%ld served, %ld refused, %ld turned back\n", served.load(), refused.load(), turned_back.load());
    assert(turned_back == 0 && refused == 0);

    // Alone now: its figures are what one client counts.
    const Node& last = nodes.back();
    const std::string answered = "app_transactions_total{group=\"look\",state=\"answered\"}";
    while (last.figure("app_current") != 0) usleep(1000);
    long before = last.figure(answered), sends = last.figure("app_sends_total");
    int fd = connected(clients.at);
    for (int i = 0; i < 100; ++i) assert(exchange(fd, request()).starts_with("HTTP/1.1 200"));
    while (last.figure(answered) < before + 100) usleep(1000);
    assert(last.figure(answered) == before + 100 && last.figure("app_sends_total") == sends + 100);
    close(fd);
    last.stop();
    std::filesystem::remove_all(folder);
    return 0;
}
