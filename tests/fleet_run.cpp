// Five real nodes of one fleet, each link between two of them through a relay of this run's, with a fault for each
// direction: fleet_run PROGRAM. What is judged is what operators are shown at each node's second address, and what
// crossed the relays. Events are waited for; no time is asserted. A run that hangs is ended by its runner.
#include <poll.h>
#include <sys/stat.h>

#include <atomic>
#include <chrono>
#include <cstdio>
#include <functional>
#include <mutex>
#include <random>
#include <thread>

#include "node_run.h"

using namespace ochrehub::run;

namespace {

constexpr int kNodes = 5;

int udp(sockaddr_in& at) {
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    at = loopback();
    socklen_t size = sizeof at;
    assert(bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    return fd;
}
std::string text(const sockaddr_in& at) {
    return std::string(inet_ntoa(at.sin_addr)) + ":" + std::to_string(ntohs(at.sin_port));
}

/// Stands where the nodes are told that each other are, and hands on what the faults let through.
class Relays {
public:
    struct Link {
        bool cut = false;
        double lost = 0, doubled = 0;
    };
    Relays() {
        for (int i = 0; i < kNodes; ++i) {
            front[i] = udp(front_at[i]);
            close(udp(node_at[i]));  // the node binds it
        }
        thread_ = std::thread([this] { run(); });
    }
    ~Relays() {
        over_ = true;
        thread_.join();
    }
    void set(const std::function<void(int from, int to, Link&)>& change) {
        std::lock_guard lock(mutex_);
        for (int from = 0; from < kNodes; ++from)
            for (int to = 0; to < kNodes; ++to) change(from, to, links_[from][to]);
    }
    /// All faults end.
    void heal() {
        set([](int, int, Link& link) { link = Link{}; });
    }
    int front[kNodes];
    sockaddr_in front_at[kNodes], node_at[kNodes];
    std::atomic<int> passed{0}, dropped{0}, strangers{0};

private:
    void run() {
        std::mt19937 random(1);
        std::uniform_real_distribution<double> uniform;
        pollfd polled[kNodes];
        for (int i = 0; i < kNodes; ++i) polled[i] = {front[i], POLLIN, 0};
        char bytes[2048];
        while (!over_) {
            if (poll(polled, kNodes, 50) <= 0) continue;
            for (int to = 0; to < kNodes; ++to) {
                if ((polled[to].revents & POLLIN) == 0) continue;
                sockaddr_in from{};
                socklen_t size = sizeof from;
                ssize_t got = recvfrom(front[to], bytes, sizeof bytes, MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &size);
                if (got < 0) continue;
                int who = 0;
                while (who < kNodes && node_at[who].sin_port != from.sin_port) ++who;
                if (who == kNodes) {
                    ++strangers;
                    continue;
                }
                Link link;
                {
                    std::lock_guard lock(mutex_);
                    link = links_[who][to];
                }
                if (link.cut || uniform(random) < link.lost) {
                    ++dropped;
                    continue;
                }
                ++passed;
                for (int copies = uniform(random) < link.doubled ? 2 : 1; copies > 0; --copies)
                    sendto(front[to], bytes, std::size_t(got), 0, reinterpret_cast<sockaddr*>(&node_at[to]), sizeof node_at[to]);
            }
        }
    }

    std::mutex mutex_;
    Link links_[kNodes][kNodes];
    std::atomic<bool> over_{false};
    std::thread thread_;
};

class Fleet {
public:
    Fleet(std::string program, const Relays& relays) : program_(std::move(program)) {
        char made[] = "/tmp/fleet.XXXXXX";
        folder_ = mkdtemp(made);
        std::ofstream(folder_ + "/keys") << "the-key-of-this-run-of-five\n";
        chmod((folder_ + "/keys").c_str(), 0600);
        for (int i = 0; i < kNodes; ++i) {
            Listener clients, control;
            close(clients.fd);
            close(control.fd);
            control_[i] = control.at;
            std::ofstream(file(i)) << "listen = \"" << clients.address << "\"\ncontrol = \"" << control.address
                                   << "\"\nname = \"n" << i << "\"\nnodes = 5\n[[class]]\nname = \"read\"\neffect = \"free\"\n"
                                   << "[[server]]\naddress = \"127.0.0.1:9\"\n[health]\nprobes = false\n[fleet]\nlisten = \""
                                   << text(relays.node_at[i]) << "\"\nadvertise = \"" << text(relays.front_at[i])
                                   << "\"\njoin = [\"" << text(relays.front_at[0]) << "\", \"" << text(relays.front_at[1])
                                   << "\"]\nkey_file = \"" << folder_ << "/keys\"\ninterval_ms = 200\nisolated_ms = 2000\n";
            start(i);
        }
    }
    ~Fleet() {
        for (int i = 0; i < kNodes; ++i) stop(i, SIGKILL);
        std::filesystem::remove_all(folder_);
    }
    void start(int i) {
        pid_[i] = fork();
        if (pid_[i] != 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        freopen((folder_ + "/log" + std::to_string(i)).c_str(), "a", stderr);
        close_range(3, ~0U, 0);
        execl(program_.c_str(), program_.c_str(), "node", "--config", file(i).c_str(), nullptr);
        _exit(127);
    }
    void signal(int i, int number) const { kill(pid_[i], number); }
    void stop(int i, int number) {
        if (pid_[i] <= 0) return;
        kill(pid_[i], SIGCONT);
        kill(pid_[i], number);
        waitpid(pid_[i], nullptr, 0);
        pid_[i] = -1;
    }
    bool up(int i) const { return pid_[i] > 0; }
    std::string view(int of) const {
        int fd = connected(control_[of]);
        if (fd < 0) return {};
        timeval most{5, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &most, sizeof most);
        std::string answer = ask(fd, "GET /ops/members HTTP/1.1\r\nHost: o\r\n\r\n");
        close(fd);
        return answer;
    }
    /// What one's operators are shown of another: its state, or empty.
    std::string state(int of, int about) const { return field(view(of), about, "\"state\":\""); }
    std::string field(const std::string& view, int about, const std::string& key) const {
        std::size_t at = view.find("\n{\"name\":\"n" + std::to_string(about) + "\"");
        if (at == std::string::npos) return {};
        std::size_t end = view.find('\n', at + 1);
        at = view.find(key, at);
        if (at == std::string::npos || at > end) return {};
        at += key.size();
        return view.substr(at, view.find_first_of("\",", at) - at);
    }
    std::string says(int of) const {
        std::string all = view(of);
        std::size_t at = all.find("\"says\":\"") + 8;
        return all.substr(at, all.find('"', at) - at);
    }
    /// All that are up show this of that one.
    bool all(int about, const std::string& what) const {
        for (int of = 0; of < kNodes; ++of)
            if (of != about && up(of) && state(of, about) != what) return false;
        return true;
    }
    bool settled() const {
        for (int i = 0; i < kNodes; ++i)
            if (up(i) && (!all(i, "alive") || !says(i).empty())) return false;
        return true;
    }
    bool shown_dead(int of, int but) const {
        std::string all = view(of);
        for (int about = 0; about < kNodes; ++about)
            if (about != but && up(about) && field(all, about, "\"state\":\"") == "dead") {
                std::fprintf(stderr, "node %d shows %d as dead: %s\n", of, about, all.c_str());
                return true;
            }
        return false;
    }

private:
    std::string file(int i) const { return folder_ + "/n" + std::to_string(i) + ".toml"; }

    std::string program_, folder_;
    sockaddr_in control_[kNodes]{};
    pid_t pid_[kNodes]{};
};

template <class Done>
void until(const char* what, Done done) {
    auto began = std::chrono::steady_clock::now();
    while (!done()) {
        assert(waitpid(-1, nullptr, WNOHANG) == 0);  // none has ended by itself
        usleep(20'000);
    }
    std::printf("%-60s %.1f s\n", what, std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count());
    std::fflush(stdout);
}

}  // namespace

int main(int, char** arguments) {
    std::signal(SIGPIPE, SIG_IGN);
    Relays relays;
    Fleet fleet(arguments[1], relays);
    auto settled = [&] { return fleet.settled(); };
    until("five know each other", settled);

    // Nobody who lives is shown as dead by anybody, whatever of this there is.
    relays.set([](int from, int to, Relays::Link& link) { link = {from == 0 && to == 1, 0.1, 0.05}; });
    for (int look = 0; look < 60; ++look) {
        if (look == 20) fleet.signal(2, SIGSTOP);
        if (look == 30) fleet.signal(2, SIGCONT);
        for (int of = 0; of < kNodes; ++of)
            if (of != 2 || look < 20 || look >= 30) assert(!fleet.shown_dead(of, -1));
        usleep(50'000);
    }
    assert(relays.dropped > 20 && relays.passed > 100);
    relays.heal();
    until("right again behind loss, a pause and a one-sided cut", settled);

    // One that is heard and hears nobody: it says so, all others find it dead, and it spoils nobody's view of another.
    relays.set([](int, int to, Relays::Link& link) { link.cut = to == 3; });
    until("a deaf one knows it", [&] { return fleet.says(3) == "deaf"; });
    until("... and is dead to the others", [&] {
        for (int of = 0; of < 3; ++of) assert(!fleet.shown_dead(of, 3));
        return fleet.all(3, "dead");
    });
    relays.heal();
    until("right again", settled);

    relays.set([](int from, int, Relays::Link& link) { link.cut = from == 4; });
    until("one that is not heard knows it", [&] { return fleet.says(4) == "unheard"; });
    until("... and is dead to the others", [&] {
        for (int of = 0; of < 4; ++of) assert(!fleet.shown_dead(of, 4));
        return fleet.all(4, "dead");
    });
    relays.heal();
    until("right again", settled);

    relays.set([](int from, int to, Relays::Link& link) { link.cut = (from < 2) != (to < 2); });
    until("two parts take each other for dead", [&] {
        return fleet.state(0, 2) == "dead" && fleet.state(1, 4) == "dead" && fleet.state(2, 0) == "dead" && fleet.state(4, 1) == "dead";
    });
    assert(fleet.state(0, 1) == "alive" && fleet.state(2, 3) == "alive");
    relays.heal();
    until("right again behind a cut in two", settled);

    fleet.stop(2, SIGKILL);
    until("a killed one is dead to all", [&] { return fleet.all(2, "dead"); });
    fleet.start(2);
    until("and is taken back", settled);
    assert(fleet.field(fleet.view(0), 2, "\"restarts\":") == "1");

    fleet.signal(1, SIGTERM);
    until("one that leaves has left", [&] {
        for (int of : {0, 2, 3, 4}) {
            std::string state = fleet.state(of, 1);
            assert(state == "alive" || state == "suspect" || state == "left");
            if (state != "left") return false;
        }
        return true;
    });
    fleet.stop(1, SIGTERM);
    for (int i : {0, 2, 3, 4}) fleet.stop(i, SIGTERM);
    assert(waitpid(-1, nullptr, WNOHANG) == -1 && errno == ECHILD);  // none is left
    return 0;
}
