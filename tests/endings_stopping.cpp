// A node that stops while its clients rest, send, or have half sent.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include "endings_run.h"

namespace ochrehub::run {
namespace {

/// Connections that rest are shut, not before 0.45 s; a request that comes behind that goes nowhere, and the
/// node stays till their clients have closed, within the linger's bound.
void drain_of_resting(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    std::vector<int> resting;
    for (int i = 0; i < 30; ++i) {
        resting.push_back(world.connect());
        if (i % 3 != 0) assert(ask(resting.back(), get(next_id++)).starts_with("HTTP/1.1 200"));
    }
    world.until_idle(node);
    Stopping stopping(node);
    double first = 0, last = 0;
    std::vector<long> late;
    for (int fd : resting) {
        assert(next_byte(fd) == 0);  // an end, no reset
        last = ms_since(stopping.at);
        if (first == 0) first = last;
    }
    // Behind the shutdown, and before the node's close, as that waits for this.
    assert(waitpid(node.pid, nullptr, WNOHANG) == 0);
    for (int fd : resting) {
        late.push_back(next_id++);
        put(fd, get(late.back()));
        assert(next_byte(fd) == 0 && !was_reset(fd));
    }
    double held = ms_since(stopping.at);
    for (int fd : resting) close(fd);
    double took = stopping.until_over(node);
    for (long id : late) assert(!world.servers.begun(id));
    std::printf(
        "%-28s shut from %.0f to %.0f ms after SIGTERM, requests behind that at %.0f ms: none sent on; over "
        "at %.0f ms\n",
        "drain_of_resting", first, last, held, took);
    assert(first >= 450 && took < 2500);
}

/// A request comes to a resting one in the moment in which it is to be shut: either way its client has an end
/// that it can go by, and none is half served.
bool drain_meets_a_request(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    std::vector<int> resting;
    for (int i = 0; i < 20; ++i) {
        resting.push_back(world.connect());
        assert(ask(resting.back(), get(next_id++)).starts_with("HTTP/1.1 200"));
    }
    world.until_idle(node);
    Stopping stopping(node);
    while (ms_since(stopping.at) < 300) usleep(1000);
    halt(node);
    if (ms_since(stopping.at) > 430) return too_late(node);  // resting ones end from 450 ms on
    // All lie there already when the node's time for it comes.
    std::vector<long> ids;
    for (int fd : resting) ids.push_back(next_id++), put(fd, get(ids.back()));
    for (int fd : resting)
        for (int left = 1; left > 0; usleep(100)) assert(ioctl(fd, SIOCOUTQ, &left) == 0);
    if (ms_since(stopping.at) > 900) return too_late(node);
    while (ms_since(stopping.at) < 520) usleep(1000);
    go_on(node);
    for (std::size_t i = 0; i < resting.size(); ++i) {
        std::string behind, head = read_head(resting[i], behind);
        if (!head.starts_with("HTTP/1.1 200") || head.find("Connection: close") == std::string::npos)
            std::fprintf(stderr, "request %zu, at %.0f ms: \"%s\"\n", i, ms_since(stopping.at), head.c_str());
        assert(head.starts_with("HTTP/1.1 200") && head.find("Connection: close") != std::string::npos);
        close(resting[i]);
    }
    double answered = ms_since(stopping.at), took = stopping.until_over(node);
    std::printf("%-28s 20 of 20 unread requests answered whole by %.0f ms; over at %.0f ms\n",
                "drain_meets_a_request", answered, took);
    return true;
}

/// Clients go on sending on whatever stays open.
void drain_under_senders(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    std::vector<int> resting;
    for (int i = 0; i < 60; ++i) {
        resting.push_back(world.connect());
        assert(ask(resting.back(), get(next_id++)).starts_with("HTTP/1.1 200"));
    }
    int whole = 0, crossed = 0, lost = 0;
    double latest = 0;  // that one of these was sent on
    Stopping stopping(node);
    std::thread sender([&] {
        int last = -1;
        long last_id = 0;
        auto conclude = [&] {  // the one before, once this one is under way: there is always one
            if (last < 0) return;
            std::string behind, head = read_head(last, behind);
            ++(head.starts_with("HTTP/1.1 200") ? whole : world.servers.begun(last_id) ? lost : crossed);
            close(last);
        };
        for (int fd : resting) {
            long id = next_id++;
            std::string request = get(id, "hold");
            if (!send_all(fd, request.data(), request.size())) {
                ++crossed, close(fd);
                continue;
            }
            pollfd heard{fd, POLLIN, 0};
            while (!world.servers.begun(id) && poll(&heard, 1, 0) == 0) usleep(500);
            bool begun = world.servers.begun(id);
            if (begun) latest = ms_since(stopping.at);
            if (last >= 0 && last_id > 0) world.servers.release(last_id);
            conclude();
            last = begun ? fd : -1, last_id = begun ? id : 0;
            if (!begun) ++crossed, close(fd);
            usleep(50000);
        }
        if (last >= 0) world.servers.release(last_id);
        conclude();
    });
    double took = stopping.until_over(node);
    sender.join();
    std::printf(
        "%-28s %d answered whole, the last sent on at %.0f ms, %d met an end and were not, %d lost; over at "
        "%.0f ms\n",
        "drain_under_senders", whole, latest, crossed, lost, took);
    assert(lost == 0 && latest < 1000 && took < 2500);
}

/// A connection comes, with its request, in the moment in which the process could end.
bool drain_meets_a_connection(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    Stopping stopping(node);
    while (ms_since(stopping.at) < 600) usleep(1000);
    if (!halted(node)) return false;
    int fd = world.connect();
    put(fd, get(next_id++));
    while (ms_since(stopping.at) < 800) usleep(1000);
    go_on(node);
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200") && head.find("Connection: close") != std::string::npos);
    close(fd);
    double took = stopping.until_over(node);
    std::printf("%-28s answered whole; over at %.0f ms\n", "drain_meets_a_connection", took);
    return true;
}

/// Another process has the listener: connections that rest are ended all the same, and this one is over with
/// the last.
void drain_handed_down(const char* program, const char* config) {
    World world;
    Listener clients;
    world.clients = clients;
    Setup setup = world.setup(config);
    setenv("GW_FD", "7", 1);
    Node node;
    node.start(program, clients.fd);
    node.until_ready();
    std::vector<int> resting;
    for (int i = 0; i < 10; ++i) {
        resting.push_back(world.connect());
        assert(ask(resting.back(), get(next_id++)).starts_with("HTTP/1.1 200"));
    }
    Stopping stopping(node);
    for (int fd : resting) assert(next_byte(fd) == 0);
    double shut = ms_since(stopping.at);
    for (int fd : resting) close(fd);
    double took = stopping.until_over(node);
    std::printf("%-28s shut at %.0f ms, over at %.0f ms\n", "drain_handed_down", shut, took);
    assert(shut >= 450 && shut < 1500);
    unsetenv("GW_FD");
    close(clients.fd);
}

/// ... and the last one is answered, however long that takes: it is over with no request that it has taken.
void drain_handed_down_owes(const char* program, const char* config) {
    World world;
    Listener clients;
    world.clients = clients;
    Setup setup = world.setup(config);  // 60 s of time: it may be over 3.5 s behind the signal
    setenv("GW_FD", "7", 1);
    Node node;
    node.start(program, clients.fd);
    node.until_ready();
    int fd = world.connect();
    long id = next_id++;
    put(fd, get(id, "hold"));
    world.servers.until_begun(id);
    Stopping stopping(node);
    while (ms_since(stopping.at) < 3900) usleep(1000);
    world.servers.release(id);
    std::string behind, head = read_head(fd, behind);
    close(fd);
    double took = stopping.until_over(node);
    std::printf("%-28s answered %s; over at %.0f ms\n", "drain_handed_down_owes", head.substr(0, 12).c_str(),
                took);
    assert(head.starts_with("HTTP/1.1 200"));
    unsetenv("GW_FD");
    close(clients.fd);
}

/// What was read behind the request in hand has its turn before the connection ends.
void drain_meets_pipelined(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    int fd = world.connect();
    long first = next_id++, second = next_id++;
    put(fd, get(first, "hold") + get(second));
    world.servers.until_begun(first);
    Stopping stopping(node);
    while (!node.call("GET /ops/readiness").starts_with("HTTP/1.1 503")) usleep(1000);
    world.servers.release(first);
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200") && read_body(fd, behind, 2));
    head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200") && head.find("Connection: close") != std::string::npos);
    close(fd);
    double took = stopping.until_over(node);
    std::printf("%-28s both answered; over at %.0f ms\n", "drain_meets_pipelined", took);
}

/// One half of a head is finished late, one never; a second SIGTERM and a SIGHUP in between change nothing.
bool drain_of_half_heads(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config, {{"\"GiveUp\":60000.0", "\"GiveUp\":800.0"}});
    Node node;
    node.start(program, -1);
    node.until_ready();
    int ends = world.connect(), never = world.connect();
    long id = next_id++;
    std::string request = get(id);
    put(ends, request.substr(0, 20));
    put(never, request.substr(0, 20));
    usleep(20000);
    Stopping stopping(node);
    while (ms_since(stopping.at) < 100) usleep(1000);
    kill(node.pid, SIGTERM);
    kill(node.pid, SIGHUP);
    while (ms_since(stopping.at) < 600) usleep(1000);
    if (ms_since(stopping.at) > 1200) return too_late(node);  // at 1300 ms it is told 408
    put(ends, request.substr(20));
    std::string behind;
    assert(read_head(ends, behind).starts_with("HTTP/1.1 200"));
    close(ends);
    assert(read_head(never, behind = "").starts_with("HTTP/1.1 408"));
    double told = ms_since(stopping.at);
    close(never);
    double took = stopping.until_over(node);
    std::printf("%-28s one served, the other told at %.0f ms; over at %.0f ms\n", "drain_of_half_heads", told,
                took);
    assert(told >= 1300 && took < 1500 + 700);
    return true;
}

/// SIGTERM comes between a request's attempts: it has its next one.
void drain_before_a_retry(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    long id = next_id++;
    int fd = world.connect();
    put(fd, get(id, "hold,full,first"));
    world.servers.until_begun(id);
    halt(node);
    Stopping stopping(node);
    world.servers.release(id);
    go_on(node);
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200") && head.find("Connection: close") != std::string::npos);
    assert(world.servers.times(id) == 2);
    close(fd);
    double took = stopping.until_over(node);
    std::printf("%-28s answered by its second attempt; over at %.0f ms\n", "drain_before_a_retry", took);
}

/// Behind 0.45 s it is too late for a request that was read behind another: its client can go by the answer's
/// word, and by an end that is no reset.
void drain_drops_pipelined(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config);
    Node node;
    node.start(program, -1);
    node.until_ready();
    int fd = world.connect();
    long first = next_id++, second = next_id++;
    put(fd, get(first, "hold") + get(second));
    world.servers.until_begun(first);
    Far(fd).until_read();
    int resting = world.connect();
    assert(ask(resting, get(next_id++)).starts_with("HTTP/1.1 200"));
    Stopping stopping(node);
    assert(next_byte(resting) == 0);  // they are ended from now on
    world.servers.release(first);
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 200") && head.find("Connection: close") != std::string::npos);
    assert(read_body(fd, behind, 2) && behind.empty() && next_byte(fd) == 0 && !was_reset(fd));
    close(fd), close(resting);
    double took = stopping.until_over(node);
    assert(!world.servers.begun(second));
    std::printf("%-28s told of the end and not sent on; over at %.0f ms\n", "drain_drops_pipelined", took);
}

/// One does not read its answer, one has sent half a body: neither holds the node for longer than the
/// deadline and 0.5 s, and its log says so. One that reads has all of its own.
void drain_of_unread(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config, {{"\"GiveUp\":60000.0", "\"GiveUp\":800.0"}});
    std::string log = setup.folder + "/log";
    int errors = dup(2), file = open(log.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
    dup2(file, 2);
    Node node;
    node.start(program, -1);
    dup2(errors, 2), close(errors), close(file);
    node.until_ready();
    int deaf = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), small = 2048;
    setsockopt(deaf, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    assert(connect(deaf, reinterpret_cast<const sockaddr*>(&world.clients.at), sizeof world.clients.at) == 0);
    int reader = world.connect(), half = world.connect();
    long id = next_id++, other = next_id++;
    put(half, "POST /buy?hold&id=" + std::to_string(other) +
                  " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: half\r\nContent-Length: 300000\r\n\r\n" +
                  std::string(100000, 'p'));
    world.servers.until_begun(other);
    put(reader, get(id, "huge"));
    std::string behind, head = read_head(reader, behind);
    std::thread slowly([&] {
        std::vector<char> bytes(20000);
        std::size_t had = behind.size();
        for (ssize_t got = 1; had < 2000000 && got > 0;
             had += std::size_t(std::max<ssize_t>(got, 0)), usleep(10000))
            got = read(reader, bytes.data(), bytes.size());
        assert(had == 2000000);
        close(reader);
    });
    put(deaf, get(next_id++, "long"));
    std::string unread;
    assert(read_head(deaf, unread).starts_with("HTTP/1.1 200"));
    Stopping stopping(node);
    std::thread sender([&] {  // goes on, so that only the node's stop ends it
        pollfd heard{half, POLLIN, 0};
        while (poll(&heard, 1, 100) == 0) put(half, "p");
        std::string rest;
        assert(read_head(half, rest).starts_with("HTTP/1.1 408"));
        close(half);
    });
    double took = stopping.until_over(node);
    slowly.join(), sender.join();
    std::ifstream said(log);
    std::string all{std::istreambuf_iterator<char>(said), {}};
    std::printf("%-28s over at %.0f ms\n", "drain_of_unread", took);
    assert(took >= 1300 && took < 4000);
    assert(all.find("their clients did not read") != std::string::npos &&
           all.find("answers=1") != std::string::npos);
    close(deaf);
}

/// No list yet: what waits is answered by its deadline, and the node ends.
void drain_before_the_list(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config, {{"\"GiveUp\":60000.0", "\"GiveUp\":1000.0"}}, false);
    Node node;
    node.start(program, -1);
    int watch = accept4(world.discovery.fd, nullptr, nullptr, SOCK_CLOEXEC);
    int fd = world.connect();
    put(fd, get(next_id++));
    while (node.call("GET /ops/stats").empty() || node.figure("app_current") != 1) usleep(1000);
    Stopping stopping(node);
    std::string behind, head = read_head(fd, behind);
    assert(head.starts_with("HTTP/1.1 50") && head.find("Connection: close") != std::string::npos);
    close(fd);
    double took = stopping.until_over(node);
    close(watch);
    std::printf("%-28s answered %s; over at %.0f ms\n", "drain_before_the_list", head.substr(9, 3).c_str(),
                took);
    assert(took < 1700);
}

}  // namespace

std::vector<Part> stopping() {
    return {{{"drain_of_resting", {}, drain_of_resting},
             {"drain_meets_a_request",
              {},
              [](const char* p, const char* c) { in_time([=] { return drain_meets_a_request(p, c); }); }},
             {"drain_under_senders", {}, drain_under_senders},
             {"drain_meets_a_connection",
              {},
              [](const char* p, const char* c) { in_time([=] { return drain_meets_a_connection(p, c); }); }},
             {"drain_meets_pipelined", {}, drain_meets_pipelined}},
            {{"drain_of_unread", {}, drain_of_unread},
             {"drain_drops_pipelined", {}, drain_drops_pipelined},
             {"drain_before_a_retry", {}, drain_before_a_retry}},
            {{"drain_handed_down_owes", {}, drain_handed_down_owes}},
            {{"drain_handed_down", {}, drain_handed_down},
             {"drain_of_half_heads",
              {},
              [](const char* p, const char* c) { in_time([=] { return drain_of_half_heads(p, c); }); }},
             {"drain_before_the_list", {}, drain_before_the_list}}};
}

}  // namespace ochrehub::run
