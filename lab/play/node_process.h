// A node as a process of its own: started with its configuration, limited, measured, and never left behind.
#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace ochrehub::lab {

struct NodeCommand {
    std::string program;
    std::vector<std::string> environment;     ///< NAME=VALUE, before this process's own
    std::string log;                          ///< a file that standard output and error are added to
    std::size_t sockets = 1024;               ///< its limit of descriptors
    std::vector<std::string> arguments = {};  ///< behind the program's name
};

struct NodeUsage {
    double cpu_s = 0, memory_mb = 0, memory_peak_mb = 0;
    std::size_t descriptors = 0;
};

class NodeProcess {
public:
    explicit NodeProcess(NodeCommand command) : command_(std::move(command)) {}
    ~NodeProcess();
    NodeProcess(const NodeProcess&) = delete;
    NodeProcess& operator=(const NodeProcess&) = delete;

    NodeCommand& command() { return command_; }
    /// Throws std::system_error where it cannot be started. The thread that calls must outlive the process:
    /// the system kills it when that thread ends.
    void start();
    bool running() const { return pid_ > 0; }
    pid_t pid() const { return pid_; }
    void signal(int number) const;
    /// How it ended, once, in words; none while it runs.
    std::optional<std::string> ended();
    /// Kills it and waits for its end.
    void stop();
    /// Of all its lives up to now; what it holds just now, of this one.
    NodeUsage usage();

private:
    std::string reap(int status);

    NodeCommand command_;
    pid_t pid_ = -1;
    double earlier_cpu_s_ = 0, life_cpu_s_ = 0, memory_peak_mb_ = 0;
};

}  // namespace ochrehub::lab
