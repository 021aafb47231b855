// What meets the instant in which something ends on the clients' side: clients that leave before their
// request is sent on, and a node that stops under connections that rest. The order of events is the peers'
// own: the node is halted while they lay bytes and ends side by side, and gates hold the servers' answers.
// endings_clients_run PROGRAM CONFIG
#include "endings_run.h"

using namespace ochrehub::run;

namespace {

/// One after the other. ENDINGS_ROW names the only one.
void play(const Part& rows, const char* program, const char* config) {
    const char* only = std::getenv("ENDINGS_ROW");
    std::vector<Row> wanted;
    for (const Row& r : rows)
        if (!only || std::string(only) == r.name) wanted.push_back(r);
    if (wanted.empty()) return;
    if (wanted.front().beside) {
        World world;
        Setup setup = world.setup(config);
        Node node;
        node.start(program, -1);
        node.until_ready();
        for (const Row& r : wanted) r.beside(world, node);
        node.stop();
    } else {
        for (const Row& r : wanted) r.alone(program, config);
    }
}

}  // namespace

// Side by side in processes of their own, which have addresses of their own: most of it is waiting.
int main(int, char** given) {
    std::vector<Part> parts;
    for (auto some : {leaving, answers, bodies, uploads, stopping, stop_limits, sockets})
        for (Part& rows : some()) parts.push_back(std::move(rows));
    std::vector<pid_t> children;
    for (const auto& rows : parts) {
        std::fflush(stdout);
        children.push_back(fork());
        if (children.back() != 0) continue;
        alarm(60);  // one that hangs
        play(rows, given[1], given[2]);
        std::fflush(stdout);
        _exit(0);
    }
    bool well = true;
    for (std::size_t i = 0; i < children.size(); ++i) {
        int status = -1;
        waitpid(children[i], &status, 0);
        if (WIFEXITED(status) && WEXITSTATUS(status) == 0) continue;
        well = false;
        std::printf("the part from %s on ended with status %d, signal %d\n", parts[i].front().name,
                    WIFEXITED(status) ? WEXITSTATUS(status) : -1, WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    }
    return well ? 0 : 1;
}
