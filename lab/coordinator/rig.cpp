#include "lab/coordinator/rig.h"

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

std::vector<std::pair<std::size_t, coordinator::wire::StatusResponse>> statuses(
    const std::vector<std::string>& addresses, Duration patience) {
    coordinator::wire::Request ask;
    ask.set_call(1);
    ask.mutable_status();
    auto answers = coordinator::send_to_each({"rig", {}, patience}, addresses, ask.SerializeAsString());
    std::vector<std::pair<std::size_t, coordinator::wire::StatusResponse>> all;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        coordinator::wire::Response answer;
        if (auto found = answers.find(addresses[i]);
            found != answers.end() && answer.ParseFromString(found->second))
            all.emplace_back(i, answer.status());
    }
    return all;
}

}  // namespace

KeeperRig::KeeperRig(const Settings& settings) : set_(settings), folder_(settings.folder) {
    std::filesystem::create_directories(folder_);
    for (std::string& address : listen_) address = free_address();
    for (std::size_t i = 0; i < kKeepers; ++i) {
        std::ofstream file(config(i));
        file << "[keeper]\nnumber = " << i + 1 << "\nlisten = \"" << listen_[i] << "\"\nfolder = \""
             << folder(i) << "\"\ncluster = \"rig\"\nheartbeat_ms = " << set_.heartbeat_ms
             << "\nelection_ms = " << set_.election_ms << "\n";
        for (std::size_t k = 0; k < kKeepers; ++k) {
            std::string address = listen_[k];
            if (k != i && set_.relays) {
                relays_[i][k] =
                    std::make_unique<Relay>(Relay::Endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
                                            *channel::Mesh::endpoint(listen_[k]));
                address = relays_[i][k]->address();
            }
            file << "[[member]]\nnumber = " << k + 1 << "\naddress = \"" << address << "\"\n";
        }
    }
}

KeeperRig::~KeeperRig() {
    for (std::size_t i = 0; i < kKeepers; ++i)
        if (runs(i)) kill(i);
}

void KeeperRig::start(std::size_t keeper, const std::string& how) {
    pid_t parent = getpid();
    std::string file = config(keeper), log = folder_ + "/log" + std::to_string(keeper + 1);
    pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("fork");
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent) _exit(127);
        int fd = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
        dup2(fd, 1), dup2(fd, 2);
        execl(set_.program.c_str(), set_.program.c_str(), "keeper", "--config", file.c_str(),
              how.empty() ? nullptr : how.c_str(), nullptr);
        _exit(127);
    }
    pids_[keeper] = pid;
}

void KeeperRig::kill(std::size_t keeper) {
    ::kill(pids_[keeper], SIGKILL);
    ended(keeper);
}

void KeeperRig::stop(std::size_t keeper) {
    ::kill(pids_[keeper], SIGSTOP);
}

void KeeperRig::go_on(std::size_t keeper) {
    ::kill(pids_[keeper], SIGCONT);
}

int KeeperRig::end(std::size_t keeper) {
    ::kill(pids_[keeper], SIGTERM);
    return ended(keeper);
}

int KeeperRig::ended(std::size_t keeper) {
    int status = 0;
    waitpid(pids_[keeper], &status, 0);
    pids_[keeper] = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void KeeperRig::empty_folder(std::size_t keeper) {
    std::filesystem::remove_all(folder(keeper));
}

void KeeperRig::mute(std::size_t keeper, bool on) {
    for (std::size_t k = 0; k < kKeepers; ++k) {
        if (k == keeper || !set_.relays) continue;
        relays_[keeper][k]->cut(Direction::Forth, on);
        relays_[k][keeper]->cut(Direction::Back, on);
    }
}

std::vector<std::string> KeeperRig::addresses() const {
    return {listen_.begin(), listen_.end()};
}

std::optional<std::size_t> KeeperRig::leader() const {
    std::optional<std::size_t> found;
    std::uint64_t term = 0;
    std::vector<std::string> up;
    std::vector<std::size_t> which;
    for (std::size_t i = 0; i < kKeepers; ++i)
        if (runs(i)) up.push_back(listen_[i]), which.push_back(i);
    for (const auto& [i, is] : statuses(up, Duration{150}))
        if (is.role() == "leader" && is.term() >= term) found = which[i], term = is.term();
    return found;
}

std::size_t KeeperRig::await_leader(std::size_t other) const {
    for (int i = 0; i < 300; ++i) {
        if (auto found = leader(); found && *found != other) return *found;
        std::this_thread::sleep_for(20ms);
    }
    return kKeepers;
}

bool KeeperRig::trusted(std::size_t keeper) const {
    for (const auto& [i, is] : statuses({listen_[keeper]}, Duration{500}))
        return is.trusted() && is.members_size() > 0;
    return false;
}

}  // namespace ochrehub::lab
