#include "lab/record/trace.h"

#include <fmt/format.h>

#include <cerrno>
#include <cstring>
#include <iterator>
#include <stdexcept>

namespace ochrehub::lab {
namespace {

const char* name_of(Heard heard) {
    return heard == Heard::Served ? "served" : heard == Heard::Refused ? "refused" : "failed";
}

const char* name_of(Ended how) {
    switch (how) {
        case Ended::Served:
            return "served";
        case Ended::Error:
            return "error";
        case Ended::NeverRan:
            return "never-ran";
        case Ended::Spoilt:
            return "spoilt";
        case Ended::Reset:
            return "reset";
        case Ended::Dropped:
            return "dropped";
    }
    return "?";
}

const char* name_of(ServerState state) {
    switch (state) {
        case ServerState::Ready:
            return "ready";
        case ServerState::Draining:
            return "draining";
        case ServerState::Gone:
            return "gone";
        case ServerState::Cold:
            return "cold";
        case ServerState::Warm:
            return "warm";
        case ServerState::FellOver:
            return "fell-over";
    }
    return "?";
}

const char* name_of(ToldPhase phase) {
    return phase == ToldPhase::InService     ? "in-service"
           : phase == ToldPhase::Terminating ? "terminating"
                                             : "terminated";
}

const char* name_of(NodeState state) {
    switch (state) {
        case NodeState::Started:
            return "started";
        case NodeState::Ready:
            return "ready";
        case NodeState::Stopping:
            return "stopping";
        case NodeState::Killed:
            return "killed";
        case NodeState::Ended:
            return "ended";
        case NodeState::Reloaded:
            return "reloaded";
        case NodeState::Stalled:
            return "stalled";
        case NodeState::Resumed:
            return "resumed";
    }
    return "?";
}

/// Writes what a record says behind its time.
struct Words {
    std::back_insert_iterator<std::string> to;
    TimePoint start;

    double seconds(TimePoint at) const { return (at - start).count() / 1000; }
    template <class... Args>
    void put(fmt::format_string<Args...> format, Args&&... args) {
        fmt::format_to(to, format, std::forward<Args>(args)...);
    }

    void operator()(const CallBegan& r) {
        put("call-began call={} class={} tenant={} zone={}{}", r.call, r.cls, r.tenant, r.zone,
            r.over_share ? " over-share" : "");
    }
    void operator()(const TrySent& r) {
        put("try-sent id={:016x} call={} node={} class={} until={:.4f}{}", r.id, r.call, r.node, r.cls,
            seconds(r.give_up_at), r.repeat ? " repeat" : "");
        if (r.key) put(" key={:x}", *r.key);
    }
    void operator()(const TryAnswered& r) {
        put("try-answered id={:016x} {} status={} answer={}", r.id, name_of(r.heard), r.status, r.answer);
        if (r.advice) put(" advice={:.0f}ms", r.advice->count());
    }
    void operator()(const TryLost& r) { put("try-lost id={:016x}{}", r.id, r.node_gone ? " node-gone" : ""); }
    void operator()(const TryLeft& r) { put("try-left id={:016x}", r.id); }
    void operator()(const CallEnded& r) { put("call-ended call={} {}", r.call, name_of(r.heard)); }
    void operator()(const ClientConnected& r) {
        put("client-connected node={}{}", r.node, r.hostile ? " hostile" : "");
    }
    void operator()(const AttemptArrived& r) {
        put("attempt-arrived attempt={} id={:016x} server={} node={} expires-in={:.1f}ms", r.attempt, r.id,
            r.server, r.node, r.expires_in.count());
    }
    void operator()(const AttemptEnded& r) {
        put("attempt-ended attempt={} {}{}", r.attempt, name_of(r.how), r.ran ? "" : " not-begun");
    }
    void operator()(const AttemptAbandoned& r) { put("attempt-abandoned attempt={}", r.attempt); }
    void operator()(const WorkArrived& r) {
        put("work-arrived server={} node={} work={:.3f}ms", r.server, r.node, r.work.count());
    }
    void operator()(const ServerChanged& r) {
        put("server-changed server={} {}", r.server, name_of(r.state));
    }
    void operator()(const Told& r) {
        put("told node={} server={} {}{}", r.node, r.server, name_of(r.phase),
            r.whole_list_began ? " whole" : "");
        if (r.started != TimePoint{}) put(" started={:.3f}", seconds(r.started));
    }
    void operator()(const Asked& r) {
        put("asked node={} {}", r.node,
            r.what == Asked::What::Called     ? "called"
            : r.what == Asked::What::Answered ? "answered"
                                              : "failed");
    }
    void operator()(const NodeChanged& r) { put("node-changed node={} {}", r.node, name_of(r.state)); }
    void operator()(const FaultMark& r) { put("fault {} {}", r.fault, r.began ? "began" : "ended"); }
};

}  // namespace

std::string line_of(const Record& record, TimePoint start) {
    std::string line;
    TimePoint at = std::visit([](const auto& r) { return r.at; }, record);
    fmt::format_to(std::back_inserter(line), "{:.4f} ", (at - start).count() / 1000);
    std::visit(Words{std::back_inserter(line), start}, record);
    return line;
}

Trace::Trace(const std::string& path, TimePoint start, Witness* next)
    : file_(std::fopen(path.c_str(), "w")), start_(start), next_(next) {
    if (!file_) throw std::runtime_error("cannot write " + path + ": " + std::strerror(errno));
}

Trace::~Trace() {
    std::fclose(file_);
}

void Trace::note(const Record& record) {
    std::string line = line_of(record, start_) + "\n";
    std::fputs(line.c_str(), file_);
    if (next_) next_->note(record);
}

}  // namespace ochrehub::lab
