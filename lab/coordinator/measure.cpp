// ochrehub_keeper_measure PROGRAM FOLDER [ROUNDS]: three coordinators as processes on one disk. Measures
// commands per second, beside a plain loop of writes that are synced one by one, and for how long no response
// arrives when the leader is killed, paused or cut off one way.
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "fleet/leadership/lease_state_machine.h"
#include "lab/coordinator/testbed.h"

using namespace ochrehub;
using namespace ochrehub::lab;
using namespace std::chrono_literals;
using Steady = std::chrono::steady_clock;

namespace {

constexpr int kDefaultRounds = 7;
constexpr int kHeartbeatMs = 100;
constexpr int kElectionTimeoutMs = 500;
constexpr int kClients = 8;
constexpr std::size_t kCommandsInFlight = 16;  // per client
constexpr std::size_t kRecordBytes = 200;

double seconds_since(Steady::time_point from) {
    return std::chrono::duration<double>(Steady::now() - from).count();
}

/// Synced writes per second, one by one.
double measure_plain_writes(const std::string& folder, double seconds) {
    const std::string path = folder + "/plain";
    const std::string record(kRecordBytes, 'x');
    const int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    const auto start = Steady::now();
    std::uint64_t writes = 0;
    for (; seconds_since(start) < seconds; ++writes)
        if (write(fd, record.data(), record.size()) < 0 || fdatasync(fd) != 0) std::abort();
    const double elapsed = seconds_since(start);
    close(fd);
    unlink(path.c_str());
    return double(writes) / elapsed;
}

/// A client that acquires and releases leadership of its own names in turn, with a constant number of
/// commands in flight.
class Load {
public:
    Load(const std::vector<std::string>& coordinators, const std::string& name)
        : name_(name), thread_(settings(coordinators, name), Clock()) {
        thread_.add_listener([this](const coordinator::SessionThread::Notification& notification) {
            const auto* renewed = std::get_if<coordinator::SessionRenewed>(&notification);
            if (!renewed || renewed->session == session_) return;
            session_ = renewed->session;
            ++sessions_;
            for (std::size_t i = 0; i < kCommandsInFlight; ++i) submit(i, true);
        });
        thread_.start();
    }

    void end() { is_ended_ = true; }
    std::uint64_t commands() const { return commands_; }
    std::uint64_t grants() const { return grants_; }
    std::uint64_t sessions() const { return sessions_; }
    /// The longest time without a response, in seconds, since the last call.
    double take_longest_gap() {
        std::lock_guard lock(mutex_);
        longest_gap_ = std::max(longest_gap_, seconds_since(last_response_));
        return std::exchange(longest_gap_, 0.0);
    }

private:
    static coordinator::SessionThreadSettings settings(const std::vector<std::string>& coordinators,
                                                       const std::string& name) {
        coordinator::SessionThreadSettings settings;
        settings.session.coordinators = coordinators;
        settings.session.name = name;
        settings.cluster = "rig";
        return settings;
    }

    void submit(std::size_t i, bool acquires) {
        if (is_ended_) return;
        std::string duty = name_;
        duty.append(".").append(std::to_string(i));
        thread_.submit(
            "duty",
            acquires ? leadership::add_candidacy_command(duty) : leadership::withdraw_candidacy_command(duty),
            [this, i, acquires](coordinator::Error error, const std::string&) {
                // After an error the next session submits again.
                if (error != coordinator::Error::None) return;
                ++commands_;
                if (acquires) ++grants_;
                record_response();
                submit(i, !acquires);
            });
    }

    void record_response() {
        std::lock_guard lock(mutex_);
        longest_gap_ = std::max(longest_gap_, seconds_since(last_response_));
        last_response_ = Steady::now();
    }

    std::string name_;
    std::atomic<std::uint64_t> grants_{0};
    std::atomic<std::uint64_t> commands_{0};
    std::atomic<std::uint64_t> sessions_{0};
    std::atomic<bool> is_ended_{false};
    std::mutex mutex_;  // guards the two below
    Steady::time_point last_response_ = Steady::now();
    double longest_gap_ = 0;
    coordinator::SessionId session_ = 0;  // the thread's own
    coordinator::SessionThread thread_;   // last: it uses all the others
};

/// False: there is no leader.
bool start_cluster(CoordinatorTestbed& testbed) {
    for (std::size_t i = 0; i < CoordinatorTestbed::kCoordinators; ++i) testbed.start(i, "--new");
    return testbed.await_leader() != CoordinatorTestbed::kCoordinators;
}

struct Counts {
    std::uint64_t commands = 0;
    std::uint64_t grants = 0;
};

Counts counts_of(const std::vector<std::unique_ptr<Load>>& loads) {
    Counts counts;
    for (const auto& load : loads) {
        counts.commands += load->commands();
        counts.grants += load->grants();
    }
    return counts;
}

bool measure_throughput(const std::string& program, const std::string& folder) {
    CoordinatorTestbed testbed({program, folder + "/grants", kHeartbeatMs, kElectionTimeoutMs, false});
    if (!start_cluster(testbed)) return false;
    const double plain_before = measure_plain_writes(folder, 2);
    std::vector<std::unique_ptr<Load>> loads;
    for (int i = 0; i < kClients; ++i)
        loads.push_back(std::make_unique<Load>(testbed.addresses(), std::string(1, char('a' + i))));
    std::this_thread::sleep_for(2s);
    const Counts before = counts_of(loads);
    const auto start = Steady::now();
    std::this_thread::sleep_for(5s);
    const Counts after = counts_of(loads);
    const double elapsed = seconds_since(start);
    for (auto& load : loads) load->end();
    loads.clear();
    const double plain_after = measure_plain_writes(folder, 2);
    const double plain = (plain_before + plain_after) / 2;
    const double commands = double(after.commands - before.commands) / elapsed;
    const double grants = double(after.grants - before.grants) / elapsed;
    std::printf(
        "plain write and fdatasync: %.0f a second (%.0f before, %.0f after); commands %.0f a second "
        "(%.2f of it), grants %.0f (%.2f)\n",
        plain, plain_before, plain_after, commands, commands / plain, grants, grants / plain);
    return true;
}

void inject(CoordinatorTestbed& testbed, std::string_view fault, std::size_t leader) {
    if (fault == "kill")
        testbed.kill(leader);
    else if (fault == "stop")
        testbed.pause(leader);
    else
        testbed.cut_outgoing(leader, true);
}

void end(CoordinatorTestbed& testbed, std::string_view fault, std::size_t leader) {
    if (fault == "kill")
        testbed.start(leader);
    else if (fault == "stop")
        testbed.resume(leader);
    else
        testbed.cut_outgoing(leader, false);
}

bool measure_failover(const std::string& program, const std::string& folder, const std::string& fault,
                      int rounds) {
    CoordinatorTestbed testbed({program, folder + "/" + fault, kHeartbeatMs, kElectionTimeoutMs, true});
    if (!start_cluster(testbed)) return false;
    Load load(testbed.addresses(), "n");
    std::vector<double> gaps;
    std::this_thread::sleep_for(1s);
    for (int i = 0; i < rounds; ++i) {
        const std::size_t leader = testbed.await_leader();
        if (leader == CoordinatorTestbed::kCoordinators) return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(300 + 130 * i));
        load.take_longest_gap();
        inject(testbed, fault, leader);
        std::this_thread::sleep_for(4500ms);
        gaps.push_back(load.take_longest_gap());
        end(testbed, fault, leader);
        std::this_thread::sleep_for(1s);
    }
    load.end();
    std::sort(gaps.begin(), gaps.end());
    std::printf("%s: no response for %.2f s in the median of %d, %.2f s at worst; sessions lost: %llu\n",
                fault.c_str(), gaps[gaps.size() / 2], rounds, gaps.back(),
                static_cast<unsigned long long>(load.sessions() - 1));
    std::fflush(stdout);
    return true;
}

}  // namespace

int main(int count, char** arguments) {
    if (count < 3) return 2;
    const std::string program = arguments[1];
    const std::string folder = std::string(arguments[2]) + "/keeper_measure";
    const int rounds = count > 3 ? std::atoi(arguments[3]) : kDefaultRounds;
    std::filesystem::create_directories(folder);
    if (!measure_throughput(program, folder)) return 1;
    for (const char* fault : {"kill", "stop", "cut"})
        if (!measure_failover(program, folder, fault, rounds)) return 1;
    std::filesystem::remove_all(folder);
    return 0;
}
