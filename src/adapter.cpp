// Hosts the instances on the simulator's wire: standard input to standard output, one reply a batch.
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

#include "wire.h"

namespace {

bool write_all(std::string_view text) {
    while (!text.empty()) {
        ssize_t wrote = ::write(STDOUT_FILENO, text.data(), text.size());
        if (wrote < 0 && errno == EINTR) continue;
        if (wrote <= 0) return false;
        text.remove_prefix(std::size_t(wrote));
    }
    return true;
}

int run() {
    constexpr std::size_t kChunk = std::size_t{1} << 16;
    ochrehub::Wire wire;
    std::string reply;
    std::vector<char> input(kChunk);
    std::size_t filled = 0;
    while (true) {
        if (input.size() - filled < kChunk / 2) input.resize(input.size() * 2);
        ssize_t got = ::read(STDIN_FILENO, input.data() + filled, input.size() - filled);
        if (got < 0 && errno == EINTR) continue;
        if (got <= 0) break;
        std::string_view rest(input.data(), filled + std::size_t(got));
        // What was left over holds no line end, so the search starts behind it.
        for (std::size_t from = filled, end; (end = rest.find('\n', from)) != std::string_view::npos;
             from = 0) {
            if (wire.take_line(rest.substr(0, end), reply)) {
                if (!write_all(reply)) return 1;
                reply.clear();
            }
            rest.remove_prefix(end + 1);
        }
        std::copy(rest.begin(), rest.end(), input.begin());
        filled = rest.size();
    }
    if (filled > 0) wire.take_line(std::string_view(input.data(), filled), reply);
    if (!write_all(reply)) return 1;
    wire.end_of_input();
    return 0;
}

}  // namespace

int main() {
    try {
        return run();
    } catch (const ochrehub::WireError& error) {
        std::fprintf(stderr, "%s\n", error.what());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "internal error: %s\n", error.what());
    }
    return 2;
}
