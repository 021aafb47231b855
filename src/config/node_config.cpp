#include "config/node_config.h"

#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>

#include "config/json.h"
#include "net/address.h"

namespace ochrehub {
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

boost::asio::ip::tcp::endpoint address(const std::string& key, const std::string& text) {
    auto found = parse_address(text);
    if (!found) throw ConfigError(key + ": not an address: '" + text + "'");
    return *found;
}

std::uint64_t read_seed(const std::string& text) {
    if (text.empty()) {
        std::random_device random;
        return std::uint64_t{random()} << 32 | random();
    }
    std::uint64_t seed = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        throw ConfigError("seed: not a hexadecimal number: '" + text + "'");
    return seed;
}

}  // namespace

NodeConfig read_node_config(Occasion occasion) {
    std::string path = environment("GW_CONFIG");
    if (path.empty()) throw ConfigError("GW_CONFIG: not set");
    std::vector<std::string> pairs = read_file(path);
    PairReader file(pairs_below(pairs, ""));
    auto told = [&](const char* variable, const std::string& key) {  // the environment goes first
        std::string value = environment(variable);
        return value.empty() ? std::string(file.find(key).value_or("")) : value;
    };
    NodeConfig config;
    config.name = told("GW_NAME", "name");
    config.listen = address("listen", told("GW_LISTEN", "listen"));
    std::string in_file(file.find("discovery").value_or(""));
    bool file_first = occasion == Occasion::Reload && !in_file.empty();
    config.discovery = address("discovery", file_first ? in_file : told("GW_DISCOVERY", "discovery"));
    config.seed = read_seed(std::string(file.find("seed").value_or("")));
    try {
        if (file.find("limits.sockets")) config.sockets = file.whole<std::size_t>("limits.sockets");
        if (config.sockets < kSocketsLeast) throw std::runtime_error("setting limits.sockets is too small");
        if (file.find("limits.memory_mb")) config.memory_mb = file.whole<std::size_t>("limits.memory_mb");
        if (config.memory_mb < kMemoryLeast) throw std::runtime_error("setting limits.memory_mb is too small");
        config.settings = parse_settings(pairs_below(pairs, "settings."), config.names);
    } catch (const std::runtime_error& error) {
        throw ConfigError(error.what());
    }
    std::vector<std::string_view> known = pairs_below(pairs, "known.");
    try {
        if (!known.empty()) config.known = read_server_list(known, config.names);
    } catch (const std::runtime_error& error) {
        throw ConfigError(std::string("known: ") + error.what());
    }
    return config;
}

}  // namespace ochrehub
