// How one figure is written: a line of StatsD (with DogStatsD's tags) or of influx's line protocol.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ochrehub::figures {

enum class Format { Statsd, Influx };
enum class Kind { Counter, Timer, Gauge };

/// A class's or tenant's name as a tag's value may hold it.
std::string tag_value(Format format, std::string_view name);

struct Figure {
    Kind kind;
    std::string_view name;
    std::uint64_t value;
    // As tag_value() gives them; without a class there are no tags at all.
    std::string_view class_name, tenant;
    int code = 0;  ///< zero: no such tag
};

/// Appends the figure's line with its end. `unix_ns` is influx's time stamp; StatsD has none.
void append_line(std::string& out, Format format, const Figure& figure, std::uint64_t unix_ns);

}  // namespace ochrehub::figures
