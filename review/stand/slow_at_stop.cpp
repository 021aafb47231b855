// Orders that their clients write in 2 s, while the node is told to end and one of seven servers stands
// still: what came more than 0.7 s after SIGTERM must have its final answer when SIGKILL comes, the longest
// deadline and 0.7 s after it.
#include "stand.h"

using namespace stand;

namespace {

constexpr int kServers = 7;  // one of them hangs: 14%, of 16% at most
constexpr int kOrders = 14;
constexpr double kPatience = 2.5;          // of a place-order: the longest deadline
constexpr double kWritten = 1.9;           // seconds from an order's first byte to its last, of 2 s
constexpr double kBefore = 0.15;           // its first byte comes so long before SIGTERM
constexpr double kKill = kPatience + 0.7;  // SIGKILL behind SIGTERM, no sooner ...
constexpr double kKillLate = 0.1;          // ... and here so much later
constexpr double kCame = 0.7;              // behind SIGTERM: what came later must be answered
constexpr double kHang = 8.5;              // seconds, of 8 to 23

struct Order {
    std::string id = fresh_id();
    bool whole = false;  // the node's machine has acknowledged its last byte
    double whole_at = 0;
    std::string end = "nothing";  // "answered N", or how its connection ended
    bool answered = false;
    double end_at = 0;
};

void write_slowly(int port, Order& order, double first, double last, double until, Record& record) {
    sleep_until(first);
    record.line("client: begins to send place-order %s", order.id.c_str());
    int fd = connect_to(port);
    if (fd < 0) return;
    std::string text = request_head("place-order", order.id, kPatience, 400) + std::string(400, 'x');
    constexpr int kPieces = 20;
    std::size_t piece = text.size() / kPieces + 1;
    Reader reader(fd);
    Head head;
    std::string body;
    bool open = true;
    for (std::size_t at = 0; open && at < text.size(); at += piece) {
        double due = first + (last - first) * double(at / piece) / (kPieces - 1);
        // An answer may come sooner.
        if (wait_for(fd, POLLIN, std::max(due, now() + 0.0005))) break;
        open = send_all(fd, text.substr(at, piece), until);
        if (at + piece < text.size()) continue;
        for (double by = now() + 0.2; !order.whole && now() < by; sleep_s(0.001))
            order.whole = unacknowledged(fd) == 0;
        order.whole_at = now();
    }
    switch (reader.message(head, body, until)) {
        case Reader::Got::Message:
            order.answered = true;
            order.end = "answered " + head.word(1);
            break;
        case Reader::Got::End:
            order.end = "closed without an answer";
            break;
        case Reader::Got::Broken:
            order.end = "reset without an answer";
            break;
        case Reader::Got::Late:
            order.end = "not answered";
            break;
    }
    order.end_at = now();
    close(fd);
}

int play(const std::string& root, const std::string& path) {
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
    Node node;
    node.start(root, temporary, discovery);
    record.line("the node serves; %s", trouble() ? "with trouble" : "TROUBLE=0");

    // Two seconds of ordinary traffic: the node knows its servers.
    for (int i = 0; i < 40; ++i) {
        std::thread([port = node.port, &record] {
            Order order;
            write_slowly(port, order, now(), now(), now() + 5, record);
        }).detach();
        sleep_s(0.05);
    }
    sleep_s(1);

    int hung = runs.busiest();
    double stop_at = now() + 0.5, until = stop_at + kKill + 3;
    if (trouble()) {
        sleep_until(stop_at - 0.3);
        servers[std::size_t(hung)]->signal(SIGSTOP);
        record.line("server s-%d stands still", hung);
    }
    std::vector<Order> orders(kOrders);
    std::vector<std::thread> clients;
    for (Order& order : orders)
        clients.emplace_back([&, port = node.port] {
            write_slowly(port, order, stop_at - kBefore, stop_at - kBefore + kWritten, until, record);
        });
    sleep_until(stop_at);
    double stopped_at = now(), killed_at = 0;
    if (trouble()) {
        node.signal(SIGTERM);
        record.line("SIGTERM to the node");
        std::optional<std::string> ended;
        while (!ended && now() < stopped_at + kKill + kKillLate) {
            sleep_s(0.01);
            ended = node.ended();
        }
        killed_at = now();
        if (ended)
            record.line("the node ended by itself: %s", ended->c_str());
        else
            record.line("SIGKILL to the node");
        node.end();
    }
    for (std::thread& client : clients) client.join();
    if (trouble()) {
        sleep_until(stop_at - 0.3 + kHang);
        servers[std::size_t(hung)]->signal(SIGCONT);
        record.line("server s-%d goes on", hung);
    }

    int broken = 0, judged = 0;
    for (const Order& order : orders) {
        bool late = order.whole && order.whole_at > stopped_at + kCame;
        judged += late;
        bool lost = late && !order.answered;
        broken += lost;
        record.line("order %s: %s %.3f s behind SIGTERM; %s %.3f s behind it%s", order.id.c_str(),
                    order.whole ? "whole" : "not whole", order.whole ? order.whole_at - stopped_at : 0.0,
                    order.end.c_str(), order.end_at - stopped_at, lost ? ": BROKEN" : "");
    }
    if (trouble())
        record.line(
            "the process ended %.3f s behind SIGTERM; %d of %d orders that came 0.7 s behind it or later "
            "were not "
            "answered",
            killed_at - stopped_at, broken, judged);
    if (judged == 0 && trouble()) throw CannotRun{"no order came in time"};
    std::printf("%d of %d orders lost\n", broken, judged);
    return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int, char** arguments) {
    return run(arguments[2], [&] { return play(arguments[1], arguments[2]); });
}
