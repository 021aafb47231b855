// Long bodies, many at a time both ways, and a crowd that says nothing or half a request: what the node
// holds, and how long the second address takes. bodies_run PROGRAM CONFIG TRANSFERS MB CROWD
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <thread>

#include "node_run.h"

using namespace ochrehub::run;

namespace {

#if defined(__has_feature)  // as Clang says it; GCC has a macro of its own
#if __has_feature(address_sanitizer)
#define OCHREHUB_SHADOWED
#endif
#endif
#if defined(__SANITIZE_ADDRESS__) || defined(OCHREHUB_SHADOWED)
constexpr bool kPlain = false;  // its shadow is not the node's memory
#else
constexpr bool kPlain = true;
#endif
constexpr double kMemoryMb = 48;

std::size_t body_size = 0;
std::atomic<long> next_id{1};

/// One connection of a server's: takes bodies whole, answers GETs with a long one.
void serve(int fd) {
    const std::string piece(65536, 'x');
    std::string behind;
    for (std::string head; !(head = read_head(fd, behind)).empty();) {
        bool shorter = head.starts_with("GET /look?short"), get = head.starts_with("GET ");
        if (!get && !read_body(fd, behind, length_of(head))) break;
        std::size_t size = get && !shorter ? body_size : 2;
        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
        if (!send_all(fd, answer.data(), answer.size())) break;
        while (size > 0) {
            std::size_t some = std::min(size, piece.size());
            if (!send_all(fd, piece.data(), some)) break;
            size -= some;
        }
        if (size > 0) break;
    }
    close(fd);
}

std::string head_of(const char* what) {
    return std::string(what) + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(next_id++) + "\r\n";
}

bool transfer(const sockaddr_in& to, bool up) {
    int fd = connected(to);
    if (fd < 0) return false;
    std::string head = up ? head_of("POST /buy") + "Content-Length: " + std::to_string(body_size) + "\r\n\r\n"
                          : head_of("GET /look") + "\r\n";
    bool well = send_all(fd, head.data(), head.size());
    const std::string piece(65536, 'y');
    for (std::size_t left = up ? body_size : 0; well && left > 0;) {
        std::size_t some = std::min(left, piece.size());
        well = send_all(fd, piece.data(), some);
        left -= some;
    }
    std::string behind, answer = read_head(fd, behind);
    well = well && answer.starts_with("HTTP/1.1 200") && length_of(answer) == (up ? 2 : body_size) &&
           read_body(fd, behind, length_of(answer));
    close(fd);
    return well;
}

/// Calls the second address again and again while `work` runs, and says how long that took.
template <class Work>
void beside(const Node& node, const char* name, Work work) {
    std::atomic<bool> over{false};
    std::vector<double> ms;
    std::thread caller([&] {
        do {
            auto began = std::chrono::steady_clock::now();
            assert(node.call("GET /ops/readiness").starts_with("HTTP/1.1 200"));
            ms.push_back(
                std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began).count());
            usleep(5000);
        } while (!over);
    });
    work();
    over = true;
    caller.join();
    std::sort(ms.begin(), ms.end());
    std::printf("%s: most memory %.1f of %.0f MB; second address %zu calls, median %.2f ms, worst %.2f ms\n",
                name, node.peak_mb(), kMemoryMb, ms.size(), ms[ms.size() / 2], ms.back());
    if (kPlain) assert(node.peak_mb() < kMemoryMb / 2);
}

}  // namespace

int main(int, char** given) {
    alarm(120);  // one that hangs
    std::size_t transfers = std::stoul(given[3]), crowd_size = std::stoul(given[5]);
    body_size = std::stoul(given[4]) << 20;
    Listener clients, server, discovery;
    close(clients.fd);
    Setup setup(given[2], {{"$n", clients.address},
                           {"$d", discovery.address},
                           {"$a", server.address},
                           {"\"memory_mb\":192", "\"memory_mb\":48"},
                           {"\"sockets\":1024", "\"sockets\":512"}});
    std::thread([&server] {
        for (int fd; (fd = accept4(server.fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
            std::thread(serve, fd).detach();
    }).detach();
    Node node;
    node.start(given[1], -1);
    node.until_ready();
    beside(node, "long bodies", [&] {
        std::atomic<std::size_t> whole{0};
        std::vector<std::thread> threads;
        for (std::size_t i = 0; i < transfers; ++i)
            threads.emplace_back([&, up = i % 4 == 0] { whole += transfer(clients.at, up); });
        for (std::thread& t : threads) t.join();
        std::printf("%zu of %zu came whole, %zu MB each\n", whole.load(), transfers, body_size >> 20);
        assert(whole == transfers);
    });
    rlimit most{};
    getrlimit(RLIMIT_NOFILE, &most);
    most.rlim_cur = most.rlim_max;
    setrlimit(RLIMIT_NOFILE, &most);
    crowd_size = std::min<std::size_t>(crowd_size, most.rlim_cur - 100);
    beside(node, "crowd", [&] {
        std::vector<int> crowd;
        std::size_t served = 0;
        for (std::size_t i = 0; i < crowd_size; ++i) {
            crowd.push_back(connected(clients.at));
            if (i % 2 == 0 && crowd.back() >= 0) send_all(crowd.back(), "GET /look HTTP/1.1\r\nX-", 23);
            if (i % 40 != 0) continue;
            int fd = connected(clients.at);
            served += ask(fd, head_of("GET /look?short") + "\r\n").starts_with("HTTP/1.1 200");
            close(fd);
        }
        for (int fd : crowd) close(fd);
        std::printf("%zu of %zu requests served beside %zu idle and half-sent connections\n", served,
                    (crowd_size + 39) / 40, crowd_size);
        assert(served == (crowd_size + 39) / 40);
    });
    while (node.figure("app_current") != 0) usleep(1000);
    node.stop();
    return 0;
}
