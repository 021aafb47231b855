// What the thread that asks has used of a core.
#pragma once

#include <time.h>

namespace ochrehub::lab {

inline double thread_cpu_s() {
    timespec t{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
    return double(t.tv_sec) + double(t.tv_nsec) * 1e-9;
}

}  // namespace ochrehub::lab
