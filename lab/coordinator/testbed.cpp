#include "lab/coordinator/testbed.h"

#include <arpa/inet.h>
#include <coordinator.pb.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "fleet/coordinator/admin_client.h"

namespace ochrehub::lab {
namespace {

using namespace std::chrono_literals;

/// On a loopback address of this process's own, so that runs side by side do not take each other's ports.
std::string free_address() {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(0x7f400000u + (std::uint32_t(getpid()) & 0x3fffffu) + 1);
    socklen_t size = sizeof at;
    bool bound = bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0 &&
                 getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) == 0;
    close(fd);
    if (!bound) throw std::runtime_error("no loopback address");
    std::string text = inet_ntoa(at.sin_addr);
    return text.append(":").append(std::to_string(ntohs(at.sin_port)));
}

struct Status {
    std::size_t index = 0;  // in the addresses
    coordinator::wire::StatusResponse response;
};

/// Of the coordinators that respond in time.
std::vector<Status> statuses(const std::vector<std::string>& addresses, Duration timeout) {
    coordinator::wire::Request request;
    request.set_call(1);
    request.mutable_status();
    const auto responses =
        coordinator::send_to_each({"rig", {}, timeout}, addresses, request.SerializeAsString());
    std::vector<Status> all;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        auto found = responses.find(addresses[i]);
        coordinator::wire::Response response;
        if (found != responses.end() && response.ParseFromString(found->second))
            all.push_back({i, response.status()});
    }
    return all;
}

}  // namespace

CoordinatorTestbed::CoordinatorTestbed(const Settings& settings)
    : settings_(settings), folder_(settings.folder) {
    std::filesystem::create_directories(folder_);
    for (std::string& address : listen_) address = free_address();
    for (std::size_t i = 0; i < kCoordinators; ++i) std::ofstream(config(i)) << config_text(i);
}

CoordinatorTestbed::~CoordinatorTestbed() {
    for (std::size_t i = 0; i < kCoordinators; ++i)
        if (is_running(i)) kill(i);
}

/// Starts the relays from this coordinator to the others.
std::string CoordinatorTestbed::config_text(std::size_t index) {
    std::ostringstream text;
    text << "[keeper]\nnumber = " << index + 1 << "\nlisten = \"" << listen_[index] << "\"\nfolder = \""
         << folder(index) << "\"\ncluster = \"rig\"\nheartbeat_ms = " << settings_.heartbeat_ms
         << "\nelection_ms = " << settings_.election_ms << "\n";
    for (std::size_t other = 0; other < kCoordinators; ++other) {
        std::string address = listen_[other];
        if (other != index && settings_.has_relays) {
            const Relay::Endpoint any_port(boost::asio::ip::make_address("127.0.0.1"), 0);
            relays_[index][other] =
                std::make_unique<Relay>(any_port, *channel::PeerConnections::parse_endpoint(listen_[other]));
            address = relays_[index][other]->address();
        }
        text << "[[member]]\nnumber = " << other + 1 << "\naddress = \"" << address << "\"\n";
    }
    return text.str();
}

void CoordinatorTestbed::start(std::size_t index, const std::string& start_option) {
    pid_t parent = getpid();
    std::string file = config(index), log = folder_ + "/log" + std::to_string(index + 1);
    pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("fork");
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        execl(settings_.program.c_str(), settings_.program.c_str(), "keeper", "--config", file.c_str(),
              start_option.empty() ? nullptr : start_option.c_str(), nullptr);
        _exit(127);
    }
    pids_[index] = pid;
}

void CoordinatorTestbed::kill(std::size_t index) {
    ::kill(pids_[index], SIGKILL);
    wait_for_exit(index);
}

void CoordinatorTestbed::pause(std::size_t index) {
    ::kill(pids_[index], SIGSTOP);
}

void CoordinatorTestbed::resume(std::size_t index) {
    ::kill(pids_[index], SIGCONT);
}

int CoordinatorTestbed::terminate(std::size_t index) {
    ::kill(pids_[index], SIGTERM);
    return wait_for_exit(index);
}

int CoordinatorTestbed::wait_for_exit(std::size_t index) {
    int status = 0;
    waitpid(pids_[index], &status, 0);
    pids_[index] = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void CoordinatorTestbed::remove_data(std::size_t index) {
    std::filesystem::remove_all(folder(index));
}

void CoordinatorTestbed::cut_outgoing(std::size_t index, bool is_cut) {
    if (!settings_.has_relays) return;
    for (std::size_t other = 0; other < kCoordinators; ++other) {
        if (other == index) continue;
        relays_[index][other]->cut(Direction::Forward, is_cut);
        relays_[other][index]->cut(Direction::Backward, is_cut);
    }
}

std::vector<std::string> CoordinatorTestbed::addresses() const {
    return {listen_.begin(), listen_.end()};
}

std::optional<std::size_t> CoordinatorTestbed::leader() const {
    std::vector<std::string> addresses;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < kCoordinators; ++i) {
        if (!is_running(i)) continue;
        addresses.push_back(listen_[i]);
        indexes.push_back(i);
    }
    std::optional<std::size_t> leader;
    std::uint64_t term = 0;
    for (const Status& status : statuses(addresses, Duration{150})) {
        if (status.response.role() != "leader" || status.response.term() < term) continue;
        leader = indexes[status.index];
        term = status.response.term();
    }
    return leader;
}

std::size_t CoordinatorTestbed::await_leader(std::size_t former) const {
    for (int i = 0; i < 300; ++i) {
        if (auto found = leader(); found && *found != former) return *found;
        std::this_thread::sleep_for(20ms);
    }
    return kCoordinators;
}

bool CoordinatorTestbed::is_trusted(std::size_t index) const {
    for (const Status& status : statuses({listen_[index]}, Duration{500}))
        return status.response.trusted() && status.response.members_size() > 0;
    return false;
}

}  // namespace ochrehub::lab
