// Ordinary traffic while some answers of servers come a second time, some milliseconds late: what a client
// gets with a 200 must be a server's answer to its own request. A trial is a start of three nodes and their
// first seconds.
#include <random>

#include "stand.h"

using namespace stand;

namespace {

constexpr int kNodes = 3, kServers = 10;         // as the deployment has them
constexpr double kRate = 320;                    // requests a second, over all nodes
constexpr double kCopies = 0.02;                 // of the answers come twice ...
constexpr double kLeast = 0.003, kMost = 0.009;  // ... so many seconds later
constexpr double kTrial = 3;                     // seconds of traffic
constexpr int kTrials = 10;
constexpr double kMostOfAll = 100;  // seconds

struct Class {
    const char* name;
    double patience_s;
};
constexpr Class kClasses[] = {{"stock-check", 0.6}, {"price-look", 0.5}, {"place-order", 2.5}};

struct Totals {
    std::atomic<int> right{0}, foreign{0}, refused{0}, failed{0}, none{0};
};

void ask(int port, const Class& request_class, Record& record, Totals& totals) {
    std::string id = fresh_id(), body(request_class.name == std::string("place-order") ? 64 : 0, 'x');
    int fd = connect_to(port);
    double began = now(), until = began + request_class.patience_s;  // it leaves at its deadline
    record.line("client: sends %s %s", request_class.name, id.c_str());
    Head head;
    std::string answer;
    bool whole =
        fd >= 0 &&
        send_all(fd, request_head(request_class.name, id, request_class.patience_s, body.size()) + body,
                 until) &&
        Reader(fd).message(head, answer, until) == Reader::Got::Message;
    if (fd >= 0) close(fd);
    std::string status = whole ? head.word(1) : "";
    if (status == "200" && answer.rfind("done " + id + " by ", 0) != 0) {
        ++totals.foreign;
        if (!answer.empty() && answer.back() == '\n') answer.pop_back();
        record.line("client: %s %s answered 200 after %.3f s with \"%s\": BROKEN", request_class.name,
                    id.c_str(), now() - began, answer.c_str());
        return;
    }
    ++(status == "200"   ? totals.right
       : status == "503" ? totals.refused
       : status.empty()  ? totals.none
                         : totals.failed);
    record.line("client: %s %s answered %s", request_class.name, id.c_str(),
                status.empty() ? "not at all" : status.c_str());
}

int play(const std::string& root, const std::string& path) {
    Record& record = *new Record(path);
    Runs& runs = *new Runs;
    Discovery& discovery = *new Discovery;
    Totals& totals = *new Totals;
    ServerOptions options;
    options.work_s = 0.04, options.work_most_s = 0.16;
    options.copies = trouble() ? kCopies : 0;
    options.copy_least_s = kLeast, options.copy_most_s = kMost;
    std::vector<std::unique_ptr<Server>> servers;
    for (int i = 0; i < kServers; ++i)
        servers.push_back(std::make_unique<Server>(i, i / 4, options, runs.tell()));
    runs.start(record);
    for (const auto& server : servers) discovery.set({server->id(), server->port(), server->cell()});
    discovery.start();
    std::mt19937_64 random{std::random_device{}()};
    double began = now();
    int trials = 0;
    for (; trials < kTrials && now() - began < kMostOfAll - kTrial - 2 && totals.foreign == 0; ++trials) {
        Folder temporary;
        std::vector<std::unique_ptr<Node>> nodes;
        for (int i = 0; i < kNodes; ++i) {
            nodes.push_back(std::make_unique<Node>());
            nodes.back()->start(root, temporary, discovery, i, kNodes);
        }
        record.line("trial %d: %d nodes serve; %s", trials + 1, kNodes,
                    trouble() ? "with trouble" : "TROUBLE=0");
        std::vector<std::thread> clients;
        double next = now(), end = next + kTrial;
        while ((next += std::exponential_distribution<double>(kRate)(random)) < end) {
            sleep_until(next);
            int port = nodes[random() % kNodes]->port;
            const Class& request_class = kClasses[random() % std::size(kClasses)];
            clients.emplace_back([&, port, request_class] { ask(port, request_class, record, totals); });
        }
        for (std::thread& client : clients) client.join();
        for (const auto& node : nodes)
            if (auto how = node->ended()) throw CannotRun{"a node ended: " + *how};
    }
    record.line(
        "%d trials: %d requests answered right, %d with another's answer, %d refused, %d failed, %d not "
        "answered",
        trials, totals.right.load(), totals.foreign.load(), totals.refused.load(), totals.failed.load(),
        totals.none.load());
    if (totals.right == 0) throw CannotRun{"nothing was served"};
    std::printf("%d requests in %d trials were answered with another's answer\n", totals.foreign.load(),
                trials);
    return totals.foreign > 0 ? 1 : 0;
}

}  // namespace

int main(int, char** arguments) {
    return run(arguments[2], [&] { return play(arguments[1], arguments[2]); });
}
