// Settings as "path=value" pairs, as the platform tells them, and what a reading of them found.
#pragma once

#include <array>
#include <charconv>
#include <cstdio>
#include <initializer_list>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ochrehub {

template <class T>
std::optional<T> read_number(std::string_view text) {
    T value{};
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return value;
}

/// What a reading found, for those who want all of it and not the first fault alone.
struct Report {
    static constexpr std::size_t kFaultsMost = 100;  // a list may go wrong in every entry
    struct Value {
        std::string name, value, source;
    };
    std::vector<std::string> faults;
    std::vector<Value> values;  ///< those in force
};

/// Looks values up in "path=value" pairs; what it throws names the path. With a report, faults go there
/// instead and a stand-in is returned, so that the reading goes on; values go there too, named behind
/// `prefix`.
class PairReader {
public:
    explicit PairReader(const std::vector<std::string_view>& pairs, Report* report = nullptr,
                        std::string prefix = {})
        : report_(report), prefix_(std::move(prefix)) {
        for (std::string_view pair : pairs) {
            std::size_t at = pair.find('=');
            if (at == std::string_view::npos) {
                wrong("setting without '=': " + std::string(pair), 0);
                continue;
            }
            values_[std::string(pair.substr(0, at))] = pair.substr(at + 1);
        }
    }

    std::optional<std::string_view> find(const std::string& key) const {
        auto it = values_.find(key);
        if (it == values_.end() || it->second == "-") return std::nullopt;
        return it->second;
    }
    std::string_view text(const std::string& key) const {
        if (auto value = given(key)) return *value;
        return missing(key, std::string_view{});
    }
    std::string_view text_or(const std::string& key, std::string_view fallback) const {
        auto value = given(key);
        if (!value) note(key, std::string(fallback), false);
        return value.value_or(fallback);
    }
    double real(const std::string& key) const {
        auto value = given(key);
        return value ? parse(key, *value) : missing(key, 0.0);
    }
    double real_or(const std::string& key, double fallback) const {
        if (auto value = given(key)) return parse(key, *value);
        std::array<char, 32> shown;
        if (report_) std::snprintf(shown.data(), shown.size(), "%g", fallback);
        if (report_) note(key, shown.data(), false);
        return fallback;
    }
    template <class T>
    T whole(const std::string& key) const {
        auto value = given(key);
        if (!value) return missing(key, T{});
        if (auto number = read_number<T>(*value)) return *number;
        return wrong("setting " + key + " is not a whole number in range", T{});
    }
    bool flag_or(const std::string& key, bool fallback) const {
        auto value = given(key);
        if (!value) note(key, fallback ? "true" : "false", false);
        if (!value) return fallback;
        if (*value == "true" || *value == "1") return true;
        if (*value == "false" || *value == "0") return false;
        return wrong("setting " + key + " is not true or false", fallback);
    }
    std::vector<std::string> list(const std::string& key) const {
        std::vector<std::string> items;
        std::string_view rest = given(key).value_or("");
        while (!rest.empty()) {
            std::size_t end = rest.find(',');
            items.emplace_back(rest.substr(0, end));
            rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
        }
        return items;
    }
    template <class T>
    T word(const std::string& key, std::initializer_list<std::pair<std::string_view, T>> words) const {
        auto value = given(key);
        if (!value) return missing(key, words.begin()->second);
        for (const auto& [name, meaning] : words)
            if (name == *value) return meaning;
        return wrong("setting " + key + " has the unknown value " + std::string(*value),
                     words.begin()->second);
    }

    template <class T>
    T wrong(const std::string& what, T stand_in) const {
        if (!report_ || report_->faults.size() >= Report::kFaultsMost) throw std::runtime_error(what);
        report_->faults.push_back(what);
        return stand_in;
    }
    void note(const std::string& key, std::string value, bool in_file) const {
        if (!report_) return;
        std::string name = prefix_ + key;
        report_->values.push_back({name, std::move(value), in_file ? "GW_CONFIG " + name : "default"});
    }

private:
    std::optional<std::string_view> given(const std::string& key) const {
        auto value = find(key);
        if (value && report_) note(key, std::string(*value), true);
        return value;
    }
    template <class T>
    T missing(const std::string& key, T stand_in) const {
        return wrong("missing setting " + key, stand_in);
    }
    double parse(const std::string& key, std::string_view value) const {
        auto number = read_number<double>(value);
        return number ? *number : wrong("setting " + key + " is not a number", 0.0);
    }

    Report* report_;
    std::string prefix_;
    std::unordered_map<std::string, std::string_view> values_;
};

}  // namespace ochrehub
