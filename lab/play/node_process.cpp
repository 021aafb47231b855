#include "lab/play/node_process.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <system_error>

extern char** environ;

namespace ochrehub::lab {
namespace {

double seconds(const timeval& t) {
    return double(t.tv_sec) + double(t.tv_usec) / 1e6;
}

// Between fork and exec of a process with several threads: nothing here takes memory or a lock.
[[noreturn]] void become(const char* program, char* const* arguments, char* const* environment, int log,
                         pid_t parent, rlim_t sockets) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);  // it died before that was set
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    int null = open("/dev/null", O_RDONLY);
    if (null >= 0) dup2(null, STDIN_FILENO);
    // Asio's sockets outlive an exec: a listener that a node held too could never be closed.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max = std::min(limit.rlim_max, sockets);
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    std::signal(SIGPIPE, SIG_DFL);
    execve(program, arguments, environment);
    const char* why = std::strerror(errno);
    (void)!write(STDERR_FILENO, why, std::strlen(why));
    _exit(127);
}

}  // namespace

NodeProcess::~NodeProcess() {
    stop();
}

void NodeProcess::start() {
    std::vector<std::string> kept = command_.environment;
    for (char** one = environ; *one; ++one) {
        std::string text = *one;
        std::string name = text.substr(0, text.find('=') + 1);
        bool given = std::any_of(kept.begin(), kept.end(),
                                 [&](const std::string& k) { return k.compare(0, name.size(), name) == 0; });
        if (!given && name.compare(0, 3, "GW_") != 0) kept.push_back(std::move(text));
    }
    std::vector<char*> environment, arguments{command_.program.data(), nullptr};
    for (std::string& one : command_.arguments) arguments.insert(arguments.end() - 1, one.data());
    for (std::string& one : kept) environment.push_back(one.data());
    environment.push_back(nullptr);
    int log = open(command_.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log < 0) throw std::system_error(errno, std::generic_category(), command_.log);
    pid_t parent = getpid(), child = fork();
    if (child == 0)
        become(command_.program.c_str(), arguments.data(), environment.data(), log, parent,
               rlim_t(command_.sockets));
    int failed = errno;
    close(log);
    if (child < 0) throw std::system_error(failed, std::generic_category(), "fork");
    pid_ = child;
    life_cpu_s_ = 0;
}

void NodeProcess::signal(int number) const {
    if (pid_ > 0) kill(pid_, number);
}

std::string NodeProcess::reap(int status) {
    pid_ = -1;
    if (WIFSIGNALED(status)) return std::string("killed by signal ") + strsignal(WTERMSIG(status));
    return "exit status " + std::to_string(WEXITSTATUS(status));
}

std::optional<std::string> NodeProcess::ended() {
    if (pid_ <= 0) return std::nullopt;
    int status = 0;
    rusage used{};
    if (wait4(pid_, &status, WNOHANG, &used) != pid_) return std::nullopt;
    earlier_cpu_s_ += seconds(used.ru_utime) + seconds(used.ru_stime);
    life_cpu_s_ = 0;
    memory_peak_mb_ = std::max(memory_peak_mb_, double(used.ru_maxrss) / 1024);
    return reap(status);
}

void NodeProcess::stop() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    int status = 0;
    rusage used{};
    if (wait4(pid_, &status, 0, &used) == pid_) {
        earlier_cpu_s_ += seconds(used.ru_utime) + seconds(used.ru_stime);
        memory_peak_mb_ = std::max(memory_peak_mb_, double(used.ru_maxrss) / 1024);
    }
    life_cpu_s_ = 0;
    pid_ = -1;
}

NodeUsage NodeProcess::usage() {
    NodeUsage usage;
    if (pid_ > 0) {
        clockid_t clock{};
        timespec spent{};
        if (clock_getcpuclockid(pid_, &clock) == 0 && clock_gettime(clock, &spent) == 0)
            life_cpu_s_ = double(spent.tv_sec) + double(spent.tv_nsec) / 1e9;
        std::string of = "/proc/" + std::to_string(pid_);
        if (FILE* status = std::fopen((of + "/status").c_str(), "r")) {
            char line[256];
            while (std::fgets(line, sizeof line, status)) {
                if (std::strncmp(line, "VmHWM:", 6) == 0)
                    memory_peak_mb_ = std::max(memory_peak_mb_, std::strtod(line + 6, nullptr) / 1024);
                if (std::strncmp(line, "VmRSS:", 6) == 0)
                    usage.memory_mb = std::strtod(line + 6, nullptr) / 1024;
            }
            std::fclose(status);
        }
        if (DIR* open = opendir((of + "/fd").c_str())) {
            while (dirent* entry = readdir(open)) usage.descriptors += entry->d_name[0] != '.';
            closedir(open);
        }
    }
    usage.cpu_s = earlier_cpu_s_ + life_cpu_s_;
    usage.memory_peak_mb = memory_peak_mb_;
    return usage;
}

}  // namespace ochrehub::lab
