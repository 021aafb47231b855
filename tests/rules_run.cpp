// Real keepers and nodes that agree on rules for headers and on servers out by hand: a change, a node stopped
// over two versions and let go, a majority of keepers killed and back. Judged by what servers received alone.
// `rules_run OCHREHUB`.
#include <atomic>
#include <chrono>
#include <cstdio>
#include <map>
#include <mutex>
#include <thread>

#include "node_run.h"

namespace {

using namespace ochrehub::run;
using Time = std::chrono::steady_clock::time_point;

constexpr int kKeepers = 3, kNodes = 3;
constexpr auto kLong = std::chrono::seconds(20);  // what is awaited comes within it, or never

std::string program, folder;

std::string free_address() {
    Listener free;
    close(free.fd);
    return free.address;
}
sockaddr_in parsed(const std::string& address) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    std::size_t colon = address.find(':');
    inet_aton(address.substr(0, colon).c_str(), &at.sin_addr);
    at.sin_port = htons(std::uint16_t(std::stoi(address.substr(colon + 1))));
    return at;
}
void write_file(const std::string& name, const std::string& text) {
    std::ofstream(folder + "/" + name) << text;
}

struct Process {
    pid_t pid = -1;
    std::vector<std::string> arguments;
    void start() {
        pid = fork();
        if (pid != 0) return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (!std::freopen((folder + "/log").c_str(), "a", stderr)) _exit(127);
        close_range(3, ~0U, 0);
        std::vector<char*> all{program.data()};
        for (std::string& a : arguments) all.push_back(a.data());
        all.push_back(nullptr);
        execv(program.c_str(), all.data());
        _exit(127);
    }
    void end(int signal) {
        if (pid <= 0) return;
        kill(pid, signal), kill(pid, SIGCONT);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
};

/// What a server received: when, through which node, under which rule.
struct Seen {
    Time at;
    int node = 0, server = 0;
    std::string rule;
};
std::mutex seeing;
std::vector<Seen> seen;

std::string header(const std::string& head, const std::string& name) {
    std::string low = head;
    for (char& c : low) c = char(std::tolower(c));
    std::size_t at = low.find("\r\n" + name + ": ");
    if (at == low.npos) return {};
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
}

struct Server {
    Listener listener;
    void serve(int number) {
        std::thread([this, number] {
            for (int fd; (fd = accept(listener.fd, nullptr, nullptr)) >= 0;)
                std::thread([fd, number] {
                    std::string behind;
                    for (std::string head; !(head = read_head(fd, behind)).empty();) {
                        {
                            std::lock_guard lock(seeing);
                            seen.push_back({std::chrono::steady_clock::now(),
                                            std::atoi(header(head, "x-node").c_str()), number,
                                            header(head, "x-rule")});
                        }
                        std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                        if (!send_all(fd, answer.data(), answer.size())) break;
                    }
                    close(fd);
                }).detach();
        }).detach();
    }
};

struct Load {
    std::atomic<bool> on{true}, ends{false};
    std::atomic<long> answered{0}, refused{0};
    std::thread thread;
    void start(int node, const sockaddr_in& at) {
        thread = std::thread([this, node, at] {
            std::string request =
                "GET /read HTTP/1.1\r\nHost: o\r\nX-Node: " + std::to_string(node) + "\r\n\r\n";
            int fd = -1;
            while (!ends) {
                usleep(5000);
                if (!on) continue;
                if (fd < 0) fd = connected(at);
                std::string answer = fd < 0 ? std::string() : ask(fd, request);
                if (answer.empty() && fd >= 0) close(fd), fd = -1;
                ++(answer.starts_with("HTTP/1.1 200") ? answered : refused);
            }
            if (fd >= 0) close(fd);
        });
    }
};

/// The command's answer; its status is the first character.
std::string command(const std::string& arguments) {
    std::string line = program + " fleet rules " + arguments + " --config " + folder + "/k1.toml 2>&1";
    FILE* pipe = popen(line.c_str(), "r");
    std::string out;
    char bytes[4096];
    for (std::size_t got; (got = fread(bytes, 1, sizeof bytes, pipe)) > 0;) out.append(bytes, got);
    return std::to_string(WEXITSTATUS(pclose(pipe))) + out;
}
void must(const std::string& arguments, const std::string& part) {
    std::string out = command(arguments);
    if (out[0] == '0' && out.find(part) != out.npos) return;
    std::fprintf(stderr, "fleet rules %s: %s\n", arguments.c_str(), out.c_str());
    std::exit(1);
}
[[noreturn]] void broken(const std::string& what) {
    std::fprintf(stderr, "%s\n", what.c_str());
    std::exit(1);
}

/// Waits until the last request through each of these nodes since now bears this rule.
void until_rule(const std::string& rule, const std::vector<int>& nodes) {
    Time from = std::chrono::steady_clock::now();
    for (;;) {
        std::map<int, std::string> last;
        {
            std::lock_guard lock(seeing);
            for (const Seen& s : seen)
                if (s.at >= from) last[s.node] = s.rule;
        }
        bool all = true;
        for (int n : nodes) all &= last.contains(n) && last[n] == rule;
        if (all) return;
        if (std::chrono::steady_clock::now() - from > kLong)
            broken("rule '" + rule + "' did not come to all");
        usleep(5000);
    }
}

void propose_rule(const std::string& value) {
    write_file("headers", "kind headers\nset x-rule " + value + "\n");
    must("propose headers " + folder + "/headers --mode strict --without-permit caution", "in force");
}

}  // namespace

int main(int, char** argv) {
    program = argv[1];
    char made[] = "/tmp/rules.XXXXXX";
    folder = mkdtemp(made);
    std::signal(SIGPIPE, SIG_IGN);
    std::string members, ask_list;
    std::vector<std::string> at;
    for (int i = 0; i < kKeepers; ++i) {
        at.push_back(free_address());
        members += "[[member]]\nnumber = " + std::to_string(i + 1) + "\naddress = \"" + at.back() + "\"\n";
        ask_list += (i ? ", \"" : "\"") + at.back() + "\"";
    }
    std::vector<Process> keepers(kKeepers), nodes(kNodes);
    for (int i = 0; i < kKeepers; ++i) {
        std::string n = std::to_string(i + 1);
        write_file("k" + n + ".toml", "[keeper]\nnumber = " + n + "\nlisten = \"" + at[std::size_t(i)] +
                                          "\"\nfolder = \"" + folder + "/k" + n + "\"\n" + members);
        keepers[std::size_t(i)].arguments = {"keeper", "--config", folder + "/k" + n + ".toml", "--new"};
        keepers[std::size_t(i)].start();
        keepers[std::size_t(i)].arguments.pop_back();
    }
    Server servers[2];
    std::vector<Load> loads(kNodes);
    std::vector<sockaddr_in> where;
    std::string list;
    for (int i = 0; i < 2; ++i) {
        servers[i].serve(i);
        list += "[[server]]\nname = \"s" + std::to_string(i) + "\"\naddress = \"" +
                servers[i].listener.address + "\"\n";
    }
    for (int i = 0; i < kNodes; ++i) {
        std::string n = std::to_string(i), listen = free_address();
        write_file("n" + n + ".toml", "listen = \"" + listen + "\"\nname = \"n" + n +
                                          "\"\n[[class]]\nname = \"read\"\neffect = \"free\"\n" + list +
                                          "[keepers]\nask = [" + ask_list +
                                          "]\nlease_ms = 1000\nfolder = \"" + folder + "/rules" + n + "\"\n");
        nodes[std::size_t(i)].arguments = {"node", "--config", folder + "/n" + n + ".toml"};
        nodes[std::size_t(i)].start();
        where.push_back(parsed(listen));
        loads[std::size_t(i)].start(i, where.back());
    }
    until_rule("", {0, 1, 2});

    propose_rule("1");
    until_rule("1", {0, 1, 2});

    // A node is stopped over two versions. Nothing is under way through it at that moment, and requests wait
    // for it when it goes on.
    loads[2].on = false;
    usleep(50'000);
    kill(nodes[2].pid, SIGSTOP);
    propose_rule("2");
    propose_rule("3");
    until_rule("3", {0, 1});
    loads[2].on = true;
    usleep(20'000);
    kill(nodes[2].pid, SIGCONT);
    until_rule("3", {0, 1, 2});

    // The majority is killed: nodes serve, by what contradicts nobody; and come back by themselves.
    long before = loads[0].answered;
    for (std::size_t k : {0u, 1u}) keepers[k].end(SIGKILL);
    until_rule("", {0, 1, 2});
    if (loads[0].answered <= before) broken("nothing was answered without keepers");
    for (std::size_t k : {0u, 1u}) keepers[k].start();
    until_rule("3", {0, 1, 2});

    // Back to the rule before, then a server out by hand.
    must("back headers", "in force");
    until_rule("2", {0, 1, 2});
    write_file("hand", "kind servers\nsource hand\nserver s1 out\n");
    must("propose hand " + folder + "/hand --mode quick --without-permit keep", "in force");
    for (Time from = std::chrono::steady_clock::now();;) {
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        std::lock_guard lock(seeing);
        bool used = false;
        for (const Seen& s : seen)
            used |= s.server == 1 && s.at > std::chrono::steady_clock::now() - std::chrono::milliseconds(250);
        if (!used) break;
        if (std::chrono::steady_clock::now() - from > kLong) broken("a server that is out is used");
    }
    // What nothing here acts on is refused, and named.
    write_file("limits", "kind limits\nlimit a rate 5\n");
    if (std::string out = command("propose limits " + folder + "/limits --json");
        out[0] != '1' || out.find("agreement.node-refused") == out.npos)
        broken(out);

    for (Load& load : loads) load.ends = true, load.thread.join();
    for (Process& p : nodes) p.end(SIGTERM);
    for (Process& p : keepers) p.end(SIGTERM);
    // The judge: once a rule was received through anybody, no other one that contradicts it and came before
    // is, through anybody.
    std::lock_guard lock(seeing);
    std::string newest;
    std::map<std::string, int> order{{"1", 1}, {"2", 2}, {"3", 3}};
    bool back = false;
    for (const Seen& s : seen) {
        if (s.rule.empty() || s.rule == newest) continue;
        back |= newest == "3" && s.rule == "2";
        bool rises =
            newest.empty() || order[s.rule] > order[newest] || (back && s.rule == "2" && newest == "3");
        if (!rises) broken("rule " + s.rule + " through node " + std::to_string(s.node) + " after " + newest);
        newest = s.rule;
    }
    if (newest != "2" || !back) broken("the last rule was " + newest);
    std::printf("%zu requests\n", seen.size());
    std::filesystem::remove_all(folder);
    std::fflush(stdout);
    _exit(0);
}
