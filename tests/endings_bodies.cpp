// Bodies that a client spoils, stops sending or does not read, and the wait for its close behind an answer.
#include "endings_run.h"

namespace ochrehub::run {
namespace {

// ---- Bodies that the client spoils or stops sending

void spoilt_upload(World& world, const Node&) {
    int fd = world.connect();
    put(fd, "POST /buy?hold&id=" + std::to_string(next_id++) +
                " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: spoilt\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" +
                std::string(0x20000, 'p') + "\r\nno length\r\n");
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 400") && head.find("Connection: close") != std::string::npos);
    assert(next_byte(fd) == 0);
    close(fd);
    row("spoilt_upload", "answered 400, ended in order");
}

/// A chunk that makes it longer than a body may be.
void long_upload(World& world, const Node&) {
    int fd = world.connect();
    std::string id = std::to_string(next_id++);
    put(fd, "POST /buy?hold&id=" + id + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
                "\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n" + std::string(0x20000, 'p') +
                "\r\n4000000\r\n");
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 413") && head.find("Connection: close") != std::string::npos);
    assert(next_byte(fd) == 0);
    close(fd);
    row("long_upload", "answered 413, ended in order");
}

/// A client of HTTP/1.0 knows no interim answers: its body is waited for, and nothing is said before its
/// answer.
void expects_by_1_0(World& world, const Node&) {
    for (const char* version : {"1.0", "1.1"}) {
        int fd = world.connect();
        Far far(fd);
        put(fd, "POST /buy?id=" + std::to_string(next_id) + " HTTP/" + version +
                    "\r\nHost: n\r\nX-Trace-Id: " + std::to_string(next_id) +
                    "\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
        ++next_id;
        far.until_read();
        world.settle();  // whatever it says to that it has said
        put(fd, "abc");
        std::string behind, head = read_head(fd, behind);
        if (version == std::string("1.1")) {
            assert(head.starts_with("HTTP/1.1 100"));
            head = read_head(fd, behind);
        }
        assert(head.starts_with("HTTP/1.1 200"));
        close(fd);
    }
    row("expects_by_1_0", "100 to HTTP/1.1 alone");
}

void stopped_upload(World& world, const Node&) {
    int fd = world.connect();
    put(fd, "POST /buy?hold&id=" + std::to_string(next_id++) +
                " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: stopped\r\nContent-Length: 300000\r\n\r\n" +
                std::string(100000, 'p'));
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 408"));
    close(fd);
    row("stopped_upload", "answered 408");
}

// ---- Lingering

/// More of them than the loop hears of at a time: the clock's word comes before that of the last. What is
/// whole, or goes on, when the node looks is no half request.
void head_whole_at_its_time(World& world, const Node& node) {
    const std::string head = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n", piece(100000, 'p');
    std::vector<int> open;
    long held = 0;
    Steady::time_point began;
    for (bool ready = false;
         !ready;) {  // a machine that is too busy takes their time away before the node is halted
        for (int fd : open) close(fd);
        open.clear();
        began = Steady::now();
        held = next_id++;
        std::string id = std::to_string(held);
        open.push_back(world.connect());
        put(open.back(), "POST /buy?hold&id=" + id + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
                             "\r\nContent-Length: 200000\r\n\r\n" + piece);
        world.servers.until_begun(held);
        for (int i = 0; i < 200; ++i) open.push_back(world.connect()), put(open.back(), head.substr(0, 20));
        world.settle();
        halt(node);
        ready = ms_since(began) < 2000;
        if (!ready) go_on(node);
    }
    for (std::size_t i = 0; i < open.size(); ++i) put(open[i], i < 1 ? piece : head.substr(20));
    while (ms_since(began) < 5500) usleep(1000);
    go_on(node);
    Far(open.front()).until_read();
    world.settle();
    world.servers.release(held);
    int late = 0, served = 0;
    for (int fd : open) {
        std::string behind, answer = read_head(fd, behind);
        late += answer.starts_with("HTTP/1.1 408");
        served += answer.starts_with("HTTP/1.1 200");
        close(fd);
    }
    std::printf("%-28s %d of 201 served, %d told 408\n", "head_whole_at_its_time", served, late);
    assert(served == 201);
}

/// A request that crosses the end of a connection that stood idle for too long goes nowhere, and resets
/// nothing.
void idle_ends_in_order(World& world, const Node&) {
    int fd = world.connect();
    assert(ask(fd, get(next_id++)).starts_with("HTTP/1.1 200"));
    assert(next_byte(fd) == 0);
    long id = next_id++;
    put(fd, get(id));
    assert(next_byte(fd) == 0 && !was_reset(fd));
    close(fd);
    world.settle();
    assert(!world.servers.begun(id));
    row("idle_ends_in_order", "a request behind the end was not sent on, and nothing reset");
}

/// It hears that its connection ends, and sends on for ever.
void sends_for_ever(World& world, const Node&) {
    int fd = world.connect();
    put(fd, "GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
    std::string behind;
    assert(read_head(fd, behind).starts_with("HTTP/1.1 200"));
    Steady::time_point began = Steady::now();
    const std::string junk(4096, 'j');
    while (send(fd, junk.data(), junk.size(), MSG_NOSIGNAL) > 0) {
    }
    std::printf("%-28s reset after %.0f ms\n", "sends_for_ever", ms_since(began));
    assert(ms_since(began) >= 900 && ms_since(began) < 3000);
    close(fd);
}

/// It sends on, too, but has not got all of its answer yet.
void sends_on_before_it_reads(World& world, const Node&) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), small = 2048;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(connect(fd, reinterpret_cast<const sockaddr*>(&world.clients.at), sizeof world.clients.at) == 0);
    long id = next_id++;
    std::string request = get(id, "big");
    put(fd, request.substr(0, request.size() - 2) + "Connection: close\r\n\r\n");
    world.servers.until_begun(id);
    Steady::time_point began = Steady::now();
    for (; ms_since(began) < 1500; usleep(10000)) put(fd, "x");
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200") && read_body(fd, behind, length_of(head)));
    close(fd);
    row("sends_on_before_it_reads", "its answer came whole after 1.5 s");
}

/// It takes its answer slowly: this side's system hides that, which takes more only once a third of its
/// megabytes is free.
void reads_slowly(World& world, const Node&) {
    int fd = world.connect();
    put(fd, get(next_id++, "long"));
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200"));
    std::vector<char> bytes(65536);
    Steady::time_point began = Steady::now();
    std::size_t length = length_of(head), had = behind.size(), slowly = 0;
    for (ssize_t got = 1; had < length && got > 0; had += std::size_t(std::max<ssize_t>(got, 0))) {
        bool slow = ms_since(began) < 14000;
        if (slow) usleep(100000), slowly = had;
        got = read(fd, bytes.data(), std::min(slow ? 4096 : bytes.size(), length - had));
    }
    std::printf("%-28s %zu of %zu bytes, %zu of them within 14 s\n", "reads_slowly", had, length, slowly);
    assert(had == length);
    close(fd);
}

/// The same of one that ends its connection, while it sends on.
void reads_slowly_to_the_end(World& world, const Node&) {
    int fd = world.connect();
    std::string request = get(next_id++, "huge");
    put(fd, request.substr(0, request.size() - 2) + "Connection: close\r\n\r\n");
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200"));
    std::vector<char> bytes(10000);
    Steady::time_point began = Steady::now();
    std::size_t length = length_of(head), had = behind.size();
    for (ssize_t got = 1; had < length && got > 0; had += std::size_t(std::max<ssize_t>(got, 0))) {
        usleep(100000);
        (void)send(fd, "x", 1, MSG_NOSIGNAL);
        got = read(fd, bytes.data(), std::min(bytes.size(), length - had));
    }
    std::printf("%-28s %zu of %zu bytes in %.0f ms\n", "reads_slowly_to_the_end", had, length,
                ms_since(began));
    assert(had == length && next_byte(fd) == 0);
    close(fd);
}

/// Of a long answer it takes a little now and then.
void takes_little(World& world, const Node&) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), small = 2048;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(connect(fd, reinterpret_cast<const sockaddr*>(&world.clients.at), sizeof world.clients.at) == 0);
    long id = next_id++;
    put(fd, get(id, "long"));
    world.servers.until_begun(id);
    Steady::time_point began = Steady::now();
    char bytes[16];
    // 160 bytes a second, till what it sends is answered by a reset: the node has closed.
    for (; ms_since(began) < 40000 && send(fd, "x", 1, MSG_NOSIGNAL) > 0; usleep(100000))
        if (recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) == 0) break;
    double took = ms_since(began);
    std::printf("%-28s ended after %.0f ms\n", "takes_little", took);
    assert(took > 9000 && took < 30000);
    close(fd);
}

/// An upload that goes on by a byte now and then.
void sends_little(World& world, const Node&) {
    int fd = world.connect();
    std::string id = std::to_string(next_id++);
    put(fd, "POST /buy?hold&id=" + id + " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + id +
                "\r\nContent-Length: 300000\r\n\r\n" + std::string(100000, 'p'));
    Steady::time_point began = Steady::now();
    pollfd heard{fd, POLLIN, 0};
    while (ms_since(began) < 40000 && poll(&heard, 1, 500) == 0) put(fd, "p");
    double took = ms_since(began);
    std::string behind, head = read_head(fd, behind);
    std::printf("%-28s answered %s after %.0f ms\n", "sends_little", head.substr(9, 3).c_str(), took);
    assert(head.starts_with("HTTP/1.1 408") && took > 9000 && took < 30000);
    close(fd);
}

/// It takes nothing of an answer that ends its connection, and sends on: the wait for its close has an end.
void takes_nothing_of_the_last(World& world, const Node&) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), small = 2048;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(connect(fd, reinterpret_cast<const sockaddr*>(&world.clients.at), sizeof world.clients.at) == 0);
    long id = next_id++;
    std::string request = get(id, "big");
    put(fd, request.substr(0, request.size() - 2) + "Connection: close\r\n\r\n");
    world.servers.until_begun(id);
    Steady::time_point began = Steady::now();
    while (ms_since(began) < 40000 && send(fd, "x", 1, MSG_NOSIGNAL) > 0) usleep(100000);
    double took = ms_since(began);
    std::printf("%-28s reset after %.0f ms\n", "takes_nothing_of_the_last", took);
    assert(took > 9000 && took < 30000);
    close(fd);
}

// ---- Floods

/// Clients that send much at once and go.
void flood_and_go(World& world, const Node& node) {
    for (int round = 0; round < 3; ++round) {
        std::vector<int> flood;
        for (int i = 0; i < 40; ++i) {
            int fd = world.connect();
            flood.push_back(fd);
            std::string all;
            for (int k = 0; k < 1000; ++k) all += get(next_id++);
            ssize_t sent = send(fd, all.data(), all.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            assert(sent > 0);
        }
        for (std::size_t i = 0; i < flood.size(); ++i) leave(flood[i], kLeaves[i % 3]);
        for (int& fd : flood) end(fd);
    }
    world.until_idle(node);
    world.settle();
    std::printf("%-28s 120 left, nothing of them open, others served; most memory %.1f MB\n", "flood_and_go",
                node.peak_mb());
}

/// Clients that never read their answer.
void never_reads(World& world, const Node& node) {
    std::vector<int> deaf;
    std::vector<Far> far;
    const std::string one = "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n";
    const std::string many = [&] {
        std::string all;
        for (int k = 0; k < 20000; ++k) all += one;
        return all;
    }();
    for (int i = 0; i < 5; ++i) {
        int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), small = 2048;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
        assert(connect(fd, reinterpret_cast<const sockaddr*>(&world.clients.at), sizeof world.clients.at) ==
               0);
        far.emplace_back(fd);
        deaf.push_back(fd);
        // More answers than the two systems hold, till the node has stood still for a while.
        std::size_t sent = 0;
        for (pollfd room{fd, POLLOUT, 0}; poll(&room, 1, 300) == 1;) {
            ssize_t taken = send(fd, many.data() + sent, many.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
            assert(taken > 0);
            sent = (sent + std::size_t(taken)) % one.size();
        }
    }
    // From the node's last read of a client on: a slow node reads for long before it is stuck.
    double took = 0;
    for (const Far& side : far) took = std::max(took, side.until_left_unread());
    world.settle();
    world.until_idle(node);
    std::printf("%-28s 5 of 5 ended after %.0f ms, others served\n", "never_reads", took);
    for (int fd : deaf) close(fd);
    assert(took > 5000 && took < 15000);
}

}  // namespace

std::vector<Part> bodies() {
    return {{{"spoilt_upload", spoilt_upload, {}},
             {"long_upload", long_upload, {}},
             {"expects_by_1_0", expects_by_1_0, {}},
             {"stopped_upload", stopped_upload, {}},
             {"sends_for_ever", sends_for_ever, {}},
             {"sends_on_before_it_reads", sends_on_before_it_reads, {}},
             {"idle_ends_in_order", idle_ends_in_order, {}},
             {"flood_and_go", flood_and_go, {}}},
            {{"head_whole_at_its_time", head_whole_at_its_time, {}}},
            {{"reads_slowly", reads_slowly, {}}},
            {{"reads_slowly_to_the_end", reads_slowly_to_the_end, {}}},
            {{"takes_little", takes_little, {}}},
            {{"sends_little", sends_little, {}}},
            {{"takes_nothing_of_the_last", takes_nothing_of_the_last, {}}},
            {{"never_reads", never_reads, {}}}};
}

}  // namespace ochrehub::run
