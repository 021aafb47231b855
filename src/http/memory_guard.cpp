#include "http/memory_guard.h"

#include <linux/sock_diag.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "base/log.h"
#include "base/process_memory.h"
#include "http/socket_buffers.h"

namespace ochrehub::http {

namespace {

/// No socket holds more where its far side is slow: what socket_buffers.h lets it hold, in both directions.
constexpr std::size_t kMaxSocketBytes = std::size_t{256} * 1024;
/// malloc goes through all of its memory for it.
constexpr std::chrono::milliseconds kTrimInterval{500};
/// What malloc may keep beyond what is charged before it is looked for.
constexpr std::size_t kTrimParts = 11;

}  // namespace

std::size_t kernel_bytes(int socket) {
    std::array<std::uint32_t, SK_MEMINFO_VARS> memory{};
    socklen_t size = sizeof memory;
    if (getsockopt(socket, SOL_SOCKET, SO_MEMINFO, memory.data(), &size) != 0) return 0;
    return std::size_t{memory[SK_MEMINFO_RMEM_ALLOC]} + memory[SK_MEMINFO_WMEM_QUEUED];
}

void MemoryGuard::measure(Steady::time_point now) {
    MemoryAccount& account = pool_.account();
    std::size_t most = account.connections().size() * kMaxSocketBytes;
    if (most > account.parts(MemoryAccount::kSmallSocketsParts) || sockets_are_small_)
        measure_sockets();
    else
        socket_bytes_ = 0;
    resident_bytes_ = is_resident_memory_own() ? resident_memory_bytes() : 0;
    if (resident_bytes_ + socket_bytes_ > account.parts(kTrimParts)) trim(now);
    publish();
}

void MemoryGuard::measure_sockets() {
    const MemoryAccount& account = pool_.account();
    socket_bytes_ = 0;
    for (const ConnectionCharge* connection : account.connections())
        if (auto descriptor = connection->descriptor()) socket_bytes_ += kernel_bytes(*descriptor);
    std::size_t most = account.parts(MemoryAccount::kSmallSocketsParts);
    if (sockets_are_small_) most /= 2;
    bool were_small = std::exchange(sockets_are_small_, socket_bytes_ >= most);
    if (were_small || sockets_are_small_) bound_sockets();
}

// Those that are open already too: what lies in them stays, but no more is added to it.
void MemoryGuard::bound_sockets() {
    for (const ConnectionCharge* connection : pool_.account().connections()) {
        auto descriptor = connection->descriptor();
        if (!descriptor) continue;
        if (sockets_are_small_)
            bound_socket_buffers_small(*descriptor);
        else
            bound_socket_buffers(*descriptor, pool_.memory_mb());
    }
}

// Free memory between what is in use stays resident until malloc is made to look for it.
void MemoryGuard::trim(Steady::time_point now) {
    if (now - trimmed_at_ < kTrimInterval) return;
    trimmed_at_ = now;
    return_unused_memory();
    resident_bytes_ = resident_memory_bytes();
    if (counters_) counters_->memory_trims.add();
}

std::size_t MemoryGuard::last_line_excess() const {
    std::size_t all = resident_bytes_ + socket_bytes_;
    std::size_t most = pool_.account().parts(MemoryAccount::kLastLineParts);
    return resident_bytes_ > 0 && all > most ? all - most : 0;
}

std::size_t MemoryGuard::excess() const {
    const MemoryAccount& account = pool_.account();
    std::size_t most_in_sockets = account.parts(MemoryAccount::kMaxSocketsParts);
    std::size_t in_sockets = socket_bytes_ > most_in_sockets ? socket_bytes_ - most_in_sockets : 0;
    return std::max({account.excess(), in_sockets, last_line_excess()});
}

void MemoryGuard::publish() const {
    if (!counters_) return;
    using Kind = MemoryAccount::Kind;
    const MemoryAccount& account = pool_.account();
    counters_->buffer_bytes.set(std::int64_t(account.charged(Kind::Buffers)));
    counters_->head_bytes.set(std::int64_t(account.charged(Kind::Heads)));
    counters_->connection_bytes.set(std::int64_t(account.charged(Kind::Connections)));
    counters_->socket_bytes.set(std::int64_t(socket_bytes_));
}

}  // namespace ochrehub::http
