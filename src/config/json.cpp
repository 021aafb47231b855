#include "config/json.h"

#include <algorithm>
#include <array>
#include <boost/json/src.hpp>  // header-only: this is the one place that compiles it
#include <charconv>
#include <stdexcept>

namespace ochrehub {
namespace {

namespace json = boost::json;

std::string plain(const json::value& value) {
    if (value.is_null()) return "-";
    if (value.is_bool()) return value.get_bool() ? "true" : "false";
    if (value.is_int64()) return std::to_string(value.get_int64());
    if (value.is_uint64()) return std::to_string(value.get_uint64());
    if (value.is_double()) {
        std::array<char, 32> text;
        return {text.data(), std::to_chars(text.data(), text.data() + text.size(), value.get_double()).ptr};
    }
    std::string text(value.get_string());
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c == ' ' || c == ','; }, '_');
    return text;
}

bool nested(const json::value& value) {
    return value.is_object() || value.is_array();
}

void flatten(const json::value& value, const std::string& path, std::vector<std::string>& out) {
    auto below = [&](std::string_view name) {
        std::string joined = path.empty() ? "" : path + ".";
        return joined.append(name);
    };
    if (value.is_object()) {
        for (const auto& item : value.get_object())
            flatten(item.value(), below({item.key().data(), item.key().size()}), out);
        return;
    }
    if (!value.is_array()) {
        out.push_back(path + "=" + plain(value));
        return;
    }
    const json::array& items = value.get_array();
    if (items.empty() || std::any_of(items.begin(), items.end(), nested)) {
        out.push_back(below("count") + "=" + std::to_string(items.size()));
        for (std::size_t i = 0; i < items.size(); ++i) flatten(items[i], below(std::to_string(i)), out);
        return;
    }
    std::string joined;
    for (const json::value& item : items) joined.append(joined.empty() ? "" : ",").append(plain(item));
    out.push_back(path + "=" + joined);
}

}  // namespace

std::vector<std::string> flatten_json(std::string_view text) {
    boost::system::error_code error;
    json::value document = json::parse({text.data(), text.size()}, error);
    if (error) throw std::runtime_error("not JSON: " + error.message());
    if (!document.is_object()) throw std::runtime_error("not a JSON object");
    std::vector<std::string> pairs;
    flatten(document, "", pairs);
    return pairs;
}

std::vector<std::string_view> pairs_below(const std::vector<std::string>& pairs, std::string_view prefix) {
    std::vector<std::string_view> found;
    for (std::string_view pair : pairs)
        if (pair.substr(0, prefix.size()) == prefix) found.push_back(pair.substr(prefix.size()));
    return found;
}

}  // namespace ochrehub
