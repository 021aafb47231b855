// The commands that ask a node of a fleet, at its second address.
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <stdexcept>
#include <string>
#include <thread>

#include "app/commands.h"
#include "app/node_config.h"
#include "base/address.h"

namespace ochrehub::app {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::chrono::seconds kAnswerWithin{5};

/// The body of the answer to a GET. Throws std::runtime_error.
std::string ask(const asio::ip::tcp::endpoint& at, const std::string& path) {
    std::string where = at.address().to_string() + ":" + std::to_string(at.port());
    asio::ip::tcp::iostream stream;
    stream.expires_after(kAnswerWithin);
    stream.connect(at);
    if (!stream) throw std::runtime_error(where + ": " + stream.error().message());
    stream << "GET " << path << " HTTP/1.1\r\nHost: " << where << "\r\nConnection: close\r\n\r\n"
           << std::flush;
    std::string all{std::istreambuf_iterator<char>(stream), {}};
    std::size_t head = all.find("\r\n\r\n");
    if (head == std::string::npos) throw std::runtime_error(where + ": no answer within 5 s");
    std::string status = all.substr(0, all.find("\r\n"));
    if (status.find(" 404 ") != std::string::npos)
        throw std::runtime_error(where + ": this node is in no fleet: its file has no [fleet]");
    if (status.find(" 200 ") == std::string::npos) throw std::runtime_error(where + ": " + status);
    return all.substr(head + 4);
}

std::string text(const json::object& of, const char* key) {
    const json::value* value = of.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}
double number(const json::object& of, const char* key) {
    const json::value* value = of.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : 0;
}
bool flag(const json::object& of, const char* key) {
    const json::value* value = of.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

std::string ago(double seconds) {
    char text[32];
    if (seconds < 60)
        std::snprintf(text, sizeof text, "%.1f s", seconds);
    else if (seconds < 7200)
        std::snprintf(text, sizeof text, "%.0f min", seconds / 60);
    else
        std::snprintf(text, sizeof text, "%.1f h", seconds / 3600);
    return text;
}

void print_row(const char* name, const char* place, const char* zone, const char* state, const char* since,
               const char* incarnation, const std::string& says) {
    std::printf("%-20s %-21s %-11s %-7s %9s %11s  %s\n", name, place, zone, state, since, incarnation,
                says.c_str());
}

void print_members(const std::string& body) {
    json::object root = json::parse(body).as_object();
    const json::object& self = root.at("self").as_object();
    print_row("MEMBER", "PLACE", "ZONE", "STATE", "FOR", "INCARNATION", "SAYS");
    std::string says = text(self, "says");
    if (flag(self, "isolated")) says += ": isolated for " + ago(number(self, "isolated_for_s"));
    print_row(text(self, "name").c_str(), text(self, "place").c_str(), text(self, "zone").c_str(), "asked",
              "-", std::to_string(std::uint64_t(number(self, "incarnation"))).c_str(), says);
    for (const json::value& each : root.at("members").as_array()) {
        const json::object& one = each.as_object();
        std::string notes = text(one, "says");
        auto add = [&](const char* key, const char* note) {
            if (flag(one, key)) notes.append(notes.empty() ? "" : ",").append(note);
        };
        add("doubled", "two processes at its place");
        add("same_name", "its name is another's too");
        print_row(text(one, "name").c_str(), text(one, "place").c_str(), text(one, "zone").c_str(),
                  text(one, "state").c_str(), ago(number(one, "for_s")).c_str(),
                  std::to_string(std::uint64_t(number(one, "incarnation"))).c_str(), notes);
    }
    std::printf("%.0f here; this node counts as one of %.0f\n", number(root, "here"),
                number(root, "sharing"));
}

}  // namespace

int fleet_members(const std::string& control, bool as_json, bool watch) {
    auto at = parse_address(control);
    if (!at || at->port() == 0)
        throw ConfigError("--control: not an address a.b.c.d:port: '" + control + "'");
    while (true) {
        try {
            std::string body = ask(*at, "/ops/members");
            if (as_json)
                std::fputs(body.c_str(), stdout);
            else
                print_members(body);
        } catch (const std::exception& error) {
            std::fprintf(stderr, "%s\n", error.what());
            if (!watch) return 1;
        }
        std::fflush(stdout);
        if (!watch) return 0;
        std::this_thread::sleep_for(std::chrono::seconds(1));
        if (!as_json) std::printf("\n");
    }
}

}  // namespace ochrehub::app
