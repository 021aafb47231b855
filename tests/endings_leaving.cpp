// Clients that leave before their request is sent on.
#include "endings_run.h"

namespace ochrehub::run {
namespace {

constexpr double kGoneMost = 100;  // ms after its client's end in which an attempt may still begin

/// A request and its client's end lie there together.
void end_behind_a_request(World& world, const Node& node) {
    for (Leave how : kLeaves)
        for (int i = 0; i < 10; ++i) {
            long id = next_id++;
            int fd = world.connect();
            assert(ask(fd, "GET /healthz HTTP/1.1\r\nHost: n\r\n\r\n").starts_with("HTTP/1.1 200"));
            Far far(fd);
            halt(node);
            put(fd, get(id));
            leave(fd, how);
            far.until_ended();
            go_on(node);
            if (how == Leave::Fin) assert(next_byte(fd) <= 0);
            world.settle();
            world.until_idle(node);
            world.settle();
            assert(!world.servers.begun(id));
            end(fd);
        }
    row("end_behind_a_request", "30 of 30 not begun: FIN, RST, cancel");
}

/// The first is answered in the moment in which the client sends the second and leaves.
void end_behind_a_pipelined(World& world, const Node& node) {
    for (Leave how : {Leave::Fin, Leave::Cancel})
        for (int i = 0; i < 15; ++i) {
            long first = next_id++, second = next_id++;
            int fd = world.connect();
            Far far(fd);
            put(fd, get(first, "hold"));
            world.servers.until_begun(first);
            put(fd, get(second));
            far.until_read();
            halt(node);
            world.servers.release(first);
            leave(fd, how);
            far.until_ended();
            go_on(node);
            while (how == Leave::Fin && next_byte(fd) > 0) {
            }
            world.until_idle(node);
            world.settle();
            assert(!world.servers.begun(second));
            end(fd);
        }
    row("end_behind_a_pipelined", "30 of 30 not begun");
}

/// It has filled the buffer that is kept for what it sends on, and leaves: nothing more is read.
void end_behind_a_full_buffer(World& world, const Node&) {
    double worst = 0;
    for (Leave how : {Leave::Fin, Leave::Rst, Leave::Cancel}) {
        long id = next_id++;
        int fd = world.connect();
        put(fd, get(id, "hold"));
        world.servers.until_begun(id);
        Far far(fd);
        put(fd, std::string(100000, 'x'));
        leave(fd, how);
        far.until_ended();
        Steady::time_point left = Steady::now();
        world.servers.until_ended(id);
        worst = std::max(worst, ms_since(left));
        end(fd);
    }
    std::printf("%-28s called off %.0f ms after the end\n", "end_behind_a_full_buffer", worst);
    assert(worst < 2000);
}

/// It leaves in the moment in which its first attempt is turned away.
void end_before_a_retry(World& world, const Node& node) {
    for (int i = 0; i < 30; ++i) {
        long id = next_id++;
        int fd = world.connect();
        put(fd, get(id, "hold,full"));
        world.servers.until_begun(id);
        Far far(fd);
        halt(node);
        world.servers.release(id);
        if (i % 2 == 0) put(fd, std::string(100000, 'x'));  // its end does not show behind that
        leave(fd, Leave::Fin);
        far.until_ended();
        go_on(node);
        while (next_byte(fd) > 0) {
        }
        world.until_idle(node);
        world.settle();
        assert(world.servers.times(id) == 1);
        end(fd);
    }
    row("end_before_a_retry", "30 of 30 not tried again");
}

void end_behind_half_a_request(World& world, const Node& node) {
    for (Leave how : kLeaves) {
        long id = next_id++;
        int fd = world.connect();
        std::string request = get(id);
        put(fd, request.substr(0, request.size() - 2));
        leave(fd, how);
        if (how == Leave::Fin) assert(next_byte(fd) <= 0);
        world.until_idle(node);
        world.settle();
        assert(!world.servers.begun(id));
        end(fd);
    }
    row("end_behind_half_a_request", "3 of 3 not begun");
}

/// A client's end told to nobody: it leaves right behind its request, with the loop idle or kept busy by
/// others.
void latest_begin(World& world, const Node& node, bool busy) {
    std::atomic<bool> over{false};
    std::vector<std::thread> others;
    for (int i = 0; busy && i < 4; ++i)
        others.emplace_back([&] {
            int fd = world.connect();
            while (!over) assert(ask(fd, get(next_id++)).starts_with("HTTP/1.1 "));
            close(fd);
        });
    std::map<long, Steady::time_point> left;
    for (int i = 0; i < 150; ++i) {
        long id = next_id++;
        int fd = world.connect();
        put(fd, get(id));
        leave(fd, kLeaves[i % 3]);
        left[id] = Steady::now();
        end(fd);
    }
    world.settle();
    over = true;
    for (std::thread& t : others) t.join();
    world.until_idle(node);
    world.settle();
    double latest = 0;
    int begun = 0;
    for (const auto& [id, at] : left) {
        Steady::time_point began;
        if (!world.servers.begun(id, &began)) continue;
        ++begun;
        latest = std::max(latest, std::chrono::duration<double, std::milli>(began - at).count());
    }
    std::printf(
        "latest begin of an attempt after FIN, RST, cancel, loop %s: %.2f ms beside %.0f ms (%d of 150 "
        "begun)\n",
        busy ? "busy" : "idle", latest, kGoneMost, begun);
    assert(latest < kGoneMost);
}

/// Its request waits in the module for a server, and the list comes in the moment in which it leaves.
void end_in_the_queue(const char* program, const char* config) {
    World world;
    Setup setup = world.setup(config, {}, false);
    Node node;
    node.start(program, -1);
    int watch = accept4(world.discovery.fd, nullptr, nullptr, SOCK_CLOEXEC);
    std::string behind;
    assert(read_head(watch, behind).starts_with("GET /v1/servers"));
    long stays = next_id++;
    int stayer = world.connect();
    put(stayer, get(stays));
    std::map<long, int> leavers;
    for (int i = 0; i < 10; ++i) {
        long id = next_id++;
        leavers[id] = world.connect();
        put(leavers[id], get(id));
    }
    while (node.call("GET /ops/stats").empty() || node.figure("app_current") != 11) usleep(1000);
    halt(node);
    std::string list =
        "{\"revision\":42,\"complete\":true,\"members\":[" + World::member("s-a", world.a) + "]}";
    put(watch, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    Far(watch).until_unread();
    for (auto& [id, fd] : leavers) {
        Far far(fd);
        if (id % 2 == 0)
            put(fd, std::string(100000, 'x'));  // more than is read before the answer: its end does not show
        leave(fd, Leave::Fin);
        far.until_ended();
    }
    go_on(node);
    behind.clear();
    assert(read_head(stayer, behind).starts_with("HTTP/1.1 200"));
    world.until_idle(node);
    world.settle();
    for (auto& [id, fd] : leavers) assert(!world.servers.begun(id));
    for (auto& [id, fd] : leavers) end(fd);
    close(stayer);
    node.stop();
    row("end_in_the_queue", "10 of 10 not begun, and the one that stayed answered");
}

/// Its server takes no more of its body, so that nothing more is read, and it leaves.
void end_of_a_stuck_upload(const char* program, const char* config) {
    World world;
    Listener slow;
    Setup setup = world.setup(config, {{"$a", slow.address}}, false);
    Node node;
    node.start(program, -1);
    int watch = accept4(world.discovery.fd, nullptr, nullptr, SOCK_CLOEXEC);
    std::string behind;
    assert(read_head(watch, behind).starts_with("GET /v1/servers"));
    std::string list = "{\"revision\":42,\"complete\":true,\"members\":[" + World::member("s-a", slow) + "]}";
    put(watch, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    node.until_ready();
    double worst = 0;
    for (Leave how : kLeaves) {
        int fd = world.connect();
        put(fd, "POST /buy HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(next_id++) +
                    "\r\nContent-Length: 30000000\r\n\r\n");
        const std::string piece(16384, 'p');
        put(fd, piece);
        int server = accept4(slow.fd, nullptr, nullptr, SOCK_CLOEXEC);
        Far client(fd), far(server);
        // Till the node leaves something unread for a while: all before it is full. Not till this side's
        // system is full as well, as the end could not get through then.
        for (Steady::time_point read = Steady::now(); ms_since(read) < 200; usleep(500)) {
            if (client.unread() > 0) continue;
            put(fd, piece);
            read = Steady::now();
        }
        leave(fd, how);
        Steady::time_point left = Steady::now();
        far.until_left();
        worst = std::max(worst, ms_since(left));
        end(fd);
        close(server);
    }
    std::printf("%-28s called off %.0f ms after the end\n", "end_of_a_stuck_upload", worst);
    assert(worst < 2000);
    close(watch);
    node.stop();
}

/// It leaves in the moment in which the connection to its server comes up.
void end_while_connecting(const char* program, const char* config) {
    World world;
    Listener slow;
    assert(listen(slow.fd, 0) == 0);  // one more waits to be accepted, and others are not answered
    Setup setup = world.setup(config, {{"$a", slow.address}}, false);
    Node node;
    node.start(program, -1);
    int watch = accept4(world.discovery.fd, nullptr, nullptr, SOCK_CLOEXEC);
    std::string behind;
    assert(read_head(watch, behind).starts_with("GET /v1/servers"));
    std::string list = "{\"revision\":42,\"complete\":true,\"members\":[" + World::member("s-a", slow) + "]}";
    put(watch, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
    node.until_ready();
    std::vector<int> open;
    for (Leave how : kLeaves) {
        int filler = connected(slow.at), fd = world.connect();
        put(fd,
            "GET /look?leaves HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + std::to_string(next_id++) + "\r\n\r\n");
        until_asked_for(
            slow.at);  // its figures tell of the request before its system has asked for the connection
        Far far(fd);
        halt(node);
        leave(fd, how);
        far.until_ended();
        close(accept4(slow.fd, nullptr, nullptr, SOCK_CLOEXEC));
        int server =
            accept4(slow.fd, nullptr, nullptr, SOCK_CLOEXEC);  // the node's system asks again, halted or not
        go_on(node);
        world.until_idle(node);
        pollfd said{server, POLLIN, 0};
        char byte = 0;
        assert(poll(&said, 1, 0) == 0 || read(server, &byte, 1) <= 0);
        // Whether it was kept or not, the next one to speak is one that stays.
        int stays = world.connect();
        std::thread others([&] {
            assert(ask(stays, "GET /look?stays HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " +
                                  std::to_string(next_id++) + "\r\n\r\n")
                       .starts_with("HTTP/1.1 200"));
        });
        pollfd first[2] = {{server, POLLIN, 0}, {slow.fd, POLLIN, 0}};
        std::string heard, head;
        while (head.empty()) {
            assert(poll(first, 2, -1) > 0);
            if (first[0].revents != 0 && (head = read_head(server, heard)).empty()) first[0].fd = -1;
            if (head.empty() && first[1].revents != 0) {
                open.push_back(server);
                server = first[0].fd = accept4(slow.fd, nullptr, nullptr, SOCK_CLOEXEC);
            }
        }
        assert(head.starts_with("GET /look?stays"));
        put(server, kOk);
        others.join();
        open.push_back(server);
        pollfd more{slow.fd, POLLIN, 0};  // one that lay there would leave no room for the next one's filler
        while (poll(&more, 1, 0) > 0) open.push_back(accept4(slow.fd, nullptr, nullptr, SOCK_CLOEXEC));
        for (int each : open) close(each);
        open.clear();
        close(filler), close(stays), end(fd);
    }
    close(watch);
    node.stop();
    row("end_while_connecting", "3 of 3: the connection came up, and nothing was written");
}

/// The same id comes again behind its client's end, while its server may still execute it.
void same_id_after_leaving(World& world, const Node&) {
    for (const char* path : {"/buy", "/change"})
        for (Leave how : kLeaves) {
            long id = next_id++;
            std::string number = std::to_string(id);
            std::string request = "POST " + std::string(path) + "?hold&id=" + number +
                                  " HTTP/1.1\r\nHost: n\r\nX-Trace-Id: " + number +
                                  "\r\nIdempotency-Key: " + number + "\r\nContent-Length: 0\r\n\r\n";
            int fd = world.connect();
            put(fd, request);
            world.servers.until_begun(id);
            leave(fd, how);
            end(fd);
            world.servers.until_ended(id);
            int again = world.connect();
            assert(ask(again, request).starts_with("HTTP/1.1 409"));
            close(again);
            assert(world.servers.times(id) == 1);
        }
    row("same_id_after_leaving", "6 of 6 told 409, none executed again");
}

}  // namespace

std::vector<Part> leaving() {
    return {
        {{"end_behind_a_request", end_behind_a_request, {}},
         {"end_behind_a_pipelined", end_behind_a_pipelined, {}},
         {"end_behind_a_full_buffer", end_behind_a_full_buffer, {}},
         {"end_before_a_retry", end_before_a_retry, {}},
         {"same_id_after_leaving", same_id_after_leaving, {}},
         {"end_behind_half_a_request", end_behind_half_a_request, {}},
         {"latest_begin_idle", [](World& w, const Node& n) { latest_begin(w, n, false); }, {}},
         {"latest_begin_busy", [](World& w, const Node& n) { latest_begin(w, n, true); }, {}}},
        {{"end_while_connecting", {}, end_while_connecting}},
        {{"end_in_the_queue", {}, end_in_the_queue}, {"end_of_a_stuck_upload", {}, end_of_a_stuck_upload}}};
}

}  // namespace ochrehub::run
