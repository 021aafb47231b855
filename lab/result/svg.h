// Charts as SVG text to stand inside an HTML page: colours and lines by the page's classes, sizes in its
// pixels.
#pragma once

#include <string>
#include <vector>

namespace ochrehub::lab {

/// Text as XML holds it.
std::string escaped(const std::string& text);
/// Three or four digits that count: "0.873", "12.5", "1,240".
std::string short_number(double value);
/// "97.3%"
std::string percent(double share);

enum class Scale {
    Linear,  ///< from zero
    Log,
    Nines,  ///< of shares: 0, 90%, 99%, 99.9% at even distances
};

struct Point {
    double x = 0, y = 0;
    double low = 0, high = 0;  ///< spread about y
};
struct Series {
    std::string name;
    int style = 0;              ///< of the page's line styles, kStyles of them
    std::vector<Point> points;  ///< one whose y is no number makes a gap
    bool spread = false;
};
inline constexpr int kStyles = 8;

/// A span of x, shaded and labelled.
struct Band {
    double from = 0, to = 0;
    std::string number, label;  ///< the number alone where there is no room for the label
};

struct LineChart {
    std::string title;  ///< read out in place of the drawing
    std::string x_label, y_label;
    Scale x_scale = Scale::Linear, y_scale = Scale::Linear;
    double x_from = 0, x_to = 0;  ///< both zero: as the points say
    double y_least_top = 0;       ///< a linear y reaches at least here
    std::vector<Series> series;
    std::vector<Band> bands;

    std::string svg(double width, double height) const;
};

/// Lying bars with their names, a line at 1 and a mark at each one's peak.
struct BarChart {
    struct Bar {
        std::string name, hint;
        double value = 0, peak = 0;
    };
    std::string title, x_label, one_label;
    std::vector<Bar> bars;

    std::string svg(double width) const;
};

/// Standing bars side by side, each from `from` on with the same width.
struct Columns {
    std::string title, x_label, y_label;
    double from = 0, step = 1;
    std::vector<double> values;

    std::string svg(double width, double height) const;
};

}  // namespace ochrehub::lab
