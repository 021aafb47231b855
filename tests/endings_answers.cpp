// Answers that a server writes in lumps, slowly, or not to their end, at a node of their own.
#include "endings_run.h"

namespace ochrehub::run {
namespace {

constexpr double kPatienceMs = 500;     // as the requests say
constexpr double kMaxLatenessMs = 500;  // the pages allow as much for an end
constexpr double kClockSlackMs = 50;    // ... and each limit on sockets is so much longer
constexpr std::size_t kLump = 15000;
constexpr int kLumps = 6;  // longer than a buffer

/// How a server writes an answer; a request's target names the framing and the number.
enum class Framing { Length, Chunked, Close };
enum class Way { PauseThenLumps, LumpsApart, NeverEnds, Huge };

void write_answer(int fd, Framing framing, Way way) {
    if (way == Way::Huge) {
        const std::string body(std::size_t{32} << 20, 'h');
        std::string huge =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        return void(send_all(fd, huge.data(), huge.size()));
    }
    std::string head = "HTTP/1.1 200 OK\r\n", lump(kLump, 'a');
    if (framing == Framing::Length) head += "Content-Length: " + std::to_string(kLump * kLumps) + "\r\n";
    if (framing == Framing::Chunked) head += "Transfer-Encoding: chunked\r\n";
    if (framing == Framing::Close) head += "Connection: close\r\n";
    if (framing == Framing::Chunked) lump = "3a98\r\n" + lump + "\r\n";
    put(fd, head + "\r\n");
    if (way == Way::NeverEnds) {
        put(fd, lump.substr(0, 20));
        return void(next_byte(fd));
    }
    for (int i = 0; i < kLumps; ++i) {
        usleep(way == Way::PauseThenLumps && i > 0 ? 50000 : 500000);
        if (!send_all(fd, lump.data(), lump.size())) return;
    }
    if (framing == Framing::Chunked) put(fd, "0\r\n\r\n");
}

/// Its one server answers as the target says: /CLASS?FRAMING,WAY.
class LumpServer {
public:
    LumpServer() {
        thread_ = std::thread([this] {
            for (int fd; (fd = accept4(listener.fd, nullptr, nullptr, SOCK_CLOEXEC)) >= 0;)
                std::thread([fd] { serve(fd); }).detach();
        });
    }
    ~LumpServer() {
        shutdown(listener.fd, SHUT_RDWR);
        thread_.join();
    }
    Listener listener;

private:
    static void serve(int fd) {
        std::string behind, head = read_head(fd, behind);
        if (std::size_t at = head.find('?'); at != std::string::npos)
            write_answer(fd, Framing(head[at + 1] - '0'), Way(head[at + 3] - '0'));
        close(fd);
    }
    std::thread thread_;
};

struct Answer {
    std::string head;
    double first_ms = 0, end_ms = 0;
    std::size_t bytes = 0;
    bool reset = false;
};

std::string request_of(const std::string& method_and_class, Framing framing, Way way, const char* version) {
    std::string id = std::to_string(next_id++);
    return method_and_class + "?" + std::to_string(int(framing)) + "," + std::to_string(int(way)) +
           "&id=" + id + " HTTP/" + version + "\r\nHost: n\r\nX-Trace-Id: " + id +
           "\r\nIdempotency-Key: " + id + "\r\nX-Expires-In: 0.5\r\nConnection: close\r\n\r\n";
}

Answer ask_slow(const World& world, const std::string& method_and_class, Framing framing, Way way,
                const char* version = "1.1") {
    int fd = world.connect();
    Steady::time_point began = Steady::now();
    put(fd, request_of(method_and_class, framing, way, version));
    Answer answer;
    std::string body;
    answer.head = read_head(fd, body);
    answer.first_ms = ms_since(began);
    answer.bytes = body.size();
    std::vector<char> bytes(65536);
    ssize_t got = 0;
    while ((got = read(fd, bytes.data(), bytes.size())) > 0) answer.bytes += std::size_t(got);
    answer.reset = got < 0;
    answer.end_ms = ms_since(began);
    close(fd);
    return answer;
}

struct SlowWorld {
    explicit SlowWorld(const char* program, const char* config)
        : setup(world.setup(config, {{"{\"id\":\"s-a\"", members() + "{\"id\":\"s-a\""},
                                     {"$a", server.listener.address}})) {
        node.start(program, -1);
        node.until_ready();
    }
    /// So many that no request waits for one that is new to the node.
    std::string members() const {
        std::string text;
        for (int i = 0; i < 24; ++i)
            text += World::member(("s-" + std::to_string(i)).c_str(), server.listener) + ",";
        return text;
    }
    LumpServer server;
    World world;
    Setup setup;
    Node node;
};

/// A pause of half a second before or between lumps, and the request's time with less than a buffer held, cut
/// them off: 502, 503 or 504, without a byte of what the server gave.
void answers_in_lumps(const char* program, const char* config) {
    SlowWorld slow(program, config);
    std::vector<std::thread> clients;
    std::atomic<int> whole = 0, all = 0;
    for (const char* request : {"GET /look", "POST /buy", "POST /change"})
        for (Framing framing : {Framing::Length, Framing::Chunked, Framing::Close})
            for (Way way : {Way::PauseThenLumps, Way::LumpsApart})
                clients.emplace_back([&, request, framing, way] {
                    ++all;
                    Answer answer = ask_slow(slow.world, request, framing, way);
                    bool good = answer.head.starts_with("HTTP/1.1 200") && answer.bytes >= kLump * kLumps &&
                                answer.first_ms < kPatienceMs + kClockSlackMs;
                    whole += good;
                    if (good) return;
                    std::printf("%s %d %d: %s after %.0f ms, %zu bytes in %.0f ms\n", request, int(framing),
                                int(way), answer.head.substr(9, 3).c_str(), answer.first_ms, answer.bytes,
                                answer.end_ms);
                });
    for (std::thread& client : clients) client.join();
    std::printf("%-28s %d of %d whole\n", "answers_in_lumps", int(whole), int(all));
    std::fflush(stdout);
    assert(whole == all);
    assert(slow.node.figure("app_responses_given_up_total") == 0);
    slow.node.stop();
}

/// What fell silent left its client without an end for 10 s. One of HTTP/1.0 took the end for the answer's.
void answers_without_an_end(const char* program, const char* config) {
    SlowWorld slow(program, config);
    for (Framing framing : {Framing::Chunked, Framing::Close})
        for (const char* version : {"1.1", "1.0"}) {
            Answer answer = ask_slow(slow.world, "POST /buy", framing, Way::NeverEnds, version);
            std::printf("%-28s %s, end after %.0f ms\n", "answers_without_an_end", version, answer.end_ms);
            assert(answer.head.starts_with("HTTP/1.1 200"));
            assert(answer.end_ms > kPatienceMs && answer.end_ms < kPatienceMs + kMaxLatenessMs);
            assert(answer.reset == (version == std::string("1.0")));
        }
    assert(slow.node.figure("app_responses_given_up_total") == 4);
    slow.node.stop();
}

/// A long answer may be silent for longer than a stop lasts.
void silent_answer_in_a_stop(const char* program, const char* config) {
    SlowWorld slow(program, config);
    std::thread client(
        [&] { assert(ask_slow(slow.world, "POST /buy", Framing::Length, Way::NeverEnds).bytes < kLump); });
    while (slow.node.figure("app_current") != 1) usleep(1000);
    usleep(200000);
    double over = Stopping(slow.node).until_over(slow.node);
    client.join();
    std::printf("%-28s over at %.0f ms\n", "silent_answer_in_a_stop", over);
    assert(over < 3000 + 700);
}

/// What the node's system holds of all connections: written and not acknowledged, received and not read.
std::pair<unsigned long, unsigned long> held_by_system(const SlowWorld& slow) {
    const unsigned clients = ntohs(slow.world.clients.at.sin_port);
    const unsigned server = ntohs(slow.server.listener.at.sin_port);
    std::pair<unsigned long, unsigned long> held;
    std::ifstream table("/proc/net/tcp");
    for (std::string line; std::getline(table, line);) {
        unsigned local = 0, remote = 0;
        unsigned long unsent = 0, unread = 0;
        if (std::sscanf(line.c_str(), "%*d: %*8[0-9A-F]:%x %*8[0-9A-F]:%x %*x %lx:%lx", &local, &remote,
                        &unsent, &unread) != 4)
            continue;
        if (local == clients) held.first += unsent;
        if (remote == server) held.second += unread;
    }
    return held;
}

/// Each slow reader of a long answer had megabytes in the kernel's buffers, which a platform may count as the
/// node's memory: 780 MB of 256 readers, where the limit was 96.
void slow_readers_in_the_system(const char* program, const char* config) {
    constexpr unsigned long kReaders = 12, kMostEach = 256 * 1024;  // of 192 MB
    SlowWorld slow(program, config);
    std::vector<int> readers;
    for (unsigned long i = 0; i < kReaders; ++i) {
        readers.push_back(slow.world.connect());
        put(readers.back(), request_of("POST /buy", Framing::Length, Way::Huge, "1.1"));
        std::string behind;
        assert(read_head(readers.back(), behind).starts_with("HTTP/1.1 200"));
    }
    usleep(500000);
    auto [unsent, unread] = held_by_system(slow);
    std::printf("%-28s %lu bytes to send, %lu received\n", "slow_readers_in_the_system", unsent, unread);
    std::fflush(stdout);
    assert(unsent > 0 && unsent < kReaders * kMostEach && unread < kReaders * kMostEach);
    for (int fd : readers) close(fd);
    slow.node.stop();
}

}  // namespace

std::vector<Part> answers() {
    return {
        {{"answers_in_lumps", {}, answers_in_lumps}, {"answers_without_an_end", {}, answers_without_an_end}},
        {{"silent_answer_in_a_stop", {}, silent_answer_in_a_stop}},
        {{"slow_readers_in_the_system", {}, slow_readers_in_the_system}}};
}

}  // namespace ochrehub::run
