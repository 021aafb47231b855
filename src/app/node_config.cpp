#include "app/node_config.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>

#include "base/address.h"
#include "config/json.h"
#include "takeover/inherited.h"

namespace ochrehub::app {
namespace {

constexpr std::size_t kSocketsLeast = 32, kMemoryLeast = 8;

std::string environment(const char* name) {
    const char* value = std::getenv(name);
    return value ? value : "";
}

std::vector<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) throw ConfigError("GW_CONFIG: cannot read " + path);
    std::string text{std::istreambuf_iterator<char>(file), {}};
    try {
        return flatten_json(text);
    } catch (const std::runtime_error& error) {
        throw ConfigError(std::string("GW_CONFIG: ") + error.what());
    }
}

std::uint64_t read_seed(const std::string& text, const PairReader& file) {
    std::uint64_t seed = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        return file.wrong("seed: not a hexadecimal number: '" + text + "'", std::uint64_t{0});
    return seed;
}

std::uint64_t draw_seed() {
    std::random_device random;
    return std::uint64_t{random()} << 32 | random();
}

}  // namespace

std::string scratch_folder() {
    return environment("TMPDIR");
}

NodeConfig read_node_config(Occasion occasion) {
    Report report;
    NodeConfig config = read_node_config(occasion, report);
    if (!report.faults.empty()) throw ConfigError(report.faults.front());
    return config;
}

NodeConfig read_node_config(Occasion occasion, Report& report) {
    std::string path = environment("GW_CONFIG");
    if (path.empty()) throw ConfigError("GW_CONFIG: not set");
    std::vector<std::string> pairs = read_file(path);
    PairReader file(pairs_below(pairs, ""), &report);
    auto told = [&](const char* variable, const std::string& key, bool file_first) {
        std::string outside = environment(variable), inside(file.find(key).value_or(""));
        bool from_file = !inside.empty() && (file_first || outside.empty());
        std::string value = from_file ? inside : outside;
        if (from_file || value.empty())
            file.note(key, value, from_file);
        else
            report.values.push_back({key, value, variable});
        return value;
    };
    auto address = [&](const char* variable, const std::string& key, bool file_first) {
        std::string text = told(variable, key, file_first);
        auto found = parse_address(text);
        return found ? *found
                     : file.wrong(key + ": not an address: '" + text + "'", boost::asio::ip::tcp::endpoint());
    };
    auto at_least = [&](std::size_t& into, const std::string& key, std::size_t least) {
        bool given = file.find(key).has_value();
        if (!given) return file.note(key, std::to_string(into), false);
        std::size_t faults = report.faults.size();
        into = file.whole<std::size_t>(key);
        if (into < least && report.faults.size() == faults) file.wrong("setting " + key + " is too small", 0);
    };
    NodeConfig config;
    try {
        // The environment goes first.
        config.name = told("GW_NAME", "name", false);
        config.listen = address("GW_LISTEN", "listen", false);
        config.discovery = address("GW_DISCOVERY", "discovery", occasion == Occasion::Reload);
        if (!environment("GW_CONTROL").empty() || file.find("control"))
            config.control = address("GW_CONTROL", "control", false);
        config.scratch = scratch_folder();
        if (std::string fd = environment("GW_FD"); !fd.empty() && occasion == Occasion::Start)
            config.inherited = takeover::inherited_listener(fd);
        std::string seed(file.find("seed").value_or(""));
        config.seed = seed.empty() ? draw_seed() : read_seed(seed, file);
        file.note("seed", seed.empty() ? "drawn" : seed, !seed.empty());
        at_least(config.sockets, "limits.sockets", kSocketsLeast);
        at_least(config.memory_mb, "limits.memory_mb", kMemoryLeast);
        config.settings = parse_settings(pairs_below(pairs, "settings."), config.names, &report);
        config.settings.watches_discovery =
            true;  // on sockets nothing comes by itself: a list that is pushed waits in an agent
    } catch (const std::runtime_error& error) {  // there are too many to go on
        report.faults.emplace_back(error.what());
    }
    std::vector<std::string_view> known = pairs_below(pairs, "known.");
    Report of_known;  // of its values the number is enough
    try {
        if (!known.empty()) config.known = read_server_list(known, config.names, &of_known);
    } catch (const std::runtime_error& error) {
        of_known.faults.emplace_back(error.what());
    }
    for (const std::string& fault : of_known.faults) report.faults.push_back("known: " + fault);
    file.note("known", std::to_string(config.known.members.size()) + " servers", !known.empty());
    return config;
}

}  // namespace ochrehub::app
