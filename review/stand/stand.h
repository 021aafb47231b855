// Stand-ins for the review's cases: servers (each a process), discovery (a thread), clients, and the node
// under test, which is started with the command of the deploy file. Loopback addresses alone; POSIX and the
// C++ library alone.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/ioctl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace stand {

/// Seconds on the machine's monotonic clock, which all processes share.
inline double now() {
    timespec t{};
    clock_gettime(CLOCK_MONOTONIC, &t);
    return double(t.tv_sec) + double(t.tv_nsec) / 1e9;
}
inline void sleep_s(double s) {
    if (s > 0) std::this_thread::sleep_for(std::chrono::duration<double>(s));
}
inline void sleep_until(double at) {
    sleep_s(at - now());
}

struct CannotRun {
    std::string why;
};

/// record.txt: what was sent, answered and run, a line each, with the seconds since the start.
class Record {
public:
    explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(now()) {
        if (!file_) throw CannotRun{"cannot write " + path};
        setvbuf(file_, nullptr, _IOLBF, 0);
    }
    ~Record() { std::fclose(file_); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.3f ", now() - start_);
        va_list args;
        va_start(args, format);
        std::vfprintf(file_, format, args);
        va_end(args);
        std::fputc('\n', file_);
    }
    double since_start(double at) const { return at - start_; }

private:
    std::FILE* file_;
    double start_;
    std::mutex mutex_;
};

inline bool wait_for(int fd, short what, double until) {
    for (;;) {
        double left = until - now();
        if (left <= 0) return false;
        pollfd p{fd, what, 0};
        int n = poll(&p, 1, int(left * 1000) + 1);
        if (n > 0) return true;
        if (n < 0 && errno != EINTR) return false;
    }
}

/// A listening socket on a free port of 127.0.0.1.
inline int listen_somewhere(int& port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(std::uint16_t(port));
    socklen_t size = sizeof at;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(fd, 1024) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        throw CannotRun{std::string("no listening socket: ") + std::strerror(errno)};
    port = ntohs(at.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0, fd = listen_somewhere(port);
    close(fd);
    return port;
}
inline std::string address(int port) {
    return "127.0.0.1:" + std::to_string(port);
}

/// -1: refused or not up in time.
inline int connect_to(int port, double within = 1) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (fd < 0) return -1;
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(std::uint16_t(port));
    if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        int error = errno;
        socklen_t size = sizeof error;
        bool up = error == EINPROGRESS && wait_for(fd, POLLOUT, now() + within) &&
                  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
        if (!up) {
            close(fd);
            return -1;
        }
    }
    return fd;
}

/// False: it broke, or was not written whole by then.
inline bool send_all(int fd, const char* bytes, std::size_t size, double until) {
    while (size > 0) {
        ssize_t n = send(fd, bytes, size, MSG_NOSIGNAL);
        if (n > 0) {
            bytes += n;
            size -= std::size_t(n);
        } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!wait_for(fd, POLLOUT, until)) return false;
        } else if (n < 0 && errno != EINTR) {
            return false;
        }
    }
    return true;
}
inline bool send_all(int fd, const std::string& text, double until) {
    return send_all(fd, text.data(), text.size(), until);
}
/// Bytes that the far side's system has not acknowledged.
inline int unacknowledged(int fd) {
    int bytes = 0;
    return ioctl(fd, SIOCOUTQ, &bytes) == 0 ? bytes : -1;
}

struct Head {
    std::string first;                           // method or status line
    std::map<std::string, std::string> headers;  // names in small letters
    std::string word(int n) const {
        std::string rest = first;
        for (; n > 0; --n)
            rest.erase(0, rest.find(' ') == std::string::npos ? rest.size() : rest.find(' ') + 1);
        return rest.substr(0, rest.find(' '));
    }
    std::string header(const std::string& name) const {
        auto found = headers.find(name);
        return found == headers.end() ? "" : found->second;
    }
};

/// One connection, read message by message.
class Reader {
public:
    enum class Got { Message, End, Broken, Late };
    explicit Reader(int fd) : fd_(fd) {}

    /// The next head with its body (of a known length). A long body is counted and not kept.
    Got message(Head& head, std::string& body, double until) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
            if (Got got = more(until); got != Got::Message) return got;
        head = parse(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string length = head.header("content-length");
        std::size_t left = length.empty() ? 0 : std::stoul(length);
        body.clear();
        body_bytes = 0;
        for (;;) {
            std::size_t take = std::min(left, buffer_.size());
            if (body.size() < 65536) body.append(buffer_, 0, std::min<std::size_t>(take, 65536));
            buffer_.erase(0, take);
            left -= take;
            body_bytes += take;
            if (left == 0) return Got::Message;
            if (Got got = more(until); got != Got::Message) return got;
        }
    }
    std::size_t body_bytes = 0;
    bool begun() const { return !buffer_.empty(); }

private:
    Got more(double until) {
        char bytes[65536];
        for (;;) {
            ssize_t n = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
            if (n > 0) {
                buffer_.append(bytes, std::size_t(n));
                return Got::Message;
            }
            if (n == 0) return Got::End;
            if (errno == EINTR) continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK) return Got::Broken;
            if (!wait_for(fd_, POLLIN, until)) return Got::Late;
        }
    }
    static Head parse(const std::string& text) {
        Head head;
        head.first = text.substr(0, text.find("\r\n"));
        for (std::size_t at = head.first.size() + 2; at < text.size();) {
            std::size_t end = std::min(text.find("\r\n", at), text.size());
            std::string line = text.substr(at, end - at);
            at = end + 2;
            std::size_t colon = line.find(':');
            if (colon == std::string::npos) continue;
            std::string name = line.substr(0, colon);
            for (char& c : name) c = char(std::tolower(static_cast<unsigned char>(c)));
            std::size_t value = line.find_first_not_of(' ', colon + 1);
            head.headers[name] = value == std::string::npos ? "" : line.substr(value);
        }
        return head;
    }

    int fd_;
    std::string buffer_;
};

// ---- Servers

/// What a server's process did with a request, told through a pipe.
struct Ran {
    double at = 0;
    int server = 0;
    char id[40] = {};
    char what[24] = {};  // "begun", "answered", "gone"
};

struct ServerOptions {
    double work_s = 0.12, work_most_s = 0.12;  // from a request's last byte to its answer, drawn between them
    double copies = 0;                         // the share of answers that come a second time ...
    double copy_least_s = 0, copy_most_s = 0;  // ... so much later
};

/// A process that answers each request after a while, and probes at once. Begins a request with its last
/// byte.
class Server {
public:
    Server(int number, int cell, const ServerOptions& options, int tell)
        : number_(number), cell_(cell), options_(options) {
        int fd = listen_somewhere(port_);
        pid_t parent = getpid();
        pid_ = fork();
        if (pid_ < 0) throw CannotRun{"no process"};
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent) _exit(2);
            serve(fd, tell);
        }
        close(fd);
    }
    ~Server() { end(); }
    Server(const Server&) = delete;

    void signal(int what) const {
        if (pid_ > 0) kill(pid_, what);
    }
    void end() {
        if (pid_ <= 0) return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    int number() const { return number_; }
    std::string id() const { return "s-" + std::to_string(number_); }
    int cell() const { return cell_; }
    int port() const { return port_; }
    pid_t pid() const { return pid_; }

private:
    [[noreturn]] void serve(int fd, int tell) {
        ::signal(SIGPIPE, SIG_IGN);
        for (;;) {
            int client = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (client < 0) continue;
            std::thread([this, client, tell] { talk(client, tell); }).detach();
        }
    }
    static double drawn(double least, double most) {
        static thread_local std::mt19937_64 random{std::random_device{}()};
        return std::uniform_real_distribution<double>(least, most)(random);
    }
    void talk(int fd, int tell) {
        // A copy that comes late is written beside whatever the connection does by then.
        std::shared_ptr<int> socket(new int(fd), [](int* one) {
            close(*one);
            delete one;
        });
        int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        Reader reader(fd);
        Head head;
        std::string body;
        constexpr double kLong = 1e9;
        while (reader.message(head, body, now() + kLong) == Reader::Got::Message) {
            std::string target = head.word(1), id = head.header("x-trace-id");
            if (target == "/healthz") {
                if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", now() + kLong)) break;
                continue;
            }
            report(tell, id, "begun");
            sleep_s(drawn(options_.work_s, options_.work_most_s));
            std::string text = "done " + id + " by " + this->id() + "\n";
            std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
            if (!send_all(fd, answer, now() + kLong)) break;
            report(tell, id, "answered");
            if (drawn(0, 1) >= options_.copies) continue;
            std::thread([this, socket, answer, id, tell] {
                sleep_s(drawn(options_.copy_least_s, options_.copy_most_s));
                if (send_all(*socket, answer, now() + 1)) report(tell, id, "answered twice");
            }).detach();
        }
        shutdown(fd, SHUT_RDWR);
    }
    void report(int tell, const std::string& id, const char* what) const {
        Ran ran;
        ran.at = now();
        ran.server = number_;
        std::snprintf(ran.id, sizeof ran.id, "%s", id.c_str());
        std::snprintf(ran.what, sizeof ran.what, "%s", what);
        (void)!write(tell, &ran, sizeof ran);
    }

    int number_, cell_, port_ = 0;
    ServerOptions options_;
    pid_t pid_ = -1;
};

/// Called once the servers' processes are there.
inline std::function<void()>& on_first_thread() {
    static auto* begin = new std::function<void()>;
    return *begin;
}

/// Reads what the servers tell.
class Runs {
public:
    Runs() {
        if (pipe2(pipe_, O_CLOEXEC) != 0) throw CannotRun{"no pipe"};
    }
    int tell() const { return pipe_[1]; }
    void start(Record& record) {
        if (on_first_thread()) on_first_thread()();
        std::thread([this, &record] {
            Ran ran;
            while (read(pipe_[0], &ran, sizeof ran) == ssize_t(sizeof ran)) {
                record.line("server s-%d: %s %s", ran.server, ran.what, ran.id);
                std::lock_guard lock(mutex_);
                all_.push_back(ran);
            }
        }).detach();
    }
    /// The server that has begun most requests.
    int busiest() {
        std::lock_guard lock(mutex_);
        std::map<int, int> begun;
        for (const Ran& ran : all_) begun[ran.server] += std::string(ran.what) == "begun";
        int most = 0;
        for (const auto& [server, count] : begun)
            if (count > begun[most]) most = server;
        return most;
    }
    std::vector<Ran> of(const std::string& id) {
        std::lock_guard lock(mutex_);
        std::vector<Ran> some;
        std::copy_if(all_.begin(), all_.end(), std::back_inserter(some),
                     [&](const Ran& r) { return id == r.id; });
        return some;
    }

private:
    int pipe_[2] = {-1, -1};
    std::mutex mutex_;
    std::vector<Ran> all_;
};

// ---- Discovery

struct Member {
    std::string id;
    int port = 0, cell = 0;
    std::string phase = "in_service";
    double up_since_ms = 0;
};

/// Answers whole lists and watches at once and in full.
class Discovery {
public:
    Discovery() : fd_(listen_somewhere(port_)) {}
    void start() {
        std::thread([this] {
            for (;;) {
                int client = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                if (client >= 0) std::thread([this, client] { talk(client); }).detach();
            }
        }).detach();
    }
    int port() const { return port_; }
    void set(const Member& member) {
        std::lock_guard lock(mutex_);
        ++revision_;
        members_[member.id] = {member, revision_};
        changed_.notify_all();
    }
    std::string whole() {
        std::lock_guard lock(mutex_);
        return list(0, true);
    }

private:
    struct Entry {
        Member member;
        long revision = 0;
    };
    std::string list(long behind, bool complete) const {
        std::string text = "{\"revision\":" + std::to_string(revision_) +
                           ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[";
        bool first = true;
        for (const auto& [id, entry] : members_) {
            const Member& m = entry.member;
            if (complete ? m.phase == "terminated" : entry.revision <= behind) continue;
            char up[40];
            std::snprintf(up, sizeof up, "%.0f", m.up_since_ms);
            text += std::string(first ? "" : ",") + "{\"id\":\"" + m.id + "\",\"host_port\":\"" +
                    address(m.port) + "\",\"locality\":\"shah-alam\",\"flavor\":\"std-box\",\"cell\":" +
                    std::to_string(m.cell) + ",\"phase\":\"" + m.phase +
                    "\",\"size\":1.0,\"up_since_ms\":" + up + "}";
            first = false;
        }
        return text + "]}";
    }
    void talk(int fd) {
        Reader reader(fd);
        Head head;
        std::string body;
        while (reader.message(head, body, now() + 1e9) == Reader::Got::Message) {
            std::string target = head.word(1), text;
            std::size_t index = target.find("index="), wait = target.find("wait=");
            if (index == std::string::npos) {
                text = whole();
            } else {
                long behind = std::stol(target.substr(index + 6));
                double ms = wait == std::string::npos ? 0 : std::stod(target.substr(wait + 5));
                std::unique_lock lock(mutex_);
                changed_.wait_for(lock, std::chrono::duration<double, std::milli>(ms),
                                  [&] { return revision_ > behind; });
                text = list(behind, false);
            }
            if (!send_all(
                    fd,
                    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text,
                    now() + 5))
                break;
        }
        close(fd);
    }

    int port_ = 0, fd_;
    std::mutex mutex_;
    std::condition_variable changed_;
    long revision_ = 41;
    std::map<std::string, Entry> members_;
};

// ---- The node

/// The settings of roda-orders, as its site file has them, in one zone.
inline std::string settings(int me, int nodes) {
    return "{\"Me\":" + std::to_string(me) + ",\"Balancers\":" + std::to_string(nodes) +
           R"(,"Azs":["shah-alam"],"Locality":"shah-alam","Flavors":["fast-box","std-box"],"Discovery":"ask",
  "Weights":"nominal","Granularity":2.0,"OverShareWorth":0.05,"CountedBy":"request","Family":"proxy",
  "Accounts":[{"Name":"kayuh-utama","QuotaRps":94.0,"Share":0.54},{"Name":"pedal-selatan","QuotaRps":78.0,"Share":0.46}],
  "Services":[
   {"Name":"stock-check","Effect":"free","OnTime":150.0,"GiveUp":600.0,"Gain":5.0,"LateWorth":0.5,"Stream":false},
   {"Name":"price-look","Effect":"free","OnTime":200.0,"GiveUp":500.0,"Gain":3.0,"LateWorth":0.25,"Stream":false},
   {"Name":"place-order","Effect":"single_shot","OnTime":600.0,"GiveUp":2500.0,"Gain":8.0,"LateWorth":0.3,"Stream":false},
   {"Name":"order-change","Effect":"guarded","DedupScope":"cell","Window":6000.0,"OnTime":600.0,"GiveUp":1200.0,
    "Gain":3.0,"LateWorth":0.25,"Stream":false}],
  "Limits":{"Probes":true,"Cancel":true,"SecondCopies":false,"RetryAfter":true,"MaxAttempts":5,"MaxRetryAfter":1200.0,
   "ConnIdle":10000.0,"ConnectTimeout":75.0,"MostHeld":20000,"Peers":true,"StreamsPerConn":1},
  "LoadReport":{"How":"answers","Columns":["queue","latency_ms","qps"]},
  "Prices":{"Probe":0.03,"CrossZone":0.02,"Handshake":0.02,"Waste":0.05,"LateFail":0.05,"Peer":0.013},
  "Safety":{"Cold":8200.0,"ColdFrom":0.3,"OverloadFactor":3.0,"TipAfter":1500.0,"GraceToAnswer":8.0,
   "StopSendingWithin":2000.0,"AskWithin":10000.0}})";
}

/// The temporary folders that are there now.
inline std::vector<std::string>& folders() {
    static auto* all = new std::vector<std::string>;
    return *all;
}
/// Ends this process at once, its folders with it; its children are killed by the system.
[[noreturn]] inline void finish(int status) {
    std::error_code ignored;
    for (const std::string& folder : folders()) std::filesystem::remove_all(folder, ignored);
    std::fflush(nullptr);
    _exit(status);
}

class Folder {
public:
    Folder() {
        std::string made = (std::filesystem::temp_directory_path() / "ochrehub-review.XXXXXX").string();
        if (!mkdtemp(made.data())) throw CannotRun{"no temporary folder"};
        path_ = made;
        folders().push_back(path_);
    }
    ~Folder() {
        std::error_code ignored;
        std::filesystem::remove_all(path_, ignored);
        std::erase(folders(), path_);
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/// The `run` of deploy/balancer.toml.
inline std::string deploy_command(const std::string& root) {
    std::ifstream file(root + "/deploy/balancer.toml");
    std::string line;
    while (std::getline(file, line)) {
        std::size_t from = line.find('"');
        if (line.rfind("run", 0) == 0 && from != std::string::npos)
            return line.substr(from + 1, line.find('"', from + 1) - from - 1);
    }
    throw CannotRun{"no `run` in deploy/balancer.toml"};
}

class Process {
public:
    ~Process() { end(); }
    /// By /bin/sh -c from the repository's root, its log to a file.
    void start(const std::string& root, const std::string& command,
               const std::map<std::string, std::string>& more, const std::string& log) {
        std::vector<std::string> environment;
        for (char** one = environ; *one; ++one) {
            std::string text = *one, name = text.substr(0, text.find('='));
            if (!more.contains(name) && name.rfind("GW_", 0) != 0) environment.push_back(text);
        }
        for (const auto& [name, value] : more) environment.push_back(name + "=" + value);
        std::vector<char*> pointers;
        for (std::string& one : environment) pointers.push_back(one.data());
        pointers.push_back(nullptr);
        std::string shell = "/bin/sh", c = "-c", text = command;
        char* arguments[] = {shell.data(), c.data(), text.data(), nullptr};
        int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        int nothing = open("/dev/null", O_RDONLY | O_CLOEXEC);
        pid_t parent = getpid();
        pid_ = fork();
        if (pid_ < 0) throw CannotRun{"no process"};
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (getppid() != parent || chdir(root.c_str()) != 0) _exit(2);
            dup2(nothing, 0);
            dup2(out, 1);
            dup2(out, 2);
            execve("/bin/sh", arguments, pointers.data());
            _exit(2);
        }
        close(out);
        close(nothing);
    }
    void signal(int what) const {
        if (pid_ > 0) kill(pid_, what);
    }
    /// How it ended, if it has.
    std::optional<std::string> ended() {
        int status = 0;
        if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
        pid_ = -1;
        return WIFSIGNALED(status) ? "killed by signal " + std::to_string(WTERMSIG(status))
                                   : "exit status " + std::to_string(WEXITSTATUS(status));
    }
    void end() {
        if (pid_ <= 0) return;
        kill(pid_, SIGKILL);
        waitpid(pid_, nullptr, 0);
        pid_ = -1;
    }
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
};

class Node : public Process {
public:
    int port = 0;

    void start(const std::string& root, const Folder& folder, Discovery& discovery, int me = 0,
               int nodes = 1) {
        port = free_port();
        std::string name = "n" + std::to_string(me), config = folder.path() + "/" + name + ".json",
                    scratch = folder.path() + "/" + name;
        std::filesystem::create_directories(scratch);
        std::ofstream(config) << "{\"name\":\"" << name << "\",\"listen\":\"" << address(port)
                              << "\",\"discovery\":\"" << address(discovery.port())
                              << "\",\"seed\":\"8c1f30d27a5be96" << me
                              << "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                                 "\"peer_listen\":\""
                              << address(port) << "\",\"peers\":[],\"peers_all\":\"" << address(port)
                              << "\",\"known\":" << discovery.whole()
                              << ",\"settings\":" << settings(me, nodes) << "}";
        Process::start(root, deploy_command(root),
                       {{"GW_NAME", name},
                        {"GW_LISTEN", address(port)},
                        {"GW_DISCOVERY", address(discovery.port())},
                        {"GW_CONFIG", config},
                        {"TMPDIR", scratch}},
                       folder.path() + "/" + name + ".log");
        for (double until = now() + 30; !ready();) {
            if (auto how = ended()) throw CannotRun{"the node ended: " + *how};
            if (now() > until) throw CannotRun{"the node is not ready after 30 s"};
            sleep_s(0.05);
        }
    }

private:
    bool ready() const {
        int fd = connect_to(port);
        if (fd < 0) return false;
        Head head;
        std::string body;
        bool yes = send_all(fd, "GET /healthz HTTP/1.1\r\nHost: app.svc\r\n\r\n", now() + 1) &&
                   Reader(fd).message(head, body, now() + 1) == Reader::Got::Message && head.word(1) == "200";
        close(fd);
        return yes;
    }
};

// ---- Clients

inline std::string fresh_id() {
    static std::atomic<unsigned> count{0};
    char text[40];
    std::snprintf(text, sizeof text, "%08x%08x", unsigned(getpid()), ++count);
    return text;
}
inline std::string request_head(const std::string& request_class, const std::string& id, double patience_s,
                                std::size_t body_bytes, const std::string& more = "") {
    bool reads = request_class == "stock-check" || request_class == "price-look";
    char patience[32];
    std::snprintf(patience, sizeof patience, "%.3f", patience_s);
    return std::string(reads ? "GET" : "POST") + " /" + request_class +
           " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id +
           "\r\nX-Customer: kayuh-utama\r\nX-Expires-In: " + patience + "\r\n" +
           (request_class == "order-change" ? "Idempotency-Key: " + id + "\r\n" : "") +
           (reads ? "" : "Content-Length: " + std::to_string(body_bytes) + "\r\n") + more + "\r\n";
}

/// Runs a case: 1 the rule was broken, 0 it held, 2 the case could not run; nothing else, and within 115 s.
/// Processes that it started end with it (PR_SET_PDEATHSIG), however it ends.
inline int run(const std::string& record, const std::function<int()>& the_case) {
    static constexpr double kMost = 115;
    ::signal(SIGPIPE, SIG_IGN);
    auto cannot = [record](const std::string& why) {
        std::fprintf(stderr, "the case could not run: %s\n", why.c_str());
        std::ofstream(record, std::ios::app) << "the case could not run: " << why << "\n";
        return 2;
    };
    std::set_terminate([] { finish(2); });
    // Behind the case's own processes: these are forked before any thread is there.
    static std::function<void()> watch = [cannot] {
        sleep_s(kMost);
        finish(cannot("it took too long"));
    };
    on_first_thread() = [] { std::thread(watch).detach(); };
    int status = 2;
    try {
        status = the_case();
    } catch (const CannotRun& why) {
        status = cannot(why.why);
    } catch (const std::exception& why) {
        status = cannot(why.what());
    }
    finish(status);
}
inline bool trouble() {
    const char* said = std::getenv("TROUBLE");
    return !said || std::string(said) != "0";
}

}  // namespace stand
