// Real nodes as processes, stand-in servers and clients on loopback, for runs that no recorded exchange can
// show.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#undef NDEBUG
#include <cassert>

namespace ochrehub::run {

/// A loopback address of this process's own: runs side by side do not take each other's ports.
inline sockaddr_in loopback() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(0x7f400000u + (std::uint32_t(getpid()) & 0x3fffffu) + 1);
    return at;
}

struct Listener {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at = loopback();
    std::string address;
    /// One that does not listen keeps its port for a node, whose socket may be bound beside it as nobody
    /// else's may.
    explicit Listener(bool listens = true) {
        socklen_t size = sizeof at;
        int on = 1;
        if (!listens) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        assert(bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 && (!listens || listen(fd, 512) == 0));
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        address = std::string(inet_ntoa(at.sin_addr)) + ":" + std::to_string(ntohs(at.sin_port));
    }
};

/// -1: nobody listens there.
inline int connected(const sockaddr_in& to) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) return fd;
    close(fd);
    return -1;
}

inline bool send_all(int fd, const char* bytes, std::size_t size) {
    while (size > 0) {
        ssize_t sent = send(fd, bytes, size, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        bytes += sent, size -= std::size_t(sent);
    }
    return true;
}

/// A head, its blank line included, and the bytes behind it that came along; empty where the connection ended
/// first.
inline std::string read_head(int fd, std::string& behind) {
    char bytes[8192];
    std::size_t end = 0;
    while ((end = behind.find("\r\n\r\n")) == std::string::npos) {
        ssize_t got = read(fd, bytes, sizeof bytes);
        if (got <= 0) return {};
        behind.append(bytes, std::size_t(got));
    }
    std::string head = behind.substr(0, end + 4);
    behind.erase(0, end + 4);
    return head;
}

inline std::size_t length_of(const std::string& head) {
    std::size_t at = head.find("Content-Length: ");
    return at == std::string::npos ? 0 : std::strtoull(head.c_str() + at + 16, nullptr, 10);
}

/// Reads on till `length` bytes have come, those in `behind` first. False: they never did.
inline bool read_body(int fd, std::string& behind, std::size_t length) {
    std::size_t had = std::min(length, behind.size());
    behind.erase(0, had);
    std::vector<char> bytes(65536);
    for (length -= had; length > 0;) {
        ssize_t got = read(fd, bytes.data(), std::min(length, bytes.size()));
        if (got <= 0) return false;
        length -= std::size_t(got);
    }
    return true;
}

/// One exchange with a short answer; empty where the connection ended first.
inline std::string ask(int fd, const std::string& request) {
    if (!send_all(fd, request.data(), request.size())) return {};
    std::string body, head = read_head(fd, body);
    if (head.empty()) return {};
    char bytes[8192];
    while (body.size() < length_of(head)) {
        ssize_t got = read(fd, bytes, sizeof bytes);
        if (got <= 0) return {};
        body.append(bytes, std::size_t(got));
    }
    return head + body;
}

/// A folder of the run's own, and in it the configuration with what stands for addresses, and other texts,
/// replaced.
struct Setup {
    std::string folder;
    Setup(const std::string& config_file, std::vector<std::pair<std::string, std::string>> replaced) {
        char made[] = "/tmp/run.XXXXXX";
        folder = mkdtemp(made);
        std::ifstream base(config_file);
        std::string config{std::istreambuf_iterator<char>(base), {}};
        for (const auto& [from, to] : replaced)
            for (std::size_t at = 0; (at = config.find(from, at)) != std::string::npos; at += to.size())
                config.replace(at, from.size(), to);
        std::ofstream(folder + "/config") << config;
        setenv("GW_CONFIG", (folder + "/config").c_str(), 1);
        setenv("TMPDIR", folder.c_str(), 1);
        std::signal(SIGPIPE, SIG_IGN);
    }
    ~Setup() { std::filesystem::remove_all(folder); }
};

struct Node {
    pid_t pid = -1;
    sockaddr_in control{};

    /// `listener`: handed down as descriptor 7; -1: none is.
    void start(const std::string& program, int listener) {
        Listener kept(false);
        control = kept.at;
        setenv("GW_CONTROL", kept.address.c_str(), 1);
        pid = fork();
        if (pid != 0) return;
        prctl(PR_SET_PDEATHSIG,
              SIGKILL);  // a run that fails leaves no node behind, which would hold its runner's pipe
        if (listener >= 0 && listener != 7) dup2(listener, 7);
        if (listener == 7) fcntl(7, F_SETFD, 0);  // a copy onto itself would stay closed on exec
        close_range(listener >= 0 ? 8 : 3, ~0U, 0);
        execl(program.c_str(), program.c_str(), nullptr);
        _exit(127);
    }
    std::string call(const std::string& what) const {
        int fd = connected(control);
        if (fd < 0) return {};
        std::string answer = ask(fd, what + " HTTP/1.1\r\nHost: o\r\n\r\n");
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
    /// The most that it has held of memory, MB.
    double peak_mb() const {
        std::ifstream status("/proc/" + std::to_string(pid) + "/status");
        for (std::string line; std::getline(status, line);)
            if (line.starts_with("VmHWM:")) return std::atof(line.c_str() + 6) / 1024;
        return -1;
    }
    void stop() const {
        kill(pid, SIGTERM);
        int status = -1;
        waitpid(pid, &status, 0);
        assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
    }
};

}  // namespace ochrehub::run
