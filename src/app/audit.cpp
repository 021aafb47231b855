#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

#include "app/commands.h"
#include "audit/chain.h"

namespace ochrehub::app {

int verify_audit(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    audit::Finding found = audit::verify(in);
    if (!in.is_open() || in.bad()) {
        std::fprintf(stderr, "cannot read %s: %s\n", path.c_str(), std::strerror(errno));
        return 2;
    }
    if (found.broken > 0) {
        std::printf("line %zu %s\n", found.broken, found.what.c_str());
        return 1;
    }
    std::printf("ok %zu lines\n", found.lines);
    return 0;
}

}  // namespace ochrehub::app
