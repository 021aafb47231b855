#include "lab/result/svg.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <functional>
#include <limits>

namespace ochrehub::lab {
namespace {

constexpr double kLetter = 6.4;  // mean width of a letter at the page's 11 px
constexpr double kLaneHeight = 15;
constexpr std::size_t kMostLanes = 4;
constexpr double kMostAside = 60;
constexpr double kMostNines = 4;

std::string fixed(double value, int places) {
    std::array<char, 400> text;
    auto* end =
        std::to_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed, places).ptr;
    return {text.data(), end};
}

// A coordinate: tenths of a pixel are enough and keep the page small.
std::string px(double value) {
    return fixed(value, 1);
}

std::string tag(const char* name, const std::string& attributes, const std::string& inner = {}) {
    return std::string("<") + name + " " + attributes +
           (inner.empty() ? "/>" : ">" + inner + "</" + name + ">");
}
std::string label(double x, double y, const char* anchor, const std::string& words,
                  const std::string& more = {}) {
    return tag("text", "x=\"" + px(x) + "\" y=\"" + px(y) + "\" text-anchor=\"" + anchor + "\"" + more,
               escaped(words));
}
std::string line(double x1, double y1, double x2, double y2, const char* css) {
    return tag("line", "x1=\"" + px(x1) + "\" y1=\"" + px(y1) + "\" x2=\"" + px(x2) + "\" y2=\"" + px(y2) +
                           "\" class=\"" + css + "\"");
}
std::string rect(double x, double y, double width, double height, const char* css,
                 const std::string& hint = {}) {
    return tag("rect",
               "x=\"" + px(x) + "\" y=\"" + px(y) + "\" width=\"" + px(std::max(0.0, width)) +
                   "\" height=\"" + px(std::max(0.0, height)) + "\" class=\"" + css + "\"",
               hint.empty() ? std::string() : "<title>" + escaped(hint) + "</title>");
}
std::string framed(const std::string& title, double width, double height, const std::string& inner) {
    return "<svg role=\"img\" aria-label=\"" + escaped(title) + "\" viewBox=\"0 0 " + px(width) + " " +
           px(height) + "\"><title>" + escaped(title) + "</title>" + inner + "</svg>\n";
}

struct Tick {
    double value = 0;
    std::string name;
};

// What runs along one side: which place a value has, from 0 to 1, and where it is named.
struct Axis {
    Scale scale = Scale::Linear;
    double from = 0, to = 1;
    std::vector<Tick> ticks;

    double turned(double value) const {
        switch (scale) {
            case Scale::Log:
                return std::log10(std::max(value, from));
            case Scale::Nines:
                return std::min(kMostNines, -std::log10(std::max(1e-9, 1 - value)));
            case Scale::Linear:
                break;
        }
        return value;
    }
    double place(double value) const {
        const double low = turned(from), high = turned(to);
        return std::clamp((turned(value) - low) / (high - low), 0.0, 1.0);
    }
};

Axis linear_axis(double from, double to, int steps) {
    if (!(to > from)) to = from + 1;
    const double rough = (to - from) / steps;
    const double power = std::pow(10, std::floor(std::log10(rough)));
    double step = power;
    for (const double times : {1.0, 2.0, 5.0, 10.0}) {
        step = times * power;
        if (step >= rough) break;
    }
    const int places = std::max(0, -static_cast<int>(std::floor(std::log10(step) + 1e-9)));
    Axis axis{Scale::Linear, from, to, {}};
    for (double i = std::ceil(from / step - 1e-9); i * step <= to + step * 1e-9; ++i) {
        const double value = i * step + 0.0;  // of a zero with a sign, one without
        axis.ticks.push_back({value, places == 0 ? short_number(value) : fixed(value, places)});
    }
    return axis;
}

Axis log_axis(double from, double to, int most) {
    if (!(from > 0)) from = 1;
    if (!(to > from)) to = from * 10;
    Axis axis{Scale::Log, from, to, {}};
    const auto fill = [&](std::initializer_list<double> times) {
        axis.ticks.clear();
        for (double power = std::pow(10, std::floor(std::log10(from))); power <= to; power *= 10)
            for (const double time : times)
                if (time * power >= from * (1 - 1e-9) && time * power <= to * (1 + 1e-9))
                    axis.ticks.push_back({time * power, short_number(time * power)});
    };
    fill({1, 2, 5});
    if (static_cast<int>(axis.ticks.size()) > most) fill({1, 3});
    if (static_cast<int>(axis.ticks.size()) > most) fill({1});
    return axis;
}

Axis nines_axis() {
    return {Scale::Nines,
            0,
            0.9999,
            {{0, "0%"}, {0.5, "50%"}, {0.9, "90%"}, {0.99, "99%"}, {0.999, "99.9%"}, {0.9999, "99.99%"}}};
}

// Which lane each band's label gets, and where it starts; none for those that there is no room for.
struct Placed {
    std::string words;
    double x = 0;
    std::size_t lane = 0;
};

bool place_labels(const std::vector<Band>& bands, const std::function<double(double)>& x_of, double left,
                  double right, bool numbers_alone, std::vector<Placed>& placed, std::size_t& lanes) {
    std::vector<double> taken;
    bool all = true;
    placed.clear();
    for (const Band& band : bands) {
        const std::string words = numbers_alone ? band.number : band.number + " " + band.label;
        const double width = kLetter * static_cast<double>(words.size()) + 6;
        double x = std::max(left, std::min(x_of(band.from), right - width));
        std::size_t lane = 0;
        while (lane < taken.size() && taken[lane] > x) ++lane;
        if (lane == kMostLanes) {
            // A number may stand a little beside the begin of its fault, behind those that begin with it.
            const auto free = std::min_element(taken.begin(), taken.end());
            if (!numbers_alone || *free > x + kMostAside || *free + width > right) {
                all = false;
                placed.push_back({"", x, 0});
                continue;
            }
            x = *free;
            lane = static_cast<std::size_t>(free - taken.begin());
        }
        if (lane == taken.size()) taken.push_back(0);
        taken[lane] = x + width;
        placed.push_back({words, x, lane});
    }
    lanes = taken.size();
    return all;
}

std::string path_of(const std::vector<std::pair<double, double>>& points) {
    std::string path;
    for (const auto& [x, y] : points) {
        path += path.empty() ? 'M' : 'L';
        path += px(x);
        path += ' ';
        path += px(y);
    }
    return path;
}

}  // namespace

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        switch (c) {
            case '&':
                out += "&amp;";
                break;
            case '<':
                out += "&lt;";
                break;
            case '>':
                out += "&gt;";
                break;
            case '"':
                out += "&quot;";
                break;
            default:
                out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
        }
    }
    return out;
}

std::string short_number(double value) {
    if (std::isnan(value)) return "–";
    if (std::isinf(value)) return value > 0 ? "never" : "-∞";
    const double size = std::abs(value);
    if (size >= 999.5) {
        std::string digits = fixed(value, 0);
        for (auto place = static_cast<std::ptrdiff_t>(digits.size()) - 3; place > (value < 0 ? 1 : 0);
             place -= 3)
            digits.insert(static_cast<std::size_t>(place), 1, ',');
        return digits;
    }
    std::string text = fixed(value, size >= 100 ? 0 : size >= 10 ? 1 : size >= 1 ? 2 : 3);
    if (text.find('.') != std::string::npos) {
        text.erase(text.find_last_not_of('0') + 1);
        if (text.back() == '.') text.pop_back();
    }
    return text == "-0" ? "0" : text;
}

std::string percent(double share) {
    if (!std::isfinite(share)) return short_number(share);
    const double hundredths = 100 * share;
    // 99.96% is not 100%, and a few are not none.
    const int places =
        (hundredths > 0 && hundredths < 0.95) || (hundredths > 99.05 && hundredths < 100) ? 2 : 1;
    std::string text = fixed(hundredths, places);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') text.pop_back();
    return text + "%";
}

std::string LineChart::svg(double width, double height) const {
    double least_x = std::numeric_limits<double>::infinity(), most_x = -least_x;
    double least_y = least_x, most_y = -least_x;
    for (const Series& one : series)
        for (const Point& point : one.points) {
            if (std::isnan(point.y)) continue;
            least_x = std::min(least_x, point.x);
            most_x = std::max(most_x, point.x);
            const double low = one.spread ? point.low : point.y;
            if (y_scale != Scale::Log || low > 0) least_y = std::min(least_y, low);
            most_y = std::max(most_y, one.spread ? point.high : point.y);
        }
    const bool empty = !(most_x >= least_x);
    if (empty) least_x = 0, most_x = 1, least_y = 0, most_y = 1;
    if (x_from != 0 || x_to != 0) least_x = x_from, most_x = x_to;

    const bool narrow = width < 500;
    Axis y = y_scale == Scale::Nines ? nines_axis()
             : y_scale == Scale::Log ? log_axis(least_y * 0.9, most_y * 1.1, 7)
                                     : linear_axis(0, std::max(most_y * 1.05, y_least_top), 7);
    const Axis x = x_scale == Scale::Log ? log_axis(least_x * 0.9, most_x * 1.1, narrow ? 6 : 12)
                                         : linear_axis(least_x, most_x, narrow ? 5 : 9);
    std::size_t longest = 1;
    for (const Tick& tick : y.ticks) longest = std::max(longest, tick.name.size());

    const double left = 14 + kLetter * static_cast<double>(longest), right = width - 10, bottom = height - 34;
    const auto x_of = [&](double value) { return left + (right - left) * x.place(value); };
    std::vector<Placed> labels;
    std::size_t lanes = 0;
    if (!place_labels(bands, x_of, left, right, false, labels, lanes))
        place_labels(bands, x_of, left, right, true, labels, lanes);
    const double lane_top = 18, top = lane_top + 6 + kLaneHeight * static_cast<double>(lanes);
    const auto y_of = [&](double value) { return bottom - (bottom - top) * y.place(value); };

    std::string out;
    for (std::size_t i = 0; i < bands.size(); ++i) {
        const Band& band = bands[i];
        const double from = x_of(band.from), to = std::max(x_of(band.to), from + 2);
        const double band_top = lane_top + kLaneHeight * static_cast<double>(labels[i].lane);
        out += rect(from, band_top, to - from, bottom - band_top, "band", band.number + " " + band.label);
    }
    for (const Placed& placed : labels)
        if (!placed.words.empty())
            out += label(placed.x + 3, lane_top + kLaneHeight * static_cast<double>(placed.lane) + 11,
                         "start", placed.words, " class=\"fault\"");

    for (const Tick& tick : y.ticks) {
        out += line(left, y_of(tick.value), right, y_of(tick.value), "rule");
        out += label(left - 5, y_of(tick.value) + 4, "end", tick.name);
    }
    // Names of a log scale may come too close to each other: those that would touch are left out.
    double free_from = 0;
    for (const Tick& tick : x.ticks) {
        const double half = kLetter * static_cast<double>(tick.name.size()) / 2;
        const double centre = std::clamp(x_of(tick.value), half, width - half);
        out += line(x_of(tick.value), bottom, x_of(tick.value), bottom + 4, "axis");
        if (centre - half < free_from) continue;
        out += label(centre, bottom + 16, "middle", tick.name);
        free_from = centre + half + 5;
    }
    out += line(left, bottom, right, bottom, "axis");
    out += label(4, 11, "start", y_label, " class=\"what\"");
    out += label(right, height - 4, "end", x_label, " class=\"what\"");
    if (empty) out += label((left + right) / 2, (top + bottom) / 2, "middle", "nothing to show");

    for (const Series& one : series) {
        std::string style(1, 's');
        style += std::to_string(one.style % kStyles);
        std::string lines, areas;
        std::vector<std::pair<double, double>> run, upper, lower;
        const auto close = [&] {
            if (run.size() == 1) run.emplace_back(run.front().first + 0.5, run.front().second);
            lines += path_of(run);
            if (one.spread && !run.empty()) {
                upper.insert(upper.end(), lower.rbegin(), lower.rend());
                areas += path_of(upper) + "Z";
            }
            run.clear();
            upper.clear();
            lower.clear();
        };
        for (const Point& point : one.points) {
            if (std::isnan(point.y)) {
                close();
                continue;
            }
            run.emplace_back(x_of(point.x), y_of(point.y));
            upper.emplace_back(x_of(point.x), y_of(point.high));
            lower.emplace_back(x_of(point.x), y_of(point.low));
        }
        close();
        if (!areas.empty()) out += tag("path", "class=\"spread " + style + "\" d=\"" + areas + "\"");
        if (!lines.empty()) out += tag("path", "class=\"line " + style + "\" d=\"" + lines + "\"");
    }
    return framed(title, width, height, out);
}

std::string BarChart::svg(double width) const {
    constexpr double kRow = 20;
    constexpr std::size_t kMostLetters = 16;
    std::size_t longest = 1;
    double most = 1.05;
    for (const Bar& bar : bars) {
        longest = std::max(longest, std::min(kMostLetters, bar.name.size()));
        most = std::max({most, bar.value * 1.03, bar.peak * 1.03});
    }
    const double left = 12 + kLetter * static_cast<double>(longest), right = width - 10, top = 20;
    const double bottom = top + kRow * static_cast<double>(bars.size()), height = bottom + 36;
    const Axis x = linear_axis(0, most, width < 500 ? 4 : 8);
    const auto x_of = [&](double value) { return left + (right - left) * x.place(value); };

    std::string out;
    for (const Tick& tick : x.ticks) {
        out += line(x_of(tick.value), top, x_of(tick.value), bottom, "rule");
        out += label(x_of(tick.value), bottom + 16, "middle", tick.name);
    }
    double y = top;
    for (const Bar& bar : bars) {
        std::string name = bar.name;
        if (name.size() > kMostLetters) name = name.substr(0, kMostLetters - 1) + "…";
        out += label(left - 6, y + kRow / 2 + 4, "end", name);
        out += rect(left, y + 3, x_of(bar.value) - left, kRow - 6, "bar", bar.hint);
        out += line(x_of(bar.peak), y + 2, x_of(bar.peak), y + kRow - 2, "peak");
        y += kRow;
    }
    out += line(x_of(1), top - 4, x_of(1), bottom, "one");
    out += label(std::min(x_of(1), right) - 2, 11, "end", one_label, " class=\"what\"");
    out += line(left, bottom, right, bottom, "axis");
    out += label(right, height - 4, "end", x_label, " class=\"what\"");
    return framed(title, width, height, out);
}

std::string Columns::svg(double width, double height) const {
    const double most = values.empty() ? 1 : *std::max_element(values.begin(), values.end());
    const Axis y = linear_axis(0, std::max(1.0, most * 1.05), 7);
    const Axis x = linear_axis(from, from + step * static_cast<double>(values.size()), width < 500 ? 5 : 9);
    std::size_t longest = 1;
    for (const Tick& tick : y.ticks) longest = std::max(longest, tick.name.size());
    const double left = 14 + kLetter * static_cast<double>(longest), right = width - 10, top = 20,
                 bottom = height - 34;
    const auto x_of = [&](double value) { return left + (right - left) * x.place(value); };
    const auto y_of = [&](double value) { return bottom - (bottom - top) * y.place(value); };
    std::string out;
    for (const Tick& tick : y.ticks) {
        out += line(left, y_of(tick.value), right, y_of(tick.value), "rule");
        out += label(left - 5, y_of(tick.value) + 4, "end", tick.name);
    }
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double begins = from + step * static_cast<double>(i);
        out += rect(
            x_of(begins) + 0.5, y_of(values[i]), x_of(begins + step) - x_of(begins) - 1,
            bottom - y_of(values[i]), "bar",
            short_number(begins) + " to " + short_number(begins + step) + ": " + short_number(values[i]));
    }
    for (const Tick& tick : x.ticks) out += label(x_of(tick.value), bottom + 16, "middle", tick.name);
    out += line(left, bottom, right, bottom, "axis");
    out += label(4, 11, "start", y_label, " class=\"what\"");
    out += label(right, height - 4, "end", x_label, " class=\"what\"");
    return framed(title, width, height, out);
}

}  // namespace ochrehub::lab
