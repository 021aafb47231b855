// Orders with long bodies while one of seven servers stands still: each request whose last byte the node's
// machine has must have its final answer by its deadline; up to half a second later it only earns nothing.
#include "stand.h"

using namespace stand;

namespace {

constexpr int kNodes = 3, kServers = 7;  // of the servers one hangs: 14%, of 16% at most
constexpr double kHang = 10;             // seconds, of 8 to 23
constexpr double kPatience = 2.5;        // of a place-order
constexpr double kLost = 0.5;            // behind its time a request is lost
constexpr double kSlack =
    0.1;  // 50 ms of the protocol page for sockets, the grace of 8 ms, and this process's own
// Of 32 MB at most. What a machine's buffers hold between client, node and a server that does not read
// differs from one to the next: a spread of lengths.
constexpr double kMegabytes[kNodes][2] = {{3.4, 4.6}, {3.7, 5.0}, {4.0, 4.3}};

struct Order {
    std::string id = fresh_id();
    std::size_t bytes = 0;
    bool whole = false;   // the node's machine has acknowledged its last byte ...
    double whole_at = 0;  // ... by then
    std::string status;   // of its answer; empty: none
    double answered_at = 0;
};

/// Sends it and waits for its answer, till `until`.
void send_order(int port, Order& order, double until, Record& record) {
    record.line("client: sends place-order %s, %zu bytes, to port %d", order.id.c_str(), order.bytes, port);
    int fd = connect_to(port);
    if (fd < 0) return;
    static const std::string piece(1 << 20, 'x');
    bool written = send_all(fd, request_head("place-order", order.id, kPatience, order.bytes), until);
    for (std::size_t left = order.bytes; written && left > 0;) {
        std::size_t size = std::min(left, piece.size());
        written = send_all(fd, piece.data(), size, until);
        left -= size;
    }
    Reader reader(fd);
    Head head;
    std::string body;
    while (written && now() < until) {
        if (!order.whole && unacknowledged(fd) == 0) {
            order.whole = true;
            order.whole_at = now();
        }
        if (!wait_for(fd, POLLIN, std::min(until, now() + 0.005))) continue;
        if (reader.message(head, body, until) != Reader::Got::Message) break;
        order.status = head.word(1);
        order.answered_at = now();
        break;
    }
    close(fd);
}

int play(const std::string& root, const std::string& path) {
    // Not destroyed: threads use them to the end.
    Record& record = *new Record(path);
    Runs& runs = *new Runs;
    Discovery& discovery = *new Discovery;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < kServers; ++i)
        servers.push_back(std::make_unique<Server>(i, i / 3, ServerOptions{}, runs.tell()));
    runs.start(record);
    for (const auto& server : servers) discovery.set({server->id(), server->port(), server->cell()});
    discovery.start();
    Folder temporary;
    std::vector<std::unique_ptr<Node>> nodes;
    for (int i = 0; i < kNodes; ++i) {
        nodes.push_back(std::make_unique<Node>());
        nodes.back()->start(root, temporary, discovery, i, kNodes);
    }
    record.line("%d nodes serve; %s", kNodes, trouble() ? "with trouble" : "TROUBLE=0");

    // Two seconds of ordinary traffic: the nodes know all servers.
    for (int i = 0; i < 40; ++i) {
        for (const auto& node : nodes)
            std::thread([port = node->port, &record] {
                Order order;
                order.bytes = 200;
                send_order(port, order, now() + 5, record);
            }).detach();
        sleep_s(0.05);
    }
    sleep_s(1);

    // One that the nodes use: with few requests a node does not use all servers.
    int hung = runs.busiest();
    double hung_at = now();
    if (trouble()) {
        servers[std::size_t(hung)]->signal(SIGSTOP);
        record.line("server s-%d stands still", hung);
    }
    sleep_s(0.2);
    std::vector<Order> orders(std::size_t(2 * kNodes * kServers));
    std::vector<std::thread> clients;
    double until = hung_at + kHang + 4;
    for (std::size_t i = 0; i < orders.size(); ++i) {
        std::size_t node = i % kNodes, turn = i / kNodes;
        orders[i].bytes = std::size_t(kMegabytes[node][turn / kServers] * 1e6);
        clients.emplace_back([&, i, node] { send_order(nodes[node]->port, orders[i], until, record); });
        sleep_s(0.005);
    }
    if (trouble()) {
        sleep_until(hung_at + kHang);
        servers[std::size_t(hung)]->signal(SIGCONT);
        record.line("server s-%d goes on", hung);
    }
    for (std::thread& client : clients) client.join();
    for (const auto& node : nodes)
        if (auto how = node->ended()) throw CannotRun{"a node ended: " + *how};

    int broken = 0, judged = 0;
    for (const Order& order : orders) {
        if (!order.whole) {
            record.line("order %s, %zu bytes: its last byte did not reach the node's machine; answer: %s",
                        order.id.c_str(), order.bytes, order.status.empty() ? "none" : order.status.c_str());
            continue;
        }
        ++judged;
        double took = order.answered_at - order.whole_at;
        bool lost = order.status.empty() || took > kPatience + kLost + kSlack;
        broken += lost;
        if (order.status.empty())
            record.line("order %s, %zu bytes: whole at %.3f, never answered%s", order.id.c_str(), order.bytes,
                        record.since_start(order.whole_at), lost ? ": BROKEN" : "");
        else
            record.line("order %s, %zu bytes: whole at %.3f, answered %s after %.3f s%s", order.id.c_str(),
                        order.bytes, record.since_start(order.whole_at), order.status.c_str(), took,
                        lost ? ": BROKEN" : "");
    }
    record.line(
        "%d of %d orders that the node's machine had whole were not answered by their deadline and half a "
        "second",
        broken, judged);
    if (judged == 0) throw CannotRun{"no order reached the node's machine whole"};
    std::printf("%d of %d orders lost\n", broken, judged);
    return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int, char** arguments) {
    return run(arguments[2], [&] { return play(arguments[1], arguments[2]); });
}
