// Real processes of two releases with three real coordinators: a rolling upgrade under load, during whose
// migration the owner is killed; an old process that is paused before the switch and resumed after it; going
// back; and a complete second migration. The history checker uses the nodes' histories and the holders'
// files. The test waits for events and has no expectations of their duration.
#include <arpa/inet.h>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <schema_migration.pb.h>
#include <signal.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <sstream>
#include <thread>
#include <vector>

#include "lab/schema_migration/file_records.h"
#include "lab/schema_migration/nodes.h"

extern char** environ;

namespace ochrehub::lab::migration {
namespace {

constexpr std::size_t kHolders = 3, kGroups = 60;
constexpr std::uint32_t kShards = 16;

std::string file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
}

class Fleet {
public:
    Fleet() {
        char name[] = "/tmp/ochrehub_migration_XXXXXX";
        folder_ = mkdtemp(name);
        std::vector<int> sockets, ports;
        for (int i = 0; i < 3; ++i) {
            int s = socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in at{};
            at.sin_family = AF_INET, at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            socklen_t size = sizeof at;
            if (bind(s, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
                getsockname(s, reinterpret_cast<sockaddr*>(&at), &size) != 0)
                std::abort();
            sockets.push_back(s), ports.push_back(ntohs(at.sin_port));
        }
        for (int s : sockets) close(s);
        for (std::size_t i = 0; i < 3; ++i) {
            std::string number = std::to_string(i + 1), own = folder_ + "/k" + number;
            std::filesystem::create_directory(own);
            std::ofstream out(own + ".toml");
            out << "[keeper]\nnumber = " << number
                << "\ncluster = \"migration\"\nelection_ms = 2000\nlisten = \"127.0.0.1:" << ports[i]
                << "\"\nfolder = \"" << own << "\"\n";
            for (std::size_t k = 0; k < 3; ++k)
                out << "[[member]]\nnumber = " << k + 1 << "\naddress = \"127.0.0.1:" << ports[k] << "\"\n";
            keepers_.push_back("127.0.0.1:" + std::to_string(ports[i]));
        }
        for (int i = 1; i <= 3; ++i)
            begin(
                {OCHREHUB_NODE, "keeper", "--config", folder_ + "/k" + std::to_string(i) + ".toml", "--new"},
                "keeper" + std::to_string(i));
    }
    ~Fleet() {
        for (pid_t pid : all_) kill(pid, SIGKILL);
        for (pid_t pid : all_) waitpid(pid, nullptr, 0);
        if (!::testing::Test::HasFailure()) std::filesystem::remove_all(folder_);
    }

    pid_t begin(const std::vector<std::string>& command, const std::string& log) {
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        for (int fd : {1, 2})
            posix_spawn_file_actions_addopen(&files, fd, (folder_ + "/" + log).c_str(),
                                             O_WRONLY | O_CREAT | O_APPEND, 0600);
        std::vector<char*> arguments;
        for (const std::string& text : command) arguments.push_back(const_cast<char*>(text.c_str()));
        arguments.push_back(nullptr);
        pid_t pid = 0;
        EXPECT_EQ(posix_spawn(&pid, arguments[0], &files, nullptr, arguments.data(), environ), 0);
        posix_spawn_file_actions_destroy(&files);
        all_.push_back(pid);
        return pid;
    }
    void member(std::size_t i, const char* program) {
        std::vector<std::string> command{program,
                                         folder_,
                                         std::to_string(i),
                                         std::to_string(kHolders),
                                         std::to_string(kShards),
                                         std::to_string(kGroups)};
        command.insert(command.end(), keepers_.begin(), keepers_.end());
        members_[i] = begin(command, log(i));
    }
    void stop_for_good(std::size_t i) {
        kill(members_[i], SIGKILL);
        waitpid(members_[i], nullptr, 0);
        std::erase(all_, members_[i]);
    }
    void signal(std::size_t i, int what) { kill(members_[i], what); }
    std::string log(std::size_t i) const { return "member" + std::to_string(i); }
    std::string log_of(std::size_t i) const { return file(folder_ + "/" + log(i)); }
    std::string book(std::size_t i) const { return file(folder_ + "/book." + std::to_string(i)); }
    std::size_t acked(std::size_t i) const {
        std::size_t count = 0;
        std::istringstream in(book(i));
        for (std::string line; std::getline(in, line);) count += line.starts_with("a ");
        return count;
    }
    /// The exit code: 0 if the command succeeded.
    int migrate(const std::vector<std::string>& words, std::string* out = nullptr) {
        std::string log = "command" + std::to_string(++commands_);
        std::vector<std::string> command{OCHREHUB_NODE, "fleet", "migrate"};
        command.insert(command.end(), words.begin(), words.end());
        command.insert(command.end(), {"--config", folder_ + "/k1.toml"});
        pid_t pid = begin(command, log);
        int status = 0;
        waitpid(pid, &status, 0);
        std::erase(all_, pid);
        last_ = file(folder_ + "/" + log);
        if (out) *out = last_;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    std::string stage() {
        std::string out;
        if (migrate({"status", "--json"}, &out) != 0) return {};
        return after(out, "\"stage\":\"");
    }
    /// The index of the member that owns the migration, if any.
    int owner() {
        std::string out;
        if (migrate({"status", "--json"}, &out) != 0) return -1;
        std::size_t at = out.find("\"owner\":");
        if (at == std::string::npos) return -1;
        std::string id = out.substr(at + 8, out.find(',', at) - at - 8);
        std::string name = after(out, "{\"id\":" + id + ",\"name\":\"member-");
        return name.empty() ? -1 : std::stoi(name);
    }
    bool await(const char* what, const std::function<bool()>& holds) {
        auto until = std::chrono::steady_clock::now() + std::chrono::seconds(120);
        while (!holds()) {
            if (std::chrono::steady_clock::now() > until) {
                ADD_FAILURE() << "in vain: " << what << " in " << folder_ << "; last said: " << last_;
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        }
        return true;
    }
    bool await_acks(std::size_t i, std::size_t more) {
        std::size_t before = acked(i);
        return await("writes that are acknowledged", [=, this] { return acked(i) >= before + more; });
    }
    bool command(const std::vector<std::string>& words) {
        return await(words[0].c_str(), [&] { return migrate(words) == 0; });
    }

    /// Compares the final records with the acknowledged writes.
    std::vector<std::string> judge(Version level, std::size_t& acks) {
        WriteHistory all(Kind::Sessions);
        std::map<std::string, Contents> groups;
        for (std::size_t i = 0; i < kGroups; ++i) {
            std::string name = "c" + std::to_string(i);
            Contents contents;
            parse_contents(Kind::Sessions, 4, initial_group(Kind::Sessions, 4, name, i), contents);
            all.set_initial(name, contents);
        }
        for (std::size_t i = 0; i <= kHolders; ++i) {
            std::map<std::uint64_t, Write> tried;
            std::istringstream in(book(i));
            for (std::string line; std::getline(in, line);) {
                std::istringstream words(line);
                char what = 0;
                Write write;
                std::uint64_t version = 0;
                Version schema = 0;
                words >> what;
                if (what == 'x')
                    all.violation("member " + std::to_string(i) +
                                  " was given what it does not read: " + line);
                if (what == 't' && words >> write.id >> write.group >> write.tenant >> write.moves)
                    all.attempted(tried[write.id] = write);
                if (what == 'a' && words >> write.id >> version >> schema)
                    all.acked(tried.at(write.id), version, schema);
            }
        }
        for (std::size_t i = 0; i < kHolders; ++i) {
            FileRecords disk(folder_ + "/disk." + std::to_string(i), false);
            for (std::uint32_t shard = std::uint32_t(i); shard < kShards; shard += std::uint32_t(kHolders)) {
                schema_migration::Records::Page page;
                disk.scan(shard, {}, ~std::size_t(0), page);
                for (const auto& [name, held] : page) {
                    schema_migration::wire::Stored stored;
                    Group group;
                    if (!stored.ParseFromString(held.bytes) || stored.forms_size() != 1 ||
                        stored.forms(0).schema() != level) {
                        all.violation(name + " is not there in schema " + std::to_string(level) + " alone");
                        continue;
                    }
                    for (const auto& r : stored.forms(0).records()) group.push_back({r.key(), r.value()});
                    if (!parse_contents(Kind::Sessions, level, group, groups[name]))
                        all.violation(name + " cannot be read");
                }
            }
        }
        all.end(groups, level, level == 4);
        acks = all.acks();
        return all.faults();
    }

private:
    static std::string after(const std::string& text, const std::string& what) {
        std::size_t at = text.find(what);
        if (at == std::string::npos) return {};
        at += what.size();
        return text.substr(at, text.find('"', at) - at);
    }
    std::string folder_, last_;
    std::vector<std::string> keepers_;
    std::vector<pid_t> all_;
    std::map<std::size_t, pid_t> members_;
    int commands_ = 0;
};

TEST(TwoReleases, UpgradeSurvivesOwnerCrashLateOldProcessAndGoingBack) {
    constexpr std::size_t kOld = kHolders;  // holds no shards, only writes
    Fleet fleet;
    for (std::size_t i = 0; i <= kHolders; ++i) fleet.member(i, OCHREHUB_MEMBER_BEFORE);
    for (std::size_t i = 0; i <= kHolders; ++i) ASSERT_TRUE(fleet.await_acks(i, 20));
    EXPECT_NE(fleet.migrate({"start", "sessions", "--shards", "16"}),
              0);  // no process reads the new version yet
    fleet.signal(kOld, SIGSTOP);
    for (std::size_t i = 0; i < kHolders; ++i) {  // one at a time, together with the previous release
        fleet.stop_for_good(i);
        fleet.member(i, OCHREHUB_MEMBER);
        for (std::size_t k = 0; k < kHolders; ++k) ASSERT_TRUE(fleet.await_acks(k, 5));
    }
    ASSERT_TRUE(fleet.command({"start", "sessions", "--shards", "16"}));
    int owner = -1;
    ASSERT_TRUE(fleet.await("an owner", [&] { return (owner = fleet.owner()) >= 0; }));
    ASSERT_LT(std::size_t(owner), kHolders);
    fleet.stop_for_good(std::size_t(owner));
    fleet.member(std::size_t(owner), OCHREHUB_MEMBER);
    ASSERT_TRUE(fleet.await("hold", [&] { return fleet.stage() == "hold"; }));
    for (std::size_t i = 0; i < kHolders; ++i) ASSERT_TRUE(fleet.await_acks(i, 10));

    fleet.signal(kOld, SIGCONT);
    ASSERT_TRUE(fleet.await("the old process is refused", [&] {
        return fleet.log_of(kOld).find("refused: migration.old-release") != std::string::npos;
    }));
    ASSERT_TRUE(fleet.await("its writes too", [&] {
        return fleet.book(kOld).find("r migration.old-level") != std::string::npos;
    }));
    ASSERT_TRUE(fleet.command({"back"}));
    ASSERT_TRUE(fleet.await("undone", [&] { return fleet.stage() == "undone"; }));
    ASSERT_TRUE(fleet.await_acks(kOld, 5));  // the fleet writes a version that it reads again
    fleet.stop_for_good(kOld);

    ASSERT_TRUE(fleet.command({"start", "sessions", "--shards", "16"}));
    ASSERT_TRUE(fleet.await("hold", [&] { return fleet.stage() == "hold"; }));
    ASSERT_TRUE(fleet.command({"narrow"}));
    ASSERT_TRUE(fleet.await("done", [&] { return fleet.stage() == "done"; }));
    for (std::size_t i = 0; i < kHolders; ++i) ASSERT_TRUE(fleet.await_acks(i, 5));
    for (std::size_t i = 0; i < kHolders; ++i) fleet.stop_for_good(i);
    std::size_t acks = 0;
    for (const std::string& broken : fleet.judge(4, acks)) ADD_FAILURE() << broken;
    std::printf("%zu writes acknowledged\n", acks);
}

}  // namespace
}  // namespace ochrehub::lab::migration
