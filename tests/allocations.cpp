// Counts the allocations of a test program, so that a test can check that code allocates nothing.
#include <cstddef>
#include <cstdlib>
#include <new>

namespace {
std::size_t count = 0;
}

std::size_t allocations() {
    return count;
}

void* operator new(std::size_t size) {
    ++count;
    if (void* memory = std::malloc(size)) return memory;
    throw std::bad_alloc();
}
void operator delete(void* memory) noexcept {
    std::free(memory);
}
void operator delete(void* memory, std::size_t) noexcept {
    std::free(memory);
}
