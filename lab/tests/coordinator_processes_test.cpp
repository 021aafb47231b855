// Three real keepers, relays between them, and a process with a session: what is killed, stopped, cut and
// emptied. Events are awaited; nothing is asserted on how long they took.
#include <gtest/gtest.h>
#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <mutex>

#include "fleet/leadership/machine.h"
#include "lab/coordinator/rig.h"

namespace ochrehub::lab {
namespace {

/// A process with a session, that wants duties of ever new names: each grant bears the next epoch of one
/// counter.
struct Client {
    std::mutex mutex;
    std::condition_variable told;
    std::vector<std::uint64_t> epochs;  // in the order of answers
    std::vector<coordinator::Error> errors;
    std::size_t asked = 0;
    coordinator::SessionId first = 0;
    std::uint64_t sessions = 0;
    coordinator::SessionThread side;

    explicit Client(const std::vector<std::string>& keepers) : side(settings(keepers), Clock()) {
        side.add_listener([this](const coordinator::SessionThread::Notification& what) {
            std::lock_guard lock(mutex);
            if (const auto* held = std::get_if<coordinator::SessionRenewed>(&what);
                held && held->session != first)
                first = held->session, ++sessions;
            told.notify_all();
        });
        side.start();
    }
    static coordinator::SessionThreadSettings settings(const std::vector<std::string>& keepers) {
        coordinator::SessionThreadSettings set;
        set.session.coordinators = keepers, set.session.name = "client", set.cluster = "rig";
        set.session.lease = Duration{30'000};  // so that a machine that is busy ends nothing
        set.session.response_timeout = Duration{500};
        return set;
    }
    bool await(auto what) {
        std::unique_lock lock(mutex);
        return told.wait_for(lock, std::chrono::seconds(40), what);
    }
    void want(std::size_t many) {
        for (std::size_t i = 0; i < many; ++i) {
            std::string name("d");
            name += std::to_string(++asked);
            side.submit("duty", leadership::want(name), [this](coordinator::Error error, std::string bytes) {
                std::lock_guard lock(mutex);
                auto answer = leadership::read_answer(bytes);
                if (error != coordinator::Error::None || !answer || answer->error)
                    errors.push_back(error);
                else
                    epochs.push_back(answer->epoch);
                told.notify_all();
            });
        }
    }
    bool await_answers() {
        return await([this] { return epochs.size() + errors.size() >= asked; });
    }
    std::size_t answered() {
        std::lock_guard lock(mutex);
        return epochs.size() + errors.size();
    }
};

struct Folder {
    std::string path =
        (std::filesystem::temp_directory_path() / ("ochrehub_keepers_" + std::to_string(getpid()))).string();
    ~Folder() {
        if (!testing::Test::HasFailure()) std::filesystem::remove_all(path);
    }
};

TEST(Keepers, ServeOnceAndInOrderThroughDeathsStopsCutsAndLostFolders) {
    Folder folder;
    KeeperRig rig({OCHREHUB_NODE, folder.path});
    for (std::size_t i = 0; i < 3; ++i) rig.start(i, "--new");
    Client client(rig.addresses());
    ASSERT_TRUE(client.await([&] { return client.sessions > 0; }));
    client.want(100);
    ASSERT_TRUE(client.await_answers());

    // The leader is killed, and comes back.
    std::size_t leader = rig.await_leader();
    ASSERT_LT(leader, 3u);
    rig.kill(leader);
    client.want(50);
    ASSERT_TRUE(client.await_answers());
    rig.start(leader);

    // ... stopped, and let go once another leads.
    leader = rig.await_leader();
    ASSERT_LT(leader, 3u);
    rig.stop(leader);
    client.want(50);
    ASSERT_LT(rig.await_leader(leader), 3u);
    ASSERT_TRUE(client.await_answers());
    rig.go_on(leader);
    client.want(20);
    ASSERT_TRUE(client.await_answers());

    // ... cut one way: it hears, and is not heard.
    leader = rig.await_leader();
    ASSERT_LT(leader, 3u);
    rig.mute(leader, true);
    client.want(50);
    ASSERT_LT(rig.await_leader(leader), 3u);
    ASSERT_TRUE(client.await_answers());
    rig.mute(leader, false);
    client.want(20);
    ASSERT_TRUE(client.await_answers());

    // A majority is killed: nothing is granted until it is back.
    rig.kill(0), rig.kill(1);
    std::size_t before = client.cached_outcome();
    client.want(20);
    EXPECT_EQ(client.cached_outcome(), before);
    rig.start(0), rig.start(1);
    ASSERT_TRUE(client.await_answers());

    // ... and one of it comes back without its folder, which is not taken for a new one.
    rig.kill(0), rig.kill(1);
    rig.empty_folder(1);
    rig.start(1);
    EXPECT_EQ(rig.ended(1), 2);
    rig.start(0);
    client.want(20);
    ASSERT_TRUE(client.await_answers());
    rig.start(1, "--lost");
    for (int i = 0; i < 400 && !rig.trusted(1); ++i) usleep(20'000);
    EXPECT_TRUE(rig.trusted(1));
    client.want(20);
    ASSERT_TRUE(client.await_answers());

    std::lock_guard lock(client.mutex);
    EXPECT_TRUE(client.errors.empty());
    EXPECT_EQ(client.sessions, 1u) << "the session outlives it all";
    ASSERT_EQ(client.epochs.size(), client.asked);
    for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(rig.end(i), 0);
    for (std::size_t i = 0; i < client.epochs.size(); ++i)
        ASSERT_EQ(client.epochs[i], i + 1) << "each command once, in order";
}

}  // namespace
}  // namespace ochrehub::lab
