// Three coordinators as processes, relays between them, and a client with a session, while coordinators are
// killed, paused, cut off and lose their data. The test waits for events, and asserts nothing on how long
// they take.
#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <mutex>
#include <string>
#include <vector>

#include "fleet/leadership/lease_state_machine.h"
#include "lab/coordinator/testbed.h"

namespace ochrehub::lab {
namespace {

constexpr std::chrono::seconds kWaitTimeout{40};

/// A client that acquires leadership of ever new names. Each grant carries the next epoch of one counter.
struct Client {
    std::mutex mutex;  // guards all but `thread`
    std::condition_variable changed;
    std::vector<std::uint64_t> epochs;  // in the order of responses
    std::vector<coordinator::Error> errors;
    std::size_t requested = 0;
    coordinator::SessionId session = 0;
    std::uint64_t sessions = 0;
    coordinator::SessionThread thread;

    explicit Client(const std::vector<std::string>& coordinators) : thread(settings(coordinators), Clock()) {
        thread.add_listener([this](const coordinator::SessionThread::Notification& notification) {
            std::lock_guard lock(mutex);
            const auto* renewed = std::get_if<coordinator::SessionRenewed>(&notification);
            if (renewed && renewed->session != session) {
                session = renewed->session;
                ++sessions;
            }
            changed.notify_all();
        });
        thread.start();
    }
    static coordinator::SessionThreadSettings settings(const std::vector<std::string>& coordinators) {
        coordinator::SessionThreadSettings settings;
        settings.session.coordinators = coordinators;
        settings.session.name = "client";
        settings.session.lease = Duration{30'000};  // long enough for a busy machine
        settings.session.response_timeout = Duration{500};
        settings.cluster = "rig";
        return settings;
    }
    bool wait_until(auto condition) {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, kWaitTimeout, condition);
    }
    void acquire(std::size_t count) {
        for (std::size_t i = 0; i < count; ++i) {
            std::string name("d");
            name += std::to_string(++requested);
            thread.submit("duty", leadership::add_candidacy_command(name),
                          [this](coordinator::Error error, const std::string& bytes) {
                              std::lock_guard lock(mutex);
                              const auto answer = leadership::decode_command_response(bytes);
                              if (error != coordinator::Error::None || !answer || answer->error)
                                  errors.push_back(error);
                              else
                                  epochs.push_back(answer->epoch);
                              changed.notify_all();
                          });
        }
    }
    bool wait_for_all_responses() {
        return wait_until([this] { return epochs.size() + errors.size() >= requested; });
    }
    std::size_t responses() {
        std::lock_guard lock(mutex);
        return epochs.size() + errors.size();
    }
};

struct Folder {
    std::string path =
        (std::filesystem::temp_directory_path() / ("ochrehub_keepers_" + std::to_string(getpid()))).string();
    Folder() = default;
    ~Folder() {
        if (!testing::Test::HasFailure()) std::filesystem::remove_all(path);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
};

TEST(CoordinatorProcesses, ApplyEachCommandOnceInOrderUnderCrashesPausesCutsAndDataLoss) {
    Folder folder;
    CoordinatorTestbed testbed({OCHREHUB_NODE, folder.path});
    for (std::size_t i = 0; i < 3; ++i) testbed.start(i, "--new");
    Client client(testbed.addresses());
    ASSERT_TRUE(client.wait_until([&] { return client.sessions > 0; }));
    client.acquire(100);
    ASSERT_TRUE(client.wait_for_all_responses());

    // The leader is killed and restarted.
    std::size_t leader = testbed.await_leader();
    ASSERT_LT(leader, 3u);
    testbed.kill(leader);
    client.acquire(50);
    ASSERT_TRUE(client.wait_for_all_responses());
    testbed.start(leader);

    // The leader is paused, and resumes once another leads.
    leader = testbed.await_leader();
    ASSERT_LT(leader, 3u);
    testbed.pause(leader);
    client.acquire(50);
    ASSERT_LT(testbed.await_leader(leader), 3u);
    ASSERT_TRUE(client.wait_for_all_responses());
    testbed.resume(leader);
    client.acquire(20);
    ASSERT_TRUE(client.wait_for_all_responses());

    // The leader is cut off one way: it receives, and what it sends is lost.
    leader = testbed.await_leader();
    ASSERT_LT(leader, 3u);
    testbed.cut_outgoing(leader, true);
    client.acquire(50);
    ASSERT_LT(testbed.await_leader(leader), 3u);
    ASSERT_TRUE(client.wait_for_all_responses());
    testbed.cut_outgoing(leader, false);
    client.acquire(20);
    ASSERT_TRUE(client.wait_for_all_responses());

    // A majority is killed: nothing is granted until it is restarted.
    testbed.kill(0);
    testbed.kill(1);
    std::size_t before = client.responses();
    client.acquire(20);
    EXPECT_EQ(client.responses(), before);
    testbed.start(0);
    testbed.start(1);
    ASSERT_TRUE(client.wait_for_all_responses());

    // One of a majority loses its folder: it refuses to start without --lost.
    testbed.kill(0);
    testbed.kill(1);
    testbed.remove_data(1);
    testbed.start(1);
    EXPECT_EQ(testbed.wait_for_exit(1), 2);
    testbed.start(0);
    client.acquire(20);
    ASSERT_TRUE(client.wait_for_all_responses());
    testbed.start(1, "--lost");
    for (int i = 0; i < 400 && !testbed.is_trusted(1); ++i) usleep(20'000);
    EXPECT_TRUE(testbed.is_trusted(1));
    client.acquire(20);
    ASSERT_TRUE(client.wait_for_all_responses());

    std::lock_guard lock(client.mutex);
    EXPECT_TRUE(client.errors.empty());
    EXPECT_EQ(client.sessions, 1u) << "no session was lost";
    ASSERT_EQ(client.epochs.size(), client.requested);
    for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(testbed.terminate(i), 0);
    for (std::size_t i = 0; i < client.epochs.size(); ++i)
        ASSERT_EQ(client.epochs[i], i + 1) << "each command once, in order";
}

}  // namespace
}  // namespace ochrehub::lab
