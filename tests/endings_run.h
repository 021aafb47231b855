// What the runs of endings share: peers that make the order of events themselves, and the rows that a run is
// made of.
#pragma once

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "node_run.h"

namespace ochrehub::run {

using Steady = std::chrono::steady_clock;

inline double ms_since(Steady::time_point at) {
    return std::chrono::duration<double, std::milli>(Steady::now() - at).count();
}

inline const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
inline const std::string kFull =
    "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";

/// The servers, in one thread: what had come by one look is noted before any of it is answered. The words of
/// a target say what becomes of it: `hold` waits for release(), `full` is turned away then, with `first` only
/// the first attempt is, a further attempt of one that is `stuck` waits, `big`, `huge` and `long` have long
/// answers.
class Servers {
public:
    explicit Servers(std::vector<Listener*> listeners) : listeners_(std::move(listeners)) {
        thread_ = std::thread([this] { run(); });
    }
    ~Servers() {  // their node has ended: nothing holds the thread up
        assert(eventfd_write(over_, 1) == 0);
        thread_.join();
        close(over_);
    }
    /// When its head was read first; none: it never came.
    bool begun(long id, Steady::time_point* at = nullptr) {
        std::lock_guard hold(mutex_);
        auto found = begun_.find(id);
        if (found != begun_.end() && at) *at = found->second;
        return found != begun_.end();
    }
    int times(long id) {
        std::lock_guard hold(mutex_);
        return times_[id];
    }
    void until_begun(long id) {
        std::unique_lock hold(mutex_);
        changed_.wait(hold, [&] { return begun_.contains(id); });
    }
    /// The connection that it came on has ended.
    void until_ended(long id) {
        std::unique_lock hold(mutex_);
        changed_.wait(hold, [&] { return ended_.contains(id); });
    }
    /// Answers what is held; on return the bytes are with the node's system.
    void release(long id) {
        std::lock_guard hold(mutex_);
        auto held = held_.find(id);
        assert(held != held_.end());
        send_all(held->second.first, held->second.second.data(), held->second.second.size());
        held_.erase(held);
    }

private:
    void run() {
        std::map<int, std::string> heads;
        std::map<int, std::set<long>> on;
        std::vector<pollfd> open{{over_, POLLIN, 0}};
        for (Listener* l : listeners_) open.push_back({l->fd, POLLIN, 0});
        while (poll(open.data(), open.size(), -1) > 0 && open.front().revents == 0) {
            std::vector<std::pair<int, std::string>> answers;
            {
                std::lock_guard hold(mutex_);
                for (std::size_t i = open.size(); i-- > 0;) {
                    if (open[i].revents == 0) continue;
                    int fd = open[i].fd;
                    if (i <= listeners_.size()) {
                        open.push_back({accept4(fd, nullptr, nullptr, SOCK_CLOEXEC), POLLIN, 0});
                        continue;
                    }
                    char bytes[65536];
                    ssize_t got = read(fd, bytes, sizeof bytes);
                    std::string& head = heads[fd];
                    if (got > 0) head.append(bytes, std::size_t(got));
                    for (std::size_t end; (end = head.find("\r\n\r\n")) != std::string::npos;
                         head.erase(0, end + 4)) {
                        std::string target = head.substr(0, head.find(" HTTP/"));
                        std::size_t number = target.find("id=");
                        if (number == std::string::npos) continue;
                        long id = std::atol(target.c_str() + number + 3);
                        begun_.emplace(id, Steady::now());
                        ++times_[id];
                        on[fd].insert(id);
                        std::string answer = kOk;
                        bool later = target.find("first") != std::string::npos && times_[id] > 1;
                        if (target.find("full") != std::string::npos && !later) answer = kFull;
                        if (target.find("big") != std::string::npos)
                            answer =
                                "HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n" + std::string(30000, 'b');
                        if (target.find("huge") != std::string::npos)
                            answer = "HTTP/1.1 200 OK\r\nContent-Length: 2000000\r\n\r\n" +
                                     std::string(2000000, 'h');
                        if (target.find("long") != std::string::npos)
                            answer = "HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n" +
                                     std::string(16000000, 'l');
                        bool first = times_[id] == 1;
                        if (target.find(first ? "hold" : "stuck") != std::string::npos)
                            held_[id] = {fd, answer};
                        else
                            answers.emplace_back(fd, answer);
                    }
                    if (got > 0) continue;
                    for (long id : on[fd]) ended_.insert(id), held_.erase(id);
                    on.erase(fd), heads.erase(fd);
                    close(fd);
                    open.erase(open.begin() + std::ptrdiff_t(i));
                }
            }
            changed_.notify_all();
            for (const auto& [fd, answer] : answers) send_all(fd, answer.data(), answer.size());
        }
    }

    std::vector<Listener*> listeners_;
    int over_ = eventfd(0, EFD_CLOEXEC);
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<long, Steady::time_point> begun_;
    std::map<long, int> times_;
    std::set<long> ended_;
    std::map<long, std::pair<int, std::string>> held_;
    std::thread thread_;
};

inline std::atomic<long> next_id{1};

inline std::string get(long id, const std::string& words = "") {
    return "GET /look?" + words + "&id=" + std::to_string(id) +
           " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(id) + "\r\n\r\n";
}

inline void put(int fd, const std::string& bytes) {
    assert(send_all(fd, bytes.data(), bytes.size()));
}

/// The node's side of a connection as its system has it. Not by what is acknowledged: that comes 40 ms late.
class Far {
public:
    explicit Far(int fd) {
        sockaddr_in mine{}, theirs{};
        socklen_t size = sizeof mine;
        assert(getsockname(fd, reinterpret_cast<sockaddr*>(&mine), &size) == 0);
        assert(getpeername(fd, reinterpret_cast<sockaddr*>(&theirs), &size) == 0);
        key_ = hex(theirs) + " " + hex(mine) + " ";
    }
    unsigned long unread() const {
        unsigned long here = 0;
        until([&here](unsigned, unsigned long unread) {
            here = unread;
            return true;
        });
        return here;
    }
    void until_unread() const {
        until([](unsigned, unsigned long unread) { return unread > 0; });
    }
    void until_read() const {
        until([](unsigned, unsigned long unread) { return unread == 0; });
    }
    /// The node has ended it, though what it wrote may not be here yet.
    void until_left() const {
        until([](unsigned state, unsigned long) { return state != TCP_ESTABLISHED; });
    }
    /// ... and this side's system has all of that.
    void until_all_here() const {
        until([](unsigned state, unsigned long) { return state == TCP_FIN_WAIT2 || state == TCP_CLOSE; });
    }
    /// As until_left(), and for how many ms before that the node had read nothing of it, as far as was
    /// watched.
    double until_left_unread() const {
        unsigned long last = ~0UL;
        Steady::time_point at = Steady::now();
        until([&](unsigned state, unsigned long unread) {
            if (state != TCP_ESTABLISHED) return true;
            if (std::exchange(last, unread) != unread) at = Steady::now();
            return false;
        });
        return ms_since(at);
    }
    /// The end is there, and so is all before it.
    void until_ended() const {
        until([](unsigned state, unsigned long) { return state == TCP_CLOSE_WAIT || state == TCP_CLOSE; });
    }

private:
    static std::string hex(const sockaddr_in& at) {
        char text[16];
        std::snprintf(text, sizeof text, "%08X:%04X", unsigned(at.sin_addr.s_addr),
                      unsigned(ntohs(at.sin_port)));
        return text;
    }
    template <class Right>
    void until(Right right) const {
        while (true) {
            std::ifstream table("/proc/net/tcp");
            unsigned state = TCP_CLOSE;  // also where a reset has taken it out of the table
            unsigned long unsent = 0, unread = 0;
            for (std::string line; std::getline(table, line);)
                if (std::size_t at = line.find(key_); at != std::string::npos) {
                    std::sscanf(line.c_str() + at + key_.size(), "%x %lx:%lx", &state, &unsent, &unread);
                    break;
                }
            if (right(state, unread)) return;
            usleep(100);
        }
    }
    std::string key_;
};

/// The node's system has asked for a connection to `to`, and has had no answer yet.
inline void until_asked_for(const sockaddr_in& to) {
    char asked[24];
    std::snprintf(asked, sizeof asked, " %08X:%04X %02X ", unsigned(to.sin_addr.s_addr),
                  unsigned(ntohs(to.sin_port)), unsigned(TCP_SYN_SENT));
    for (bool found = false; !found; usleep(100)) {
        std::ifstream table("/proc/net/tcp");
        for (std::string line; !found && std::getline(table, line);)
            found = line.find(asked) != std::string::npos;
    }
}

/// 0: it ended; -1: it was reset; else a byte came.
inline int next_byte(int fd) {
    char byte = 0;
    ssize_t got = read(fd, &byte, 1);
    return got > 0 ? 1 : int(got);
}

/// A reset behind an end shows here alone: reads go on saying that it ended.
inline bool was_reset(int fd) {
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

enum class Leave { Fin, Rst, Cancel };
inline constexpr Leave kLeaves[] = {Leave::Fin, Leave::Rst, Leave::Cancel};

/// Fin: its writing side alone, so that it sees the node's own end. Cancel: both sides, as a library does
/// that calls a request off.
inline void leave(int& fd, Leave how) {
    linger at_once{1, 0};
    if (how == Leave::Fin) shutdown(fd, SHUT_WR);
    if (how == Leave::Cancel) shutdown(fd, SHUT_RDWR);
    if (how == Leave::Rst) setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    if (how == Leave::Rst) close(std::exchange(fd, -1));
}

inline void end(int& fd) {
    if (fd >= 0) close(std::exchange(fd, -1));
}

/// False: it had ended already.
inline bool halted(const Node& node) {
    kill(node.pid, SIGSTOP);
    int status = 0;
    assert(waitpid(node.pid, &status, WUNTRACED) == node.pid);
    bool ended_well = WIFEXITED(status) && WEXITSTATUS(status) == 0;
    if (!WIFSTOPPED(status) && !ended_well)
        std::fprintf(stderr, "the node ended with wait status %#x\n", unsigned(status));
    assert(WIFSTOPPED(status) || ended_well);
    return WIFSTOPPED(status);
}

inline void halt(const Node& node) {
    assert(halted(node));
}

inline void go_on(const Node& node) {
    kill(node.pid, SIGCONT);
}

struct World {
    Listener clients{false}, a, b, discovery;
    Servers servers{{&a, &b}};

    static std::string member(const char* id, const Listener& l, const char* phase = "in_service") {
        return std::string("{\"id\":\"") + id + "\",\"host_port\":\"" + l.address +
               "\",\"locality\":\"east\",\"flavor\":\"m\",\"cell\":0,\"phase\":\"" + phase +
               "\",\"size\":1.0,\"up_since_ms\":0}";
    }
    Setup setup(const char* config, std::vector<std::pair<std::string, std::string>> more = {},
                bool listed = true) const {
        std::string one =
            R"({"id":"s-a","host_port":"$a","locality":"east","flavor":"m","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0})";
        std::vector<std::pair<std::string, std::string>> all = std::move(more);
        all.emplace_back(one, listed ? member("s-a", a) + "," + member("s-b", b) : "");
        all.emplace_back("\"Cold\":8000.0",
                         "\"Cold\":1.0");  // else requests wait for servers that are new to the node
        all.emplace_back("$n", clients.address);
        all.emplace_back("$d", discovery.address);
        return Setup(config, all);
    }
    int connect() const {
        int fd = connected(clients.at);
        assert(fd >= 0);
        return fd;
    }
    /// All that was sent on before this has reached its server.
    void settle() {
        int fd = connect();
        while (!ask(fd, get(next_id++)).starts_with("HTTP/1.1 200")) usleep(1000);  // a 503 reaches no server
        close(fd);
    }
    void until_idle(const Node& node) const {
        while (node.figure("app_current") != 0) usleep(1000);
    }
};

inline void row(const char* name, const char* what) {
    std::printf("%-28s %s\n", name, what);
    std::fflush(stdout);
}

struct Stopping {
    Steady::time_point at = Steady::now();
    explicit Stopping(const Node& node) { kill(node.pid, SIGTERM); }
    /// Ms from the signal to the end, which must be an orderly one.
    double until_over(const Node& node) const {
        int status = -1;
        assert(waitpid(node.pid, &status, 0) == node.pid);
        assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
        return ms_since(at);
    }
};

/// A row that has to do its part by some ms after the signal: on a machine that is too busy for that it has
/// shown nothing, and is played anew on another node. `attempt` is false where it came too late.
inline void in_time(const std::function<bool()>& attempt) {
    while (!attempt()) std::printf("(too late on this machine: once more)\n");
}
/// Ends a node whose row came too late.
inline bool too_late(const Node& node) {
    kill(node.pid, SIGKILL);
    waitpid(node.pid, nullptr, 0);
    return false;
}

struct Row {
    const char* name;
    std::function<void(World&, const Node&)> beside;                     // others' rows, on one node
    std::function<void(const char* program, const char* config)> alone;  // on nodes of its own
};

// Of endings_leaving, _answers, _bodies, _uploads, _stopping, _stop_limit and _sockets.cpp: parts whose rows
// go one after the other, and the parts beside each other.
using Part = std::vector<Row>;
std::vector<Part> leaving();
std::vector<Part> answers();
std::vector<Part> bodies();
std::vector<Part> stopping();
std::vector<Part> sockets();
std::vector<Part> uploads();
std::vector<Part> stop_limits();

}  // namespace ochrehub::run
