// A node that stops while its servers hang: all that comes behind SIGTERM has its answer before the platform
// may kill the process, 0.7 s behind the longest deadline (counted as 3 s where it is longer).
#include <optional>

#include "endings_run.h"

namespace ochrehub::run {
namespace {

constexpr double kKillDelayMs = 700;
constexpr double kMaxCountedDeadlineMs = 3000;

/// What a row is played with: the longest deadline of the settings, and whether others hold the listener too.
struct Case {
    double longest_deadline_ms = 800;
    bool handed_down = false;
    double kill_at_ms() const { return std::min(longest_deadline_ms, kMaxCountedDeadlineMs) + kKillDelayMs; }
};

class StoppingNode {
public:
    StoppingNode(const char* program, const char* config, const Case& played)
        : played_(played), setup_(prepare(config)) {
        if (played.handed_down) setenv("GW_FD", "7", 1);
        node.start(program, played.handed_down ? listener_.fd : -1);
        unsetenv("GW_FD");
        node.until_ready();
    }
    ~StoppingNode() { close(listener_.fd); }
    void stop() { stopping_.emplace(node); }
    double ms() const { return ms_since(stopping_->at); }
    void until(double at_ms) const {
        while (ms() < at_ms) usleep(1000);
    }
    double until_over() const { return stopping_->until_over(node); }
    double kill_at_ms() const { return played_.kill_at_ms(); }

    World world;
    Node node;

private:
    Setup prepare(const char* config) {
        if (played_.handed_down) world.clients = listener_;
        char deadline[32];
        std::snprintf(deadline, sizeof deadline, "\"GiveUp\":%.1f", played_.longest_deadline_ms);
        return world.setup(config, {{"\"GiveUp\":60000.0", deadline}});
    }

    Case played_;
    Listener listener_;
    Setup setup_;
    std::optional<Stopping> stopping_;
};

struct Late {
    int fd;
    std::string rest;
};

/// Connections on which a request's first line has come: they are not at rest when the node stops.
Late begin(const StoppingNode& stopping, const std::string& request) {
    constexpr std::size_t kFirstPart = 10;
    Late late{stopping.world.connect(), request.substr(kFirstPart)};
    put(late.fd, request.substr(0, kFirstPart));
    return late;
}

std::string post(const std::string& words) {
    std::string id = std::to_string(next_id++);
    return "POST /buy?" + words + "&id=" + id + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
}

void expect_answers(const char* name, const StoppingNode& stopping, const std::vector<Late>& sent) {
    double last = 0;
    std::string statuses;
    for (const Late& late : sent) {
        std::string behind, head = read_head(late.fd, behind);
        last = std::max(last, stopping.ms());
        statuses += head.substr(8, 4);
        assert(head.starts_with("HTTP/1.1 50") && head.find("Connection: close") != std::string::npos);
        close(late.fd);
    }
    std::printf("%-28s answered%s by %.0f ms, killed at %.0f ms\n", name, statuses.c_str(), last,
                stopping.kill_at_ms());
    std::fflush(stdout);
    assert(last < stopping.kill_at_ms());
}

/// Requests that come whole 0.75 s behind SIGTERM, or later, to servers that hang: they kept their whole
/// time, and were found unanswered by SIGKILL. Some are at their first server, some at their second, some
/// wait.
void late_requests_of_hanging_servers(const char* program, const char* config, const Case& played) {
    StoppingNode stopping(program, config, played);
    // Servers that have just been listed take few requests at a time: those behind the first ones wait.
    std::vector<Late> first{begin(stopping, post("full,first,stuck")), begin(stopping, post("hold"))}, second;
    for (int i = 0; i < 4; ++i) {
        first.push_back(begin(stopping, get(next_id++, "hold")));
        first.push_back(begin(stopping, post("hold")));
    }
    auto begin_second = [&] {
        for (int i = 0; i < 4; ++i) second.push_back(begin(stopping, post("hold")));
    };
    if (played.handed_down) begin_second();  // no new connections come to it behind the signal
    usleep(50000);
    stopping.stop();
    stopping.until(std::min(750.0, stopping.kill_at_ms() - 300));
    for (const Late& late : first) put(late.fd, late.rest);
    stopping.until(stopping.kill_at_ms() - 280);
    if (!played.handed_down) begin_second();
    stopping.until(stopping.kill_at_ms() - 250);
    for (const Late& late : second) put(late.fd, late.rest);
    first.insert(first.end(), second.begin(), second.end());
    expect_answers("late_requests_hanging", stopping, first);
    assert(stopping.until_over() < stopping.kill_at_ms());
}

/// A request that comes whole when its answer could not be there in time is refused at once.
void request_at_the_end_of_a_stop(const char* program, const char* config) {
    StoppingNode stopping(program, config, {});
    int held =
        stopping.world.connect();  // it came before the signal, and keeps the process with its own time
    long id = next_id++;
    put(held, get(id, "hold").insert(get(id, "hold").size() - 2, "X-Expires-In: 2.0\r\n"));
    stopping.world.servers.until_begun(id);
    stopping.stop();
    stopping.until(stopping.kill_at_ms() - 100);
    int fd = stopping.world.connect();
    put(fd, get(next_id, "hold"));
    std::string behind, head = read_head(fd, behind);
    double answered = stopping.ms();
    std::printf("%-28s answered %s at %.0f ms\n", "request_at_the_end_of_a_stop", head.substr(9, 3).c_str(),
                answered);
    assert(head.starts_with("HTTP/1.1 503") && answered < stopping.kill_at_ms());
    assert(!stopping.world.servers.begun(next_id++));
    close(fd);
    assert(stopping.node.figure("app_stop_given_up_total") == 1);
    // What came before keeps its time, if the platform leaves the process alone for so long.
    assert(read_head(held, behind = "").starts_with("HTTP/1.1 50") && stopping.ms() > 1500);
    close(held);
    stopping.until_over();
}

/// A long body goes on coming through the whole of the stop: there was always something unread, and the
/// process ended over it, or waited till it was killed.
void upload_through_a_stop(const char* program, const char* config) {
    StoppingNode stopping(program, config, {});
    int fd = stopping.world.connect();
    const std::string id = std::to_string(next_id++);
    put(fd, "POST /buy?hold&id=" + id + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
                "\r\nContent-Length: 30000000\r\n\r\n");
    stopping.stop();
    const std::string piece(8192, 'p');
    pollfd heard{fd, POLLIN, 0};
    while (poll(&heard, 1, 0) == 0 && send_all(fd, piece.data(), piece.size())) usleep(1000);
    std::string behind, head = read_head(fd, behind);
    double answered = stopping.ms();
    std::printf("%-28s answered %s at %.0f ms\n", "upload_through_a_stop", head.substr(9, 3).c_str(),
                answered);
    assert(head.starts_with("HTTP/1.1 408"));
    assert(answered > 1200 && answered < stopping.kill_at_ms());
    close(fd);
    assert(stopping.until_over() < stopping.kill_at_ms());
}

/// The signals that a process handles, a bit each, as its system has them.
unsigned long handled_signals(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);)
        if (line.starts_with("SigCgt:")) return std::strtoul(line.c_str() + 7, nullptr, 16);
    return 0;
}

/// A signal that came when the node said that it is ready, and handled none yet, ended it over its requests.
void signals_from_the_start(const char* program, const char* config) {
    constexpr int kStarts = 30;
    constexpr unsigned long kNeeded = 1UL << (SIGTERM - 1) | 1UL << (SIGINT - 1) | 1UL << (SIGHUP - 1);
    int unhandled = 0;
    for (int i = 0; i < kStarts; ++i) {
        World world;
        Setup setup = world.setup(config);
        Node node;
        node.start(program, -1);
        int control = -1;
        while ((control = connected(node.control)) < 0) {
        }
        unhandled += (handled_signals(node.pid) & kNeeded) != kNeeded;
        close(control);
        kill(node.pid, SIGKILL);
        waitpid(node.pid, nullptr, 0);
    }
    std::printf("%-28s %d of %d starts listened before they handled signals\n", "signals_from_the_start",
                unhandled, kStarts);
    std::fflush(stdout);
    assert(unhandled == 0);
}

}  // namespace

std::vector<Part> stop_limits() {
    auto with = [](const Case& played) {
        return [played](const char* program, const char* config) {
            late_requests_of_hanging_servers(program, config, played);
        };
    };
    return {{{"late_requests_of_hanging_servers", {}, with({})},
             {"request_at_the_end_of_a_stop", {}, request_at_the_end_of_a_stop},
             {"upload_through_a_stop", {}, upload_through_a_stop},
             {"signals_from_the_start", {}, signals_from_the_start}},
            {{"late_requests_long_deadline", {}, with({60000, false})}},
            {{"late_requests_short_deadline", {}, with({200, false})},
             {"late_requests_handed_down", {}, with({800, true})}}};
}

}  // namespace ochrehub::run
