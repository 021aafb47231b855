#include "admin/metrics.h"

#include <algorithm>
#include <cstdint>

#include "base/process_memory.h"

namespace ochrehub::admin {
namespace {

void describe(std::string& out, std::string_view name, std::string_view type, std::string_view help) {
    out.append("# HELP ").append(name).append(" ").append(help).append("\n");
    out.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void put(std::string& out, std::string_view name, std::int64_t value) {
    out.append(name).append(" ").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string escaped(std::string_view text) {
    std::string out;
    for (char c : text) {
        if (c == '\n') {
            out += "\\n";
            continue;
        }
        if (c == '\\' || c == '"') out += '\\';
        out += c;
    }
    return out;
}

std::string metrics(const Counters& counters, const std::vector<std::string>& classes) {
    std::string out;
    out.reserve(1024 + 256 * classes.size());
    describe(out, "app_transactions_total", "counter",
             "Requests by class and end: served, refused (429 or 503), failed.");
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const Counters::Class& c = counters.classes[i];
        std::string label = "app_transactions_total{group=\"" + escaped(classes[i]) + "\",state=\"";
        put(out, label + "answered\"}", c.succeeded.get());
        put(out, label + "deferred\"}", c.rejected.get());
        put(out, label + "errored\"}", c.failed.get());
    }
    describe(out, "app_sends_total", "counter", "Attempts written whole to servers.");
    put(out, "app_sends_total", counters.attempts_sent.get());
    describe(out, "app_uploads_given_up_total", "counter",
             "Request bodies that their server did not take in time.");
    put(out, "app_uploads_given_up_total", counters.uploads_given_up.get());
    describe(out, "app_responses_given_up_total", "counter",
             "Responses that had begun and were given up because their server fell silent.");
    put(out, "app_responses_given_up_total", counters.responses_given_up.get());
    describe(out, "app_stop_given_up_total", "counter",
             "Requests that a stop ended before their own deadline.");
    put(out, "app_stop_given_up_total", counters.given_up_for_stop.get());
    describe(out, "app_current", "gauge", "Requests taken and not ended.");
    put(out, "app_current", std::max<std::int64_t>(0, counters.active_requests.get()));
    describe(out, "app_buffer_bytes", "gauge", "Buffers of requests and responses in use.");
    put(out, "app_buffer_bytes", counters.buffer_bytes.get());
    describe(out, "app_head_bytes", "gauge", "Heads of requests and responses in use, and short bodies.");
    put(out, "app_head_bytes", counters.head_bytes.get());
    describe(out, "app_connection_bytes", "gauge", "Connections to clients and servers.");
    put(out, "app_connection_bytes", counters.connection_bytes.get());
    describe(out, "app_socket_bytes", "gauge",
             "What the kernel holds for connections; measured where they are many.");
    put(out, "app_socket_bytes", counters.socket_bytes.get());
    describe(out, "app_memory_refused_total", "counter", "Requests refused for lack of memory.");
    put(out, "app_memory_refused_total", counters.refused_for_memory.get());
    describe(out, "app_stalled_closed_total", "counter",
             "Clients that stood still, closed for others, by what ran short.");
    for (std::size_t i = 0; i < counters.closed_stalled.size(); ++i)
        put(out, "app_stalled_closed_total{short=\"" + std::string(name(Resource(i))) + "\"}",
            counters.closed_stalled[i].get());
    describe(out, "app_memory_trims_total", "counter",
             "How often unused memory was given back to the system.");
    put(out, "app_memory_trims_total", counters.memory_trims.get());
    describe(out, "process_resident_memory_bytes", "gauge", "Resident memory of the process.");
    put(out, "process_resident_memory_bytes", std::int64_t(resident_memory_bytes()));
    describe(out, "app_cluster_size", "gauge", "Servers in the list.");
    put(out, "app_cluster_size", counters.listed_endpoints.get());
    describe(out, "app_cluster_unhealthy", "gauge", "Listed servers that get nothing new now.");
    put(out, "app_cluster_unhealthy", counters.unavailable_endpoints.get());
    return out;
}

}  // namespace ochrehub::admin
