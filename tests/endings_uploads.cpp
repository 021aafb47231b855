// Long bodies whose server takes nothing, or too little, while their client has sent all or most of them.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "endings_run.h"

namespace ochrehub::run {
namespace {

constexpr double kPatienceMs = 800;     // as the requests say
constexpr double kMaxStallMs = 2500;    // of a body that is not whole
constexpr double kMaxLatenessMs = 400;  // the pages allow half a second
constexpr double kMaxEarlinessMs = 60;
constexpr std::size_t kPieceBytes = 16384;

/// One node, and a server that accepts connections and reads nothing by itself.
class BlockedServer {
public:
    using Replacements = std::vector<std::pair<std::string, std::string>>;

    BlockedServer(const char* program, const char* config, const std::string& other_member = "",
                  Replacements settings = {})
        : setup_(prepare(config, std::move(settings))) {
        int small = 4096;
        assert(setsockopt(server_.fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small) == 0);
        node_.start(program, -1);
        watch_ = accept4(world_.discovery.fd, nullptr, nullptr, SOCK_CLOEXEC);
        std::string behind;
        assert(read_head(watch_, behind).starts_with("GET /v1/servers"));
        std::string list = "{\"revision\":42,\"complete\":true,\"members\":[" + other_member +
                           World::member("s-a", server_) + "]}";
        put(watch_, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
        node_.until_ready();
    }
    ~BlockedServer() {
        close(watch_);
        if (!ended_) node_.stop();
    }
    double until_over(const Stopping& stopping) {
        ended_ = true;
        return stopping.until_over(node_);
    }
    int connect() const { return world_.connect(); }
    const Node& node() const { return node_; }
    int accept() const { return accept4(server_.fd, nullptr, nullptr, SOCK_CLOEXEC); }

private:
    Setup prepare(const char* config, Replacements settings) {
        settings.emplace_back("$a", server_.address);
        return world_.setup(config, std::move(settings), false);
    }

    World world_;
    Listener server_;
    Setup setup_;
    Node node_;
    int watch_ = -1;
    bool ended_ = false;
};

std::string head_of_upload(const std::string& framing) {
    std::string id = std::to_string(next_id++);
    return "POST /buy?id=" + id + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id + "\r\nX-Expires-In: 0.8\r\n" +
           framing + "\r\n\r\n";
}

std::string chunk() {
    return "4000\r\n" + std::string(kPieceBytes, 'p') + "\r\n";
}

/// Sends pieces until the node leaves some unread for a while, and says how many bytes that were.
std::size_t send_until_unread(int fd, const std::string& piece) {
    Far client(fd);
    std::size_t sent = 0;
    for (Steady::time_point read = Steady::now(); ms_since(read) < 200; usleep(500)) {
        if (client.unread() > 0) continue;
        put(fd, piece);
        sent += piece.size();
        read = Steady::now();
    }
    return sent;
}

bool all_acknowledged_within(int fd, double ms) {
    Steady::time_point began = Steady::now();
    for (int left = 1; ms_since(began) < ms; usleep(200)) {
        assert(ioctl(fd, SIOCOUTQ, &left) == 0);
        if (left == 0) return true;
    }
    return false;
}

/// The answer's status, and how long after `since` it came.
std::pair<std::string, double> answer_after(int fd, Steady::time_point since) {
    std::string behind, head = read_head(fd, behind);
    double took = ms_since(since);
    close(fd);
    return {head.substr(0, 12), took};
}

void expect_at(const char* name, const std::pair<std::string, double>& answer, double ms) {
    std::printf("%-28s answered %s %.0f ms behind its last byte\n", name, answer.first.c_str(),
                answer.second);
    std::fflush(stdout);
    assert(answer.first == "HTTP/1.1 503");
    assert(answer.second > ms - kMaxEarlinessMs && answer.second < ms + kMaxLatenessMs);
}

/// The node's machine has the whole body and the node has not read its end: no timer ran, and no answer came.
void whole_upload_in_chunks_unread(const char* program, const char* config) {
    BlockedServer server(program, config);
    int fd = server.connect();
    put(fd, head_of_upload("Transfer-Encoding: chunked"));
    send_until_unread(fd, chunk());
    put(fd, "0\r\n\r\n");
    Steady::time_point whole = Steady::now();
    assert(all_acknowledged_within(fd, 200));
    expect_at("whole_upload_in_chunks", answer_after(fd, whole), kPatienceMs);
    assert(server.node().figure("app_uploads_given_up_total") == 1);
}

/// The same with a length, of which the node knows that the rest has come.
void whole_upload_with_length_unread(const char* program, const char* config) {
    BlockedServer server(program, config);
    int probe = server.connect();
    put(probe, head_of_upload("Content-Length: 30000000"));
    std::size_t size = send_until_unread(probe, std::string(kPieceBytes, 'p'));
    close(probe);
    // How much lies between the two sides differs by some pieces from one connection to the next, and a busy
    // node may have been taken for a blocked one.
    constexpr int kMaxSizes = 100;
    for (int sizes = 0; sizes < kMaxSizes; ++sizes) {
        int fd = server.connect();
        put(fd, head_of_upload("Content-Length: " + std::to_string(size)) + std::string(size, 'p'));
        Steady::time_point whole = Steady::now();
        bool is_whole = all_acknowledged_within(fd, 200);
        if (is_whole && Far(fd).unread() > 0)
            return expect_at("whole_upload_with_length", answer_after(fd, whole), kPatienceMs);
        close(fd);
        is_whole ? size += kPieceBytes : size -= kPieceBytes;
    }
    assert(!"a body that is whole at the node's machine, and unread");
}

/// A server that reads a few bytes now and then does not hold a whole body for longer than its client waits.
void whole_upload_read_in_a_trickle(const char* program, const char* config) {
    BlockedServer server(program, config);
    int fd = server.connect();
    put(fd, head_of_upload("Transfer-Encoding: chunked"));
    send_until_unread(fd, chunk());
    int reader = server.accept();
    put(fd, "0\r\n\r\n");
    Steady::time_point whole = Steady::now();
    std::thread trickle([reader] {
        char bytes[512];
        for (ssize_t got = 1; got > 0; usleep(20000)) got = read(reader, bytes, sizeof bytes);
    });
    auto answer = answer_after(fd, whole);
    shutdown(reader, SHUT_RDWR);
    trickle.join();
    close(reader);
    expect_at("upload_read_in_a_trickle", answer, kPatienceMs);
}

/// A server's machine has vanished under a body that never becomes whole: its client waited for ever. Its
/// time has not begun, so that it isn't given up as soon as one that is whole.
void partial_upload_of_a_vanished_server(const char* program, const char* config) {
    BlockedServer server(program, config);
    int fd = server.connect();
    put(fd, head_of_upload("Content-Length: 30000000"));
    send_until_unread(fd, std::string(kPieceBytes, 'p'));
    Steady::time_point stuck = Steady::now();  // 200 ms behind the last byte
    auto answer = answer_after(fd, stuck);
    answer.second += 200;
    expect_at("partial_upload_unread", answer, kMaxStallMs);
}

/// A server pauses for longer than the client's patience while the body still comes: its time has not begun,
/// and it was given up all the same where its length is not known.
void partial_upload_of_a_pausing_server(const char* program, const char* config) {
    for (bool chunked : {true, false}) {
        BlockedServer server(program, config);
        int fd = server.connect();
        constexpr std::size_t kLength = kPieceBytes * 1000;
        put(fd, head_of_upload(chunked ? "Transfer-Encoding: chunked"
                                       : "Content-Length: " + std::to_string(kLength)));
        const std::string piece = chunked ? chunk() : std::string(kPieceBytes, 'p');
        std::size_t sent = send_until_unread(fd, piece) / piece.size();
        int reader = server.accept();
        usleep(useconds_t(1.5 * kPatienceMs * 1000));
        std::thread client([&] {
            for (; sent < 1000; ++sent) put(fd, piece);
            if (chunked) put(fd, "0\r\n\r\n");
        });
        std::string bytes(65536, 0);
        pollfd readable{reader, POLLIN, 0};
        while (poll(&readable, 1, 300) == 1) assert(read(reader, bytes.data(), bytes.size()) > 0);
        client.join();
        put(reader, kOk);
        std::string behind, head = read_head(fd, behind);
        std::printf("%-28s answered %s\n", "partial_upload_paused", head.substr(9, 3).c_str());
        std::fflush(stdout);
        assert(head.starts_with("HTTP/1.1 200"));
        close(fd);
        close(reader);
    }
}

/// The second attempt meets the blocked server: its wait has the same end as a first one's.
void retried_upload_unread(const char* program, const char* config) {
    Listener refuses(false);
    for (int i = 0; i < 4; ++i) {  // whichever server is tried first
        BlockedServer server(program, config, World::member("s-b", refuses) + ",");
        int fd = server.connect();
        put(fd, head_of_upload("Transfer-Encoding: chunked"));
        send_until_unread(fd, chunk());
        put(fd, "0\r\n\r\n");
        expect_at("retried_upload_unread", answer_after(fd, Steady::now()), kPatienceMs);
    }
}

/// The body becomes whole in a stop, at a server that hangs: its own time ends behind the moment in which the
/// platform may kill the process.
void blocked_upload_in_a_stop(const char* program, const char* config) {
    constexpr double kKillAtMs = 800 + 700;
    BlockedServer server(program, config, "", {{"\"GiveUp\":60000.0", "\"GiveUp\":800.0"}});
    int fd = server.connect();
    put(fd, head_of_upload("Transfer-Encoding: chunked"));
    send_until_unread(fd, chunk());
    Stopping stopping(server.node());
    while (ms_since(stopping.at) < 200) usleep(1000);
    put(fd, "4\r\npppp\r\n");  // it is not given up before
    while (ms_since(stopping.at) < 750) usleep(1000);
    put(fd, "0\r\n\r\n");
    auto answer = answer_after(fd, stopping.at);
    double over = server.until_over(stopping);
    std::printf("%-28s answered %s %.0f ms behind SIGTERM, over at %.0f ms\n", "blocked_upload_in_a_stop",
                answer.first.c_str(), answer.second, over);
    assert(answer.first == "HTTP/1.1 408" && answer.second > 1250 && over < kKillAtMs);
}

}  // namespace

std::vector<Part> uploads() {
    return {{{"whole_upload_in_chunks_unread", {}, whole_upload_in_chunks_unread},
             {"whole_upload_read_in_a_trickle", {}, whole_upload_read_in_a_trickle},
             {"partial_upload_of_a_pausing_server", {}, partial_upload_of_a_pausing_server},
             {"partial_upload_of_a_vanished_server", {}, partial_upload_of_a_vanished_server}},
            {{"whole_upload_with_length_unread", {}, whole_upload_with_length_unread},
             {"blocked_upload_in_a_stop", {}, blocked_upload_in_a_stop},
             {"retried_upload_unread", {}, retried_upload_unread}}};
}

}  // namespace ochrehub::run
