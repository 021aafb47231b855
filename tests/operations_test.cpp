// The operations side without sockets: what calls mean, what the figures look like, what passes through a
// file.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "admin/calls.h"
#include "admin/metrics.h"
#include "takeover/inherited.h"
#include "takeover/instance_lock.h"
#include "takeover/manual_overrides.h"
#include "takeover/store.h"

namespace ochrehub {
namespace {

struct Folder {
    std::string path;
    Folder() {
        char made[] = "/tmp/operations.XXXXXX";
        path = mkdtemp(made);
    }
    ~Folder() { std::filesystem::remove_all(path); }
};

TimePoint wall() {
    return TimePoint{Duration{std::chrono::system_clock::now().time_since_epoch()}};
}

TEST(Calls, EachWrongOneSaysWhatIsWrongAndChangesNothing) {
    std::vector<std::pair<std::string, bool>> done;
    bool ready = false;
    admin::Node node{[&] { return ready; }, [] { return std::string("figures\n"); },
                     [&](const std::string& id, bool out) {
                         if (id != "s 1") return false;
                         done.emplace_back(id, out);
                         return true;
                     }};
    auto status = [&](const char* method, const char* target) {
        return admin::answer(node, method, target).status;
    };
    EXPECT_EQ(status("GET", "/ops/readiness"), 503);
    ready = true;
    EXPECT_EQ(status("GET", "/ops/readiness"), 200);
    EXPECT_EQ(admin::answer(node, "GET", "/ops/stats?x=1").body, "figures\n");
    for (const char* path : {"/", "/ops", "/ops/stats/", "/ops/servers/down", "/ops/servers/sideways/s"})
        EXPECT_EQ(status("GET", path), 404) << path;
    EXPECT_EQ(admin::answer(node, "POST", "/ops/stats").allow, "GET");
    EXPECT_EQ(admin::answer(node, "GET", "/ops/servers/up/s%201").allow, "PUT");
    EXPECT_EQ(status("PUT", "/ops/servers/down/"), 404);
    EXPECT_EQ(status("PUT", "/ops/servers/down/other"), 404);
    for (const char* id : {"%", "%4", "%zz", "s%1"})
        EXPECT_EQ(status("PUT", (std::string("/ops/servers/down/") + id).c_str()), 400) << id;
    EXPECT_TRUE(done.empty());
    EXPECT_EQ(status("PUT", "/ops/servers/down/s%201"), 200);
    EXPECT_EQ(status("PUT", "/ops/servers/up/s%201"), 200);
    EXPECT_EQ(done, (std::vector<std::pair<std::string, bool>>{{"s 1", true}, {"s 1", false}}));
}

TEST(Metrics, EveryClassIsThereFromTheStartAndNamesAreEscaped) {
    Counters counters(2);
    counters.classes[1].rejected.add();
    counters.classes[1].rejected.add();
    counters.attempts_sent.add(7);
    counters.active_requests.add(-1);  // never below nothing, whatever a reader meets
    std::string text = admin::metrics(counters, {"plain", "a\"b\\c\nd"});
    auto has = [&](const std::string& line) {
        return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
    };
    for (const char* state : {"answered", "deferred", "errored"})
        EXPECT_TRUE(has(std::string("app_transactions_total{group=\"plain\",state=\"") + state + "\"} 0"));
    EXPECT_TRUE(has(R"(app_transactions_total{group="a\"b\\c\nd",state="deferred"} 2)"));
    EXPECT_TRUE(has("app_sends_total 7"));
    EXPECT_TRUE(has("app_current 0"));
    for (const char* name :
         {"transactions_total counter", "sends_total counter", "uploads_given_up_total counter",
          "stop_given_up_total counter", "current gauge", "cluster_size gauge", "cluster_unhealthy gauge"})
        EXPECT_TRUE(has(std::string("# TYPE app_") + name));
}

TEST(ManualOverrides, AFileIsReadWholeOrNotAtAll) {
    takeover::ManualOverrides overrides;
    overrides.take_out("s-1", TimePoint{Duration{1000}});
    overrides.take_out("an id\nof two lines %", TimePoint{Duration{2}});
    overrides.put_back("s-1", TimePoint{Duration{1234.5}});
    std::string text = written(overrides, "n0"), why;
    EXPECT_EQ(takeover::read(text, "n0", why), overrides);
    EXPECT_FALSE(takeover::read(text, "n1", why));
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_FALSE(takeover::read(text.substr(0, length), "n0", why)) << length;
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = char(changed[i] ^ 1);
        EXPECT_FALSE(takeover::read(changed, "n0", why)) << i;
    }
}

TEST(ManualOverrides, TwoOutsNeedOneBack) {
    takeover::ManualOverrides overrides;
    EXPECT_TRUE(overrides.take_out("a", TimePoint{}));
    EXPECT_FALSE(overrides.take_out("a", TimePoint{}));
    EXPECT_TRUE(overrides.put_back("a", TimePoint{}));
    EXPECT_FALSE(overrides.put_back("a", TimePoint{}));
    EXPECT_TRUE(overrides.out.empty());
}

TEST(Store, WhatOneProcessIsToldTheOtherLearnsAndTheNextOneHas) {
    Folder folder;
    takeover::Store old(folder.path, "n", "n0", Duration{8000});
    EXPECT_TRUE(old.take_out("a"));
    takeover::Store fresh(folder.path, "n", "n0", Duration{8000});
    EXPECT_TRUE(fresh.overrides().out.contains("a"));
    EXPECT_TRUE(old.take_out("b"));
    EXPECT_TRUE(fresh.refresh());
    EXPECT_FALSE(fresh.refresh());
    EXPECT_TRUE(fresh.put_back("a"));
    EXPECT_TRUE(old.take_out("c"));  // both told at once: neither is lost
    EXPECT_TRUE(fresh.refresh());
    EXPECT_EQ(fresh.overrides().out.size(), 2u);
    EXPECT_TRUE(fresh.overrides().out.contains("b") && fresh.overrides().out.contains("c"));
    EXPECT_TRUE(fresh.overrides().back.contains("a"));
    EXPECT_LE(fresh.overrides().back.at("a").till, wall());
}

TEST(Store, WhatCannotBeUsedIsNotAndWhatCannotBeWrittenStillHolds) {
    Folder folder;
    std::string file = folder.path + "/n.hands";
    auto knows = [&] {
        return takeover::Store(folder.path, "n", "n0", Duration{8000}).overrides().out.contains("a");
    };
    EXPECT_FALSE(knows());
    takeover::Store(folder.path, "n", "n0", Duration{8000}).take_out("a");
    EXPECT_TRUE(knows());
    timespec long_ago[2] = {{time(nullptr) - 3600, 0}, {time(nullptr) - 3600, 0}};
    utimensat(AT_FDCWD, file.c_str(), long_ago, 0);
    EXPECT_FALSE(knows());  // of a process long gone
    utimensat(AT_FDCWD, file.c_str(), nullptr, 0);
    std::filesystem::resize_file(file, std::filesystem::file_size(file) - 1);
    EXPECT_FALSE(knows());
    takeover::Store lost(folder.path + "/no/such/folder", "n", "n0", Duration{8000});
    EXPECT_TRUE(lost.take_out("a"));
    EXPECT_TRUE(lost.overrides().out.contains("a"));
    takeover::Store none("", "n", "n0", Duration{8000});
    EXPECT_TRUE(none.take_out("a"));
}

TEST(InstanceLock, ATwinIsSeenFromBothSidesUntilItEnds) {
    Folder folder;
    takeover::InstanceLock first(folder.path, "n");
    EXPECT_TRUE(first.placed());
    EXPECT_FALSE(first.twin());
    {
        takeover::InstanceLock second(folder.path, "n");
        EXPECT_TRUE(second.placed());
        EXPECT_TRUE(first.twin());
        EXPECT_TRUE(second.twin());
        EXPECT_FALSE(takeover::InstanceLock(folder.path, "n").placed());
    }
    EXPECT_FALSE(first.twin());
    EXPECT_FALSE(takeover::InstanceLock(folder.path + "/none", "n").twin());
}

TEST(Inherited, OnlyAListeningTcpSocketWillDo) {
    auto refused = [](const std::string& text) {
        EXPECT_THROW(takeover::inherited_listener(text), std::runtime_error) << text;
    };
    refused("");
    refused("seven");
    refused("7x");
    refused("-1");
    refused("1000000");
    int udp = socket(AF_INET, SOCK_DGRAM, 0), tcp = socket(AF_INET, SOCK_STREAM, 0);
    refused(std::to_string(udp));
    refused(std::to_string(tcp));  // it does not listen yet
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(bind(tcp, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    ASSERT_EQ(listen(tcp, 1), 0);
    EXPECT_EQ(takeover::inherited_listener(std::to_string(tcp)), tcp);
    close(udp);
    close(tcp);
}

}  // namespace
}  // namespace ochrehub
