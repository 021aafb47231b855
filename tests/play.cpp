// Plays a recorded exchange against the program and compares: play PROGRAM FILE. The file's lines, in order:
//   set PATTERN => TEXT    replaces text in config.json before the start     env NAME=VALUE  for the program
//   start [SHELL]          runs the program, SHELL first   exit CODE   waits for its end; err TEXT: its first
//   line connect C [o]          a client's connection, or one to the second address $o         accept S L one
//   that the program made to listener L C> TEXT   C< TEXT      bytes sent, bytes that must come ('*':
//   anything but a line's end; {N*TEXT}: TEXT N times) list C JSON            an answer 200 with this body
//   eof C   close C   reset C signal TERM, STOP, CONT or KILL     in TEXT / out TEXT: standard streams
//   reload: writes config.json anew and sends SIGHUP conf [TEXT]   adds a line to the operators' file
//   $tmp/conf, or empties it; toml [TEXT]: the same of $tmp/node.toml        args TEXT: arguments to start
//   with serve L TEXT          answers every request at listener L so udp C                 a collector at
//   $C, the same place again after a close; behind each datagram it has a line "="              err* / out*
//   TEXT     pass over what comes before it shell TEXT            runs a command, which must succeed
// $tmp is a folder of the play's own. Listeners are a, b and d (discovery). $a, $b, $d and $n stand for their
// addresses and the program's own. Waits are for events alone; the one time limit there is ends a play that
// hangs.
#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#undef NDEBUG
#include <cassert>

namespace {

int line_number = 0;
std::map<std::string, std::string> names;  // $a and its like
std::map<std::string, int> listeners, peers;
std::map<int, std::string> unread;
std::set<int> collectors;
std::string config, directory, arguments;
pid_t child = -1;
int to_child = -1, from_child = -1, errors = -1;

[[noreturn]] void fail(const std::string& what) {
    std::fprintf(stderr, "line %d: %s\n", line_number, what.c_str());
    if (child > 0) kill(child, SIGKILL);
    std::exit(1);
}

std::string expand(std::string text) {
    for (const auto& [name, value] : names)
        for (std::size_t at; (at = text.find("$" + name)) != std::string::npos;)
            text.replace(at, name.size() + 1, value);
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '\\' && i + 1 < text.size()) {
            char c = text[++i];
            out += c == 'r' ? '\r' : c == 'n' ? '\n' : c;
        } else if (int count = 0, skip = 0;
                   std::sscanf(text.c_str() + i, "{%d*%n", &count, &skip) == 1 && skip > 0) {
            std::size_t from = i + std::size_t(skip), to = text.find('}', from);
            for (std::string part = expand(text.substr(from, to - from)); count > 0; --count) out += part;
            i = to;
        } else {
            out += text[i];
        }
    }
    return out;
}

sockaddr_in loopback(int port) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(std::uint16_t(port));
    // A loopback address of this process's own: plays side by side do not take each other's ports.
    at.sin_addr.s_addr = htonl(0x7f400000u + (std::uint32_t(getpid()) & 0x3fffffu) + 1);
    return at;
}

int listen_on(const std::string& name, int type) {
    int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const std::string& known = names[name];
    sockaddr_in at = loopback(known.empty() ? 0 : std::atoi(known.c_str() + known.find(':') + 1));
    socklen_t size = sizeof at;
    assert(bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0);
    assert(type == SOCK_DGRAM || listen(fd, 64) == 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    char text[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &at.sin_addr, text, sizeof text);
    names[name] = std::string(text) + ":" + std::to_string(ntohs(at.sin_port));
    return fd;
}

void write_config() {
    std::string path = directory + "/config";
    std::ofstream(path) << expand(config);
    setenv("GW_CONFIG", path.c_str(), 1);
}

void start(const std::string& program) {
    write_config();
    int in[2], out[2], err[2];
    assert(pipe2(in, O_CLOEXEC) == 0 && pipe2(out, O_CLOEXEC) == 0 && pipe2(err, O_CLOEXEC) == 0);
    child = fork();
    if (child == 0) {
        dup2(in[0], 0), dup2(out[1], 1), dup2(err[1], 2);
        close_range(3, ~0U, 0);  // whoever runs the tests may leave some open: they would count
        execl("/bin/sh", "sh", "-c", program.c_str(), nullptr);
        _exit(127);
    }
    to_child = in[1], from_child = out[0], errors = err[0];
    close(in[0]), close(out[1]), close(err[1]);
}

int connect_client(const std::string& to) {
    while (true) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = loopback(std::atoi(names[to].c_str() + names[to].find(':') + 1));
        if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0) return fd;
        close(fd);  // not listening yet
        if (waitpid(child, nullptr, WNOHANG) != 0) fail("the program has ended");
        usleep(2000);
    }
}

/// More bytes, or false at the end.
bool more(int fd) {
    char bytes[65536];
    ssize_t got = read(fd, bytes, sizeof bytes);
    if (got > 0) unread[fd].append(bytes, std::size_t(got));
    if (got > 0 && collectors.count(fd)) unread[fd] += "=\n";
    return got > 0;
}

/// How much of `bytes` the pattern takes; -1: more is needed; -2: it does not fit.
long match(const std::string& pattern, const std::string& bytes) {
    std::size_t at = 0;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (pattern[i] == '*') {
            while (at < bytes.size() && bytes[at] != '\r' && bytes[at] != '\n' && bytes[at] != pattern[i + 1])
                ++at;
            continue;
        }
        if (at == bytes.size()) return -1;
        if (bytes[at++] != pattern[i]) return -2;
    }
    return long(at);
}

void expect(int fd, const std::string& pattern) {
    long taken = 0;
    while ((taken = match(pattern, unread[fd])) == -1)
        if (!more(fd)) break;
    if (taken < 0) fail("expected\n" + pattern.substr(0, 2000) + "\nbut came\n" + unread[fd].substr(0, 2000));
    unread[fd].erase(0, std::size_t(taken));
}

/// Waits until `fd` takes more, and reads meanwhile what the others have: the node keeps little of a long
/// body, and takes more of it only as its far side reads.
void wait_to_say(int fd, std::set<int>& ended) {
    std::vector<pollfd> open{{fd, POLLOUT, 0}};
    for (const auto& [name, peer] : peers)
        if (peer != fd && !ended.count(peer)) open.push_back({peer, POLLIN, 0});
    poll(open.data(), open.size(), -1);
    for (std::size_t i = 1; i < open.size(); ++i)
        if (open[i].revents != 0 && !more(open[i].fd)) ended.insert(open[i].fd);
}

void say(int fd, const std::string& text) {
    std::set<int> ended;
    for (std::size_t sent = 0; sent < text.size();) {
        ssize_t wrote = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (wrote < 0 && errno == EAGAIN) {
            wait_to_say(fd, ended);
            continue;
        }
        if (wrote <= 0) break;  // the far side may refuse the rest of a message that is too large
        sent += std::size_t(wrote);
    }
}

void pass_over(int fd, const std::string& text) {
    while (unread[fd].find(text) == std::string::npos)
        if (!more(fd)) fail("never came: " + text);
    unread[fd].erase(0, unread[fd].find(text) + text.size());
}

/// Answers each request that comes at a listener, as long as the play goes on. Requests are heads alone.
void serve(int listener, const std::string& answer) {
    if (fork() != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::map<int, std::string> heads;
    std::vector<pollfd> open{{listener, POLLIN, 0}};
    while (poll(open.data(), open.size(), -1) > 0) {
        for (std::size_t i = open.size(); i-- > 0;) {
            if (open[i].revents == 0) continue;
            int fd = open[i].fd;
            char bytes[4096];
            ssize_t got = i == 0 ? 0 : read(fd, bytes, sizeof bytes);
            if (i == 0) {
                open.push_back({accept(listener, nullptr, nullptr), POLLIN, 0});
            } else if (got <= 0) {
                close(fd);
                heads.erase(fd);
                open.erase(open.begin() + std::ptrdiff_t(i));
            } else {
                std::string& head = heads[fd].append(bytes, std::size_t(got));
                for (std::size_t end; (end = head.find("\r\n\r\n")) != std::string::npos;
                     head.erase(0, end + 4))
                    if (send(fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) break;
            }
        }
    }
    _exit(1);
}

void play(std::istream& script, const std::string& program) {
    for (std::string line; ++line_number, std::getline(script, line);) {
        if (line.empty() || line[0] == '#') continue;
        std::istringstream words(line);
        std::string word, name, other;
        words >> word >> name >> other;
        std::string text = expand(line.substr(std::min(line.size(), word.size() + 1)));
        std::string who = word.substr(0, word.size() - 1);
        if (word == "set") {
            std::size_t arrow = line.find(" => ");
            std::string from = line.substr(4, arrow - 4);
            std::size_t at = config.find(from);
            if (at == std::string::npos) fail("not in config.json");
            config.replace(at, from.size(), line.substr(arrow + 4));
        } else if (word == "env") {
            setenv(name.substr(0, name.find('=')).c_str(), expand(name.substr(name.find('=') + 1)).c_str(),
                   1);
        } else if (word == "start") {
            std::string run = "exec " + program + " " + arguments;
            start(name.empty() ? run : text + "; " + run);
        } else if (word == "args") {
            arguments = text;
        } else if (word == "conf" || word == "toml") {
            std::ofstream file(directory + (word == "conf" ? "/conf" : "/node.toml"),
                               name.empty() ? std::ios::trunc : std::ios::app);
            if (!name.empty()) file << text << "\n";
        } else if (word == "connect") {
            peers[name] = connect_client(other.empty() ? "n" : other);
        } else if (word == "accept") {
            peers[name] = accept4(listeners.at(other), nullptr, nullptr, SOCK_CLOEXEC);
        } else if (word == "serve") {
            serve(listeners.at(name), text.substr(name.size() + 1));
        } else if (word == "udp") {
            collectors.insert(peers[name] = listen_on(name, SOCK_DGRAM));
        } else if (word == "in") {
            text += "\n";
            assert(write(to_child, text.data(), text.size()) == ssize_t(text.size()));
        } else if (word == "out") {
            expect(from_child, text + "\n");
        } else if (word == "err") {
            expect(errors, text + "\n");
        } else if (word == "err*" || word == "out*") {
            pass_over(word == "err*" ? errors : from_child, text);
        } else if (word == "shell") {
            if (std::system(text.c_str()) != 0) fail("did not succeed");
        } else if (word == "signal") {
            int sent = name == "TERM"   ? SIGTERM
                       : name == "STOP" ? SIGSTOP
                       : name == "CONT" ? SIGCONT
                                        : SIGKILL;
            kill(child, sent);
            if (sent == SIGSTOP) waitpid(child, nullptr, WUNTRACED);
        } else if (word == "reload") {
            write_config();
            kill(child, SIGHUP);
        } else if (word == "exit") {
            int status = 0;
            waitpid(child, &status, 0);
            child = -1;
            if (!WIFEXITED(status) || WEXITSTATUS(status) != std::stoi(name))
                fail("ended with " + std::to_string(status));
        } else if (word == "eof") {
            while (more(peers.at(name))) {
            }
            if (!unread[peers.at(name)].empty()) fail("more came: " + unread[peers.at(name)].substr(0, 500));
        } else if (word == "close" || word == "reset") {
            linger hard{1, 0};
            int fd = peers.at(name);
            if (word == "reset") setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            unread.erase(fd);
            collectors.erase(fd);
            close(fd);
        } else if ((word.back() == '>' && peers.count(who)) || word == "list") {
            if (word == "list") {
                who = name;
                text = expand(line.substr(line.find('{')));
                text =
                    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
            }
            say(peers[who], text);
        } else if (word.back() == '<' && peers.count(who)) {
            expect(peers[who], text);
        } else {
            fail("not understood: " + line);
        }
    }
}

}  // namespace

int main(int, char** given) {
    std::string file = given[2];
    std::ifstream script(file), base(file.substr(0, file.rfind('/')) + "/config.json");
    assert(script && base);
    config.assign(std::istreambuf_iterator<char>(base), {});
    char made[] = "/tmp/play.XXXXXX";
    names["tmp"] = directory = mkdtemp(made);
    for (const char* name : {"a", "b", "d"}) listeners[name] = listen_on(name, SOCK_STREAM);
    for (const char* name : {"n", "o"})  // the program's: free, and nobody else uses this address
        close(listen_on(name, SOCK_STREAM));
    std::signal(SIGALRM, [](int) { fail("hangs"); });
    alarm(60);
    play(script, given[1]);
    if (child > 0) kill(child, SIGKILL);
    std::filesystem::remove_all(directory);
    return 0;
}
