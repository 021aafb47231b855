// The part of Front that finds room where something runs short: who stands still goes, those first that hold
// most for longest.
#include <algorithm>
#include <chrono>

#include "base/log.h"
#include "http/client_session.h"
#include "http/front.h"

namespace ochrehub::http {

namespace {

/// Where nobody stands still, nobody will a moment later.
constexpr std::chrono::milliseconds kSearchAgain{50};

struct Candidate {
    std::shared_ptr<ClientSession> session;
    Stall stall;
    double rank() const { return double(stall.bytes) * double(stall.time.count()); }
};

constexpr std::chrono::seconds kReportInterval{1};

/// What closing it frees of what runs short.
std::size_t freed_by(const Candidate& candidate, Resource shortage) {
    return shortage == Resource::Memory ? candidate.stall.bytes : 1;
}

}  // namespace

std::size_t Front::close_stalled(Resource shortage, std::size_t needed) {
    auto now = std::chrono::steady_clock::now();
    auto& next_search = next_search_[std::size_t(shortage)];
    if (needed == 0 || now < next_search) return 0;
    std::vector<Candidate> candidates;
    sessions_.each([&](const auto& session) {
        auto stall = session->stall();
        if (stall && (shortage != Resource::ServerConnections || stall->holds_server))
            candidates.push_back({session, *stall});
    });
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) { return a.rank() > b.rank(); });
    std::size_t freed = 0, closed = 0;
    for (const Candidate& candidate : candidates) {
        if (freed >= needed) break;
        freed += freed_by(candidate, shortage);
        ++closed;
        candidate.session->close_stalled();
    }
    if (freed < needed) next_search = now + kSearchAgain;
    if (closed > 0) report_closed(shortage, closed, candidates.front().stall);
    return closed;
}

void Front::report_closed(Resource shortage, std::size_t closed, const Stall& first) {
    figures_.stalled_closed(shortage, closed);
    using std::chrono::milliseconds;
    log(LogLevel::Warn, "clients that stood still were closed",
        {{"short", name(shortage)},
         {"closed", closed},
         {"first_held_kb", first.bytes >> 10},
         {"first_stood_ms", std::chrono::duration_cast<milliseconds>(first.time).count()},
         {"held", memory_summary()}});
}

std::string Front::memory_summary() const {
    using Kind = MemoryAccount::Kind;
    const MemoryAccount& account = pool_.account();
    auto part = [](const char* name, std::size_t bytes) {
        return std::string(name) + "_kb:" + std::to_string(bytes >> 10);
    };
    return part("buffers", account.charged(Kind::Buffers)) + "," +
           part("heads", account.charged(Kind::Heads)) + "," +
           part("connections", account.charged(Kind::Connections)) + "," +
           part("sockets", guard_.socket_bytes()) + "," + part("resident", guard_.resident_bytes());
}

bool Front::has_memory(bool is_first) {
    const MemoryAccount& account = pool_.account();
    if (!account.is_exhausted()) return true;
    close_stalled(Resource::Memory, account.excess());
    bool has_some = is_first ? !account.is_full() : !account.is_exhausted();
    if (!has_some) report_exhausted();
    return has_some;
}

// Once a second: there may be thousands.
void Front::report_exhausted() {
    auto now = std::chrono::steady_clock::now();
    if (now < next_exhausted_report_) return;
    next_exhausted_report_ = now + kReportInterval;
    log(LogLevel::Warn, "memory is exhausted: requests that are not whole are refused",
        {{"held", memory_summary()}});
}

bool Front::has_client_connection() {
    return !sessions_.over() || (close_stalled(Resource::ClientConnections, 1) > 0 && !sessions_.over());
}

void Front::relieve() {
    guard_.measure(std::chrono::steady_clock::now());
    close_stalled(Resource::Memory, guard_.excess());
    if (server_connections_short_) close_stalled(Resource::ServerConnections, server_connections_short_());
    std::size_t for_waiting = full_ ? std::size_t{kAcceptsAtOnce} : 0;
    close_stalled(Resource::ClientConnections, std::max(sessions_.missing(), for_waiting));
}

}  // namespace ochrehub::http
