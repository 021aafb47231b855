#include "lab/result/compare.h"

#include <algorithm>
#include <array>
#include <boost/math/distributions/normal.hpp>
#include <boost/math/distributions/students_t.hpp>
#include <charconv>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <stdexcept>

namespace ochrehub::lab {
namespace {

constexpr const char* kMainFigures[] = {
    "score",
    "service",
    "worth.whole",
    "worth.heeding",
    "worth.deaf",
    "worth.worst_10s",
    "worth.worst_class",
    "worth.worst_tenant",
    "worth.least_floor",
    "prices",
    "prices.waste",
    "prices.late_fail",
    "prices.probes",
    "prices.handshakes",
    "prices.cross_zone",
    "breaches",
    "served_share",
    "in_time_share",
    "refused_share",
    "failed_share",
    "left_share",
    "tries_per_call",
    "attempts_per_call",
    "probes",
    "connections",
    "latency.p50_ms",
    "latency.p90_ms",
    "latency.p99_ms",
    "latency.p999_ms",
    "latency.max_ms",
    "fleet.mean_load",
    "fleet.most_load",
    "fleet.peak_load",
    "node.cpu_s",
    "node.memory_peak_mb",
};

using Key = std::pair<std::string, std::uint64_t>;

std::map<Key, const Result*> by_seed(const std::vector<Result>& results, const char* side) {
    std::map<Key, const Result*> all;
    for (const Result& result : results)
        if (!all.emplace(Key(result.scenario, result.seed), &result).second)
            throw std::runtime_error(std::string("compare: the ") + side + " results hold seed " +
                                     std::to_string(result.seed) + " of " + result.scenario + " twice");
    return all;
}

std::vector<std::string> rows_of(const std::vector<std::pair<const Result*, const Result*>>& pairs) {
    std::vector<std::string> names(std::begin(kMainFigures), std::end(kMainFigures));
    const Result& model = *pairs.front().first;
    for (const auto& group : model.classes)
        for (const char* name : {"worth", "p50_ms", "p99_ms"})
            names.push_back("classes." + group.name + "." + name);
    for (const auto& group : model.tenants) names.push_back("tenants." + group.name + ".worth");
    for (const auto& sum : model.effects) names.push_back("effects." + sum.name + ".worth");
    for (const auto& sum : model.thirds) names.push_back("thirds." + sum.name + ".worth");
    // Faults drawn from the seed are others in each pair: only such as are the same in all have a row.
    if (!model.faults.empty())
        for (const char* name :
             {"recovered_s", "during", "after", "tries_per_call", "refused_after", "return_peak"})
            names.push_back(std::string("recovery.") + name);
    for (std::size_t i = 0; i < model.faults.size(); ++i) {
        const auto same = [&](const Result& result) {
            return i < result.faults.size() && result.faults[i].kind == model.faults[i].kind;
        };
        if (!std::all_of(pairs.begin(), pairs.end(),
                         [&](const auto& pair) { return same(*pair.first) && same(*pair.second); }))
            continue;
        for (const char* name : {"detect_s", "return_s"})
            names.push_back("faults." + std::to_string(i) + "." + name);
    }
    return names;
}

double mean_of(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double at_part(const std::vector<double>& sorted, double part) {
    const double place = part * static_cast<double>(sorted.size() - 1);
    const auto below = static_cast<std::size_t>(place);
    if (below + 1 >= sorted.size()) return sorted.back();
    const double rest = place - static_cast<double>(below);
    return sorted[below] + rest * (sorted[below + 1] - sorted[below]);
}

// Six digits that count, without an exponent for what people read as counts.
std::string printed(double value) {
    if (value == 0) return "0";
    std::array<char, 64> text;
    const int places = std::clamp(4 - static_cast<int>(std::floor(std::log10(std::abs(value)))), 0, 6);
    auto* end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, places).ptr;
    std::string whole(text.data(), end);
    if (whole.find_first_of("123456789") == std::string::npos) return "0";
    return whole;
}

}  // namespace

Interval interval_of_mean(const std::vector<double>& values, const CompareOptions& options) {
    const std::size_t n = values.size();
    if (n == 0) return {};
    const auto [least, greatest] = std::minmax_element(values.begin(), values.end());
    if (n < kFewestPairs) return {*least, *greatest, false};

    // Lemire's way to a number below n, so that no library's distribution decides on the result.
    std::mt19937_64 random(options.seed);
    std::vector<double> means(options.resamples);
    for (double& mean : means) {
        double sum = 0;
        for (std::size_t i = 0; i < n; ++i) sum += values[((random() >> 32) * n) >> 32];
        mean = sum / static_cast<double>(n);
    }
    std::sort(means.begin(), means.end());

    // The plain percentile interval is too narrow for few pairs: 95% of it covers about 84% with five. The
    // parts are those at which a normal sample's interval gets Student's width (Hesterberg's expanded
    // percentiles).
    const double size = static_cast<double>(n);
    const double student = boost::math::quantile(boost::math::students_t(size - 1), 0.975);
    const double part = boost::math::cdf(boost::math::normal(), -student * std::sqrt(size / (size - 1)));
    Interval interval{at_part(means, part), at_part(means, 1 - part), false};
    interval.clear = interval.low > 0 || interval.high < 0;
    return interval;
}

std::vector<CompareRow> compare(const std::vector<Result>& a, const std::vector<Result>& b,
                                const CompareOptions& options) {
    const auto of_a = by_seed(a, "first"), of_b = by_seed(b, "second");
    std::vector<std::pair<const Result*, const Result*>> pairs;
    for (const auto& [key, result] : of_a)
        if (const auto other = of_b.find(key); other != of_b.end()) pairs.emplace_back(result, other->second);
    if (pairs.empty()) throw std::runtime_error("compare: no scenario and seed is in both files");

    std::vector<CompareRow> rows;
    for (const std::string& name : rows_of(pairs)) {
        std::vector<double> from, to, difference;
        for (const auto& [first, second] : pairs) {
            const auto x = figure(*first, name), y = figure(*second, name);
            if (!x || !y || !std::isfinite(*x) || !std::isfinite(*y)) continue;
            from.push_back(*x);
            to.push_back(*y);
            difference.push_back(*y - *x);
        }
        if (difference.empty()) continue;
        const Interval interval = interval_of_mean(difference, options);
        rows.push_back({name, mean_of(from), mean_of(to), mean_of(difference), interval.low, interval.high,
                        difference.size(), interval.clear});
    }
    return rows;
}

std::string compare_text(const std::vector<CompareRow>& rows, const std::string& name_a,
                         const std::string& name_b) {
    std::vector<std::vector<std::string>> table = {
        {"figure", name_a, name_b, "difference", "from", "to", "pairs", ""}};
    for (const CompareRow& row : rows)
        table.push_back({row.figure, printed(row.a), printed(row.b), printed(row.difference),
                         printed(row.low), printed(row.high), std::to_string(row.pairs),
                         row.clear ? "*" : ""});
    std::vector<std::size_t> width(table.front().size());
    for (const auto& line : table)
        for (std::size_t i = 0; i < line.size(); ++i) width[i] = std::max(width[i], line[i].size());
    std::string text;
    for (const auto& line : table) {
        std::string out = line[0] + std::string(width[0] - line[0].size(), ' ');
        for (std::size_t i = 1; i < line.size(); ++i)
            out += std::string(2 + width[i] - line[i].size(), ' ') + line[i];
        text += out.substr(0, out.find_last_not_of(' ') + 1) + "\n";
    }
    text += "difference: mean of " + name_b + " less " + name_a +
            " over pairs of the same scenario and seed, with its 95% interval (bootstrap).\n"
            "*: the interval leaves out zero. About one row in twenty does by chance.\n";
    for (const CompareRow& row : rows)
        if (row.pairs < kFewestPairs) {
            text += "Rows of fewer than " + std::to_string(kFewestPairs) +
                    " pairs show the least and the greatest difference and are never clear.\n";
            break;
        }
    return text;
}

}  // namespace ochrehub::lab
