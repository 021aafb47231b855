// ochrehub_keeper_measure PROGRAM FOLDER [ROUNDS]: three real keepers in a folder. Commands a second beside a
// plain loop of writes that are synced one by one, and how long nothing is answered when the leader is
// killed, stopped or cut one way.
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
#include <thread>
#include <vector>

#include "fleet/leadership/machine.h"
#include "lab/coordinator/rig.h"

using namespace ochrehub;
using namespace ochrehub::lab;
using Steady = std::chrono::steady_clock;

namespace {

double since(Steady::time_point from) {
    return std::chrono::duration<double>(Steady::now() - from).count();
}

double plain(const std::string& folder, double seconds) {
    std::string path = folder + "/plain", octets(200, 'x');
    int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    auto began = Steady::now();
    std::uint64_t many = 0;
    for (; since(began) < seconds; ++many)
        if (write(fd, octets.data(), octets.size()) < 0 || fdatasync(fd) != 0) std::abort();
    double took = since(began);
    close(fd);
    unlink(path.c_str());
    return double(many) / took;
}

/// Always so many commands on their way: duties of its own, wanted and given back in turn.
struct Load {
    coordinator::SessionThread side;
    std::string name;
    std::atomic<std::uint64_t> grants{0}, commands{0}, errors{0}, sessions{0};
    std::atomic<bool> ends{false};
    std::mutex mutex;
    Steady::time_point last = Steady::now();
    double longest = 0;

    Load(const std::vector<std::string>& keepers, const std::string& called)
        : side(settings(keepers, called), Clock()), name(called) {
        side.add_listener([this](const coordinator::SessionThread::Notification& told) {
            if (const auto* held = std::get_if<coordinator::SessionRenewed>(&told);
                held && held->session != session) {
                session = held->session, ++sessions;
                for (std::size_t i = 0; i < 16; ++i) go(i, true);
            }
        });
        side.start();
    }
    static coordinator::SessionThreadSettings settings(const std::vector<std::string>& keepers,
                                                       const std::string& called) {
        coordinator::SessionThreadSettings set;
        set.session.coordinators = keepers, set.session.name = called, set.cluster = "rig";
        return set;
    }
    void go(std::size_t i, bool want) {
        if (ends) return;
        std::string duty_name = name;
        duty_name.append(".").append(std::to_string(i));
        side.submit("duty", want ? leadership::want(duty_name) : leadership::unwant(duty_name),
                    [this, i, want](coordinator::Error error, std::string) {
                        if (error != coordinator::Error::None) {
                            ++errors;  // a session anew begins anew
                            return;
                        }
                        ++commands, grants += want;
                        {
                            std::lock_guard lock(mutex);
                            longest = std::max(longest, since(last));
                            last = Steady::now();
                        }
                        go(i, !want);
                    });
    }
    double take_longest() {
        std::lock_guard lock(mutex);
        longest = std::max(longest, since(last));
        return std::exchange(longest, 0.0);
    }
    coordinator::SessionId session = 0;
};

}  // namespace

int main(int count, char** texts) {
    if (count < 3) return 2;
    int rounds = count > 3 ? std::atoi(texts[3]) : 7;
    std::string folder = std::string(texts[2]) + "/keeper_measure";
    std::filesystem::create_directories(folder);
    {
        KeeperRig rig({texts[1], folder + "/grants", 100, 500, false});
        for (std::size_t i = 0; i < 3; ++i) rig.start(i, "--new");
        if (rig.await_leader() == 3) return 1;
        double before = plain(folder, 2);
        std::vector<std::unique_ptr<Load>> loads;
        for (int i = 0; i < 8; ++i)
            loads.push_back(std::make_unique<Load>(rig.addresses(), std::string(1, char('a' + i))));
        std::this_thread::sleep_for(std::chrono::seconds(2));
        std::uint64_t commands = 0, grants = 0;
        for (auto& load : loads) commands -= load->commands, grants -= load->grants;
        auto began = Steady::now();
        std::this_thread::sleep_for(std::chrono::seconds(5));
        for (auto& load : loads) commands += load->commands, grants += load->grants;
        double took = since(began);
        for (auto& load : loads) load->ends = true;
        loads.clear();
        double after = plain(folder, 2), loop = (before + after) / 2;
        std::printf(
            "plain write and fdatasync: %.0f a second (%.0f before, %.0f after); commands %.0f a second "
            "(%.2f of it), grants %.0f (%.2f)\n",
            loop, before, after, double(commands) / took, double(commands) / took / loop,
            double(grants) / took, double(grants) / took / loop);
    }
    for (const char* fault : {"kill", "stop", "cut"}) {
        KeeperRig rig({texts[1], folder + "/" + fault, 100, 500, true});
        for (std::size_t i = 0; i < 3; ++i) rig.start(i, "--new");
        if (rig.await_leader() == 3) return 1;
        Load load(rig.addresses(), "n");
        std::vector<double> gaps;
        std::this_thread::sleep_for(std::chrono::seconds(1));
        for (int i = 0; i < rounds; ++i) {
            std::size_t leader = rig.await_leader();
            if (leader == 3) return 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(300 + 130 * i));
            load.take_longest();
            std::string kind = fault;
            kind == "kill" ? rig.kill(leader) : kind == "stop" ? rig.stop(leader) : rig.mute(leader, true);
            std::this_thread::sleep_for(std::chrono::milliseconds(4500));
            gaps.push_back(load.take_longest());
            kind == "kill" ? rig.start(leader) : kind == "stop" ? rig.go_on(leader) : rig.mute(leader, false);
            std::this_thread::sleep_for(std::chrono::milliseconds(1000));
        }
        load.ends = true;
        std::sort(gaps.begin(), gaps.end());
        std::printf(
            "%s: nothing answered for %.2f s in the median of %d, %.2f s at worst; sessions lost: %llu\n",
            fault, gaps[gaps.size() / 2], rounds, gaps.back(), (unsigned long long)(load.sessions - 1));
        std::fflush(stdout);
    }
    std::filesystem::remove_all(folder);
    return 0;
}
